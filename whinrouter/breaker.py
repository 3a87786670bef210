"""The circuit breakers of one server; they read no clock and do no I/O."""

from __future__ import annotations

from collections import deque
from random import Random

from whinrouter.interface import SECOND
from whinrouter.learned_state import BreakerState

FAILURE_WINDOW = 60 * SECOND  # failures older than this are forgotten
FAILURE_THRESHOLD = 3  # failures that open a breaker
BASE_COOLDOWN, MAX_COOLDOWN = SECOND // 4, 20 * SECOND
COOLDOWN_JITTER = 0.15
SUCCESSES_PER_FAILURE = (
    2  # successes that take back a failure of their class: it opens where more than a third fail
)
MAX_CLASS_COOLDOWN = (
    4 * SECOND
)  # at most: the server serves all else meanwhile, and a trial costs one request


class Breaker:
    """Closed it admits all; open, nothing; once its cooldown is over it is half-open and admits one trial."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._failures: deque[int] = deque()
        self._half_open_at: int | None = None  # end of the cooldown; None while closed
        self._cooldown = BASE_COOLDOWN
        self._max_cooldown = MAX_COOLDOWN
        self._trial_running = False

    @property
    def is_closed(self) -> bool:
        return self._half_open_at is None

    def export_state(self, now: int) -> BreakerState:
        """What another goes on from, in spans; a trial that is out is not its own."""
        half_open_in = self._half_open_at - now if self._half_open_at is not None else None
        return BreakerState(
            tuple(now - failed_at for failed_at in self._failures), half_open_in, self._cooldown
        )

    def restore_state(self, state: BreakerState, now: int) -> None:
        self._failures = deque(now - age for age in state.failures)
        self._half_open_at = now + state.half_open_in if state.half_open_in is not None else None
        self._cooldown = state.cooldown

    def admits(self, now: int) -> bool:
        return self._half_open_at is None or (now >= self._half_open_at and not self._trial_running)

    def start_attempt(self) -> bool:
        self._trial_running = self._half_open_at is not None
        return self._trial_running

    def abandon_trial(self) -> None:
        """The trial was given up: its slot is free, without a verdict."""
        self._trial_running = False

    def record_success(self, is_trial: bool) -> None:
        if self.is_closed:
            self._failures.clear()
        elif is_trial:
            self._failures.clear()
            self._half_open_at, self._trial_running, self._cooldown = None, False, BASE_COOLDOWN

    def record_failure(self, now: int, is_trial: bool) -> None:
        if is_trial:
            self._cooldown = min(2 * self._cooldown, self._max_cooldown)
            self._open(now)
        elif self.is_closed:
            self._failures.append(now)
            while self._failures[0] <= now - FAILURE_WINDOW:
                self._failures.popleft()
            if len(self._failures) >= FAILURE_THRESHOLD:
                self._open(now)

    def _open(self, now: int) -> None:
        self._trial_running = False
        self._half_open_at = now + round(
            self._cooldown * self._random.uniform(1 - COOLDOWN_JITTER, 1 + COOLDOWN_JITTER)
        )


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
        self._max_cooldown = MAX_CLASS_COOLDOWN
        self._success_credit = 0  # successes that have taken back nothing yet
        self._unanswered = 0  # that waited in vain since it last served one
        self.last_answer_at = 0  # when that was

    def record_answer(self, now: int, is_trial: bool) -> None:
        """Any answer shows that it is not silent, also a late one; failing is another matter."""
        unanswered, self._unanswered, self.last_answer_at = self._unanswered, 0, now
        if self.is_closed:
            self._success_credit += 1
            if self._success_credit >= SUCCESSES_PER_FAILURE:
                self._remove_failure()
        elif is_trial or unanswered >= FAILURE_THRESHOLD:
            self._cooldown = min(
                2 * self._cooldown, self._max_cooldown
            )  # of the next time, unless it stays well
            self._remove_failure()
            self._half_open_at, self._trial_running = None, False

    def record_no_answer(self, now: int, is_trial: bool) -> None:
        """One waited in vain, and none was served meanwhile."""
        self._unanswered += 1
        if is_trial:
            self.record_failure(now, is_trial)
        elif self.is_closed and self._unanswered >= FAILURE_THRESHOLD:
            self._open(now)

    def _remove_failure(self) -> None:
        self._success_credit = 0
        if self._failures:
            self._failures.pop()
        if not self._failures:
            self._cooldown = BASE_COOLDOWN
