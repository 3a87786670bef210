"""Parses and serializes HTTP/1.1 messages.

A reader takes the bytes of one connection and emits messages. A message whose body is small is emitted once
it is complete. A larger one is emitted with the start of its body and a `Flow` for the rest:

    IDLE --first byte--> HEAD --end of the head--> BODY --end of a small body--> IDLE: the message is emitted
    BODY --more than `MAX_BUFFERED_BODY_BYTES`, or so announced--> STREAMING: the message is emitted
    STREAMING --end of the body--> IDLE: the flow has ended
    any --an error--> BROKEN: `error` is set, and no more input may be fed

The parser is httptools (llhttp). The reader adds the limits on sizes, and rejects a body length that another
parser might read differently.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus

import httptools

from whinrouter.memory_budget import MAX_READ_BYTES, ReadWindow
from whinrouter.net.http_messages import (
    MAX_BUFFERED_BODY_BYTES,
    BadMessageError,
    Headers,
    Message,
    TooManyMessagesError,
    encode_chunk,
)
from whinrouter.streaming.flow import Flow
from whinrouter.streaming.remainder import ChunkTracker, Framing, Remainder, request_head

MAX_BODY_BYTES = 40 * 1024 * 1024  # the largest bodies in use, and a quarter more
MAX_HEAD_BYTES = 16 * 1024  # more than any browser sends; a head without an end is rejected early
MAX_HEAD_FIELDS = 100  # a field costs as objects, however short it is
FIELD_BYTES = 200  # of the objects of a header field, without its name and value
# Limits on framing: chunk sizes and extensions, trailers. A body may come in chunks of one byte, each with an
# extension; a message that is nearly all framing is rejected.
MAX_FRAMING_BYTES, FRAMING_BYTES_PER_BODY_BYTE = 64 * 1024, 256

# Shared by all reads; asyncio would otherwise allocate 256 KiB for each.
_READ_BUFFER = memoryview(bytearray(MAX_READ_BYTES))

_VERSIONS = ("1.1", "1.0")
_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
_INSPECTED_HEADERS = frozenset((*_FRAMING_HEADERS, b"expect"))  # headers that the reader acts on


class _MessageReader:
    """Reads the bytes of one connection and emits messages of limited size.

    A message is emitted when it is complete or, if its body is larger than `MAX_BUFFERED_BODY_BYTES`, with
    the start of its body and a `Flow` into which the rest is put. `make_flow` returns the flow for a body of
    the given length, None if the length is not declared. A reader without `make_flow` rejects such messages.
    A read with more than `max_messages` messages is an error: `TooManyMessagesError`.
    """

    __deletable__ = ("_parser",)  # `close` deletes it, which a compiled class has to declare

    def __init__(
        self, make_flow: Callable[[int | None], Flow] | None = None, max_messages: int | None = None
    ) -> None:
        self._make_flow = make_flow
        self._max_messages = max_messages
        self.body_flow: Flow | None = None  # of the current message, once it was emitted
        self.clock: Callable[[], float] = _zero_clock  # the owner's clock, in seconds
        self._framing_bytes = 0  # bytes of the current message that are neither head nor body
        self._body_length: int | None = None  # as declared
        self._ends_with_connection = False  # the body ends with the connection
        self.expects_continue = False  # the peer waits for a 100 Continue before it sends the body
        self.has_begun = False  # a part of a message has been read
        self.message_count = 0  # messages that have begun
        self.read_at = 0.0  # loop time at which the input of the current read arrived; set by the owner
        self._began_at = 0.0  # loop time at which the first bytes of the current message arrived
        self.pending_bytes = 0  # an upper bound of the bytes read since the last complete message
        self._read_bytes = 0  # bytes of the current read
        self.error: BadMessageError | None = None  # why the input behind the emitted messages is rejected
        self._messages: list[Message] = []
        self._target = b""
        self._headers: Headers = []
        self._body: bytes | bytearray = b""
        self._is_in_head = False
        self._streamed_bytes = 0  # bytes of a streamed body that have been read
        self._streamed_part: bytes | bytearray = b""  # of the current read, not in the flow yet
        self._is_http_1_1 = True
        self._chunk_tracker: ChunkTracker | None = None  # of a chunked body
        self._is_length_declared = False  # there is a Content-Length or Transfer-Encoding header
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    def feed(self, data: bytes | memoryview) -> list[Message]:
        """Parse input; return the messages that are emitted. Must not be called after an `error`."""
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
            self.error = _without_traceback(error)
        except httptools.HttpParserUpgrade:
            self.error = BadMessageError(HTTPStatus.BAD_REQUEST, "upgrades are not supported")
        except httptools.HttpParserCallbackError as callback_error:
            if not isinstance(callback_error.__context__, BadMessageError):
                raise
            self.error = _without_traceback(callback_error.__context__)
        except httptools.HttpParserError as parser_error:
            self.error = BadMessageError(HTTPStatus.BAD_REQUEST, f"malformed HTTP: {parser_error}")
        self._flush_streamed_part()
        if self._chunk_tracker is not None:
            self._chunk_tracker.end_read(data)
        return self._take_messages()

    def _take_messages(self) -> list[Message]:
        """Return the emitted messages, and keep no reference to them."""
        messages, self._messages = self._messages, []
        return messages

    def finish(self) -> list[Message]:
        """Handle the end of the connection; return the message whose body ends with it, if there is one."""
        self._messages = []
        if self._ends_with_connection and self.has_begun and not self._is_in_head:
            self.on_message_complete()
        return self._take_messages()

    def on_message_complete(self) -> None:
        raise NotImplementedError

    @property
    def held_bytes(self) -> int:
        """An upper bound of the memory that the incomplete message takes: a field is several objects."""
        copies = 2 if self._is_in_head else 1  # an incomplete head is kept as bytes, too
        return copies * self.pending_bytes + FIELD_BYTES * len(self._headers)

    @property
    def is_in_body(self) -> bool:
        """Whether a message's head is complete and its body is not."""
        return self.has_begun and not self._is_in_head

    def discard_partial_message(self) -> None:
        """Discard an incomplete message. Must not be followed by `feed`."""
        self._target, self._headers, self._body, self.pending_bytes = b"", [], b"", 0

    def close(self) -> None:
        """Release everything when the connection is over.

        Parser, reader and connection refer to each other, and the garbage collector would free them much
        later.
        """
        del self._parser
        self._make_flow, self.body_flow, self.clock = None, None, _zero_clock
        self.discard_partial_message()

    def _check_limits(self) -> None:
        # The parser buffers a line until it is complete, so an endless line shows only in the byte count.
        if self._is_in_head and self.pending_bytes > MAX_HEAD_BYTES:
            raise BadMessageError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
        if self._framing_bytes > MAX_FRAMING_BYTES:
            raise BadMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the message has too much framing")

    def on_message_begin(self) -> None:
        if self._max_messages is not None and len(self._messages) >= self._max_messages:
            raise TooManyMessagesError
        self.has_begun = self._is_in_head = True
        self._began_at = self.read_at
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
        if not self._is_in_head:  # trailers are dropped: the message was interpreted without them
            return
        if len(self._headers) >= MAX_HEAD_FIELDS:
            raise BadMessageError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head has too many fields")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._is_in_head = False
        # The same read may hold the end of the previous message, which reset the byte count.
        if max(self.pending_bytes, self._read_bytes) > MAX_HEAD_BYTES and self._head_size() > MAX_HEAD_BYTES:
            raise BadMessageError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
        version = self._parser.get_http_version()
        self._is_http_1_1 = version != "1.0"
        if version not in _VERSIONS:
            raise BadMessageError(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "the HTTP version is not 1.0 or 1.1")
        self._framing_bytes = 0  # the head has a limit of its own; the count starts behind it
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
        """Emit a message that is too large to be buffered; the rest of its body goes into a flow."""
        if self._make_flow is None:
            raise BadMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
        self.body_flow = self._make_flow(self._body_length)
        self.pending_bytes = 0
        body, self._body = bytes(self._body), b""
        self._emit_streamed_message(body, self.body_flow)

    def _emit_streamed_message(self, body: bytes, body_flow: Flow | None) -> None:
        """Emit the current message with the start of its body and the flow for the rest."""
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
        if not self._body:  # nearly all bodies come in one piece
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
        """Return what is still to come of the streamed body; None if that is unknown at the moment."""
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
        if not self._streamed_part:
            self._streamed_part = data
        else:
            if isinstance(self._streamed_part, bytes):
                self._streamed_part = bytearray(self._streamed_part)
            self._streamed_part += data

    def _flush_streamed_part(self) -> None:
        """Put the body data of the current read into the flow: at once, as it may be chunks of one byte."""
        if self._streamed_part and self.body_flow is not None:
            data, self._streamed_part = bytes(self._streamed_part), b""
            self.body_flow.put(data, self.clock())

    def _complete_message(self, method: bytes, status: int) -> None:
        self._flush_streamed_part()
        if self.body_flow is not None:
            self.body_flow.end()
            self.body_flow = None
        else:
            body, self._body = bytes(self._body), b""
            self._emit_message(method, status, body, None)
        self.expects_continue = self.has_begun = False
        self._chunk_tracker = None
        self.pending_bytes = self._streamed_bytes = self._framing_bytes = 0

    def _emit_message(self, method: bytes, status: int, body: bytes, body_flow: Flow | None) -> None:
        keep_alive = self._parser.should_keep_alive()
        message = Message(method, self._target, status, self._headers, body, keep_alive)
        self._headers = []
        message.body_flow, message.is_http_1_1 = body_flow, self._is_http_1_1
        message.began_at = self._began_at
        self._messages.append(message)


