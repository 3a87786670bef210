"""One attempt to send a request to a host, and the interfaces between attempts, senders and connections.

The driver (`gateway.py`) asks an `AttemptSender` for attempts; the sender (`upstream.py`) carries them out
over connections to hosts. Each attempt ends exactly once, by `Attempt.end` or `Attempt.stop`:

    created --may_begin agrees, first byte sent--> begun --answer whose body is streamed--> streaming
    any of these --end or stop--> over
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from whinrouter.interface import Outcome, ServerId
from whinrouter.net.hosts import Member
from whinrouter.net.http_messages import Message, serialize_request
from whinrouter.net.timer_wheel import Timer
from whinrouter.streaming.flow import Flow

EndedCallback = Callable[["Attempt", Outcome, Message | None], None]
StreamingCallback = Callable[["Attempt", Message], None]
MayBeginCheck = Callable[["Attempt", bool, bool], Outcome | None]


class AttemptConnection(Protocol):
    """The connection that carries an attempt."""

    is_fully_written: bool  # the last byte has left, so the host may have the whole request

    def is_quiet(self) -> bool:
        """Whether nothing has arrived since the last answer."""

    def drop(self) -> None:
        """Close the connection now."""

    def resume(self, attempt: Attempt, body: Flow) -> None:
        """Continue an attempt of another process, whose request body is still arriving."""

    def release(self) -> None:
        """Close the connection here without sending anything: another process has taken it over."""

    def stream_collected(self) -> bool:
        """Pass on what has arrived of an answer of undeclared length; False if there is no such answer."""


class TargetHost(Protocol):
    """The host that an attempt goes to."""

    member: Member
    connecting: set[Attempt]  # attempts that wait for a connection to the host


class AttemptSender(Protocol):
    """Sends attempts to hosts, and reports how each of them ended."""

    def update(self, members: Iterable[Member], complete: bool) -> None:
        """Apply a list of hosts. A host that drains or is gone is sent nothing more from this moment on."""

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
        """Start an attempt; None if the host may not be sent to. The attempt may end before this returns.

        `may_begin` is called right before the first byte leaves, with the attempt, whether its host may be
        sent to, and whether the attempt had to wait for its connection. It returns the outcome with which the
        attempt ends instead of beginning, or None if the attempt may begin.
        `on_streaming` is called with a successful answer whose body is streamed; the attempt then ends when
        the body does. Without it, the attempt ends with the head of such an answer, whose body is not read.
        """


class Attempt:
    """One attempt to send a request to a host; it ends exactly once."""

    __slots__ = (
        "_on_ended",
        "answer_began_at",
        "connection",
        "expires_at",
        "has_begun",
        "host",
        "is_streaming",
        "may_begin",
        "message",
        "number",
        "on_streaming",
        "owner",
        "started_at",
        "task",
        "timer",
        "unread_seconds",
    )

    def __init__(
        self,
        host: TargetHost,
        message: Message,
        expires_at: float,
        on_ended: EndedCallback,
        owner: Any,
        number: int,
        now: float,
        on_streaming: StreamingCallback | None = None,
        may_begin: MayBeginCheck | None = None,
    ) -> None:
        self.on_streaming = on_streaming
        self.may_begin = may_begin
        self.has_begun = False  # its first byte was allowed to leave
        self.answer_began_at = 0.0  # loop time of the first byte of a body of undeclared length; 0.0: none
        self.is_streaming = False  # its answer is passed to the client as it arrives
        self.host = host
        self.message = message
        self.expires_at = expires_at  # loop time
        self.owner = owner  # set by the caller of `send`: the request that the attempt belongs to
        self.number = number  # the attempt's number within its request
        self.started_at = now  # loop time
        self._on_ended: EndedCallback | None = on_ended
        self.connection: AttemptConnection | None = None
        self.task: asyncio.Task[Any] | None = None  # opens the connection
        self.unread_seconds = 0.0  # how long the answer had waited unread in this process
        self.timer: Timer | None = None  # set by the caller of `send`; cancelled when the attempt ends

    @property
    def is_over(self) -> bool:
        """Whether the attempt has ended."""
        return self._on_ended is None

    @property
    def is_fully_written(self) -> bool:
        """Whether the host may have the whole request."""
        return self.connection is not None and self.connection.is_fully_written

    @property
    def has_unread(self) -> bool:
        """Whether a part of the answer, or the end of the connection, has arrived but was not read yet."""
        return self.connection is not None and not self.connection.is_quiet()

    def stream_collected(self) -> bool:
        """Pass on what has arrived of an answer of undeclared length; False if there is no such answer."""
        return self.connection is not None and self.connection.stream_collected()

    def encode(self, now: float) -> bytes:
        """Return the request as it is sent to the host, with the time that remains for it."""
        remaining = max(0.0, self.expires_at - now)
        # The client's timeout runs only from the end of its body, so a request whose body is still arriving
        # is sent with the whole timeout.
        return serialize_request(
            self.message, remaining if self.message.body_flow is None else self.message.client_timeout_seconds
        )

    def end(self, outcome: Outcome, answer: Message | None = None) -> None:
        """Report the outcome, once; later calls have no effect."""
        on_ended, self._on_ended = self._on_ended, None
        if on_ended is not None:
            if self.timer is not None:
                self.timer.cancel()
            on_ended(self, outcome, answer)

    def stop(self, outcome: Outcome) -> None:
        """End the attempt with this outcome and close its connection, by which the host notices."""
        if self._on_ended is None:
            return
        self.host.connecting.discard(self)
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.drop()
        if self.task is not None:
            self.task.cancel()
        self.end(outcome)
