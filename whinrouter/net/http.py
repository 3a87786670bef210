"""Parsing and writing HTTP/1.1 messages."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

Headers = list[tuple[bytes, bytes]]

MAX_BODY = 64 * 1024
MAX_MESSAGE = 2 * MAX_BODY  # with its head and framing: no peer may fill the memory

# They speak of one connection, not of the message (RFC 9110, 7.6.1), or are written anew.
_NOT_PASSED_ON = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
        b"x-deadline",
    )
)


class BadMessageError(Exception):
    """What came is no message that may be used; `status` says so to a client."""

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class Message:
    """A whole request or answer."""

    method: bytes = b""
    target: bytes = b""
    status: int = 0
    headers: Headers = field(default_factory=list)  # names in lower case
    body: bytes = b""
    keep_alive: bool = True

    def get(self, name: bytes) -> str | None:
        """The value of a header, None if there is none."""
        for other, value in self.headers:
            if other == name:
                return value.decode("latin-1").strip()
        return None


class _Reader:
    """Collects what httptools reports into whole messages."""

    def __init__(self) -> None:
        self.messages: list[Message] = []
        self.waits_for_leave = False  # the peer asked for 100 Continue before it sends the body
        self._message = Message()
        self._body = bytearray()
        self.began = False  # a part of a message has come
        self._size = 0
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    def feed(self, data: bytes) -> list[Message]:
        """Take what came in; return the messages that are now whole."""
        self.messages = []
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadMessageError(HTTPStatus.BAD_REQUEST, "an upgrade is not possible") from None
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, BadMessageError):
                raise error.__context__ from None
            raise
        except httptools.HttpParserError as error:
            raise BadMessageError(HTTPStatus.BAD_REQUEST, f"broken HTTP: {error}") from None
        if self._size > MAX_MESSAGE and not self.messages:
            raise BadMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the message is too large")
        return self.messages

    def on_message_begin(self) -> None:
        self.began = True
        self._message = Message()
        self._body = bytearray()

    def on_url(self, url: bytes) -> None:
        self._message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._message.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        length = self._message.get(b"content-length")
        if length is not None and length.isdigit() and int(length) > MAX_BODY:
            raise BadMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
        self.waits_for_leave = (self._message.get(b"expect") or "").lower() == "100-continue"

    def on_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > MAX_BODY:
            raise BadMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")

    def on_message_complete(self) -> None:
        self._message.body = bytes(self._body)
        self._message.keep_alive = self._parser.should_keep_alive()
        self.waits_for_leave = False
        self.began = False
        self._size = 0
        self.messages.append(self._message)


class RequestReader(_Reader):
    def __init__(self) -> None:
        super().__init__()
        self._parser: httptools.HttpRequestParser = httptools.HttpRequestParser(self)

    def on_message_complete(self) -> None:
        self._message.method = self._parser.get_method()
        super().on_message_complete()


class ResponseReader(_Reader):
    def __init__(self) -> None:
        super().__init__()
        self._parser: httptools.HttpResponseParser = httptools.HttpResponseParser(self)

    def on_message_complete(self) -> None:
        self._message.status = self._parser.get_status_code()
        if self._message.status >= HTTPStatus.OK:  # an interim answer (1xx) is not the answer
            super().on_message_complete()


def passed_on(headers: Headers) -> Headers:
    """The headers that go from one side to the other."""
    named = {
        name.strip().lower()
        for other, value in headers
        if other == b"connection"
        for name in value.split(b",")
    }
    return [(name, value) for name, value in headers if name not in _NOT_PASSED_ON and name not in named]


def _write(first: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes) -> bytes:
    lines = [first, *(name + b": " + value for name, value in headers)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def write_request(message: Message, extra: Headers) -> bytes:
    """A client's request in the form in which a host gets it."""
    headers = passed_on(message.headers) + extra
    if message.body or message.method != b"GET":
        headers.append((b"content-length", b"%d" % len(message.body)))
    return _write(b"%s %s HTTP/1.1" % (message.method, message.target), headers, message.body)


def write_answer(status: int, headers: Headers, body: bytes, close: bool) -> bytes:
    framing = [(b"content-length", b"%d" % len(body))]
    if close:
        framing.append((b"connection", b"close"))
    try:
        phrase = HTTPStatus(status).phrase.encode()
    except ValueError:
        phrase = b"Unknown"
    return _write(b"HTTP/1.1 %d %s" % (status, phrase), [*passed_on(headers), *framing], body)
