"""The troubles of one soak, drawn from its seed: what happens when, to whom. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

OVERLAP = (2, 3)  # troubles that run at the same time
LASTS = (4.0, 9.0)  # seconds of one trouble
QUIET = 3.0  # seconds at the start and the end with no trouble

# What may happen to gateways, to hosts, on the links between them, to discovery, and from clients.
KINDS = (
    "stop",  # SIGTERM to some gateways, one after the other, SIGKILL in its time, and a new start
    "kill",  # SIGKILL, and a new start
    "upgrade",  # a process beside the old one, then SIGTERM to that
    "reload",  # new settings and another address of discovery, SIGHUP
    "pause",  # SIGSTOP for up to 0.15 s
    "freeze",  # SIGSTOP for longer than that
    "drain",  # hosts drain, go and are replaced by cold ones
    "hang",  # hosts answer nothing
    "fail",  # hosts answer 500 or refuse
    "crash",  # hosts reset all and come back cold under their ids
    "spoil",  # answers that can't be read, second answers, answers that end with their connection
    "link",  # answers are delayed, split, stalled and reset on their way
    "no-connect",  # new connections to hosts are reset for a while, old ones go on
    "silence",  # watches fall silent
    "watches",  # watches are reset, and discovery is down for a while
    "leave",  # clients leave early
    "burst",  # three times the requests
    "bad-clients",  # half requests, garbage, many commands at once
    "uploads",  # long bodies, slowly
    "crowd",  # idle connections up to a gateway's limit on descriptors
    "signals",  # signals in series, at starts and during ends
    "calls",  # hosts are taken out and put back, gateways emptied and filled
)
# The library of faults is loaded into all gateways of a soak, with one of these sets.
FAULTS: tuple[dict[str, int], ...] = (
    {},
    {},
    {"accept": 50},
    {"connect": 50, "socket": 50},
    {"read": 4, "write": 4, "wait": 20},
    {"accept": 50, "connect": 50, "socket": 50, "read": 10, "write": 10, "wait": 20, "broken": 2000},
)
STEPS: tuple[tuple[float, ...], ...] = ((), (3600, -5, 7, -3600, 2, 0, 40), (7, 0, -5))


@dataclass(frozen=True, slots=True)
class Trouble:
    """One kind of trouble for a while."""

    kind: str
    begins: float  # seconds from the start
    ends: float


@dataclass(frozen=True, slots=True)
class Plan:
    """A soak."""

    seed: int
    seconds: float
    gateways: int
    hosts: int
    troubles: tuple[Trouble, ...]
    faults: dict[str, int]
    steps: tuple[float, ...]

    def of(self, kind: str, now: float) -> bool:
        """Whether this trouble is on."""
        return any(t.kind == kind and t.begins <= now < t.ends for t in self.troubles)

    def crossings(self) -> int:
        """Pairs of troubles that overlap."""
        return sum(
            first.begins < second.ends and second.begins < first.ends
            for place, first in enumerate(self.troubles)
            for second in self.troubles[:place]
        )


def draw(seed: int, seconds: float, gateways: int, hosts: int, kinds: Iterable[str] = KINDS) -> Plan:
    """The plan of a seed."""
    random = Random(seed)
    names, troubles = list(kinds), []
    for _ in range(random.randint(*OVERLAP)):
        now = QUIET + random.uniform(0.0, 2.0)
        while now < seconds - QUIET:
            ends = min(now + random.uniform(*LASTS), seconds - QUIET)
            troubles.append(Trouble(random.choice(names), now, ends))
            now = ends + random.uniform(0.0, 1.5)
    troubles.sort(key=lambda trouble: trouble.begins)
    faults, steps = random.choice(FAULTS), random.choice(STEPS)
    return Plan(seed, seconds, gateways, hosts, tuple(troubles), faults, steps)
