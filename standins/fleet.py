"""A small fleet in simulated time: gateways that decide, servers that work and fail, clients that ask.

Servers queue for their cores, hold a request while it waits for others, pause, fail fast, fall silent, and
turn slow while overdriven until they have rested. Each gateway is a real `Balancer`; the fleet carries out
what it says as the host program would, and counts what the rules forbid: an answer too many or none, an
effect twice, a send to a server that was told to drain. Everything follows from the seed. Cancelled work runs
on, and a client asks again only after a refusal, or a failure of what may be repeated.

It is for tests of the decisions in settings that nobody tuned to, not for figures of any deployment.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random
from typing import Protocol

from standins.coldstart import ColdLoad, Warmup
from whinrouter.balance import Balancer
from whinrouter.interface import (
    MS,
    SECOND,
    Action,
    AttemptEnded,
    Cancel,
    Effect,
    Event,
    Fail,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Send,
    Server,
    ServerList,
    SetTimer,
    Settings,
    State,
    TimerFired,
    Update,
)

NETWORK = MS // 2  # one way, between a gateway and a server of its zone
FAILS_IN = MS  # a server that fails fast answers within this


@dataclass(frozen=True)
class Kind:
    """One class of request as it comes: its part of the arrivals, core time, and time held for others."""

    named: RequestClass
    part: float
    work: int  # mean microseconds of a core of speed 1, exponential
    held: int = 0  # mean microseconds beside it, exponential


@dataclass(frozen=True)
class Trouble:
    """What befalls some servers from one moment to another, in microseconds since the start."""

    begins: int
    ends: int
    servers: frozenset[int]
    errors: float = 0.0  # share of requests that fail fast
    silent: bool = False
    pause: int = 0  # stands still for so long, every so often
    every: int = SECOND


@dataclass(frozen=True)
class Burst:
    """So many times the load, from one moment to another."""

    begins: int
    ends: int
    factor: float


@dataclass
class Machine:
    """One server; `at` times its cores held for `over` make it `slower`, until it rested for `rests`."""

    id: int
    zone: str
    cores: int
    speed: float = 1.0
    at: float = 0.0  # 0: never overdriven
    over: int = 2 * SECOND
    slower: float = 2.5
    rests: int = 3 * SECOND
    free: list[int] = field(default_factory=list)  # when each core is
    held: int = 0
    started: int = 0  # when its process was started anew; 0: long ago
    warmup: Warmup | None = None  # None: it is warm at once
    overdriven: bool = False
    since: int | None = None  # since when it holds too much, or, overdriven, next to nothing

    def __post_init__(self) -> None:
        self.free = [0] * self.cores

    def look(self, now: int) -> None:
        """Turn slow, or recover, if what it holds says so for long enough; looked at with each change."""
        if not self.at:
            return
        if not (self.held < 0.4 * self.cores if self.overdriven else self.held > self.at * self.cores):
            self.since = None
        elif self.since is None:
            self.since = now
        elif now - self.since >= (self.rests if self.overdriven else self.over):
            self.overdriven, self.since = not self.overdriven, None

    def work(self, now: int, work: float, held: float, pauses: Sequence[Trouble]) -> int:
        """When the answer is ready."""
        done = max(now, heapq.heappop(self.free))
        warmth = self.warmup.warmth(self.started, now) if self.warmup is not None else 1.0
        left = round(work / (self.speed * warmth) * (self.slower if self.overdriven else 1))
        while left > 0:
            done = max([self._wakes(each, done) for each in pauses], default=done)
            runs = min([self._pauses(each, done) - done for each in pauses], default=left)
            done, left = done + min(left, runs), left - runs
        heapq.heappush(self.free, done)
        return done + round(held)

    def _into(self, pausing: Trouble, at: int) -> int:
        """How far into its turn it is; servers pause one after the other."""
        return (at - pausing.begins + self.id * pausing.every // 7) % pausing.every

    def _wakes(self, pausing: Trouble, at: int) -> int:
        return at + max(0, pausing.pause - self._into(pausing, at)) if at < pausing.ends else at

    def _pauses(self, pausing: Trouble, at: int) -> int:
        """When the next pause begins."""
        return at + pausing.every - self._into(pausing, at)


def machines(
    count: int, cores: Sequence[int], speeds: Sequence[float] = (1.0,), at: float = 0.0
) -> list[Machine]:
    """So many, in two zones in turn, of so many cores and such speeds in turn."""
    return [
        Machine(each, "ab"[each % 2], cores[each % len(cores)], speeds[each % len(speeds)], at=at)
        for each in range(1, count + 1)
    ]


@dataclass
class Asked:
    """A client's request at one gateway."""

    kind: Kind
    at: int
    deadline: int
    key: int
    work: float
    held: float
    attempts: list[Try] = field(default_factory=list)
    answers: list[str] = field(default_factory=list)
    answered_at: int = 0


