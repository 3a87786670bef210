"""A request that waits unread in its socket, as it does when the loop runs late, is not lost with it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

import pytest

from tests.peers import (
    SETTINGS,
    TEST_TIMEOUT_SECONDS,
    Client,
    RunningGateway,
    ScriptedServer,
    answers_with,
    async_test,
    never_answers,
    replace_method,
    request_text,
    running_gateway,
    scripted_servers,
    skip_if_compiled,
    wait_until,
)
from whinrouter.interface import SECOND
from whinrouter.invariants.lifecycle import CloseReason
from whinrouter.net import frontend

SECONDS = max(kind.deadline for kind in SETTINGS.classes) / SECOND  # for which a client waits at the most


def _before_admit(proxy: RunningGateway, act: Callable[[], None]) -> None:
    """Between the loop's look at the sockets and the admission of a newcomer other callbacks run."""
    admit = proxy.frontend.admit

    def late(client: frontend.ClientConnection) -> bool:
        act()
        return admit(client)

    replace_method(proxy.frontend, "admit", late)


async def _answered(proxy: RunningGateway, host: ScriptedServer, count: int) -> None:
    await wait_until(lambda: len(host.requests) == count and not proxy.gateway.unanswered_count)


@async_test
async def test_an_idle_connection_with_a_request_unread_makes_no_room() -> None:
    async with (
        scripted_servers(answers_with()) as (host,),
        running_gateway(host.member(), max_connections=8) as proxy,
    ):
        clients = [await proxy.client() for _ in range(4)]
        for client in clients:
            assert (await client.fetch()).status == 200
        _before_admit(proxy, lambda: clients[0].writer.write(request_text()))
        newcomer = await proxy.client()
        assert (await newcomer.fetch()).status == 200
        assert (await clients[0].read_answer()).status == 200
        assert await clients[1].read_to_end() == b""  # the next in line went instead


@async_test
async def test_at_the_limit_the_newest_goes_where_all_others_may_hold_a_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(frontend, "IDLE_EVICTION_SHARE", 1.0)
    async with (
        scripted_servers(answers_with()) as (host,),
        running_gateway(host.member(), max_connections=2) as proxy,
    ):
        clients = [await proxy.client() for _ in range(2)]
        for client in clients:
            assert (await client.fetch()).status == 200

        def ask() -> None:
            for client in clients:
                client.writer.write(request_text())

        _before_admit(proxy, ask)
        with contextlib.suppress(ConnectionError):
            assert await (await proxy.client()).read_to_end() == b""
        assert [(await client.read_answer()).status for client in clients] == [200, 200]


@async_test
async def test_who_is_owed_a_part_of_an_answer_makes_no_room() -> None:
    async with (
        scripted_servers(answers_with(body=bytes(60_000))) as (host,),
        running_gateway(host.member(), max_connections=1) as proxy,
    ):
        client = await proxy.client()
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        (connection,) = proxy.frontend.connections
        for asked in range(1, 1000):
            client.writer.write(request_text())
            await _answered(proxy, host, asked)
            if connection.unsent_bytes:
                break
        with contextlib.suppress(ConnectionError):
            assert await (await proxy.client()).read_to_end() == b""
        client.writer.transport.resume_reading()  # type: ignore[attr-defined]
        text = b""
        while text.count(b"HTTP/1.1 200") < len(host.requests) or connection.unsent_bytes:
            text += await asyncio.wait_for(client._reader.read(65536), TEST_TIMEOUT_SECONDS)
            assert text


@async_test
async def test_a_crowd_with_requests_unread_costs_a_newcomer_few_looks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with (
        scripted_servers(never_answers) as (host,),
        running_gateway(host.member(), max_connections=60) as proxy,
    ):
        clients = [await proxy.client() for _ in range(30)]
        await wait_until(lambda: len(proxy.frontend.connections) == len(clients))
        looks: list[asyncio.BaseTransport] = []

        def look(transport: asyncio.BaseTransport) -> bool:
            looks.append(transport)
            return True

        skip_if_compiled(frontend)
        monkeypatch.setattr(frontend, "has_unread", look)
        clients.append(await proxy.client())
        await wait_until(lambda: len(proxy.frontend.connections) == len(clients))
        assert len(looks) == frontend.MAX_EVICTION_CHECKS


@pytest.mark.parametrize("begun", [0, 30], ids=["idle", "begun"])
@async_test
async def test_the_sweep_ends_nobody_with_something_unread(begun: int) -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client, text = await proxy.client(), request_text()
        await wait_until(lambda: proxy.frontend.connections)
        (connection,) = proxy.frontend.connections
        client.writer.write(text[:begun])
        await wait_until(lambda: connection._request_reader.has_begun == bool(begun))
        connection.wait_deadline = asyncio.get_running_loop().time()
        client.writer.write(text[begun:])
        proxy.frontend._sweep()
        assert (await client.read_answer()).status == 200


@async_test
async def test_nobody_stays_past_their_time_by_sending_for_ever() -> None:
    async with running_gateway() as proxy:
        client = await proxy.client()
        await wait_until(lambda: proxy.frontend.connections)
        (connection,) = proxy.frontend.connections
        connection.wait_deadline = asyncio.get_running_loop().time() - SECONDS
        client.writer.write(b"G")
        proxy.frontend._sweep()
        await wait_until(lambda: not proxy.frontend.connections)


@async_test
async def test_a_request_that_waits_unread_for_long_at_the_own_limit_is_not_dropped() -> None:
    """Reads are few a turn there: its time to be idle ran out long ago, its client's time has not."""
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        await wait_until(lambda: proxy.frontend.connections)
        (connection,) = proxy.frontend.connections
        connection.wait_deadline = asyncio.get_running_loop().time() - SECONDS + 1
        client.writer.write(request_text())
        proxy.frontend._sweep()
        assert (await client.read_answer()).status == 200


@async_test
async def test_a_request_unread_at_the_end_is_answered() -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client, other = await proxy.client(), await proxy.client()
        assert (await client.fetch()).status == 200
        proxy.frontend.presence.stop(asyncio.get_running_loop().time())
        client.writer.write(request_text())
        proxy.frontend.close()
        answer = await client.read_answer()
        assert (answer.status, answer.keep_alive) == (200, False)
        assert await other.read_to_end() == b""


@async_test
async def test_connections_that_wait_to_be_accepted_at_the_end_are_taken() -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        waiting = []
        for _ in range(40):  # more than one turn accepts; the loop does not run meanwhile
            waiting.append(socket.create_connection(("127.0.0.1", proxy.port)))
            waiting[-1].sendall(request_text())
        proxy.frontend.presence.stop(asyncio.get_running_loop().time())
        await proxy.frontend.listener.accept_pending()
        proxy.frontend.close()
        for endpoint in waiting:
            client = Client(*await asyncio.open_connection(sock=endpoint))
            assert (await client.read_answer()).status in (200, 503)  # the one host takes only some at a time


@async_test
async def test_a_connection_that_makes_room_ends_at_once() -> None:
    """Were it to end a turn later, a request that came meanwhile would be reset with it."""
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        assert (await client.fetch()).status == 200
        (connection,) = proxy.frontend.connections
        connection.abort_connection(CloseReason.MAKES_ROOM)
        endpoint = client.writer.get_extra_info("socket")
        with socket.socket(fileno=socket.dup(endpoint.fileno())) as seen:
            seen.setblocking(False)
            assert seen.recv(1) == b""  # the loop has had no turn yet
