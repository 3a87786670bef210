"""What cold servers are sent by all balancers together, in simulated time, and how soon they do their part.

    python -m benchmarks.coldstart [--seeds 1-100] [--balancers 30,200]

The decisions alone, before a fleet of which half starts anew under a burst of half as much again. A line
for each number of balancers and each scene: how many cold servers there were, how many fell, the most that
one was sent beyond its budget N in roots of N (a server falls at two of them and two requests), and the
goodput of the burst and of the five seconds after it.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

from benchmarks.deployments import seeds
from standins.coldstart import Warmup
from standins.fleet import Burst, Fleet, RequestKind, make_machines
from whinrouter.interface import MS, SECOND, Effect, RequestClass

READ = RequestKind(
    RequestClass("read", 400 * MS, 1500 * MS, Effect.IDEMPOTENT, worth=3.0), 0.7, 20 * MS, 10 * MS
)
BUY = RequestKind(
    RequestClass("buy", 300 * MS, 600 * MS, Effect.AT_MOST_ONCE, worth=8.0), 0.3, 10 * MS, 10 * MS
)
RESTARTS, BURST, ENDS, LAST = 2 * SECOND, 4 * SECOND, 8 * SECOND, 13 * SECOND


class Scene(NamedTuple):
    """How the cold half of a fleet comes up."""

    name: str
    apart: int  # microseconds between two starts
    warmup: Warmup


SCENES = (
    Scene("one by one, as told", 100 * MS, Warmup(0.15, 0.15, 12 * SECOND, 3.0, 1500 * MS)),
    Scene("at once, as told", 0, Warmup(0.13, 0.13, 24 * SECOND, 4.0, 2 * SECOND)),
    Scene("at once, can do more than is told", 0, Warmup(0.6, 0.15, 12 * SECOND, 2.0, 1500 * MS)),
)


class Result(NamedTuple):
    cold: int
    fell: int
    worst: float
    burst: float
    after: float


def fleet(scene: Scene, balancers: int, seed: int) -> Fleet:
    """As many servers of two cores as there are balancers, up to sixty."""
    count = min(60, max(12, balancers))
    made = Fleet(
        make_machines(count, (2,)),
        (READ, BUY),
        balancers,
        0.5,
        zones="ab",
        seed=seed,
        warmup=scene.warmup,
        bursts=[Burst(BURST, ENDS, 1.5)],
    )
    for place in range(count // 2):
        made.schedule(RESTARTS + place * scene.apart, partial(made.restart, place + 1))
    return made


def play(scene: Scene, balancers: int, seed: int) -> Result:
    made = fleet(scene, balancers, seed)
    made.run(LAST)
    assert not made.violations, made.violations
    return Result(
        len(made.cold_loads),
        sum(cold.is_overloaded for cold in made.cold_loads),
        max(cold.worst_excess for cold in made.cold_loads),
        made.goodput(BURST, ENDS),
        made.goodput(ENDS, LAST),
    )


def _row(balancers: int, scene: Scene, results: list[Result]) -> str:
    def mean(of: Callable[[Result], float]) -> float:
        return sum(map(of, results)) / len(results)

    cold, fell = sum(each.cold for each in results), sum(each.fell for each in results)
    worst = max(each.worst for each in results)
    return (
        f"{balancers:4} balancers, {scene.name:34} {cold:6} cold, {fell:3} fell, worst {worst:+.2f} roots, "
        f"goodput {mean(lambda each: each.burst):.3f} and {mean(lambda each: each.after):.3f}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=seeds, default=range(1, 101))
    parser.add_argument("--balancers", default="30,200")
    asked = parser.parse_args()
    with ProcessPoolExecutor() as pool:
        for balancers in map(int, asked.balancers.split(",")):
            for scene in SCENES:
                results = list(pool.map(partial(play, scene, balancers), asked.seeds))
                print(_row(balancers, scene, results), flush=True)


if __name__ == "__main__":
    main()
