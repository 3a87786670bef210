"""What two processes say to each other: in any pieces, out of order, torn."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.helpers import BUY, CLASSES, READ, Driver
from whinrouter.balance import Balancer
from whinrouter.handover.messages import (
    Called,
    Frames,
    Hello,
    Holding,
    Message,
    Ready,
    Row,
    Snapshot,
    Stopped,
    TornError,
    frame,
)
from whinrouter.handover.session import Line, Step
from whinrouter.interface import MS, SECOND, Outcome, ServerList, Settings, Update
from whinrouter.membership.start_times import StartAge


def _experienced() -> Driver:
    driver = Driver(Settings(CLASSES), count=6)
    draw = random.Random(1)
    for _ in range(60):
        driver.serve(draw.choice([READ, BUY]), draw.randint(5, 60) * MS)
    for _ in range(4):
        request = driver.ask(BUY)
        driver.now += 20 * MS
        for sent in driver.out(request):
            driver.end(sent, Outcome.ERROR)
    return driver


ROW = Row(2**64 - 1, "127.0.0.1", 9000, "ready", "a", "m2", 3, 1.0, 17)
LEARNT = _experienced().balancer.learnt(17 * MS)
SAID: list[Message] = [
    Hello("n3", "127.0.0.1:9000", 41),
    Snapshot("127.0.0.1:8500", 41, (ROW,), {2**64 - 1: 5}, {7: 9}, {7: StartAge(17, 3)}, True, LEARNT),
    Ready(),
    Holding(140),
    Called("OFFLINE", "s-1"),
    Stopped(42, (ROW,)),
]
WHOLE = b"".join(map(frame, SAID))


@given(st.lists(st.integers(0, len(WHOLE))))
def test_pieces_say_what_the_whole_says(cuts: list[int]) -> None:
    frames, places = Frames(), sorted({0, *cuts, len(WHOLE)})
    pieces = [WHOLE[a:b] for a, b in zip(places, places[1:], strict=False)]  # noqa: RUF007
    assert [message for piece in pieces for message in frames.feed(piece)] == SAID


@given(st.integers(0, len(WHOLE) - 1), st.integers(1, 255))
def test_a_changed_byte_is_noticed(place: int, by: int) -> None:
    torn = bytearray(WHOLE)
    torn[place] ^= by
    frames = Frames()
    try:
        messages = frames.feed(bytes(torn))
    except TornError:
        return
    assert messages == SAID[: len(messages)], "what came before the change is whole"
    assert len(messages) < len(SAID)


@pytest.mark.parametrize("cut", [1, 11, 40, len(WHOLE) // 2])
def test_what_is_cut_short_says_nothing_of_its_rest(cut: int) -> None:
    messages = Frames().feed(WHOLE[:cut])
    assert messages == SAID[: len(messages)]


HELLO, SNAPSHOT, READY, HOLDING, CALLED, STOPPED = SAID


@pytest.mark.parametrize(
    ("newer", "said", "step"),
    [
        (False, [HELLO], Step.GIVEN),
        (False, [HELLO, CALLED, READY, STOPPED], Step.BESIDE),
        (True, [SNAPSHOT, CALLED, HOLDING], Step.GIVEN),
        (False, [READY], None),
        (False, [HELLO, HELLO], None),
        (False, [HELLO, SNAPSHOT], None),
        (False, [HELLO, READY, READY], None),
        (False, [CALLED], None),
        (True, [HELLO], None),
        (True, [SNAPSHOT, SNAPSHOT], None),
        (True, [HOLDING], None),
        (True, [SNAPSHOT, READY], None),
    ],
)
def test_the_order_in_which_they_speak(newer: bool, said: list[Message], step: Step | None) -> None:
    line = Line(newer)
    if step is None:
        with pytest.raises(TornError):
            line.feed(b"".join(map(frame, said)))
        return
    for message in said:
        line.feed(frame(message))
    assert line.step is step
    line.end()
    with pytest.raises(TornError):
        line.feed(frame(CALLED))


@pytest.mark.parametrize("clocks_apart", [0, 3600 * SECOND, -10 * MS])
def test_a_module_goes_on_from_what_another_learnt(clocks_apart: int) -> None:
    older = _experienced()
    fresh = Balancer(older.settings, 2)
    now = older.now + clocks_apart
    fresh.handle(ServerList(Update.FULL, tuple(older.listed.values())), now)
    fresh.resume(older.balancer.learnt(older.now), 1.0, now)
    assert fresh.learnt(now) == older.balancer.learnt(older.now)
    fresh.scale(2.0)
    pairs = zip(fresh.learnt(now).hosts, older.balancer.learnt(older.now).hosts, strict=True)
    assert all(ours.limit == pytest.approx(2 * theirs.limit) for ours, theirs in pairs)
