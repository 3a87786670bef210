"""Hosts that write a long answer slowly, or that read a large request slowly or not at all."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from tests.peers import (
    Client,
    RunningGateway,
    answers_with,
    async_test,
    request_text,
    running_gateway,
    scripted_servers,
)
from whinrouter.interface import Server
from whinrouter.net.frontend import SWEEP_INTERVAL_SECONDS
from whinrouter.net.hosts import Member, hashed_server_id
from whinrouter.net.http_messages import Message
from whinrouter.net.upstream import LIKELY_LONG_BYTES, MAX_HELD_BACK_SECONDS
from whinrouter.streaming.flow import READER_TIMEOUT_SECONDS, STALL_SECONDS, UNPROVEN_STALL_SECONDS, Flow

DEADLINE_SECONDS = 0.4
PIECE = b"p" * 8000
PIECES = 18  # 144 kB, of which 40 kB come before the deadline
EARLY_PIECES = 5
START = b"p" * LIKELY_LONG_BYTES  # of an answer that is taken for a long one

HEADS = {
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "to-the-end": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
}


def _piece(form: str, data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data) if form == "chunked" else data


async def _read_until(client: Client, count: int, text: bytearray) -> None:
    """Read until so many bytes of the pieces have arrived."""
    while text.count(b"p") < count:
        data = await client._reader.read(65536)
        assert data, "the answer was cut off"
        text += data


@pytest.mark.parametrize("form", list(HEADS))
@pytest.mark.parametrize("class_name", ["page-read", "chapter-buy"])
@async_test
async def test_an_answer_that_is_still_written_at_the_deadline_is_not_cut_off(
    form: str, class_name: str
) -> None:
    """The host writes the rest only when the client has the start, which it has before its deadline."""
    has_start = asyncio.Event()

    async def writes_slowly(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(HEADS[form])
        for number in range(PIECES):
            if number == EARLY_PIECES:
                await has_start.wait()
            writer.write(_piece(form, PIECE))
            await writer.drain()
            await asyncio.sleep(0)
        writer.write(b"0\r\n\r\n" if form == "chunked" else b"")
        if form != "chunked":
            writer.close()

    async with scripted_servers(writes_slowly) as (host,), running_gateway(host.member()) as proxy:
        client, text = await proxy.client(), bytearray()
        client.writer.write(request_text(class_name, {"X-Deadline": str(DEADLINE_SECONDS)}, b""))
        async with asyncio.timeout(READER_TIMEOUT_SECONDS):
            await _read_until(client, EARLY_PIECES * len(PIECE), text)
            assert text.startswith(b"HTTP/1.1 200 ")
            has_start.set()
            await _read_until(client, PIECES * len(PIECE), text)
        assert not proxy.gateway.guards.violations.counts
        assert len(host.requests) == 1


@async_test
async def test_the_start_of_a_slow_answer_is_not_held_back_until_a_late_deadline() -> None:
    """Holding back a long answer for 2 s loses its request, however long the client waits."""
    has_start = asyncio.Event()

    async def writes_slowly(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(HEADS["chunked"] + _piece("chunked", START))
        await has_start.wait()
        writer.write(_piece("chunked", START) + b"0\r\n\r\n")

    async with scripted_servers(writes_slowly) as (host,), running_gateway(host.member()) as proxy:
        client, text = await proxy.client(), bytearray()
        began_at = asyncio.get_running_loop().time()
        client.writer.write(request_text(headers={"X-Deadline": "15.0"}))
        await _read_until(client, len(START), text)
        took = asyncio.get_running_loop().time() - began_at
        assert MAX_HELD_BACK_SECONDS <= took < 10.0  # far below the deadline
        has_start.set()
        await _read_until(client, 2 * len(START), text)


@async_test
async def test_a_slow_answer_that_breaks_off_is_noticed_by_its_client() -> None:
    has_start = asyncio.Event()

    async def breaks_off(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(HEADS["chunked"] + _piece("chunked", START))
        await has_start.wait()
        writer.transport.abort()

    async with scripted_servers(breaks_off) as (host,), running_gateway(host.member()) as proxy:
        client, text = await proxy.client(), bytearray()
        client.writer.write(request_text("chapter-buy", {"X-Deadline": str(DEADLINE_SECONDS)}))
        await _read_until(client, len(START), text)
        has_start.set()
        with pytest.raises((ConnectionError, AssertionError)):  # a reset, or an end without the last chunk
            await _read_until(client, 2 * len(START), text)
        assert not text.endswith(b"0\r\n\r\n")
        assert len(host.requests) == 1


@pytest.mark.parametrize("form", list(HEADS))
@async_test
async def test_a_small_answer_whose_host_stands_still_far_from_its_deadline_is_not_cut_off(form: str) -> None:
    """It is passed on a second after its first bytes, and was cut off when its host paused for 0.4 s."""
    has_start, pause_seconds = asyncio.Event(), 2 * (UNPROVEN_STALL_SECONDS + SWEEP_INTERVAL_SECONDS)

    async def stands_still(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(HEADS[form])
        while not has_start.is_set():
            writer.write(_piece(form, b"p" * 100))
            await asyncio.sleep(0.05)
        for _ in range(2):
            await asyncio.sleep(pause_seconds)
            writer.write(_piece(form, b"q" * 100))
        writer.write(b"0\r\n\r\n" if form == "chunked" else b"")
        if form != "chunked":
            writer.close()

    async with scripted_servers(stands_still) as (host,), running_gateway(host.member()) as proxy:
        client, text = await proxy.client(), bytearray()
        client.writer.write(request_text(headers={"X-Deadline": "15.0"}))
        await _read_until(client, 1, text)
        has_start.set()
        text += await client.read_bytes_until(b"0\r\n\r\n")
        assert text.count(b"q") == 200
        assert len(host.requests) == 1


@async_test
async def test_a_small_answer_that_is_passed_on_and_stops_is_cut_off_at_its_deadline() -> None:
    """Its client has to see that it failed within half a second of its deadline."""
    deadline_seconds = MAX_HELD_BACK_SECONDS + 1.0
    has_start = asyncio.Event()

    async def stops(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(HEADS["chunked"])
        while not has_start.is_set():
            writer.write(_piece("chunked", b"p" * 100))
            await asyncio.sleep(0.05)

    async with scripted_servers(stops) as (host,), running_gateway(host.member()) as proxy:
        client, text = await proxy.client(), bytearray()
        loop, began_at = asyncio.get_running_loop(), asyncio.get_running_loop().time()
        client.writer.write(request_text(headers={"X-Deadline": str(deadline_seconds)}))
        await _read_until(client, 1, text)
        (connection,) = proxy.frontend.streaming_connections
        has_start.set()
        await asyncio.sleep(2 * (UNPROVEN_STALL_SECONDS + SWEEP_INTERVAL_SECONDS))
        assert connection.answer_flow is not None, "the client still waits"
        with pytest.raises((ConnectionError, AssertionError)):
            await _read_until(client, PIECES * len(PIECE), text)
        assert loop.time() > began_at + deadline_seconds
        assert len(host.requests) == 1


@async_test
async def test_a_small_answer_whose_host_stops_within_it_fails_at_its_time() -> None:
    """It was passed on at the deadline, and cut off 10 s later: its client had no final answer in time."""

    async def stops(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(HEADS["chunked"] + _piece("chunked", PIECE))

    async with scripted_servers(stops) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        answer = await client.fetch("chapter-buy", {"X-Deadline": str(DEADLINE_SECONDS)})
        assert answer.status in (502, 504)
        assert len(host.requests) == 1


def test_a_short_silence_ends_an_answer_until_it_has_proved_to_be_long() -> None:
    flow = Flow(_NoSource(), None, 0.0, STALL_SECONDS, 0.0)
    flow.expect_bytes(1000, 0.2, now=1.0)
    assert not flow.is_overdue(1.1)
    flow.put(bytes(999), 1.1)
    assert not flow.is_overdue(1.25)
    assert flow.is_overdue(1.35)
    flow.put(bytes(1), 1.4)
    assert not flow.is_overdue(1.4 + STALL_SECONDS - 0.1)
    assert flow.is_overdue(1.4 + STALL_SECONDS + 0.1)


def test_a_source_that_has_to_prove_itself_may_be_silent_until_a_given_time() -> None:
    """Also behind a reader that was full; it may not be silent for longer than any other source."""
    flow = Flow(_NoSource(), None, 0.0, STALL_SECONDS, 0.0)
    flow.expect_bytes(1000, 0.2, now=1.0)
    flow.allow_silence(5.0, now=1.0)
    assert not flow.is_overdue(4.9)
    flow.put(bytes(10), 2.0)
    flow.sink_full(2.1)
    flow.sink_ready(2.2)
    assert not flow.is_overdue(4.9)
    assert flow.is_overdue(5.1)
    flow.put(bytes(10), 5.1)
    assert not flow.is_overdue(5.2)
    assert flow.is_overdue(5.4)
    flow.allow_silence(100.0, now=5.4)
    assert not flow.is_overdue(5.4 + STALL_SECONDS - 0.1)
    assert flow.is_overdue(5.4 + STALL_SECONDS + 0.1)


class _NoSource:
    def pause_reading(self) -> None:
        """Nothing is read."""

    resume_reading = cancel_reading = pause_reading


@asynccontextmanager
async def _host_that_reads(rate: float | None) -> AsyncIterator[Member]:
    """A host that reads requests at a rate in bytes a second, or nothing at all; it never answers."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    listener.setblocking(False)
    loop, tasks = asyncio.get_running_loop(), set[asyncio.Task[None]]()

    async def read(connection: socket.socket) -> None:
        with connection:
            connection.setblocking(False)
            while rate is None or await loop.sock_recv(connection, 8192):
                await asyncio.sleep(8192 / rate if rate else 3600)

    async def accept() -> None:
        while True:
            connection, _ = await loop.sock_accept(listener)
            tasks.add(loop.create_task(read(connection)))

    accepting = loop.create_task(accept())
    try:
        yield Member(Server(hashed_server_id("s-1")), ("127.0.0.1", listener.getsockname()[1]))
    finally:
        for task in (accepting, *tasks):
            task.cancel()
        listener.close()


