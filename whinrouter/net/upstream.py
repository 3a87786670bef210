"""Connections to hosts, attempts on them, and how each attempt ended."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from whinrouter.interface import Outcome, Server, ServerId, State
from whinrouter.net.attempt import Attempt, EndedCallback, MayBeginCheck, StreamingCallback, TargetHost
from whinrouter.net.connect import ConnectResult, connect
from whinrouter.net.hosts import Member
from whinrouter.net.http import LAST_CHUNK, Message, ReaderProtocol, ResponseReader, encode_chunk
from whinrouter.net.sockets import acknowledged_bytes, read_poller, seconds_since_received
from whinrouter.net.transport import SocketTransport
from whinrouter.streaming.flow import STALL_SECONDS, Flow
from whinrouter.streaming.remainder import Remainder

log = logging.getLogger(__name__)

PROMPT_SECONDS = 0.005  # seconds within which an answer is not asked how long it lay unread
SWEEP_SECONDS = 0.25  # seconds between looks at idle connections; a fraction of IDLE_MARGIN
# Seconds for which a connection rests after an answer: a second one that comes behind it, some milliseconds
# late (1 to 4 in 101 seen), would be taken for the next request's. No longer than the answer itself took, so
# that resting ones are never more than those in use were.
REUSE_DELAY_SECONDS = 0.005
IDLE_MARGIN_SECONDS = 2.0  # seconds before the host's own limit at which an idle connection is dropped


@dataclass(slots=True, eq=False)
class _HostPool:
    member: Member
    is_ready: bool = True
    idle: list[HostConnection] = field(default_factory=list)  # the latest used last
    connecting: set[Attempt] = field(default_factory=set)

    def take_idle(self, now: float) -> HostConnection | None:
        """Take the latest used of those at rest for long enough; None if there is none.

        The longer one has stood idle, the likelier its host has closed it.
        """
        for place in range(len(self.idle) - 1, -1, -1):
            if self.idle[place].reusable_from <= now:
                return self.idle.pop(place)
        return None


class HostConnection(ReaderProtocol):
    """One connection to a host; carries one attempt at a time."""

    def __init__(self, pool: ConnectionPool, host: _HostPool) -> None:
        self._response_reader = ResponseReader(self._new_flow)
        self._response_reader.clock = pool.now
        super().__init__(self._response_reader)
        self._body: Flow | None = None  # of the request, while it is passed on
        self._keep_alive = False  # whether the answer that is passed on leaves the connection open
        self._pool = pool
        self._host = host
        self._transport: asyncio.Transport | None = None
        self._poll: Callable[[float], list[tuple[int, int]]]
        self._attempt: Attempt | None = None
        self._attempt_started_at = 0.0  # loop time of its latest attempt
        self.idle_since = 0.0
        self.reusable_from = 0.0
        self.is_fully_written = False

    @property
    def is_usable(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def is_quiet(self) -> bool:
        """Whether nothing has come since the last answer: neither the end of it all nor stray bytes wait."""
        transport = self._transport
        return transport is not None and not transport.is_closing() and not self._poll(0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        # It then tells whether any byte still waits: resume_writing means that the last one left.
        transport.set_write_buffer_limits(high=0)
        self._transport = transport
        self._poll = read_poller(transport.get_extra_info("socket"))
        self._pool.connections += 1

    def send_attempt(self, attempt: Attempt, now: float) -> None:
        transport = self._transport
        assert transport is not None
        self._attempt, attempt.connection, self._attempt_started_at = attempt, self, now
        self._response_reader.is_answer_to_head = attempt.message.method == b"HEAD"
        self.is_fully_written = True  # pause_writing takes it back at once if not all of it leaves
        transport.write(attempt.encode(now))
        if transport.is_closing():  # the write failed outright: not one byte left
            self.is_fully_written = False
        rest = attempt.message.body_flow
        if rest is not None:
            self.is_fully_written, self._body = False, rest
            rest.attach(self, now)

    def write_body(self, data: bytes) -> None:
        """A piece of the request's body."""
        if self._transport is not None and self._body is not None and not self._transport.is_closing():
            self._transport.write(data if self._body.length is not None else encode_chunk(data))

    def finish_body(self) -> None:
        """The request's body is whole; the host has the last byte once it has left."""
        body, self._body = self._body, None
        transport = self._transport
        if transport is None or body is None or transport.is_closing():
            return
        self.is_fully_written = transport.get_write_buffer_size() == 0
        if body.length is None:
            self.is_fully_written = True
            transport.write(LAST_CHUNK)

    def abort_body(self) -> None:
        """The request's body broke off: its client has left, or sent what is no body."""
        self._body = None
        if self._attempt is not None:
            self._attempt.stop(Outcome.CANCELLED)

    def bytes_delivered(self) -> int:
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
        return Flow(self, length, self._pool.now(), STALL_SECONDS, 0.0)

    def pause_reading(self) -> None:
        """The client takes no more for now."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def remainder(self) -> Remainder | None:
        """What is still to come of the answer that is passed on, and that the connection closes behind."""
        attempt = self._attempt
        is_passed_on = attempt is not None and attempt.is_streaming and self.is_usable
        return self._response_reader.remainder() if is_passed_on and self._body is None else None

    @property
    def descriptor(self) -> int:
        """Its socket's."""
        return int(self._transport.get_extra_info("socket").fileno()) if self._transport is not None else -1

    def freeze(self) -> bytes:
        """Neither read nor write; the bytes that have not gone out."""
        return self._transport.freeze() if isinstance(self._transport, SocketTransport) else b""

    def thaw(self) -> None:
        """Read and write again."""
        if isinstance(self._transport, SocketTransport):
            self._transport.thaw()

    def release(self) -> None:
        """Another process goes on with it: the connection is closed here without a word.

        An answer that has begun counts as served; an attempt before that is given up, with no verdict.
        """
        attempt, self._attempt = self._attempt, None
        if self._transport is not None:
            self._transport.abort()
        if attempt is not None:
            attempt.connection = None
            attempt.end(Outcome.OK if attempt.is_streaming else Outcome.CANCELLED)

    def resume(self, attempt: Attempt, body: Flow) -> None:
        """Go on with an attempt of another process, whose body still comes."""
        transport = self._transport
        assert transport is not None
        self._attempt, attempt.connection, self._attempt_started_at = attempt, self, self._pool.now()
        self.is_fully_written, self._body = False, body
        body.attach(self, self._attempt_started_at)
        if isinstance(transport, SocketTransport) and transport.is_writing_paused:
            body.sink_full(self._attempt_started_at)

    def cancel_reading(self) -> None:
        """The client has left, or nobody wants the answer."""
        if self._attempt is not None:
            self._attempt.stop(Outcome.CANCELLED)
        else:
            self.drop()

    def handle_input(self, data: memoryview) -> None:
        if self._attempt is None:  # bytes that nobody asked for would be taken for the next answer
            self.drop()
            return
        reader, is_streaming = self._response_reader, self._attempt.is_streaming
        answers = reader.feed(data)
        if is_streaming:
            if reader.body_flow is None:  # it is whole; what comes behind it is noise
                self._finish_stream(not answers and not reader.has_begun and reader.error is None)
            elif reader.error is not None:
                self._fail_on_bad_answer()
        elif answers:
            # A whole answer is good whatever comes behind it; the connection is not, as what follows,
            # even the start of another answer, would be taken for the next one.
            is_alone = len(answers) == 1 and not reader.has_begun and reader.error is None
            self._take_answer(answers[0], is_alone)
        elif reader.error is not None:
            self._fail_on_bad_answer()

    def _fail_on_bad_answer(self) -> None:
        log.warning("a host's answer is of no use: %s", self._response_reader.error)
        self._break()

    def _take_answer(self, answer: Message, is_alone: bool) -> None:
        if answer.body_flow is None:
            self._finish_answer(
                answer, self.is_fully_written and is_alone and not self._response_reader.has_bodyless_answer
            )
            return
        attempt = self._attempt
        assert attempt is not None
        if attempt.on_streaming is None or _outcome(answer) is not Outcome.OK:
            # What it says stands in its head, and nobody is to read its body.
            self._finish_answer(answer, False)
            return
        attempt.is_streaming, self._keep_alive = True, answer.keep_alive
        attempt.on_streaming(attempt, answer)
        if (
            self._attempt is attempt and self._response_reader.body_flow is None
        ):  # all of it was in this one read
            self._finish_stream(is_alone)

    def _finish_stream(self, is_clean: bool) -> None:
        """The body of an answer that is passed on is whole."""
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.connection = None
            self._return_to_pool(self.is_fully_written and is_clean and self._keep_alive)
            attempt.end(Outcome.OK)

    def _return_to_pool(self, is_clean: bool) -> None:
        """Idle until the next attempt, but not until the host closes it: a request could cross that."""
        host = self._host
        if is_clean and host.is_ready and self.is_usable:
            self.idle_since = now = self._pool.now()
            self.reusable_from = now + min(REUSE_DELAY_SECONDS, now - self._attempt_started_at)
            host.idle.append(self)
        else:
            self.drop()

    def _finish_answer(self, answer: Message, is_clean: bool) -> None:
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
        """It may be the end of an answer that says no length."""
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
        attempt, self._attempt = self._attempt, None
        was_fully_written = self.is_fully_written
        self.drop()
        rest = self._response_reader.body_flow
        if rest is not None:
            rest.fail()
        if attempt is not None:
            attempt.connection = None
            # With request bytes still here the host cannot have begun; after the last one it may have.
            attempt.end(Outcome.RESET if was_fully_written else Outcome.CONNECT_FAILED)

    def drop(self) -> None:
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
    # Only the host's own word proves that it did nothing: a 503 may as well come after the work.
    if answer.status in (503, 504) and answer.get(b"x-not-run") == "1":
        return Outcome.REJECTED
    return Outcome.ERROR


