"""All forms of HTTP/1.1: in any pieces they say what they say as a whole."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from whinrouter.net.http import Message, RequestReader, ResponseReader
from whinrouter.streaming.flow import Flow

BIG = bytes(range(256)) * 300  # over what is held whole


class _Body:
    """Keeps what flows."""

    def __init__(self) -> None:
        self.body, self.whole = bytearray(), False

    def take(self, data: bytes) -> None:
        self.body += data

    def took_all(self) -> None:
        self.whole = True

    def cut(self) -> None:
        raise AssertionError("it is whole")

    def taken(self) -> int:
        return -1

    def hold(self) -> None: ...

    def go_on(self) -> None: ...

    def unwanted(self) -> None: ...


Said = tuple[bytes, bytes, int, bytes, bool, bool]


def _read(request: bool, pieces: list[bytes], ends: bool) -> tuple[list[Said], bool]:
    """Each message with its whole body, and whether what followed was broken."""
    bodies: list[_Body] = []

    def flow(length: int | None) -> Flow:
        body = _Body()
        bodies.append(body)
        made = Flow(body, length, 0.0, 2.0, 0.0)
        made.attach(body, 0.0)
        return made

    reader = (RequestReader if request else ResponseReader)(flow)
    messages: list[Message] = []
    for piece in pieces:
        if reader.error is None:
            messages += reader.feed(piece)
    if ends and reader.error is None:
        messages += reader.finish()
    rests = iter(bodies)
    said = []
    for message in messages:
        rest = next(rests) if message.rest is not None else None
        body = message.body + bytes(rest.body) if rest is not None else message.body
        whole = rest is None or rest.whole
        said.append((message.method, message.target, message.status, body, message.keep_alive, whole))
    return said, reader.error is not None


def _chunks(body: bytes, size: int, extension: bytes = b"") -> bytes:
    parts = [body[place : place + size] for place in range(0, len(body), size)]
    return b"".join(b"%x%b\r\n%b\r\n" % (len(part), extension, part) for part in parts)


HEAD = b"HTTP/1.1 200 OK\r\n"
REQUESTS = {
    "plain": (b"GET /a?b=1 HTTP/1.1\r\nHost: a\r\n\r\n", [b""]),
    "empty lines before": (b"\r\n\r\nGET /a HTTP/1.1\r\nHost: a\r\n\r\n", [b""]),
    "absolute target": (b"GET http://api.internal:80/a?b=1 HTTP/1.1\r\nHost: a\r\n\r\n", [b""]),
    "old": (b"GET /a HTTP/1.0\r\n\r\n", [b""]),
    "length": (b"POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\n12345", [b"12345"]),
    "large": (b"POST /a HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(BIG) + BIG, [BIG]),
    "chunks of a byte, with extensions and trailers": (
        b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        + _chunks(b"abcdefgh" * 20, 1, b";name=value")
        + b"0;last\r\nX-Class: other\r\n\r\n",
        [b"abcdefgh" * 20],
    ),
    "large chunks": (
        b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + _chunks(BIG, 7000) + b"0\r\n\r\n",
        [BIG],
    ),
    "sent ahead": (
        b"POST /a HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(BIG)
        + BIG
        + b"POST /b HTTP/1.1\r\nContent-Length: 2\r\n\r\nokGET /c HTTP/1.1\r\n\r\n",
        [BIG, b"ok", b""],
    ),
    "leave": (b"POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok", [b"ok"]),
    "a list of connection's options": (
        b"GET /a HTTP/1.1\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n\r\n",
        [b""],
    ),
}
ANSWERS = {
    "length": (HEAD + b"Content-Length: 5\r\n\r\n12345", [b"12345"]),
    "up to the end": (HEAD + b"\r\n" + b"12345", [b"12345"]),
    "large up to the end": (HEAD + b"\r\n" + BIG, [BIG]),
    "old": (b"HTTP/1.0 200 OK\r\n\r\n12345", [b"12345"]),
    "interim ones ahead": (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
        + HEAD
        + b"Content-Length: 2\r\n\r\nok",
        [b"ok"],
    ),
    "chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + _chunks(b"x" * 999, 10, b";a=b") + b"0\r\n\r\n",
        [b"x" * 999],
    ),
    "large chunks with trailers": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + _chunks(BIG, 50_000) + b"0\r\nX-A: b\r\n\r\n",
        [BIG],
    ),
    "no body by its status": (b"HTTP/1.1 204 No Content\r\n\r\n", [b""]),
    "large": (HEAD + b"Content-Length: %d\r\n\r\n" % len(BIG) + BIG, [BIG]),
}
FORMS = [(True, name) for name in REQUESTS] + [(False, name) for name in ANSWERS]


def _form(request: bool, name: str) -> tuple[bytes, list[bytes]]:
    return (REQUESTS if request else ANSWERS)[name]


@pytest.mark.parametrize(("request_", "name"), FORMS)
def test_each_form_is_read(request_: bool, name: str) -> None:
    text, bodies = _form(request_, name)
    said, broken = _read(request_, [text], ends=True)
    assert not broken
    assert [body for _, _, _, body, _, _ in said] == bodies
    assert all(whole for *_, whole in said)
    if name == "absolute target":
        assert said[0][1] == b"/a?b=1"


@pytest.mark.parametrize(("request_", "name"), FORMS)
def test_a_cut_anywhere_near_a_head_or_an_end_changes_nothing(request_: bool, name: str) -> None:
    text, _ = _form(request_, name)
    whole = _read(request_, [text], ends=True)
    places = [*range(1, min(400, len(text))), *range(max(1, len(text) - 200), len(text))]
    for place in places:
        assert _read(request_, [text[:place], text[place:]], ends=True) == whole
    if len(text) < 2000:
        assert _read(request_, [bytes([byte]) for byte in text], ends=True) == whole


@settings(max_examples=60)
@given(st.sampled_from(FORMS), st.lists(st.floats(0, 1), max_size=12))
def test_any_pieces_change_nothing(form: tuple[bool, str], cuts: list[float]) -> None:
    text, _ = _form(*form)
    places = sorted({0, *(int(cut * len(text)) for cut in cuts), len(text)})
    pieces = [text[a:b] for a, b in zip(places, places[1:], strict=False)]  # noqa: RUF007
    assert _read(form[0], pieces, ends=True) == _read(form[0], [text], ends=True)


@pytest.mark.parametrize(
    "text",
    [
        b"POST /a HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"POST /a HTTP/1.1\r\nContent-Length: 41943041\r\n\r\n",
        b"POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" + b"x" * 140_000,
        b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + b"X-A: b\r\n" * 20_000,
    ],
    ids=[
        "two lengths",
        "too long",
        "another coding",
        "an extension without an end",
        "trailers without an end",
    ],
)
def test_what_is_no_plain_message_is_turned_away(text: bytes) -> None:
    pieces = [text[place : place + 8000] for place in range(0, len(text), 8000)]
    said, broken = _read(True, pieces, ends=False)
    assert broken
    assert not said


def test_an_answer_to_head_has_no_body_whatever_it_says() -> None:
    reader = ResponseReader()
    reader.to_head = True
    answers = reader.feed(HEAD + b"Content-Length: 500\r\n\r\n")
    assert [answer.body for answer in answers] == [b""]
    assert reader.bare
