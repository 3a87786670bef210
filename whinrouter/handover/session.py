"""The order in which two processes of a gateway speak; what is out of it ends the line. No I/O.

    older:  ASKED --Hello in, Snapshot out--> GIVEN --Ready in--> BESIDE --the end--> OVER
    newer:  ASKED --Hello out, Snapshot in--> GIVEN --Ready out-> BESIDE --the end--> OVER

From GIVEN on either may tell the other of calls and of hosts that stop, and the older how much it holds.
The end means: to the newer, that the older has left and all is its own; to the older, that the newer has
died, or was replaced by a third in its turn, and that clients are its own again, unless it is on its way
out.
"""

from __future__ import annotations

from enum import Enum

from whinrouter.handover.messages import (
    Called,
    Frames,
    Hello,
    Holding,
    Message,
    Ready,
    Snapshot,
    Stopped,
    TornError,
)


class Step(Enum):
    """How far the two are."""

    ASKED = "asked"
    GIVEN = "given"
    BESIDE = "beside"
    OVER = "over"


# What may come, by side and step.
_OLDER: dict[Step, tuple[type, ...]] = {
    Step.ASKED: (Hello,),
    Step.GIVEN: (Ready, Called, Stopped),
    Step.BESIDE: (Called, Stopped),
    Step.OVER: (),
}
_NEWER: dict[Step, tuple[type, ...]] = {
    Step.ASKED: (Snapshot,),
    Step.GIVEN: (Called, Stopped, Holding),
    Step.BESIDE: (Called, Stopped, Holding),
    Step.OVER: (),
}
_AFTER: dict[type, Step] = {Hello: Step.GIVEN, Snapshot: Step.GIVEN, Ready: Step.BESIDE}


class Line:
    """One side of the line."""

    def __init__(self, newer: bool) -> None:
        self.newer = newer
        self.step = Step.ASKED
        self._frames = Frames()

    def feed(self, data: bytes) -> list[Message]:
        """What the other side has said; TornError if it may not, or can't be read."""
        messages = self._frames.feed(data)
        for message in messages:
            if not isinstance(message, (_NEWER if self.newer else _OLDER)[self.step]):
                raise TornError(f"{type(message).__name__} came while {self.step.value}")
            self.step = _AFTER.get(type(message), self.step)
        return messages

    def ready(self) -> None:
        """This side, the newer, has said that it serves."""
        self.step = Step.BESIDE

    def end(self) -> None:
        """Nothing more is said."""
        self.step = Step.OVER
