"""The balancer's state of one server; it reads no clock and does no I/O.

Requests in flight are bounded by a concurrency limit, which answers in time raise and signs of overload cut.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from whinrouter.breaker import Breaker, ClassBreaker
from whinrouter.interface import SECOND, Attempt, Outcome, RequestClass, Server
from whinrouter.learned_state import LearnedServerState, age_of, moment_of
from whinrouter.slowstart import SlowStart

# Requests that all balancers together may have in flight at first at a new server of mean capacity, and the
# minimum for each balancer. All balancers start together: with 8 for each of three balancers, or 3 for each
# of eight, the first seconds of a day overloaded hosts of two or three cores, which recovered late. With a
# minimum of one for each of forty nothing was bounded; a quarter at each of its servers still lets a balancer
# start.
INITIAL_LIMIT, MIN_INITIAL_LIMIT = 10.0, 0.25
# The least limit of all balancers together, whatever the signs of overload. Some answers are late on any
# host; where two balancers share ten hosts and one has most of the traffic, one request in flight from each
# is no load. The minimum limits of a balancer's servers sum to at least one request. With a minimum of a
# quarter at each server instead, forty balancers together had ten requests at each.
MIN_LIMIT = 5.0
LIMIT_CUT_FACTOR = 0.7  # factor on the limit for each sign of overload
# Relative growth of a pooled limit with each answer in time. Together with LIMIT_CUT_FACTOR, the pool is
# steady where one answer in eight is late. Limits that doubled with each answer overloaded every server
# within the first second of a burst; those with 0.3 did as well, and with 0.1 on some days; with 0.025 pools
# were still small long after the overload.
POOLED_LIMIT_GROWTH = 0.05
# A latency ratio is forgotten over this time, or over the time of this many answers of each server if that is
# longer: a balancer that sent to a server every two seconds always forgot that the server was slow.
LATENCY_MEMORY, LATENCY_MEMORY_ANSWERS = SECOND // 2, 4
UNANSWERED = {None, Outcome.TIMEOUT, Outcome.CANCELLED}  # running, or given up while running


@dataclass(slots=True, eq=False)
class ServerState:
    """The state that a balancer keeps of one server since its start."""

    info: Server  # as discovery lists it
    random: Random
    breaker: Breaker
    slow_start: SlowStart  # bounds what is sent while the server is cold
    in_flight: int = 0
    limit: float = 1.0  # bounds `in_flight`, rounded down, but not below one
    min_limit: float = 1.0
    limit_cut_at: int = 0  # moment of the last cut
    latency_ratio: float = 1.0  # mean ratio of its latencies to the expected ones
    latency_ratio_at: int = 0  # moment of its last update
    capacity: float = 1.0  # relative to the other servers
    class_breakers: dict[str, ClassBreaker] = field(default_factory=dict)  # by announced class
    grouped_since: int = 0  # moment of the last change of its zone or cell; 0: none since its start

    def export_state(self, now: int) -> LearnedServerState:
        """Return the state that a successor of the balancer needs, with all moments as spans from now."""
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
        """Take over another balancer's state, with a share of its limit and of its slow-start tokens."""
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
        """Return the load: requests in flight, weighted by capacity and latency.

        The latency ratio decays to 1 over `memory` microseconds; else a server that was slow once would never
        be tried again.
        """
        latency_ratio = 1 + (self.latency_ratio - 1) * max(0.0, 1 - (now - self.latency_ratio_at) / memory)
        return (self.in_flight + 1) * latency_ratio / self.capacity

    def class_breaker(self, request_class: RequestClass) -> ClassBreaker:
        """Return the breaker of a class, created at its first use."""
        class_breaker = self.class_breakers.get(request_class.name)
        if class_breaker is None:
            class_breaker = self.class_breakers[request_class.name] = ClassBreaker(self.random)
        return class_breaker

    def admits(self, request_class: RequestClass, now: int) -> bool:
        """Whether the limit and both breakers admit a request of this class."""
        has_capacity = self.in_flight < max(1, int(self.limit))
        return has_capacity and self.breaker.admits(now) and self.class_breaker(request_class).admits(now)

    def raise_limit(self) -> None:
        """Raise the limit after an answer in time, if the requests in flight come near to it."""
        if 2 * self.in_flight >= self.limit - 2:
            self.limit += min(self.limit, 1 / self.limit)

    def raise_pooled_limit(self) -> None:
        """Raise a limit that is a part of a pool; the caller checks that the pool is nearly used up."""
        self.limit += min(POOLED_LIMIT_GROWTH * self.limit, 1 / self.limit)

    def cut_limit(self, attempt: Attempt, now: int) -> None:
        """Cut the limit, once for all requests that were in flight together: one stall delays them all."""
        if attempt.sent_at >= self.limit_cut_at:
            self.limit = max(self.min_limit, self.limit * LIMIT_CUT_FACTOR)
            self.limit_cut_at = now

    def record_success(self, request_class: RequestClass, attempt: Attempt, now: int) -> None:
        """Count an answer. If its attempt was counted as late, it shows only that the class is served."""
        if not attempt.is_counted:
            self.breaker.record_success(attempt.is_trial)
        self.class_breaker(request_class).record_answer(
            now, attempt.is_class_trial and not attempt.is_counted
        )

    def is_silent(
        self, request_class: RequestClass, attempt: Attempt, expected_latency: float, now: int
    ) -> bool:
        """Whether an attempt waited for the expected latency while the server answered none of its class.

        A slow server answers others meanwhile. Clients that leave early must not hide a silent server: each
        frees its slot, so that the server looks idle to the next one.
        """
        has_waited = attempt.outcome in UNANSWERED and now - attempt.sent_at >= expected_latency
        return has_waited and self.class_breaker(request_class).last_answer_at < attempt.sent_at
