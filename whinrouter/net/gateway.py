"""Drives one `Balancer`: events in, actions out, timers and deadlines. It decides nothing."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from whinrouter.balance import Balancer
from whinrouter.interface import (
    SECOND,
    Action,
    AttemptEnded,
    BodyReceived,
    Cancel,
    Event,
    Fail,
    Outcome,
    Refuse,
    Request,
    RequestAdopted,
    RequestGone,
    RequestId,
    Send,
    ServerId,
    ServerList,
    SetTimer,
    Settings,
    State,
    StreamStarted,
    TimerFired,
    Update,
)
from whinrouter.invariants.events import EventKind
from whinrouter.invariants.lifecycle import Guards, RequestLife
from whinrouter.learned_state import Learnt
from whinrouter.net.attempt import Attempt, Carrier, Sender, Target
from whinrouter.net.hosts import HostList
from whinrouter.net.http import Headers, Message
from whinrouter.net.timer_wheel import Timer, Wheel
from whinrouter.streaming.flow import Flow

log = logging.getLogger(__name__)

# Microseconds that a body may take to come: 40 MiB at the least rate (`FLOOR`), and half as much again.
LONGEST_BODY = 2_000 * SECOND
# Microseconds before the client's own limit by which its answer is due: its way here, which the limit counts
# too, the way back, and a loop that runs late. On a busy core both ways together took 10 ms at the 99th
# percentile.
MARGIN = 15_000


class Answer(NamedTuple):
    status: int
    headers: Headers = []  # noqa: RUF012 - nobody adds to it
    body: bytes = b""
    rest: Flow | None = None  # of the body, where it is passed on as it comes


class PassedRequest(NamedTuple):
    """A request that another process goes on with, as far as its decisions need to know."""

    name: str  # its id, as its client gave it
    class_name: str  # empty: a class that was never announced
    patience: int  # microseconds that its client waits from the end of its body
    server: ServerId


class Asked(NamedTuple):
    """A client's request as the module wants it, and as a host does."""

    message: Message
    class_name: str
    timeout: int  # microseconds
    cost: int = 0
    key: str | None = None
    retry: bool = False
    tenant: str = ""
    name: str = ""  # its id, as its client gave it


class _Held:
    """A request with its answer owed, or attempts out."""

    __slots__ = (
        "begins_by",
        "gone",
        "life",
        "message",
        "name",
        "never_ran",
        "patience",
        "reply",
        "request",
        "sent",
        "spared",
        "timer",
        "whole",
        "wishes",
    )

    def __init__(
        self,
        request: RequestId,
        message: Message,
        reply: Callable[[Answer], None],
        life: RequestLife,
        gone: Callable[[], bool] | None,
        name: str,
    ) -> None:
        self.name = name  # its id, as its client gave it
        self.gone = gone  # whether its client has left, as far as the system knows
        self.request = request
        self.message = message
        self.reply: Callable[[Answer], None] | None = reply  # None once it has its answer, or the client left
        self.life = life
        self.timer: Timer | None = None
        self.spared = False  # its time was up while an answer lay unread
        self.sent: list[Attempt | None] = []  # by number; None once it has ended
        self.never_ran = 0  # how many of them have ended so
        self.begins_by = 0  # when all are to have begun if another may have run; 0: any time
        self.patience = (
            0  # microseconds that its client waits from the end of its body, if that is to come yet
        )
        self.whole = 0.0  # loop time at which such a body was whole; 0.0 before
        self.wishes: list[tuple[Attempt, int, TimerFired]] = []  # timers that wait for that

    @property
    def comes(self) -> bool:
        """Whether its body is still to come."""
        return self.patience > 0 and not self.whole


class Clock:
    """Moments in microseconds of the machine's monotonic clock; whatever the wall clock says is not read.

    0 stands for long ago in the module's words, so moments begin at `ORIGIN`.
    """

    ORIGIN = 1 << 50  # some 35 years: more than any span that is taken off a moment

    def now(self) -> int:
        return self.ORIGIN + time.monotonic_ns() // 1000


