"""How long a watch on the list of hosts is believed, and when it is asked for again. No I/O, no clock.

Theory of operation. A watch that lives says something every `BEAT` seconds, be it an empty line. One that
does not is broken, though its connection stands; what it misses counts as told `TOLD` seconds after it fell
silent, which may be right after its last byte. So all of this has to fit in between:

    the silence that is waited for + a pause + a connection + an answer   (the last three twice, if need be)

Two kinds of service answer, and they bear opposite treatment. An agent on the gateway's own machine (lists
are pushed) answers at once and costs nothing: it is given up soon and asked again soon, also for as long as
it says nothing because the service behind it is down, as what it gets at the return counts at once.

    pushed:  3.0 + 0.1 + 0.5 + 1.0 = 4.6 s, and 6.3 s with one try that comes to nothing (grace: 0.5 s more)

One service for all gateways (lists are asked for) takes calls one after another. Seen: with 40 gateways a
call takes 0.125 s of it, and one that has waited for 2 s is dropped, but done all the same once its turn
comes. So once all together ask for more than it can do, the line stays longer than that limit and nobody
has an answer, however many calls it could take: of 40 gateways 22 to 31 never had a list again. The bench's
page bounds what such a service can do at any scale: one call from every gateway within 2 to 8 s. So what
spreads calls need not grow with the number of gateways beyond that, and a change counts as told 6 s after
the service had it and could be reached, whatever call had failed:

    asked:   4.2 (silence) + 1.0 (pause) + 0.5 (connection) + 0.8 (answer) = 6.5 s with grace, however many

The spread of the silence and of the first pause, 2 s together, is what keeps those whose watches broke
together from asking together. Who was dropped comes back at any time within `DROPPED_SPREAD`, twice what
the slowest service takes for a call from each, so that all together ask for half of what it can do; if the
line is still full after that, the time doubles.

Who is in a hurry is who had a watch that broke, be it in an earlier process. A process cannot know whether
the one before it had a watch. So it asks within `STARTS` seconds, as a start takes a few of the `TOLD`;
those that were dropped leave most of the service's calls to such as these; and a call that was broken off,
which tells of no line, is made once more within `ONCE_MORE`. After that pauses double, for answers that
break off again from there, as their turn had come; for all else from `least_pause`.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

HEARTBEAT_SECONDS = 2.0  # seconds between two lines of a watch on which nothing changes
NOTIFICATION_DEADLINE_SECONDS = 6.0  # seconds after which what a silent watch misses counts as told
START_SPREAD_SECONDS = (
    1.5  # seconds within which a process makes its first call: a restart took 3 s of `TOLD` already
)
SINGLE_RETRY_SECONDS = (
    0.3  # seconds within which a call that was broken off is made once more: it may have 2 s to wait
)
MIN_JITTER = 0.5  # a pause after what failed at once is at least this part of what it may be
MIN_QUEUE_JITTER = 0.05  # and one of those who were turned away, whose point is to be spread
SLOWEST_ROUND_SECONDS = (
    8.0  # seconds in which the slowest service takes one call from every gateway, at any scale
)
DROPPED_SPREAD_SECONDS = 2 * SLOWEST_ROUND_SECONDS  # seconds within which all that were dropped come back
QUEUED_SECONDS = 0.5  # seconds: a call that took longer and had no answer, or a refusal, has stood in a line


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """The times of one kind of service; all in seconds."""

    silence_timeout: tuple[float, float]  # from a byte to the next, drawn for each watch
    connect_timeout: float  # for a connection to come up
    first_line_timeout: float  # and from then to the first whole line
    min_backoff: float  # after a watch that had a line; doubled after each try that comes to nothing
    max_backoff: float
    queue_full_spread: float = 0.0  # within which all that were turned away come back; 0: there is no line
    start_spread: float = 0.0  # within which processes that start with a list of old first ask

    def draw_silence_timeout(self, random: Random) -> float:
        """How long one watch may say nothing, from its first line on."""
        return random.uniform(*self.silence_timeout)

    def start_delay(self, random: Random) -> float:
        """How long a process waits that has a list of old."""
        return random.uniform(0.0, self.start_spread)

    def backoff(self, failed: int, full: bool, random: Random, broke: bool = False) -> float:
        """How long to wait before the next try, after so many in a row that brought no line.

        `full`: the last one stood in a line to no end. `broke`: its answer had begun, and broke off.
        """
        doubled: float = 2.0 ** min(failed, 16)
        if full and self.queue_full_spread:
            return min(self.max_backoff, self.queue_full_spread * doubled / 2) * random.uniform(
                MIN_QUEUE_JITTER, 1
            )
        if failed == 1 or (failed and broke):
            return min(self.max_backoff, SINGLE_RETRY_SECONDS * doubled / 2) * random.uniform(MIN_JITTER, 1)
        return min(self.max_backoff, self.min_backoff * doubled) * random.uniform(MIN_JITTER, 1)


# A beat missed, and half of one for a loop that runs late. A false alarm costs one call that is free.
LOCAL_AGENT_POLICY = RetryPolicy(
    (1.5 * HEARTBEAT_SECONDS, 1.5 * HEARTBEAT_SECONDS),
    connect_timeout=0.5,
    first_line_timeout=1.0,
    min_backoff=0.1,
    max_backoff=0.2,
)


def shared_service_policy(gateways: int, ask_every: float) -> RetryPolicy:
    """Of one service for so many gateways, each of which asks every so many seconds while it has no watch."""
    return RetryPolicy(
        # A beat missed, and up to half of one more that spreads those whose watches fell silent together.
        silence_timeout=(1.6 * HEARTBEAT_SECONDS, 2.1 * HEARTBEAT_SECONDS),
        connect_timeout=0.5,
        first_line_timeout=2.5,  # a call that waited for 2 s is dropped
        min_backoff=max(0.1, min(1.0, gateways / 40)),
        # 1.25 calls a second of all together, and no less often than needed with half of the time to spare.
        max_backoff=max(2.0, min(gateways / 1.25, 2 * ask_every)),
        queue_full_spread=min(DROPPED_SPREAD_SECONDS, gateways / 2.5),
        start_spread=min(START_SPREAD_SECONDS, gateways / 25),
    )
