"""An upgrade of the gateway while clients have sent a second request behind one with a long answer.

Each client sends two requests at once on its connection. The first one's answer has 150 KiB and a
length, and its host gives it evenly over 3 s; the second one's is short. With the trouble `run` is
started again with the same listening socket, and at the new process's yes the old one gets SIGTERM. The
rule is broken if a client gets its first answer whole and then no answer to the second request, which
was sent seconds before.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tools"))

from rig import Case, Client, Host, Request, answer, free_port, play, request_class, settings

HOSTS = 3
CLIENTS = 20
PIECES = 150
PIECE = b"x" * 1024
PIECE_SECONDS = 0.02  # between two pieces
WORK_SECONDS = 0.07
HEAD_START_SECONDS = 0.5  # from the requests to the upgrade
DEADLINE_SECONDS = 6.0


async def body(case: Case) -> None:
    """Play the case."""

    async def serve(host: Host, request: Request, writer: asyncio.StreamWriter) -> None:
        case.note(f"{host.name} has {request.request_id}")
        if not request.path.endswith("/long"):
            await asyncio.sleep(WORK_SECONDS)
            writer.write(answer(200, request.request_id.encode()))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PIECES * len(PIECE)))
        for _ in range(PIECES):
            writer.write(PIECE)
            await writer.drain()
            await asyncio.sleep(PIECE_SECONDS)

    hosts = [Host(f"s-{number}", serve) for number in range(HOSTS)]
    for host in hosts:
        await host.start()
        case.discovery.members[host.name] = host.member()
    await case.discovery.start()
    page = request_class("page-read", "idempotent", DEADLINE_SECONDS)
    config_path = case.write_config(settings([page]))
    listener = case.listening_socket()
    old = case.start_gateway(config_path, "old", free_port(), listener)
    await case.wait_until_up()

    endings: Counter[str] = Counter()

    async def read_twice(number: int) -> None:
        lines = ["X-Class: page-read", f"X-Deadline: {DEADLINE_SECONDS}"]
        async with Client(case.listen_port) as client:
            client.send("GET", "/page-read/long", [f"X-Request-Id: first-{number}", *lines])
            client.send("GET", "/page-read/short", [f"X-Request-Id: second-{number}", *lines])
            status, text = await client.receive()
            endings[f"first: {status}, {len(text)} bytes"] += 1
            try:
                status, text = await client.receive()
                endings[f"second: {status}"] += 1
            except (OSError, asyncio.IncompleteReadError) as error:
                endings["second: no answer"] += 1
                case.breaks_rule(f"second-{number} has no answer ({type(error).__name__})")

    clients = [asyncio.create_task(read_twice(number)) for number in range(CLIENTS)]
    await asyncio.sleep(HEAD_START_SECONDS)
    if case.trouble:
        control_port = free_port()
        case.start_gateway(config_path, "new", control_port, listener)
        await case.wait_for_yes(control_port)
        old.send_signal(signal.SIGTERM)
        case.note("SIGTERM to the old process")
    await asyncio.gather(*clients)
    case.note(f"{CLIENTS} clients: {dict(endings)}")


play(__file__, body)
