"""A model of servers that warm up after a start, and collapse if they are sent too much meanwhile.

A server's capacity rises linearly from a share to the whole. Within any window of a given length it has a
budget of N requests of mean work: a multiple of what it can do in that time at its present capacity. It
collapses if the work sent to it exceeds N by more than 2 * sqrt(N) + 2. The balancers' settings have the same
figures.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf, sqrt


@dataclass(frozen=True)
class Warmup:
    """How servers warm up. Times are in microseconds."""

    initial_share: float  # share of its capacity that a server has at its start
    announced_share: float  # the least such share, as the settings give it
    ramp_time: int  # until it has all of its capacity
    overload_multiple: float  # multiple of its present capacity that it bears while it is cold
    overload_window: int  # over which the work sent to it is counted

    def capacity_share(self, started_at: int, now: int) -> float:
        """Return the present share of a server's capacity; `started_at` 0 means long ago."""
        if not started_at or now >= started_at + self.ramp_time:
            return 1.0
        return self.initial_share + (1 - self.initial_share) * max(0, now - started_at) / self.ramp_time


@dataclass
class ColdLoad:
    """The work sent to one cold server, compared with its budget."""

    warmup: Warmup
    capacity: float  # requests of mean work per microsecond, when it is warm
    mean_work: float
    worst_excess: float = -inf  # most that was sent beyond the budget, in square roots of the budget
    is_overloaded: bool = False  # the work sent to the server makes it collapse
    _recent_work: deque[tuple[int, float]] = field(default_factory=deque)
    _recent_sum: float = 0.0

    def record(self, work: float, started_at: int, now: int) -> None:
        """Count a request that has reached the server."""
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
