"""When hosts started, as moments of this machine's monotonic clock. No I/O, no clock.

Theory of operation. A list tells each host's latest start in Unix time, by clocks of other machines. Ours
may have been stepped by seconds or by an hour, so the two are never compared. What can be relied on is that
a start differs from the one told before, and when this process first saw that:

    first list:    the newest start in it counts as now, every other one as so much earlier as it is told
    later lists:   a start that was not told before counts as now
    hand-over:     a start has the age that the process before this one had given it

Bound. A start counts as no earlier than it was, so a host is never taken for warmer than it is: in later
lists and over hand-overs whatever any clock says, and in a first list as long as the clocks that the starts
of one list were read from agree. It counts as later by the delay of the list that told it and, in a first
list, by the age of the newest start; a host is cold for that much longer, and its own answers
(`slowstart.py`) let it have more.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from whinrouter.interface import Server, ServerId

SPARE_ENTRIES = 256  # kept beside those of the listed hosts, for hosts that left and come back


class StartAge(NamedTuple):
    """A start as another process goes on from it."""

    reported: int  # Unix time in microseconds, as the lists have it
    age: int  # microseconds since then


class _Start(NamedTuple):
    reported: int
    moment: int


@dataclass(slots=True)
class StartTimes:
    """The starts that were told, each with the moment from which it counts; times in microseconds."""

    _starts: dict[ServerId, _Start] = field(default_factory=dict)
    _had_list: bool = False

    def localise(self, servers: Iterable[Server], now: int) -> tuple[Server, ...]:
        """The servers of a list with `started` as a moment of our clock; 0, long ago, stays 0."""
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
        """Forget those that left first, once there are more than `SPARE_ENTRIES` beside the listed ones."""
        surplus = len(self._starts) - len(listed) - SPARE_ENTRIES
        if surplus <= 0:
            return
        for server_id in [server_id for server_id in self._starts if server_id not in listed][:surplus]:
            del self._starts[server_id]

    def ages(self, now: int) -> dict[ServerId, StartAge]:
        """What a process that takes over goes on from."""
        return {
            server_id: StartAge(start.reported, now - start.moment)
            for server_id, start in self._starts.items()
        }

    def adopt(self, ages: Mapping[ServerId, StartAge], now: int) -> None:
        """Go on from what another process of this gateway knows."""
        self._starts = {
            server_id: _Start(known.reported, now - known.age) for server_id, known in ages.items()
        }
        self._had_list = bool(ages)
