"""One operator's connection as a machine: bytes in, at most one call out. No I/O.

    waiting --a whole line, or the end behind one--> called
    waiting --more than MOST bytes without one--> called, with an error

A call is one line, ended by LF or CRLF or by the end of the caller's sending: a name and its words, apart by
blanks. Names stand in capitals. What comes behind the line is not read.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_LINE_BYTES = 512  # bytes of a line: a name and an id; hosts' ids are far shorter


class Call(NamedTuple):
    """What a caller asks."""

    name: str
    arguments: tuple[str, ...] = ()


class BadCallError(Exception):
    """What came is no call."""


class Session:
    """One connection. `feed` and `end` give its call, once; BadCallError if there can be none."""

    def __init__(self) -> None:
        self._line = b""
        self.is_finished = False  # it has had its call, or can have none

    def feed(self, data: bytes) -> Call | None:
        """Take what came."""
        if self.is_finished:
            return None
        self._line += data[: MAX_LINE_BYTES + 1]
        line, newline, _ = self._line.partition(b"\n")
        if not newline and len(line) <= MAX_LINE_BYTES:
            return None
        return self._parse(line)

    def end(self) -> Call | None:
        """The caller has ended its sending."""
        return None if self.is_finished else self._parse(self._line)

    def _parse(self, line: bytes) -> Call:
        self.is_finished, self._line = True, b""
        if len(line) > MAX_LINE_BYTES:
            raise BadCallError("the line is too long")
        try:
            words = line.decode("ascii").split()
        except UnicodeDecodeError:
            raise BadCallError("the line is no ASCII") from None
        if not words:
            raise BadCallError("the line is empty")
        if not all(word.isprintable() for word in words):
            raise BadCallError("the line holds what can't be printed")
        return Call(words[0], tuple(words[1:]))


def ok_answer(text: str) -> bytes:
    """The answer to a call that was done."""
    return f"+OK {text}".rstrip().encode("ascii", "replace") + b"\r\n"


def error_answer(text: str) -> bytes:
    """The answer to one that was not."""
    return f"-ERR {text}".encode("ascii", "replace") + b"\r\n"
