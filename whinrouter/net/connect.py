"""Opening connections, and listening for them, with retries where this machine lacks a resource for a moment.

The coroutines are few and are kept out of the modules that are compiled.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import os
import socket
from collections.abc import Awaitable, Callable, Collection, Sequence
from enum import Enum
from typing import Any, TypeVar

from whinrouter.net.accept import Acceptor
from whinrouter.net.sockets import is_readable
from whinrouter.net.transport import SocketTransport

log = logging.getLogger(__name__)

BACKLOG = 512  # connections that the kernel queues until they are accepted
ACCEPT_BATCH = 4  # connections accepted at once: each takes a descriptor before the limit can be checked
EMPTY_ACCEPT_TURNS = 3  # turns of the event loop without a queued connection after which the queue is empty
ACCEPT_PENDING_SECONDS = 0.5  # time limit for accepting the queued connections when the listener closes

# Errors caused by a lack of descriptors or memory on this machine, which may be over soon.
RESOURCE_ERRORS = frozenset({errno.EAGAIN, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# Errors of connect() that arise on this machine before anything was sent. ENETUNREACH comes from the local
# routing table; a peer that can't be reached causes EHOSTUNREACH or ETIMEDOUT.
LOCAL_ERRORS = RESOURCE_ERRORS | {
    errno.EADDRINUSE,
    errno.EADDRNOTAVAIL,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.EPERM,
}
# Seconds before each retry. Retries of connect() have to fit into a request's time, those of listen() into
# the time that a start may take.
CONNECT_RETRY_SECONDS = (0.001, 0.002, 0.004)
LISTEN_RETRY_SECONDS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4)

P = TypeVar("P", bound=asyncio.BaseProtocol)
R = TypeVar("R")


class ConnectResult(Enum):
    """The result of an attempt to connect."""

    CONNECTED = "up"
    FAILED = "failed"  # refused, reset or timed out, by a fault of the peer or of the network
    LOCAL_FAILURE = "local failure"  # this machine lacked a resource, which says nothing about the peer


async def with_retries(
    operation: Callable[[], Awaitable[R]], pauses: Sequence[float], errors: Collection[int] = RESOURCE_ERRORS
) -> R:
    """Call `operation` and return its result; if it fails with one of `errors`, call it again after a pause.

    `pauses`: seconds before each retry. Raises the OSError of the last call, or at once any other exception.
    """
    for pause in pauses:
        try:
            return await operation()
        except OSError as error:
            if error.errno not in errors:
                raise
            log.info("%s; trying again", error.strerror)
        await asyncio.sleep(pause)
    return await operation()


async def open_connection(protocol_factory: Callable[[], P], address: tuple[str, int]) -> P:
    """Connect and return the protocol; a failure on this machine is retried a few times, milliseconds apart.

    Raises the OSError of the last try. There is no time limit here: the caller sets one.
    """

    async def try_once() -> P:
        connected = await _connected_socket(address)
        connection = protocol_factory()
        try:
            SocketTransport(connected, connection)
        except OSError:
            connected.close()
            raise
        return connection

    return await with_retries(try_once, CONNECT_RETRY_SECONDS, LOCAL_ERRORS)


async def _connected_socket(address: tuple[str, int]) -> socket.socket:
    """Connect to the address, or to the first address of a host name that accepts the connection."""
    loop = asyncio.get_running_loop()
    failure = OSError(errno.EADDRNOTAVAIL, "the host name has no address")
    for family, target in await _resolve(address):
        endpoint = socket.socket(family, socket.SOCK_STREAM)
        try:
            endpoint.setblocking(False)
            await loop.sock_connect(endpoint, target)
            return endpoint
        except OSError as error:
            failure = error
            endpoint.close()
        except BaseException:
            endpoint.close()
            raise
    raise failure


async def _resolve(address: tuple[str, int]) -> list[tuple[socket.AddressFamily, Any]]:
    """The addresses of a host name; an IP address is returned as it is."""
    host, port = address
    for family in (socket.AF_INET, socket.AF_INET6):
        with contextlib.suppress(OSError):
            socket.inet_pton(family, host)
            return [(family, (host, port))]
    candidates = await asyncio.get_running_loop().getaddrinfo(host, port, type=socket.SOCK_STREAM)
    return [(family, target) for family, _, _, _, target in candidates]


async def connect(
    protocol_factory: Callable[[], P],
    address: tuple[str, int],
    seconds: float,
    on_connected: Callable[[P], None],
) -> ConnectResult:
    """Connect within `seconds` and call `on_connected`; return how it ended."""
    try:
        async with asyncio.timeout(seconds):
            connection = await open_connection(protocol_factory, address)
    except TimeoutError:
        return ConnectResult.FAILED
    except OSError as error:
        return ConnectResult.LOCAL_FAILURE if error.errno in LOCAL_ERRORS else ConnectResult.FAILED
    on_connected(connection)
    return ConnectResult.CONNECTED


class Listener:
    """A listening socket; each connection that it accepts gets a new protocol."""

    def __init__(self, protocol_factory: Callable[[], asyncio.BaseProtocol]) -> None:
        self._protocol_factory = protocol_factory
        self._acceptor: Acceptor | None = None
        self._socket: socket.socket | None = None
        self.is_shared = False  # other processes accept from the same socket

    @property
    def descriptor(self) -> int | None:
        """The file descriptor of the listening socket; None while it is not open."""
        return self._socket.fileno() if self._socket is not None else None

    def bind(self, host: str, port: int, inherited: int | None = None) -> None:
        """Bind to an address; the system chooses the port if `port` is 0. OSError if the address is in use.

        A host with a slash is the path of a Unix socket, whose permissions follow the process's umask.
        `inherited`: the descriptor of a socket that listens already, and that the parent process holds too.
        """
        self.is_shared = inherited is not None
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
        """Accept connections at the bound address; return the port, 0 for a Unix socket."""
        listener = self._socket
        assert listener is not None
        self._acceptor = Acceptor(listener, self._protocol_factory, ACCEPT_BATCH)
        listener.listen(BACKLOG)
        return int(listener.getsockname()[1]) if listener.family != socket.AF_UNIX else 0

    async def accept_pending(self) -> None:
        """Accept the queued connections: closing the listener would reset them and lose their requests.

        The queue of a shared socket is left to the other processes.
        """
        empty_turns, acceptor = 0, self._acceptor
        if self.is_shared and acceptor is not None:
            acceptor.stop()
        try:
            async with asyncio.timeout(ACCEPT_PENDING_SECONDS):
                while not self.is_shared and self._socket is not None and empty_turns < EMPTY_ACCEPT_TURNS:
                    empty_turns = 0 if is_readable(self._socket) else empty_turns + 1
                    await asyncio.sleep(0)
        except TimeoutError:
            log.warning("connections still arrived faster than they were accepted")

    def close(self) -> None:
        """Stop accepting connections, and close the listening socket."""
        listener, self._socket = self._socket, None
        acceptor, self._acceptor = self._acceptor, None
        if acceptor is not None:
            acceptor.stop()
        if listener is not None:
            listener.close()


def _unix_socket(path: str) -> socket.socket:
    """Listen on a path. The socket file of a dead process is removed; OSError if a process listens there."""
    try:
        with socket.socket(socket.AF_UNIX) as probe:
            probe.connect(path)
        raise OSError(errno.EADDRINUSE, "another process listens there")
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
