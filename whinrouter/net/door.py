"""The loop's look at its sockets, arranged by what the process can take on.

The loop handles what it is given in the order in which it is given it. So here stands the order: answers
and whatever else belongs to work that has begun, then clients that ask, then those that want to connect. At
the process's own limit (`ownlimit.py`) the clients are few a turn and the connections now and then; what is
held back stays ready in the system and is told again in the next turn, in its order.
"""

from __future__ import annotations

import selectors
import time

from whinrouter.ownlimit import OwnLimit

Events = list[tuple[selectors.SelectorKey, int]]


class Door(selectors.DefaultSelector):
    """A selector for `asyncio.SelectorEventLoop`; the descriptors of clients are to be named here."""

    def __init__(self, own: OwnLimit) -> None:
        super().__init__()
        self.own = own
        # Descriptors of clients' connections, from each one's first call to its last.
        self.clients: set[int] = set()
        self.listeners: set[int] = set()

    def select(self, timeout: float | None = None) -> Events:
        events = super().select(timeout)
        if len(events) < 2 and not self.own.reached:
            return events
        return self._arrange(events, time.monotonic())

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
