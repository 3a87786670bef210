"""Measures what all balancers together send to cold servers, and the goodput meanwhile, in simulated time.

    python -m benchmarks.coldstart [--seeds 1-100] [--balancers 30,200]

Only the decision module runs, before simulated servers of which half restart; then a burst of 1.5 times the
load begins. Prints a line for each number of balancers and each scene: the number of cold servers, how many
of them collapsed, the most that one was sent beyond its budget of N requests, in square roots of N (a server
collapses at two of them plus two requests), and the goodput during the burst and in the five seconds after.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

from benchmarks.deployments import parse_seeds
from standins.coldstart import Warmup
from standins.fleet import Burst, Fleet, RequestKind, make_machines
from whinrouter.interface import MS, SECOND, Effect, RequestClass

READ = RequestKind(
    RequestClass("read", 400 * MS, 1500 * MS, Effect.IDEMPOTENT, worth=3.0), 0.7, 20 * MS, 10 * MS
)
BUY = RequestKind(
    RequestClass("buy", 300 * MS, 600 * MS, Effect.AT_MOST_ONCE, worth=8.0), 0.3, 10 * MS, 10 * MS
)
RESTARTS_AT, BURST_BEGINS, BURST_ENDS, RUN_ENDS = 2 * SECOND, 4 * SECOND, 8 * SECOND, 13 * SECOND


class Scene(NamedTuple):
    """How the restarted half of a fleet warms up."""

    name: str
    start_interval: int  # microseconds between two restarts
    warmup: Warmup


SCENES = (
    Scene("one by one, as announced", 100 * MS, Warmup(0.15, 0.15, 12 * SECOND, 3.0, 1500 * MS)),
    Scene("at once, as announced", 0, Warmup(0.13, 0.13, 24 * SECOND, 4.0, 2 * SECOND)),
    Scene("at once, more capacity than announced", 0, Warmup(0.6, 0.15, 12 * SECOND, 2.0, 1500 * MS)),
)


class Result(NamedTuple):
    """The outcome of one scene with one seed."""

    cold_servers: int
    overloaded: int
    worst_excess: float  # beyond the budget, in square roots of the budget
    burst_goodput: float
    after_goodput: float


def make_fleet(scene: Scene, balancers: int, seed: int) -> Fleet:
    """Return a fleet with one two-core server for each balancer, but at least 12 and at most 60."""
    count = min(60, max(12, balancers))
    fleet = Fleet(
        make_machines(count, (2,)),
        (READ, BUY),
        balancers,
        0.5,
        zones="ab",
        seed=seed,
        warmup=scene.warmup,
        bursts=[Burst(BURST_BEGINS, BURST_ENDS, 1.5)],
    )
    for index in range(count // 2):
        fleet.schedule(RESTARTS_AT + index * scene.start_interval, partial(fleet.restart, index + 1))
    return fleet


def run_scene(scene: Scene, balancers: int, seed: int) -> Result:
    """Run one scene with one seed; AssertionError if the decision module broke a rule."""
    fleet = make_fleet(scene, balancers, seed)
    fleet.run(RUN_ENDS)
    assert not fleet.violations, fleet.violations
    return Result(
        len(fleet.cold_loads),
        sum(load.is_overloaded for load in fleet.cold_loads),
        max(load.worst_excess for load in fleet.cold_loads),
        fleet.goodput(BURST_BEGINS, BURST_ENDS),
        fleet.goodput(BURST_ENDS, RUN_ENDS),
    )


def _row(balancers: int, scene: Scene, results: list[Result]) -> str:
    """Return the line to print for all results of a scene."""

    def mean(value: Callable[[Result], float]) -> float:
        return sum(map(value, results)) / len(results)

    cold_servers, overloaded = (
        sum(result.cold_servers for result in results),
        sum(result.overloaded for result in results),
    )
    worst_excess = max(result.worst_excess for result in results)
    return (
        f"{balancers:4} balancers, {scene.name:37} {cold_servers:6} cold, {overloaded:3} collapsed, "
        f"worst excess {worst_excess:+.2f} roots, "
        f"goodput during the burst {mean(lambda result: result.burst_goodput):.3f} "
        f"and after it {mean(lambda result: result.after_goodput):.3f}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=parse_seeds, default=range(1, 101))
    parser.add_argument("--balancers", default="30,200")
    arguments = parser.parse_args()
    with ProcessPoolExecutor() as pool:
        for balancers in map(int, arguments.balancers.split(",")):
            for scene in SCENES:
                results = list(pool.map(partial(run_scene, scene, balancers), arguments.seeds))
                print(_row(balancers, scene, results), flush=True)


if __name__ == "__main__":
    main()
