"""The circuit breaker of one server; it reads no clock and does no I/O."""

from __future__ import annotations

from collections import deque
from random import Random

from whinrouter.interface import SECOND

WINDOW = 60 * SECOND  # failures older than this are forgotten
THRESHOLD = 3  # failures that open a breaker
COOLDOWN, MAX_COOLDOWN = SECOND // 4, 20 * SECOND
JITTER = 0.15


class Breaker:
    """Closed it admits all; open, nothing; once its cooldown is over it is half-open and admits one trial."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._failures: deque[int] = deque()
        self._reopens: int | None = None  # end of the cooldown; None while closed
        self._cooldown = COOLDOWN
        self._trial = False

    @property
    def closed(self) -> bool:
        return self._reopens is None

    def admits(self, now: int) -> bool:
        return self._reopens is None or (now >= self._reopens and not self._trial)

    def start(self) -> bool:
        self._trial = self._reopens is not None
        return self._trial

    def abandon(self) -> None:
        """The trial was given up: its slot is free, without a verdict."""
        self._trial = False

    def succeed(self, trial: bool) -> None:
        if self.closed:
            self._failures.clear()
        elif trial:
            self._failures.clear()
            self._reopens, self._trial, self._cooldown = None, False, COOLDOWN

    def fail(self, now: int, trial: bool) -> None:
        if trial:
            self._cooldown = min(2 * self._cooldown, MAX_COOLDOWN)
            self._open(now)
        elif self.closed:
            self._failures.append(now)
            while self._failures[0] <= now - WINDOW:
                self._failures.popleft()
            if len(self._failures) >= THRESHOLD:
                self._open(now)

    def _open(self, now: int) -> None:
        self._trial = False
        self._failures.clear()
        self._reopens = now + round(self._cooldown * self._random.uniform(1 - JITTER, 1 + JITTER))
