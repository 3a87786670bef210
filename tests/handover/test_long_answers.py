"""Long answers that are passed on as their process is replaced, and take longer than that may live."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import pytest

from tests.handover.test_upgrade import Gateway, gateway, listening, ready
from tests.peers import GENEROUS, peers, request_text, says, scenario, until
from tests.processes import logged
from tests.test_discovery import HEAD
from tests.test_program import told
from whinrouter.handover.relayed import LINGER
from whinrouter.handover.transfer import Offering, PassedAnswer, Taking
from whinrouter.net.http import Message, chunk
from whinrouter.streaming.remainder import Framing, Remainder

BODY = bytes(range(256)) * 2000
FIRST_PART = 200_001
LIVES = 3.7  # seconds from SIGTERM to SIGKILL


def _framed(framing: Framing) -> tuple[bytes, bytes]:
    """An answer in two parts, cut in the middle of its body; the second one goes on to its end."""
    first, rest = BODY[:FIRST_PART], BODY[FIRST_PART:]
    if framing is Framing.LENGTH:
        return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(BODY) + first, rest
    if framing is Framing.CONNECTION_END:
        return b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n" + first, rest
    begun = chunk(first[:150_000]) + b"%x;name=value\r\n" % (len(first) - 150_000 + 1000) + first[150_000:]
    ended = rest[:1000] + b"\r\n" + chunk(rest[1000:]) + b"0\r\nx-trailer: 1\r\n\r\n"
    return b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + begun, ended


@dataclass
class Scene:
    old: Gateway
    new: Gateway
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    go_on: asyncio.Event = field(default_factory=asyncio.Event)

    async def body(self) -> bytes:
        """The answer's body, to the end of its connection."""
        async with asyncio.timeout(GENEROUS):
            head = await self.reader.readuntil(b"\r\n\r\n")
            raw = await self.reader.read(-1)
        if b"transfer-encoding" not in head:
            return raw
        parts = b""
        while (size := int(raw[: raw.index(b"\r\n")], 16)) > 0:
            begins = raw.index(b"\r\n") + 2
            parts, raw = parts + raw[begins : begins + size], raw[begins + size + 2 :]
        return parts


