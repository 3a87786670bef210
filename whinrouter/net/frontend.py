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
from whinrouter.net.attempt import Carrier, Target
from whinrouter.net.connect import Listener
from whinrouter.net.connection_state import ConnectionState
from whinrouter.net.gateway import MARGIN, Answer, Gateway, PassedRequest
from whinrouter.net.http import (
    LAST_CHUNK,
    MAX_LENGTH,
    BadMessageError,
    Headers,
    Message,
    Reading,
    RequestReader,
    chunk,
    write_answer,
    write_head,
)
from whinrouter.net.interpreter import RequestInterpreter
from whinrouter.net.priority_selector import Door
from whinrouter.net.routes import Routes
from whinrouter.net.sockets import acknowledged, age, end, left, reset, unread
from whinrouter.net.transport import SocketTransport
from whinrouter.operations.presence import Presence
from whinrouter.overload_control import OwnLimit
from whinrouter.streaming.flow import FLOOR, GRACE, TAKES, Flow, RateFloor
from whinrouter.streaming.remainder import Remainder

log = logging.getLogger(__name__)

MAX_QUEUED = 4  # requests that a client may send ahead on one connection; most send none
MAX_BUFFERED = 4 * 1024 * 1024  # bytes of requests that wait or have not come whole, of all clients together
# Seconds within which a head must be whole, from its connection's start or its own: slow clients take
# two. Those who open connections and send nothing, or begin and never end, are gone before they have waited
# for three. From its head on a body has the time that its bytes earn (`flow.py`).
RECEIVE_TIME = 2.4
# Seconds for which a connection is kept after an answer. Some clients ask once and never close, and clients
# together have only so many connections.
IDLE_TIME = 2.5
# Part of the limit from which on idle connections make room for new ones. Clients may have fewer places
# than we do, as behind an address translation, in a pool of their own or, here, by the platform's cap of a
# third of the descriptors; those that ask once and never close would fill these, and nobody could ask while
# we had room. It covers any pile of idle connections, leaked ones too. It could hurt where more clients
# than this ask seldom: each then connects anew, and what crosses a close is sent twice.
IDLE_PART = 0.5
MAX_PLAIN = 4096  # bytes of a request that may be refused without being parsed
COME_BACK = (0.2, 0.6)  # seconds after which those are to come back, spread: some intervals of ownlimit.py
# Seconds for which a client may go on sending what was rejected, before its bytes earn it more (`RateFloor`).
# To close at once would reset a client that still sends, and its answer with it.
LINGER = 0.5
SWEEP_EVERY = 0.25  # seconds between looks at who is overdue
# Seconds that a request needs to be sent on at all, of a process that is ended soon: its answer's way, and as
# much for the host.
LEAST_LEFT = 2 * MARGIN / SECOND
# Seconds after which a client that asked may have left again: it is looked at before its request is taken.
LEAVES_AFTER = 0.05
# Connections that are looked at to make room for one. Those with something unread go to the end of the line,
# so that a crowd of them costs each newcomer no more than these few looks.
LOOKS = 8
# Connections past the limit that are kept for one request each, to refuse it with an answer: a bare close
# leaves a client to guess whether its request was heard. Their descriptors are reserved (RESERVED in
# program.py).
MAX_SURPLUS = 8
_FRAMED = re.compile(
    rb"\n(?:content-length|transfer-encoding|expect|upgrade|connection)[ \t]*:", re.IGNORECASE
)


