"""python -m benchmarks.soak.proof [--seeds N] [--minutes M] [--jobs N] [--only NAME,...]

Whether the soak finds anything: each of twelve past mends is taken out of a scratch copy of the gateway,
which is then soaked seed by seed until a violation is found. Prints a line for each: the seed that found it,
and what it found. The copies are removed at the end.
"""

from __future__ import annotations

import argparse
import asyncio
import shutil
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
SEEDS, MINUTES, JOBS = 10, 0.6, 4


@dataclass(frozen=True, slots=True)
class Mend:
    """A past mend, and how it is taken out: text in a file, and what stands there without the mend."""

    name: str
    commit: str
    file: str
    text: str
    without: str


MENDS = (
    Mend(
        "client left while its attempt waited",
        "f66fd46",
        "net/gateway.py",
        "if pending.send_answer is not None and pending.client_left is not None and pending.client_left():",
        "if False:",
    ),
    Mend(
        "connections rest after an answer",
        "f91a748",
        "net/upstream.py",
        "REUSE_DELAY_SECONDS = 0.005",
        "REUSE_DELAY_SECONDS = 0.0",
    ),
    Mend(
        "unread bytes before a connection is used again",
        "c6acf49 and before",
        "net/upstream.py",
        "return transport is not None and not transport.is_closing() and not self._poll(0)",
        "return transport is not None and not transport.is_closing()",
    ),
    Mend(
        "slow start of cold hosts",
        "d1a2c65",
        "balance.py",
        "        return self._slow_start_admits(host, pending, now)",
        "        return True",
    ),
    Mend(
        "window of a keyed request",
        "5467fa2",
        "balance.py",
        "            and now < first.sent_at + pending.request_class.dedup_window\n",
        "",
    ),
    Mend(
        "attempts that connect to a host that drains",
        "1da8317",
        "net/upstream.py",
        "        for attempt in list(host.connecting):\n            attempt.stop(Outcome.NOT_SENT)",
        "        pass",
    ),
    Mend(
        "hosts that are out, over an upgrade",
        "3253253",
        "handover/coordinator.py",
        "self.controller.restore(snapshot.out_ages, snapshot.back_ages, snapshot.start_ages, now)",
        "self.controller.restore({}, {}, snapshot.start_ages, now)",
    ),
    Mend(
        "a watch that fell silent is given up",
        "bc484bf",
        "membership/retry_policy.py",
        "LOCAL_AGENT_POLICY = RetryPolicy((1.5 * HEARTBEAT_SECONDS, 1.5 * HEARTBEAT_SECONDS),",
        "LOCAL_AGENT_POLICY = RetryPolicy((3600.0, 3600.0),",
    ),
    Mend(
        "what a refused upload still sends is read",
        "04d50ca",
        "net/frontend.py",
        "        self._is_lingering, self._receive_pace = True, RateFloor(now)",
        "        self.abort_connection(CloseReason.ANSWERED)\n"
        "        self._is_lingering, self._receive_pace = True, RateFloor(now)",
    ),
    Mend(
        "connections that wait to be accepted at the end",
        "1da8317 and before",
        "program.py",
        "        await asyncio.sleep(ACCEPT_GRACE_SECONDS)\n    await frontend.listener.accept_pending()",
        "        pass",
    ),
    Mend(
        "the end waits for what is held",
        "1da8317",
        "program.py",
        "async with asyncio.timeout(RECEIVE_TIMEOUT_SECONDS + frontend.longest_deadline_seconds):",
        "async with asyncio.timeout(0.0):",
    ),
    Mend(
        "spans of the monotonic clock",
        "e3dd9f5",
        "net/gateway.py",
        "return self.ORIGIN + time.monotonic_ns() // 1000",
        "return time.time_ns() // 1000",
    ),
)


def _copy_without(mend: Mend, folder: Path) -> Path:
    """A scratch copy of the gateway's sources with this mend taken out."""
    shutil.copytree(ROOT / "whinrouter", folder / "whinrouter", ignore=shutil.ignore_patterns("__pycache__"))
    path = folder / "whinrouter" / mend.file
    text = path.read_text()
    if text.count(mend.text) != 1:
        raise ValueError(f"{mend.name}: its text stands {text.count(mend.text)} times in {mend.file}")
    path.write_text(text.replace(mend.text, mend.without))
    return folder


async def _soak(seed: int, minutes: float, tree: Path) -> tuple[int, str]:
    """The exit status of one soak, and the line with its violations."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "benchmarks.soak", "--seed", str(seed), "--minutes", str(minutes)),
        *("--tree", str(tree)),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    output, _ = await process.communicate()
    lines = [line for line in output.decode().splitlines() if line.startswith("seed ")]
    return process.returncode or 0, lines[-1] if lines else "no verdict"


async def _prove(mend: Mend, seeds: int, minutes: float, places: asyncio.Semaphore) -> str:
    folder = Path(tempfile.mkdtemp(prefix="mutant-"))
    try:
        tree = _copy_without(mend, folder)
        async with places:
            for seed in range(1, seeds + 1):
                status, line = await _soak(seed, minutes, tree)
                if status == 1:
                    return f"found      | {mend.name} ({mend.commit}) | {line}"
        return f"NOT found  | {mend.name} ({mend.commit}) | in {seeds} seeds; the last: {line}"
    finally:
        shutil.rmtree(folder, ignore_errors=True)


async def _main(told: argparse.Namespace) -> None:
    places = asyncio.Semaphore(told.jobs)
    wanted = [
        mend for mend in MENDS if not told.only or any(word in mend.name for word in told.only.split(","))
    ]
    for proof in asyncio.as_completed([_prove(mend, told.seeds, told.minutes, places) for mend in wanted]):
        print(await proof, flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(prog="benchmarks.soak.proof", description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--minutes", type=float, default=MINUTES)
    parser.add_argument("--jobs", type=int, default=JOBS)
    parser.add_argument("--only", default="", help="words of names, with commas")
    asyncio.run(_main(parser.parse_args()))


if __name__ == "__main__":
    main()
