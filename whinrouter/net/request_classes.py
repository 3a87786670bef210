"""The classes that requests may have: those of the settings in force and, for a while, former ones.

A class that new settings change or remove is former. Requests of it that were sent before may still arrive:

    IN FORCE --new settings--> ACCEPTED --`accepted_until`--> OPEN --`over_at`--> dropped

While it is accepted, requests that fit no class in force get it. While it is open, requests that were
accepted can be in progress; the last of them is over at `over_at`. Times are seconds of loop time; no clock,
no I/O.
"""

from __future__ import annotations

from dataclasses import replace
from typing import NamedTuple

from whinrouter.interface import SECOND, Effect, RequestClass, Settings


class _FormerClass(NamedTuple):
    """A class that is not in force any more."""

    request_class: RequestClass
    accepted_until: float
    over_at: float  # the time at which the last of its requests is over


class RequestClasses:
    """The classes in force and the former ones whose requests are not all over."""

    def __init__(self, settings: Settings) -> None:
        self._in_force = {request_class.name.encode(): request_class for request_class in settings.classes}
        self._former: dict[bytes, _FormerClass] = {}

    @property
    def longest_deadline(self) -> int:
        """The longest deadline of a class in force, in microseconds.

        A platform that stops the process counts with this one: former classes are none of the settings.
        """
        return max(request_class.deadline for request_class in self._in_force.values())

    def longest_open_deadline(self, now: float) -> int:
        """Return the time in microseconds within which every request is over that is in progress at `now`."""
        self._drop_closed(now)
        former_deadlines = [former.request_class.deadline for former in self._former.values()]
        return max([self.longest_deadline, *former_deadlines])

    def apply_settings(self, settings: Settings, now: float) -> None:
        """Put the classes of new settings in force; requests of the former ones are accepted for a while."""
        new_classes = {request_class.name.encode(): request_class for request_class in settings.classes}
        accepted_until = now + self.longest_deadline / SECOND
        self._former = {
            name: _FormerClass(
                request_class, accepted_until, accepted_until + request_class.deadline / SECOND
            )
            for name, request_class in self._in_force.items()
            if new_classes.get(name) != request_class
        }
        self._in_force = new_classes

    def find(self, name: bytes, method: bytes, now: float) -> RequestClass | None:
        """Return the class of a request; None if there is none of this name.

        The class in force is preferred, but not if only a former one is requested by this method. The class
        that is returned may require another method. A former class is returned without its name, so that the
        balancer treats it as an unknown one.
        """
        request_class = self._in_force.get(name)
        if request_class is not None and is_method_allowed(method, request_class):
            return request_class
        former = self._former.get(name)
        if former is None or former.accepted_until <= now:
            return request_class
        is_allowed = is_method_allowed(method, former.request_class)
        return replace(former.request_class, name="") if is_allowed else request_class

    def _drop_closed(self, now: float) -> None:
        """Drop the former classes whose last request is over."""
        if self._former:
            self._former = {name: former for name, former in self._former.items() if former.over_at > now}


def is_method_allowed(method: bytes, request_class: RequestClass) -> bool:
    """Whether requests of a class have this method: GET if they are safe to repeat, else POST."""
    return method == (b"GET" if request_class.effect is Effect.IDEMPOTENT else b"POST")
