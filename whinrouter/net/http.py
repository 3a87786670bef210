"""Parsing and writing HTTP/1.1 messages."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

from whinrouter.streaming.flow import Flow
from whinrouter.streaming.remainder import ChunkTracker, Framing, Remainder, request_head

Headers = list[tuple[bytes, bytes]]

MAX_BODY = 64 * 1024  # bytes of a body that is held whole; a larger one is passed on as it comes
MAX_LENGTH = 40 * 1024 * 1024  # bytes of any body: the largest that are in use, and a quarter more
MAX_HEAD = 16 * 1024  # more than any browser sends; what has no end is noticed early
# Bytes of framing: chunks' lengths and extensions, trailers. A body may come in chunks of one byte, each with
# some extension; what is all framing and no body is no message.
MAX_FRAMING, FRAMING_A_BYTE = 64 * 1024, 256

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
    newer: bool = True  # its sender speaks HTTP/1.1, and so knows chunks
    rest: Flow | None = None  # of the body behind `body`, where it is passed on as it comes
    patience: float = 0.0  # seconds that its client waits, counted from the body's end; of such requests

    def get(self, name: bytes) -> str | None:
        """The value of a header, None if there is none."""
        for other, value in self.headers:
            if other == name:
                return value.decode("latin-1").strip()
        return None


class _Reader:
    """Takes the bytes of one connection and gives out messages; none may be too large.

    A message is given out when it is whole, or, where its body is larger than `MAX_BODY`, with the start of
    its body and a `Flow` for the rest, into which what comes is put from then on. `flow` makes one; None
    stands for a reader that takes no such messages.
    """

    __deletable__ = ("_parser",)  # by `close`; a compiled class has to be told

    def __init__(self, flow: Callable[[int | None], Flow] | None = None) -> None:
        self._flow = flow
        self.rest: Flow | None = None  # of the message that comes, once it was given out
        self.clock: Callable[[], float] = _no_time  # of whoever reads: seconds
        self._framing = 0  # bytes of this message that are neither head nor body
        self._length: int | None = None  # of its body, as told
        self._until_end = False  # its body ends with the connection
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
        self._sent = 0  # bytes of a body that is passed on
        self._newer = True  # the message that comes is not of HTTP/1.0
        self._chunks: ChunkTracker | None = None  # of a body that comes in chunks
        self._told = False  # how long its body is, in whichever way
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    def feed(self, data: bytes | memoryview) -> list[Message]:
        """Take what came in; return the messages that are to be had. After an `error` nothing may follow."""
        self._messages = []
        if self._chunks is not None:
            self._chunks.begin_read()
        self._read = len(data)
        self.size += self._read
        self._framing += self._read
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
        if self._chunks is not None:
            self._chunks.end_read(data)
        return self._messages

    def finish(self) -> list[Message]:
        """The connection has ended; return the message that ends with it, if there is one."""
        self._messages = []
        if self._until_end and self.began and not self._in_head:
            self.on_message_complete()
        return self._messages

    def on_message_complete(self) -> None:
        raise NotImplementedError

    @property
    def in_body(self) -> bool:
        """Whether the head of a message has come, and its body not yet as a whole."""
        return self.began and not self._in_head

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
        if self._framing > MAX_FRAMING:
            raise BadMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the message is all framing")

    def on_message_begin(self) -> None:
        self.began = self._in_head = True
        self.count += 1
        self._target, self._headers, self._body = b"", [], b""
        self._framing, self._length, self._until_end, self.rest = 0, None, False, None
        self._told = False
        self._chunks = None
        self._sent = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:  # a trailer is not what the message was judged by
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._in_head = False
        # The read may hold a message before this one, which took the count of bytes back to nothing.
        if max(self.size, self._read) > MAX_HEAD and self._head_size() > MAX_HEAD:
            raise BadMessageError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
        version = self._parser.get_http_version()
        self._newer = version != "1.0"
        if version not in _VERSIONS:
            raise BadMessageError(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "this is not HTTP/1")
        self._framing = 0  # the head has its own bound; what follows it in this read is counted from here
        told = [header for header in self._headers if header[0] in _READ_HERE]
        if told:
            framing = [(name, value.strip().lower()) for name, value in told if name in _FRAMING]
            self._length, self._told = _length(framing), bool(framing)
            if self._told and self._length is None:
                self._chunks = ChunkTracker()
                self._chunks.chunk_ended()
            self.waits_for_leave = any(value.strip().lower() == b"100-continue" for _, value in told)
            if self._length is not None and self._length > MAX_BODY:
                self._give_out()

    def _give_out(self) -> None:
        """The message is too large to be held: what is here of it goes on, and the rest as it comes."""
        if self._flow is None:
            raise BadMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
        self.rest = self._flow(self._length)
        self.size = 0
        self._add(bytes(self._body), self.rest)

    def _add(self, body: bytes, rest: Flow | None) -> None:
        raise NotImplementedError

    def _head_size(self) -> int:
        return len(self._target) + sum(len(name) + len(value) for name, value in self._headers)

    def on_body(self, data: bytes) -> None:
        if self._framing > 0:
            self._framing -= FRAMING_A_BYTE * len(data)
        if self._chunks is not None:
            self._chunks.add(len(data))
        if self.rest is not None:
            self._put(data)
            return
        if not self._body:  # nearly all come in one piece
            self._body = data
        else:
            if isinstance(self._body, bytes):
                self._body = bytearray(self._body)
            self._body += data
        if len(self._body) > MAX_BODY:
            self._sent = len(self._body)
            self._give_out()

    def on_chunk_header(self) -> None:
        if self._chunks is not None:
            self._chunks.chunk_begins()

    def on_chunk_complete(self) -> None:
        if self._chunks is not None:
            self._chunks.chunk_ended()

    def remainder(self) -> Remainder | None:
        """What is still to come of the body that is passed on; None if that can't be told now."""
        if self.rest is None or self.error is not None:
            return None
        if self._length is not None:
            return Remainder(Framing.LENGTH, self._length - self._sent)
        if self._until_end:
            return Remainder(Framing.CONNECTION_END, 0)
        left = self._chunks.left if self._chunks is not None else None
        return None if left is None else Remainder(Framing.CHUNKED, left)

    def _put(self, data: bytes) -> None:
        assert self.rest is not None
        self._sent += len(data)
        if self._sent > MAX_LENGTH:
            raise BadMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
        self.size = 0
        self.rest.put(data, self.clock())

    def _complete(self, method: bytes, status: int) -> None:
        if self.rest is not None:
            self.rest.end()
            self.rest = None
        else:
            self._message(method, status, bytes(self._body), None)
        self.waits_for_leave = self.began = False
        self._chunks = None
        self.size = self._sent = self._framing = 0

    def _message(self, method: bytes, status: int, body: bytes, rest: Flow | None) -> None:
        keep_alive = self._parser.should_keep_alive()
        message = Message(method, self._target, status, self._headers, body, keep_alive)
        message.rest, message.newer = rest, self._newer
        self._messages.append(message)


