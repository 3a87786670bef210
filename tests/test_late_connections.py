"""An attempt that had to wait for its connection begins only while it still may.

A keyed request is dropped by its group as a repeat only while that remembers the first one. What the
decisions send in time can come up too late.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

import pytest

from tests.peers import Peer, change, peers, request_text, resets, running, says, scenario, until
from whinrouter.balance import Balancer
from whinrouter.interface import MS, SECOND, Effect, Outcome, RequestClass, Scope, Server, Settings
from whinrouter.net.attempt import Attempt, Began, Ended, MayBegin
from whinrouter.net.gateway import Answer, Asked, Gateway
from whinrouter.net.hosts import HostList, Member
from whinrouter.net.http import Message

WINDOW = SECOND  # so long that a stall of the test's own machine does not end it


def _settings(window: int = WINDOW, scope: Scope = Scope.ALL) -> Settings:
    order = RequestClass("order", 40 * MS, 20 * SECOND, Effect.KEYED, scope, window, worth=8)
    return Settings((order,), max_attempts=3, may_hedge=True, may_cancel=True)


def _wait(seconds: float) -> None:
    """Let time pass without a turn of the loop."""
    loop = asyncio.get_running_loop()
    until_ = loop.time() + seconds
    while loop.time() < until_:
        pass


@pytest.mark.parametrize(("scope", "status"), [(Scope.ALL, 503), (Scope.CELL, 502)])
@scenario
async def test_a_keyed_repeat_whose_connection_is_up_after_the_window_is_not_written(
    scope: Scope, status: int
) -> None:
    async with peers(resets, resets) as hosts:
        members = [host.member() for host in hosts]
        async with running(*members, settings=_settings(scope=scope)) as proxy:
            up, connections = proxy.upstream._up, 0

            def late(*args: Any) -> None:
                nonlocal connections
                connections += 1
                if connections > 1:  # of the repeat
                    _wait(WINDOW / SECOND)
                up(*args)

            change(proxy.upstream, "_up", late)
            client = await proxy.client()
            client.writer.write(request_text("order", {"Idempotency-Key": "5c0f"}))
            assert (await client.answer()).status == status
            assert connections == 2
            assert sum(len(host.requests) for host in hosts) == 1
            await until(lambda: proxy.upstream.open == 0)
            client.close()


@scenario
async def test_a_keyed_repeat_whose_connection_is_up_in_time_is_served() -> None:
    async def first_resets(request: Message, writer: asyncio.StreamWriter) -> None:
        await (resets if sum(len(host.requests) for host in hosts) == 1 else says())(request, writer)

    hosts: list[Peer]
    async with peers(first_resets, first_resets) as hosts:
        settings = _settings(30 * SECOND)
        async with running(*[host.member() for host in hosts], settings=settings) as proxy:
            client = await proxy.client()
            client.writer.write(request_text("order", {"Idempotency-Key": "5c0f"}))
            assert (await client.answer()).status == 200
            client.close()


class _Held:
    """Hosts to which no connection comes up before a test says so."""

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []

    def update(self, members: Iterable[Member], complete: bool) -> None:
        self.member = next(iter(members))
        self.connecting: set[Attempt] = set()

    def send(
        self,
        server: int,
        message: Message,
        expires: float,
        ended: Ended,
        owner: Any = None,
        number: int = 0,
        began: Began | None = None,
        may_begin: MayBegin | None = None,
    ) -> Attempt | None:
        self.attempts.append(Attempt(self, message, expires, ended, owner, number, 0.0, began, may_begin))
        return self.attempts[-1]

    def barred(self, number: int) -> Outcome | None:
        attempt = self.attempts[number]
        assert attempt.may_begin is not None
        return attempt.may_begin(attempt, True, True)


def _ask(gateway: Gateway, patience: int = 20 * SECOND) -> list[Answer]:
    answers: list[Answer] = []
    gateway.take(Asked(Message(b"POST", b"/order"), "order", patience), answers.append)
    return answers


def _gateway(held: _Held, settings: Settings) -> Gateway:
    gateway = Gateway(Balancer(settings, seed=1), held)
    gateway.list_hosts(HostList(1, True, tuple(Member(Server(id=at), ("127.0.0.1", 9)) for at in (1, 2))))
    return gateway


@scenario
async def test_the_first_of_two_is_held_to_the_window_too() -> None:
    """Its connection comes up late, and the copy that was started meanwhile may have run."""
    held = _Held()
    gateway = _gateway(held, _settings())
    answers = _ask(gateway)
    assert held.barred(0) is None
    await until(lambda: len(held.attempts) > 1)  # late by its like
    _wait(WINDOW / SECOND)
    assert held.barred(0) is Outcome.NOT_SENT
    assert held.barred(1) is Outcome.NOT_SENT
    assert not answers


@pytest.mark.parametrize("window", [0, 1, 5 * MS])
@scenario
async def test_what_is_alone_may_take_longer_than_the_window(window: int) -> None:
    """Nothing that it would be a repeat of can have run: also where all before it never were sent."""
    held = _Held()
    gateway = _gateway(held, _settings(window))
    _ask(gateway)
    _wait(0.01)
    assert held.barred(0) is None
    held.attempts[0].stop(Outcome.NOT_SENT)
    assert len(held.attempts) == 2
    _wait(0.01)
    assert held.barred(1) is None


@scenario
async def test_what_is_up_after_its_time_is_not_written() -> None:
    held = _Held()
    gateway = _gateway(held, _settings())
    answers = _ask(gateway, WINDOW)
    assert held.barred(0) is None
    _wait(WINDOW / SECOND)
    assert held.barred(0) is Outcome.NOT_SENT
    await until(lambda: answers)
