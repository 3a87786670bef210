"""One body on its way: any order of what its two ends do."""

from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from whinrouter.streaming.flow import (
    GRACE_SECONDS,
    MAX_BUFFERED_BYTES,
    MIN_BODY_RATE,
    READER_TIMEOUT_SECONDS,
    STALL_SECONDS,
    Flow,
    Stage,
)

READ_BYTES = 64 * 1024  # bytes that one read may bring


class _Ends:
    """Both ends: what the sink got, and what each was told."""

    def __init__(self) -> None:
        self.sent = bytearray()
        self.is_full = False
        self.capacity = 1  # pieces that it takes before it has enough
        self.flow: Flow | None = None
        self.is_finished = self.is_aborted = self.is_paused = self.is_cancelled = False
        self.now = 0.0
        self.delivered = 0  # what its reader has had, of what the system holds

    def write_body(self, data: bytes) -> None:
        assert not any((self.is_full, self.is_aborted, self.is_finished)), (
            "a sink that has enough gets no more"
        )
        self.sent += data
        self.capacity -= 1
        if self.capacity <= 0 and self.flow is not None:
            self.is_full = True
            self.flow.sink_full(self.now)

    def finish_body(self) -> None:
        assert not self.is_finished
        self.is_finished = True

    def abort_body(self) -> None:
        self.is_aborted = True

    def bytes_delivered(self) -> int:
        return self.delivered

    def pause_reading(self) -> None:
        assert not self.is_paused
        self.is_paused = True

    def resume_reading(self) -> None:
        assert self.is_paused
        self.is_paused = False

    def cancel_reading(self) -> None:
        self.is_cancelled = True


class FlowSequences(RuleBasedStateMachine):
    """The sink gets what was put, in its order, once; what is held is bounded; each end is told once."""

    def __init__(self) -> None:
        super().__init__()
        self.ends = _Ends()
        self.flow = Flow(self.ends, None, 0.0, GRACE_SECONDS, 32_000.0)
        self.ends.flow = self.flow
        self.put_so_far = bytearray()
        self.is_attached = self.dropped = self.over = False

    def _alive(self) -> bool:
        return self.flow.stage not in (Stage.BROKEN, Stage.ENDED)

    @precondition(lambda self: not self.flow.is_received and not self.ends.is_paused and self._alive())
    @rule(size=st.sampled_from([1, 100, READ_BYTES]), by=st.integers(0, 255))
    def put(self, size: int, by: int) -> None:
        piece = bytes([by]) * size
        if self.flow.stage is not Stage.DISCARDING:
            self.put_so_far += piece
        self.flow.put(piece, self.ends.now)

    @precondition(lambda self: not self.is_attached and self.flow.stage is Stage.FILLING)
    @rule(capacity=st.integers(1, 4))
    def attach(self, capacity: int) -> None:
        self.is_attached, self.ends.is_full, self.ends.capacity = True, False, capacity
        self.flow.attach(self.ends, self.ends.now)

    @precondition(lambda self: self.is_attached and self.ends.is_full and self._alive())
    @rule(capacity=st.integers(1, 4))
    def room(self, capacity: int) -> None:
        self.ends.is_full, self.ends.capacity = False, capacity
        self.flow.sink_ready(self.ends.now)

    @precondition(lambda self: self.is_attached and self._alive())
    @rule()
    def detach(self) -> None:
        self.is_attached = self.ends.is_full = False
        self.flow.detach(self.ends.now)

    @precondition(lambda self: not self.flow.is_received and self._alive())
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
    def everything_is_passed_on_in_order(self) -> None:
        assert bytes(self.ends.sent) == bytes(self.put_so_far[: len(self.ends.sent)])
        assert self.flow.is_partly_sent == bool(self.ends.sent)
        if self.ends.is_finished:
            assert self.ends.sent == self.put_so_far
        if self.flow.stage is Stage.FLOWING and not self.ends.is_full:
            assert self.ends.sent == self.put_so_far, "nothing waits where there is room"

    @invariant()
    def buffered_data_is_bounded(self) -> None:
        if self.flow.stage in (Stage.FILLING, Stage.FLOWING):
            buffered = len(self.put_so_far) - len(self.ends.sent)
            assert buffered <= MAX_BUFFERED_BYTES + 2 * READ_BYTES
            assert self.ends.is_paused or self.flow.is_received or buffered <= MAX_BUFFERED_BYTES

    @invariant()
    def stalled_side_is_overdue(self) -> None:
        if not self._alive():
            assert not self.flow.is_overdue(self.ends.now + 1000)
        elif not self.flow.is_received or self.ends.is_full:
            timeout = READER_TIMEOUT_SECONDS if self.ends.is_full else STALL_SECONDS
            later = self.ends.now + timeout + GRACE_SECONDS
            assert self.flow.is_overdue(later) or self.flow.is_overdue(later + timeout)


TestFlowSequences = FlowSequences.TestCase


def _full_sink() -> tuple[_Ends, Flow]:
    """A body whose sink has enough."""
    ends = _Ends()
    flow = Flow(ends, None, 0.0, GRACE_SECONDS, 0.0)
    ends.flow = flow
    flow.attach(ends, 0.0)
    flow.put(bytes(READ_BYTES), 0.0)
    assert ends.is_full
    return ends, flow


def test_slow_reader_with_progress_is_not_overdue() -> None:
    ends, flow = _full_sink()
    for check in range(1, 20):
        ends.delivered += 64_000
        assert not flow.is_overdue(check * (READER_TIMEOUT_SECONDS + 1))
    assert not flow.is_overdue(19 * (READER_TIMEOUT_SECONDS + 1) + READER_TIMEOUT_SECONDS / 2)
    assert flow.is_overdue(20 * (READER_TIMEOUT_SECONDS + 1))


@pytest.mark.parametrize("first", [0.0, 4.0, 9.9, 16.2])
def test_slowest_legitimate_reader_with_a_large_buffer_is_not_overdue(first: float) -> None:
    """Its system shows what it reads at the least rate only in steps, the longest that were measured."""
    step = 16.3
    ends, flow = _full_sink()
    for tick in range(1, 2000):  # looked at four times a second, as the sweep does
        now = tick / 4
        ends.delivered = int((now + first) // step * step * MIN_BODY_RATE)
        assert not flow.is_overdue(now)


def test_source_does_not_inherit_the_time_of_a_detached_sink() -> None:
    """Found by the orders above: the source was found by the time of a sink that had taken something."""
    ends, flow = _full_sink()
    flow.put(bytes(READ_BYTES), 0.0)
    ends.delivered += 64_000
    assert not flow.is_overdue(READER_TIMEOUT_SECONDS + 1)
    ends.is_full = False
    flow.detach(READER_TIMEOUT_SECONDS + 1)
    assert flow.is_overdue(READER_TIMEOUT_SECONDS + 1 + STALL_SECONDS + GRACE_SECONDS)


def test_trickle_is_overdue_soon_after_the_grace() -> None:
    """64 kB a second goes on for ever; a byte a second is found in little more than the grace."""
    steady, trickle = (Flow(_Ends(), None, 0.0, GRACE_SECONDS, 32_000.0) for _ in range(2))
    steady.discard(0.0)
    trickle.discard(0.0)
    now = 0.0
    for _ in range(400):
        now += 0.1
        assert not steady.is_overdue(now)
        steady.put(bytes(6_400), now)
    overdue_at = 0.0
    for second in range(1, 10):
        if trickle.is_overdue(second):
            overdue_at = second
            break
        trickle.put(b"x", second)
    assert 0 < overdue_at <= GRACE_SECONDS + 1
