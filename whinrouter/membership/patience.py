"""How long a watch on the list of hosts is believed, and when it is asked for again. No I/O, no clock.

Theory of operation. A watch that lives says something every `BEAT` seconds, be it an empty line. One that
does not is broken, though its connection stands; what it misses counts as told `TOLD` seconds after it fell
silent, which may be right after its last byte. So all of this has to fit in between:

    the silence that is waited for + a pause + a connection + an answer   (the last three twice, if need be)

Two kinds of service answer, and they bear opposite treatment. An agent on the gateway's own machine (lists
are pushed) answers at once and costs nothing: it is given up soon and asked again soon, also for as long as
it says nothing because the service behind it is down, as what it gets at the return counts at once.

    pushed:  3.0 + 0.1 + 0.5 + 1.0 = 4.6 s, and 6.3 s with one try that comes to nothing (grace: 0.5 s more)

One service for all gateways (lists are asked for) takes calls one after another and drops those that waited
too long (2 s, seen). Watches that fall silent together must not ask together, and those that are turned
away must ask so seldom that the line gets shorter than that limit: while it is full each call is dropped
just as its turn comes, and nobody has an answer, however many calls the service could take. It can take so
many a second, whatever the number of gateways; so the pauses grow with that number. With 40 gateways and
pauses of 2 s at most, 22 to 31 never had a list again. They stay under what the settings allow between two
calls (`ask_every`, counted fourfold after a failed one).
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

BEAT = 2.0  # seconds between two lines of a watch on which nothing changes
TOLD = 6.0  # seconds after which what a silent watch misses counts as told
JITTER = 0.5  # a pause is at least this part of what it may be


@dataclass(frozen=True, slots=True)
class Patience:
    """The times of one kind of service; all in seconds."""

    silence: tuple[float, float]  # from a byte to the next, drawn for each watch
    connect: float  # for a connection to come up
    first: float  # and from then to the first whole line
    least_pause: float  # after a watch that had a line; doubled after each try that comes to nothing
    most_pause: float

    def drawn_silence(self, random: Random) -> float:
        """How long one watch may say nothing, from its first line on."""
        return random.uniform(*self.silence)

    def pause(self, failed: int, random: Random) -> float:
        """How long to wait before the next try, after so many in a row that brought no line."""
        grown: float = self.least_pause * 2 ** min(failed, 16)
        return min(self.most_pause, grown) * random.uniform(JITTER, 1)


# A beat missed, and half of one for a loop that runs late. A false alarm costs one call that is free.
PUSHED = Patience((1.5 * BEAT, 1.5 * BEAT), connect=0.5, first=1.0, least_pause=0.1, most_pause=0.2)


def asked(gateways: int, ask_every: float) -> Patience:
    """Of one service for so many gateways, each of which asks every so many seconds while it has no watch."""
    return Patience(
        # From one beat missed to two, so that watches which fell silent together do not ask together.
        silence=(1.5 * BEAT, 2.5 * BEAT),
        connect=1.0,
        first=5.0,
        least_pause=max(0.1, gateways / 40),
        # 2.5 calls a second of all together, and no less often than is needed with half of the time to spare.
        most_pause=max(2.0, min(gateways / 2.5, 2 * ask_every)),
    )
