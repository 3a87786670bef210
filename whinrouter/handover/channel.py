"""The connection between two processes of a gateway: a Unix socket in a directory that both share.

The path belongs to the newest process that serves. It binds a temporary name and renames that over the path,
so that the path always exists, and a process that dies before it serves leaves the path as it was. A socket
that a killed process left behind accepts no connection, which has the same effect as a missing path.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Protocol

from whinrouter.handover.messages import Message, ProtocolError, encode_frame
from whinrouter.handover.session import HandoverSession, Phase
from whinrouter.net.accept import Acceptor
from whinrouter.net.connect import LISTEN_RETRY_SECONDS, with_retries

log = logging.getLogger(__name__)

SNAPSHOT_TIMEOUT_SECONDS = 1.0  # after this the process starts without the older one's state
MAX_PEERS = 4  # newer processes that may be connected to this one


class PeerHandler(Protocol):
    """Is called with each message of a connection, and once when the connection has ended."""

    def message_received(self, peer: PeerConnection, message: Message) -> None: ...

    def peer_lost(self, peer: PeerConnection) -> None: ...


class PeerConnection(asyncio.Protocol):
    """One end of the connection to another process; an invalid message closes it."""

    def __init__(self, handler: PeerHandler, is_newer: bool) -> None:
        """`is_newer`: this process is the newer one of the two."""
        self.session = HandoverSession(is_newer)
        self._handler = handler
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def send(self, message: Message) -> None:
        """Send a message, unless the connection has ended."""
        if self._transport is not None and self.session.phase is not Phase.CLOSED:
            self._transport.write(encode_frame(message))

    def data_received(self, data: bytes) -> None:
        try:
            for message in self.session.feed(data):
                self._handler.message_received(self, message)
        except ProtocolError as error:
            log.warning("handover: %s; closing the connection", error)
            self.close()

    def close(self) -> None:
        """Close the connection at once; data not sent yet is lost."""
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.session.phase is not Phase.CLOSED:
            self.session.close()
            self._handler.peer_lost(self)


@contextlib.contextmanager
def short_path(path: Path) -> Iterator[str]:
    """Yield an alias of the path that fits into a socket address (108 bytes), whatever its directory."""
    directory = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{directory}/{path.name}"
    finally:
        os.close(directory)


def _is_same_user(endpoint: socket.socket) -> bool:
    """Whether the process at the other end runs as this process's user."""
    credentials = endpoint.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12)
    return int.from_bytes(credentials[4:8], "little") == os.geteuid()


async def connect(path: Path, handler: PeerHandler) -> PeerConnection | None:
    """Return a connection to the process that serves at this path; None if no connection is possible."""

    async def connect_once() -> PeerConnection:
        with contextlib.ExitStack() as cleanup:
            endpoint = socket.socket(socket.AF_UNIX)
            cleanup.callback(endpoint.close)
            endpoint.setblocking(False)
            with short_path(path) as alias:
                endpoint.connect(alias)
            if not _is_same_user(endpoint):
                raise PermissionError("the socket belongs to another user")
            loop = asyncio.get_running_loop()
            _, peer = await loop.create_unix_connection(lambda: PeerConnection(handler, True), sock=endpoint)
            cleanup.pop_all()  # the transport owns the endpoint now
            return peer

    try:
        return await with_retries(connect_once, LISTEN_RETRY_SECONDS)
    except FileNotFoundError:  # no process has served yet
        return None
    except OSError as error:
        log.warning("handover: cannot connect to the older process (%s); starting without its state", error)
        return None


class PeerListener:
    """Listens for newer processes; may be opened again after another process has had the path."""

    def __init__(self, path: Path, handler: PeerHandler, admit: Callable[[PeerConnection], bool]) -> None:
        """`admit`: called with each new connection; False closes it."""
        self._path, self._handler, self._admit = path, handler, admit
        self._listener: socket.socket | None = None
        self._acceptor: Acceptor | None = None

    async def open(self) -> None:
        """Listen at the path, in place of whichever process had it."""
        self.close()
        try:
            await with_retries(self._open_once, LISTEN_RETRY_SECONDS)
        except OSError as error:
            log.warning("handover: cannot listen for newer processes (%s)", error)

    async def _open_once(self) -> None:
        temporary_path = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        listener = socket.socket(socket.AF_UNIX)
        try:
            with contextlib.suppress(FileNotFoundError):
                temporary_path.unlink()
            with short_path(temporary_path) as alias:
                listener.bind(alias)
            temporary_path.chmod(0o600)
            listener.listen(MAX_PEERS)
            self._listener, self._acceptor = (
                listener,
                Acceptor(listener, self._create_peer, max_accepts_per_turn=1),
            )
            temporary_path.rename(self._path)
        except OSError:
            listener.close()
            self.close()
            raise

    def _create_peer(self) -> PeerConnection:
        peer = PeerConnection(self._handler, False)
        if not self._admit(peer):
            asyncio.get_running_loop().call_soon(peer.close)
        return peer

    def close(self) -> None:
        """Accept no more connections; the path stays, as it may belong to another process by now."""
        if self._acceptor is not None:
            self._acceptor.stop()
            self._acceptor = None
        if self._listener is not None:
            self._listener.close()
            self._listener = None
