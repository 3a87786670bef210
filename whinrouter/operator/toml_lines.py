"""In which line of a TOML file each key stands, which the decoder does not tell.

It reads text that the decoder has accepted, so it need not judge, only find its way: headers, keys, and the
ends of values that span lines (TOML 1.0.0).
"""

from __future__ import annotations

import re
from typing import Any

KeyPath = tuple[str | int, ...]

_BARE = re.compile(r"[A-Za-z0-9_-]+")
_SPACE = re.compile(r"[ \t]*")
_STRINGS = re.compile(
    r'"""(?:\\.|[^\\])*?"{3,5}' r"|'''.*?'{3,5}" r'|"(?:\\.|[^"\\\n])*"' r"|'[^'\n]*'",
    re.DOTALL,
)
_ESCAPES = re.compile(r"\\(u[0-9a-fA-F]{4}|U[0-9a-fA-F]{8}|.)")
_SHORT = {"b": "\b", "t": "\t", "n": "\n", "f": "\f", "r": "\r", '"': '"', "\\": "\\"}


class _Walk:
    def __init__(self, text: str) -> None:
        self.text = text.replace("\r\n", "\n")
        self.at = 0
        self.lines: dict[KeyPath, int] = {}
        self.counts: dict[KeyPath, int] = {}  # of the tables of an array
        self._counted, self._line = 0, 1

    @property
    def line(self) -> int:
        self._line += self.text.count("\n", self._counted, self.at)
        self._counted = self.at
        return self._line

    def note(self, path: KeyPath) -> None:
        for end in range(1, len(path) + 1):
            self.lines.setdefault(path[:end], self.line)

    def peek(self) -> str:
        return self.text[self.at : self.at + 1]

    def skip_space(self) -> None:
        found = _SPACE.match(self.text, self.at)
        assert found is not None  # it matches nothing, too
        self.at = found.end()

    def skip_blank(self) -> None:
        """Over spaces, ends of lines and comments."""
        while self.at < len(self.text) and self.peek() in " \t\n#":
            if self.peek() == "#":
                self.to_line_end()
            else:
                self.at += 1

    def to_line_end(self) -> None:
        end = self.text.find("\n", self.at)
        self.at = len(self.text) if end < 0 else end

    def key(self) -> KeyPath:
        """A key with its dots."""
        parts: list[str | int] = []
        while True:
            self.skip_space()
            if self.peek() in ('"', "'"):
                found = _STRINGS.match(self.text, self.at)
                assert found is not None
                parts.append(_unquoted(found[0]))
            else:
                found = _BARE.match(self.text, self.at)
                assert found is not None
                parts.append(found[0])
            self.at = found.end()
            self.skip_space()
            if self.peek() != ".":
                return tuple(parts)
            self.at += 1

    def placed(self, path: KeyPath) -> KeyPath:
        """A header's path with the places of the array tables that it goes through."""
        placed: KeyPath = ()
        for part in path:
            placed = (*placed, part)
            if placed in self.counts:
                placed = (*placed, self.counts[placed] - 1)
        return placed

    def header(self) -> KeyPath:
        double = self.text.startswith("[[", self.at)
        self.at += 2 if double else 1
        path = self.key()
        if not double:
            placed = self.placed(path)
        else:
            whole = (*self.placed(path[:-1]), path[-1])
            self.note(whole)
            self.counts[whole] = self.counts.get(whole, 0) + 1
            placed = (*whole, self.counts[whole] - 1)
        self.note(placed)
        self.to_line_end()
        return placed

    def pair(self, table: KeyPath) -> None:
        """`key = value`."""
        here = self.line
        path = (*table, *self.key())
        for end in range(len(table) + 1, len(path) + 1):
            self.lines.setdefault(path[:end], here)
        self.at += 1  # the equals sign
        self.skip_space()
        self.value(path)

    def value(self, path: KeyPath) -> None:
        start = self.peek()
        if start in ('"', "'"):
            found = _STRINGS.match(self.text, self.at)
            assert found is not None
            self.at = found.end()
        elif start == "[":
            self.array(path)
        elif start == "{":
            self.at += 1
            self.skip_space()
            while self.peek() != "}":
                self.pair(path)
                self.skip_space()
                if self.peek() == ",":
                    self.at += 1
                    self.skip_space()
            self.at += 1
        else:
            while self.at < len(self.text) and self.peek() not in ",]}#\n":
                self.at += 1

    def array(self, path: KeyPath) -> None:
        self.at += 1
        place = 0
        self.skip_blank()
        while self.peek() != "]":
            self.note((*path, place))
            self.value((*path, place))
            place += 1
            self.skip_blank()
            if self.peek() == ",":
                self.at += 1
            self.skip_blank()
        self.at += 1


def _unquoted(text: str) -> str:
    if text.startswith("'"):
        return text[1:-1]

    def character(found: re.Match[str]) -> str:
        told = found[1]
        return chr(int(told[1:], 16)) if told[0] in "uU" and len(told) > 1 else _SHORT[told]

    return _ESCAPES.sub(character, text[1:-1])


def key_lines(text: str) -> dict[KeyPath, int]:
    """The line, from 1, of each key path in a TOML text that a decoder has accepted."""
    walk = _Walk(text)
    table: KeyPath = ()
    while True:
        walk.skip_blank()
        if walk.at >= len(walk.text):
            return walk.lines
        if walk.peek() == "[":
            table = walk.header()
        else:
            walk.pair(table)


def key_paths(value: Any, path: KeyPath = ()) -> list[KeyPath]:
    """All key paths of a decoded text, as `key_lines` names them."""
    items: list[tuple[str | int, Any]] = []
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    paths = [(*path, key) for key, _ in items]
    for key, inner in items:
        paths += key_paths(inner, (*path, key))
    return paths
