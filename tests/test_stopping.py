"""The gateway ends, or hosts do, while something is owed: each request that came has its one answer."""

from __future__ import annotations

import asyncio
import functools
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from tests.peers import (
    GENEROUS,
    Client,
    Peer,
    Running,
    listing,
    peers,
    request_text,
    running,
    says,
    scenario,
    silent,
    until,
)
from tests.processes import logged, started
from tests.test_discovery import HEAD
from tests.test_program import SETUP, is_up, port_of, program, told, write
from whinrouter.interface import SECOND, State
from whinrouter.net.gateway import Answer, Asked
from whinrouter.net.http import Message, RequestReader, ResponseReader
from whinrouter.operations.presence import ENDS_AFTER


async def _watch(request: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD)


def _stop(proxy: Running, ago: float = 0.0) -> None:
    proxy.frontend.presence.stop(asyncio.get_running_loop().time() - ago)


@pytest.mark.parametrize("other", [{}, {"control": "127.0.0.1:0"}], ids=["without calls", "with calls"])
@scenario
async def test_sighup_before_the_program_can_act_on_it_is_acted_on_later(
    tmp_path: Path, other: dict[str, str]
) -> None:
    """It comes as the configuration is being read, which is the old one still."""
    async with peers(_watch, _watch) as (old, new):
        path = tmp_path / "config.json"
        before = write(tmp_path, told(old.port, **other)).read_bytes()
        path.unlink()
        os.mkfifo(path)
        starting = asyncio.get_running_loop().run_in_executor(None, path.open, "wb")
        async with _program_as_it_stands(tmp_path) as process:
            pipe = await starting  # it has opened the file, and reads
            path.unlink()
            write(tmp_path, told(new.port, **other))
            process.send_signal(signal.SIGHUP)
            with pipe:
                pipe.write(before)
            await logged(process, "discovery is now at")
            await until(lambda: new.requests)
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(GENEROUS):
                assert await process.wait() == 0
        assert (len(old.requests), len(new.requests)) == (0, 1), "one watch, of the new one"


@asynccontextmanager
async def _program_as_it_stands(folder: Path) -> AsyncIterator[asyncio.subprocess.Process]:
    """Started with the file that is in the folder already."""
    kept = {name: os.environ[name] for name in ("PYTHONPATH", "PYTHONSAFEPATH") if name in os.environ}
    environment = {**kept, "PROXY_CONFIG": str(folder / "config.json")}
    async with started(sys.executable, "-m", "whinrouter", environment=environment) as process:
        yield process


@scenario
async def test_sigterm_twice_before_the_first_list_ends_it_in_order(tmp_path: Path) -> None:
    async with peers(silent) as (service,), program(tmp_path, told(service.port)) as process:
        port = await port_of(process)
        client = await Client.connect(port)
        assert (await client.ask()).status == 503
        process.send_signal(signal.SIGTERM)
        await logged(process, "stopping")
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(GENEROUS):
            assert await process.wait() == 0
        client.close()


def _has(host: Peer, count: int) -> bool:
    return len(host.requests) == count


def _classes(deadline: int) -> dict[str, Any]:
    return SETUP | {"classes": [entry | {"giveUp": deadline} for entry in SETUP["classes"]]}


@scenario
async def test_requests_of_classes_that_a_reload_made_longer_are_waited_for(tmp_path: Path) -> None:
    async with peers(silent, _watch) as (host, service):
        config = told(service.port, host.entry(), settings=_classes(200_000))
        async with program(tmp_path, config) as process:
            port = await port_of(process)
            assert await is_up(port) == 200
            write(tmp_path, config | {"settings": _classes(20_000_000)})
            process.send_signal(signal.SIGHUP)
            await logged(process, "settings")
            client = await Client.connect(port)
            client.writer.write(request_text("chapter-buy", {"X-Deadline": ""}))
            await until(lambda: host.requests)
            process.send_signal(signal.SIGTERM)
            await logged(process, "stopping")
            # By the settings of the start it would end within this: nothing is waited for here.
            await asyncio.sleep(4.0)
            assert process.returncode is None
            await says(body=b"bought")(host.requests[0], host.askers[0])
            assert (await client.answer()).body == b"bought"
            async with asyncio.timeout(GENEROUS):
                assert await process.wait() == 0


@scenario
async def test_all_that_was_sent_ahead_is_answered_at_the_end() -> None:
    """Each of them came whole; the last answer ends the connection, and no other."""
    async with peers(silent) as (host,), running(host.member()) as proxy:
        client = await proxy.client()
        client.writer.write(request_text() + request_text("chapter-buy") + request_text())
        await until(lambda: host.requests)
        _stop(proxy)
        proxy.frontend.close()
        answers: list[Message] = []
        reader = ResponseReader()
        for count in (1, 2, 3):
            await until(functools.partial(_has, host, count))
            await says(body=b"%d" % count)(host.requests[-1], host.askers[-1])
            while len(answers) < count:
                answers += reader.feed(await client._reader.read(65536))
        assert [(answer.status, answer.body) for answer in answers] == [
            (200, b"1"),
            (200, b"2"),
            (200, b"3"),
        ]
        assert [answer.keep_alive for answer in answers] == [True, True, False]
        assert await client.rest() == b""


@pytest.mark.parametrize(("ago", "status"), [(ENDS_AFTER - 0.5, 200), (ENDS_AFTER + 60.0, 503)])
@scenario
async def test_a_request_that_comes_whole_as_the_process_is_to_be_ended(ago: float, status: int) -> None:
    """It had begun to come before; what can't be answered in what is left is refused at once, unsent."""
    async with peers(says()) as (host,), running(host.member()) as proxy:
        client, text = await proxy.client(), request_text("chapter-buy")
        client.writer.write(text[:30])
        await until(lambda: any(one._requests.began for one in proxy.frontend.connections))
        _stop(proxy, ago)
        proxy.frontend.close()
        client.writer.write(text[30:])
        answer = await client.answer()
        assert (answer.status, answer.keep_alive) == (status, False)
        assert len(host.requests) == (status == 200)


@scenario
async def test_what_waited_for_a_host_that_drains_goes_to_none_that_drains_in_the_same_list() -> None:
    """The list is taken host by host, and what waited for the first is sent again at once."""
    async with peers(says(), says()) as (one, other), running(other.member()) as proxy:
        answers: list[Answer] = []

        def ask() -> None:
            message = RequestReader().feed(request_text())[0]
            proxy.gateway.take(Asked(message, "page-read", 10 * SECOND), answers.append)

        ask()
        ask()
        await until(lambda: len(answers) == 2)
        waiting = proxy.upstream._hosts[other.member().server.id]
        await until(lambda: len(waiting.idle) == 2)  # connections at rest: a request would leave at once
        proxy.gateway.list_hosts(listing(one.member(), other.member()))
        asked = 2
        while not proxy.upstream._hosts[one.member().server.id].connecting:
            ask()
            asked += 1
        drains = [peer.member(state=State.DRAINING) for peer in (one, other)]
        proxy.gateway.list_hosts(listing(*drains, revision=3))
        await until(lambda: len(answers) == asked)
        assert [answer.status for answer in answers].count(503) == 1
        assert len(other.requests) == asked - 1
        assert not one.requests
