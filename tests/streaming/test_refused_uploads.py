"""Requests that are answered before their bodies have arrived: a client that still sends is not reset."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from tests.peers import (
    TEST_TIMEOUT_SECONDS,
    RunningGateway,
    async_test,
    request_text,
    running_gateway,
    wait_until,
)
from whinrouter.streaming.flow import GRACE_SECONDS, MIN_BODY_RATE, RateFloor

PIECE = bytes(8 * 1024)
PAST_OLD_LIMIT_SECONDS = 4.0  # connections were once closed 3 s after such an answer, whatever still arrived


def upload_head(length: int, class_name: str = "chapter-buy") -> bytes:
    text = request_text(class_name, {"Content-Length": "", "X-Class": ""})
    return text.replace(b"Content-Length: 0", b"Content-Length: %d" % length)


class Uploader:
    """A client that sends a body at a steady rate and reads nothing before it has sent all of it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, proxy: RunningGateway) -> Uploader:
        return cls(*await asyncio.open_connection("127.0.0.1", proxy.port))

    async def send_slowly(self, pieces: int, pause: float) -> None:
        for _ in range(pieces):
            self.writer.write(PIECE)
            await self.writer.drain()
            await asyncio.sleep(pause)

    async def status(self) -> int:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            return int((await self.reader.readuntil(b"\r\n\r\n")).split(b" ", 2)[1])

    async def ends(self) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            with contextlib.suppress(ConnectionError):
                await self.reader.read()


@pytest.mark.parametrize(("class_name", "expected"), [("chapter-buy", 503), ("never-announced", 400)])
@async_test
async def test_slow_upload_refused_early_receives_its_answer(class_name: str, expected: int) -> None:
    """There are no hosts. The body arrives at twice the least rate, for longer than the old limit."""
    pause = len(PIECE) / (2 * MIN_BODY_RATE)
    pieces = round(PAST_OLD_LIMIT_SECONDS / pause)
    async with running_gateway() as proxy:
        client = await Uploader.connect(proxy)
        client.writer.write(upload_head(pieces * len(PIECE), class_name))
        await client.send_slowly(pieces, pause)
        assert await client.status() == expected
        assert await client.reader.read() == b""  # a clean end, with nothing after the answer
        await wait_until(lambda: not proxy.frontend.connections)


@async_test
async def test_client_that_keeps_sending_after_a_rejection_receives_it() -> None:
    """The client sends no HTTP, so the gateway can't find a body's end, but at twice the least rate."""
    async with running_gateway() as proxy:
        client = await Uploader.connect(proxy)
        client.writer.write(b"no request at all\r\n\r\n")
        await client.send_slowly(16, len(PIECE) / (2 * MIN_BODY_RATE))
        assert await client.status() == 400


@async_test
async def test_trickle_after_an_answer_is_closed() -> None:
    async with running_gateway() as proxy:
        client = await Uploader.connect(proxy)
        client.writer.write(upload_head(1024 * 1024))
        assert await client.status() == 503
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                while proxy.frontend.connections:
                    client.writer.write(b"x")
                    await client.writer.drain()
                    await asyncio.sleep(0.05)
        assert not proxy.frontend.connections


@async_test
async def test_refused_upload_makes_room_at_the_connection_limit() -> None:
    limit = 4
    async with running_gateway(max_connections=limit) as proxy:
        uploads = []
        for _ in range(limit):
            upload = await Uploader.connect(proxy)
            uploads.append(upload)
            upload.writer.write(upload_head(32 * 1024 * 1024))
            assert await upload.status() == 503
        sending = [asyncio.create_task(upload.send_slowly(10_000, 0.02)) for upload in uploads]
        try:
            assert len(proxy.frontend.connections) == limit
            newcomer = await Uploader.connect(proxy)
            newcomer.writer.write(request_text())
            assert await newcomer.status() == 503
            assert sum(client.is_lingering for client in proxy.frontend.connections) == limit - 1
        finally:
            for task in sending:
                task.cancel()
            await asyncio.gather(*sending, return_exceptions=True)


def test_peer_above_the_rate_floor_is_never_overdue() -> None:
    floor, now = RateFloor(0.0), 0.0
    for _ in range(1000):
        now += 0.1
        assert now <= floor.deadline <= now + GRACE_SECONDS
        floor.credit(round(0.1 * MIN_BODY_RATE) + 1, now)


def test_peer_below_the_rate_floor_becomes_overdue() -> None:
    """Half of the least rate, checked between two pieces."""
    floor, now = RateFloor(0.0), 0.0
    while now + 0.09 <= floor.deadline:
        now += 0.1
        floor.credit(round(0.05 * MIN_BODY_RATE), now)
        assert now < 4 * GRACE_SECONDS


def test_bytes_that_were_read_late_count_for_the_peer() -> None:
    floor = RateFloor(0.0)
    floor.credit(round(MIN_BODY_RATE), 10.0)
    assert floor.deadline == pytest.approx(11.0)
