"""What is still to come of a body, in a form that another process can go on from. No I/O, no clock.

A body's rest is told by its framing alone: so many bytes, all up to the connection's end, or chunks of which
the one that is under way has so many bytes left, none if the size of the next one comes first. Whoever goes
on has a fresh parser, which is given a head of that framing first.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Protocol, runtime_checkable

import httptools

MAX_SIZE_LINE_BYTES = (
    256  # bytes of a line with a chunk's size that are looked at, to tell what is left of it
)


class Framing(Enum):
    """How the end of a body is told."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION_END = "connection end"


class Remainder(NamedTuple):
    """The rest of one body."""

    framing: Framing
    bytes_left: int  # of the body, of its present chunk, or 0 where its connection's end tells


@runtime_checkable
class MovableSource(Protocol):
    """A connection that a body comes from, and that another process can go on reading."""

    def remainder(self) -> Remainder | None:
        """What is still to come behind the last byte that was read; None if that can't be told now."""

    @property
    def descriptor(self) -> int:
        """Its socket's."""

    def release(self) -> None:
        """Another process holds it: close it here, without a word to the peer."""


class BrokenRemainderError(Exception):
    """What comes is no rest of such a body."""


class ChunkTracker:
    """Keeps count of what is left of the chunk that the latest read of a body ended in.

    The parser tells where chunks begin and end and gives out their bytes; how many are left of one it does
    not tell, and the line with a chunk's size may have come in an earlier read.
    """

    def __init__(self, bytes_left: int | None = None) -> None:
        self.bytes_left = (
            bytes_left  # of the present chunk; 0: the next one's size comes next; None: nobody can tell
        )
        self._at_end = 0  # bytes of the latest read, at its end, that are of a chunk that goes on
        self._is_between = bytes_left == 0  # the parser waits for a chunk's size
        self._before = b"\r\n" if bytes_left == 0 else b""  # the latest bytes that were fed

    def begin_read(self) -> None:
        """A read is fed to the parser."""
        self._at_end = 0

    def add(self, count: int) -> None:
        """The parser gave out so many bytes of a chunk."""
        self._at_end += count

    def chunk_started(self) -> None:
        """The line with a chunk's size is whole."""
        self._at_end, self._is_between = 0, False

    def chunk_ended(self) -> None:
        """A chunk is whole, or the head in front of the first."""
        self._at_end, self._is_between = 0, True

    def end_read(self, data: bytes | memoryview) -> None:
        """The parser has used up a read."""
        if self._at_end >= len(data) and self.bytes_left:
            self.bytes_left = self.bytes_left - len(data) or None  # the end of its line is still to come
        else:
            begins = len(data) - self._at_end
            before = bytes(data[max(0, begins - MAX_SIZE_LINE_BYTES) : begins])
            if begins < MAX_SIZE_LINE_BYTES:
                before = self._before + before
            self.bytes_left = chunk_bytes_left(before, self._at_end)
        self._before = (self._before + bytes(data[-MAX_SIZE_LINE_BYTES:]))[-MAX_SIZE_LINE_BYTES:]
        if self._is_between and self._before.endswith(b"\r\n"):  # nothing of the next size has come
            self.bytes_left = 0


class RemainderReader:
    """Takes the rest of a body as its connection brings it, and gives out the body's bytes."""

    def __init__(self, remainder: Remainder) -> None:
        self._framing = remainder.framing
        self._bytes_left = remainder.bytes_left  # of a body whose length is told
        self.is_whole = False
        self.has_surplus = False  # bytes came behind the body
        self._body: list[bytes] = []
        self._chunks = ChunkTracker(remainder.bytes_left)
        self._parser = httptools.HttpResponseParser(self)
        self._parser.feed_data(response_head(remainder))
        self._chunks = ChunkTracker(remainder.bytes_left)  # the head's own chunk line is none of the body's

    def feed(self, data: bytes) -> bytes:
        """The bytes of the body in what came; BrokenRemainderError if it can't be read."""
        if self.is_whole:
            self.has_surplus = self.has_surplus or bool(data)
            return b""
        self._body = []
        self._chunks.begin_read()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self.is_whole:
                raise BrokenRemainderError(str(error)) from None
            self.has_surplus = True
        body = b"".join(self._body)
        if self._framing is Framing.CHUNKED:
            self._chunks.end_read(data)
        elif self._framing is Framing.LENGTH:
            self._bytes_left -= len(body)
        return body

    def remainder(self) -> Remainder | None:
        """What is still to come; None if that can't be told now."""
        bytes_left = self._chunks.bytes_left if self._framing is Framing.CHUNKED else self._bytes_left
        return None if bytes_left is None or self.is_whole else Remainder(self._framing, bytes_left)

    def end(self) -> bool:
        """The connection has ended; whether the body is whole with it."""
        self.is_whole = self.is_whole or self._framing is Framing.CONNECTION_END
        return self.is_whole

    def on_body(self, data: bytes) -> None:
        if not self.is_whole:
            self._body.append(data)
            self._chunks.add(len(data))

    def on_chunk_header(self) -> None:
        self._chunks.chunk_started()

    def on_chunk_complete(self) -> None:
        self._chunks.chunk_ended()

    def on_message_complete(self) -> None:
        self.is_whole = True

    def on_message_begin(self) -> None:
        self.has_surplus = self.is_whole


def response_head(remainder: Remainder) -> bytes:
    """A head behind which a parser of answers takes the rest of this body."""
    return b"HTTP/1.1 200 OK\r\n" + _framing_lines(remainder)


def request_head(remainder: Remainder) -> bytes:
    """A head behind which a parser of requests takes the rest of this body."""
    return b"POST / HTTP/1.1\r\n" + _framing_lines(remainder)


def _framing_lines(remainder: Remainder) -> bytes:
    match remainder.framing:
        case Framing.LENGTH:
            return b"content-length: %d\r\n\r\n" % remainder.bytes_left
        case Framing.CHUNKED:
            size_line = b"%x\r\n" % remainder.bytes_left if remainder.bytes_left else b""
            return b"transfer-encoding: chunked\r\n\r\n" + size_line
        case Framing.CONNECTION_END:
            return b"connection: close\r\n\r\n"


def chunk_bytes_left(before: bytes, received: int) -> int | None:
    """Bytes that are left of a chunk of which so many came; None if that can't be told.

    `before`: the raw bytes before them, which end with the line that tells the chunk's size. That line has to
    be there as a whole, with the end of the one before it.
    """
    if received <= 0 or not before.endswith(b"\r\n"):
        return None
    line_begins = before.rfind(b"\r\n", 0, len(before) - 2)
    if line_begins < 0:
        return None
    size = before[line_begins + 2 : -2].split(b";")[0].strip()
    try:
        bytes_left = int(size, 16) - received
    except ValueError:
        return None
    return bytes_left if bytes_left > 0 else None
