"""Clients' connections that go on in the next process: sockets, framing, and bytes on their way.

Theory of operation. A process that is replaced hands over each client connection that it need not end itself
(`net/connection_state.py`), on a socket of its own (`SOCK_SEQPACKET`, beside the line of `channel.py`): one
message in packets, the first with the descriptors (SCM_RIGHTS) of the client and, where a body is on its way
between the two, of the host.

    older:  GOING ON --freeze: neither read nor write--> FROZEN --message and descriptors--> OFFERED
            OFFERED --"held" comes--> let go: close both, without a word to either peer
            OFFERED --anything else, or nothing in time--> thaw, and go on as before
    newer:  the message --all is set up, frozen--> "held", and from then on it is its own --thaw--> GOING ON

Nothing is read or written between FROZEN and the end of OFFERED, so that what the message tells stays true.
Either may be killed at any step: until "held" is said the older one has the connection, and from then on the
newer one. An older process that waits no longer shuts its end for "held" first, and looks once more whether
it has come: then it can't be said any more, and both agree. A connection whose framing can't be told now is
looked at again; one that never can be stays where it is until the process ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
import struct
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any, Protocol

import msgspec

from whinrouter.handover.relayed import RelayedAnswer
from whinrouter.net.connect import LISTEN_PAUSES, with_retries
from whinrouter.streaming.remainder import Remainder

log = logging.getLogger(__name__)

# Bytes of a message: what may be buffered of one connection, for its client and for its host, and its head.
MOST_MESSAGE = 512 * 1024
PACKET = 32 * 1024  # bytes of one packet
MOST_DESCRIPTORS = 2  # in one message
MOST_PASSED = 256  # answers that a process goes on with
HELD = b"held"
ANSWER_TIME = 1.0  # seconds within which the newer process says that it holds both
LOOK_TIME = 3.0  # seconds within which the framing has to be such that it can be told
LOOK_EVERY = 0.005
SWEEP_EVERY = 0.25
_LENGTH = struct.Struct(">I")


class PassedAnswer(msgspec.Struct, frozen=True, array_like=True, tag="answer"):
    """An answer that is under way: the client's and the host's sockets."""

    remainder: Remainder
    length: int | None  # bytes of the whole body, as its client was told
    chunked: bool  # its client has it in chunks
    to_client: bytes = b""  # ready to be written


class PassedClient(msgspec.Struct, frozen=True, array_like=True, tag="client"):
    """A client's connection between requests, or within one of which nothing was sent on: its socket."""

    incoming: bytes  # read, and not used
    to_client: bytes  # ready to be written
    closes: bool  # it ends behind them


class PassedUpload(msgspec.Struct, frozen=True, array_like=True, tag="upload"):
    """A request whose body is on its way to the host that has a part of it: both sockets."""

    remainder: Remainder  # of the body, as its client sends it
    received: int  # bytes of it that have come
    length: int | None  # of the whole body, as it was told
    closes: bool  # the connection ends behind the answer
    name: str
    class_name: str
    patience: int  # microseconds that its client waits from the end of the body
    server: int
    to_client: bytes
    to_host: bytes


PassedMessage = PassedAnswer | PassedClient | PassedUpload
_decoder: msgspec.msgpack.Decoder[PassedMessage] = msgspec.msgpack.Decoder(PassedMessage)


class PassableConnection(Protocol):
    """A connection here, as far as handing it over needs to know."""

    def pause(self) -> PassedMessage | None:
        """Freeze it; None if it can't be told now what is to come, and it goes on."""

    @property
    def is_over(self) -> bool:
        """Whether it ended, or is in the middle of something else by now."""

    def descriptors(self) -> tuple[int, ...]:
        """The client's and, if there is one, the host's."""

    def resume(self) -> None:
        """It stays here: go on."""

    def let_go(self) -> None:
        """Another process holds it: close it here, without a word to either peer."""


class AdoptedConnection(Protocol):
    """A connection of another process that is set up here, and frozen."""

    def begin(self) -> None:
        """It is ours alone: go on."""

    def abandon(self) -> None:
        """It stays with the other process."""


Adopt = Callable[[PassedClient | PassedUpload, list[socket.socket]], AdoptedConnection]


class NoRoomError(Exception):
    """There is no place for another connection here."""


@contextlib.contextmanager
def _short(path: Path) -> Iterator[str]:
    """The path in few enough characters for a socket's name (108)."""
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def packets(message: PassedMessage) -> list[bytes]:
    """A message as it is sent: its length, and its text in parts."""
    text = msgspec.msgpack.encode(message)
    whole = _LENGTH.pack(len(text)) + text
    return [whole[place : place + PACKET] for place in range(0, len(whole), PACKET)]


class Offering:
    """The older process's side."""

    def __init__(self, path: Path) -> None:
        self._path = path

    async def hand_over(self, connection: PassableConnection) -> bool:
        """Whether it is the newer process's now; if not it goes on here, unless it is over."""
        message = await self._paused(connection)
        if message is None:
            return False
        try:
            is_held = await self._offer(connection, message)
        except (OSError, TimeoutError) as error:
            log.warning("handover: a connection can't be passed on: %s", error or "no word in time")
            is_held = False
        if is_held:
            connection.let_go()
        else:
            connection.resume()
        return is_held

    async def _paused(self, connection: PassableConnection) -> PassedMessage | None:
        loop = asyncio.get_running_loop()
        ends = loop.time() + LOOK_TIME
        while not connection.is_over and loop.time() < ends:
            message = connection.pause()
            if message is not None:
                return message
            await asyncio.sleep(LOOK_EVERY)
        return None

    async def _offer(self, connection: PassableConnection, message: PassedMessage) -> bool:
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as endpoint:
            endpoint.setblocking(False)
            with _short(self._path) as short:
                endpoint.connect(short)
            first, *others = packets(message)
            socket.send_fds(endpoint, [first], list(connection.descriptors()))
            try:
                async with asyncio.timeout(ANSWER_TIME):
                    return await self._said_held(endpoint, others)
            except TimeoutError:
                return _said_in_time(endpoint)

    async def _said_held(self, endpoint: socket.socket, others: list[bytes]) -> bool:
        loop = asyncio.get_running_loop()
        for packet in others:
            await loop.sock_sendall(endpoint, packet)
        return await loop.sock_recv(endpoint, len(HELD)) == HELD


