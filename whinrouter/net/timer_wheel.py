"""One wheel of timers for the whole process.

A request sets two or three timers and most never fire. On the loop's own heap each is pushed, sifted and
swept away by itself; here a timer is an entry in the list of its tick, cancelling one drops what it holds,
and the loop has one timer: that of the earliest tick. Timers fire up to a tick late and never early, in the
order of their ticks.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

log = logging.getLogger(__name__)

TICK = 0.002  # seconds; under the spread of a busy loop's own turns, and well under MARGIN in gateway.py


class Timer:
    """A call to come."""

    __slots__ = ("args", "call")

    def __init__(self, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.call: Callable[..., object] | None = callback
        self.args = args

    def cancel(self) -> None:
        """Never call; nothing that the call would have held is kept until its tick."""
        self.call, self.args = None, ()


class TimerWheel:
    """Timers by tick. A cancelled one stays as an empty entry until its tick."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._ticks: dict[int, list[Timer]] = {}
        self._order: list[int] = []  # a heap of the ticks that have timers
        self._armed: asyncio.TimerHandle | None = None

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer:
        """Call after so many seconds."""
        timer = Timer(callback, args)
        tick = int((self._loop.time() + delay) / TICK) + 1
        timers = self._ticks.get(tick)
        if timers is not None:
            timers.append(timer)
            return timer
        self._ticks[tick] = [timer]
        heappush(self._order, tick)
        if self._order[0] == tick:
            self._arm()
        return timer

    @property
    def is_armed(self) -> bool:
        """Whether the loop's timer is set."""
        return self._armed is not None

    def _arm(self) -> None:
        if self._armed is not None:
            self._armed.cancel()
        self._armed = self._loop.call_at(self._order[0] * TICK, self._fire_due) if self._order else None

    def _fire_due(self) -> None:
        self._armed = None
        now = self._loop.time() + TICK / 2  # the loop wakes up to its clock's resolution early
        while self._order and self._order[0] * TICK <= now:
            for timer in self._ticks.pop(heappop(self._order)):
                if timer.call is not None:
                    try:
                        timer.call(*timer.args)
                    except Exception:  # as the loop does: one call's fault is not the next one's
                        log.exception("a timer's callback failed")
        # By way of a property: the compiler takes the field for None still, whatever calls have set since,
        # and one that set the next timer made this line raise.
        if not self.is_armed:
            self._arm()
