"""The routes in force and the former ones under which requests may have been sent. No I/O, no clock.

A request keeps the class under which its client sent it (`request_classes.py`), also if new settings lead its
path to another class or to none. Times are seconds of loop time.
"""

from __future__ import annotations

from dataclasses import replace
from http import HTTPStatus
from typing import NamedTuple

from whinrouter.interface import RequestClass
from whinrouter.net.http_messages import BadMessageError, Message
from whinrouter.net.request_classes import FormerClass, RequestClasses, resolve_class
from whinrouter.net.routes import Route, Routes

MAX_FORMER_ROUTES = 16


class _FormerRoutes(NamedTuple):
    """Routes that are not in force any more."""

    routes: Routes
    replaced_at: float
    accepted_until: float

    def find(self, message: Message, header_class: bytes | None) -> FormerClass | None:
        """Return the class to which these routes lead a request; None if they have none for it."""
        route = self.routes.find(message.target)
        if route is None or not _fits(route, message, header_class):
            return None
        return FormerClass(route.request_class, self.replaced_at, self.accepted_until, self.accepted_until)


class RouteHistory:
    """The routes in force, and the former ones whose requests may still arrive."""

    def __init__(self, routes: Routes, classes: RequestClasses) -> None:
        """`classes`: the classes of the same settings."""
        self._in_force, self._classes = routes, classes
        self._former: list[_FormerRoutes] = []  # the latest replaced ones are last

    def apply_routes(self, routes: Routes, accepted_until: float, now: float) -> None:
        """Put new routes in force; requests of the former ones are accepted until `accepted_until`."""
        self._drop_closed(now)
        self._former.append(_FormerRoutes(self._in_force, now, accepted_until))
        del self._former[:-MAX_FORMER_ROUTES]
        self._in_force = routes

    def find(self, message: Message, header_class: bytes | None, now: float) -> RequestClass:
        """Return the class of a request by its path, as `RequestClasses.find` does by its name.

        `header_class`: its X-Class header, which must match. Raises `BadMessageError` if there is no route.
        """
        self._drop_closed(now)
        former = [
            found for routes in self._former if (found := routes.find(message, header_class)) is not None
        ]
        route = self._in_force.find(message.target)
        if route is not None and _fits(route, message, header_class):
            name = route.request_class.name.encode()
            former = sorted([*former, *self._classes.former_named(name, now)], key=_replaced_at)
            return resolve_class(route.request_class, former, message.began_at)
        if former:
            return replace(former[-1].request_class, name="")
        if route is None or not _has_class(route, header_class):
            raise BadMessageError(HTTPStatus.BAD_REQUEST, "the path matches no class")
        raise BadMessageError(HTTPStatus.METHOD_NOT_ALLOWED, "the class requires another method")

    def _drop_closed(self, now: float) -> None:
        """Drop the former routes whose requests are not accepted any more."""
        if any(former.accepted_until <= now for former in self._former):
            self._former = [former for former in self._former if former.accepted_until > now]


def _replaced_at(former: FormerClass) -> float:
    return former.replaced_at


def _has_class(route: Route, header_class: bytes | None) -> bool:
    """Whether a request with this X-Class header may take a route."""
    return header_class is None or header_class == route.request_class.name.encode()


def _fits(route: Route, message: Message, header_class: bytes | None) -> bool:
    """Whether a request may take a route to its path."""
    return _has_class(route, header_class) and message.method in route.methods