def _said_in_time(endpoint: socket.socket) -> bool:
    """Whether "held" has come after all; from now on it can't."""
    endpoint.shutdown(socket.SHUT_RD)
    try:
        return endpoint.recv(len(HELD)) == HELD
    except BlockingIOError:
        return False


class Taking:
    """The newer process's side: it goes on with what older ones began."""

    def __init__(self, path: Path, now: Callable[[], float], adopt: Adopt | None = None) -> None:
        """`adopt`: sets up whatever is no answer; None: such connections are not taken."""
        self._path, self._now, self._adopt = path, now, adopt
        self._listener: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.answers: set[RelayedAnswer] = set()

    async def open(self) -> None:
        """Be the one at the path."""
        self.close()
        try:
            await with_retries(self._listen, LISTEN_PAUSES)
        except OSError as error:
            log.warning("handover: no connection can be passed on here (%s)", error)

    async def _listen(self) -> None:
        fresh = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with contextlib.suppress(FileNotFoundError):
                fresh.unlink()
            with _short(fresh) as short:
                listener.bind(short)
            fresh.chmod(0o600)
            listener.listen(MOST_PASSED)
            listener.setblocking(False)
            fresh.rename(self._path)
        except OSError:
            listener.close()
            raise
        self._listener = listener
        loop = asyncio.get_running_loop()
        loop.add_reader(listener, self._accept)
        if not self._tasks:
            self._start(self._sweep())

    def close(self) -> None:
        """Take nothing more; what was taken goes on."""
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _sweep(self) -> None:
        """End what nobody moves."""
        while True:
            await asyncio.sleep(SWEEP_EVERY)
            for answer in list(self.answers):
                answer.end_if_stuck(self._now())

    def _accept(self) -> None:
        assert self._listener is not None
        with contextlib.suppress(OSError):  # the next look finds what waits
            endpoint, _ = self._listener.accept()
            endpoint.setblocking(False)
            self._start(self._take(endpoint))

    async def _take(self, endpoint: socket.socket) -> None:
        with endpoint:
            try:
                async with asyncio.timeout(ANSWER_TIME):
                    await self._receive(endpoint)
            except (OSError, TimeoutError, msgspec.DecodeError, NoRoomError) as error:
                log.warning("handover: a connection was not taken: %s", error or "no whole message in time")
            except Exception:  # it stays with the older process, which has not heard "held"
                log.exception("handover: a connection was not taken")

    async def _receive(self, endpoint: socket.socket) -> None:
        with contextlib.ExitStack() as undo:
            text, sockets = await self._message(endpoint, undo)
            message = _decoder.decode(text)
            if len(sockets) != (1 if isinstance(message, PassedClient) else MOST_DESCRIPTORS):
                raise OSError("another number of sockets")
            adopted = self._set_up(message, sockets)
            undo.pop_all()  # they are the transports' now
        try:
            endpoint.send(HELD)
        except OSError:  # the older process waits no longer, and goes on with it
            adopted.abandon()
            raise
        adopted.begin()

    def _set_up(self, message: PassedMessage, sockets: list[socket.socket]) -> AdoptedConnection:
        if not isinstance(message, PassedAnswer):
            if self._adopt is None:
                raise NoRoomError("only answers are taken here")
            return self._adopt(message, sockets)
        if len(self.answers) >= MOST_PASSED:
            raise NoRoomError("no place for another answer")
        answer = RelayedAnswer(
            message.remainder, message.length, message.chunked, self._now, self.answers.discard
        )
        client, host = sockets
        answer.connect(client, host, message.to_client)
        self.answers.add(answer)
        return answer

    async def _message(
        self, endpoint: socket.socket, undo: contextlib.ExitStack
    ) -> tuple[bytes, list[socket.socket]]:
        """The text of a message and the sockets that came with it, which `undo` closes."""
        data, descriptors = await self._packet(endpoint, MOST_DESCRIPTORS)
        sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
        for one in sockets:
            undo.callback(one.close)
        if len(data) < _LENGTH.size:
            raise OSError("it ended before its message")
        (length,) = _LENGTH.unpack_from(data)
        if length > MOST_MESSAGE:
            raise OSError("the message is too large")
        text = bytearray(data[_LENGTH.size :])
        while len(text) < length:
            more, _ = await self._packet(endpoint, 0)
            if not more:
                raise OSError("it ended within its message")
            text += more
        return bytes(text), sockets

    async def _packet(self, endpoint: socket.socket, descriptors: int) -> tuple[bytes, list[int]]:
        while True:
            try:
                data, received, _, _ = socket.recv_fds(endpoint, PACKET, descriptors)
                return data, received
            except BlockingIOError:
                await asyncio.sleep(LOOK_EVERY)

    async def until_done(self) -> None:
        """Wait for all answers that were taken."""
        while self.answers:
            await asyncio.sleep(0.01)

    def stop(self) -> None:
        """The process ends."""
        self.close()
        for task in self._tasks:
            task.cancel()
