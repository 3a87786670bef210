"""Counts the requests that are forwarded although their client left while they waited, and how late.

    python -m benchmarks.leaving            25 cases of each of eight scenarios, half by FIN and half by RST
    python -m benchmarks.leaving --quick    5 of each

The gateway runs in its own process; clients and hosts run in this one, on real sockets. Each scenario is a
way in which a request waits. It is produced from outside, by the peers, so that it does not depend on how the
gateway is built. A case counts if its request had not been forwarded when its client left; it is late if a
host receives the request more than 0.1 s after that.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.farm import ROOT, free_port, gateway_command

LATE_SECONDS = 0.1  # the operators' limit for an attempt after its client has left
CLASSES = [
    {"name": "read", "effect": "idempotent", "giveUp": 20_000_000, "onTime": 400_000, "worth": 3.0},
    {"name": "buy", "effect": "at_most_once", "giveUp": 20_000_000, "onTime": 400_000, "worth": 8.0},
]
PERMISSIONS = {
    "maxAttempts": 5, "mayDuplicate": True, "cancelling": True, "dialTimeout": 3_000_000,
}  # fmt: skip
NOT_RUN_ANSWER = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
SMALL_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npage"
LARGE_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n" + bytes(8_000_000)


@dataclass
class HostLog:
    """The times at which hosts received each request, and the connections, by request id."""

    received_at: dict[str, list[float]] = field(default_factory=dict)
    writers: dict[str, asyncio.StreamWriter] = field(default_factory=dict)

    async def host(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Record requests, and answer none: a scenario writes the answers that it needs."""
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while data := await reader.read(1 << 16):
                now = time.monotonic()
                for line in data.split(b"\r\n"):
                    name, _, value = line.partition(b": ")
                    if name.lower() == b"x-request-id":
                        self.received_at.setdefault(value.decode(), []).append(now)
                        self.writers[value.decode()] = writer
        writer.close()

    async def wait_for(self, *ids: str) -> None:
        """Wait until hosts have received each of these requests."""
        while any(name not in self.received_at for name in ids):
            await asyncio.sleep(0.005)


@dataclass
class CaseLog:
    """When the client of each case left, and how often its request may have been forwarded by then."""

    left_at: dict[str, float] = field(default_factory=dict)
    sends_expected: int = 0

    def disconnect(self, name: str, client: socket.socket, is_reset: bool) -> None:
        """Close a client's connection, by RST or by FIN, and record when."""
        if is_reset:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.close()
        self.left_at[name] = time.monotonic()


@dataclass
class Scenario:
    """A gateway in front of hosts that are reachable, or that complete no connection yet."""

    host_log: HostLog
    port: int
    pid: int
    case_count: int
    accept_connections: Callable[[], None]  # lets the hosts complete connections

    def client(self, receive_buffer: int = 0) -> socket.socket:
        """Return a new connection to the gateway, with a receive buffer of this size if one is given."""
        client = socket.socket()
        if receive_buffer:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        client.connect(("127.0.0.1", self.port))
        return client


def request_bytes(
    name: str, request_class: str = "read", body: int = 0, sent_bytes: int | None = None
) -> bytes:
    """Return a request with the first `sent_bytes` bytes of its body; None: the whole body."""
    method = "GET" if request_class == "read" else "POST"
    head = (
        f"{method} /{request_class} HTTP/1.1\r\n"
        f"Host: a\r\nX-Request-Id: {name}\r\nX-Class: {request_class}\r\n"
    )
    if method == "POST":
        head += f"Content-Length: {body}\r\n"
    return head.encode() + b"\r\n" + bytes(body if sent_bytes is None else sent_bytes)


