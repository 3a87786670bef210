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

# Less than the variation between the turns of a busy loop, and far below `DEADLINE_MARGIN_MICROSECONDS`
# (gateway.py).
TICK_SECONDS = 0.002


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
        self._tick_heap: list[int] = []  # the ticks that have timers
        self._loop_timer: asyncio.TimerHandle | None = None  # the loop's timer for the earliest tick

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer:
        """Call `callback` after `delay` seconds; return the timer, by which the call can be cancelled."""
        timer = Timer(callback, args)
        tick = int((self._loop.time() + delay) / TICK_SECONDS) + 1
        timers = self._ticks.get(tick)
        if timers is not None:
            timers.append(timer)
            return timer
        self._ticks[tick] = [timer]
        heappush(self._tick_heap, tick)
        if self._tick_heap[0] == tick:
            self._arm()
        return timer

    @property
    def is_armed(self) -> bool:
        """Whether the loop's timer is set."""
        return self._loop_timer is not None

    def _arm(self) -> None:
        if self._loop_timer is not None:
            self._loop_timer.cancel()
        self._loop_timer = (
            self._loop.call_at(self._tick_heap[0] * TICK_SECONDS, self._fire_due) if self._tick_heap else None
        )

    def _fire_due(self) -> None:
        self._loop_timer = None
        now = self._loop.time() + TICK_SECONDS / 2  # the loop wakes up early by up to its clock's resolution
        while self._tick_heap and self._tick_heap[0] * TICK_SECONDS <= now:
            for timer in self._ticks.pop(heappop(self._tick_heap)):
                if timer.call is not None:
                    try:
                        timer.call(*timer.args)
                    except Exception:  # as in the loop, a failing callback must not stop the next one
                        log.exception("a timer's callback failed")
        # Read through a property: compiled code assumes that the field is still None, whatever the callbacks
        # have set, and raised an error here when one of them had set the next timer.
        if not self.is_armed:
            self._arm()
