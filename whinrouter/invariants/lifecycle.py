"""The lifecycle of a request, and a guard for each act on it: starting, sending, repeating, answering,
closing.

Theory of operation. The driver asks a guard before it does any of these, whatever has caused the act: the
decision module, a timer, a client, a host, a list of hosts or the end of the process. A guard knows what was
done for the request so far, and nothing about the cause.

    ADMITTED --an attempt waits for its connection--> WAITING --its first byte leaves--> SENT
    ADMITTED, SENT --an attempt goes out on an idle connection-----------------------------> SENT
    any of these --the final answer--> ANSWERED          any of these --the client leaves--> GONE

ANSWERED and GONE are final. Each violation is counted (`violations.py`). Where the request can still be saved
the guard also refuses: an attempt that may not begin is not sent, a refusal that would promise too much
becomes a failure, and a second answer is dropped. No clock, no I/O; moments are microseconds of one clock.
"""

from __future__ import annotations

from enum import Enum

from whinrouter.interface import MS, Effect, Outcome, RequestClass, Scope, Server, Settings, in_same_group
from whinrouter.invariants.events import NO_REQUEST, EventKind, EventRing
from whinrouter.invariants.violations import Invariant, Violations

DEADLINE_SLACK = 150 * MS  # a host may be given this much more time than the client has left
ANSWER_SLACK = 500 * MS  # an answer up to this long after the deadline is worthless, but no violation
REFUSALS = frozenset({429, 503})


class RequestState(Enum):
    """The state of a request."""

    ADMITTED = "admitted"
    WAITING = "waiting"
    SENT = "sent"
    ANSWERED = "answered"
    GONE = "gone"


FINAL_STATES = frozenset({RequestState.ANSWERED, RequestState.GONE})


class CloseReason(Enum):
    """Why a client connection is closed."""

    CLIENT_LEFT = "its client left"
    BAD_INPUT = "what it sent can't be read"
    BUFFER_FULL = "the process holds too much of incomplete requests"
    BODY_STALLED = "a body on its way is not moved"
    ANSWER_BROKEN = "its answer broke off"
    ANSWERED = "its answer was to be the last"
    IDLE = "idle"
    OVERDUE = "it has waited long enough"
    MAKES_ROOM = "it makes room for another"
    SURPLUS = "more connections than there may be"
    SHUTDOWN = "the process takes no more"
    OVERLOAD = "it was refused unread"
    PASSED_ON = "another process goes on with its answer"


# Reasons that end a request from outside. With any other reason no answer may be owed on the connection.
FREES_REQUEST = frozenset(
    {
        CloseReason.CLIENT_LEFT,
        CloseReason.BAD_INPUT,
        CloseReason.BODY_STALLED,
        CloseReason.ANSWER_BROKEN,
        CloseReason.PASSED_ON,
    }
)


class RequestLifecycle:
    """What was done for one request so far."""

    def __init__(self, request: int, request_class: RequestClass | None, deadline: int) -> None:
        self.request = request
        self.state = RequestState.ADMITTED
        self.deadline = deadline  # the client's, less the time on the network
        self.request_class = request_class  # None: a class never announced, which may not run twice
        self.attempts_sent = 0  # attempts whose first byte has left
        self.attempts_not_run = 0  # how many of these have ended without running
        self.first_sent = 0  # moment of the first attempt that may have run
        self.first_server: Server | None = None  # and the host it was sent to
        self.last_outcome = ""

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt has run, or still may."""
        return self.attempts_sent > self.attempts_not_run

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may be repeated freely."""
        return self.request_class is not None and self.request_class.effect is Effect.IDEMPOTENT


