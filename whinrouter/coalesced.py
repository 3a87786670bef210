"""Coalescing of calls that are requested more often than they may run."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class CoalescedCall:
    """Runs a function at once, and at most once more for all requests within the interval after it.

    Each request is followed by a run that begins later than the request, unless `stop` comes first.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, call: Callable[[], None], interval: float) -> None:
        """`interval`: seconds from the end of one run to the start of the next."""
        self._loop, self._call, self._interval = loop, call, interval
        self._cooldown: asyncio.TimerHandle | None = None  # pending until the next run is allowed
        self._is_requested = False
        self._is_stopped = False

    def request(self) -> None:
        """Run the function now, or as soon as the interval is over; do nothing after `stop`."""
        if self._cooldown is None and not self._is_stopped:
            self._run()
        else:
            self._is_requested = True

    def stop(self) -> None:
        """Start no more runs, also for requests that are pending."""
        self._is_stopped = True
        if self._cooldown is not None:
            self._cooldown.cancel()

    def _run(self) -> None:
        self._is_requested = False
        try:
            self._call()
        finally:
            self._cooldown = self._loop.call_later(self._interval, self._end_cooldown)

    def _end_cooldown(self) -> None:
        self._cooldown = None
        if self._is_requested:
            self._run()
