"""What clients see of upgrades: the program started again beside itself, under load.

    python -m benchmarks.upgrade            20 upgrades with the snapshot, then 20 without
    python -m benchmarks.upgrade --quick    fewer

A client keeps asking on each of some connections. An upgrade starts a process at the same listening socket,
waits for its yes, and ends the older one. Counted: answers other than 200, connections that ended under a
request, the longest time without any answer, and the 99th percentile of answers in the second before and
the second behind each yes. Without the snapshot the new process finds no older one to ask (its TMPDIR is
its own).
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

from benchmarks.farm import CLASSES, PERMISSIONS, ROOT, farm, free_port, gateway_command, request_text

CLIENTS = 12
SETTLE = 1.5  # seconds between upgrades
UP_WITHIN = 10.0


@dataclass
class Seen:
    """What the clients saw."""

    answers: list[tuple[float, float]] = field(default_factory=list)  # when each came, and what it took
    others: int = 0  # answers that were no 200
    ended: int = 0  # connections that ended under a request

    def tail(self, since: float, until: float) -> float:
        """The 99th percentile of what answers took, in milliseconds; 0 if there were none."""
        took = sorted(taken for at, taken in self.answers if since <= at < until)
        return 1000 * took[int(0.99 * (len(took) - 1))] if took else 0.0

    @property
    def gap(self) -> float:
        """The longest time without an answer, in milliseconds."""
        times = sorted(at for at, _ in self.answers)
        return 1000 * max((b - a for a, b in zip(times, times[1:], strict=False)), default=0.0)  # noqa: RUF007


async def _client(port: int, name: str, seen: Seen, over: asyncio.Event) -> None:
    count = 0
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    while not over.is_set():
        count += 1
        begun = time.monotonic()
        try:
            writer.write(request_text(f"{name}-{count}"))
            head = await reader.readuntil(b"\r\n\r\n")
            length = next(line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length"))
            await reader.readexactly(int(length.partition(b":")[2]))
        except (ConnectionError, asyncio.IncompleteReadError):
            seen.ended += 1
            head = b"connection: close"
        else:
            seen.answers.append((time.monotonic(), time.monotonic() - begun))
            seen.others += b" 200 " not in head[:20]
        if b"connection: close" in head.lower():
            writer.close()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(0.005)
    writer.close()


async def _healthy(control: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", control)
        writer.write(b"HEALTH\n")
        answer = await reader.read()
        writer.close()
    except OSError:
        return False
    return answer.startswith(b"+OK")


def _start(folder: Path, listener: socket.socket, told: dict[str, object], tmp: Path) -> tuple[int, int]:
    """Start a process; its id and the port of its calls."""
    control = free_port()
    config = folder / "config.json"
    config.write_text(json.dumps(told))
    environment = {
        **os.environ,
        "PROXY_CONFIG": str(config),
        "PROXY_CONTROL": f"127.0.0.1:{control}",
        "PROXY_SOCKET_FD": str(listener.fileno()),
        "TMPDIR": str(tmp),
    }
    child = subprocess.Popen(
        gateway_command(ROOT),
        cwd=ROOT,
        env=environment,
        pass_fds=(listener.fileno(),),
        stderr=subprocess.DEVNULL,
    )
    return child.pid, control


async def _up(control: int) -> None:
    async with asyncio.timeout(UP_WITHIN):
        while not await _healthy(control):
            await asyncio.sleep(0.02)


async def _play(upgrades: int, snapshot: bool, members: list[dict[str, object]]) -> str:
    seen, over = Seen(), asyncio.Event()
    before: list[float] = []
    behind: list[float] = []
    ready: list[float] = []
    with (
        tempfile.TemporaryDirectory() as name,
        socket.create_server(("127.0.0.1", 0), backlog=512) as listener,
    ):
        folder, port = Path(name), listener.getsockname()[1]
        told: dict[str, object] = {
            "name": "n0",
            "listen": f"127.0.0.1:{port}",
            "discovery": "127.0.0.1:1",
            "seed": "1",
            "known": {"revision": 1, "complete": True, "members": members},
            "settings": {"classes": CLASSES, "permissions": PERMISSIONS},
        }
        pid, control = _start(folder, listener, told, folder)
        await _up(control)
        clients = [asyncio.create_task(_client(port, f"c{c}", seen, over)) for c in range(CLIENTS)]
        await asyncio.sleep(SETTLE)
        for place in range(upgrades):
            tmp = folder if snapshot else folder / str(place)
            tmp.mkdir(exist_ok=True)
            begun = time.monotonic()
            fresh, control = _start(folder, listener, told, tmp)
            await _up(control)
            yes = time.monotonic()
            ready.append(yes - begun)
            os.kill(pid, signal.SIGTERM)
            await asyncio.sleep(SETTLE)
            before.append(seen.tail(begun - 1, begun))
            behind.append(seen.tail(yes, yes + 1))
            os.waitpid(pid, 0)
            pid = fresh
        over.set()
        await asyncio.gather(*clients)
        os.kill(pid, signal.SIGKILL)
        os.waitpid(pid, 0)
    middle = upgrades // 2
    return (
        f"{upgrades} upgrades {'with' if snapshot else 'without'} the snapshot: {len(seen.answers)} answers, "
        f"{seen.others} no 200, {seen.ended} ended under a request, longest gap {seen.gap:.0f} ms, "
        f"ready after {sorted(ready)[middle]:.2f} s, 99th percentile {sorted(before)[middle]:.0f} ms in the "
        f"second before, {sorted(behind)[middle]:.0f} ms behind"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--quick", action="store_true")
    count = 5 if parser.parse_args().quick else 20
    with farm(hosts=8, delay=0.03) as here:
        members = _members(here.pids["hosts"])
        for snapshot in (True, False):
            print(asyncio.run(_play(count, snapshot, members)))


def _members(pid: int) -> list[dict[str, object]]:
    """The hosts of a farm, by what it was started with."""
    told = Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0")
    ports = [int(port) for port in told[told.index(b"hosts") + 5 :] if port]
    return [
        {"id": f"s-{place}", "host_port": f"127.0.0.1:{port}", "phase": "Ready"}
        for place, port in enumerate(ports)
    ]


if __name__ == "__main__":
    main()
