"""The ids of requests that hosts may have executed, so that none is executed twice. No I/O, no clock.

A client that has left may send its request again on another connection, or to the other process of this
gateway during an upgrade. An id is remembered from the first attempt on, unless all attempts are known not
to have run, for at least `REMEMBERED_SECONDS` or, under more load, for the latest `MAX_IDS` ids.

Two generations of ids are kept; the older one is dropped when the newer one is old or full.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from hashlib import blake2b

REMEMBERED_SECONDS = 30.0  # ten times the longest deadlines in use
MAX_IDS = 8192  # in each generation, of 90 bytes each


def request_digest(client_request_id: str) -> int:
    """Return the number by which an id is remembered, the same in every process."""
    return int.from_bytes(blake2b(client_request_id.encode(), digest_size=8).digest(), "big")


class ExecutedRequests:
    """The ids that one process remembers; times are seconds of one clock."""

    def __init__(self) -> None:
        self._newer: set[int] = set()
        self._older: set[int] = set()
        self._newer_since = 0.0
        # Called with each id that is added or forgotten here, and with whether it was added.
        self.on_change: Callable[[int, bool], None] | None = None

    def add(self, client_request_id: str, now: float) -> None:
        """Remember the id of a request that is sent to a host."""
        digest = request_digest(client_request_id)
        self.add_digests((digest,), now)
        if self.on_change is not None:
            self.on_change(digest, True)

    def forget(self, client_request_id: str) -> None:
        """Forget the id of a request that was not executed: it may be sent again."""
        digest = request_digest(client_request_id)
        self.forget_digest(digest)
        if self.on_change is not None:
            self.on_change(digest, False)

    def contains(self, client_request_id: str, now: float) -> bool:
        """Whether a host may have executed a request of this id."""
        self._drop_old(now)
        digest = request_digest(client_request_id)
        return digest in self._newer or digest in self._older

    def add_digests(self, digests: Iterable[int], now: float) -> None:
        """Remember ids of another process."""
        for digest in digests:
            self._drop_old(now)
            self._newer.add(digest)

    def forget_digest(self, digest: int) -> None:
        """Forget an id that another process has forgotten."""
        self._newer.discard(digest)
        self._older.discard(digest)

    def digests(self) -> tuple[int, ...]:
        """Return all ids for another process."""
        return (*self._older, *self._newer)

    def _drop_old(self, now: float) -> None:
        if now >= self._newer_since + 2 * REMEMBERED_SECONDS:
            self._newer = set()
        if now >= self._newer_since + REMEMBERED_SECONDS or len(self._newer) >= MAX_IDS:
            self._older, self._newer, self._newer_since = self._newer, set(), now
