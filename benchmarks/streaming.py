"""Measures the cost of forwarding large answers, compared with a plain relay in the same run.

    python -m benchmarks.streaming            MB per second of CPU, peak memory, latency of other requests
    python -m benchmarks.streaming --quick    the same with fewer answers

Three measurements: the CPU time for answers of 32 MB one after the other, through the gateway and through a
relay without HTTP; the gateway's peak memory with 64 such answers at once to clients that read at a few MB
per second; and the slowest of ordinary requests meanwhile.
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

from benchmarks.farm import (
    CLASSES,
    PERMISSIONS,
    ROOT,
    cpu_seconds,
    encode_request,
    free_port,
    gateway_command,
)

BODY_BYTES = 32 * 1024 * 1024
CHUNK = bytes(64 * 1024)
SLOW_CLIENT_COUNT = 64
READ_PAUSE_SECONDS = 0.02  # between the reads of a slow client
SMALL_PATH = b"/page-read/small"

_request_numbers = itertools.count()


async def _handle_host_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each request with 32 MB, or with two bytes for `SMALL_PATH`."""
    try:
        while head := await reader.readuntil(b"\r\n\r\n"):
            if SMALL_PATH in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES)
            for _ in range(BODY_BYTES // len(CHUNK)):
                writer.write(CHUNK)
                await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def _run_hosts(ports: list[int]) -> None:
    for port in ports:
        await asyncio.start_server(_handle_host_connection, "127.0.0.1", port)
    await asyncio.Event().wait()


async def _run_relay(port: int, host_port: int) -> None:
    """Copy bytes in both directions between clients and a host, without parsing them."""

    async def pipe(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(len(CHUNK)):
            writer.write(data)
            await writer.drain()
        writer.close()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host_reader, host_writer = await asyncio.open_connection("127.0.0.1", host_port, limit=len(CHUNK))
        await asyncio.gather(pipe(reader, host_writer), pipe(host_reader, writer), return_exceptions=True)

    await asyncio.start_server(serve, "127.0.0.1", port, limit=len(CHUNK))
    await asyncio.Event().wait()


@contextmanager
def _run_processes() -> Iterator[tuple[dict[str, subprocess.Popen[bytes]], int, int]]:
    """Run hosts, a relay and a gateway; yields the processes, the gateway's port and the relay's port."""
    ports = [free_port() for _ in range(8)]
    gateway_port, relay_port = free_port(), free_port()
    members = [
        {"id": f"s-{index}", "host_port": f"127.0.0.1:{port}", "phase": "Ready"}
        for index, port in enumerate(ports)
    ]
    config_document = {
        "listen": f"127.0.0.1:{gateway_port}",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "known": {"revision": 1, "complete": True, "members": members},
        "settings": {"classes": CLASSES, "permissions": PERMISSIONS},
    }
    module_command = [sys.executable, "-m", "benchmarks.streaming", "--role"]
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        config.write_text(json.dumps(config_document))
        commands = {
            "hosts": [*module_command, "hosts", *map(str, ports)],
            "relay": [*module_command, "relay", str(relay_port), str(ports[0])],
            "gateway": gateway_command(ROOT),
        }
        environment = {**os.environ, "PROXY_CONFIG": str(config)}
        children = {
            name: subprocess.Popen(command, cwd=ROOT, env=environment, stderr=subprocess.DEVNULL)
            for name, command in commands.items()
        }
        try:
            asyncio.run(_wait_until_listening([*ports, gateway_port, relay_port]))
            yield children, gateway_port, relay_port
        finally:
            for child in children.values():
                child.kill()
                child.wait()


async def _wait_until_listening(ports: list[int]) -> None:
    for port in ports:
        async with asyncio.timeout(30):
            while True:
                try:
                    _, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.close()
                    break
                except OSError:
                    await asyncio.sleep(0.02)


def _request_bytes(is_small: bool = False) -> bytes:
    request_bytes = encode_request(f"{os.getpid()}-{next(_request_numbers)}")
    return request_bytes.replace(b"/page-read/x", SMALL_PATH) if is_small else request_bytes


async def _fetch(port: int, pause: float = 0.0) -> None:
    """Read a whole answer of 32 MB; ConnectionError if its status is not 200 or it is incomplete."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=2 * len(CHUNK))
    writer.write(_request_bytes())
    head = await reader.readuntil(b"\r\n\r\n")
    if b" 200 " not in head:
        raise ConnectionError(head.split(b"\r\n", 1)[0].decode())
    bytes_left = BODY_BYTES
    while bytes_left:
        data = await reader.read(min(bytes_left, len(CHUNK)))
        if not data:
            raise ConnectionError("the connection ended before the end of the answer")
        bytes_left -= len(data)
        if pause:
            await asyncio.sleep(pause)
    writer.close()


def _mb_per_cpu_second(pid: int, port: int, count: int) -> float:
    """Return how many MB a process forwards per second of its CPU time."""
    cpu_before = cpu_seconds(pid)

    async def fetch() -> None:
        for _ in range(count):
            await _fetch(port)

    asyncio.run(fetch())
    return count * BODY_BYTES / 1e6 / max(0.01, cpu_seconds(pid) - cpu_before)


def peak_memory_mb(pid: int) -> float:
    """Return the peak resident memory of a process in MiB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmHWM")).split()[1]) / 1024


async def _measure_beside_streams(port: int, seconds: float) -> tuple[int, int, float]:
    """Stream to slow clients and send ordinary requests meanwhile.

    Return the numbers of complete and incomplete streams, and the slowest ordinary request in seconds.
    """
    streams = [asyncio.create_task(_fetch(port, READ_PAUSE_SECONDS)) for _ in range(SLOW_CLIENT_COUNT)]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    slowest, until = 0.0, time.monotonic() + seconds
    while time.monotonic() < until:
        started_at = time.monotonic()
        writer.write(_request_bytes(is_small=True))
        await reader.readuntil(b"\r\n\r\nok")
        slowest = max(slowest, time.monotonic() - started_at)
        await asyncio.sleep(0.01)
    writer.close()
    results = await asyncio.gather(*streams, return_exceptions=True)
    failed = sum(isinstance(result, BaseException) for result in results)
    return len(results) - failed, failed, slowest


def measure(quick: bool) -> str:
    """Run all measurements and return the line to print."""
    count = 6 if quick else 30
    with _run_processes() as (children, gateway_port, relay_port):
        gateway_rate = _mb_per_cpu_second(children["gateway"].pid, gateway_port, count)
        relay_rate = _mb_per_cpu_second(children["relay"].pid, relay_port, count)
        succeeded, failed, slowest = asyncio.run(
            _measure_beside_streams(gateway_port, 5.0 if quick else 15.0)
        )
        memory = peak_memory_mb(children["gateway"].pid)
    return (
        f"{gateway_rate:.0f} MB per second of CPU, a plain relay {relay_rate:.0f}; "
        f"{succeeded} of {succeeded + failed} simultaneous answers of 32 MB complete, "
        f"in at most {memory:.0f} MB; "
        f"slowest ordinary request meanwhile {slowest * 1000:.0f} ms"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--role", nargs="+", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.role is None:
        print(measure(arguments.quick))
    elif arguments.role[0] == "hosts":
        asyncio.run(_run_hosts([int(port) for port in arguments.role[1:]]))
    else:
        asyncio.run(_run_relay(int(arguments.role[1]), int(arguments.role[2])))


if __name__ == "__main__":
    main()
