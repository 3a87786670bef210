"""Large bodies on real sockets: peers that stop, break, leave, or answer out of turn."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest

from tests.peers import GENEROUS, Running, request_text, reset, running, scenario, until
from whinrouter.interface import Server
from whinrouter.net.hosts import Member
from whinrouter.streaming import flow

SIZE = 32 * 1024 * 1024
PIECE = bytes(range(256)) * 256
Read = asyncio.StreamReader
Write = asyncio.StreamWriter


@dataclass
class Host:
    """A host that hands each connection's head to a script, and counts whole requests."""

    script: Callable[[Host, Read, Write, int], Awaitable[None]]
    ran: int = 0
    heads: list[bytes] = field(default_factory=list)
    port: int = 0

    async def serve(self, reader: Read, writer: Write) -> None:
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
async def between(*scripts: Callable[[Host, Read, Write, int], Awaitable[None]]) -> AsyncIterator[Scene]:
    hosts = [Host(script) for script in scripts]
    servers = []
    for host in hosts:
        server = await asyncio.start_server(host.serve, "127.0.0.1", 0)
        host.port = server.sockets[0].getsockname()[1]
        servers.append(server)
    try:
        async with running(*(host.member() for host in hosts)) as proxy:
            yield Scene(proxy, hosts)
    finally:
        for server in servers:
            server.close()


@dataclass
class Scene:
    proxy: Running
    hosts: list[Host]


def head(length: int, more: bytes = b"") -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%b\r\n" % (length, more)


