"""What is still to come of a body, in a form that another process can go on from. No I/O, no clock.

A body's rest is told by its framing alone: so many bytes, all up to the connection's end, or chunks of which
the one that is under way has so many bytes left. Whoever goes on has a fresh parser, which is given a head
of that framing first.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Protocol, runtime_checkable

import httptools


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

    def let_go(self) -> None:
        """Another process holds it: close it here, without a word to the peer."""


class BrokenRemainderError(Exception):
    """What comes is no rest of such a body."""


class RemainderReader:
    """Takes the rest of a body as its connection brings it, and gives out the body's bytes."""

    def __init__(self, remainder: Remainder) -> None:
        self._framing = remainder.framing
        self.is_whole = False
        self.has_surplus = False  # bytes came behind the body
        self._body: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)
        self._parser.feed_data(_head(remainder))

    def feed(self, data: bytes) -> bytes:
        """The bytes of the body in what came; BrokenRemainderError if it can't be read."""
        if self.is_whole:
            self.has_surplus = self.has_surplus or bool(data)
            return b""
        self._body = []
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self.is_whole:
                raise BrokenRemainderError(str(error)) from None
            self.has_surplus = True
        return b"".join(self._body)

    def end(self) -> bool:
        """The connection has ended; whether the body is whole with it."""
        self.is_whole = self.is_whole or self._framing is Framing.CONNECTION_END
        return self.is_whole

    def on_body(self, data: bytes) -> None:
        if not self.is_whole:
            self._body.append(data)

    def on_message_complete(self) -> None:
        self.is_whole = True

    def on_message_begin(self) -> None:
        self.has_surplus = self.is_whole


def _head(remainder: Remainder) -> bytes:
    match remainder.framing:
        case Framing.LENGTH:
            return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % remainder.bytes_left
        case Framing.CHUNKED:
            chunk = b"%x\r\n" % remainder.bytes_left
            return b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + chunk
        case Framing.CONNECTION_END:
            return b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n"


def left_of_chunk(before: bytes, came: int) -> int | None:
    """Bytes that are left of a chunk of which so many came; None if that can't be told.

    `before`: the raw bytes before them, which end with the line that tells the chunk's size. That line has to
    be there as a whole, with the end of the one before it.
    """
    if came <= 0 or not before.endswith(b"\r\n"):
        return None
    line_begins = before.rfind(b"\r\n", 0, len(before) - 2)
    if line_begins < 0:
        return None
    size = before[line_begins + 2 : -2].split(b";")[0].strip()
    try:
        left = int(size, 16) - came
    except ValueError:
        return None
    return left if left > 0 else None
