"""A long answer that is passed on as its process is replaced, and that takes longer than that may live."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.handover.test_upgrade import gateway, listening, ready
from tests.peers import peers, request_text, scenario
from tests.test_discovery import HEAD
from tests.test_program import told
from whinrouter.net.http import Message

LENGTH, FIRST_PART = 400_000, 200_000
LIVES = 3.7  # seconds from SIGTERM to SIGKILL


@scenario
async def test_a_long_answer_outlives_the_process_that_began_it(tmp_path: Path) -> None:
    go_on = asyncio.Event()

    async def host(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % LENGTH + b"x" * FIRST_PART)
        await go_on.wait()
        writer.write(b"x" * (LENGTH - FIRST_PART))

    async def watch(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD)

    async with peers(host, watch) as (one, service):
        with listening() as listener:
            config = told(service.port, one.entry())
            async with gateway(tmp_path, listener, config) as old:
                await ready(old)
                reader, writer = await asyncio.open_connection("127.0.0.1", listener.getsockname()[1])
                writer.write(request_text())
                assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
                async with gateway(tmp_path, listener, config) as new:
                    await ready(new)
                    old.process.terminate()
                    try:
                        async with asyncio.timeout(LIVES):
                            await old.process.wait()
                    except TimeoutError:
                        old.process.kill()
                        await old.process.wait()
                    go_on.set()
                    assert len(await reader.readexactly(LENGTH)) == LENGTH