@asynccontextmanager
async def replaced(folder: Path, framing: Framing) -> AsyncIterator[Scene]:
    """Two processes of a gateway; the older one passes on an answer whose host has stopped in the middle."""
    go_on = asyncio.Event()
    first, rest = _framed(framing)

    async def host(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(first)
        await go_on.wait()
        writer.write(rest)
        if framing is Framing.CONNECTION_END:
            writer.close()

    async def watch(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD)

    async with peers(host, watch) as (one, service):
        with listening() as listener:
            config = told(service.port, one.entry())
            async with gateway(folder, listener, config) as old:
                await ready(old)
                reader, writer = await asyncio.open_connection("127.0.0.1", listener.getsockname()[1])
                writer.write(request_text())
                await until(lambda: one.requests)
                async with gateway(folder, listener, config) as new:
                    await ready(new)
                    yield Scene(old, new, reader, writer, go_on)
                    go_on.set()


async def _ends_or_is_killed(process: asyncio.subprocess.Process) -> None:
    process.terminate()
    try:
        async with asyncio.timeout(LIVES):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()


@pytest.mark.parametrize("framing", list(Framing))
@scenario
async def test_a_long_answer_outlives_the_process_that_began_it(tmp_path: Path, framing: Framing) -> None:
    async with replaced(tmp_path, framing) as scene:
        await _ends_or_is_killed(scene.old.process)
        scene.go_on.set()
        assert await scene.body() == BODY


@scenario
async def test_one_that_was_taken_outlives_a_kill_of_the_older_process(tmp_path: Path) -> None:
    async with replaced(tmp_path, Framing.LENGTH) as scene:
        await logged(scene.new.process, "going on with an answer")
        scene.old.process.kill()
        await scene.old.process.wait()
        scene.go_on.set()
        assert await scene.body() == BODY


@scenario
async def test_one_that_was_taken_holds_up_the_end_of_the_newer_process(tmp_path: Path) -> None:
    async with replaced(tmp_path, Framing.CHUNKED) as scene:
        await logged(scene.new.process, "going on with an answer")
        scene.old.process.kill()
        scene.new.process.send_signal(signal.SIGTERM)
        await logged(scene.new.process, "stopping")
        scene.go_on.set()
        assert await scene.body() == BODY
        assert await scene.new.ended() == 0


@scenario
async def test_a_host_that_breaks_off_resets_the_client(tmp_path: Path) -> None:
    async with replaced(tmp_path, Framing.LENGTH) as scene:
        await logged(scene.new.process, "going on with an answer")
        scene.old.process.kill()
        scene.new.process.kill()
        with pytest.raises((ConnectionError, AssertionError)):
            assert await scene.body() == BODY


@scenario
async def test_an_upload_outlives_the_process_that_began_to_read_it(tmp_path: Path) -> None:
    """A client at 80 kB a second, who needs longer than that process lives."""

    async def watch(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD)

    async with peers(says(), watch) as (one, service):
        with listening() as listener:
            config = told(service.port, one.entry())
            async with gateway(tmp_path, listener, config) as old:
                await ready(old)
                reader, writer = await asyncio.open_connection("127.0.0.1", listener.getsockname()[1])
                text = request_text("chapter-buy", {"Content-Length": str(len(BODY))}, BODY)
                step = 20_000
                writer.write(text[:step])
                async with gateway(tmp_path, listener, config) as new:
                    await ready(new)
                    ending = asyncio.get_running_loop().create_task(_ends_or_is_killed(old.process))
                    for place in range(step, len(text), step):
                        writer.write(text[place : place + step])
                        await asyncio.sleep(step / 80_000)
                    await ending
                    assert b" 200 " in await reader.readline()


class _Answer:
    """An answer that is to be handed over, with two sockets of its own."""

    def __init__(self) -> None:
        self.client, self.client_peer = socket.socketpair()
        self.host, self.host_peer = socket.socketpair()
        self.message: PassedAnswer | None = PassedAnswer(Remainder(Framing.LENGTH, 4), 100_000, False)
        self.told: list[str] = []
        self.is_over = False

    def pause(self) -> PassedAnswer | None:
        self.told.append("pause")
        return self.message

    def is_quiet(self) -> bool:
        return True

    def descriptors(self) -> tuple[int, int]:
        return self.client.fileno(), self.host.fileno()

    def resume(self) -> None:
        self.told.append("resume")

    def let_go(self) -> None:
        self.told.append("let go")
        self.client.close()
        self.host.close()


@scenario
async def test_nobody_lets_go_before_the_other_side_holds_both(tmp_path: Path) -> None:
    """No one is there; one takes the call and ends; one says something else; one holds both."""
    path, answer = tmp_path / "answers", _Answer()
    assert not await Offering(path).hand_over(answer)
    for word in (b"", b"what"):
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as listener:
            listener.bind(str(path))
            listener.listen()
            task = asyncio.get_running_loop().run_in_executor(None, _take_and_say, listener, word)
            assert not await Offering(path).hand_over(answer)
            await task
        path.unlink()
    assert answer.told == ["pause", "resume"] * 3
    taking = Taking(path, asyncio.get_running_loop().time)
    await taking.open()
    assert await Offering(path).hand_over(answer)
    assert answer.told[-1] == "let go"
    answer.host_peer.send(b"rest")
    loop = asyncio.get_running_loop()
    answer.client_peer.setblocking(False)
    assert await loop.sock_recv(answer.client_peer, 10) == b"rest"
    assert await loop.sock_recv(answer.client_peer, 10) == b""
    await taking.until_done()
    taking.stop()


@scenario
async def test_a_slow_reader_has_all_of_it_however_long_its_last_part_takes(tmp_path: Path) -> None:
    path, answer, length = tmp_path / "answers", _Answer(), 3_000_000
    answer.message = PassedAnswer(Remainder(Framing.LENGTH, length), length, False)
    loop = asyncio.get_running_loop()
    taking = Taking(path, loop.time)
    await taking.open()
    assert await Offering(path).hand_over(answer)
    for peer in (answer.host_peer, answer.client_peer):
        peer.setblocking(False)
    sending = loop.create_task(loop.sock_sendall(answer.host_peer, b"x" * length))
    count = 0
    while data := await loop.sock_recv(answer.client_peer, 65536):
        count += len(data)
        if sending.done() and count < length:
            await asyncio.sleep(2 * LINGER / 5)  # the last parts, slowly
    assert count == length
    await taking.until_done()
    taking.stop()


def _take_and_say(listener: socket.socket, word: bytes) -> None:
    endpoint, _ = listener.accept()
    with endpoint:
        endpoint.recv(4096)
        if word:
            endpoint.send(word)


@pytest.mark.parametrize("sent", [b"", b"noise", msgspec.msgpack.encode(["length", 4])])
@scenario
async def test_what_is_no_answer_is_not_taken(tmp_path: Path, sent: bytes) -> None:
    path = tmp_path / "answers"
    taking = Taking(path, asyncio.get_running_loop().time)
    await taking.open()
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as endpoint:
        endpoint.setblocking(False)
        endpoint.connect(str(path))
        if sent:
            endpoint.send(sent)
        else:
            endpoint.shutdown(socket.SHUT_WR)
        assert await asyncio.get_running_loop().sock_recv(endpoint, 10) == b""
    assert not taking.answers
    taking.stop()


def test_the_words_are_bounded() -> None:
    largest: Any = PassedAnswer(Remainder(Framing.CHUNKED, 2**40), 2**40, True)
    assert len(msgspec.msgpack.encode(largest)) < 100
