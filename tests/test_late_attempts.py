"""A running attempt is late by comparison with its class, long before the deadline."""

from __future__ import annotations

from whinrouter.interface import MS

from .helpers import Driver


def test_silent_servers_are_detected_before_the_deadline() -> None:
    driver = Driver(server_count=1)
    for _ in range(60):
        driver.serve(latency=20 * MS)
    for _ in range(3):
        driver.submit()
    for due, token in sorted(driver.timers):
        driver.fire_timer(due, token)
    assert driver.now < driver.running()[0].sent_at + 200 * MS
    assert driver.answers[driver.submit()] == ["refused"]
