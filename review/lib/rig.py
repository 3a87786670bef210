"""Shared parts of the review's cases: the gateway's process, and stand-ins for hosts, discovery and clients.

Everything runs on loopback and on the real clock. A case is an `async def play(rig)` that returns whether
the rule held; `run_case` calls it within a time limit, writes the record, ends all processes and exits:
1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
EXIT_HELD, EXIT_BROKEN, EXIT_COULD_NOT_RUN = 0, 1, 2
READY_SECONDS = 10.0  # within which a gateway is ready, by STANDING.md
HEARTBEAT_SECONDS = 2.0  # between the empty lines of a watch on which nothing changes
UP_REQUEST = b"GET /up HTTP/1.1\r\nHost: api\r\nConnection: close\r\n\r\n"

Headers = dict[str, str]


class CouldNotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


def free_address() -> str:
    """Return an address on loopback whose port is free at present."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def split_address(address: str) -> tuple[str, int]:
    """Split host:port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


@dataclass
class HttpMessage:
    """A request or an answer as it was read; `raw_body` is the decoded body."""

    first_line: str
    headers: Headers
    body: bytes

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first_line.split()[1])


async def read_message(
    reader: asyncio.StreamReader, reads_to_end: bool = False, on_head: Callable[[str], None] | None = None
) -> HttpMessage | None:
    """Read one message; None if the connection ended before its first byte.

    `reads_to_end`: a body without a length ends with the connection. Raises `IncompleteReadError` or
    `ConnectionError` if the connection ended within the message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    first_line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if on_head is not None:
        on_head(first_line)
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif reads_to_end:
        body = await reader.read()
    return HttpMessage(first_line, headers, body)


def encode_answer(status: int, body: bytes = b"", headers: Mapping[str, str] | None = None) -> bytes:
    """Return a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


@dataclass
class Gateway:
    """One process of the gateway, started with the command `run` of the deploy file."""

    process: subprocess.Popen[bytes]
    listen: str
    config_path: Path
    control: str

    def signal(self, number: int) -> None:
        """Send a signal to the process that `run` started."""
        self.process.send_signal(number)

    async def call(self, line: str) -> str:
        """Make an operator's call and return its answer."""
        reader, writer = await asyncio.open_connection(*split_address(self.control))
        try:
            writer.write(line.encode() + b"\n")
            return (await asyncio.wait_for(reader.readline(), 5.0)).decode().strip()
        finally:
            writer.close()


