"""The state of a socket that the event loop has not reported yet, and ways to close one."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import select
import socket
import struct
import sys
import termios
from collections.abc import Callable

from whinrouter.net.transport import SocketTransport

_TCP_INFO = getattr(socket, "TCP_INFO", None) if sys.platform == "linux" else None
# Offsets in struct tcp_info: of tcpi_last_data_recv and of its end, and of tcpi_bytes_acked (8 bytes).
_LAST_RECEIVED, _LAST_RECEIVED_END = 52, 56
_ACKED = 120
_PEER_CLOSED = getattr(select, "POLLRDHUP", select.POLLHUP)


def has_unread(transport: asyncio.BaseTransport) -> bool:
    """Whether data, or the peer's end of the connection, waits in the kernel, as when the loop runs late.

    What the loop knows is older than this: all other callbacks of a loop turn run between the loop's poll of
    the sockets and a decision to close one of them.
    """
    return is_readable(transport.get_extra_info("socket"))


def is_readable(endpoint: socket.socket) -> bool:
    """Whether a read, or an accept, would return at once."""
    return bool(read_poller(endpoint)(0))


def read_poller(endpoint: socket.socket) -> Callable[[float], list[tuple[int, int]]]:
    """A reusable form of `is_readable` for frequent checks: called with 0, it returns the pending events."""
    poll = select.poll()
    poll.register(endpoint, select.POLLIN)
    return poll.poll


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """The bytes that wait unread in the kernel; 0 if that is unknown."""
    try:
        return int.from_bytes(
            fcntl.ioctl(transport.get_extra_info("socket"), termios.FIONREAD, bytes(4)), sys.byteorder
        )
    except (OSError, ValueError):
        return 0


def seconds_since_received(transport: asyncio.BaseTransport) -> float:
    """Seconds since the peer's last data arrived, to a millisecond; 0.0 where the system does not report it.

    It is tcpi_last_data_recv of Linux's TCP_INFO (linux/tcp.h), which counts from the start of the connection
    until something arrives. Unix sockets and other systems have none.
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
    """Bytes that the peer's machine has acknowledged so far; -1 where the system does not report it.

    It is tcpi_bytes_acked. Data that the peer's program does not read is acknowledged up to the size of its
    receive buffer.
    """
    if _TCP_INFO is None:
        return -1
    try:
        info: bytes = transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, _TCP_INFO, _ACKED + 8)
    except (OSError, AttributeError):
        return -1
    return int.from_bytes(info[_ACKED : _ACKED + 8], sys.byteorder) if len(info) == _ACKED + 8 else -1


def has_peer_closed(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has closed its side, although data that it sent before may still be unread."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket"), _PEER_CLOSED)
    return bool(poll.poll(0))


def _is_frozen(transport: asyncio.Transport) -> bool:
    return isinstance(transport, SocketTransport) and transport.is_frozen


def reset(transport: asyncio.Transport) -> None:
    """Close with a reset, which tells the peer that it has not received everything."""
    if _is_frozen(transport):  # another process may own the connection by now
        transport.abort()
        return
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


def close_now(transport: asyncio.Transport) -> None:
    """Shut the connection down at once, and close it.

    A transport closes its socket only in the loop's next turn. Data that arrives until then would be reset
    along with the connection, while a peer that sees the end before it writes knows that nothing was
    processed.
    """
    endpoint = transport.get_extra_info("socket")
    is_shut = transport.is_closing() or _is_frozen(transport)
    if not is_shut and transport.get_write_buffer_size() == 0:
        with contextlib.suppress(OSError):  # the peer closed first
            endpoint.shutdown(socket.SHUT_RDWR)
    transport.abort()
