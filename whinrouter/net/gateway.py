"""Drives one `Balancer`: events in, actions out, timers and deadlines. It decides nothing."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from whinrouter.balance import Balancer
from whinrouter.interface import (
    SECOND,
    Action,
    AttemptEnded,
    Cancel,
    Event,
    Fail,
    Outcome,
    Refuse,
    Request,
    RequestGone,
    RequestId,
    Send,
    ServerId,
    ServerList,
    SetTimer,
    TimerFired,
    Update,
)
from whinrouter.net.discovery import HostList
from whinrouter.net.http import Headers, Message
from whinrouter.net.upstream import Attempt, Upstream

log = logging.getLogger(__name__)

# Microseconds before the client's own limit by which its answer is due: its way here, which the limit counts
# too, the way back, and a loop that runs late. On a busy core both ways together took 10 ms at the 99th
# percentile.
MARGIN = 15_000


@dataclass(frozen=True, slots=True)
class Answer:
    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Asked:
    """A client's request as the module wants it, and as a host does."""

    message: Message
    class_name: str
    timeout: int  # microseconds
    cost: int = 0
    key: str | None = None
    retry: bool = False
    tenant: str = ""


@dataclass(slots=True)
class _Sent:
    server: ServerId
    at: int
    attempt: Attempt | None = None
    over: bool = False


@dataclass(slots=True)
class _Held:
    """A request with its answer owed, or attempts out."""

    asked: Asked
    reply: Callable[[Answer], None] | None  # None once the final answer is given, or the client gone
    deadline: int
    timer: asyncio.TimerHandle | None = None
    sent: list[_Sent] = field(default_factory=list)


class Clock:
    """Unix time in microseconds, but never going back: read once, then advanced by the monotonic clock."""

    def __init__(self) -> None:
        self._anchor = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return (self._anchor + time.monotonic_ns()) // 1000


