"""Made-up settings, played with the decisions alone: what share of the clients' requests is served in time.

    python -m benchmarks.settings [--seeds 1-4]

Each differs in what a rule may have got used to: cores, speeds, gateways, how much of a request is its own
work, how tight its aim is, whether servers can be overdriven. From the sixth to the sixteenth second some
servers are in trouble. A line a setting: its goodput from the first second to the last, the mean and the
least of its seeds, how many servers were left overdriven, and what broke a rule. It tells in half a minute
whether a law of limits serves some of them by losing others; figures of a deployment it does not tell.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from benchmarks.deployments import seeds
from standins.fleet import Fault, Fleet, RequestKind, make_machines
from whinrouter.interface import MS, SECOND, Effect, RequestClass, Scope

LAST = 20 * SECOND
FROM, UNTIL = 6 * SECOND, 16 * SECOND
UNEQUAL = (1.6, 0.95, 0.6)  # speeds of a core
HELD_TOO_MUCH = 5.0  # times its cores, from which a server is overdriven


def _three(size: float) -> tuple[RequestKind, ...]:
    """Three classes of which others hold a request longer than its own work takes; times by size."""

    def named(name: str, aim: int, deadline: int, effect: Effect, worth: float) -> RequestClass:
        times = round(aim * size * MS), round(deadline * size * MS)
        return RequestClass(name, *times, effect, Scope.ZONE, 30 * SECOND, worth)

    work = round(100 * size * MS)
    return (
        RequestKind(named("read", 750, 1500, Effect.IDEMPOTENT, 5.0), 0.5, work, round(1.6 * work)),
        RequestKind(
            named("list", 1500, 6000, Effect.IDEMPOTENT, 1.0), 0.25, round(1.4 * work), round(1.15 * work)
        ),
        RequestKind(named("order", 2500, 6000, Effect.KEYED, 8.0), 0.25, 2 * work, round(4.8 * work)),
    )


SHORT = (
    RequestKind(RequestClass("read", 80 * MS, 400 * MS, Effect.IDEMPOTENT), 0.8, 12 * MS),
    RequestKind(RequestClass("buy", 80 * MS, 500 * MS, Effect.AT_MOST_ONCE, worth=4.0), 0.2, 15 * MS),
)
PAGES = (RequestKind(RequestClass("page", 400 * MS, 1500 * MS, Effect.IDEMPOTENT), 1.0, 90 * MS),)


def _bad(*servers: int, errors: float = 0.0, silent: bool = False, pause: int = 0) -> Fault:
    return Fault(FROM, UNTIL, frozenset(servers), errors, silent, pause, 2 * SECOND)


PAUSES = _bad(*range(1, 8), pause=350 * MS)


def _overdriven(count: int, gateways: int, load: float, size: float, *bad: Fault) -> Callable[[int], Fleet]:
    def made(seed: int) -> Fleet:
        fleet = make_machines(count, (3, 2, 3), UNEQUAL, HELD_TOO_MUCH)
        return Fleet(
            fleet,
            _three(size),
            gateways,
            load,
            bad,
            zones="ab",
            cross_zone_delay=round(8 * MS * size),
            seed=seed,
        )

    return made


def _large(seed: int) -> Fleet:
    bad = [_bad(2, silent=True)]
    return Fleet(
        make_machines(6, (8,)), _three(0.5), 2, 0.7, bad, zones="ab", cross_zone_delay=8 * MS, seed=seed
    )


def _short(seed: int) -> Fleet:
    fleet, bad = make_machines(8, (8,), (1.5, 1.0)), [_bad(2, errors=0.9)]
    return Fleet(fleet, SHORT, 1, 0.5, bad, zones="ab", cross_zone_delay=14 * MS, seed=seed)


def _short_overload(seed: int) -> Fleet:
    fleet = make_machines(4, (8,), (1.5, 1.0))
    return Fleet(fleet, SHORT, 2, 1.2, zones="ab", cross_zone_delay=4 * MS, seed=seed)


def _pages(seed: int) -> Fleet:
    fleet = make_machines(12, (4,), (2.0, 1.2, 0.8))
    return Fleet(fleet, PAGES, 4, 0.75, [_bad(2, 5, errors=0.8)], zones="ab", seed=seed)


SETTINGS: dict[str, Callable[[int], Fleet]] = {
    "few cores, 3 gateways, pauses, silence": _overdriven(18, 3, 0.75, 1.0, PAUSES, _bad(3, 9, silent=True)),
    "few cores, 8 gateways, pauses, silence": _overdriven(18, 8, 0.70, 1.0, PAUSES, _bad(3, 9, silent=True)),
    "few cores, requests four times as fast": _overdriven(9, 2, 0.70, 0.25, PAUSES, _bad(3, 9, silent=True)),
    "few cores, 1.15 times the capacity": _overdriven(12, 3, 1.15, 1.0, PAUSES),
    "8 cores, 2 gateways, silence": _large,
    "8 cores, 1 gateway, short work, far zone": _short,
    "8 cores, 1.2 times the capacity": _short_overload,
    "4 cores, 4 gateways, fast errors": _pages,
}


class Played(NamedTuple):
    setting: str
    goodput: float
    overdriven: int
    broken: dict[str, int]


def play(setting: str, seed: int) -> Played:
    fleet = SETTINGS[setting](seed)
    fleet.run(LAST)
    return Played(setting, fleet.goodput(SECOND, LAST), fleet.overloaded_count(), dict(fleet.violations))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--seeds", type=seeds, default=seeds("1-4"))
    chosen = parser.parse_args().seeds
    wanted = [(setting, seed) for setting in SETTINGS for seed in chosen]
    with ProcessPoolExecutor() as pool:
        played = list(pool.map(play, *zip(*wanted, strict=True)))
    for setting in SETTINGS:
        own = [each for each in played if each.setting == setting]
        goodputs = [each.goodput for each in own]
        broken = [each.broken for each in own if each.broken]
        print(
            f"{setting:42} {sum(goodputs) / len(own):.3f} {min(goodputs):.3f}"
            f"  overdriven {sum(each.overdriven for each in own)}  {broken or ''}"
        )
    print(f"mean {sum(each.goodput for each in played) / len(played):.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
