"""Interprets a client's request: its class, id, deadline and hints. No I/O.

An invalid request raises `BadMessageError`, whose status is the answer to it.
"""

from __future__ import annotations

import math
import os
from http import HTTPStatus

from whinrouter.interface import SECOND, RequestClass, Settings
from whinrouter.net.gateway import ClientRequest
from whinrouter.net.http_messages import BadMessageError, Message
from whinrouter.net.request_classes import RequestClasses, end_of_acceptance, is_method_allowed
from whinrouter.net.route_history import RouteHistory
from whinrouter.net.routes import Routes

MAX_REQUEST_ID_CHARACTERS = 128
MAX_COST_HINT_DIGITS = 12  # the hint is in microseconds
GENERATED_ID_BYTES = 16
_RECOGNIZED_HEADERS = frozenset(
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
    """Interprets requests by the settings in force and, for a while, by former ones."""

    def __init__(self, settings: Settings, routes: Routes | None = None) -> None:
        """`routes`: map paths to classes, for an application whose requests name no class and no id."""
        self.classes = RequestClasses(settings)
        self._routes = RouteHistory(routes, self.classes) if routes is not None else None

    @property
    def has_routes(self) -> bool:
        """Whether paths are mapped to classes, for an application that may use an id for several requests."""
        return self._routes is not None

    def apply_settings(self, settings: Settings, now: float, routes: Routes | None = None) -> None:
        """Use new settings; requests that were sent under the old ones are interpreted by them for a while.

        `now`: loop time, in seconds.
        """
        accepted_until = end_of_acceptance(self.classes.longest_deadline, now)
        self.classes.apply_settings(settings, now)
        if routes is None:
            self._routes = None
        elif self._routes is None:
            self._routes = RouteHistory(routes, self.classes)
        else:
            self._routes.apply_routes(routes, accepted_until, now)

    def interpret(self, message: Message, now: float) -> ClientRequest:
        """Return the interpreted request; raise BadMessageError if it is invalid. `now`: loop time."""
        headers = _recognized_headers(message)
        if self._routes is not None and b"x-request-id" not in headers:
            headers[b"x-request-id"] = os.urandom(GENERATED_ID_BYTES).hex().encode()
            message.headers.append((b"x-request-id", headers[b"x-request-id"]))
        if not 0 < len(headers.get(b"x-request-id", b"")) <= MAX_REQUEST_ID_CHARACTERS:
            raise BadMessageError(HTTPStatus.BAD_REQUEST, "the request id is missing or too long")
        request_class = self._resolve_class(message, headers.get(b"x-class"), now)
        key, tenant = headers.get(b"x-key"), headers.get(b"x-tenant")
        return ClientRequest(
            message,
            request_class.name,
            _parse_deadline(headers.get(b"x-deadline"), request_class),
            _parse_cost_hint(headers.get(b"x-cost-hint"), request_class),
            None if key is None else key.decode("latin-1"),
            headers.get(b"x-retry") == b"1",
            "" if tenant is None else tenant.decode("latin-1"),
            headers[b"x-request-id"].decode("latin-1"),
        )

    def _resolve_class(self, message: Message, header_class: bytes | None, now: float) -> RequestClass:
        """Return the class of a request by its path; `header_class`: its X-Class header, which must match."""
        if self._routes is not None:
            return self._routes.find(message, header_class, now)
        path_class = message.target.partition(b"?")[0].strip(b"/").partition(b"/")[0]
        request_class = self.classes.find(path_class, message.method, message.began_at, now)
        if request_class is None or (header_class is not None and header_class != path_class):
            raise BadMessageError(HTTPStatus.BAD_REQUEST, "the class is unknown")
        if not is_method_allowed(message.method, request_class):
            raise BadMessageError(HTTPStatus.METHOD_NOT_ALLOWED, "the class requires another method")
        return request_class


def _recognized_headers(message: Message) -> dict[bytes, bytes]:
    """Return the headers that the gateway interprets.

    A repeated header is an error, as a host might use the other value.
    """
    found = [header for header in message.headers if header[0] in _RECOGNIZED_HEADERS]
    values = {name: value.strip() for name, value in found}
    if len(values) < len(found):
        raise BadMessageError(HTTPStatus.BAD_REQUEST, "a header is repeated")
    return values


def _parse_cost_hint(hint: bytes | None, request_class: RequestClass) -> int:
    """Return the hinted cost in microseconds, 0 if there is no valid hint.

    The cost is capped at the class's deadline: a larger one would outweigh all other requests.
    """
    if not hint or not hint.isdigit() or len(hint) > MAX_COST_HINT_DIGITS:
        return 0
    return min(int(hint), request_class.deadline)


def _parse_deadline(text: bytes | None, request_class: RequestClass) -> int:
    """Return the client's deadline in microseconds; at most, and by default, the deadline of its class."""
    if text is None:
        return request_class.deadline
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not math.isfinite(seconds) or seconds <= 0:
        raise BadMessageError(HTTPStatus.BAD_REQUEST, "the deadline is not a positive finite number")
    return min(round(seconds * SECOND), request_class.deadline)