class ConnectionPool:
    """The hosts, and the connections to them."""

    def __init__(
        self,
        connect_time: float,
        idle_time: float,
        limit: int,
        unread_seconds_of: Callable[[asyncio.Transport], float] = seconds_since_received,
    ) -> None:
        """`lay`: for how many seconds what is read now lay here unread."""
        self._connect_time = connect_time
        self.unread_seconds_of = unread_seconds_of
        self.idle_time = max(idle_time / 2, idle_time - IDLE_MARGIN_SECONDS)
        self.limit = limit  # connections at most
        self._connecting = 0
        self.connections = 0
        self._hosts: dict[ServerId, _HostPool] = {}
        self._loop = asyncio.get_running_loop()
        self.now = self._loop.time
        self._sweep_seconds = min(SWEEP_SECONDS, self.idle_time / 4)
        self._loop.call_later(self._sweep_seconds, self._sweep)

    def retune(self, connect_time: float, idle_time: float, limit: int) -> None:
        """Go by other figures from now on."""
        self._connect_time, self.limit = connect_time, limit
        self.idle_time = max(idle_time / 2, idle_time - IDLE_MARGIN_SECONDS)
        self._sweep_seconds = min(SWEEP_SECONDS, self.idle_time / 4)

    @property
    def descriptors_in_use(self) -> int:
        """The descriptors in use, at most."""
        return self._connecting + self.connections

    def update(self, members: Iterable[Member], complete: bool) -> None:
        """Follow the list; a host that drains or left gets nothing more, from this moment on.

        What waited for one is given up only when all of the list holds: it may be sent elsewhere at once.
        """
        listed = {member.server.id: member for member in members}
        removed = [server for server in self._hosts if server not in listed] if complete else []
        for server, member in listed.items():
            known = self._hosts.get(server)
            # After a restart the old connections lead nowhere, even if no reset ever came over them.
            if known is not None and (
                member.server.state is not State.READY
                or (known.member.address, known.member.server.started_at)
                != (member.address, member.server.started_at)
            ):
                removed.append(server)
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
        """Close what has stood idle for long; of each host's the longest idle stands first."""
        oldest = self.now() - self.idle_time
        for host in self._hosts.values():
            while host.idle and host.idle[0].idle_since <= oldest:
                host.idle[0].drop()
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
        """Start an attempt; None if the host may not be sent to. It may end before this returns."""
        host = self._hosts.get(server)
        if host is None:
            return None
        now = self.now()
        attempt = Attempt(host, message, expires_at, on_ended, owner, number, now, on_streaming, may_begin)
        while (connection := host.take_idle(now)) is not None:
            if connection.is_quiet():
                self._begin(host, attempt, connection, waited=False)
                return attempt
            connection.drop()
        if self.descriptors_in_use >= self.limit and not self._make_room():
            log.warning("no descriptor is left for another connection")
            attempt.end(Outcome.LOCAL_FAILURE)
            return attempt
        self._connecting += 1
        host.connecting.add(attempt)
        on_connected = partial(self._on_connected, host, attempt)
        connecting = connect(
            lambda: HostConnection(self, host), host.member.address, self._connect_time, on_connected
        )
        attempt.task = self._loop.create_task(connecting)
        attempt.task.add_done_callback(partial(self._on_connect_done, host, attempt))
        return attempt

    def adopt(
        self, server: ServerId, endpoint: socket.socket, unsent: bytes
    ) -> tuple[TargetHost, HostConnection]:
        """Go on with a connection of another process, which neither reads nor writes yet, and its host."""
        host = self._hosts.get(server)
        if host is None:  # it has left, or was never listed here: nothing new goes there
            host = _HostPool(Member(Server(server, State.DRAINING), ("", 0)), is_ready=False)
        connection = HostConnection(self, host)
        SocketTransport(endpoint, connection, unsent, is_frozen=True)
        return host, connection

    def _make_room(self) -> bool:
        idle = [connection for host in self._hosts.values() for connection in host.idle]
        if idle:
            min(idle, key=lambda connection: connection.idle_since).drop()
        return bool(idle)

    def _on_connected(self, host: _HostPool, attempt: Attempt, connection: HostConnection) -> None:
        host.connecting.discard(attempt)
        self._begin(host, attempt, connection, waited=True)

    def _begin(self, host: _HostPool, attempt: Attempt, connection: HostConnection, waited: bool) -> None:
        """Send an attempt over a connection, if it may begin: there is no other way to one."""
        if attempt.may_begin is not None and not attempt.is_over:
            refusal = attempt.may_begin(attempt, host.is_ready, waited)
            if refusal is not None:
                attempt.stop(refusal)
        if attempt.is_over:
            connection.drop()
        elif connection.is_usable:  # one reset as soon as it was up would never report that it is lost
            connection.send_attempt(attempt, self.now())

    def _on_connect_done(self, host: _HostPool, attempt: Attempt, task: asyncio.Task[ConnectResult]) -> None:
        """The task is over, be it that it was cancelled before its first step, when nothing in it has run."""
        self._connecting -= 1
        host.connecting.discard(attempt)
        attempt.task = None
        if attempt.connection is None:
            has_finished = not task.cancelled() and task.exception() is None
            is_local = has_finished and task.result() is ConnectResult.LOCAL_FAILURE
            attempt.end(Outcome.LOCAL_FAILURE if is_local else Outcome.CONNECT_FAILED)