class Frontend:
    """The listener and its connections."""

    def __init__(
        self,
        gateway: Gateway,
        settings: Settings,
        limit: int,
        door: Door | None = None,
        routes: Routes | None = None,
        buffered: int | None = None,
    ) -> None:
        """`door`: the selector of this loop, if it knows of the process's own limit.

        `routes`: where paths lead, for an application that knows nothing of classes; its requests need no id.
        """
        self.gateway = gateway
        self.own = door.own if door else OwnLimit(kind.aim / SECOND for kind in settings.classes)
        self.door = door
        self.interpreter = RequestInterpreter(settings, routes)
        self._most_buffered = MAX_BUFFERED if buffered is None else buffered
        self._sweeping = False
        self._advises = settings.retry_after
        self._random = Random()
        self.limit = limit  # connections at most
        self.connections: set[ClientConnection] = set()
        self.surplus: set[ClientConnection] = set()  # those of them that are past the limit
        # Those with no request in work, in the order in which they make room for others.
        self.waiting: OrderedDict[ClientConnection, None] = OrderedDict()
        # Those with a body on its way, in either direction.
        self.streaming: set[ClientConnection] = set()
        self.open_ids: set[str] = set()  # of the requests in work
        self.buffered = 0  # bytes of requests that are not in work yet
        self.presence = Presence()
        self._loop = asyncio.get_running_loop()
        self.listener = Listener(lambda: ClientConnection(self))

    def listen(self, host: str, port: int, inherited: int | None = None) -> Coroutine[Any, Any, int]:
        """Take connections, once awaited; return the port, which 0 leaves to the system.

        `inherited`: the descriptor of a socket that listens already.
        """
        self.listener.bind(host, port, inherited)
        if self.door is not None and self.listener.descriptor is not None:
            self.door.listeners.add(self.listener.descriptor)
        if not self._sweeping:  # it may listen anew
            self._sweeping = True
            self._loop.call_later(SWEEP_EVERY, self._sweep)
        return self.listener.serve()

    @property
    def overfull(self) -> bool:
        """Whether more waits than may."""
        return self.buffered > self._most_buffered

    @property
    def longest(self) -> float:
        """Seconds in which each request that is here is over, by the settings in force and those before."""
        return self.interpreter.longest_deadline / SECOND

    def time_left(self) -> float:
        """Seconds within which a request that comes now is to be answered, whatever its client says."""
        longest, now = self.longest, self._loop.time()
        left, last = self.presence.time_left(now, longest), self.presence.last_answer(longest)
        return min(longest if left is None else left, longest if last is None else last - now)

    def stop(self) -> None:
        """The process ends: what begins or comes whole from now on has its answer before the kill."""
        now = self._loop.time()
        self.presence.stop(now)
        last = self.presence.last_answer(self.longest)
        if last is not None:
            self.gateway.answer_by(last - now)

    def refuse_rest(self) -> None:
        """The last moment for answers has come: what is still being received can't be taken any more."""
        for client in list(self.connections):
            client.refuse_rest()

    @property
    def ready(self) -> bool:
        return self.gateway.has_list and self.presence.up

    def retune(self, settings: Settings, limit: int, routes: Routes | None = None) -> None:
        """Go by other settings. What clients have sent by the old ones still comes in for a while."""
        self.interpreter.retune(settings, self._loop.time(), routes)
        self._advises, self.limit = settings.retry_after, limit
        self.own.retune(kind.aim / SECOND for kind in settings.classes)

    @property
    def has_room(self) -> bool:
        """Whether a connection of another process may go on here, without one that makes room for it."""
        return len(self.connections) < IDLE_PART * self.limit

    def adopt(self, endpoint: socket.socket, unsent: bytes) -> ClientConnection:
        """Go on with a connection of another process; it neither reads nor writes until it is thawed."""
        client = ClientConnection(self)
        SocketTransport(endpoint, client, unsent, frozen=True)
        return client

    def close_listener(self) -> None:
        """Take no new connection."""
        if self.listener.descriptor is not None and self.door is not None:
            self.door.listeners.discard(self.listener.descriptor)
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
        if len(self.connections) >= self.limit:
            made_room = self._make_room(lambda other: other.idle)
            if not (made_room or self._make_room(lambda other: other.gives_way)):
                return False
        elif len(self.connections) >= IDLE_PART * self.limit:
            self._make_room(lambda other: other.idle)
        self.connections.add(client)
        return True

    def admit_surplus(self, client: ClientConnection) -> bool:
        """Keep a connection past the limit for one request that is to be refused, if few are kept so."""
        if len(self.surplus) >= MAX_SURPLUS:
            return False
        self.surplus.add(client)
        self.connections.add(client)
        return True

    def _make_room(self, gives_way: Callable[[ClientConnection], bool]) -> bool:
        """Close the one that has waited longest of those that may go; False if none of the first few may."""
        may_go = (other for other in self.waiting if gives_way(other) and not other.owed)
        for other in list(islice(may_go, LOOKS)):
            if other.dispensable or other.lingering:
                other.drop(CloseReason.MAKES_ROOM)
                return True
            self.waiting.move_to_end(other)
        return False

    def _sweep(self) -> None:
        self._loop.call_later(SWEEP_EVERY, self._sweep)  # before anything that could fail
        now = self._loop.time()
        for client in [client for client in self.waiting if client.due <= now]:
            # With something unread the loop may be late, not the peer; after that time nobody waits any more.
            if client.dispensable or client.due + self.longest <= now:
                client.run_out()
        for client in [client for client in self.streaming if client.stuck(now)]:
            client.give_up()
        rest = self.presence.rest(now)
        if rest is not None:
            for client in [client for client in self.waiting if client.since <= now - rest]:
                client.close_if_idle()

    def turned_away(self) -> bytes:
        """The answer to a request that waited too long unread: nobody has heard of it."""
        return write_answer(HTTPStatus.SERVICE_UNAVAILABLE, self.advice(), b"", True)

    def advice(self) -> Headers:
        """When whoever is refused for want of room is to come back, if the settings let that be said."""
        if not self._advises:
            return []
        return [(b"retry-after", b"%.3f" % self._random.uniform(*COME_BACK))]


