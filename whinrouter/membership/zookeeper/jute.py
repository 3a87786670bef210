"""Jute, the encoding of ZooKeeper's client protocol, and its frames (zookeeper.jute of Apache ZooKeeper 3.9).

Numbers are big-endian; a buffer or text has its length before it, -1 for none; a frame is a length and as
many bytes. Whatever comes, reading raises nothing but `JuteError` and holds no more than the frame's bytes.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import TypeVar

MAX_FRAME_BYTES = (
    1024 * 1024 + 64 * 1024
)  # jute.maxbuffer's default is 1 MiB of data; the rest is names and stat
MAX_VECTOR_LENGTH = 100_000  # entries of one vector: ten times the children that a node should have

T = TypeVar("T")

_INT, _LONG = struct.Struct(">i"), struct.Struct(">q")


class JuteError(Exception):
    """What came is not this protocol; the connection is of no more use."""


class Writer:
    """Builds one record."""

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
        self._parts.append(value)
        return self

    def to_bytes(self) -> bytes:
        return b"".join(self._parts)


class Reader:
    """Reads one record; JuteError where it ends too soon or holds what cannot be."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._position = 0

    def _take(self, count: int) -> bytes:
        end = self._position + count
        if count < 0 or end > len(self._data):
            raise JuteError("the record ends too soon")
        value = self._data[self._position : end]
        self._position = end
        return value

    @property
    def remaining(self) -> int:
        """Bytes that were not read yet."""
        return len(self._data) - self._position

    def i32(self) -> int:
        return int(_INT.unpack(self._take(4))[0])

    def i64(self) -> int:
        return int(_LONG.unpack(self._take(8))[0])

    def boolean(self) -> bool:
        return self._take(1) != b"\0"

    def buffer(self) -> bytes | None:
        length = self.i32()
        if length < -1:
            raise JuteError("a length is below -1")
        return None if length == -1 else self._take(length)

    def string(self) -> str:
        try:
            return (self.buffer() or b"").decode()
        except UnicodeDecodeError:
            raise JuteError("a string is not UTF-8") from None

    def vector(self, read_entry: Callable[[], T]) -> list[T]:
        """A vector of what `one` reads."""
        count = self.i32()
        # Each entry takes four bytes at least, so that a count that cannot be is known before any is read.
        if count > MAX_VECTOR_LENGTH or 4 * count > self.remaining:
            raise JuteError("a vector is longer than its record")
        return [read_entry() for _ in range(max(0, count))]

    def strings(self) -> list[str]:
        return self.vector(self.string)


class FrameDecoder:
    """Cuts what comes into frames; what is held is one frame at most."""

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self._max_bytes = max_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The frames that are now whole; JuteError at a length that no frame has. Nothing may follow that."""
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
    """A record as it is sent."""
    return _INT.pack(len(record)) + record
