"""Writes random variants of a given site file, for deployments that no rule has been tuned to.

    python -m benchmarks.deployments SITE [SITE ...] --out DIR [--seeds 1-12] [--faster 4] [--table]

A drawn deployment differs from its parent in what a program may have been tuned to: the number of servers and
of gateways, the cores and speeds of servers, the load, the distance between zones, the work of a request and
how tight its aim is, how often clients retry, how servers pause, and the hints of a request's cost. Each
change is drawn independently, so that most deployments differ in several ways. The same seed and parent give
the same deployment on any machine; this module contains no text of a parent. The files are for a simulator
that runs site files; the journal has its results. `--table` prints the changes.

`--faster N` writes each parent once more with two gateways, and with work, waits, aims and deadlines divided
by N: requests come and go N times as fast, as on sockets. Times that don't scale with requests, such as the
delay after which a server is overloaded, stay. This exposes a rule that counts answers where it should
measure time.
"""

from __future__ import annotations

import argparse
import sys
import tomllib
from collections.abc import Callable
from copy import deepcopy
from pathlib import Path
from random import Random
from typing import Any

import tomli_w

Site = dict[str, Any]
Change = Callable[[Site, Random], str]

CHANGE_PROBABILITY = 0.6  # of each change: on average six of the ten are made


def _scaled(value: Any, factor: float, as_integers: bool = False, minimum: float = 0.0) -> Any:
    """Scale a number or each number of a list; return other values unchanged."""
    if isinstance(value, list):
        return [_scaled(entry, factor, as_integers, minimum) for entry in value]
    if isinstance(value, bool) or not isinstance(value, int | float):
        return value
    scaled = max(minimum, value * factor)
    return max(1, round(scaled)) if as_integers else round(scaled, 4)


def _machine_kinds(site: Site) -> list[dict[str, Any]]:
    return [kind for tier in site["tier"] for kind in tier["kind"]]


def _change_servers(site: Site, random: Random) -> str:
    factor = random.choice((0.7, 2.0, 3.0))
    for key in ("servers", "big_servers", "twin_servers"):
        site["scale"][key] = _scaled(site["scale"][key], factor, as_integers=True, minimum=6)
    return f"servers x {factor:g}"


def _change_gateways(site: Site, random: Random) -> str:
    low = random.choice((1, 2, 4, 6))
    high = 2 * low
    site["scale"].update(balancers=[low, high], big_balancers=[low + 1, high], twin_balancers=low)
    return f"{low} to {high} gateways"


def _change_cores(site: Site, random: Random) -> str:
    base_cores = random.choice((1, 2, 4, 8))
    for kind in _machine_kinds(site):
        kind["cores"] = max(1, base_cores + random.choice((-1, 0, 0, 1)))
    return "cores " + "/".join(str(kind["cores"]) for kind in _machine_kinds(site))


def _change_speeds(site: Site, random: Random) -> str:
    speeds = [round(random.uniform(0.4, 2.5), 2) for _ in _machine_kinds(site)]
    for kind, speed in zip(_machine_kinds(site), speeds, strict=True):
        kind["speed"] = [speed, round(speed * 1.2, 2)]
    return "speeds " + "/".join(map(str, speeds))


def _change_distances(site: Site, random: Random) -> str:
    factor = random.choice((0.2, 2.0, 4.0))
    site["net"]["cross_ms"] = _scaled(site["net"]["cross_ms"], factor)
    return f"distance x {factor:g}"


def _scale_requests(site: Site, factor: float, time_factor: float) -> None:
    """Scale the work and waits of requests by `factor`, and aims and deadlines by `factor * time_factor`."""
    for kind in site["class"]:
        for key in ("work_ms", "io_ms"):
            if key in kind:
                kind[key] = _scaled(kind[key], factor)
        for key in ("aim_ms", "deadline_ms"):
            kind[key] = round(kind[key] * factor * time_factor)


