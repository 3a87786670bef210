"""python -m benchmarks.soak --seed N [--minutes M] [--quick] [--tree FOLDER] [--keep FOLDER]

Runs one seed and prints its disruptions, the violations, and the command that runs it again. `--quick` takes
half a minute with few gateways. `--tree` names another checkout whose gateway is run. Exits with 1 if there
was any violation, and with 2 if the simulating process itself ran too late for a valid result.
"""

from __future__ import annotations

import argparse
import asyncio
import shutil
import sys
import tempfile
from collections import Counter
from pathlib import Path

from benchmarks.soak.plan import DISRUPTION_KINDS, Plan, draw_plan
from benchmarks.soak.world import Result, World

GATEWAYS, HOSTS = 24, 10
QUICK_GATEWAYS, QUICK_HOSTS, QUICK_SECONDS = 6, 6, 25.0
ROOT = Path(__file__).parent.parent.parent
MAX_PRINTED = 12  # violations that are printed in full


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="benchmarks.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--gateways", type=int, default=GATEWAYS)
    parser.add_argument("--only", default="", help="kinds of disruption, separated by commas")
    parser.add_argument("--tree", type=Path, default=ROOT)
    parser.add_argument("--keep", type=Path, default=None, help="folder to which the logs are copied")
    return parser.parse_args()


def _draw_plan(arguments: argparse.Namespace) -> Plan:
    kinds = arguments.only.split(",") if arguments.only else DISRUPTION_KINDS
    if arguments.quick:
        return draw_plan(arguments.seed, QUICK_SECONDS, QUICK_GATEWAYS, QUICK_HOSTS, kinds)
    return draw_plan(arguments.seed, arguments.minutes * 60, arguments.gateways, HOSTS, kinds)


async def _run(plan: Plan, folder: Path, tree: Path) -> Result:
    """Run a plan with the gateway of a checkout; every gateway process is killed at the end."""
    world = World(plan, folder, tree)
    try:
        await world.set_up()
        await world.run()
        return world.result()
    finally:
        for gateway in world.gateways:
            gateway.kill_all()


def report(result: Result) -> str:
    """Return the text that is printed for a result."""
    plan = result.plan
    lines = [f"{d.begins:6.1f} to {d.ends:5.1f} s  {d.kind}" for d in plan.disruptions]
    lines.append(
        f"faults {plan.fault_rates or 'none'}; offsets of the wall clock: {plan.clock_offsets or 'none'}"
    )
    lines.append(
        f"{result.requests} requests, {result.served} served, {result.refused} refused, "
        f"{result.not_accepted} not accepted; {result.attempts} attempts; {result.actions} actions, "
        f"{plan.overlap_count()} overlapping pairs of disruptions; the simulation was at most "
        f"{result.lag * 1000:.0f} ms late"
    )
    counts = Counter(violation.rule for violation in result.outside)
    lines += [f"outside: {v.rule} {v.request}: {v.detail}" for v in result.outside[:MAX_PRINTED]]
    lines += [f"inside: {line[:600]}" for line in result.inside[:MAX_PRINTED]]
    lines += [f"trace: {line[:1500]}" for line in result.traces[:MAX_PRINTED]]
    totals = ", ".join(f"{rule} {count}" for rule, count in sorted(counts.items())) or "none"
    verdict = "" if result.is_valid else "; VOID, the simulation ran late"
    lines.append(f"seed {plan.seed}: violations outside {totals}; inside {len(result.inside)}{verdict}")
    return "\n".join(lines)


def main() -> int:
    arguments = _parse_arguments()
    plan = _draw_plan(arguments)
    folder = Path(tempfile.mkdtemp(prefix="soak-"))
    try:
        result = asyncio.run(_run(plan, folder, arguments.tree.resolve()))
        if arguments.keep is not None:
            shutil.copytree(
                folder, arguments.keep, dirs_exist_ok=True, ignore=shutil.ignore_patterns("tmp-*")
            )
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    print(report(result))
    print(f"again: python -m benchmarks.soak {' '.join(sys.argv[1:])}")
    if not result.is_valid:
        return 2
    return 1 if result.outside or result.inside else 0


if __name__ == "__main__":
    sys.exit(main())
