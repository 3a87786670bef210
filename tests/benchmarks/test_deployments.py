"""A drawn deployment is the same on any machine, and shares no state or relative path with its parent."""

from __future__ import annotations

import tomllib
from pathlib import Path

from benchmarks.deployments import Site, draw_variant, speed_up

PARENT: Site = tomllib.loads("""
name = "made-up"
stock = "dropped"
wire = "beside.json"
[scale]
servers = [10, 14]
balancers = [2, 3]
big_servers = [12, 20]
big_balancers = [2, 4]
twin_servers = 10
twin_balancers = 2
[load]
quiet = [0.2, 0.4]
trouble = [0.5, 0.6]
big = [0.6, 0.8]
hints = "none"
worth_by = "request"
[net]
cross_ms = [2, 4]
[clients]
retries = 1
backoff = ["fixed"]
[[tier]]
[[tier.kind]]
cores = 3
speed = 1.0
[[class]]
work_ms = [40, 80]
aim_ms = 400
deadline_ms = 2000
""")
FOLDER = Path(__file__).parent


def test_a_seed_gives_the_same_variant_and_does_not_change_the_parent() -> None:
    parent_before = repr(PARENT)
    variants = [draw_variant(PARENT, seed, FOLDER) for seed in range(20)]
    assert variants == [draw_variant(PARENT, seed, FOLDER) for seed in range(20)]
    assert repr(PARENT) == parent_before
    assert len({repr(site) for site, _ in variants}) == 20
    for site, _ in variants:
        assert "stock" not in site
        assert Path(site["wire"]).is_absolute()
        assert all(0 < limit < 1 for key in ("quiet", "trouble", "big") for limit in site["load"][key])


def test_speed_up_splits_the_same_work_into_more_requests() -> None:
    site = speed_up(PARENT, 4, FOLDER)
    assert site["class"] == [{"work_ms": [10, 20], "aim_ms": 100, "deadline_ms": 500}]
    assert (site["tier"], site["load"]) == (PARENT["tier"], PARENT["load"])
