"""The gateway processes of a soak: started, reloaded, upgraded, put aside, ended and killed."""

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
from benchmarks.soak.hosts import COLD_SHARE, FALL_MULTIPLE, FALL_TIME, RAMP
from benchmarks.soak.ledger import Violation

STOP_TIME = max(rules.deadline for rules in CLASSES) + 0.7  # from SIGTERM to SIGKILL
CALL_TIME = 1.0  # within which a call is answered
SERIES, SERIES_EVERY = 100, 0.003  # signals of one series, and the seconds between two
START_SERIES = (signal.SIGHUP, signal.SIGUSR1)
END_SERIES = (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1, signal.SIGHUP)
_EFFECTS = {"read": "idempotent", "buy": "at_most_once", "order": "deduplicated"}


def command(tree: Path) -> str:
    """The deploy file's own line, with this interpreter and the sources of a checkout."""
    run: str = tomllib.loads((tree / "deploy" / "balancer.toml").read_text())["run"]
    return run.replace(".venv/bin/python", sys.executable)


# Ports under those that the system gives to outgoing connections, in slices for soaks that run side by side.
FIRST_PORT, SLICE, SLICES = 10_000, 550, 40


class Ports:
    """A slice of ports that no other soak takes from while this one holds the first of them."""

    def __init__(self) -> None:
        for slice_number in range(SLICES):
            first = FIRST_PORT + slice_number * SLICE
            with contextlib.suppress(OSError):
                self._held = socket.create_server(("127.0.0.1", first), reuse_port=False)
                self._ports = itertools.count(first + 1)
                return
        raise RuntimeError("every slice of ports is taken")

    def free(self) -> int:
        """A port that nobody listens at, and that no outgoing connection is given meanwhile."""
        for port in self._ports:
            with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
                return port
        raise AssertionError("itertools.count ends")


def settings(rank: int, gateways: int, attempts: int) -> dict[str, Any]:
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
                "keyTtl": round(rules.window * 1e6),
            }
            for rules in CLASSES
        ],
        "permissions": {
            "cancelling": True,
            "mayDuplicate": True,
            "connIdle": 60_000_000,
            "dialTimeout": 200_000,
            "maxAttempts": attempts,
        },
        "invariants": {
            "coldFrom": COLD_SHARE,
            "rampTime": round(RAMP * 1e6),
            "fallMultiple": FALL_MULTIPLE,
            "fall": round(FALL_TIME * 1e6),
        },
    }


