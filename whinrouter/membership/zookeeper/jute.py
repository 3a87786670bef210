"""Jute, the encoding of ZooKeeper's client protocol, and its frames (zookeeper.jute of Apache ZooKeeper 3.9).

Numbers are big-endian; a buffer or string has its length before it, -1 for null; a frame is a length and as
many bytes. Whatever arrives, decoding raises nothing but `JuteError` and buffers no more than the bytes of
one frame.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import TypeVar

# The default of jute.maxbuffer is 1 MiB of data; the rest is for names and metadata.
MAX_FRAME_BYTES = 1024 * 1024 + 64 * 1024
MAX_VECTOR_LENGTH = 100_000  # ten times the number of children that a node should have

T = TypeVar("T")

_INT, _LONG = struct.Struct(">i"), struct.Struct(">q")


class JuteError(Exception):
    """The data is not valid in this protocol; the connection can't be used any more."""


class Writer:
    """Encodes one record. Each method appends a value and returns the writer."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []

    def i32(self, value: int) -> Writer:
        self._parts.append(_INT.pack(value))
        return self

    def i64(self, value: int) -> Writer:
        self._parts.append(_LONG.pack(value))
        return self

    def boolean(self, value: bool) -> Writer:
        self._parts.append(b"\1" if value else b"\0")
        return self

    def buffer(self, value: bytes | None) -> Writer:
        self.i32(-1 if value is None else len(value))
        self._parts.append(value or b"")
        return self

    def string(self, value: str) -> Writer:
        return self.buffer(value.encode())

    def strings(self, values: list[str]) -> Writer:
        self.i32(len(values))
        for value in values:
            self.string(value)
        return self

    def raw(self, value: bytes) -> Writer:
        """Append bytes that are encoded already."""
        self._parts.append(value)
        return self

    def to_bytes(self) -> bytes:
        """The record that was written so far."""
        return b"".join(self._parts)


class Reader:
    """Decodes one record. Each method raises JuteError if the record is too short or the value is invalid."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._position = 0

    def _read_bytes(self, count: int) -> bytes:
        end = self._position + count
        if count < 0 or end > len(self._data):
            raise JuteError("the record is too short")
        value = self._data[self._position : end]
        self._position = end
        return value

    @property
    def remaining(self) -> int:
        """The number of bytes that were not read yet."""
        return len(self._data) - self._position

    def i32(self) -> int:
        return int(_INT.unpack(self._read_bytes(4))[0])

    def i64(self) -> int:
        return int(_LONG.unpack(self._read_bytes(8))[0])

    def boolean(self) -> bool:
        return self._read_bytes(1) != b"\0"

    def buffer(self) -> bytes | None:
        length = self.i32()
        if length < -1:
            raise JuteError("a buffer has a negative length")
        return None if length == -1 else self._read_bytes(length)

    def string(self) -> str:
        """A string; a null one is returned as empty."""
        try:
            return (self.buffer() or b"").decode()
        except UnicodeDecodeError:
            raise JuteError("a string is not UTF-8") from None

    def vector(self, read_entry: Callable[[], T]) -> list[T]:
        """A vector of entries that `read_entry` reads."""
        count = self.i32()
        # Each entry takes at least four bytes, so an impossible count is detected before any entry is read.
        if count > MAX_VECTOR_LENGTH or 4 * count > self.remaining:
            raise JuteError("a vector is longer than its record")
        return [read_entry() for _ in range(max(0, count))]

    def strings(self) -> list[str]:
        return self.vector(self.string)


class FrameDecoder:
    """Splits a stream into frames; buffers at most one frame."""

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self._max_bytes = max_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the frames that are whole now; JuteError at an invalid length, which ends the stream."""
        self._buffer += data
        frames = []
        while len(self._buffer) >= _INT.size:
            length = int(_INT.unpack_from(self._buffer)[0])
            if not 0 <= length <= self._max_bytes:
                raise JuteError(f"a frame of {length} bytes is announced")
            if len(self._buffer) < _INT.size + length:
                break
            frames.append(bytes(self._buffer[_INT.size : _INT.size + length]))
            del self._buffer[: _INT.size + length]
        return frames


def encode_frame(record: bytes) -> bytes:
    """A record as it is sent, with its length in front."""
    return _INT.pack(len(record)) + record
