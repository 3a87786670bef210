"""Phases of the connection between two processes of a gateway. No I/O.

A message that its phase does not allow is an error and ends the connection.

    older:  HANDSHAKE --Hello in, Snapshot out--> SYNCED --Ready in---> BOTH_SERVING --end--> CLOSED
    newer:  HANDSHAKE --Hello out, Snapshot in--> SYNCED --Ready out--> BOTH_SERVING --end--> CLOSED

From SYNCED on either process may report operators' calls and stopped hosts, and the older one the number of
descriptors it still holds. To the newer process the end of the connection means that the older one has exited
and all resources are its own. To the older process it means that the newer one has died, or was replaced by a
third, and that it serves clients again unless it is stopping.
"""

from __future__ import annotations

from enum import Enum

from whinrouter.handover.messages import (
    Called,
    Executed,
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
    """The phase of a connection, as in the diagram above."""

    HANDSHAKE = "handshake"
    SYNCED = "synced"
    BOTH_SERVING = "both serving"
    CLOSED = "closed"


# Messages that each side accepts, by phase.
_ACCEPTED_BY_OLDER: dict[Phase, tuple[type, ...]] = {
    Phase.HANDSHAKE: (Hello,),
    Phase.SYNCED: (Ready, Called, Stopped, Executed),
    Phase.BOTH_SERVING: (Called, Stopped, Executed),
    Phase.CLOSED: (),
}
_ACCEPTED_BY_NEWER: dict[Phase, tuple[type, ...]] = {
    Phase.HANDSHAKE: (Snapshot,),
    Phase.SYNCED: (Called, Stopped, Holding, Executed),
    Phase.BOTH_SERVING: (Called, Stopped, Holding, Executed),
    Phase.CLOSED: (),
}
_NEXT_PHASE: dict[type, Phase] = {Hello: Phase.SYNCED, Snapshot: Phase.SYNCED, Ready: Phase.BOTH_SERVING}


class HandoverSession:
    """One side's state of the connection: its phase, and bytes that are not a whole message yet."""

    def __init__(self, is_newer: bool) -> None:
        """`is_newer`: this process is the newer one of the two."""
        self.is_newer = is_newer
        self.phase = Phase.HANDSHAKE
        self._decoder = FrameDecoder()

    def feed(self, data: bytes) -> list[Message]:
        """Add received bytes and return the messages that are complete.

        ProtocolError if one is invalid or not allowed in its phase; the connection can't be used after that.
        """
        messages = self._decoder.feed(data)
        for message in messages:
            if not isinstance(
                message, (_ACCEPTED_BY_NEWER if self.is_newer else _ACCEPTED_BY_OLDER)[self.phase]
            ):
                raise ProtocolError(f"{type(message).__name__} is not allowed in phase {self.phase.value}")
            self.phase = _NEXT_PHASE.get(type(message), self.phase)
        return messages

    def mark_ready(self) -> None:
        """Record that this side, the newer one, has sent Ready."""
        self.phase = Phase.BOTH_SERVING

    def close(self) -> None:
        """Record that the connection has ended."""
        self.phase = Phase.CLOSED
