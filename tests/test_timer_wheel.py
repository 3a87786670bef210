"""Timers fire once, in order and never early, and keep no references once cancelled."""

from __future__ import annotations

import asyncio
import gc
import weakref

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.peers import async_test, wait_until
from whinrouter.net.timer_wheel import TICK_SECONDS, Timer, TimerWheel


class SimulatedLoop:
    """An event loop's clock and timers in simulated time."""

    def __init__(self) -> None:
        self.now = 100.0
        self.handles: list[SimulatedHandle] = []

    def time(self) -> float:
        return self.now

    def call_at(self, when: float, call: object) -> SimulatedHandle:
        self.handles.append(SimulatedHandle(when, call))
        return self.handles[-1]

    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while due := [handle for handle in self.handles if not handle.is_done and handle.when <= end]:
            handle = min(due, key=lambda other: other.when)
            handle.is_done = True
            self.now = max(self.now, handle.when)
            handle.call()  # type: ignore[operator]
        self.now = end


class SimulatedHandle:
    def __init__(self, when: float, call: object) -> None:
        self.when, self.call, self.is_done = when, call, False

    def cancel(self) -> None:
        self.is_done = True


steps = st.one_of(
    st.tuples(st.just("set"), st.floats(0, 3)),
    st.tuples(st.just("cancel"), st.floats(0, 1)),
    st.tuples(st.just("wait"), st.floats(0, 1)),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(steps, max_size=40))
def test_each_timer_fires_once_within_a_tick_unless_cancelled(script: list[tuple[str, float]]) -> None:
    loop = SimulatedLoop()
    wheel = TimerWheel(loop)  # type: ignore[arg-type]
    fired: dict[int, float] = {}
    timers: list[Timer] = []
    due: list[float] = []
    cancelled: set[int] = set()

    def fire(number: int) -> None:
        assert number not in fired
        fired[number] = loop.now

    for action, amount in script:
        if action == "set":
            due.append(loop.now + amount)
            timers.append(wheel.call_later(amount, fire, len(timers)))
        elif action == "cancel" and timers:
            number = int(amount * (len(timers) - 1))
            timers[number].cancel()
            if number not in fired:
                cancelled.add(number)
        else:
            loop.advance(amount)
    loop.advance(4)
    assert set(fired) == set(range(len(timers))) - cancelled
    for number, at in fired.items():
        assert due[number] <= at + 1e-9 <= due[number] + TICK_SECONDS + 1e-6
    assert not wheel._ticks
    assert not wheel._tick_heap


@async_test
async def test_failing_callback_does_not_stop_the_next_one(
    caplog: pytest.LogCaptureFixture,
) -> None:
    wheel, fired = TimerWheel(asyncio.get_running_loop()), list[int]()

    def fail() -> None:
        raise RuntimeError("a fault of this test")

    wheel.call_later(0.01, fail)
    wheel.call_later(0.01, fired.append, 1)
    wheel.call_later(0, fired.append, 0)
    await wait_until(lambda: len(fired) == 2)
    assert fired == [0, 1]
    assert "a fault of this test" in caplog.text


@async_test
async def test_timer_set_by_a_callback_fires() -> None:
    wheel, fired = TimerWheel(asyncio.get_running_loop()), list[int]()
    wheel.call_later(0.005, lambda: wheel.call_later(0, fired.append, 1))
    await wait_until(lambda: fired)


@async_test
async def test_cancelled_timer_keeps_no_references() -> None:
    class Referenced:
        pass

    target = Referenced()
    reference = weakref.ref(target)
    timer = TimerWheel(asyncio.get_running_loop()).call_later(60, print, target)
    del target
    gc.collect()
    assert reference() is not None
    timer.cancel()
    gc.collect()
    assert reference() is None


def test_callback_may_set_the_next_timer() -> None:
    """The compiled wheel once raised an error after such a callback."""
    loop = SimulatedLoop()
    wheel = TimerWheel(loop)  # type: ignore[arg-type]
    fired: list[float] = []

    def set_next_timer() -> None:
        fired.append(loop.now)
        if len(fired) < 3:
            wheel.call_later(5 * TICK_SECONDS, set_next_timer)

    wheel.call_later(TICK_SECONDS, set_next_timer)
    loop.advance(1.0)
    assert len(fired) == 3
    assert not wheel.is_armed
