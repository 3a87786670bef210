"""Classes that a retune takes out: which requests are accepted, and what the end of the process waits for.

Guards against this failure: a retune had taken out the class with the longest deadline, 10 s before SIGTERM.
The process planned its last answers by that class, 3.3 s after the signal, and was killed after 2.2 s.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from whinrouter.interface import MS, SECOND, Effect, RequestClass, Settings
from whinrouter.net.frontend import RECEIVE_TIMEOUT_SECONDS
from whinrouter.net.http_messages import MAX_BUFFERED_BODY_BYTES
from whinrouter.net.request_classes import MAX_FORMER_CLASSES, MAX_RECEIVE_SECONDS, RequestClasses
from whinrouter.streaming.flow import GRACE_SECONDS, MIN_BODY_RATE

READ = RequestClass("transcript-read", 750 * MS, 1_500 * MS, Effect.IDEMPOTENT)
SUBMIT = RequestClass("job-submit", 2_500 * MS, 6 * SECOND, Effect.KEYED)
ALL_CLASSES, READ_ONLY = Settings((READ, SUBMIT)), Settings((READ,))
RETUNED_AT = 100.0
ACCEPTED_UNTIL = RETUNED_AT + MAX_RECEIVE_SECONDS + SUBMIT.deadline / SECOND
OVER_AT = ACCEPTED_UNTIL + SUBMIT.deadline / SECOND


def _retuned(*settings: Settings, seconds_apart: float = 0.0) -> RequestClasses:
    """Return classes after retunes from all classes to these settings, the first one at `RETUNED_AT`."""
    classes = RequestClasses(ALL_CLASSES)
    for number, new in enumerate(settings):
        classes.apply_settings(new, RETUNED_AT + number * seconds_apart)
    return classes


def _found(classes: RequestClasses, request_class: RequestClass, now: float) -> RequestClass | None:
    method = b"GET" if request_class.effect is Effect.IDEMPOTENT else b"POST"
    return classes.find(request_class.name.encode(), method, now, now)


@pytest.mark.parametrize(
    "shorter", [READ_ONLY, Settings((READ, RequestClass("job-submit", 750 * MS, 1_000 * MS, Effect.KEYED)))]
)
def test_the_longest_deadline_is_that_of_the_settings_in_force(shorter: Settings) -> None:
    """A class that is gone or has become shorter plans no end of the process, from the retune on."""
    assert RequestClasses(ALL_CLASSES).longest_deadline == SUBMIT.deadline
    assert _retuned(shorter).longest_deadline == READ.deadline
    assert _retuned(shorter, ALL_CLASSES).longest_deadline == SUBMIT.deadline


@pytest.mark.parametrize(
    ("now", "deadline"),
    [
        (RETUNED_AT, SUBMIT.deadline),
        (ACCEPTED_UNTIL, SUBMIT.deadline),
        (OVER_AT - 0.001, SUBMIT.deadline),
        (OVER_AT, READ.deadline),
        (OVER_AT + 3600.0, READ.deadline),
    ],
)
def test_a_removed_class_counts_as_open_until_its_last_request_is_over(now: float, deadline: int) -> None:
    assert _retuned(READ_ONLY).longest_open_deadline(now) == deadline


def test_a_removed_class_is_accepted_for_a_while_as_one_that_must_not_run_twice() -> None:
    classes = _retuned(READ_ONLY)
    found = _found(classes, SUBMIT, ACCEPTED_UNTIL - 0.001)
    assert found is not None
    assert (found.name, found.deadline) == ("", SUBMIT.deadline)
    assert _found(classes, SUBMIT, ACCEPTED_UNTIL) is None
    assert _found(classes, READ, OVER_AT) is READ


def test_a_class_whose_effect_has_changed_is_found_by_the_method_of_the_request() -> None:
    unsafe_read = RequestClass(READ.name, READ.aim, READ.deadline, Effect.AT_MOST_ONCE)
    classes = _retuned(Settings((unsafe_read, SUBMIT)))
    assert _found(classes, unsafe_read, RETUNED_AT) is unsafe_read
    found = _found(classes, READ, RETUNED_AT)
    assert found is not None
    assert (found.name, found.effect) == ("", Effect.IDEMPOTENT)
    assert _found(classes, READ, OVER_AT) is unsafe_read, "which requires another method"


@pytest.mark.parametrize("seconds_apart", [0.0, 0.3, 1.3, 3.0])
@pytest.mark.parametrize("count", [2, 3, 10])
def test_a_removed_class_is_accepted_over_any_number_of_later_retunes(
    count: int, seconds_apart: float
) -> None:
    """A second retune once made the first one forget: a request under way was answered 400."""
    worths = [Settings((replace(READ, worth=float(number)),)) for number in range(1, count)]
    classes = _retuned(READ_ONLY, *worths, seconds_apart=seconds_apart)
    is_accepted = count * seconds_apart < ACCEPTED_UNTIL - RETUNED_AT
    found = _found(classes, SUBMIT, RETUNED_AT + count * seconds_apart)
    assert (found is not None) == is_accepted
    assert _found(classes, SUBMIT, ACCEPTED_UNTIL) is None
    assert classes.longest_open_deadline(OVER_AT) == READ.deadline


def test_a_class_that_comes_back_is_in_force_and_former_again_once_it_is_removed_again() -> None:
    classes = _retuned(READ_ONLY, ALL_CLASSES, READ_ONLY, seconds_apart=1.0)
    assert _found(classes, SUBMIT, ACCEPTED_UNTIL + 1.9) is not None
    assert _found(classes, SUBMIT, ACCEPTED_UNTIL + 2.0) is None
    assert classes.longest_open_deadline(OVER_AT + 1.9) == SUBMIT.deadline
    assert classes.longest_open_deadline(OVER_AT + 2.0) == READ.deadline
    assert _found(_retuned(READ_ONLY, ALL_CLASSES), SUBMIT, OVER_AT) is SUBMIT


def test_of_two_former_classes_the_latest_is_found_and_both_count_as_open() -> None:
    shorter = replace(SUBMIT, aim=300 * MS, deadline=600 * MS)
    classes = _retuned(Settings((READ, shorter)), READ_ONLY, seconds_apart=1.0)
    found = _found(classes, SUBMIT, RETUNED_AT + 1.0)
    assert found is not None
    assert found.deadline == shorter.deadline
    found = _found(classes, SUBMIT, RETUNED_AT + 1.0 + MAX_RECEIVE_SECONDS + READ.deadline / SECOND)
    assert found is not None, "the class of the first settings is accepted for longer"
    assert found.deadline == SUBMIT.deadline
    assert classes.longest_open_deadline(OVER_AT - 0.001) == SUBMIT.deadline


def test_former_classes_are_bounded() -> None:
    classes = RequestClasses(ALL_CLASSES)
    for number in range(3 * MAX_FORMER_CLASSES):
        classes.apply_settings(Settings((READ, replace(SUBMIT, name=f"job-{number}"))), RETUNED_AT)
    assert len(classes._former) == MAX_FORMER_CLASSES


def test_a_request_drops_the_former_classes_whose_requests_are_over() -> None:
    """Each request looks through the former classes of its name: after a retune they were kept for good."""
    classes = _retuned(Settings((READ, replace(SUBMIT, worth=2.0))))
    assert len(classes.former_named(SUBMIT.name.encode(), OVER_AT - 0.001)) == 1
    assert _found(classes, READ, OVER_AT) is READ
    assert not classes._former
    assert not classes._former_by_name


def test_a_request_that_is_received_slowly_keeps_its_class_whatever_the_deadlines() -> None:
    """A head that took longer than the longest deadline of all classes was unknown when it was whole."""
    quick_read = replace(READ, aim=100 * MS, deadline=300 * MS)
    quick_buy = replace(quick_read, name="order", effect=Effect.AT_MOST_ONCE)
    classes = RequestClasses(Settings((quick_read, quick_buy)))
    classes.apply_settings(Settings((quick_read,)), RETUNED_AT)
    slow_head_and_body = RECEIVE_TIMEOUT_SECONDS + GRACE_SECONDS + MAX_BUFFERED_BODY_BYTES / MIN_BODY_RATE
    assert _found(classes, quick_buy, RETUNED_AT + slow_head_and_body) is not None
    limit = RETUNED_AT + MAX_RECEIVE_SECONDS + quick_buy.deadline / SECOND
    assert _found(classes, quick_buy, limit) is None
