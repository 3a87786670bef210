"""How many requests are sent on although their client has left while they waited, and how late.

    python -m benchmarks.leaving            25 cases in each of eight places, half by FIN and half by RST
    python -m benchmarks.leaving --quick    5 in each

A gateway in a process of its own; clients and hosts are here, on real sockets. Each place is a way to wait:
the peers bring it about from outside, so that what is built is measured, whichever way it is built. A case
counts if its request had not been sent on as its client left; late is what a host hears of it more than 0.1 s
after that.
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

LATE = 0.1  # seconds, of the operators' term
CLASSES = [
    {"name": "read", "effect": "idempotent", "giveUp": 20_000_000, "onTime": 400_000, "worth": 3.0},
    {"name": "buy", "effect": "at_most_once", "giveUp": 20_000_000, "onTime": 400_000, "worth": 8.0},
]
PERMISSIONS = {
    "maxAttempts": 5, "mayDuplicate": True, "cancelling": True, "dialTimeout": 3_000_000,
}  # fmt: skip
NOT_RUN = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
PAGE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npage"
LARGE = b"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n" + bytes(8_000_000)


@dataclass
class Heard:
    """What hosts heard, and when; ids are in the requests' heads."""

    at: dict[str, list[float]] = field(default_factory=dict)
    askers: dict[str, asyncio.StreamWriter] = field(default_factory=dict)

    async def host(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Take requests; nothing is answered but when a play says so."""
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while data := await reader.read(1 << 16):
                now = time.monotonic()
                for line in data.split(b"\r\n"):
                    name, _, value = line.partition(b": ")
                    if name.lower() == b"x-request-id":
                        self.at.setdefault(value.decode(), []).append(now)
                        self.askers[value.decode()] = writer
        writer.close()

    async def until(self, *ids: str) -> None:
        while any(name not in self.at for name in ids):
            await asyncio.sleep(0.005)


@dataclass
class Place:
    """One play: who left, and when; `first` is how often each had been sent on by then."""

    left: dict[str, float] = field(default_factory=dict)
    first: int = 0

    def leave(self, name: str, client: socket.socket, by_reset: bool) -> None:
        if by_reset:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.close()
        self.left[name] = time.monotonic()


@dataclass
class Scene:
    """A gateway before hosts that hear, or before such as no connection comes up to yet."""

    heard: Heard
    port: int
    pid: int
    cases: int
    free: Callable[[], None]  # lets connections to hosts come up

    def client(self, room: int = 0) -> socket.socket:
        client = socket.socket()
        if room:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, room)
        client.connect(("127.0.0.1", self.port))
        return client


def text(name: str, kind: str = "read", body: int = 0, here: int | None = None) -> bytes:
    """A request, of whose body so many bytes are sent."""
    method = "GET" if kind == "read" else "POST"
    head = f"{method} /{kind} HTTP/1.1\r\nHost: a\r\nX-Request-Id: {name}\r\nX-Class: {kind}\r\n"
    if method == "POST":
        head += f"Content-Length: {body}\r\n"
    return head.encode() + b"\r\n" + bytes(body if here is None else here)


async def connection_late(scene: Scene, place: Place) -> None:
    """Its connection to a host comes up after it has left."""
    clients = [(f"late-{at}", scene.client()) for at in range(scene.cases)]
    for at, (name, client) in enumerate(clients):
        client.sendall(text(name, "read" if at % 2 else "buy"))
    await asyncio.sleep(0.2)
    for at, (name, client) in enumerate(clients):
        place.leave(name, client, bool(at % 4 // 2))
    scene.free()


async def half_a_body(scene: Scene, place: Place) -> None:
    """Half of its body is here, nothing more is read, and no connection to a host is up."""
    clients = [(f"half-{at}", scene.client()) for at in range(scene.cases)]
    for name, client in clients:
        client.sendall(text(name, "buy", 400_000, 150_000))
    await asyncio.sleep(0.3)
    for at, (name, client) in enumerate(clients):
        place.leave(name, client, bool(at % 2))
    scene.free()


async def behind_another(scene: Scene, place: Place) -> None:
    """It came behind another request, whose answer comes after it has left."""
    clients = [(f"behind-{at}", scene.client()) for at in range(scene.cases)]
    for name, client in clients:
        client.sendall(text(f"before-{name}") + text(name, "buy"))
    await scene.heard.until(*(f"before-{name}" for name, _ in clients))
    for at, (name, client) in enumerate(clients):
        place.leave(name, client, bool(at % 2))
        scene.heard.askers[f"before-{name}"].write(PAGE)


async def before_a_repeat(scene: Scene, place: Place) -> None:
    """Its first attempt is turned away as it leaves."""
    place.first = 1
    clients = [(f"again-{at}", scene.client()) for at in range(scene.cases)]
    for at, (name, client) in enumerate(clients):
        client.sendall(text(name, "read" if at % 2 else "buy"))
    await scene.heard.until(*(name for name, _ in clients))
    for at, (name, client) in enumerate(clients):
        place.leave(name, client, bool(at % 4 // 2))
        scene.heard.askers[name].write(NOT_RUN)


async def before_a_copy(scene: Scene, place: Place) -> None:
    """Its first attempt is silent, and a copy is due a while after it has left."""
    place.first = 1
    clients = [(f"copy-{at}", scene.client()) for at in range(scene.cases)]
    for name, client in clients:
        client.sendall(text(name))
    await scene.heard.until(*(name for name, _ in clients))
    for at, (name, client) in enumerate(clients):
        place.leave(name, client, bool(at % 2))


async def answer_unread(scene: Scene, place: Place) -> None:
    """It waits behind an answer that its client has not read."""
    clients = [(f"unread-{at}", scene.client(4096)) for at in range(scene.cases)]
    for name, client in clients:
        client.sendall(text(f"large-{name}") + text(name, "buy"))
    await scene.heard.until(*(f"large-{name}" for name, _ in clients))
    for name, _ in clients:
        scene.heard.askers[f"large-{name}"].write(LARGE)
    await asyncio.sleep(0.5)
    for at, (name, client) in enumerate(clients):
        place.leave(name, client, bool(at % 2))


async def unread(scene: Scene, place: Place) -> None:
    """The gateway is stopped; it asks and leaves."""
    clients = [(f"stopped-{at}", scene.client()) for at in range(scene.cases)]
    await asyncio.sleep(0.2)
    os.kill(scene.pid, signal.SIGSTOP)
    for at, (name, client) in enumerate(clients):
        client.sendall(text(name, "read" if at % 2 else "buy"))
        place.leave(name, client, bool(at % 4 // 2))
    await asyncio.sleep(LATE + 0.2)
    os.kill(scene.pid, signal.SIGCONT)


async def not_accepted(scene: Scene, place: Place) -> None:
    """The same with a connection that was never accepted."""
    os.kill(scene.pid, signal.SIGSTOP)
    for at in range(scene.cases):
        client = scene.client()
        client.sendall(text(f"queue-{at}", "read" if at % 2 else "buy"))
        place.leave(f"queue-{at}", client, bool(at % 4 // 2))
    await asyncio.sleep(LATE + 0.2)
    os.kill(scene.pid, signal.SIGCONT)


Play = Callable[[Scene, Place], Awaitable[None]]
UP: tuple[Play, ...] = (before_a_repeat, behind_another, before_a_copy, answer_unread, unread, not_accepted)
DOWN: tuple[Play, ...] = (connection_late, half_a_body)


@contextmanager
def _gateway(members: list[dict[str, object]]) -> Iterator[tuple[int, int]]:
    with tempfile.TemporaryDirectory() as folder:
        config, port = Path(folder) / "config.json", free_port()
        told = {
            "name": "n0",
            "listen": f"127.0.0.1:{port}",
            "discovery": "127.0.0.1:1",
            "seed": "1",
            "known": {"revision": 1, "complete": True, "members": members},
            "settings": {"classes": CLASSES, "permissions": PERMISSIONS},
        }
        config.write_text(json.dumps(told))
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


async def _up(port: int) -> None:
    async with asyncio.timeout(30):
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                return
            await asyncio.sleep(0.05)


def _shut(stack: ExitStack) -> tuple[socket.socket, list[socket.socket]]:
    """A host whose queue of connections is full, and who fills it."""
    listener = stack.enter_context(socket.socket())
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    fillers = [stack.enter_context(socket.socket()) for _ in range(3)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
    return listener, fillers


async def _play(play: Play, cases: int, shut: bool) -> str:
    heard, place, loop = Heard(), Place(), asyncio.get_running_loop()
    with ExitStack() as stack:
        hosts = [
            _shut(stack) if shut else (socket.create_server(("127.0.0.1", 0)), []) for _ in range(2 * cases)
        ]
        members: list[dict[str, object]] = [
            {"id": f"s-{at}", "host_port": f"127.0.0.1:{host.getsockname()[1]}", "phase": "Ready"}
            for at, (host, _) in enumerate(hosts)
        ]
        tasks = []

        def free() -> None:
            for host, fillers in hosts:
                for filler in fillers:
                    filler.close()
                host.listen(128)
                tasks.append(loop.create_task(asyncio.start_server(heard.host, sock=host)))

        if not shut:
            free()
        port, pid = stack.enter_context(_gateway(members))
        await _up(port)
        await play(Scene(heard, port, pid, cases, free), place)
        await asyncio.sleep(3.0)  # a connection that was not taken up is tried again after 1 s
        for task in tasks:
            (await task).close()
    waiting = {name: left for name, left in place.left.items() if _before(heard, name, left) <= place.first}
    behind = [at - left for name, left in waiting.items() for at in heard.at.get(name, []) if at > left]
    late = sum(after > LATE for after in behind)
    longest = f", the longest {max(behind):.3f} s after" if behind else ""
    return f"{play.__name__:16} {len(waiting):3} cases, {len(behind)} sent on, {late} of them late{longest}"


def _before(heard: Heard, name: str, left: float) -> int:
    return sum(at <= left for at in heard.at.get(name, []))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--quick", action="store_true")
    cases = 5 if parser.parse_args().quick else 25
    for play in (*UP, *DOWN):
        print(asyncio.run(_play(play, cases, play in DOWN)), flush=True)


if __name__ == "__main__":
    main()