class Gateway:
    def __init__(self, balancer: Balancer, upstream: Sender, attempt_time: int = 0) -> None:
        """`attempt_time`: microseconds that an attempt may take; 0: what is left of its request's time."""
        self._attempt_time = attempt_time
        self._balancer = balancer
        self._upstream = upstream
        self.clock = Clock()
        self.guards = Guards(balancer.settings)
        self._loop = asyncio.get_running_loop()
        self._timers = Wheel(self._loop)
        self._held: dict[RequestId, _Held] = {}
        self._last = 0
        self._events: deque[tuple[Event, RequestId | None]] = deque()
        self._working = False
        self._last_answer = 0  # moment by which late requests have their answers; 0: none
        self.has_list = False

    @property
    def holds(self) -> int:
        """How many requests are owed an answer."""
        return sum(held.reply is not None for held in self._held.values())

    def retune(self, settings: Settings, attempt_time: int = 0) -> None:
        """The module goes on by other settings."""
        self._attempt_time = attempt_time
        self._balancer.retune(settings)
        self.guards.retune(settings)
        self.note(EventKind.RELOADED, "settings")

    def note(self, kind: EventKind, detail: str) -> None:
        """Keep an event of the process beside those of its requests."""
        self.guards.happened(kind, detail, self.clock.now())

    def learnt(self, now: int) -> Learnt:
        """What the module of a process in this one's place goes on from, in spans from now."""
        return self._balancer.learnt(now)

    def resume(self, learnt: Learnt, part: float, now: int) -> None:
        """Go on from what the module of another process learnt, for a part of its requests."""
        self._balancer.resume(learnt, part, now)

    def scale(self, by: float) -> None:
        """The module has so many times the requests that it had."""
        self._balancer.scale(by)

    def list_hosts(self, told: HostList, stale: bool = False) -> None:
        whole = told.complete or stale
        for member in told.members:
            if member.server.state is not State.READY:
                detail = f"{member.server.id} {member.server.state.value}"
                self.note(EventKind.HOST_STOPPED, detail)
        self._upstream.update(told.members, whole)
        update = Update.STALE if stale else Update.FULL if whole else Update.CHANGES
        self.has_list = self.has_list or bool(told.members)
        self._feed(ServerList(update, tuple(member.server for member in told.members)))

    def take(
        self,
        asked: Asked,
        reply: Callable[[Answer], None],
        waited: float = 0.0,
        gone: Callable[[], bool] | None = None,
    ) -> RequestId:
        """A client asks, whose request has waited here for so many seconds.

        `reply` is called exactly once, unless the client leaves. `gone` says whether it has: it is asked
        before anything that has waited is written to a host.
        """
        self._last = request = self._last + 1
        message, class_name, timeout, cost, key, retry, tenant, name = asked
        lay, now = round(waited * SECOND), self.clock.now()
        time_is_up = bool(lay) and timeout <= lay + MARGIN
        timeout = max(1, timeout - lay - MARGIN)
        life = self.guards.start(request, class_name, now + timeout, now, name)
        held = _Held(request, message, reply, life, gone, name)
        if time_is_up:  # no host has heard of it
            self._give(held, Answer(503), now, "its time was up unread")
            return request
        self._held[request] = held
        streams = message.rest is not None and not message.rest.came
        message.patience = timeout / SECOND
        if streams:  # its time begins with the end of its body
            held.life.deadline, held.patience = now + LONGEST_BODY, timeout
        self._set_deadline(held, held.life.deadline, now)
        self._feed(Request(request, class_name, timeout, cost, key, retry, tenant, streams), request, now)
        return request

    def passable(self, request: RequestId) -> PassedRequest | None:
        """A request that another process can go on with: its one attempt has begun, its body still comes."""
        held = self._held.get(request)
        if held is None or held.reply is None or not held.comes:
            return None
        out = [attempt for attempt in held.sent if attempt is not None]
        if len(out) != 1 or not out[0].begun or out[0].connection is None or out[0].streams:
            return None
        kind = held.life.kind
        server = out[0].host.member.server.id
        return PassedRequest(held.name, kind.name if kind is not None else "", held.patience, server)

    def let_go(self, request: RequestId) -> None:
        """Another process goes on with it, and with its attempt: nothing is owed here."""
        held = self._held.get(request)
        if held is None:
            return
        held.reply = None
        self.guards.pass_on(held.life, self.clock.now())
        for attempt in list(held.sent):
            if attempt is not None and attempt.connection is not None:
                attempt.connection.let_go()
        self._forget(held)

    def adopt(
        self,
        passed: PassedRequest,
        body: Flow,
        reply: Callable[[Answer], None],
        gone: Callable[[], bool],
        host: Target,
        connection: Carrier,
    ) -> RequestId:
        """Go on with a request of another process, whose attempt is out over this connection."""
        self._last = request = self._last + 1
        now, loop_now = self.clock.now(), self._loop.time()
        message = Message(b"POST", rest=body)
        message.patience = passed.patience / SECOND
        deadline = now + LONGEST_BODY
        life = self.guards.adopt(request, passed.class_name, deadline, host.member.server, now, passed.name)
        held = _Held(request, message, reply, life, gone, passed.name)
        held.patience = passed.patience
        expires = loop_now + LONGEST_BODY / SECOND
        attempt = Attempt(host, message, expires, self._ended, held, 0, loop_now, self._began)
        attempt.begun = True
        held.sent.append(attempt)
        self._held[request] = held
        self._set_deadline(held, deadline, now)
        self._feed(
            RequestAdopted(request, passed.class_name, passed.patience, host.member.server.id), request, now
        )
        connection.resume(attempt, body)
        return request

    def answer_by(self, seconds: float) -> None:
        """The process ends soon: what begins, or whose body is still to come, has its answer in this time."""
        now = self.clock.now()
        self._last_answer = now + round(seconds * SECOND)
        for held in list(self._held.values()):
            if held.reply is not None and held.comes:
                self._set_deadline(held, held.life.deadline, now)

    def _set_deadline(self, held: _Held, deadline: int, now: int) -> None:
        """Have it answered by then, or by the last moment for answers of a process that ends."""
        held.life.deadline = min(deadline, self._last_answer) if self._last_answer else deadline
        if held.timer is not None:
            held.timer.cancel()
        left = max(0, held.life.deadline - now)
        held.timer = self._timers.call_later(left / SECOND, self._expire, held)

    def whole(self, request: RequestId) -> None:
        """The body of a request that was taken before it has come: its time begins."""
        held = self._held.get(request)
        if held is None or not held.comes:
            return
        now = self.clock.now()
        held.whole = self._loop.time()
        held.life.deadline = now + held.patience
        self._feed(BodyReceived(request), request)
        if held.reply is not None:
            self._set_deadline(held, held.life.deadline, now)
        elif held.timer is not None:
            held.timer.cancel()
        wishes, held.wishes = held.wishes, []
        for attempt, delay, fired in wishes:
            if not attempt.over:
                attempt.timer = self._timers.call_later(delay / SECOND, self._fire, attempt, fired, True)

    def leave(self, request: RequestId) -> None:
        """The client closed its connection: nothing is owed, and nothing may be sent to it any more."""
        held = self._held.get(request)
        if held is not None and held.reply is not None:
            held.reply = None
            self.guards.leave(held.life, self.clock.now())
            self._feed(RequestGone(request), request)
            self._forget(held)

    def _feed(self, event: Event, request: RequestId | None = None, now: int = 0) -> None:
        """Hand events to the module one by one: carrying out an action may bring the next.

        `request` is the one that the event is about, and `now` the clock's time if it was just read.
        """
        if self._working:
            self._events.append((event, request))
            return
        self._working = True
        try:
            self._handle(event, request, now or self.clock.now())
            while self._events:
                event, request = self._events.popleft()
                self._handle(event, request, self.clock.now())
        finally:
            self._working = False

    def _handle(self, event: Event, request: RequestId | None, now: int) -> None:
        try:
            for action in self._balancer.handle(event, now):
                self._do(action, now)
            held = self._held.get(request) if request is not None else None
            if held is not None and held.reply is None:
                self._forget(held)
        except Exception:
            # One request must not end the process, nor be left without an answer.
            log.exception("failed on %s", type(event).__name__)
            if request is not None:
                self._give_up(request, 500)

    def _do(self, action: Action, now: int) -> None:
        # In the order of how often each comes.
        if isinstance(action, Send):
            self._send(self._held[action.request], action, now)
        elif isinstance(action, SetTimer):
            self._set_timer(action)
        elif isinstance(action, Cancel):
            held = self._held.get(action.request)
            attempt = held.sent[action.attempt] if held is not None else None
            if attempt is not None:
                attempt.stop(Outcome.CANCELLED)
        elif isinstance(action, Refuse):
            after = action.retry_after
            advice = [(b"retry-after", b"%.3f" % (after / SECOND))] if after else []
            self._answer(action.request, Answer(503, advice), now, "the module refuses")
        elif isinstance(action, Fail):
            self._answer(action.request, Answer(502), now, "the module gives up")
        # Subscribe: the watch always runs. This module sends no probes.

    def _set_timer(self, action: SetTimer) -> None:
        delay, token, request, number = action
        if request is None:
            self._timers.call_later(delay / SECOND, self._feed, TimerFired(token))
            return
        held = self._held.get(request)
        attempt = held.sent[number] if held is not None else None
        if held is not None and attempt is not None and held.comes:  # the host has not what it is to answer
            held.wishes.append((attempt, delay, TimerFired(token)))
        elif attempt is not None:
            fired = TimerFired(token)
            attempt.timer = self._timers.call_later(delay / SECOND, self._fire, attempt, fired, True)

    def _fire(self, attempt: Attempt, event: TimerFired, first: bool) -> None:
        """Tell the module that an attempt is still out; first have what lies here unread read."""
        if first and attempt.unread:
            attempt.timer = self._timers.call_later(0, self._fire, attempt, event, False)
        else:
            self._feed(event)

    def _send(self, held: _Held, action: Send, now: int) -> None:
        _, server, expires, begins_by = action
        number = len(held.sent)
        held.sent.append(None)
        held.begins_by = begins_by
        until = min(expires, held.life.deadline) if expires else held.life.deadline
        if self._attempt_time and not held.comes:
            until = min(until, now + self._attempt_time)
        attempt = None
        if number and held.reply is not None and self._left(held):  # the first comes with what was just read
            self._tell(held, number, server, Outcome.CANCELLED, now)
            return
        if held.reply is not None and until > now:  # no attempt leaves after the final answer
            due = self._loop.time() + (until - now) / SECOND
            attempt = self._upstream.send(
                server, held.message, due, self._ended, held, number, self._began, self._may_begin
            )
        if attempt is None:
            self._tell(held, number, server, Outcome.NOT_SENT, now)
        elif not attempt.over:
            held.sent[number] = attempt
            if not attempt.begun:
                self.guards.wait(held.life, number, now)
            if until < held.life.deadline:
                self._timers.call_later((until - now) / SECOND, _time_out, attempt)

    def _may_begin(self, attempt: Attempt, ready: bool, waited: bool) -> Outcome | None:
        """Why an attempt is not to begin; None if it may.

        What ends one that had to wait may be told after its connection, in the same turn of the loop. Its
        client's end may not be told at all, while nothing is read from it.
        """
        held: _Held = attempt.owner
        now, loop_now = self.clock.now(), self._loop.time()
        if waited:
            if self._left(held):
                return Outcome.CANCELLED
            others = len(held.sent) - held.never_ran > 1
            if (others and 0 < held.begins_by <= now) or loop_now >= attempt.expires:
                return Outcome.NOT_SENT
        told = round((attempt.expires - loop_now) * SECOND) if attempt.message.rest is None else 0
        server = attempt.host.member.server
        attempt.begun = self.guards.may_send(held.life, attempt.number, server, ready, told, now)
        return None if attempt.begun else Outcome.NOT_SENT

    def _left(self, held: _Held) -> bool:
        """Whether nobody waits for a request any more. One whose client has left is over with this look."""
        if held.reply is not None and held.gone is not None and held.gone():
            self.leave(held.request)
        return held.reply is None

    def _began(self, attempt: Attempt, answer: Message) -> None:
        """An answer has begun whose body is passed on: the client has it, and the host is to end it."""
        held: _Held = attempt.owner
        if held.reply is None or answer.rest is None:
            attempt.stop(Outcome.CANCELLED)
            return
        if held.timer is not None:
            held.timer.cancel()
        now = self.clock.now()
        taken = self._loop.time() - max(attempt.started, held.whole) - attempt.waited
        self._give(
            held, Answer(200, answer.headers, answer.body, answer.rest), now, "its body is passed on", True
        )
        server = attempt.host.member.server.id
        event = StreamStarted(held.request, attempt.number, server, max(0, round(taken * SECOND)))
        self._feed(event, held.request, now)

    def _ended(self, attempt: Attempt, outcome: Outcome, answer: Message | None) -> None:
        held: _Held = attempt.owner
        held.sent[attempt.number] = None
        # Before the reply: a process is often put aside when it has written, and that time is not the host's.
        now, latency = self.clock.now(), round((self._loop.time() - attempt.started) * SECOND)
        if answer is not None and outcome is Outcome.OK and held.reply is not None:
            self._give(held, Answer(200, answer.headers, answer.body), now, "served", True)
        lay = round((attempt.waited + self._spent_on_body(held, attempt)) * SECOND)
        self.guards.attempt_ended(held.life, attempt.number, attempt.begun, outcome, now)
        self._tell(held, attempt.number, attempt.host.member.server.id, outcome, now, latency, lay)

    def _spent_on_body(self, held: _Held, attempt: Attempt) -> float:
        """Seconds of an attempt in which its host waited for the client's body."""
        if not held.patience:
            return 0.0
        return max(0.0, (held.whole or self._loop.time()) - attempt.started)

    def _tell(
        self,
        held: _Held,
        number: int,
        server: ServerId,
        outcome: Outcome,
        now: int,
        latency: int = 0,
        lay: int = 0,
    ) -> None:
        answered = held.reply is None
        held.never_ran += outcome.never_ran
        rest = held.message.rest
        spent = rest is not None and rest.begun
        event = AttemptEnded(held.request, number, server, outcome, latency, answered, None, lay, spent)
        self._feed(event, held.request, now)

    def _answer(self, request: RequestId, answer: Answer, now: int, why: str) -> None:
        held = self._held.get(request)
        if held is not None and held.reply is not None:
            self._give(held, answer, now, why)

    def _give(self, held: _Held, answer: Answer, now: int, why: str, served: bool = False) -> None:
        """Give the client its final answer, if it may have this one: there is no other way to one."""
        reply, held.reply = held.reply, None
        status = self.guards.may_answer(held.life, answer.status, served, why, now)
        if reply is not None and status:
            reply(answer if status == answer.status else Answer(status))

    def _forget(self, held: _Held) -> None:
        """Nothing more may leave for a request that is over; once all attempts have ended, drop it."""
        if held.reply is not None:
            return
        for attempt in held.sent:
            # Its connection may yet come up; one whose answer is passed on has had its request.
            if attempt is not None and not attempt.written and not attempt.streams:
                attempt.stop(Outcome.CANCELLED)
        if not any(held.sent):
            if held.timer is not None:
                held.timer.cancel()
            self._held.pop(held.request, None)

    def _expire(self, held: _Held) -> None:
        """The client's time is up: what is out has timed out, and the module answers."""
        early = held.life.deadline - self.clock.now()
        if early > 0:  # the loop's clock is coarser; the module must see that the time is up
            held.timer = self._timers.call_later(early / SECOND, self._expire, held)
            return
        if not held.spared and any(attempt is not None and attempt.unread for attempt in held.sent):
            held.spared = True  # an answer is here: one more turn of the loop, and it is the client's
            held.timer = self._timers.call_later(0, self._expire, held)
            return
        for attempt in list(held.sent):
            if attempt is not None:
                _time_out(attempt)
        self._give_up(held.request, 504)  # only if the module holds it still

    def _give_up(self, request: RequestId, status: int) -> None:
        """An answer of the gateway's own: a fault must not leave a client without one."""
        held = self._held.get(request)
        if held is None or held.reply is None:
            return
        log.error("request %d had no answer from the module", request)
        self._answer(request, Answer(status), self.clock.now(), "the module had no answer")
        self._feed(RequestGone(request), request)
        for attempt in list(held.sent):
            if attempt is not None:
                attempt.stop(Outcome.CANCELLED)
        self._forget(held)


def _time_out(attempt: Attempt) -> None:
    if attempt.streams:  # the answer has begun: it is its host's to end
        return
    # With its last byte still here the host never had it, and the client may try again without harm.
    attempt.stop(Outcome.TIMEOUT if attempt.written else Outcome.NOT_SENT)
