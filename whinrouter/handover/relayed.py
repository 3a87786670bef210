"""An answer whose two sockets came from another process, and that is relayed from the one to the other."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from whinrouter.net.http import LAST_CHUNK, chunk
from whinrouter.net.sockets import acknowledged, reset
from whinrouter.net.transport import SocketTransport
from whinrouter.streaming.flow import STALL, TAKES, Flow
from whinrouter.streaming.remainder import BrokenRemainderError, Remainder, RemainderReader

log = logging.getLogger(__name__)

LINGER = 0.5  # seconds for which a client may take to see the end of its answer
LOOK_EVERY = 0.25


class RelayedAnswer:
    """One answer: a flow between two protocols."""

    def __init__(
        self,
        remainder: Remainder,
        length: int | None,
        chunked: bool,
        now: Callable[[], float],
        done: Callable[[RelayedAnswer], None],
    ) -> None:
        """`length`: bytes of the whole body, if told; `chunked`: its client has it in chunks."""
        self.chunked, self.now, self._done = chunked, now, done
        self.reader = RemainderReader(remainder)
        self.client = _ClientEnd(self)
        self.host = _HostEnd(self)
        self.flow = Flow(self.host, length, now(), STALL, 0.0)
        self.is_over = False

    def connect(self, client: socket.socket, host: socket.socket, to_client: bytes) -> None:
        """Set both up, frozen. `to_client`: bytes that go out ahead of all others."""
        SocketTransport(host, self.host, frozen=True)
        SocketTransport(client, self.client, to_client, frozen=True)

    def begin(self) -> None:
        """Both are ours alone."""
        log.info("handover: going on with an answer, %s", self.reader.remainder())
        self.flow.attach(self.client, self.now())
        if self.client.is_full:
            self.flow.full(self.now())
        self.client.thaw()
        self.host.thaw()

    def abandon(self) -> None:
        """It stays with the process that offered it."""
        self.flow.release()
        self.end()

    def write(self, transport: asyncio.Transport, data: bytes) -> None:
        transport.write(chunk(data) if self.chunked else data)

    def came(self, data: bytes) -> None:
        """The host gave more of it."""
        try:
            body = self.reader.feed(data)
        except BrokenRemainderError as error:
            log.warning("a host's answer is of no use: %s", error)
            self.flow.fail()
            return
        if body:
            self.flow.put(body, self.now())
        if self.reader.is_whole:
            self.flow.end()

    def host_ended(self, by_reset: bool) -> None:
        """The host's connection is over."""
        if not self.reader.is_whole:
            if not by_reset and self.reader.end():
                self.flow.end()
            else:
                self.flow.fail()

    def whole(self, transport: asyncio.Transport) -> None:
        """Its client has all of it: the connection ends behind it."""
        if self.chunked:
            transport.write(LAST_CHUNK)
        transport.write_eof()
        self._wait_for_reader(transport, self.now() + TAKES, self.client.taken())

    def _wait_for_reader(self, transport: asyncio.Transport, ends: float, taken: int) -> None:
        """End once the last byte has gone out; a slow reader has time for as long as it reads."""
        loop, latest = asyncio.get_running_loop(), self.client.taken()
        if latest > taken:
            ends = self.now() + TAKES
        if transport.get_write_buffer_size() == 0 or self.now() >= ends:
            loop.call_later(LINGER, self.end)
        else:
            loop.call_later(LOOK_EVERY, self._wait_for_reader, transport, ends, latest)

    def end(self) -> None:
        """Close both."""
        self.is_over = True
        self.host.drop()
        self.client.drop()
        self._done(self)

    def end_if_stuck(self, now: float) -> None:
        """Cut it off if neither side has moved it for too long."""
        if self.flow.overdue(now) and not self.client.is_frozen:
            log.warning("a body that was passed on is not moved any more: %s", self.flow)
            self.client.cut()


class _End(asyncio.Protocol):
    def __init__(self, answer: RelayedAnswer) -> None:
        self._answer = answer
        self.transport: SocketTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, SocketTransport)
        self.transport = transport

    @property
    def descriptor(self) -> int:
        """Its socket's."""
        return int(self.transport.get_extra_info("socket").fileno()) if self.transport is not None else -1

    @property
    def is_frozen(self) -> bool:
        """Whether it neither reads nor writes."""
        return self.transport is not None and self.transport.is_frozen

    @property
    def is_full(self) -> bool:
        """Whether it takes no more for now."""
        return self.transport is not None and self.transport.is_full

    def freeze(self) -> bytes:
        """Neither read nor write; the bytes that have not gone out."""
        return self.transport.freeze() if self.transport is not None else b""

    def thaw(self) -> None:
        """Read and write again."""
        if self.transport is not None:
            self.transport.thaw()

    def drop(self) -> None:
        """Close it now."""
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
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=64 * 1024)

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