@dataclass
class Try:
    server: int
    sent: int
    over: bool = False


class Decider(Protocol):
    def handle(self, event: Event, now: int) -> list[Action]: ...


class Gateway:
    """A `Balancer` and what a host program does for it."""

    def __init__(self, fleet: Fleet, settings: Settings, seed: int) -> None:
        self._fleet = fleet
        self._settings = settings
        self._told: dict[int, State] = {}
        self._asked: dict[int, Asked] = {}
        self.balancer: Decider = Balancer(settings, seed)

    def tell(self, servers: Sequence[Server]) -> None:
        self._told = {server.id: server.state for server in servers}
        self._feed(ServerList(Update.FULL, tuple(servers)))

    def ask(self, number: int, asked: Asked) -> None:
        self._asked[number] = asked
        self._fleet.later(asked.deadline, lambda: self._expire(number))
        name = asked.kind.named.name
        self._feed(Request(number, name, asked.deadline - self._fleet.now, key=str(asked.key)))

    def _feed(self, event: Event) -> None:
        for action in self.balancer.handle(event, self._fleet.now):
            self._do(action)

    def _do(self, action: Action) -> None:
        if isinstance(action, Send):
            self._send(action)
        elif isinstance(action, Refuse | Fail):
            self._answer(self._asked[action.request], "refused" if isinstance(action, Refuse) else "failed")
        elif isinstance(action, SetTimer):
            token = action.token
            self._fleet.later(self._fleet.now + action.delay, lambda: self._feed(TimerFired(token)))
        elif isinstance(action, Cancel):
            number, attempt = action.request, action.attempt
            self._fleet.later(self._fleet.now, lambda: self._end(number, attempt, Outcome.CANCELLED))

    def _send(self, action: Send) -> None:
        fleet, number = self._fleet, action.request
        asked = self._asked[number]
        attempt = len(asked.attempts)
        asked.attempts.append(Try(action.server, fleet.now))
        fleet.count("send after its answer", bool(asked.answers))
        fleet.count("send to a server told to leave", self._told.get(action.server) is not State.READY)
        fleet.count("send past the deadline", fleet.now >= asked.deadline)
        fleet.serve(self._settings.zone, asked, action.server, lambda how: self._end(number, attempt, how))

    def _end(self, number: int, attempt: int, outcome: Outcome) -> None:
        asked = self._asked.get(number)
        if asked is None or asked.attempts[attempt].over:
            return
        tried = asked.attempts[attempt]
        tried.over = True
        if outcome is Outcome.OK and not asked.answers:
            self._answer(asked, "served")
        latency, answered = self._fleet.now - tried.sent, bool(asked.answers)
        self._feed(AttemptEnded(number, attempt, tried.server, outcome, latency, answered))
        if asked.answers and all(each.over for each in asked.attempts):
            self._asked.pop(number, None)

    def _answer(self, asked: Asked, how: str) -> None:
        self._fleet.count("answer too many", bool(asked.answers))
        asked.answers.append(how)
        asked.answered_at = self._fleet.now

    def _expire(self, number: int) -> None:
        """Its client's time is up: what is out has timed out, and the balancer says what it says."""
        asked = self._asked.get(number)
        if asked is None:
            return
        for attempt, tried in enumerate(asked.attempts):
            if not tried.over:
                self._end(number, attempt, Outcome.TIMEOUT)
        self._asked.pop(number, None)


