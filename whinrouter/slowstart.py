"""Slow start: what one balancer may send to one cold server; no clock, no I/O.

Theory of operation. A server that has just started has only a share of its capacity, and it collapses if all
balancers together send it more than N: a multiple of its present capacity within a window; the settings give
both. The present capacity is unknown; the settings only give its least share. So the work that may be sent
has two sources, of which the larger one counts:

- a base rate: `BASE_RATE_FRACTION` * multiple * the server's share, by its least capacity, of the work that
  this balancer's servers of its kind do;
- the server's own answers: each allows `ANSWER_FRACTION` * multiple * its work to be sent again. This follows
  the real capacity, even if it is above the least one, and however little work the other servers do: a burst
  that delays the answers of warm servers does not leave the cold ones idle.

Both give tokens of work, which expire after `TOKEN_LIFETIME_FRACTION` of the window. One of hundreds of
balancers seldom has the tokens for a whole request. If balancers saved up for one, all of them could send
theirs at the same moment. So a request is granted at random, with the probability tokens / work, and the
tokens are spent in either case. An unused grant expires like tokens.

Bound. Let a server do the work C within the window T, so that N = multiple * C. All balancers together get
tokens for `ANSWER_FRACTION` * N in T from its answers, or, if that is more, for `BASE_RATE_FRACTION` * N from
the work of the servers of its kind, of which its least share is no more than C. With the tokens saved before
T the sum is (1 + `TOKEN_LIFETIME_FRACTION`) times that: N. What is granted at random deviates from that by
about the square root of N.
"""

from __future__ import annotations

from random import Random

# With 0.4 and no tokens from answers, the cold half of a fleet did a quarter of the work that it could, and
# the rest queued at the warm half.
BASE_RATE_FRACTION = 0.6
ANSWER_FRACTION = 0.8
TOKEN_LIFETIME_FRACTION = 0.25


class SlowStart:
    """The tokens of one server at one balancer. Times are in microseconds, work in any one unit."""

    __slots__ = ("_base_rate_offset", "_granted_cost", "_granted_until", "_refilled_at", "tokens")

    def __init__(self, now: int) -> None:
        self.tokens = 0.0
        self._refilled_at = now
        self._base_rate_offset = 0.0  # tokens from answers that the base rate must not add again
        self._granted_cost = 0.0  # work of the request that may be sent
        self._granted_until = 0

    def admits(self, cost: float, rate: float, lifetime: float, now: int, random: Random) -> bool:
        """Whether a request of this much work may be sent now.

        `rate` is the base rate in work per microsecond; tokens and grants last for `lifetime`. A grant holds
        for that time, however often it is asked for, or until a request is sent.
        """
        if now < self._granted_until:
            return True
        self._refill(rate, lifetime, now)
        is_granted = random.random() * cost < self.tokens
        self.tokens = max(0.0, self.tokens - cost)
        if is_granted:
            self._granted_cost, self._granted_until = cost, now + round(lifetime)
        return is_granted

    def record_send(self, cost: float) -> None:
        """Subtract the work of a sent request; what exceeds its grant becomes debt."""
        if not self._granted_until:  # the server is warm
            return
        self.tokens -= cost - self._granted_cost
        self._granted_cost, self._granted_until = 0.0, 0

    def record_answer(self, cost: float, multiple: float) -> None:
        """Add tokens for a request that the server has served; `multiple` is `cold_overload_multiple`."""
        self.tokens += ANSWER_FRACTION * multiple * cost
        self._base_rate_offset += ANSWER_FRACTION * multiple * cost

    def _refill(self, rate: float, lifetime: float, now: int) -> None:
        """Expire old tokens, and add those of the base rate that answers have not brought already."""
        elapsed, self._refilled_at = now - self._refilled_at, now
        kept_share = max(0.0, 1 - elapsed / lifetime)
        if self.tokens > 0:
            self.tokens *= kept_share
        self._base_rate_offset *= kept_share
        earned = rate * min(elapsed, lifetime)
        offset = min(earned, self._base_rate_offset)
        self._base_rate_offset -= offset
        self.tokens += earned - offset
