"""What passing on large answers costs, beside a bare relay in the same run.

    python -m benchmarks.streaming            MB a second of CPU, peak memory, and who waits beside them
    python -m benchmarks.streaming --quick    the same with fewer answers

Three parts: answers of 32 MB one behind the other, through the gateway and through a relay that knows no
HTTP, by the CPU that each takes; 64 such answers at once to clients that read at a few MB a second, by the
gateway's peak memory; and the slowest of ordinary requests asked beside those.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from benchmarks.farm import CLASSES, PERMISSIONS, ROOT, cpu_seconds, free_port, gateway_command, request_text

SIZE = 32 * 1024 * 1024
PIECE = bytes(64 * 1024)
AT_ONCE = 64
PAUSE = 0.02  # seconds between the reads of a slow client
SMALL = b"/page-read/small"

_names = itertools.count()


async def _host(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers with 32 MB, or with two bytes where that is asked for."""
    try:
        while head := await reader.readuntil(b"\r\n\r\n"):
            if SMALL in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % SIZE)
            for _ in range(SIZE // len(PIECE)):
                writer.write(PIECE)
                await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def _serve_hosts(ports: list[int]) -> None:
    for port in ports:
        await asyncio.start_server(_host, "127.0.0.1", port)
    await asyncio.Event().wait()


async def _relay(port: int, to: int) -> None:
    """Bytes from one side to the other, and nothing else."""

    async def pipe(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(len(PIECE)):
            writer.write(data)
            await writer.drain()
        writer.close()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        there, back = await asyncio.open_connection("127.0.0.1", to, limit=len(PIECE))
        await asyncio.gather(pipe(reader, back), pipe(there, writer), return_exceptions=True)

    await asyncio.start_server(serve, "127.0.0.1", port, limit=len(PIECE))
    await asyncio.Event().wait()


@contextmanager
def _started() -> Iterator[tuple[dict[str, subprocess.Popen[bytes]], int, int]]:
    ports = [free_port() for _ in range(8)]
    listen, plain = free_port(), free_port()
    members = [
        {"id": f"s-{place}", "host_port": f"127.0.0.1:{port}", "phase": "Ready"}
        for place, port in enumerate(ports)
    ]
    told = {
        "listen": f"127.0.0.1:{listen}",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "known": {"revision": 1, "complete": True, "members": members},
        "settings": {"classes": CLASSES, "permissions": PERMISSIONS},
    }
    here = [sys.executable, "-m", "benchmarks.streaming", "--role"]
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        config.write_text(json.dumps(told))
        commands = {
            "hosts": [*here, "hosts", *map(str, ports)],
            "relay": [*here, "relay", str(plain), str(ports[0])],
            "gateway": gateway_command(ROOT),
        }
        environment = {**os.environ, "PROXY_CONFIG": str(config)}
        children = {
            name: subprocess.Popen(command, cwd=ROOT, env=environment, stderr=subprocess.DEVNULL)
            for name, command in commands.items()
        }
        try:
            asyncio.run(_until_up([*ports, listen, plain]))
            yield children, listen, plain
        finally:
            for child in children.values():
                child.kill()
                child.wait()


async def _until_up(ports: list[int]) -> None:
    for port in ports:
        async with asyncio.timeout(30):
            while True:
                try:
                    _, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.close()
                    break
                except OSError:
                    await asyncio.sleep(0.02)


def _text(small: bool = False) -> bytes:
    text = request_text(f"{os.getpid()}-{next(_names)}")
    return text.replace(b"/page-read/x", SMALL) if small else text


async def _fetch(port: int, pause: float = 0.0) -> None:
    """One answer of 32 MB, whole; ConnectionError if it is not."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=2 * len(PIECE))
    writer.write(_text())
    head = await reader.readuntil(b"\r\n\r\n")
    if b" 200 " not in head:
        raise ConnectionError(head.split(b"\r\n", 1)[0].decode())
    left = SIZE
    while left:
        data = await reader.read(min(left, len(PIECE)))
        if not data:
            raise ConnectionError("it ended early")
        left -= len(data)
        if pause:
            await asyncio.sleep(pause)
    writer.close()


def _mb_per_cpu_second(pid: int, port: int, count: int) -> float:
    before = cpu_seconds(pid)

    async def fetch() -> None:
        for _ in range(count):
            await _fetch(port)

    asyncio.run(fetch())
    return count * SIZE / 1e6 / max(0.01, cpu_seconds(pid) - before)


def peak_memory_mb(pid: int) -> float:
    """The most resident memory that a process has had."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmHWM")).split()[1]) / 1024


async def _beside(port: int, seconds: float) -> tuple[int, int, float]:
    """Answers that came whole and that did not, and the slowest ordinary request beside them, in seconds."""
    slow = [asyncio.create_task(_fetch(port, PAUSE)) for _ in range(AT_ONCE)]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    worst, until = 0.0, time.monotonic() + seconds
    while time.monotonic() < until:
        begun = time.monotonic()
        writer.write(_text(small=True))
        await reader.readuntil(b"\r\n\r\nok")
        worst = max(worst, time.monotonic() - begun)
        await asyncio.sleep(0.01)
    writer.close()
    done = await asyncio.gather(*slow, return_exceptions=True)
    broken = sum(isinstance(result, BaseException) for result in done)
    return len(done) - broken, broken, worst


def measure(quick: bool) -> str:
    """The line that tells it."""
    count = 6 if quick else 30
    with _started() as (children, listen, plain):
        ours = _mb_per_cpu_second(children["gateway"].pid, listen, count)
        bare = _mb_per_cpu_second(children["relay"].pid, plain, count)
        whole, broken, worst = asyncio.run(_beside(listen, 5.0 if quick else 15.0))
        memory = peak_memory_mb(children["gateway"].pid)
    return (
        f"{ours:.0f} MB a second of CPU beside {bare:.0f} of a bare relay; "
        f"{whole} of {whole + broken} answers of 32 MB at once came whole, in {memory:.0f} MB at most; "
        f"slowest ordinary request beside them {worst * 1000:.0f} ms"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--role", nargs="+", help=argparse.SUPPRESS)
    told = parser.parse_args()
    if told.role is None:
        print(measure(told.quick))
    elif told.role[0] == "hosts":
        asyncio.run(_serve_hosts([int(port) for port in told.role[1:]]))
    else:
        asyncio.run(_relay(int(told.role[1]), int(told.role[2])))


if __name__ == "__main__":
    main()
