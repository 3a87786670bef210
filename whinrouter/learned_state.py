"""What one balancer tells another that goes on in its place.

It goes from process to process (`handover/words.py`), whose reader goes by the types of the fields. A
compiled module keeps less of these than it reads, so this one is not compiled.

The clocks of two processes need not agree, so nothing here is a moment of either: all times are spans in
microseconds, from a moment to the one at which this was said (`age_of`), or from that one on.
"""

from __future__ import annotations

from typing import NamedTuple

from whinrouter.interface import ServerId


def age_of(moment: int, now: int) -> int | None:
    """The span since a moment; None for 0, which stands for never or long ago."""
    return now - moment if moment else None


def moment_of(age: int | None, now: int) -> int:
    """The moment that lies so long back; 0 for None."""
    return now - age if age is not None else 0


class BreakerState(NamedTuple):
    """A breaker: its failures' ages, the time to its half-opening (None: it is closed), its next cooldown."""

    failures: tuple[int, ...]
    half_open_in: int | None
    cooldown: int


class LearnedServerState(NamedTuple):
    """What was learnt of a server since its start."""

    server_id: ServerId
    age: int | None  # since its start
    limit: float
    latency_ratio: float
    latency_ratio_age: int | None  # the age of that
    slow_start_tokens: float  # of its slow start
    breaker: BreakerState
    class_breakers: dict[str, BreakerState]


class LearnedState(NamedTuple):
    """All that is worth more than a fresh start."""

    servers: tuple[LearnedServerState, ...]
    unit_latencies: dict[str, float]
    median_latencies: dict[str, float]
    late_multiples: dict[str, float]
    longest_timeouts: dict[str, int]
    work_done: dict[str, float]
    work_age: int | None  # the age of what was served
    admitted_share: float
    admitted_share_age: int | None  # the age of the latest sign of load
