"""Reloaded settings: which files are refused, and which settings requests in progress keep."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest

from tests.helpers import BUY, CLASSES, READ, Driver
from tests.test_program import SETTINGS, platform_config
from whinrouter.interface import MS, Effect, Outcome, Settings
from whinrouter.operations.reload_checks import findings

IN_FORCE = platform_config(1)


def _paths(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    entries = (
        value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    )
    for key, inner in entries:
        if key != "known":
            if isinstance(value, dict):
                yield (*path, key)
            yield from _paths(inner, (*path, key))


def _modified(path: tuple[Any, ...], *value: Any) -> dict[str, Any]:
    """Return the configuration in force without a key, or with another value for it."""
    modified = copy.deepcopy(IN_FORCE)
    node: Any = modified
    for key in path[:-1]:
        node = node[key]
    if value:
        node[path[-1]] = value[0]
    else:
        del node[path[-1]]
    return modified


PATHS = [*_paths(IN_FORCE)]


@pytest.mark.parametrize("path", PATHS, ids=lambda path: ".".join(map(str, path)))
def test_a_missing_key_or_a_value_of_another_type_is_refused(path: tuple[Any, ...]) -> None:
    assert any(str(path[-1]) in finding for finding in findings(_modified(path), IN_FORCE))
    assert findings(_modified(path, None), IN_FORCE)


@pytest.mark.parametrize("value", [0, -5, "1", None, float("nan"), True])
@pytest.mark.parametrize(
    "path",
    [
        ("settings", "classes", 0, "giveUp"),
        ("settings", "classes", 1, "onTime"),
        ("settings", "permissions", "maxAttempts"),
    ],
)
def test_times_and_attempts_are_positive_numbers(path: tuple[Any, ...], value: object) -> None:
    assert findings(_modified(path, value), IN_FORCE)


def test_all_findings_are_returned_at_once() -> None:
    modified = _modified(("settings", "classes", 0, "giveUp"), -1)
    del modified["discovery"]
    modified["settings"]["classes"][1]["name"] = "page-read"
    assert len(findings(modified, IN_FORCE)) == 3


def test_classes_may_be_added_and_removed() -> None:
    entry = SETTINGS["classes"][0]
    assert not findings(_modified(("settings", "classes"), [entry | {"name": "new", "more": 1}]), IN_FORCE)
    assert findings(_modified(("settings", "classes"), []), IN_FORCE)
    assert findings(_modified(("settings", "classes"), ["new"]), IN_FORCE)


def _update_settings(driver: Driver, *classes: Any, **fields: Any) -> None:
    settings = replace(driver.settings, classes=classes, **fields)
    driver.balancer.update_settings(settings)
    driver.settings = settings


def test_a_request_keeps_its_class_when_that_is_removed() -> None:
    driver = Driver()
    read, buy = driver.submit(READ), driver.submit(BUY)
    _update_settings(driver, replace(BUY, name="other"))
    driver.now += 10 * MS
    driver.end_attempt(driver.running(read)[0], Outcome.ERROR)
    assert driver.running(read), "it may still be repeated"
    driver.end_attempt(driver.running(buy)[0], Outcome.ERROR)
    assert driver.answers[buy] == ["failed"], "it may not be repeated"
    driver.end_attempt(driver.running(read)[0])
    assert driver.answers[read] == ["served"]
    driver.classes = (replace(BUY, name="other"),)
    driver.serve(driver.classes[0])


def test_a_class_that_becomes_unsafe_is_unsafe_for_later_requests() -> None:
    driver = Driver()
    early = driver.submit(READ)
    strict = replace(READ, effect=Effect.AT_MOST_ONCE)
    _update_settings(driver, strict, BUY)
    driver.classes = (strict, BUY)
    late = driver.submit(strict)
    driver.end_attempt(driver.running(late)[0], Outcome.RESET)
    assert driver.answers[late] == ["failed"]
    driver.classes = CLASSES
    driver.end_attempt(driver.running(early)[0], Outcome.RESET)
    assert driver.running(early)


def test_a_lower_attempt_limit_applies_to_requests_in_progress_and_a_higher_one_does_not() -> None:
    driver = Driver(Settings(CLASSES, max_attempts=4, may_hedge=True), server_count=8)
    request = driver.submit(READ)
    for _ in range(2):
        driver.now += 10 * MS
        driver.end_attempt(driver.running(request)[0], Outcome.ERROR)
    _update_settings(driver, *CLASSES, max_attempts=1)
    driver.end_attempt(driver.running(request)[0], Outcome.ERROR)
    assert len(driver.attempts(request)) == 3
    assert driver.answers[request] == ["refused"]
    other = driver.submit(READ)
    _update_settings(driver, *CLASSES, max_attempts=4)
    driver.end_attempt(driver.running(other)[0], Outcome.ERROR)
    assert len(driver.attempts(other)) == 1


def test_learned_state_of_hosts_is_kept_and_that_of_a_removed_class_is_dropped() -> None:
    driver = Driver()
    for _ in range(40):
        driver.serve(READ)
        driver.serve(BUY)
    limits = {server: host.limit for server, host in driver.balancer._hosts.items()}
    request = driver.submit(READ)
    _update_settings(driver, BUY)
    driver.now += 30 * MS
    driver.end_attempt(driver.running(request)[0])
    assert {server: host.limit for server, host in driver.balancer._hosts.items()} == pytest.approx(
        limits, abs=2
    )
    stores = (
        driver.balancer._unit_latencies,
        driver.balancer._median_latencies,
        driver.balancer._late_multiples,
    )
    assert all(set(store) == {"buy"} for store in stores)
