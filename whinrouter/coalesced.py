"""A call that may be asked for more often than it is to be made."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class CoalescedCall:
    """Makes a call at once, and at most one more for all that ask within a time after it.

    Nobody's wish is lost: whoever asks is followed by a call that begins later, unless `stop` comes first.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, call: Callable[[], None], every: float) -> None:
        """`every`: seconds from the end of one call to the start of the next."""
        self._loop, self._call, self._every = loop, call, every
        self._rests: asyncio.TimerHandle | None = None  # until the next call may be made
        self._is_wanted = False
        self._is_stopped = False

    def ask(self) -> None:
        """Have the call made, now or as soon as it may be."""
        if self._rests is None and not self._is_stopped:
            self._make()
        else:
            self._is_wanted = True

    def stop(self) -> None:
        """Make no more calls."""
        self._is_stopped = True
        if self._rests is not None:
            self._rests.cancel()

    def _make(self) -> None:
        self._is_wanted = False
        try:
            self._call()
        finally:
            self._rests = self._loop.call_later(self._every, self._rested)

    def _rested(self) -> None:
        self._rests = None
        if self._is_wanted:
            self._make()
