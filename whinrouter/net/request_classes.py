"""The classes that requests may have: those of the settings in force and, for a while, former ones.

A class that new settings change or remove is former. Requests of it that were sent before may still arrive:

    IN FORCE --new settings--> ACCEPTED --`accepted_until`--> OPEN --`over_at`--> dropped

While it is accepted, requests that fit no class in force get it. While it is open, requests that were
accepted can be in progress; the last of them is over at `over_at`. Later settings change none of this, except
that a class which is removed once more is former from then on. Times are seconds of loop time; no clock, no
I/O.
"""

from __future__ import annotations

from dataclasses import replace
from typing import NamedTuple

from whinrouter.interface import SECOND, Effect, RequestClass, Settings

# Time that a slow client may take for a request that is held whole: 2.4 s for its head, then 64 KiB at the
# least rate, with its grace (`frontend.py`, `streaming/flow.py`).
MAX_RECEIVE_SECONDS = 6.5
MAX_FORMER_CLASSES = 256  # more than some settings of many classes within the longest deadlines


class _FormerClass(NamedTuple):
    """How long a class counts that is not in force any more."""

    accepted_until: float
    over_at: float  # the time at which the last of its requests is over


class RequestClasses:
    """The classes in force and the former ones whose requests are not all over."""

    def __init__(self, settings: Settings) -> None:
        self._in_force = {request_class.name.encode(): request_class for request_class in settings.classes}
        # The latest removed one is last. Classes of one name that differ are kept apart.
        self._former: dict[RequestClass, _FormerClass] = {}

    @property
    def longest_deadline(self) -> int:
        """The longest deadline of a class in force, in microseconds.

        A platform that stops the process counts with this one: former classes are none of the settings.
        """
        return max(request_class.deadline for request_class in self._in_force.values())

    def longest_open_deadline(self, now: float) -> int:
        """Return the time in microseconds within which every request is over that is in progress at `now`."""
        self._drop_closed(now)
        return max([self.longest_deadline, *(request_class.deadline for request_class in self._former)])

    def apply_settings(self, settings: Settings, now: float) -> None:
        """Put the classes of new settings in force; requests of the former ones are accepted for a while."""
        self._drop_closed(now)
        new_classes = {request_class.name.encode(): request_class for request_class in settings.classes}
        accepted_until = now + MAX_RECEIVE_SECONDS + self.longest_deadline / SECOND
        for name, request_class in self._in_force.items():
            if new_classes.get(name) != request_class:
                self._former.pop(request_class, None)
                over_at = accepted_until + request_class.deadline / SECOND
                self._former[request_class] = _FormerClass(accepted_until, over_at)
        while len(self._former) > MAX_FORMER_CLASSES:
            del self._former[next(iter(self._former))]
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
        former = self._find_former(name, method, now)
        return request_class if former is None else replace(former, name="")

    def _find_former(self, name: bytes, method: bytes, now: float) -> RequestClass | None:
        """Return the latest removed class with this name and method that is still accepted."""
        for request_class, former in reversed(self._former.items()):
            if (
                former.accepted_until > now
                and request_class.name.encode() == name
                and is_method_allowed(method, request_class)
            ):
                return request_class
        return None

    def _drop_closed(self, now: float) -> None:
        """Drop the former classes whose last request is over."""
        for request_class in [key for key, former in self._former.items() if former.over_at <= now]:
            del self._former[request_class]


def is_method_allowed(method: bytes, request_class: RequestClass) -> bool:
    """Whether requests of a class have this method: GET if they are safe to repeat, else POST."""
    return method == (b"GET" if request_class.effect is Effect.IDEMPOTENT else b"POST")
