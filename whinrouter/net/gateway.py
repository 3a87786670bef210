"""Drives one `Balancer`: feeds it events, carries out its actions, and keeps timers and deadlines.

The gateway itself makes no decision about where and when a request is sent. It promises that each request
is answered exactly once, unless its client leaves, and within its deadline: where the balancer fails to
answer in time, the gateway answers itself. An attempt is started, and an answer is delivered, only with the
consent of the guards (`invariants/lifecycle.py`).

The deadline of a request with a streamed body counts from the end of the body; until then only
`MAX_UPLOAD_MICROSECONDS` limits it. A streamed answer counts as delivered once its head is sent; from then on
only the host or the flow's timeouts end it. So no streamed answer is begun that a stopping process may not
live to finish, unless its request arrived so early that the client is prepared for that. A request is
released once it is answered, or its client has left, and all its attempts have ended.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from whinrouter.balance import Balancer
from whinrouter.executed_requests import ExecutedRequests
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
from whinrouter.net.http_messages import Headers, Message
from whinrouter.net.timer_wheel import Timer, TimerWheel
from whinrouter.streaming.flow import Flow

log = logging.getLogger(__name__)

# The time that a request body may take to arrive: one and a half times that of 40 MiB at the minimum rate
# (`MIN_BODY_RATE`).
MAX_UPLOAD_MICROSECONDS = 2_000 * SECOND
# For how long after its deadline the host of an answer that may be a short one may stay silent. With the
# interval of the frontend's sweep this is less than the half second within which a client has to see that its
# request has failed.
SILENCE_SLACK_SECONDS = 0.2
MAX_TIMER_MICROSECONDS = 10 * SECOND  # a longer wait takes several timers
# The answer is due this long before the client's own deadline, which also covers the request's way here and
# the answer's way back, and event loop lag. On a busy core both ways together took 10 ms at the 99th
# percentile.
DEADLINE_MARGIN_MICROSECONDS = 15_000


class Answer(NamedTuple):
    """A final answer to a client."""

    status: int
    headers: Headers = []  # noqa: RUF012 - the default is never modified
    body: bytes = b""
    body_flow: Flow | None = None  # the body behind `body`, if it is streamed


class HandedOverRequest(NamedTuple):
    """A request that is handed over to another process, with what that process's balancer needs."""

    client_request_id: str  # the X-Request-Id of the request
    class_name: str  # empty: the class is unknown to the balancer
    client_timeout: int  # microseconds that the client waits, counted from the end of the body
    server: ServerId  # the host of the attempt in flight


class ClientRequest(NamedTuple):
    """A client's request: the message that a host gets, and what the balancer needs to know."""

    message: Message
    class_name: str
    timeout: int  # microseconds
    cost: int = 0  # microseconds, as hinted by the client; 0: no hint
    key: str | None = None
    is_retry: bool = False
    tenant: str = ""
    client_request_id: str = ""  # the X-Request-Id of the request


class _PendingRequest:
    """A request that has not been answered, or that has attempts in flight."""

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
        self.client_request_id = client_request_id  # the X-Request-Id of the request
        self.client_left = client_left  # asks the kernel whether the client has closed its connection
        self.request_id = request_id
        self.message = message
        # None once the request is answered, or its client has left.
        self.send_answer: Callable[[Answer], None] | None = send_answer
        self.lifecycle = lifecycle
        self.deadline_timer: Timer | None = None
        self.is_deadline_extended = False  # the deadline passed while an answer was here unread
        self.attempts: list[Attempt | None] = []  # by number; None once the attempt has ended
        self.never_ran_count = 0  # attempts that ended without having run
        self.start_by = 0  # no attempt starts after this moment if another may have run; 0: no limit
        # Microseconds that the client waits, counted from the end of the body; 0 unless the body is streamed.
        self.client_timeout = 0
        self.body_complete_at = 0.0  # loop time at which the streamed body was complete; 0.0 before
        # Timers of the balancer that start once the streamed body is complete.
        self.delayed_timers: list[tuple[Attempt, int, TimerFired]] = []

    @property
    def awaits_body(self) -> bool:
        """Whether the streamed body is still incomplete."""
        return self.client_timeout > 0 and not self.body_complete_at


