"""Client connections: reads requests, sends one answer to each, and answers `/up`.

`Frontend` owns the listener and its connections, limits their number and the bytes that are buffered for
them, and times out inactive ones in a periodic sweep. `ClientConnection` handles the requests of one
connection one after the other; its states, as a handover sees them, are in `connection_state.py`:

    inactive --request complete, or head of a streamed body--> busy --final answer--> inactive
    busy --answer before the end of the request body--> lingering: the rest of the body is read and discarded
    inactive or lingering --deadline, eviction, error--> closed

A connection is in `Frontend.inactive_connections` while no request is in progress on it, and in
`Frontend.streaming_connections` while a body is streamed in either direction. A request is in progress once
it was submitted to the gateway. Before a connection is closed, the guards record why (`_record_close`).
"""

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
from whinrouter.memory_budget import ReadWindow
from whinrouter.net.attempt import AttemptConnection, TargetHost
from whinrouter.net.connect import Listener
from whinrouter.net.connection_state import ConnectionState
from whinrouter.net.gateway import DEADLINE_MARGIN_MICROSECONDS, Answer, Gateway, HandedOverRequest
from whinrouter.net.http import MAX_BODY_BYTES, ReaderProtocol, RequestReader
from whinrouter.net.http_messages import (
    LAST_CHUNK,
    BadMessageError,
    Headers,
    Message,
    TooManyMessagesError,
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
    unread_bytes,
)
from whinrouter.net.transport import SocketTransport
from whinrouter.operations.presence import Presence
from whinrouter.overload_control import OverloadControl
from whinrouter.streaming.flow import GRACE_SECONDS, MIN_BODY_RATE, READER_TIMEOUT_SECONDS, Flow, RateFloor
from whinrouter.streaming.remainder import Remainder

log = logging.getLogger(__name__)

MAX_PIPELINED_REQUESTS = 4  # requests that a client may send ahead on one connection; most send none
MAX_BUFFERED_BYTES = 4 * 1024 * 1024  # of all clients' requests, but for those that are streamed
# A request of this size is kept even if all together exceed the limit: large ones must not shut it out.
MAX_FREE_REQUEST_BYTES = 4 * 1024
# The time for a request head, counted from the start of the connection or of the head: slow clients take 2 s.
# Clients that open connections and send nothing, or never complete a request, are closed within 3 s. The
# time for the body behind a head grows with the bytes that arrive (`RateFloor` in `flow.py`).
RECEIVE_TIMEOUT_SECONDS = 2.4
# The time for which a connection is kept open after an answer. Some clients send one request and never close,
# and all clients together have only so many connections.
IDLE_TIMEOUT_SECONDS = 2.5
# The share of the connection limit above which a new connection evicts an idle one. Clients may be able to
# open fewer connections than the gateway accepts: behind address translation, with a connection pool of their
# own, or because the platform caps them at a third of the descriptors. Clients that send one request and
# never close would use these up, and nobody could connect although the gateway had room. The share covers
# any accumulation of idle connections, leaked ones included. Its cost appears where more clients than this
# send requests rarely: each has to reconnect, and a request that crosses a close is sent twice.
IDLE_EVICTION_SHARE = 0.5
# Within this time behind the deadline of an upload whose last byte may be unread, a host may still accept it.
# An answer is of use for half a second behind its deadline, of which the sweep takes a half.
UPLOAD_SLACK_SECONDS = 0.1
# Below the limit a connection on which nothing has arrived is not evicted before this age: the request for
# which its client has opened it is on its way.
MIN_SILENT_SECONDS = 0.1
# Share of the connection limit for uploads in progress: each holds a connection to a host for as long as its
# client takes, and other requests need some.
MAX_UPLOAD_SHARE = 0.5
MAX_UNPARSED_BYTES = 4096  # of a request that may be refused without being parsed
# The range from which Retry-After is drawn, to spread refused clients: a few intervals of the overload
# detection.
RETRY_AFTER_SECONDS = (0.2, 0.6)
# The time for which a client may keep sending after a rejection; it grows with the bytes that arrive
# (`RateFloor`). An immediate close would reset a client that is still sending, and the answer would be lost
# with it.
LINGER_SECONDS = 0.5
SWEEP_INTERVAL_SECONDS = 0.25
# A stopping process forwards a request only if this much time remains: a margin for the answer's way, and as
# much for the host.
MIN_REMAINING_SECONDS = 2 * DEADLINE_MARGIN_MICROSECONDS / SECOND
# If a request waited unread for longer than this, its client may have left: the gateway checks before it
# accepts the request.
CLIENT_LEFT_CHECK_SECONDS = 0.05
# Connections that are checked to find one to evict. Those with unread input move to the end of the queue, so
# that many of them cost each new connection only this many checks.
MAX_EVICTION_CHECKS = 8
# Connections above the limit that are kept open for one request each, to refuse it with an answer: a bare
# close leaves a client to guess whether its request was received. Their descriptors are reserved
# (RESERVED_DESCRIPTORS in program.py).
MAX_SURPLUS_CONNECTIONS = 8
_FRAMING_HEADER = re.compile(
    rb"\n(?:content-length|transfer-encoding|expect|upgrade|connection)[ \t]*:", re.IGNORECASE
)


