"""The outside account of a soak: what clients sent and got, what hosts saw, and the rules over both.

It does no I/O and reads no clock: whoever plays clients, hosts and discovery notes each fact with its time,
in seconds of one clock, and `judge` looks for broken rules at the end. A rule is held with the slack that
the pages give it and that by which the playing process itself ran late.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from math import sqrt
from typing import NamedTuple

GONE_SLACK = 0.1  # seconds for which an attempt may begin after its client has left
ANSWER_SLACK = 0.5  # and an answer may come after its client's time
TOLD_SLACK = 0.15  # by which a host may be told more than the client has left
LIMIT_SLACK = 0.05  # by which each limit of time is longer on sockets
HELD_UP = 0.15  # for which a process may be held up between reading its clock and writing
DRAIN_GRACE = 0.5
OPERATOR_GRACE = 1.0
REFUSALS = (429, 503)


@dataclass(frozen=True, slots=True)
class ClassRules:
    """What a class of request may do."""

    name: str
    deadline: float
    repeatable: bool = False
    window: float = 0.0  # for which a zone's hosts drop repeats; 0: they do not


@dataclass(slots=True, eq=False)
class AskedRequest:
    """A request as its client knows it."""

    name: str
    rules: ClassRules
    gateway: int
    sent: float  # when its last byte was written
    answered: float | None = None
    status: int = 0
    body: bytes = b""
    left: float | None = None  # when its client closed
    excused: str = ""  # why no answer is owed
    heard: bool = False  # a part of an answer came
    how: str = ""  # the connection that it went over, and what came of it
    # When a kept connection ended with no byte of an answer, and its client asked again; None: it did not.
    first_ended: float | None = None


@dataclass(slots=True, eq=False)
class SeenAttempt:
    """An attempt as its host knows it."""

    name: str
    gateway: int
    host: str
    zone: str
    began: float  # its first byte
    told: float  # seconds that it says its gateway waits
    cold_budget: float = 0.0  # requests in a fall time that its host bears; 0: it is warm
    started: float = 0.0  # the start of its host
    ran: bool = True  # not turned away
    body: bytes = b""  # what its host answered
    broke_off: bool = False  # its host, or the link, gave no whole answer


class Span(NamedTuple):
    """From one moment to another."""

    since: float
    until: float


class Violation(NamedTuple):
    """A broken rule."""

    rule: str
    request: str
    detail: str


@dataclass(slots=True)
class Ledger:
    """All that was noted."""

    fall_time: float = 2.0
    asked: dict[str, AskedRequest] = field(default_factory=dict)
    attempts: list[SeenAttempt] = field(default_factory=list)
    stopped: dict[tuple[int, str, float], list[Span]] = field(default_factory=dict)
    frozen: dict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))  # gateways put aside
    faults: list[Violation] = field(default_factory=list)  # found as they happened
    lag: float = 0.0  # by which the playing process ran late at most

    def stops(self, gateway: int, host: str, started: float, since: float, until: float = 1e18) -> None:
        """From `since` on, with all slack, and up to `until` this gateway may begin nothing at this host."""
        spans = self.stopped.setdefault((gateway, host, started), [])
        if not spans or spans[-1].until < since:
            spans.append(Span(since, until))

    def starts_again(self, gateway: int, host: str, started: float, at: float) -> None:
        """A call has put the host back."""
        spans = self.stopped.get((gateway, host, started))
        if spans:
            spans[-1] = Span(spans[-1].since, min(spans[-1].until, at))

    def judge(self) -> list[Violation]:
        """Every broken rule."""
        found = list(self.faults)
        by_request: dict[str, list[SeenAttempt]] = defaultdict(list)
        for attempt in self.attempts:
            by_request[attempt.name].append(attempt)
        for request in self.asked.values():
            found += self._answers(request, by_request[request.name])
            found += self._repeats(request, by_request[request.name])
            found += self._attempts_of(request, by_request[request.name])
        for attempt in self.attempts:
            found += self._stopped_hosts(attempt)
        return found + self._cold_hosts()

    def _is_frozen(self, gateway: int, since: float, until: float) -> bool:
        """Whether a gateway was put aside within this time for longer than the pages have it."""
        return any(span.since < until and since < span.until for span in self.frozen[gateway])

    def _answers(self, request: AskedRequest, attempts: list[SeenAttempt]) -> list[Violation]:
        name, found = request.name, []
        # What was begun and can't be finished has failed and is not lost: its client can tell.
        broke_off = request.heard and any(attempt.broke_off for attempt in attempts)
        is_owed = request.left is None and not request.excused and not broke_off
        if request.answered is None and is_owed:
            found.append(
                Violation("lost", name, f"at {request.sent:.3f} s, gateway {request.gateway}: {request.how}")
            )
        ended = request.first_ended
        if ended is not None and any(attempt.began < ended for attempt in attempts):
            detail = (
                f"read at gateway {request.gateway}, its connection ended at {ended:.3f} s with no answer"
            )
            found.append(Violation("lost", name, detail))
        late = (request.answered or 0.0) - request.sent - request.rules.deadline
        ends = request.answered or request.sent
        if late > ANSWER_SLACK + self.lag and not self._is_frozen(request.gateway, request.sent, ends):
            found.append(Violation("lost", name, f"answered {late:.3f} s after its time"))
        if request.status == 200 and request.body not in [attempt.body for attempt in attempts]:
            found.append(Violation("lost", name, "served with what no host made for it"))
        return found

    def _repeats(self, request: AskedRequest, attempts: list[SeenAttempt]) -> list[Violation]:
        ran = sorted((attempt for attempt in attempts if attempt.ran), key=lambda attempt: attempt.began)
        if not ran or request.rules.repeatable:
            return []
        found, first, window = [], ran[0], request.rules.window
        for other in ran[1:]:
            remembered = other.zone == first.zone and other.began < first.began + window + LIMIT_SLACK
            if not (window and remembered):
                found.append(Violation("duplicate", request.name, f"{other.began - first.began:.3f} s later"))
        if request.status in REFUSALS:
            found.append(Violation("duplicate", request.name, "refused though it may have run"))
        return found

    def _attempts_of(self, request: AskedRequest, attempts: list[SeenAttempt]) -> list[Violation]:
        found: list[Violation] = []
        for attempt in attempts:
            if self._is_frozen(request.gateway, attempt.began - 1.0, attempt.began):
                continue
            if request.left is not None and attempt.began > request.left + GONE_SLACK + self.lag:
                late = attempt.began - request.left
                found.append(Violation("lost", request.name, f"began {late:.3f} s after its client left"))
            left = request.sent + request.rules.deadline - attempt.began
            if attempt.told > left + TOLD_SLACK + self.lag:
                found.append(Violation("deadline", request.name, f"told {attempt.told:.3f}, left {left:.3f}"))
        return found

    def _stopped_hosts(self, attempt: SeenAttempt) -> list[Violation]:
        spans = self.stopped.get((attempt.gateway, attempt.host, attempt.started), [])
        broken = [span for span in spans if span.since + self.lag < attempt.began < span.until]
        if not broken or self._is_frozen(attempt.gateway, attempt.began - 1.0, attempt.began):
            return []
        late = attempt.began - broken[0].since
        detail = f"gateway {attempt.gateway}, host {attempt.host}, {late:.3f} s after the grace"
        return [Violation("drain", attempt.name, detail)]

    def _cold_hosts(self) -> list[Violation]:
        """The first window in which a cold host got more than it bears."""
        starts: dict[tuple[str, float], list[SeenAttempt]] = defaultdict(list)
        for attempt in self.attempts:
            if attempt.cold_budget and attempt.ran:
                starts[attempt.host, attempt.started].append(attempt)
        found = []
        for (host, _), attempts in starts.items():
            attempts.sort(key=lambda attempt: attempt.began)
            for place, last in enumerate(attempts):
                budget = last.cold_budget
                least = 3 * sqrt(budget) + 3 if budget < 30 else 2 * sqrt(budget) + 2
                window = [a for a in attempts[: place + 1] if a.began > last.began - self.fall_time]
                if len(window) > budget + least:
                    found.append(
                        Violation("failback", last.name, f"host {host}: {len(window)} of {budget:.1f}")
                    )
                    break
        return found
