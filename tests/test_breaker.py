"""Every transition of the breaker."""

from __future__ import annotations

from random import Random

import pytest

from whinrouter.breaker import COOLDOWN, JITTER, MAX_COOLDOWN, THRESHOLD, WINDOW, Breaker

NOW = 1_000_000_000


@pytest.fixture
def breaker() -> Breaker:
    return Breaker(Random(1))


def fail(breaker: Breaker, now: int, times: int = THRESHOLD) -> None:
    for _ in range(times):
        breaker.fail(now, trial=False)


def reopening(breaker: Breaker, now: int) -> int:
    """How long an open breaker admits nothing from now on."""
    low, high = 0, 2 * MAX_COOLDOWN
    while low < high:
        middle = (low + high) // 2
        if breaker.admits(now + middle):
            high = middle
        else:
            low = middle + 1
    return low


def half_open(breaker: Breaker, now: int) -> int:
    """Start the trial of an open breaker; return when."""
    now += reopening(breaker, now)
    assert breaker.start()
    return now


def test_closed_it_admits_below_the_threshold(breaker: Breaker) -> None:
    fail(breaker, NOW, THRESHOLD - 1)
    assert breaker.closed
    assert breaker.admits(NOW)
    assert not breaker.start()


def test_a_success_clears_the_failures(breaker: Breaker) -> None:
    fail(breaker, NOW, THRESHOLD - 1)
    breaker.succeed(trial=False)
    fail(breaker, NOW, THRESHOLD - 1)
    assert breaker.closed


def test_old_failures_age_out(breaker: Breaker) -> None:
    fail(breaker, NOW, THRESHOLD - 1)
    fail(breaker, NOW + WINDOW, 1)
    assert breaker.closed


def test_failures_at_the_threshold_open_it_for_a_jittered_cooldown(breaker: Breaker) -> None:
    fail(breaker, NOW)
    assert not breaker.closed
    assert not breaker.admits(NOW)
    assert COOLDOWN * (1 - JITTER) <= reopening(breaker, NOW) <= COOLDOWN * (1 + JITTER)


def test_cooldowns_differ_between_breakers() -> None:
    found = set()
    for seed in range(5):
        breaker = Breaker(Random(seed))
        fail(breaker, NOW)
        found.add(reopening(breaker, NOW))
    assert len(found) == 5


def test_half_open_it_admits_a_single_trial(breaker: Breaker) -> None:
    fail(breaker, NOW)
    now = half_open(breaker, NOW)
    assert not breaker.admits(now + MAX_COOLDOWN)


def test_a_good_trial_closes_it_and_restores_the_base_cooldown(breaker: Breaker) -> None:
    fail(breaker, NOW)
    now = half_open(breaker, NOW)
    breaker.fail(now, trial=True)
    now = half_open(breaker, now)
    breaker.succeed(trial=True)
    assert breaker.closed
    fail(breaker, now)
    assert reopening(breaker, now) <= COOLDOWN * (1 + JITTER)


def test_failed_trials_double_the_cooldown_up_to_the_cap(breaker: Breaker) -> None:
    fail(breaker, NOW)
    now, expected = NOW, COOLDOWN
    for _ in range(12):
        now = half_open(breaker, now)
        breaker.fail(now, trial=True)
        expected = min(2 * expected, MAX_COOLDOWN)
        assert expected * (1 - JITTER) <= reopening(breaker, now) <= expected * (1 + JITTER)


def test_a_trial_given_up_frees_the_slot_without_a_verdict(breaker: Breaker) -> None:
    fail(breaker, NOW)
    now = half_open(breaker, NOW)
    breaker.abandon()
    assert not breaker.closed
    assert breaker.admits(now)


def test_an_open_breaker_passes_over_late_failures_of_earlier_attempts(breaker: Breaker) -> None:
    fail(breaker, NOW)
    before = reopening(breaker, NOW)
    fail(breaker, NOW + 1)
    assert reopening(breaker, NOW) == before
