"""An asyncio transport for a stream socket that exposes its unsent bytes and can be handed over.

asyncio's own transport keeps the bytes that the kernel has not accepted in a private buffer, so a connection
could be handed over to another process only once its peer had read everything, and a slow reader takes
longer over that than a replaced process lives. Apart from that this class behaves like asyncio's
`_SelectorSocketTransport`; it uses only public methods of the event loop.

    OPEN --freeze--> FROZEN --thaw--> OPEN        either --close, abort, an error--> CLOSED

A frozen transport neither reads nor writes, whatever its protocol requests; the other process continues with
the bytes that it then holds. Closing a frozen transport closes one of two descriptors of the connection:
nothing is sent to the peer as long as the other descriptor is open.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

HIGH_WATER_BYTES = 64 * 1024  # unsent bytes above which the protocol has to pause writing

_NO_PROTOCOL = asyncio.BaseProtocol()  # of a connection that is over


class SocketTransport(asyncio.Transport):
    """One connected socket and its protocol, an `asyncio.Protocol` or an `asyncio.BufferedProtocol`."""

    def __init__(
        self,
        connected_socket: socket.socket,
        protocol: asyncio.BaseProtocol,
        unsent: bytes = b"",
        is_frozen: bool = False,
    ) -> None:
        """Start to read at once, unless `is_frozen`. `unsent`: bytes that are sent before all others."""
        extra = {"socket": connected_socket, "peername": _address_or_none(connected_socket.getpeername)}
        super().__init__(extra | {"sockname": _address_or_none(connected_socket.getsockname)})
        connected_socket.setblocking(False)
        if connected_socket.family in (socket.AF_INET, socket.AF_INET6):
            connected_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._loop = asyncio.get_running_loop()
        self._socket, self._descriptor = connected_socket, connected_socket.fileno()
        self._protocol = protocol
        self._buffer = bytearray(unsent)
        self._high_water_bytes, self._low_water_bytes = HIGH_WATER_BYTES, HIGH_WATER_BYTES // 4
        self._is_writing_paused = False  # the protocol's `pause_writing` was called
        self._is_writer_registered = False  # the loop polls the socket for writability
        self._is_reading = True  # the protocol has not paused reading
        self._is_frozen = is_frozen
        self._is_closing = self._is_disconnected = self._is_eof_requested = False
        protocol.connection_made(self)
        self._pause_writing_if_full()
        self._update_reader()
        self._update_writer()

    @property
    def is_frozen(self) -> bool:
        """Whether the transport is frozen."""
        return self._is_frozen

    @property
    def is_writing_paused(self) -> bool:
        """Whether the protocol has to pause writing until `resume_writing` is called."""
        return self._is_writing_paused

    def freeze(self) -> bytes:
        """Stop reading and writing until `thaw`; return the unsent bytes."""
        self._is_frozen = True
        self._update_reader()
        self._update_writer()
        return bytes(self._buffer)

    def thaw(self) -> None:
        """Resume reading and writing after `freeze`."""
        self._is_frozen = False
        self._update_reader()
        self._update_writer()

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self._protocol

    def is_closing(self) -> bool:
        return self._is_closing

    def is_reading(self) -> bool:
        return self._is_reading and not self._is_closing

    def pause_reading(self) -> None:
        self._is_reading = False
        self._update_reader()

    def resume_reading(self) -> None:
        self._is_reading = True
        self._update_reader()

    def _update_reader(self) -> None:
        if self._is_disconnected:
            return
        if self._is_reading and not (self._is_frozen or self._is_closing):
            self._loop.add_reader(self._descriptor, self._read_ready)
        else:
            self._loop.remove_reader(self._descriptor)

    def _update_writer(self) -> None:
        """Poll for writability while there are unsent bytes."""
        is_needed = bool(self._buffer) and not (self._is_frozen or self._is_disconnected)
        if is_needed and not self._is_writer_registered:
            self._loop.add_writer(self._descriptor, self._write_ready)
        elif self._is_writer_registered and not is_needed:
            self._loop.remove_writer(self._descriptor)
        self._is_writer_registered = is_needed

    def _read_ready(self) -> None:
        if self._is_disconnected:
            return
        try:
            count = self._receive()
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._force_close(error)
            return
        except Exception as error:
            self._handle_protocol_error(error)
            return
        if not count:
            self._handle_eof()

    def _receive(self) -> int:
        protocol = self._protocol
        if isinstance(protocol, asyncio.BufferedProtocol):
            count = self._socket.recv_into(protocol.get_buffer(-1))
            if count:
                protocol.buffer_updated(count)
            return count
        assert isinstance(protocol, asyncio.Protocol)
        data = self._socket.recv(HIGH_WATER_BYTES)
        if data:
            protocol.data_received(data)
        return len(data)

    def _handle_eof(self) -> None:
        protocol = self._protocol
        assert isinstance(protocol, asyncio.BufferedProtocol | asyncio.Protocol)
        if protocol.eof_received():
            self._loop.remove_reader(self._descriptor)
        else:
            self.close()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self._is_eof_requested:
            raise RuntimeError("cannot write after write_eof()")
        if not data or self._is_disconnected:
            return
        if not (self._buffer or self._is_frozen):
            try:
                sent = self._socket.send(data)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError as error:
                self._force_close(error)
                return
            if sent == len(data):
                return
            data = memoryview(data)[sent:]
        self._buffer += data
        self._update_writer()
        self._pause_writing_if_full()

    def _pause_writing_if_full(self) -> None:
        if len(self._buffer) > self._high_water_bytes and not self._is_writing_paused:
            self._is_writing_paused = True
            self._protocol.pause_writing()

    def _write_ready(self) -> None:
        if self._is_disconnected or self._is_frozen:
            return
        try:
            sent = self._socket.send(self._buffer)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._force_close(error)
            return
        del self._buffer[:sent]
        if self._is_writing_paused and len(self._buffer) <= self._low_water_bytes:
            self._is_writing_paused = False
            self._protocol.resume_writing()
        if self._buffer:
            return
        self._update_writer()
        if self._is_closing:
            self._schedule_connection_lost(None)
        elif self._is_eof_requested:
            self._shut_down_writing()

    def write_eof(self) -> None:
        if self._is_closing or self._is_eof_requested:
            return
        self._is_eof_requested = True
        if not self._buffer:
            self._shut_down_writing()

    def _shut_down_writing(self) -> None:
        if not self._is_frozen:
            self._socket.shutdown(socket.SHUT_WR)

    def can_write_eof(self) -> bool:
        return True

    def get_write_buffer_size(self) -> int:
        return len(self._buffer)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return self._low_water_bytes, self._high_water_bytes

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        if high is None:
            high = HIGH_WATER_BYTES if low is None else 4 * low
        self._high_water_bytes = high
        self._low_water_bytes = high // 4 if low is None else low
        self._pause_writing_if_full()

    def close(self) -> None:
        if self._is_closing:
            return
        self._is_closing = True
        self._update_reader()
        if not self._buffer:
            self._schedule_connection_lost(None)

    def abort(self) -> None:
        self._force_close(None)

    def _force_close(self, error: Exception | None) -> None:
        """Close now and discard the unsent bytes."""
        if self._is_disconnected:
            return
        self._buffer.clear()
        self._update_writer()
        self._is_closing = True
        self._update_reader()
        self._schedule_connection_lost(error)

    def _handle_protocol_error(self, error: Exception) -> None:
        """Report an exception that the protocol raised on input, and close."""
        self._loop.call_exception_handler(
            {"message": "the protocol failed to process input", "exception": error, "transport": self}
        )
        self._force_close(error)

    def _schedule_connection_lost(self, error: Exception | None) -> None:
        if self._is_disconnected:
            return
        self._is_disconnected = True
        self._loop.call_soon(self._connection_lost, error)

    def _connection_lost(self, error: Exception | None) -> None:
        try:
            self._protocol.connection_lost(error)
        finally:
            self._socket.close()
            # Transport and protocol refer to each other: only the garbage collector would free them.
            self._protocol = _NO_PROTOCOL


def _address_or_none(get_address: Callable[[], Any]) -> Any:
    """Return an address of a socket; None if the kernel does not know it, as after a reset by the peer."""
    try:
        return get_address()
    except OSError:
        return None
