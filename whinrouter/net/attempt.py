"""One sending of a request to a host, as the driver has it, and what it asks of whoever carries it out."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from whinrouter.interface import Outcome, ServerId
from whinrouter.net.hosts import Member
from whinrouter.net.http import Message, serialize_request
from whinrouter.net.timer_wheel import Timer
from whinrouter.streaming.flow import Flow

EndedCallback = Callable[["Attempt", Outcome, Message | None], None]
StreamingCallback = Callable[["Attempt", Message], None]
MayBeginCheck = Callable[["Attempt", bool, bool], Outcome | None]


class AttemptConnection(Protocol):
    """The connection that an attempt goes over."""

    is_fully_written: bool  # the host may have the last byte

    def is_quiet(self) -> bool:
        """Whether nothing has come since the last answer."""

    def drop(self) -> None:
        """Close it now."""

    def resume(self, attempt: Attempt, body: Flow) -> None:
        """Go on with an attempt of another process, whose body still comes."""

    def release(self) -> None:
        """Another process goes on with it: close it without a word."""


class TargetHost(Protocol):
    """The host that an attempt goes to."""

    member: Member
    connecting: set[Attempt]


class AttemptSender(Protocol):
    """Whoever sends attempts to hosts, and tells of each how it ended."""

    def update(self, members: Iterable[Member], complete: bool) -> None:
        """Follow the list; a host that drains or left gets nothing more, from this moment on."""

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
        """Start an attempt; None if the host may not be sent to. It may end before this returns.

        `may_begin`: asked before its first byte leaves, with whether the host may be sent to and whether it
        had to wait for its connection: what it ends with instead of beginning; None: it begins.
        `began` is called with an answer that is served and whose body is passed on as it comes; with None,
        such an answer is of no use. The attempt ends with its body.
        """


class Attempt:
    """One sending of a request to a host; it ends exactly once."""

    __slots__ = (
        "_on_ended",
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
        self.has_begun = False  # its first byte was let out
        self.is_streaming = False  # its answer goes to the client as it comes
        self.host = host
        self.message = message
        self.expires_at = expires_at  # loop time
        self.owner = owner  # whoever sends may keep here what it sends for, and the number of the attempt
        self.number = number
        self.started_at = now  # loop time
        self._on_ended: EndedCallback | None = on_ended
        self.connection: AttemptConnection | None = None
        self.task: asyncio.Task[Any] | None = None
        self.unread_seconds = 0.0  # seconds for which its answer lay here unread
        self.timer: Timer | None = None  # of whoever sends: needless once this has ended

    @property
    def is_over(self) -> bool:
        return self._on_ended is None

    @property
    def is_fully_written(self) -> bool:
        """Whether the host may have the last byte."""
        return self.connection is not None and self.connection.is_fully_written

    @property
    def has_unread(self) -> bool:
        """Whether something of its answer, or its connection's end, is here and was not read yet."""
        return self.connection is not None and not self.connection.is_quiet()

    def encode(self, now: float) -> bytes:
        left = max(0.0, self.expires_at - now)
        # How long its client waits begins with the end of its body, which is still to come.
        return serialize_request(
            self.message, left if self.message.body_flow is None else self.message.client_timeout_seconds
        )

    def end(self, outcome: Outcome, answer: Message | None = None) -> None:
        on_ended, self._on_ended = self._on_ended, None
        if on_ended is not None:
            if self.timer is not None:
                self.timer.cancel()
            on_ended(self, outcome, answer)

    def stop(self, outcome: Outcome) -> None:
        """Give it up: it has this outcome, and the host sees its connection close."""
        if self._on_ended is None:
            return
        self.host.connecting.discard(self)
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.drop()
        if self.task is not None:
            self.task.cancel()
        self.end(outcome)
