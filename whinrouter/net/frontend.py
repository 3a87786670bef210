"""Client connections: requests in, one answer each, and `/up`."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import re
import socket
from collections import OrderedDict, deque
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from itertools import islice
from random import Random
from typing import Any

from whinrouter.interface import SECOND, RequestId, Settings
from whinrouter.invariants.lifecycle import CloseReason
from whinrouter.net.attempt import AttemptConnection, TargetHost
from whinrouter.net.connect import Listener
from whinrouter.net.connection_state import ConnectionState
from whinrouter.net.gateway import DEADLINE_MARGIN_MICROSECONDS, Answer, Gateway, HandedOverRequest
from whinrouter.net.http import (
    LAST_CHUNK,
    MAX_BODY_BYTES,
    BadMessageError,
    Headers,
    Message,
    ReaderProtocol,
    RequestReader,
    encode_chunk,
    serialize_answer,
    serialize_answer_head,
)
from whinrouter.net.interpreter import RequestInterpreter
from whinrouter.net.priority_selector import PrioritySelector
from whinrouter.net.routes import Routes
from whinrouter.net.sockets import (
    acknowledged_bytes,
    close_now,
    has_peer_closed,
    has_unread,
    reset,
    seconds_since_received,
)
from whinrouter.net.transport import SocketTransport
from whinrouter.operations.presence import Presence
from whinrouter.overload_control import OverloadControl
from whinrouter.streaming.flow import GRACE_SECONDS, MIN_BODY_RATE, READER_TIMEOUT_SECONDS, Flow, RateFloor
from whinrouter.streaming.remainder import Remainder

log = logging.getLogger(__name__)

MAX_PIPELINED_REQUESTS = 4  # requests that a client may send ahead on one connection; most send none
MAX_BUFFERED_BYTES = (
    4 * 1024 * 1024
)  # bytes of requests that wait or have not come whole, of all clients together
# Seconds within which a head must be whole, from its connection's start or its own: slow clients take
# two. Those who open connections and send nothing, or begin and never end, are gone before they have waited
# for three. From its head on a body has the time that its bytes earn (`flow.py`).
RECEIVE_TIMEOUT_SECONDS = 2.4
# Seconds for which a connection is kept after an answer. Some clients ask once and never close, and clients
# together have only so many connections.
IDLE_TIMEOUT_SECONDS = 2.5
# Part of the limit from which on idle connections make room for new ones. Clients may have fewer places
# than we do, as behind an address translation, in a pool of their own or, here, by the platform's cap of a
# third of the descriptors; those that ask once and never close would fill these, and nobody could ask while
# we had room. It covers any pile of idle connections, leaked ones too. It could hurt where more clients
# than this ask seldom: each then connects anew, and what crosses a close is sent twice.
IDLE_EVICTION_SHARE = 0.5
MAX_UNPARSED_BYTES = 4096  # bytes of a request that may be refused without being parsed
RETRY_AFTER_SECONDS = (
    0.2,
    0.6,
)  # seconds after which those are to come back, spread: some intervals of ownlimit.py
# Seconds for which a client may go on sending what was rejected, before its bytes earn it more (`RateFloor`).
# To close at once would reset a client that still sends, and its answer with it.
LINGER_SECONDS = 0.5
SWEEP_INTERVAL_SECONDS = 0.25  # seconds between looks at who is overdue
# Seconds that a request needs to be sent on at all, of a process that is ended soon: its answer's way, and as
# much for the host.
MIN_REMAINING_SECONDS = 2 * DEADLINE_MARGIN_MICROSECONDS / SECOND
# Seconds after which a client that asked may have left again: it is looked at before its request is taken.
CLIENT_LEFT_CHECK_SECONDS = 0.05
# Connections that are looked at to make room for one. Those with something unread go to the end of the line,
# so that a crowd of them costs each newcomer no more than these few looks.
MAX_EVICTION_CHECKS = 8
# Connections past the limit that are kept for one request each, to refuse it with an answer: a bare close
# leaves a client to guess whether its request was heard. Their descriptors are reserved (RESERVED in
# program.py).
MAX_SURPLUS_CONNECTIONS = 8
_FRAMING_HEADER = re.compile(
    rb"\n(?:content-length|transfer-encoding|expect|upgrade|connection)[ \t]*:", re.IGNORECASE
)


class Frontend:
    """The listener and its connections."""

    def __init__(
        self,
        gateway: Gateway,
        settings: Settings,
        max_connections: int,
        selector: PrioritySelector | None = None,
        routes: Routes | None = None,
        max_buffered_bytes: int | None = None,
    ) -> None:
        """`door`: the selector of this loop, if it knows of the process's own limit.

        `routes`: where paths lead, for an application that knows nothing of classes; its requests need no id.
        """
        self.gateway = gateway
        self.overload = (
            selector.overload if selector else OverloadControl(kind.aim / SECOND for kind in settings.classes)
        )
        self.selector = selector
        self.interpreter = RequestInterpreter(settings, routes)
        self._max_buffered_bytes = MAX_BUFFERED_BYTES if max_buffered_bytes is None else max_buffered_bytes
        self._is_sweeping = False
        self._sends_retry_after = settings.sends_retry_after
        self._random = Random()
        self.max_connections = max_connections  # connections at most
        self.connections: set[ClientConnection] = set()
        self.surplus_connections: set[ClientConnection] = set()  # those of them that are past the limit
        # Those with no request in work, in the order in which they make room for others.
        self.inactive_connections: OrderedDict[ClientConnection, None] = OrderedDict()
        # Those with a body on its way, in either direction.
        self.streaming_connections: set[ClientConnection] = set()
        self.active_request_ids: set[str] = set()  # of the requests in work
        self.buffered_bytes = 0  # bytes of requests that are not in work yet
        self.presence = Presence()
        self._loop = asyncio.get_running_loop()
        self.listener = Listener(lambda: ClientConnection(self))

    def listen(self, host: str, port: int, inherited: int | None = None) -> Coroutine[Any, Any, int]:
        """Take connections, once awaited; return the port, which 0 leaves to the system.

        `inherited`: the descriptor of a socket that listens already.
        """
        self.listener.bind(host, port, inherited)
        if self.selector is not None and self.listener.descriptor is not None:
            self.selector.listener_descriptors.add(self.listener.descriptor)
        if not self._is_sweeping:  # it may listen anew
            self._is_sweeping = True
            self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)
        return self.listener.serve()

    @property
    def is_buffer_full(self) -> bool:
        """Whether more waits than may."""
        return self.buffered_bytes > self._max_buffered_bytes

    @property
    def longest_deadline_seconds(self) -> float:
        """Seconds in which each request that is here is over, by the settings in force and those before."""
        return self.interpreter.longest_deadline / SECOND

    def remaining_seconds(self) -> float:
        """Seconds within which a request that comes now is to be answered, whatever its client says."""
        longest_deadline, now = self.longest_deadline_seconds, self._loop.time()
        remaining, last_answer_at = (
            self.presence.time_left(now, longest_deadline),
            self.presence.answer_deadline(longest_deadline),
        )
        return min(
            longest_deadline if remaining is None else remaining,
            longest_deadline if last_answer_at is None else last_answer_at - now,
        )

    def stop(self) -> None:
        """The process ends: what begins or comes whole from now on has its answer before the kill."""
        now = self._loop.time()
        self.presence.stop(now)
        last_answer_at = self.presence.answer_deadline(self.longest_deadline_seconds)
        if last_answer_at is not None:
            self.gateway.limit_answer_time(last_answer_at - now)

    def refuse_incomplete_requests(self) -> None:
        """The last moment for answers has come: what is still being received can't be taken any more."""
        for client in list(self.connections):
            client.refuse_incomplete_request()

    @property
    def is_ready(self) -> bool:
        return self.gateway.has_host_list and self.presence.accepts_clients

    def apply_settings(self, settings: Settings, max_connections: int, routes: Routes | None = None) -> None:
        """Go by other settings. What clients have sent by the old ones still comes in for a while."""
        self.interpreter.apply_settings(settings, self._loop.time(), routes)
        self._sends_retry_after, self.max_connections = settings.sends_retry_after, max_connections
        self.overload.set_aims(kind.aim / SECOND for kind in settings.classes)

    @property
    def has_room(self) -> bool:
        """Whether a connection of another process may go on here, without one that makes room for it."""
        return len(self.connections) < IDLE_EVICTION_SHARE * self.max_connections

    def adopt_connection(self, endpoint: socket.socket, unsent: bytes) -> ClientConnection:
        """Go on with a connection of another process; it neither reads nor writes until it is thawed."""
        client = ClientConnection(self)
        SocketTransport(endpoint, client, unsent, is_frozen=True)
        return client

    def close_listener(self) -> None:
        """Take no new connection."""
        if self.listener.descriptor is not None and self.selector is not None:
            self.selector.listener_descriptors.discard(self.listener.descriptor)
        self.listener.close()

    def close(self) -> None:
        """Take no new connection, and close those that are between requests."""
        self.close_listener()
        for client in list(self.connections):
            client.close_if_idle()

    def admit(self, client: ClientConnection) -> bool:
        """Hold no more than the limit: descriptors would run out, and connections to hosts would fail.

        Whoever has waited longest without a request in work makes room: a client just opens another. Those
        that are idle do so well before the limit. Nobody does who is owed a part of an answer, or from whom
        something waits unread: it may be a whole request, which ending its connection would lose.
        """
        if len(self.connections) >= self.max_connections:
            has_evicted = self._evict_connection(lambda other: other.is_idle)
            if not (has_evicted or self._evict_connection(lambda other: other.is_evictable)):
                return False
        elif len(self.connections) >= IDLE_EVICTION_SHARE * self.max_connections:
            self._evict_connection(lambda other: other.is_idle)
        self.connections.add(client)
        return True

    def admit_surplus(self, client: ClientConnection) -> bool:
        """Keep a connection past the limit for one request that is to be refused, if few are kept so."""
        if len(self.surplus_connections) >= MAX_SURPLUS_CONNECTIONS:
            return False
        self.surplus_connections.add(client)
        self.connections.add(client)
        return True

    def _evict_connection(self, is_evictable: Callable[[ClientConnection], bool]) -> bool:
        """Close the one that has waited longest of those that may go; False if none of the first few may."""
        candidates = (
            other for other in self.inactive_connections if is_evictable(other) and not other.unsent_bytes
        )
        for other in list(islice(candidates, MAX_EVICTION_CHECKS)):
            if other.has_nothing_unread or other.is_lingering:
                other.abort_connection(CloseReason.MAKES_ROOM)
                return True
            self.inactive_connections.move_to_end(other)
        return False

    def _sweep(self) -> None:
        self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)  # before anything that could fail
        now = self._loop.time()
        for client in [client for client in self.inactive_connections if client.wait_deadline <= now]:
            # With something unread the loop may be late, not the peer; after that time nobody waits any more.
            if client.has_nothing_unread or client.wait_deadline + self.longest_deadline_seconds <= now:
                client.time_out()
        for client in [client for client in self.streaming_connections if client.is_stalled(now)]:
            client.abort_stalled()
        idle_allowance = self.presence.idle_timeout(now)
        if idle_allowance is not None:
            for client in [
                client for client in self.inactive_connections if client.waiting_since <= now - idle_allowance
            ]:
                client.close_if_idle()

    def overload_response(self) -> bytes:
        """The answer to a request that waited too long unread: nobody has heard of it."""
        return serialize_answer(HTTPStatus.SERVICE_UNAVAILABLE, self.retry_after_headers(), b"", True)

    def retry_after_headers(self) -> Headers:
        """When whoever is refused for want of room is to come back, if the settings let that be said."""
        if not self._sends_retry_after:
            return []
        return [(b"retry-after", b"%.3f" % self._random.uniform(*RETRY_AFTER_SECONDS))]


