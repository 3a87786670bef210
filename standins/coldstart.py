"""Servers that warm up after a start, and fall if they are sent too much meanwhile.

A server's capacity rises evenly from a share of the whole to all of it. Within any window of a given length
it bears a budget of N requests of mean work: a multiple of what it can do in that time, by its capacity now.
Beyond N by more than twice the root of N, and two, it falls; the same figures as the settings tell the
balancers.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf, sqrt


@dataclass(frozen=True)
class Warmup:
    """How servers warm up; times in microseconds."""

    share: float  # of its capacity that a server has as it starts
    told_share: float  # the least that the settings tell of that
    time: int  # until it has all of it
    multiple: float  # of its capacity that it bears while it is cold
    window: int  # over which what it is sent is counted

    def warmth(self, started: int, now: int) -> float:
        """The part of its capacity that a server has; `started` 0: long ago."""
        if not started or now >= started + self.time:
            return 1.0
        return self.share + (1 - self.share) * max(0, now - started) / self.time


@dataclass
class ColdLoad:
    """What one cold server is sent, against its budget."""

    warmup: Warmup
    capacity: float  # requests of mean work in a microsecond, when it is warm
    mean_work: float
    worst: float = -inf  # most that it was sent beyond its budget, in roots of that
    fell: bool = False
    _sent: deque[tuple[int, float]] = field(default_factory=deque)
    _sum: float = 0.0

    def add(self, work: float, started: int, now: int) -> None:
        """Count a request of so much work that has reached it."""
        warmth = self.warmup.warmth(started, now)
        if warmth == 1.0:
            return
        self._sent.append((now, work / self.mean_work))
        self._sum += work / self.mean_work
        while self._sent[0][0] <= now - self.warmup.window:
            self._sum -= self._sent.popleft()[1]
        budget = self.warmup.multiple * warmth * self.capacity * self.warmup.window
        excess = self._sum - budget
        self.worst = max(self.worst, excess / sqrt(budget))
        self.fell = self.fell or excess > 2 * sqrt(budget) + 2
