"""Long answers that go on in the next process: two open sockets and what is still to come.

Theory of operation. A process that is replaced may be ended before its hosts have given the whole of the
answers that it passes on. It hands each of them over on a socket of its own (`SOCK_SEQPACKET`, beside the
line of `channel.py`): one message, with the client's and the host's descriptors (SCM_RIGHTS).

    older:  PASSING --stop reading the host, let the client's bytes go out--> QUIET
            QUIET --the message, with both descriptors--> OFFERED
            OFFERED --"held" comes--> let go: close both, without a word to either peer
            OFFERED --anything else, or nothing in time--> go on as before
    newer:  the message --both are read and written here--> "held", and from then on it is its own

Either may be killed at any step: before "held" has been said nobody else has read or written, and after it
the newer process has both. An answer that is not quiet in time, or whose framing can't be told in the middle
(`ResponseReader.remainder`), stays where it is until the process ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any, Protocol

import msgspec

from whinrouter.net.connect import LISTEN_PAUSES, with_retries
from whinrouter.net.http import LAST_CHUNK, chunk
from whinrouter.net.sockets import acknowledged, reset
from whinrouter.streaming.flow import STALL, TAKES, Flow
from whinrouter.streaming.remainder import BrokenRemainderError, Remainder, RemainderReader

log = logging.getLogger(__name__)

MOST_MESSAGE = 4096  # bytes of one message
MOST_PASSED = 256  # answers that a process goes on with
HELD = b"held"
ANSWER_TIME = 1.0  # seconds within which the newer process says that it holds both
QUIET_TIME = 3.0  # seconds within which the client's bytes have to go out
LOOK_EVERY = 0.005
SWEEP_EVERY = 0.25
LINGER = 0.5  # seconds for which a client may take to see the end of its answer


class PassedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """One answer that is under way."""

    remainder: Remainder
    length: int | None  # bytes of the whole body, as its client was told
    chunked: bool  # its client has it in chunks


class PassableAnswer(Protocol):
    """An answer that is passed on here, as far as handing it over needs to know."""

    def pause(self) -> PassedAnswer | None:
        """Read no more of it; None if it can't be told now what is to come, and it goes on."""

    def is_quiet(self) -> bool:
        """Whether all that was read has gone out to its client."""

    @property
    def is_over(self) -> bool:
        """Whether it ended, or its client left."""

    def descriptors(self) -> tuple[int, int]:
        """The client's and the host's."""

    def resume(self) -> None:
        """It stays here: go on."""

    def let_go(self) -> None:
        """Another process holds both: close them here, without a word to either peer."""


@contextlib.contextmanager
def _short(path: Path) -> Iterator[str]:
    """The path in few enough characters for a socket's name (108)."""
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


class Offering:
    """The older process's side."""

    def __init__(self, path: Path) -> None:
        self._path = path

    async def hand_over(self, answer: PassableAnswer) -> bool:
        """Whether an answer is the newer process's now; if not it goes on here, unless it is over."""
        message = await self._quiet(answer)
        if message is None:
            return False
        try:
            is_held = await self._offer(answer, message)
        except (OSError, TimeoutError) as error:
            log.warning("handover: an answer can't be passed on: %s", error or "no word in time")
            is_held = False
        if answer.is_over:
            return False
        if is_held:
            answer.let_go()
        else:
            answer.resume()
        return is_held

    async def _quiet(self, answer: PassableAnswer) -> PassedAnswer | None:
        loop = asyncio.get_running_loop()
        ends = loop.time() + QUIET_TIME
        message = answer.pause()
        while not answer.is_over and loop.time() < ends:
            message = message or answer.pause()
            if message is not None and answer.is_quiet():
                return message
            await asyncio.sleep(LOOK_EVERY)
        if not answer.is_over and message is not None:
            answer.resume()
        return None

    async def _offer(self, answer: PassableAnswer, message: PassedAnswer) -> bool:
        loop = asyncio.get_running_loop()
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as endpoint:
            endpoint.setblocking(False)
            with _short(self._path) as short:
                endpoint.connect(short)
            socket.send_fds(endpoint, [msgspec.msgpack.encode(message)], list(answer.descriptors()))
            async with asyncio.timeout(ANSWER_TIME):
                return await loop.sock_recv(endpoint, len(HELD)) == HELD


