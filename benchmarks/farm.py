"""Processes for measurements of a gateway: hosts, discovery, a minimal forwarder, clients in a closed loop.

`run_testbed` starts and ends them. All listen on loopback and live no longer than the measurement.
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
START_TIMEOUT_SECONDS = 30.0
CLASSES = [
    {"name": "page-read", "effect": "idempotent", "giveUp": 1_500_000, "onTime": 400_000, "worth": 3.0},
    {"name": "chapter-buy", "effect": "at_most_once", "giveUp": 2_000_000, "onTime": 400_000, "worth": 8.0},
]
PERMISSIONS = {"maxAttempts": 5, "mayDuplicate": True, "cancelling": True}


class _Host(asyncio.Protocol):
    """Answers each request, at once or after a delay."""

    answer = b""
    delay = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self._received = b""

    def data_received(self, data: bytes) -> None:
        self._received += data
        while b"\r\n\r\n" in self._received:
            head, _, rest = self._received.partition(b"\r\n\r\n")
            length = _content_length(head)
            if len(rest) < length:
                return
            self._received = rest[length:]
            if self.delay:
                self._loop.call_later(self.delay, self._transport.write, self.answer)
            else:
                self._transport.write(self.answer)


def _content_length(head: bytes) -> int:
    """Return the value of Content-Length in the head of a message, or 0."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0


class _Discovery(asyncio.Protocol):
    """Answers each request with the list of hosts, and then sends heartbeats."""

    answer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        self._transport.write(head + b"%x\r\n%b\r\n" % (len(self.answer), self.answer))
        self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        if not self._transport.is_closing():
            self._transport.write(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(2, self._send_heartbeat)


async def _run_hosts(
    ports: Sequence[int], discovery_port: int, listed_count: int, body: int, delay: float
) -> None:
    """Run hosts at these ports, and discovery that lists `listed_count` hosts, each with an id of its own.

    Hosts beyond the number of ports share them. `body` is the number of bytes in an answer's body; `delay` is
    in seconds.
    """
    loop = asyncio.get_running_loop()
    _Host.answer = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n" % body
    _Host.answer += b"x" * body
    _Host.delay = delay
    for port in ports:
        await loop.create_server(_Host, "127.0.0.1", port)
    members = [
        {"id": f"s-{index}", "host_port": f"127.0.0.1:{ports[index % len(ports)]}", "phase": "Ready"}
        for index in range(listed_count)
    ]
    document = {"revision": 1, "complete": True, "members": members}
    _Discovery.answer = json.dumps(document).encode() + b"\n"
    await loop.create_server(_Discovery, "127.0.0.1", discovery_port)
    await asyncio.Event().wait()


class _UpstreamConnection(asyncio.Protocol):
    """The forwarder's connection to a host; it returns to the pool after each answer."""

    def __init__(self) -> None:
        self.client: asyncio.Transport | None = None
        self._is_complete = False
        self._reset()

    def _reset(self) -> None:
        self._parser, self._body, self._is_complete = httptools.HttpResponseParser(self), b"", False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self._is_complete = True

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)
        if self._is_complete and self.client is not None:
            client, self.client, body = self.client, None, self._body
            self._reset()
            _Forwarder.pool.append(self)
            client.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))


class _Forwarder(asyncio.Protocol):
    """Does the least work of a forwarder with this loop and parser: the baseline for a gateway's cost."""

    pool: list[_UpstreamConnection] = []  # noqa: RUF012
    ports: Sequence[int] = ()
    connection_count = 0

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
        request_bytes = b"GET %b HTTP/1.1\r\n" % self._url
        request_bytes += b"".join(b"%b: %b\r\n" % header for header in self._headers) + b"\r\n"
        self._headers = []
        if _Forwarder.pool:
            upstream = _Forwarder.pool.pop()
            upstream.client = self._transport
            upstream.transport.write(request_bytes)
        else:
            task = asyncio.ensure_future(self._connect(request_bytes))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect(self, request_bytes: bytes) -> None:
        _Forwarder.connection_count += 1
        port = self.ports[_Forwarder.connection_count % len(self.ports)]
        _, upstream = await asyncio.get_running_loop().create_connection(
            _UpstreamConnection, "127.0.0.1", port
        )
        upstream.client = self._transport
        upstream.transport.write(request_bytes)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)


async def _run_forwarder(port: int, ports: Sequence[int]) -> None:
    """Run the forwarder, which distributes its connections over these hosts' ports."""
    _Forwarder.ports = ports
    await asyncio.get_running_loop().create_server(_Forwarder, "127.0.0.1", port)
    await asyncio.Event().wait()


class _Client(asyncio.Protocol):
    """Sends its next request as soon as it has an answer."""

    served = failed = 0

    def __init__(self, name: str, post: int) -> None:
        self._name, self._post = name, post
        self._count = 0
        self._received = b""
        self._answer_length = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._send()

    def _send(self) -> None:
        self._count += 1
        self._transport.write(encode_request(f"{self._name}-{self._count}", self._post))

    def data_received(self, data: bytes) -> None:
        self._received += data
        if not self._answer_length:
            end = self._received.find(b"\r\n\r\n")
            if end < 0:
                return
            self._answer_length = end + 4 + _content_length(self._received[:end])
        if len(self._received) >= self._answer_length:
            if self._received.startswith(b"HTTP/1.1 200"):
                _Client.served += 1
            else:
                _Client.failed += 1
            self._received, self._answer_length = b"", 0
            self._send()