async def gives(host: Host, reader: Read, writer: Write, length: int) -> None:
    """Answers with 32 MB."""
    writer.write(head(SIZE))
    for _ in range(SIZE // len(PIECE)):
        writer.write(PIECE)
        await writer.drain()


async def takes(host: Host, reader: Read, writer: Write, length: int) -> None:
    """Reads the whole request and answers with its digest."""
    digest = hashlib.sha256()
    while length:
        data = await reader.read(min(length, 65536))
        if not data:
            return
        digest.update(data)
        length -= len(data)
    host.ran += 1
    text = digest.hexdigest().encode()
    writer.write(head(len(text)) + text)


async def open_client(scene: Scene) -> tuple[Read, Write]:
    return await asyncio.open_connection("127.0.0.1", scene.proxy.port, limit=2**17)


async def read_body(reader: Read, left: int = SIZE) -> None:
    async with asyncio.timeout(2 * GENEROUS):
        while left:
            data = await reader.readexactly(min(left, len(PIECE)))
            assert data == PIECE[: len(data)]
            left -= len(data)


def order(length: int = SIZE, *more: str) -> bytes:
    """The head of a purchase with a body of this length."""
    return request_text("chapter-buy", {"Content-Length": ""}).replace(
        b"Content-Length: 0", b"Content-Length: %d" % length
    )


async def send(writer: Write, count: int) -> None:
    for _ in range(count // len(PIECE)):
        writer.write(PIECE)
        await writer.drain()


async def status(reader: Read) -> int:
    async with asyncio.timeout(GENEROUS):
        return int((await reader.readuntil(b"\r\n\r\n")).split(b" ", 2)[1])


@scenario
async def test_a_client_that_stops_reading_holds_its_host_and_nobody_else() -> None:
    """And when it goes on, it gets all, though the request's time is long over; the connection serves on."""
    written = [0]

    async def counted(host: Host, reader: Read, writer: Write, length: int) -> None:
        writer.write(head(SIZE))
        for _ in range(SIZE // len(PIECE)):
            writer.write(PIECE)
            await writer.drain()
            written[0] += len(PIECE)

    async with between(counted) as scene:
        reader, writer = await open_client(scene)
        writer.write(request_text(headers={"X-Deadline": "0.3"}))
        assert await status(reader) == 200
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        seen = -1
        while seen != written[0]:  # until the host is held
            seen = written[0]
            await asyncio.sleep(0.4)
        assert written[0] < SIZE
        other, asker = await open_client(scene)
        scene.hosts[0].script = takes
        asker.write(request_text())
        assert await status(other) == 200
        scene.proxy.frontend.presence.leave(0.0)
        reader._transport.resume_reading()  # type: ignore[attr-defined]
        await read_body(reader)
        await until(lambda: not scene.proxy.frontend.streaming)


@pytest.mark.parametrize("how", ["short", "reset", "noise", "up to the end"])
@scenario
async def test_how_an_answer_ends_is_what_its_client_sees(how: str) -> None:
    async def script(host: Host, reader: Read, writer: Write, length: int) -> None:
        writer.write(head(SIZE) if how != "up to the end" else b"HTTP/1.1 200 OK\r\n\r\n")
        for _ in range((SIZE // 2 if how in ("short", "reset") else SIZE) // len(PIECE)):
            writer.write(PIECE)
            await writer.drain()
        if how == "noise":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
        elif how == "reset":
            reset(writer)
        if how != "noise":
            writer.close()
            raise ConnectionError

    async with between(script) as scene:
        reader, writer = await open_client(scene)
        writer.write(request_text())
        answer = await reader.readuntil(b"\r\n\r\n")
        if how in ("short", "reset"):
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await read_body(reader)
            return
        if how == "up to the end":
            assert b"transfer-encoding: chunked" in answer
            data = bytearray()
            async with asyncio.timeout(GENEROUS):
                while (size := int(await reader.readline(), 16)) > 0:
                    data += await reader.readexactly(size)
                    await reader.readexactly(2)
            assert len(data) == SIZE
        else:
            await read_body(reader)
        scene.hosts[0].script = takes
        await reader.read(0)
        again, asker = await open_client(scene)
        asker.write(request_text())
        assert await status(again) == 200
        assert scene.proxy.upstream.connections <= 2


@scenario
async def test_an_old_client_can_tell_that_an_answer_broke() -> None:
    async def script(host: Host, reader: Read, writer: Write, length: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(8):
            writer.write(b"%x\r\n%b\r\n" % (len(PIECE), PIECE))
            await writer.drain()
        await asyncio.sleep(0.2)
        raise ConnectionError

    async with between(script) as scene:
        reader, writer = await open_client(scene)
        writer.write(request_text().replace(b"HTTP/1.1", b"HTTP/1.0", 1))
        assert await status(reader) == 200
        with pytest.raises(ConnectionError):  # a reset: a clean end would say that this was all
            await asyncio.wait_for(reader.read(), GENEROUS)


@scenario
async def test_a_large_order_runs_once_and_is_what_was_sent() -> None:
    async with between(takes, takes) as scene:
        reader, writer = await open_client(scene)
        writer.write(order())
        await send(writer, SIZE)
        assert await status(reader) == 200
        sent = hashlib.sha256(PIECE * (SIZE // len(PIECE))).hexdigest().encode()
        assert await reader.readexactly(64) == sent
        assert sum(host.ran for host in scene.hosts) == 1
        writer.write(request_text())  # the connection serves on
        assert await status(reader) == 200


@pytest.mark.parametrize(
    ("read", "answer", "expected", "ran"),
    [
        (0, None, {503}, 0),  # it breaks before the last byte: it never ran, and what is spent is refused
        (SIZE // 2, None, {503}, 0),
        (SIZE, None, {502}, 1),  # behind the last byte it may have run
        (SIZE // 2, b"HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", {503}, 0),
        (SIZE // 2, b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", {502}, 0),
        (SIZE // 2, head(2) + b"ok", {200}, 0),
    ],
)
@scenario
async def test_a_host_that_ends_an_order_out_of_turn(
    read: int, answer: bytes | None, expected: set[int], ran: int
) -> None:
    async def script(host: Host, reader: Read, writer: Write, length: int) -> None:
        left = read
        while left:
            left -= len(await reader.read(min(left, 65536)))
        host.ran += read == SIZE
        if answer is not None:
            writer.write(answer)
            await writer.drain()
            await asyncio.sleep(GENEROUS)
        reset(writer)
        raise ConnectionError

    async with between(script) as scene:
        reader, writer = await open_client(scene)
        writer.write(order())
        sending = asyncio.create_task(send(writer, SIZE))
        assert await status(reader) in expected
        with contextlib.suppress(ConnectionError):
            await sending
        assert scene.hosts[0].ran == ran
        assert len(scene.hosts[0].heads) == 1
        await until(lambda: not scene.proxy.frontend.open_ids)


@scenario
async def test_an_order_goes_to_another_host_while_all_of_it_is_here() -> None:
    """The first host refuses the connection: not one byte of the body was given to it."""
    async with between(takes, takes) as scene:
        for host in scene.hosts[:1]:
            gone = Member(Server(host.port), ("127.0.0.1", 1))
        scene.proxy.upstream.update([gone, scene.hosts[1].member()], True)
        for _ in range(6):
            reader, writer = await open_client(scene)
            writer.write(order(1024 * 1024))
            await send(writer, 1024 * 1024)
            assert await status(reader) == 200
            writer.close()
        assert scene.hosts[1].ran == 6


@pytest.mark.parametrize("sent", [0, SIZE // 2, SIZE - len(PIECE)])
@scenario
async def test_a_client_that_leaves_in_its_order_has_nothing_run(sent: int) -> None:
    async with between(takes) as scene:
        _, writer = await open_client(scene)
        writer.write(order())
        await send(writer, sent)
        await until(lambda: scene.hosts[0].heads)
        writer.transport.abort()
        await until(lambda: not scene.proxy.frontend.connections)
        await until(lambda: not scene.proxy.upstream.connections)
        assert scene.hosts[0].ran == 0


@scenario
async def test_a_client_that_leaves_in_an_answer_ends_its_host_s_work() -> None:
    async with between(gives) as scene:
        reader, writer = await open_client(scene)
        writer.write(request_text())
        assert await status(reader) == 200
        writer.transport.abort()
        await until(lambda: not scene.proxy.upstream.connections)
        await until(lambda: not scene.proxy.gateway.holds)


@scenario
async def test_a_body_is_asked_on_only_when_a_host_was_found() -> None:
    async with between(takes) as scene:
        reader, writer = await open_client(scene)
        writer.write(order(1024 * 1024).replace(b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n"))
        assert await status(reader) == 100
        await send(writer, 1024 * 1024)
        assert await status(reader) == 200
        bad, asker = await open_client(scene)
        asker.write(
            order(1024 * 1024)
            .replace(b"chapter-buy", b"nothing")
            .replace(b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n")
        )
        assert await status(bad) == 400


@scenario
async def test_a_client_that_stalls_in_its_body_is_gone_and_a_slow_one_is_not() -> None:
    """The floor is a rate: 64 kB a second is served for as long as it takes."""
    async with between(takes) as scene:
        slow, writer = await open_client(scene)
        stalled, quiet = await open_client(scene)
        writer.write(order(256 * 1024))
        quiet.write(order(256 * 1024) + PIECE)

        async def send_slowly() -> None:
            for _ in range(40):
                writer.write(bytes(6_550))
                await asyncio.sleep(0.1)
            writer.write(bytes(256 * 1024 - 40 * 6_550))

        sending = asyncio.create_task(send_slowly())
        assert await status(stalled) == 408
        await sending
        assert await status(slow) == 200
        assert scene.hosts[0].ran == 1


@scenario
async def test_many_large_answers_take_bounded_memory() -> None:
    """What is held of 64 answers whose clients read nothing."""
    async with between(gives) as scene:
        clients = [await open_client(scene) for _ in range(64)]
        for reader, writer in clients:
            reader._transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(request_text())
        await until(lambda: len(scene.proxy.frontend.streaming) >= 8)
        await asyncio.sleep(1.0)
        for client in scene.proxy.frontend.streaming:
            assert client.owed <= 256 * 1024
            assert client._out is not None
            assert client._out._size <= flow.MOST + 64 * 1024
        for _, writer in clients:
            writer.transport.abort()
        await until(lambda: not scene.proxy.frontend.connections)


@pytest.mark.parametrize(
    ("more", "body"),
    [
        (b"\r\nExpect: 100-continue\r\n\r\n", b""),  # the leave to go on must not come behind the answer
        (b"\r\n\r\n", PIECE),
        (b"\r\nTransfer-Encoding: chunked\r\n\r\n", b"20000\r\n" + PIECE + PIECE + b"\r\nnoise\r\n"),
    ],
    ids=["asks for leave", "sends on", "sends noise"],
)
@scenario
async def test_an_order_refused_at_once_gets_one_answer_and_no_more(more: bytes, body: bytes) -> None:
    """There is no host; what the client still sends, be it good or not, causes nothing."""
    async with between() as scene:
        reader, writer = await open_client(scene)
        text = order(1024 * 1024).replace(b"\r\n\r\n", more)
        if b"chunked" in more:
            text = text.replace(b"Content-Length: %d\r\n" % (1024 * 1024), b"")
        writer.write(text + body)
        async with asyncio.timeout(GENEROUS):
            said = await reader.readuntil(b"\r\n\r\n")
            with contextlib.suppress(ConnectionError):
                said += await reader.read()
        assert said.startswith(b"HTTP/1.1 503")
        assert said.count(b"HTTP/1.1") == 1
