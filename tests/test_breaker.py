"""All transitions of the breaker."""

from __future__ import annotations

from random import Random

import pytest

from whinrouter.breaker import (
    BASE_COOLDOWN,
    COOLDOWN_JITTER,
    FAILURE_THRESHOLD,
    FAILURE_WINDOW,
    MAX_COOLDOWN,
    Breaker,
)

NOW = 1_000_000_000


@pytest.fixture
def breaker() -> Breaker:
    return Breaker(Random(1))


def fail_times(breaker: Breaker, now: int, times: int = FAILURE_THRESHOLD) -> None:
    for _ in range(times):
        breaker.record_failure(now, is_trial=False)


def remaining_cooldown(breaker: Breaker, now: int) -> int:
    """Return the time until an open breaker admits an attempt."""
    low, high = 0, 2 * MAX_COOLDOWN
    while low < high:
        middle = (low + high) // 2
        if breaker.admits(now + middle):
            high = middle
        else:
            low = middle + 1
    return low


def start_trial(breaker: Breaker, now: int) -> int:
    """Wait for the end of the cooldown and start the trial; return the moment."""
    now += remaining_cooldown(breaker, now)
    assert breaker.start_attempt()
    return now


def test_a_closed_breaker_admits_below_the_threshold(breaker: Breaker) -> None:
    fail_times(breaker, NOW, FAILURE_THRESHOLD - 1)
    assert breaker.is_closed
    assert breaker.admits(NOW)
    assert not breaker.start_attempt()


def test_a_success_clears_the_failures(breaker: Breaker) -> None:
    fail_times(breaker, NOW, FAILURE_THRESHOLD - 1)
    breaker.record_success(is_trial=False)
    fail_times(breaker, NOW, FAILURE_THRESHOLD - 1)
    assert breaker.is_closed


def test_failures_older_than_the_window_are_dropped(breaker: Breaker) -> None:
    fail_times(breaker, NOW, FAILURE_THRESHOLD - 1)
    fail_times(breaker, NOW + FAILURE_WINDOW, 1)
    assert breaker.is_closed


def test_failures_at_the_threshold_open_the_breaker_for_a_jittered_cooldown(breaker: Breaker) -> None:
    fail_times(breaker, NOW)
    assert not breaker.is_closed
    assert not breaker.admits(NOW)
    assert (
        BASE_COOLDOWN * (1 - COOLDOWN_JITTER)
        <= remaining_cooldown(breaker, NOW)
        <= BASE_COOLDOWN * (1 + COOLDOWN_JITTER)
    )


def test_cooldowns_differ_between_breakers() -> None:
    cooldowns = set()
    for seed in range(5):
        breaker = Breaker(Random(seed))
        fail_times(breaker, NOW)
        cooldowns.add(remaining_cooldown(breaker, NOW))
    assert len(cooldowns) == 5


def test_a_half_open_breaker_admits_a_single_trial(breaker: Breaker) -> None:
    fail_times(breaker, NOW)
    now = start_trial(breaker, NOW)
    assert not breaker.admits(now + MAX_COOLDOWN)


def test_a_successful_trial_closes_the_breaker_and_restores_the_base_cooldown(breaker: Breaker) -> None:
    fail_times(breaker, NOW)
    now = start_trial(breaker, NOW)
    breaker.record_failure(now, is_trial=True)
    now = start_trial(breaker, now)
    breaker.record_success(is_trial=True)
    assert breaker.is_closed
    fail_times(breaker, now)
    assert remaining_cooldown(breaker, now) <= BASE_COOLDOWN * (1 + COOLDOWN_JITTER)


def test_failed_trials_double_the_cooldown_up_to_the_cap(breaker: Breaker) -> None:
    fail_times(breaker, NOW)
    now, expected = NOW, BASE_COOLDOWN
    for _ in range(12):
        now = start_trial(breaker, now)
        breaker.record_failure(now, is_trial=True)
        expected = min(2 * expected, MAX_COOLDOWN)
        assert (
            expected * (1 - COOLDOWN_JITTER)
            <= remaining_cooldown(breaker, now)
            <= expected * (1 + COOLDOWN_JITTER)
        )


def test_an_abandoned_trial_frees_the_slot_and_leaves_the_breaker_open(breaker: Breaker) -> None:
    fail_times(breaker, NOW)
    now = start_trial(breaker, NOW)
    breaker.abandon_trial()
    assert not breaker.is_closed
    assert breaker.admits(now)


def test_an_open_breaker_ignores_late_failures_of_earlier_attempts(breaker: Breaker) -> None:
    fail_times(breaker, NOW)
    before = remaining_cooldown(breaker, NOW)
    fail_times(breaker, NOW + 1)
    assert remaining_cooldown(breaker, NOW) == before
