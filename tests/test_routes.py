"""The class of a path, however a host interprets the path."""

from __future__ import annotations

import posixpath
import re
from urllib.parse import unquote

import pytest
from hypothesis import given
from hypothesis import strategies as st

from whinrouter.interface import MS, Effect, RequestClass
from whinrouter.net.routes import Route, Routes

READ = RequestClass("page-read", 400 * MS, 1500 * MS, Effect.IDEMPOTENT)
BUY = RequestClass("chapter-buy", 400 * MS, 5000 * MS)
ANY = RequestClass("other", 400 * MS, 1500 * MS)

ROUTES = Routes(
    Route(prefix, request_class, frozenset([b"GET"]))
    for prefix, request_class in [(b"/page-read", READ), (b"/page-read/buy", BUY), (b"/chapter-buy", BUY)]
)
ALL = Routes(
    Route(prefix, request_class, frozenset([b"GET"]))
    for prefix, request_class in [(b"/", READ), (b"/chapter-buy", BUY)]
)


def class_of(routes: Routes, target: bytes) -> str | None:
    found = routes.find(target)
    return found.request_class.name if found else None


@pytest.mark.parametrize(
    ("target", "name"),
    [
        (b"/page-read", "page-read"),
        (b"/page-read/", "page-read"),
        (b"/page-read/7/8?page=4", "page-read"),
        (b"/page-read?x=/chapter-buy", "page-read"),
        (b"/page-read/buy/7", "chapter-buy"),
        (b"/page-read/buyer", "page-read"),
        (b"/page-reader", None),
        (b"/page", None),
        (b"/", None),
        (b"", None),
        (b"*", None),
        (b"http://fleet/page-read", None),
        (b"/page-read/a%20b", "page-read"),
        (b"/page-read/.hidden", "page-read"),
        (b"/page-read/%62uy", None),
        (b"/page-read/%2562uy", None),
        (b"/page-read//buy", None),
        (b"/page-read/./buy", None),
        (b"/page-read/x/../buy", None),
        (b"/page-read/x/%2e%2e/buy", None),
        (b"/page-read\\buy", None),
        (b"/page-read/buy;v=1", None),
        (b"/x/../chapter-buy", None),
    ],
)
def test_longest_prefix_of_whole_segments_counts(target: bytes, name: str | None) -> None:
    assert class_of(ROUTES, target) == name


def test_route_for_all_paths() -> None:
    assert class_of(ALL, b"/anything/7") == "page-read"
    assert class_of(ALL, b"/") == "page-read"
    assert class_of(ALL, b"/chapter-buy/7") == "chapter-buy"
    assert class_of(ALL, b"/%63hapter-buy") is None


_SEGMENT = st.sampled_from(["chapter-buy", "page-read", "buy", "x", "", ".", "..", "%2e%2e", "%63hapter-buy"])


def class_by_plain_search(prefixes: dict[str, str], path: str) -> str | None:
    """The class of a path without any decoding, by the longest matching prefix."""
    matches = [prefix for prefix in prefixes if path == prefix or path.startswith(prefix.rstrip("/") + "/")]
    return prefixes[max(matches, key=len)] if matches else None


@given(st.lists(_SEGMENT, max_size=6), st.booleans())
def test_class_is_the_same_for_each_interpretation_of_the_path(segments: list[str], all_paths: bool) -> None:
    target = "/" + "/".join(segments)
    routes = ALL if all_paths else ROUTES
    prefixes = {"/page-read": "page-read", "/page-read/buy": "chapter-buy", "/chapter-buy": "chapter-buy"}
    if all_paths:
        prefixes = {"/": "page-read", "/chapter-buy": "chapter-buy"}
    found = class_of(routes, target.encode())
    if found is None:
        return
    for decoded in (target, unquote(target)):
        single = re.sub("/+", "/", decoded)
        for plain in (single, posixpath.normpath(single)):
            assert class_by_plain_search(prefixes, plain) == found