class Rig:
    """The processes, stand-ins and the record of one run."""

    def __init__(self, record_path: Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started_at = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._record = record_path.open("w")
        self._servers: list[asyncio.Server] = []
        self.gateways: list[Gateway] = []
        self.violations: list[str] = []
        with (ROOT / "deploy/balancer.toml").open("rb") as file:
            self._run_command: str = tomllib.load(file)["run"]

    @property
    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self._record.write(f"{self.now:9.4f} {text}\n")
        self._record.flush()

    def violated(self, text: str) -> None:
        """Note that the rule was broken."""
        self.violations.append(text)
        self.note(f"BROKEN: {text}")

    async def serve(self, handler: Callable[..., Awaitable[None]], limit: int = 1 << 20) -> str:
        """Accept connections on a free port of loopback; return its address."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError, TimeoutError, asyncio.CancelledError
            ):
                await handler(reader, writer)
            writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1", 0, limit=limit, backlog=512)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    def start_gateway(
        self,
        name: str,
        config: Mapping[str, Any],
        environment: Mapping[str, str] | None = None,
        pass_fds: tuple[int, ...] = (),
        on_one_core: bool = False,
    ) -> Gateway:
        """Start a gateway; `config` is completed with its name, its addresses and its seed."""
        temporary = self.folder / f"tmp-{config['listen'].replace(':', '-')}"
        temporary.mkdir(exist_ok=True)
        path = self.folder / f"config-{len(self.gateways)}.json"
        full = {"name": name, "seed": f"{time.time_ns():x}", "control": free_address(), **config}
        path.write_text(json.dumps(full))
        log = (self.folder / f"log-{len(self.gateways)}.txt").open("wb")
        process = subprocess.Popen(
            ["/bin/sh", "-c", self._run_command],
            cwd=ROOT,
            env={**os.environ, "PROXY_CONFIG": str(path), "TMPDIR": str(temporary), **(environment or {})},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            pass_fds=pass_fds,
        )
        if on_one_core:
            os.sched_setaffinity(process.pid, {sorted(os.sched_getaffinity(0))[-1]})
        log.close()
        gateway = Gateway(process, full["listen"], path, full["control"])
        self.gateways.append(gateway)
        self.note(f"gateway {name} started, process {process.pid}, clients {gateway.listen}")
        return gateway

    async def wait_until_up(self, gateway: Gateway) -> None:
        """Wait until `GET /up` answers 200; CouldNotRunError if it does not."""
        deadline = self.now + 3 * READY_SECONDS
        while self.now < deadline:
            if gateway.process.poll() is not None:
                break
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                answer = await ask(
                    gateway.listen, b"GET /up HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                )
                if answer is not None and answer.status == 200:
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRunError("the gateway did not come up")

    async def close(self) -> None:
        """End all processes that were started, and put the gateways' logs behind the record."""
        for gateway in self.gateways:
            if gateway.process.poll() is None:
                gateway.process.kill()
            gateway.process.wait()
        for server in self._servers:
            server.close()
        for number in range(len(self.gateways)):
            text = (self.folder / f"log-{number}.txt").read_text(errors="replace")
            self._record.write(f"--- log of gateway process {number}\n{text[-20000:]}\n")
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


async def ask(address: str, request: bytes, seconds: float = 30.0) -> HttpMessage | None:
    """Send one request on a new connection and return the answer; None if there is none."""
    async with connection(address) as (reader, writer):
        writer.write(request)
        return await asyncio.wait_for(read_message(reader, reads_to_end=True), seconds)


@contextlib.asynccontextmanager
async def connection(address: str) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Open a connection and close it at the end."""
    reader, writer = await asyncio.open_connection(*split_address(address), limit=1 << 20)
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        yield reader, writer
    finally:
        writer.close()


def member(
    host_id: str, address: str, phase: str = "Ready", locality: str = "a", **more: Any
) -> dict[str, Any]:
    """Return an entry of discovery's list."""
    entry = {"id": host_id, "host_port": address, "locality": locality, "flavor": "m", "cell": 1}
    return {**entry, "phase": phase, "size": 1.0, "up_since_ms": 0, **more}


@dataclass
class Discovery:
    """Discovery as the protocol page has it: a whole list, then changes, and an empty line every 2 s."""

    rig: Rig
    members: dict[str, dict[str, Any]] = field(default_factory=dict)
    revision: int = 1
    address: str = ""
    watches: set[asyncio.StreamWriter] = field(default_factory=set)
    calls: int = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self.address = await self.rig.serve(self._handle)

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    def change(self, *entries: dict[str, Any]) -> None:
        """Change entries and tell all open watches."""
        self.revision += 1
        for entry in entries:
            if entry["phase"] == "Gone":
                self.members.pop(entry["id"], None)
            else:
                self.members[entry["id"]] = entry
        told = {"revision": self.revision, "complete": False, "members": list(entries)}
        for writer in list(self.watches):
            _write_line(writer, json.dumps(told).encode())

    async def before_answer(self, writer: asyncio.StreamWriter) -> bool:
        """Return whether to answer a call; a case may replace this."""
        return True

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await read_message(reader)
        if request is None:
            return
        self.calls += 1
        self.rig.note(f"discovery: {request.first_line}")
        if not await self.before_answer(writer):
            return
        if "watch=1" not in request.first_line:
            writer.write(encode_answer(200, json.dumps(self.whole_list()).encode()))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        _write_line(writer, json.dumps(self.whole_list()).encode())
        self.watches.add(writer)
        try:
            while not writer.is_closing():
                try:
                    async with asyncio.timeout(HEARTBEAT_SECONDS):
                        if not await reader.read(1):
                            return
                except TimeoutError:
                    _write_line(writer, b"")
        finally:
            self.watches.discard(writer)


def _write_line(writer: asyncio.StreamWriter, line: bytes) -> None:
    line += b"\n"
    writer.write(b"%x\r\n%s\r\n" % (len(line), line))


def run_case(play: Callable[[Rig], Awaitable[None]], folder: Path, seconds: float = 100.0) -> None:
    """Play a case within a time limit and exit with its result."""
    rig = Rig(folder / "record.txt")

    async def run() -> int:
        task = asyncio.ensure_future(play(rig))
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(seconds):
                await task
            return EXIT_BROKEN if rig.violations else EXIT_HELD
        except BaseException:
            rig.note(f"the case could not run:\n{traceback.format_exc()}")
            return EXIT_BROKEN if rig.violations else EXIT_COULD_NOT_RUN
        finally:
            await rig.close()

    code = asyncio.run(run())
    words = {EXIT_HELD: "the rule held", EXIT_BROKEN: "the rule was broken"}
    print(words.get(code, "the case could not run"))
    for text in rig.violations[:5]:
        print(f"  {text}")
    sys.exit(code)
