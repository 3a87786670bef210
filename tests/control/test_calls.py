"""Operators' calls to a gateway that runs as the platform starts it."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from tests.peers import GENEROUS, Client, Peer, peers, request_text, says, scenario, silent, until
from tests.processes import logged
from tests.test_discovery import HEAD, chunk, line
from tests.test_program import SETUP, is_up, program, told, write
from whinrouter.net.http import Message


async def ask(port: int, text: str) -> str:
    """The answer to a call."""
    async with asyncio.timeout(GENEROUS):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(text.encode() + b"\r\n")
        answer = (await reader.read()).decode()
        writer.close()
    assert answer.endswith("\r\n")
    return answer.rstrip()


@asynccontextmanager
async def operated(folder: Path, config: dict[str, Any]) -> AsyncIterator[tuple[Any, int, int]]:
    """A gateway's process, the port of its clients and that of its operators."""
    async with program(folder, config, PROXY_CONTROL="127.0.0.1:0") as process:
        control = int((await logged(process, "takes calls on")).rsplit(":", 1)[1])
        yield process, int((await logged(process, "listens on")).rsplit(":", 1)[1]), control


async def _watch(request: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD)


@scenario
async def test_a_host_is_out_until_it_is_called_back_whatever_is_listed(tmp_path: Path) -> None:
    async with peers(says(body=b"one"), says(body=b"two"), _watch) as (one, two, service):
        config = told(service.port, one.entry(), two.entry())
        async with operated(tmp_path, config) as (process, port, control):
            assert (await ask(control, "OFFLINE s-9")).startswith("-ERR")
            assert (await ask(control, "OFFLINE s-0")).startswith("+OK")
            assert (await ask(control, "OFFLINE s-0")).startswith("+OK")
            await until(lambda: service.requests)
            for revision, phase in enumerate(("Ready", "Gone", "Ready"), 42):
                service.writers[-1].write(
                    chunk(line(revision, one.entry(phase), two.entry(), complete=False))
                )
            process.send_signal(signal.SIGHUP)
            client = await Client.connect(port)
            assert {(await client.ask()).body for _ in range(50)} == {b"two"}
            assert not one.requests
            assert (await ask(control, "ONLINE s-0")).startswith("+OK")
            async with asyncio.timeout(GENEROUS):
                while (await client.ask()).body != b"one":
                    await asyncio.sleep(0.01)


@scenario
async def test_a_drain_ends_idle_connections_and_answers_what_is_held(tmp_path: Path) -> None:
    async with (
        peers(silent, _watch) as (host, service),
        operated(tmp_path, told(service.port, host.entry())) as (process, port, control),
    ):
        idler, holder, late = [await Client.connect(port) for _ in range(3)]
        holder.writer.write(request_text("chapter-buy", {"X-Deadline": ""}))
        await until(lambda: host.requests)
        assert await ask(control, "LEAVE") == "+OK leaving"
        assert await is_up(port) == 503
        assert (await ask(control, "HEALTH")).startswith("+OK leaving")
        late.writer.write(b"GET /up HTTP/1.1\r\n\r\n")
        answer = await late.answer()
        assert (answer.status, answer.keep_alive) == (503, False)
        assert await idler.rest() == b""
        await says(body=b"bought")(host.requests[0], host.askers[0])
        answer = await holder.answer()
        assert (answer.body, answer.keep_alive) == (b"bought", False)
        assert await ask(control, "JOIN") == "+OK serving"
        assert await is_up(port) == 200
        assert process.returncode is None
        await ask(control, "LEAVE")
        process.send_signal(signal.SIGTERM)
        await logged(process, "stopping")
        with contextlib.suppress(OSError):
            assert (await ask(control, "JOIN")).startswith("-ERR")
        async with asyncio.timeout(GENEROUS):
            assert await process.wait() == 0


@scenario
async def test_calls_are_answered_beside_callers_that_say_nothing_and_noise(tmp_path: Path) -> None:
    async with (
        peers(_watch) as (service,),
        operated(tmp_path, told(service.port)) as (_, port, control),
    ):
        silent_ones = [await asyncio.open_connection("127.0.0.1", control) for _ in range(100)]
        crowd = [await Client.connect(port) for _ in range(100)]
        begun = time.monotonic()
        assert (await ask(control, "HEALTH")).startswith("-ERR")  # it has no list of hosts
        assert (await ask(control, "LEAVE")).startswith("+OK")
        assert (await ask(control, "\x00\x01 noise")).startswith("-ERR")
        assert (await ask(control, "HEALTH" * 200)).startswith("-ERR")
        assert time.monotonic() - begun < GENEROUS / 2
        for _, writer in silent_ones:
            writer.close()
        for client in crowd:
            client.close()


@scenario
async def test_the_command_line_calls_and_says_by_its_exit_code(tmp_path: Path) -> None:
    async with (
        peers(says(), _watch) as (host, service),
        operated(tmp_path, told(service.port, host.entry())) as (_, _, control),
    ):
        for words, code, said in (
            (("offline", "s-0"), 0, b"s-0 out"),
            (("--json", "HEALTH"), 0, b'"done": true'),
            (("OFFLINE", "s-9"), 1, b"nobody has the id s-9"),
            (("noise",), 1, b"no such call"),
        ):
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "whinrouter.operator.cli", "ctl", f"127.0.0.1:{control}", *words),
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.STDOUT,
            )
            async with asyncio.timeout(GENEROUS):
                output, _ = await process.communicate()
            assert process.returncode == code
            assert said in output


def _classes(*names: str, effect: str = "idempotent") -> dict[str, Any]:
    entry = SETUP["classes"][0]
    return SETUP | {"classes": [entry | {"name": name, "effect": effect} for name in names]}


@scenario
async def test_settings_are_taken_as_a_whole_while_requests_are_under_way(tmp_path: Path) -> None:
    async def slow(request: Message, writer: asyncio.StreamWriter) -> None:
        if b"page-read" not in request.target:
            await says(body=b"now")(request, writer)

    async with (
        peers(slow, _watch) as (host, service),
        operated(tmp_path, told(service.port, host.entry())) as (process, port, _),
    ):
        await _retune(process, tmp_path, service, host)
        client, holder = await Client.connect(port), await Client.connect(port)
        holder.writer.write(request_text("page-read", {"X-Deadline": ""}))
        await until(lambda: host.requests)
        assert (await client.ask("coupon")).status == 400
        await _retune(process, tmp_path, service, host, "coupon", "gift")
        client = await Client.connect(port)
        client.writer.write(request_text("coupon").replace(b"POST", b"GET", 1))
        assert (await client.answer()).body == b"now"
        await says(body=b"read")(host.requests[0], host.askers[0])
        assert (await holder.answer()).body == b"read"
        write(tmp_path, b"")
        process.send_signal(signal.SIGHUP)
        await logged(process, "going on with what is in force")
        client.writer.write(request_text("gift").replace(b"POST", b"GET", 1))
        assert (await client.answer()).body == b"now"


async def _retune(process: Any, folder: Path, service: Peer, host: Peer, *names: str) -> None:
    if names:
        write(folder, told(service.port, host.entry(), settings=_classes(*names)))
        process.send_signal(signal.SIGHUP)
        await logged(process, "settings: ")
