"""The part of a body that has not been read yet, in a form that another process can continue from.

The framing of a body is enough to describe its remainder: a number of bytes, everything up to the end of the
connection, or chunks, of which the current one has a number of bytes left (0 if the size of the next chunk
comes first). The process that continues has a new parser, which is first fed a message head with that
framing. No I/O, no clock.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Protocol, runtime_checkable

import httptools

MAX_SIZE_LINE_BYTES = 256  # bytes in front of a chunk's data that are searched for the line with its size


class Framing(Enum):
    """How the end of a body is determined."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION_END = "connection end"


class Remainder(NamedTuple):
    """The part of one body that has not been read yet."""

    framing: Framing
    bytes_left: int  # of the body or of its current chunk; 0 if the body extends to the connection's end


@runtime_checkable
class MovableSource(Protocol):
    """A connection whose body another process can continue to read."""

    def remainder(self) -> Remainder | None:
        """What follows the last byte that was read; None if that is not known now."""

    @property
    def descriptor(self) -> int:
        """The file descriptor of the socket."""

    def release(self) -> None:
        """Close the connection here without sending anything: another process has taken it over."""


class BrokenRemainderError(Exception):
    """The data is no valid remainder of the body."""


class ChunkTracker:
    """Counts the bytes that are left of the chunk in which the latest read of a body ended.

    The parser reports the start, the end and the data of each chunk, but not how many bytes of one are left;
    and the line with the chunk's size may have arrived in an earlier read.
    """

    def __init__(self, bytes_left: int | None = None) -> None:
        # Of the current chunk; 0: the size of the next chunk follows; None: not known.
        self.bytes_left = bytes_left
        self._unfinished_bytes = 0  # bytes at the end of the latest read that belong to an unfinished chunk
        self._is_between = bytes_left == 0  # the parser expects a chunk's size
        self._latest_bytes = b"\r\n" if bytes_left == 0 else b""  # the last bytes that were fed to the parser

    def begin_read(self) -> None:
        """Begin a read, whose data is about to be fed to the parser."""
        self._unfinished_bytes = 0

    def add(self, count: int) -> None:
        """Count bytes of a chunk that the parser has reported."""
        self._unfinished_bytes += count

    def chunk_started(self) -> None:
        """Note that the parser has read the line with a chunk's size."""
        self._unfinished_bytes, self._is_between = 0, False

    def chunk_ended(self) -> None:
        """Note that a chunk, or the message head before the first one, is whole."""
        self._unfinished_bytes, self._is_between = 0, True

    def end_read(self, data: bytes | memoryview) -> None:
        """Update `bytes_left` after the parser has consumed all data of a read."""
        if self._unfinished_bytes >= len(data) and self.bytes_left:
            # None at the end of the data, as the CRLF behind it has not arrived.
            self.bytes_left = self.bytes_left - len(data) or None
        else:
            begins = len(data) - self._unfinished_bytes
            before = bytes(data[max(0, begins - MAX_SIZE_LINE_BYTES) : begins])
            if begins < MAX_SIZE_LINE_BYTES:
                before = self._latest_bytes + before
            self.bytes_left = chunk_bytes_left(before, self._unfinished_bytes)
        self._latest_bytes = (self._latest_bytes + bytes(data[-MAX_SIZE_LINE_BYTES:]))[-MAX_SIZE_LINE_BYTES:]
        if self._is_between and self._latest_bytes.endswith(b"\r\n"):  # no byte of the next size has arrived
            self.bytes_left = 0


class RemainderReader:
    """Decodes the remainder of a body as it arrives."""

    def __init__(self, remainder: Remainder) -> None:
        self._framing = remainder.framing
        self._bytes_left = remainder.bytes_left  # only of a body with a length
        self.is_whole = False
        self.has_surplus = False  # bytes arrived behind the body
        self._body: list[bytes] = []
        self._chunks = ChunkTracker(remainder.bytes_left)
        self._parser = httptools.HttpResponseParser(self)
        self._parser.feed_data(response_head(remainder))
        self._chunks = ChunkTracker(remainder.bytes_left)  # again, as the head fed its own size line

    def feed(self, data: bytes) -> bytes:
        """Return the body's bytes in `data`; BrokenRemainderError if `data` is malformed."""
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
        """What has not been read yet; None if that is not known now, or the body is whole."""
        bytes_left = self._chunks.bytes_left if self._framing is Framing.CHUNKED else self._bytes_left
        return None if bytes_left is None or self.is_whole else Remainder(self._framing, bytes_left)

    def end(self) -> bool:
        """Note the end of the connection; return whether the body is whole."""
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
    """A response head behind which a parser accepts this remainder."""
    return b"HTTP/1.1 200 OK\r\n" + _framing_lines(remainder)


def request_head(remainder: Remainder) -> bytes:
    """A request head behind which a parser accepts this remainder."""
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
    """Return the bytes that are left of a chunk of which `received` bytes have arrived.

    None if that is not known, or if the chunk is whole.

    `before`: the raw bytes in front of these, which end with the line that has the chunk's size. The whole
    line has to be there, with the CRLF that precedes it.
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
