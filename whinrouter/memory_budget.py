"""How many bytes a process may hold for its peers, by its memory limit. No I/O, no clock.

A process needs `BASE_BYTES` with all of its connections open and nothing in progress. What its limit leaves
above that is divided between requests that wait or are incomplete, bodies on their way, and a reserve for
what is not counted: requests in progress, and memory that the allocator can't reuse.

A body on its way holds a few reads of its connections at most, so the size of a read bounds it: the more
bodies there are, the smaller is a read (`ReadWindow`).
"""

from __future__ import annotations

from dataclasses import dataclass

MIB = 1024 * 1024
BASE_BYTES = 26 * MIB
MIN_BUDGET_BYTES = 4 * MIB  # the least that is divided, of a limit that can't hold the process at all
REQUESTS_SHARE, FLOWS_SHARE = 1 / 4, 1 / 12
MAX_REQUEST_BYTES = 32 * MIB
MAX_READ_BYTES, MIN_READ_BYTES = 64 * 1024, 4 * 1024


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """The bytes that a process may hold."""

    request_bytes: int  # for requests that wait or are incomplete
    flow_bytes: int  # for bodies on their way


def budget_for(memory_bytes: int) -> MemoryBudget:
    """Return the budget of a process with this memory limit."""
    available = max(MIN_BUDGET_BYTES, memory_bytes - BASE_BYTES)
    return MemoryBudget(
        min(MAX_REQUEST_BYTES, round(available * REQUESTS_SHARE)), round(available * FLOWS_SHARE)
    )


class ReadWindow:
    """The size of a read, by the number of bodies on their way."""

    def __init__(self, flow_bytes: int | None = None) -> None:
        """`flow_bytes`: for all bodies together; None: reads are always of the greatest size."""
        self._flow_bytes = flow_bytes
        self._flow_count = 0
        self._relay_count = 0
        self.size = MAX_READ_BYTES

    def set_flow_count(self, flow_count: int) -> None:
        """Set the number of connections with a body on its way."""
        if flow_count != self._flow_count:
            self._flow_count = flow_count
            self._update_size()

    def set_relay_count(self, relay_count: int) -> None:
        """Set the number of answers that another process began."""
        self._relay_count = relay_count
        self._update_size()

    def _update_size(self) -> None:
        if self._flow_bytes is None:
            return
        share = self._flow_bytes // max(1, self._flow_count + self._relay_count)
        self.size = max(MIN_READ_BYTES, min(MAX_READ_BYTES, share))
