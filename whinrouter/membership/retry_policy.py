"""The retry policy of the discovery watch: when a watch is given up, and when it is asked for again.

Theory of operation. A live watch sends a line every `HEARTBEAT_SECONDS`, an empty one if nothing changes. A
watch that does not is broken, even if its connection is still open. The gateway counts as notified of what a
silent watch misses `NOTIFICATION_DEADLINE_SECONDS` after it fell silent, which may be right after its last
byte. All of this has to fit into that time:

    silence timeout + backoff + connect timeout + time to the first line

and, if one call fails, the last three a second time.

There are two kinds of discovery service, which need opposite treatment. An agent on the gateway's own machine
(lists are pushed) answers at once and costs nothing. Its watch is given up soon and asked for again soon,
also while the agent is silent because the service behind it is down: the gateway counts as notified of what
the agent delivers as soon as that service returns.

    local agent:     3.0 + 0.1 + 0.5 + 1.0 = 4.6 s, and 6.3 s with one failed call (the grace is 0.5 s more)

A service that all gateways share (lists are asked for) handles calls one after another. In a test with 40
gateways each call took 0.125 s of it, and a call that had waited for 2 s was dropped, but still processed
once its turn came. Once all gateways together make more calls than the service can handle, its queue stays
longer than that limit and hardly any call succeeds, whatever its capacity: 22 to 31 of the 40 gateways never
received a list again. What such a service can handle is bounded at any scale: one call from every
gateway takes it 2 to 8 s. So the spread of the calls need not grow with the number of gateways beyond that.
The gateway counts as notified of a change 6 s after the service had it and could be reached, whichever calls
had failed:

    shared service:  4.2 (silence) + 1.0 (backoff) + 0.5 (connection) + 0.8 (answer) = 6.5 s, with the grace

The spread of the silence timeout and of the first backoff, 2 s together, keeps gateways whose watches broke
together from calling together. A gateway whose call was dropped calls again at any time within
`DROPPED_SPREAD_SECONDS`, twice what the slowest service takes for a call from each gateway, so that all of
them together ask for half of its capacity. If the queue is still full after that, the time doubles.

The most urgent calls are those of gateways that had a watch, even if it was an earlier process's watch. A
process can't know whether the one before it had one. So it makes its first call within
`START_SPREAD_SECONDS`, as a restart has used up a part of the notification deadline; gateways whose calls
were dropped leave most of the service's capacity to these. A call whose answer broke off does not show a full
queue, and is repeated once within `SINGLE_RETRY_SECONDS`. After that the backoff doubles: from there for
answers that break off again, as the queue was behind them, and from `min_backoff` for all else. No I/O, no
clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

HEARTBEAT_SECONDS = 2.0  # interval of the lines of a watch on which nothing changes
NOTIFICATION_DEADLINE_SECONDS = 6.0  # the gateway counts as notified this long after its watch fell silent
START_SPREAD_SECONDS = 1.5  # spread of first calls: a restart has taken 3 s of the notification deadline
SINGLE_RETRY_SECONDS = 0.3  # delay of a call that broke off: it may then wait in the queue for 2 s
MIN_JITTER = 0.5  # the least part of a backoff after a call that failed at once
MIN_QUEUE_JITTER = 0.05  # the same after a dropped call; lower, as such calls have to be spread
SLOWEST_ROUND_SECONDS = 8.0  # the slowest service takes this long for one call from every gateway
DROPPED_SPREAD_SECONDS = 2 * SLOWEST_ROUND_SECONDS  # within which all dropped calls are repeated
QUEUED_SECONDS = 0.5  # a call without an answer, or refused, that took longer has waited in a queue


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """The times for one kind of service, in seconds."""

    silence_timeout: tuple[float, float]  # between two bytes; a range, from which each watch draws
    connect_timeout: float  # for opening the connection
    first_line_timeout: float  # from then on to the first whole line
    min_backoff: float  # after a watch that had a line; doubled after each failed call
    max_backoff: float
    queue_full_spread: float = 0.0  # within which dropped calls are repeated; 0: there is no queue
    start_spread: float = 0.0  # within which a process that has an old list makes its first call

    def draw_silence_timeout(self, random: Random) -> float:
        """Return for how many seconds one watch may be silent after its first line."""
        return random.uniform(*self.silence_timeout)

    def start_delay(self, random: Random) -> float:
        """Return how many seconds a process that has an old list waits before its first call."""
        return random.uniform(0.0, self.start_spread)

    def backoff(
        self, failures: int, is_queue_full: bool, random: Random, is_broken_off: bool = False
    ) -> float:
        """Return the seconds to wait before the next call, after `failures` calls in a row without a line.

        `is_queue_full`: the last call waited in a queue until it failed. `is_broken_off`: its answer broke
        off.
        """
        doubled: float = 2.0 ** min(failures, 16)
        if is_queue_full and self.queue_full_spread:
            return min(self.max_backoff, self.queue_full_spread * doubled / 2) * random.uniform(
                MIN_QUEUE_JITTER, 1
            )
        if failures == 1 or (failures and is_broken_off):
            return min(self.max_backoff, SINGLE_RETRY_SECONDS * doubled / 2) * random.uniform(MIN_JITTER, 1)
        return min(self.max_backoff, self.min_backoff * doubled) * random.uniform(MIN_JITTER, 1)


# The silence is one missed heartbeat, and half of one more for an event loop that runs late. A false alarm
# costs one call, which is free.
LOCAL_AGENT_POLICY = RetryPolicy(
    (1.5 * HEARTBEAT_SECONDS, 1.5 * HEARTBEAT_SECONDS),
    connect_timeout=0.5,
    first_line_timeout=1.0,
    min_backoff=0.1,
    max_backoff=0.2,
)


def shared_service_policy(gateways: int, ask_every: float) -> RetryPolicy:
    """The policy for a service that `gateways` gateways share.

    `ask_every`: the seconds between the calls of a gateway that has no watch, as the settings have it.
    """
    return RetryPolicy(
        # One missed heartbeat, and up to half of one more to spread watches that fell silent together.
        silence_timeout=(1.6 * HEARTBEAT_SECONDS, 2.1 * HEARTBEAT_SECONDS),
        connect_timeout=0.5,
        first_line_timeout=2.5,  # the service drops a call that has waited for 2 s
        min_backoff=max(0.1, min(1.0, gateways / 40)),
        # All gateways together make 1.25 calls a second, but each one calls at least as often as the settings
        # require, with half of that time to spare.
        max_backoff=max(2.0, min(gateways / 1.25, 2 * ask_every)),
        queue_full_spread=min(DROPPED_SPREAD_SECONDS, gateways / 2.5),
        start_spread=min(START_SPREAD_SECONDS, gateways / 25),
    )
