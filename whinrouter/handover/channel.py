"""The line between two processes as a Unix socket in a folder that both have.

The path is the newest process's that serves: it binds a name of its own and renames that over the path, so
that there is no moment without one, and a process that dies before it serves leaves the path as it was.
What a killed process left answers no connection, which is the same as no path.
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

SNAPSHOT_TIMEOUT_SECONDS = (
    1.0  # seconds for which the older process is waited for; then the start is from nothing
)
MAX_PEERS = 4  # processes of one gateway that this one may have lines to


class PeerHandler(Protocol):
    """Who is told what comes over a line."""

    def message_received(self, peer: PeerConnection, message: Message) -> None: ...

    def peer_lost(self, peer: PeerConnection) -> None: ...


class PeerConnection(asyncio.Protocol):
    """One end of a line."""

    def __init__(self, handler: PeerHandler, is_newer: bool) -> None:
        self.session = HandoverSession(is_newer)
        self._handler = handler
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def send(self, message: Message) -> None:
        """Tell the other side, as long as there is one."""
        if self._transport is not None and self.session.phase is not Phase.CLOSED:
            self._transport.write(encode_frame(message))

    def data_received(self, data: bytes) -> None:
        try:
            for message in self.session.feed(data):
                self._handler.message_received(self, message)
        except ProtocolError as error:
            log.warning("handover: %s; the line is closed", error)
            self.close()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.session.phase is not Phase.CLOSED:
            self.session.close()
            self._handler.peer_lost(self)


@contextlib.contextmanager
def _short_path(path: Path) -> Iterator[str]:
    """The path in few enough characters for a socket's name (108), however deep its folder."""
    directory = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{directory}/{path.name}"
    finally:
        os.close(directory)


def _is_same_user(endpoint: socket.socket) -> bool:
    credentials = endpoint.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12)
    return int.from_bytes(credentials[4:8], "little") == os.geteuid()


async def connect(path: Path, handler: PeerHandler) -> PeerConnection | None:
    """A line to the process that serves at this path; None if there is none."""

    async def connect_once() -> PeerConnection:
        with contextlib.ExitStack() as cleanup:
            endpoint = socket.socket(socket.AF_UNIX)
            cleanup.callback(endpoint.close)
            endpoint.setblocking(False)
            with _short_path(path) as short:
                endpoint.connect(short)
            if not _is_same_user(endpoint):
                raise PermissionError("another user's")
            loop = asyncio.get_running_loop()
            _, peer = await loop.create_unix_connection(lambda: PeerConnection(handler, True), sock=endpoint)
            cleanup.pop_all()  # it is the transport's now
            return peer

    try:
        return await with_retries(connect_once, LISTEN_RETRY_SECONDS)
    except FileNotFoundError:  # the first of its kind
        return None
    except OSError as error:
        log.warning("handover: nobody can be asked (%s); starting from nothing", error)
        return None


class PeerListener:
    """Where the next process asks; it may be taken up again after another has had it."""

    def __init__(self, path: Path, handler: PeerHandler, admit: Callable[[PeerConnection], bool]) -> None:
        self._path, self._handler, self._admit = path, handler, admit
        self._listener: socket.socket | None = None
        self._acceptor: Acceptor | None = None

    async def open(self) -> None:
        """Be the one at the path."""
        self.close()
        try:
            await with_retries(self._open_once, LISTEN_RETRY_SECONDS)
        except OSError as error:
            log.warning("handover: nobody can ask here (%s)", error)

    async def _open_once(self) -> None:
        temporary_path = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        listener = socket.socket(socket.AF_UNIX)
        try:
            with contextlib.suppress(FileNotFoundError):
                temporary_path.unlink()
            with _short_path(temporary_path) as short:
                listener.bind(short)
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
        """Answer nobody any more; the path stays, as it may be another's by now."""
        if self._acceptor is not None:
            self._acceptor.stop()
            self._acceptor = None
        if self._listener is not None:
            self._listener.close()
            self._listener = None
