"""The gateway processes of a soak: start, reload, upgrade, pause, stop and kill them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import signal
import socket
import sys
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from benchmarks.soak.clients import CLASSES
from benchmarks.soak.discovery import Agent
from benchmarks.soak.hosts import (
    COLD_OVERLOAD_MULTIPLE,
    COLD_OVERLOAD_WINDOW_SECONDS,
    COLD_SHARE,
    RAMP_SECONDS,
)
from benchmarks.soak.ledger import Violation

STOP_TIMEOUT_SECONDS = max(rules.deadline for rules in CLASSES) + 0.7  # from SIGTERM to SIGKILL
CALL_TIMEOUT_SECONDS = 1.0  # for an operator's call
SIGNAL_COUNT, SIGNAL_INTERVAL_SECONDS = 100, 0.003  # of one series of signals
START_SIGNALS = (signal.SIGHUP, signal.SIGUSR1)
STOP_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1, signal.SIGHUP)
_EFFECTS = {"read": "idempotent", "buy": "at_most_once", "order": "deduplicated"}


def gateway_command(tree: Path) -> str:
    """Return the `run` command of a checkout's deploy file, with this interpreter instead of the built one.

    The sources of the checkout are run: `start` puts them on PYTHONPATH.
    """
    command: str = tomllib.loads((tree / "deploy" / "balancer.toml").read_text())["run"]
    return command.replace(".venv/bin/python", sys.executable)


# Ports below the range for outgoing connections, in slices so that several soaks can run at the same time.
FIRST_PORT, SLICE_SIZE, SLICE_COUNT = 10_000, 550, 40


class Ports:
    """A slice of ports, locked against other soaks by listening at its first port.

    The constructor raises RuntimeError if every slice is in use.
    """

    def __init__(self) -> None:
        for slice_number in range(SLICE_COUNT):
            first = FIRST_PORT + slice_number * SLICE_SIZE
            with contextlib.suppress(OSError):
                self._lock = socket.create_server(("127.0.0.1", first), reuse_port=False)
                self._ports = itertools.count(first + 1)
                return
        raise RuntimeError("every slice of ports is in use")

    def next_free(self) -> int:
        """Return a port without a listener; the system gives it to no outgoing connection meanwhile."""
        for port in self._ports:
            with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
                return port
        raise AssertionError("itertools.count ends")


def gateway_settings(rank: int, gateways: int, max_attempts: int) -> dict[str, Any]:
    """Return a gateway's settings, which agree with the simulated clients and hosts."""
    return {
        "balancers": gateways,
        "rank": rank,
        "locality": "ab"[rank % 2],
        "classes": [
            {
                "name": rules.name,
                "effect": _EFFECTS[rules.name],
                "giveUp": round(rules.deadline * 1e6),
                "onTime": 300_000,
                "worth": 3.0,
                "group": "zone",
                "keyTtl": round(rules.dedup_window * 1e6),
            }
            for rules in CLASSES
        ],
        "permissions": {
            "cancelling": True,
            "mayDuplicate": True,
            "connIdle": 60_000_000,
            "dialTimeout": 200_000,
            "maxAttempts": max_attempts,
        },
        "invariants": {
            "coldFrom": COLD_SHARE,
            "rampTime": round(RAMP_SECONDS * 1e6),
            "fallMultiple": COLD_OVERLOAD_MULTIPLE,
            "fall": round(COLD_OVERLOAD_WINDOW_SECONDS * 1e6),
        },
    }


