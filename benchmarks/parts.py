"""Measures the cost of each step of a request without sockets: all steps in one process, one after the other.

    python -m benchmarks.parts [--hosts N]

With the compiled package of the last build:

    PYTHONSAFEPATH=1 PYTHONPATH=.venv/lib/python3.11/site-packages:. .venv/bin/python -m benchmarks.parts

Each result is the minimum of several rounds, in microseconds per request. Where even that is noisy, count
instructions instead, which needs valgrind and takes some minutes:

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

from benchmarks.farm import ROOT, encode_request
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
from whinrouter.net.http import RequestReader, ResponseReader
from whinrouter.net.http_messages import Message, serialize_answer, serialize_request
from whinrouter.net.upstream import ConnectionPool

READ = RequestClass("page-read", 400 * MS, 1_500 * MS, Effect.IDEMPOTENT, worth=3)
SETTINGS = Settings((READ,), max_attempts=5, may_hedge=True, may_cancel=True)
ROUNDS, REQUESTS_PER_ROUND = 7, 2000
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2000\r\n\r\n" + b"x" * 2000

Step = Callable[[int], None]  # runs the step for this many requests


def interpretation_step(gateway: Gateway) -> Step:
    """Return the step from a request's bytes to its interpretation."""
    frontend, reader, request_bytes = (
        Frontend(gateway, SETTINGS, 100),
        RequestReader(),
        encode_request("9b1f03aa"),
    )

    def run(count: int) -> None:
        for _ in range(count):
            frontend.interpreter.interpret(reader.feed(request_bytes)[0], 0.0)

    return run


def decision_step(hosts: int) -> Step:
    """Return the step of the decision module, for a request that is served by its first attempt."""
    balancer = Balancer(SETTINGS, seed=1)
    balancer.handle(ServerList(Update.FULL, tuple(Server(id=number) for number in range(hosts))), 0)
    now_us, request_id = 10**9, 0

    def run(count: int) -> None:
        nonlocal now_us, request_id
        for _ in range(count):
            request_id += 1
            now_us += 1000
            for action in balancer.handle(Request(request_id, "page-read", 1_485 * MS), now_us):
                if isinstance(action, Send):
                    server = action.server
            balancer.handle(AttemptEnded(request_id, 0, server, Outcome.OK, 900, True), now_us + 900)

    return run


class _IdleHost:
    """A host that receives nothing, with the attributes that an attempt uses."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.connecting: set[Attempt] = set()


class _NullSender:
    """A sender without connections: it only keeps the attempts, and the gateway step ends them."""

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []
        self._idle_hosts: dict[ServerId, _IdleHost] = {}

    def update(self, members: Iterable[Member], complete: bool) -> None:
        self._idle_hosts = {member.server.id: _IdleHost(member) for member in members}

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
            self._idle_hosts[server],
            message,
            expires_at,
            on_ended,
            owner,
            number,
            0.0,
            on_streaming,
            may_begin,
        )
        self.attempts.append(attempt)
        return attempt


def gateway_step(hosts: int) -> Step:
    """Return the step of the gateway around the decision module: events, timers, deadlines."""
    upstream = _NullSender()
    gateway = Gateway(Balancer(SETTINGS, seed=1), upstream)
    members = tuple(Member(Server(id=number), ("127.0.0.1", 9)) for number in range(hosts))
    gateway.update_hosts(HostList(1, True, members))
    interpreter = Frontend(gateway, SETTINGS, 100).interpreter
    request = interpreter.interpret(RequestReader().feed(encode_request("9b1f03aa"))[0], 0.0)
    answer = ResponseReader().feed(ANSWER)[0]

    def reply(answer: Answer) -> None:
        pass

    def run(count: int) -> None:
        for _ in range(count):
            gateway.submit_request(request, reply)
            upstream.attempts.pop().end(Outcome.OK, answer)

    return run


def serialization_step() -> Step:
    """Return the step that serializes a request, parses its answer, and serializes that for the client."""
    reader, request = ResponseReader(), RequestReader().feed(encode_request("9b1f03aa"))[0]

    def run(count: int) -> None:
        for _ in range(count):
            request.forwarded_head = b""
            serialize_request(request, 1.485)
            answer = reader.feed(ANSWER)[0]
            serialize_answer(200, answer.headers, answer.body, False)

    return run


def make_steps(hosts: int) -> dict[str, Step]:
    """Return the steps by name; the cost of `driver` includes that of `module`."""
    gateway = Gateway(Balancer(SETTINGS, seed=1), ConnectionPool(1.0, 60.0, 100))
    return {
        "front": interpretation_step(gateway),
        "module": decision_step(hosts),
        "driver": gateway_step(hosts),
        "text": serialization_step(),
    }


def _min_microseconds(step: Step) -> float:
    """Return the microseconds per request in the fastest round, after a round to warm up."""
    step(REQUESTS_PER_ROUND)
    times = []
    for _ in range(ROUNDS):
        started_at = time.perf_counter()
        step(REQUESTS_PER_ROUND)
        times.append(time.perf_counter() - started_at)
    return min(times) / REQUESTS_PER_ROUND * 1e6


def _count_instructions(name: str, hosts: int, count: int) -> int:
    """Return the number of instructions of a process that runs one step `count` times."""
    with tempfile.TemporaryDirectory() as folder:
        output = Path(folder) / "out"
        command = ["valgrind", "--tool=callgrind", f"--callgrind-out-file={output}", sys.executable, "-m"]
        command += ["benchmarks.parts", "--hosts", str(hosts), "--only", name, "--count", str(count)]
        subprocess.run(command, cwd=ROOT, check=True, capture_output=True)
        total = re.search(r"^(?:summary|totals): (\d+)", output.read_text(), re.MULTILINE)
    assert total
    return int(total[1])


async def _main(arguments: argparse.Namespace) -> None:
    steps = make_steps(arguments.hosts)
    if arguments.only:
        steps[arguments.only](arguments.count)
        return
    for name, step in steps.items():
        if arguments.instructions:
            instructions = _count_instructions(name, arguments.hosts, 600) - _count_instructions(
                name, arguments.hosts, 100
            )
            print(f"{name}: {instructions / 500 / 1000:.1f} thousand instructions")
        else:
            print(f"{name}: {_min_microseconds(step):.1f} µs")


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--hosts", type=int, default=12)
    parser.add_argument("--instructions", action="store_true")
    parser.add_argument("--only", help=argparse.SUPPRESS)
    parser.add_argument("--count", type=int, default=REQUESTS_PER_ROUND, help=argparse.SUPPRESS)
    asyncio.run(_main(parser.parse_args()))


if __name__ == "__main__":
    main()
