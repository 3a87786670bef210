"""Long answers that are transferred as their process is replaced, and outlive that process."""

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

from tests.handover.test_upgrade import (
    GatewayProcess,
    listening_socket,
    running_gateway_process,
    wait_until_ready,
)
from tests.peers import (
    TEST_TIMEOUT_SECONDS,
    answers_with,
    async_test,
    request_text,
    running_gateway,
    scripted_servers,
    wait_until,
)
from tests.processes import wait_for_log
from tests.test_discovery import HEAD
from tests.test_program import platform_config
from whinrouter.handover.connections import ActiveConnection
from whinrouter.handover.relayed import CLIENT_LINGER_SECONDS
from whinrouter.handover.transfer import TransferReceiver, TransferSender
from whinrouter.handover.transfer_messages import AnswerTransfer
from whinrouter.memory_budget import ReadWindow
from whinrouter.net.gateway import SILENCE_SLACK_SECONDS
from whinrouter.net.http_messages import Message, encode_chunk
from whinrouter.net.upstream import LIKELY_LONG_BYTES
from whinrouter.streaming.flow import STALL_SECONDS, UNPROVEN_STALL_SECONDS
from whinrouter.streaming.remainder import Framing, Remainder

BODY = bytes(range(256)) * 2000
FIRST_PART_BYTES = 200_001
KILL_DELAY_SECONDS = 3.7  # from SIGTERM to SIGKILL


def _answer_in_two_parts(framing: Framing) -> tuple[bytes, bytes]:
    """Return an answer in two parts, cut in the middle of its body; the second part ends it."""
    first, rest = BODY[:FIRST_PART_BYTES], BODY[FIRST_PART_BYTES:]
    if framing is Framing.LENGTH:
        return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(BODY) + first, rest
    if framing is Framing.CONNECTION_END:
        return b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n" + first, rest
    begun = (
        encode_chunk(first[:150_000]) + b"%x;name=value\r\n" % (len(first) - 150_000 + 1000) + first[150_000:]
    )
    ended = rest[:1000] + b"\r\n" + encode_chunk(rest[1000:]) + b"0\r\nx-trailer: 1\r\n\r\n"
    return b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + begun, ended


@dataclass
class Replacement:
    """A gateway whose older process is being replaced, and the client of an answer in progress."""

    old: GatewayProcess
    new: GatewayProcess
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    continue_sending: asyncio.Event = field(default_factory=asyncio.Event)

    async def body(self) -> bytes:
        """Return the answer's body, read until the connection ends."""
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            head = await self.reader.readuntil(b"\r\n\r\n")
            raw = await self.reader.read(-1)
        if b"transfer-encoding" not in head:
            return raw
        parts = b""
        while (size := int(raw[: raw.index(b"\r\n")], 16)) > 0:
            start = raw.index(b"\r\n") + 2
            parts, raw = parts + raw[start : start + size], raw[start + size + 2 :]
        return parts


