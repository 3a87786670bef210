"""The classes that requests may have: those of the settings in force and, for a while, former ones.

A request keeps the class under which its client sent it. The class in force is therefore not enough: a class
that new settings change or remove is former, and requests of it are still on their way:

    IN FORCE --new settings--> ACCEPTED --`accepted_until`--> OPEN --`over_at`--> dropped

While it is accepted, requests that fit no class in force get it. While it is open, requests that were
accepted can be in progress; the last of them is over at `over_at`. Later settings change none of this.

A request that began before its class was changed, or so soon afterwards that its client may not have known of
the change, may be repeated only if each class under which it may have been sent allows the same repeats
(`resolve_class`). Times are seconds of loop time; no clock, no I/O.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import NamedTuple

from whinrouter.interface import SECOND, Effect, RequestClass, Settings

# Time that a slow client may take for a request that is held whole: 2.4 s for its head, then 64 KiB at the
# least rate, with its grace (`frontend.py`, `streaming/flow.py`).
MAX_RECEIVE_SECONDS = 6.5
MAX_FORMER_CLASSES = 256  # more than some settings of many classes within the longest deadlines
# Clients use changed classes this long after the gateway was given them.
CLIENT_ADOPTION_SECONDS = 1.2


class FormerClass(NamedTuple):
    """A class that is not in force any more, and how long it counts."""

    request_class: RequestClass
    replaced_at: float
    accepted_until: float
    over_at: float  # the time at which the last of its requests is over

    def may_have_been_used(self, began_at: float) -> bool:
        """Whether a request that began at this time may have been sent under this class."""
        return began_at < self.replaced_at + CLIENT_ADOPTION_SECONDS


class RequestClasses:
    """The classes in force and the former ones whose requests are not all over."""

    def __init__(self, settings: Settings) -> None:
        self._in_force = {request_class.name.encode(): request_class for request_class in settings.classes}
        self._former: list[FormerClass] = []  # the latest replaced one is last
        self._former_by_name: dict[bytes, list[FormerClass]] = {}
        self._next_over_at = math.inf  # the time at which the first of them is to be dropped

    @property
    def longest_deadline(self) -> int:
        """The longest deadline of a class in force, in microseconds.

        A platform that stops the process counts with this one: former classes are none of the settings.
        """
        return max(request_class.deadline for request_class in self._in_force.values())

    def longest_open_deadline(self, now: float) -> int:
        """Return the time in microseconds within which every request is over that is in progress at `now`."""
        self._drop_closed(now)
        return max([self.longest_deadline, *(former.request_class.deadline for former in self._former)])

    def apply_settings(self, settings: Settings, now: float) -> None:
        """Put the classes of new settings in force; requests of the former ones are accepted for a while."""
        new_classes = {request_class.name.encode(): request_class for request_class in settings.classes}
        replaced = [
            request_class
            for name, request_class in self._in_force.items()
            if new_classes.get(name) != request_class
        ]
        self._add_former(replaced, self.longest_deadline, now)
        self._in_force = new_classes

    def add_former(self, replaced: Iterable[RequestClass], now: float) -> None:
        """Add classes that another process had in force, or as former ones, until `now`.

        The requests that it hands over were sent under them.
        """
        changed = [
            request_class
            for request_class in replaced
            if not _has_same_terms(request_class, self._in_force.get(request_class.name.encode()))
        ]
        longest_deadline = max([self.longest_deadline, *(entry.deadline for entry in changed)])
        self._add_former(changed, longest_deadline, now)

    def open_classes(self, now: float) -> list[RequestClass]:
        """Return the classes that requests in progress may have: the former ones first."""
        self._drop_closed(now)
        return [*(former.request_class for former in self._former), *self._in_force.values()]

    def _add_former(self, replaced: Iterable[RequestClass], longest_deadline: int, now: float) -> None:
        """Add classes that were in force until `now`, with settings of this longest deadline."""
        self._drop_closed(now)
        accepted_until = end_of_acceptance(longest_deadline, now)
        added = [
            FormerClass(request_class, now, accepted_until, accepted_until + request_class.deadline / SECOND)
            for request_class in replaced
        ]
        self._set_former([*self._former, *added][-MAX_FORMER_CLASSES:])

    def _set_former(self, former: list[FormerClass]) -> None:
        self._former, self._former_by_name = former, {}
        for entry in former:
            self._former_by_name.setdefault(entry.request_class.name.encode(), []).append(entry)
        self._next_over_at = min((entry.over_at for entry in former), default=math.inf)

    def find(self, name: bytes, method: bytes, began_at: float, now: float) -> RequestClass | None:
        """Return the class of a request that began at `began_at`; None if there is none of this name.

        The class in force is preferred, but not if only a former one is requested by this method. The class
        that is returned may require another method. It has no name, so that the balancer treats it as an
        unknown one, if it is a former one or if classes differ under which the request may have been sent.
        """
        in_force = self._in_force.get(name)
        former = [
            entry for entry in self.former_named(name, now) if is_method_allowed(method, entry.request_class)
        ]
        if in_force is not None and is_method_allowed(method, in_force):
            return resolve_class(in_force, former, began_at)
        accepted = [entry.request_class for entry in former if entry.accepted_until > now]
        return replace(accepted[-1], name="") if accepted else in_force

    def former_named(self, name: bytes, now: float) -> list[FormerClass]:
        """Return the former classes of this name, the latest replaced one last."""
        self._drop_closed(now)
        return self._former_by_name.get(name, [])

    def _drop_closed(self, now: float) -> None:
        """Drop the former classes whose last request is over."""
        if now >= self._next_over_at:
            self._set_former([former for former in self._former if former.over_at > now])


def end_of_acceptance(longest_deadline: int, now: float) -> float:
    """Return until when requests of settings that are replaced `now` may arrive.

    `longest_deadline`: of these settings, in microseconds.
    """
    return now + MAX_RECEIVE_SECONDS + longest_deadline / SECOND


def resolve_class(in_force: RequestClass, former: Sequence[FormerClass], began_at: float) -> RequestClass:
    """Return the class of a request that fits a class in force and perhaps former ones.

    `former`: in the order in which they were replaced; `began_at`: when the first byte of the request came.
    The deadline is that of the class in force at that time. The class has no name if repeats that the class
    in force allows may not have been allowed when the request was sent.
    """
    candidates = [entry for entry in former if entry.may_have_been_used(began_at)]
    if not candidates:
        return in_force
    earlier = [entry.request_class for entry in candidates if entry.replaced_at > began_at]
    resolved = in_force
    if earlier:
        resolved = replace(in_force, deadline=earlier[0].deadline)
    may_be_repeated = in_force.effect is not Effect.AT_MOST_ONCE
    rule = _repeat_rule(in_force)
    if may_be_repeated and any(_repeat_rule(entry.request_class) != rule for entry in candidates):
        resolved = replace(resolved, name="")
    return resolved


def _repeat_rule(request_class: RequestClass) -> tuple[object, ...]:
    """Return what decides whether, where and when a request of a class may be repeated."""
    if request_class.effect is Effect.KEYED:
        return request_class.effect, request_class.scope, request_class.dedup_window
    return (request_class.effect,)


def _has_same_terms(request_class: RequestClass, other: RequestClass | None) -> bool:
    """Whether requests of two classes may take as long and may be repeated in the same way."""
    return (
        other is not None
        and request_class.deadline == other.deadline
        and _repeat_rule(request_class) == _repeat_rule(other)
    )


def is_method_allowed(method: bytes, request_class: RequestClass) -> bool:
    """Whether requests of a class have this method: GET if they are safe to repeat, else POST."""
    return method == (b"GET" if request_class.effect is Effect.IDEMPOTENT else b"POST")
