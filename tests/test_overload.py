"""The program at one, two and four times the load that it can serve, on real sockets and a quarter of a core.

Machines differ, so no figure is asserted, but the rules are: each request gets one answer, no purchase runs
twice, and requests are served again after the load.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from tests.peers import (
    TEST_TIMEOUT_SECONDS,
    Client,
    ScriptedServer,
    answers_with,
    async_test,
    request_text,
    scripted_servers,
)

LOAD_SECONDS = 1.5
BUSY_PROCESSES = 3  # that compete for the gateway's core
CLIENT_COUNTS = (16, 100, 300)  # each client sends its next request as soon as it has an answer

CLASSES = [
    {"name": "page-read", "effect": "idempotent", "giveUp": 1_500_000, "onTime": 400_000, "worth": 3.0},
    {"name": "chapter-buy", "effect": "at_most_once", "giveUp": 5_000_000, "onTime": 400_000, "worth": 8.0},
]


@contextmanager
def program_on_a_busy_core(folder: Path, host: ScriptedServer) -> Iterator[int]:
    """Run the program on one core together with busy processes; yield its port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    config = {
        "listen": f"127.0.0.1:{port}",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        # Enough that no connection is closed to make room: a request that crosses a close may be sent again.
        "limits": {"sockets": 4096},
        "known": {"revision": 1, "complete": True, "members": [host.discovery_entry()]},
        "settings": {"classes": CLASSES, "permissions": {"maxAttempts": 3, "cancelling": True}},
    }
    (folder / "config.json").write_text(json.dumps(config))
    environment = {**os.environ, "PROXY_CONFIG": str(folder / "config.json")}
    command = [sys.executable, "-m", "whinrouter"]
    children = [subprocess.Popen(command, env=environment, stderr=subprocess.DEVNULL)]
    children += [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(BUSY_PROCESSES)]
    core = max(os.sched_getaffinity(0))
    for child in children:
        os.sched_setaffinity(child.pid, {core})
    try:
        yield port
    finally:
        for child in children:
            child.kill()
            child.wait()


async def connect(port: int) -> Client:
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while True:
            try:
                return await Client.connect(port)
            except OSError:
                await asyncio.sleep(0.05)


async def send_requests(port: int, is_purchase: bool, until: float, answers: Counter[int]) -> None:
    """Send requests one after another; a connection that ends without an owed answer is a fault."""
    loop = asyncio.get_running_loop()
    client = await connect(port)
    while loop.time() < until:
        class_name = "chapter-buy" if is_purchase else "page-read"
        client.writer.write(request_text(class_name, {"X-Deadline": ""}))
        answer = await client.read_answer()
        answers[answer.status] += 1
        if not answer.keep_alive:
            assert await client.read_to_end() == b""
            client.close()
            client = await connect(port)
    client.close()


@pytest.mark.parametrize("count", CLIENT_COUNTS)
@async_test
async def test_under_any_load_each_request_has_one_answer(count: int, tmp_path: Path) -> None:
    async with scripted_servers(answers_with()) as (host,):
        with program_on_a_busy_core(tmp_path, host) as port:
            client = await connect(port)
            assert (await client.fetch()).status == 200
            answers: Counter[int] = Counter()
            until = asyncio.get_running_loop().time() + LOAD_SECONDS
            async with asyncio.TaskGroup() as group:
                for index in range(count):
                    group.create_task(send_requests(port, index % 4 == 0, until, answers))
            assert set(answers) <= {200, 502, 503, 504}
            assert answers[200]
            runs = Counter(
                request.get(b"x-request-id") for request in host.requests if request.method == b"POST"
            )
            assert set(runs.values()) <= {1}
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):  # after the load
                while (await (await connect(port)).fetch()).status != 200:
                    await asyncio.sleep(0.05)
