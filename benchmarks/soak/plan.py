"""The plan of a soak, drawn from its seed: which disruptions happen, and when. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

CONCURRENT_RANGE = (2, 3)  # least and greatest number of disruptions at the same time
DISRUPTION_SECONDS = (4.0, 9.0)  # shortest and longest disruption
QUIET_SECONDS = 3.0  # without disruptions, at the start and at the end

# What may happen to gateways, to hosts, on the links between them, to discovery, and from clients.
DISRUPTION_KINDS = (
    "stop",  # SIGTERM to some gateways one after the other, SIGKILL after the stop timeout, and a restart
    "kill",  # SIGKILL, and a restart
    "upgrade",  # a second process beside the old one, then SIGTERM to the old one
    "reload",  # new settings and another address of discovery, SIGHUP
    "pause",  # SIGSTOP for up to 0.15 s
    "freeze",  # SIGSTOP for longer than that
    "drain",  # hosts drain, are removed and are replaced by cold ones
    "hang",  # hosts answer nothing
    "fail",  # hosts answer 500 or refuse
    "crash",  # hosts reset all connections and restart cold with the same ids
    "spoil",  # invalid answers, second answers, answers that end with their connection
    "link",  # answers are delayed, split, stalled and reset on the link
    "no-connect",  # new connections to hosts are reset for a while, established ones stay
    "silence",  # watches fall silent
    "watches",  # watches are reset, and discovery is down for a while
    "leave",  # clients leave early
    "burst",  # three times the requests
    "bad-clients",  # incomplete requests, garbage, many requests at once
    "uploads",  # long bodies, sent slowly
    "crowd",  # idle connections up to a gateway's limit on descriptors
    "signals",  # series of signals during start and shutdown
    "calls",  # operators' calls: OFFLINE and ONLINE for hosts, LEAVE and JOIN for gateways
)
# The fault injection library is loaded into all gateways of a soak, with one of these sets of fault rates.
FAULT_RATES: tuple[dict[str, int], ...] = (
    {},
    {},
    {"accept": 50},
    {"connect": 50, "socket": 50},
    {"read": 4, "write": 4, "wait": 20},
    {"accept": 50, "connect": 50, "socket": 50, "read": 10, "write": 10, "wait": 20, "broken": 2000},
)
CLOCK_OFFSETS: tuple[tuple[float, ...], ...] = ((), (3600, -5, 7, -3600, 2, 0, 40), (7, 0, -5))  # seconds


@dataclass(frozen=True, slots=True)
class Disruption:
    """One kind of disruption for a time span."""

    kind: str
    begins: float  # seconds from the start of the soak
    ends: float


@dataclass(frozen=True, slots=True)
class Plan:
    """The parameters of one soak and its disruptions."""

    seed: int
    seconds: float
    gateways: int
    hosts: int
    disruptions: tuple[Disruption, ...]
    fault_rates: dict[str, int]  # by kind of system call: one call in so many fails
    clock_offsets: tuple[float, ...]  # of the wall clock, in seconds, one after the other

    def is_active(self, kind: str, now: float) -> bool:
        """Return whether a disruption of this kind is in progress."""
        return any(d.kind == kind and d.begins <= now < d.ends for d in self.disruptions)

    def overlap_count(self) -> int:
        """Return the number of pairs of disruptions that overlap."""
        return sum(
            first.begins < second.ends and second.begins < first.ends
            for index, first in enumerate(self.disruptions)
            for second in self.disruptions[:index]
        )


def draw_plan(
    seed: int, seconds: float, gateways: int, hosts: int, kinds: Iterable[str] = DISRUPTION_KINDS
) -> Plan:
    """Return the plan of a seed; the same arguments give the same plan."""
    random = Random(seed)
    names, disruptions = list(kinds), []
    for _ in range(random.randint(*CONCURRENT_RANGE)):
        now = QUIET_SECONDS + random.uniform(0.0, 2.0)
        while now < seconds - QUIET_SECONDS:
            ends = min(now + random.uniform(*DISRUPTION_SECONDS), seconds - QUIET_SECONDS)
            disruptions.append(Disruption(random.choice(names), now, ends))
            now = ends + random.uniform(0.0, 1.5)
    disruptions.sort(key=lambda disruption: disruption.begins)
    fault_rates, clock_offsets = random.choice(FAULT_RATES), random.choice(CLOCK_OFFSETS)
    return Plan(seed, seconds, gateways, hosts, tuple(disruptions), fault_rates, clock_offsets)