class ClientConnection(ReaderProtocol):
    """One client's connection; its requests are handled one after the other."""

    def __init__(self, frontend: Frontend) -> None:
        self._request_reader = RequestReader(self._start_body)
        super().__init__(self._request_reader)
        self._frontend = frontend
        self._incoming_flow: Flow | None = (
            None  # a body that comes, of the request in work or of one behind it
        )
        self._request_flow: Flow | None = None  # that of the request in work
        self._answer_flow: Flow | None = None  # of its answer, while it is passed on
        self._is_answer_chunked = False  # and how
        self._is_http_1_1 = True  # it speaks HTTP/1.1
        self._had_streamed_answer = False  # its last answer was passed on, and a part of it may be here still
        self._is_lingering = False  # its answer is out, and what still comes of its body is read and dropped
        self._discarded_bytes = 0  # bytes that came after what was rejected
        self._loop = asyncio.get_running_loop()
        self._request_reader.clock = self._loop.time
        self._transport: asyncio.Transport | None = None
        self._queued_requests: deque[Message] = deque()
        self._is_busy = False
        self._request_id: RequestId | None = None
        self._client_request_id = ""
        self._closes_after_answer = False  # after the answer that is due
        self._is_input_ignored = False  # whatever comes now is not read any more
        self._has_too_many_queued = False  # it sent too much ahead
        self._is_surplus = False  # it came at the limit of connections: its one request is refused
        self._is_writing_paused = False  # the client does not take what was written to it
        self._descriptor = -1
        self._awaits_first_bytes = True  # nothing has come yet
        self._timed_message = 1  # the message whose time to come runs: the first, from the connection's start
        self._body_message = 0  # the message whose body has begun
        self._receive_pace = RateFloor(0.0)  # of that body, or of what is dropped
        self._counted_bytes = 0  # its part of what all have buffered
        self.waiting_since = 0.0  # loop time from which it waits
        self.wait_deadline = 0.0  # and at which it has waited long enough

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._frontend.selector is not None:
            self._descriptor = transport.get_extra_info("socket").fileno()
            self._frontend.selector.client_descriptors.add(self._descriptor)
        if self._frontend.admit(self):
            self._start_waiting(RECEIVE_TIMEOUT_SECONDS)
        elif self._frontend.admit_surplus(self):
            self._is_surplus = self._closes_after_answer = True
            self._start_waiting(LINGER_SECONDS)
        else:
            self._record_close(CloseReason.SURPLUS)
            self._is_input_ignored = True
            transport.abort()

    @property
    def is_idle(self) -> bool:
        """Whether it is between requests: none is owed an answer, and none has begun to come."""
        return not (
            self._is_busy or self._queued_requests or self._is_input_ignored or self._request_reader.has_begun
        )

    @property
    def unsent_bytes(self) -> int:
        """Bytes of its last answer that the system has not taken yet."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    @property
    def is_lingering(self) -> bool:
        """Whether its answer is out, and what still comes of its request is dropped."""
        return self._is_lingering

    @property
    def is_evictable(self) -> bool:
        """Whether ending it loses no request that is whole, as far as was read."""
        return not (self._is_busy or self._queued_requests)

    @property
    def has_nothing_unread(self) -> bool:
        """Whether nothing waits unread, nor will be read."""
        return self._is_input_ignored or self._transport is None or not has_unread(self._transport)

    def _start_waiting(self, seconds: float) -> None:
        self.waiting_since = self._loop.time()
        self.wait_deadline = self.waiting_since + seconds
        self._frontend.inactive_connections[self] = None
        self._frontend.inactive_connections.move_to_end(self)

    def handle_input(self, data: memoryview) -> None:
        if self._is_input_ignored:
            self._discard_input(len(data))
            return
        arrived_at = self._check_arrival(data)
        if arrived_at is not None:
            self._process_input(data, arrived_at)

    def _process_input(self, data: bytes | memoryview, arrived_at: float) -> None:
        """Take bytes that were here at this loop time."""
        reader = self._request_reader
        messages = reader.feed(data)
        for message in messages:
            message.arrived_at = arrived_at
        self._queued_requests.extend(messages)
        body = self._incoming_flow
        if body is not None and body.is_received and body is self._incoming_flow:
            self._complete_body(body)
        if self._is_input_ignored:
            return
        if (
            reader.pending_bytes or self._counted_bytes or len(self._queued_requests) > 1
        ):  # else all of it begins now, or is idle
            self._update_buffered_bytes()
        if reader.error is not None:
            self._handle_malformed_input(reader.error.status)
        elif len(self._queued_requests) > MAX_PIPELINED_REQUESTS or self._frontend.is_buffer_full:
            self._reject_excess_requests()
        else:
            self._start_next_request()
            self._track_receive_progress(len(data))

    def _handle_malformed_input(self, status: HTTPStatus) -> None:
        """Nothing that follows can be told apart."""
        if self._is_lingering:  # its answer is out: what it was to is no matter any more
            self._close_after_output(CloseReason.ANSWERED)
        elif self._answer_flow is not None:  # a part of an answer has gone out, and the rest of it is due
            self._stop_input()
            self._closes_after_answer = True
        else:
            self._reject(status)

    def _check_arrival(self, data: memoryview) -> float | None:
        """The loop time at which these bytes were here; None if nothing more is to be done with them."""
        assert self._transport is not None
        is_first_read, self._awaits_first_bytes, selector = (
            self._awaits_first_bytes,
            False,
            self._frontend.selector,
        )
        now, unread_seconds = (
            self._loop.time(),
            selector.unread_seconds(self._transport, is_first_read)
            if selector
            else seconds_since_received(self._transport),
        )
        is_new_request = not (self._is_busy or self._queued_requests or self._request_reader.has_begun)
        if (
            is_new_request
            and self._frontend.overload.should_reject(unread_seconds, now)
            and self._refuse_unparsed(data)
        ):
            return None
        # By the longest that it can have been: what the system tells of it is not always to be believed.
        max_unread_seconds = selector.max_unread_seconds(is_first_read) if selector else unread_seconds
        if max_unread_seconds > min(
            self._frontend.overload.target, CLIENT_LEFT_CHECK_SECONDS
        ) and has_peer_closed(self._transport):
            self.abort_connection(CloseReason.CLIENT_LEFT)  # all that it could cause is work for nobody
            return None
        return now - unread_seconds

    def _refuse_unparsed(self, data: memoryview) -> bool:
        """Refuse a whole request without a look into it, if it is plain enough that its end is sure."""
        text = bytes(data[: MAX_UNPARSED_BYTES + 1])
        if (
            len(text) > MAX_UNPARSED_BYTES
            or not text.startswith(b"GET /")
            or text.find(b"\r\n\r\n") != len(text) - 4
        ):
            return False
        if text.startswith(b"GET /up ") or _FRAMING_HEADER.search(text) or self._transport is None:
            return False
        if has_unread(self._transport):  # to close over another request would lose it
            return False
        # Kept, it would ask again at once; anew, it waits to be accepted, which costs nothing here.
        self._transport.write(self._frontend.overload_response())
        self._record_close(CloseReason.OVERLOAD)
        self._stop_input()
        self._transport.close()
        return True

    def _start_body(self, length: int | None) -> Flow:
        if self._incoming_flow is not None:  # the body before this one ended in the same read
            self._complete_body(self._incoming_flow)
        self._incoming_flow = Flow(self, length, self._loop.time(), GRACE_SECONDS, MIN_BODY_RATE)
        self._frontend.streaming_connections.add(self)
        return self._incoming_flow

    def _complete_body(self, body: Flow) -> None:
        self._incoming_flow = None
        if self._answer_flow is None:
            self._frontend.streaming_connections.discard(self)
        if self._is_lingering:
            self._close_after_output(CloseReason.ANSWERED)
        elif body is self._request_flow and self._request_id is not None:
            self._frontend.gateway.complete_body(self._request_id)

    @property
    def _is_last_request(self) -> bool:
        """Whether the request in work is to be the last: no more are wanted, and none that is whole waits."""
        return not (self._frontend.presence.accepts_clients or self._queued_requests)

    @property
    def _awaits_body(self) -> bool:
        """Whether the body of the request in work is to come yet."""
        return self._request_flow is not None and not self._request_flow.is_received

    def pause_reading(self) -> None:
        """The host takes no more for now."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def cancel_reading(self) -> None:
        """Nobody takes the body's rest, and there is no answer to it."""
        self.abort_connection(CloseReason.ANSWER_BROKEN)

    def write_body(self, data: bytes) -> None:
        """A piece of the answer's body."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encode_chunk(data) if self._is_answer_chunked else data)

    def finish_body(self) -> None:
        """The answer is whole."""
        self._answer_flow, self._had_streamed_answer = None, True
        if self._incoming_flow is None:
            self._frontend.streaming_connections.discard(self)
        if self._is_answer_chunked and self._transport is not None and not self._transport.is_closing():
            self._transport.write(LAST_CHUNK)
        self._finish_streamed_answer()

    def abort_body(self) -> None:
        """The answer's rest will not come: a reset, so that the client can tell."""
        self._answer_flow = None
        self._frontend.inactive_connections.pop(self, None)
        self._record_close(CloseReason.ANSWER_BROKEN)
        self._is_input_ignored = True
        if self._transport is not None:
            reset(self._transport)

    def bytes_delivered(self) -> int:
        return acknowledged_bytes(self._transport) if self._transport is not None else -1

    @property
    def state(self) -> ConnectionState:
        """What it is in the middle of."""
        if self._transport is None or self._is_surplus or self._has_too_many_queued or self._is_lingering:
            return ConnectionState.ENDING
        if self._answer_flow is not None:
            return ConnectionState.ANSWERING if self._incoming_flow is None else ConnectionState.WAITING
        if self._is_busy:
            return ConnectionState.UPLOADING if self._awaits_body else ConnectionState.WAITING
        if self._queued_requests or self._incoming_flow is not None:
            return ConnectionState.WAITING
        if self._is_input_ignored or self._transport.is_closing():
            return ConnectionState.FLUSHING if self.unsent_bytes else ConnectionState.ENDING
        return ConnectionState.RECEIVING if self._request_reader.has_begun else ConnectionState.IDLE

    @property
    def request_id(self) -> RequestId | None:
        """The one in work."""
        return self._request_id

    @property
    def answer_flow(self) -> Flow | None:
        """The body of the answer that is on its way."""
        return self._answer_flow

    @property
    def request_flow(self) -> Flow | None:
        """The body of the request in work, while it comes."""
        return self._request_flow

    @property
    def is_answer_chunked(self) -> bool:
        """Whether the answer that is on its way goes out in chunks."""
        return self._is_answer_chunked

    @property
    def closes_after_answer(self) -> bool:
        """Whether it closes behind the answer that is due."""
        return self._closes_after_answer or not self._is_http_1_1

    @property
    def request_reader(self) -> RequestReader:
        """The reader of what it sends."""
        return self._request_reader

    def freeze(self) -> bytes:
        """Neither read nor write; the bytes that have not gone out."""
        return self._transport.freeze() if isinstance(self._transport, SocketTransport) else b""

    def thaw(self) -> None:
        """Read and write again."""
        if isinstance(self._transport, SocketTransport):
            self._transport.thaw()

    def abandon(self) -> None:
        """It stays with the process that offered it: forget it, without a word to its client."""
        self._record_close(CloseReason.PASSED_ON)
        self._is_input_ignored = True
        if self._transport is not None:
            self._transport.abort()

    def resume_input(self, incoming: bytes) -> None:
        """Go on from these bytes, which another process read and has not used."""
        self._awaits_first_bytes = False
        self._had_streamed_answer = (
            self.unsent_bytes > 0
        )  # a slow reader may take long over the last part of an answer
        self.thaw()
        if incoming:
            self._process_input(incoming, self._loop.time())

    def flush_and_close(self) -> None:
        """Close once what another process left unsent has gone out."""
        self._record_close(CloseReason.ANSWERED)
        self._stop_input()
        self._start_waiting(IDLE_TIMEOUT_SECONDS)
        self._had_streamed_answer = True  # the last part of an answer, which a slow reader may take long over
        self.thaw()
        if self._transport is not None:
            self._transport.close()

    def resume_upload(
        self,
        handed_over: HandedOverRequest,
        remainder: Remainder,
        received_bytes: int,
        length: int | None,
        closes: bool,
    ) -> Flow:
        """Be in the middle of a request that another process sent on; the flow that its rest goes into."""
        self._awaits_first_bytes, self._is_busy, self._closes_after_answer = False, True, closes
        self._frontend.inactive_connections.pop(self, None)
        self._request_flow = body = self._request_reader.resume_body(remainder, length, received_bytes)
        self._timed_message = self._request_reader.message_count
        self._client_request_id = handed_over.client_request_id
        self._frontend.active_request_ids.add(handed_over.client_request_id)
        return body

    def resume_request(
        self, handed_over: HandedOverRequest, body: Flow, host: TargetHost, connection: AttemptConnection
    ) -> None:
        """Have the gateway go on with that request over the connection to its host."""
        gateway = self._frontend.gateway
        request_id = gateway.adopt_request(
            handed_over, body, self._send_answer, self.close_if_client_left, host, connection
        )
        if self._is_busy:
            self._request_id = request_id

    @property
    def descriptor(self) -> int:
        """Its socket's."""
        return int(self._transport.get_extra_info("socket").fileno()) if self._transport is not None else -1

    def release_connection(self) -> None:
        """Another process goes on with it: the connection is closed here without a word."""
        self._record_close(CloseReason.PASSED_ON)
        if (
            self._request_id is not None
            and self._request_flow is not None
            and not self._request_flow.is_received
        ):
            self._request_flow.release()
            self._frontend.gateway.release_request(self._request_id)
        self._incoming_flow = self._request_flow = self._answer_flow = None
        self._frontend.streaming_connections.discard(self)
        self._stop_input()
        self._is_busy, self._request_id = False, None
        self._release_request_id()
        if self._transport is not None:
            self._transport.abort()

    def is_stalled(self, now: float) -> bool:
        """Whether a body on its way is not moved."""
        return self._sends_too_slowly(now) or (
            self._answer_flow is not None and self._answer_flow.is_overdue(now)
        )

    def _sends_too_slowly(self, now: float) -> bool:
        """Whether the body that comes is overdue; with something unread the loop is late, not the client."""
        body = self._incoming_flow
        if body is None or not body.is_overdue(now):
            return False
        loop_is_late = (
            not body.is_source_paused and self._transport is not None and has_unread(self._transport)
        )
        return not loop_is_late or body.is_overdue(now - self._frontend.longest_deadline_seconds)

    def abort_stalled(self) -> None:
        """The client does not send its body, or take its answer, or the host does not give it."""
        self._frontend.streaming_connections.discard(self)
        log.warning(
            "a body is not moved any more: to the client %s, from it %s",
            self._answer_flow,
            self._incoming_flow,
        )
        if self._answer_flow is None and self._incoming_flow is not None:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.abort_connection(CloseReason.BODY_STALLED)

    def _update_buffered_bytes(self) -> None:
        buffered_bytes = (
            sum(len(message.body) for message in self._queued_requests) + self._request_reader.pending_bytes
        )
        self._frontend.buffered_bytes += buffered_bytes - self._counted_bytes
        self._counted_bytes = buffered_bytes

    def _track_receive_progress(self, byte_count: int) -> None:
        if self._is_lingering:
            self._extend_deadline(byte_count)
        if self._is_busy or self._is_lingering or not self._request_reader.has_begun:
            return
        now = self._loop.time()
        if self._request_reader.message_count > self._timed_message:
            self._timed_message = self._request_reader.message_count
            self._start_waiting(RECEIVE_TIMEOUT_SECONDS)
        elif self._request_reader.is_in_body:
            if self._body_message == self._timed_message:
                self._receive_pace.credit(byte_count, now)
            else:
                self._body_message, self._receive_pace = self._timed_message, RateFloor(now)
            self.wait_deadline = self._receive_pace.due
        if self._request_reader.expects_continue and self._transport is not None:
            self._request_reader.expects_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _stop_input(self) -> None:
        self._is_input_ignored = True
        self._queued_requests.clear()
        self._request_reader.discard_partial_message()
        self._update_buffered_bytes()

    def refuse_incomplete_request(self) -> None:
        """Refuse a request of which a part has come, and nothing was sent on; close if there is none."""
        if self.is_idle:
            self.close_if_idle()
        elif (
            self.is_evictable
            and self._request_reader.has_begun
            and not (self._is_input_ignored or self._is_lingering)
        ):
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE, CloseReason.SHUTDOWN)

    def _reject(self, status: HTTPStatus, reason: CloseReason = CloseReason.BAD_INPUT) -> None:
        """Nothing that comes after this can be told apart any more.

        A request in work ends with it: what follows shows that its length was wrong, and so what it held.
        """
        self._record_close(reason)
        self._end_request()
        self._stop_input()
        self._closes_after_answer = True
        self._write_answer(Answer(status))
        # To close with bytes unread would reset the connection, and could take this answer with it.
        if self._transport is not None and not self._transport.is_closing():
            with contextlib.suppress(OSError):  # the client reset it while it was not read
                self._transport.write_eof()
            self._start_waiting(LINGER_SECONDS)
            self._frontend.inactive_connections.move_to_end(self, last=False)  # the first to make room
            self._receive_pace.due = self.wait_deadline

    def _refuse(self, status: HTTPStatus) -> None:
        """A request that can't be taken; its body, if that is to come yet, is read and dropped."""
        if self._awaits_body:
            self._closes_after_answer = True
            self._finish_request(Answer(status))
            self._start_lingering()
        else:
            self._reject(status)

    def _discard_input(self, byte_count: int) -> None:
        """Bytes came behind what was rejected: a client that still sends has not read its answer yet."""
        self._discarded_bytes += byte_count
        if self._discarded_bytes <= MAX_BODY_BYTES:
            self._extend_deadline(byte_count)

    def _extend_deadline(self, byte_count: int) -> None:
        """Give a client that still sends what nobody wants the time that so many bytes earn."""
        self._receive_pace.credit(byte_count, self._loop.time())
        self.wait_deadline = self._receive_pace.due

    def _reject_excess_requests(self) -> None:
        """It sends more than may wait. What is in work may have run: only its own answer will do for that."""
        self._stop_input()
        self._has_too_many_queued = True
        if not self._is_busy:
            self._reject(HTTPStatus.TOO_MANY_REQUESTS)

    def close_if_client_left(self) -> bool:
        """Whether the client has left, though the loop may not have been told yet; its connection ends then.

        The loop is told late where it runs late or the client's socket waits its turn at the own limit, and
        where nothing is read for now, as the host takes no more of a body.
        """
        if self._transport is None or self._transport.is_closing():
            return True
        if not has_peer_closed(self._transport):
            return False
        self.abort_connection(CloseReason.CLIENT_LEFT)
        return True

    def _continue_with_queued(self) -> None:
        """What waited behind another request is next, if anybody waits for it still."""
        if not self._queued_requests or self._is_input_ignored or not self.close_if_client_left():
            self._start_next_request()

    def _start_next_request(self) -> None:
        while self._queued_requests and not self._is_busy and not self._is_writing_paused:
            message = self._queued_requests.popleft()
            if self._counted_bytes:
                self._update_buffered_bytes()
            self._is_busy = True
            self._frontend.inactive_connections.pop(self, None)
            self._had_streamed_answer = False
            self._closes_after_answer = self._closes_after_answer or not message.keep_alive
            self._is_http_1_1, self._request_flow = message.is_http_1_1, message.body_flow
            try:
                self._start_request(message)
            except BadMessageError as error:
                self._refuse(error.status)
            except Exception:
                log.exception("failed on a request")
                self._send_answer(Answer(HTTPStatus.INTERNAL_SERVER_ERROR))

    def _start_request(self, message: Message) -> None:
        if message.target == b"/up" and message.method == b"GET":
            self._send_answer(
                Answer(HTTPStatus.OK if self._frontend.is_ready else HTTPStatus.SERVICE_UNAVAILABLE)
            )
            return
        frontend = self._frontend
        if self._is_surplus:
            self._send_answer(Answer(HTTPStatus.SERVICE_UNAVAILABLE, frontend.retry_after_headers()))
            return
        client_request = frontend.interpreter.interpret(message, self._loop.time())
        client_request_id = client_request.client_request_id
        if client_request_id in frontend.active_request_ids:
            # Hosts tell requests apart by their ids: a second one could have the first's effect again.
            raise BadMessageError(HTTPStatus.BAD_REQUEST, "the id is in use")
        if not frontend.presence.accepts_clients:
            remaining = frontend.remaining_seconds()
            if remaining <= MIN_REMAINING_SECONDS:
                self._send_answer(Answer(HTTPStatus.SERVICE_UNAVAILABLE))
                return
            client_request = client_request._replace(
                timeout=min(client_request.timeout, round(remaining * SECOND))
            )
        self._client_request_id = client_request_id
        frontend.active_request_ids.add(client_request_id)
        unread_seconds = max(0.0, self._loop.time() - message.arrived_at)
        request_id = frontend.gateway.submit_request(
            client_request, self._send_answer, unread_seconds, self.close_if_client_left
        )
        if self._is_busy:  # it may have its answer already
            self._request_id = request_id
            if (
                message.body_flow is not None
                and self._request_reader.expects_continue
                and self._transport is not None
            ):
                self._request_reader.expects_continue = False  # somebody wants the body
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def pause_writing(self) -> None:
        """Answers nobody reads must not pile up: the next request waits, and so does what is passed on."""
        self._is_writing_paused = True
        if self._answer_flow is not None:
            self._answer_flow.sink_full(self._loop.time())

    def resume_writing(self) -> None:
        self._is_writing_paused = False
        if self._answer_flow is not None:
            self._answer_flow.sink_ready(self._loop.time())
        self._continue_with_queued()

    def _send_answer(self, answer: Answer) -> None:
        if not self._is_busy:
            return
        if answer.body_flow is not None:
            self._stream_answer(answer, answer.body_flow)
            return
        if self._awaits_body:  # the answer is here before the request
            self._closes_after_answer = True
            self._finish_request(answer)
            self._start_lingering()
            return
        self._finish_request(answer)
        self._close_or_wait()

    def _start_lingering(self) -> None:
        """Read and drop what still comes of a body whose request has its answer; then close.

        To close at once would reset the connection under a client that still sends, and take with it an
        answer that was not read yet. The client has the time that its bytes earn (`RateFloor`), until its
        body has come or is longer than any may be; it makes room for others where there is none left.
        """
        now = self._loop.time()
        self._is_lingering, self._receive_pace = True, RateFloor(now)
        self._frontend.streaming_connections.discard(self)
        if self._request_flow is not None:
            self._request_flow.discard(now)
        self._start_waiting(GRACE_SECONDS)
        self._frontend.inactive_connections.move_to_end(self, last=False)

    def _stream_answer(self, answer: Answer, body_flow: Flow) -> None:
        """Its body goes on as it comes."""
        self._closes_after_answer = self._closes_after_answer or self._is_last_request or self._awaits_body
        length, transport = body_flow.length, self._transport
        self._is_answer_chunked = length is None and self._is_http_1_1
        self._closes_after_answer = self._closes_after_answer or (length is None and not self._is_http_1_1)
        if transport is None or transport.is_closing():
            body_flow.cancel()
            return
        self._answer_flow = body_flow
        self._frontend.streaming_connections.add(self)
        transport.write(
            serialize_answer_head(
                answer.status, answer.headers, length, self._is_answer_chunked, self._closes_after_answer
            )
        )
        if answer.body:
            self.write_body(answer.body)
        body_flow.attach(self, self._loop.time())
        if self._is_writing_paused and self._answer_flow is body_flow:
            body_flow.sink_full(self._loop.time())

    def _finish_streamed_answer(self) -> None:
        """An answer that was passed on is whole."""
        self._is_busy, self._request_id = False, None
        self._release_request_id()
        if self._awaits_body:
            self._start_lingering()
        else:
            self._close_or_wait()

    def _finish_request(self, answer: Answer) -> None:
        self._is_busy, self._request_id = False, None
        self._release_request_id()
        self._closes_after_answer = (
            self._closes_after_answer or self._is_last_request
        ) and not self._has_too_many_queued
        self._write_answer(answer)

    def _close_or_wait(self) -> None:
        """Its answer is out: the connection ends, or waits for the next request."""
        if self._has_too_many_queued:
            self._reject(HTTPStatus.TOO_MANY_REQUESTS)
            return
        if self._closes_after_answer and self._transport is not None:
            self._record_close(CloseReason.ANSWERED)
            self._stop_input()
            self._transport.close()
        self._start_waiting(
            RECEIVE_TIMEOUT_SECONDS if self._request_reader.has_begun else IDLE_TIMEOUT_SECONDS
        )
        self._timed_message = self._request_reader.message_count
        if self._queued_requests:
            self._loop.call_soon(self._continue_with_queued)

    def _write_answer(self, answer: Answer) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(
                serialize_answer(answer.status, answer.headers, answer.body, self._closes_after_answer)
            )

    def time_out(self) -> None:
        """It has waited long enough: for a request, the rest of one, or its last answer to be read.

        Of a long answer a slow reader may have a last part to come for as long as any takes.
        """
        if (
            self._had_streamed_answer
            and self.unsent_bytes
            and self._loop.time() < self.wait_deadline + READER_TIMEOUT_SECONDS
        ):
            return
        if self._request_reader.has_begun and not (self._is_input_ignored or self._is_lingering):
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.abort_connection(
                CloseReason.BODY_STALLED if self._is_writing_paused else CloseReason.OVERDUE
            )

    def _record_close(self, reason: CloseReason) -> None:
        """Have the guard look at a close, before anything of what is owed is forgotten."""
        gateway = self._frontend.gateway
        is_owed = self._is_busy or bool(self._queued_requests)
        gateway.guards.connection_closed(self._request_id or 0, is_owed, reason, gateway.clock.now())

    def abort_connection(self, reason: CloseReason) -> None:
        """Close it now; what it is owed goes with it."""
        self._frontend.inactive_connections.pop(self, None)
        if not self._is_input_ignored:
            self._record_close(reason)
        self._is_input_ignored = True
        if self._transport is not None:
            close_now(self._transport)

    def close_if_idle(self) -> None:
        """Close it if it is between requests; one that has begun to come is still taken."""
        if self.is_idle and self.has_nothing_unread:
            self._close_after_output(CloseReason.IDLE)

    def _close_after_output(self, reason: CloseReason) -> None:
        """Close it; what it is owed still goes out."""
        if not self._is_input_ignored:
            self._record_close(reason)
        self._is_input_ignored = True
        if self._transport is not None:
            if self.unsent_bytes:
                self._transport.close()
            else:
                close_now(self._transport)

    def eof_received(self) -> None:
        """The client has left: nothing of it that waits here is sent on.

        The transport closes after this, though only once what the client is owed has gone out; room for more
        of that would begin its next request.
        """
        self._record_close(CloseReason.CLIENT_LEFT)
        self._stop_input()
        self._end_request()

    def connection_lost(self, exc: Exception | None) -> None:
        self._frontend.connections.discard(self)
        self._frontend.surplus_connections.discard(self)
        if self._frontend.selector is not None:
            self._frontend.selector.client_descriptors.discard(self._descriptor)
        self._frontend.inactive_connections.pop(self, None)
        self._frontend.buffered_bytes -= self._counted_bytes
        self._counted_bytes = 0
        self._is_input_ignored = self._closes_after_answer = True
        self._queued_requests.clear()
        self._frontend.streaming_connections.discard(self)
        self._end_request()
        self._request_reader.close()

    def _end_request(self) -> None:
        """Give up the one in work: nothing is owed to it, and its id is free."""
        request_id, self._request_id = self._request_id, None
        self._is_busy = False
        self._release_request_id()
        if request_id is not None:
            self._frontend.gateway.abandon_request(request_id)
        request_flows, self._incoming_flow, self._request_flow = (
            (self._incoming_flow, self._request_flow),
            None,
            None,
        )
        answer_flow, self._answer_flow = self._answer_flow, None
        for flow in request_flows:
            if flow is not None:
                flow.fail()
        if answer_flow is not None:
            answer_flow.cancel()

    def _release_request_id(self) -> None:
        self._frontend.active_request_ids.discard(self._client_request_id)
        self._client_request_id = ""
