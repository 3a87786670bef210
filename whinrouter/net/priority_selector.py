"""The loop's look at its sockets, arranged by what the process can take on.

The loop handles what it is given in the order in which it is given it. So here stands the order: answers
and whatever else belongs to work that has begun, then clients that ask, then those that want to connect. At
the process's own limit (`ownlimit.py`) the clients are few a turn and the connections now and then; what is
held back stays ready in the system and is told again in the next turn, in its order.

It also knows how long anything can have lain here unread: what is told now was not there at the look before,
or that would have told it. The system's own word on that (TCP_INFO) is finer, but counted by a clock that
need not be this process's. Where gateways run in step with one another, each on a clock of its own, it told
of seconds in which nothing had waited: so it is held to what can be.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from collections import deque

from whinrouter.net.sockets import seconds_since_received
from whinrouter.overload_control import OverloadControl

ReadyEvents = list[tuple[selectors.SelectorKey, int]]

CLOCK_TICK_SECONDS = 0.01  # seconds, the coarsest tick of a Linux clock: its counts may be off by one
# Looks from an accept to the first read: it waits for its turn, is set up in two more, and is then looked at.
POLLS_BEFORE_FIRST_READ = 5


class PrioritySelector(selectors.DefaultSelector):
    """A selector for `asyncio.SelectorEventLoop`; the descriptors of clients are to be named here."""

    def __init__(self, overload: OverloadControl) -> None:
        super().__init__()
        self.overload = overload
        # Descriptors of clients' connections, from each one's first call to its last.
        self.client_descriptors: set[int] = set()
        self.listener_descriptors: set[int] = set()
        # When the latest looks ended at which nothing was held back.
        self._complete_polls: deque[float] = deque([0.0] * POLLS_BEFORE_FIRST_READ, POLLS_BEFORE_FIRST_READ)
        # Nothing that is read in this turn came before; nor on a connection of which it is the first.
        self._last_complete_poll = self._accept_poll = 0.0

    def unread_seconds(self, transport: asyncio.BaseTransport, is_first_read: bool = False) -> float:
        """Seconds for which what is read now lay here unread; 0.0 where nobody can tell.

        `first`: nothing was read from the connection before, which may have waited to be accepted.
        """
        age_seconds = seconds_since_received(transport)
        return (
            age_seconds if age_seconds <= self.max_unread_seconds(is_first_read) + CLOCK_TICK_SECONDS else 0.0
        )

    def max_unread_seconds(self, is_first_read: bool = False) -> float:
        """Seconds for which what is read now can have lain here at most, by this process's own clock."""
        return time.monotonic() - (self._accept_poll if is_first_read else self._last_complete_poll)

    def select(self, timeout: float | None = None) -> ReadyEvents:
        started_at = time.monotonic()
        events = super().select(timeout)
        now, self._last_complete_poll, self._accept_poll = (
            time.monotonic(),
            self._complete_polls[-1],
            self._complete_polls[0],
        )
        selected = (
            events if len(events) < 2 and not self.overload.is_overloaded else self._prioritize(events, now)
        )
        # One that was put aside beyond its time (SIGSTOP) comes back with nothing, without another look.
        was_suspended = (
            not events and timeout is not None and now - started_at > max(0.0, timeout) + CLOCK_TICK_SECONDS
        )
        if len(selected) == len(events) and not was_suspended:
            self._complete_polls.append(now)
        return selected

    def _prioritize(self, events: ReadyEvents, now: float) -> ReadyEvents:
        other_events: ReadyEvents = []
        client_reads: ReadyEvents = []
        accepts: ReadyEvents = []
        for event in events:
            descriptor = event[0].fd
            if descriptor in self.client_descriptors:
                client_reads.append(event)
            elif descriptor in self.listener_descriptors:
                accepts.append(event)
            else:
                other_events.append(event)
        self.overload.advance(now)
        max_reads = self.overload.read_limit()
        if max_reads is not None:
            del client_reads[max_reads:]
        # With nothing else to do there is no limit, and to wait here would be to spin.
        if accepts and (other_events or client_reads) and not self.overload.may_accept(now):
            accepts = []
        return other_events + client_reads + accepts