@dataclass
class Fleet:
    """The whole of it. `load` is the share of what all cores can do that first tries ask for."""

    machines: Sequence[Machine]
    kinds: Sequence[Kind]
    gateways: int
    load: float
    troubles: Sequence[Trouble] = ()
    retries: int = 1  # by clients, 100 ms after a refusal or failure, within the deadline
    zones: Sequence[str] = ("a",)
    across: int = 2 * MS  # one way, to another zone
    warmup: Warmup | None = None
    bursts: Sequence[Burst] = ()
    seed: int = 1
    now: int = 0
    broken: Counter[str] = field(default_factory=Counter)
    cold: list[ColdLoad] = field(default_factory=list)  # of each server that was started anew
    asked: list[list[Asked]] = field(default_factory=list)  # by client's request, its tries

    def __post_init__(self) -> None:
        self._random = Random(self.seed)
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        self._by_id = {machine.id: machine for machine in self.machines}
        self._holding: dict[int, dict[int, Callable[[Outcome], None]]] = {}  # by server, what it owes
        self._ran: dict[int, list[tuple[str, int]]] = {}  # by key, in which zone and when it ran
        self._cold_by_server: dict[int, ColdLoad] = {}
        parts = sum(kind.part for kind in self.kinds)
        self._mean_work = sum(kind.part * kind.work for kind in self.kinds) / parts
        named = tuple(kind.named for kind in self.kinds)
        self.doors = [
            Gateway(self, self._settings(named, rank), self.seed * 1000 + rank)
            for rank in range(self.gateways)
        ]

    def _settings(self, named: tuple[RequestClass, ...], rank: int) -> Settings:
        zone = self.zones[rank % len(self.zones)]
        settings = Settings(
            named, zone, self.gateways, rank, max_attempts=4, may_hedge=True, may_cancel=True,
        )  # fmt: skip
        if self.warmup is None:
            return settings
        warmup = self.warmup
        return replace(
            settings,
            cold_share=warmup.told_share,
            ramp_time=warmup.time,
            fall_multiple=warmup.multiple,
            fall_time=warmup.window,
        )

    def later(self, due: int, what: Callable[[], None]) -> None:
        heapq.heappush(self._due, (due, next(self._order), what))

    def count(self, rule: str, broken: bool) -> None:
        if broken:
            self.broken[rule] += 1

    def list_servers(self, leaving: frozenset[int] = frozenset()) -> None:
        told = [
            Server(
                each.id,
                State.DRAINING if each.id in leaving else State.READY,
                each.zone,
                started=each.started,
            )
            for each in self.machines
        ]
        for door in self.doors:
            door.tell(told)

    def restart(self, server: int) -> None:
        """Its process starts anew: what it holds is lost, after it ran. What its zone remembers stays."""
        old = self._by_id[server]
        new = self._by_id[server] = Machine(
            server, old.zone, old.cores, old.speed, old.at, started=self.now, warmup=self.warmup
        )
        if self.warmup is not None:
            load = ColdLoad(self.warmup, new.cores * new.speed / self._mean_work, self._mean_work)
            self._cold_by_server[server] = load
            self.cold.append(load)
        self.machines = [new if each is old else each for each in self.machines]
        for end in self._holding.pop(server, {}).values():
            self.later(self.now + NETWORK, partial(end, Outcome.RESET))
        self.list_servers()

    def play(self, until: int) -> None:
        """From the start to the end of the arrivals, and on until all is answered."""
        self.list_servers()
        rate = self.load * sum(each.cores * each.speed for each in self.machines) / self._mean_work
        arrives = 0.0
        while (arrives := arrives + self._random.expovariate(rate * self._factor(arrives))) < until:
            self.later(round(arrives), self._arrive)
        while self._due:
            self.now, _, what = heapq.heappop(self._due)
            what()

    def _factor(self, at: float) -> float:
        return next((burst.factor for burst in self.bursts if burst.begins <= at < burst.ends), 1.0)

    def _arrive(self) -> None:
        kind = self._random.choices(self.kinds, [each.part for each in self.kinds])[0]
        work, held = (self._random.expovariate(1 / mean) if mean else 0.0 for mean in (kind.work, kind.held))
        first = Asked(kind, self.now, self.now + kind.named.deadline, next(self._numbers), work, held)
        tries = [first]
        self.asked.append(tries)
        self._ask(first, tries)

    def _ask(self, asked: Asked, tries: list[Asked]) -> None:
        door = self._random.choice(self.doors)
        door.ask(next(self._numbers), asked)
        self.later(asked.deadline, lambda: self.count("no answer in time", not asked.answers))
        if len(tries) <= self.retries:
            self.later(self.now + 100 * MS, lambda: self._again(asked, tries))

    def _again(self, asked: Asked, tries: list[Asked]) -> None:
        """A client looks 100 ms later whether it was turned away; a key stays the same for its repeat."""
        if not asked.answers or asked.answers[0] == "served" or self.now >= asked.deadline:
            return
        if asked.answers[0] == "failed" and asked.kind.named.effect is not Effect.IDEMPOTENT:
            return
        again = Asked(asked.kind, self.now, asked.deadline, asked.key, asked.work, asked.held)
        tries.append(again)
        self._ask(again, tries)

    def serve(self, zone: str, asked: Asked, server: int, end: Callable[[Outcome], None]) -> None:
        machine = self._by_id[server]
        way = NETWORK if machine.zone == zone else self.across
        self.later(self.now + way, lambda: self._reach(machine, asked, way, end))

    def _reach(self, machine: Machine, asked: Asked, way: int, end: Callable[[Outcome], None]) -> None:
        if machine.id in self._cold_by_server:
            self._cold_by_server[machine.id].add(asked.work, machine.started, self.now)
        mine = [t for t in self.troubles if t.begins <= self.now < t.ends and machine.id in t.servers]
        if any(self._random.random() < trouble.errors for trouble in mine):
            self.later(self.now + FAILS_IN + way, lambda: end(Outcome.ERROR))
            return
        self._run(machine, asked)
        if any(trouble.silent for trouble in mine):
            return
        machine.look(self.now)  # it may have rested until now
        machine.held += 1
        machine.look(self.now)
        done = machine.work(self.now, asked.work, asked.held, [each for each in mine if each.pause])
        owed = next(self._numbers)
        self._holding.setdefault(machine.id, {})[owed] = end
        self.later(done, lambda: self._leave(machine, owed, way))

    def _leave(self, machine: Machine, owed: int, way: int) -> None:
        if self._by_id[machine.id] is not machine:  # that process is gone, and what it owed with it
            return
        machine.held -= 1
        machine.look(self.now)
        self.later(self.now + way, partial(self._holding[machine.id].pop(owed), Outcome.OK))

    def _run(self, machine: Machine, asked: Asked) -> None:
        """It runs, unless the group of its key drops it; what it must not do twice is counted."""
        kind, ran = asked.kind.named, self._ran.setdefault(asked.key, [])
        fresh = [zone for zone, at in ran if self.now < at + max(kind.dedup_window, 1)]
        if kind.effect is Effect.KEYED and machine.zone in fresh:
            return
        self.count("effect twice", bool(ran) and kind.effect is not Effect.IDEMPOTENT)
        ran.append((machine.zone, self.now))

    def goodput(self, begins: int, ends: int) -> float:
        """Share of the clients' requests of that time that were served within their aim."""
        tries = [each for each in self.asked if begins <= each[0].at < ends]
        return sum(self._in_time(each) for each in tries) / max(1, len(tries))

    def _in_time(self, tries: Sequence[Asked]) -> bool:
        due = tries[0].at + tries[0].kind.named.aim
        return any(each.answers[:1] == ["served"] and each.answered_at <= due for each in tries)

    def overdriven(self) -> int:
        return sum(machine.overdriven for machine in self.machines)
