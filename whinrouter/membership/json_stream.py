"""JSON texts out of a stream that comes in any pieces. No I/O.

Theory of operation. A watch on the list of hosts is one text after another, each ended by the end of a line,
and empty lines in between while nothing changes. Most services write a text on one line; some lay it out
over many, with or without indentation. So a text is whole at the end of the line in which its last bracket
closes:

    BETWEEN --a line that opens more than it closes--> INSIDE --the line that closes the last one--> BETWEEN

A string never goes over the end of a line, and no layout has an empty line inside a text: either shows that
the text broke off, as does a bracket that closes what none has opened. What broke off is told at once, as
what it held would be missing from the list for good. Whether a text means anything, its reader finds out.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class DocumentSplitter:
    """Takes bytes and gives out texts that are whole; at most `most` bytes wait here."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._rest = b""  # of a line that has no end yet
        self._lines: list[bytes] = []  # of the text that has begun
        self._size = 0  # bytes of these
        self._depth = 0  # brackets that are open

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Give each text as its last line ends, and b"" for each empty line between two.

        ValueError if a text broke off, or is larger than may be: nothing may be fed after that.
        """
        *lines, self._rest = (self._rest + data).split(b"\n")
        if self._size + len(self._rest) > self._most:
            raise ValueError("a list has no end")
        for line in lines:
            yield from self._line(line.strip())

    def _line(self, line: bytes) -> Iterator[bytes]:
        if not line:
            if self._lines:
                raise ValueError("a list broke off at an empty line")
            yield b""
            return
        marks = _STRING.sub(b"", line)
        if b'"' in marks:
            raise ValueError("a list broke off inside a string")
        self._depth += marks.count(b"{") + marks.count(b"[") - marks.count(b"}") - marks.count(b"]")
        if self._depth < 0:
            raise ValueError("a list closes more than it opens")
        self._lines.append(line)
        self._size += len(line)
        if self._size > self._most:
            raise ValueError("a list has no end")
        if not self._depth:
            text, self._lines, self._size = b"\n".join(self._lines), [], 0
            yield text
