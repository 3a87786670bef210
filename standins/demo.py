"""A demonstration: the example's sidecar between stand-in hosts and a few clients, with one line a second.

    ./demo [SECONDS]

Every few seconds one of the hosts gets another fault, or recovers from it.
"""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

from standins import control
from whinrouter.operator.loading import load

ROOT = Path(__file__).parent.parent
CONFIGURATION = ROOT / "deploy" / "example" / "reader.toml"
CONTROL_PORT = 7100
CLIENTS = 20
MEAN_REQUEST_INTERVAL = 0.05  # seconds between the requests of one client
PURCHASE_SHARE = 0.2  # of the requests
FAULT_INTERVAL = 4.0  # seconds
FAULT_COMMANDS = ("mode {} slow", "mode {} serve", "mode {} reset", "mode {} serve", "down {}", "up {}")
START_TIMEOUT = 10.0  # seconds
ANSWER_TIMEOUT = 10.0  # seconds; twice the longest deadline of a class


class Clients:
    """Clients of the sidecar, with counts of the outcomes of their requests."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.counts: Counter[str] = Counter()
        self.slowest = 0.0  # seconds

    async def run(self) -> None:
        """Run one client until cancelled; it reconnects after a lost connection."""
        while True:
            try:
                await self._run_connection()
            except (OSError, asyncio.IncompleteReadError):
                self.counts["lost"] += 1

    async def _run_connection(self) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        try:
            while True:
                await asyncio.sleep(random.expovariate(1 / MEAN_REQUEST_INTERVAL))
                is_purchase = random.random() < PURCHASE_SHARE
                line = "POST /chapter-buy/7" if is_purchase else "GET /page-read/7?page=4"
                started = time.monotonic()
                writer.write(f"{line} HTTP/1.1\r\nHost: fleet\r\nContent-Length: 0\r\n\r\n".encode())
                async with asyncio.timeout(ANSWER_TIMEOUT):
                    head = await reader.readuntil(b"\r\n\r\n")
                    length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
                    await reader.readexactly(length)
                self.slowest = max(self.slowest, time.monotonic() - started)
                status = int(head.split(b" ")[1])
                self.counts["served" if status == 200 else "refused" if status == 503 else "failed"] += 1
        finally:
            writer.close()


async def inject_faults(ports: list[int]) -> None:
    """Inject a fault into one host and remove it again, then go on with the next host and fault."""
    step = 0
    while True:
        await asyncio.sleep(FAULT_INTERVAL)
        line = FAULT_COMMANDS[step % len(FAULT_COMMANDS)].format(ports[step // 2 % len(ports)])
        await control.send_command(CONTROL_PORT, line)
        print(f"  host: {line}", flush=True)
        step += 1


async def wait_for_port(port: int) -> None:
    """Wait until a port of loopback accepts connections; TimeoutError after START_TIMEOUT."""
    async with asyncio.timeout(START_TIMEOUT):
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                return
            except OSError:
                await asyncio.sleep(0.05)


async def run_load(seconds: float) -> None:
    """Run the clients and print a line a second; without end if `seconds` is 0."""
    model = load(CONFIGURATION).model
    assert model.listen.address is not None
    ports = [host.port for host in model.discovery.hosts]
    for port in (CONTROL_PORT, *ports, model.listen.address.port):
        await wait_for_port(port)
    clients = Clients(model.listen.address.port)
    tasks = [asyncio.create_task(clients.run()) for _ in range(CLIENTS)]
    tasks.append(asyncio.create_task(inject_faults(ports)))
    started = time.monotonic()
    while not seconds or time.monotonic() < started + seconds:
        await asyncio.sleep(1)
        counts = ", ".join(
            f"{clients.counts[outcome]} {outcome}" for outcome in ("served", "refused", "failed", "lost")
        )
        print(
            f"{time.monotonic() - started:4.0f} s: {counts}; slowest {clients.slowest * 1000:.0f} ms",
            flush=True,
        )
        clients.counts.clear()
        clients.slowest = 0.0
    for task in tasks:
        task.cancel()
    for port in ports:
        print(f"host {port}: {await control.send_command(CONTROL_PORT, f'count {port}')}")


def main() -> int:
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 0.0
    model = load(CONFIGURATION).model
    ports = [str(host.port) for host in model.discovery.hosts]
    commands = [
        [sys.executable, "-m", "standins.web", str(CONTROL_PORT), *ports],
        [sys.executable, "-m", "whinrouter.operator.cli", "run", "--operator", str(CONFIGURATION)],
    ]
    children = [subprocess.Popen(command, cwd=ROOT) for command in commands]
    try:
        asyncio.run(run_load(seconds))
    except KeyboardInterrupt:
        print()
    except TimeoutError:
        print(
            "the hosts or the sidecar did not start in time; check that the example's ports are free",
            file=sys.stderr,
        )
        return 1
    finally:
        for child in children:
            child.terminate()
            child.wait()
    return 0


if __name__ == "__main__":
    sys.exit(main())
