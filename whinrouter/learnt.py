"""What one balancer tells another that goes on in its place.

It goes from process to process (`handover/words.py`), whose reader goes by the types of the fields. A
compiled module keeps less of these than it reads, so this one is not compiled.
"""

from __future__ import annotations

from typing import NamedTuple

from whinrouter.interface import ServerId


class BreakerState(NamedTuple):
    """A breaker: its failures in the window, when it is half-open (None: it is closed), its next cooldown."""

    failures: tuple[int, ...]
    reopens: int | None
    cooldown: int


class HostLearnt(NamedTuple):
    """What was learnt of a server since its start."""

    server: ServerId
    started: int
    limit: float
    pace: float
    paced: int
    tokens: float  # of its slow start
    breaker: BreakerState
    classes: dict[str, BreakerState]


class Learnt(NamedTuple):
    """All that is worth more than a fresh start."""

    hosts: tuple[HostLearnt, ...]
    usual: dict[str, float]
    typical: dict[str, float]
    marks: dict[str, float]
    patience: dict[str, int]
    served: dict[str, float]
    counted: int
    share: float
    signed: int
