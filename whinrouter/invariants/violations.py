"""The invariants by name, and how often each was violated. No clock; its only output is the log."""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum

from whinrouter.invariants.events import EventKind, EventRing

log = logging.getLogger(__name__)


class Invariant(Enum):
    """The invariants; `docs/invariants.md` describes each, and which code keeps it on which path."""

    ANSWERED_ONCE = "answered-once"  # no second final answer, and none after the client has left
    ANSWERED_IN_TIME = "answered-in-time"  # within half a second of the client's deadline
    ANSWER_OF_ITS_OWN = "answer-of-its-own"  # 200 only with a host's answer to this very request
    REFUSED_ONLY_UNRUN = "refused-only-unrun"  # 429 and 503 promise that a repeat is harmless
    REPEATED_ONLY_SAFELY = "repeated-only-safely"  # a second attempt only where the class allows it
    SENT_WHILE_OWED = "sent-while-owed"  # none begins after the answer, the deadline or the client's end
    SENT_TO_READY_HOST = "sent-to-ready-host"  # not to a host that drains, is gone or was taken out
    SENT_WHOLE = "sent-whole"  # no attempt with a body of which another attempt has taken a part
    DEADLINE_TOLD = "deadline-told"  # a host is given no more time than the client has left
    CLOSED_WHEN_FREE = "closed-when-free"  # no client connection is closed while it is owed an answer
    ANSWERED_AT_EXIT = "answered-at-exit"  # no request is unanswered when the process ends
    STATE_ORDER = "state-order"  # a request's states follow each other as in `lifecycle.py`


class Violations:
    """The violations in one process."""

    def __init__(self, ring: EventRing) -> None:
        self._ring = ring
        self.counts: Counter[Invariant] = Counter()

    def add(self, invariant: Invariant, moment: int, request: int, detail: str) -> None:
        """Count a violation, and log it with the recorded events of its request; never raises."""
        self.counts[invariant] += 1
        self._ring.record(moment, EventKind.VIOLATED, request, 0, f"{invariant.value}: {detail}")
        events = "; ".join(str(event) for event in self._ring.events(request))
        log.error("invariant %s violated by request %d: %s [%s]", invariant.value, request, detail, events)

    def summary(self) -> str:
        """The invariants that were violated with their counts, or `none`."""
        counted = (f"{invariant.value}={count}" for invariant, count in sorted_counts(self.counts))
        return " ".join(counted) or "none"


def sorted_counts(counts: Counter[Invariant]) -> list[tuple[Invariant, int]]:
    """The counts in the order of the invariants' names."""
    return sorted(counts.items(), key=lambda entry: entry[0].value)
