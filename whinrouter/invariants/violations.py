"""The invariants by name, and how often each was violated. No clock; it writes to the log alone."""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum

from whinrouter.invariants.events import EventKind, EventRing

log = logging.getLogger(__name__)


class Invariant(Enum):
    """One rule or term each; `docs/invariants.md` says which, and who keeps it on which path."""

    ANSWERED_ONCE = "answered-once"  # no second final answer, none after the client left
    ANSWERED_IN_TIME = "answered-in-time"  # within half a second of the client's time
    ANSWER_OF_ITS_OWN = "answer-of-its-own"  # 200 only with what a host made for this request
    REFUSED_ONLY_UNRUN = "refused-only-unrun"  # 429 and 503 promise that a repeat is harmless
    REPEATED_ONLY_SAFELY = "repeated-only-safely"
    SENT_WHILE_OWED = "sent-while-owed"  # nothing begins after the answer, the time or the client's end
    SENT_TO_READY_HOST = "sent-to-ready-host"  # not to one that drains, is gone or was taken out
    DEADLINE_TOLD = "deadline-told"  # a host is told no more than the client has left
    CLOSED_WHEN_FREE = "closed-when-free"  # no connection of a client ends that is owed an answer
    ANSWERED_AT_EXIT = "answered-at-exit"  # none is held when the process ends
    STATE_ORDER = "state-order"  # the life of a request goes on as `lifecycle.py` says


class Violations:
    """The count of one process."""

    def __init__(self, ring: EventRing) -> None:
        self._ring = ring
        self.counts: Counter[Invariant] = Counter()

    def add(self, invariant: Invariant, moment: int, request: int, detail: str) -> None:
        """Count one, and write out what is known of its request; this never raises."""
        self.counts[invariant] += 1
        self._ring.record(moment, EventKind.VIOLATED, request, 0, f"{invariant.value}: {detail}")
        events = "; ".join(str(event) for event in self._ring.events(request))
        log.error("invariant %s violated by request %d: %s [%s]", invariant.value, request, detail, events)

    def summary(self) -> str:
        """All that were violated with their counts, or `none`."""
        counted = (f"{invariant.value}={count}" for invariant, count in sorted_counts(self.counts))
        return " ".join(counted) or "none"


def sorted_counts(counts: Counter[Invariant]) -> list[tuple[Invariant, int]]:
    return sorted(counts.items(), key=lambda entry: entry[0].value)