def _no_time() -> float:
    return 0.0


def _length(told: Headers) -> int | None:
    """The length of a body, None if it comes in chunks or is not told.

    Whoever reads an odd length otherwise than we do would find another message in the body.
    """
    if not told:
        return None
    (name, value), *others = told
    if others or (value != b"chunked" if name == b"transfer-encoding" else not value.isdigit()):
        raise BadMessageError(HTTPStatus.BAD_REQUEST, "the length is not told in one plain way")
    if name != b"content-length":
        return None
    if len(value) > 9 or int(value) > MAX_LENGTH:
        raise BadMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
    return int(value)


class RequestReader(_Reader):
    def __init__(self, flow: Callable[[int | None], Flow] | None = None) -> None:
        super().__init__(flow)
        self._parser: httptools.HttpRequestParser = httptools.HttpRequestParser(self)
        self._raw_head: bytes | None = b""  # of a head that is not whole; None if its start can't be told

    def feed(self, data: bytes | memoryview) -> list[Message]:
        began = self.began
        messages = super().feed(data)
        if not (self.began and self._in_head):
            self._raw_head = b""
        elif messages or (began and not self._raw_head):  # it began behind another in this read
            self._raw_head = None
        elif self._raw_head is not None:
            self._raw_head += bytes(data)
        return messages

    def received(self) -> bytes | None:
        """What another reader has to be fed to stand where this one does, between messages or in one.

        None if that can't be told now, or if the message was given out already.
        """
        if not self.began:
            return b""
        if self.rest is not None or self.error is not None:
            return None
        if self._in_head:
            return self._raw_head
        version = self._parser.get_http_version().encode()
        lines = [b"%b %b HTTP/%b" % (self._parser.get_method(), self._target, version)]
        lines += [b"%b: %b" % header for header in self._headers if header[0] != b"expect"]
        body = self._received_body()
        return None if body is None else b"%b\r\n\r\n%b" % (b"\r\n".join(lines), body)

    def _received_body(self) -> bytes | None:
        body = bytes(self._body)
        if self._chunks is None:
            return body
        left = self._chunks.left
        if left is None:
            return None
        return b"%x\r\n%b" % (len(body) + left, body) if left else (chunk(body) if body else b"")

    def resume(self, remainder: Remainder, length: int | None, received: int) -> Flow:
        """Stand in the body of a request that another reader gave out; the flow that its rest goes into.

        `length`: of the whole body, if it is told; `received`: bytes of it that have come.
        """
        assert self._flow is not None
        self._parser.feed_data(request_head(remainder))
        self.rest = self.rest or self._flow(length)
        self.rest.length = length  # the head above told what is left
        self._messages, self._headers, self._body = [], [], b""
        self._length, self._sent, self.size = length, received, 0
        self.waits_for_leave = False
        if remainder.framing is Framing.CHUNKED:
            self._chunks = ChunkTracker(remainder.bytes_left)
        return self.rest

    @property
    def passed(self) -> int:
        """Bytes of the body that is passed on, by now."""
        return self._sent

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_headers_complete(self) -> None:
        if not self._target.startswith(b"/"):
            self._target = _origin_form(self._target)
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        self._complete(self._parser.get_method(), 0)

    def _add(self, body: bytes, rest: Flow | None) -> None:
        self._message(self._parser.get_method(), 0, body, rest)


