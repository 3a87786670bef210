"""An attempt that waited for its connection is written only while that is still allowed.

A group of hosts drops the repeats of a keyed request only within the dedup window. An attempt that the
decision module sends in time can get its connection too late.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.peers import (
    ScriptedServer,
    answers_with,
    async_test,
    replace_method,
    request_text,
    resets_connection,
    running_gateway,
    scripted_servers,
    wait_until,
)
from tests.stalled_sender import StalledSender
from whinrouter.balance import Balancer
from whinrouter.interface import MS, SECOND, Effect, Outcome, RequestClass, Scope, Server, Settings
from whinrouter.net.gateway import Answer, ClientRequest, Gateway
from whinrouter.net.hosts import HostList, Member
from whinrouter.net.http_messages import Message

DEDUP_WINDOW = SECOND  # long enough that a stall of the test machine does not exceed it


def _settings(window: int = DEDUP_WINDOW, scope: Scope = Scope.ALL) -> Settings:
    order = RequestClass("order", 40 * MS, 20 * SECOND, Effect.KEYED, scope, window, worth=8)
    return Settings((order,), max_attempts=3, may_hedge=True, may_cancel=True)


def _block_loop(seconds: float) -> None:
    """Block the event loop for some time."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        pass


@pytest.mark.parametrize(("scope", "status"), [(Scope.ALL, 503), (Scope.CELL, 502)])
@async_test
async def test_a_keyed_retry_is_not_written_when_it_connects_after_the_dedup_window(
    scope: Scope, status: int
) -> None:
    async with scripted_servers(resets_connection, resets_connection) as hosts:
        members = [host.member(cell=1) for host in hosts]
        async with running_gateway(*members, settings=_settings(scope=scope)) as proxy:
            on_connected, connections = proxy.upstream._on_connected, 0

            def connect_late(*args: Any) -> None:
                nonlocal connections
                connections += 1
                if connections > 1:  # the retry's connection
                    _block_loop(DEDUP_WINDOW / SECOND)
                on_connected(*args)

            replace_method(proxy.upstream, "_on_connected", connect_late)
            client = await proxy.client()
            client.writer.write(request_text("order", {"Idempotency-Key": "5c0f"}))
            assert (await client.read_answer()).status == status
            assert connections == 2
            assert sum(len(host.requests) for host in hosts) == 1
            await wait_until(lambda: proxy.upstream.descriptors_in_use == 0)
            client.close()


@async_test
async def test_a_keyed_retry_that_connects_within_the_dedup_window_is_served() -> None:
    async def first_resets(request: Message, writer: asyncio.StreamWriter) -> None:
        await (resets_connection if sum(len(host.requests) for host in hosts) == 1 else answers_with())(
            request, writer
        )

    hosts: list[ScriptedServer]
    async with scripted_servers(first_resets, first_resets) as hosts:
        settings = _settings(30 * SECOND)
        async with running_gateway(*[host.member() for host in hosts], settings=settings) as proxy:
            client = await proxy.client()
            client.writer.write(request_text("order", {"Idempotency-Key": "5c0f"}))
            assert (await client.read_answer()).status == 200
            client.close()


def _submit(gateway: Gateway, timeout: int = 20 * SECOND) -> list[Answer]:
    answers: list[Answer] = []
    gateway.submit_request(ClientRequest(Message(b"POST", b"/order"), "order", timeout), answers.append)
    return answers


def _create_gateway(sender: StalledSender, settings: Settings) -> Gateway:
    gateway = Gateway(Balancer(settings, seed=1), sender)
    gateway.update_hosts(
        HostList(1, True, tuple(Member(Server(id=server_id), ("127.0.0.1", 9)) for server_id in (1, 2)))
    )
    return gateway


@async_test
async def test_the_dedup_window_also_binds_the_first_of_two_attempts() -> None:
    """The first connection is established late, and the hedge that started meanwhile may have run."""
    sender = StalledSender()
    gateway = _create_gateway(sender, _settings())
    answers = _submit(gateway)
    assert sender.begin(0) is None
    await wait_until(lambda: len(sender.attempts) > 1)  # the first one is late, so a hedge starts
    _block_loop(DEDUP_WINDOW / SECOND)
    assert sender.begin(0) is Outcome.NOT_SENT
    assert sender.begin(1) is Outcome.NOT_SENT
    assert not answers


@pytest.mark.parametrize("window", [0, 1, 5 * MS])
@async_test
async def test_a_sole_attempt_may_connect_after_the_dedup_window(window: int) -> None:
    """No other attempt can have run, even if earlier ones were never written."""
    sender = StalledSender()
    gateway = _create_gateway(sender, _settings(window))
    _submit(gateway)
    _block_loop(0.01)
    assert sender.begin(0) is None
    sender.attempts[0].stop(Outcome.NOT_SENT)
    assert len(sender.attempts) == 2
    _block_loop(0.01)
    assert sender.begin(1) is None


@async_test
async def test_an_attempt_is_not_written_when_it_connects_after_the_deadline() -> None:
    sender = StalledSender()
    gateway = _create_gateway(sender, _settings())
    answers = _submit(gateway, DEDUP_WINDOW)
    assert sender.begin(0) is None
    _block_loop(DEDUP_WINDOW / SECOND)
    assert sender.begin(0) is Outcome.NOT_SENT
    await wait_until(lambda: answers)


@async_test
async def test_an_attempt_on_an_idle_connection_is_not_begun_after_its_time() -> None:
    """A suspension of the process between the decision and the send made it a violation of an invariant."""
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        assert (await client.fetch()).status == 200
        send, loop = proxy.upstream.send, asyncio.get_running_loop()

        def send_late(server: int, message: Message, expires_at: float, *rest: Any) -> Any:
            _block_loop(expires_at - loop.time() + 0.01)
            return send(server, message, expires_at, *rest)

        replace_method(proxy.upstream, "send", send_late)
        assert (await client.fetch(headers={"X-Deadline": "0.2"})).status in (502, 503, 504)
        assert len(host.requests) == 1
