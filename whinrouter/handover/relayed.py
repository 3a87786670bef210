"""An answer whose two sockets came from another process, and that is relayed from the one to the other."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from whinrouter.net.http import LAST_CHUNK, encode_chunk
from whinrouter.net.sockets import acknowledged_bytes, reset
from whinrouter.net.transport import SocketTransport
from whinrouter.streaming.flow import READER_TIMEOUT_SECONDS, STALL_SECONDS, Flow
from whinrouter.streaming.remainder import BrokenRemainderError, Remainder, RemainderReader

log = logging.getLogger(__name__)

CLIENT_LINGER_SECONDS = 0.5  # seconds for which a client may take to see the end of its answer
DRAIN_CHECK_SECONDS = 0.25


class RelayedAnswer:
    """One answer: a flow between two protocols."""

    def __init__(
        self,
        remainder: Remainder,
        length: int | None,
        chunked: bool,
        now: Callable[[], float],
        on_done: Callable[[RelayedAnswer], None],
    ) -> None:
        """`length`: bytes of the whole body, if told; `chunked`: its client has it in chunks."""
        self.chunked, self.now, self._on_done = chunked, now, on_done
        self.reader = RemainderReader(remainder)
        self.client = _ClientSide(self)
        self.host = _HostSide(self)
        self.flow = Flow(self.host, length, now(), STALL_SECONDS, 0.0)
        self.is_over = False

    def connect(self, client: socket.socket, host: socket.socket, client_output: bytes) -> None:
        """Set both up, frozen. `to_client`: bytes that go out ahead of all others."""
        SocketTransport(host, self.host, is_frozen=True)
        SocketTransport(client, self.client, client_output, is_frozen=True)

    def activate(self) -> None:
        """Both are ours alone."""
        log.info("handover: going on with an answer, %s", self.reader.remainder())
        self.flow.attach(self.client, self.now())
        if self.client.is_full:
            self.flow.sink_full(self.now())
        self.client.thaw()
        self.host.thaw()

    def abandon(self) -> None:
        """It stays with the process that offered it."""
        self.flow.release()
        self.close()

    def write_to_client(self, transport: asyncio.Transport, data: bytes) -> None:
        transport.write(encode_chunk(data) if self.chunked else data)

    def host_data_received(self, data: bytes) -> None:
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

    def host_closed(self, by_reset: bool) -> None:
        """The host's connection is over."""
        if not self.reader.is_whole:
            if not by_reset and self.reader.end():
                self.flow.end()
            else:
                self.flow.fail()

    def finish_client(self, transport: asyncio.Transport) -> None:
        """Its client has all of it: the connection ends behind it."""
        if self.chunked:
            transport.write(LAST_CHUNK)
        transport.write_eof()
        self._close_when_drained(
            transport, self.now() + READER_TIMEOUT_SECONDS, self.client.bytes_delivered()
        )

    def _close_when_drained(
        self, transport: asyncio.Transport, deadline: float, acknowledged_bytes: int
    ) -> None:
        """End once the last byte has gone out; a slow reader has time for as long as it reads."""
        loop, latest_bytes = asyncio.get_running_loop(), self.client.bytes_delivered()
        if latest_bytes > acknowledged_bytes:
            deadline = self.now() + READER_TIMEOUT_SECONDS
        if transport.get_write_buffer_size() == 0 or self.now() >= deadline:
            loop.call_later(CLIENT_LINGER_SECONDS, self.close)
        else:
            loop.call_later(DRAIN_CHECK_SECONDS, self._close_when_drained, transport, deadline, latest_bytes)

    def close(self) -> None:
        """Close both."""
        self.is_over = True
        self.host.drop()
        self.client.drop()
        self._on_done(self)

    def end_if_stuck(self, now: float) -> None:
        """Cut it off if neither side has moved it for too long."""
        if self.flow.is_overdue(now) and not self.client.is_frozen:
            log.warning("a body that was passed on is not moved any more: %s", self.flow)
            self.client.abort_body()


class _Side(asyncio.Protocol):
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
        return self.transport is not None and self.transport.is_writing_paused

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


class _HostSide(_Side):
    """Where the answer comes from."""

    def data_received(self, data: bytes) -> None:
        self._answer.host_data_received(data)

    def eof_received(self) -> None:
        self._answer.host_closed(by_reset=False)

    def connection_lost(self, exc: Exception | None) -> None:
        self._answer.host_closed(by_reset=exc is not None)

    def pause_reading(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def cancel_reading(self) -> None:
        self.drop()


class _ClientSide(_Side):
    """Where it goes. What the client sends behind its request is not read: the connection ends."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=64 * 1024)

    def write_body(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self._answer.write_to_client(self.transport, data)

    def finish_body(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self._answer.finish_client(self.transport)

    def abort_body(self) -> None:
        if self.transport is not None:
            reset(self.transport)
        self._answer.close()

    def bytes_delivered(self) -> int:
        return acknowledged_bytes(self.transport) if self.transport is not None else -1

    def pause_writing(self) -> None:
        self._answer.flow.sink_full(self._answer.now())

    def resume_writing(self) -> None:
        self._answer.flow.sink_ready(self._answer.now())

    def connection_lost(self, exc: Exception | None) -> None:
        self._answer.flow.cancel()
        self._answer.close()