class Clock:
    """Moments in microseconds of the machine's monotonic clock; the wall clock is never read.

    To the balancer the moment 0 is long ago, so moments start at `ORIGIN`.
    """

    ORIGIN = 1 << 50  # about 35 years: more than any span that is subtracted from a moment

    def now(self) -> int:
        """Return the current moment in microseconds."""
        return self.ORIGIN + time.monotonic_ns() // 1000


class Gateway:
    """The requests of one process, from their arrival to the end of their last attempt."""

    def __init__(self, balancer: Balancer, upstream: AttemptSender, attempt_time: int = 0) -> None:
        """`attempt_time`: the timeout of an attempt in microseconds; 0: the deadline of its request."""
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
        self._final_answer_time = 0  # the moment by which a stopping process answers everything; 0: none
        # The moment from which a request that arrives needs its whole answer by then; 0: none does.
        self._whole_answers_from = 0
        self.has_host_list = False
        self.executed_requests = ExecutedRequests()

    @property
    def unanswered_count(self) -> int:
        """The number of requests that have not been answered and whose clients have not left."""
        return sum(pending.send_answer is not None for pending in self._pending.values())

    def apply_settings(self, settings: Settings, attempt_time: int = 0) -> None:
        """Use new settings here, in the balancer and in the guards."""
        self._attempt_time = attempt_time
        self._balancer.update_settings(settings)
        self.guards.update_settings(settings)
        self.record_event(EventKind.RELOADED, "settings")

    def record_event(self, kind: EventKind, detail: str) -> None:
        """Record an event of the process among those of its requests."""
        self.guards.process_event(kind, detail, self.clock.now())

    def export_learned_state(self, now: int) -> LearnedState:
        """Return the state from which the balancer of a replacing process continues.

        Moments in it are given as spans relative to `now`.
        """
        return self._balancer.export_state(now)

    def restore_learned_state(self, learned_state: LearnedState, load_share: float, now: int) -> None:
        """Continue from another process's learned state; `load_share`: the part of its load to expect."""
        self._balancer.restore_state(learned_state, load_share, now)

    def scale_load(self, factor: float) -> None:
        """Tell the balancer that its load has changed by this factor."""
        self._balancer.scale_limits(factor)

    def update_hosts(self, host_list: HostList, is_stale: bool = False) -> None:
        """Apply a list of hosts from discovery. `is_stale`: the list may be out of date."""
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
        """Accept a client's request that has waited here unread for `unread_seconds`; return its id.

        `send_answer` is called exactly once, unless the client leaves. `client_left` returns whether the
        client has left; it is called before anything that had to wait is written to a host.
        """
        self._last_request_id = request_id = self._last_request_id + 1
        message, class_name, timeout, cost, key, is_retry, tenant, client_request_id = client_request
        message.hold_received_body()
        unread_time, now = round(unread_seconds * SECOND), self.clock.now()
        is_expired = bool(unread_time) and timeout <= unread_time + DEADLINE_MARGIN_MICROSECONDS
        timeout = max(1, timeout - unread_time - DEADLINE_MARGIN_MICROSECONDS)
        lifecycle = self.guards.admit(request_id, class_name, now + timeout, now, client_request_id)
        pending = _PendingRequest(request_id, message, send_answer, lifecycle, client_left, client_request_id)
        if is_expired:  # no host has received it
            self._deliver_answer(pending, Answer(503), now, "its deadline passed before it was read")
            return request_id
        self._pending[request_id] = pending
        body_flow = message.body_flow
        message.client_timeout_seconds = timeout / SECOND
        self._mark_late_arrival(pending, now - unread_time)
        if body_flow is not None:  # its deadline counts from the end of its body
            pending.lifecycle.deadline, pending.client_timeout = now + MAX_UPLOAD_MICROSECONDS, timeout
        self._set_deadline(pending, pending.lifecycle.deadline, now)
        self._dispatch_event(
            Request(request_id, class_name, timeout, cost, key, is_retry, tenant, body_flow is not None),
            request_id,
            now,
        )
        if body_flow is not None and body_flow.is_received:
            self.complete_body(request_id)
        return request_id

    def describe_for_handover(self, request_id: RequestId) -> HandedOverRequest | None:
        """Return a request in the form in which another process can continue it.

        None unless its body is still incomplete, and exactly one attempt is in flight and has started.
        """
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
        """Release a request that another process continues, and its attempt; it is not answered here."""
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
        """Continue another process's request with an attempt in flight over `connection`; return its id."""
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
        self._mark_late_arrival(pending, now)
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

    def limit_answer_time(self, max_seconds: float, whole_after_seconds: float | None = None) -> None:
        """Answer new requests, and those with incomplete bodies, within this time, as the process ends.

        `whole_after_seconds`: the time from now after which requests that arrive get no streamed answer, as
        nobody may be there to finish it; None: another process finishes it.
        """
        now = self.clock.now()
        self._final_answer_time = now + round(max_seconds * SECOND)
        if whole_after_seconds is not None:
            self._whole_answers_from = now + round(whole_after_seconds * SECOND)
        for pending in list(self._pending.values()):
            if pending.send_answer is not None and pending.awaits_body:
                self._set_deadline(pending, pending.lifecycle.deadline, now)
                self._mark_late_arrival(pending, now)

    def _mark_late_arrival(self, pending: _PendingRequest, received_at: int) -> None:
        """Note whether a request needs a whole answer; `received_at`: moment of its last byte so far.

        One whose body is incomplete may arrive at any later time.
        """
        pending.message.needs_whole_answer = self._whole_answers_from > 0 and (
            (pending.message.body_flow is not None and not pending.body_complete_at)
            or received_at > self._whole_answers_from
        )

    def _set_deadline(self, pending: _PendingRequest, deadline: int, now: int) -> None:
        """Set the moment by which a request is answered; a stopping process may answer it earlier."""
        pending.lifecycle.deadline = (
            min(deadline, self._final_answer_time) if self._final_answer_time else deadline
        )
        if pending.deadline_timer is not None:
            pending.deadline_timer.cancel()
        self._set_deadline_timer(pending, max(0, pending.lifecycle.deadline - now))

    def _set_deadline_timer(self, pending: _PendingRequest, remaining: int) -> None:
        """Check the deadline after `remaining` microseconds, or earlier: the wheel keeps cancelled timers."""
        delay = min(remaining, MAX_TIMER_MICROSECONDS)
        pending.deadline_timer = self._timers.call_later(delay / SECOND, self._on_deadline, pending)

    def complete_body(self, request_id: RequestId, sent_at: float | None = None) -> None:
        """Note that the streamed body of a request is complete.

        `sent_at`: loop time at which the client may have sent its last byte, from which the deadline counts;
        None: now.
        """
        pending = self._pending.get(request_id)
        if pending is None or not pending.awaits_body:
            return
        now = self.clock.now()
        pending.body_complete_at = self._loop.time()
        unread_time = 0 if sent_at is None else round(max(0.0, pending.body_complete_at - sent_at) * SECOND)
        pending.lifecycle.deadline = now + pending.client_timeout - unread_time
        self._mark_late_arrival(pending, now - unread_time)
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

    def expire_request(self, request_id: RequestId) -> None:
        """Answer a request with an incomplete body, as its client may have sent all of it long ago."""
        pending = self._pending.get(request_id)
        if pending is None or pending.send_answer is None or not pending.awaits_body:
            return
        if pending.deadline_timer is not None:
            pending.deadline_timer.cancel()
        pending.lifecycle.deadline = self.clock.now()
        self._on_deadline(pending)

    def abandon_request(self, request_id: RequestId) -> None:
        """Note that the client has closed its connection: the request is not answered any more."""
        pending = self._pending.get(request_id)
        if pending is not None and pending.send_answer is not None:
            pending.send_answer = None
            self.guards.client_left(pending.lifecycle, self.clock.now())
            self._dispatch_event(RequestGone(request_id), request_id)
            self._release_if_answered(pending)

    def _dispatch_event(self, event: Event, request_id: RequestId | None = None, now: int = 0) -> None:
        """Pass events to the balancer one by one: carrying out an action may cause the next event.

        `request_id`: the request that the event concerns; `now`: the clock's time, if it was just read.
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
        """Pass one event to the balancer and carry out its actions; an exception fails only its request."""
        try:
            for action in self._balancer.handle(event, now):
                self._execute_action(action, now)
            pending = self._pending.get(request_id) if request_id is not None else None
            if pending is not None and pending.send_answer is None:
                self._release_if_answered(pending)
        except Exception:
            # A fault in one request must neither end the process nor leave the request unanswered.
            log.exception("failed to handle %s", type(event).__name__)
            if request_id is not None:
                self._fail_request(request_id, 500)

    def _execute_action(self, action: Action, now: int) -> None:
        """Carry out an action of the balancer."""
        # In the order of frequency.
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
            self._answer_request(action.request, Answer(503, headers), now, "the balancer refuses")
        elif isinstance(action, Fail):
            self._answer_request(action.request, Answer(502), now, "the balancer gives up")
        # Subscribe needs no action, as the watch always runs; this balancer sends no probes.

    def _set_timer(self, action: SetTimer) -> None:
        """Start a timer of the balancer; one that concerns an attempt ends with the attempt."""
        delay, token, request_id, number = action
        if request_id is None:
            self._timers.call_later(delay / SECOND, self._dispatch_event, TimerFired(token))
            return
        pending = self._pending.get(request_id)
        attempt = pending.attempts[number] if pending is not None else None
        if pending is not None and attempt is not None and pending.awaits_body:
            # The host does not have the whole request yet.
            pending.delayed_timers.append((attempt, delay, TimerFired(token)))
        elif attempt is not None:
            event = TimerFired(token)
            attempt.timer = self._timers.call_later(delay / SECOND, self._fire_timer, attempt, event, True)

    def _fire_timer(self, attempt: Attempt, event: TimerFired, is_first_check: bool) -> None:
        """Report a timer to the balancer: its attempt is still in flight, and unread input was read first."""
        if is_first_check and attempt.has_unread:
            attempt.timer = self._timers.call_later(0, self._fire_timer, attempt, event, False)
        else:
            self._dispatch_event(event)

    def _send_attempt(self, pending: _PendingRequest, action: Send, now: int) -> None:
        """Start an attempt, or report at once that it was not sent."""
        _, server, expires, start_by = action
        number = len(pending.attempts)
        pending.attempts.append(None)
        pending.start_by = start_by
        attempt_deadline = min(expires, pending.lifecycle.deadline) if expires else pending.lifecycle.deadline
        if self._attempt_time and not pending.awaits_body:
            attempt_deadline = min(attempt_deadline, now + self._attempt_time)
        attempt = None
        # The first attempt needs no check: the client's input was read just now.
        if number and pending.send_answer is not None and self._is_abandoned(pending):
            self._report_attempt_end(pending, number, server, Outcome.CANCELLED, now)
            return
        # No attempt starts after the final answer.
        if pending.send_answer is not None and attempt_deadline > now:
            # The clock is read again: the process may have been suspended since `now`.
            expires_at = self._loop.time() + (attempt_deadline - self.clock.now()) / SECOND
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
        """Return the outcome of an attempt that must not start; None if it may start.

        For an attempt that had to wait for its connection, the event that ends it may be handled after the
        connection in the same turn of the loop. That its client has left may go unnoticed as long as nothing
        is read from the client.
        """
        pending: _PendingRequest = attempt.owner
        now, loop_now = self.clock.now(), self._loop.time()
        if has_waited:
            if self._is_abandoned(pending):
                return Outcome.CANCELLED
            has_other_attempts = len(pending.attempts) - pending.never_ran_count > 1
            if has_other_attempts and 0 < pending.start_by <= now:
                return Outcome.NOT_SENT
        # The process may have been suspended since the attempt was decided.
        if loop_now >= attempt.expires_at:
            return Outcome.NOT_SENT
        announced_deadline = (
            round((attempt.expires_at - loop_now) * SECOND) if attempt.message.body_flow is None else 0
        )
        server, body_flow = attempt.host.member.server, attempt.message.body_flow
        has_whole_body = body_flow is None or body_flow.is_whole
        attempt.has_begun = self.guards.may_send(
            pending.lifecycle, attempt.number, server, is_ready, has_whole_body, announced_deadline, now
        )
        if attempt.has_begun:
            self._note_executed(pending)
        return None if attempt.has_begun else Outcome.NOT_SENT

    def may_have_been_executed(self, client_request_id: str) -> bool:
        """Whether a host may have executed a request of this id that may not be repeated freely."""
        return self.executed_requests.contains(client_request_id, self._loop.time())

    def _note_executed(self, pending: _PendingRequest) -> None:
        """Remember the id of a request that is sent to a host, unless repeating it is harmless."""
        if pending.client_request_id and not pending.lifecycle.is_idempotent:
            self.executed_requests.add(pending.client_request_id, self._loop.time())

    def _is_abandoned(self, pending: _PendingRequest) -> bool:
        """Whether nobody waits for a request any more; ends a request whose client turns out to have left."""
        if pending.send_answer is not None and pending.client_left is not None and pending.client_left():
            self.abandon_request(pending.request_id)
        return pending.send_answer is None

    def _on_answer_began(self, attempt: Attempt, answer: Message) -> None:
        """Deliver an answer whose body is streamed: from now on the host alone can end it."""
        pending: _PendingRequest = attempt.owner
        if pending.send_answer is None or answer.body_flow is None:
            attempt.stop(Outcome.CANCELLED)
            return
        if pending.message.needs_whole_answer and not answer.body_flow.is_received:
            # Whether it would be whole in time is up to the host.
            status = 503 if pending.lifecycle.is_idempotent else 502
            self._answer_and_cancel(pending, status, "its answer may outlast the process")
            return
        if pending.deadline_timer is not None:
            pending.deadline_timer.cancel()
        now, loop_now = self.clock.now(), self._loop.time()
        began_at = attempt.answer_began_at or loop_now
        client_deadline = loop_now + (pending.lifecycle.deadline - now) / SECOND
        answer.body_flow.allow_silence(client_deadline + SILENCE_SLACK_SECONDS, loop_now)
        host_seconds = began_at - max(attempt.started_at, pending.body_complete_at) - attempt.unread_seconds
        self._deliver_answer(
            pending,
            Answer(200, answer.headers, answer.body, answer.body_flow),
            now,
            "its body is streamed",
            True,
        )
        server = attempt.host.member.server.id
        event = StreamStarted(
            pending.request_id, attempt.number, server, max(0, round(host_seconds * SECOND))
        )
        self._dispatch_event(event, pending.request_id, now)

    def _on_attempt_ended(self, attempt: Attempt, outcome: Outcome, answer: Message | None) -> None:
        """Deliver the answer of a successful attempt, and report the outcome to guards and balancer."""
        pending: _PendingRequest = attempt.owner
        pending.attempts[attempt.number] = None
        # Measured before the answer is written: the kernel often preempts a process at a write, and that
        # time is not the host's.
        now, latency = self.clock.now(), round((self._loop.time() - attempt.started_at) * SECOND)
        if answer is not None and outcome is Outcome.OK and pending.send_answer is not None:
            self._deliver_answer(pending, Answer(200, answer.headers, answer.body), now, "served", True)
        excluded_time = round((attempt.unread_seconds + self._body_wait_seconds(pending, attempt)) * SECOND)
        self.guards.attempt_ended(pending.lifecycle, attempt.number, attempt.has_begun, outcome, now)
        is_unexecuted = attempt.has_begun and not pending.lifecycle.may_have_run
        if is_unexecuted and pending.client_request_id and not pending.lifecycle.is_idempotent:
            self.executed_requests.forget(pending.client_request_id)
        self._report_attempt_end(
            pending, attempt.number, attempt.host.member.server.id, outcome, now, latency, excluded_time
        )

    def _body_wait_seconds(self, pending: _PendingRequest, attempt: Attempt) -> float:
        """Return for how many seconds of an attempt the host waited for the client's body."""
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
        excluded_time: int = 0,
    ) -> None:
        """Report the end of an attempt to the balancer.

        `excluded_time`: microseconds of the latency in which the answer waited here unread, or in which the
        host waited for the request body.
        """
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
            excluded_time,
            is_body_consumed,
        )
        self._dispatch_event(event, pending.request_id, now)

    def _answer_request(self, request_id: RequestId, answer: Answer, now: int, reason: str) -> None:
        """Deliver an answer, unless the request is over."""
        pending = self._pending.get(request_id)
        if pending is not None and pending.send_answer is not None:
            self._deliver_answer(pending, answer, now, reason)

    def _deliver_answer(
        self, pending: _PendingRequest, answer: Answer, now: int, reason: str, is_served: bool = False
    ) -> None:
        """Send the client its final answer, subject to the guards; no other method sends one."""
        send_answer, pending.send_answer = pending.send_answer, None
        status = self.guards.may_answer(pending.lifecycle, answer.status, is_served, reason, now)
        if send_answer is not None and status:
            send_answer(answer if status == answer.status else Answer(status))

    def _release_if_answered(self, pending: _PendingRequest) -> None:
        """Cancel the unsent attempts of a request that is over; once all attempts have ended, release it."""
        if pending.send_answer is not None:
            return
        for attempt in pending.attempts:
            # An attempt that still connects must not be sent. The host of a streamed answer has the request.
            if attempt is not None and not attempt.is_fully_written and not attempt.is_streaming:
                attempt.stop(Outcome.CANCELLED)
        if not any(pending.attempts):
            if pending.deadline_timer is not None:
                pending.deadline_timer.cancel()
            self._pending.pop(pending.request_id, None)

    def _on_deadline(self, pending: _PendingRequest) -> None:
        """Time out the attempts in flight, as the deadline has passed; the balancer then answers."""
        remaining = pending.lifecycle.deadline - self.clock.now()
        if remaining > 0:  # the loop's clock is coarser; the balancer must see that the deadline has passed
            self._set_deadline_timer(pending, remaining)
            return
        if not pending.is_deadline_extended and any(
            attempt is not None and attempt.has_unread for attempt in pending.attempts
        ):
            # An answer is here: after one more turn of the loop the client has it.
            pending.is_deadline_extended = True
            pending.deadline_timer = self._timers.call_later(0, self._on_deadline, pending)
            return
        for attempt in list(pending.attempts):
            if attempt is not None:
                _time_out_attempt(attempt)
        self._fail_request(pending.request_id, 504)  # in case the balancer has not answered

    def _fail_request(self, request_id: RequestId, status: int) -> None:
        """Answer a request that the balancer did not answer; a fault must not leave it unanswered."""
        pending = self._pending.get(request_id)
        if pending is None or pending.send_answer is None:
            return
        log.error("the balancer did not answer request %d", request_id)
        self._answer_and_cancel(pending, status, "the balancer did not answer")

    def _answer_and_cancel(self, pending: _PendingRequest, status: int, reason: str) -> None:
        """Answer a request here instead of by the balancer, and end its attempts."""
        self._deliver_answer(pending, Answer(status), self.clock.now(), reason)
        self._dispatch_event(RequestGone(pending.request_id), pending.request_id)
        for attempt in list(pending.attempts):
            if attempt is not None:
                attempt.stop(Outcome.CANCELLED)
        self._release_if_answered(pending)


def _time_out_attempt(attempt: Attempt) -> None:
    """End an attempt that has no answer yet."""
    if attempt.is_streaming or attempt.stream_collected():  # the answer has begun, and the host ends it
        return
    # Without the last byte the host never had the request, and the client may safely retry.
    attempt.stop(Outcome.TIMEOUT if attempt.is_fully_written else Outcome.NOT_SENT)
