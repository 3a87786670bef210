"""Splits a stream of JSON documents, which arrives in any pieces, into the single documents. No I/O.

Theory of operation. A watch on the list of hosts sends one document after another, each ended by the end of a
line, and empty lines in between while nothing changes. Most services write a document on one line; some lay
it out over many, with or without indentation. So a document is whole at the end of the line in which its last
bracket closes:

    BETWEEN --a line that opens more than it closes--> INSIDE --the line that closes the last one--> BETWEEN

A string never extends over the end of a line, and no layout has an empty line inside a document: either shows
that the document broke off, as does a closing bracket without an opening one. This raises an error at once,
as the changes in the document would be missing from the list permanently. Whether a document is valid JSON is
left to its parser.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class DocumentSplitter:
    """Takes bytes and returns whole documents; buffers at most `max_bytes`."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._partial_line = b""  # the last line, which has not ended yet
        self._lines: list[bytes] = []  # of the current document
        self._size = 0  # bytes of these lines
        self._depth = 0  # open brackets

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield each document as its last line ends, and b"" for each empty line between two documents.

        ValueError if a document broke off or is too large, after which nothing more may be fed.
        """
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        if self._size + len(self._partial_line) > self._max_bytes:
            raise ValueError("a list is too large, or has no end")
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
            raise ValueError("a list has a closing bracket too many")
        self._lines.append(line)
        self._size += len(line)
        if self._size > self._max_bytes:
            raise ValueError("a list is too large, or has no end")
        if not self._depth:
            document, self._lines, self._size = b"\n".join(self._lines), [], 0
            yield document