@dataclass(slots=True, eq=False)
class GatewayProcess:
    """One gateway, and the process that serves for it at present."""

    rank: int
    gateways: int
    folder: Path
    tree: Path
    agent: Agent
    extra_environment: dict[str, str]
    on_kill: Callable[[int], None]
    ports: Ports
    shared_socket: socket.socket | None = None  # inherited listening socket; such a gateway can be upgraded
    port: int = 0
    control_port: int = 0
    process: asyncio.subprocess.Process | None = None
    is_up: bool = False
    is_stopping: bool = False
    is_busy: bool = False  # a disruption has reserved it
    max_attempts: int = 4
    start_count: int = 0  # processes started so far
    processes: list[asyncio.subprocess.Process] = field(default_factory=list)  # all that were started
    has_signals: Callable[[], bool] = bool  # whether the "signals" disruption is active
    is_ending: bool = False  # SIGTERM has been sent and a process is still running
    _signal_tasks: list[asyncio.Task[None]] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)

    @property
    def log(self) -> Path:
        """The file with the log of all processes of this gateway."""
        return self.folder / f"gateway-{self.rank}.log"

    def _write_config(self) -> Path:
        """Replace the configuration file atomically, and return its path."""
        path = self.folder / f"config-{self.rank}.json"
        config = {
            "name": f"n{self.rank}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.agent.port}",
            "seed": f"{self.rank}-{os.getpid()}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 0, "complete": True, "members": []},
            "settings": gateway_settings(self.rank, self.gateways, self.max_attempts),
        }
        temporary = path.with_suffix(".new")
        temporary.write_bytes(orjson.dumps(config))
        temporary.rename(path)
        return path

    async def start(self) -> None:
        """Start a process and make it the one that the other methods refer to."""
        self.port = self.port or (
            self.shared_socket.getsockname()[1] if self.shared_socket else self.ports.next_free()
        )
        self.control_port = self.ports.next_free()
        self.start_count += 1
        temporary_folder = self.folder / f"tmp-{self.rank}"
        temporary_folder.mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(self.tree),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PROXY_CONFIG": str(self._write_config()),
            "PROXY_CONTROL": f"127.0.0.1:{self.control_port}",
            "TMPDIR": str(temporary_folder),
            **self.extra_environment,
        }
        fds: tuple[int, ...] = ()
        if self.shared_socket is not None:
            environment["PROXY_SOCKET_FD"] = str(self.shared_socket.fileno())
            fds = (self.shared_socket.fileno(),)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", gateway_command(self.tree), env=environment, stderr=log, pass_fds=fds
            )
        self.processes.append(self.process)
        if self.has_signals():
            self._signal_tasks.append(asyncio.create_task(self._send_signals(self.process, START_SIGNALS)))

    async def _send_signals(
        self, process: asyncio.subprocess.Process, signals: tuple[signal.Signals, ...]
    ) -> None:
        """Send a series of signals, beginning as soon as the shell has been replaced by the program."""
        command_name = Path(f"/proc/{process.pid}/comm")
        while (
            process.returncode is None and command_name.exists() and command_name.read_text().strip() == "sh"
        ):
            await asyncio.sleep(SIGNAL_INTERVAL_SECONDS)
        for index in range(SIGNAL_COUNT):
            if process.returncode is not None:
                return
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signals[index % len(signals)])
            await asyncio.sleep(SIGNAL_INTERVAL_SECONDS)

    async def call(self, line: str, control_port: int = 0) -> str:
        """Return the answer to an operator's call; empty if there was none in time."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection("127.0.0.1", control_port or self.control_port)
                writer.write(f"{line}\n".encode())
                answer = (await reader.readline()).decode().strip()
                writer.close()
                return answer
        except (OSError, TimeoutError):
            return ""

    async def wait_until_healthy(self, seconds: float = 10.0) -> bool:
        """Return whether the newest process answers HEALTH with +OK within this time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while not (await self.call("HEALTH")).startswith("+OK"):
                    await asyncio.sleep(0.05)
                return True
        return False

    def kill(self) -> None:
        """Send SIGKILL to the process that serves, and waive the answers that it owes."""
        self.is_up = False
        if self.process is not None and self.process.returncode is None:
            self.on_kill(self.rank)
            self.process.kill()

    def log_events(self) -> None:
        """Make the process write its latest events to its log."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGUSR1)

    def kill_all(self) -> None:
        """Kill every process that is still running, however the soak ended."""
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()

    async def end(self, process: asyncio.subprocess.Process) -> None:
        """Send SIGTERM, and SIGKILL after the stop timeout.

        An exit before SIGTERM or with a status other than 0 is recorded as a crash. A process that has to be
        killed here waives no answers.
        """
        if process.returncode is not None:
            self.violations.append(Violation("crash", "", f"gateway {self.rank}: exit {process.returncode}"))
            return
        process.send_signal(signal.SIGTERM)
        self.is_ending = True
        if self.has_signals():
            self._signal_tasks.append(asyncio.create_task(self._send_signals(process, STOP_SIGNALS)))
        try:
            async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                status = await process.wait()
            if status:
                self.violations.append(Violation("crash", "", f"gateway {self.rank}: exit {status}"))
        except TimeoutError:
            process.kill()
            await process.wait()
        self.is_ending = False

    async def stop(self) -> None:
        """End the process, as the first half of a planned restart."""
        self.is_stopping = True
        if self.process is not None:
            await self.end(self.process)
        self.is_up = self.is_stopping = False

    async def upgrade(self) -> None:
        """Start a new process beside the one that serves, then end the older one."""
        older = self.process
        assert older is not None
        await self.start()
        if await self.wait_until_healthy(6.0):
            await self.end(older)
        else:
            self.violations.append(
                Violation("upgrade", "", f"gateway {self.rank}: the new process was not healthy within 6 s")
            )

    async def pause(self, seconds: float) -> None:
        """Stop the process by SIGSTOP for a time."""
        process = self.process
        if process is None or process.returncode is not None:
            return
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)

    async def reload(self, max_attempts: int) -> None:
        """Change the discovery address and the settings by SIGHUP, then close watches at the old address."""
        self.max_attempts = max_attempts
        await self.agent.listen()
        self._write_config()
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(1.5)
            self.agent.reset_older()
