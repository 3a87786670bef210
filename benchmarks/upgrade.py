"""Measures what clients notice of upgrades under load, when a new process replaces the one that serves.

    python -m benchmarks.upgrade            20 upgrades with the snapshot, then 20 without
    python -m benchmarks.upgrade --quick    5 of each

Each client sends one request after the other on a connection. An upgrade starts a process at the same
listening socket, waits until it reports to be healthy, and ends the older one. Counted are answers other than
200 and connections that ended during a request; measured are the longest time without any answer, and the
99th percentile of the answer times in the second before each start and in the second after the new process is
healthy. Without the snapshot, the new process has a TMPDIR of its own and so finds no older process to ask.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.farm import (
    CLASSES,
    PERMISSIONS,
    ROOT,
    encode_request,
    free_port,
    gateway_command,
    run_testbed,
)

CLIENT_COUNT = 12
SETTLE_SECONDS = 1.5  # between upgrades
START_TIMEOUT_SECONDS = 10.0


@dataclass
class ClientStats:
    """The results of all clients."""

    answers: list[tuple[float, float]] = field(default_factory=list)  # the time of each, and its duration
    failed: int = 0  # answers other than 200
    broken: int = 0  # connections that ended during a request

    def p99_ms(self, since: float, until: float) -> float:
        """Return the 99th percentile of the answer times in a span, in milliseconds; 0 without answers."""
        times = sorted(elapsed for answered_at, elapsed in self.answers if since <= answered_at < until)
        return 1000 * times[int(0.99 * (len(times) - 1))] if times else 0.0

    @property
    def longest_gap_ms(self) -> float:
        """The longest time between two answers, in milliseconds."""
        times = sorted(answered_at for answered_at, _ in self.answers)
        return 1000 * max(
            (later - earlier for earlier, later in zip(times, times[1:], strict=False)),  # noqa: RUF007
            default=0.0,
        )


async def _client(port: int, name: str, stats: ClientStats, stopped: asyncio.Event) -> None:
    """Send requests one after the other until stopped, and record the results."""
    count = 0
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    while not stopped.is_set():
        count += 1
        started_at = time.monotonic()
        try:
            writer.write(encode_request(f"{name}-{count}"))
            head = await reader.readuntil(b"\r\n\r\n")
            length = next(line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length"))
            await reader.readexactly(int(length.partition(b":")[2]))
        except (ConnectionError, asyncio.IncompleteReadError):
            stats.broken += 1
            head = b"connection: close"
        else:
            stats.answers.append((time.monotonic(), time.monotonic() - started_at))
            stats.failed += b" 200 " not in head[:20]
        if b"connection: close" in head.lower():
            writer.close()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(0.005)
    writer.close()


async def _is_healthy(control_port: int) -> bool:
    """Return whether the process answers HEALTH with +OK."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", control_port)
        writer.write(b"HEALTH\n")
        answer = await reader.read()
        writer.close()
    except OSError:
        return False
    return answer.startswith(b"+OK")


def _start(
    folder: Path, listener: socket.socket, config_document: dict[str, object], temporary_folder: Path
) -> tuple[int, int]:
    """Start a gateway process; return its id and the port for operators' calls."""
    control_port = free_port()
    config = folder / "config.json"
    config.write_text(json.dumps(config_document))
    environment = {
        **os.environ,
        "PROXY_CONFIG": str(config),
        "PROXY_CONTROL": f"127.0.0.1:{control_port}",
        "PROXY_SOCKET_FD": str(listener.fileno()),
        "TMPDIR": str(temporary_folder),
    }
    child = subprocess.Popen(
        gateway_command(ROOT),
        cwd=ROOT,
        env=environment,
        pass_fds=(listener.fileno(),),
        stderr=subprocess.DEVNULL,
    )
    return child.pid, control_port


async def _wait_until_healthy(control_port: int) -> None:
    async with asyncio.timeout(START_TIMEOUT_SECONDS):
        while not await _is_healthy(control_port):
            await asyncio.sleep(0.02)


async def _measure_upgrades(upgrades: int, with_snapshot: bool, members: list[dict[str, object]]) -> str:
    """Run upgrades under load; return the line to print."""
    stats, stopped = ClientStats(), asyncio.Event()
    p99_before: list[float] = []
    p99_after: list[float] = []
    ready_seconds: list[float] = []
    with (
        tempfile.TemporaryDirectory() as name,
        socket.create_server(("127.0.0.1", 0), backlog=512) as listener,
    ):
        folder, port = Path(name), listener.getsockname()[1]
        config_document: dict[str, object] = {
            "name": "n0",
            "listen": f"127.0.0.1:{port}",
            "discovery": "127.0.0.1:1",
            "seed": "1",
            "known": {"revision": 1, "complete": True, "members": members},
            "settings": {"classes": CLASSES, "permissions": PERMISSIONS},
        }
        pid, control_port = _start(folder, listener, config_document, folder)
        await _wait_until_healthy(control_port)
        clients = [
            asyncio.create_task(_client(port, f"c{number}", stats, stopped)) for number in range(CLIENT_COUNT)
        ]
        await asyncio.sleep(SETTLE_SECONDS)
        for index in range(upgrades):
            temporary_folder = folder if with_snapshot else folder / str(index)
            temporary_folder.mkdir(exist_ok=True)
            started_at = time.monotonic()
            newer_pid, control_port = _start(folder, listener, config_document, temporary_folder)
            await _wait_until_healthy(control_port)
            healthy_at = time.monotonic()
            ready_seconds.append(healthy_at - started_at)
            os.kill(pid, signal.SIGTERM)
            await asyncio.sleep(SETTLE_SECONDS)
            p99_before.append(stats.p99_ms(started_at - 1, started_at))
            p99_after.append(stats.p99_ms(healthy_at, healthy_at + 1))
            os.waitpid(pid, 0)
            pid = newer_pid
        stopped.set()
        await asyncio.gather(*clients)
        os.kill(pid, signal.SIGKILL)
        os.waitpid(pid, 0)
    median_index = upgrades // 2
    return (
        f"{upgrades} upgrades {'with' if with_snapshot else 'without'} the snapshot: "
        f"{len(stats.answers)} answers, "
        f"{stats.failed} not 200, {stats.broken} connections ended during a request, "
        f"longest gap {stats.longest_gap_ms:.0f} ms, "
        f"ready after {sorted(ready_seconds)[median_index]:.2f} s, "
        f"99th percentile {sorted(p99_before)[median_index]:.0f} ms in the second before, "
        f"{sorted(p99_after)[median_index]:.0f} ms in the second after"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--quick", action="store_true")
    count = 5 if parser.parse_args().quick else 20
    with run_testbed(hosts=8, delay=0.03) as testbed:
        members = _members(testbed.pids["hosts"])
        for with_snapshot in (True, False):
            print(asyncio.run(_measure_upgrades(count, with_snapshot, members)))


def _members(pid: int) -> list[dict[str, object]]:
    """Return the list of a testbed's hosts, from the command line of their process."""
    arguments = Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0")
    ports = [int(port) for port in arguments[arguments.index(b"hosts") + 5 :] if port]
    return [
        {"id": f"s-{index}", "host_port": f"127.0.0.1:{port}", "phase": "Ready"}
        for index, port in enumerate(ports)
    ]


if __name__ == "__main__":
    main()
