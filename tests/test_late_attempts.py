"""When an attempt that is out counts as late."""

from __future__ import annotations

from whinrouter.interface import MS

from .helpers import Driver


def test_silent_servers_are_found_before_the_time_out() -> None:
    driver = Driver(count=1)
    for _ in range(60):
        driver.serve(taken=20 * MS)
    for _ in range(3):
        driver.ask()
    for due, token in sorted(driver.timers):
        driver.fire(due, token)
    assert driver.now < driver.out()[0].at + 200 * MS
    assert driver.answers[driver.ask()] == ["refused"]
