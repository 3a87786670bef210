"""Programs that tests start, and their logs."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

from tests.peers import GENEROUS


@asynccontextmanager
async def started(
    *command: str, environment: Mapping[str, str] | None = None, pass_fds: tuple[int, ...] = ()
) -> AsyncIterator[asyncio.subprocess.Process]:
    """A program whose log is read by the test; killed at the end, if it still runs."""
    process = await asyncio.create_subprocess_exec(
        *command, env=environment, stderr=asyncio.subprocess.PIPE, pass_fds=pass_fds
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def logged(process: asyncio.subprocess.Process, words: str) -> str:
    """The next line of its log with these words."""
    assert process.stderr is not None
    async with asyncio.timeout(GENEROUS):
        while text := (await process.stderr.readline()).decode():
            if words in text:
                return text
    raise AssertionError(f"it ended and did not say {words!r}")