def _origin_form(target: bytes) -> bytes:
    """What a target in absolute form (RFC 9112, 3.2.2) asks of the host that it names; else as it is."""
    scheme, found, rest = target.partition(b"://")
    if not found or scheme.lower() not in (b"http", b"https"):
        return target
    for place, byte in enumerate(rest):
        if byte == b"/"[0]:
            return rest[place:]
        if byte == b"?"[0]:
            return b"/" + rest[place:]
    return b"/"


class ResponseReader(_Reader):
    def __init__(self, flow: Callable[[int | None], Flow] | None = None) -> None:
        super().__init__(flow)
        self.to_head = False  # the answer that comes is to a HEAD: it has no body, whatever it says
        self.bare = False  # it was given out without one: nothing on this connection can be told apart
        self._parser: httptools.HttpResponseParser = httptools.HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if self.to_head and status >= 200:
            self._in_head, self.bare = False, True
            self._message(b"", status, b"", None)
            return
        super().on_headers_complete()
        self._until_end = not self._told and status >= 200 and status not in (204, 304)

    def on_body(self, data: bytes) -> None:
        if not self.bare:
            super().on_body(data)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status >= 200 and not self.bare:  # an interim answer (1xx) is not the answer
            self._complete(b"", status)

    def _add(self, body: bytes, rest: Flow | None) -> None:
        self._message(b"", self._parser.get_status_code(), body, rest)


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
        if message.rest is not None:
            lines.append(_framing(message.rest.length))
        elif message.body or message.method != b"GET":
            lines.append(b"content-length: %d" % len(message.body))
        lines.append(b"x-deadline: ")
        message.passed = b"\r\n".join(lines)
    body = message.body
    if message.rest is not None and message.rest.length is None and body:
        body = chunk(body)
    return b"%b%.3f\r\n\r\n%b" % (message.passed, left, body)


LAST_CHUNK = b"0\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _framing(length: int | None) -> bytes:
    return b"transfer-encoding: chunked" if length is None else b"content-length: %d" % length


def write_head(status: int, headers: Headers, length: int | None, chunked: bool, close: bool) -> bytes:
    """The head of an answer whose body follows: of that length, in chunks, or up to the connection's end."""
    lines = [_FIRST_LINES.get(status) or b"HTTP/1.1 %d Unknown" % status]
    lines += [b"%b: %b" % header for header in passed_on(headers)]
    if chunked or length is not None:
        lines.append(_framing(length))
    if close:
        lines.append(b"connection: close")
    return b"%b\r\n\r\n" % b"\r\n".join(lines)


def write_answer(status: int, headers: Headers, body: bytes, close: bool) -> bytes:
    lines = [_FIRST_LINES.get(status) or b"HTTP/1.1 %d Unknown" % status]
    lines += [b"%b: %b" % header for header in passed_on(headers)]
    lines.append(b"content-length: %d" % len(body))
    if close:
        lines.append(b"connection: close")
    return b"%b\r\n\r\n%b" % (b"\r\n".join(lines), body)
