"""Parsing and writing HTTP/1.1 messages."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

Headers = list[tuple[bytes, bytes]]

MAX_BODY = 64 * 1024
MAX_HEAD = 16 * 1024  # more than any browser sends; what has no end is noticed early
MAX_MESSAGE = 2 * MAX_BODY  # with its head and framing: no peer may fill the memory

# One for all reads; asyncio would otherwise allocate 256 KiB for each.
_BUFFER = memoryview(bytearray(64 * 1024))

_VERSIONS = ("1.1", "1.0")
_FRAMING = (b"content-length", b"transfer-encoding")
_READ_HERE = frozenset((*_FRAMING, b"expect"))  # the headers that are acted on while a message comes
_FIRST_LINES = {
    status.value: b"HTTP/1.1 %d %b" % (status.value, status.phrase.encode()) for status in HTTPStatus
}

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
# A client could otherwise strike them out by naming them in Connection.
_ALWAYS_PASSED_ON = frozenset((b"x-request-id", b"idempotency-key"))


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
    came: float = 0.0  # loop time at which its last bytes were here, read or not
    passed: bytes = b""  # what hosts get of its head, once it was sent to one

    def get(self, name: bytes) -> str | None:
        """The value of a header, None if there is none."""
        for other, value in self.headers:
            if other == name:
                return value.decode("latin-1").strip()
        return None


class _Reader:
    """Takes the bytes of one connection and gives out whole messages; no message may be too large."""

    __deletable__ = ("_parser",)  # by `close`; a compiled class has to be told

    def __init__(self) -> None:
        self.waits_for_leave = False  # the peer wants a 100 before it sends the body
        self.began = False  # a part of a message has come
        self.count = 0  # messages that have begun
        self.size = 0  # bytes since the last whole message, at most
        self._read = 0  # bytes of the read that is fed
        self.error: BadMessageError | None = None  # what is wrong with what follows the whole messages
        self._messages: list[Message] = []
        self._target = b""
        self._headers: Headers = []
        self._body: bytes | bytearray = b""
        self._in_head = False
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    def feed(self, data: bytes | memoryview) -> list[Message]:
        """Take what came in; return the messages that are now whole. After an `error` nothing may follow."""
        self._messages = []
        self._read = len(data)
        self.size += self._read
        try:
            self._parser.feed_data(data)
            self._bound()
        except BadMessageError as error:
            self.error = error
        except httptools.HttpParserUpgrade:
            self.error = BadMessageError(HTTPStatus.BAD_REQUEST, "an upgrade is not possible")
        except httptools.HttpParserCallbackError as fault:
            if not isinstance(fault.__context__, BadMessageError):
                raise
            self.error = fault.__context__
        except httptools.HttpParserError as broken:
            self.error = BadMessageError(HTTPStatus.BAD_REQUEST, f"broken HTTP: {broken}")
        return self._messages

    def forget(self) -> None:
        """What has come of a message is of no use: nothing may be fed any more."""
        self._target, self._headers, self._body, self.size = b"", [], b"", 0

    def close(self) -> None:
        """The connection is over. Parser and reader hold each other: a collector would come by much later."""
        del self._parser

    def _bound(self) -> None:
        # The parser gathers a line before it shows it: only the count of bytes tells of one without an end.
        if self._in_head and self.size > MAX_HEAD:
            raise BadMessageError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
        if self.size > MAX_MESSAGE:
            raise BadMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the message is too large")

    def on_message_begin(self) -> None:
        self.began = self._in_head = True
        self.count += 1
        self._target, self._headers, self._body = b"", [], b""

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:  # a trailer is not what the message was judged by
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._in_head = False
        # The read may hold a message before this one, which took the count of bytes back to nothing.
        if max(self.size, self._read) > MAX_HEAD and self._head_size() > MAX_HEAD:
            raise BadMessageError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
        if self._parser.get_http_version() not in _VERSIONS:
            raise BadMessageError(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "this is not HTTP/1")
        told = [header for header in self._headers if header[0] in _READ_HERE]
        if told:
            _check_framing([(name, value.strip().lower()) for name, value in told if name in _FRAMING])
            self.waits_for_leave = any(value.strip().lower() == b"100-continue" for _, value in told)

    def _head_size(self) -> int:
        return len(self._target) + sum(len(name) + len(value) for name, value in self._headers)

    def on_body(self, data: bytes) -> None:
        if not self._body:  # nearly all come in one piece
            self._body = data
        else:
            if isinstance(self._body, bytes):
                self._body = bytearray(self._body)
            self._body += data
        if len(self._body) > MAX_BODY:
            raise BadMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")

    def _complete(self, method: bytes, status: int) -> None:
        body, keep_alive = bytes(self._body), self._parser.should_keep_alive()
        self._messages.append(Message(method, self._target, status, self._headers, body, keep_alive))
        self.waits_for_leave = self.began = False
        self.size = 0


def _check_framing(told: Headers) -> None:
    """Whoever reads an odd length otherwise than we do would find another message in the body."""
    if not told:
        return
    (name, value), *others = told
    if others or (value != b"chunked" if name == b"transfer-encoding" else not value.isdigit()):
        raise BadMessageError(HTTPStatus.BAD_REQUEST, "the length is not told in one plain way")
    if name == b"content-length" and (len(value) > 9 or int(value) > MAX_BODY):
        raise BadMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")


class RequestReader(_Reader):
    def __init__(self) -> None:
        super().__init__()
        self._parser: httptools.HttpRequestParser = httptools.HttpRequestParser(self)

    def on_message_complete(self) -> None:
        self._complete(self._parser.get_method(), 0)


class ResponseReader(_Reader):
    def __init__(self) -> None:
        super().__init__()
        self._parser: httptools.HttpResponseParser = httptools.HttpResponseParser(self)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status >= 200:  # an interim answer (1xx) is not the answer
            self._complete(b"", status)


class Reading(asyncio.BufferedProtocol):
    """A connection's receiving end. All share one buffer: each read is used up before the next."""

    def __init__(self, reader: RequestReader | ResponseReader) -> None:
        self._reader = reader

    def get_buffer(self, sizehint: int) -> memoryview:
        return _BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        self.received(_BUFFER[:nbytes])

    def received(self, data: memoryview) -> None:
        raise NotImplementedError


