"""Each guard finds what it is there for, says no where that saves the request, and is never raised from."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from whinrouter.interface import MS, SECOND, Effect, Outcome, RequestClass, Scope, Server, Settings
from whinrouter.invariants.events import CAPACITY, PROCESS, EventKind, EventRing
from whinrouter.invariants.lifecycle import CloseReason, Guards, RequestLife, RequestState
from whinrouter.invariants.violations import Invariant

WINDOW = 2 * SECOND
CLASSES = (
    RequestClass("read", SECOND, 4 * SECOND, Effect.IDEMPOTENT),
    RequestClass("buy", SECOND, 4 * SECOND, Effect.AT_MOST_ONCE),
    RequestClass("order", SECOND, 4 * SECOND, Effect.KEYED, Scope.ZONE, WINDOW),
    RequestClass("note", SECOND, 4 * SECOND, Effect.KEYED, Scope.ALL, WINDOW),
)
HERE, THERE = Server(1, zone="a", cell=1), Server(2, zone="b", cell=2)
TIME = 4 * SECOND
BEGAN = 1 << 50


def begun(name: str = "read") -> tuple[Guards, RequestLife]:
    guards = Guards(Settings(CLASSES))
    return guards, guards.start(1, name, BEGAN + TIME, BEGAN, "id")


def send(
    guards: Guards, life: RequestLife, server: Server = HERE, at: int = 0, ready: bool = True, told: int = 0
) -> bool:
    return guards.may_send(life, life.sent, server, ready, told, BEGAN + at)


def violated(guards: Guards) -> list[Invariant]:
    return list(guards.violations.counts.elements())


def test_a_request_that_goes_well_violates_nothing() -> None:
    guards, life = begun("buy")
    guards.wait(life, 0, BEGAN)
    assert send(guards, life, told=TIME)
    guards.attempt_ended(life, 0, True, Outcome.REJECTED, BEGAN)
    assert send(guards, life, THERE)
    guards.attempt_ended(life, 1, True, Outcome.OK, BEGAN)
    assert guards.may_answer(life, 200, True, "served", BEGAN + 1) == 200
    guards.close(1, False, CloseReason.IDLE, BEGAN + 2)
    assert guards.violations.summary() == "none"
    kinds = [event.kind.value for event in guards.ring.events(1)]
    assert kinds == ["admitted", "waiting", "sent", "ended", "sent", "ended", "answered", "closed"]
    assert [e.detail for e in guards.ring.events(1) if e.kind is EventKind.SENT] == [
        "first",
        "retry after rejected",
    ]


@pytest.mark.parametrize("name", ["buy", "nobody announced this"])
def test_an_unsafe_request_is_not_sent_beside_one_that_may_run(name: str) -> None:
    guards, life = begun(name)
    assert send(guards, life)
    assert not send(guards, life, THERE)
    guards.attempt_ended(life, 0, True, Outcome.RESET, BEGAN)
    assert not send(guards, life, THERE)
    assert violated(guards) == [Invariant.REPEATED_ONLY_SAFELY] * 2


@pytest.mark.parametrize(
    ("name", "server", "at", "allowed"),
    [
        ("order", HERE, WINDOW - 1, True),
        ("order", HERE, WINDOW, False),
        ("order", THERE, 1, False),
        ("note", THERE, WINDOW - 1, True),
        ("note", THERE, WINDOW, False),
        ("read", THERE, WINDOW, True),
    ],
)
def test_a_keyed_request_is_sent_again_where_and_while_it_is_remembered(
    name: str, server: Server, at: int, allowed: bool
) -> None:
    guards, life = begun(name)
    assert send(guards, life)
    assert send(guards, life, server, at) is allowed
    assert violated(guards) == ([] if allowed else [Invariant.REPEATED_ONLY_SAFELY])


def _serve(guards: Guards, life: RequestLife) -> object:
    return guards.may_answer(life, 200, True, "", BEGAN)


Break = Callable[[Guards, RequestLife], object]


def _answered_then(then: Break) -> Break:
    def act(guards: Guards, life: RequestLife) -> object:
        guards.may_answer(life, 502, False, "failed", BEGAN)
        return then(guards, life)

    return act


def _gone_then(then: Break) -> Break:
    def act(guards: Guards, life: RequestLife) -> object:
        guards.leave(life, BEGAN)
        return then(guards, life)

    return act


def _sent_then(then: Break) -> Break:
    def act(guards: Guards, life: RequestLife) -> object:
        send(guards, life)
        return then(guards, life)

    return act


@pytest.mark.parametrize(
    ("invariant", "act", "said"),
    [
        (Invariant.SENT_WHILE_OWED, _answered_then(send), False),
        (Invariant.SENT_WHILE_OWED, _gone_then(send), False),
        (Invariant.SENT_WHILE_OWED, lambda g, life: send(g, life, at=TIME + 1), False),
        (Invariant.SENT_TO_READY_HOST, lambda g, life: send(g, life, ready=False), False),
        (Invariant.DEADLINE_TOLD, lambda g, life: send(g, life, at=SECOND, told=TIME), False),
        (
            Invariant.ANSWERED_ONCE,
            _answered_then(_serve),
            0,
        ),
        (Invariant.ANSWERED_ONCE, _gone_then(_serve), 0),
        (Invariant.ANSWER_OF_ITS_OWN, lambda g, life: g.may_answer(life, 200, False, "", BEGAN), 502),
        (
            Invariant.REFUSED_ONLY_UNRUN,
            _sent_then(lambda g, life: g.may_answer(life, 503, False, "", BEGAN)),
            502,
        ),
        (
            Invariant.ANSWERED_IN_TIME,
            lambda g, life: g.may_answer(life, 504, False, "", BEGAN + TIME + SECOND),
            504,
        ),
        (Invariant.STATE_ORDER, _answered_then(lambda g, life: g.wait(life, 1, BEGAN)), None),
        (Invariant.CLOSED_WHEN_FREE, lambda g, life: g.close(1, True, CloseReason.IDLE, BEGAN), None),
        (Invariant.ANSWERED_AT_EXIT, lambda g, life: g.exit(1, BEGAN), None),
    ],
)
def test_each_is_found_named_and_answered(invariant: Invariant, act: Break, said: object) -> None:
    guards, life = begun("buy")
    assert act(guards, life) == said
    assert violated(guards) == [invariant]
    assert guards.violations.summary() == f"{invariant.value}=1"
    last = guards.ring.events()[-1]
    assert last.kind is EventKind.VIOLATED or invariant is Invariant.ANSWERED_IN_TIME or said == 502


@pytest.mark.parametrize("reason", [CloseReason.CLIENT_LEFT, CloseReason.BAD_INPUT, CloseReason.BODY_STALLED])
def test_what_peers_end_frees_the_request(reason: CloseReason) -> None:
    guards, _ = begun()
    guards.close(1, True, reason, BEGAN)
    assert guards.violations.summary() == "none"


def test_a_slack_is_left_to_clocks_and_ways() -> None:
    guards, life = begun()
    assert send(guards, life, at=SECOND, told=3 * SECOND + 150 * MS)
    assert guards.may_answer(life, 504, False, "", BEGAN + TIME + 500 * MS) == 504
    assert guards.violations.summary() == "none"


def test_the_ring_keeps_the_latest() -> None:
    ring = EventRing()
    for at in range(CAPACITY + 5):
        ring.record(at, EventKind.CLOSED, PROCESS, 0, "idle")
    kept = ring.events()
    assert (len(kept), kept[0].moment, kept[-1].moment) == (CAPACITY, 5, CAPACITY + 4)
    assert str(kept[0]) == "0.000005 request 0 attempt 0: closed (idle)"


class Lives(RuleBasedStateMachine):
    """Any order of wishes: what the guards let through keeps the rules, whatever is asked for."""

    def __init__(self) -> None:
        super().__init__()
        self.guards, self.now = Guards(Settings(CLASSES)), BEGAN
        self.life = self.guards.start(1, "buy", BEGAN + TIME, BEGAN, "id")
        self.out: list[int] = []
        self.ran = False
        self.answers = 0

    @rule(by=st.integers(0, SECOND))
    def time_passes(self, by: int) -> None:
        self.now += by

    @rule(server=st.sampled_from([HERE, THERE]), ready=st.booleans())
    def send(self, server: Server, ready: bool) -> None:
        number = self.life.sent
        if self.guards.may_send(self.life, number, server, ready, 0, self.now):
            assert ready
            assert not self.ran
            assert not self.out, "an unsafe one has no copy"
            assert self.answers == 0
            assert self.now <= BEGAN + TIME
            self.out.append(number)

    @precondition(lambda self: self.out)
    @rule(outcome=st.sampled_from(list(Outcome)))
    def end(self, outcome: Outcome) -> None:
        number = self.out.pop()
        self.ran = self.ran or not outcome.never_ran
        self.guards.attempt_ended(self.life, number, True, outcome, self.now)

    @rule(status=st.sampled_from([200, 502, 503, 504, 429]), served=st.booleans())
    def answer(self, status: int, served: bool) -> None:
        given = self.guards.may_answer(self.life, status, served, "", self.now)
        if given:
            self.answers += 1
            assert self.answers == 1
            assert self.life.state is RequestState.ANSWERED
            assert given not in (429, 503) or not (self.ran or self.out)
            assert given != 200 or served

    @rule()
    def leave(self) -> None:
        self.guards.leave(self.life, self.now)
        self.answers = 1  # none may follow


Lives.TestCase.settings = settings(max_examples=60, stateful_step_count=20, deadline=None)
TestLives = Lives.TestCase
