"""Records what clients sent and received and what hosts saw during a soak, and finds the broken rules.

The ledger does no I/O and reads no clock: the simulated clients, hosts and discovery agents record each
event with its time, in seconds of one clock, and `find_violations` checks the rules at the end. Each rule
allows the slack that the gateway's limits give it, plus the longest delay of the simulating process itself.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from math import sqrt
from typing import NamedTuple

CLIENT_GONE_SLACK_SECONDS = 0.1  # for which an attempt may still begin after its client has left
ANSWER_SLACK_SECONDS = 0.5  # by which an answer may come after the client's deadline
DEADLINE_SLACK_SECONDS = 0.15  # by which X-Deadline may exceed the time that the client has left
TIMER_SLACK_SECONDS = 0.05  # by which a timer may fire late on real sockets
MAX_STALL_SECONDS = 0.15  # for which a gateway process may stall between reading its clock and writing
DRAIN_GRACE_SECONDS = 0.5
OPERATOR_GRACE_SECONDS = 1.0
REFUSAL_STATUSES = (429, 503)


@dataclass(frozen=True, slots=True)
class ClassRules:
    """The deadline of a request class, and whether its requests may run more than once."""

    name: str
    deadline: float  # seconds
    is_repeatable: bool = False
    dedup_window: float = 0.0  # seconds for which the hosts of a zone drop repeats; 0: they drop none


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request as its client sees it."""

    name: str
    rules: ClassRules
    gateway: int
    sent_at: float  # when the last byte was written
    answered_at: float | None = None
    status: int = 0
    body: bytes = b""
    client_left_at: float | None = None  # when the client closed its connection
    waiver: str = ""  # the reason why no answer is owed
    has_partial_answer: bool = False
    connection_history: str = ""  # whether the connection was new, and how it ended
    # When a kept connection ended before any byte of an answer, if the client sent the request again.
    first_connection_ended_at: float | None = None


@dataclass(slots=True, eq=False)
class HostAttempt:
    """An attempt as its host sees it."""

    name: str
    gateway: int
    host: str
    zone: str
    began_at: float  # when the first byte arrived
    deadline: float  # seconds in its X-Deadline header
    cold_budget: float = 0.0  # requests that the cold host can take in one overload window; 0: it is warm
    host_started_at: float = 0.0
    has_run: bool = True  # False if the host turned the attempt away
    body: bytes = b""  # of the host's answer
    is_truncated: bool = False  # the host, or the link, did not deliver a whole answer


class Span(NamedTuple):
    """A time span, in seconds of the soak's clock."""

    since: float
    until: float


class Violation(NamedTuple):
    """A broken rule."""

    rule: str
    request: str
    detail: str


