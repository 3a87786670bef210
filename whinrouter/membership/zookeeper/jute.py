"""Jute, the encoding of ZooKeeper's client protocol, and its frames (zookeeper.jute of Apache ZooKeeper 3.9).

Numbers are big-endian; a buffer or text has its length before it, -1 for none; a frame is a length and as
many bytes. Whatever comes, reading raises nothing but `JuteError` and holds no more than the frame's bytes.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import TypeVar

MOST_FRAME = 1024 * 1024 + 64 * 1024  # jute.maxbuffer's default is 1 MiB of data; the rest is names and stat
MOST_LISTED = 100_000  # entries of one vector: ten times the children that a node should have

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

    def flag(self, value: bool) -> Writer:
        self._parts.append(b"\1" if value else b"\0")
        return self

    def buffer(self, value: bytes | None) -> Writer:
        self.i32(-1 if value is None else len(value))
        self._parts.append(value or b"")
        return self

    def text(self, value: str) -> Writer:
        return self.buffer(value.encode())

    def texts(self, values: list[str]) -> Writer:
        self.i32(len(values))
        for value in values:
            self.text(value)
        return self

    def raw(self, value: bytes) -> Writer:
        self._parts.append(value)
        return self

    def done(self) -> bytes:
        return b"".join(self._parts)


class Reader:
    """Reads one record; JuteError where it ends too soon or holds what cannot be."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._at = 0

    def _take(self, count: int) -> bytes:
        end = self._at + count
        if count < 0 or end > len(self._data):
            raise JuteError("the record ends too soon")
        taken = self._data[self._at : end]
        self._at = end
        return taken

    @property
    def left(self) -> int:
        """Bytes that were not read yet."""
        return len(self._data) - self._at

    def i32(self) -> int:
        return int(_INT.unpack(self._take(4))[0])

    def i64(self) -> int:
        return int(_LONG.unpack(self._take(8))[0])

    def flag(self) -> bool:
        return self._take(1) != b"\0"

    def buffer(self) -> bytes | None:
        length = self.i32()
        if length < -1:
            raise JuteError("a length is below -1")
        return None if length == -1 else self._take(length)

    def text(self) -> str:
        try:
            return (self.buffer() or b"").decode()
        except UnicodeDecodeError:
            raise JuteError("a text is not UTF-8") from None

    def many(self, one: Callable[[], T]) -> list[T]:
        """A vector of what `one` reads."""
        count = self.i32()
        # Each entry takes four bytes at least, so that a count that cannot be is known before any is read.
        if count > MOST_LISTED or 4 * count > self.left:
            raise JuteError("a vector is longer than its record")
        return [one() for _ in range(max(0, count))]

    def texts(self) -> list[str]:
        return self.many(self.text)


class Frames:
    """Cuts what comes into frames; what is held is one frame at most."""

    def __init__(self, most: int = MOST_FRAME) -> None:
        self._most = most
        self._held = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The frames that are now whole; JuteError at a length that no frame has. Nothing may follow that."""
        self._held += data
        frames = []
        while len(self._held) >= _INT.size:
            length = int(_INT.unpack_from(self._held)[0])
            if not 0 <= length <= self._most:
                raise JuteError(f"a frame of {length} bytes is announced")
            if len(self._held) < _INT.size + length:
                break
            frames.append(bytes(self._held[_INT.size : _INT.size + length]))
            del self._held[: _INT.size + length]
        return frames


def frame(record: bytes) -> bytes:
    """A record as it is sent."""
    return _INT.pack(len(record)) + record
