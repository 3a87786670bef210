"""The environment of a pressure run: the gateway's process, hosts, discovery, and a sampler of its memory.

Everything listens on loopback. The hosts and discovery run in the event loop of the caller.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.farm import CLASSES, PERMISSIONS, free_port

HOST_COUNT = 12
HOST_SECONDS = 0.01  # that a host takes for an ordinary request
SAMPLE_SECONDS = 0.01  # between two samples of the process's memory
READY_SECONDS = 10.0  # within which a start is ready
KIB = 1024
LONG_ANSWER_BYTES = 2 * 1024 * 1024
LONG_ANSWER_PATH = b"/page-read/long"
SILENT_PATH = b"/chapter-buy/silent"  # requests that get no answer
CHUNK_BYTES = 16 * KIB


class NotReadyError(Exception):
    """The gateway did not become ready in time."""


async def _answer(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Read the request's body and answer it: with a long body for `LONG_ANSWER_PATH`."""
    length, is_chunked = 0, False
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
        is_chunked = is_chunked or line.startswith(b"transfer-encoding:")
    while length:
        length -= len(await _read_some(reader, min(length, CHUNK_BYTES)))
    while is_chunked:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        await reader.readexactly(size + 2)
        is_chunked = size > 0
    if SILENT_PATH in head:
        return
    if LONG_ANSWER_PATH not in head:
        await asyncio.sleep(HOST_SECONDS)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        return
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_ANSWER_BYTES)
    for _ in range(LONG_ANSWER_BYTES // CHUNK_BYTES):
        writer.write(bytes(CHUNK_BYTES))
        await writer.drain()


async def _read_some(reader: asyncio.StreamReader, limit: int) -> bytes:
    data = await reader.read(limit)
    if not data:
        raise ConnectionResetError
    return data


async def _serve_host(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        while True:
            await _answer(await reader.readuntil(b"\r\n\r\n"), reader, writer)
    writer.close()


def _discovery(document: bytes) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%b\r\n" % (len(document), document))
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                writer.write(b"1\r\n\n\r\n")
        writer.close()

    return serve


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process; 0 if it has ended."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except OSError:
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")


@dataclass
class MemorySampler:
    """Records the resident memory of a process over time."""

    pid: int
    at_start: int = 0
    peak: int = 0
    samples: list[tuple[float, int]] = field(default_factory=list)

    async def run(self) -> None:
        """Sample until cancelled."""
        self.at_start = resident_bytes(self.pid)
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_SECONDS)

    def sample(self) -> int:
        """Take one sample and return it."""
        resident = resident_bytes(self.pid)
        self.peak = max(self.peak, resident)
        self.samples.append((time.monotonic(), resident))
        return resident


@dataclass
class PressureRig:
    """A gateway that serves, its memory, and its address."""

    process: asyncio.subprocess.Process
    port: int
    memory: MemorySampler
    log_path: Path

    @property
    def has_ended(self) -> bool:
        """Whether the gateway's process has ended by itself."""
        return self.process.returncode is not None


@asynccontextmanager
async def pressure_rig(
    command: Sequence[str],
    memory_mb: int,
    sockets: int,
    environment: Mapping[str, str] | None = None,
    cwd: Path | None = None,
) -> AsyncIterator[PressureRig]:
    """Run a gateway with these limits behind its hosts; kill it at the end."""
    servers = [
        await asyncio.start_server(_serve_host, "127.0.0.1", 0, backlog=512) for _ in range(HOST_COUNT)
    ]
    members = [
        {"id": f"s-{index}", "host_port": f"127.0.0.1:{server.sockets[0].getsockname()[1]}", "phase": "Ready"}
        for index, server in enumerate(servers)
    ]
    hosts = {"revision": 1, "complete": True, "members": members}
    servers.append(await asyncio.start_server(_discovery(json.dumps(hosts).encode() + b"\n"), "127.0.0.1", 0))
    port = free_port()
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{servers[-1].sockets[0].getsockname()[1]}",
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": hosts,
        "settings": {"classes": CLASSES, "permissions": PERMISSIONS},
    }
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        log_path = Path(folder) / "log"
        with log_path.open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                *command, env={**(environment or {}), "PROXY_CONFIG": str(path)}, stderr=log, cwd=cwd
            )
        sampler = MemorySampler(process.pid)
        sampling: asyncio.Task[None] | None = None
        try:
            await _wait_until_up(port)
            sampling = asyncio.create_task(sampler.run())
            yield PressureRig(process, port, sampler, log_path)
        finally:
            if sampling is not None:
                sampling.cancel()
            if process.returncode is None:
                process.kill()
            await process.wait()
            for server in servers:
                server.close()


async def _wait_until_up(port: int) -> None:
    deadline = time.monotonic() + READY_SECONDS
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            if b" 200 " in line:
                return
        await asyncio.sleep(0.02)
    raise NotReadyError