@dataclass(slots=True)
class Ledger:
    """All recorded events of a soak."""

    cold_overload_window: float = 2.0  # seconds
    requests: dict[str, ClientRequest] = field(default_factory=dict)
    attempts: list[HostAttempt] = field(default_factory=list)
    forbidden_spans: dict[tuple[int, str, float], list[Span]] = field(default_factory=dict)
    frozen_spans: dict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))  # by gateway
    immediate_violations: list[Violation] = field(default_factory=list)  # detected while the soak ran
    max_lag: float = 0.0  # seconds by which the simulating process ran late at most

    def forbid_attempts(
        self, gateway: int, host: str, host_started_at: float, since: float, until: float = 1e18
    ) -> None:
        """Record that this gateway may begin no attempt at this host in this span (with all slack)."""
        spans = self.forbidden_spans.setdefault((gateway, host, host_started_at), [])
        if not spans or spans[-1].until < since:
            spans.append(Span(since, until))

    def allow_attempts(self, gateway: int, host: str, host_started_at: float, at: float) -> None:
        """Record that the gateway may use the host again, as after an operator's ONLINE call."""
        spans = self.forbidden_spans.get((gateway, host, host_started_at))
        if spans:
            spans[-1] = Span(spans[-1].since, min(spans[-1].until, at))

    def find_violations(self) -> list[Violation]:
        """Return every broken rule."""
        violations = list(self.immediate_violations)
        by_request: dict[str, list[HostAttempt]] = defaultdict(list)
        for attempt in self.attempts:
            by_request[attempt.name].append(attempt)
        for request in self.requests.values():
            violations += self._check_answer(request, by_request[request.name])
            violations += self._check_duplicates(request, by_request[request.name])
            violations += self._check_attempts(request, by_request[request.name])
        for attempt in self.attempts:
            violations += self._check_forbidden_host(attempt)
        return violations + self._check_cold_hosts()

    def _was_frozen(self, gateway: int, since: float, until: float) -> bool:
        """Return whether the gateway was paused in this span for longer than it is required to tolerate."""
        return any(span.since < until and since < span.until for span in self.frozen_spans[gateway])

    def _check_answer(self, request: ClientRequest, attempts: list[HostAttempt]) -> list[Violation]:
        """Check that the request was answered, in time, and with what a host made for it."""
        name, violations = request.name, []
        # An answer that was begun and can't be completed is a failure that the client can see, and not lost.
        is_truncated = request.has_partial_answer and any(attempt.is_truncated for attempt in attempts)
        is_owed = request.client_left_at is None and not request.waiver and not is_truncated
        if request.answered_at is None and is_owed:
            violations.append(
                Violation(
                    "lost",
                    name,
                    f"at {request.sent_at:.3f} s, gateway {request.gateway}: {request.connection_history}",
                )
            )
        ended_at = request.first_connection_ended_at
        if ended_at is not None and any(attempt.began_at < ended_at for attempt in attempts):
            detail = (
                f"read by gateway {request.gateway}, its connection ended at {ended_at:.3f} s with no answer"
            )
            violations.append(Violation("lost", name, detail))
        late_seconds = (request.answered_at or 0.0) - request.sent_at - request.rules.deadline
        until = request.answered_at or request.sent_at
        if late_seconds > ANSWER_SLACK_SECONDS + self.max_lag and not self._was_frozen(
            request.gateway, request.sent_at, until
        ):
            violations.append(Violation("lost", name, f"answered {late_seconds:.3f} s after its deadline"))
        if request.status == 200 and request.body not in [attempt.body for attempt in attempts]:
            violations.append(Violation("lost", name, "its answer was made by no host for this request"))
        return violations

    def _check_duplicates(self, request: ClientRequest, attempts: list[HostAttempt]) -> list[Violation]:
        """Check that the request ran once, or again only where it may; a refused one must not have run."""
        runs = sorted(
            (attempt for attempt in attempts if attempt.has_run), key=lambda attempt: attempt.began_at
        )
        if not runs or request.rules.is_repeatable:
            return []
        violations, first, window = [], runs[0], request.rules.dedup_window
        for repeat in runs[1:]:
            is_deduplicated = (
                repeat.zone == first.zone and repeat.began_at < first.began_at + window + TIMER_SLACK_SECONDS
            )
            if not (window and is_deduplicated):
                violations.append(
                    Violation("duplicate", request.name, f"{repeat.began_at - first.began_at:.3f} s later")
                )
        if request.status in REFUSAL_STATUSES:
            violations.append(Violation("duplicate", request.name, "refused though it may have run"))
        return violations

    def _check_attempts(self, request: ClientRequest, attempts: list[HostAttempt]) -> list[Violation]:
        """Check for attempts that began after their client had left, or with too long a deadline."""
        violations: list[Violation] = []
        for attempt in attempts:
            if self._was_frozen(request.gateway, attempt.began_at - 1.0, attempt.began_at):
                continue
            if (
                request.client_left_at is not None
                and attempt.began_at > request.client_left_at + CLIENT_GONE_SLACK_SECONDS + self.max_lag
            ):
                late_seconds = attempt.began_at - request.client_left_at
                violations.append(
                    Violation("lost", request.name, f"began {late_seconds:.3f} s after its client left")
                )
            time_left = request.sent_at + request.rules.deadline - attempt.began_at
            if attempt.deadline > time_left + DEADLINE_SLACK_SECONDS + self.max_lag:
                violations.append(
                    Violation(
                        "deadline",
                        request.name,
                        f"X-Deadline {attempt.deadline:.3f}, time left {time_left:.3f}",
                    )
                )
        return violations

    def _check_forbidden_host(self, attempt: HostAttempt) -> list[Violation]:
        """Check that the gateway did not use a host that it had to stop using."""
        spans = self.forbidden_spans.get((attempt.gateway, attempt.host, attempt.host_started_at), [])
        violated = [span for span in spans if span.since + self.max_lag < attempt.began_at < span.until]
        if not violated or self._was_frozen(attempt.gateway, attempt.began_at - 1.0, attempt.began_at):
            return []
        late_seconds = attempt.began_at - violated[0].since
        detail = (
            f"gateway {attempt.gateway}, host {attempt.host}, {late_seconds:.3f} s after the grace period"
        )
        return [Violation("drain", attempt.name, detail)]

    def _check_cold_hosts(self) -> list[Violation]:
        """Return the first overload of each cold host: more requests in one window than it can take.

        The tolerance above the budget is a multiple of the budget's square root, larger for small budgets.
        """
        starts: dict[tuple[str, float], list[HostAttempt]] = defaultdict(list)
        for attempt in self.attempts:
            if attempt.cold_budget and attempt.has_run:
                starts[attempt.host, attempt.host_started_at].append(attempt)
        violations = []
        for (host, _), attempts in starts.items():
            attempts.sort(key=lambda attempt: attempt.began_at)
            for index, latest in enumerate(attempts):
                budget = latest.cold_budget
                tolerance = 3 * sqrt(budget) + 3 if budget < 30 else 2 * sqrt(budget) + 2
                window = [
                    attempt
                    for attempt in attempts[: index + 1]
                    if attempt.began_at > latest.began_at - self.cold_overload_window
                ]
                if len(window) > budget + tolerance:
                    violations.append(
                        Violation("failback", latest.name, f"host {host}: {len(window)} of {budget:.1f}")
                    )
                    break
        return violations
