"""Parsing of one operator's connection: bytes in, at most one call out. No I/O.

    waiting --a whole line, or the end of input--------> finished: the call, or BadCallError
    waiting --more than MAX_LINE_BYTES without a line--> finished: BadCallError

A call is one line, ended by LF, CRLF or the end of input: a name and its arguments, separated by white space.
Names are in upper case. Input after the line is ignored.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_LINE_BYTES = 512  # a name and a host's id, which is far shorter


class Call(NamedTuple):
    """A call's name and arguments."""

    name: str
    arguments: tuple[str, ...] = ()


class BadCallError(Exception):
    """The line is not a valid call; the text gives the reason."""


class Session:
    """One connection. `feed` or `end` returns its call once, or raises BadCallError if it is invalid."""

    def __init__(self) -> None:
        self._line = b""
        self.is_finished = False  # the call was returned, or an error was raised

    def feed(self, data: bytes) -> Call | None:
        """Add received bytes; return the call if its line is complete, else None."""
        if self.is_finished:
            return None
        self._line += data[: MAX_LINE_BYTES + 1]
        line, newline, _ = self._line.partition(b"\n")
        if not newline and len(line) <= MAX_LINE_BYTES:
            return None
        return self._parse(line)

    def end(self) -> Call | None:
        """Handle the end of input; return the call if it was not returned before, else None."""
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
    """Return the answer to a call that was carried out."""
    return f"+OK {text}".rstrip().encode("ascii", "replace") + b"\r\n"


def error_answer(text: str) -> bytes:
    """Return the answer to a call that was not carried out."""
    return f"-ERR {text}".encode("ascii", "replace") + b"\r\n"
