"""An upgrade of the gateway while 300 readers get long answers.

Each answer has 750 KiB and a length, and its host gives it at 64 kB a second, 12 s. With the trouble `run` is
started again with the same listening socket; at the new process's yes the old one gets SIGTERM, and
SIGKILL 3.7 s later. The rule is broken if an answer that its host gives is cut off.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tools"))

from rig import Case, Client, Host, Request, free_port, play, request_class, settings

HOSTS = 6
READERS = 300  # a third of 1,024 descriptors is 341
PIECES = 150
PIECE = b"x" * 5120
PIECE_SECONDS = 0.08  # between two pieces
ARRIVAL_SECONDS = 0.01  # between two readers
KILL_SECONDS = 3.7  # from SIGTERM to SIGKILL
DEADLINE_SECONDS = 1.5


async def body(case: Case) -> None:
    """Play the case."""

    async def serve(host: Host, request: Request, writer: asyncio.StreamWriter) -> None:
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

    async def read(number: int) -> None:
        lines = [f"X-Request-Id: r{number}", "X-Class: page-read", f"X-Deadline: {DEADLINE_SECONDS}"]
        try:
            async with Client(case.listen_port) as client:
                status, text = await client.ask("GET", "/page-read/long", lines)
            ending = f"{status}, {len(text)} bytes"
        except (OSError, asyncio.IncompleteReadError) as error:
            ending = "cut off"
            case.breaks_rule(f"r{number}: its answer was cut off ({type(error).__name__})")
        endings[ending] += 1

    readers = []
    for number in range(READERS):
        readers.append(asyncio.create_task(read(number)))
        await asyncio.sleep(ARRIVAL_SECONDS)
    case.require(not endings, "some readers had no long answer under way")
    if case.trouble:
        control_port = free_port()
        case.start_gateway(config_path, "new", control_port, listener)
        await case.wait_for_yes(control_port)
        old.send_signal(signal.SIGTERM)
        case.note("SIGTERM to the old process")
        await asyncio.sleep(KILL_SECONDS)
        if old.poll() is None:
            case.note("SIGKILL to the old process")
            old.kill()
    await asyncio.gather(*readers)
    case.require(sum(endings.values()) == READERS, "not every reader had an answer")
    case.note(f"{READERS} readers: {dict(endings)}")


play(__file__, body)
