"""Processes to measure a gateway with: hosts and discovery, a minimal forwarder, clients in a closed loop.

`Farm` starts and ends them. All listen on loopback and live no longer than the measurement.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import httptools

ROOT = Path(__file__).parent.parent
UP_WITHIN = 30.0  # seconds
CLASSES = [
    {"name": "page-read", "effect": "idempotent", "giveUp": 1_500_000, "onTime": 400_000, "worth": 3.0},
    {"name": "chapter-buy", "effect": "at_most_once", "giveUp": 2_000_000, "onTime": 400_000, "worth": 8.0},
]
PERMISSIONS = {"maxAttempts": 5, "mayDuplicate": True, "cancelling": True}


class _Host(asyncio.Protocol):
    """Answers each request at once, or after a time of its own."""

    answer = b""
    delay = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self._seen = b""

    def data_received(self, data: bytes) -> None:
        self._seen += data
        while b"\r\n\r\n" in self._seen:
            head, _, rest = self._seen.partition(b"\r\n\r\n")
            length = _length(head)
            if len(rest) < length:
                return
            self._seen = rest[length:]
            if self.delay:
                self._loop.call_later(self.delay, self._transport.write, self.answer)
            else:
                self._transport.write(self.answer)


def _length(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0


class _Discovery(asyncio.Protocol):
    told = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        self._transport.write(head + b"%x\r\n%b\r\n" % (len(self.told), self.told))
        self._beat()

    def _beat(self) -> None:
        if not self._transport.is_closing():
            self._transport.write(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(2, self._beat)


async def _hosts(ports: Sequence[int], discovery: int, listed: int, body: int, delay: float) -> None:
    """So many hosts are listed; those beyond the ports share them, under ids of their own."""
    loop = asyncio.get_running_loop()
    _Host.answer = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n" % body
    _Host.answer += b"x" * body
    _Host.delay = delay
    for port in ports:
        await loop.create_server(_Host, "127.0.0.1", port)
    members = [
        {"id": f"s-{place}", "host_port": f"127.0.0.1:{ports[place % len(ports)]}", "phase": "Ready"}
        for place in range(listed)
    ]
    told = {"revision": 1, "complete": True, "members": members}
    _Discovery.told = json.dumps(told).encode() + b"\n"
    await loop.create_server(_Discovery, "127.0.0.1", discovery)
    await asyncio.Event().wait()


class _Up(asyncio.Protocol):
    def __init__(self) -> None:
        self.client: asyncio.Transport | None = None
        self._done = False
        self._begin()

    def _begin(self) -> None:
        self._parser, self._body, self._done = httptools.HttpResponseParser(self), b"", False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self._done = True

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)
        if self._done and self.client is not None:
            client, self.client, body = self.client, None, self._body
            self._begin()
            _Forwarder.pool.append(self)
            client.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))


class _Forwarder(asyncio.Protocol):
    """The least that a forwarder on this loop and parser does; the measure for all that a gateway adds."""

    pool: list[_Up] = []  # noqa: RUF012
    ports: Sequence[int] = ()
    count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._parser = httptools.HttpRequestParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def on_url(self, url: bytes) -> None:
        self._url = url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))

    def on_message_complete(self) -> None:
        text = b"GET %b HTTP/1.1\r\n" % self._url
        text += b"".join(b"%b: %b\r\n" % header for header in self._headers) + b"\r\n"
        self._headers = []
        if _Forwarder.pool:
            up = _Forwarder.pool.pop()
            up.client = self._transport
            up.transport.write(text)
        else:
            task = asyncio.ensure_future(self._connect(text))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect(self, text: bytes) -> None:
        _Forwarder.count += 1
        port = self.ports[_Forwarder.count % len(self.ports)]
        _, up = await asyncio.get_running_loop().create_connection(_Up, "127.0.0.1", port)
        up.client = self._transport
        up.transport.write(text)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)


async def _forward(port: int, ports: Sequence[int]) -> None:
    _Forwarder.ports = ports
    await asyncio.get_running_loop().create_server(_Forwarder, "127.0.0.1", port)
    await asyncio.Event().wait()


class _Asker(asyncio.Protocol):
    """Asks again as soon as it has its answer."""

    served = others = 0

    def __init__(self, name: str, post: int) -> None:
        self._name, self._post = name, post
        self._count = 0
        self._seen = b""
        self._awaited = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._ask()

    def _ask(self) -> None:
        self._count += 1
        self._transport.write(request_text(f"{self._name}-{self._count}", self._post))

    def data_received(self, data: bytes) -> None:
        self._seen += data
        if not self._awaited:
            end = self._seen.find(b"\r\n\r\n")
            if end < 0:
                return
            self._awaited = end + 4 + _length(self._seen[:end])
        if len(self._seen) >= self._awaited:
            if self._seen.startswith(b"HTTP/1.1 200"):
                _Asker.served += 1
            else:
                _Asker.others += 1
            self._seen, self._awaited = b"", 0
            self._ask()


def request_text(name: str, post: int = 0) -> bytes:
    """A request as the platform's clients write it; with a body of so many bytes it is a purchase."""
    kind = "chapter-buy" if post else "page-read"
    head = f"{'POST' if post else 'GET'} /{kind}/x HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {name}\r\n"
    head += f"X-Class: {kind}\r\nX-Deadline: 1.500\r\nX-Tenant: acme\r\nX-Key: 7f3a9c21\r\n"
    length = f"Content-Length: {post}\r\n" if post else ""
    return (head + length + "\r\n").encode() + b"x" * post