def _change_work(site: Site, random: Random) -> str:
    factor, time_factor = random.choice((0.15, 0.4, 1.5)), random.choice((0.8, 1.0, 1.6))
    _scale_requests(site, factor, time_factor)
    return f"work x {factor:g}, aims x {factor * time_factor:g}"


def _change_clients(site: Site, random: Random) -> str:
    low = random.choice((0, 1, 2))
    site["clients"]["retries"] = [low, low + 1.99]
    site["clients"]["backoff"] = random.choice((["none"], ["fixed"], ["exp"]))
    return f"{low} to {low + 1} retries, back-off {site['clients']['backoff'][0]}"


def _change_pauses(site: Site, random: Random) -> str:
    pause = random.choice((0, [20, 60], [200, 600]))
    for kind in _machine_kinds(site):
        kind["pause_ms"] = pause
        kind["pause_every_s"] = [2, 6]
    return f"pauses of {pause} ms"


def _change_hints(site: Site, random: Random) -> str:
    """Change the hints of a request's cost; without hints, worth is by request, else as in the parent."""
    site["load"]["hints"] = random.choice(("none", "good", "rough"))
    if site["load"]["hints"] == "none":
        site["load"]["worth_by"] = "request"
    return f"hints {site['load']['hints']}"


def _change_loads(site: Site, random: Random) -> str:
    factor = random.choice((0.85, 1.15, 1.3))
    for key in ("quiet", "trouble", "big"):
        site["load"][key] = [min(0.92, round(limit * factor, 3)) for limit in site["load"][key]]
    return f"load x {factor:g}"


CHANGES: tuple[Change, ...] = (
    _change_servers,
    _change_gateways,
    _change_cores,
    _change_speeds,
    _change_distances,
    _change_work,
    _change_clients,
    _change_pauses,
    _change_hints,
    _change_loads,
)


def _as_own_site(site: Site, name: str, parent_folder: Path) -> Site:
    """Rename a site, drop its `stock` entry, and make its `wire` path absolute."""
    site.pop("stock", None)
    site["name"] = name
    if "wire" in site:
        site["wire"] = str((parent_folder / site["wire"]).resolve())
    return site


def draw_variant(parent: Site, seed: int, parent_folder: Path) -> tuple[Site, list[str]]:
    """Return a deployment drawn from a parent, and a description of each change.

    Relative paths in the parent start at `parent_folder`.
    """
    random = Random(f"{parent['name']} {seed}")
    site = deepcopy(parent)
    changes = [change(site, random) for change in CHANGES if random.random() < CHANGE_PROBABILITY]
    return _as_own_site(site, f"drawn-{parent['name']}-{seed}", parent_folder), changes


def speed_up(parent: Site, speedup: float, parent_folder: Path) -> Site:
    """Return the parent with `speedup` times the requests, each that much smaller, and two gateways."""
    site = deepcopy(parent)
    _scale_requests(site, 1 / speedup, 1.0)
    site["scale"].update(balancers=[2, 2], big_balancers=[2, 3])
    return _as_own_site(site, f"faster-{parent['name']}", parent_folder)


def parse_seeds(text: str) -> list[int]:
    """Return the seeds in a text such as `3` or `1-12`, the last one included."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("site", type=Path, nargs="+")
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1-6"))
    parser.add_argument("--faster", type=float, metavar="N")
    parser.add_argument("--table", action="store_true")
    options = parser.parse_args()
    options.out.mkdir(parents=True, exist_ok=True)
    for path in options.site:
        parent = tomllib.loads(path.read_text())
        drawn = [(seed, *draw_variant(parent, seed, path.parent)) for seed in options.seeds]
        sites = [site for _, site, _ in drawn]
        if options.faster is not None:
            sites.append(speed_up(parent, options.faster, path.parent))
        for site in sites:
            (options.out / f"{site['name']}.toml").write_text(tomli_w.dumps(site))
        for seed, _, changes in drawn if options.table else ():
            print(f"| {parent['name']} {seed} | {'; '.join(changes)} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
