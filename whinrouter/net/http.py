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

MAX_BUFFERED_BODY_BYTES = (
    64 * 1024
)  # bytes of a body that is held whole; a larger one is passed on as it comes
MAX_BODY_BYTES = 40 * 1024 * 1024  # bytes of any body: the largest that are in use, and a quarter more
MAX_HEAD_BYTES = 16 * 1024  # more than any browser sends; what has no end is noticed early
# Bytes of framing: chunks' lengths and extensions, trailers. A body may come in chunks of one byte, each with
# some extension; what is all framing and no body is no message.
MAX_FRAMING_BYTES, FRAMING_BYTES_PER_BODY_BYTE = 64 * 1024, 256

# One for all reads; asyncio would otherwise allocate 256 KiB for each.
_READ_BUFFER = memoryview(bytearray(64 * 1024))

_VERSIONS = ("1.1", "1.0")
_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
_INSPECTED_HEADERS = frozenset(
    (*_FRAMING_HEADERS, b"expect")
)  # the headers that are acted on while a message comes
_STATUS_LINES = {
    status.value: b"HTTP/1.1 %d %b" % (status.value, status.phrase.encode()) for status in HTTPStatus
}

# They speak of one connection, not of the message (RFC 9110, 7.6.1), or are written anew.
_HOP_BY_HOP_HEADERS = frozenset(
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
_END_TO_END_HEADERS = frozenset((b"x-request-id", b"idempotency-key"))


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
    arrived_at: float = 0.0  # loop time at which its last bytes were here, read or not
    forwarded_head: bytes = b""  # what hosts get of its head, once it was sent to one
    is_http_1_1: bool = True  # its sender speaks HTTP/1.1, and so knows chunks
    body_flow: Flow | None = None  # of the body behind `body`, where it is passed on as it comes
    client_timeout_seconds: float = (
        0.0  # seconds that its client waits, counted from the body's end; of such requests
    )

    def get(self, name: bytes) -> str | None:
        """The value of a header, None if there is none."""
        for other, value in self.headers:
            if other == name:
                return value.decode("latin-1").strip()
        return None


class _MessageReader:
    """Takes the bytes of one connection and gives out messages; none may be too large.

    A message is given out when it is whole, or, where its body is larger than `MAX_BODY`, with the start of
    its body and a `Flow` for the rest, into which what comes is put from then on. `flow` makes one; None
    stands for a reader that takes no such messages.
    """

    __deletable__ = ("_parser",)  # by `close`; a compiled class has to be told

    def __init__(self, make_flow: Callable[[int | None], Flow] | None = None) -> None:
        self._make_flow = make_flow
        self.body_flow: Flow | None = None  # of the message that comes, once it was given out
        self.clock: Callable[[], float] = _zero_clock  # of whoever reads: seconds
        self._framing_bytes = 0  # bytes of this message that are neither head nor body
        self._body_length: int | None = None  # of its body, as told
        self._ends_with_connection = False  # its body ends with the connection
        self.expects_continue = False  # the peer wants a 100 before it sends the body
        self.has_begun = False  # a part of a message has come
        self.message_count = 0  # messages that have begun
        self.pending_bytes = 0  # bytes since the last whole message, at most
        self._read_bytes = 0  # bytes of the read that is fed
        self.error: BadMessageError | None = None  # what is wrong with what follows the whole messages
        self._messages: list[Message] = []
        self._target = b""
        self._headers: Headers = []
        self._body: bytes | bytearray = b""
        self._is_in_head = False
        self._streamed_bytes = 0  # bytes of a body that is passed on
        self._is_http_1_1 = True  # the message that comes is not of HTTP/1.0
        self._chunk_tracker: ChunkTracker | None = None  # of a body that comes in chunks
        self._is_length_declared = False  # how long its body is, in whichever way
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    def feed(self, data: bytes | memoryview) -> list[Message]:
        """Take what came in; return the messages that are to be had. After an `error` nothing may follow."""
        self._messages = []
        if self._chunk_tracker is not None:
            self._chunk_tracker.begin_read()
        self._read_bytes = len(data)
        self.pending_bytes += self._read_bytes
        self._framing_bytes += self._read_bytes
        try:
            self._parser.feed_data(data)
            self._check_limits()
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
        if self._chunk_tracker is not None:
            self._chunk_tracker.end_read(data)
        return self._messages

    def finish(self) -> list[Message]:
        """The connection has ended; return the message that ends with it, if there is one."""
        self._messages = []
        if self._ends_with_connection and self.has_begun and not self._is_in_head:
            self.on_message_complete()
        return self._messages

    def on_message_complete(self) -> None:
        raise NotImplementedError

    @property
    def is_in_body(self) -> bool:
        """Whether the head of a message has come, and its body not yet as a whole."""
        return self.has_begun and not self._is_in_head

    def discard_partial_message(self) -> None:
        """What has come of a message is of no use: nothing may be fed any more."""
        self._target, self._headers, self._body, self.pending_bytes = b"", [], b"", 0

    def close(self) -> None:
        """The connection is over. Parser and reader hold each other: a collector would come by much later."""
        del self._parser

    def _check_limits(self) -> None:
        # The parser gathers a line before it shows it: only the count of bytes tells of one without an end.
        if self._is_in_head and self.pending_bytes > MAX_HEAD_BYTES:
            raise BadMessageError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
        if self._framing_bytes > MAX_FRAMING_BYTES:
            raise BadMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the message is all framing")

    def on_message_begin(self) -> None:
        self.has_begun = self._is_in_head = True
        self.message_count += 1
        self._target, self._headers, self._body = b"", [], b""
        self._framing_bytes, self._body_length, self._ends_with_connection, self.body_flow = (
            0,
            None,
            False,
            None,
        )
        self._is_length_declared = False
        self._chunk_tracker = None
        self._streamed_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._is_in_head:  # a trailer is not what the message was judged by
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._is_in_head = False
        # The read may hold a message before this one, which took the count of bytes back to nothing.
        if max(self.pending_bytes, self._read_bytes) > MAX_HEAD_BYTES and self._head_size() > MAX_HEAD_BYTES:
            raise BadMessageError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
        version = self._parser.get_http_version()
        self._is_http_1_1 = version != "1.0"
        if version not in _VERSIONS:
            raise BadMessageError(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "this is not HTTP/1")
        self._framing_bytes = (
            0  # the head has its own bound; what follows it in this read is counted from here
        )
        inspected = [header for header in self._headers if header[0] in _INSPECTED_HEADERS]
        if inspected:
            framing = [(name, value.strip().lower()) for name, value in inspected if name in _FRAMING_HEADERS]
            self._body_length, self._is_length_declared = _parse_body_length(framing), bool(framing)
            if self._is_length_declared and self._body_length is None:
                self._chunk_tracker = ChunkTracker()
                self._chunk_tracker.chunk_ended()
            self.expects_continue = any(value.strip().lower() == b"100-continue" for _, value in inspected)
            if self._body_length is not None and self._body_length > MAX_BUFFERED_BODY_BYTES:
                self._start_streaming()

    def _start_streaming(self) -> None:
        """The message is too large to be held: what is here of it goes on, and the rest as it comes."""
        if self._make_flow is None:
            raise BadMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
        self.body_flow = self._make_flow(self._body_length)
        self.pending_bytes = 0
        self._emit_streamed_message(bytes(self._body), self.body_flow)

    def _emit_streamed_message(self, body: bytes, body_flow: Flow | None) -> None:
        raise NotImplementedError

    def _head_size(self) -> int:
        return len(self._target) + sum(len(name) + len(value) for name, value in self._headers)

    def on_body(self, data: bytes) -> None:
        if self._framing_bytes > 0:
            self._framing_bytes -= FRAMING_BYTES_PER_BODY_BYTE * len(data)
        if self._chunk_tracker is not None:
            self._chunk_tracker.add(len(data))
        if self.body_flow is not None:
            self._stream_body(data)
            return
        if not self._body:  # nearly all come in one piece
            self._body = data
        else:
            if isinstance(self._body, bytes):
                self._body = bytearray(self._body)
            self._body += data
        if len(self._body) > MAX_BUFFERED_BODY_BYTES:
            self._streamed_bytes = len(self._body)
            self._start_streaming()

    def on_chunk_header(self) -> None:
        if self._chunk_tracker is not None:
            self._chunk_tracker.chunk_started()

    def on_chunk_complete(self) -> None:
        if self._chunk_tracker is not None:
            self._chunk_tracker.chunk_ended()

    def remainder(self) -> Remainder | None:
        """What is still to come of the body that is passed on; None if that can't be told now."""
        if self.body_flow is None or self.error is not None:
            return None
        if self._body_length is not None:
            return Remainder(Framing.LENGTH, self._body_length - self._streamed_bytes)
        if self._ends_with_connection:
            return Remainder(Framing.CONNECTION_END, 0)
        chunk_bytes_left = self._chunk_tracker.bytes_left if self._chunk_tracker is not None else None
        return None if chunk_bytes_left is None else Remainder(Framing.CHUNKED, chunk_bytes_left)

    def _stream_body(self, data: bytes) -> None:
        assert self.body_flow is not None
        self._streamed_bytes += len(data)
        if self._streamed_bytes > MAX_BODY_BYTES:
            raise BadMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
        self.pending_bytes = 0
        self.body_flow.put(data, self.clock())

    def _complete_message(self, method: bytes, status: int) -> None:
        if self.body_flow is not None:
            self.body_flow.end()
            self.body_flow = None
        else:
            self._emit_message(method, status, bytes(self._body), None)
        self.expects_continue = self.has_begun = False
        self._chunk_tracker = None
        self.pending_bytes = self._streamed_bytes = self._framing_bytes = 0

    def _emit_message(self, method: bytes, status: int, body: bytes, body_flow: Flow | None) -> None:
        keep_alive = self._parser.should_keep_alive()
        message = Message(method, self._target, status, self._headers, body, keep_alive)
        message.body_flow, message.is_http_1_1 = body_flow, self._is_http_1_1
        self._messages.append(message)


def _zero_clock() -> float:
    return 0.0


def _parse_body_length(framing_headers: Headers) -> int | None:
    """The length of a body, None if it comes in chunks or is not told.

    Whoever reads an odd length otherwise than we do would find another message in the body.
    """
    if not framing_headers:
        return None
    (name, value), *others = framing_headers
    if others or (value != b"chunked" if name == b"transfer-encoding" else not value.isdigit()):
        raise BadMessageError(HTTPStatus.BAD_REQUEST, "the length is not told in one plain way")
    if name != b"content-length":
        return None
    if len(value) > 9 or int(value) > MAX_BODY_BYTES:
        raise BadMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
    return int(value)


class RequestReader(_MessageReader):
    def __init__(self, make_flow: Callable[[int | None], Flow] | None = None) -> None:
        super().__init__(make_flow)
        self._parser: httptools.HttpRequestParser = httptools.HttpRequestParser(self)
        self._partial_head: bytes | None = b""  # of a head that is not whole; None if its start can't be told

    def feed(self, data: bytes | memoryview) -> list[Message]:
        had_begun = self.has_begun
        messages = super().feed(data)
        if not (self.has_begun and self._is_in_head):
            self._partial_head = b""
        elif messages or (had_begun and not self._partial_head):  # it began behind another in this read
            self._partial_head = None
        elif self._partial_head is not None:
            self._partial_head += bytes(data)
        return messages

    def replayable_input(self) -> bytes | None:
        """What another reader has to be fed to stand where this one does, between messages or in one.

        None if that can't be told now, or if the message was given out already.
        """
        if not self.has_begun:
            return b""
        if self.body_flow is not None or self.error is not None:
            return None
        if self._is_in_head:
            return self._partial_head
        version = self._parser.get_http_version().encode()
        lines = [b"%b %b HTTP/%b" % (self._parser.get_method(), self._target, version)]
        lines += [b"%b: %b" % header for header in self._headers if header[0] != b"expect"]
        body = self._replayable_body()
        return None if body is None else b"%b\r\n\r\n%b" % (b"\r\n".join(lines), body)

    def _replayable_body(self) -> bytes | None:
        body = bytes(self._body)
        if self._chunk_tracker is None:
            return body
        bytes_left = self._chunk_tracker.bytes_left
        if bytes_left is None:
            return None
        return (
            b"%x\r\n%b" % (len(body) + bytes_left, body)
            if bytes_left
            else (encode_chunk(body) if body else b"")
        )

    def resume_body(self, remainder: Remainder, length: int | None, received_bytes: int) -> Flow:
        """Stand in the body of a request that another reader gave out; the flow that its rest goes into.

        `length`: of the whole body, if it is told; `received`: bytes of it that have come.
        """
        assert self._make_flow is not None
        self._parser.feed_data(request_head(remainder))
        self.body_flow = self.body_flow or self._make_flow(length)
        self.body_flow.length = length  # the head above told what is left
        self._messages, self._headers, self._body = [], [], b""
        self._body_length, self._streamed_bytes, self.pending_bytes = length, received_bytes, 0
        self.expects_continue = False
        if remainder.framing is Framing.CHUNKED:
            self._chunk_tracker = ChunkTracker(remainder.bytes_left)
        return self.body_flow

    @property
    def streamed_bytes(self) -> int:
        """Bytes of the body that is passed on, by now."""
        return self._streamed_bytes

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_headers_complete(self) -> None:
        if not self._target.startswith(b"/"):
            self._target = _origin_form(self._target)
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        self._complete_message(self._parser.get_method(), 0)

    def _emit_streamed_message(self, body: bytes, body_flow: Flow | None) -> None:
        self._emit_message(self._parser.get_method(), 0, body, body_flow)


def _origin_form(target: bytes) -> bytes:
    """What a target in absolute form (RFC 9112, 3.2.2) asks of the host that it names; else as it is."""
    scheme, found, rest = target.partition(b"://")
    if not found or scheme.lower() not in (b"http", b"https"):
        return target
    for index, byte in enumerate(rest):
        if byte == b"/"[0]:
            return rest[index:]
        if byte == b"?"[0]:
            return b"/" + rest[index:]
    return b"/"


class ResponseReader(_MessageReader):
    def __init__(self, make_flow: Callable[[int | None], Flow] | None = None) -> None:
        super().__init__(make_flow)
        self.is_answer_to_head = False  # the answer that comes is to a HEAD: it has no body, whatever it says
        self.has_bodyless_answer = (
            False  # it was given out without one: nothing on this connection can be told apart
        )
        self._parser: httptools.HttpResponseParser = httptools.HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if self.is_answer_to_head and status >= 200:
            self._is_in_head, self.has_bodyless_answer = False, True
            self._emit_message(b"", status, b"", None)
            return
        super().on_headers_complete()
        self._ends_with_connection = (
            not self._is_length_declared and status >= 200 and status not in (204, 304)
        )

    def on_body(self, data: bytes) -> None:
        if not self.has_bodyless_answer:
            super().on_body(data)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status >= 200 and not self.has_bodyless_answer:  # an interim answer (1xx) is not the answer
            self._complete_message(b"", status)

    def _emit_streamed_message(self, body: bytes, body_flow: Flow | None) -> None:
        self._emit_message(b"", self._parser.get_status_code(), body, body_flow)


class ReaderProtocol(asyncio.BufferedProtocol):
    """A connection's receiving end. All share one buffer: each read is used up before the next."""

    def __init__(self, reader: RequestReader | ResponseReader) -> None:
        self._reader = reader

    def get_buffer(self, sizehint: int) -> memoryview:
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        self.handle_input(_READ_BUFFER[:nbytes])

    def handle_input(self, data: memoryview) -> None:
        raise NotImplementedError


def forwarded_headers(headers: Headers) -> Headers:
    """The headers that go from one side to the other."""
    forwarded = [header for header in headers if header[0] not in _HOP_BY_HOP_HEADERS]
    if len(forwarded) == len(headers):
        return forwarded
    for name, value in headers:
        if name == b"connection":
            listed = {other.strip().lower() for other in value.split(b",")} - _END_TO_END_HEADERS
            forwarded = [header for header in forwarded if header[0] not in listed]
    return forwarded


def serialize_request(message: Message, remaining_seconds: float) -> bytes:
    """A client's request in the form in which a host gets it: with so many seconds left."""
    if not message.forwarded_head:
        lines = [b"%b %b HTTP/1.1" % (message.method, message.target)]
        lines += [b"%b: %b" % header for header in forwarded_headers(message.headers)]
        if message.body_flow is not None:
            lines.append(_framing_header(message.body_flow.length))
        elif message.body or message.method != b"GET":
            lines.append(b"content-length: %d" % len(message.body))
        lines.append(b"x-deadline: ")
        message.forwarded_head = b"\r\n".join(lines)
    body = message.body
    if message.body_flow is not None and message.body_flow.length is None and body:
        body = encode_chunk(body)
    return b"%b%.3f\r\n\r\n%b" % (message.forwarded_head, remaining_seconds, body)


LAST_CHUNK = b"0\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _framing_header(length: int | None) -> bytes:
    return b"transfer-encoding: chunked" if length is None else b"content-length: %d" % length


def serialize_answer_head(
    status: int, headers: Headers, length: int | None, is_chunked: bool, closes: bool
) -> bytes:
    """The head of an answer whose body follows: of that length, in chunks, or up to the connection's end."""
    lines = [_STATUS_LINES.get(status) or b"HTTP/1.1 %d Unknown" % status]
    lines += [b"%b: %b" % header for header in forwarded_headers(headers)]
    if is_chunked or length is not None:
        lines.append(_framing_header(length))
    if closes:
        lines.append(b"connection: close")
    return b"%b\r\n\r\n" % b"\r\n".join(lines)


def serialize_answer(status: int, headers: Headers, body: bytes, closes: bool) -> bytes:
    lines = [_STATUS_LINES.get(status) or b"HTTP/1.1 %d Unknown" % status]
    lines += [b"%b: %b" % header for header in forwarded_headers(headers)]
    lines.append(b"content-length: %d" % len(body))
    if closes:
        lines.append(b"connection: close")
    return b"%b\r\n\r\n%b" % (b"\r\n".join(lines), body)
