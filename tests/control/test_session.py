"""An operator's line, received in pieces of any size, and the answers to calls."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from whinrouter.control.calls import CallRefusedError, CallRegistry
from whinrouter.control.session import MAX_LINE_BYTES, BadCallError, Call, Session

LINES = st.one_of(
    st.sampled_from([b"HEALTH\n", b"OFFLINE s-1\r\n", b"\n", b"LEAVE \xff\n", b" JOIN  \n", b"A" * 600]),
    st.binary(max_size=MAX_LINE_BYTES + 20),
)


def _outcome(pieces: list[bytes]) -> Call | str | None:
    session = Session()
    try:
        for piece in pieces:
            call = session.feed(piece)
            if call is not None:
                return call
        return session.end()
    except BadCallError as error:
        return str(error)


@given(LINES, st.lists(st.integers(0, 640)))
def test_the_call_does_not_depend_on_how_the_line_is_split(line: bytes, cuts: list[int]) -> None:
    offsets = sorted({0, *(cut for cut in cuts if cut < len(line)), len(line)})
    pieces = [line[a:b] for a, b in pairwise(offsets)]
    assert _outcome(pieces) == _outcome([line])


@pytest.mark.parametrize(
    ("line", "answer"),
    [
        ("HEALTH", b"+OK well\r\n"),
        ("OFFLINE s-1", b"+OK s-1\r\n"),
        ("OFFLINE busy", b"-ERR not now\r\n"),
        ("OFFLINE", b"-ERR the call is OFFLINE ID\r\n"),
        ("HEALTH now", b"-ERR the call is HEALTH\r\n"),
        ("health", b"-ERR no such call; there are HEALTH, OFFLINE\r\n"),
    ],
)
def test_the_registry_answers_valid_invalid_and_refused_calls(line: str, answer: bytes) -> None:
    def offline(host: str) -> str:
        if host == "busy":
            raise CallRefusedError("not now")
        return host

    calls = CallRegistry()
    calls.add("HEALTH", (), lambda: "well")
    calls.add("OFFLINE", ("ID",), offline)
    call = Session().feed(line.encode() + b"\n")
    assert call is not None
    assert calls.answer(call) == answer
