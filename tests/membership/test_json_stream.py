"""Lists come in any layout and in any pieces; what broke off is told at once."""

from __future__ import annotations

import json
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from whinrouter.membership.json_stream import DocumentSplitter

MOST = 10_000
# Brackets, quotes and escapes inside strings are what a count of brackets could trip over.
words = st.text(st.sampled_from('ab{}[]",:\\\n\u00e9 '), max_size=8)
values = st.recursive(
    st.none() | st.booleans() | st.integers() | words,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(words, inner, max_size=3),
    max_leaves=6,
)
lists = st.lists(
    st.tuples(st.dictionaries(words, values, max_size=3), st.sampled_from([None, 0, 1, 4, "\t"])), max_size=4
)


def _pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    places = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    return [data[start:end] for start, end in pairwise(places)]


def _read(pieces: list[bytes]) -> list[Any]:
    texts = DocumentSplitter(MOST)
    return [json.loads(text) if text else "" for piece in pieces for text in texts.feed(piece)]


@given(lists, st.lists(st.integers(0), max_size=12), st.sampled_from([b"\n", b"\r\n", b"\n\n"]))
def test_any_layout_in_any_pieces_is_the_same_lists(
    told: list[tuple[dict[str, Any], Any]], cuts: list[int], end: bytes
) -> None:
    stream = b"".join(json.dumps(value, indent=indent).encode() + end for value, indent in told)
    read = _read(_pieces(stream, cuts))
    assert [value for value in read if value != ""] == [value for value, _ in told]
    assert read.count("") == (len(told) if end == b"\n\n" else 0)


def test_a_text_is_given_with_the_end_of_its_last_line_and_not_before() -> None:
    texts = DocumentSplitter(MOST)
    assert list(texts.feed(b'{\n "members": [\n  {}\n ]\n}')) == []
    assert len(list(texts.feed(b"\n"))) == 1


@pytest.mark.parametrize(
    "broken",
    [
        b'{"revision": 43,\n\n',
        b'{"revision": "43\n',
        b"}\n",
        b'{"members": [\n' + b" {},\n" * MOST,
        b" " * (MOST + 1),
    ],
    ids=["an empty line", "a string", "a bracket", "without end", "a line without end"],
)
def test_what_broke_off_is_told_at_once(broken: bytes) -> None:
    texts = DocumentSplitter(MOST)
    with pytest.raises(ValueError, match="list"):
        list(texts.feed(broken))


def test_a_text_cut_short_before_another_is_never_taken_for_one() -> None:
    """The line behind it opens inside it, and the empty line that comes next can't be part of it."""
    texts = DocumentSplitter(MOST)
    given = texts.feed(b'{"revision": 43, "members": [\n{"revision": 44, "members": []}\n\n')
    with pytest.raises(ValueError, match="broke off"):
        list(given)
