"""The latest state changes of one process, in a bounded ring buffer. No I/O, no clock.

Each request leaves a few events: its admission, each attempt with its reason and its end, and its answer or
its client's end. Closed client connections and events of the process itself are recorded too. The ring is
read when an invariant is violated and when an operator asks for it. Recording has to be cheap, so the ring
holds plain tuples, which `events` returns as typed ones.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import NamedTuple

CAPACITY = 2048  # events of some 200 bytes each; a busy process fills the ring within a second
NO_REQUEST = 0  # in place of a request's number, for events of the process


class EventKind(Enum):
    """The kinds of recorded state changes."""

    ADMITTED = "admitted"
    WAITING = "waiting"  # an attempt waits for its connection
    SENT = "sent"
    ENDED = "ended"  # of an attempt
    ANSWERED = "answered"
    GONE = "gone"  # the client left
    CLOSED = "closed"  # of a client connection
    VIOLATED = "violated"
    RELOADED = "reloaded"
    STOPPING = "stopping"
    TAKEN_OVER = "taken over"  # by or from another process
    HOST_STOPPED = "host stopped"  # it drains or is gone


class Event(NamedTuple):
    """One event; `moment` is in microseconds of the decision module's clock."""

    moment: int
    kind: EventKind
    request: int  # the gateway's number for it, or `NO_REQUEST`
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
        """Add an event; the oldest one is dropped when the ring is full."""
        self._events.append((moment, kind, request, attempt, detail))

    def events(self, request: int | None = None) -> list[Event]:
        """The recorded events, oldest first; only those of one request if it is given."""
        return [Event(*event) for event in self._events if request is None or event[2] == request]