class Guards:
    """The guards of one process; every path that acts on a request asks here."""

    def __init__(self, settings: Settings) -> None:
        self.ring = EventRing()
        self.violations = Violations(self.ring)
        self._classes: dict[str, RequestClass] = {}
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings; requests in progress keep their class."""
        self._classes = {request_class.name: request_class for request_class in settings.classes}

    def admit(self, request: int, class_name: str, deadline: int, now: int, name: str) -> RequestLifecycle:
        """Record an admitted request, which is owed an answer from now on, and return its lifecycle.

        `name`: the id that the client gave it.
        """
        self.ring.record(now, EventKind.ADMITTED, request, 0, name)
        return RequestLifecycle(request, self._classes.get(class_name), deadline)

    def adopt(
        self, request: int, class_name: str, deadline: int, server: Server, now: int, name: str
    ) -> RequestLifecycle:
        """Record a request of another process that continues here; return its lifecycle.

        Its one attempt is in progress at `server`.
        """
        lifecycle = self.admit(request, class_name, deadline, now, name)
        lifecycle.state, lifecycle.attempts_sent = RequestState.SENT, 1
        lifecycle.first_sent, lifecycle.first_server = now, server
        self.ring.record(now, EventKind.TAKEN_OVER, request, 0, "its attempt is out")
        return lifecycle

    def hand_over(self, lifecycle: RequestLifecycle, now: int) -> None:
        """Record that another process continues the request, and owes its answer."""
        lifecycle.state = RequestState.GONE
        self.ring.record(now, EventKind.GONE, lifecycle.request, 0, "another process goes on with it")

    def attempt_waiting(self, lifecycle: RequestLifecycle, attempt: int, now: int) -> None:
        """Record that an attempt waits for a connection."""
        if lifecycle.state in FINAL_STATES:
            self._violated(
                Invariant.STATE_ORDER, lifecycle, now, f"an attempt waits though {lifecycle.state.value}"
            )
            return
        lifecycle.state = RequestState.WAITING
        self.ring.record(now, EventKind.WAITING, lifecycle.request, attempt, "for a connection")

    def may_send(
        self,
        lifecycle: RequestLifecycle,
        attempt: int,
        server: Server,
        is_ready: bool,
        has_whole_body: bool,
        timeout: int,
        now: int,
    ) -> bool:
        """Whether the first byte of an attempt may leave now; if so, the attempt counts as sent.

        `is_ready`: the host may be sent to, as far as this process knows. `has_whole_body`: no part of the
        request body was given to another attempt and not kept. `timeout`: the microseconds that the host is
        given for its answer.
        """
        if lifecycle.state in FINAL_STATES or now > lifecycle.deadline:
            reason = lifecycle.state.value if lifecycle.state in FINAL_STATES else "its time is up"
            return self._violated(
                Invariant.SENT_WHILE_OWED, lifecycle, now, f"attempt {attempt}, though {reason}"
            )
        if not is_ready:
            return self._violated(Invariant.SENT_TO_READY_HOST, lifecycle, now, f"attempt {attempt}")
        if not has_whole_body:
            return self._violated(Invariant.SENT_WHOLE, lifecycle, now, f"attempt {attempt}")
        if timeout > lifecycle.deadline - now + DEADLINE_SLACK:
            return self._violated(
                Invariant.DEADLINE_TOLD, lifecycle, now, f"{timeout} given, {lifecycle.deadline - now} left"
            )
        if lifecycle.may_have_run and not self._may_repeat(lifecycle, server, now):
            return self._violated(Invariant.REPEATED_ONLY_SAFELY, lifecycle, now, f"attempt {attempt}")
        self._count_sent(lifecycle, attempt, server, now)
        return True

    def _count_sent(self, lifecycle: RequestLifecycle, attempt: int, server: Server, now: int) -> None:
        reason = "first"
        if lifecycle.attempts_sent:
            reason = f"retry after {lifecycle.last_outcome}" if lifecycle.last_outcome else "hedge"
        if not lifecycle.may_have_run:
            lifecycle.first_sent, lifecycle.first_server = now, server
        lifecycle.attempts_sent += 1
        lifecycle.last_outcome = ""
        lifecycle.state = RequestState.SENT
        self.ring.record(now, EventKind.SENT, lifecycle.request, attempt, reason)

    def _may_repeat(self, lifecycle: RequestLifecycle, server: Server, now: int) -> bool:
        request_class, first = lifecycle.request_class, lifecycle.first_server
        if request_class is None or first is None or request_class.effect is Effect.AT_MOST_ONCE:
            return False
        if request_class.effect is Effect.IDEMPOTENT:
            return True
        is_remembered = now < lifecycle.first_sent + request_class.dedup_window
        return is_remembered and in_same_group(request_class.scope, first, server)

    def attempt_ended(
        self, lifecycle: RequestLifecycle, attempt: int, has_begun: bool, outcome: Outcome, now: int
    ) -> None:
        """Record the end of an attempt; `has_begun`: `may_send` had let it begin."""
        lifecycle.attempts_not_run += has_begun and outcome.never_ran
        lifecycle.last_outcome = outcome.value
        self.ring.record(now, EventKind.ENDED, lifecycle.request, attempt, outcome.value)

    def may_answer(
        self, lifecycle: RequestLifecycle, status: int, is_served: bool, reason: str, now: int
    ) -> int:
        """The status that a final answer may have; 0 if no answer may be given any more.

        `is_served`: the answer is a host's answer to an attempt of this request. `reason`: why it is
        given, for the log.
        """
        if lifecycle.state in FINAL_STATES:
            self._violated(
                Invariant.ANSWERED_ONCE, lifecycle, now, f"{status}, though {lifecycle.state.value}"
            )
            return 0
        if status == 200 and not is_served:
            self._violated(Invariant.ANSWER_OF_ITS_OWN, lifecycle, now, reason)
            status = 502
        if status in REFUSALS and not self._may_refuse(lifecycle):
            self._violated(Invariant.REFUSED_ONLY_UNRUN, lifecycle, now, f"{status}: {reason}")
            status = 502
        if now > lifecycle.deadline + ANSWER_SLACK:
            self._violated(Invariant.ANSWERED_IN_TIME, lifecycle, now, f"{now - lifecycle.deadline} late")
        lifecycle.state = RequestState.ANSWERED
        self.ring.record(now, EventKind.ANSWERED, lifecycle.request, 0, reason)
        return status

    def _may_refuse(self, lifecycle: RequestLifecycle) -> bool:
        request_class = lifecycle.request_class
        if not lifecycle.may_have_run:
            return True
        if request_class is None or request_class.effect is Effect.AT_MOST_ONCE:
            return False
        return request_class.effect is Effect.IDEMPOTENT or request_class.scope is Scope.ALL

    def client_left(self, lifecycle: RequestLifecycle, now: int) -> None:
        """Record that the client has left: no answer is owed any more."""
        if lifecycle.state is not RequestState.ANSWERED:
            lifecycle.state = RequestState.GONE
        self.ring.record(now, EventKind.GONE, lifecycle.request, 0, "its client left")

    def connection_closed(self, request: int, is_owed: bool, reason: CloseReason, now: int) -> None:
        """Record that a client connection is closed.

        `request`: the one in progress there, or `NO_REQUEST`. `is_owed`: that request, or one that is queued
        behind it, has no final answer yet.
        """
        self.ring.record(now, EventKind.CLOSED, request, 0, reason.value)
        if is_owed and reason not in FREES_REQUEST:
            self.violations.add(Invariant.CLOSED_WHEN_FREE, now, request, reason.value)

    def process_event(self, kind: EventKind, detail: str, now: int) -> None:
        """Record an event of the process."""
        self.ring.record(now, kind, NO_REQUEST, 0, detail)

    def process_exiting(self, unanswered: int, now: int) -> None:
        """Check that the process ends while no request is owed an answer; `unanswered`: how many are."""
        if unanswered:
            self.violations.add(Invariant.ANSWERED_AT_EXIT, now, NO_REQUEST, f"{unanswered} unanswered")

    def _violated(self, invariant: Invariant, lifecycle: RequestLifecycle, now: int, detail: str) -> bool:
        """Count a violation; False, for the guards that return it."""
        self.violations.add(invariant, now, lifecycle.request, detail)
        return False
