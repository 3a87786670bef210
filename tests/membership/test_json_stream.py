"""Lists arrive in any layout and in any pieces; an incomplete one is an error at once."""

from __future__ import annotations

import json
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from whinrouter.membership.json_stream import DocumentSplitter

MAX_BYTES = 10_000
# Brackets, quotes and escapes inside strings must not be counted as brackets.
strings = st.text(st.sampled_from('ab{}[]",:\\\n\u00e9 '), max_size=8)
values = st.recursive(
    st.none() | st.booleans() | st.integers() | strings,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(strings, inner, max_size=3),
    max_leaves=6,
)
lists = st.lists(
    st.tuples(st.dictionaries(strings, values, max_size=3), st.sampled_from([None, 0, 1, 4, "\t"])),
    max_size=4,
)


def _pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    places = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    return [data[start:end] for start, end in pairwise(places)]


def _parse(pieces: list[bytes]) -> list[Any]:
    splitter = DocumentSplitter(MAX_BYTES)
    return [json.loads(text) if text else "" for piece in pieces for text in splitter.feed(piece)]


@given(lists, st.lists(st.integers(0), max_size=12), st.sampled_from([b"\n", b"\r\n", b"\n\n"]))
def test_any_layout_in_any_pieces_is_split_correctly(
    documents: list[tuple[dict[str, Any], Any]], cuts: list[int], end: bytes
) -> None:
    stream = b"".join(json.dumps(value, indent=indent).encode() + end for value, indent in documents)
    parsed = _parse(_pieces(stream, cuts))
    assert [value for value in parsed if value != ""] == [value for value, _ in documents]
    assert parsed.count("") == (len(documents) if end == b"\n\n" else 0)


def test_document_is_returned_at_the_end_of_its_last_line() -> None:
    splitter = DocumentSplitter(MAX_BYTES)
    assert list(splitter.feed(b'{\n "members": [\n  {}\n ]\n}')) == []
    assert len(list(splitter.feed(b"\n"))) == 1


@pytest.mark.parametrize(
    "malformed",
    [
        b'{"revision": 43,\n\n',
        b'{"revision": "43\n',
        b"}\n",
        b'{"members": [\n' + b" {},\n" * MAX_BYTES,
        b" " * (MAX_BYTES + 1),
    ],
    ids=["an empty line", "an unfinished string", "a closing bracket", "a long document", "a long line"],
)
def test_incomplete_document_is_an_error_at_once(malformed: bytes) -> None:
    splitter = DocumentSplitter(MAX_BYTES)
    with pytest.raises(ValueError, match="list"):
        list(splitter.feed(malformed))


def test_truncated_document_does_not_swallow_the_next_one() -> None:
    """The line after it counts as a part of it; an empty line can't, so the error is raised there."""
    splitter = DocumentSplitter(MAX_BYTES)
    documents = splitter.feed(b'{"revision": 43, "members": [\n{"revision": 44, "members": []}\n\n')
    with pytest.raises(ValueError, match="broke off"):
        list(documents)
