"""A process that is stopped answers every request before it is killed.

Guards against this failure: the upload of a purchase began just before SIGTERM, its last byte arrived 1.0 s
later, and its deadline was 2.0 s after that. SIGKILL came 2.7 s after SIGTERM (the longest deadline and
0.7 s), while the process still waited for the host, and the client had no answer. A stopping process must
answer earlier than a request's own deadline where that is needed.
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

import pytest

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
from tests.test_program import (
    SETTINGS,
    listen_port,
    platform_config,
    running_program,
    up_status,
    write_config,
)
from whinrouter.net.http_messages import Message

LONGEST_DEADLINE_SECONDS = 2.0  # of all classes
KILL_DELAY_SECONDS = LONGEST_DEADLINE_SECONDS + 0.7  # from SIGTERM to SIGKILL at the earliest
BODY = bytes(range(256)) * 2000
LONGER_CLASS = SETTINGS["classes"][0] | {"name": "ledger-read", "giveUp": 20_000_000}
FAILURE_STATUSES = {502, 504}
REFUSAL_STATUS = 503


def _settings() -> dict[str, Any]:
    classes = [
        entry | {"giveUp": round(LONGEST_DEADLINE_SECONDS * 1_000_000)} for entry in SETTINGS["classes"]
    ]
    return SETTINGS | {"classes": classes}


async def _watch(request: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD)


@dataclass
class ProgramUnderTest:
    """The running program, its only host, and a client that is connected to it."""

    host: ScriptedServer
    client: Client
    process: asyncio.subprocess.Process
    stopped_at: float = 0.0  # monotonic time of SIGTERM

    async def stop(self) -> None:
        """Send SIGTERM, and wait until the process has logged that it is stopping."""
        self.process.send_signal(signal.SIGTERM)
        self.stopped_at = time.monotonic()
        await wait_for_log(self.process, "stopping")

    async def read_answer(self) -> Message:
        """Return the client's answer, which must arrive before the process may be killed."""
        async with asyncio.timeout(self.stopped_at + KILL_DELAY_SECONDS - time.monotonic()):
            return await self.client.read_answer()


@asynccontextmanager
async def program_under_test(
    folder: Path, script: Script = never_answers, removed_class: dict[str, Any] | None = None
) -> AsyncIterator[ProgramUnderTest]:
    """Run the program with one host, which runs `script`, and one client.

    `removed_class`: a class with which the program is started, and which a retune takes out.
    """
    async with scripted_servers(script, _watch) as (host, discovery_server):
        config = platform_config(discovery_server.port, host.discovery_entry(), settings=_settings())
        first_settings = _settings()
        if removed_class is not None:
            first_settings["classes"] = [*first_settings["classes"], removed_class]
        async with running_program(folder, config | {"settings": first_settings}) as process:
            port = await listen_port(process)
            if removed_class is not None:
                assert await up_status(port) == 200
                write_config(folder, config)
                process.send_signal(signal.SIGHUP)
                await wait_for_log(process, "settings")
            client = await Client.connect(port)
            yield ProgramUnderTest(host, client, process)


def _upload(body: bytes = BODY) -> bytes:
    return request_text(
        "chapter-buy", {"Content-Length": str(len(body)), "X-Deadline": str(LONGEST_DEADLINE_SECONDS)}, body
    )


@pytest.mark.parametrize("removed_class", [None, LONGER_CLASS], ids=["as started", "retuned"])
@async_test
async def test_an_upload_that_completes_late_is_answered_before_the_kill(
    tmp_path: Path, removed_class: dict[str, Any] | None
) -> None:
    """Retuned: a class with a longer deadline than all in force must not delay the last answers."""
    async with program_under_test(tmp_path, removed_class=removed_class) as program:
        text = _upload()
        program.client.writer.write(text[:-1000])
        await wait_until(lambda: program.host.requests or program.host.received_bytes > 100_000)
        await program.stop()
        await asyncio.sleep(1.0)
        program.client.writer.write(text[-1000:])
        answer = await program.read_answer()
        assert answer.status in FAILURE_STATUSES, "the host may have started to execute the request"
        assert not answer.keep_alive


@async_test
async def test_an_upload_that_would_outlast_the_process_is_answered_before_the_kill(tmp_path: Path) -> None:
    """The host does not have the last byte, so a refusal is a correct answer too."""
    async with program_under_test(tmp_path) as program:
        text, step_bytes = _upload(), 20_000
        program.client.writer.write(text[: 5 * step_bytes])
        await wait_until(lambda: program.host.received_bytes > 2 * step_bytes)
        await program.stop()

        async def keep_sending() -> None:
            for position in range(5 * step_bytes, len(text), step_bytes):
                await asyncio.sleep(step_bytes / 80_000)
                program.client.writer.write(text[position : position + step_bytes])

        sending = asyncio.get_running_loop().create_task(keep_sending())
        answer = await program.read_answer()
        sending.cancel()
        assert answer.status in {*FAILURE_STATUSES, REFUSAL_STATUS}
        assert not answer.keep_alive


@async_test
async def test_a_request_that_is_still_being_received_is_refused_before_the_kill(tmp_path: Path) -> None:
    """Nothing of it was forwarded: the client is refused before the request is complete."""
    async with program_under_test(tmp_path) as program:
        text, step_bytes = _upload(BODY[:60_000]), 1_000
        program.client.writer.write(text[:step_bytes])

        async def keep_sending() -> None:
            for position in range(step_bytes, len(text) - step_bytes, step_bytes):
                await asyncio.sleep(step_bytes / 40_000)
                program.client.writer.write(text[position : position + step_bytes])

        sending = asyncio.get_running_loop().create_task(keep_sending())
        await program.stop()
        await asyncio.sleep(1.0)
        await sending  # all but the last part is sent
        answer = await program.read_answer()
        assert answer.status in {408, REFUSAL_STATUS}
        assert not program.host.requests


@async_test
async def test_a_request_that_arrives_late_on_an_open_connection_is_answered_before_the_kill(
    tmp_path: Path,
) -> None:
    """The connection is still open at SIGTERM; the request's own deadline is after the kill."""
    async with program_under_test(tmp_path) as program:
        text = _upload(b"coins")
        program.client.writer.write(text[:30])
        await program.stop()
        await asyncio.sleep(0.65)
        program.client.writer.write(text[30:])
        assert (await program.read_answer()).status in FAILURE_STATUSES