def passed_on(headers: Headers) -> Headers:
    """The headers that go from one side to the other."""
    passed = [header for header in headers if header[0] not in _NOT_PASSED_ON]
    if len(passed) == len(headers):
        return passed
    for name, value in headers:
        if name == b"connection":
            named = {other.strip().lower() for other in value.split(b",")} - _ALWAYS_PASSED_ON
            passed = [header for header in passed if header[0] not in named]
    return passed


def write_request(message: Message, left: float) -> bytes:
    """A client's request in the form in which a host gets it: with so many seconds left."""
    if not message.passed:
        lines = [b"%b %b HTTP/1.1" % (message.method, message.target)]
        lines += [b"%b: %b" % header for header in passed_on(message.headers)]
        if message.body or message.method != b"GET":
            lines.append(b"content-length: %d" % len(message.body))
        lines.append(b"x-deadline: ")
        message.passed = b"\r\n".join(lines)
    return b"%b%.3f\r\n\r\n%b" % (message.passed, left, message.body)


def write_answer(status: int, headers: Headers, body: bytes, close: bool) -> bytes:
    lines = [_FIRST_LINES.get(status) or b"HTTP/1.1 %d Unknown" % status]
    lines += [b"%b: %b" % header for header in passed_on(headers)]
    lines.append(b"content-length: %d" % len(body))
    if close:
        lines.append(b"connection: close")
    return b"%b\r\n\r\n%b" % (b"\r\n".join(lines), body)
