"""What a socket tells about its connection that the event loop has not read yet."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
import sys
from collections.abc import Callable

from whinrouter.net.transport import SocketTransport

_TCP_INFO = getattr(socket, "TCP_INFO", None) if sys.platform == "linux" else None
_LAST_RECEIVED, _LAST_RECEIVED_END = (
    52,
    56,
)  # the field's place in struct tcp_info, and the end of what is read
_ACKED = 120  # the place of tcpi_bytes_acked, of 8 bytes
_PEER_CLOSED = getattr(select, "POLLRDHUP", select.POLLHUP)


def has_unread(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes, or the peer's end of the connection, wait in the system, as when the loop runs late.

    What the loop was told of is older than this: between its look at the sockets and a decision to close one
    lie all the other callbacks of its turn.
    """
    return is_readable(transport.get_extra_info("socket"))


def is_readable(endpoint: socket.socket) -> bool:
    """Whether a read, or an accept, would find something at once."""
    return bool(read_poller(endpoint)(0))


def read_poller(endpoint: socket.socket) -> Callable[[float], list[tuple[int, int]]]:
    """What `readable` asks, for one that is asked often: called with 0, it gives a list of what waits."""
    poll = select.poll()
    poll.register(endpoint, select.POLLIN)
    return poll.poll


def seconds_since_received(transport: asyncio.BaseTransport) -> float:
    """Seconds since the peer's last bytes came, to a millisecond; 0.0 where the system does not tell.

    It is tcpi_last_data_recv of Linux's TCP_INFO (linux/tcp.h), which counts from the connection's start
    while nothing has come. Unix sockets and other systems have none.
    """
    if _TCP_INFO is None:
        return 0.0
    try:
        info: bytes = transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP, _TCP_INFO, _LAST_RECEIVED_END
        )
    except (OSError, AttributeError):
        return 0.0
    return int.from_bytes(info[_LAST_RECEIVED:_LAST_RECEIVED_END], sys.byteorder) / 1000


def acknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Bytes that the peer's machine has acknowledged since the start; -1 where the system does not tell.

    It is tcpi_bytes_acked. What its program does not read is acknowledged up to the size of its buffer alone.
    """
    if _TCP_INFO is None:
        return -1
    try:
        info: bytes = transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, _TCP_INFO, _ACKED + 8)
    except (OSError, AttributeError):
        return -1
    return int.from_bytes(info[_ACKED : _ACKED + 8], sys.byteorder) if len(info) == _ACKED + 8 else -1


def has_peer_closed(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has ended its side, though bytes of it may wait unread before that end."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket"), _PEER_CLOSED)
    return bool(poll.poll(0))


def _is_frozen(transport: asyncio.Transport) -> bool:
    return isinstance(transport, SocketTransport) and transport.is_frozen


def reset(transport: asyncio.Transport) -> None:
    """Close so that the peer can tell it from an end: what it has is not all that it was to get."""
    if _is_frozen(transport):  # it may be another process's by now
        transport.abort()
        return
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


def close_now(transport: asyncio.Transport) -> None:
    """Close now.

    A transport closes its socket in the loop's next turn. What came till then would be reset with it, while a
    peer that sees the end before it has written anything knows that nothing was taken.
    """
    endpoint = transport.get_extra_info("socket")
    is_shut = transport.is_closing() or _is_frozen(transport)
    if not is_shut and transport.get_write_buffer_size() == 0:
        with contextlib.suppress(OSError):  # the peer was faster
            endpoint.shutdown(socket.SHUT_RDWR)
    transport.abort()
