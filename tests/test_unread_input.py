"""A request that waits unread in its socket, as under event loop lag, is not lost with its connection."""

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

LONGEST_DEADLINE_SECONDS = max(kind.deadline for kind in SETTINGS.classes) / SECOND


def _before_admit(proxy: RunningGateway, act: Callable[[], None]) -> None:
    """Call `act` between the loop's poll and the admission of a new connection, as other callbacks may."""
    admit = proxy.frontend.admit

    def admit_late(client: frontend.ClientConnection) -> bool:
        act()
        return admit(client)

    replace_method(proxy.frontend, "admit", admit_late)


async def _wait_for_answers(proxy: RunningGateway, host: ScriptedServer, count: int) -> None:
    await wait_until(lambda: len(host.requests) == count and not proxy.gateway.unanswered_count)


@async_test
async def test_an_idle_connection_with_an_unread_request_is_not_evicted() -> None:
    async with (
        scripted_servers(answers_with()) as (host,),
        running_gateway(host.member(), max_connections=8) as proxy,
    ):
        clients = [await proxy.client() for _ in range(4)]
        for client in clients:
            assert (await client.fetch()).status == 200
        _before_admit(proxy, lambda: clients[0].writer.write(request_text()))
        new_client = await proxy.client()
        assert (await new_client.fetch()).status == 200
        assert (await clients[0].read_answer()).status == 200
        assert await clients[1].read_to_end() == b""  # the next in the order was evicted instead


@async_test
async def test_at_the_limit_the_new_connection_is_closed_if_all_others_have_unread_input(
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

        def send_requests() -> None:
            for client in clients:
                client.writer.write(request_text())

        _before_admit(proxy, send_requests)
        with contextlib.suppress(ConnectionError):
            assert await (await proxy.client()).read_to_end() == b""
        assert [(await client.read_answer()).status for client in clients] == [200, 200]


@async_test
async def test_a_connection_with_unsent_output_is_not_evicted() -> None:
    async with (
        scripted_servers(answers_with(body=bytes(60_000))) as (host,),
        running_gateway(host.member(), max_connections=1) as proxy,
    ):
        client = await proxy.client()
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        (connection,) = proxy.frontend.connections
        for request_count in range(1, 1000):
            client.writer.write(request_text())
            await _wait_for_answers(proxy, host, request_count)
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
async def test_a_new_connection_checks_only_a_few_connections_with_unread_input(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with (
        scripted_servers(never_answers) as (host,),
        running_gateway(host.member(), max_connections=60) as proxy,
    ):
        clients = [await proxy.client() for _ in range(30)]
        await wait_until(lambda: len(proxy.frontend.connections) == len(clients))
        checked: list[asyncio.BaseTransport] = []

        def record_check(transport: asyncio.BaseTransport) -> bool:
            checked.append(transport)
            return True

        skip_if_compiled(frontend)
        monkeypatch.setattr(frontend, "has_unread", record_check)
        clients.append(await proxy.client())
        await wait_until(lambda: len(proxy.frontend.connections) == len(clients))
        assert len(checked) == frontend.MAX_EVICTION_CHECKS


@pytest.mark.parametrize("begun_bytes", [0, 30], ids=["idle", "begun"])
@async_test
async def test_the_sweep_closes_no_connection_with_unread_input(begun_bytes: int) -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client, text = await proxy.client(), request_text()
        await wait_until(lambda: proxy.frontend.connections)
        (connection,) = proxy.frontend.connections
        client.writer.write(text[:begun_bytes])
        await wait_until(lambda: connection._request_reader.has_begun == bool(begun_bytes))
        connection.wait_deadline = asyncio.get_running_loop().time()
        client.writer.write(text[begun_bytes:])
        proxy.frontend._sweep()
        assert (await client.read_answer()).status == 200


@async_test
async def test_endless_input_does_not_keep_an_overdue_connection_open() -> None:
    async with running_gateway() as proxy:
        client = await proxy.client()
        await wait_until(lambda: proxy.frontend.connections)
        (connection,) = proxy.frontend.connections
        connection.wait_deadline = asyncio.get_running_loop().time() - LONGEST_DEADLINE_SECONDS
        client.writer.write(b"G")
        proxy.frontend._sweep()
        await wait_until(lambda: not proxy.frontend.connections)


@async_test
async def test_a_request_that_waits_unread_for_long_under_overload_is_not_dropped() -> None:
    """The loop then reads few clients a turn: the idle timeout has passed, but not the client's deadline."""
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        await wait_until(lambda: proxy.frontend.connections)
        (connection,) = proxy.frontend.connections
        connection.wait_deadline = asyncio.get_running_loop().time() - LONGEST_DEADLINE_SECONDS + 1
        client.writer.write(request_text())
        proxy.frontend._sweep()
        assert (await client.read_answer()).status == 200


@async_test
async def test_an_unread_request_is_answered_when_the_process_stops() -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client, idle_client = await proxy.client(), await proxy.client()
        assert (await client.fetch()).status == 200
        proxy.frontend.presence.stop(asyncio.get_running_loop().time())
        client.writer.write(request_text())
        proxy.frontend.close()
        answer = await client.read_answer()
        assert (answer.status, answer.keep_alive) == (200, False)
        assert await idle_client.read_to_end() == b""


@async_test
async def test_the_backlog_is_accepted_when_the_process_stops() -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        waiting_sockets = []
        for _ in range(40):  # more than the loop accepts in one turn; it does not run meanwhile
            waiting_sockets.append(socket.create_connection(("127.0.0.1", proxy.port)))
            waiting_sockets[-1].sendall(request_text())
        proxy.frontend.presence.stop(asyncio.get_running_loop().time())
        await proxy.frontend.listener.accept_pending()
        proxy.frontend.close()
        for waiting_socket in waiting_sockets:
            client = Client(*await asyncio.open_connection(sock=waiting_socket))
            # Some are refused, as the only host has a concurrency limit.
            assert (await client.read_answer()).status in (200, 503)


@async_test
async def test_an_evicted_connection_ends_at_once() -> None:
    """If it ended a turn of the loop later, a request that arrived in between would be reset with it."""
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        assert (await client.fetch()).status == 200
        (connection,) = proxy.frontend.connections
        connection.abort_connection(CloseReason.MAKES_ROOM)
        client_socket = client.writer.get_extra_info("socket")
        with socket.socket(fileno=socket.dup(client_socket.fileno())) as duplicate:
            duplicate.setblocking(False)
            assert duplicate.recv(1) == b""  # before any turn of the loop