def encode_request(name: str, post: int = 0) -> bytes:
    """Return a request as the platform's clients write it; with a body of `post` bytes it is a purchase."""
    request_class = "chapter-buy" if post else "page-read"
    head = (
        f"{'POST' if post else 'GET'} /{request_class}/x HTTP/1.1\r\n"
        f"Host: api.internal\r\nX-Request-Id: {name}\r\n"
    )
    head += f"X-Class: {request_class}\r\nX-Deadline: 1.500\r\nX-Tenant: acme\r\nX-Key: 7f3a9c21\r\n"
    length = f"Content-Length: {post}\r\n" if post else ""
    return (head + length + "\r\n").encode() + b"x" * post


async def _run_clients(port: int, connections: int, seconds: float, post: int) -> None:
    """Run clients for a time, and print how many requests were served and how many were not."""
    loop = asyncio.get_running_loop()
    for index in range(connections):
        name = f"{os.getpid()}-{index}"
        await loop.create_connection(
            lambda name=name: _Client(name, post),  # type: ignore[misc]
            "127.0.0.1",
            port,
        )
    await asyncio.sleep(seconds)
    print(_Client.served, _Client.failed)


def free_port() -> int:
    """Return a port on loopback that is free at present."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, user and system, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_kib(pid: int) -> int:
    """Return the resident memory of a process in KiB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1])


@dataclass
class Testbed:
    """A gateway, the hosts behind it, and a forwarder to compare it with."""

    gateway_port: int
    forwarder_port: int
    pids: dict[str, int]  # by name: hosts, forwarder, gateway
    children: list[subprocess.Popen[bytes]] = field(default_factory=list)

    def load(self, port: int, connections: int, seconds: float, post: int = 0) -> tuple[int, int]:
        """Run clients in a closed loop; return the numbers of requests that were served and that were not."""
        command = [sys.executable, "-m", "benchmarks.farm", "ask"]
        command += [str(port), str(connections), str(seconds), str(post)]
        output = subprocess.run(command, cwd=ROOT, capture_output=True, check=True, text=True).stdout
        served, failed = output.split()
        return int(served), int(failed)


def gateway_command(project: Path) -> list[str]:
    """Return the command that starts a checkout's gateway: as it was built last, else from its sources.

    COPPERLEAD_SOURCES=1 in the environment selects the sources even if there is a build.
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
def run_testbed(
    hosts: int = 12,
    body: int = 2000,
    delay: float = 0.0,
    sockets: int = 1024,
    project: Path = ROOT,
    environment: dict[str, str] | None = None,
    settings: dict[str, object] | None = None,
) -> Iterator[Testbed]:
    """Start the processes, wait until all of them listen, and end them on leaving the context.

    `project` is the checkout whose gateway is measured, `body` the bytes in an answer's body, and `delay` the
    seconds that a host takes for an answer. `hosts` beyond 12 share the ports of the first 12.
    """
    ports = [free_port() for _ in range(min(hosts, 12))]
    discovery_port, gateway_port, forwarder_port = free_port(), free_port(), free_port()
    module_command = [sys.executable, "-m", "benchmarks.farm"]
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        gateway_settings = {"classes": CLASSES, "permissions": PERMISSIONS, **(settings or {})}
        base_config = {
            "listen": f"127.0.0.1:{gateway_port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": "1",
        }
        config.write_text(
            json.dumps({**base_config, "limits": {"sockets": sockets}, "settings": gateway_settings})
        )
        host_ports = list(map(str, ports))
        commands = {
            "hosts": [
                *module_command,
                "hosts",
                str(discovery_port),
                str(hosts),
                str(body),
                str(delay),
                *host_ports,
            ],
            "forwarder": [*module_command, "forward", str(forwarder_port), *host_ports],
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
            for port in (gateway_port, forwarder_port, discovery_port, *ports):
                _wait_for_listener(port)
            time.sleep(0.5)  # until the gateway has received the list of hosts
            pids = {name: child.pid for name, child in children.items()}
            yield Testbed(gateway_port, forwarder_port, pids, list(children.values()))
        finally:
            for child in children.values():
                child.kill()
                child.wait()


def _wait_for_listener(port: int) -> None:
    """Wait until a port accepts connections; OSError if it does not in time."""
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while True:
        try:
            socket.create_connection(("127.0.0.1", port), timeout=1).close()
            return
        except OSError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.02)


def main() -> None:
    role, *arguments = sys.argv[1:]
    if role == "hosts":
        discovery_port, listed_count, body, delay, *ports = arguments
        asyncio.run(
            _run_hosts(
                [int(p) for p in ports], int(discovery_port), int(listed_count), int(body), float(delay)
            )
        )
    elif role == "forward":
        port, *ports = arguments
        asyncio.run(_run_forwarder(int(port), [int(p) for p in ports]))
    elif role == "ask":
        port, connections, seconds, post = arguments
        asyncio.run(_run_clients(int(port), int(connections), float(seconds), int(post)))


if __name__ == "__main__":
    main()
