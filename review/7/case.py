"""A new configuration makes purchases keyed while some are on their way, and hosts reset some connections.

Purchases are unsafe to repeat, and clients send them as such: POST, no key. Each client takes 0.8 s to
send one. One connection in four is reset by the purchase's first host after it has run. With the trouble
the file of the configuration is replaced, with the same class as keyed, and the gateway gets SIGHUP
while the purchases are on their way; without it the resets alone remain. Each host drops repeats of a
key; a request without a key can't be recognized and runs. The rule is broken if a purchase that was on
its way runs twice, or has run and is refused.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tools"))

from rig import Case, Client, Host, Request, answer, play, request_class, settings

HOSTS = 3
PURCHASES = 20
RESET_EVERY = 4
BEFORE_SECONDS = 2.0  # from the start to the purchases; SIGHUP never comes in a process's first second
PIECE_BYTES, PIECE_SECONDS = 4_000, 0.05  # of a body: 80 kB a second, and a client may have 64 kB
RELOAD_AFTER_SECONDS = 0.3  # after the first bytes
WORK_SECONDS = 0.07
DEADLINE_SECONDS = 2.0
KEY_SECONDS = 5.0  # for which hosts drop repeats
BODY = b"x" * 60_000  # that is 0.75 s


async def body(case: Case) -> None:
    """Play the case."""
    runs: Counter[str] = Counter()
    seen_keys: set[str] = set()

    async def serve(host: Host, request: Request, writer: asyncio.StreamWriter) -> None:
        key = request.headers.get("idempotency-key")
        await asyncio.sleep(WORK_SECONDS)
        if key is None or key not in seen_keys:
            runs[request.request_id] += 1
            seen_keys.update([key] if key is not None else [])
            case.note(f"{host.name} ran {request.request_id}, key {key}")
        is_reset = int(request.request_id[1:]) % RESET_EVERY == 0
        if is_reset and runs[request.request_id] == 1:
            case.note(f"{host.name} resets the connection under {request.request_id}")
            writer.transport.abort()
            return
        writer.write(answer(200, request.request_id.encode()))

    hosts = [Host(f"s-{number}", serve) for number in range(HOSTS)]
    for host in hosts:
        await host.start()
        case.discovery.members[host.name] = host.member()
    await case.discovery.start()
    unsafe = request_class("chapter-buy", "at_most_once", DEADLINE_SECONDS)
    keyed = request_class("chapter-buy", "deduplicated", DEADLINE_SECONDS, "all", KEY_SECONDS)
    gateway = case.start_gateway(case.write_config(settings([unsafe])))
    await case.wait_until_up()
    await asyncio.sleep(BEFORE_SECONDS)

    statuses: Counter[int] = Counter()

    async def buy(number: int) -> None:
        head = [
            "POST /chapter-buy/1 HTTP/1.1",
            "Host: api.internal",
            f"X-Request-Id: b{number}",
            "X-Class: chapter-buy",
            f"X-Deadline: {DEADLINE_SECONDS}",
            f"Content-Length: {len(BODY)}",
        ]
        async with Client(case.listen_port) as client:
            client.writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
            loop, began = asyncio.get_running_loop(), asyncio.get_running_loop().time()
            for start in range(0, len(BODY), PIECE_BYTES):
                client.writer.write(BODY[start : start + PIECE_BYTES])
                next_at = began + (start // PIECE_BYTES + 1) * PIECE_SECONDS
                await asyncio.sleep(max(0.0, next_at - loop.time()))
            status, _ = await client.receive()
        statuses[status] += 1
        case.note(f"b{number} has {status}")
        if status in (429, 503) and runs[f"b{number}"]:
            case.breaks_rule(f"b{number} has run and is refused")

    purchases = [asyncio.create_task(buy(number)) for number in range(PURCHASES)]
    await asyncio.sleep(RELOAD_AFTER_SECONDS)
    if case.trouble:
        case.write_config(settings([keyed]))
        gateway.send_signal(signal.SIGHUP)
        case.note("new configuration, SIGHUP")
    await asyncio.gather(*purchases)
    case.require(any(int(name[1:]) % RESET_EVERY == 0 for name in runs), "no connection was reset")
    twice = [request_id for request_id, count in runs.items() if count > 1]
    case.note(f"{PURCHASES} purchases: {dict(statuses)}; {len(runs)} ran, {len(twice)} of them twice")
    if twice:
        case.breaks_rule(f"ran twice: {' '.join(twice)}")


play(__file__, body)
