"""The class of a request by its path. No I/O.

The route with the longest matching prefix of whole path segments applies. Hosts interpret some paths
differently (escapes, dot segments, repeated slashes): a host that reads a path in another way than the
gateway would run the request as another class than the one by which it was sent. A path whose interpretations
differ in class is therefore refused.
"""

from __future__ import annotations

import posixpath
import re
from collections.abc import Iterable
from typing import NamedTuple
from urllib.parse import unquote_to_bytes

from whinrouter.interface import RequestClass

_AMBIGUOUS_MARKS = (b"%", b"//", b"/.", b"\\", b";")


class Route(NamedTuple):
    """A class with the path prefix and the methods that lead to it."""

    prefix: bytes  # begins with a slash, and ends with one only if it is just a slash
    request_class: RequestClass
    methods: frozenset[bytes]


class Routes:
    """The routes of a gateway, looked up by the path of a request."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._routes = {route.prefix: route for route in routes}

    def find(self, target: bytes) -> Route | None:
        """The route of a request target; None if there is none, or if it depends on the interpretation."""
        if not target.startswith(b"/"):  # the absolute form (RFC 9112, 3.2.2) is for proxies
            return None
        path = target.partition(b"?")[0].partition(b"#")[0]
        found = self._longest_match(path)
        if any(mark in path for mark in _AMBIGUOUS_MARKS) and any(
            self._longest_match(interpretation) is not found for interpretation in _interpretations(path)
        ):
            return None
        return found

    def _longest_match(self, path: bytes) -> Route | None:
        while path not in self._routes:
            path, slash, _ = path.rpartition(b"/")
            if not slash:
                return self._routes.get(b"/")
        return self._routes[path]


def _interpretations(path: bytes) -> list[bytes]:
    """The other interpretations of a path that hosts are known to use."""
    slashed = path.replace(b"\\", b"/")
    # Some hosts ignore the parameters of a path segment (RFC 3986, 3.3).
    without_parameters = b"/".join(segment.partition(b";")[0] for segment in slashed.split(b"/"))
    interpretations = [slashed, without_parameters]
    for _ in range(2):  # a host behind another host decodes escaped escapes a second time
        interpretations += [unquote_to_bytes(interpretation) for interpretation in interpretations]
    collapsed = [re.sub(b"/+", b"/", interpretation) for interpretation in interpretations]
    return [
        *interpretations,
        *collapsed,
        *(posixpath.normpath(interpretation) for interpretation in collapsed),
    ]