def _upload(size: int, is_chunked: bool) -> bytes:
    if not is_chunked:
        return request_text("chapter-buy", {"X-Deadline": str(DEADLINE_SECONDS)}, bytes(size))
    head, _, _ = request_text("chapter-buy", {"X-Deadline": str(DEADLINE_SECONDS)}).partition(
        b"\r\nContent-Length"
    )
    chunk = b"%x\r\n%b\r\n" % (len(PIECE), PIECE)
    return head + b"\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk * (size // len(PIECE)) + b"0\r\n\r\n"


async def _answer_to_upload(proxy: RunningGateway, text: bytes) -> tuple[int, float]:
    """Send an upload at once; return the status of the answer, and the seconds that it took."""
    client, began_at = await proxy.client(), asyncio.get_running_loop().time()
    client.writer.write(text)
    answer = await client.read_answer()
    return answer.status, asyncio.get_running_loop().time() - began_at


@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize("rate", [None, 85_000.0], ids=["stuck", "slow"])
@async_test
async def test_an_upload_to_a_host_that_reads_slowly_is_answered_at_its_time(
    rate: float | None, is_chunked: bool
) -> None:
    """The last byte is unread while the host accepts no more, but the client's time counts from it."""
    async with _host_that_reads(rate) as member, running_gateway(member) as proxy:
        status, took = await _answer_to_upload(proxy, _upload(6_000_000, is_chunked))
        assert status in (502, 503, 504)
        assert took < READER_TIMEOUT_SECONDS / 2  # before, it had all the time of a reader


