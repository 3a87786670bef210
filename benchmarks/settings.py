"""Measures goodput in synthetic settings, with the decision module and simulated servers only.

    python -m benchmarks.settings [--seeds 1-4]

The settings differ in what a load-balancing rule may have been tuned to: cores, speeds, number of gateways,
the share of a request's time that is its own work, how tight its aim is, whether servers can be overloaded.
From the sixth to the sixteenth second some servers are faulty. Prints a line for each setting: the mean and
the least goodput of its seeds, from the first second to the last, how many servers were left overloaded, and
the broken rules. In half a minute it shows whether a rule for concurrency limits improves some settings at
the expense of others; it predicts no figures of a deployment.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from benchmarks.deployments import parse_seeds
from standins.fleet import Fault, Fleet, RequestKind, make_machines
from whinrouter.interface import MS, SECOND, Effect, RequestClass, Scope

RUN_ENDS = 20 * SECOND
FAULTS_BEGIN, FAULTS_END = 6 * SECOND, 16 * SECOND
UNEQUAL_SPEEDS = (1.6, 0.95, 0.6)  # speeds of a core
OVERLOAD_THRESHOLD = 5.0  # requests per core, above which a server is overloaded


def _three_classes(size: float) -> tuple[RequestKind, ...]:
    """Return three classes whose requests wait for other systems as well as work; `size` scales all times."""

    def make_class(name: str, aim: int, deadline: int, effect: Effect, worth: float) -> RequestClass:
        times = round(aim * size * MS), round(deadline * size * MS)
        return RequestClass(name, *times, effect, Scope.ZONE, 30 * SECOND, worth)

    work = round(100 * size * MS)
    return (
        RequestKind(make_class("read", 750, 1500, Effect.IDEMPOTENT, 5.0), 0.5, work, round(1.6 * work)),
        RequestKind(
            make_class("list", 1500, 6000, Effect.IDEMPOTENT, 1.0),
            0.25,
            round(1.4 * work),
            round(1.15 * work),
        ),
        RequestKind(make_class("order", 2500, 6000, Effect.KEYED, 8.0), 0.25, 2 * work, round(4.8 * work)),
    )


SHORT_REQUESTS = (
    RequestKind(RequestClass("read", 80 * MS, 400 * MS, Effect.IDEMPOTENT), 0.8, 12 * MS),
    RequestKind(RequestClass("buy", 80 * MS, 500 * MS, Effect.AT_MOST_ONCE, worth=4.0), 0.2, 15 * MS),
)
PAGE_REQUESTS = (RequestKind(RequestClass("page", 400 * MS, 1500 * MS, Effect.IDEMPOTENT), 1.0, 90 * MS),)


def _fault(*servers: int, errors: float = 0.0, silent: bool = False, pause: int = 0) -> Fault:
    """Return a fault of these servers between `FAULTS_BEGIN` and `FAULTS_END`."""
    return Fault(FAULTS_BEGIN, FAULTS_END, frozenset(servers), errors, silent, pause, 2 * SECOND)


PAUSES = _fault(*range(1, 8), pause=350 * MS)


def _overload_setting(
    count: int, gateways: int, load: float, size: float, *faults: Fault
) -> Callable[[int], Fleet]:
    """Return a factory of fleets whose servers have few cores and can be overloaded."""

    def make_fleet(seed: int) -> Fleet:
        machines = make_machines(count, (3, 2, 3), UNEQUAL_SPEEDS, OVERLOAD_THRESHOLD)
        return Fleet(
            machines,
            _three_classes(size),
            gateways,
            load,
            faults,
            zones="ab",
            cross_zone_delay=round(8 * MS * size),
            seed=seed,
        )

    return make_fleet


def _many_cores(seed: int) -> Fleet:
    faults = [_fault(2, silent=True)]
    return Fleet(
        make_machines(6, (8,)),
        _three_classes(0.5),
        2,
        0.7,
        faults,
        zones="ab",
        cross_zone_delay=8 * MS,
        seed=seed,
    )


def _short_requests(seed: int) -> Fleet:
    machines, faults = make_machines(8, (8,), (1.5, 1.0)), [_fault(2, errors=0.9)]
    return Fleet(machines, SHORT_REQUESTS, 1, 0.5, faults, zones="ab", cross_zone_delay=14 * MS, seed=seed)


def _short_overload(seed: int) -> Fleet:
    machines = make_machines(4, (8,), (1.5, 1.0))
    return Fleet(machines, SHORT_REQUESTS, 2, 1.2, zones="ab", cross_zone_delay=4 * MS, seed=seed)


def _page_requests(seed: int) -> Fleet:
    machines = make_machines(12, (4,), (2.0, 1.2, 0.8))
    return Fleet(machines, PAGE_REQUESTS, 4, 0.75, [_fault(2, 5, errors=0.8)], zones="ab", seed=seed)


SETTINGS: dict[str, Callable[[int], Fleet]] = {
    "few cores, 3 gateways, pauses, silence": _overload_setting(
        18, 3, 0.75, 1.0, PAUSES, _fault(3, 9, silent=True)
    ),
    "few cores, 8 gateways, pauses, silence": _overload_setting(
        18, 8, 0.70, 1.0, PAUSES, _fault(3, 9, silent=True)
    ),
    "few cores, requests four times as fast": _overload_setting(
        9, 2, 0.70, 0.25, PAUSES, _fault(3, 9, silent=True)
    ),
    "few cores, 1.15 times the capacity": _overload_setting(12, 3, 1.15, 1.0, PAUSES),
    "8 cores, 2 gateways, silence": _many_cores,
    "8 cores, 1 gateway, short work, far zone": _short_requests,
    "8 cores, 1.2 times the capacity": _short_overload,
    "4 cores, 4 gateways, fast errors": _page_requests,
}


class Result(NamedTuple):
    """The outcome of one setting with one seed."""

    setting: str
    goodput: float
    overloaded_servers: int
    violations: dict[str, int]


def run_setting(setting: str, seed: int) -> Result:
    """Run one setting with one seed."""
    fleet = SETTINGS[setting](seed)
    fleet.run(RUN_ENDS)
    return Result(setting, fleet.goodput(SECOND, RUN_ENDS), fleet.overloaded_count(), dict(fleet.violations))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1-4"))
    chosen_seeds = parser.parse_args().seeds
    runs = [(setting, seed) for setting in SETTINGS for seed in chosen_seeds]
    with ProcessPoolExecutor() as pool:
        results = list(pool.map(run_setting, *zip(*runs, strict=True)))
    for setting in SETTINGS:
        setting_results = [result for result in results if result.setting == setting]
        goodputs = [result.goodput for result in setting_results]
        violations = [result.violations for result in setting_results if result.violations]
        print(
            f"{setting:42} {sum(goodputs) / len(setting_results):.3f} {min(goodputs):.3f}"
            f"  overloaded {sum(result.overloaded_servers for result in setting_results)}  {violations or ''}"
        )
    print(f"mean {sum(result.goodput for result in results) / len(results):.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
