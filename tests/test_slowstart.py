"""Cold servers: the work that all balancers together send, and that spare capacity is used."""

from __future__ import annotations

from functools import partial
from random import Random

import pytest

from standins.coldstart import ColdLoad, Warmup
from standins.fleet import Burst, Fleet, RequestKind, make_machines
from whinrouter.interface import MS, SECOND, Effect, RequestClass
from whinrouter.slowstart import ANSWER_FRACTION, TOKEN_LIFETIME_FRACTION, SlowStart

STOCK = RequestKind(RequestClass("stock", 750 * MS, 2500 * MS, Effect.IDEMPOTENT), 0.6, 50 * MS, 18 * MS)
PLACE = RequestKind(
    RequestClass("place", 150 * MS, 300 * MS, Effect.AT_MOST_ONCE, worth=4.0), 0.4, 17 * MS, 12 * MS
)


def burst_at_cold_servers(seed: int) -> Fleet:
    """Eight of twelve servers restart, with more than their announced capacity; a burst comes 2 s later."""
    warmup = Warmup(
        initial_share=0.6,
        announced_share=0.15,
        ramp_time=10 * SECOND,
        overload_multiple=2.0,
        overload_window=1500 * MS,
    )
    fleet = Fleet(
        make_machines(12, (2,)), (STOCK, PLACE), 32, 0.65, zones="ab", retries=2, seed=seed, warmup=warmup,
        bursts=[Burst(4 * SECOND, 8 * SECOND, 1.2)],
    )  # fmt: skip
    for server in range(1, 9):
        fleet.schedule(2 * SECOND + server * 100 * MS, partial(fleet.restart, server))
    return fleet


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_burst_does_not_leave_cold_servers_idle(seed: int) -> None:
    """Cold servers got a share of the warm ones' work.

    As that fell under overload, half of all requests were refused.
    """
    fleet = burst_at_cold_servers(seed)
    fleet.run(16 * SECOND)
    assert not fleet.violations
    assert not any(cold.is_overloaded for cold in fleet.cold_loads)
    assert fleet.goodput(4 * SECOND, 8 * SECOND) > 0.7
    assert fleet.goodput(10 * SECOND, 14 * SECOND) > 0.9


class ColdServerModel:
    """Balancers and one cold server, which serves requests one after another."""

    def __init__(self, balancers: int, seed: int, base_rate_share: float) -> None:
        """`base_rate_share`: the sum of all base rates, as a share of the server's capacity."""
        self.warmup = Warmup(
            initial_share=0.2,
            announced_share=0.2,
            ramp_time=10**12,
            overload_multiple=4.0,
            overload_window=2 * SECOND,
        )
        self.capacity = 60 / SECOND  # requests, of one unit of work each, when it is warm
        self.cold_capacity = self.capacity * self.warmup.initial_share
        self.random = Random(seed)
        self.balancers = [SlowStart(0) for _ in range(balancers)]
        self.rate = base_rate_share * self.cold_capacity / balancers
        self.load = ColdLoad(self.warmup, self.capacity, 1.0)
        self.served = 0
        self._queue: list[tuple[int, SlowStart]] = []
        self._free_at = 0.0

    def run(self, start: int, end: int, rate: float) -> None:
        """Send `rate` requests per second, each through a random balancer, all to this server."""
        now = float(start)
        while (now := now + self.random.expovariate(rate / SECOND)) < end:
            self._deliver_answers(round(now))
            balancer = self.random.choice(self.balancers)
            if balancer.admits(
                1.0,
                self.rate,
                TOKEN_LIFETIME_FRACTION * self.warmup.overload_window,
                round(now),
                self.random,
            ):
                balancer.record_send(1.0)
                self.load.record(1.0, 1, round(now))
                self._free_at = max(self._free_at, now) + 1 / self.cold_capacity
                self._queue.append((round(self._free_at), balancer))

    def _deliver_answers(self, now: int) -> None:
        while self._queue and self._queue[0][0] <= now:
            _, balancer = self._queue.pop(0)
            balancer.record_answer(1.0, self.warmup.overload_multiple)
            self.served += 1


