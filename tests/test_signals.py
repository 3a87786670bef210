"""Signals in series, in the first instants of a process and during its end, end no process by themselves.

What happened: SIGTERM, then SIGHUP or SIGTERM every 2 ms to the exit, ended 12 of 12 processes by the signal
(exit -1 and -15), as the loop gives the default action back when it closes and the interpreter still takes
its time to end. SIGHUP every 5 ms from the start on ended 12 of 12, as the imports came before anything
held it.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import tomllib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from tests.peers import TEST_TIMEOUT_SECONDS, async_test, never_answers, scripted_servers, wait_until
from tests.processes import running_process, wait_for_log
from tests.test_program import listen_port, platform_config, up_status, write_config
from tests.test_project import ROOT
from tests.test_sidecar import connect, running_sidecar, write_configs
from whinrouter.coalesced import CoalescedCall

SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1, signal.SIGINT)
ROUNDS = 3
SERIES_INTERVAL_SECONDS = 0.002  # seconds between two signals of a series


def _command() -> str:
    """The deploy file's own line, with the interpreter and the package that are tested."""
    run: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    assert ".venv/bin/python -P" in run
    return run.replace(".venv/bin/python -P", sys.executable)


@asynccontextmanager
async def _gateway(folder: Path) -> AsyncIterator[asyncio.subprocess.Process]:
    async with scripted_servers(never_answers) as (service,):
        inherited = {
            name: os.environ[name] for name in ("PYTHONPATH", "PYTHONSAFEPATH") if name in os.environ
        }
        environment = {
            **inherited,
            "PROXY_CONFIG": str(write_config(folder, platform_config(service.port))),
            "PATH": os.environ["PATH"],
        }
        async with running_process("/bin/sh", "-c", _command(), environment=environment) as process:
            yield process


def _blocks(process: asyncio.subprocess.Process, signal_number: signal.Signals) -> bool:
    """Whether what was started holds this signal back, as the system tells.

    The shell before it does so too for an instant, while it forks; only what it execs does so to stay.
    """
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    status = dict(line.split(":\t", 1) for line in lines if ":\t" in line)
    return status["Name"] != "sh" and bool(int(status["SigBlk"], 16) >> (signal_number - 1) & 1)


async def _send_repeatedly(process: asyncio.subprocess.Process, signal_number: signal.Signals) -> None:
    """One signal after the other for as long as the process is there.

    By its number: `Popen.send_signal` looks whether it has ended, and would take its exit status from whoever
    waits for that ("Unknown child process", 255).
    """
    with contextlib.suppress(ProcessLookupError):
        while process.returncode is None:
            os.kill(process.pid, signal_number)
            await asyncio.sleep(SERIES_INTERVAL_SECONDS)


async def _exit_status(process: asyncio.subprocess.Process) -> int:
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        return await process.wait()


@pytest.mark.parametrize("signal_number", SIGNALS)
@async_test
async def test_no_series_of_signals_during_the_end_ends_it(
    tmp_path: Path, signal_number: signal.Signals
) -> None:
    for _ in range(ROUNDS):
        async with _gateway(tmp_path) as process:
            await listen_port(process)
            process.send_signal(signal.SIGTERM)
            sender = asyncio.get_running_loop().create_task(_send_repeatedly(process, signal_number))
            assert await _exit_status(process) == 0
            await sender


@pytest.mark.parametrize("signal_number", [signal.SIGHUP, signal.SIGUSR1])
@async_test
async def test_no_series_from_its_first_instants_on_ends_it(
    tmp_path: Path, signal_number: signal.Signals
) -> None:
    for _ in range(ROUNDS):
        async with _gateway(tmp_path) as process:
            await wait_until(lambda: _blocks(process, signal.SIGTERM))
            sender = asyncio.get_running_loop().create_task(_send_repeatedly(process, signal_number))
            assert await up_status(await listen_port(process)) == 503
            process.send_signal(signal.SIGTERM)
            assert await _exit_status(process) == 0
            await sender


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGINT])
@async_test
async def test_an_end_that_is_asked_for_in_the_first_instants_is_an_end_in_order(
    tmp_path: Path, signal_number: signal.Signals
) -> None:
    """It is held until the process can act on it, and not lost."""
    for _ in range(ROUNDS):
        async with _gateway(tmp_path) as process:
            await wait_until(lambda: _blocks(process, signal.SIGTERM))
            process.send_signal(signal_number)
            await wait_for_log(process, "stopping")
            assert await _exit_status(process) == 0


@async_test
async def test_no_series_during_its_end_ends_a_sidecar(tmp_path: Path) -> None:
    async with scripted_servers(never_answers) as (host,):
        write_configs(tmp_path, host)
        for signal_number in SIGNALS:
            async with running_sidecar(tmp_path / "plain.toml") as process:
                client = await connect(tmp_path / "plain.toml")
                client.close()
                process.send_signal(signal.SIGTERM)
                sender = asyncio.get_running_loop().create_task(_send_repeatedly(process, signal_number))
                assert await _exit_status(process) == 0
                await sender


@async_test
async def test_calls_that_are_asked_for_in_a_series_are_made_seldom_and_the_last_is_made() -> None:
    loop, made = asyncio.get_running_loop(), []
    call = CoalescedCall(loop, lambda: made.append(asked), interval=0.05)
    for asked in range(100):  # noqa: B007 - what the call sees
        call.request()
    assert made == [0], "the first at once"
    await wait_until(lambda: len(made) == 2)
    assert made[-1] == 99, "and one for all the others"
    call.request()
    call.stop()
    await asyncio.sleep(0.1)
    assert len(made) == 2


@async_test
async def test_a_series_that_asks_for_events_does_not_hold_up_requests(tmp_path: Path) -> None:
    """Found by the soak: each SIGUSR1 wrote thousands of lines, and answers came 0.6 s late."""
    async with _gateway(tmp_path) as process:
        port = await listen_port(process)
        assert await up_status(port) == 503
        for _ in range(200):
            os.kill(process.pid, signal.SIGUSR1)
            await asyncio.sleep(SERIES_INTERVAL_SECONDS)
        process.send_signal(signal.SIGTERM)
        assert process.stderr is not None
        log_text = (await process.stderr.read()).decode()
        assert await _exit_status(process) == 0
        assert 1 <= log_text.count("events; invariants violated") <= 4
