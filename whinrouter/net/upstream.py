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
from whinrouter.net.attempt import Attempt, Began, Ended, MayBegin, Target
from whinrouter.net.connect import ConnectResult, connect
from whinrouter.net.hosts import Member
from whinrouter.net.http import LAST_CHUNK, Message, Reading, ResponseReader, chunk
from whinrouter.net.sockets import acknowledged, age, poller
from whinrouter.net.transport import SocketTransport
from whinrouter.streaming.flow import STALL, Flow
from whinrouter.streaming.remainder import Remainder

log = logging.getLogger(__name__)

QUICK = 0.005  # seconds within which an answer is not asked how long it lay unread
SWEEP_EVERY = 0.25  # seconds between looks at idle connections; a fraction of IDLE_MARGIN
# Seconds for which a connection rests after an answer: a second one that comes behind it, some milliseconds
# late (1 to 4 in 101 seen), would be taken for the next request's. No longer than the answer itself took, so
# that resting ones are never more than those in use were.
REST = 0.005
IDLE_MARGIN = 2.0  # seconds before the host's own limit at which an idle connection is dropped


@dataclass(slots=True, eq=False)
class _Host:
    member: Member
    ready: bool = True
    idle: list[HostConnection] = field(default_factory=list)  # the latest used last
    connecting: set[Attempt] = field(default_factory=set)

    def rested(self, now: float) -> HostConnection | None:
        """Take the latest used of those at rest for long enough; None if there is none.

        The longer one has stood idle, the likelier its host has closed it.
        """
        for place in range(len(self.idle) - 1, -1, -1):
            if self.idle[place].rests_until <= now:
                return self.idle.pop(place)
        return None


