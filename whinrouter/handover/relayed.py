"""Answers received from another process: each is relayed from the host's socket to the client's."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from whinrouter.memory_budget import MAX_READ_BYTES, ReadWindow
from whinrouter.net.http_messages import LAST_CHUNK, encode_chunk
from whinrouter.net.sockets import acknowledged_bytes, reset
from whinrouter.net.transport import SocketTransport
from whinrouter.streaming.flow import (
    READER_TIMEOUT_SECONDS,
    STALL_SECONDS,
    UNPROVEN_STALL_SECONDS,
    Flow,
)
from whinrouter.streaming.remainder import BrokenRemainderError, Remainder, RemainderReader

log = logging.getLogger(__name__)

CLIENT_LINGER_SECONDS = 0.5  # for the client to read the end of its answer before the socket is closed
DRAIN_CHECK_SECONDS = 0.25

# Shared by all reads, as each is consumed before the next.
_READ_BUFFER = memoryview(bytearray(MAX_READ_BYTES))


class RelayedAnswer:
    """One answer: a flow from the host's connection to the client's."""

    def __init__(
        self,
        remainder: Remainder,
        length: int | None,
        chunked: bool,
        now: Callable[[], float],
        on_done: Callable[[RelayedAnswer], None],
        window: ReadWindow,
    ) -> None:
        """`length`: bytes of the whole body, if announced; `chunked`: the client receives it in chunks.

        `now`: seconds of the event loop's clock; `on_done`: called when both connections are closed.
        `window`: the size of a read, and of what is buffered.
        """
        self.chunked, self.now, self._on_done, self.window = chunked, now, on_done, window
        self.reader = RemainderReader(remainder)
        self.client = _ClientSide(self)
        self.host = _HostSide(self)
        self.flow = Flow(self.host, length, now(), STALL_SECONDS, 0.0, window)
        self.is_over = False

    def expect_bytes(self, count: int, silent_seconds: float) -> None:
        """Bound the host's silence until so many bytes have come; it may be silent for `silent_seconds`."""
        now = self.now()
        self.flow.expect_bytes(count, UNPROVEN_STALL_SECONDS, now)
        self.flow.allow_silence(now + silent_seconds, now)

    def connect(self, client: socket.socket, host: socket.socket, client_output: bytes) -> None:
        """Set up both sockets, paused. `client_output`: bytes to be written before all others."""
        SocketTransport(host, self.host, is_frozen=True)
        SocketTransport(client, self.client, client_output, is_frozen=True)

    def activate(self) -> None:
        """Start relaying: this process is the only owner of both sockets."""
        log.info("handover: going on with an answer, %s", self.reader.remainder())
        self.flow.attach(self.client, self.now())
        if self.client.is_full:
            self.flow.sink_full(self.now())
        self.client.thaw()
        self.host.thaw()

    def abandon(self) -> None:
        """Close both sockets here without ending the answer, as another process owns it."""
        self.flow.release()
        self.close()

    def write_to_client(self, transport: asyncio.Transport, data: bytes) -> None:
        """Write a part of the body, as a chunk if the client receives chunks."""
        transport.write(encode_chunk(data) if self.chunked else data)

    def host_data_received(self, data: bytes) -> None:
        """Parse data from the host and pass on the body in it; invalid framing fails the answer."""
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
        """Handle the end of the host's connection: the end of the body, or a failure of the answer."""
        if not self.reader.is_whole:
            if not by_reset and self.reader.end():
                self.flow.end()
            else:
                self.flow.fail()

    def finish_client(self, transport: asyncio.Transport) -> None:
        """End the body, all of which was written, and then the client's connection."""
        if self.chunked:
            transport.write(LAST_CHUNK)
        transport.write_eof()
        self._close_when_drained(
            transport, self.now() + READER_TIMEOUT_SECONDS, self.client.bytes_delivered()
        )

    def _close_when_drained(self, transport: asyncio.Transport, deadline: float, previous_bytes: int) -> None:
        """Close after the last byte was sent.

        `previous_bytes`: the bytes acknowledged at the check before. A slow client has time for as long as it
        acknowledges more.
        """
        loop, latest_bytes = asyncio.get_running_loop(), self.client.bytes_delivered()
        if latest_bytes > previous_bytes:
            deadline = self.now() + READER_TIMEOUT_SECONDS
        if transport.get_write_buffer_size() == 0 or self.now() >= deadline:
            loop.call_later(CLIENT_LINGER_SECONDS, self.close)
        else:
            loop.call_later(DRAIN_CHECK_SECONDS, self._close_when_drained, transport, deadline, latest_bytes)

    def close(self) -> None:
        """Close both connections and report that the answer is over."""
        self.is_over = True
        self.host.drop()
        self.client.drop()
        self._on_done(self)

    def end_if_stuck(self, now: float) -> None:
        """Reset the client's connection if neither side has made progress for too long."""
        if self.flow.is_overdue(now) and not self.client.is_frozen:
            log.warning("closing a relayed answer that makes no progress: %s", self.flow)
            self.client.abort_body()


class _Side(asyncio.BaseProtocol):
    """One of the two connections of a relayed answer."""

    def __init__(self, answer: RelayedAnswer) -> None:
        self._answer = answer
        self.transport: SocketTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, SocketTransport)
        self.transport = transport

    @property
    def descriptor(self) -> int:
        """The socket's descriptor; -1 before it is connected."""
        return int(self.transport.get_extra_info("socket").fileno()) if self.transport is not None else -1

    @property
    def is_frozen(self) -> bool:
        """Whether reading and writing are paused."""
        return self.transport is not None and self.transport.is_frozen

    @property
    def is_full(self) -> bool:
        """Whether the write buffer is over its limit."""
        return self.transport is not None and self.transport.is_writing_paused

    def freeze(self) -> bytes:
        """Pause reading and writing; return the bytes that were not written yet."""
        return self.transport.freeze() if self.transport is not None else b""

    def thaw(self) -> None:
        """Resume reading and writing."""
        if self.transport is not None:
            self.transport.thaw()

    def drop(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()


class _HostSide(_Side, asyncio.BufferedProtocol):
    """The host's connection, which the answer is read from."""

    def get_buffer(self, sizehint: int) -> memoryview:
        return _READ_BUFFER[: self._answer.window.size]

    def buffer_updated(self, nbytes: int) -> None:
        self._answer.host_data_received(bytes(_READ_BUFFER[:nbytes]))

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


class _ClientSide(_Side, asyncio.Protocol):
    """The client's connection. It ends with this answer, so further requests of the client are not read."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=self._answer.window.size)

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
