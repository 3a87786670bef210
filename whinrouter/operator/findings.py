"""Findings: what is wrong with a configuration, where, why, and how to correct it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True, order=True)
class Location:
    """A line of a file, counted from 1; line 0 means the file as a whole."""

    file: str
    line: int = 0

    def __str__(self) -> str:
        return f"{self.file}:{self.line}" if self.line else self.file


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One problem in a configuration.

    `code` is stable and meant for programs; `reason` and `todo` are for people, and their wording may change.
    """

    location: Location
    key: str  # the key's path, such as "class.chapter-buy.effect"; empty for a file as a whole
    code: str
    reason: str  # one sentence
    todo: str  # how to correct it, in one sentence

    def __str__(self) -> str:
        key = f" {self.key}" if self.key else ""
        return f"{self.location}:{key} [{self.code}] {self.reason} {self.todo}"

    def as_dict(self) -> dict[str, Any]:
        """Return the finding as values that can be written as JSON."""
        return {
            "file": self.location.file,
            "line": self.location.line,
            "key": self.key,
            "code": self.code,
            "reason": self.reason,
            "todo": self.todo,
        }
