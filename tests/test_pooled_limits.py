"""Many balancers and few servers: the limits of each balancer count as a pool."""

from __future__ import annotations

from functools import partial
from statistics import mean

from standins.coldstart import Warmup
from standins.fleet import Burst, Fleet, Machine, RequestKind, make_machines
from whinrouter.balance import Balancer
from whinrouter.interface import (
    MS,
    SECOND,
    Effect,
    Request,
    RequestClass,
    Send,
    ServerId,
    ServerList,
    Settings,
    Update,
)

from .helpers import CLASSES, READ, servers

STOCK = RequestKind(RequestClass("stock", 750 * MS, 2500 * MS, Effect.IDEMPOTENT), 0.6, 50 * MS, 18 * MS)
PLACE = RequestKind(
    RequestClass("place", 150 * MS, 300 * MS, Effect.AT_MOST_ONCE, worth=4.0), 0.4, 17 * MS, 12 * MS
)


def _overload_sooner(machine: Machine) -> None:
    machine.overload_delay, machine.slowdown = SECOND, 3.0


def burst_at_servers_that_overload(seed: int) -> Fleet:
    """Twelve servers, a third of them cold, that three requests per core overload within a second."""
    fleet = Fleet(
        make_machines(12, (2,), (1.0, 0.6), overload_threshold=3.0), (STOCK, PLACE), 32, 0.7, zones="ab",
        retries=2, seed=seed,
        warmup=Warmup(
            initial_share=0.5, announced_share=0.3, ramp_time=8 * SECOND, overload_multiple=3.0,
            overload_window=1500 * MS,
        ),
        bursts=[Burst(4 * SECOND, 8 * SECOND, 1.5)],
    )  # fmt: skip
    for machine in fleet.machines:
        _overload_sooner(machine)

    def restart(server: int) -> None:
        fleet.restart(server)
        _overload_sooner(next(machine for machine in fleet.machines if machine.id == server))

    for server in range(1, 5):
        fleet.schedule(2 * SECOND + server * 100 * MS, partial(restart, server))
    return fleet


def test_a_burst_overloads_few_servers() -> None:
    """Limits that doubled with each answer let a burst overload half of them, for the rest of the day."""
    fleets = [burst_at_servers_that_overload(seed) for seed in range(1, 5)]
    for fleet in fleets:
        fleet.run(16 * SECOND)
        assert not fleet.violations
    assert mean(fleet.goodput(5 * SECOND, 9 * SECOND) for fleet in fleets) > 0.5
    assert mean(fleet.goodput(9 * SECOND, 15 * SECOND) for fleet in fleets) > 0.75
    assert mean(fleet.overloaded_count() for fleet in fleets) < 4


def _zones_used(limit: float) -> list[str]:
    """Return the zones that one of forty balancers sends to, with this limit at each server.

    Requests to the other zone have a price.
    """
    settings = Settings(CLASSES, zone="a", balancers=40, cross_zone_price=0.03)
    balancer = Balancer(settings, seed=1)
    listed = servers(24)  # half of them are in its subset, and half of these in its zone
    balancer.handle(ServerList(Update.FULL, listed), SECOND)
    zones: dict[ServerId, str] = {server.id: server.zone for server in listed}
    for host in balancer._hosts.values():
        host.limit = limit
    balancer._total_limit = 100.0  # the pool of all servers has spare capacity
    used: list[str] = []
    for number in range(1, 20):
        actions = balancer.handle(Request(number, READ.name, 400 * MS), SECOND)
        used += [zones[action.server] for action in actions if isinstance(action, Send)]
    return used


def test_requests_stay_in_the_zone_while_its_pool_has_spare_capacity() -> None:
    assert set(_zones_used(10.0)) == {"a"}


def test_requests_cross_zones_once_the_pool_of_the_zone_is_half_full() -> None:
    """A server without requests from this balancer looked idle, whatever other balancers had sent to it."""
    used = _zones_used(0.2)  # the pool of the six servers of the zone is 1.2
    assert used[0] == "a"
    assert "b" in used[1:4]
