"""A call that may be asked for more often than it is to be made."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class CoalescedCall:
    """Makes a call at once, and at most one more for all that ask within a time after it.

    Nobody's wish is lost: whoever asks is followed by a call that begins later, unless `stop` comes first.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, call: Callable[[], None], interval: float) -> None:
        """`every`: seconds from the end of one call to the start of the next."""
        self._loop, self._call, self._interval = loop, call, interval
        self._cooldown: asyncio.TimerHandle | None = None  # until the next call may be made
        self._is_requested = False
        self._is_stopped = False

    def request(self) -> None:
        """Have the call made, now or as soon as it may be."""
        if self._cooldown is None and not self._is_stopped:
            self._run()
        else:
            self._is_requested = True

    def stop(self) -> None:
        """Make no more calls."""
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
