"""The time left for requests that arrive while the gateway is stopping."""

from __future__ import annotations

import pytest

from whinrouter.operations.presence import KILL_DELAY_SECONDS, MAX_COUNTED_DEADLINE_SECONDS, Presence


@pytest.mark.parametrize("longest_deadline", [0.3, 3.0, 20.0])
def test_late_requests_after_the_signal_have_time_until_the_kill(longest_deadline: float) -> None:
    presence = Presence()
    assert presence.time_left(100.0, longest_deadline) is None
    presence.leave(100.0)
    assert presence.time_left(200.0, longest_deadline) is None, "a drained process is not killed"
    presence = Presence()
    presence.stop(100.0)
    killed_at = 100.0 + KILL_DELAY_SECONDS + min(longest_deadline, MAX_COUNTED_DEADLINE_SECONDS)
    assert presence.time_left(100.0 + KILL_DELAY_SECONDS, longest_deadline) is None, "its own deadline counts"
    for now in (100.01 + KILL_DELAY_SECONDS, killed_at - 0.1, killed_at, killed_at + 50):
        left = presence.time_left(now, longest_deadline)
        assert left is not None
        assert left == pytest.approx(max(0.0, killed_at - now))


def test_the_kill_is_planned_from_the_signal_not_from_the_drain_before_it() -> None:
    """An operator's LEAVE a minute before SIGTERM left no time for any answer: all were refused."""
    presence = Presence()
    presence.leave(40.0)
    presence.stop(100.0)
    assert presence.time_left(100.0 + KILL_DELAY_SECONDS, 2.0) is None
    assert presence.time_left(101.0, 2.0) == pytest.approx(KILL_DELAY_SECONDS + 1.0)
    answer_deadline = presence.answer_deadline(2.0)
    assert answer_deadline is not None
    assert 100.0 < answer_deadline < 102.0 + KILL_DELAY_SECONDS
    assert presence.whole_answers_from == 100.0 + KILL_DELAY_SECONDS


def test_the_first_signal_counts() -> None:
    presence = Presence()
    presence.stop(100.0)
    presence.stop(102.0)
    assert presence.time_left(102.0, 0.3) == 0.0
