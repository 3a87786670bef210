"""Large bodies on real sockets, with peers that stop, break off, leave, or answer early."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest

from tests.peers import (
    TEST_TIMEOUT_SECONDS,
    RunningGateway,
    async_test,
    request_text,
    reset_connection,
    running_gateway,
    wait_until,
)
from whinrouter.interface import Server
from whinrouter.net.hosts import Member
from whinrouter.streaming import flow

SIZE = 32 * 1024 * 1024
PIECE = bytes(range(256)) * 256
Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter


@dataclass
class Host:
    """A host that calls a script for each request head, and counts the uploads that were whole."""

    script: Callable[[Host, Reader, Writer, int], Awaitable[None]]
    uploads_run: int = 0
    heads: list[bytes] = field(default_factory=list)
    port: int = 0

    async def serve(self, reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.heads.append(head)
                lengths = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length")]
                length = int(lengths[0].partition(b":")[2]) if lengths else 0
                await self.script(self, reader, writer, length)
        writer.close()

    def member(self) -> Member:
        return Member(Server(self.port), ("127.0.0.1", self.port))


@asynccontextmanager
async def gateway_with_hosts(
    *scripts: Callable[[Host, Reader, Writer, int], Awaitable[None]],
) -> AsyncIterator[Setup]:
    hosts = [Host(script) for script in scripts]
    servers = []
    for host in hosts:
        server = await asyncio.start_server(host.serve, "127.0.0.1", 0)
        host.port = server.sockets[0].getsockname()[1]
        servers.append(server)
    try:
        async with running_gateway(*(host.member() for host in hosts)) as proxy:
            yield Setup(proxy, hosts)
    finally:
        for server in servers:
            server.close()


@dataclass
class Setup:
    proxy: RunningGateway
    hosts: list[Host]


def head(length: int, more: bytes = b"") -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%b\r\n" % (length, more)


async def sends_large_answer(host: Host, reader: Reader, writer: Writer, length: int) -> None:
    """Answers with 32 MiB."""
    writer.write(head(SIZE))
    for _ in range(SIZE // len(PIECE)):
        writer.write(PIECE)
        await writer.drain()


async def reads_upload(host: Host, reader: Reader, writer: Writer, length: int) -> None:
    """Reads the whole request and answers with its digest."""
    digest = hashlib.sha256()
    while length:
        data = await reader.read(min(length, 65536))
        if not data:
            return
        digest.update(data)
        length -= len(data)
    host.uploads_run += 1
    text = digest.hexdigest().encode()
    writer.write(head(len(text)) + text)


async def open_client(setup: Setup) -> tuple[Reader, Writer]:
    return await asyncio.open_connection("127.0.0.1", setup.proxy.port, limit=2**17)


async def read_body(reader: Reader, left: int = SIZE) -> None:
    async with asyncio.timeout(2 * TEST_TIMEOUT_SECONDS):
        while left:
            data = await reader.readexactly(min(left, len(PIECE)))
            assert data == PIECE[: len(data)]
            left -= len(data)


def upload_head(length: int = SIZE, *more: str) -> bytes:
    """The head of a request of class chapter-buy with a body of this length."""
    return request_text("chapter-buy", {"Content-Length": ""}).replace(
        b"Content-Length: 0", b"Content-Length: %d" % length
    )


async def send(writer: Writer, count: int) -> None:
    for _ in range(count // len(PIECE)):
        writer.write(PIECE)
        await writer.drain()


async def status(reader: Reader) -> int:
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        return int((await reader.readuntil(b"\r\n\r\n")).split(b" ", 2)[1])


@async_test
async def test_client_that_stops_reading_pauses_only_its_host() -> None:
    """When it reads on, it receives the whole answer, although the request's deadline has long passed."""
    written = [0]

    async def count_written(host: Host, reader: Reader, writer: Writer, length: int) -> None:
        writer.write(head(SIZE))
        for _ in range(SIZE // len(PIECE)):
            writer.write(PIECE)
            await writer.drain()
            written[0] += len(PIECE)

    async with gateway_with_hosts(count_written) as setup:
        reader, writer = await open_client(setup)
        writer.write(request_text(headers={"X-Deadline": "0.3"}))
        assert await status(reader) == 200
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        last_written = -1
        while last_written != written[0]:  # until the host is paused
            last_written = written[0]
            await asyncio.sleep(0.4)
        assert written[0] < SIZE
        other_reader, other_writer = await open_client(setup)
        setup.hosts[0].script = reads_upload
        other_writer.write(request_text())
        assert await status(other_reader) == 200
        setup.proxy.frontend.presence.leave(0.0)
        reader._transport.resume_reading()  # type: ignore[attr-defined]
        await read_body(reader)
        await wait_until(lambda: not setup.proxy.frontend.streaming_connections)


@pytest.mark.parametrize("ending", ["short", "reset", "surplus", "up to the end"])
@async_test
async def test_client_sees_how_the_host_ended_its_answer(ending: str) -> None:
    async def script(host: Host, reader: Reader, writer: Writer, length: int) -> None:
        writer.write(head(SIZE) if ending != "up to the end" else b"HTTP/1.1 200 OK\r\n\r\n")
        for _ in range((SIZE // 2 if ending in ("short", "reset") else SIZE) // len(PIECE)):
            writer.write(PIECE)
            await writer.drain()
        if ending == "surplus":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
        elif ending == "reset":
            reset_connection(writer)
        if ending != "surplus":
            writer.close()
            raise ConnectionError

    async with gateway_with_hosts(script) as setup:
        reader, writer = await open_client(setup)
        writer.write(request_text())
        answer = await reader.readuntil(b"\r\n\r\n")
        if ending in ("short", "reset"):
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await read_body(reader)
            return
        if ending == "up to the end":
            assert b"transfer-encoding: chunked" in answer
            data = bytearray()
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                while (size := int(await reader.readline(), 16)) > 0:
                    data += await reader.readexactly(size)
                    await reader.readexactly(2)
            assert len(data) == SIZE
        else:
            await read_body(reader)
        setup.hosts[0].script = reads_upload
        await reader.read(0)
        new_reader, other_writer = await open_client(setup)
        other_writer.write(request_text())
        assert await status(new_reader) == 200
        assert setup.proxy.upstream.connections <= 2


@async_test
async def test_broken_answer_to_an_http_1_0_client_is_reset() -> None:
    async def script(host: Host, reader: Reader, writer: Writer, length: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(8):
            writer.write(b"%x\r\n%b\r\n" % (len(PIECE), PIECE))
            await writer.drain()
        await asyncio.sleep(0.2)
        raise ConnectionError

    async with gateway_with_hosts(script) as setup:
        reader, writer = await open_client(setup)
        writer.write(request_text().replace(b"HTTP/1.1", b"HTTP/1.0", 1))
        assert await status(reader) == 200
        with pytest.raises(ConnectionError):  # a reset, as a clean end would mean that the answer is whole
            await asyncio.wait_for(reader.read(), TEST_TIMEOUT_SECONDS)


@async_test
async def test_large_upload_runs_once_and_arrives_unchanged() -> None:
    async with gateway_with_hosts(reads_upload, reads_upload) as setup:
        reader, writer = await open_client(setup)
        writer.write(upload_head())
        await send(writer, SIZE)
        assert await status(reader) == 200
        sent = hashlib.sha256(PIECE * (SIZE // len(PIECE))).hexdigest().encode()
        assert await reader.readexactly(64) == sent
        assert sum(host.uploads_run for host in setup.hosts) == 1
        writer.write(request_text())  # the connection can be used again
        assert await status(reader) == 200


@pytest.mark.parametrize(
    ("read", "answer", "expected", "uploads_run"),
    [
        (0, None, {503}, 0),  # reset before the last byte: it never ran, and can't be retried
        (SIZE // 2, None, {503}, 0),
        (SIZE, None, {502}, 1),  # reset after the last byte: it may have run
        (SIZE // 2, b"HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", {503}, 0),
        (SIZE // 2, b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", {502}, 0),
        (SIZE // 2, head(2) + b"ok", {200}, 0),
    ],
)
@async_test
async def test_host_that_ends_an_upload_early(
    read: int, answer: bytes | None, expected: set[int], uploads_run: int
) -> None:
    async def script(host: Host, reader: Reader, writer: Writer, length: int) -> None:
        left = read
        while left:
            left -= len(await reader.read(min(left, 65536)))
        host.uploads_run += read == SIZE
        if answer is not None:
            writer.write(answer)
            await writer.drain()
            await asyncio.sleep(TEST_TIMEOUT_SECONDS)
        reset_connection(writer)
        raise ConnectionError

    async with gateway_with_hosts(script) as setup:
        reader, writer = await open_client(setup)
        writer.write(upload_head())
        sending = asyncio.create_task(send(writer, SIZE))
        assert await status(reader) in expected
        with contextlib.suppress(ConnectionError):
            await sending
        assert setup.hosts[0].uploads_run == uploads_run
        assert len(setup.hosts[0].heads) == 1
        await wait_until(lambda: not setup.proxy.frontend.active_request_ids)


@async_test
async def test_upload_is_retried_while_it_is_wholly_buffered() -> None:
    """The first host refuses the connection, so not one byte of the body was sent to it."""
    async with gateway_with_hosts(reads_upload, reads_upload) as setup:
        for host in setup.hosts[:1]:
            unreachable = Member(Server(host.port), ("127.0.0.1", 1))
        setup.proxy.upstream.update([unreachable, setup.hosts[1].member()], True)
        for _ in range(6):
            reader, writer = await open_client(setup)
            writer.write(upload_head(1024 * 1024))
            await send(writer, 1024 * 1024)
            assert await status(reader) == 200
            writer.close()
        assert setup.hosts[1].uploads_run == 6


@pytest.mark.parametrize("sent", [0, SIZE // 2, SIZE - len(PIECE)])
@async_test
async def test_upload_of_a_client_that_left_does_not_run(sent: int) -> None:
    async with gateway_with_hosts(reads_upload) as setup:
        _, writer = await open_client(setup)
        writer.write(upload_head())
        await send(writer, sent)
        await wait_until(lambda: setup.hosts[0].heads)
        writer.transport.abort()
        await wait_until(lambda: not setup.proxy.frontend.connections)
        await wait_until(lambda: not setup.proxy.upstream.connections)
        assert setup.hosts[0].uploads_run == 0


@async_test
async def test_client_that_leaves_closes_the_connection_of_its_streamed_answer() -> None:
    async with gateway_with_hosts(sends_large_answer) as setup:
        reader, writer = await open_client(setup)
        writer.write(request_text())
        assert await status(reader) == 200
        writer.transport.abort()
        await wait_until(lambda: not setup.proxy.upstream.connections)
        await wait_until(lambda: not setup.proxy.gateway.unanswered_count)


@async_test
async def test_100_continue_is_sent_only_once_a_host_was_found() -> None:
    async with gateway_with_hosts(reads_upload) as setup:
        reader, writer = await open_client(setup)
        writer.write(upload_head(1024 * 1024).replace(b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n"))
        assert await status(reader) == 100
        await send(writer, 1024 * 1024)
        assert await status(reader) == 200
        rejected_reader, other_writer = await open_client(setup)
        other_writer.write(
            upload_head(1024 * 1024)
            .replace(b"chapter-buy", b"nothing")
            .replace(b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n")
        )
        assert await status(rejected_reader) == 400


@async_test
async def test_stalled_upload_times_out_and_a_slow_one_does_not() -> None:
    """The limit is a least rate: 64 kB/s is accepted for as long as the upload takes."""
    async with gateway_with_hosts(reads_upload) as setup:
        slow_reader, writer = await open_client(setup)
        stalled_reader, stalled_writer = await open_client(setup)
        writer.write(upload_head(256 * 1024))
        stalled_writer.write(upload_head(256 * 1024) + PIECE)

        async def send_slowly() -> None:
            for _ in range(40):
                writer.write(bytes(6_550))
                await asyncio.sleep(0.1)
            writer.write(bytes(256 * 1024 - 40 * 6_550))

        sending = asyncio.create_task(send_slowly())
        assert await status(stalled_reader) == 408
        await sending
        assert await status(slow_reader) == 200
        assert setup.hosts[0].uploads_run == 1


@async_test
async def test_memory_of_many_unread_answers_is_bounded() -> None:
    """The buffers of 64 answers whose clients read nothing."""
    async with gateway_with_hosts(sends_large_answer) as setup:
        clients = [await open_client(setup) for _ in range(64)]
        for reader, writer in clients:
            reader._transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(request_text())
        await wait_until(lambda: len(setup.proxy.frontend.streaming_connections) >= 8)
        await asyncio.sleep(1.0)
        for client in setup.proxy.frontend.streaming_connections:
            assert client.unsent_bytes <= 256 * 1024
            assert client._answer_flow is not None
            assert client._answer_flow._buffered_bytes <= flow.MAX_BUFFERED_BYTES + 64 * 1024
        for _, writer in clients:
            writer.transport.abort()
        await wait_until(lambda: not setup.proxy.frontend.connections)


@pytest.mark.parametrize(
    ("more", "body"),
    [
        (b"\r\nExpect: 100-continue\r\n\r\n", b""),  # no 100 Continue may follow the answer
        (b"\r\n\r\n", PIECE),
        (b"\r\nTransfer-Encoding: chunked\r\n\r\n", b"20000\r\n" + PIECE + PIECE + b"\r\nnoise\r\n"),
    ],
    ids=["expects 100-continue", "keeps sending", "malformed chunks"],
)
@async_test
async def test_upload_refused_at_once_gets_exactly_one_answer(more: bytes, body: bytes) -> None:
    """There is no host. What the client still sends, valid or not, has no effect."""
    async with gateway_with_hosts() as setup:
        reader, writer = await open_client(setup)
        text = upload_head(1024 * 1024).replace(b"\r\n\r\n", more)
        if b"chunked" in more:
            text = text.replace(b"Content-Length: %d\r\n" % (1024 * 1024), b"")
        writer.write(text + body)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            answer = await reader.readuntil(b"\r\n\r\n")
            with contextlib.suppress(ConnectionError):
                answer += await reader.read()
        assert answer.startswith(b"HTTP/1.1 503")
        assert answer.count(b"HTTP/1.1") == 1