class Frontend:
    """The client listener and its connections."""

    def __init__(
        self,
        gateway: Gateway,
        settings: Settings,
        max_connections: int,
        selector: PrioritySelector | None = None,
        routes: Routes | None = None,
        max_buffered_bytes: int | None = None,
        window: ReadWindow | None = None,
    ) -> None:
        """`selector`: the selector of this loop, if it is a `PrioritySelector`.

        `routes`: map paths to classes, for an application that knows nothing of classes; its requests need no
        id. `max_buffered_bytes`: the limit, if not `MAX_BUFFERED_BYTES`. `window`: the size of a read.
        """
        self.window = window or ReadWindow()
        self.gateway = gateway
        self.overload = (
            selector.overload
            if selector
            else OverloadControl(request_class.aim / SECOND for request_class in settings.classes)
        )
        self.selector = selector
        self.interpreter = RequestInterpreter(settings, routes)
        self._max_buffered_bytes = MAX_BUFFERED_BYTES if max_buffered_bytes is None else max_buffered_bytes
        self._is_sweeping = False
        self._sends_retry_after = settings.sends_retry_after
        self._random = Random()
        self.max_connections = max_connections
        self.connections: set[ClientConnection] = set()
        self.surplus_connections: set[ClientConnection] = set()  # the connections above the limit
        # Connections without a request in progress, in the order in which they are evicted.
        self.inactive_connections: OrderedDict[ClientConnection, None] = OrderedDict()
        # Connections with a streamed body, in either direction.
        self.streaming_connections: set[ClientConnection] = set()
        self.active_request_ids: set[str] = set()  # X-Request-Id of the requests in progress
        self.buffered_bytes = 0  # of requests that are not in progress yet
        self.presence = Presence()
        self._loop = asyncio.get_running_loop()
        self.listener = Listener(lambda: ClientConnection(self))

    def listen(self, host: str, port: int, inherited: int | None = None) -> Coroutine[Any, Any, int]:
        """Bind now; start to accept and return the port once awaited. Port 0 lets the system choose one.

        `inherited`: the descriptor of a socket that listens already.
        """
        self.listener.bind(host, port, inherited)
        if self.selector is not None and self.listener.descriptor is not None:
            self.selector.listener_descriptors.add(self.listener.descriptor)
        if not self._is_sweeping:  # this may be a second call of `listen`
            self._is_sweeping = True
            self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)
        return self.listener.serve()

    @property
    def is_buffer_full(self) -> bool:
        """Whether the requests that are held exceed the limit."""
        return self.buffered_bytes > self._max_buffered_bytes

    def make_buffer_room(self) -> None:
        """Reject incomplete requests while the limit is exceeded.

        First those that hold much and have waited long for the rest of it.
        """
        now = self._loop.time()
        while self.is_buffer_full:
            holders = [connection for connection in self.connections if connection.may_be_rejected]
            if not holders:
                return
            max(holders, key=lambda connection: connection.held_byte_seconds(now)).reject_incomplete()

    @property
    def has_too_many_uploads(self) -> bool:
        """Whether uploads in progress hold their share of the connections to hosts."""
        max_uploads = MAX_UPLOAD_SHARE * self.max_connections
        return len(self.streaming_connections) > max_uploads and (
            sum(client.is_uploading for client in self.streaming_connections) >= max_uploads
        )

    def add_streaming(self, client: ClientConnection) -> None:
        """Note that a body is streamed from or to a client."""
        self.streaming_connections.add(client)
        self.window.set_flow_count(len(self.streaming_connections))

    def remove_streaming(self, client: ClientConnection) -> None:
        """Note that no body is streamed from or to a client any more."""
        self.streaming_connections.discard(client)
        self.window.set_flow_count(len(self.streaming_connections))

    @property
    def longest_deadline_seconds(self) -> float:
        """The longest deadline of the settings in force, after which the platform may kill the process."""
        return self.interpreter.classes.longest_deadline / SECOND

    @property
    def open_request_seconds(self) -> float:
        """The time within which every request in progress is over, also one of former settings."""
        return self.interpreter.classes.longest_open_deadline(self._loop.time()) / SECOND

    def remaining_seconds(self) -> float:
        """Return the seconds within which a new request must be answered, whatever its own deadline."""
        longest_deadline, now = self.longest_deadline_seconds, self._loop.time()
        remaining, last_answer_at = (
            self.presence.time_left(now, longest_deadline),
            self.presence.answer_deadline(longest_deadline),
        )
        return min(
            longest_deadline if remaining is None else remaining,
            longest_deadline if last_answer_at is None else last_answer_at - now,
        )

    def stop(self, is_replaced: bool = False) -> None:
        """Prepare for the end of the process.

        Requests that arrive or become complete from now on are answered before the process is killed.
        `is_replaced`: another process takes over the answers that are on their way by then.
        """
        now = self._loop.time()
        self.presence.stop(now)
        last_answer_at = self.presence.answer_deadline(self.longest_deadline_seconds)
        whole_answers_from = None if is_replaced else self.presence.whole_answers_from
        if last_answer_at is not None:
            self.gateway.limit_answer_time(
                last_answer_at - now, None if whole_answers_from is None else whole_answers_from - now
            )

    def refuse_incomplete_requests(self) -> None:
        """Refuse the requests that are still being received, as the last moment for answers has come."""
        for client in list(self.connections):
            client.refuse_incomplete_request()

    @property
    def is_ready(self) -> bool:
        """Whether `/up` answers 200: there is a list of hosts, and the process is not stopping."""
        return self.gateway.has_host_list and self.presence.accepts_clients

    def apply_settings(self, settings: Settings, max_connections: int, routes: Routes | None = None) -> None:
        """Use new settings; for a while, requests that were sent under the old ones may still arrive."""
        self.interpreter.apply_settings(settings, self._loop.time(), routes)
        self._sends_retry_after, self.max_connections = settings.sends_retry_after, max_connections
        self.overload.set_aims(request_class.aim / SECOND for request_class in settings.classes)

    @property
    def has_room_for_idle(self) -> bool:
        """Whether an idle connection of another process can be adopted without an eviction."""
        return len(self.connections) < IDLE_EVICTION_SHARE * self.max_connections

    def adopt_connection(self, endpoint: socket.socket, unsent: bytes) -> ClientConnection:
        """Adopt a connection of another process; it is frozen. `unsent`: output that goes out first.

        It may exceed the limit on connections, which is low while the other process holds descriptors.
        """
        client = ClientConnection(self, is_adopted=True)
        SocketTransport(endpoint, client, unsent, is_frozen=True)
        return client

    def close_listener(self) -> None:
        """Stop accepting connections."""
        if self.listener.descriptor is not None and self.selector is not None:
            self.selector.listener_descriptors.discard(self.listener.descriptor)
        self.listener.close()

    def close(self) -> None:
        """Stop accepting connections, and close the idle ones."""
        self.close_listener()
        for client in list(self.connections):
            client.close_if_idle()

    def admit(self, client: ClientConnection) -> bool:
        """Admit a new connection, evicting another one if needed; False at the limit.

        Without a limit descriptors would run out, and connections to hosts would fail. The connection that
        has been inactive for longest is evicted, as its client can simply reconnect; idle connections are
        evicted well below the limit. A connection with unsent output or unread input is not evicted: the
        input may be a whole request, which would be lost.
        """
        if len(self.connections) >= self.max_connections:
            if not self._evict_at_limit():
                return False
        elif len(self.connections) >= IDLE_EVICTION_SHARE * self.max_connections:
            self._evict_connection(_is_idle, self._loop.time() - MIN_SILENT_SECONDS)
        self.connections.add(client)
        return True

    def _evict_at_limit(self) -> bool:
        """Evict the connection that loses least; False if there is none.

        First an idle one, then one whose last answer is out, then one whose first request may be on its way,
        at last one with an incomplete request.
        """
        return (
            self._evict_connection(_is_idle, self._loop.time() - MIN_SILENT_SECONDS)
            or self._evict_connection(lambda connection: connection.has_last_answer)
            or self._evict_connection(_is_idle)
            or self._evict_connection(lambda connection: connection.is_evictable)
        )

    def admit_surplus(self, client: ClientConnection) -> bool:
        """Keep a connection above the limit for one request, to refuse it; False if there are too many."""
        if len(self.surplus_connections) >= MAX_SURPLUS_CONNECTIONS:
            return False
        self.surplus_connections.add(client)
        self.connections.add(client)
        return True

    def _evict_connection(
        self, is_evictable: Callable[[ClientConnection], bool], opened_by: float | None = None
    ) -> bool:
        """Close the longest inactive connection that may be evicted; False if none of the first few may.

        `opened_by`: a connection on which nothing has arrived is evicted only if it was opened by this loop
        time; None: whenever it was opened.
        """
        candidates = (
            connection
            for connection in self.inactive_connections
            if is_evictable(connection) and not connection.unsent_bytes
        )
        for connection in list(islice(candidates, MAX_EVICTION_CHECKS)):
            is_quiet = connection.has_nothing_unread or connection.is_lingering
            if is_quiet and (opened_by is None or not connection.is_new_since(opened_by)):
                connection.abort_connection(CloseReason.MAKES_ROOM)
                return True
            self.inactive_connections.move_to_end(connection)
        return False

    def _sweep(self) -> None:
        """Close connections that are overdue or stalled and, in a stopping process, idle ones earlier."""
        self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)  # before anything that could fail
        now = self._loop.time()
        for client in [client for client in self.inactive_connections if client.wait_deadline <= now]:
            # With unread input the loop may be late, not the peer; after the longest deadline nobody waits.
            if client.has_nothing_unread or client.wait_deadline + self.open_request_seconds <= now:
                client.time_out()
        for client in [client for client in self.streaming_connections if client.is_stalled(now)]:
            client.abort_stalled()
        for client in [client for client in self.streaming_connections if client.is_upload_overdue(now)]:
            client.expire_upload()
        idle_allowance = self.presence.idle_timeout(now)
        if idle_allowance is not None:
            for client in [
                client for client in self.inactive_connections if client.waiting_since <= now - idle_allowance
            ]:
                client.close_if_idle()

    def overload_response(self) -> bytes:
        """Return the refusal of a request that waited unread for too long; no host has received it."""
        return serialize_answer(HTTPStatus.SERVICE_UNAVAILABLE, self.retry_after_headers(), b"", True)

    def retry_after_headers(self) -> Headers:
        """Return a Retry-After header for a client that is refused under load, if the settings allow it."""
        if not self._sends_retry_after:
            return []
        return [(b"retry-after", b"%.3f" % self._random.uniform(*RETRY_AFTER_SECONDS))]


