"""Attempts beyond the fallback, and hedges, share one budget."""

from __future__ import annotations

from whinrouter.balance import RETRY_BUDGET_SHARE
from whinrouter.interface import MS, Outcome, Settings

from .helpers import CLASSES, Driver


def attempts_at_full_servers(balancers: int, requests: int) -> int:
    settings = Settings(CLASSES, balancers=balancers, max_attempts=9, may_hedge=True)
    driver = Driver(settings, 60)
    for _ in range(requests):
        driver.submit()
        while driver.running():
            driver.end_attempt(driver.running()[0], Outcome.REJECTED)
        driver.now += 100 * MS
    return len(driver.sent_attempts)


def test_full_servers_get_one_attempt_one_fallback_and_a_tenth_more() -> None:
    """Hundreds of balancers that all retried as often as allowed kept full servers full."""
    assert attempts_at_full_servers(400, 100) <= 100 * (2 + RETRY_BUDGET_SHARE) + 1


def test_the_burst_of_the_budget_is_split_among_the_balancers() -> None:
    assert attempts_at_full_servers(1, 1) == 9
    assert attempts_at_full_servers(400, 1) == 3
