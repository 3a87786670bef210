"""The rule of the own limit, in simulated time."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from whinrouter.overload_control import (
    ACCEPT_INTERVAL_SECONDS,
    INTERVAL_SECONDS,
    MIN_TARGET_SECONDS,
    READS_PER_TURN,
    OverloadControl,
)

AIM = 0.4
SERVE, TURN_AWAY = 0.001, 0.0002  # seconds of CPU


@dataclass
class Process:
    """A process that reads requests in the order in which they came, and what becomes of them."""

    own: OverloadControl = field(default_factory=lambda: OverloadControl([AIM]))
    now: float = 0.0
    waiting: deque[float] = field(default_factory=deque)
    waits: list[float] = field(default_factory=list)  # of those that were served
    turned_away: list[float] = field(default_factory=list)  # when

    def work(self, until: float, arrivals: deque[float]) -> None:
        while self.now < until:
            while arrivals and arrivals[0] <= self.now:
                self.waiting.append(arrivals.popleft())
            if not self.waiting:
                self.now = min(until, arrivals[0]) if arrivals else until
                self.own.advance(self.now)
                continue
            arrived_at = self.waiting.popleft()
            if self.own.should_reject(self.now - arrived_at, self.now):
                self.turned_away.append(self.now)
                self.now += TURN_AWAY
            else:
                self.waits.append(self.now - arrived_at)
                self.now += SERVE


def arrivals(rate: float, begin: float, end: float, seed: int = 1) -> deque[float]:
    random, times, at = Random(seed), deque[float](), begin
    while (at := at + random.expovariate(rate)) < end:
        times.append(at)
    return times


@pytest.mark.parametrize("factor", [1, 2, 4])
def test_past_what_it_can_do_it_goes_on_doing_nearly_that(factor: int) -> None:
    """What is turned away costs its part; what is served is served in time."""
    process, seconds = Process(), 10.0
    process.work(seconds, arrivals(factor / SERVE, 0, seconds))
    room = seconds - len(process.turned_away) * TURN_AWAY
    assert len(process.waits) > 0.9 * room / SERVE
    late = [wait for wait in process.waits if wait > process.own.max_wait]
    assert len(late) < 0.1 * len(process.waits)


def test_without_it_nearly_all_would_be_late() -> None:
    """The model can tell the difference."""
    process = Process(own=OverloadControl([1e9]))
    process.work(10.0, arrivals(2 / SERVE, 0, 10.0))
    assert sum(wait > AIM for wait in process.waits) > 0.8 * len(process.waits)


def test_a_burst_after_silence_is_worked_off() -> None:
    process = Process()
    process.work(20.0, deque([10.0] * int(INTERVAL_SECONDS / SERVE)))
    assert not process.turned_away


def test_it_is_free_soon_after_the_load_falls() -> None:
    process = Process()
    load = arrivals(4 / SERVE, 0, 5.0) + arrivals(0.5 / SERVE, 5.0, 10.0)
    process.work(10.0, load)
    assert process.turned_away
    assert max(process.turned_away) < 5.0 + 4 * INTERVAL_SECONDS
    assert not process.own.is_overloaded


def test_a_pause_makes_it_turn_away_for_a_moment_alone() -> None:
    """As after a core was taken away for two seconds: what waited all that time is old."""
    process = Process()
    process.work(3.0, arrivals(0.5 / SERVE, 0, 3.0))
    paused = arrivals(0.5 / SERVE, 3.0, 10.0)
    process.now = 5.0
    process.work(10.0, paused)
    assert process.turned_away
    assert max(process.turned_away) < 5.0 + 2.0
    assert not process.own.is_overloaded


def test_pauses_of_a_tenth_of_a_second_are_none_of_its_doing() -> None:
    """A container with half of a core gets it in pieces: it stands still for half of each tenth."""
    process = Process()
    load = arrivals(0.25 / SERVE, 0, 10.0)
    for piece in range(100):
        process.now = max(process.now, piece * 0.1 + 0.05)
        process.work(piece * 0.1 + 0.1, load)
    assert not process.turned_away


def test_at_the_limit_reads_are_few_and_accepts_are_spread() -> None:
    own = OverloadControl([AIM])
    assert own.read_limit() is None
    assert own.may_accept(1.0)
    assert own.may_accept(1.0)
    now = 1.0 + INTERVAL_SECONDS
    own.should_reject(1.0, 1.0)
    own.should_reject(1.0, now)
    assert own.is_overloaded
    assert own.read_limit() == READS_PER_TURN
    assert own.may_accept(now)
    assert not own.may_accept(now + ACCEPT_INTERVAL_SECONDS / 2)
    assert own.may_accept(now + 1.01 * ACCEPT_INTERVAL_SECONDS)


def test_nobody_asking_is_no_sign_of_a_queue() -> None:
    own = OverloadControl([AIM])
    own.should_reject(1.0, 1.0)
    own.advance(1.0 + 3 * INTERVAL_SECONDS)
    assert not own.is_overloaded


@given(st.floats(0.001, 10))
def test_the_target_is_a_part_of_the_aim_that_a_healthy_loop_can_keep(aim: float) -> None:
    own = OverloadControl([aim, 20.0])
    assert MIN_TARGET_SECONDS <= own.target <= max(MIN_TARGET_SECONDS, aim / 10)


@given(st.lists(st.tuples(st.floats(0, 1), st.floats(0, 0.5)), max_size=60))
def test_nobody_is_turned_away_who_waited_less_than_the_patience(steps: list[tuple[float, float]]) -> None:
    own, now = OverloadControl([AIM]), 0.0
    for passed, waited in steps:
        now += passed
        before = own.is_overloaded
        if own.should_reject(waited, now):
            assert waited > own.max_wait
            assert own.is_overloaded
        if not before and not own.is_overloaded:
            assert own.read_limit() is None