@async_test
async def test_a_client_that_still_sends_to_a_slow_host_is_not_cut_off() -> None:
    """Its last byte is yet to come, so its deadline has not begun, however slowly the host reads."""
    async with _host_that_reads(None) as member, running_gateway(member) as proxy:
        writer = (await proxy.client()).writer
        head = request_text("chapter-buy", {"X-Deadline": str(DEADLINE_SECONDS)}, bytes(8_000_000))
        writer.write(head[: len(head) - 5_000_000])
        for _ in range(8):
            await asyncio.sleep(DEADLINE_SECONDS / 4)
            writer.write(bytes(1000))
        (client,) = proxy.frontend.connections
        assert client.request_id is not None


@async_test
async def test_a_client_whose_writes_fill_each_read_is_not_taken_for_one_that_has_sent_all() -> None:
    """A read that fills its buffer may have emptied the socket, too."""
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client, size = await proxy.client(), proxy.frontend.window.size
        text = request_text("chapter-buy", {"X-Deadline": str(DEADLINE_SECONDS)}, bytes(4 * size))
        head = text[: len(text) - 4 * size]
        client.writer.write(head)
        for _ in range(4):
            await asyncio.sleep(2 * DEADLINE_SECONDS)
            client.writer.write(bytes(size))
        assert (await client.read_answer()).status == 200
        assert len(host.requests) == 1
