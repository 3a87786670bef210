"""What one balancer may send to one server that is still cold (slow start); no clock, no I/O.

Theory of operation. A server that has just started can do a part of its work, and falls if all balancers
together send it more than N: a multiple of what it can do, within a time that the settings tell. Nobody
knows what it can do; of its warmth the settings tell the least. So what it may be sent has two sources, of
which the larger counts:

- a base rate: `BASE_PART` of that multiple of its share, by its least warmth, of the work that this
  balancer's servers of its kind do;
- its own answers: each lets `ANSWERED_PART` of that multiple of its work be sent to it again. That follows
  what it can do, also where that is more than is told, and however little the others do meanwhile: a burst
  that makes the warm ones late does not leave the cold ones idle.

Both are tokens of work, which are lost after `SAVED_PART` of the time over which N is counted. A balancer
of hundreds seldom has tokens for a whole request. If it saved up for one, all of them could send theirs at
the same moment; so a request is granted at random, with the chance that the tokens at hand make of its
work, and they are gone whether or not it is. A grant that is not used lasts as long as tokens do.

Bound. Let a server do C in the time T over which N = multiple * C is counted. All balancers together get
tokens for `ANSWERED_PART` * N in T from its answers, or, if that is more, for `BASE_PART` * N from what
servers of its kind do, of which its least share is no more than C. With what was saved before T it is (1 +
`SAVED_PART`) times that: N. What is granted at random scatters about that by the root of N.
"""

from __future__ import annotations

from random import Random

# With 0.4 and no tokens from answers, the cold half of a fleet did a quarter of what it could, and the warm
# half stood in a queue for the rest.
BASE_RATE_FRACTION = 0.6
ANSWER_FRACTION = 0.8
TOKEN_LIFETIME_FRACTION = 0.25


class SlowStart:
    """The tokens of one server at one balancer; times in microseconds, work in any one unit."""

    __slots__ = ("_base_rate_offset", "_granted_cost", "_granted_until", "_refilled_at", "tokens")

    def __init__(self, now: int) -> None:
        self.tokens = 0.0
        self._refilled_at = now
        self._base_rate_offset = 0.0  # tokens from answers, in place of which the base rate brings none
        self._granted_cost = 0.0  # work of the request that may be sent
        self._granted_until = 0

    def admits(self, cost: float, rate: float, lifetime: float, now: int, random: Random) -> bool:
        """Whether a request of so much work may be sent now.

        `rate` is the base rate, in work by time; tokens and grants last for `lasts`. A grant stands until
        then, however often it is asked for, or until a request is sent.
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
        """A request of so much work was sent; what it is beyond its grant is owed."""
        if not self._granted_until:  # the server is warm
            return
        self.tokens -= cost - self._granted_cost
        self._granted_cost, self._granted_until = 0.0, 0

    def record_answer(self, cost: float, multiple: float) -> None:
        """The server has done a request of so much work; `multiple` is that of the settings."""
        self.tokens += ANSWER_FRACTION * multiple * cost
        self._base_rate_offset += ANSWER_FRACTION * multiple * cost

    def _refill(self, rate: float, lifetime: float, now: int) -> None:
        elapsed, self._refilled_at = now - self._refilled_at, now
        kept_share = max(0.0, 1 - elapsed / lifetime)
        if self.tokens > 0:
            self.tokens *= kept_share
        self._base_rate_offset *= kept_share
        earned = rate * min(elapsed, lifetime)
        offset = min(earned, self._base_rate_offset)
        self._base_rate_offset -= offset
        self.tokens += earned - offset
