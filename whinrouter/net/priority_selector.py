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

from whinrouter.net.sockets import age
from whinrouter.overload_control import OwnLimit

Events = list[tuple[selectors.SelectorKey, int]]

GRAIN = 0.01  # seconds, the coarsest tick of a Linux clock: its counts may be off by one
# Looks from an accept to the first read: it waits for its turn, is set up in two more, and is then looked at.
ACCEPT_LOOKS = 5


class Door(selectors.DefaultSelector):
    """A selector for `asyncio.SelectorEventLoop`; the descriptors of clients are to be named here."""

    def __init__(self, own: OwnLimit) -> None:
        super().__init__()
        self.own = own
        # Descriptors of clients' connections, from each one's first call to its last.
        self.clients: set[int] = set()
        self.listeners: set[int] = set()
        # When the latest looks ended at which nothing was held back.
        self._looks: deque[float] = deque([0.0] * ACCEPT_LOOKS, ACCEPT_LOOKS)
        # Nothing that is read in this turn came before; nor on a connection of which it is the first.
        self._since = self._accepted_since = 0.0

    def lay(self, transport: asyncio.BaseTransport, first: bool = False) -> float:
        """Seconds for which what is read now lay here unread; 0.0 where nobody can tell.

        `first`: nothing was read from the connection before, which may have waited to be accepted.
        """
        told = age(transport)
        return told if told <= self.at_most(first) + GRAIN else 0.0

    def at_most(self, first: bool = False) -> float:
        """Seconds for which what is read now can have lain here at most, by this process's own clock."""
        return time.monotonic() - (self._accepted_since if first else self._since)

    def select(self, timeout: float | None = None) -> Events:
        began = time.monotonic()
        events = super().select(timeout)
        now, self._since, self._accepted_since = time.monotonic(), self._looks[-1], self._looks[0]
        told = events if len(events) < 2 and not self.own.reached else self._arrange(events, now)
        # One that was put aside beyond its time (SIGSTOP) comes back with nothing, without another look.
        overslept = not events and timeout is not None and now - began > max(0.0, timeout) + GRAIN
        if len(told) == len(events) and not overslept:
            self._looks.append(now)
        return told

    def _arrange(self, events: Events, now: float) -> Events:
        begun: Events = []
        reads: Events = []
        accepts: Events = []
        for event in events:
            descriptor = event[0].fd
            if descriptor in self.clients:
                reads.append(event)
            elif descriptor in self.listeners:
                accepts.append(event)
            else:
                begun.append(event)
        self.own.passes(now)
        most = self.own.reads()
        if most is not None:
            del reads[most:]
        # With nothing else to do there is no limit, and to wait here would be to spin.
        if accepts and (begun or reads) and not self.own.accepts(now):
            accepts = []
        return begun + reads + accepts
