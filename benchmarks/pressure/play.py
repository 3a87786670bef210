"""Plays one picture and gives its verdict."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random

from benchmarks.pressure.pictures import PICTURES, SINGLE_PEER, OrdinaryClients, PeerRun
from benchmarks.pressure.rig import pressure_rig

ORDINARY_CLIENTS, ORDINARY_PAUSE_SECONDS = 10, 0.05
SETTLE_SECONDS = 4.0  # after the peers have left
MIB = 1024 * 1024


@dataclass
class Verdict:
    """The result of one picture."""

    picture: str
    clients: int
    seed: int
    start_bytes: int
    peak_bytes: int
    after_bytes: int
    has_ended: bool
    peers: PeerRun
    ordinary: OrdinaryClients
    log_tail: list[str]

    def __str__(self) -> str:
        others = self.ordinary
        latencies = sorted(others.latencies) or [0.0]
        return (
            f"{self.picture:22} {self.clients:4} clients, seed {self.seed}: "
            f"start {self.start_bytes / MIB:.1f}, peak {self.peak_bytes / MIB:.1f}, "
            f"after {self.after_bytes / MIB:.1f} MB"
            f"{', ENDED' if self.has_ended else ''}; {self.peers.connections} connections; ordinary: "
            f"{others.served} served, {others.refused} refused, {others.failed} failed, {others.late} late, "
            f"{others.unanswered} unanswered, {others.not_connected} not connected, "
            f"p99 {latencies[int(0.99 * (len(latencies) - 1))] * 1000:.0f} ms, "
            f"max {latencies[-1] * 1000:.0f} ms"
        )


async def play(
    command: Sequence[str],
    picture: str,
    clients: int,
    memory_mb: int,
    sockets: int,
    seed: int,
    seconds: float,
    environment: dict[str, str] | None = None,
    cwd: Path | None = None,
    settle_seconds: float = SETTLE_SECONDS,
) -> Verdict:
    """Play one picture and return its verdict."""
    random = Random(seed)
    count = 1 if picture in SINGLE_PEER else clients
    async with pressure_rig(command, memory_mb, sockets, environment, cwd) as rig:
        run = PeerRun(rig.port, random, seconds, time.monotonic() + seconds)
        ordinary = OrdinaryClients(rig.port, Random(seed + 1))
        await asyncio.gather(
            ordinary.run(run.ends_at, ORDINARY_CLIENTS, ORDINARY_PAUSE_SECONDS),
            *(PICTURES[picture](run, number) for number in range(count)),
        )
        await asyncio.sleep(settle_seconds)
        after = rig.memory.sample()
        log_tail = rig.log_path.read_text().splitlines()
        return Verdict(
            picture,
            count,
            seed,
            rig.memory.at_start,
            rig.memory.peak,
            after,
            rig.has_ended,
            run,
            ordinary,
            log_tail,
        )
