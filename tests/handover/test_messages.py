"""The handover's messages: split at any place, out of order, corrupted."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.helpers import BUY, CLASSES, READ, Driver
from whinrouter.balance import Balancer
from whinrouter.handover.messages import (
    Called,
    ClassEntry,
    FrameDecoder,
    Hello,
    Holding,
    HostEntry,
    Message,
    ProtocolError,
    Ready,
    Snapshot,
    Stopped,
    encode_frame,
)
from whinrouter.handover.session import HandoverSession, Phase
from whinrouter.interface import MS, SECOND, Outcome, ServerList, Settings, Update
from whinrouter.membership.start_times import StartAge


def _driver_with_learned_state() -> Driver:
    driver = Driver(Settings(CLASSES), server_count=6)
    rng = random.Random(1)
    for _ in range(60):
        driver.serve(rng.choice([READ, BUY]), rng.randint(5, 60) * MS)
    for _ in range(4):
        request = driver.submit(BUY)
        driver.now += 20 * MS
        for sent in driver.running(request):
            driver.end_attempt(sent, Outcome.ERROR)
    return driver


HOST = HostEntry(2**64 - 1, "127.0.0.1", 9000, "ready", "a", "m2", 3, 1.0, 17)
LEARNED = _driver_with_learned_state().balancer.export_state(17 * MS)
MESSAGES: list[Message] = [
    Hello("n3", "127.0.0.1:9000", 41),
    Snapshot(
        "127.0.0.1:8500",
        41,
        (HOST,),
        {2**64 - 1: 5},
        {7: 9},
        {7: StartAge(17, 3)},
        True,
        LEARNED,
        classes=(ClassEntry("order", 1, 2**62, "keyed", "cell", 0),),
    ),
    Ready(),
    Holding(140),
    Called("OFFLINE", "s-1"),
    Stopped(42, (HOST,)),
]
ENCODED = b"".join(map(encode_frame, MESSAGES))


@given(st.lists(st.integers(0, len(ENCODED))))
def test_decoding_does_not_depend_on_how_the_bytes_are_split(cuts: list[int]) -> None:
    decoder, offsets = FrameDecoder(), sorted({0, *cuts, len(ENCODED)})
    pieces = [ENCODED[a:b] for a, b in zip(offsets, offsets[1:], strict=False)]  # noqa: RUF007
    assert [message for piece in pieces for message in decoder.feed(piece)] == MESSAGES


@given(st.integers(0, len(ENCODED) - 1), st.integers(1, 255))
def test_a_corrupted_byte_is_detected(offset: int, mask: int) -> None:
    corrupted = bytearray(ENCODED)
    corrupted[offset] ^= mask
    decoder = FrameDecoder()
    try:
        messages = decoder.feed(bytes(corrupted))
    except ProtocolError:
        return
    assert messages == MESSAGES[: len(messages)], "messages before the corrupted byte are complete"
    assert len(messages) < len(MESSAGES)


@pytest.mark.parametrize("cut", [1, 11, 40, len(ENCODED) // 2])
def test_truncated_data_gives_only_complete_messages(cut: int) -> None:
    messages = FrameDecoder().feed(ENCODED[:cut])
    assert messages == MESSAGES[: len(messages)]


HELLO, SNAPSHOT, READY, HOLDING, CALLED, STOPPED = MESSAGES


@pytest.mark.parametrize(
    ("is_newer", "messages", "phase"),
    [
        (False, [HELLO], Phase.SYNCED),
        (False, [HELLO, CALLED, READY, STOPPED], Phase.BOTH_SERVING),
        (True, [SNAPSHOT, CALLED, HOLDING], Phase.SYNCED),
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
def test_messages_are_accepted_only_in_their_phase(
    is_newer: bool, messages: list[Message], phase: Phase | None
) -> None:
    session = HandoverSession(is_newer)
    if phase is None:
        with pytest.raises(ProtocolError):
            session.feed(b"".join(map(encode_frame, messages)))
        return
    for message in messages:
        session.feed(encode_frame(message))
    assert session.phase is phase
    session.close()
    with pytest.raises(ProtocolError):
        session.feed(encode_frame(CALLED))


@pytest.mark.parametrize("clocks_apart", [0, 3600 * SECOND, -10 * MS])
def test_a_balancer_resumes_from_the_learned_state_of_another(clocks_apart: int) -> None:
    older = _driver_with_learned_state()
    fresh = Balancer(older.settings, 2)
    now = older.now + clocks_apart
    fresh.handle(ServerList(Update.FULL, tuple(older.listed_servers.values())), now)
    fresh.restore_state(older.balancer.export_state(older.now), 1.0, now)
    assert fresh.export_state(now) == older.balancer.export_state(older.now)
    fresh.scale_limits(2.0)
    pairs = zip(fresh.export_state(now).servers, older.balancer.export_state(older.now).servers, strict=True)
    assert all(restored.limit == pytest.approx(2 * original.limit) for restored, original in pairs)
