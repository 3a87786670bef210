"""Which connections a process offers next to the one that replaces it. No I/O, no clock.

Few connections are offered at a time, and an offer may fail: because the framing can't be described at that
moment, or because the other process has no descriptors. Each connection has its turn before another one has a
second turn, so that those that can't be handed over do not keep the others from it.

    waiting --chosen--> offered --held--> gone          offered --not held--> waiting, behind all others

Times are seconds of one clock.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

Connection = TypeVar("Connection", bound=Hashable)


class TransferSchedule(Generic[Connection]):
    """The offers of one process: which are under way, and when each failed one is due again."""

    def __init__(self, max_offers: int, retry_seconds: float) -> None:
        """`max_offers`: at a time. `retry_seconds`: before a connection is offered again."""
        self._max_offers, self._retry_seconds = max_offers, retry_seconds
        self._offered: set[Connection] = set()
        self._due_at: dict[Connection, float] = {}  # of the connections whose last offer failed

    def choose(self, connections: Iterable[Connection], now: float) -> list[Connection]:
        """Return those of the connections that can be handed over that are offered now.

        They count as offered until `finish` is called for each. Connections that are not named are forgotten.
        """
        waiting = [connection for connection in connections if connection not in self._offered]
        self._due_at = {
            connection: self._due_at[connection] for connection in waiting if connection in self._due_at
        }
        due = [connection for connection in waiting if self._due_at.get(connection, now) <= now]
        due.sort(key=self._last_due)
        chosen = due[: max(0, self._max_offers - len(self._offered))]
        self._offered.update(chosen)
        return chosen

    def _last_due(self, connection: Connection) -> float:
        """Return the key of the order of turns: connections that were never offered are first."""
        return self._due_at.get(connection, float("-inf"))

    def finish(self, connection: Connection, is_held: bool, now: float) -> None:
        """Note the end of an offer; `is_held`: the other process owns the connection now."""
        self._offered.discard(connection)
        if not is_held:
            self._due_at[connection] = now + self._retry_seconds
