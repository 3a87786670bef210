"""The event loop's selector: orders ready sockets by priority and limits client input under overload.

The loop handles events in the order in which the selector returns them. The order is: hosts' answers and
all other work in progress first, then reads from clients, then new connections. While the process itself is
overloaded (`overload`), each turn of the loop returns only a few client reads and accepts connections only
now and then. An event that is held back stays ready in the kernel, and a later poll returns it in its order.

The selector also bounds how long input can have waited unread: an event that is returned now was not ready
at the last complete poll, which would otherwise have returned it. The kernel's own figure (TCP_INFO) is
finer, but its clock need not be the clock of this process. Where gateways run in lockstep, each on a clock
of its own, TCP_INFO reported seconds of waiting when nothing had waited, so the figure is discarded when it
exceeds this bound.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from collections import deque

from whinrouter.net.sockets import seconds_since_received
from whinrouter.overload_control import OverloadControl

ReadyEvents = list[tuple[selectors.SelectorKey, int]]

CLOCK_TICK_SECONDS = 0.01  # the coarsest tick of a Linux clock; a kernel count may be off by one tick
# Polls from a connection's arrival to its first read: it waits to be accepted, is set up in two turns of the
# loop, and is then polled.
POLLS_BEFORE_FIRST_READ = 5


class PrioritySelector(selectors.DefaultSelector):
    """A selector for `asyncio.SelectorEventLoop`.

    The owner of the sockets registers client connections in `client_descriptors` and listening sockets in
    `listener_descriptors`; every other descriptor has the highest priority.
    """

    def __init__(self, overload: OverloadControl) -> None:
        super().__init__()
        self.overload = overload
        # Descriptors of client connections, from `connection_made` to `connection_lost`.
        self.client_descriptors: set[int] = set()
        self.listener_descriptors: set[int] = set()
        # When the latest polls ended that held no event back.
        self._complete_polls: deque[float] = deque([0.0] * POLLS_BEFORE_FIRST_READ, POLLS_BEFORE_FIRST_READ)
        # Input that is read in this turn came after the first moment; on a connection of which it is the
        # first input, after the second, as the connection may have waited to be accepted.
        self._last_complete_poll = self._accept_poll = 0.0

    def unread_seconds(self, transport: asyncio.BaseTransport, is_first_read: bool = False) -> float:
        """Return for how many seconds the input that is read now waited unread; 0.0 if that is unknown.

        `is_first_read`: nothing was read from the connection before, so it may have waited to be accepted.
        """
        age_seconds = seconds_since_received(transport)
        return (
            age_seconds if age_seconds <= self.max_unread_seconds(is_first_read) + CLOCK_TICK_SECONDS else 0.0
        )

    def max_unread_seconds(self, is_first_read: bool = False) -> float:
        """Return the upper bound of `unread_seconds` by this process's own clock."""
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
        # A process that was suspended (SIGSTOP) beyond the timeout returns from the call without events and
        # without having polled again.
        was_suspended = (
            not events and timeout is not None and now - started_at > max(0.0, timeout) + CLOCK_TICK_SECONDS
        )
        if len(selected) == len(events) and not was_suspended:
            self._complete_polls.append(now)
        return selected

    def _prioritize(self, events: ReadyEvents, now: float) -> ReadyEvents:
        """Order events by priority; under overload, leave out client reads and accepts beyond the limit."""
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
        # With no other work accepts are not limited: leaving the event out would make the loop spin.
        if accepts and (other_events or client_reads) and not self.overload.may_accept(now):
            accepts = []
        return other_events + client_reads + accepts
