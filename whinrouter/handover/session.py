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
    FrameDecoder,
    Hello,
    Holding,
    Message,
    ProtocolError,
    Ready,
    Snapshot,
    Stopped,
)


class Phase(Enum):
    """How far the two are."""

    HANDSHAKE = "asked"
    SYNCED = "given"
    BOTH_SERVING = "beside"
    CLOSED = "over"


# What may come, by side and step.
_ACCEPTED_BY_OLDER: dict[Phase, tuple[type, ...]] = {
    Phase.HANDSHAKE: (Hello,),
    Phase.SYNCED: (Ready, Called, Stopped),
    Phase.BOTH_SERVING: (Called, Stopped),
    Phase.CLOSED: (),
}
_ACCEPTED_BY_NEWER: dict[Phase, tuple[type, ...]] = {
    Phase.HANDSHAKE: (Snapshot,),
    Phase.SYNCED: (Called, Stopped, Holding),
    Phase.BOTH_SERVING: (Called, Stopped, Holding),
    Phase.CLOSED: (),
}
_NEXT_PHASE: dict[type, Phase] = {Hello: Phase.SYNCED, Snapshot: Phase.SYNCED, Ready: Phase.BOTH_SERVING}


class HandoverSession:
    """One side of the line."""

    def __init__(self, is_newer: bool) -> None:
        self.is_newer = is_newer
        self.phase = Phase.HANDSHAKE
        self._decoder = FrameDecoder()

    def feed(self, data: bytes) -> list[Message]:
        """What the other side has said; TornError if it may not, or can't be read."""
        messages = self._decoder.feed(data)
        for message in messages:
            if not isinstance(
                message, (_ACCEPTED_BY_NEWER if self.is_newer else _ACCEPTED_BY_OLDER)[self.phase]
            ):
                raise ProtocolError(f"{type(message).__name__} came while {self.phase.value}")
            self.phase = _NEXT_PHASE.get(type(message), self.phase)
        return messages

    def mark_ready(self) -> None:
        """This side, the newer, has said that it serves."""
        self.phase = Phase.BOTH_SERVING

    def close(self) -> None:
        """Nothing more is said."""
        self.phase = Phase.CLOSED