def _zero_clock() -> float:
    return 0.0


def _without_traceback(error: BadMessageError) -> BadMessageError:
    """Return an error that is kept: its traceback would keep the reader and the input alive."""
    error.__context__ = None
    return error.with_traceback(None)


def _parse_body_length(framing_headers: Headers) -> int | None:
    """Return the declared length of a body; None if the body is chunked or its length is not declared.

    An unusual declaration is rejected: a host that reads it differently would find another message inside
    the body (request smuggling).
    """
    if not framing_headers:
        return None
    (name, value), *extra_headers = framing_headers
    if extra_headers or (value != b"chunked" if name == b"transfer-encoding" else not value.isdigit()):
        raise BadMessageError(HTTPStatus.BAD_REQUEST, "the body length is declared ambiguously")
    if name != b"content-length":
        return None
    if len(value) > 9 or int(value) > MAX_BODY_BYTES:
        raise BadMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
    return int(value)


class RequestReader(_MessageReader):
    """Reads requests."""

    def __init__(
        self, make_flow: Callable[[int | None], Flow] | None = None, max_messages: int | None = None
    ) -> None:
        super().__init__(make_flow, max_messages)
        self._parser: httptools.HttpRequestParser = httptools.HttpRequestParser(self)
        # The bytes of an incomplete head; None if it is unknown where the head starts.
        self._partial_head: bytes | None = b""

    def feed(self, data: bytes | memoryview) -> list[Message]:
        had_begun = self.has_begun
        messages = super().feed(data)
        if self.error is not None or not (self.has_begun and self._is_in_head):
            self._partial_head = b""
        elif messages or (had_begun and not self._partial_head):  # it began behind another message in a read
            self._partial_head = None
        elif self._partial_head is not None:
            self._partial_head += bytes(data)
        return messages

    def discard_partial_message(self) -> None:
        super().discard_partial_message()
        self._partial_head = b""

    def replayable_input(self) -> bytes | None:
        """Return the input that brings another reader to the state of this one, between or in messages.

        None if that is not possible at the moment, or if the current message was emitted already.
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
        """Continue in the body of a request that another reader emitted; return the flow for the rest.

        `length`: of the whole body, if it is declared; `received_bytes`: bytes of it that were read there.
        """
        assert self._make_flow is not None
        self._parser.feed_data(request_head(remainder))
        self.body_flow = self.body_flow or self._make_flow(length)
        self.body_flow.length = length  # the head that was fed declared the remaining length
        self._messages, self._headers, self._body = [], [], b""
        self._body_length, self._streamed_bytes, self.pending_bytes = length, received_bytes, 0
        self.expects_continue = False
        if remainder.framing is Framing.CHUNKED:
            self._chunk_tracker = ChunkTracker(remainder.bytes_left)
        return self.body_flow

    @property
    def remaining_bytes(self) -> int | None:
        """Bytes of the streamed body that have not been read; None if its length is not declared."""
        return None if self._body_length is None else self._body_length - self._streamed_bytes

    @property
    def streamed_bytes(self) -> int:
        """Bytes of the streamed body that have been read."""
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
    """Convert a request target in absolute form (RFC 9112, 3.2.2) to origin form; return others unchanged."""
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
    """Reads answers."""

    def __init__(
        self, make_flow: Callable[[int | None], Flow] | None = None, max_messages: int | None = None
    ) -> None:
        super().__init__(make_flow, max_messages)
        self.is_answer_to_head = False  # the next answer is to a HEAD: it has no body, whatever it declares
        # An answer to a HEAD was emitted; the framing of anything behind it is unknown.
        self.has_bodyless_answer = False
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

    @property
    def collected_bytes(self) -> int:
        """Bytes of the body that is being collected."""
        return len(self._body)

    @property
    def is_collecting(self) -> bool:
        """Whether a successful answer of undeclared length is collected until it is whole or large."""
        return (
            self.is_in_body
            and self._make_flow is not None
            and self.body_flow is None
            and self.error is None
            and self._body_length is None
            and len(self._body) > 0
            and self._parser.get_status_code() == HTTPStatus.OK
        )

    def stream_collected(self) -> Message | None:
        """Emit the answer that is being collected with a flow for the rest; None if there is none."""
        if not self.is_collecting:
            return None
        self._streamed_bytes = len(self._body)
        self._start_streaming()
        return self._take_messages()[0]

    def on_body(self, data: bytes) -> None:
        if not self.has_bodyless_answer:
            super().on_body(data)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status >= 200 and not self.has_bodyless_answer:  # interim answers (1xx) are skipped
            self._complete_message(b"", status)

    def _emit_streamed_message(self, body: bytes, body_flow: Flow | None) -> None:
        self._emit_message(b"", self._parser.get_status_code(), body, body_flow)


class ReaderProtocol(asyncio.BufferedProtocol):
    """The receiving end of a connection. All share one buffer, as each read is consumed before the next."""

    def __init__(self, reader: RequestReader | ResponseReader, window: ReadWindow) -> None:
        """`window`: the size of a read."""
        self._reader = reader
        self._window = window

    def get_buffer(self, sizehint: int) -> memoryview:
        return _READ_BUFFER if self._window.size >= MAX_READ_BYTES else _READ_BUFFER[: self._window.size]

    def buffer_updated(self, nbytes: int) -> None:
        self.handle_input(_READ_BUFFER[:nbytes])

    def handle_input(self, data: memoryview) -> None:
        """Consume the bytes of one read; `data` is valid only during the call."""
        raise NotImplementedError
