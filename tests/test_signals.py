"""Repeated signals in the first instants of a process and during its shutdown do not kill it.

The failure: SIGTERM, then SIGHUP or SIGTERM every 2 ms until the exit, killed 12 of 12 processes (exit -1 and
-15), as the loop restores the default action when it closes and the interpreter takes time to exit after
that. SIGHUP every 5 ms from the start killed 12 of 12, as the signal was not blocked before the imports.
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
SERIES_INTERVAL_SECONDS = 0.002  # between two signals


def _command() -> str:
    """Return the command of the deploy file, with the interpreter and the package that are tested."""
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
    """Return whether the started program blocks this signal, as the system reports.

    The shell that starts it also blocks signals for an instant while it forks; only the program keeps them
    blocked.
    """
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    status = dict(line.split(":\t", 1) for line in lines if ":\t" in line)
    return status["Name"] != "sh" and bool(int(status["SigBlk"], 16) >> (signal_number - 1) & 1)


async def _send_repeatedly(process: asyncio.subprocess.Process, signal_number: signal.Signals) -> None:
    """Send one signal after the other for as long as the process exists.

    `os.kill` is used because `Popen.send_signal` polls the process and would take its exit status from the
    task that waits for it ("Unknown child process", 255).
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
async def test_repeated_signals_during_the_shutdown_do_not_kill_the_process(
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
async def test_repeated_signals_from_the_first_instants_do_not_kill_the_process(
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
async def test_a_stop_signal_in_the_first_instants_leads_to_a_clean_exit(
    tmp_path: Path, signal_number: signal.Signals
) -> None:
    """The signal stays pending until the process can handle it."""
    for _ in range(ROUNDS):
        async with _gateway(tmp_path) as process:
            await wait_until(lambda: _blocks(process, signal.SIGTERM))
            process.send_signal(signal_number)
            await wait_for_log(process, "stopping")
            assert await _exit_status(process) == 0


@async_test
async def test_repeated_signals_during_the_shutdown_do_not_kill_a_sidecar(tmp_path: Path) -> None:
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
async def test_repeated_requests_are_coalesced_and_the_last_one_runs() -> None:
    loop, runs = asyncio.get_running_loop(), []
    call = CoalescedCall(loop, lambda: runs.append(request_index), interval=0.05)
    for request_index in range(100):  # noqa: B007 - read by the call
        call.request()
    assert runs == [0], "the first request runs at once"
    await wait_until(lambda: len(runs) == 2)
    assert runs[-1] == 99, "one run for all the others"
    call.request()
    call.stop()
    await asyncio.sleep(0.1)
    assert len(runs) == 2


@async_test
async def test_repeated_requests_for_events_do_not_delay_answers(tmp_path: Path) -> None:
    """Found by the soak: each SIGUSR1 wrote thousands of lines, and answers were 0.6 s late."""
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
