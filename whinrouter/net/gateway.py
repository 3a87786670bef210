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
from whinrouter.invariants.lifecycle import Guards, RequestLifecycle
from whinrouter.learned_state import LearnedState
from whinrouter.net.attempt import Attempt, AttemptConnection, AttemptSender, TargetHost
from whinrouter.net.hosts import HostList
from whinrouter.net.http import Headers, Message
from whinrouter.net.timer_wheel import Timer, TimerWheel
from whinrouter.streaming.flow import Flow

log = logging.getLogger(__name__)

# Microseconds that a body may take to come: 40 MiB at the least rate (`FLOOR`), and half as much again.
MAX_UPLOAD_MICROSECONDS = 2_000 * SECOND
# Microseconds before the client's own limit by which its answer is due: its way here, which the limit counts
# too, the way back, and a loop that runs late. On a busy core both ways together took 10 ms at the 99th
# percentile.
DEADLINE_MARGIN_MICROSECONDS = 15_000


class Answer(NamedTuple):
    status: int
    headers: Headers = []  # noqa: RUF012 - nobody adds to it
    body: bytes = b""
    body_flow: Flow | None = None  # of the body, where it is passed on as it comes


class HandedOverRequest(NamedTuple):
    """A request that another process goes on with, as far as its decisions need to know."""

    client_request_id: str  # its id, as its client gave it
    class_name: str  # empty: a class that was never announced
    client_timeout: int  # microseconds that its client waits from the end of its body
    server: ServerId


class ClientRequest(NamedTuple):
    """A client's request as the module wants it, and as a host does."""

    message: Message
    class_name: str
    timeout: int  # microseconds
    cost: int = 0
    key: str | None = None
    is_retry: bool = False
    tenant: str = ""
    client_request_id: str = ""  # its id, as its client gave it


class _PendingRequest:
    """A request with its answer owed, or attempts out."""

    __slots__ = (
        "attempts",
        "body_complete_at",
        "client_left",
        "client_request_id",
        "client_timeout",
        "deadline_timer",
        "delayed_timers",
        "is_deadline_extended",
        "lifecycle",
        "message",
        "never_ran_count",
        "request_id",
        "send_answer",
        "start_by",
    )

    def __init__(
        self,
        request_id: RequestId,
        message: Message,
        send_answer: Callable[[Answer], None],
        lifecycle: RequestLifecycle,
        client_left: Callable[[], bool] | None,
        client_request_id: str,
    ) -> None:
        self.client_request_id = client_request_id  # its id, as its client gave it
        self.client_left = client_left  # whether its client has left, as far as the system knows
        self.request_id = request_id
        self.message = message
        self.send_answer: Callable[[Answer], None] | None = (
            send_answer  # None once it has its answer, or the client left
        )
        self.lifecycle = lifecycle
        self.deadline_timer: Timer | None = None
        self.is_deadline_extended = False  # its time was up while an answer lay unread
        self.attempts: list[Attempt | None] = []  # by number; None once it has ended
        self.never_ran_count = 0  # how many of them have ended so
        self.start_by = 0  # when all are to have begun if another may have run; 0: any time
        self.client_timeout = (
            0  # microseconds that its client waits from the end of its body, if that is to come yet
        )
        self.body_complete_at = 0.0  # loop time at which such a body was whole; 0.0 before
        self.delayed_timers: list[tuple[Attempt, int, TimerFired]] = []  # timers that wait for that

    @property
    def awaits_body(self) -> bool:
        """Whether its body is still to come."""
        return self.client_timeout > 0 and not self.body_complete_at


class Clock:
    """Moments in microseconds of the machine's monotonic clock; whatever the wall clock says is not read.

    0 stands for long ago in the module's words, so moments begin at `ORIGIN`.
    """

    ORIGIN = 1 << 50  # some 35 years: more than any span that is taken off a moment

    def now(self) -> int:
        return self.ORIGIN + time.monotonic_ns() // 1000