class Gateway:
    def __init__(self, balancer: Balancer, upstream: Upstream) -> None:
        self._balancer = balancer
        self._upstream = upstream
        self._clock = Clock()
        self._loop = asyncio.get_running_loop()
        self._held: dict[RequestId, _Held] = {}
        self._last = 0
        self._events: deque[Event] = deque()
        self._working = False
        self.has_list = False

    @property
    def holds(self) -> int:
        """How many requests are owed an answer."""
        return sum(held.reply is not None for held in self._held.values())

    def list_hosts(self, told: HostList, stale: bool = False) -> None:
        whole = told.complete or stale
        self._upstream.update(told.members, whole)
        update = Update.STALE if stale else Update.FULL if whole else Update.CHANGES
        self.has_list = self.has_list or bool(told.members)
        self._feed(ServerList(update, tuple(member.server for member in told.members)))

    def take(self, asked: Asked, reply: Callable[[Answer], None]) -> RequestId:
        """A client asks; `reply` is called exactly once, unless it leaves."""
        self._last += 1
        timeout = max(1, asked.timeout - MARGIN)
        held = _Held(asked, reply, self._clock.now() + timeout)
        self._held[self._last] = held
        held.timer = self._loop.call_later(timeout / SECOND, self._expire, self._last)
        request = self._last
        self._feed(
            Request(request, asked.class_name, timeout, asked.cost, asked.key, asked.retry, asked.tenant)
        )
        return request

    def leave(self, request: RequestId) -> None:
        """The client closed its connection: nothing is owed, and nothing may be sent to it any more."""
        held = self._held.get(request)
        if held is not None and held.reply is not None:
            held.reply = None
            self._feed(RequestGone(request))
            self._forget(request)

    def _feed(self, event: Event) -> None:
        """Hand events to the module one by one: carrying out an action may bring the next."""
        self._events.append(event)
        if self._working:
            return
        self._working = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._working = False

    def _handle(self, event: Event) -> None:
        try:
            for action in self._balancer.handle(event, self._clock.now()):
                self._do(action)
            if isinstance(event, Request):
                self._forget(event.id)
            elif isinstance(event, AttemptEnded):
                self._forget(event.request)
        except Exception:
            # One request must not end the process, nor be left without an answer.
            log.exception("failed on %s", type(event).__name__)
            if isinstance(event, Request):
                self._give_up(event.id, 500)
            elif isinstance(event, AttemptEnded):
                self._give_up(event.request, 500)

    def _do(self, action: Action) -> None:
        match action:
            case Send(request, server, expires):
                self._send(request, server, expires)
            case Cancel(request, number):
                held = self._held.get(request)
                attempt = held.sent[number].attempt if held else None
                if attempt is not None:
                    attempt.stop(Outcome.CANCELLED)
            case Refuse(request, retry_after):
                advice = [(b"retry-after", b"%.3f" % (retry_after / SECOND))] if retry_after else []
                self._answer(request, Answer(503, advice))
            case Fail(request):
                self._answer(request, Answer(502))
            case SetTimer(delay, token):
                self._loop.call_later(delay / SECOND, self._feed, TimerFired(token))
            case _:
                # Subscribe: the watch always runs. This module sends no probes.
                pass

    def _send(self, request: RequestId, server: ServerId, expires: int) -> None:
        held = self._held[request]
        now = self._clock.now()
        number, sent = len(held.sent), _Sent(server, now)
        held.sent.append(sent)
        until = min(expires or held.deadline, held.deadline)

        def ended(_: Attempt, outcome: Outcome, answer: Message | None) -> None:
            self._ended(request, number, outcome, answer)

        attempt = None
        if held.reply is not None and until > now:  # no attempt leaves after the final answer
            due = self._loop.time() + (until - now) / SECOND
            attempt = self._upstream.send(server, held.asked.message, due, ended)
        if attempt is None:
            self._ended(request, number, Outcome.NOT_SENT, None)
        elif not sent.over:
            sent.attempt = attempt
            if until < held.deadline:
                self._loop.call_later((until - now) / SECOND, _time_out, attempt)

    def _ended(self, request: RequestId, number: int, outcome: Outcome, answer: Message | None) -> None:
        held = self._held[request]
        sent = held.sent[number]
        sent.over, sent.attempt = True, None
        if outcome is Outcome.OK and answer is not None:
            self._answer(request, Answer(200, answer.headers, answer.body))
        latency = self._clock.now() - sent.at
        self._feed(AttemptEnded(request, number, sent.server, outcome, latency, answered=held.reply is None))
        self._forget(request)

    def _answer(self, request: RequestId, answer: Answer) -> None:
        held = self._held.get(request)
        if held is not None and held.reply is not None:
            reply, held.reply = held.reply, None
            reply(answer)

    def _forget(self, request: RequestId) -> None:
        """Nothing more may leave for a request that is over; once all attempts have ended, drop it."""
        held = self._held.get(request)
        if held is None or held.reply is not None:
            return
        for sent in held.sent:
            if sent.attempt is not None and not sent.attempt.written:  # its connection may yet come up
                sent.attempt.stop(Outcome.CANCELLED)
        if request in self._held and all(sent.over for sent in held.sent):
            if held.timer is not None:
                held.timer.cancel()
            del self._held[request]

    def _expire(self, request: RequestId) -> None:
        """The client's time is up: what is out has timed out, and the module answers."""
        held = self._held.get(request)
        if held is None:
            return
        early = held.deadline - self._clock.now()
        if early > 0:  # the loop's clock is coarser; the module must see that the time is up
            held.timer = self._loop.call_later(early / SECOND, self._expire, request)
            return
        for sent in held.sent:
            if sent.attempt is not None:
                _time_out(sent.attempt)
        self._give_up(request, 504)  # only if the module holds it still

    def _give_up(self, request: RequestId, status: int) -> None:
        """An answer of the gateway's own: a fault must not leave a client without one."""
        held = self._held.get(request)
        if held is None or held.reply is None:
            return
        log.error("request %d had no answer from the module", request)
        self._answer(request, Answer(status))
        self._feed(RequestGone(request))
        for sent in held.sent:
            if sent.attempt is not None:
                sent.attempt.stop(Outcome.CANCELLED)
        self._forget(request)


def _time_out(attempt: Attempt) -> None:
    # With its last byte still here the host never had it, and the client may try again without harm.
    attempt.stop(Outcome.TIMEOUT if attempt.written else Outcome.NOT_SENT)
