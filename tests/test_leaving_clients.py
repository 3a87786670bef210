"""A client leaves while its request waits here: no host hears of it any more.

In each place where a request can wait the bad order is made: the client's end is in its socket, and the loop
gets to what the request waited for before, or without, being told of it.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest

from tests.peers import (
    RunningGateway,
    ScriptedServer,
    answers_with,
    async_test,
    make_host_list,
    replace_method,
    request_text,
    running_gateway,
    scripted_servers,
    skip_if_compiled,
    wait_until,
)
from whinrouter.interface import Server
from whinrouter.net import upstream
from whinrouter.net.connect import connect
from whinrouter.net.hosts import Member, hashed_server_id
from whinrouter.net.sockets import has_peer_closed


class RawClient:
    """A client whose calls take effect without a turn of the loop."""

    def __init__(self, port: int, room: int = 0) -> None:
        self._socket = socket.socket()
        if room:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, room)
        self._socket.connect(("127.0.0.1", port))
        self._socket.setblocking(False)

    def send(self, data: bytes) -> int:
        return self._socket.send(data)

    def leave(self, how: str) -> None:
        if how == "reset":
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._socket.close()

    def say_no_more(self) -> None:
        """It has left as far as anybody can tell, though it reads on."""
        self._socket.shutdown(socket.SHUT_WR)

    async def read(self, most: int = 1 << 20) -> bytes:
        return await asyncio.get_running_loop().sock_recv(self._socket, most)


class RawHost:
    """A host that answers when a test says so, without a turn of the loop."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self._connection: socket.socket | None = None
        self.member = Member(Server(hashed_server_id("raw")), ("127.0.0.1", self._listener.getsockname()[1]))

    async def request(self) -> bytes:
        loop = asyncio.get_running_loop()
        if self._connection is None:
            self._connection, _ = await loop.sock_accept(self._listener)
        return await loop.sock_recv(self._connection, 1 << 16)

    def answer(self, text: bytes) -> None:
        assert self._connection is not None
        self._connection.send(text)

    def close(self) -> None:
        self._listener.close()
        if self._connection is not None:
            self._connection.close()


def _until_here(proxy: RunningGateway) -> None:
    """Wait, without a turn of the loop, until the one client's end is in its socket here."""
    (client,) = proxy.frontend.connections
    assert client._transport is not None
    while not has_peer_closed(client._transport):
        pass


def _before_up(proxy: RunningGateway, act: Callable[[], None]) -> None:
    """A connection to a host has come up; in the turn that tells of it other things come first."""
    up = proxy.upstream._on_connected

    def late(*args: Any) -> None:
        act()
        up(*args)

    replace_method(proxy.upstream, "_on_connected", late)


async def _quiet(proxy: RunningGateway) -> None:
    """All that was taken is over, and all that it held is given back."""
    await wait_until(lambda: not proxy.frontend.connections)
    await wait_until(lambda: not proxy.gateway._pending and not proxy.upstream._connecting)
    assert not proxy.frontend.active_request_ids
    assert not proxy.frontend.buffered_bytes
    assert not proxy.frontend.streaming_connections
    assert not proxy.balancer._pending
    assert not proxy.balancer._total_in_flight
    assert all(not host.in_flight for host in proxy.balancer._hosts.values())


def _all_answered(proxy: RunningGateway, host: ScriptedServer, asked: int) -> bool:
    return len(host.requests) == asked and not proxy.gateway.unanswered_count


async def _serves_on(proxy: RunningGateway) -> None:
    assert (await proxy.fetch()).status == 200


@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize("kind", ["page-read", "chapter-buy"])
@async_test
async def test_while_its_connection_to_a_host_comes_up(how: str, kind: str) -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        clients: list[RawClient] = []

        def leaves() -> None:
            if clients:
                clients.pop().leave(how)
                _until_here(proxy)

        _before_up(proxy, leaves)
        clients.append(RawClient(proxy.port))
        clients[0].send(request_text(kind))
        await _quiet_after(proxy, clients)
        assert not host.requests
        await _serves_on(proxy)


async def _quiet_after(proxy: RunningGateway, clients: list[RawClient]) -> None:
    await wait_until(lambda: not clients)
    await _quiet(proxy)


TURNED_AWAY = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
BROKEN = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
PAGE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npage"


@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize(("kind", "answer"), [("page-read", BROKEN), ("chapter-buy", TURNED_AWAY)])
@async_test
async def test_before_a_repeat(how: str, kind: str, answer: bytes) -> None:
    """The host's answer, which makes for a repeat, and the client's end are told in one turn."""
    raw = RawHost()
    async with scripted_servers(answers_with()) as (other,), running_gateway(raw.member) as proxy:
        client = RawClient(proxy.port)
        client.send(request_text(kind))
        await raw.request()
        proxy.gateway.update_hosts(make_host_list(raw.member, other.member()))
        raw.answer(answer)
        client.leave(how)
        _until_here(proxy)
        await _quiet(proxy)
        assert not other.requests
        await wait_until(lambda: other.connections == 0)
        proxy.gateway.update_hosts(make_host_list(other.member()))
        await _serves_on(proxy)
    raw.close()


