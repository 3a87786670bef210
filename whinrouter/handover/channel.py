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

from whinrouter.handover.messages import Message, TornError, frame
from whinrouter.handover.session import Line, Step
from whinrouter.net.accept import Acceptor
from whinrouter.net.connect import LISTEN_PAUSES, with_retries

log = logging.getLogger(__name__)

TAKE_TIME = 1.0  # seconds for which the older process is waited for; then the start is from nothing
MOST_LINES = 4  # processes of one gateway that this one may have lines to


class Owner(Protocol):
    """Who is told what comes over a line."""

    def heard(self, line: Peer, message: Message) -> None: ...

    def ended(self, line: Peer) -> None: ...


class Peer(asyncio.Protocol):
    """One end of a line."""

    def __init__(self, owner: Owner, newer: bool) -> None:
        self.line = Line(newer)
        self._owner = owner
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def say(self, message: Message) -> None:
        """Tell the other side, as long as there is one."""
        if self._transport is not None and self.line.step is not Step.OVER:
            self._transport.write(frame(message))

    def data_received(self, data: bytes) -> None:
        try:
            for message in self.line.feed(data):
                self._owner.heard(self, message)
        except TornError as error:
            log.warning("handover: %s; the line is closed", error)
            self.close()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.line.step is not Step.OVER:
            self.line.end()
            self._owner.ended(self)


@contextlib.contextmanager
def _short(path: Path) -> Iterator[str]:
    """The path in few enough characters for a socket's name (108), however deep its folder."""
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def _same_user(endpoint: socket.socket) -> bool:
    told = endpoint.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12)
    return int.from_bytes(told[4:8], "little") == os.geteuid()


async def call(path: Path, owner: Owner) -> Peer | None:
    """A line to the process that serves at this path; None if there is none."""

    async def try_once() -> Peer:
        with contextlib.ExitStack() as undo:
            endpoint = socket.socket(socket.AF_UNIX)
            undo.callback(endpoint.close)
            endpoint.setblocking(False)
            with _short(path) as short:
                endpoint.connect(short)
            if not _same_user(endpoint):
                raise PermissionError("another user's")
            loop = asyncio.get_running_loop()
            _, peer = await loop.create_unix_connection(lambda: Peer(owner, True), sock=endpoint)
            undo.pop_all()  # it is the transport's now
            return peer

    try:
        return await with_retries(try_once, LISTEN_PAUSES)
    except FileNotFoundError:  # the first of its kind
        return None
    except OSError as error:
        log.warning("handover: nobody can be asked (%s); starting from nothing", error)
        return None


class Post:
    """Where the next process asks; it may be taken up again after another has had it."""

    def __init__(self, path: Path, owner: Owner, accept: Callable[[Peer], bool]) -> None:
        self._path, self._owner, self._accept = path, owner, accept
        self._listener: socket.socket | None = None
        self._acceptor: Acceptor | None = None

    async def open(self) -> None:
        """Be the one at the path."""
        self.close()
        try:
            await with_retries(self._open_once, LISTEN_PAUSES)
        except OSError as error:
            log.warning("handover: nobody can ask here (%s)", error)

    async def _open_once(self) -> None:
        fresh = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        listener = socket.socket(socket.AF_UNIX)
        try:
            with contextlib.suppress(FileNotFoundError):
                fresh.unlink()
            with _short(fresh) as short:
                listener.bind(short)
            fresh.chmod(0o600)
            listener.listen(MOST_LINES)
            self._listener, self._acceptor = listener, Acceptor(listener, self._make, at_once=1)
            fresh.rename(self._path)
        except OSError:
            listener.close()
            self.close()
            raise

    def _make(self) -> Peer:
        peer = Peer(self._owner, False)
        if not self._accept(peer):
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