class HostConnection(Reading):
    """One connection to a host; carries one attempt at a time."""

    def __init__(self, pool: Upstream, host: _Host) -> None:
        self._answers = ResponseReader(self._flow)
        self._answers.clock = pool.now
        super().__init__(self._answers)
        self._body: Flow | None = None  # of the request, while it is passed on
        self._kept_alive = False  # whether the answer that is passed on leaves the connection open
        self._pool = pool
        self._host = host
        self._transport: asyncio.Transport | None = None
        self._poll: Callable[[float], list[tuple[int, int]]]
        self._attempt: Attempt | None = None
        self._begun = 0.0  # loop time of its latest attempt
        self.idle_since = 0.0
        self.rests_until = 0.0
        self.written = False

    @property
    def usable(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def quiet(self) -> bool:
        """Whether nothing has come since the last answer: neither the end of it all nor stray bytes wait."""
        transport = self._transport
        return transport is not None and not transport.is_closing() and not self._poll(0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        # It then tells whether any byte still waits: resume_writing means that the last one left.
        transport.set_write_buffer_limits(high=0)
        self._transport = transport
        self._poll = poller(transport.get_extra_info("socket"))
        self._pool.connections += 1

    def carry(self, attempt: Attempt, now: float) -> None:
        transport = self._transport
        assert transport is not None
        self._attempt, attempt.connection, self._begun = attempt, self, now
        self._answers.to_head = attempt.message.method == b"HEAD"
        self.written = True  # pause_writing takes it back at once if not all of it leaves
        transport.write(attempt.text(now))
        if transport.is_closing():  # the write failed outright: not one byte left
            self.written = False
        rest = attempt.message.rest
        if rest is not None:
            self.written, self._body = False, rest
            rest.attach(self, now)

    def take(self, data: bytes) -> None:
        """A piece of the request's body."""
        if self._transport is not None and self._body is not None and not self._transport.is_closing():
            self._transport.write(data if self._body.length is not None else chunk(data))

    def took_all(self) -> None:
        """The request's body is whole; the host has the last byte once it has left."""
        body, self._body = self._body, None
        transport = self._transport
        if transport is None or body is None or transport.is_closing():
            return
        self.written = transport.get_write_buffer_size() == 0
        if body.length is None:
            self.written = True
            transport.write(LAST_CHUNK)

    def cut(self) -> None:
        """The request's body broke off: its client has left, or sent what is no body."""
        self._body = None
        if self._attempt is not None:
            self._attempt.stop(Outcome.CANCELLED)

    def taken(self) -> int:
        return acknowledged(self._transport) if self._transport is not None else -1

    def pause_writing(self) -> None:
        self.written = False
        if self._body is not None:
            self._body.full(self._pool.now())

    def resume_writing(self) -> None:
        if self._body is not None:
            self._body.room(self._pool.now())
        else:
            self.written = True

    def _flow(self, length: int | None) -> Flow:
        return Flow(self, length, self._pool.now(), STALL, 0.0)

    def hold(self) -> None:
        """The client takes no more for now."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def go_on(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def remainder(self) -> Remainder | None:
        """What is still to come of the answer that is passed on, and that the connection closes behind."""
        attempt = self._attempt
        is_passed_on = attempt is not None and attempt.streams and self.usable
        return self._answers.remainder() if is_passed_on and self._body is None else None

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

    def let_go(self) -> None:
        """Another process goes on with it: the connection is closed here without a word.

        An answer that has begun counts as served; an attempt before that is given up, with no verdict.
        """
        attempt, self._attempt = self._attempt, None
        if self._transport is not None:
            self._transport.abort()
        if attempt is not None:
            attempt.connection = None
            attempt.end(Outcome.OK if attempt.streams else Outcome.CANCELLED)

    def resume(self, attempt: Attempt, body: Flow) -> None:
        """Go on with an attempt of another process, whose body still comes."""
        transport = self._transport
        assert transport is not None
        self._attempt, attempt.connection, self._begun = attempt, self, self._pool.now()
        self.written, self._body = False, body
        body.attach(self, self._begun)
        if isinstance(transport, SocketTransport) and transport.is_full:
            body.full(self._begun)

    def unwanted(self) -> None:
        """The client has left, or nobody wants the answer."""
        if self._attempt is not None:
            self._attempt.stop(Outcome.CANCELLED)
        else:
            self.drop()

    def received(self, data: memoryview) -> None:
        if self._attempt is None:  # bytes that nobody asked for would be taken for the next answer
            self.drop()
            return
        reader, streamed = self._answers, self._attempt.streams
        answers = reader.feed(data)
        if streamed:
            if reader.rest is None:  # it is whole; what comes behind it is noise
                self._finished(not answers and not reader.began and reader.error is None)
            elif reader.error is not None:
                self._spoilt()
        elif answers:
            # A whole answer is good whatever comes behind it; the connection is not, as what follows,
            # even the start of another answer, would be taken for the next one.
            alone = len(answers) == 1 and not reader.began and reader.error is None
            self._take_answer(answers[0], alone)
        elif reader.error is not None:
            self._spoilt()

    def _spoilt(self) -> None:
        log.warning("a host's answer is of no use: %s", self._answers.error)
        self._break()

    def _take_answer(self, answer: Message, alone: bool) -> None:
        if answer.rest is None:
            self._answered(answer, self.written and alone and not self._answers.bare)
            return
        attempt = self._attempt
        assert attempt is not None
        if attempt.began is None or _outcome(answer) is not Outcome.OK:
            # What it says stands in its head, and nobody is to read its body.
            self._answered(answer, False)
            return
        attempt.streams, self._kept_alive = True, answer.keep_alive
        attempt.began(attempt, answer)
        if self._attempt is attempt and self._answers.rest is None:  # all of it was in this one read
            self._finished(alone)

    def _finished(self, clean: bool) -> None:
        """The body of an answer that is passed on is whole."""
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.connection = None
            self._keep(self.written and clean and self._kept_alive)
            attempt.end(Outcome.OK)

    def _keep(self, clean: bool) -> None:
        """Idle until the next attempt, but not until the host closes it: a request could cross that."""
        host = self._host
        if clean and host.ready and self.usable:
            self.idle_since = now = self._pool.now()
            self.rests_until = now + min(REST, now - self._begun)
            host.idle.append(self)
        else:
            self.drop()

    def _answered(self, answer: Message, clean: bool) -> None:
        attempt, self._attempt = self._attempt, None
        assert attempt is not None
        attempt.connection = None
        now = self._pool.now()
        if self._transport is not None and now - attempt.started > QUICK:
            attempt.waited = min(self._pool.lay(self._transport), now - attempt.started)
        self._keep(answer.keep_alive and clean)
        attempt.end(_outcome(answer), answer)

    def eof_received(self) -> None:
        """It may be the end of an answer that says no length."""
        if self._attempt is not None:
            streamed = self._attempt.streams
            answers = self._answers.finish()
            if streamed and self._answers.rest is None:
                self._finished(False)
            elif answers:
                self._answered(answers[0], False)
        self._break()

    def connection_lost(self, exc: Exception | None) -> None:
        self._pool.connections -= 1
        self._break()
        self._answers.close()

    def _break(self) -> None:
        attempt, self._attempt = self._attempt, None
        written = self.written
        self.drop()
        rest = self._answers.rest
        if rest is not None:
            rest.fail()
        if attempt is not None:
            attempt.connection = None
            # With request bytes still here the host cannot have begun; after the last one it may have.
            attempt.end(Outcome.RESET if written else Outcome.CONNECT_FAILED)

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


class Upstream:
    """The hosts, and the connections to them."""

    def __init__(
        self,
        connect_time: float,
        idle_time: float,
        limit: int,
        lay: Callable[[asyncio.Transport], float] = age,
    ) -> None:
        """`lay`: for how many seconds what is read now lay here unread."""
        self._connect_time = connect_time
        self.lay = lay
        self.idle_time = max(idle_time / 2, idle_time - IDLE_MARGIN)
        self.limit = limit  # connections at most
        self._connecting = 0
        self.connections = 0
        self._hosts: dict[ServerId, _Host] = {}
        self._loop = asyncio.get_running_loop()
        self.now = self._loop.time
        self._sweep_every = min(SWEEP_EVERY, self.idle_time / 4)
        self._loop.call_later(self._sweep_every, self._sweep)

    def retune(self, connect_time: float, idle_time: float, limit: int) -> None:
        """Go by other figures from now on."""
        self._connect_time, self.limit = connect_time, limit
        self.idle_time = max(idle_time / 2, idle_time - IDLE_MARGIN)
        self._sweep_every = min(SWEEP_EVERY, self.idle_time / 4)

    @property
    def open(self) -> int:
        """The descriptors in use, at most."""
        return self._connecting + self.connections

    def update(self, members: Iterable[Member], complete: bool) -> None:
        """Follow the list; a host that drains or left gets nothing more, from this moment on.

        What waited for one is given up only when all of the list holds: it may be sent elsewhere at once.
        """
        named = {member.server.id: member for member in members}
        left = [server for server in self._hosts if server not in named] if complete else []
        for server, member in named.items():
            known = self._hosts.get(server)
            # After a restart the old connections lead nowhere, even if no reset ever came over them.
            if known is not None and (
                member.server.state is not State.READY
                or (known.member.address, known.member.server.started)
                != (member.address, member.server.started)
            ):
                left.append(server)
        hosts = [self._hosts.pop(server) for server in left]
        for server, member in named.items():
            if member.server.state is State.READY and server not in self._hosts:
                self._hosts[server] = _Host(member)
        for host in hosts:
            self._leave(host)

    def _leave(self, host: _Host) -> None:
        host.ready = False
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
        self._loop.call_later(self._sweep_every, self._sweep)

    def send(
        self,
        server: ServerId,
        message: Message,
        expires: float,
        ended: Ended,
        owner: Any = None,
        number: int = 0,
        began: Began | None = None,
        may_begin: MayBegin | None = None,
    ) -> Attempt | None:
        """Start an attempt; None if the host may not be sent to. It may end before this returns."""
        host = self._hosts.get(server)
        if host is None:
            return None
        now = self.now()
        attempt = Attempt(host, message, expires, ended, owner, number, now, began, may_begin)
        while (connection := host.rested(now)) is not None:
            if connection.quiet():
                self._begin(host, attempt, connection, waited=False)
                return attempt
            connection.drop()
        if self.open >= self.limit and not self._make_room():
            log.warning("no descriptor is left for another connection")
            attempt.end(Outcome.LOCAL_FAILURE)
            return attempt
        self._connecting += 1
        host.connecting.add(attempt)
        up = partial(self._up, host, attempt)
        connecting = connect(lambda: HostConnection(self, host), host.member.address, self._connect_time, up)
        attempt.task = self._loop.create_task(connecting)
        attempt.task.add_done_callback(partial(self._connected, host, attempt))
        return attempt

    def adopt(
        self, server: ServerId, endpoint: socket.socket, unsent: bytes
    ) -> tuple[Target, HostConnection]:
        """Go on with a connection of another process, which neither reads nor writes yet, and its host."""
        host = self._hosts.get(server)
        if host is None:  # it has left, or was never listed here: nothing new goes there
            host = _Host(Member(Server(server, State.DRAINING), ("", 0)), ready=False)
        connection = HostConnection(self, host)
        SocketTransport(endpoint, connection, unsent, frozen=True)
        return host, connection

    def _make_room(self) -> bool:
        idle = [connection for host in self._hosts.values() for connection in host.idle]
        if idle:
            min(idle, key=lambda connection: connection.idle_since).drop()
        return bool(idle)

    def _up(self, host: _Host, attempt: Attempt, connection: HostConnection) -> None:
        host.connecting.discard(attempt)
        self._begin(host, attempt, connection, waited=True)

    def _begin(self, host: _Host, attempt: Attempt, connection: HostConnection, waited: bool) -> None:
        """Send an attempt over a connection, if it may begin: there is no other way to one."""
        if attempt.may_begin is not None and not attempt.over:
            barred = attempt.may_begin(attempt, host.ready, waited)
            if barred is not None:
                attempt.stop(barred)
        if attempt.over:
            connection.drop()
        elif connection.usable:  # one reset as soon as it was up would never report that it is lost
            connection.carry(attempt, self.now())

    def _connected(self, host: _Host, attempt: Attempt, task: asyncio.Task[ConnectResult]) -> None:
        """The task is over, be it that it was cancelled before its first step, when nothing in it has run."""
        self._connecting -= 1
        host.connecting.discard(attempt)
        attempt.task = None
        if attempt.connection is None:
            ended = not task.cancelled() and task.exception() is None
            is_local = ended and task.result() is ConnectResult.LOCAL_FAILURE
            attempt.end(Outcome.LOCAL_FAILURE if is_local else Outcome.CONNECT_FAILED)
