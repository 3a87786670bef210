"""What is wrong with a configuration: where, why, and what to do."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True, order=True)
class Location:
    """A line of a file; line 0 is the file as a whole."""

    file: str
    line: int = 0

    def __str__(self) -> str:
        return f"{self.file}:{self.line}" if self.line else self.file


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One thing that is wrong. `code` is stable and what machines go by; the texts may be reworded."""

    location: Location
    key: str  # the path of the key, as "class.chapter-buy.effect"; empty for a file as a whole
    code: str
    reason: str  # one sentence
    todo: str  # what to do

    def __str__(self) -> str:
        key = f" {self.key}" if self.key else ""
        return f"{self.location}:{key} [{self.code}] {self.reason} {self.todo}"

    def as_dict(self) -> dict[str, Any]:
        """For JSON."""
        return {
            "file": self.location.file,
            "line": self.location.line,
            "key": self.key,
            "code": self.code,
            "reason": self.reason,
            "todo": self.todo,
        }
