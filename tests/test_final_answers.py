"""A process that is ended has told each client by then how its request ended.

What happened: the upload of a purchase began just before SIGTERM, its last byte came 1.0 s later, and its
time would have ended 2.0 s after that. SIGKILL came at the longest deadline and 0.7 s after SIGTERM, 2.7 s,
while the process still waited for the host: no answer at all. What was unanswered then had no bound but its
own time.
"""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.peers import (
    Client,
    Script,
    ScriptedServer,
    async_test,
    never_answers,
    request_text,
    scripted_servers,
    wait_until,
)
from tests.processes import wait_for_log
from tests.test_discovery import HEAD
from tests.test_program import SETTINGS, listen_port, platform_config, running_program
from whinrouter.net.http import Message

LONGEST = 2.0  # seconds of the longest deadline
LIVES = LONGEST + 0.7  # from SIGTERM to SIGKILL at the earliest
BODY = bytes(range(256)) * 2000
FAILED = {502, 504}
REFUSED = 503


def _settings() -> dict[str, Any]:
    classes = [entry | {"giveUp": round(LONGEST * 1_000_000)} for entry in SETTINGS["classes"]]
    return SETTINGS | {"classes": classes}


async def _watch(request: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD)


@dataclass
class _Scene:
    host: ScriptedServer
    client: Client
    process: asyncio.subprocess.Process
    stopped: float = 0.0  # when it had its signal

    async def stop(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        self.stopped = time.monotonic()
        await wait_for_log(self.process, "stopping")

    async def answer(self) -> Message:
        """Its answer, which has to be there before the process may be killed."""
        async with asyncio.timeout(self.stopped + LIVES - time.monotonic()):
            return await self.client.read_answer()


@asynccontextmanager
async def _scene(folder: Path, script: Script = never_answers) -> AsyncIterator[_Scene]:
    async with scripted_servers(script, _watch) as (host, service):
        config = platform_config(service.port, host.discovery_entry(), settings=_settings())
        async with running_program(folder, config) as process:
            client = await Client.connect(await listen_port(process))
            yield _Scene(host, client, process)


def _upload(body: bytes = BODY) -> bytes:
    return request_text("chapter-buy", {"Content-Length": str(len(body)), "X-Deadline": str(LONGEST)}, body)


@async_test
async def test_an_upload_that_is_whole_late_has_its_answer_before_the_kill(tmp_path: Path) -> None:
    async with _scene(tmp_path) as scene:
        text = _upload()
        scene.client.writer.write(text[:-1000])
        await wait_until(lambda: scene.host.requests or scene.host.received_bytes > 100_000)
        await scene.stop()
        await asyncio.sleep(1.0)
        scene.client.writer.write(text[-1000:])
        answer = await scene.answer()
        assert answer.status in FAILED, "the host may have begun with it"
        assert not answer.keep_alive


@async_test
async def test_an_upload_that_goes_on_beyond_the_kill_is_answered_before(tmp_path: Path) -> None:
    """Its host has not had the last byte, so that a refusal would hold too."""
    async with _scene(tmp_path) as scene:
        text, step = _upload(), 20_000
        scene.client.writer.write(text[: 5 * step])
        await wait_until(lambda: scene.host.received_bytes > 2 * step)
        await scene.stop()

        async def go_on() -> None:
            for place in range(5 * step, len(text), step):
                await asyncio.sleep(step / 80_000)
                scene.client.writer.write(text[place : place + step])

        sending = asyncio.get_running_loop().create_task(go_on())
        answer = await scene.answer()
        sending.cancel()
        assert answer.status in {*FAILED, REFUSED}
        assert not answer.keep_alive


@async_test
async def test_a_request_that_is_still_being_received_is_refused_before_the_kill(tmp_path: Path) -> None:
    """Nothing of it was sent on: its client is told to go elsewhere before its last byte makes it ours."""
    async with _scene(tmp_path) as scene:
        text, step = _upload(BODY[:60_000]), 1_000
        scene.client.writer.write(text[:step])

        async def go_on() -> None:
            for place in range(step, len(text) - step, step):
                await asyncio.sleep(step / 40_000)
                scene.client.writer.write(text[place : place + step])

        sending = asyncio.get_running_loop().create_task(go_on())
        await scene.stop()
        await asyncio.sleep(1.0)
        await sending  # all but its last part
        answer = await scene.answer()
        assert answer.status in {408, REFUSED}
        assert not scene.host.requests


@async_test
async def test_a_request_that_comes_late_on_a_kept_connection_has_its_answer_before_the_kill(
    tmp_path: Path,
) -> None:
    """On a connection that is open still its time would end after the kill."""
    async with _scene(tmp_path) as scene:
        text = _upload(b"coins")
        scene.client.writer.write(text[:30])
        await scene.stop()
        await asyncio.sleep(0.65)
        scene.client.writer.write(text[30:])
        assert (await scene.answer()).status in FAILED
