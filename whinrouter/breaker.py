"""The circuit breakers of one server; they read no clock and do no I/O."""

from __future__ import annotations

from collections import deque
from random import Random

from whinrouter.interface import SECOND
from whinrouter.learned_state import BreakerState

WINDOW = 60 * SECOND  # failures older than this are forgotten
THRESHOLD = 3  # failures that open a breaker
COOLDOWN, MAX_COOLDOWN = SECOND // 4, 20 * SECOND
JITTER = 0.15
TAKES_BACK = 2  # successes that take back a failure of their class: it opens where more than a third fail
CLASS_COOLDOWN = 4 * SECOND  # at most: the server serves all else meanwhile, and a trial costs one request


class Breaker:
    """Closed it admits all; open, nothing; once its cooldown is over it is half-open and admits one trial."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._failures: deque[int] = deque()
        self._reopens: int | None = None  # end of the cooldown; None while closed
        self._cooldown = COOLDOWN
        self._longest = MAX_COOLDOWN
        self._trial = False

    @property
    def closed(self) -> bool:
        return self._reopens is None

    def state(self, now: int) -> BreakerState:
        """What another goes on from, in spans; a trial that is out is not its own."""
        reopens_in = self._reopens - now if self._reopens is not None else None
        return BreakerState(tuple(now - failed for failed in self._failures), reopens_in, self._cooldown)

    def resume(self, state: BreakerState, now: int) -> None:
        self._failures = deque(now - age for age in state.failures)
        self._reopens = now + state.reopens_in if state.reopens_in is not None else None
        self._cooldown = state.cooldown

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
            self._cooldown = min(2 * self._cooldown, self._longest)
            self._open(now)
        elif self.closed:
            self._failures.append(now)
            while self._failures[0] <= now - WINDOW:
                self._failures.popleft()
            if len(self._failures) >= THRESHOLD:
                self._open(now)

    def _open(self, now: int) -> None:
        self._trial = False
        self._reopens = now + round(self._cooldown * self._random.uniform(1 - JITTER, 1 + JITTER))


class ClassBreaker(Breaker):
    """What one class of request meets at one server, which may fail or never answer it and serve the rest.

    Successes of other classes can't wash that out here, and its own not at once: some of them take back one
    failure, after a good trial the next failure opens it anew, and the cooldown is short again only once no
    failure is left. It covers any fault that follows the kind of request, wholly or in part: a path whose
    database is dead, a bad release, a lock. It hurts where a class fails the same everywhere, as the servers
    that it leaves get all of it: only a share of them may be open at a time.
    """

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self._longest = CLASS_COOLDOWN
        self._good = 0  # successes that have taken back nothing yet
        self._missed = 0  # that waited in vain since it last served one
        self.served = 0  # when that was

    def serve(self, now: int, trial: bool) -> None:
        """Any answer shows that it is not silent, also a late one; failing is another matter."""
        missed, self._missed, self.served = self._missed, 0, now
        if self.closed:
            self._good += 1
            if self._good >= TAKES_BACK:
                self._take_back()
        elif trial or missed >= THRESHOLD:
            self._cooldown = min(2 * self._cooldown, self._longest)  # of the next time, unless it stays well
            self._take_back()
            self._reopens, self._trial = None, False

    def miss(self, now: int, trial: bool) -> None:
        """One waited in vain, and none was served meanwhile."""
        self._missed += 1
        if trial:
            self.fail(now, trial)
        elif self.closed and self._missed >= THRESHOLD:
            self._open(now)

    def _take_back(self) -> None:
        self._good = 0
        if self._failures:
            self._failures.pop()
        if not self._failures:
            self._cooldown = COOLDOWN
