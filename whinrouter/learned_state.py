"""The state that a balancer hands over to its successor in another process.

`handover/messages.py` encodes it by the types of the fields. A compiled module does not keep all of these
types at run time, so this module is not compiled.

The clocks of two processes may differ. So there are no moments here: all times are spans in microseconds,
from a moment to the export (`age_of`), or from the export on.
"""

from __future__ import annotations

from typing import NamedTuple

from whinrouter.interface import ServerId


def age_of(moment: int, now: int) -> int | None:
    """Return the span since a moment; None for 0, which means never or long ago."""
    return now - moment if moment else None


def moment_of(age: int | None, now: int) -> int:
    """Return the moment of this age; 0 for None."""
    return now - age if age is not None else 0


class BreakerState(NamedTuple):
    """A breaker: ages of its failures, time until it is half-open (None: closed), its next cooldown."""

    failures: tuple[int, ...]
    half_open_in: int | None
    cooldown: int


class LearnedServerState(NamedTuple):
    """The state that a balancer has learned about a server since the server's start."""

    server_id: ServerId
    age: int | None  # since the start of the server
    limit: float
    latency_ratio: float
    latency_ratio_age: int | None
    slow_start_tokens: float
    breaker: BreakerState
    class_breakers: dict[str, BreakerState]


class LearnedState(NamedTuple):
    """The state that a balancer has learned. The tables are by class or kind of server, as in `Balancer`."""

    servers: tuple[LearnedServerState, ...]
    unit_latencies: dict[str, float]
    median_latencies: dict[str, float]
    late_multiples: dict[str, float]
    longest_timeouts: dict[str, int]
    work_done: dict[str, float]
    work_age: int | None  # age of `work_done`
    admitted_share: float
    admitted_share_age: int | None  # age of the last answer that changed the share
