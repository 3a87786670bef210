"""Pools of connections to the hosts, and the attempts that are sent over them.

Theory of operation. `ConnectionPool` has a `_HostPool` for each host that discovery lists as ready. An
attempt takes an idle connection of its host or opens a new one; a `HostConnection` carries one attempt at a
time:

    CONNECTING --connected, and the attempt may begin--> BUSY --whole, clean answer--> IDLE --attempt--> BUSY
    CONNECTING --failed--> closed              BUSY --broken, cancelled, or not reusable--> closed
    IDLE --idle for too long, stray bytes, host drains or is gone--> closed

Each attempt ends exactly once, with an `Outcome`, which shows whether the host may have run the request: it
can't have if the connection broke before the last byte of the request had left.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from whinrouter.interface import Outcome, Server, ServerId, State
from whinrouter.memory_budget import ReadWindow
from whinrouter.net.attempt import Attempt, EndedCallback, MayBeginCheck, StreamingCallback, TargetHost
from whinrouter.net.connect import ConnectResult, connect
from whinrouter.net.hosts import Member
from whinrouter.net.http import ReaderProtocol, ResponseReader
from whinrouter.net.http_messages import LAST_CHUNK, Message, encode_chunk
from whinrouter.net.sockets import acknowledged_bytes, read_poller, seconds_since_received
from whinrouter.net.transport import SocketTransport
from whinrouter.streaming.flow import STALL_SECONDS, UNPROVEN_STALL_SECONDS, Flow
from whinrouter.streaming.remainder import Remainder

log = logging.getLogger(__name__)

# An answer that took no longer than this is not checked for the time that it waited unread.
PROMPT_SECONDS = 0.005
# An answer of undeclared length may turn out to be a long one, of which nothing may be held back for 2 s.
MAX_HELD_BACK_SECONDS = 1.0
# An answer of undeclared length of which so much has come is taken for a long one, which may be slow.
# With less of it the host may have stopped: within half a second of its time a request must be answered, or
# visibly failed, so from its deadline on its host may be silent for less than that (`Flow.allow_silence`).
LIKELY_LONG_BYTES = 16 * 1024
SWEEP_SECONDS = 0.25  # interval of the search for connections that were idle too long; well under the margin
# A connection is not reused for this long after an answer. A duplicate answer that arrives a few milliseconds
# behind the first one (1 to 4 ms in 101 cases) would be taken for the answer to the next request. The delay
# is never longer than the answer itself took, so no more connections are waiting than were in use.
REUSE_DELAY_SECONDS = 0.005
MAX_ANSWERS_PER_READ = 2  # a second one shows that the connection is not reusable
IDLE_MARGIN_SECONDS = 2.0  # an idle connection is closed this long before the host's own idle timeout


@dataclass(slots=True, eq=False)
class _HostPool:
    """The connections of one host that are idle, and the attempts that are still connecting to it."""

    member: Member
    is_ready: bool = True
    idle: list[HostConnection] = field(default_factory=list)  # the most recently used one is last
    connecting: set[Attempt] = field(default_factory=set)

    def take_idle(self, now: float) -> HostConnection | None:
        """Remove and return the most recently used connection that may be reused; None if there is none.

        The longer a connection has been idle, the likelier it is that the host has closed it.
        """
        for place in range(len(self.idle) - 1, -1, -1):
            if self.idle[place].reusable_from <= now:
                return self.idle.pop(place)
        return None


class HostConnection(ReaderProtocol):
    """One connection to a host, which carries one attempt at a time.

    It is the sink of a streamed request body and the source of a streamed answer body (see `flow.py`).
    """

    def __init__(self, pool: ConnectionPool, host: _HostPool) -> None:
        self._response_reader = ResponseReader(self._new_flow, MAX_ANSWERS_PER_READ)
        self._response_reader.clock = pool.now
        super().__init__(self._response_reader, pool.window)
        self._body: Flow | None = None  # the request body that is being streamed
        self._keep_alive = False  # whether the answer being streamed leaves the connection open
        self._pool = pool
        self._host = host
        self._transport: asyncio.Transport | None = None
        self._poll: Callable[[float], list[tuple[int, int]]]
        self._attempt: Attempt | None = None
        self._attempt_started_at = 0.0  # loop time of the latest attempt
        self._collected_at = 0.0  # loop time of the latest bytes of an answer that is being collected
        self.idle_since = 0.0
        self.reusable_from = 0.0
        self.is_fully_written = False

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open."""
        return self._transport is not None and not self._transport.is_closing()

    def is_quiet(self) -> bool:
        """Whether nothing has arrived since the last answer: no stray bytes, and no end of the connection."""
        transport = self._transport
        return transport is not None and not transport.is_closing() and not self._poll(0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        # With a high-water mark of 0, resume_writing means that the last buffered byte has left.
        transport.set_write_buffer_limits(high=0)
        self._transport = transport
        self._poll = read_poller(transport.get_extra_info("socket"))
        self._pool.connections += 1

    def send_attempt(self, attempt: Attempt, now: float) -> None:
        """Write the attempt's request; its body is attached as a stream if it has not arrived yet."""
        transport = self._transport
        assert transport is not None
        self._attempt, attempt.connection, self._attempt_started_at = attempt, self, now
        self._response_reader.is_answer_to_head = attempt.message.method == b"HEAD"
        self.is_fully_written = True  # pause_writing resets this at once if a part stays in the buffer
        transport.write(attempt.encode(now))
        if transport.is_closing():  # the write itself failed, so not one byte has left
            self.is_fully_written = False
        body_flow = attempt.message.body_flow
        if body_flow is not None:
            self.is_fully_written, self._body = False, body_flow
            body_flow.attach(self, now)

    def write_body(self, data: bytes) -> None:
        """Send a piece of the request body."""
        transport = self._transport
        if transport is None or self._body is None or transport.is_closing():
            return
        transport.write(data if self._body.length is not None else encode_chunk(data))
        # The start of the body is not needed any more: no other attempt may begin.
        if self._attempt is not None and self._attempt.message.body and not transport.get_write_buffer_size():
            self._attempt.message.body = b""

    def finish_body(self) -> None:
        """End the request body, which is whole; the host can have all of it once the last byte has left."""
        body, self._body = self._body, None
        transport = self._transport
        if transport is None or body is None or transport.is_closing():
            return
        self.is_fully_written = transport.get_write_buffer_size() == 0
        if body.length is None:
            self.is_fully_written = True
            transport.write(LAST_CHUNK)

    def abort_body(self) -> None:
        """Cancel the attempt: its request body broke off, as the client left or sent a malformed body."""
        self._body = None
        if self._attempt is not None:
            self._attempt.stop(Outcome.CANCELLED)

    def bytes_delivered(self) -> int:
        """Bytes that the host's machine has acknowledged; -1 if that is not known."""
        return acknowledged_bytes(self._transport) if self._transport is not None else -1

    def pause_writing(self) -> None:
        self.is_fully_written = False
        if self._body is not None:
            self._body.sink_full(self._pool.now())

    def resume_writing(self) -> None:
        if self._body is not None:
            self._body.sink_ready(self._pool.now())
        else:
            self.is_fully_written = True

    def _new_flow(self, length: int | None) -> Flow:
        return Flow(self, length, self._pool.now(), STALL_SECONDS, 0.0, self._pool.window)

    def pause_reading(self) -> None:
        """Stop reading the answer, as its client accepts no more data for now."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading the answer."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def remainder(self) -> Remainder | None:
        """The part of the streamed answer that has not been read yet; None if it is not known.

        It is also None while the request body is still being sent. A connection that another process takes
        over is closed behind this answer.
        """
        attempt = self._attempt
        is_passed_on = attempt is not None and attempt.is_streaming and self.is_usable
        return self._response_reader.remainder() if is_passed_on and self._body is None else None

    @property
    def descriptor(self) -> int:
        """The file descriptor of the socket; -1 without one."""
        return int(self._transport.get_extra_info("socket").fileno()) if self._transport is not None else -1

    def freeze(self) -> bytes:
        """Stop reading and writing; return the bytes that have not been sent."""
        return self._transport.freeze() if isinstance(self._transport, SocketTransport) else b""

    def thaw(self) -> None:
        """Resume reading and writing after `freeze`."""
        if isinstance(self._transport, SocketTransport):
            self._transport.thaw()

    def release(self) -> None:
        """Close the connection here without sending anything: another process has taken it over.

        An attempt whose answer has begun ends as served; an earlier one is cancelled, which blames no host.
        """
        attempt, self._attempt = self._attempt, None
        if self._transport is not None:
            self._transport.abort()
        if attempt is not None:
            attempt.connection = None
            attempt.end(Outcome.OK if attempt.is_streaming else Outcome.CANCELLED)

    def resume(self, attempt: Attempt, body: Flow) -> None:
        """Continue an attempt of another process, whose request body is still arriving."""
        transport = self._transport
        assert transport is not None
        self._attempt, attempt.connection, self._attempt_started_at = attempt, self, self._pool.now()
        self.is_fully_written, self._body = False, body
        body.attach(self, self._attempt_started_at)
        if isinstance(transport, SocketTransport) and transport.is_writing_paused:
            body.sink_full(self._attempt_started_at)

    def cancel_reading(self) -> None:
        """Cancel the attempt, as the client has left or the answer is not wanted."""
        if self._attempt is not None:
            self._attempt.stop(Outcome.CANCELLED)
        else:
            self.drop()

    def handle_input(self, data: memoryview) -> None:
        if self._attempt is None:  # unrequested bytes would be taken for the next request's answer
            self.drop()
            return
        reader, is_streaming = self._response_reader, self._attempt.is_streaming
        answers = reader.feed(data)
        if is_streaming:
            if reader.body_flow is None:  # the body is whole; whatever follows it does not belong to it
                self._finish_stream(not answers and not reader.has_begun and reader.error is None)
            elif reader.error is not None:
                self._fail_on_bad_answer()
        elif answers:
            # A whole answer is valid whatever follows it. The connection is not reusable then: the bytes
            # behind the answer, even if they begin a well-formed one, would be taken for the next answer.
            is_alone = len(answers) == 1 and not reader.has_begun and reader.error is None
            self._take_answer(answers[0], is_alone)
        elif reader.error is not None:
            self._fail_on_bad_answer()
        elif reader.is_collecting:
            self._note_collecting()

    def _note_collecting(self) -> None:
        """Note bytes of an answer of undeclared length, which are not held back for long."""
        self._collected_at = self._pool.now()
        if self._attempt is not None and not self._attempt.answer_began_at:
            self._attempt.answer_began_at = self._pool.now()
            self._pool.collecting.add(self)

    def stream_collected(self) -> bool:
        """Pass on what has arrived of an answer of undeclared length; False if there is no such answer."""
        attempt, now, reader = self._attempt, self._pool.now(), self._response_reader
        if attempt is None or attempt.is_streaming or attempt.on_streaming is None:
            return False
        if attempt.message.needs_whole_answer:
            return False
        collected_bytes = reader.collected_bytes
        is_likely_long = collected_bytes >= LIKELY_LONG_BYTES
        if not is_likely_long and now - self._collected_at > UNPROVEN_STALL_SECONDS:
            return False  # a host that has stopped within a small answer
        answer = reader.stream_collected()
        if answer is None:
            return False
        flow = answer.body_flow
        if flow is not None and not is_likely_long:
            flow.expect_bytes(LIKELY_LONG_BYTES - collected_bytes, UNPROVEN_STALL_SECONDS, now)
        self._take_answer(answer, False)
        return True

    def has_held_back_since(self, moment: float) -> bool:
        """Whether the first bytes of an answer have been held back since this loop time or longer."""
        return self._attempt is not None and 0 < self._attempt.answer_began_at <= moment

    def _fail_on_bad_answer(self) -> None:
        log.warning("a host's answer is of no use: %s", self._response_reader.error)
        self._break()

    def _take_answer(self, answer: Message, is_alone: bool) -> None:
        if answer.body_flow is None:
            self._finish_answer(
                answer,
                self.is_fully_written and is_alone and not self._response_reader.has_bodyless_answer,
            )
            return
        attempt = self._attempt
        assert attempt is not None
        if attempt.on_streaming is None or _outcome(answer) is not Outcome.OK:
            # The head decides the outcome, and the body is not needed.
            self._finish_answer(answer, False)
            return
        self._pool.collecting.discard(self)
        attempt.is_streaming, self._keep_alive = True, answer.keep_alive
        attempt.on_streaming(attempt, answer)
        # The whole answer may have come in this one read.
        if self._attempt is attempt and self._response_reader.body_flow is None:
            self._finish_stream(is_alone)

    def _finish_stream(self, is_clean: bool) -> None:
        """The body of a streamed answer is whole."""
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.connection = None
            self._return_to_pool(self.is_fully_written and is_clean and self._keep_alive)
            attempt.end(Outcome.OK)

    def _return_to_pool(self, is_clean: bool) -> None:
        """Make the connection idle if it is reusable, else close it.

        An idle connection is closed before the host would close it, as a request could cross that close.
        """
        host = self._host
        if is_clean and host.is_ready and self.is_usable:
            self.idle_since = now = self._pool.now()
            self.reusable_from = now + min(REUSE_DELAY_SECONDS, now - self._attempt_started_at)
            host.idle.append(self)
        else:
            self.drop()

    def _finish_answer(self, answer: Message, is_clean: bool) -> None:
        self._pool.collecting.discard(self)
        attempt, self._attempt = self._attempt, None
        assert attempt is not None
        attempt.connection = None
        now = self._pool.now()
        if self._transport is not None and now - attempt.started_at > PROMPT_SECONDS:
            attempt.unread_seconds = min(
                self._pool.unread_seconds_of(self._transport), now - attempt.started_at
            )
        self._return_to_pool(answer.keep_alive and is_clean)
        attempt.end(_outcome(answer), answer)

    def eof_received(self) -> None:
        """The host closed its side, which ends an answer that has no length."""
        if self._attempt is not None:
            is_streaming = self._attempt.is_streaming
            answers = self._response_reader.finish()
            if is_streaming and self._response_reader.body_flow is None:
                self._finish_stream(False)
            elif answers:
                self._finish_answer(answers[0], False)
        self._break()

    def connection_lost(self, exc: Exception | None) -> None:
        self._pool.connections -= 1
        self._break()
        self._response_reader.close()

    def _break(self) -> None:
        """Close a broken connection and end its attempt."""
        attempt, self._attempt = self._attempt, None
        was_fully_written = self.is_fully_written
        self.drop()
        answer_flow = self._response_reader.body_flow
        if answer_flow is not None:
            answer_flow.fail()
        if attempt is not None:
            attempt.connection = None
            # While request bytes are still here the host cannot have started; after the last one it may have.
            attempt.end(Outcome.RESET if was_fully_written else Outcome.CONNECT_FAILED)

    def drop(self) -> None:
        """Close the connection now, without ending its attempt."""
        self._pool.collecting.discard(self)
        self._attempt = None
        body, self._body = self._body, None
        if body is not None:
            body.detach(self._pool.now())
        if self in self._host.idle:
            self._host.idle.remove(self)
        if self._transport is not None:
            self._transport.abort()


def _outcome(answer: Message) -> Outcome:
    if answer.status == 200:
        return Outcome.OK
    # Only the host's explicit header proves that nothing ran: a bare 503 may as well come after the work.
    if answer.status in (503, 504) and answer.get(b"x-not-run") == "1":
        return Outcome.REJECTED
    return Outcome.ERROR


class ConnectionPool:
    """The connection pools of all hosts, with one limit of descriptors for all of them."""

    def __init__(
        self,
        connect_timeout: float,
        idle_timeout: float,
        max_connections: int,
        unread_seconds_of: Callable[[asyncio.Transport], float] = seconds_since_received,
        window: ReadWindow | None = None,
    ) -> None:
        """Times are in seconds; `idle_timeout` is that of the hosts. `max_connections`: to all hosts.

        `unread_seconds_of` returns for how many seconds the data that was just read from a transport had
        waited unread. `window`: the size of a read.
        """
        self.window = window or ReadWindow()
        self._connect_timeout = connect_timeout
        self.unread_seconds_of = unread_seconds_of
        self.max_idle_seconds = max(idle_timeout / 2, idle_timeout - IDLE_MARGIN_SECONDS)
        self.max_connections = max_connections
        self._connecting = 0  # connections that are being opened
        # Connections with an answer of undeclared length that is not passed on yet.
        self.collecting: set[HostConnection] = set()
        self.connections = 0  # established connections, idle or busy
        self._hosts: dict[ServerId, _HostPool] = {}
        self._loop = asyncio.get_running_loop()
        self.now = self._loop.time
        self._sweep_seconds = min(SWEEP_SECONDS, self.max_idle_seconds / 4)
        self._loop.call_later(self._sweep_seconds, self._sweep)

    def set_limits(self, connect_timeout: float, idle_timeout: float, max_connections: int) -> None:
        """Apply new time limits and a new connection limit; the parameters are those of the constructor."""
        self._connect_timeout, self.max_connections = connect_timeout, max_connections
        self.max_idle_seconds = max(idle_timeout / 2, idle_timeout - IDLE_MARGIN_SECONDS)
        self._sweep_seconds = min(SWEEP_SECONDS, self.max_idle_seconds / 4)

    @property
    def descriptors_in_use(self) -> int:
        """The largest number of descriptors that connections can be using."""
        return self._connecting + self.connections

    def update(self, members: Iterable[Member], complete: bool) -> None:
        """Apply a list of hosts. A host that drains or is gone is sent nothing more from this moment on.

        `complete`: hosts that the list does not name are gone. Attempts that are still connecting to a
        removed host end only once the whole list is applied, as they may be sent to another host at once.
        """
        listed = {member.server.id: member for member in members}
        removed = [server for server in self._hosts if server not in listed] if complete else []
        for server, member in listed.items():
            known = self._hosts.get(server)
            if known is None:
                continue
            # The connections of a restarted host are dead, even if no reset ever arrived over them.
            if member.server.state is not State.READY or (
                known.member.address,
                known.member.server.started_at,
            ) != (member.address, member.server.started_at):
                removed.append(server)
            else:
                known.member = member
        hosts = [self._hosts.pop(server) for server in removed]
        for server, member in listed.items():
            if member.server.state is State.READY and server not in self._hosts:
                self._hosts[server] = _HostPool(member)
        for host in hosts:
            self._close_host(host)

    def _close_host(self, host: _HostPool) -> None:
        host.is_ready = False
        for connection in list(host.idle):
            connection.drop()
        for attempt in list(host.connecting):
            attempt.stop(Outcome.NOT_SENT)

    def _sweep(self) -> None:
        """Close connections that were idle for too long; in each pool the one idle for longest is first."""
        oldest = self.now() - self.max_idle_seconds
        for host in self._hosts.values():
            while host.idle and host.idle[0].idle_since <= oldest:
                host.idle[0].drop()
        held_back_since = self.now() - MAX_HELD_BACK_SECONDS
        for connection in [
            connection for connection in self.collecting if connection.has_held_back_since(held_back_since)
        ]:
            connection.stream_collected()
        self._loop.call_later(self._sweep_seconds, self._sweep)

    def send(
        self,
        server: ServerId,
        message: Message,
        expires_at: float,
        on_ended: EndedCallback,
        owner: Any = None,
        number: int = 0,
        on_streaming: StreamingCallback | None = None,
        may_begin: MayBeginCheck | None = None,
    ) -> Attempt | None:
        """Start an attempt, as `AttemptSender.send` describes it; return None if the host may not be sent to.

        The attempt may end before this returns.
        """
        host = self._hosts.get(server)
        if host is None:
            return None
        now = self.now()
        attempt = Attempt(host, message, expires_at, on_ended, owner, number, now, on_streaming, may_begin)
        while (connection := host.take_idle(now)) is not None:
            if connection.is_quiet():
                self._begin_attempt(host, attempt, connection, had_to_wait=False)
                return attempt
            connection.drop()
        if self.descriptors_in_use >= self.max_connections and not self._make_room():
            log.warning("no descriptor is left for another connection to a host")
            attempt.end(Outcome.LOCAL_FAILURE)
            return attempt
        self._connecting += 1
        host.connecting.add(attempt)
        on_connected = partial(self._on_connected, host, attempt)
        connecting = connect(
            lambda: HostConnection(self, host), host.member.address, self._connect_timeout, on_connected
        )
        attempt.task = self._loop.create_task(connecting)
        attempt.task.add_done_callback(partial(self._on_connect_done, host, attempt))
        return attempt

    def adopt(
        self, server: ServerId, endpoint: socket.socket, unsent: bytes
    ) -> tuple[TargetHost, HostConnection]:
        """Take over another process's connection to a host; return the host and the connection.

        The connection neither reads nor writes before it is thawed. `unsent`: bytes that are written first.
        """
        host = self._hosts.get(server)
        if host is None:  # it is gone, or was never listed here: the host is sent nothing new
            host = _HostPool(Member(Server(server, State.DRAINING), ("", 0)), is_ready=False)
        connection = HostConnection(self, host)
        SocketTransport(endpoint, connection, unsent, is_frozen=True)
        return host, connection

    def _make_room(self) -> bool:
        """Close the connection that has been idle for longest; False if none is idle."""
        idle = [connection for host in self._hosts.values() for connection in host.idle]
        if idle:
            min(idle, key=lambda connection: connection.idle_since).drop()
        return bool(idle)

    def _on_connected(self, host: _HostPool, attempt: Attempt, connection: HostConnection) -> None:
        host.connecting.discard(attempt)
        self._begin_attempt(host, attempt, connection, had_to_wait=True)

    def _begin_attempt(
        self, host: _HostPool, attempt: Attempt, connection: HostConnection, had_to_wait: bool
    ) -> None:
        """Send an attempt over a connection if it may begin. Each attempt passes through this method.

        `had_to_wait`: the attempt waited for its connection to open.
        """
        if attempt.may_begin is not None and not attempt.is_over:
            refusal = attempt.may_begin(attempt, host.is_ready, had_to_wait)
            if refusal is not None:
                attempt.stop(refusal)
        if attempt.is_over:
            connection.drop()
        elif connection.is_usable:  # a connection reset as soon as it was up never reports its loss
            connection.send_attempt(attempt, self.now())

    def _on_connect_done(self, host: _HostPool, attempt: Attempt, task: asyncio.Task[ConnectResult]) -> None:
        """The connecting task is done; cancelled before its first step, it has run none of its code."""
        self._connecting -= 1
        host.connecting.discard(attempt)
        attempt.task = None
        if attempt.connection is None:
            has_finished = not task.cancelled() and task.exception() is None
            is_local = has_finished and task.result() is ConnectResult.LOCAL_FAILURE
            attempt.end(Outcome.LOCAL_FAILURE if is_local else Outcome.CONNECT_FAILED)
