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

    initial_share: float  # of its capacity that a server has as it starts
    announced_share: float  # the least that the settings tell of that
    ramp_time: int  # until it has all of it
    overload_multiple: float  # of its capacity that it bears while it is cold
    overload_window: int  # over which what it is sent is counted

    def capacity_share(self, started_at: int, now: int) -> float:
        """The part of its capacity that a server has; `started` 0: long ago."""
        if not started_at or now >= started_at + self.ramp_time:
            return 1.0
        return self.initial_share + (1 - self.initial_share) * max(0, now - started_at) / self.ramp_time


@dataclass
class ColdLoad:
    """What one cold server is sent, against its budget."""

    warmup: Warmup
    capacity: float  # requests of mean work in a microsecond, when it is warm
    mean_work: float
    worst_excess: float = -inf  # most that it was sent beyond its budget, in roots of that
    is_overloaded: bool = False
    _recent_work: deque[tuple[int, float]] = field(default_factory=deque)
    _recent_sum: float = 0.0

    def record(self, work: float, started_at: int, now: int) -> None:
        """Count a request of so much work that has reached it."""
        capacity_share = self.warmup.capacity_share(started_at, now)
        if capacity_share == 1.0:
            return
        self._recent_work.append((now, work / self.mean_work))
        self._recent_sum += work / self.mean_work
        while self._recent_work[0][0] <= now - self.warmup.overload_window:
            self._recent_sum -= self._recent_work.popleft()[1]
        budget = self.warmup.overload_multiple * capacity_share * self.capacity * self.warmup.overload_window
        excess = self._recent_sum - budget
        self.worst_excess = max(self.worst_excess, excess / sqrt(budget))
        self.is_overloaded = self.is_overloaded or excess > 2 * sqrt(budget) + 2