@pytest.mark.parametrize("how", ["end", "reset"])
@async_test
async def test_behind_another_request_on_its_connection(how: str) -> None:
    """The first one's answer and the client's end are told in one turn."""
    raw = RawHost()
    async with running_gateway(raw.member) as proxy:
        client = RawClient(proxy.port)
        client.send(request_text() + request_text("chapter-buy"))
        await raw.request()
        raw.answer(PAGE)
        client.leave(how)
        _until_here(proxy)
        await _quiet(proxy)
        assert proxy.gateway._last_request_id == 1, "the second was taken"
    raw.close()


@async_test
async def test_with_bytes_of_an_earlier_answer_unread() -> None:
    """The room that these leave as they are read in the end begins nothing."""
    async with (
        scripted_servers(answers_with(body=bytes(60_000))) as (host,),
        running_gateway(host.member()) as proxy,
    ):
        client = RawClient(proxy.port, room=4096)
        asked = 0
        while not any(one._is_writing_paused for one in proxy.frontend.connections):
            client.send(request_text())
            asked += 1
            await wait_until(functools.partial(_all_answered, proxy, host, asked))
        client.send(request_text() + request_text("chapter-buy"))
        await wait_until(lambda: any(len(one._queued_requests) == 2 for one in proxy.frontend.connections))
        client.say_no_more()
        while await client.read():
            pass
        await _quiet(proxy)
        assert len(host.requests) == asked
        await _serves_on(proxy)


@async_test
async def test_the_last_part_of_a_long_answer_is_not_cut_off_as_its_connection_is_idle() -> None:
    """All of it has come from the host; its slow reader takes the rest after the time to be idle is over."""
    async with (
        scripted_servers(answers_with(body=bytes(300_000))) as (host,),
        running_gateway(host.member()) as proxy,
    ):
        client = RawClient(proxy.port, room=4096)
        await wait_until(lambda: proxy.frontend.connections)
        (one,) = proxy.frontend.connections
        assert one._transport is not None
        one._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        got, owed, asked = 0, False, 0
        while not owed and asked < 50:  # the host's last piece may be so small that nothing of it stays here
            one._had_streamed_answer = False
            client.send(request_text())
            asked += 1
            while not one._had_streamed_answer:
                got += len(await client.read(4096))
            owed = one.unsent_bytes > 0
            while not owed and got < asked * 300_000:
                got += len(await client.read())
        assert owed
        one.wait_deadline = asyncio.get_running_loop().time()
        proxy.frontend._sweep()
        while got < asked * 300_000:
            data = await client.read()
            assert data, "it is cut off"
            got += len(data)
        client.leave("end")
        await _quiet(proxy)


def _no_connection(monkeypatch: pytest.MonkeyPatch) -> asyncio.Event:
    """No connection to a host comes up before this is set."""
    gate = asyncio.Event()

    async def late(*args: Any) -> None:
        await gate.wait()
        await connect(*args)

    skip_if_compiled(upstream)
    monkeypatch.setattr(upstream, "connect", late)
    return gate


async def _half_here(proxy: RunningGateway) -> RawClient:
    """A client whose body has begun to come, and is not read any further for now."""
    client = RawClient(proxy.port)
    text = request_text("chapter-buy", body=bytes(400_000))
    sent = 0
    while not any(
        one._incoming_flow is not None and one._incoming_flow._is_paused for one in proxy.frontend.connections
    ):
        with contextlib.suppress(BlockingIOError):
            sent += client.send(text[sent : sent + 10_000])
        assert sent < len(text) - 100_000, "all of it is read"
        await asyncio.sleep(0.001)
    return client


@asynccontextmanager
async def _left_half_here(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[tuple[ScriptedServer, RunningGateway, asyncio.Event]]:
    """Such a client has left, and no connection to the host comes up before the event is set."""
    gate = _no_connection(monkeypatch)
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = await _half_here(proxy)
        client.leave(how)
        _until_here(proxy)
        yield host, proxy, gate


@pytest.mark.parametrize("how", ["end", "reset"])
@async_test
async def test_the_sweep_goes_on_behind_a_client_that_left_unread(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It moves nothing any more, and to end its connection in order fails, as that is gone."""
    async with _left_half_here(how, monkeypatch) as (host, proxy, gate):
        (one,) = proxy.frontend.connections
        assert one._incoming_flow is not None
        one._incoming_flow._rate_floor.due = 0.0
        await wait_until(lambda: not proxy.frontend.connections)  # two sweeps: its answer lingers
        gate.set()
        await _quiet(proxy)
        assert not host.received_bytes


@pytest.mark.parametrize("how", ["end", "reset"])
@async_test
async def test_with_its_body_half_here_and_nothing_read_for_now(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What was read waits for a connection to a host, and no more is: nobody is told of the client's end."""
    async with _left_half_here(how, monkeypatch) as (host, proxy, gate):
        gate.set()
        await _quiet(proxy)
        await wait_until(lambda: host.closed_connections == host.connections)
        assert not host.received_bytes
        await _serves_on(proxy)


@pytest.mark.parametrize("how", ["end", "reset"])
@async_test
async def test_before_it_was_read(how: str) -> None:
    """It asked and left while the loop was busy: the whole request is read first, and its end behind."""
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = RawClient(proxy.port)
        await wait_until(lambda: proxy.frontend.connections)
        client.send(request_text("chapter-buy"))
        client.leave(how)
        _until_here(proxy)
        until_ = asyncio.get_running_loop().time() + 0.1
        while asyncio.get_running_loop().time() < until_:  # the loop is busy with something else
            pass
        await _quiet(proxy)
        assert not host.requests
        await _serves_on(proxy)
