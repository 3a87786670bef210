"""What a socket tells about its connection that the event loop has not read yet."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from collections.abc import Callable


def unread(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes, or the peer's end of the connection, wait in the system, as when the loop runs late.

    What the loop was told of is older than this: between its look at the sockets and a decision to close one
    lie all the other callbacks of its turn.
    """
    return readable(transport.get_extra_info("socket"))


def readable(endpoint: socket.socket) -> bool:
    """Whether a read, or an accept, would find something at once."""
    return bool(poller(endpoint)(0))


def poller(endpoint: socket.socket) -> Callable[[float], list[tuple[int, int]]]:
    """What `readable` asks, for one that is asked often: called with 0, it gives what waits, as a list."""
    poll = select.poll()
    poll.register(endpoint, select.POLLIN)
    return poll.poll


def end(transport: asyncio.Transport) -> None:
    """Close now.

    A transport closes its socket in the loop's next turn. What came till then would be reset with it, while a
    peer that sees the end before it has written anything knows that nothing was taken.
    """
    endpoint = transport.get_extra_info("socket")
    if not transport.is_closing() and transport.get_write_buffer_size() == 0:
        with contextlib.suppress(OSError):  # the peer was faster
            endpoint.shutdown(socket.SHUT_RDWR)
    transport.abort()