@asynccontextmanager
async def gateway_being_replaced(folder: Path, framing: Framing) -> AsyncIterator[Replacement]:
    """Two processes of a gateway; the older one transfers an answer whose host has paused in the middle."""
    continue_sending = asyncio.Event()
    first, rest = _answer_in_two_parts(framing)

    async def host(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(first)
        await continue_sending.wait()
        writer.write(rest)
        if framing is Framing.CONNECTION_END:
            writer.close()

    async def watch(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD)

    async with scripted_servers(host, watch) as (host_peer, service):
        with listening_socket() as listener:
            config = platform_config(service.port, host_peer.discovery_entry())
            async with running_gateway_process(folder, listener, config) as old:
                await wait_until_ready(old)
                reader, writer = await asyncio.open_connection("127.0.0.1", listener.getsockname()[1])
                writer.write(request_text())
                await wait_until(lambda: host_peer.requests)
                async with running_gateway_process(folder, listener, config) as new:
                    await wait_until_ready(new)
                    yield Replacement(old, new, reader, writer, continue_sending)
                    continue_sending.set()


async def terminate_or_kill(process: asyncio.subprocess.Process) -> None:
    process.terminate()
    try:
        async with asyncio.timeout(KILL_DELAY_SECONDS):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()


@pytest.mark.parametrize("framing", list(Framing))
@async_test
async def test_a_long_answer_outlives_the_process_that_began_it(tmp_path: Path, framing: Framing) -> None:
    async with gateway_being_replaced(tmp_path, framing) as replacement:
        await terminate_or_kill(replacement.old.process)
        replacement.continue_sending.set()
        assert await replacement.body() == BODY


@async_test
async def test_a_transferred_answer_outlives_a_kill_of_the_older_process(tmp_path: Path) -> None:
    async with gateway_being_replaced(tmp_path, Framing.LENGTH) as replacement:
        await wait_for_log(replacement.new.process, "going on with an answer")
        replacement.old.process.kill()
        await replacement.old.process.wait()
        replacement.continue_sending.set()
        assert await replacement.body() == BODY


@async_test
async def test_a_relayed_answer_delays_the_exit_of_the_newer_process(tmp_path: Path) -> None:
    async with gateway_being_replaced(tmp_path, Framing.CHUNKED) as replacement:
        await wait_for_log(replacement.new.process, "going on with an answer")
        replacement.old.process.kill()
        replacement.new.process.send_signal(signal.SIGTERM)
        await wait_for_log(replacement.new.process, "stopping")
        replacement.continue_sending.set()
        assert await replacement.body() == BODY
        assert await replacement.new.exit_status() == 0


@async_test
async def test_the_client_gets_no_complete_answer_when_both_processes_are_killed(tmp_path: Path) -> None:
    async with gateway_being_replaced(tmp_path, Framing.LENGTH) as replacement:
        await wait_for_log(replacement.new.process, "going on with an answer")
        replacement.old.process.kill()
        replacement.new.process.kill()
        with pytest.raises((ConnectionError, AssertionError)):
            assert await replacement.body() == BODY


@async_test
async def test_an_upload_outlives_the_process_that_began_to_read_it(tmp_path: Path) -> None:
    """A client at 80 kB a second needs longer than that process lives."""

    async def watch(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD)

    async with scripted_servers(answers_with(), watch) as (host_peer, service):
        with listening_socket() as listener:
            config = platform_config(service.port, host_peer.discovery_entry())
            async with running_gateway_process(tmp_path, listener, config) as old:
                await wait_until_ready(old)
                reader, writer = await asyncio.open_connection("127.0.0.1", listener.getsockname()[1])
                text = request_text("chapter-buy", {"Content-Length": str(len(BODY))}, BODY)
                step = 20_000
                writer.write(text[:step])
                async with running_gateway_process(tmp_path, listener, config) as new:
                    await wait_until_ready(new)
                    ending = asyncio.get_running_loop().create_task(terminate_or_kill(old.process))
                    for offset in range(step, len(text), step):
                        writer.write(text[offset : offset + step])
                        await asyncio.sleep(step / 80_000)
                    await ending
                    assert b" 200 " in await reader.readline()


def _receiver(path: Path, has_descriptors: bool = True) -> TransferReceiver:
    return TransferReceiver(
        path, asyncio.get_running_loop().time, lambda count: has_descriptors, ReadWindow()
    )


class _FakeAnswer:
    """An answer to be handed over, with two sockets of its own."""

    def __init__(self) -> None:
        self.client, self.client_peer = socket.socketpair()
        self.host, self.host_peer = socket.socketpair()
        self.message: AnswerTransfer | None = AnswerTransfer(Remainder(Framing.LENGTH, 4), 100_000, False)
        self.calls: list[str] = []
        self.is_over = False

    def pause(self) -> AnswerTransfer | None:
        self.calls.append("pause")
        return self.message

    def is_quiet(self) -> bool:
        return True

    def descriptors(self) -> tuple[int, int]:
        return self.client.fileno(), self.host.fileno()

    def resume(self) -> None:
        self.calls.append("resume")

    def detach(self) -> None:
        self.calls.append("detach")
        self.client.close()
        self.host.close()


@async_test
async def test_the_sender_keeps_the_sockets_until_the_receiver_holds_them(tmp_path: Path) -> None:
    """In turn the receiver is absent, closes without a reply, sends another reply, and holds both sockets."""
    path, answer = tmp_path / "answers", _FakeAnswer()
    assert not await TransferSender(path).hand_over(answer)
    for reply in (b"", b"what"):
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as listener:
            listener.bind(str(path))
            listener.listen()
            task = asyncio.get_running_loop().run_in_executor(None, _receive_and_reply, listener, reply)
            assert not await TransferSender(path).hand_over(answer)
            await task
        path.unlink()
    assert answer.calls == ["pause", "resume"] * 3
    receiver = _receiver(path)
    await receiver.open()
    assert await TransferSender(path).hand_over(answer)
    assert answer.calls[-1] == "detach"
    answer.host_peer.send(b"rest")
    loop = asyncio.get_running_loop()
    answer.client_peer.setblocking(False)
    assert await loop.sock_recv(answer.client_peer, 10) == b"rest"
    assert await loop.sock_recv(answer.client_peer, 10) == b""
    await receiver.wait_until_done()
    receiver.stop()


@async_test
async def test_an_answer_that_may_be_short_is_bounded_by_its_deadline_at_the_next_process_too(
    tmp_path: Path,
) -> None:
    """Its host had 10 s of silence there, and its client saw much too late that it had stopped."""

    async def stops(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + encode_chunk(b"start"))

    async with scripted_servers(stops) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        client.writer.write(request_text(headers={"X-Deadline": "5.0"}))
        await wait_until(lambda: proxy.upstream.collecting)
        (connection,) = proxy.upstream.collecting
        connection._collected_at = asyncio.get_running_loop().time()  # as if the loop were never late
        assert connection.stream_collected()
        (streaming,) = proxy.frontend.streaming_connections
        message = ActiveConnection(proxy.frontend, streaming).pause()
        streaming.thaw()
    assert isinstance(message, AnswerTransfer)
    assert message.unproven_bytes == LIKELY_LONG_BYTES - len(b"start")
    assert 0.0 < message.silent_seconds_left <= 5.0 + SILENCE_SLACK_SECONDS
    path, answer = tmp_path / "answers", _FakeAnswer()
    answer.message = message
    receiver, now = _receiver(path), asyncio.get_running_loop().time
    await receiver.open()
    before = now()
    assert await TransferSender(path).hand_over(answer)
    (relayed,) = receiver.answers
    assert not relayed.flow.is_overdue(before + message.silent_seconds_left)
    assert relayed.flow.is_overdue(now() + message.silent_seconds_left + 2 * UNPROVEN_STALL_SECONDS)
    assert message.silent_seconds_left + UNPROVEN_STALL_SECONDS < STALL_SECONDS
    relayed.abandon()
    receiver.stop()


@async_test
async def test_a_reader_that_is_slow_at_the_end_receives_the_whole_answer(tmp_path: Path) -> None:
    path, answer, length = tmp_path / "answers", _FakeAnswer(), 3_000_000
    answer.message = AnswerTransfer(Remainder(Framing.LENGTH, length), length, False)
    loop = asyncio.get_running_loop()
    receiver = _receiver(path)
    await receiver.open()
    assert await TransferSender(path).hand_over(answer)
    for peer in (answer.host_peer, answer.client_peer):
        peer.setblocking(False)
    sending = loop.create_task(loop.sock_sendall(answer.host_peer, b"x" * length))
    count = 0
    while data := await loop.sock_recv(answer.client_peer, 65536):
        count += len(data)
        if sending.done() and count < length:
            await asyncio.sleep(2 * CLIENT_LINGER_SECONDS / 5)  # read the last parts slowly
    assert count == length
    await receiver.wait_until_done()
    receiver.stop()


def _receive_and_reply(listener: socket.socket, reply: bytes) -> None:
    endpoint, _ = listener.accept()
    with endpoint:
        endpoint.recv(4096)
        if reply:
            endpoint.send(reply)


@pytest.mark.parametrize("sent", [b"", b"noise", msgspec.msgpack.encode(["length", 4])])
@async_test
async def test_an_invalid_transfer_message_is_rejected(tmp_path: Path, sent: bytes) -> None:
    path = tmp_path / "answers"
    receiver = _receiver(path)
    await receiver.open()
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as endpoint:
        endpoint.setblocking(False)
        endpoint.connect(str(path))
        if sent:
            endpoint.send(sent)
        else:
            endpoint.shutdown(socket.SHUT_WR)
        assert await asyncio.get_running_loop().sock_recv(endpoint, 10) == b""
    assert not receiver.answers
    receiver.stop()


def test_the_size_of_a_transfer_message_is_bounded() -> None:
    largest: Any = AnswerTransfer(Remainder(Framing.CHUNKED, 2**40), 2**40, True)
    assert len(msgspec.msgpack.encode(largest)) < 100
