"""A planned restart while readers who write slowly ask for long answers.

Each reader connects 0.3 s after SIGTERM and takes up to 1.9 s to write its head. Each answer has 187 KiB and
a length, and its host gives it at 64 kB a second, 3 s. With the trouble the gateway gets SIGTERM, and SIGKILL
2.75 s later. The rule is broken if a request whose last byte came more than 0.75 s after SIGTERM, and which a
host has got, has no whole answer when SIGKILL comes.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tools"))

from rig import Case, Client, Host, Request, play, request_class, settings

HOSTS = 3
PIECES = 150
PIECE = b"x" * 1280
PIECE_SECONDS = 0.02  # between two pieces
BEFORE_SECONDS = 1.0  # from the start to SIGTERM
CONNECT_SECONDS = 0.3  # from SIGTERM to the readers' connections; new ones come for 0.2 to 0.4 s
HEAD_SECONDS = (0.1, 0.3, 0.7, 0.9, 1.1, 1.3, 1.5, 1.7, 1.9)  # that each reader takes for its head
EXCUSED_SECONDS = 0.75  # after SIGTERM: 0.7 s, and the 50 ms that limits are longer on sockets
READ_SECONDS, BUY_SECONDS = 1.5, 2.0  # the classes' deadlines
KILL_SECONDS = BUY_SECONDS + EXCUSED_SECONDS  # from SIGTERM to SIGKILL


async def read(case: Case, request_id: str, head_seconds: float, restarted_at: float, got: set[str]) -> str:
    """Ask for a long answer and return how it ended; `got`: the requests that hosts have.

    `head_seconds`: the time taken to write the head; `restarted_at`: the loop time of SIGTERM.
    """
    loop = asyncio.get_running_loop()
    await asyncio.sleep(CONNECT_SECONDS)
    lines = ["GET /page-read/long HTTP/1.1", "Host: api.internal", f"X-Request-Id: {request_id}"]
    head = "\r\n".join([*lines, "X-Class: page-read", f"X-Deadline: {READ_SECONDS}"]).encode()
    async with Client(case.listen_port) as client:
        client.writer.write(head)
        await asyncio.sleep(head_seconds)
        client.writer.write(b"\r\n\r\n")
        came = loop.time() - restarted_at
        try:
            status, text = await client.receive()
            ending = f"{status}, {len(text)} bytes"
        except (OSError, asyncio.IncompleteReadError):
            ending = "no whole answer"
            if request_id in got and came > EXCUSED_SECONDS and case.trouble:
                case.breaks_rule(f"{request_id}, which came {came:.2f} s after SIGTERM, has no answer")
    case.note(f"{request_id}, whose last byte came after {came:.2f} s: {ending}")
    return ending


async def body(case: Case) -> None:
    """Play the case."""
    got: set[str] = set()

    async def serve(host: Host, request: Request, writer: asyncio.StreamWriter) -> None:
        got.add(request.request_id)
        case.note(f"{host.name} has {request.request_id}")
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
    page = request_class("page-read", "idempotent", READ_SECONDS)
    purchase = request_class("chapter-buy", "at_most_once", BUY_SECONDS)
    gateway = case.start_gateway(case.write_config(settings([page, purchase])))
    await case.wait_until_up()
    await asyncio.sleep(BEFORE_SECONDS)

    restarted_at = asyncio.get_running_loop().time()
    readers = [
        asyncio.create_task(read(case, f"r{number}", head_seconds, restarted_at, got))
        for number, head_seconds in enumerate(HEAD_SECONDS)
    ]
    if case.trouble:
        gateway.send_signal(signal.SIGTERM)
        case.note("SIGTERM")
        await asyncio.sleep(KILL_SECONDS)
        if gateway.poll() is None:
            case.note("SIGKILL")
            gateway.kill()
    endings = Counter(await asyncio.gather(*readers))
    case.require(len(got) > len(HEAD_SECONDS) // 2, "hardly a request was sent to a host")
    if not case.trouble and endings["no whole answer"]:
        case.breaks_rule("an answer was not whole")
    case.note(f"{len(HEAD_SECONDS)} readers: {dict(endings)}")


play(__file__, body)
