"""HTTP/1.1 messages and their serialization. No I/O.

A `Message` is a request or an answer as a reader (`http.py`) emits it. Requests are serialized for hosts and
answers for clients without the headers that concern one connection.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus

from whinrouter.streaming.flow import Flow

Headers = list[tuple[bytes, bytes]]

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # a larger body is streamed
# A larger body that has arrived completely before it is sent anywhere is held like a small one, up to this
# size: a buffered part and the read behind it.
MAX_HELD_BODY_BYTES = 2 * MAX_BUFFERED_BODY_BYTES

_STATUS_LINES = {
    status.value: b"HTTP/1.1 %d %b" % (status.value, status.phrase.encode()) for status in HTTPStatus
}

# These headers concern one connection, not the message (RFC 9110, 7.6.1), or are generated anew.
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
# Forwarded always: a client could otherwise remove them by naming them in Connection.
_END_TO_END_HEADERS = frozenset((b"x-request-id", b"idempotency-key"))


class BadMessageError(Exception):
    """The input is not an acceptable message; `status` is the HTTP status to answer its sender with."""

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class TooManyMessagesError(BadMessageError):
    """One read holds more messages than the reader may emit."""

    def __init__(self) -> None:
        super().__init__(HTTPStatus.TOO_MANY_REQUESTS, "too many messages in one read")


@dataclass(slots=True)
class Message:
    """A request or an answer, complete or with its body streamed."""

    method: bytes = b""
    target: bytes = b""
    status: int = 0
    headers: Headers = field(default_factory=list)  # names in lower case
    body: bytes = b""
    keep_alive: bool = True
    began_at: float = 0.0  # loop time at which its first bytes arrived, read or not
    arrived_at: float = 0.0  # loop time at which its last bytes arrived, read or not
    forwarded_head: bytes = b""  # the head as hosts get it, cached when it is first sent
    is_http_1_1: bool = True  # the sender speaks HTTP/1.1 and so understands chunks
    body_flow: Flow | None = None  # the body behind `body`, if it is streamed
    # Of a request with a streamed body: for how long the client waits from the end of the body.
    client_timeout_seconds: float = 0.0
    # Of a request: its answer is given only if it is here completely, as the process may be killed soon.
    needs_whole_answer: bool = False

    def hold_received_body(self) -> None:
        """Move a streamed body that has arrived completely into `body`, unless it is too large to be held.

        A body that is held can be sent more than once, also by two attempts at a time; a streamed one can't.
        """
        if self.body_flow is None:
            return
        rest = self.body_flow.take_received(MAX_HELD_BODY_BYTES - len(self.body))
        if rest is not None:
            self.body, self.body_flow = self.body + rest, None

    def get(self, name: bytes) -> str | None:
        """Return the first value of a header; None if there is none."""
        for header_name, value in self.headers:
            if header_name == name:
                return value.decode("latin-1").strip()
        return None


def forwarded_headers(headers: Headers) -> Headers:
    """Return the headers to forward: all but the hop-by-hop ones."""
    forwarded = [header for header in headers if header[0] not in _HOP_BY_HOP_HEADERS]
    if len(forwarded) == len(headers):
        return forwarded
    for name, value in headers:
        if name == b"connection":
            listed = {listed_name.strip().lower() for listed_name in value.split(b",")} - _END_TO_END_HEADERS
            forwarded = [header for header in forwarded if header[0] not in listed]
    return forwarded


def serialize_request(message: Message, remaining_seconds: float) -> bytes:
    """Return a client's request as a host gets it, with the remaining time as its deadline."""
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
    """Return one chunk of a chunked body; `data` must not be empty."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def _framing_header(length: int | None) -> bytes:
    return b"transfer-encoding: chunked" if length is None else b"content-length: %d" % length


def serialize_answer_head(
    status: int, headers: Headers, length: int | None, is_chunked: bool, closes: bool
) -> bytes:
    """Return the head of an answer whose body has this length, is chunked, or ends with the connection."""
    lines = [_STATUS_LINES.get(status) or b"HTTP/1.1 %d Unknown" % status]
    lines += [b"%b: %b" % header for header in forwarded_headers(headers)]
    if is_chunked or length is not None:
        lines.append(_framing_header(length))
    if closes:
        lines.append(b"connection: close")
    return b"%b\r\n\r\n" % b"\r\n".join(lines)


def serialize_answer(status: int, headers: Headers, body: bytes, closes: bool) -> bytes:
    """Return a whole answer; `closes`: announce that the connection closes behind it."""
    lines = [_STATUS_LINES.get(status) or b"HTTP/1.1 %d Unknown" % status]
    lines += [b"%b: %b" % header for header in forwarded_headers(headers)]
    lines.append(b"content-length: %d" % len(body))
    if closes:
        lines.append(b"connection: close")
    return b"%b\r\n\r\n%b" % (b"\r\n".join(lines), body)