class ClientConnection(Reading):
    """One client's connection; its requests are handled one after the other."""

    def __init__(self, front: Frontend) -> None:
        self._requests = RequestReader(self._flow)
        super().__init__(self._requests)
        self._front = front
        self._in: Flow | None = None  # a body that comes, of the request in work or of one behind it
        self._own: Flow | None = None  # that of the request in work
        self._out: Flow | None = None  # of its answer, while it is passed on
        self._chunked = False  # and how
        self._newer = True  # it speaks HTTP/1.1
        self._long = False  # its last answer was passed on, and a part of it may be here still
        self._lingering = False  # its answer is out, and what still comes of its body is read and dropped
        self._dropped = 0  # bytes that came after what was rejected
        self._loop = asyncio.get_running_loop()
        self._requests.clock = self._loop.time
        self._transport: asyncio.Transport | None = None
        self._queued: deque[Message] = deque()
        self._busy = False
        self._request: RequestId | None = None
        self._id = ""
        self._close = False  # after the answer that is due
        self._deaf = False  # whatever comes now is not read any more
        self._crowded = False  # it sent too much ahead
        self._surplus = False  # it came at the limit of connections: its one request is refused
        self._unread = False  # the client does not take what was written to it
        self._descriptor = -1
        self._silent = True  # nothing has come yet
        self._begun = 1  # the message whose time to come runs: the first, from the connection's start
        self._bodied = 0  # the message whose body has begun
        self._pace = RateFloor(0.0)  # of that body, or of what is dropped
        self._counted = 0  # its part of what all have buffered
        self.since = 0.0  # loop time from which it waits
        self.due = 0.0  # and at which it has waited long enough

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._front.door is not None:
            self._descriptor = transport.get_extra_info("socket").fileno()
            self._front.door.clients.add(self._descriptor)
        if self._front.admit(self):
            self._wait(RECEIVE_TIME)
        elif self._front.admit_surplus(self):
            self._surplus = self._close = True
            self._wait(LINGER)
        else:
            self._note_close(CloseReason.SURPLUS)
            self._deaf = True
            transport.abort()

    @property
    def idle(self) -> bool:
        """Whether it is between requests: none is owed an answer, and none has begun to come."""
        return not (self._busy or self._queued or self._deaf or self._requests.began)

    @property
    def owed(self) -> int:
        """Bytes of its last answer that the system has not taken yet."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    @property
    def lingering(self) -> bool:
        """Whether its answer is out, and what still comes of its request is dropped."""
        return self._lingering

    @property
    def gives_way(self) -> bool:
        """Whether ending it loses no request that is whole, as far as was read."""
        return not (self._busy or self._queued)

    @property
    def dispensable(self) -> bool:
        """Whether nothing waits unread, nor will be read."""
        return self._deaf or self._transport is None or not unread(self._transport)

    def _wait(self, seconds: float) -> None:
        self.since = self._loop.time()
        self.due = self.since + seconds
        self._front.waiting[self] = None
        self._front.waiting.move_to_end(self)

    def received(self, data: memoryview) -> None:
        if self._deaf:
            self._drop_input(len(data))
            return
        came = self._came(data)
        if came is not None:
            self._read(data, came)

    def _read(self, data: bytes | memoryview, came: float) -> None:
        """Take bytes that were here at this loop time."""
        reader = self._requests
        messages = reader.feed(data)
        for message in messages:
            message.came = came
        self._queued.extend(messages)
        body = self._in
        if body is not None and body.came and body is self._in:
            self._body_came(body)
        if self._deaf:
            return
        if reader.size or self._counted or len(self._queued) > 1:  # else all of it begins now, or is idle
            self._count()
        if reader.error is not None:
            self._broken_input(reader.error.status)
        elif len(self._queued) > MAX_QUEUED or self._front.overfull:
            self._turn_away()
        else:
            self._next()
            self._note_begun(len(data))

    def _broken_input(self, status: HTTPStatus) -> None:
        """Nothing that follows can be told apart."""
        if self._lingering:  # its answer is out: what it was to is no matter any more
            self._part(CloseReason.ANSWERED)
        elif self._out is not None:  # a part of an answer has gone out, and the rest of it is due
            self._stop_reading()
            self._close = True
        else:
            self._reject(status)

    def _came(self, data: memoryview) -> float | None:
        """The loop time at which these bytes were here; None if nothing more is to be done with them."""
        assert self._transport is not None
        first, self._silent, door = self._silent, False, self._front.door
        now, waited = self._loop.time(), door.lay(self._transport, first) if door else age(self._transport)
        begins = not (self._busy or self._queued or self._requests.began)
        if begins and self._front.own.waited(waited, now) and self._turn_away_unread(data):
            return None
        # By the longest that it can have been: what the system tells of it is not always to be believed.
        can_be = door.at_most(first) if door else waited
        if can_be > min(self._front.own.target, LEAVES_AFTER) and left(self._transport):
            self.drop(CloseReason.CLIENT_LEFT)  # all that it could cause is work for nobody
            return None
        return now - waited

    def _turn_away_unread(self, data: memoryview) -> bool:
        """Refuse a whole request without a look into it, if it is plain enough that its end is sure."""
        text = bytes(data[: MAX_PLAIN + 1])
        if len(text) > MAX_PLAIN or not text.startswith(b"GET /") or text.find(b"\r\n\r\n") != len(text) - 4:
            return False
        if text.startswith(b"GET /up ") or _FRAMED.search(text) or self._transport is None:
            return False
        if unread(self._transport):  # to close over another request would lose it
            return False
        # Kept, it would ask again at once; anew, it waits to be accepted, which costs nothing here.
        self._transport.write(self._front.turned_away())
        self._note_close(CloseReason.OVERLOAD)
        self._stop_reading()
        self._transport.close()
        return True

    def _flow(self, length: int | None) -> Flow:
        if self._in is not None:  # the body before this one ended in the same read
            self._body_came(self._in)
        self._in = Flow(self, length, self._loop.time(), GRACE, FLOOR)
        self._front.streaming.add(self)
        return self._in

    def _body_came(self, body: Flow) -> None:
        self._in = None
        if self._out is None:
            self._front.streaming.discard(self)
        if self._lingering:
            self._part(CloseReason.ANSWERED)
        elif body is self._own and self._request is not None:
            self._front.gateway.whole(self._request)

    @property
    def _last(self) -> bool:
        """Whether the request in work is to be the last: no more are wanted, and none that is whole waits."""
        return not (self._front.presence.up or self._queued)

    @property
    def _early(self) -> bool:
        """Whether the body of the request in work is to come yet."""
        return self._own is not None and not self._own.came

    def hold(self) -> None:
        """The host takes no more for now."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def go_on(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def unwanted(self) -> None:
        """Nobody takes the body's rest, and there is no answer to it."""
        self.drop(CloseReason.ANSWER_BROKEN)

    def take(self, data: bytes) -> None:
        """A piece of the answer's body."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(chunk(data) if self._chunked else data)

    def took_all(self) -> None:
        """The answer is whole."""
        self._out, self._long = None, True
        if self._in is None:
            self._front.streaming.discard(self)
        if self._chunked and self._transport is not None and not self._transport.is_closing():
            self._transport.write(LAST_CHUNK)
        self._answered()

    def cut(self) -> None:
        """The answer's rest will not come: a reset, so that the client can tell."""
        self._out = None
        self._front.waiting.pop(self, None)
        self._note_close(CloseReason.ANSWER_BROKEN)
        self._deaf = True
        if self._transport is not None:
            reset(self._transport)

    def taken(self) -> int:
        return acknowledged(self._transport) if self._transport is not None else -1

    @property
    def state(self) -> ConnectionState:
        """What it is in the middle of."""
        if self._transport is None or self._surplus or self._crowded or self._lingering:
            return ConnectionState.ENDING
        if self._out is not None:
            return ConnectionState.ANSWERING if self._in is None else ConnectionState.WAITING
        if self._busy:
            return ConnectionState.UPLOADING if self._early else ConnectionState.WAITING
        if self._queued or self._in is not None:
            return ConnectionState.WAITING
        if self._deaf or self._transport.is_closing():
            return ConnectionState.FLUSHING if self.owed else ConnectionState.ENDING
        return ConnectionState.RECEIVING if self._requests.began else ConnectionState.IDLE

    @property
    def request(self) -> RequestId | None:
        """The one in work."""
        return self._request

    @property
    def passed_on(self) -> Flow | None:
        """The body of the answer that is on its way."""
        return self._out

    @property
    def upload(self) -> Flow | None:
        """The body of the request in work, while it comes."""
        return self._own

    @property
    def chunked(self) -> bool:
        """Whether the answer that is on its way goes out in chunks."""
        return self._chunked

    @property
    def ends_with_answer(self) -> bool:
        """Whether it closes behind the answer that is due."""
        return self._close or not self._newer

    @property
    def input(self) -> RequestReader:
        """The reader of what it sends."""
        return self._requests

    def freeze(self) -> bytes:
        """Neither read nor write; the bytes that have not gone out."""
        return self._transport.freeze() if isinstance(self._transport, SocketTransport) else b""

    def thaw(self) -> None:
        """Read and write again."""
        if isinstance(self._transport, SocketTransport):
            self._transport.thaw()

    def abandon(self) -> None:
        """It stays with the process that offered it: forget it, without a word to its client."""
        self._note_close(CloseReason.PASSED_ON)
        self._deaf = True
        if self._transport is not None:
            self._transport.abort()

    def take_up(self, incoming: bytes) -> None:
        """Go on from these bytes, which another process read and has not used."""
        self._silent = False
        self._long = self.owed > 0  # a slow reader may take long over the last part of an answer
        self.thaw()
        if incoming:
            self._read(incoming, self._loop.time())

    def flush_and_close(self) -> None:
        """Close once what another process left unsent has gone out."""
        self._note_close(CloseReason.ANSWERED)
        self._stop_reading()
        self._wait(IDLE_TIME)
        self._long = True  # the last part of an answer, which a slow reader may take long over
        self.thaw()
        if self._transport is not None:
            self._transport.close()

    def resume_upload(
        self, passed: PassedRequest, remainder: Remainder, received: int, length: int | None, closes: bool
    ) -> Flow:
        """Be in the middle of a request that another process sent on; the flow that its rest goes into."""
        self._silent, self._busy, self._close = False, True, closes
        self._front.waiting.pop(self, None)
        self._own = body = self._requests.resume(remainder, length, received)
        self._begun = self._requests.count
        self._id = passed.name
        self._front.open_ids.add(passed.name)
        return body

    def resume_request(self, passed: PassedRequest, body: Flow, host: Target, connection: Carrier) -> None:
        """Have the gateway go on with that request over the connection to its host."""
        gateway = self._front.gateway
        request = gateway.adopt(passed, body, self._reply, self.gone, host, connection)
        if self._busy:
            self._request = request

    @property
    def descriptor(self) -> int:
        """Its socket's."""
        return int(self._transport.get_extra_info("socket").fileno()) if self._transport is not None else -1

    def let_go(self) -> None:
        """Another process goes on with it: the connection is closed here without a word."""
        self._note_close(CloseReason.PASSED_ON)
        if self._request is not None and self._own is not None and not self._own.came:
            self._own.release()
            self._front.gateway.let_go(self._request)
        self._in = self._own = self._out = None
        self._front.streaming.discard(self)
        self._stop_reading()
        self._busy, self._request = False, None
        self._free_id()
        if self._transport is not None:
            self._transport.abort()

    def stuck(self, now: float) -> bool:
        """Whether a body on its way is not moved."""
        return self._sends_too_slowly(now) or (self._out is not None and self._out.overdue(now))

    def _sends_too_slowly(self, now: float) -> bool:
        """Whether the body that comes is overdue; with something unread the loop is late, not the client."""
        body = self._in
        if body is None or not body.overdue(now):
            return False
        loop_is_late = not body.held and self._transport is not None and unread(self._transport)
        return not loop_is_late or body.overdue(now - self._front.longest)

    def give_up(self) -> None:
        """The client does not send its body, or take its answer, or the host does not give it."""
        self._front.streaming.discard(self)
        log.warning("a body is not moved any more: to the client %s, from it %s", self._out, self._in)
        if self._out is None and self._in is not None:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.drop(CloseReason.BODY_STALLED)

    def _count(self) -> None:
        held = sum(len(message.body) for message in self._queued) + self._requests.size
        self._front.buffered += held - self._counted
        self._counted = held

    def _note_begun(self, came: int) -> None:
        if self._lingering:
            self._extend(came)
        if self._busy or self._lingering or not self._requests.began:
            return
        now = self._loop.time()
        if self._requests.count > self._begun:
            self._begun = self._requests.count
            self._wait(RECEIVE_TIME)
        elif self._requests.in_body:
            if self._bodied == self._begun:
                self._pace.earn(came, now)
            else:
                self._bodied, self._pace = self._begun, RateFloor(now)
            self.due = self._pace.due
        if self._requests.waits_for_leave and self._transport is not None:
            self._requests.waits_for_leave = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _stop_reading(self) -> None:
        self._deaf = True
        self._queued.clear()
        self._requests.forget()
        self._count()

    def refuse_rest(self) -> None:
        """Refuse a request of which a part has come, and nothing was sent on; close if there is none."""
        if self.idle:
            self.close_if_idle()
        elif self.gives_way and self._requests.began and not (self._deaf or self._lingering):
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE, CloseReason.SHUTDOWN)

    def _reject(self, status: HTTPStatus, reason: CloseReason = CloseReason.BAD_INPUT) -> None:
        """Nothing that comes after this can be told apart any more.

        A request in work ends with it: what follows shows that its length was wrong, and so what it held.
        """
        self._note_close(reason)
        self._end_request()
        self._stop_reading()
        self._close = True
        self._write(Answer(status))
        # To close with bytes unread would reset the connection, and could take this answer with it.
        if self._transport is not None and not self._transport.is_closing():
            with contextlib.suppress(OSError):  # the client reset it while it was not read
                self._transport.write_eof()
            self._wait(LINGER)
            self._front.waiting.move_to_end(self, last=False)  # the first to make room
            self._pace.due = self.due

    def _refuse(self, status: HTTPStatus) -> None:
        """A request that can't be taken; its body, if that is to come yet, is read and dropped."""
        if self._early:
            self._close = True
            self._finish(Answer(status))
            self._linger()
        else:
            self._reject(status)

    def _drop_input(self, count: int) -> None:
        """Bytes came behind what was rejected: a client that still sends has not read its answer yet."""
        self._dropped += count
        if self._dropped <= MAX_LENGTH:
            self._extend(count)

    def _extend(self, count: int) -> None:
        """Give a client that still sends what nobody wants the time that so many bytes earn."""
        self._pace.earn(count, self._loop.time())
        self.due = self._pace.due

    def _turn_away(self) -> None:
        """It sends more than may wait. What is in work may have run: only its own answer will do for that."""
        self._stop_reading()
        self._crowded = True
        if not self._busy:
            self._reject(HTTPStatus.TOO_MANY_REQUESTS)

    def gone(self) -> bool:
        """Whether the client has left, though the loop may not have been told yet; its connection ends then.

        The loop is told late where it runs late or the client's socket waits its turn at the own limit, and
        where nothing is read for now, as the host takes no more of a body.
        """
        if self._transport is None or self._transport.is_closing():
            return True
        if not left(self._transport):
            return False
        self.drop(CloseReason.CLIENT_LEFT)
        return True

    def _go_on_with_next(self) -> None:
        """What waited behind another request is next, if anybody waits for it still."""
        if not self._queued or self._deaf or not self.gone():
            self._next()

    def _next(self) -> None:
        while self._queued and not self._busy and not self._unread:
            message = self._queued.popleft()
            if self._counted:
                self._count()
            self._busy = True
            self._front.waiting.pop(self, None)
            self._long = False
            self._close = self._close or not message.keep_alive
            self._newer, self._own = message.newer, message.rest
            try:
                self._begin(message)
            except BadMessageError as error:
                self._refuse(error.status)
            except Exception:
                log.exception("failed on a request")
                self._reply(Answer(HTTPStatus.INTERNAL_SERVER_ERROR))

    def _begin(self, message: Message) -> None:
        if message.target == b"/up" and message.method == b"GET":
            self._reply(Answer(HTTPStatus.OK if self._front.ready else HTTPStatus.SERVICE_UNAVAILABLE))
            return
        front = self._front
        if self._surplus:
            self._reply(Answer(HTTPStatus.SERVICE_UNAVAILABLE, front.advice()))
            return
        asked = front.interpreter.interpret(message, self._loop.time())
        name = asked.name
        if name in front.open_ids:
            # Hosts tell requests apart by their ids: a second one could have the first's effect again.
            raise BadMessageError(HTTPStatus.BAD_REQUEST, "the id is in use")
        if not front.presence.up:
            left = front.time_left()
            if left <= LEAST_LEFT:
                self._reply(Answer(HTTPStatus.SERVICE_UNAVAILABLE))
                return
            asked = asked._replace(timeout=min(asked.timeout, round(left * SECOND)))
        self._id = name
        front.open_ids.add(name)
        waited = max(0.0, self._loop.time() - message.came)
        request = front.gateway.take(asked, self._reply, waited, self.gone)
        if self._busy:  # it may have its answer already
            self._request = request
            if message.rest is not None and self._requests.waits_for_leave and self._transport is not None:
                self._requests.waits_for_leave = False  # somebody wants the body
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def pause_writing(self) -> None:
        """Answers nobody reads must not pile up: the next request waits, and so does what is passed on."""
        self._unread = True
        if self._out is not None:
            self._out.full(self._loop.time())

    def resume_writing(self) -> None:
        self._unread = False
        if self._out is not None:
            self._out.room(self._loop.time())
        self._go_on_with_next()

    def _reply(self, answer: Answer) -> None:
        if not self._busy:
            return
        if answer.rest is not None:
            self._pass_on(answer, answer.rest)
            return
        if self._early:  # the answer is here before the request
            self._close = True
            self._finish(answer)
            self._linger()
            return
        self._finish(answer)
        self._rest_after()

    def _linger(self) -> None:
        """Read and drop what still comes of a body whose request has its answer; then close.

        To close at once would reset the connection under a client that still sends, and take with it an
        answer that was not read yet. The client has the time that its bytes earn (`RateFloor`), until its
        body has come or is longer than any may be; it makes room for others where there is none left.
        """
        now = self._loop.time()
        self._lingering, self._pace = True, RateFloor(now)
        self._front.streaming.discard(self)
        if self._own is not None:
            self._own.discard(now)
        self._wait(GRACE)
        self._front.waiting.move_to_end(self, last=False)

    def _pass_on(self, answer: Answer, rest: Flow) -> None:
        """Its body goes on as it comes."""
        self._close = self._close or self._last or self._early
        length, transport = rest.length, self._transport
        self._chunked = length is None and self._newer
        self._close = self._close or (length is None and not self._newer)
        if transport is None or transport.is_closing():
            rest.cancel()
            return
        self._out = rest
        self._front.streaming.add(self)
        transport.write(write_head(answer.status, answer.headers, length, self._chunked, self._close))
        if answer.body:
            self.take(answer.body)
        rest.attach(self, self._loop.time())
        if self._unread and self._out is rest:
            rest.full(self._loop.time())

    def _answered(self) -> None:
        """An answer that was passed on is whole."""
        self._busy, self._request = False, None
        self._free_id()
        if self._early:
            self._linger()
        else:
            self._rest_after()

    def _finish(self, answer: Answer) -> None:
        self._busy, self._request = False, None
        self._free_id()
        self._close = (self._close or self._last) and not self._crowded
        self._write(answer)

    def _rest_after(self) -> None:
        """Its answer is out: the connection ends, or waits for the next request."""
        if self._crowded:
            self._reject(HTTPStatus.TOO_MANY_REQUESTS)
            return
        if self._close and self._transport is not None:
            self._note_close(CloseReason.ANSWERED)
            self._stop_reading()
            self._transport.close()
        self._wait(RECEIVE_TIME if self._requests.began else IDLE_TIME)
        self._begun = self._requests.count
        if self._queued:
            self._loop.call_soon(self._go_on_with_next)

    def _write(self, answer: Answer) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(write_answer(answer.status, answer.headers, answer.body, self._close))

    def run_out(self) -> None:
        """It has waited long enough: for a request, the rest of one, or its last answer to be read.

        Of a long answer a slow reader may have a last part to come for as long as any takes.
        """
        if self._long and self.owed and self._loop.time() < self.due + TAKES:
            return
        if self._requests.began and not (self._deaf or self._lingering):
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.drop(CloseReason.BODY_STALLED if self._unread else CloseReason.OVERDUE)

    def _note_close(self, reason: CloseReason) -> None:
        """Have the guard look at a close, before anything of what is owed is forgotten."""
        gateway = self._front.gateway
        is_owed = self._busy or bool(self._queued)
        gateway.guards.close(self._request or 0, is_owed, reason, gateway.clock.now())

    def drop(self, reason: CloseReason) -> None:
        """Close it now; what it is owed goes with it."""
        self._front.waiting.pop(self, None)
        if not self._deaf:
            self._note_close(reason)
        self._deaf = True
        if self._transport is not None:
            end(self._transport)

    def close_if_idle(self) -> None:
        """Close it if it is between requests; one that has begun to come is still taken."""
        if self.idle and self.dispensable:
            self._part(CloseReason.IDLE)

    def _part(self, reason: CloseReason) -> None:
        """Close it; what it is owed still goes out."""
        if not self._deaf:
            self._note_close(reason)
        self._deaf = True
        if self._transport is not None:
            if self.owed:
                self._transport.close()
            else:
                end(self._transport)

    def eof_received(self) -> None:
        """The client has left: nothing of it that waits here is sent on.

        The transport closes after this, though only once what the client is owed has gone out; room for more
        of that would begin its next request.
        """
        self._note_close(CloseReason.CLIENT_LEFT)
        self._stop_reading()
        self._end_request()

    def connection_lost(self, exc: Exception | None) -> None:
        self._front.connections.discard(self)
        self._front.surplus.discard(self)
        if self._front.door is not None:
            self._front.door.clients.discard(self._descriptor)
        self._front.waiting.pop(self, None)
        self._front.buffered -= self._counted
        self._counted = 0
        self._deaf = self._close = True
        self._queued.clear()
        self._front.streaming.discard(self)
        self._end_request()
        self._requests.close()

    def _end_request(self) -> None:
        """Give up the one in work: nothing is owed to it, and its id is free."""
        request, self._request = self._request, None
        self._busy = False
        self._free_id()
        if request is not None:
            self._front.gateway.leave(request)
        coming, self._in, self._own = (self._in, self._own), None, None
        going, self._out = self._out, None
        for flow in coming:
            if flow is not None:
                flow.fail()
        if going is not None:
            going.cancel()

    def _free_id(self) -> None:
        self._front.open_ids.discard(self._id)
        self._id = ""