async def _ask(port: int, connections: int, seconds: float, post: int) -> None:
    loop = asyncio.get_running_loop()
    for place in range(connections):
        name = f"{os.getpid()}-{place}"
        await loop.create_connection(lambda name=name: _Asker(name, post), "127.0.0.1", port)  # type: ignore[misc]
    await asyncio.sleep(seconds)
    print(_Asker.served, _Asker.others)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def cpu_seconds(pid: int) -> float:
    """CPU that a process has used, user and system."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_kib(pid: int) -> int:
    """Resident memory of a process."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1])


@dataclass
class Farm:
    """A gateway, the hosts behind it, and whatever else a measurement starts."""

    port: int
    forwarder: int
    pids: dict[str, int]
    children: list[subprocess.Popen[bytes]] = field(default_factory=list)

    def load(self, port: int, connections: int, seconds: float, post: int = 0) -> tuple[int, int]:
        """Let clients ask in a closed loop; how many were served, and how many not."""
        command = [sys.executable, "-m", "benchmarks.farm", "ask"]
        command += [str(port), str(connections), str(seconds), str(post)]
        output = subprocess.run(command, cwd=ROOT, capture_output=True, check=True, text=True).stdout
        served, others = output.split()
        return int(served), int(others)


def gateway_command(project: Path) -> list[str]:
    """How to start the gateway of a checkout: as it was built last, else from its sources.

    In the environment COPPERLEAD_SOURCES=1 takes the sources of any.
    """
    built = project / ".venv" / "bin" / "python"
    if (
        (project / "deploy" / "build").exists()
        and built.exists()
        and not os.environ.get("COPPERLEAD_SOURCES")
    ):
        subprocess.run(["deploy/build"], cwd=project, check=True)
        return [str(built), "-P", "-m", "whinrouter"]
    return [sys.executable, "-m", "whinrouter"]


@contextmanager
def farm(
    hosts: int = 12,
    body: int = 2000,
    delay: float = 0.0,
    sockets: int = 1024,
    project: Path = ROOT,
    environment: dict[str, str] | None = None,
    settings: dict[str, object] | None = None,
) -> Iterator[Farm]:
    """Start them, wait until the gateway is up, and end them; `project` holds the gateway to measure."""
    ports = [free_port() for _ in range(min(hosts, 12))]
    discovery, listen, plain = free_port(), free_port(), free_port()
    here = [sys.executable, "-m", "benchmarks.farm"]
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        told = {"classes": CLASSES, "permissions": PERMISSIONS, **(settings or {})}
        known = {"listen": f"127.0.0.1:{listen}", "discovery": f"127.0.0.1:{discovery}", "seed": "1"}
        config.write_text(json.dumps({**known, "limits": {"sockets": sockets}, "settings": told}))
        names = list(map(str, ports))
        commands = {
            "hosts": [*here, "hosts", str(discovery), str(hosts), str(body), str(delay), *names],
            "forwarder": [*here, "forward", str(plain), *names],
            "gateway": gateway_command(project),
        }
        children = {
            name: subprocess.Popen(
                command,
                cwd=project if name == "gateway" else ROOT,
                env={**os.environ, "PROXY_CONFIG": str(config), **(environment or {})},
                stderr=subprocess.DEVNULL,
            )
            for name, command in commands.items()
        }
        try:
            for port in (listen, plain, discovery, *ports):
                _wait_for(port)
            time.sleep(0.5)  # the first list of hosts
            pids = {name: child.pid for name, child in children.items()}
            yield Farm(listen, plain, pids, list(children.values()))
        finally:
            for child in children.values():
                child.kill()
                child.wait()


def _wait_for(port: int) -> None:
    due = time.monotonic() + UP_WITHIN
    while True:
        try:
            socket.create_connection(("127.0.0.1", port), timeout=1).close()
            return
        except OSError:
            if time.monotonic() > due:
                raise
            time.sleep(0.02)


def main() -> None:
    role, *told = sys.argv[1:]
    if role == "hosts":
        discovery, listed, body, delay, *ports = told
        asyncio.run(_hosts([int(p) for p in ports], int(discovery), int(listed), int(body), float(delay)))
    elif role == "forward":
        port, *ports = told
        asyncio.run(_forward(int(port), [int(p) for p in ports]))
    elif role == "ask":
        port, connections, seconds, post = told
        asyncio.run(_ask(int(port), int(connections), float(seconds), int(post)))


if __name__ == "__main__":
    main()
