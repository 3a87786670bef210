"""Chunked uploads of a keyed class while one host of six answers none: what do the other hosts get?"""

from __future__ import annotations

import asyncio
import hashlib
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

import rig as lib

HOSTS = 6
NO_HOST = -1
UPLOADS = 80
BODY_BYTES = 76 * 1024
CHUNK_BYTES = 4 * 1024  # of the client's body
HOST_SECONDS = 0.05  # work of a request
SECONDS_BETWEEN_UPLOADS = 0.25
HEALTHY_SECONDS = 3.0  # before that
SILENT_SECONDS = 15.0  # for which the one host takes requests and answers none
CLASS = {
    "name": "job-submit",
    "effect": "deduplicated",
    "group": "zone",
    "keyTtl": 30_000_000,
    "onTime": 2_500_000,
    "giveUp": 6_000_000,
    "lateWorth": 0.0,
    "worth": 8.0,
    "stream": False,
}
SETTINGS = {
    "balancers": 2,
    "rank": 0,
    "classes": [CLASS],
    "locality": "hcm",
    "zones": ["hcm"],
    "permissions": {
        "cancelling": True,
        "connIdle": 60_000_000,
        "dialTimeout": 250_000,
        "maxAttempts": 4,
        "mayDuplicate": True,
        "probes": False,
        "retryAfter": False,
    },
    "invariants": {"answerSlack": 20_000, "stopSendingWithin": 2_500_000},
    "registryMode": "automatic",
    "weightSource": "silent",
}


class Fleet:
    """Hosts of one zone, which drop repeats of a key: what one has run, no other runs again."""

    def __init__(self, rig: lib.Rig) -> None:
        self.rig = rig
        self.silent_host = NO_HOST
        self.run_keys: dict[str, str] = {}  # the digest of the body that was run, by key
        self.sent: dict[str, bytes] = {}  # the bodies of the clients, by request id

    async def start_host(self, number: int) -> str:
        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while (request := await lib.read_message(reader)) is not None:
                await self.answer(number, request, writer)

        return await self.rig.serve(handle)

    async def answer(self, number: int, request: lib.HttpMessage, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers.get("x-request-id", "")
        digest = hashlib.sha256(request.body).hexdigest()[:16]
        is_silent = number == self.silent_host
        self.rig.note(
            f"host {number} got {request_id} whole, {len(request.body)} bytes, {digest}"
            f"{', answers nothing' if is_silent else ''}"
        )
        sent = self.sent.get(request_id)
        if sent is not None and request.body != sent:
            self.rig.violated(
                f"host {number} got a whole request {request_id} with {len(request.body)} bytes; "
                f"its client sent {len(sent)}"
            )
        if is_silent:
            await asyncio.sleep(60.0)
            return
        # A repeat of a key that was run is dropped: it gets the answer of the run.
        run_digest = self.run_keys.setdefault(request.headers.get("idempotency-key", ""), digest)
        await asyncio.sleep(HOST_SECONDS)
        writer.write(lib.encode_answer(200, run_digest.encode()))


async def upload(rig: lib.Rig, fleet: Fleet, gateway: lib.Gateway, number: int) -> None:
    """Send one request with a chunked body, and check that what is served is the answer to it."""
    body = os.urandom(BODY_BYTES)
    request_id = f"{number:08x}{os.urandom(4).hex()}"
    fleet.sent[request_id] = body
    head = (
        f"POST /job-submit/{number} HTTP/1.1\r\nHost: api\r\nX-Request-Id: {request_id}\r\n"
        f"X-Class: job-submit\r\nX-Deadline: 6.000\r\nIdempotency-Key: {os.urandom(16).hex()}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()
    pieces = [body[offset : offset + CHUNK_BYTES] for offset in range(0, len(body), CHUNK_BYTES)]
    framed = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"
    digest = hashlib.sha256(body).hexdigest()[:16]
    rig.note(f"client sends {request_id}, {len(body)} bytes, {digest}")
    answer = await lib.ask(gateway.listen, head + framed)
    if answer is None:
        rig.note(f"client got no answer to {request_id}")
        return
    rig.note(f"client got {answer.status} to {request_id}: {answer.body.decode('latin-1')}")
    if answer.status == 200 and answer.body != digest.encode():
        rig.violated(f"{request_id} was served with the answer to another body than its client sent")


async def play(rig: lib.Rig) -> None:
    fleet, discovery = Fleet(rig), lib.Discovery(rig)
    for number in range(HOSTS):
        address = await fleet.start_host(number)
        discovery.members[f"s-{number}"] = lib.member(f"s-{number}", address, locality="hcm")
    await discovery.start()
    gateway = rig.start_gateway(
        "n0",
        {
            "listen": lib.free_address(),
            "discovery": discovery.address,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.whole_list(),
            "settings": SETTINGS,
        },
    )
    await rig.wait_until_up(gateway)
    tasks = []
    silent_at, has_been_silent = rig.now + HEALTHY_SECONDS, False
    for number in range(UPLOADS):
        if rig.has_trouble and not has_been_silent and rig.now >= silent_at:
            fleet.silent_host, has_been_silent = 0, True
            rig.note("host 0 takes requests and answers none from now on")
        if fleet.silent_host == 0 and rig.now >= silent_at + SILENT_SECONDS:
            fleet.silent_host = NO_HOST
            rig.note("host 0 answers again")
        tasks.append(asyncio.ensure_future(upload(rig, fleet, gateway, number)))
        await asyncio.sleep(SECONDS_BETWEEN_UPLOADS)
    await asyncio.gather(*tasks)


lib.run_case(play, Path(__file__).resolve().parent)
