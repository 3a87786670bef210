"""A body that is passed from one connection, the source, to another, the sink, while it arrives.

Theory of operation. The source puts in what it has read, and the sink is given it at once. Data is buffered
only while there is no sink, or while the sink is full. The source is told to pause reading then, and what it
had read already is all that is buffered: `MAX_BUFFERED_BYTES` and one read.

    FILLING --attach--> FLOWING --end--> ENDED       (detach: back to FILLING, if nothing was sent yet)
    either  --fail----> BROKEN: the sink is told to abort, in a way that its reader notices
    either  --cancel--> BROKEN: the source is told to cancel, and reads no more
    either  --discard-> DISCARDING: the rest of the body is not wanted; it is read and dropped

Data that was given to a sink is not kept: once `is_partly_sent` is set, the request whose body this is can't
be sent to another host any more. A body that has arrived completely before it has a sink can be taken out
whole instead (`take_received`), and is then held by the taker.

`is_overdue` finds the side that makes no progress. The source has a grace period and the time that its bytes
have earned at a least rate (`RateFloor`), so that neither silence nor a trickle keeps a connection. While the
sink is full the time is the sink's: `READER_TIMEOUT_SECONDS`. Times are seconds of one clock, which the
caller reads; there is no I/O.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from whinrouter.memory_budget import MAX_READ_BYTES, ReadWindow
from whinrouter.streaming.arrival import BodyArrival

MAX_BUFFERED_BYTES = MAX_READ_BYTES  # above this the source is paused; one read may come on top
# The least rate of a client's body, in bytes a second: half the rate of the slowest legitimate client known.
MIN_BODY_RATE = 32_000.0
GRACE_SECONDS = 2.0  # a client may be silent for this long
STALL_SECONDS = 10.0  # a host may be silent for this long: legitimate pauses of hosts were a few seconds
UNPROVEN_STALL_SECONDS = 0.2  # the same, of an answer that may be a short one, from its client's deadline on
# Time within which the reader of a streamed body has to show progress. The kernel reports that a program has
# read only once a sixteenth of its receive buffer is free again, and the buffer grows with what was once read
# fast: readers at `MIN_BODY_RATE` showed no progress for up to 16.3 s in one run and 10.2 s in another
# (`benchmarks.reading`).
READER_TIMEOUT_SECONDS = 20.0


class RateFloor:
    """The deadline by which a peer that must keep a least rate has to send more.

    Each byte earns `1 / floor` seconds, but the deadline is never more than `grace` seconds ahead. Neither
    silence nor a trickle keeps a connection, and a peer above the floor is never cut off. Times are seconds
    of the caller's clock.
    """

    __slots__ = ("_floor", "_grace", "deadline")

    def __init__(self, now: float, grace: float = GRACE_SECONDS, floor: float = MIN_BODY_RATE) -> None:
        """`floor`: bytes a second; 0: any byte earns the whole `grace`."""
        self._grace, self._floor = grace, floor
        self.deadline = now + grace

    def credit(self, count: int, now: float) -> None:
        """Extend the deadline for bytes that arrived; a peer is not blamed for bytes that were read late."""
        earned = count / self._floor if self._floor else self._grace
        self.deadline = min(now + self._grace, max(self.deadline, now) + earned)


class Source(Protocol):
    """The connection that a body is read from."""

    def pause_reading(self) -> None:
        """Read no more for now."""

    def resume_reading(self) -> None:
        """Read again."""

    def cancel_reading(self) -> None:
        """The rest is not wanted: end the exchange."""


class Sink(Protocol):
    """The connection that a body is written to."""

    def write_body(self, data: bytes) -> None:
        """Send a piece of the body."""

    def finish_body(self) -> None:
        """The body is whole."""

    def abort_body(self) -> None:
        """The rest will not come: end the exchange so that its reader notices."""

    def bytes_delivered(self) -> int:
        """Bytes that the reader has received so far; -1 if that is not known."""


class Stage(Enum):
    """The state of a body; the module docstring describes the transitions."""

    FILLING = "filling"
    FLOWING = "flowing"
    DISCARDING = "discarding"
    ENDED = "ended"
    BROKEN = "broken"


class Flow:
    """One body, or the part of one that follows what was buffered with its message."""

    def __init__(
        self,
        source: Source,
        length: int | None,
        now: float,
        grace: float,
        floor: float,
        window: ReadWindow | None = None,
    ) -> None:
        """`length`: bytes of the whole body as announced, None if it was not.

        `grace` and `floor` are those of `RateFloor`: seconds, and bytes a second (0: no least rate).
        `window`: its size is the limit of what is buffered, at most `MAX_BUFFERED_BYTES`.
        """
        self._window = window or ReadWindow()
        self.length = length
        self.stage = Stage.FILLING
        self.is_partly_sent = False  # a sink was given a part, which is not kept
        self.is_received = False  # the source has read the whole body
        self._source = source
        self._sink: Sink | None = None
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._is_sink_full = False
        self._is_paused = False  # the source was told to pause reading
        self._is_discarded = False  # the rest is not wanted, and what was buffered is gone
        self._grace = self._usual_grace = grace
        self._unproven_bytes = 0  # that must arrive before the usual grace holds
        self._silent_until = now  # until this time the usual grace holds all the same
        self._rate_floor = RateFloor(now, grace, floor)
        self.arrival = BodyArrival(now)
        self._delivered = -1  # bytes that the sink reported as delivered at the latest check

    @property
    def is_source_paused(self) -> bool:
        """Whether the source reads no more for now."""
        return self._is_paused

    @property
    def source(self) -> Source:
        """The connection that the body comes from."""
        return self._source

    @property
    def sink(self) -> Sink | None:
        """The connection that the body goes to; None before `attach` and at the end."""
        return self._sink

    @property
    def unsent(self) -> bytes:
        """The buffered data, which the sink was not given yet."""
        return b"".join(self._buffer)

    @property
    def is_whole(self) -> bool:
        """Whether a sink that is attached now is given the whole body: no other sink has it or had a part.

        A body that has ended is whole only if it has no data: its sink was given everything else.
        """
        is_lost = self.is_partly_sent or self._is_discarded
        return not is_lost and self.stage in (Stage.FILLING, Stage.ENDED)

    def take_received(self, max_bytes: int) -> bytes | None:
        """End the flow and return its data; None if the data is incomplete, partly sent or too large."""
        is_here = self.stage is Stage.FILLING and self.is_received and self.is_whole
        if not is_here or self._buffered_bytes > max_bytes:
            return None
        data = self.unsent
        self.release()
        return data

    def release(self) -> None:
        """End the flow here, as another process continues the body: neither side is called any more."""
        self.stage, self._sink, self._buffer, self._buffered_bytes = Stage.ENDED, None, [], 0

    def __repr__(self) -> str:
        progress = "received" if self.is_received else "arriving"
        return (
            f"{self.stage.value}, {progress}, {'sink full' if self._is_sink_full else 'sink open'}, "
            f"{self._buffered_bytes} bytes buffered"
        )

    def put(self, data: bytes, now: float) -> None:
        """Take data that the source has read."""
        if self._unproven_bytes > 0:
            self._prove(len(data))
        self._rate_floor.credit(len(data), now)
        self._extend_silence(now)
        if self.stage is Stage.FLOWING and not self._is_sink_full and self._sink is not None:
            self.is_partly_sent = True
            self._sink.write_body(data)
        elif self.stage in (Stage.FILLING, Stage.FLOWING):
            self._buffer.append(data)
            self._buffered_bytes += len(data)
        self._update_source(now)

    def expect_bytes(self, count: int, stall_seconds: float, now: float) -> None:
        """Give the source only `stall_seconds` of silence at a time until so many bytes have arrived."""
        self._unproven_bytes, self._grace = count, stall_seconds
        self._rate_floor = RateFloor(now, stall_seconds, 0.0)

    @property
    def unproven_bytes(self) -> int:
        """The bytes that must arrive before the source may be silent for as long as usual; 0: none."""
        return max(0, self._unproven_bytes)

    def silent_seconds_left(self, now: float) -> float:
        """Return for how many seconds a source that has to prove itself has the usual grace."""
        return max(0.0, self._silent_until - now)

    def allow_silence(self, until: float, now: float) -> None:
        """Give a source that has to prove itself the usual grace until this time."""
        self._silent_until = until
        self._extend_silence(now)

    def _extend_silence(self, now: float) -> None:
        """Let an unproven source be silent until `_silent_until`, but for no longer than usual."""
        if self._unproven_bytes > 0:
            silent_until = min(now + self._usual_grace, self._silent_until)
            self._rate_floor.deadline = max(self._rate_floor.deadline, silent_until)

    def _prove(self, count: int) -> None:
        self._unproven_bytes -= count
        if self._unproven_bytes <= 0:
            self._grace = self._usual_grace
            self._rate_floor = RateFloor(self._rate_floor.deadline, self._grace, 0.0)

    def _update_source(self, now: float) -> None:
        """Pause the source exactly while more data would have to be buffered."""
        should_pause = (
            self._is_sink_full if self.stage is Stage.FLOWING else self._buffered_bytes > self._window.size
        )
        if should_pause and not self._is_paused and not self.is_received:
            self._is_paused, self._rate_floor.deadline = True, now + STALL_SECONDS
            self.arrival.left_unread()
            self._source.pause_reading()
        elif self._is_paused and not should_pause:
            self._is_paused, self._rate_floor.deadline = False, now + self._grace
            self._extend_silence(now)
            self._source.resume_reading()

    def end(self) -> None:
        """Note that the source has read the whole body."""
        self.is_received = True
        if self._is_paused:  # what follows the body on its connection has to be read
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
        """Send the body to this sink, beginning with the buffered data."""
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
        """Detach the sink, which is gone; another one may be attached if this one was given nothing."""
        self._sink = None
        if self.stage is Stage.FLOWING:
            self.stage = Stage.FILLING
            # The source must not inherit the longer time of a sink that was full.
            self._is_sink_full, self._rate_floor.deadline = False, now + STALL_SECONDS
            self._update_source(now)

    def sink_full(self, now: float) -> None:
        """Note that the sink accepts no more for now."""
        self._is_sink_full, self._rate_floor.deadline = True, now + READER_TIMEOUT_SECONDS
        self._update_source(now)

    def sink_ready(self, now: float) -> None:
        """Note that the sink accepts data again, and send it what was buffered."""
        self._is_sink_full, self._rate_floor.deadline = False, now + self._grace
        self._extend_silence(now)
        if self.stage is Stage.FLOWING:
            self._drain(now)

    def discard(self, now: float) -> None:
        """The rest is not wanted: what the source still reads is dropped."""
        if self.stage in (Stage.ENDED, Stage.BROKEN):
            return
        self._sink, self._buffer, self._buffered_bytes, self._is_discarded = None, [], 0, True
        self.stage = Stage.ENDED if self.is_received else Stage.DISCARDING
        self._update_source(now)

    def fail(self) -> None:
        """End the body, as the source broke: the sink is told to abort."""
        if self.stage in (Stage.ENDED, Stage.BROKEN):
            return
        self.stage, sink = Stage.BROKEN, self._sink
        self._sink, self._buffer, self._buffered_bytes = None, [], 0
        if sink is not None:
            sink.abort_body()

    def cancel(self) -> None:
        """End the body, as the sink broke and no other one follows: the source is told to cancel."""
        if self.stage in (Stage.ENDED, Stage.BROKEN):
            return
        self.stage, self._sink, self._buffer, self._buffered_bytes = Stage.BROKEN, None, [], 0
        if not self.is_received:
            self._source.cancel_reading()

    def is_overdue(self, now: float) -> bool:
        """Whether the side that is to make progress has made none for too long."""
        if self.stage in (Stage.ENDED, Stage.BROKEN):
            return False
        # Once the body is received, only a sink that is full can be late.
        if now < self._rate_floor.deadline or (self.is_received and not self._is_sink_full):
            return False
        if not self._is_sink_full or self._sink is None:
            return True
        # The kernel accepts more only once a good part of its send buffer, some megabytes, has left. A reader
        # of 64 kB/s took longer over that and was cut off although it read all the time, so the bytes that
        # reached it count.
        before, self._delivered = self._delivered, self._sink.bytes_delivered()
        if self._delivered <= before:
            return True
        self._rate_floor.deadline = now + READER_TIMEOUT_SECONDS
        return False
