"""Processes that tests start, and their logs."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

from tests.peers import TEST_TIMEOUT_SECONDS


@asynccontextmanager
async def running_process(
    *command: str, environment: Mapping[str, str] | None = None, pass_fds: tuple[int, ...] = ()
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Start a program whose log the test reads; kill it at the end if it still runs."""
    process = await asyncio.create_subprocess_exec(
        *command, env=environment, stderr=asyncio.subprocess.PIPE, pass_fds=pass_fds
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def wait_for_log(process: asyncio.subprocess.Process, text: str) -> str:
    """Return the next line of the log that contains this text; AssertionError if there is none."""
    assert process.stderr is not None
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while line := (await process.stderr.readline()).decode():
            if text in line:
                return line
    raise AssertionError(f"the process ended and did not log {text!r}")
