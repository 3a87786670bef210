"""What a client's request asks for: its class, its id, the time it has, and the hints it carries.

Nothing here waits or writes. A request that asks for nothing that there is raises `BadMessageError`, whose
status is the answer to it.
"""

from __future__ import annotations

import math
import os
from dataclasses import replace
from http import HTTPStatus

from whinrouter.interface import SECOND, Effect, RequestClass, Settings
from whinrouter.net.gateway import Asked
from whinrouter.net.http import BadMessageError, Message
from whinrouter.net.routes import Routes

MAX_ID_LENGTH = 128  # characters of a request's id
MAX_HINT_DIGITS = 12  # of a hint of cost, in microseconds
GENERATED_ID_BYTES = 16
_INTERPRETED_HEADERS = frozenset(
    (
        b"x-request-id",
        b"x-class",
        b"x-deadline",
        b"x-key",
        b"x-tenant",
        b"x-cost-hint",
        b"x-retry",
        b"idempotency-key",
    )
)


class RequestInterpreter:
    """Reads requests by the settings in force and, for a while, by those before them."""

    def __init__(self, settings: Settings, routes: Routes | None = None) -> None:
        """`routes`: where paths lead, for an application that knows nothing of classes and ids."""
        self._routes = routes
        self._classes = {kind.name.encode(): kind for kind in settings.classes}
        # Classes as they were before the settings changed, and until when their requests may still come.
        self._former: dict[bytes, tuple[RequestClass, float]] = {}

    @property
    def longest_deadline(self) -> int:
        """Microseconds in which each request that was taken is over, by these settings and those before."""
        former = [kind for kind, _ in self._former.values()]
        return max(kind.deadline for kind in [*self._classes.values(), *former])

    def retune(self, settings: Settings, now: float, routes: Routes | None = None) -> None:
        """Read by other settings; what clients sent by the old ones still comes in. `now`: seconds."""
        fresh = {kind.name.encode(): kind for kind in settings.classes}
        until = now + max(kind.deadline for kind in self._classes.values()) / SECOND
        self._former = {
            name: (kind, until) for name, kind in self._classes.items() if fresh.get(name) != kind
        }
        self._classes, self._routes = fresh, routes

    def interpret(self, message: Message, now: float) -> Asked:
        """What a request asks for; BadMessageError if that is nothing that there is. `now`: seconds."""
        headers = _interpreted_headers(message)
        if self._routes is not None and b"x-request-id" not in headers:
            headers[b"x-request-id"] = os.urandom(GENERATED_ID_BYTES).hex().encode()
            message.headers.append((b"x-request-id", headers[b"x-request-id"]))
        if not 0 < len(headers.get(b"x-request-id", b"")) <= MAX_ID_LENGTH:
            raise BadMessageError(HTTPStatus.BAD_REQUEST, "the request has no id of use")
        kind = self._class_of(message, headers.get(b"x-class"), now)
        key, tenant = headers.get(b"x-key"), headers.get(b"x-tenant")
        return Asked(
            message,
            kind.name,
            _timeout(headers.get(b"x-deadline"), kind),
            _cost(headers.get(b"x-cost-hint"), kind),
            None if key is None else key.decode("latin-1"),
            headers.get(b"x-retry") == b"1",
            "" if tenant is None else tenant.decode("latin-1"),
            headers[b"x-request-id"].decode("latin-1"),
        )

    def _class_of(self, message: Message, named: bytes | None, now: float) -> RequestClass:
        if self._routes is not None:
            return _class_by_route(self._routes, message, named)
        name = message.target.partition(b"?")[0].strip(b"/").partition(b"/")[0]
        kind = self._classes.get(name)
        if (kind is None or not _method_fits(message, kind)) and name in self._former:
            kind = self._former_class(name, message, now)
        if kind is None or (named is not None and named != name):
            raise BadMessageError(HTTPStatus.BAD_REQUEST, "the class is not known")
        if not _method_fits(message, kind):
            raise BadMessageError(HTTPStatus.METHOD_NOT_ALLOWED, "the class goes with another method")
        return kind

    def _former_class(self, name: bytes, message: Message, now: float) -> RequestClass | None:
        """A class as it was, for a request sent before it changed; the module takes it for an unknown one."""
        kind, until = self._former[name]
        if until <= now or not _method_fits(message, kind):
            return self._classes.get(name)
        return replace(kind, name="")


def _method_fits(message: Message, kind: RequestClass) -> bool:
    return message.method == (b"GET" if kind.effect is Effect.IDEMPOTENT else b"POST")


def _class_by_route(routes: Routes, message: Message, named: bytes | None) -> RequestClass:
    route = routes.find(message.target)
    if route is None or (named is not None and named != route.kind.name.encode()):
        raise BadMessageError(HTTPStatus.BAD_REQUEST, "the path leads to no class")
    if message.method not in route.methods:
        raise BadMessageError(HTTPStatus.METHOD_NOT_ALLOWED, "the class goes with another method")
    return route.kind


def _interpreted_headers(message: Message) -> dict[bytes, bytes]:
    """The headers that are acted on. Of one that comes twice a host might believe the other."""
    found = [header for header in message.headers if header[0] in _INTERPRETED_HEADERS]
    values = {name: value.strip() for name, value in found}
    if len(values) < len(found):
        raise BadMessageError(HTTPStatus.BAD_REQUEST, "a header is told twice")
    return values


def _cost(hint: bytes | None, kind: RequestClass) -> int:
    """The work that a hint tells, 0 if it tells none.

    A hint of more work than its class has time for would outweigh all other requests.
    """
    if not hint or not hint.isdigit() or len(hint) > MAX_HINT_DIGITS:
        return 0
    return min(int(hint), kind.deadline)


def _timeout(text: bytes | None, kind: RequestClass) -> int:
    """How long the client waits; its class's limit if it doesn't say, or says more than that."""
    if text is None:
        return kind.deadline
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not math.isfinite(seconds) or seconds <= 0:
        raise BadMessageError(HTTPStatus.BAD_REQUEST, "the deadline is no time")
    return min(round(seconds * SECOND), kind.deadline)
