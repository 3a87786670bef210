"""python -m benchmarks.soak.proof [--seeds N] [--minutes M] [--jobs N] [--only NAME,...]

Checks that the soak detects faults: each of twelve past fixes is removed from a scratch copy of the
gateway's sources, and the soak runs on that copy, seed by seed, until it finds a violation. Prints a line for
each fix: the seed, and the violations that it found. The copies are deleted at the end.
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
class PastFix:
    """A past fix of the gateway, and how to remove it: a text in a source file, and its replacement.

    The text must occur exactly once in the file, in the form that the code formatter gives it.
    """

    name: str
    commit: str
    file: str
    text: str
    replacement: str


PAST_FIXES = (
    PastFix(
        "client left while its attempt waited",
        "f66fd46",
        "net/gateway.py",
        "if pending.send_answer is not None and pending.client_left is not None and pending.client_left():",
        "if False:",
    ),
    PastFix(
        "delay before a connection is reused",
        "f91a748",
        "net/upstream.py",
        "REUSE_DELAY_SECONDS = 0.005",
        "REUSE_DELAY_SECONDS = 0.0",
    ),
    PastFix(
        "unread bytes before a connection is used again",
        "c6acf49 and before",
        "net/upstream.py",
        "return transport is not None and not transport.is_closing() and not self._poll(0)",
        "return transport is not None and not transport.is_closing()",
    ),
    PastFix(
        "slow start of cold hosts",
        "d1a2c65",
        "balance.py",
        "        return self._slow_start_admits(host, pending, now)",
        "        return True",
    ),
    PastFix(
        "dedup window of a keyed request",
        "5467fa2",
        "balance.py",
        "and now < first.sent_at + pending.request_class.dedup_window",
        "",
    ),
    PastFix(
        "attempts that connect to a draining host",
        "1da8317",
        "net/upstream.py",
        "        for attempt in list(host.connecting):\n            attempt.stop(Outcome.NOT_SENT)",
        "        pass",
    ),
    PastFix(
        "offline hosts after an upgrade",
        "3253253",
        "handover/coordinator.py",
        "self.controller.restore(snapshot.out_ages, snapshot.put_back_ages, snapshot.start_ages, now)",
        "self.controller.restore({}, {}, snapshot.start_ages, now)",
    ),
    PastFix(
        "a silent watch is closed",
        "bc484bf",
        "membership/retry_policy.py",
        "(1.5 * HEARTBEAT_SECONDS, 1.5 * HEARTBEAT_SECONDS)",
        "(3600.0, 3600.0)",
    ),
    PastFix(
        "the rest of a refused upload is read",
        "04d50ca",
        "net/frontend.py",
        "        self._is_lingering, self._receive_pace = True, RateFloor(now)",
        "        self.abort_connection(CloseReason.ANSWERED)\n"
        "        self._is_lingering, self._receive_pace = True, RateFloor(now)",
    ),
    PastFix(
        "connections in the backlog at shutdown",
        "1da8317 and before",
        "program.py",
        "        await asyncio.sleep(ACCEPT_GRACE_SECONDS)\n    await frontend.listener.accept_pending()",
        "        pass",
    ),
    PastFix(
        "shutdown waits for requests in progress",
        "1da8317",
        "program.py",
        "async with asyncio.timeout(RECEIVE_TIMEOUT_SECONDS + frontend.open_request_seconds):",
        "async with asyncio.timeout(0.0):",
    ),
    PastFix(
        "time spans by the monotonic clock",
        "e3dd9f5",
        "net/gateway.py",
        "return self.ORIGIN + time.monotonic_ns() // 1000",
        "return time.time_ns() // 1000",
    ),
)


def _copy_with_fix_removed(fix: PastFix, folder: Path) -> Path:
    """Copy the gateway's sources with this fix removed; ValueError unless its text occurs once."""
    shutil.copytree(ROOT / "whinrouter", folder / "whinrouter", ignore=shutil.ignore_patterns("__pycache__"))
    path = folder / "whinrouter" / fix.file
    source = path.read_text()
    if source.count(fix.text) != 1:
        raise ValueError(f"{fix.name}: its text occurs {source.count(fix.text)} times in {fix.file}")
    path.write_text(source.replace(fix.text, fix.replacement))
    return folder


async def _soak(seed: int, minutes: float, tree: Path) -> tuple[int, str]:
    """Run one soak; return its exit status and the line with its violations."""
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


async def _find_seed(fix: PastFix, seeds: int, minutes: float, slots: asyncio.Semaphore) -> str:
    """Return the line to print for a fix: the first seed that found a violation without it, if any did."""
    folder = Path(tempfile.mkdtemp(prefix="mutant-"))
    try:
        tree = _copy_with_fix_removed(fix, folder)
        async with slots:
            for seed in range(1, seeds + 1):
                status, line = await _soak(seed, minutes, tree)
                if status == 1:
                    return f"found      | {fix.name} ({fix.commit}) | {line}"
        return f"NOT found  | {fix.name} ({fix.commit}) | in {seeds} seeds; the last: {line}"
    finally:
        shutil.rmtree(folder, ignore_errors=True)


async def _main(arguments: argparse.Namespace) -> None:
    slots = asyncio.Semaphore(arguments.jobs)
    selected = [
        fix
        for fix in PAST_FIXES
        if not arguments.only or any(word in fix.name for word in arguments.only.split(","))
    ]
    for result in asyncio.as_completed(
        [_find_seed(fix, arguments.seeds, arguments.minutes, slots) for fix in selected]
    ):
        print(await result, flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(prog="benchmarks.soak.proof", description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--minutes", type=float, default=MINUTES)
    parser.add_argument("--jobs", type=int, default=JOBS)
    parser.add_argument("--only", default="", help="words in the names of fixes, separated by commas")
    asyncio.run(_main(parser.parse_args()))


if __name__ == "__main__":
    main()
