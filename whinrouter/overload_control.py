"""Overload control: whether the process is short of CPU, and how much it admits then.

One event loop does all the work, in turns: it polls its sockets, then handles what arrived. Without spare
CPU, requests wait in the sockets, longer with every turn, until each is answered too late while all of the
CPU is used: a standing queue. Its sign is not a long turn, as no request may wait meanwhile, but the age of
requests when they are read. The rule is that of controlled delay (CoDel, RFC 8289, in the variant for
servers): a queue that is sometimes empty only absorbs a burst; a queue is standing if even the least wait in
an interval is long.

    normal --the least wait of an interval was above the target--> overloaded
    overloaded --an interval in which it was not, and no request was rejected--> normal

Under overload, a request that has waited longer than `max_wait` is rejected unread. Few requests are read per
turn, so that answers and the events of pending requests come first. Connections are accepted at intervals, as
accepting one costs as much as a request. The decision module decides about the requests that are read.

The caller passes the time; the module reads no clock and does no I/O. Times are in seconds of one clock.
"""

from __future__ import annotations

from collections.abc import Iterable

# Seconds over which the least wait is taken. Longer than the 100 ms after which a container that has used up
# its CPU quota gets more, as each of these pauses would count otherwise.
INTERVAL_SECONDS = 0.15
# Fraction of the shortest aim that a standing queue may take; the rest is for the answers.
TARGET_FRACTION = 0.05
MIN_TARGET_SECONDS = 0.01  # turns of a healthy loop may be this long
MAX_WAIT_TARGETS = 5.0  # longest wait of a request under overload, as a multiple of the target
# Requests that are read per turn under overload. They take a few milliseconds, and answers come next. A turn
# polls all waiting sockets, however few it reads: with 16 of 240 the polling cost as much as the serving.
READS_PER_TURN = 64
ACCEPT_INTERVAL_SECONDS = 0.1  # between accepts under overload; one turn of accepts takes far less


class OverloadControl:
    """The overload state of one process, in constant memory."""

    def __init__(self, aims: Iterable[float]) -> None:
        """`aims`: the aims of the request classes, in seconds."""
        self.set_aims(aims)
        self.is_overloaded = False
        self._min_wait: float | None = None  # in this interval
        self._has_rejected = False  # in this interval
        self._interval_end = 0.0
        self._last_accept_at = 0.0

    def set_aims(self, aims: Iterable[float]) -> None:
        """Set the target wait by the aims of the request classes, in seconds."""
        self.target = max(MIN_TARGET_SECONDS, TARGET_FRACTION * min(aims))

    @property
    def max_wait(self) -> float:
        """The longest wait in seconds with which a request is still served under overload."""
        return MAX_WAIT_TARGETS * self.target

    def should_reject(self, wait: float, now: float) -> bool:
        """Note the wait of a request that is being read, and return whether to reject the request."""
        self.advance(now)
        if self._min_wait is None or wait < self._min_wait:
            self._min_wait = wait
        is_rejected = self.is_overloaded and wait > self.max_wait
        self._has_rejected = self._has_rejected or is_rejected
        return is_rejected

    def advance(self, now: float) -> None:
        """End the interval if its time is over; called in each turn, also without requests."""
        if now < self._interval_end:
            return
        # Rejections shorten the wait of the other requests, so they are no sign that the load has fallen. If
        # they were, the queue would grow again in every other interval. After a whole interval without
        # requests the overload is over, as no request waits.
        is_congested = self._has_rejected or (self._min_wait is not None and self._min_wait > self.target)
        self.is_overloaded = is_congested and now < self._interval_end + INTERVAL_SECONDS
        self._min_wait, self._has_rejected, self._interval_end = None, False, now + INTERVAL_SECONDS

    def read_limit(self) -> int | None:
        """Return the number of clients to read from in this turn; None: all."""
        return READS_PER_TURN if self.is_overloaded else None

    def may_accept(self, now: float) -> bool:
        """Whether to accept connections in this turn."""
        if self.is_overloaded and now < self._last_accept_at + ACCEPT_INTERVAL_SECONDS:
            return False
        self._last_accept_at = now
        return True
