"""The circuit breakers of one server; they read no clock and do no I/O.

States: closed, until too many failures open the breaker; open, until its cooldown ends; then half-open, until
one trial request closes it or opens it for twice the cooldown.
"""

from __future__ import annotations

from collections import deque
from random import Random

from whinrouter.interface import SECOND
from whinrouter.learned_state import BreakerState

FAILURE_WINDOW = 60 * SECOND  # older failures are dropped
FAILURE_THRESHOLD = 3  # failures that open a breaker
BASE_COOLDOWN, MAX_COOLDOWN = SECOND // 4, 20 * SECOND
COOLDOWN_JITTER = 0.15  # relative, in both directions
# Successes that remove one failure of their class: its breaker opens where more than a third fail.
SUCCESSES_PER_FAILURE = 2
# Shorter, as the server still serves the other classes, and a trial costs one request.
MAX_CLASS_COOLDOWN = 4 * SECOND


class Breaker:
    """Admits all while closed, nothing while open, and one trial while half-open."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._failures: deque[int] = deque()
        self._half_open_at: int | None = None  # end of the cooldown; None while closed
        self._cooldown = BASE_COOLDOWN
        self._max_cooldown = MAX_COOLDOWN
        self._trial_running = False

    @property
    def is_closed(self) -> bool:
        """Whether the breaker admits all requests."""
        return self._half_open_at is None

    def export_state(self, now: int) -> BreakerState:
        """Return the state as spans from now. It omits a running trial, which belongs to this process."""
        half_open_in = self._half_open_at - now if self._half_open_at is not None else None
        return BreakerState(
            tuple(now - failed_at for failed_at in self._failures), half_open_in, self._cooldown
        )

    def restore_state(self, state: BreakerState, now: int) -> None:
        """Take over the exported state of another breaker."""
        self._failures = deque(now - age for age in state.failures)
        self._half_open_at = now + state.half_open_in if state.half_open_in is not None else None
        self._cooldown = state.cooldown

    def admits(self, now: int) -> bool:
        """Whether an attempt may start."""
        return self._half_open_at is None or (now >= self._half_open_at and not self._trial_running)

    def start_attempt(self) -> bool:
        """Note the start of an attempt and return whether it is the trial."""
        self._trial_running = self._half_open_at is not None
        return self._trial_running

    def abandon_trial(self) -> None:
        """Free the slot of a trial that ended without a verdict."""
        self._trial_running = False

    def record_success(self, is_trial: bool) -> None:
        """Drop all failures. A trial closes the breaker; other successes of an open breaker are ignored."""
        if self.is_closed:
            self._failures.clear()
        elif is_trial:
            self._failures.clear()
            self._half_open_at, self._trial_running, self._cooldown = None, False, BASE_COOLDOWN

    def record_failure(self, now: int, is_trial: bool) -> None:
        """Count a failure. One of a trial doubles the cooldown; any other of an open breaker is ignored."""
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
        """Open the breaker for the cooldown, with jitter."""
        self._trial_running = False
        self._half_open_at = now + round(
            self._cooldown * self._random.uniform(1 - COOLDOWN_JITTER, 1 + COOLDOWN_JITTER)
        )


class ClassBreaker(Breaker):
    """The breaker of one class at one server, which may fail or never answer that class and serve the others.

    Successes of other classes don't count here, and successes of this class count only in part: several of
    them remove one failure, the next failure after a successful trial opens the breaker again, and the
    cooldown is short again only once no failure is left. So it covers faults that follow the kind of request,
    wholly or partly: a path whose database is down, a bad release, a lock. Where a class fails the same
    everywhere, breakers do harm, as the remaining servers get all of it: the caller bounds how many may be
    open.
    """

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self._max_cooldown = MAX_CLASS_COOLDOWN
        self._success_credit = 0  # successes that have not removed a failure yet
        self._unanswered = 0  # unanswered attempts since the last answer
        self.last_answer_at = 0

    def record_answer(self, now: int, is_trial: bool) -> None:
        """Count an answer. Even a late one closes a breaker that unanswered attempts had opened.

        It does not close a breaker that failures had opened: for these only a trial answered in time counts.
        """
        unanswered, self._unanswered, self.last_answer_at = self._unanswered, 0, now
        if self.is_closed:
            self._success_credit += 1
            if self._success_credit >= SUCCESSES_PER_FAILURE:
                self._remove_failure()
        elif is_trial or unanswered >= FAILURE_THRESHOLD:
            # For the next time that the breaker opens, unless all failures are removed before.
            self._cooldown = min(2 * self._cooldown, self._max_cooldown)
            self._remove_failure()
            self._half_open_at, self._trial_running = None, False

    def record_no_answer(self, now: int, is_trial: bool) -> None:
        """Count an attempt that went unanswered while no other of its class was answered."""
        self._unanswered += 1
        if is_trial:
            self.record_failure(now, is_trial)
        elif self.is_closed and self._unanswered >= FAILURE_THRESHOLD:
            self._open(now)

    def _remove_failure(self) -> None:
        """Drop the latest failure; without failures the next cooldown is the shortest."""
        self._success_credit = 0
        if self._failures:
            self._failures.pop()
        if not self._failures:
            self._cooldown = BASE_COOLDOWN
