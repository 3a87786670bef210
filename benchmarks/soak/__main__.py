"""python -m benchmarks.soak --seed N [--minutes M] [--quick] [--tree FOLDER] [--keep FOLDER]

Plays one seed and prints its troubles, what was violated, and the line that plays it again. `--quick` takes
half a minute with few gateways. `--tree` names another checkout whose gateway is played. Ends with 1 if
anything was violated, and with 2 if the player itself ran too late to judge.
"""

from __future__ import annotations

import argparse
import asyncio
import shutil
import sys
import tempfile
from collections import Counter
from pathlib import Path

from benchmarks.soak.plan import KINDS, Plan, draw
from benchmarks.soak.world import Result, World

GATEWAYS, HOSTS = 24, 10
QUICK_GATEWAYS, QUICK_HOSTS, QUICK_SECONDS = 6, 6, 25.0
ROOT = Path(__file__).parent.parent.parent
SHOWN = 12  # violations that are printed in full


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="benchmarks.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--gateways", type=int, default=GATEWAYS)
    parser.add_argument("--only", default="", help="kinds of trouble, with commas")
    parser.add_argument("--tree", type=Path, default=ROOT)
    parser.add_argument("--keep", type=Path, default=None, help="where the logs are kept")
    return parser.parse_args()


def _plan(told: argparse.Namespace) -> Plan:
    kinds = told.only.split(",") if told.only else KINDS
    if told.quick:
        return draw(told.seed, QUICK_SECONDS, QUICK_GATEWAYS, QUICK_HOSTS, kinds)
    return draw(told.seed, told.minutes * 60, told.gateways, HOSTS, kinds)


async def _play(plan: Plan, folder: Path, tree: Path) -> Result:
    world = World(plan, folder, tree)
    try:
        await world.set_up()
        await world.play()
        return world.result()
    finally:
        for gateway in world.gateways:
            gateway.kill_all()


def report(result: Result) -> str:
    """The lines that are printed."""
    plan = result.plan
    lines = [f"{t.begins:6.1f} to {t.ends:5.1f} s  {t.kind}" for t in plan.troubles]
    lines.append(f"faults {plan.faults or 'none'}; the wall clock is off by {plan.steps or 'nothing'}")
    lines.append(
        f"{result.requests} requests, {result.served} served, {result.refused} refused, "
        f"{result.not_taken} not taken; {result.attempts} attempts; {result.acts} acts, "
        f"{plan.crossings()} pairs of troubles crossed; the player was {result.lag * 1000:.0f} ms late"
    )
    counts = Counter(violation.rule for violation in result.outside)
    lines += [f"outside: {v.rule} {v.request}: {v.detail}" for v in result.outside[:SHOWN]]
    lines += [f"inside: {line[:600]}" for line in result.inside[:SHOWN]]
    lines += [f"trace: {line[:1500]}" for line in result.traces[:SHOWN]]
    counted = ", ".join(f"{rule} {count}" for rule, count in sorted(counts.items())) or "none"
    verdict = "" if result.is_valid else "; VOID, the player ran late"
    lines.append(f"seed {plan.seed}: violations outside {counted}; inside {len(result.inside)}{verdict}")
    return "\n".join(lines)


def main() -> int:
    told = _arguments()
    plan = _plan(told)
    folder = Path(tempfile.mkdtemp(prefix="soak-"))
    try:
        result = asyncio.run(_play(plan, folder, told.tree.resolve()))
        if told.keep is not None:
            shutil.copytree(folder, told.keep, dirs_exist_ok=True, ignore=shutil.ignore_patterns("tmp-*"))
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    print(report(result))
    print(f"again: python -m benchmarks.soak {' '.join(sys.argv[1:])}")
    if not result.is_valid:
        return 2
    return 1 if result.outside or result.inside else 0


if __name__ == "__main__":
    sys.exit(main())
