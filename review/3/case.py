"""A planned restart some time after a retune that took out the class with the longest deadline."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

import rig as lib

HOSTS = 4
HOST_SECONDS = 0.3  # until a host's answer: 72 to 130 ms of work, 110 to 210 ms of waiting for others
READ = {
    "name": "transcript-read",
    "effect": "idempotent",
    "group": "all",
    "keyTtl": 30_000_000,
    "onTime": 750_000,
    "giveUp": 1_500_000,
    "lateWorth": 0.0,
    "worth": 5.0,
    "stream": False,
}
SUBMIT = {
    **READ,
    "name": "job-submit",
    "effect": "deduplicated",
    "group": "zone",
    "onTime": 2_500_000,
    "giveUp": 6_000_000,
    "worth": 8.0,
}
LONGEST_DEADLINE_SECONDS = 1.5  # of the settings in force at the restart
MAX_COUNTED_DEADLINE_SECONDS, KILL_DELAY_SECONDS, LIMIT_SLACK_SECONDS = 3.0, 0.7, 0.05
# The retune comes after the first second, and the restart once all requests of before the retune are over.
SECONDS_BEFORE_RETUNE, SECONDS_AFTER_RETUNE = 2.0, 8.0
SLOW_HEAD_SECONDS = 1.9  # for which a slow client writes its head
SLOW_PIECES = 10
LAST_BYTES_AFTER_SIGTERM = [1.0 + 0.05 * number for number in range(24)]  # of the slow clients, in seconds


def settings(*classes: dict[str, object]) -> dict[str, object]:
    """Return settings with these classes."""
    return {
        "balancers": 2,
        "rank": 0,
        "classes": list(classes),
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


class Restart:
    """The requests around the restart, and when hosts got them."""

    def __init__(self, rig: lib.Rig) -> None:
        self.rig = rig
        self.got_at: dict[str, float] = {}  # when a host had the request, by its id
        self.answered: dict[str, int] = {}  # status of the whole answer, by request id
        self.last_byte_at: dict[str, float] = {}

    async def start_host(self, number: int) -> str:
        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while (request := await lib.read_message(reader)) is not None:
                request_id = request.headers["x-request-id"]
                self.got_at[request_id] = self.rig.now
                self.rig.note(f"host {number} got {request_id}")
                await asyncio.sleep(HOST_SECONDS)
                writer.write(lib.encode_answer(200, request_id.encode()))

        return await self.rig.serve(handle)

    def head(self, request_id: str) -> bytes:
        """Return a request of the class that stays."""
        return (
            f"GET /transcript-read/{request_id} HTTP/1.1\r\nHost: api\r\nX-Request-Id: {request_id}\r\n"
            "X-Class: transcript-read\r\nX-Deadline: 1.500\r\n\r\n"
        ).encode()

    async def ask_steadily(self, gateway: lib.Gateway) -> None:
        """Send one request after another on one connection until the gateway closes it."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            async with lib.connection(gateway.listen) as (reader, writer):
                while True:
                    request_id = os.urandom(8).hex()
                    writer.write(self.head(request_id))
                    answer = await lib.read_message(reader)
                    if answer is None or answer.headers.get("connection") == "close":
                        return
                    await asyncio.sleep(0.1)

    async def write_slowly(self, gateway: lib.Gateway, first_at: float, last_at: float) -> None:
        """Write one request in pieces, between two moments, and read its answer."""
        request_id = os.urandom(8).hex()
        head = self.head(request_id)
        size = -(-len(head) // SLOW_PIECES)
        pieces = [head[offset : offset + size] for offset in range(0, len(head), size)]
        await asyncio.sleep(max(0.0, first_at - self.rig.now))
        step = (last_at - self.rig.now) / (len(pieces) - 1)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            async with lib.connection(gateway.listen) as (reader, writer):
                answer_task = asyncio.ensure_future(lib.read_message(reader))
                for piece in pieces:
                    if answer_task.done():
                        break
                    writer.write(piece)
                    if piece is pieces[-1]:
                        self.last_byte_at[request_id] = self.rig.now
                        self.rig.note(f"client wrote the last byte of {request_id}")
                    else:
                        await asyncio.sleep(step)
                answer = await answer_task
                if answer is not None:
                    self.answered[request_id] = answer.status
                    self.rig.note(f"client got {answer.status} to {request_id}")
                else:
                    self.rig.note(f"client got no answer to {request_id}")


async def play(rig: lib.Rig) -> None:
    restart, discovery = Restart(rig), lib.Discovery(rig)
    for number in range(HOSTS):
        address = await restart.start_host(number)
        discovery.members[f"s-{number}"] = lib.member(f"s-{number}", address, locality="hcm")
    await discovery.start()
    config = {
        "listen": lib.free_address(),
        "discovery": discovery.address,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.whole_list(),
        "settings": settings(READ, SUBMIT) if rig.has_trouble else settings(READ),
    }
    gateway = rig.start_gateway("n0", config)
    await rig.wait_until_up(gateway)
    steady = [asyncio.ensure_future(restart.ask_steadily(gateway)) for _ in range(4)]
    await asyncio.sleep(SECONDS_BEFORE_RETUNE)
    if rig.has_trouble:
        full = json.loads(gateway.config_path.read_text())
        new_path = gateway.config_path.with_suffix(".new")
        new_path.write_text(json.dumps({**full, "settings": settings(READ)}))
        new_path.replace(gateway.config_path)
        gateway.signal(signal.SIGHUP)
        rig.note("the class job-submit vanishes: new file, SIGHUP")
    await asyncio.sleep(SECONDS_AFTER_RETUNE)
    sigterm_at = rig.now + SLOW_HEAD_SECONDS
    slow = [
        asyncio.ensure_future(
            restart.write_slowly(gateway, sigterm_at + after - SLOW_HEAD_SECONDS, sigterm_at + after)
        )
        for after in LAST_BYTES_AFTER_SIGTERM
    ]
    await asyncio.sleep(sigterm_at - rig.now)
    gateway.signal(signal.SIGTERM)
    sigterm_at = rig.now
    rig.note("SIGTERM")
    kill_at = (
        sigterm_at
        + min(LONGEST_DEADLINE_SECONDS, MAX_COUNTED_DEADLINE_SECONDS)
        + KILL_DELAY_SECONDS
        + LIMIT_SLACK_SECONDS
    )
    while rig.now < kill_at and gateway.process.poll() is None:
        await asyncio.sleep(0.005)
    answered = dict(restart.answered)
    if gateway.process.poll() is None:
        gateway.signal(signal.SIGKILL)
        rig.note("SIGKILL")
    else:
        rig.note("the gateway has ended by itself")
    killed_at = rig.now
    await asyncio.wait([*slow, *steady], timeout=10.0)
    answered |= restart.answered
    for request_id, last_byte_at in restart.last_byte_at.items():
        after = last_byte_at - sigterm_at
        # Counted is what came more than 0.7 s after SIGTERM, and was certainly read: a host has got it.
        if after > KILL_DELAY_SECONDS + LIMIT_SLACK_SECONDS and request_id not in answered:
            got_at = restart.got_at.get(request_id)
            if got_at is not None and got_at < killed_at:
                rig.violated(
                    f"{request_id} came {after:.2f} s after SIGTERM, was sent to a host, and has no answer "
                    f"at SIGKILL, {killed_at - sigterm_at:.2f} s after SIGTERM"
                )


lib.run_case(play, Path(__file__).resolve().parent)