class Taking:
    """The newer process's side: it goes on with what older ones began."""

    def __init__(self, path: Path, now: Callable[[], float]) -> None:
        self._path, self._now = path, now
        self._listener: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.answers: set[_GoingOn] = set()

    async def open(self) -> None:
        """Be the one at the path."""
        self.close()
        try:
            await with_retries(self._listen, LISTEN_PAUSES)
        except OSError as error:
            log.warning("handover: no answer can be passed on here (%s)", error)

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
            except (OSError, TimeoutError, msgspec.DecodeError) as error:
                log.warning("handover: an answer was not taken: %s", error)

    async def _receive(self, endpoint: socket.socket) -> None:
        data, descriptors = await self._message(endpoint)
        with contextlib.ExitStack() as undo:
            sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
            for one in sockets:
                undo.callback(one.close)
            if len(sockets) != 2 or len(self.answers) >= MOST_PASSED:
                raise OSError("no place for it, or not two sockets")
            message: PassedAnswer = msgspec.msgpack.decode(data, type=PassedAnswer)
            answer = _GoingOn(message, self._now, self.answers.discard)
            await answer.connect(*sockets)
            undo.pop_all()
        endpoint.send(HELD)
        self.answers.add(answer)
        answer.begin()
        log.info("handover: going on with an answer, %s", message.remainder)

    async def _message(self, endpoint: socket.socket) -> tuple[bytes, list[int]]:
        while True:
            try:
                data, descriptors, _, _ = socket.recv_fds(endpoint, MOST_MESSAGE, 2)
                return data, descriptors
            except BlockingIOError:
                await asyncio.sleep(LOOK_EVERY)

    async def until_done(self) -> None:
        """Wait for all that was taken."""
        while self.answers:
            await asyncio.sleep(0.01)

    def stop(self) -> None:
        """The process ends."""
        self.close()
        for task in self._tasks:
            task.cancel()


class _GoingOn:
    """One answer whose sockets came from another process: a flow between two protocols."""

    def __init__(
        self, message: PassedAnswer, now: Callable[[], float], done: Callable[[_GoingOn], None]
    ) -> None:
        self._message, self.now, self._done = message, now, done
        self._reader = RemainderReader(message.remainder)
        self._client = _ClientEnd(self)
        self._host = _HostEnd(self)
        self.flow = Flow(self._host, message.length, now(), STALL, 0.0)

    async def connect(self, client: socket.socket, host: socket.socket) -> None:
        """Have both read and written by this loop, though nothing is read yet."""
        loop = asyncio.get_running_loop()
        client.setblocking(False)
        host.setblocking(False)
        await loop.connect_accepted_socket(lambda: self._host, host)
        self._host.hold()
        await loop.connect_accepted_socket(lambda: self._client, client)

    def begin(self) -> None:
        """Both are ours alone."""
        self.flow.attach(self._client, self.now())
        self._host.go_on()

    def write(self, transport: asyncio.Transport, data: bytes) -> None:
        transport.write(chunk(data) if self._message.chunked else data)

    def came(self, data: bytes) -> None:
        """The host gave more of it."""
        try:
            body = self._reader.feed(data)
        except BrokenRemainderError as error:
            log.warning("a host's answer is of no use: %s", error)
            self.flow.fail()
            return
        if body:
            self.flow.put(body, self.now())
        if self._reader.is_whole:
            self.flow.end()

    def host_ended(self, by_reset: bool) -> None:
        if not self._reader.is_whole:
            if not by_reset and self._reader.end():
                self.flow.end()
            else:
                self.flow.fail()

    def whole(self, transport: asyncio.Transport) -> None:
        """Its client has all of it: the connection ends behind it."""
        if self._message.chunked:
            transport.write(LAST_CHUNK)
        transport.write_eof()
        self._wait_for_reader(transport, self.now() + TAKES, self._client.taken())

    def _wait_for_reader(self, transport: asyncio.Transport, ends: float, taken: int) -> None:
        """End once the last byte has gone out; a slow reader has time for as long as it reads."""
        loop, latest = asyncio.get_running_loop(), self._client.taken()
        if latest > taken:
            ends = self.now() + TAKES
        if transport.get_write_buffer_size() == 0 or self.now() >= ends:
            loop.call_later(LINGER, self.end)
        else:
            loop.call_later(SWEEP_EVERY, self._wait_for_reader, transport, ends, latest)

    def end(self) -> None:
        self._host.drop()
        self._client.drop()
        self._done(self)

    def end_if_stuck(self, now: float) -> None:
        if self.flow.overdue(now):
            log.warning("a body that was passed on is not moved any more: %s", self.flow)
            self._client.cut()


class _End(asyncio.Protocol):
    def __init__(self, answer: _GoingOn) -> None:
        self._answer = answer
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def drop(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class _HostEnd(_End):
    """Where the answer comes from."""

    def data_received(self, data: bytes) -> None:
        self._answer.came(data)

    def eof_received(self) -> None:
        self._answer.host_ended(by_reset=False)

    def connection_lost(self, exc: Exception | None) -> None:
        self._answer.host_ended(by_reset=exc is not None)

    def hold(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def go_on(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def unwanted(self) -> None:
        self.drop()


class _ClientEnd(_End):
    """Where it goes. What the client sends behind its request is not read: the connection ends."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=64 * 1024)  # type: ignore[attr-defined]

    def take(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self._answer.write(self.transport, data)

    def took_all(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self._answer.whole(self.transport)

    def cut(self) -> None:
        if self.transport is not None:
            reset(self.transport)
        self._answer.end()

    def taken(self) -> int:
        return acknowledged(self.transport) if self.transport is not None else -1

    def pause_writing(self) -> None:
        self._answer.flow.full(self._answer.now())

    def resume_writing(self) -> None:
        self._answer.flow.room(self._answer.now())

    def connection_lost(self, exc: Exception | None) -> None:
        self._answer.flow.cancel()
        self._answer.end()
