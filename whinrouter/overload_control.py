"""Whether the process is at its own limit, and what it then takes on.

One loop does all the work, in turns: it looks at its sockets, then handles what came. With no CPU left what
comes waits in the sockets, longer with every turn, until each request is answered too late to be of use while
all of the CPU is spent: a queue that stands. The sign is not how long the loop works (a turn may be long and
nothing wait) but how old requests are when they are read. The rule is that of controlled delay (CoDel, RFC
8289, in the form that servers use at their door): a queue that empties now and then only evens out a burst,
and one in which even the luckiest request of an interval waited stands.

    free --the least wait of an interval was above TARGET--> at the limit
    at the limit --an interval in which it was not, and nobody was turned away--> free

At the limit a request that has waited longer than `patience` is turned away unread; few requests are read a
turn, so that answers and the events of what has begun come first; and connections are accepted now and then,
as each costs as much as a request. What is decided about a request that was taken, the module decides.

It is told times, reads no clock and does no I/O. Times are seconds of one clock.
"""

from __future__ import annotations

from collections.abc import Iterable

# Seconds over which the least wait is taken: longer than the 100 ms in which a container that has used up its
# part of a core gets its next one, or each of these pauses would count.
INTERVAL_SECONDS = 0.15
# Part of the shortest aim that a standing queue may cost. Answers have the rest.
TARGET_FRACTION = 0.05
MIN_TARGET_SECONDS = 0.01  # seconds; a loop in good health may have turns of this length
MAX_WAIT_TARGETS = 5.0  # targets that a request may have waited at the limit
# Requests that are read a turn at the limit. So many cost a few milliseconds, after which answers are next. A
# turn looks at all that wait, however few it reads: with 16 of 240 the looking cost as much as the serving.
READS_PER_TURN = 64
ACCEPT_INTERVAL_SECONDS = 0.1  # seconds between accepts at the limit; a turn of accepts is a fraction of this


class OverloadControl:
    """The state of one process. It holds some numbers."""

    def __init__(self, aims: Iterable[float]) -> None:
        """`aims`: the times within which the classes want their answers, in seconds."""
        self.set_aims(aims)
        self.is_overloaded = False  # whether it is at its limit
        self._min_wait: float | None = None  # wait in this interval
        self._has_rejected = False  # whether any was turned away in it
        self._interval_end = 0.0  # of this interval
        self._last_accept_at = 0.0  # when connections were last accepted

    def set_aims(self, aims: Iterable[float]) -> None:
        """The classes want their answers within other times."""
        self.target = max(MIN_TARGET_SECONDS, TARGET_FRACTION * min(aims))

    @property
    def max_wait(self) -> float:
        """Seconds that a request may have waited unread."""
        return MAX_WAIT_TARGETS * self.target

    def should_reject(self, wait: float, now: float) -> bool:
        """A request is read that waited so long; whether it is to be turned away for it."""
        self.advance(now)
        if self._min_wait is None or wait < self._min_wait:
            self._min_wait = wait
        is_rejected = self.is_overloaded and wait > self.max_wait
        self._has_rejected = self._has_rejected or is_rejected
        return is_rejected

    def advance(self, now: float) -> None:
        """Time passes: an interval may end, also with nobody asking."""
        if now < self._interval_end:
            return
        # To turn away is to make the others wait less: that is no sign that the load has fallen. Were it
        # taken for one, every other interval would let the queue grow again. But of a whole interval in which
        # nobody asked, nothing is known but that nobody waited.
        is_standing = self._has_rejected or (self._min_wait is not None and self._min_wait > self.target)
        self.is_overloaded = is_standing and now < self._interval_end + INTERVAL_SECONDS
        self._min_wait, self._has_rejected, self._interval_end = None, False, now + INTERVAL_SECONDS

    def read_limit(self) -> int | None:
        """How many clients may be read from in this turn; None: all."""
        return READS_PER_TURN if self.is_overloaded else None

    def may_accept(self, now: float) -> bool:
        """Whether connections may be accepted in this turn."""
        if self.is_overloaded and now < self._last_accept_at + ACCEPT_INTERVAL_SECONDS:
            return False
        self._last_accept_at = now
        return True
