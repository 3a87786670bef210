"""A body on its way from one connection to another.

Theory of operation. Whoever reads the body (the source) puts in what came; whoever sends it on (the sink)
takes it at once. Nothing is gathered but what comes while there is no sink, or while the sink says that it
has enough: then the source is told to read no more, and what it had read already is all that is held:
`MOST` and one read.

    FILLING --attach--> FLOWING --end--> ENDED            (detach: back to FILLING, if all is here still)
    either  --fail----> BROKEN: the sink is told, and ends so that its reader can tell
    either  --cancel--> BROKEN: the source is told, and reads no more
    either  --discard-> DISCARDING: nobody wants the rest; it is read and dropped

What was given to a sink can't be had again: `begun` says so, and the request whose body this is can't be
sent to another host any more.

Who moves nothing is found by `overdue`: the source has `GRACE` seconds and what its bytes have earned at
`FLOOR`, and never more than `GRACE` ahead, so that neither silence nor a trickle holds a place; while the
sink has enough the time is the sink's, which has `TAKES`. Times are seconds of one clock; it reads none.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

MAX_BUFFERED_BYTES = 64 * 1024  # bytes that are held for want of a sink, beside one read
# Bytes a second that a client's body comes with at least: half of what the slowest honest one is known for.
MIN_BODY_RATE = 32_000.0
GRACE_SECONDS = 2.0  # seconds of silence that a client may have
STALL_SECONDS = 10.0  # and a host: long waits of theirs were within a few seconds
# Seconds in which whoever takes what is passed on shows that it does. A system tells that its program has
# read only once a sixteenth of its buffer is free again, and the buffer grows with what was once read fast:
# readers at `FLOOR` showed nothing for up to 16.3 s in one run and 10.2 in another (`benchmarks.reading`).
READER_TIMEOUT_SECONDS = 20.0


class RateFloor:
    """The time by which a peer has to have sent more, where it must keep a least rate.

    Each byte earns `1 / floor` seconds, but the peer is never more than `grace` seconds ahead: neither
    silence nor a trickle holds a connection, and a peer above the floor is never cut off. It reads no clock;
    times are seconds of the caller's.
    """

    __slots__ = ("_floor", "_grace", "due")

    def __init__(self, now: float, grace: float = GRACE_SECONDS, floor: float = MIN_BODY_RATE) -> None:
        """`floor`: bytes a second; 0: any byte earns the whole `grace`."""
        self._grace, self._floor = grace, floor
        self.due = now + grace

    def credit(self, count: int, now: float) -> None:
        """So many bytes have come; that they were read late is not held against the peer."""
        earned = count / self._floor if self._floor else self._grace
        self.due = min(now + self._grace, max(self.due, now) + earned)


class Source(Protocol):
    """The connection that a body is read from."""

    def pause_reading(self) -> None:
        """Read no more for now."""

    def resume_reading(self) -> None:
        """Read again."""

    def cancel_reading(self) -> None:
        """Nobody takes the rest: end it."""


class Sink(Protocol):
    """The connection that a body is written to."""

    def write_body(self, data: bytes) -> None:
        """Send this on."""

    def finish_body(self) -> None:
        """That was all of it."""

    def abort_body(self) -> None:
        """The rest will not come: end so that the reader can tell."""

    def bytes_delivered(self) -> int:
        """Bytes that its reader has had by now; -1 if nobody can tell."""


class Stage(Enum):
    """How far a body is."""

    FILLING = "filling"
    FLOWING = "flowing"
    DISCARDING = "discarding"
    ENDED = "ended"
    BROKEN = "broken"


class Flow:
    """One body, whole or from behind what was kept of it."""

    def __init__(self, source: Source, length: int | None, now: float, grace: float, floor: float) -> None:
        """`length`: bytes of the whole body, as told; None: it is not told. `floor` 0: no floor of rate."""
        self.length = length
        self.stage = Stage.FILLING
        self.is_partly_sent = False  # a part of it can't be had again
        self.is_received = False  # all of it is here, or has gone on
        self._source = source
        self._sink: Sink | None = None
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._is_sink_full = False  # the sink has enough
        self._is_paused = False  # the source reads no more
        self._grace = grace
        self._rate_floor = RateFloor(now, grace, floor)
        self._delivered = -1  # what the sink's reader had when that was last looked at

    @property
    def is_source_paused(self) -> bool:
        """Whether the source reads no more for now."""
        return self._is_paused

    @property
    def source(self) -> Source:
        """Where it comes from."""
        return self._source

    @property
    def sink(self) -> Sink | None:
        """Where it goes."""
        return self._sink

    @property
    def unsent(self) -> bytes:
        """What was put in and has not gone to the sink."""
        return b"".join(self._buffer)

    def release(self) -> None:
        """Somebody else goes on with it: neither side is told anything more."""
        self.stage, self._sink, self._buffer, self._buffered_bytes = Stage.ENDED, None, [], 0

    def __repr__(self) -> str:
        progress = "all here" if self.is_received else "to come"
        return (
            f"{self.stage.value}, {progress}, {'sink full' if self._is_sink_full else 'sink open'}, "
            f"{self._buffered_bytes} bytes buffered"
        )

    def put(self, data: bytes, now: float) -> None:
        """The source has read this."""
        self._rate_floor.credit(len(data), now)
        if self.stage is Stage.FLOWING and not self._is_sink_full and self._sink is not None:
            self.is_partly_sent = True
            self._sink.write_body(data)
        elif self.stage in (Stage.FILLING, Stage.FLOWING):
            self._buffer.append(data)
            self._buffered_bytes += len(data)
        self._update_source(now)

    def _update_source(self, now: float) -> None:
        """Hold the source while more would have to be kept, and no longer."""
        should_pause = (
            self._is_sink_full if self.stage is Stage.FLOWING else self._buffered_bytes > MAX_BUFFERED_BYTES
        )
        if should_pause and not self._is_paused and not self.is_received:
            self._is_paused, self._rate_floor.due = True, now + STALL_SECONDS
            self._source.pause_reading()
        elif self._is_paused and not should_pause:
            self._is_paused, self._rate_floor.due = False, now + self._grace
            self._source.resume_reading()

    def end(self) -> None:
        """The source has read all of it."""
        self.is_received = True
        if self._is_paused:  # whatever comes behind it is not this body's
            self._is_paused = False
            self._source.resume_reading()
        if self.stage is Stage.DISCARDING:
            self.stage = Stage.ENDED
        self._finish_if_sent()

    def _finish_if_sent(self) -> None:
        if self.is_received and not self._buffer and self.stage is Stage.FLOWING and self._sink is not None:
            self.stage = Stage.ENDED
            self._sink.finish_body()

    def attach(self, sink: Sink, now: float) -> None:
        """From now on all of it goes here; what is held goes at once."""
        self._sink, self.stage, self._is_sink_full = sink, Stage.FLOWING, False
        self._drain(now)

    def _drain(self, now: float) -> None:
        while self._buffer and not self._is_sink_full and self._sink is not None:
            data = self._buffer.pop(0)
            self._buffered_bytes -= len(data)
            self.is_partly_sent = True
            self._sink.write_body(data)
        self._finish_if_sent()
        self._update_source(now)

    def detach(self, now: float) -> None:
        """The sink is gone; another may come if nothing was lost with it."""
        self._sink = None
        if self.stage is Stage.FLOWING:
            self.stage = Stage.FILLING
            self._is_sink_full, self._rate_floor.due = (
                False,
                now + STALL_SECONDS,
            )  # not the time of a sink that has left
            self._update_source(now)

    def sink_full(self, now: float) -> None:
        """The sink has enough for now."""
        self._is_sink_full, self._rate_floor.due = True, now + READER_TIMEOUT_SECONDS
        self._update_source(now)

    def sink_ready(self, now: float) -> None:
        """The sink takes more."""
        self._is_sink_full, self._rate_floor.due = False, now + self._grace
        if self.stage is Stage.FLOWING:
            self._drain(now)

    def discard(self, now: float) -> None:
        """Nobody wants the rest; the source may read it and drop it."""
        if self.stage in (Stage.ENDED, Stage.BROKEN):
            return
        self._sink, self._buffer, self._buffered_bytes = None, [], 0
        self.stage = Stage.ENDED if self.is_received else Stage.DISCARDING
        self._update_source(now)

    def fail(self) -> None:
        """The source broke."""
        if self.stage in (Stage.ENDED, Stage.BROKEN):
            return
        self.stage, sink = Stage.BROKEN, self._sink
        self._sink, self._buffer, self._buffered_bytes = None, [], 0
        if sink is not None:
            sink.abort_body()

    def cancel(self) -> None:
        """The sink broke for good, and nobody else is to have it."""
        if self.stage in (Stage.ENDED, Stage.BROKEN):
            return
        self.stage, self._sink, self._buffer, self._buffered_bytes = Stage.BROKEN, None, [], 0
        if not self.is_received:
            self._source.cancel_reading()

    def is_overdue(self, now: float) -> bool:
        """Whether whoever is to move it has not for too long."""
        if self.stage in (Stage.ENDED, Stage.BROKEN):
            return False
        # Of one that is here as a whole nobody owes anything but a sink that has enough.
        if now < self._rate_floor.due or (self.is_received and not self._is_sink_full):
            return False
        if not self._is_sink_full or self._sink is None:
            return True
        # The system takes more only once a good part of what it holds is gone, some megabytes: a reader of
        # 64 kB a second took longer over that, and was cut off though it read all the time.
        before, self._delivered = self._delivered, self._sink.bytes_delivered()
        if self._delivered <= before:
            return True
        self._rate_floor.due = now + READER_TIMEOUT_SECONDS
        return False
