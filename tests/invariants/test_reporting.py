"""What a process tells of its invariants: by a call, on a signal, and with its last line."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from tests.control.test_calls import ask, operated
from tests.peers import GENEROUS, Client, peers, says, scenario
from tests.processes import logged
from tests.test_discovery import HEAD
from tests.test_program import is_up, told
from whinrouter.net.http import Message


@scenario
async def test_violations_and_events_are_shown(tmp_path: Path) -> None:
    async def watch(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD)

    async with peers(says(), watch) as (host, service):
        config = told(service.port, host.entry())
        async with operated(tmp_path, config) as (process, port, control):
            while await is_up(port) != 200:
                await asyncio.sleep(0.01)
            client = await Client.connect(port)
            assert (await client.ask()).status == 200
            assert await ask(control, "VIOLATIONS") == "+OK none"
            process.send_signal(signal.SIGUSR1)
            for what in ("admitted (", "sent (first)", "answered (served)", "ended (ok)"):
                await logged(process, what)
            assert "invariants violated: none" in await logged(process, "events;")
            process.send_signal(signal.SIGTERM)
            await logged(process, "ended; invariants violated: none")
            async with asyncio.timeout(GENEROUS):
                assert await process.wait() == 0
