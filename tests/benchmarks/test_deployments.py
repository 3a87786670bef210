"""What is drawn must be the same anywhere, and must not share what the parent goes by."""

from __future__ import annotations

import tomllib
from pathlib import Path

from benchmarks.deployments import Site, draw, faster

PARENT: Site = tomllib.loads("""
name = "made-up"
stock = "days of its own"
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
HERE = Path(__file__).parent


def test_a_seed_draws_the_same_deployment_and_leaves_its_parent_alone() -> None:
    before = repr(PARENT)
    drawn = [draw(PARENT, seed, HERE) for seed in range(20)]
    assert drawn == [draw(PARENT, seed, HERE) for seed in range(20)]
    assert repr(PARENT) == before
    assert len({repr(site) for site, _ in drawn}) == 20
    for site, _ in drawn:
        assert "stock" not in site
        assert Path(site["wire"]).is_absolute()
        assert all(0 < end < 1 for key in ("quiet", "trouble", "big") for end in site["load"][key])


def test_faster_has_the_same_work_asked_for_in_more_requests() -> None:
    site = faster(PARENT, 4, HERE)
    assert site["class"] == [{"work_ms": [10, 20], "aim_ms": 100, "deadline_ms": 500}]
    assert (site["tier"], site["load"]) == (PARENT["tier"], PARENT["load"])
