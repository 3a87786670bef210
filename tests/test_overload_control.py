"""The rule of overload control, in simulated time."""

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

AIM_SECONDS = 0.4
SERVE_SECONDS, REJECT_SECONDS = 0.001, 0.0002  # of CPU per request


@dataclass
class Process:
    """A process that reads requests in the order of their arrival."""

    control: OverloadControl = field(default_factory=lambda: OverloadControl([AIM_SECONDS]))
    now: float = 0.0
    queue: deque[float] = field(default_factory=deque)
    served_waits: list[float] = field(default_factory=list)  # the waits of the requests that were served
    rejected_at: list[float] = field(default_factory=list)  # the moments of the rejections

    def work(self, until: float, arrivals: deque[float]) -> None:
        """Serve or reject requests up to a moment; their arrival times are taken from `arrivals`."""
        while self.now < until:
            while arrivals and arrivals[0] <= self.now:
                self.queue.append(arrivals.popleft())
            if not self.queue:
                self.now = min(until, arrivals[0]) if arrivals else until
                self.control.advance(self.now)
                continue
            arrived_at = self.queue.popleft()
            if self.control.should_reject(self.now - arrived_at, self.now):
                self.rejected_at.append(self.now)
                self.now += REJECT_SECONDS
            else:
                self.served_waits.append(self.now - arrived_at)
                self.now += SERVE_SECONDS


def arrivals(rate: float, begin: float, end: float, seed: int = 1) -> deque[float]:
    """Return random arrival times at a rate per second."""
    random, times, at = Random(seed), deque[float](), begin
    while (at := at + random.expovariate(rate)) < end:
        times.append(at)
    return times


@pytest.mark.parametrize("factor", [1, 2, 4])
def test_throughput_stays_near_capacity_under_overload(factor: int) -> None:
    """Rejections cost CPU time; the rest of it serves requests in time."""
    process, seconds = Process(), 10.0
    process.work(seconds, arrivals(factor / SERVE_SECONDS, 0, seconds))
    serving_time = seconds - len(process.rejected_at) * REJECT_SECONDS
    assert len(process.served_waits) > 0.9 * serving_time / SERVE_SECONDS
    late = [wait for wait in process.served_waits if wait > process.control.max_wait]
    assert len(late) < 0.1 * len(process.served_waits)


def test_without_overload_control_most_requests_are_late() -> None:
    """The model tells a process with overload control from one without it."""
    process = Process(control=OverloadControl([1e9]))
    process.work(10.0, arrivals(2 / SERVE_SECONDS, 0, 10.0))
    assert sum(wait > AIM_SECONDS for wait in process.served_waits) > 0.8 * len(process.served_waits)


def test_a_burst_after_an_idle_time_is_served_whole() -> None:
    process = Process()
    process.work(20.0, deque([10.0] * int(INTERVAL_SECONDS / SERVE_SECONDS)))
    assert not process.rejected_at


def test_overload_ends_soon_after_the_load_falls() -> None:
    process = Process()
    load = arrivals(4 / SERVE_SECONDS, 0, 5.0) + arrivals(0.5 / SERVE_SECONDS, 5.0, 10.0)
    process.work(10.0, load)
    assert process.rejected_at
    assert max(process.rejected_at) < 5.0 + 4 * INTERVAL_SECONDS
    assert not process.control.is_overloaded


def test_a_pause_of_two_seconds_rejects_requests_only_briefly() -> None:
    """As after a core was taken away for two seconds: the requests that waited all that time are too old."""
    process = Process()
    process.work(3.0, arrivals(0.5 / SERVE_SECONDS, 0, 3.0))
    paused = arrivals(0.5 / SERVE_SECONDS, 3.0, 10.0)
    process.now = 5.0
    process.work(10.0, paused)
    assert process.rejected_at
    assert max(process.rejected_at) < 5.0 + 2.0
    assert not process.control.is_overloaded


def test_cpu_quota_pauses_are_not_taken_for_overload() -> None:
    """A container with half of a core is paused for half of every 100 ms."""
    process = Process()
    load = arrivals(0.25 / SERVE_SECONDS, 0, 10.0)
    for period in range(100):
        process.now = max(process.now, period * 0.1 + 0.05)
        process.work(period * 0.1 + 0.1, load)
    assert not process.rejected_at


def test_overload_limits_reads_and_spreads_accepts() -> None:
    control = OverloadControl([AIM_SECONDS])
    assert control.read_limit() is None
    assert control.may_accept(1.0)
    assert control.may_accept(1.0)
    now = 1.0 + INTERVAL_SECONDS
    control.should_reject(1.0, 1.0)
    control.should_reject(1.0, now)
    assert control.is_overloaded
    assert control.read_limit() == READS_PER_TURN
    assert control.may_accept(now)
    assert not control.may_accept(now + ACCEPT_INTERVAL_SECONDS / 2)
    assert control.may_accept(now + 1.01 * ACCEPT_INTERVAL_SECONDS)


def test_an_idle_interval_ends_the_overload() -> None:
    control = OverloadControl([AIM_SECONDS])
    control.should_reject(1.0, 1.0)
    control.advance(1.0 + 3 * INTERVAL_SECONDS)
    assert not control.is_overloaded


@given(st.floats(0.001, 10))
def test_the_target_is_a_fraction_of_the_aim_with_a_minimum(aim: float) -> None:
    control = OverloadControl([aim, 20.0])
    assert MIN_TARGET_SECONDS <= control.target <= max(MIN_TARGET_SECONDS, aim / 10)


@given(st.lists(st.tuples(st.floats(0, 1), st.floats(0, 0.5)), max_size=60))
def test_no_request_is_rejected_that_waited_less_than_the_maximum(steps: list[tuple[float, float]]) -> None:
    control, now = OverloadControl([AIM_SECONDS]), 0.0
    for passed, waited in steps:
        now += passed
        before = control.is_overloaded
        if control.should_reject(waited, now):
            assert waited > control.max_wait
            assert control.is_overloaded
        if not before and not control.is_overloaded:
            assert control.read_limit() is None
