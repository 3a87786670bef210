"""Each guard detects its violation, refuses where that saves the request, and never raises."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from whinrouter.interface import MS, SECOND, Effect, Outcome, RequestClass, Scope, Server, Settings
from whinrouter.invariants.events import CAPACITY, NO_REQUEST, EventKind, EventRing
from whinrouter.invariants.lifecycle import CloseReason, Guards, RequestLifecycle, RequestState
from whinrouter.invariants.violations import Invariant

WINDOW = 2 * SECOND
CLASSES = (
    RequestClass("read", SECOND, 4 * SECOND, Effect.IDEMPOTENT),
    RequestClass("buy", SECOND, 4 * SECOND, Effect.AT_MOST_ONCE),
    RequestClass("order", SECOND, 4 * SECOND, Effect.KEYED, Scope.ZONE, WINDOW),
    RequestClass("note", SECOND, 4 * SECOND, Effect.KEYED, Scope.ALL, WINDOW),
)
FIRST_HOST, OTHER_HOST = Server(1, zone="a", cell=1), Server(2, zone="b", cell=2)
DEADLINE = 4 * SECOND
START = 1 << 50


def admitted(name: str = "read") -> tuple[Guards, RequestLifecycle]:
    guards = Guards(Settings(CLASSES))
    return guards, guards.admit(1, name, START + DEADLINE, START, "id")


def send(
    guards: Guards,
    life: RequestLifecycle,
    server: Server = FIRST_HOST,
    at: int = 0,
    is_ready: bool = True,
    timeout: int = 0,
    has_whole_body: bool = True,
) -> bool:
    return guards.may_send(life, life.attempts_sent, server, is_ready, has_whole_body, timeout, START + at)


def violated(guards: Guards) -> list[Invariant]:
    return list(guards.violations.counts.elements())


def test_successful_request_violates_nothing() -> None:
    guards, life = admitted("buy")
    guards.attempt_waiting(life, 0, START)
    assert send(guards, life, timeout=DEADLINE)
    guards.attempt_ended(life, 0, True, Outcome.REJECTED, START)
    assert send(guards, life, OTHER_HOST)
    guards.attempt_ended(life, 1, True, Outcome.OK, START)
    assert guards.may_answer(life, 200, True, "served", START + 1) == 200
    guards.connection_closed(1, False, CloseReason.IDLE, START + 2)
    assert guards.violations.summary() == "none"
    kinds = [event.kind.value for event in guards.ring.events(1)]
    assert kinds == ["admitted", "waiting", "sent", "ended", "sent", "ended", "answered", "closed"]
    assert [e.detail for e in guards.ring.events(1) if e.kind is EventKind.SENT] == [
        "first",
        "retry after rejected",
    ]


@pytest.mark.parametrize("name", ["buy", "never announced"])
def test_unsafe_request_is_not_sent_again_while_it_may_run(name: str) -> None:
    guards, life = admitted(name)
    assert send(guards, life)
    assert not send(guards, life, OTHER_HOST)
    guards.attempt_ended(life, 0, True, Outcome.RESET, START)
    assert not send(guards, life, OTHER_HOST)
    assert violated(guards) == [Invariant.REPEATED_ONLY_SAFELY] * 2


@pytest.mark.parametrize(
    ("name", "server", "at", "is_allowed"),
    [
        ("order", FIRST_HOST, WINDOW - 1, True),
        ("order", FIRST_HOST, WINDOW, False),
        ("order", OTHER_HOST, 1, False),
        ("note", OTHER_HOST, WINDOW - 1, True),
        ("note", OTHER_HOST, WINDOW, False),
        ("read", OTHER_HOST, WINDOW, True),
    ],
)
def test_keyed_request_is_repeated_only_where_and_while_it_is_remembered(
    name: str, server: Server, at: int, is_allowed: bool
) -> None:
    guards, life = admitted(name)
    assert send(guards, life)
    assert send(guards, life, server, at) is is_allowed
    assert violated(guards) == ([] if is_allowed else [Invariant.REPEATED_ONLY_SAFELY])


def _answer_again(guards: Guards, life: RequestLifecycle) -> object:
    return guards.may_answer(life, 200, True, "", START)


Act = Callable[[Guards, RequestLifecycle], object]


def _after_answer(then: Act) -> Act:
    def act(guards: Guards, life: RequestLifecycle) -> object:
        guards.may_answer(life, 502, False, "failed", START)
        return then(guards, life)

    return act


def _after_client_left(then: Act) -> Act:
    def act(guards: Guards, life: RequestLifecycle) -> object:
        guards.client_left(life, START)
        return then(guards, life)

    return act


def _after_send(then: Act) -> Act:
    def act(guards: Guards, life: RequestLifecycle) -> object:
        send(guards, life)
        return then(guards, life)

    return act


@pytest.mark.parametrize(
    ("invariant", "act", "expected"),
    [
        (Invariant.SENT_WHILE_OWED, _after_answer(send), False),
        (Invariant.SENT_WHILE_OWED, _after_client_left(send), False),
        (Invariant.SENT_WHILE_OWED, lambda g, life: send(g, life, at=DEADLINE + 1), False),
        (Invariant.SENT_TO_READY_HOST, lambda g, life: send(g, life, is_ready=False), False),
        (Invariant.SENT_WHOLE, lambda g, life: send(g, life, has_whole_body=False), False),
        (Invariant.DEADLINE_TOLD, lambda g, life: send(g, life, at=SECOND, timeout=DEADLINE), False),
        (
            Invariant.ANSWERED_ONCE,
            _after_answer(_answer_again),
            0,
        ),
        (Invariant.ANSWERED_ONCE, _after_client_left(_answer_again), 0),
        (Invariant.ANSWER_OF_ITS_OWN, lambda g, life: g.may_answer(life, 200, False, "", START), 502),
        (
            Invariant.REFUSED_ONLY_UNRUN,
            _after_send(lambda g, life: g.may_answer(life, 503, False, "", START)),
            502,
        ),
        (
            Invariant.ANSWERED_IN_TIME,
            lambda g, life: g.may_answer(life, 504, False, "", START + DEADLINE + SECOND),
            504,
        ),
        (Invariant.STATE_ORDER, _after_answer(lambda g, life: g.attempt_waiting(life, 1, START)), None),
        (
            Invariant.CLOSED_WHEN_FREE,
            lambda g, life: g.connection_closed(1, True, CloseReason.IDLE, START),
            None,
        ),
        (Invariant.ANSWERED_AT_EXIT, lambda g, life: g.process_exiting(1, START), None),
    ],
)
def test_each_violation_is_counted_and_refused(invariant: Invariant, act: Act, expected: object) -> None:
    guards, life = admitted("buy")
    assert act(guards, life) == expected
    assert violated(guards) == [invariant]
    assert guards.violations.summary() == f"{invariant.value}=1"
    last = guards.ring.events()[-1]
    assert last.kind is EventKind.VIOLATED or invariant is Invariant.ANSWERED_IN_TIME or expected == 502


@pytest.mark.parametrize("reason", [CloseReason.CLIENT_LEFT, CloseReason.BAD_INPUT, CloseReason.BODY_STALLED])
def test_connection_ended_by_a_peer_may_owe_an_answer(reason: CloseReason) -> None:
    guards, _ = admitted()
    guards.connection_closed(1, True, reason, START)
    assert guards.violations.summary() == "none"


def test_slack_for_clocks_and_network() -> None:
    guards, life = admitted()
    assert send(guards, life, at=SECOND, timeout=3 * SECOND + 150 * MS)
    assert guards.may_answer(life, 504, False, "", START + DEADLINE + 500 * MS) == 504
    assert guards.violations.summary() == "none"


def test_ring_keeps_the_latest_events() -> None:
    ring = EventRing()
    for at in range(CAPACITY + 5):
        ring.record(at, EventKind.CLOSED, NO_REQUEST, 0, "idle")
    kept = ring.events()
    assert (len(kept), kept[0].moment, kept[-1].moment) == (CAPACITY, 5, CAPACITY + 4)
    assert str(kept[0]) == "0.000005 request 0 attempt 0: closed (idle)"


class RequestSequences(RuleBasedStateMachine):
    """Any sequence of acts: what the guards allow keeps the rules, whatever is asked for."""

    def __init__(self) -> None:
        super().__init__()
        self.guards, self.now = Guards(Settings(CLASSES)), START
        self.life = self.guards.admit(1, "buy", START + DEADLINE, START, "id")
        self.unfinished: list[int] = []
        self.has_run = False
        self.answers = 0

    @rule(by=st.integers(0, SECOND))
    def time_passes(self, by: int) -> None:
        self.now += by

    @rule(server=st.sampled_from([FIRST_HOST, OTHER_HOST]), is_ready=st.booleans(), has_body=st.booleans())
    def send(self, server: Server, is_ready: bool, has_body: bool) -> None:
        number = self.life.attempts_sent
        if self.guards.may_send(self.life, number, server, is_ready, has_body, 0, self.now):
            assert is_ready
            assert has_body
            assert not self.has_run
            assert not self.unfinished, "an unsafe request has no second attempt"
            assert self.answers == 0
            assert self.now <= START + DEADLINE
            self.unfinished.append(number)

    @precondition(lambda self: self.unfinished)
    @rule(outcome=st.sampled_from(list(Outcome)))
    def end(self, outcome: Outcome) -> None:
        number = self.unfinished.pop()
        self.has_run = self.has_run or not outcome.never_ran
        self.guards.attempt_ended(self.life, number, True, outcome, self.now)

    @rule(status=st.sampled_from([200, 502, 503, 504, 429]), is_served=st.booleans())
    def answer(self, status: int, is_served: bool) -> None:
        allowed_status = self.guards.may_answer(self.life, status, is_served, "", self.now)
        if allowed_status:
            self.answers += 1
            assert self.answers == 1
            assert self.life.state is RequestState.ANSWERED
            assert allowed_status not in (429, 503) or not (self.has_run or self.unfinished)
            assert allowed_status != 200 or is_served

    @rule()
    def leave(self) -> None:
        self.guards.client_left(self.life, self.now)
        self.answers = 1  # no answer may follow


RequestSequences.TestCase.settings = settings(max_examples=60, stateful_step_count=20, deadline=None)
TestRequestSequences = RequestSequences.TestCase
