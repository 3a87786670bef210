"""As many connections as a process may have are handed over, whatever they are in the middle of.

Guards against this failure: of 300 long answers under way at an upgrade the next process took 256, by a
constant, and the other 44 were cut off by SIGKILL.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import pytest

from tests.handover.test_long_answers import terminate_or_kill
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
)
from tests.test_discovery import HEAD
from tests.test_program import platform_config
from whinrouter.handover.connections import connection_adopter
from whinrouter.handover.transfer import NoCapacityError
from whinrouter.handover.transfer_messages import ClientTransfer
from whinrouter.handover.transfer_schedule import TransferSchedule
from whinrouter.net.http_messages import Message, encode_chunk

HOSTS = 6
READERS = 300  # a third of 1,024 descriptors is 341
STUCK_READERS, STUCK_HEADER = 100, "x-stuck"
FIRST_PART, REST = b"x" * 70_000, b"y" * 1000
RETRY_SECONDS = 0.3


async def _watch(request: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD)


@dataclass
class _LongAnswers:
    """Answers that are under way through a gateway; their hosts have given the first part of each."""

    port: int
    may_finish: asyncio.Event
    readers: list[asyncio.Task[int]] = field(default_factory=list)

    async def begin(self, count: int, headers: Mapping[str, str] | None = None) -> None:
        """Begin more answers; each has its first part when this returns."""
        for _ in range(count):
            has_begun = asyncio.Event()
            self.readers.append(asyncio.create_task(self._read(has_begun, headers)))
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                await has_begun.wait()

    async def _read(self, has_begun: asyncio.Event, headers: Mapping[str, str] | None) -> int:
        """Return the bytes of an answer's body; set `has_begun` behind the first part."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(request_text(headers=headers))
            await reader.readuntil(b"\r\n\r\n")
            if headers is not None:  # the body is chunked, and does not end
                await reader.readuntil(b"\r\n")
            count = len(await reader.readexactly(len(FIRST_PART)))
            has_begun.set()
            return count + len(await reader.readexactly(len(REST)))
        finally:
            writer.transport.abort()

    async def finish(self) -> list[int]:
        """Let the hosts give the rest; return the bytes of each body."""
        self.may_finish.set()
        return await asyncio.gather(*self.readers)


@asynccontextmanager
async def _running_gateway(
    folder: Path,
) -> AsyncIterator[
    tuple[_LongAnswers, GatewayProcess, Callable[[], AbstractAsyncContextManager[GatewayProcess]]]
]:
    """Yield the long answers, the process that begins them, and what starts the next process."""
    may_finish = asyncio.Event()

    async def host(request: Message, writer: asyncio.StreamWriter) -> None:
        if request.get(STUCK_HEADER.encode()):
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(encode_chunk(FIRST_PART) + b"1")  # it pauses within the size of a chunk
            return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(FIRST_PART + REST) + FIRST_PART)
        await may_finish.wait()
        writer.write(REST)

    async with scripted_servers(*[host] * HOSTS, _watch) as (*hosts, service):
        with listening_socket() as listener:
            config = platform_config(service.port, *(host.discovery_entry() for host in hosts))
            start = partial(running_gateway_process, folder, listener, config)
            async with start() as old:
                await wait_until_ready(old)
                yield _LongAnswers(listener.getsockname()[1], may_finish), old, start


@async_test
async def test_all_long_answers_outlive_the_process_that_began_them(tmp_path: Path) -> None:
    async with _running_gateway(tmp_path) as (answers, old, start):
        await answers.begin(READERS)
        async with start() as new:
            await wait_until_ready(new)
            await terminate_or_kill(old.process)
            assert set(await answers.finish()) == {len(FIRST_PART + REST)}


@async_test
async def test_answers_that_cannot_be_handed_over_do_not_keep_others_from_it(tmp_path: Path) -> None:
    """They held all of the offers at a time for longer than the older process lives."""
    async with _running_gateway(tmp_path) as (stuck_answers, old, start):
        answers = _LongAnswers(stuck_answers.port, stuck_answers.may_finish)
        await stuck_answers.begin(STUCK_READERS, {STUCK_HEADER: "1"})
        await answers.begin(5)
        async with start() as new:
            await wait_until_ready(new)
            await terminate_or_kill(old.process)
            assert set(await answers.finish()) == {len(FIRST_PART + REST)}
        await asyncio.gather(*stuck_answers.readers, return_exceptions=True)


@pytest.mark.parametrize(
    ("message", "is_adopted"),
    [
        (ClientTransfer(request_text()[:40], b"", closes_connection=False), True),
        (ClientTransfer(b"", b"the end of an answer", closes_connection=False), True),
        (ClientTransfer(b"", b"the end of an answer", closes_connection=True), True),
        (ClientTransfer(b"", b"", closes_connection=False), False),
    ],
    ids=["half a request", "an answer", "a last answer", "idle"],
)
@async_test
async def test_only_idle_connections_are_left_to_a_process_that_ends(
    message: ClientTransfer, is_adopted: bool
) -> None:
    """At half of the limit on connections none was taken, and answers that were unsent were cut off."""
    async with (
        scripted_servers(answers_with()) as (host,),
        running_gateway(host.member(), max_connections=1) as proxy,
    ):
        first = await proxy.client()
        assert (await first.fetch()).status == 200
        adopt = connection_adopter(proxy.frontend, proxy.upstream)
        own, peer = socket.socketpair()
        with peer:
            if not is_adopted:
                with own, pytest.raises(NoCapacityError):
                    adopt(message, [own])
                return
            adopt(message, [own]).activate()
            peer.setblocking(False)
            loop = asyncio.get_running_loop()
            if message.unread_input:
                await loop.sock_sendall(peer, request_text()[40:])
                assert (await loop.sock_recv(peer, 100)).startswith(b"HTTP/1.1 200")
            else:
                assert await loop.sock_recv(peer, 100) == message.client_output


def test_a_connection_that_cannot_be_handed_over_does_not_keep_others_from_their_turn() -> None:
    """Those that failed were offered again and again, and held all of the offers at a time."""
    stuck, others = list(range(10)), list(range(10, 30))
    schedule: TransferSchedule[int] = TransferSchedule(len(stuck), RETRY_SECONDS)
    now, held = 0.0, set[int]()
    for _ in range(3):
        chosen = schedule.choose([*stuck, *(other for other in others if other not in held)], now)
        assert len(chosen) == len(stuck)
        assert schedule.choose([*stuck, *others], now) == [], "as many are offered as may be at a time"
        now += RETRY_SECONDS
        for connection in chosen:
            schedule.finish(connection, connection in others, now)
            if connection in others:
                held.add(connection)
    assert held == set(others)
    now += RETRY_SECONDS
    assert schedule.choose(stuck, now) == stuck, "they have another turn"


def test_a_failed_offer_waits_before_the_next_one() -> None:
    schedule: TransferSchedule[int] = TransferSchedule(2, RETRY_SECONDS)
    assert schedule.choose([1], 0.0) == [1]
    schedule.finish(1, False, 1.0)
    assert schedule.choose([1], 1.0 + RETRY_SECONDS / 2) == []
    assert schedule.choose([1], 1.0 + RETRY_SECONDS) == [1]


def test_the_schedule_forgets_connections_that_are_gone() -> None:
    schedule: TransferSchedule[int] = TransferSchedule(2, RETRY_SECONDS)
    for number in range(100):
        schedule.choose([number], float(number))
        schedule.finish(number, False, float(number))
    assert len(schedule._due_at) <= 2
