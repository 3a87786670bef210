"""What a balancer believes of one server; it reads no clock and does no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from whinrouter.breaker import Breaker, ClassBreaker
from whinrouter.interface import SECOND, Attempt, Outcome, RequestClass, Server
from whinrouter.learnt import HostLearnt

# Attempts that all balancers together may have in flight at a server of mean size that they have just met,
# and each of them at least. All start together: with 8 for each of three, or 3 for each of eight, the first
# seconds of a day filled hosts of two or three cores beyond what these recover from soon.
FIRST_LIMIT, LEAST_FIRST_LIMIT = 10.0, 1.0
# And what signs of overload leave to all together, and to each of them. Some answers are late on any host;
# where two balancers share ten, and one has most of the traffic, one in flight from each is no load.
# A quarter from each: the fewest servers that one keeps to, four, are then worth one request.
LAST_LIMIT, LEAST_LAST_LIMIT = 5.0, 0.25
BACK_OFF = 0.7  # by which each sign of overload cuts that limit
RECALL = SECOND // 2  # a server's pace is remembered for this long
IN_VAIN = {None, Outcome.TIMEOUT, Outcome.CANCELLED}  # out, or given up while it was


@dataclass(slots=True, eq=False)
class Host:
    info: Server
    random: Random
    breaker: Breaker
    refilled: int  # when its allowance was brought up to date
    allowance: float = 0.0  # work that may be sent while cold
    in_flight: int = 0
    limit: float = LEAST_FIRST_LIMIT  # in flight at most, or one; grows with answers in time
    least: float = LEAST_LAST_LIMIT  # below which it does not shrink
    cut: int = 0  # when the limit was last cut
    pace: float = 1.0  # how long its answers take, as a multiple of the usual time
    paced: int = 0
    size: float = 1.0  # how much it can do, against the others
    classes: dict[str, ClassBreaker] = field(default_factory=dict)  # an entry for each class announced

    def learnt(self) -> HostLearnt:
        classes = {name: breaker.state() for name, breaker in self.classes.items()}
        known, breaker = self.info, self.breaker.state()
        return HostLearnt(
            known.id, known.started, self.limit, self.pace, self.paced, self.allowance, breaker, classes
        )

    def resume(self, learnt: HostLearnt, part: float) -> None:
        """Go on from what another learnt, with a part of its limit and of a cold server's share."""
        self.limit = max(self.least, learnt.limit * part)
        self.pace, self.paced, self.allowance = learnt.pace, learnt.paced, learnt.allowance * part
        self.breaker.resume(learnt.breaker)
        for name, state in learnt.classes.items():
            self.classes.setdefault(name, ClassBreaker(self.random)).resume(state)

    def busy(self, now: int) -> float:
        """In flight by size and pace; a pace not seen again is forgotten, or it would last for ever."""
        pace = 1 + (self.pace - 1) * max(0.0, 1 - (now - self.paced) / RECALL)
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
