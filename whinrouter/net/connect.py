"""Connections made and taken: the coroutines, which are few and stay out of what is compiled."""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import socket
from collections.abc import Callable
from typing import TypeVar

from whinrouter.net.sockets import readable

log = logging.getLogger(__name__)

BACKLOG = 512  # connections that wait in the system for their turn
ACCEPTED_AT_ONCE = 4  # each takes a descriptor before anyone can count it
# Turns of the loop from an accept to the connection's first call; a server closed before that loses it.
ACCEPT_TURNS = 3
ACCEPT_REST = 0.5  # seconds for taking what waits to be accepted when the listener closes

P = TypeVar("P", bound=asyncio.BaseProtocol)


async def connect(
    protocol: Callable[[], P], address: tuple[str, int], seconds: float, up: Callable[[P], None]
) -> None:
    """Connect within so many seconds and call `up`; if it comes to nothing, end without a call."""
    try:
        async with asyncio.timeout(seconds):
            _, connection = await asyncio.get_running_loop().create_connection(protocol, *address)
    except (OSError, TimeoutError):
        return
    up(connection)


class Listener:
    """A listening socket whose connections each get a protocol of their own."""

    def __init__(self, protocol: Callable[[], asyncio.BaseProtocol]) -> None:
        self._protocol = protocol
        self._server: asyncio.Server | None = None
        self._socket: socket.socket | None = None
        self.shared = False  # other processes accept from the same socket

    @property
    def descriptor(self) -> int | None:
        """The listening socket's; None while it is not open."""
        return self._socket.fileno() if self._socket is not None else None

    def bind(self, host: str, port: int, inherited: int | None = None) -> None:
        """Take the address; port 0 leaves it to the system. OSError if it is taken.

        A host with a slash is the path of a Unix socket, whose permissions are the process's umask.
        `inherited` is the descriptor of a socket that listens already, and that whoever started the process
        holds too.
        """
        self.shared = inherited is not None
        if inherited is not None:
            self._socket = socket.socket(fileno=os.dup(inherited))
            if not self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise OSError(errno.EINVAL, f"descriptor {inherited} does not listen")
            return
        if "/" in host:
            self._socket = _unix_socket(host)
            return
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.create_server((host, port), family=family, backlog=BACKLOG)

    async def serve(self) -> int:
        """Take connections at the address that is bound; return its port."""
        listener = self._socket
        assert listener is not None
        server = await asyncio.get_running_loop().create_server(
            self._protocol, sock=listener, backlog=ACCEPTED_AT_ONCE
        )
        if self._socket is not listener:  # it was closed meanwhile
            server.close()
            return 0
        self._server = server
        # asyncio took the number for both, the queue and how many it accepts at once
        listener.listen(BACKLOG)
        return int(listener.getsockname()[1]) if listener.family != socket.AF_UNIX else 0

    async def accept_rest(self) -> None:
        """Take what waits to be accepted: closing the listener would reset it, with the requests on it.

        What waits at a shared one is the others': only what was accepted has to come up.
        """
        if self.shared and self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            for _ in range(ACCEPT_TURNS):
                await asyncio.sleep(0)
            return
        quiet = 0
        try:
            async with asyncio.timeout(ACCEPT_REST):
                while self._socket is not None and quiet < ACCEPT_TURNS:
                    quiet = 0 if readable(self._socket) else quiet + 1
                    await asyncio.sleep(0)
        except TimeoutError:
            log.warning("connections still came faster than they were accepted")

    def close(self) -> None:
        """Take no new connection."""
        self._socket = None
        if self._server is not None:
            self._server.close()


def _unix_socket(path: str) -> socket.socket:
    """Listen on a path; what a process that has died left there is taken away, what anyone serves is not."""
    try:
        with socket.socket(socket.AF_UNIX) as probe:
            probe.connect(path)
        raise OSError(errno.EADDRINUSE, "someone listens there")
    except ConnectionRefusedError:
        os.unlink(path)
    except FileNotFoundError:
        pass
    listener = socket.socket(socket.AF_UNIX)
    try:
        listener.bind(path)
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
