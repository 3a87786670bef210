"""What a balancer believes of one server; it reads no clock and does no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from whinrouter.breaker import Breaker, ClassBreaker
from whinrouter.interface import SECOND, Attempt, Outcome, RequestClass, Server
from whinrouter.learned_state import HostLearnt, age_of, moment_of
from whinrouter.slowstart import SlowStart

# Attempts that all balancers together may have in flight at a server of mean size that they have just met.
# All start together: with 8 for each of three, or 3 for each of eight, the first seconds of a day filled
# hosts of two or three cores beyond what these recover from soon. And each of them at least: with a whole one
# for each of forty nothing was bounded, and a quarter at each of its servers lets any of them begin.
FIRST_LIMIT, LEAST_FIRST_LIMIT = 10.0, 0.25
# And what signs of overload leave to all together. Some answers are late on any host; where two balancers
# share ten, and one has most of the traffic, one in flight from each is no load. All servers of a balancer
# are worth one request at least: with a quarter from each, forty balancers had ten at each server.
LAST_LIMIT = 5.0
BACK_OFF = 0.7  # by which each sign of overload cuts that limit
# By which an answer in time widens a part of a pool. Against `BACK_OFF` the pool stands where one answer in
# eight is late. Doubled by each, limits grew within the first second of a burst to what overdrives every
# server; with 0.3 they did as well, with 0.1 on some days, and with 0.025 pools were still small long after
# trouble was over.
WIDEN = 0.05
# A server's pace is remembered for this long, and for as long as so many answers of each server take to come:
# one that meets a server every two seconds had always forgotten that it was slow.
RECALL, RECALL_ANSWERS = SECOND // 2, 4
IN_VAIN = {None, Outcome.TIMEOUT, Outcome.CANCELLED}  # out, or given up while it was


@dataclass(slots=True, eq=False)
class Host:
    info: Server
    random: Random
    breaker: Breaker
    slow_start: SlowStart  # what may be sent while it is cold
    in_flight: int = 0
    limit: float = 1.0  # in flight at most, or one; grows with answers in time
    least: float = 1.0  # below which it does not shrink
    cut: int = 0  # when the limit was last cut
    pace: float = 1.0  # how long its answers take, as a multiple of the usual time
    paced: int = 0
    size: float = 1.0  # how much it can do, against the others
    classes: dict[str, ClassBreaker] = field(default_factory=dict)  # an entry for each class announced

    def learnt(self, now: int) -> HostLearnt:
        classes = {name: breaker.state(now) for name, breaker in self.classes.items()}
        known, breaker = self.info, self.breaker.state(now)
        return HostLearnt(
            known.id,
            age_of(known.started, now),
            self.limit,
            self.pace,
            age_of(self.paced, now),
            self.slow_start.tokens,
            breaker,
            classes,
        )

    def resume(self, learnt: HostLearnt, part: float, now: int) -> None:
        """Go on from what another learnt, with a part of its limit and of a cold server's share."""
        self.limit = max(self.least, learnt.limit * part)
        self.pace, self.paced = learnt.pace, moment_of(learnt.paced, now)
        self.slow_start.tokens = learnt.tokens * part
        self.breaker.resume(learnt.breaker, now)
        for name, state in learnt.classes.items():
            self.classes.setdefault(name, ClassBreaker(self.random)).resume(state, now)

    def busy(self, now: int, recall: float) -> float:
        """In flight by size and pace; a pace not seen again is forgotten, or it would last for ever."""
        pace = 1 + (self.pace - 1) * max(0.0, 1 - (now - self.paced) / recall)
        return (self.in_flight + 1) * pace / self.size

    def of(self, kind: RequestClass) -> ClassBreaker:
        known = self.classes.get(kind.name)
        if known is None:
            known = self.classes[kind.name] = ClassBreaker(self.random)
        return known

    def admits(self, kind: RequestClass, now: int) -> bool:
        room = self.in_flight < max(1, int(self.limit))
        return room and self.breaker.admits(now) and self.of(kind).admits(now)

    def widen(self) -> None:
        """An answer came in time: the limit grows where it is nearly reached."""
        if 2 * self.in_flight >= self.limit - 2:
            self.limit += min(self.limit, 1 / self.limit)

    def widen_pool(self) -> None:
        """Likewise, where it counts as a part of a sum that is nearly reached (`Balancer._crowded`)."""
        self.limit += min(WIDEN * self.limit, 1 / self.limit)

    def narrow(self, attempt: Attempt, now: int) -> None:
        """One stall delays all that is in flight: it is one sign, however many attempts it holds."""
        if attempt.sent >= self.cut:
            self.limit = max(self.least, self.limit * BACK_OFF)
            self.cut = now

    def succeed(self, kind: RequestClass, attempt: Attempt, now: int) -> None:
        """A late answer has had its verdict, but shows that its class is served."""
        if not attempt.judged:
            self.breaker.succeed(attempt.trial)
        self.of(kind).serve(now, attempt.class_trial and not attempt.judged)

    def silent(self, kind: RequestClass, attempt: Attempt, usual: float, now: int) -> bool:
        """Whether it let an attempt wait and served none of its class meanwhile; a slow one serves others.

        Clients that leave early must not hide that: each makes a silent server look free for the next.
        """
        waited = attempt.outcome in IN_VAIN and now - attempt.sent >= usual
        return waited and self.of(kind).served < attempt.sent
