"""Hosts answer in chunks, in small pieces, and stand still now and then.

Each answer has 48 chunks of 512 bytes, one every 0.05 s. With the trouble each host stands still for 0.4 s
every 2 s, each at times of its own: whatever it is writing then waits, and goes on. An answer so takes 2.4
to 3.6 s, well within the 6 s that its client waits. The rule is broken if the gateway ends an answer that its
host still gives.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tools"))

from rig import Case, Client, Host, Request, play, request_class, settings

HOSTS = 3
CLIENTS = 6
REQUESTS = 8  # of each client, one behind the other
PIECES = 48
PIECE = b"x" * 512
PIECE_SECONDS = 0.05  # between two pieces
STILL_SECONDS, STILL_EVERY_SECONDS = 0.4, 2.0  # the pages have 150 to 450 ms, every 1.5 to 5.6 s
DEADLINE_SECONDS = 6.0


async def body(case: Case) -> None:
    """Play the case."""
    finished: Counter[str] = Counter()
    loop = asyncio.get_running_loop()

    async def stand_still(host: Host) -> None:
        offset = int(host.name[2:]) * STILL_EVERY_SECONDS / HOSTS
        phase = (loop.time() - case_began + offset) % STILL_EVERY_SECONDS
        if case.trouble and phase < STILL_SECONDS:
            await asyncio.sleep(STILL_SECONDS - phase)

    case_began = loop.time()

    async def serve(host: Host, request: Request, writer: asyncio.StreamWriter) -> None:
        await stand_still(host)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number in range(1, PIECES + 1):
            writer.write(b"%x\r\n%b\r\n" % (len(PIECE), PIECE))
            await asyncio.sleep(PIECE_SECONDS)
            await stand_still(host)
            if writer.is_closing():
                case.note(f"{host.name}: the gateway closed under {request.request_id}, piece {number}")
                return
        writer.write(b"0\r\n\r\n")
        finished[request.request_id] += 1

    hosts = [Host(f"s-{number}", serve) for number in range(HOSTS)]
    for host in hosts:
        await host.start()
        case.discovery.members[host.name] = host.member()
    await case.discovery.start()
    inbox = request_class("inbox-list", "idempotent", DEADLINE_SECONDS)
    case.start_gateway(case.write_config(settings([inbox])))
    await case.wait_until_up()

    endings: Counter[str] = Counter()

    async def read(client_number: int) -> None:
        for number in range(REQUESTS):
            request_id = f"c{client_number}-{number}"
            lines = [f"X-Request-Id: {request_id}", "X-Class: inbox-list", f"X-Deadline: {DEADLINE_SECONDS}"]
            began = loop.time()
            try:
                async with Client(case.listen_port) as client:
                    status, text = await client.ask("GET", "/inbox-list/1", lines)
                ending = f"{status}" if status != 200 or len(text) == PIECES * len(PIECE) else "short"
            except (OSError, asyncio.IncompleteReadError) as error:
                ending = "cut off"
                case.breaks_rule(
                    f"{request_id}: cut off after {loop.time() - began:.2f} s ({type(error).__name__})"
                )
            endings[ending] += 1

    await asyncio.gather(*map(read, range(CLIENTS)))
    case.require(endings["200"] + endings["cut off"] > REQUESTS, "hardly a request was served")
    case.note(f"{sum(endings.values())} requests: {dict(endings)}; whole at the hosts: {len(finished)}")


play(__file__, body)