@dataclass(slots=True, eq=False)
class GatewayProcess:
    """One gateway, and the process that serves for it now."""

    rank: int
    gateways: int
    folder: Path
    tree: Path
    agent: Agent
    extra: dict[str, str]
    on_kill: Callable[[int], None]
    ports: Ports
    shared: socket.socket | None = None  # its listening socket, where it can be upgraded
    port: int = 0
    control: int = 0
    process: asyncio.subprocess.Process | None = None
    is_up: bool = False
    is_stopping: bool = False
    busy: bool = False  # a trouble has it
    attempts: int = 4
    starts: int = 0  # processes that were started
    processes: list[asyncio.subprocess.Process] = field(default_factory=list)  # all of them
    has_signals: Callable[[], bool] = bool  # whether signals come in series
    is_ending: bool = False  # it has had SIGTERM, and lives
    _annoying: list[asyncio.Task[None]] = field(default_factory=list)
    faults: list[Violation] = field(default_factory=list)

    @property
    def log(self) -> Path:
        return self.folder / f"gateway-{self.rank}.log"

    def _config(self) -> Path:
        path = self.folder / f"config-{self.rank}.json"
        told = {
            "name": f"n{self.rank}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.agent.port}",
            "seed": f"{self.rank}-{os.getpid()}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 0, "complete": True, "members": []},
            "settings": settings(self.rank, self.gateways, self.attempts),
        }
        fresh = path.with_suffix(".new")
        fresh.write_bytes(orjson.dumps(told))
        fresh.rename(path)
        return path

    async def start(self) -> None:
        """Start a process; it is the one that serves from now on."""
        self.port = self.port or (self.shared.getsockname()[1] if self.shared else self.ports.free())
        self.control = self.ports.free()
        self.starts += 1
        own = self.folder / f"tmp-{self.rank}"
        own.mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(self.tree),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PROXY_CONFIG": str(self._config()),
            "PROXY_CONTROL": f"127.0.0.1:{self.control}",
            "TMPDIR": str(own),
            **self.extra,
        }
        fds: tuple[int, ...] = ()
        if self.shared is not None:
            environment["PROXY_SOCKET_FD"] = str(self.shared.fileno())
            fds = (self.shared.fileno(),)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command(self.tree), env=environment, stderr=log, pass_fds=fds
            )
        self.processes.append(self.process)
        if self.has_signals():
            self._annoying.append(asyncio.create_task(self._annoy(self.process, START_SERIES)))

    async def _annoy(self, process: asyncio.subprocess.Process, numbers: tuple[signal.Signals, ...]) -> None:
        """Signals in series, from the instant at which the shell has given way to the program."""
        name = Path(f"/proc/{process.pid}/comm")
        while process.returncode is None and name.exists() and name.read_text().strip() == "sh":
            await asyncio.sleep(SERIES_EVERY)
        for place in range(SERIES):
            if process.returncode is not None:
                return
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, numbers[place % len(numbers)])
            await asyncio.sleep(SERIES_EVERY)

    async def call(self, line: str, control: int = 0) -> str:
        """An operator's call; an empty answer if there was none."""
        try:
            async with asyncio.timeout(CALL_TIME):
                reader, writer = await asyncio.open_connection("127.0.0.1", control or self.control)
                writer.write(f"{line}\n".encode())
                answer = (await reader.readline()).decode().strip()
                writer.close()
                return answer
        except (OSError, TimeoutError):
            return ""

    async def until_healthy(self, seconds: float = 10.0) -> bool:
        """Whether its newest process can serve within so many seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while not (await self.call("HEALTH")).startswith("+OK"):
                    await asyncio.sleep(0.05)
                return True
        return False

    def kill(self) -> None:
        self.is_up = False
        if self.process is not None and self.process.returncode is None:
            self.on_kill(self.rank)
            self.process.kill()

    def write_events(self) -> None:
        """Have the process write its latest events to its log."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGUSR1)

    def kill_all(self) -> None:
        """Leave nothing behind, however the soak ended."""
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()

    async def end(self, process: asyncio.subprocess.Process) -> None:
        """SIGTERM, then SIGKILL in its time; a process that it finds is none of ours to excuse."""
        if process.returncode is not None:
            self.faults.append(Violation("crash", "", f"gateway {self.rank}: exit {process.returncode}"))
            return
        process.send_signal(signal.SIGTERM)
        self.is_ending = True
        if self.has_signals():
            self._annoying.append(asyncio.create_task(self._annoy(process, END_SERIES)))
        try:
            async with asyncio.timeout(STOP_TIME):
                status = await process.wait()
            if status:
                self.faults.append(Violation("crash", "", f"gateway {self.rank}: exit {status}"))
        except TimeoutError:
            process.kill()
            await process.wait()
        self.is_ending = False

    async def stop(self) -> None:
        """A planned restart's first half."""
        self.is_stopping = True
        if self.process is not None:
            await self.end(self.process)
        self.is_up = self.is_stopping = False

    async def upgrade(self) -> None:
        """Start another process beside the one that serves, then end that."""
        older = self.process
        assert older is not None
        await self.start()
        if await self.until_healthy(6.0):
            await self.end(older)
        else:
            self.faults.append(Violation("upgrade", "", f"gateway {self.rank}: no yes within 6 s"))

    async def pause(self, seconds: float) -> None:
        process = self.process
        if process is None or process.returncode is not None:
            return
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)

    async def reload(self, attempts: int) -> None:
        """Another address of discovery and other settings, by SIGHUP; the old address closes."""
        self.attempts = attempts
        await self.agent.listen()
        self._config()
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(1.5)
            self.agent.reset_older()
