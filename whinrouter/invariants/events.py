"""The latest state changes of one process, kept in a bounded ring. No I/O, no clock.

Each request leaves a few events: that it was admitted, each attempt with its reason and its end, its answer
or its client's end. So do closed connections of clients, and what happens to the process itself. The ring is
read when an invariant is violated and when an operator asks; recording has to be cheap, so that what is kept
are plain tuples, which `events` gives out typed.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import NamedTuple

CAPACITY = 2048  # events, some 200 bytes each; a busy process fills it within a second
NO_REQUEST = 0  # in place of a request's number, for what happens to the process


class EventKind(Enum):
    """What happened."""

    ADMITTED = "admitted"
    WAITING = "waiting"  # an attempt waits for its connection
    SENT = "sent"
    ENDED = "ended"  # an attempt
    ANSWERED = "answered"
    GONE = "gone"  # its client left
    CLOSED = "closed"  # a connection of a client
    VIOLATED = "violated"
    RELOADED = "reloaded"
    STOPPING = "stopping"
    TAKEN_OVER = "taken over"  # by or from another process
    HOST_STOPPED = "host stopped"  # it drains or is gone


class Event(NamedTuple):
    """One event; `moment` in microseconds of the module's clock."""

    moment: int
    kind: EventKind
    request: int  # the gateway's number for it; `PROCESS` for none
    attempt: int
    detail: str

    def __str__(self) -> str:
        at = f"{self.moment / 1_000_000:.6f}"
        return f"{at} request {self.request} attempt {self.attempt}: {self.kind.value} ({self.detail})"


class EventRing:
    """The latest `capacity` events."""

    def __init__(self, capacity: int = CAPACITY) -> None:
        self._events: deque[tuple[int, EventKind, int, int, str]] = deque(maxlen=capacity)

    def record(self, moment: int, kind: EventKind, request: int, attempt: int, detail: str) -> None:
        """Keep one event, in the place of the oldest."""
        self._events.append((moment, kind, request, attempt, detail))

    def events(self, request: int | None = None) -> list[Event]:
        """What is kept, the oldest first; of one request if it is named."""
        return [Event(*event) for event in self._events if request is None or event[2] == request]