def _is_idle(connection: ClientConnection) -> bool:
    return connection.is_idle


class ClientConnection(ReaderProtocol):
    """A client connection; its requests are handled one after the other."""

    def __init__(self, frontend: Frontend, is_adopted: bool = False) -> None:
        """`is_adopted`: another process has accepted the connection."""
        # More messages in one read are rejected, so that they need not even be parsed.
        self._request_reader = RequestReader(self._start_body, MAX_PIPELINED_REQUESTS + 1)
        super().__init__(self._request_reader, frontend.window)
        self._frontend = frontend
        # The body that is being received, of the request in progress or of a queued one.
        self._incoming_flow: Flow | None = None
        self._request_flow: Flow | None = None  # the streamed body of the request in progress
        self._answer_flow: Flow | None = None  # the body of the answer that is being streamed
        self._is_answer_chunked = False
        self._is_http_1_1 = True  # the client speaks HTTP/1.1
        self._had_streamed_answer = False  # the last answer was streamed, and a part of it may be unsent
        self._is_lingering = False  # the answer is out, and the rest of the request body is discarded
        self._discarded_bytes = 0  # read after a rejection
        self._loop = asyncio.get_running_loop()
        self._request_reader.clock = self._loop.time
        self._transport: asyncio.Transport | None = None
        self._queued_requests: deque[Message] = deque()
        self._is_busy = False  # a request is in progress
        self._request_id: RequestId | None = None  # the gateway's id of the request in progress
        self._client_request_id = ""  # its X-Request-Id
        self._closes_after_answer = False  # the connection closes after the current answer
        self._is_input_ignored = False  # input is discarded from now on
        self._has_too_many_queued = False  # the client sent too many requests ahead
        self._is_adopted = is_adopted
        self._is_surplus = False  # accepted above the connection limit: its one request is refused
        self._is_writing_paused = False  # the client does not read what was written to it
        self._descriptor = -1
        self._awaits_first_bytes = True  # nothing has been read yet
        self._has_backlog = False  # more input was unread behind the latest read, or reading was paused
        # The number of the message whose receive timeout runs. The timeout of the first message starts with
        # the connection.
        self._timed_message = 1
        self._body_message = 0  # the number of the message whose body has begun
        self._receive_pace = RateFloor(0.0)  # of that body, or of the discarded input
        self._counted_bytes = 0  # the part of `Frontend.buffered_bytes` that is due to this connection
        self._current_request: Message | None = None  # the request in progress, if it has a body
        self._received_at = 0.0  # loop time of the latest input
        self.waiting_since = 0.0  # loop time at which the connection became inactive
        self.wait_deadline = 0.0  # loop time at which the sweep closes it

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._frontend.selector is not None:
            self._descriptor = transport.get_extra_info("socket").fileno()
            self._frontend.selector.client_descriptors.add(self._descriptor)
        if self._is_adopted:
            self._frontend.connections.add(self)
            self._start_waiting(RECEIVE_TIMEOUT_SECONDS)
        elif self._frontend.admit(self):
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
        """Whether the connection is between requests: none is unanswered, and none is being received."""
        return not (
            self._is_busy or self._queued_requests or self._is_input_ignored or self._request_reader.has_begun
        )

    def is_new_since(self, opened_by: float) -> bool:
        """Whether the connection was opened after this loop time, and nothing has arrived on it."""
        return self._awaits_first_bytes and self.waiting_since > opened_by

    @property
    def unsent_bytes(self) -> int:
        """Bytes of output that the kernel has not accepted yet."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    @property
    def is_lingering(self) -> bool:
        """Whether the answer is out while the rest of the request body is still read and discarded."""
        return self._is_lingering

    @property
    def has_last_answer(self) -> bool:
        """Whether the last answer is out, and further input is discarded."""
        return self.is_evictable and (self._is_input_ignored or self._is_lingering)

    @property
    def is_evictable(self) -> bool:
        """Whether closing the connection loses no complete request that has been read."""
        return not (self._is_busy or self._queued_requests)

    @property
    def has_nothing_unread(self) -> bool:
        """Whether the socket holds no unread input, or further input is ignored anyway."""
        return self._is_input_ignored or self._transport is None or not has_unread(self._transport)

    def _start_waiting(self, seconds: float) -> None:
        """Make the connection inactive; the sweep times it out after this time."""
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

    def _process_input(
        self, data: bytes | memoryview, arrived_at: float, began_at: float | None = None
    ) -> None:
        """Parse input that arrived at this loop time, and start the next request.

        `began_at`: the time at which a request in it began, if that was earlier.
        """
        reader, is_full_read = self._request_reader, len(data) >= self._window.size
        reader.read_at = arrived_at if began_at is None else began_at
        if self._incoming_flow is not None:
            self._incoming_flow.arrival.read(len(data), self._loop.time())
        messages = reader.feed(data)
        for message in messages:
            message.arrived_at = arrived_at
        self._queued_requests.extend(messages)
        if self._incoming_flow is not None:
            self._track_body(self._incoming_flow, is_full_read)
        if self._is_input_ignored:
            return
        # Otherwise nothing is held: the only request starts now and has no body, or there is none.
        has_body = len(messages) > 0 and len(messages[-1].body) > 0
        if reader.pending_bytes or self._counted_bytes or has_body or len(self._queued_requests) > 1:
            self._update_buffered_bytes()
        if reader.error is not None and not isinstance(reader.error, TooManyMessagesError):
            self._handle_malformed_input(reader.error.status)
        elif len(self._queued_requests) > MAX_PIPELINED_REQUESTS:
            self._reject_excess_requests()
        else:
            self._received_at = self._loop.time()
            if self._has_buffer_room():
                self._start_next_request()
                self._track_receive_progress(len(data))

    def _has_buffer_room(self) -> bool:
        """Whether the request may be kept; if not, it has been rejected. An upload in progress is kept."""
        if self._frontend.is_buffer_full:
            self._frontend.make_buffer_room()
        is_large = self._counted_bytes > MAX_FREE_REQUEST_BYTES
        if self._frontend.is_buffer_full and is_large and not self.is_uploading:
            self._reject_excess_requests()
        return not self._is_input_ignored

    def _handle_malformed_input(self, status: HTTPStatus) -> None:
        """Handle malformed input: the boundaries of anything that follows are unknown."""
        if self._is_lingering:  # the request has its answer already
            self._close_after_output(CloseReason.ANSWERED)
        elif self._answer_flow is not None:  # a part of an answer has been sent, and the rest must follow
            self._stop_input()
            self._closes_after_answer = True
        else:
            self._reject(status)

    def _check_arrival(self, data: memoryview) -> float | None:
        """Return the loop time at which this input arrived; None if it needs no further processing.

        Under overload a request that waited too long is refused here; input of a client that has left is
        dropped.
        """
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
        # Uses the upper bound of the waiting time, as the kernel's figure is not always reliable.
        max_unread_seconds = selector.max_unread_seconds(is_first_read) if selector else unread_seconds
        may_have_left = self._has_backlog or max_unread_seconds > min(
            self._frontend.overload.target, CLIENT_LEFT_CHECK_SECONDS
        )
        self._has_backlog = len(data) >= self._window.size
        if may_have_left and has_peer_closed(self._transport):
            self.abort_connection(CloseReason.CLIENT_LEFT)  # nobody waits for the result
            return None
        return now - unread_seconds

    def _refuse_unparsed(self, data: memoryview) -> bool:
        """Refuse one whole request without parsing it; False if it is not certain where the request ends."""
        text = bytes(data[: MAX_UNPARSED_BYTES + 1])
        if (
            len(text) > MAX_UNPARSED_BYTES
            or not text.startswith(b"GET /")
            or text.find(b"\r\n\r\n") != len(text) - 4
        ):
            return False
        if text.startswith(b"GET /up ") or _FRAMING_HEADER.search(text) or self._transport is None:
            return False
        if has_unread(self._transport):  # closing would lose the next request
            return False
        # On an open connection the client could retry at once; a new connection has to wait in the backlog,
        # which costs nothing here.
        self._transport.write(self._frontend.overload_response())
        self._record_close(CloseReason.OVERLOAD)
        self._stop_input()
        self._transport.close()
        return True

    def _start_body(self, length: int | None) -> Flow:
        """Return a new flow for a request body. `length`: its bytes; None if the length is not declared."""
        if self._incoming_flow is not None:  # the previous body ended in the same read
            self._complete_body(self._incoming_flow)
        self._incoming_flow = Flow(
            self, length, self._loop.time(), GRACE_SECONDS, MIN_BODY_RATE, self._frontend.window
        )
        self._frontend.add_streaming(self)
        return self._incoming_flow

    def _track_body(self, body: Flow, is_full_read: bool) -> None:
        """Note the progress of the incoming body; `is_full_read`: more of it may be unread."""
        if body.is_received:
            self._complete_body(body)
            return
        if not is_full_read or self._transport is None or not unread_bytes(self._transport):
            body.arrival.emptied(self._loop.time())
        else:
            body.arrival.left_unread()
        if body.is_source_paused:
            body.arrival.left_unread()

    def _complete_body(self, body: Flow) -> None:
        """Handle the end of a streamed request body."""
        self._incoming_flow = None
        if self._answer_flow is None:
            self._frontend.remove_streaming(self)
        if self._is_lingering:
            self._close_after_output(CloseReason.ANSWERED)
        elif body is self._request_flow and self._request_id is not None:
            self._frontend.gateway.complete_body(self._request_id, body.arrival.earliest_end)

    @property
    def _is_last_request(self) -> bool:
        """Whether the request in progress is the last: the process is stopping, and none is queued."""
        return not (self._frontend.presence.accepts_clients or self._queued_requests)

    @property
    def _awaits_body(self) -> bool:
        """Whether the body of the request in progress is incomplete."""
        return self._request_flow is not None and not self._request_flow.is_received

    def pause_reading(self) -> None:
        """Pause reading: the host accepts no more for now."""
        self._has_backlog = True
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def cancel_reading(self) -> None:
        """Close: the rest of the request body has no recipient, and the request will get no answer."""
        self.abort_connection(CloseReason.ANSWER_BROKEN)

    def write_body(self, data: bytes) -> None:
        """Write a piece of the answer's body."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encode_chunk(data) if self._is_answer_chunked else data)

    def finish_body(self) -> None:
        """Finish the answer, all of whose body was written."""
        self._answer_flow, self._had_streamed_answer = None, True
        if self._incoming_flow is None:
            self._frontend.remove_streaming(self)
        if self._is_answer_chunked and self._transport is not None and not self._transport.is_closing():
            self._transport.write(LAST_CHUNK)
        self._finish_streamed_answer()

    def abort_body(self) -> None:
        """Reset the connection, so that the client notices that the rest of the answer will not come."""
        self._answer_flow = None
        self._frontend.inactive_connections.pop(self, None)
        self._record_close(CloseReason.ANSWER_BROKEN)
        self._is_input_ignored = True
        if self._transport is not None:
            reset(self._transport)

    def bytes_delivered(self) -> int:
        """Return the bytes that the client has acknowledged; -1 if that is unknown."""
        return acknowledged_bytes(self._transport) if self._transport is not None else -1

    @property
    def state(self) -> ConnectionState:
        """The state of the connection, as a handover sees it."""
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
    def is_uploading(self) -> bool:
        """Whether the request in progress has a body that is incomplete."""
        return self._request_id is not None and self._awaits_body

    @property
    def request_id(self) -> RequestId | None:
        """The gateway's id of the request in progress."""
        return self._request_id

    @property
    def answer_flow(self) -> Flow | None:
        """The body of the answer that is being streamed."""
        return self._answer_flow

    @property
    def request_flow(self) -> Flow | None:
        """The streamed body of the request in progress."""
        return self._request_flow

    @property
    def is_answer_chunked(self) -> bool:
        """Whether the answer that is being streamed is chunked."""
        return self._is_answer_chunked

    @property
    def closes_after_answer(self) -> bool:
        """Whether the connection closes after the current answer."""
        return self._closes_after_answer or not self._is_http_1_1

    @property
    def request_reader(self) -> RequestReader:
        """The reader of the client's input."""
        return self._request_reader

    def freeze(self) -> bytes:
        """Stop reading and writing; return the unsent bytes."""
        return self._transport.freeze() if isinstance(self._transport, SocketTransport) else b""

    def thaw(self) -> None:
        """Resume reading and writing."""
        self._has_backlog = True
        if isinstance(self._transport, SocketTransport):
            self._transport.thaw()

    def abandon(self) -> None:
        """Close an adopted connection here, unnoticed by the client, as the other process keeps it."""
        self._record_close(CloseReason.PASSED_ON)
        self._is_input_ignored = True
        if self._transport is not None:
            self._transport.abort()

    @property
    def waiting_seconds_left(self) -> float:
        """The seconds that are left of the timeout of an inactive connection."""
        return max(0.0, self.wait_deadline - self._loop.time())

    def resume_input(self, incoming: bytes, waiting_seconds_left: float | None = None) -> None:
        """Continue an adopted connection with the bytes that the other process read and did not use.

        `waiting_seconds_left`: of the timeout that ran there; None if that process did not tell.
        """
        self._awaits_first_bytes = False
        # It is no new connection, whose first head is timed from its start: the next head is timed from its
        # own first byte, as behind an answer.
        self._timed_message = self._request_reader.message_count
        self._start_waiting(IDLE_TIMEOUT_SECONDS)
        # The unsent bytes may be the end of a long answer, for which a slow reader needs time.
        self._had_streamed_answer = self.unsent_bytes > 0
        self.thaw()
        now = self._loop.time()
        if incoming:
            self._process_input(incoming, now, began_at=0.0)  # under the classes of the other process
        if waiting_seconds_left is not None:
            self.wait_deadline = min(self.wait_deadline, now + waiting_seconds_left)

    def flush_and_close(self) -> None:
        """Close an adopted connection once the bytes that the other process left unsent have been sent."""
        self._record_close(CloseReason.ANSWERED)
        self._stop_input()
        self._start_waiting(IDLE_TIMEOUT_SECONDS)
        self._had_streamed_answer = True  # the end of a long answer, for which a slow reader needs time
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
        """Continue to receive the body of a request of another process; return the flow for the rest.

        `length`: of the whole body, None if it is not declared; `received_bytes`: bytes of it that were read
        there; `closes`: the connection closes after the answer.
        """
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
        """Have the gateway continue that request over `connection` to its host."""
        gateway = self._frontend.gateway
        request_id = gateway.adopt_request(
            handed_over, body, self._send_answer, self.close_if_client_left, host, connection
        )
        if self._is_busy:
            self._request_id = request_id

    @property
    def descriptor(self) -> int:
        """The file descriptor of the socket; -1 without a transport."""
        return int(self._transport.get_extra_info("socket").fileno()) if self._transport is not None else -1

    def release_connection(self) -> None:
        """Close a connection here, unnoticed by the client, as another process continues it."""
        self._record_close(CloseReason.PASSED_ON)
        if (
            self._request_id is not None
            and self._request_flow is not None
            and not self._request_flow.is_received
        ):
            self._request_flow.release()
            self._frontend.gateway.release_request(self._request_id)
        self._incoming_flow = self._request_flow = self._answer_flow = None
        self._frontend.remove_streaming(self)
        self._stop_input()
        self._is_busy, self._request_id = False, None
        self._release_request_id()
        if self._transport is not None:
            self._transport.abort()

    def is_stalled(self, now: float) -> bool:
        """Whether a streamed body makes no progress."""
        return self._sends_too_slowly(now) or (
            self._answer_flow is not None and self._answer_flow.is_overdue(now)
        )

    def _sends_too_slowly(self, now: float) -> bool:
        """Whether the incoming body is overdue; with unread input the loop is late, not the client."""
        body = self._incoming_flow
        if body is None or not body.is_overdue(now):
            return False
        loop_is_late = (
            not body.is_source_paused and self._transport is not None and has_unread(self._transport)
        )
        return not loop_is_late or body.is_overdue(now - self._frontend.open_request_seconds)

    def is_upload_overdue(self, now: float) -> bool:
        """Whether the answer to an upload is due although the host has not accepted all of it.

        The client may have sent the last byte, which is not read as long as the host accepts no more.
        """
        body = self._incoming_flow
        if body is None or body is not self._request_flow or self._request_id is None:
            return False
        if body.arrival.is_caught_up or self._current_request is None or self._transport is None:
            return False
        body.arrival.look(unread_bytes(self._transport), self._request_reader.remaining_bytes, now)
        client_timeout = self._current_request.client_timeout_seconds
        return now >= body.arrival.earliest_end + client_timeout + UPLOAD_SLACK_SECONDS

    def expire_upload(self) -> None:
        """Answer an upload whose client waits no longer."""
        if self._request_id is not None:
            self._frontend.gateway.expire_request(self._request_id)

    def abort_stalled(self) -> None:
        """End a stalled stream.

        The client does not send its body or read its answer, or the host does not send the answer.
        """
        self._frontend.remove_streaming(self)
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
        """Account for this connection's part of the frontend's buffered bytes."""
        buffered_bytes = (
            sum(len(message.body) for message in self._queued_requests) + self._request_reader.held_bytes
        )
        if self._current_request is not None:
            buffered_bytes += len(self._current_request.body)
        self._frontend.buffered_bytes += buffered_bytes - self._counted_bytes
        self._counted_bytes = buffered_bytes

    def _track_receive_progress(self, byte_count: int) -> None:
        """Set the deadline for the message that is being received, and send 100 Continue if it is awaited."""
        if self._is_lingering:
            self._extend_deadline(byte_count)
        is_ignored = self._is_input_ignored or self._is_lingering
        if self._is_busy or is_ignored or not self._request_reader.has_begun:
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
            self.wait_deadline = self._receive_pace.deadline
        if self._request_reader.expects_continue and self._transport is not None:
            self._request_reader.expects_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _stop_input(self) -> None:
        """Ignore all further input, and drop the queued and incomplete requests."""
        self._is_input_ignored = True
        self._queued_requests.clear()
        self._request_reader.discard_partial_message()
        self._update_buffered_bytes()

    @property
    def may_be_rejected(self) -> bool:
        """Whether the connection holds a part of a request and nothing that is owed an answer."""
        return (
            self._counted_bytes > 0
            and self.is_evictable
            and not (self._is_input_ignored or self._is_lingering or self._answer_flow is not None)
        )

    def held_byte_seconds(self, now: float) -> float:
        """The bytes that the connection holds, by the seconds since its latest input."""
        return self._counted_bytes * (now - self._received_at + SWEEP_INTERVAL_SECONDS)

    def reject_incomplete(self) -> None:
        """Reject an incomplete request, as the process holds too many."""
        self._reject(HTTPStatus.TOO_MANY_REQUESTS, CloseReason.BUFFER_FULL)

    def refuse_incomplete_request(self) -> None:
        """Refuse a partly received request of which nothing was forwarded; close an idle connection."""
        if self.is_idle:
            self.close_if_idle()
        elif (
            self.is_evictable
            and self._request_reader.has_begun
            and not (self._is_input_ignored or self._is_lingering)
        ):
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE, CloseReason.SHUTDOWN)

    def _reject(self, status: HTTPStatus, reason: CloseReason = CloseReason.BAD_INPUT) -> None:
        """Answer with an error and stop interpreting input: the boundaries of what follows are unknown.

        A request in progress ends too: the malformed input behind it shows that its length, and therefore its
        content, was wrong.
        """
        self._record_close(reason)
        self._end_request()
        self._stop_input()
        self._closes_after_answer = True
        self._write_answer(Answer(status))
        # A close with unread input would reset the connection, and this answer could be lost with it.
        if self._transport is not None and not self._transport.is_closing():
            with contextlib.suppress(OSError):  # the client reset the connection while nothing was read
                self._transport.write_eof()
            self._start_waiting(LINGER_SECONDS)
            self._frontend.inactive_connections.move_to_end(self, last=False)  # the first to be evicted
            self._receive_pace.deadline = self.wait_deadline

    def _refuse(self, status: HTTPStatus) -> None:
        """Refuse a request; the rest of its body, if it is incomplete, is read and discarded."""
        if self._awaits_body:
            self._closes_after_answer = True
            self._finish_request(Answer(status))
            self._start_lingering()
        else:
            self._reject(status)

    def _discard_input(self, byte_count: int) -> None:
        """Discard input after a rejection: a client that is still sending has not read its answer yet."""
        self._discarded_bytes += byte_count
        if self._discarded_bytes <= MAX_BODY_BYTES:
            self._extend_deadline(byte_count)

    def _extend_deadline(self, byte_count: int) -> None:
        """Extend the deadline of a client whose input is discarded, by these bytes (`RateFloor`)."""
        self._receive_pace.credit(byte_count, self._loop.time())
        self.wait_deadline = self._receive_pace.deadline

    def _reject_excess_requests(self) -> None:
        """Reject a client that sends too many requests ahead, or more than may be buffered.

        A request in progress may have run, so it still gets its own answer first.
        """
        self._stop_input()
        self._has_too_many_queued = True
        if not self._is_busy:
            self._reject(HTTPStatus.TOO_MANY_REQUESTS)

    def close_if_client_left(self) -> bool:
        """Return whether the client has left, and close the connection if so.

        The loop learns of it late if it runs late, if the client's socket waits for its turn under overload,
        or if reading is paused because the host accepts no more of a body.
        """
        if self._transport is None or self._transport.is_closing():
            return True
        if not has_peer_closed(self._transport):
            return False
        self.abort_connection(CloseReason.CLIENT_LEFT)
        return True

    def _continue_with_queued(self) -> None:
        """Start the next queued request, unless the client has left."""
        if not self._queued_requests or self._is_input_ignored or not self.close_if_client_left():
            self._start_next_request()

    def _start_next_request(self) -> None:
        """Start queued requests until one is in progress or writing is paused."""
        while self._queued_requests and not self._is_busy and not self._is_writing_paused:
            message = self._queued_requests.popleft()
            if self._counted_bytes:
                self._update_buffered_bytes()
            self._is_busy = True
            self._frontend.inactive_connections.pop(self, None)
            self._had_streamed_answer = False
            self._closes_after_answer = self._closes_after_answer or not message.keep_alive
            self._is_http_1_1, self._request_flow = message.is_http_1_1, message.body_flow
            self._current_request = message if message.body or message.body_flow is not None else None
            if message.body:
                self._update_buffered_bytes()
            try:
                self._start_request(message)
            except BadMessageError as error:
                self._refuse(error.status)
            except Exception:
                log.exception("failed to handle a request")
                self._send_answer(Answer(HTTPStatus.INTERNAL_SERVER_ERROR))

    def _start_request(self, message: Message) -> None:
        """Answer a request locally or submit it to the gateway; raise BadMessageError if it is refused."""
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
            # Hosts deduplicate requests by their ids, and a concurrent second one could repeat the effect.
            raise BadMessageError(HTTPStatus.BAD_REQUEST, "the request id is in use")
        if not frontend.interpreter.has_routes and frontend.gateway.may_have_been_executed(client_request_id):
            raise BadMessageError(HTTPStatus.BAD_REQUEST, "the request id was used")
        if message.body_flow is not None and frontend.has_too_many_uploads:
            self._send_answer(Answer(HTTPStatus.SERVICE_UNAVAILABLE, frontend.retry_after_headers()))
            return
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
        if self._is_busy:  # the request may have been answered already
            self._request_id = request_id
            if (
                message.body_flow is not None
                and self._request_reader.expects_continue
                and self._transport is not None
            ):
                self._request_reader.expects_continue = False  # the request was accepted
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def pause_writing(self) -> None:
        """Delay the next request and pause a streamed answer, so that unread answers do not accumulate."""
        self._is_writing_paused = True
        if self._answer_flow is not None:
            self._answer_flow.sink_full(self._loop.time())

    def resume_writing(self) -> None:
        self._is_writing_paused = False
        if self._answer_flow is not None:
            self._answer_flow.sink_ready(self._loop.time())
        self._continue_with_queued()

    def _send_answer(self, answer: Answer) -> None:
        """Send the final answer to the request in progress."""
        if not self._is_busy:
            return
        if answer.body_flow is not None:
            self._stream_answer(answer, answer.body_flow)
            return
        if self._awaits_body:  # the answer precedes the end of the request body
            self._closes_after_answer = True
            self._finish_request(answer)
            self._start_lingering()
            return
        self._finish_request(answer)
        self._close_or_wait()

    def _start_lingering(self) -> None:
        """Read and discard the rest of a body whose request has been answered; then close.

        An immediate close would reset the connection of a client that is still sending, and the unread answer
        would be lost with it. The client's time grows with the bytes that arrive (`RateFloor`), until its
        body ends or exceeds the limit; at the connection limit its connection is the first to be evicted.
        """
        now = self._loop.time()
        self._is_lingering, self._receive_pace = True, RateFloor(now)
        self._frontend.remove_streaming(self)
        if self._request_flow is not None:
            self._request_flow.discard(now)
        self._start_waiting(GRACE_SECONDS)
        self._frontend.inactive_connections.move_to_end(self, last=False)

    def _stream_answer(self, answer: Answer, body_flow: Flow) -> None:
        """Start to send an answer whose body is streamed."""
        self._closes_after_answer = self._closes_after_answer or self._is_last_request or self._awaits_body
        length, transport = body_flow.length, self._transport
        self._is_answer_chunked = length is None and self._is_http_1_1
        self._closes_after_answer = self._closes_after_answer or (length is None and not self._is_http_1_1)
        if transport is None or transport.is_closing():
            body_flow.cancel()
            return
        self._answer_flow = body_flow
        self._frontend.add_streaming(self)
        transport.set_write_buffer_limits(high=self._frontend.window.size)
        transport.write(
            serialize_answer_head(
                answer.status, answer.headers, length, self._is_answer_chunked, self._closes_after_answer
            )
        )
        if answer.body:
            self.write_body(answer.body)
        body_flow.attach(self, self._loop.time())
        # `attach` may have ended the answer. The property is read, as compiled code takes the attribute for
        # the flow that it was set to above.
        if self._is_writing_paused and self.answer_flow is body_flow:
            body_flow.sink_full(self._loop.time())

    def _finish_streamed_answer(self) -> None:
        """Finish a request whose streamed answer is complete."""
        self._is_busy, self._request_id = False, None
        self._release_request_id()
        if self._awaits_body:
            self._start_lingering()
        else:
            self._close_or_wait()

    def _finish_request(self, answer: Answer) -> None:
        """End the request in progress with a whole answer."""
        self._is_busy, self._request_id = False, None
        self._release_request_id()
        self._closes_after_answer = (
            self._closes_after_answer or self._is_last_request
        ) and not self._has_too_many_queued
        self._write_answer(answer)

    def _close_or_wait(self) -> None:
        """After an answer, close the connection or wait for the next request."""
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
        """Time out a connection that waits for a request, the rest of one, or its last answer to be read.

        A slow reader has `READER_TIMEOUT_SECONDS` for the unsent end of a streamed answer.
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
        """Report a close to the guards; must run before the state of unanswered requests is cleared."""
        gateway = self._frontend.gateway
        has_unanswered = self._is_busy or bool(self._queued_requests)
        gateway.guards.connection_closed(self._request_id or 0, has_unanswered, reason, gateway.clock.now())

    def abort_connection(self, reason: CloseReason) -> None:
        """Close now; unsent output is discarded."""
        self._frontend.inactive_connections.pop(self, None)
        if not self._is_input_ignored:
            self._record_close(reason)
        self._is_input_ignored = True
        if self._transport is not None:
            close_now(self._transport)

    def close_if_idle(self) -> None:
        """Close the connection if it is between requests; a request that has begun to arrive is served."""
        if self.is_idle and self.has_nothing_unread:
            self._close_after_output(CloseReason.IDLE)

    def _close_after_output(self, reason: CloseReason) -> None:
        """Close once the unsent output has been sent."""
        if not self._is_input_ignored:
            self._record_close(reason)
        self._is_input_ignored = True
        if self._transport is not None:
            if self.unsent_bytes:
                self._transport.close()
            else:
                close_now(self._transport)

    def eof_received(self) -> None:
        """Drop the client's requests, as it has left.

        The transport closes after this, but only once the unsent output has been sent. In the meantime
        `resume_writing` would start the next queued request, so the queue is cleared.
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
        self._frontend.remove_streaming(self)
        self._end_request()
        self._request_reader.close()

    def _end_request(self) -> None:
        """End the request in progress without an answer, and release its id."""
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
        """Release what a request in progress holds: its id and its body."""
        self._current_request = None
        if self._counted_bytes:
            self._update_buffered_bytes()
        self._frontend.active_request_ids.discard(self._client_request_id)
        self._client_request_id = ""
