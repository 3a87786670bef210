"""One timer wheel for the whole process.

A request sets two or three timers, most of which never fire. On the loop's own heap each timer is pushed,
sifted and removed individually. In the wheel a timer is an entry in the list of its tick, cancelling it drops
the references that it holds, and the loop has one timer: that of the earliest tick. Timers fire up to a tick
late and never early, in the order of their ticks.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

log = logging.getLogger(__name__)

# Seconds; shorter than the turns of a busy loop vary, and far below `DEADLINE_MARGIN_MICROSECONDS`
# (gateway.py).
TICK = 0.002


class Timer:
    """A scheduled call; `call` is None once it is cancelled."""

    __slots__ = ("args", "call")

    def __init__(self, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.call: Callable[..., object] | None = callback
        self.args = args

    def cancel(self) -> None:
        """Never call; the references to the callback and its arguments are dropped at once."""
        self.call, self.args = None, ()


class TimerWheel:
    """Timers by tick. A cancelled timer stays as an empty entry until its tick."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._ticks: dict[int, list[Timer]] = {}
        self._order: list[int] = []  # a heap of the ticks that have timers
        self._armed: asyncio.TimerHandle | None = None  # the loop's timer for the earliest tick

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer:
        """Call `callback` after `delay` seconds."""
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
        now = self._loop.time() + TICK / 2  # the loop wakes up early by up to its clock's resolution
        while self._order and self._order[0] * TICK <= now:
            for timer in self._ticks.pop(heappop(self._order)):
                if timer.call is not None:
                    try:
                        timer.call(*timer.args)
                    except Exception:  # as in the loop, a failing callback must not stop the next one
                        log.exception("a timer's callback failed")
        # Read through a property: the compiler assumes that the field is still None whatever the callbacks
        # have set, and raised here when one of them had set the next timer.
        if not self.is_armed:
            self._arm()