@pytest.mark.parametrize("base", [0.0, 1.0, 4 * 0.6])
@pytest.mark.parametrize("balancers", [1, 30, 200])
def test_all_balancers_together_stay_below_the_overload_of_a_cold_server(balancers: int, base: float) -> None:
    """Even if a burst of forty times the capacity follows a time in which tokens could be saved."""
    for seed in range(20):
        model = ColdServerModel(balancers, seed, base)
        model.run(SECOND, 10 * SECOND, 2.0)
        model.run(10 * SECOND, 20 * SECOND, 480.0)
        assert not model.load.is_overloaded, seed


def test_saved_tokens_do_not_grow_with_the_number_of_balancers() -> None:
    """If each of 200 balancers saved up for a whole request, all could send theirs at the same moment."""
    granted = []
    for seed in range(50):
        model = ColdServerModel(200, seed, 1.0)
        lifetime = TOKEN_LIFETIME_FRACTION * model.warmup.overload_window
        at_once = [
            each.admits(1.0, model.rate, lifetime, 600 * SECOND, model.random) for each in model.balancers
        ]
        granted.append(sum(at_once))
    saved = model.cold_capacity * TOKEN_LIFETIME_FRACTION * model.warmup.overload_window
    assert sum(granted) / len(granted) == pytest.approx(saved, rel=0.2)


def test_tokens_from_answers_raise_a_cold_server_to_its_capacity() -> None:
    """The base rate alone is a fiftieth of the capacity."""
    model = ColdServerModel(30, 1, 0.02)
    model.run(0, 20 * SECOND, 480.0)
    before = model.served
    model.run(20 * SECOND, 30 * SECOND, 480.0)
    assert model.served - before > 0.95 * model.cold_capacity * 10 * SECOND


def test_the_base_rate_and_answers_do_not_add_up() -> None:
    """Tokens from answers take the place of those of the base rate, whether they are more or fewer."""
    multiple, lifetime, random = 4.0, float(SECOND), Random(1)
    slow_start = SlowStart(0)
    for now in range(0, 5 * SECOND, 10 * MS):
        slow_start.record_answer(0.01, multiple)  # one unit of work per second
        slow_start.admits(1e9, 1 / SECOND, lifetime, now, random)  # takes all tokens
        slow_start.tokens = 0.0
    slow_start.admits(1e9, 1 / SECOND, lifetime, 5 * SECOND + 100 * MS, random)
    slow_start.record_answer(1.0, multiple)
    assert slow_start.tokens == pytest.approx(ANSWER_FRACTION * multiple)


def test_a_grant_lasts_until_it_is_used_or_expires() -> None:
    random, lifetime = Random(1), float(SECOND)
    slow_start = SlowStart(0)
    slow_start.tokens = 1.0
    assert slow_start.admits(1.0, 0.0, lifetime, 0, random)
    assert slow_start.admits(1.0, 0.0, lifetime, SECOND - 1, random)
    slow_start.record_send(1.0)
    assert not slow_start.admits(1.0, 0.0, lifetime, SECOND - 1, random)
    slow_start.tokens = 1.0
    assert slow_start.admits(1.0, 0.0, lifetime, SECOND - 1, random)
    assert not slow_start.admits(1.0, 0.0, lifetime, 3 * SECOND, random)


def test_work_beyond_the_grant_becomes_debt() -> None:
    random, lifetime = Random(1), float(SECOND)
    slow_start = SlowStart(0)
    slow_start.tokens = 1.0
    assert slow_start.admits(1.0, 0.0, lifetime, 0, random)
    slow_start.record_send(3.0)
    assert slow_start.tokens == -2.0
    slow_start.admits(1.0, 1 / SECOND, lifetime, SECOND, random)
    assert slow_start.tokens == 0.0
