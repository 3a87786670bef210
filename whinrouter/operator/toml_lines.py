"""Finds the line of each key in a TOML file, which `tomllib` does not report.

It reads only text that `tomllib` has accepted, so it validates nothing: it recognizes headers, keys, and the
ends of values that span lines (TOML 1.0.0).
"""

from __future__ import annotations

import re
from typing import Any

KeyPath = tuple[str | int, ...]  # keys of tables, indexes of arrays

_BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")
_WHITESPACE = re.compile(r"[ \t]*")
_STRING = re.compile(
    r'"""(?:\\.|[^\\])*?"{3,5}' r"|'''.*?'{3,5}" r'|"(?:\\.|[^"\\\n])*"' r"|'[^'\n]*'",
    re.DOTALL,
)
_ESCAPE_SEQUENCE = re.compile(r"\\(u[0-9a-fA-F]{4}|U[0-9a-fA-F]{8}|.)")
_SHORT_ESCAPES = {"b": "\b", "t": "\t", "n": "\n", "f": "\f", "r": "\r", '"': '"', "\\": "\\"}


class _Scanner:
    """Reads a text from front to back and records the line on which each key path first occurs."""

    def __init__(self, text: str) -> None:
        self.text = text.replace("\r\n", "\n")
        self.position = 0
        self.lines: dict[KeyPath, int] = {}
        self.table_counts: dict[KeyPath, int] = {}  # tables so far, by the path of their array of tables
        self._counted_to, self._line = 0, 1

    @property
    def line(self) -> int:
        """The line of the current position; newlines are counted from where the last call stopped."""
        self._line += self.text.count("\n", self._counted_to, self.position)
        self._counted_to = self.position
        return self._line

    def record(self, path: KeyPath) -> None:
        """Record the current line for a path and for each table above it, unless they have a line."""
        for end in range(1, len(path) + 1):
            self.lines.setdefault(path[:end], self.line)

    def peek(self) -> str:
        """Return the next character; empty at the end of the text."""
        return self.text[self.position : self.position + 1]

    def skip_spaces(self) -> None:
        """Skip spaces and tabs."""
        match = _WHITESPACE.match(self.text, self.position)
        assert match is not None  # the pattern matches the empty string as well
        self.position = match.end()

    def skip_blank(self) -> None:
        """Skip spaces, ends of lines and comments."""
        while self.position < len(self.text) and self.peek() in " \t\n#":
            if self.peek() == "#":
                self.skip_to_line_end()
            else:
                self.position += 1

    def skip_to_line_end(self) -> None:
        """Skip to the newline, or to the end of the text."""
        end = self.text.find("\n", self.position)
        self.position = len(self.text) if end < 0 else end

    def read_key(self) -> KeyPath:
        """Read a key; a dotted key has several parts."""
        parts: list[str | int] = []
        while True:
            self.skip_spaces()
            if self.peek() in ('"', "'"):
                match = _STRING.match(self.text, self.position)
                assert match is not None
                parts.append(_unquote(match[0]))
            else:
                match = _BARE_KEY.match(self.text, self.position)
                assert match is not None
                parts.append(match[0])
            self.position = match.end()
            self.skip_spaces()
            if self.peek() != ".":
                return tuple(parts)
            self.position += 1

    def add_indexes(self, path: KeyPath) -> KeyPath:
        """Return a header's path with the index of the current table after each array of tables."""
        indexed: KeyPath = ()
        for part in path:
            indexed = (*indexed, part)
            if indexed in self.table_counts:
                indexed = (*indexed, self.table_counts[indexed] - 1)
        return indexed

    def read_header(self) -> KeyPath:
        """Read [table] or [[table]]; return the table's path."""
        is_array = self.text.startswith("[[", self.position)
        self.position += 2 if is_array else 1
        path = self.read_key()
        if not is_array:
            table = self.add_indexes(path)
        else:
            array = (*self.add_indexes(path[:-1]), path[-1])
            self.record(array)
            self.table_counts[array] = self.table_counts.get(array, 0) + 1
            table = (*array, self.table_counts[array] - 1)
        self.record(table)
        self.skip_to_line_end()
        return table

    def read_pair(self, table: KeyPath) -> None:
        """Read `key = value`."""
        line = self.line
        path = (*table, *self.read_key())
        for end in range(len(table) + 1, len(path) + 1):
            self.lines.setdefault(path[:end], line)
        self.position += 1  # the equals sign
        self.skip_spaces()
        self.read_value(path)

    def read_value(self, path: KeyPath) -> None:
        """Read a value, and record the keys inside it."""
        start = self.peek()
        if start in ('"', "'"):
            match = _STRING.match(self.text, self.position)
            assert match is not None
            self.position = match.end()
        elif start == "[":
            self.read_array(path)
        elif start == "{":
            self.position += 1
            self.skip_spaces()
            while self.peek() != "}":
                self.read_pair(path)
                self.skip_spaces()
                if self.peek() == ",":
                    self.position += 1
                    self.skip_spaces()
            self.position += 1
        else:
            while self.position < len(self.text) and self.peek() not in ",]}#\n":
                self.position += 1

    def read_array(self, path: KeyPath) -> None:
        """Read an array, and record the line of each element."""
        self.position += 1
        index = 0
        self.skip_blank()
        while self.peek() != "]":
            self.record((*path, index))
            self.read_value((*path, index))
            index += 1
            self.skip_blank()
            if self.peek() == ",":
                self.position += 1
            self.skip_blank()
        self.position += 1


def _unquote(text: str) -> str:
    if text.startswith("'"):
        return text[1:-1]

    def replacement(match: re.Match[str]) -> str:
        escape = match[1]
        return chr(int(escape[1:], 16)) if escape[0] in "uU" and len(escape) > 1 else _SHORT_ESCAPES[escape]

    return _ESCAPE_SEQUENCE.sub(replacement, text[1:-1])


def key_lines(text: str) -> dict[KeyPath, int]:
    """Return the line, from 1, of each key path in a TOML text that `tomllib` has accepted."""
    scanner = _Scanner(text)
    table: KeyPath = ()
    while True:
        scanner.skip_blank()
        if scanner.position >= len(scanner.text):
            return scanner.lines
        if scanner.peek() == "[":
            table = scanner.read_header()
        else:
            scanner.read_pair(table)


def key_paths(value: Any, path: KeyPath = ()) -> list[KeyPath]:
    """Return all key paths of a decoded text, in the form that `key_lines` has."""
    items: list[tuple[str | int, Any]] = []
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    paths = [(*path, key) for key, _ in items]
    for key, child in items:
        paths += key_paths(child, (*path, key))
    return paths