class Gateway:
    def __init__(self, balancer: Balancer, upstream: AttemptSender, attempt_time: int = 0) -> None:
        """`attempt_time`: microseconds that an attempt may take; 0: what is left of its request's time."""
        self._attempt_time = attempt_time
        self._balancer = balancer
        self._upstream = upstream
        self.clock = Clock()
        self.guards = Guards(balancer.settings)
        self._loop = asyncio.get_running_loop()
        self._timers = TimerWheel(self._loop)
        self._pending: dict[RequestId, _PendingRequest] = {}
        self._last_request_id = 0
        self._queued_events: deque[tuple[Event, RequestId | None]] = deque()
        self._is_dispatching = False
        self._final_answer_time = 0  # moment by which late requests have their answers; 0: none
        self.has_host_list = False

    @property
    def unanswered_count(self) -> int:
        """How many requests are owed an answer."""
        return sum(pending.send_answer is not None for pending in self._pending.values())

    def apply_settings(self, settings: Settings, attempt_time: int = 0) -> None:
        """The module goes on by other settings."""
        self._attempt_time = attempt_time
        self._balancer.update_settings(settings)
        self.guards.retune(settings)
        self.record_event(EventKind.RELOADED, "settings")

    def record_event(self, kind: EventKind, detail: str) -> None:
        """Keep an event of the process beside those of its requests."""
        self.guards.process_event(kind, detail, self.clock.now())

    def export_learned_state(self, now: int) -> LearnedState:
        """What the module of a process in this one's place goes on from, in spans from now."""
        return self._balancer.export_state(now)

    def restore_learned_state(self, learned_state: LearnedState, load_share: float, now: int) -> None:
        """Go on from what the module of another process learnt, for a part of its requests."""
        self._balancer.restore_state(learned_state, load_share, now)

    def scale_load(self, factor: float) -> None:
        """The module has so many times the requests that it had."""
        self._balancer.scale_limits(factor)

    def update_hosts(self, host_list: HostList, is_stale: bool = False) -> None:
        is_complete = host_list.complete or is_stale
        for member in host_list.members:
            if member.server.state is not State.READY:
                detail = f"{member.server.id} {member.server.state.value}"
                self.record_event(EventKind.HOST_STOPPED, detail)
        self._upstream.update(host_list.members, is_complete)
        update = Update.STALE if is_stale else Update.FULL if is_complete else Update.CHANGES
        self.has_host_list = self.has_host_list or bool(host_list.members)
        self._dispatch_event(ServerList(update, tuple(member.server for member in host_list.members)))

    def submit_request(
        self,
        client_request: ClientRequest,
        send_answer: Callable[[Answer], None],
        unread_seconds: float = 0.0,
        client_left: Callable[[], bool] | None = None,
    ) -> RequestId:
        """A client asks, whose request has waited here for so many seconds.

        `reply` is called exactly once, unless the client leaves. `gone` says whether it has: it is asked
        before anything that has waited is written to a host.
        """
        self._last_request_id = request_id = self._last_request_id + 1
        message, class_name, timeout, cost, key, is_retry, tenant, client_request_id = client_request
        unread_time, now = round(unread_seconds * SECOND), self.clock.now()
        is_expired = bool(unread_time) and timeout <= unread_time + DEADLINE_MARGIN_MICROSECONDS
        timeout = max(1, timeout - unread_time - DEADLINE_MARGIN_MICROSECONDS)
        lifecycle = self.guards.admit(request_id, class_name, now + timeout, now, client_request_id)
        pending = _PendingRequest(request_id, message, send_answer, lifecycle, client_left, client_request_id)
        if is_expired:  # no host has heard of it
            self._deliver_answer(pending, Answer(503), now, "its time was up unread")
            return request_id
        self._pending[request_id] = pending
        has_streamed_body = message.body_flow is not None and not message.body_flow.is_received
        message.client_timeout_seconds = timeout / SECOND
        if has_streamed_body:  # its time begins with the end of its body
            pending.lifecycle.deadline, pending.client_timeout = now + MAX_UPLOAD_MICROSECONDS, timeout
        self._set_deadline(pending, pending.lifecycle.deadline, now)
        self._dispatch_event(
            Request(request_id, class_name, timeout, cost, key, is_retry, tenant, has_streamed_body),
            request_id,
            now,
        )
        return request_id

    def describe_for_handover(self, request_id: RequestId) -> HandedOverRequest | None:
        """A request that another process can go on with: its one attempt has begun, its body still comes."""
        pending = self._pending.get(request_id)
        if pending is None or pending.send_answer is None or not pending.awaits_body:
            return None
        active_attempts = [attempt for attempt in pending.attempts if attempt is not None]
        if (
            len(active_attempts) != 1
            or not active_attempts[0].has_begun
            or active_attempts[0].connection is None
            or active_attempts[0].is_streaming
        ):
            return None
        request_class = pending.lifecycle.request_class
        server = active_attempts[0].host.member.server.id
        return HandedOverRequest(
            pending.client_request_id,
            request_class.name if request_class is not None else "",
            pending.client_timeout,
            server,
        )

    def release_request(self, request_id: RequestId) -> None:
        """Another process goes on with it, and with its attempt: nothing is owed here."""
        pending = self._pending.get(request_id)
        if pending is None:
            return
        pending.send_answer = None
        self.guards.hand_over(pending.lifecycle, self.clock.now())
        for attempt in list(pending.attempts):
            if attempt is not None and attempt.connection is not None:
                attempt.connection.release()
        self._release_if_answered(pending)

    def adopt_request(
        self,
        handed_over: HandedOverRequest,
        body: Flow,
        send_answer: Callable[[Answer], None],
        client_left: Callable[[], bool],
        host: TargetHost,
        connection: AttemptConnection,
    ) -> RequestId:
        """Go on with a request of another process, whose attempt is out over this connection."""
        self._last_request_id = request_id = self._last_request_id + 1
        now, loop_now = self.clock.now(), self._loop.time()
        message = Message(b"POST", body_flow=body)
        message.client_timeout_seconds = handed_over.client_timeout / SECOND
        deadline = now + MAX_UPLOAD_MICROSECONDS
        lifecycle = self.guards.adopt(
            request_id,
            handed_over.class_name,
            deadline,
            host.member.server,
            now,
            handed_over.client_request_id,
        )
        pending = _PendingRequest(
            request_id, message, send_answer, lifecycle, client_left, handed_over.client_request_id
        )
        pending.client_timeout = handed_over.client_timeout
        expires = loop_now + MAX_UPLOAD_MICROSECONDS / SECOND
        attempt = Attempt(
            host, message, expires, self._on_attempt_ended, pending, 0, loop_now, self._on_answer_began
        )
        attempt.has_begun = True
        pending.attempts.append(attempt)
        self._pending[request_id] = pending
        self._set_deadline(pending, deadline, now)
        self._dispatch_event(
            RequestAdopted(
                request_id, handed_over.class_name, handed_over.client_timeout, host.member.server.id
            ),
            request_id,
            now,
        )
        connection.resume(attempt, body)
        return request_id

    def limit_answer_time(self, max_seconds: float) -> None:
        """The process ends soon: what begins, or whose body is still to come, has its answer in this time."""
        now = self.clock.now()
        self._final_answer_time = now + round(max_seconds * SECOND)
        for pending in list(self._pending.values()):
            if pending.send_answer is not None and pending.awaits_body:
                self._set_deadline(pending, pending.lifecycle.deadline, now)

    def _set_deadline(self, pending: _PendingRequest, deadline: int, now: int) -> None:
        """Have it answered by then, or by the last moment for answers of a process that ends."""
        pending.lifecycle.deadline = (
            min(deadline, self._final_answer_time) if self._final_answer_time else deadline
        )
        if pending.deadline_timer is not None:
            pending.deadline_timer.cancel()
        remaining = max(0, pending.lifecycle.deadline - now)
        pending.deadline_timer = self._timers.call_later(remaining / SECOND, self._on_deadline, pending)

    def complete_body(self, request_id: RequestId) -> None:
        """The body of a request that was taken before it has come: its time begins."""
        pending = self._pending.get(request_id)
        if pending is None or not pending.awaits_body:
            return
        now = self.clock.now()
        pending.body_complete_at = self._loop.time()
        pending.lifecycle.deadline = now + pending.client_timeout
        self._dispatch_event(BodyReceived(request_id), request_id)
        if pending.send_answer is not None:
            self._set_deadline(pending, pending.lifecycle.deadline, now)
        elif pending.deadline_timer is not None:
            pending.deadline_timer.cancel()
        delayed_timers, pending.delayed_timers = pending.delayed_timers, []
        for attempt, delay, event in delayed_timers:
            if not attempt.is_over:
                attempt.timer = self._timers.call_later(
                    delay / SECOND, self._fire_timer, attempt, event, True
                )

    def abandon_request(self, request_id: RequestId) -> None:
        """The client closed its connection: nothing is owed, and nothing may be sent to it any more."""
        pending = self._pending.get(request_id)
        if pending is not None and pending.send_answer is not None:
            pending.send_answer = None
            self.guards.client_left(pending.lifecycle, self.clock.now())
            self._dispatch_event(RequestGone(request_id), request_id)
            self._release_if_answered(pending)

    def _dispatch_event(self, event: Event, request_id: RequestId | None = None, now: int = 0) -> None:
        """Hand events to the module one by one: carrying out an action may bring the next.

        `request` is the one that the event is about, and `now` the clock's time if it was just read.
        """
        if self._is_dispatching:
            self._queued_events.append((event, request_id))
            return
        self._is_dispatching = True
        try:
            self._handle_event(event, request_id, now or self.clock.now())
            while self._queued_events:
                event, request_id = self._queued_events.popleft()
                self._handle_event(event, request_id, self.clock.now())
        finally:
            self._is_dispatching = False

    def _handle_event(self, event: Event, request_id: RequestId | None, now: int) -> None:
        try:
            for action in self._balancer.handle(event, now):
                self._execute_action(action, now)
            pending = self._pending.get(request_id) if request_id is not None else None
            if pending is not None and pending.send_answer is None:
                self._release_if_answered(pending)
        except Exception:
            # One request must not end the process, nor be left without an answer.
            log.exception("failed on %s", type(event).__name__)
            if request_id is not None:
                self._fail_request(request_id, 500)

    def _execute_action(self, action: Action, now: int) -> None:
        # In the order of how often each comes.
        if isinstance(action, Send):
            self._send_attempt(self._pending[action.request], action, now)
        elif isinstance(action, SetTimer):
            self._set_timer(action)
        elif isinstance(action, Cancel):
            pending = self._pending.get(action.request)
            attempt = pending.attempts[action.attempt] if pending is not None else None
            if attempt is not None:
                attempt.stop(Outcome.CANCELLED)
        elif isinstance(action, Refuse):
            retry_after = action.retry_after
            headers = [(b"retry-after", b"%.3f" % (retry_after / SECOND))] if retry_after else []
            self._answer_request(action.request, Answer(503, headers), now, "the module refuses")
        elif isinstance(action, Fail):
            self._answer_request(action.request, Answer(502), now, "the module gives up")
        # Subscribe: the watch always runs. This module sends no probes.

    def _set_timer(self, action: SetTimer) -> None:
        delay, token, request_id, number = action
        if request_id is None:
            self._timers.call_later(delay / SECOND, self._dispatch_event, TimerFired(token))
            return
        pending = self._pending.get(request_id)
        attempt = pending.attempts[number] if pending is not None else None
        if (
            pending is not None and attempt is not None and pending.awaits_body
        ):  # the host has not what it is to answer
            pending.delayed_timers.append((attempt, delay, TimerFired(token)))
        elif attempt is not None:
            event = TimerFired(token)
            attempt.timer = self._timers.call_later(delay / SECOND, self._fire_timer, attempt, event, True)

    def _fire_timer(self, attempt: Attempt, event: TimerFired, is_first_check: bool) -> None:
        """Tell the module that an attempt is still out; first have what lies here unread read."""
        if is_first_check and attempt.has_unread:
            attempt.timer = self._timers.call_later(0, self._fire_timer, attempt, event, False)
        else:
            self._dispatch_event(event)

    def _send_attempt(self, pending: _PendingRequest, action: Send, now: int) -> None:
        _, server, expires, start_by = action
        number = len(pending.attempts)
        pending.attempts.append(None)
        pending.start_by = start_by
        attempt_deadline = min(expires, pending.lifecycle.deadline) if expires else pending.lifecycle.deadline
        if self._attempt_time and not pending.awaits_body:
            attempt_deadline = min(attempt_deadline, now + self._attempt_time)
        attempt = None
        if (
            number and pending.send_answer is not None and self._is_abandoned(pending)
        ):  # the first comes with what was just read
            self._report_attempt_end(pending, number, server, Outcome.CANCELLED, now)
            return
        if (
            pending.send_answer is not None and attempt_deadline > now
        ):  # no attempt leaves after the final answer
            expires_at = self._loop.time() + (attempt_deadline - now) / SECOND
            attempt = self._upstream.send(
                server,
                pending.message,
                expires_at,
                self._on_attempt_ended,
                pending,
                number,
                self._on_answer_began,
                self._check_start,
            )
        if attempt is None:
            self._report_attempt_end(pending, number, server, Outcome.NOT_SENT, now)
        elif not attempt.is_over:
            pending.attempts[number] = attempt
            if not attempt.has_begun:
                self.guards.attempt_waiting(pending.lifecycle, number, now)
            if attempt_deadline < pending.lifecycle.deadline:
                self._timers.call_later((attempt_deadline - now) / SECOND, _time_out_attempt, attempt)

    def _check_start(self, attempt: Attempt, is_ready: bool, has_waited: bool) -> Outcome | None:
        """Why an attempt is not to begin; None if it may.

        What ends one that had to wait may be told after its connection, in the same turn of the loop. Its
        client's end may not be told at all, while nothing is read from it.
        """
        pending: _PendingRequest = attempt.owner
        now, loop_now = self.clock.now(), self._loop.time()
        if has_waited:
            if self._is_abandoned(pending):
                return Outcome.CANCELLED
            has_other_attempts = len(pending.attempts) - pending.never_ran_count > 1
            if (has_other_attempts and 0 < pending.start_by <= now) or loop_now >= attempt.expires_at:
                return Outcome.NOT_SENT
        announced_deadline = (
            round((attempt.expires_at - loop_now) * SECOND) if attempt.message.body_flow is None else 0
        )
        server = attempt.host.member.server
        attempt.has_begun = self.guards.may_send(
            pending.lifecycle, attempt.number, server, is_ready, announced_deadline, now
        )
        return None if attempt.has_begun else Outcome.NOT_SENT

    def _is_abandoned(self, pending: _PendingRequest) -> bool:
        """Whether nobody waits for a request any more. One whose client has left is over with this look."""
        if pending.send_answer is not None and pending.client_left is not None and pending.client_left():
            self.abandon_request(pending.request_id)
        return pending.send_answer is None

    def _on_answer_began(self, attempt: Attempt, answer: Message) -> None:
        """An answer has begun whose body is passed on: the client has it, and the host is to end it."""
        pending: _PendingRequest = attempt.owner
        if pending.send_answer is None or answer.body_flow is None:
            attempt.stop(Outcome.CANCELLED)
            return
        if pending.deadline_timer is not None:
            pending.deadline_timer.cancel()
        now = self.clock.now()
        host_seconds = (
            self._loop.time() - max(attempt.started_at, pending.body_complete_at) - attempt.unread_seconds
        )
        self._deliver_answer(
            pending,
            Answer(200, answer.headers, answer.body, answer.body_flow),
            now,
            "its body is passed on",
            True,
        )
        server = attempt.host.member.server.id
        event = StreamStarted(
            pending.request_id, attempt.number, server, max(0, round(host_seconds * SECOND))
        )
        self._dispatch_event(event, pending.request_id, now)

    def _on_attempt_ended(self, attempt: Attempt, outcome: Outcome, answer: Message | None) -> None:
        pending: _PendingRequest = attempt.owner
        pending.attempts[attempt.number] = None
        # Before the reply: a process is often put aside when it has written, and that time is not the host's.
        now, latency = self.clock.now(), round((self._loop.time() - attempt.started_at) * SECOND)
        if answer is not None and outcome is Outcome.OK and pending.send_answer is not None:
            self._deliver_answer(pending, Answer(200, answer.headers, answer.body), now, "served", True)
        unread_time = round((attempt.unread_seconds + self._body_wait_seconds(pending, attempt)) * SECOND)
        self.guards.attempt_ended(pending.lifecycle, attempt.number, attempt.has_begun, outcome, now)
        self._report_attempt_end(
            pending, attempt.number, attempt.host.member.server.id, outcome, now, latency, unread_time
        )

    def _body_wait_seconds(self, pending: _PendingRequest, attempt: Attempt) -> float:
        """Seconds of an attempt in which its host waited for the client's body."""
        if not pending.client_timeout:
            return 0.0
        return max(0.0, (pending.body_complete_at or self._loop.time()) - attempt.started_at)

    def _report_attempt_end(
        self,
        pending: _PendingRequest,
        number: int,
        server: ServerId,
        outcome: Outcome,
        now: int,
        latency: int = 0,
        unread_time: int = 0,
    ) -> None:
        is_answered = pending.send_answer is None
        pending.never_ran_count += outcome.never_ran
        body_flow = pending.message.body_flow
        is_body_consumed = body_flow is not None and body_flow.is_partly_sent
        event = AttemptEnded(
            pending.request_id,
            number,
            server,
            outcome,
            latency,
            is_answered,
            None,
            unread_time,
            is_body_consumed,
        )
        self._dispatch_event(event, pending.request_id, now)

    def _answer_request(self, request_id: RequestId, answer: Answer, now: int, reason: str) -> None:
        pending = self._pending.get(request_id)
        if pending is not None and pending.send_answer is not None:
            self._deliver_answer(pending, answer, now, reason)

    def _deliver_answer(
        self, pending: _PendingRequest, answer: Answer, now: int, reason: str, is_served: bool = False
    ) -> None:
        """Give the client its final answer, if it may have this one: there is no other way to one."""
        send_answer, pending.send_answer = pending.send_answer, None
        status = self.guards.may_answer(pending.lifecycle, answer.status, is_served, reason, now)
        if send_answer is not None and status:
            send_answer(answer if status == answer.status else Answer(status))

    def _release_if_answered(self, pending: _PendingRequest) -> None:
        """Nothing more may leave for a request that is over; once all attempts have ended, drop it."""
        if pending.send_answer is not None:
            return
        for attempt in pending.attempts:
            # Its connection may yet come up; one whose answer is passed on has had its request.
            if attempt is not None and not attempt.is_fully_written and not attempt.is_streaming:
                attempt.stop(Outcome.CANCELLED)
        if not any(pending.attempts):
            if pending.deadline_timer is not None:
                pending.deadline_timer.cancel()
            self._pending.pop(pending.request_id, None)

    def _on_deadline(self, pending: _PendingRequest) -> None:
        """The client's time is up: what is out has timed out, and the module answers."""
        remaining = pending.lifecycle.deadline - self.clock.now()
        if remaining > 0:  # the loop's clock is coarser; the module must see that the time is up
            pending.deadline_timer = self._timers.call_later(remaining / SECOND, self._on_deadline, pending)
            return
        if not pending.is_deadline_extended and any(
            attempt is not None and attempt.has_unread for attempt in pending.attempts
        ):
            pending.is_deadline_extended = (
                True  # an answer is here: one more turn of the loop, and it is the client's
            )
            pending.deadline_timer = self._timers.call_later(0, self._on_deadline, pending)
            return
        for attempt in list(pending.attempts):
            if attempt is not None:
                _time_out_attempt(attempt)
        self._fail_request(pending.request_id, 504)  # only if the module holds it still

    def _fail_request(self, request_id: RequestId, status: int) -> None:
        """An answer of the gateway's own: a fault must not leave a client without one."""
        pending = self._pending.get(request_id)
        if pending is None or pending.send_answer is None:
            return
        log.error("request %d had no answer from the module", request_id)
        self._answer_request(request_id, Answer(status), self.clock.now(), "the module had no answer")
        self._dispatch_event(RequestGone(request_id), request_id)
        for attempt in list(pending.attempts):
            if attempt is not None:
                attempt.stop(Outcome.CANCELLED)
        self._release_if_answered(pending)


def _time_out_attempt(attempt: Attempt) -> None:
    if attempt.is_streaming:  # the answer has begun: it is its host's to end
        return
    # With its last byte still here the host never had it, and the client may try again without harm.
    attempt.stop(Outcome.TIMEOUT if attempt.is_fully_written else Outcome.NOT_SENT)
