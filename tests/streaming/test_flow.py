"""One body on its way: any order of what its two ends do."""

from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from whinrouter.streaming.flow import FLOOR, GRACE, MOST, STALL, TAKES, Flow, Stage

READ = 64 * 1024  # bytes that one read may bring


class _Ends:
    """Both ends: what the sink got, and what each was told."""

    def __init__(self) -> None:
        self.got = bytearray()
        self.full = False
        self.takes = 1  # pieces that it takes before it has enough
        self.flow: Flow | None = None
        self.all = self.cut_off = self.held = self.sent_away = False
        self.now = 0.0
        self.read = 0  # what its reader has had, of what the system holds

    def take(self, data: bytes) -> None:
        assert not any((self.full, self.cut_off, self.all)), "a sink that has enough gets no more"
        self.got += data
        self.takes -= 1
        if self.takes <= 0 and self.flow is not None:
            self.full = True
            self.flow.full(self.now)

    def took_all(self) -> None:
        assert not self.all
        self.all = True

    def cut(self) -> None:
        self.cut_off = True

    def taken(self) -> int:
        return self.read

    def hold(self) -> None:
        assert not self.held
        self.held = True

    def go_on(self) -> None:
        assert self.held
        self.held = False

    def unwanted(self) -> None:
        self.sent_away = True


class Orders(RuleBasedStateMachine):
    """The sink gets what was put, in its order, once; what is held is bounded; each end is told once."""

    def __init__(self) -> None:
        super().__init__()
        self.ends = _Ends()
        self.flow = Flow(self.ends, None, 0.0, GRACE, 32_000.0)
        self.ends.flow = self.flow
        self.put_so_far = bytearray()
        self.attached = self.dropped = self.over = False

    def _alive(self) -> bool:
        return self.flow.stage not in (Stage.BROKEN, Stage.ENDED)

    @precondition(lambda self: not self.flow.came and not self.ends.held and self._alive())
    @rule(size=st.sampled_from([1, 100, READ]), by=st.integers(0, 255))
    def put(self, size: int, by: int) -> None:
        piece = bytes([by]) * size
        if self.flow.stage is not Stage.DISCARDING:
            self.put_so_far += piece
        self.flow.put(piece, self.ends.now)

    @precondition(lambda self: not self.attached and self.flow.stage is Stage.FILLING)
    @rule(takes=st.integers(1, 4))
    def attach(self, takes: int) -> None:
        self.attached, self.ends.full, self.ends.takes = True, False, takes
        self.flow.attach(self.ends, self.ends.now)

    @precondition(lambda self: self.attached and self.ends.full and self._alive())
    @rule(takes=st.integers(1, 4))
    def room(self, takes: int) -> None:
        self.ends.full, self.ends.takes = False, takes
        self.flow.room(self.ends.now)

    @precondition(lambda self: self.attached and self._alive())
    @rule()
    def detach(self) -> None:
        self.attached = self.ends.full = False
        self.flow.detach(self.ends.now)

    @precondition(lambda self: not self.flow.came and self._alive())
    @rule()
    def end(self) -> None:
        self.flow.end()

    @rule(how=st.sampled_from(["fail", "cancel", "discard", "wait", "wait"]))
    def other(self, how: str) -> None:
        if how == "fail":
            self.flow.fail()
        elif how == "cancel":
            self.flow.cancel()
        elif how == "discard":
            self.flow.discard(self.ends.now)
        else:
            self.ends.now += 0.5

    @invariant()
    def all_of_it_goes_on_in_order(self) -> None:
        assert bytes(self.ends.got) == bytes(self.put_so_far[: len(self.ends.got)])
        assert self.flow.begun == bool(self.ends.got)
        if self.ends.all:
            assert self.ends.got == self.put_so_far
        if self.flow.stage is Stage.FLOWING and not self.ends.full:
            assert self.ends.got == self.put_so_far, "nothing waits where there is room"

    @invariant()
    def what_is_held_is_bounded(self) -> None:
        if self.flow.stage in (Stage.FILLING, Stage.FLOWING):
            waiting = len(self.put_so_far) - len(self.ends.got)
            assert waiting <= MOST + 2 * READ
            assert self.ends.held or self.flow.came or waiting <= MOST

    @invariant()
    def whoever_owes_something_is_found(self) -> None:
        if not self._alive():
            assert not self.flow.overdue(self.ends.now + 1000)
        elif not self.flow.came or self.ends.full:
            time = TAKES if self.ends.full else STALL
            later = self.ends.now + time + GRACE
            assert self.flow.overdue(later) or self.flow.overdue(later + time)


TestOrders = Orders.TestCase


def _full() -> tuple[_Ends, Flow]:
    """A body whose sink has enough."""
    ends = _Ends()
    flow = Flow(ends, None, 0.0, GRACE, 0.0)
    ends.flow = flow
    flow.attach(ends, 0.0)
    flow.put(bytes(READ), 0.0)
    assert ends.full
    return ends, flow


def test_a_reader_that_reads_is_not_given_up_though_its_system_takes_no_more() -> None:
    ends, flow = _full()
    for look in range(1, 20):
        ends.read += 64_000
        assert not flow.overdue(look * (TAKES + 1))
    assert not flow.overdue(19 * (TAKES + 1) + TAKES / 2)
    assert flow.overdue(20 * (TAKES + 1))


@pytest.mark.parametrize("first", [0.0, 4.0, 9.9, 16.2])
def test_the_slowest_honest_reader_of_a_large_buffer_is_not_given_up(first: float) -> None:
    """Its system shows what it reads at the least rate only in steps, the longest that were measured."""
    step = 16.3
    ends, flow = _full()
    for tick in range(1, 2000):  # looked at four times a second, as the sweep does
        now = tick / 4
        ends.read = int((now + first) // step * step * FLOOR)
        assert not flow.overdue(now)


def test_a_sink_that_has_left_leaves_none_of_its_time_to_the_source() -> None:
    """Found by the orders above: the source was found by the time of a sink that had taken something."""
    ends, flow = _full()
    flow.put(bytes(READ), 0.0)
    ends.read += 64_000
    assert not flow.overdue(TAKES + 1)
    ends.full = False
    flow.detach(TAKES + 1)
    assert flow.overdue(TAKES + 1 + STALL + GRACE)


def test_a_trickle_earns_no_more_than_its_bytes() -> None:
    """64 kB a second goes on for ever; a byte a second is found in little more than the grace."""
    steady, trickle = (Flow(_Ends(), None, 0.0, GRACE, 32_000.0) for _ in range(2))
    steady.discard(0.0)
    trickle.discard(0.0)
    now = 0.0
    for _ in range(400):
        now += 0.1
        assert not steady.overdue(now)
        steady.put(bytes(6_400), now)
    found = 0.0
    for second in range(1, 10):
        if trickle.overdue(second):
            found = second
            break
        trickle.put(b"x", second)
    assert 0 < found <= GRACE + 1
