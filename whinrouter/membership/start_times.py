"""The start times of hosts, as moments of this machine's monotonic clock. No I/O, no clock.

Theory of operation. A list reports each host's latest start in Unix time, by the clocks of other machines.
The local clock may have been stepped by seconds or by an hour, so the two are never compared. What is
reliable is that a start differs from the one reported before, and the moment at which this process first saw
that:

    first list:    the newest start in it counts as now, each other one as that much earlier as it is reported
    later lists:   a start that was not reported before counts as now
    handover:      a start has the age that the process before this one had given it

Bound. A start counts as no earlier than it was, so a host is never treated as warmer than it is: in later
lists and over handovers whatever any clock says, and in a first list as long as the clocks from which its
starts were read agree. A start counts as too late by the delay of the list that reported it and, in a first
list, by the age of the newest start. The host is treated as cold for that much longer, and its own answers
(`slowstart.py`) allow it more requests meanwhile.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from whinrouter.interface import Server, ServerId

SPARE_ENTRIES = 256  # kept in addition to the listed hosts, for hosts that are gone and return


class StartAge(NamedTuple):
    """A start in the form that is handed over to another process."""

    reported: int  # Unix time in microseconds, as the lists have it
    age: int  # microseconds for which the start has counted


class _Start(NamedTuple):
    reported: int  # Unix time in microseconds, as the lists have it
    moment: int  # of the local monotonic clock, at which the start counts


@dataclass(slots=True)
class StartTimes:
    """The reported starts, each with the moment at which it counts; times are in microseconds."""

    _starts: dict[ServerId, _Start] = field(default_factory=dict)
    _had_list: bool = False

    def localise(self, servers: Iterable[Server], now: int) -> tuple[Server, ...]:
        """The servers of a list with `started_at` as a moment of the local clock; 0 (long ago) stays 0."""
        listed = tuple(servers)
        newest = max((server.started_at for server in listed), default=0)
        is_first_list = not self._had_list
        self._had_list = self._had_list or bool(listed)
        for server in listed:
            known = self._starts.get(server.id)
            if server.started_at and (known is None or known.reported != server.started_at):
                age = newest - server.started_at if is_first_list else 0
                self._starts[server.id] = _Start(server.started_at, max(1, now - age))
        return tuple(
            replace(server, started_at=self._starts[server.id].moment) if server.started_at else server
            for server in listed
        )

    def trim(self, listed: Collection[ServerId]) -> None:
        """Drop the oldest entries that exceed `SPARE_ENTRIES` in addition to the listed hosts."""
        surplus = len(self._starts) - len(listed) - SPARE_ENTRIES
        if surplus <= 0:
            return
        for server_id in [server_id for server_id in self._starts if server_id not in listed][:surplus]:
            del self._starts[server_id]

    def ages(self, now: int) -> dict[ServerId, StartAge]:
        """The starts as they are handed over to another process."""
        return {
            server_id: StartAge(start.reported, now - start.moment)
            for server_id, start in self._starts.items()
        }

    def adopt(self, ages: Mapping[ServerId, StartAge], now: int) -> None:
        """Continue from the starts that another process of this gateway handed over."""
        self._starts = {
            server_id: _Start(known.reported, now - known.age) for server_id, known in ages.items()
        }
        self._had_list = bool(ages)