async def connection_late(scenario: Scenario, case_log: CaseLog) -> None:
    """The connection to a host is established after the client has left."""
    clients = [(f"late-{index}", scenario.client()) for index in range(scenario.case_count)]
    for index, (name, client) in enumerate(clients):
        client.sendall(request_bytes(name, "read" if index % 2 else "buy"))
    await asyncio.sleep(0.2)
    for index, (name, client) in enumerate(clients):
        case_log.disconnect(name, client, bool(index % 4 // 2))
    scenario.accept_connections()


async def half_a_body(scenario: Scenario, case_log: CaseLog) -> None:
    """The gateway has a part of the body and reads no more, and no connection to a host is established."""
    clients = [(f"half-{index}", scenario.client()) for index in range(scenario.case_count)]
    for name, client in clients:
        client.sendall(request_bytes(name, "buy", 400_000, 150_000))
    await asyncio.sleep(0.3)
    for index, (name, client) in enumerate(clients):
        case_log.disconnect(name, client, bool(index % 2))
    scenario.accept_connections()


async def behind_another(scenario: Scenario, case_log: CaseLog) -> None:
    """The request follows another on its connection, which is answered after the client has left."""
    clients = [(f"behind-{index}", scenario.client()) for index in range(scenario.case_count)]
    for name, client in clients:
        client.sendall(request_bytes(f"before-{name}") + request_bytes(name, "buy"))
    await scenario.host_log.wait_for(*(f"before-{name}" for name, _ in clients))
    for index, (name, client) in enumerate(clients):
        case_log.disconnect(name, client, bool(index % 2))
        scenario.host_log.writers[f"before-{name}"].write(SMALL_ANSWER)


async def before_a_retry(scenario: Scenario, case_log: CaseLog) -> None:
    """The first attempt is turned away when the client leaves."""
    case_log.sends_expected = 1
    clients = [(f"again-{index}", scenario.client()) for index in range(scenario.case_count)]
    for index, (name, client) in enumerate(clients):
        client.sendall(request_bytes(name, "read" if index % 2 else "buy"))
    await scenario.host_log.wait_for(*(name for name, _ in clients))
    for index, (name, client) in enumerate(clients):
        case_log.disconnect(name, client, bool(index % 4 // 2))
        scenario.host_log.writers[name].write(NOT_RUN_ANSWER)


async def before_a_hedge(scenario: Scenario, case_log: CaseLog) -> None:
    """The first attempt gets no answer, and a hedge is due some time after the client has left."""
    case_log.sends_expected = 1
    clients = [(f"copy-{index}", scenario.client()) for index in range(scenario.case_count)]
    for name, client in clients:
        client.sendall(request_bytes(name))
    await scenario.host_log.wait_for(*(name for name, _ in clients))
    for index, (name, client) in enumerate(clients):
        case_log.disconnect(name, client, bool(index % 2))


async def answer_unread(scenario: Scenario, case_log: CaseLog) -> None:
    """The request waits behind an answer that its client has not read."""
    clients = [(f"unread-{index}", scenario.client(4096)) for index in range(scenario.case_count)]
    for name, client in clients:
        client.sendall(request_bytes(f"large-{name}") + request_bytes(name, "buy"))
    await scenario.host_log.wait_for(*(f"large-{name}" for name, _ in clients))
    for name, _ in clients:
        scenario.host_log.writers[f"large-{name}"].write(LARGE_ANSWER)
    await asyncio.sleep(0.5)
    for index, (name, client) in enumerate(clients):
        case_log.disconnect(name, client, bool(index % 2))


async def gateway_stopped(scenario: Scenario, case_log: CaseLog) -> None:
    """The gateway's process is stopped while the client sends its request and leaves."""
    clients = [(f"stopped-{index}", scenario.client()) for index in range(scenario.case_count)]
    await asyncio.sleep(0.2)
    os.kill(scenario.pid, signal.SIGSTOP)
    for index, (name, client) in enumerate(clients):
        client.sendall(request_bytes(name, "read" if index % 2 else "buy"))
        case_log.disconnect(name, client, bool(index % 4 // 2))
    await asyncio.sleep(LATE_SECONDS + 0.2)
    os.kill(scenario.pid, signal.SIGCONT)


async def not_accepted(scenario: Scenario, case_log: CaseLog) -> None:
    """As `gateway_stopped`, with a connection that the gateway has not accepted."""
    os.kill(scenario.pid, signal.SIGSTOP)
    for index in range(scenario.case_count):
        client = scenario.client()
        client.sendall(request_bytes(f"queue-{index}", "read" if index % 2 else "buy"))
        case_log.disconnect(f"queue-{index}", client, bool(index % 4 // 2))
    await asyncio.sleep(LATE_SECONDS + 0.2)
    os.kill(scenario.pid, signal.SIGCONT)


ScenarioFunction = Callable[[Scenario, CaseLog], Awaitable[None]]
REACHABLE_SCENARIOS: tuple[ScenarioFunction, ...] = (
    before_a_retry,
    behind_another,
    before_a_hedge,
    answer_unread,
    gateway_stopped,
    not_accepted,
)
UNREACHABLE_SCENARIOS: tuple[ScenarioFunction, ...] = (connection_late, half_a_body)


@contextmanager
def _run_gateway(members: list[dict[str, object]]) -> Iterator[tuple[int, int]]:
    """Run a gateway process in front of these hosts; yields its port and its process id."""
    with tempfile.TemporaryDirectory() as folder:
        config, port = Path(folder) / "config.json", free_port()
        document = {
            "name": "n0",
            "listen": f"127.0.0.1:{port}",
            "discovery": "127.0.0.1:1",
            "seed": "1",
            "known": {"revision": 1, "complete": True, "members": members},
            "settings": {"classes": CLASSES, "permissions": PERMISSIONS},
        }
        config.write_text(json.dumps(document))
        child = subprocess.Popen(
            gateway_command(ROOT),
            cwd=ROOT,
            env={**os.environ, "PROXY_CONFIG": str(config)},
            stderr=subprocess.DEVNULL,
        )
        try:
            yield port, child.pid
        finally:
            child.kill()
            child.wait()


async def _wait_until_listening(port: int) -> None:
    async with asyncio.timeout(30):
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                return
            await asyncio.sleep(0.05)


def _unreachable_host(stack: ExitStack) -> tuple[socket.socket, list[socket.socket]]:
    """Return a listener whose backlog is full, and the connections that fill it."""
    listener = stack.enter_context(socket.socket())
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    fillers = [stack.enter_context(socket.socket()) for _ in range(3)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
    return listener, fillers


async def _run_scenario(run: ScenarioFunction, case_count: int, is_unreachable: bool) -> str:
    """Run a scenario against a new gateway; return the line to print."""
    host_log, case_log, loop = HostLog(), CaseLog(), asyncio.get_running_loop()
    with ExitStack() as stack:
        hosts = [
            _unreachable_host(stack) if is_unreachable else (socket.create_server(("127.0.0.1", 0)), [])
            for _ in range(2 * case_count)
        ]
        members: list[dict[str, object]] = [
            {"id": f"s-{index}", "host_port": f"127.0.0.1:{host.getsockname()[1]}", "phase": "Ready"}
            for index, (host, _) in enumerate(hosts)
        ]
        tasks = []

        def accept_connections() -> None:
            for host, fillers in hosts:
                for filler in fillers:
                    filler.close()
                host.listen(128)
                tasks.append(loop.create_task(asyncio.start_server(host_log.host, sock=host)))

        if not is_unreachable:
            accept_connections()
        port, pid = stack.enter_context(_run_gateway(members))
        await _wait_until_listening(port)
        await run(Scenario(host_log, port, pid, case_count, accept_connections), case_log)
        await asyncio.sleep(3.0)  # the kernel repeats an unanswered SYN after 1 s
        for task in tasks:
            (await task).close()
    left_by_case = {
        name: left_at
        for name, left_at in case_log.left_at.items()
        if _count_sent_by(host_log, name, left_at) <= case_log.sends_expected
    }
    delays = [
        received_at - left_at
        for name, left_at in left_by_case.items()
        for received_at in host_log.received_at.get(name, [])
        if received_at > left_at
    ]
    late = sum(seconds > LATE_SECONDS for seconds in delays)
    longest = f", the longest {max(delays):.3f} s after" if delays else ""
    return (
        f"{run.__name__:16} {len(left_by_case):3} cases, "
        f"{len(delays)} forwarded, {late} of them late{longest}"
    )


def _count_sent_by(host_log: HostLog, name: str, moment: float) -> int:
    """Return how often hosts had received a request by a moment."""
    return sum(received_at <= moment for received_at in host_log.received_at.get(name, []))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--quick", action="store_true")
    case_count = 5 if parser.parse_args().quick else 25
    for run in (*REACHABLE_SCENARIOS, *UNREACHABLE_SCENARIOS):
        print(asyncio.run(_run_scenario(run, case_count, run in UNREACHABLE_SCENARIOS)), flush=True)


if __name__ == "__main__":
    main()
