"""What a balancer believes of one server; it reads no clock and does no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from whinrouter.breaker import Breaker, ClassBreaker
from whinrouter.interface import SECOND, Attempt, Outcome, RequestClass, Server
from whinrouter.learned_state import LearnedServerState, age_of, moment_of
from whinrouter.slowstart import SlowStart

# Attempts that all balancers together may have in flight at a server of mean size that they have just met.
# All start together: with 8 for each of three, or 3 for each of eight, the first seconds of a day filled
# hosts of two or three cores beyond what these recover from soon. And each of them at least: with a whole one
# for each of forty nothing was bounded, and a quarter at each of its servers lets any of them begin.
INITIAL_LIMIT, MIN_INITIAL_LIMIT = 10.0, 0.25
# And what signs of overload leave to all together. Some answers are late on any host; where two balancers
# share ten, and one has most of the traffic, one in flight from each is no load. All servers of a balancer
# are worth one request at least: with a quarter from each, forty balancers had ten at each server.
MIN_LIMIT = 5.0
LIMIT_CUT_FACTOR = 0.7  # by which each sign of overload cuts that limit
# By which an answer in time widens a part of a pool. Against `BACK_OFF` the pool stands where one answer in
# eight is late. Doubled by each, limits grew within the first second of a burst to what overdrives every
# server; with 0.3 they did as well, with 0.1 on some days, and with 0.025 pools were still small long after
# trouble was over.
POOLED_LIMIT_GROWTH = 0.05
# A server's pace is remembered for this long, and for as long as so many answers of each server take to come:
# one that meets a server every two seconds had always forgotten that it was slow.
LATENCY_MEMORY, LATENCY_MEMORY_ANSWERS = SECOND // 2, 4
UNANSWERED = {None, Outcome.TIMEOUT, Outcome.CANCELLED}  # out, or given up while it was


@dataclass(slots=True, eq=False)
class ServerState:
    info: Server
    random: Random
    breaker: Breaker
    slow_start: SlowStart  # what may be sent while it is cold
    in_flight: int = 0
    limit: float = 1.0  # in flight at most, or one; grows with answers in time
    min_limit: float = 1.0  # below which it does not shrink
    limit_cut_at: int = 0  # when the limit was last cut
    latency_ratio: float = 1.0  # how long its answers take, as a multiple of the usual time
    latency_ratio_at: int = 0
    capacity: float = 1.0  # how much it can do, against the others
    class_breakers: dict[str, ClassBreaker] = field(default_factory=dict)  # an entry for each class announced

    def export_state(self, now: int) -> LearnedServerState:
        class_breakers = {name: breaker.export_state(now) for name, breaker in self.class_breakers.items()}
        info, breaker = self.info, self.breaker.export_state(now)
        return LearnedServerState(
            info.id,
            age_of(info.started_at, now),
            self.limit,
            self.latency_ratio,
            age_of(self.latency_ratio_at, now),
            self.slow_start.tokens,
            breaker,
            class_breakers,
        )

    def restore_state(self, learned: LearnedServerState, share: float, now: int) -> None:
        """Go on from what another learnt, with a part of its limit and of a cold server's share."""
        self.limit = max(self.min_limit, learned.limit * share)
        self.latency_ratio, self.latency_ratio_at = (
            learned.latency_ratio,
            moment_of(learned.latency_ratio_age, now),
        )
        self.slow_start.tokens = learned.slow_start_tokens * share
        self.breaker.restore_state(learned.breaker, now)
        for class_name, breaker_state in learned.class_breakers.items():
            self.class_breakers.setdefault(class_name, ClassBreaker(self.random)).restore_state(
                breaker_state, now
            )

    def load_score(self, now: int, memory: float) -> float:
        """In flight by size and pace; a pace not seen again is forgotten, or it would last for ever."""
        latency_ratio = 1 + (self.latency_ratio - 1) * max(0.0, 1 - (now - self.latency_ratio_at) / memory)
        return (self.in_flight + 1) * latency_ratio / self.capacity

    def class_breaker(self, request_class: RequestClass) -> ClassBreaker:
        class_breaker = self.class_breakers.get(request_class.name)
        if class_breaker is None:
            class_breaker = self.class_breakers[request_class.name] = ClassBreaker(self.random)
        return class_breaker

    def admits(self, request_class: RequestClass, now: int) -> bool:
        has_capacity = self.in_flight < max(1, int(self.limit))
        return has_capacity and self.breaker.admits(now) and self.class_breaker(request_class).admits(now)

    def raise_limit(self) -> None:
        """An answer came in time: the limit grows where it is nearly reached."""
        if 2 * self.in_flight >= self.limit - 2:
            self.limit += min(self.limit, 1 / self.limit)

    def raise_pooled_limit(self) -> None:
        """Likewise, where it counts as a part of a sum that is nearly reached (`Balancer._crowded`)."""
        self.limit += min(POOLED_LIMIT_GROWTH * self.limit, 1 / self.limit)

    def cut_limit(self, attempt: Attempt, now: int) -> None:
        """One stall delays all that is in flight: it is one sign, however many attempts it holds."""
        if attempt.sent_at >= self.limit_cut_at:
            self.limit = max(self.min_limit, self.limit * LIMIT_CUT_FACTOR)
            self.limit_cut_at = now

    def record_success(self, request_class: RequestClass, attempt: Attempt, now: int) -> None:
        """A late answer has had its verdict, but shows that its class is served."""
        if not attempt.is_counted:
            self.breaker.record_success(attempt.is_trial)
        self.class_breaker(request_class).record_answer(
            now, attempt.is_class_trial and not attempt.is_counted
        )

    def is_silent(
        self, request_class: RequestClass, attempt: Attempt, expected_latency: float, now: int
    ) -> bool:
        """Whether it let an attempt wait and served none of its class meanwhile; a slow one serves others.

        Clients that leave early must not hide that: each makes a silent server look free for the next.
        """
        has_waited = attempt.outcome in UNANSWERED and now - attempt.sent_at >= expected_latency
        return has_waited and self.class_breaker(request_class).last_answer_at < attempt.sent_at
