"""What each part of a request's way costs, without sockets: the parts in one process, one after the other.

    python -m benchmarks.parts [--hosts N]

As the package was built last, that is compiled:

    PYTHONSAFEPATH=1 PYTHONPATH=.venv/lib/python3.11/site-packages:. .venv/bin/python -m benchmarks.parts

Each figure is the least of some rounds, in microseconds a request. Where even that is noisy, instructions are
counted instead, if valgrind is there (some minutes):

    python -m benchmarks.parts --instructions
"""

from __future__ import annotations

import argparse
import asyncio
import re
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from benchmarks.farm import ROOT, request_text
from whinrouter.balance import Balancer
from whinrouter.interface import (
    MS,
    AttemptEnded,
    Effect,
    Outcome,
    Request,
    RequestClass,
    Send,
    Server,
    ServerId,
    ServerList,
    Settings,
    Update,
)
from whinrouter.net.attempt import Attempt, EndedCallback, MayBeginCheck, StreamingCallback
from whinrouter.net.frontend import Frontend
from whinrouter.net.gateway import Answer, Gateway
from whinrouter.net.hosts import HostList, Member
from whinrouter.net.http import Message, RequestReader, ResponseReader, serialize_answer, serialize_request
from whinrouter.net.upstream import ConnectionPool

READ = RequestClass("page-read", 400 * MS, 1_500 * MS, Effect.IDEMPOTENT, worth=3)
SETTINGS = Settings((READ,), max_attempts=5, may_hedge=True, may_cancel=True)
ROUNDS, COUNT = 7, 2000
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2000\r\n\r\n" + b"x" * 2000

Part = Callable[[int], None]  # does the work of so many requests


def front(gateway: Gateway) -> Part:
    """A request's bytes to what it asks for."""
    frontend, reader, text = Frontend(gateway, SETTINGS, 100), RequestReader(), request_text("9b1f03aa")

    def run(count: int) -> None:
        for _ in range(count):
            frontend.interpreter.interpret(reader.feed(text)[0], 0.0)

    return run


def module(hosts: int) -> Part:
    """The decisions on a request that is served at its first attempt."""
    balancer = Balancer(SETTINGS, seed=1)
    balancer.handle(ServerList(Update.FULL, tuple(Server(id=number) for number in range(hosts))), 0)
    now, request = 10**9, 0

    def run(count: int) -> None:
        nonlocal now, request
        for _ in range(count):
            request += 1
            now += 1000
            for action in balancer.handle(Request(request, "page-read", 1_485 * MS), now):
                if isinstance(action, Send):
                    server = action.server
            balancer.handle(AttemptEnded(request, 0, server, Outcome.OK, 900, True), now + 900)

    return run


class _Target:
    """A host that is sent nothing."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.connecting: set[Attempt] = set()


class _Known:
    """A sender that sends nothing: whoever holds it ends the attempts."""

    def __init__(self) -> None:
        self.waiting: list[Attempt] = []
        self._targets: dict[ServerId, _Target] = {}

    def update(self, members: Iterable[Member], complete: bool) -> None:
        self._targets = {member.server.id: _Target(member) for member in members}

    def send(
        self,
        server: ServerId,
        message: Message,
        expires_at: float,
        on_ended: EndedCallback,
        owner: Any = None,
        number: int = 0,
        on_streaming: StreamingCallback | None = None,
        may_begin: MayBeginCheck | None = None,
    ) -> Attempt | None:
        attempt = Attempt(
            self._targets[server], message, expires_at, on_ended, owner, number, 0.0, on_streaming, may_begin
        )
        self.waiting.append(attempt)
        return attempt


def driver(hosts: int) -> Part:
    """The same with the driver round it: events, timers, deadlines."""
    upstream = _Known()
    gateway = Gateway(Balancer(SETTINGS, seed=1), upstream)
    members = tuple(Member(Server(id=number), ("127.0.0.1", 9)) for number in range(hosts))
    gateway.update_hosts(HostList(1, True, members))
    interpreter = Frontend(gateway, SETTINGS, 100).interpreter
    asked = interpreter.interpret(RequestReader().feed(request_text("9b1f03aa"))[0], 0.0)
    answer = ResponseReader().feed(ANSWER)[0]

    def reply(answer: Answer) -> None:
        pass

    def run(count: int) -> None:
        for _ in range(count):
            gateway.submit_request(asked, reply)
            upstream.waiting.pop().end(Outcome.OK, answer)

    return run


def text() -> Part:
    """The request as a host gets it, its answer read, and the answer as the client gets it."""
    reader, request = ResponseReader(), RequestReader().feed(request_text("9b1f03aa"))[0]

    def run(count: int) -> None:
        for _ in range(count):
            request.forwarded_head = b""
            serialize_request(request, 1.485)
            answer = reader.feed(ANSWER)[0]
            serialize_answer(200, answer.headers, answer.body, False)

    return run


def parts(hosts: int) -> dict[str, Part]:
    """By name; the driver's figure holds the module's."""
    gateway = Gateway(Balancer(SETTINGS, seed=1), ConnectionPool(1.0, 60.0, 100))
    return {"front": front(gateway), "module": module(hosts), "driver": driver(hosts), "text": text()}


def _least(part: Part) -> float:
    part(COUNT)
    times = []
    for _ in range(ROUNDS):
        begun = time.perf_counter()
        part(COUNT)
        times.append(time.perf_counter() - begun)
    return min(times) / COUNT * 1e6


def _instructions(name: str, hosts: int, count: int) -> int:
    with tempfile.TemporaryDirectory() as folder:
        out = Path(folder) / "out"
        command = ["valgrind", "--tool=callgrind", f"--callgrind-out-file={out}", sys.executable, "-m"]
        command += ["benchmarks.parts", "--hosts", str(hosts), "--only", name, "--count", str(count)]
        subprocess.run(command, cwd=ROOT, check=True, capture_output=True)
        found = re.search(r"^(?:summary|totals): (\d+)", out.read_text(), re.MULTILINE)
    assert found
    return int(found[1])


async def _main(told: argparse.Namespace) -> None:
    here = parts(told.hosts)
    if told.only:
        here[told.only](told.count)
        return
    for name, part in here.items():
        if told.instructions:
            spent = _instructions(name, told.hosts, 600) - _instructions(name, told.hosts, 100)
            print(f"{name}: {spent / 500 / 1000:.1f} thousand instructions")
        else:
            print(f"{name}: {_least(part):.1f} µs")


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--hosts", type=int, default=12)
    parser.add_argument("--instructions", action="store_true")
    parser.add_argument("--only", help=argparse.SUPPRESS)
    parser.add_argument("--count", type=int, default=COUNT, help=argparse.SUPPRESS)
    asyncio.run(_main(parser.parse_args()))


if __name__ == "__main__":
    main()
