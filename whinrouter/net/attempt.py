"""One sending of a request to a host, as the driver has it, and what it asks of whoever carries it out."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from whinrouter.interface import Outcome, ServerId
from whinrouter.net.hosts import Member
from whinrouter.net.http import Message, write_request
from whinrouter.net.timer_wheel import Timer
from whinrouter.streaming.flow import Flow

Ended = Callable[["Attempt", Outcome, Message | None], None]
Began = Callable[["Attempt", Message], None]
MayBegin = Callable[["Attempt", bool, bool], Outcome | None]


class Carrier(Protocol):
    """The connection that an attempt goes over."""

    written: bool  # the host may have the last byte

    def quiet(self) -> bool:
        """Whether nothing has come since the last answer."""

    def drop(self) -> None:
        """Close it now."""

    def resume(self, attempt: Attempt, body: Flow) -> None:
        """Go on with an attempt of another process, whose body still comes."""

    def let_go(self) -> None:
        """Another process goes on with it: close it without a word."""


class Target(Protocol):
    """The host that an attempt goes to."""

    member: Member
    connecting: set[Attempt]


class Sender(Protocol):
    """Whoever sends attempts to hosts, and tells of each how it ended."""

    def update(self, members: Iterable[Member], complete: bool) -> None:
        """Follow the list; a host that drains or left gets nothing more, from this moment on."""

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
        """Start an attempt; None if the host may not be sent to. It may end before this returns.

        `may_begin`: asked before its first byte leaves, with whether the host may be sent to and whether it
        had to wait for its connection: what it ends with instead of beginning; None: it begins.
        `began` is called with an answer that is served and whose body is passed on as it comes; with None,
        such an answer is of no use. The attempt ends with its body.
        """


class Attempt:
    """One sending of a request to a host; it ends exactly once."""

    __slots__ = (
        "_ended",
        "began",
        "begun",
        "connection",
        "expires",
        "host",
        "may_begin",
        "message",
        "number",
        "owner",
        "started",
        "streams",
        "task",
        "timer",
        "waited",
    )

    def __init__(
        self,
        host: Target,
        message: Message,
        expires: float,
        ended: Ended,
        owner: Any,
        number: int,
        now: float,
        began: Began | None = None,
        may_begin: MayBegin | None = None,
    ) -> None:
        self.began = began
        self.may_begin = may_begin
        self.begun = False  # its first byte was let out
        self.streams = False  # its answer goes to the client as it comes
        self.host = host
        self.message = message
        self.expires = expires  # loop time
        self.owner = owner  # whoever sends may keep here what it sends for, and the number of the attempt
        self.number = number
        self.started = now  # loop time
        self._ended: Ended | None = ended
        self.connection: Carrier | None = None
        self.task: asyncio.Task[Any] | None = None
        self.waited = 0.0  # seconds for which its answer lay here unread
        self.timer: Timer | None = None  # of whoever sends: needless once this has ended

    @property
    def over(self) -> bool:
        return self._ended is None

    @property
    def written(self) -> bool:
        """Whether the host may have the last byte."""
        return self.connection is not None and self.connection.written

    @property
    def unread(self) -> bool:
        """Whether something of its answer, or its connection's end, is here and was not read yet."""
        return self.connection is not None and not self.connection.quiet()

    def text(self, now: float) -> bytes:
        left = max(0.0, self.expires - now)
        # How long its client waits begins with the end of its body, which is still to come.
        return write_request(self.message, left if self.message.rest is None else self.message.patience)

    def end(self, outcome: Outcome, answer: Message | None = None) -> None:
        ended, self._ended = self._ended, None
        if ended is not None:
            if self.timer is not None:
                self.timer.cancel()
            ended(self, outcome, answer)

    def stop(self, outcome: Outcome) -> None:
        """Give it up: it has this outcome, and the host sees its connection close."""
        if self._ended is None:
            return
        self.host.connecting.discard(self)
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.drop()
        if self.task is not None:
            self.task.cancel()
        self.end(outcome)
