"""Cold servers: what all balancers send one together, and that those who can do more are not left idle."""

from __future__ import annotations

from functools import partial
from random import Random

import pytest

from standins.coldstart import ColdLoad, Warmup
from standins.fleet import Burst, Fleet, Kind, machines
from whinrouter.interface import MS, SECOND, Effect, RequestClass
from whinrouter.slowstart import ANSWERED_PART, SAVED_PART, SlowStart

STOCK = Kind(RequestClass("stock", 750 * MS, 2500 * MS, Effect.IDEMPOTENT), 0.6, 50 * MS, 18 * MS)
PLACE = Kind(RequestClass("place", 150 * MS, 300 * MS, Effect.AT_MOST_ONCE, worth=4.0), 0.4, 17 * MS, 12 * MS)


def burst_before_cold_servers(seed: int) -> Fleet:
    """Eight of twelve servers start anew, and can do more than is told; a burst comes two seconds later."""
    warmup = Warmup(share=0.6, told_share=0.15, time=10 * SECOND, multiple=2.0, window=1500 * MS)
    fleet = Fleet(
        machines(12, (2,)), (STOCK, PLACE), 32, 0.65, zones="ab", retries=2, seed=seed, warmup=warmup,
        bursts=[Burst(4 * SECOND, 8 * SECOND, 1.2)],
    )  # fmt: skip
    for server in range(1, 9):
        fleet.later(2 * SECOND + server * 100 * MS, partial(fleet.restart, server))
    return fleet


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_burst_does_not_leave_cold_servers_idle(seed: int) -> None:
    """They got a part of what the warm ones did: as these drowned, it shrank, and half was refused."""
    fleet = burst_before_cold_servers(seed)
    fleet.play(16 * SECOND)
    assert not fleet.broken
    assert not any(cold.fell for cold in fleet.cold)
    assert fleet.goodput(4 * SECOND, 8 * SECOND) > 0.7
    assert fleet.goodput(10 * SECOND, 14 * SECOND) > 0.9


class Scene:
    """Balancers before one cold server that works through what it is sent, one after another."""

    def __init__(self, balancers: int, seed: int, base: float) -> None:
        """`base`: the sum of all base rates, as a part of the server's capacity."""
        self.warmup = Warmup(share=0.2, told_share=0.2, time=10**12, multiple=4.0, window=2 * SECOND)
        self.capacity = 60 / SECOND  # requests, of one unit of work each, when it is warm
        self.can = self.capacity * self.warmup.share
        self.random = Random(seed)
        self.balancers = [SlowStart(0) for _ in range(balancers)]
        self.rate = base * self.can / balancers
        self.load = ColdLoad(self.warmup, self.capacity, 1.0)
        self.served = 0
        self._queue: list[tuple[int, SlowStart]] = []
        self._free = 0.0

    def play(self, begins: int, ends: int, asked: float) -> None:
        """So many requests a second come, each at some balancer, and each would go to this server."""
        now = float(begins)
        while (now := now + self.random.expovariate(asked / SECOND)) < ends:
            self._answer(round(now))
            balancer = self.random.choice(self.balancers)
            if balancer.admits(1.0, self.rate, SAVED_PART * self.warmup.window, round(now), self.random):
                balancer.sent(1.0)
                self.load.add(1.0, 1, round(now))
                self._free = max(self._free, now) + 1 / self.can
                self._queue.append((round(self._free), balancer))

    def _answer(self, now: int) -> None:
        while self._queue and self._queue[0][0] <= now:
            _, balancer = self._queue.pop(0)
            balancer.answered(1.0, self.warmup.multiple)
            self.served += 1


@pytest.mark.parametrize("base", [0.0, 1.0, 4 * 0.6])
@pytest.mark.parametrize("balancers", [1, 30, 200])
def test_all_balancers_together_stay_below_what_pushes_it_over(balancers: int, base: float) -> None:
    """Also as a burst of forty times its capacity comes after a time in which tokens could be saved."""
    for seed in range(20):
        scene = Scene(balancers, seed, base)
        scene.play(SECOND, 10 * SECOND, 2.0)
        scene.play(10 * SECOND, 20 * SECOND, 480.0)
        assert not scene.load.fell, seed


def test_what_was_saved_up_is_the_same_however_many_balancers_there_are() -> None:
    """Each of 200 that saved up a whole request could have sent it at the same moment."""
    granted = []
    for seed in range(50):
        scene = Scene(200, seed, 1.0)
        lasts = SAVED_PART * scene.warmup.window
        at_once = [
            each.admits(1.0, scene.rate, lasts, 600 * SECOND, scene.random) for each in scene.balancers
        ]
        granted.append(sum(at_once))
    saved = scene.can * SAVED_PART * scene.warmup.window
    assert sum(granted) / len(granted) == pytest.approx(saved, rel=0.2)


def test_answers_bring_a_server_from_a_trickle_to_all_that_it_can_do() -> None:
    """The base rate is a fiftieth of that."""
    scene = Scene(30, 1, 0.02)
    scene.play(0, 20 * SECOND, 480.0)
    before = scene.served
    scene.play(20 * SECOND, 30 * SECOND, 480.0)
    assert scene.served - before > 0.95 * scene.can * 10 * SECOND


def test_the_base_rate_and_answers_do_not_add_up() -> None:
    """What answers bring takes the place of the base rate, be that less or more."""
    multiple, lasts, random = 4.0, float(SECOND), Random(1)
    slow_start = SlowStart(0)
    for now in range(0, 5 * SECOND, 10 * MS):
        slow_start.answered(0.01, multiple)  # a unit of work a second
        slow_start.admits(1e9, 1 / SECOND, lasts, now, random)  # takes all tokens
        slow_start.tokens = 0.0
    slow_start.admits(1e9, 1 / SECOND, lasts, 5 * SECOND + 100 * MS, random)
    slow_start.answered(1.0, multiple)
    assert slow_start.tokens == pytest.approx(ANSWERED_PART * multiple)


def test_a_grant_stands_until_it_is_used_or_old() -> None:
    random, lasts = Random(1), float(SECOND)
    slow_start = SlowStart(0)
    slow_start.tokens = 1.0
    assert slow_start.admits(1.0, 0.0, lasts, 0, random)
    assert slow_start.admits(1.0, 0.0, lasts, SECOND - 1, random)
    slow_start.sent(1.0)
    assert not slow_start.admits(1.0, 0.0, lasts, SECOND - 1, random)
    slow_start.tokens = 1.0
    assert slow_start.admits(1.0, 0.0, lasts, SECOND - 1, random)
    assert not slow_start.admits(1.0, 0.0, lasts, 3 * SECOND, random)


def test_what_a_request_is_beyond_its_grant_is_owed() -> None:
    random, lasts = Random(1), float(SECOND)
    slow_start = SlowStart(0)
    slow_start.tokens = 1.0
    assert slow_start.admits(1.0, 0.0, lasts, 0, random)
    slow_start.sent(3.0)
    assert slow_start.tokens == -2.0
    slow_start.admits(1.0, 1 / SECOND, lasts, SECOND, random)
    assert slow_start.tokens == 0.0
