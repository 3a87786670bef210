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

MOST = 64 * 1024  # bytes that are held for want of a sink, beside one read
# Bytes a second that a client's body comes with at least: half of what the slowest honest one is known for.
FLOOR = 32_000.0
GRACE = 2.0  # seconds of silence that a client may have
STALL = 10.0  # and a host: long waits of theirs were within a few seconds
# Seconds in which whoever takes what is passed on shows that it does. A system tells that its program has
# read only once a sixteenth of its buffer is free again, and the buffer grows with what was once read fast:
# readers at `FLOOR` showed nothing for up to 16.3 s in one run and 10.2 in another (`benchmarks.reading`).
TAKES = 20.0


class RateFloor:
    """The time by which a peer has to have sent more, where it must keep a least rate.

    Each byte earns `1 / floor` seconds, but the peer is never more than `grace` seconds ahead: neither
    silence nor a trickle holds a connection, and a peer above the floor is never cut off. It reads no clock;
    times are seconds of the caller's.
    """

    __slots__ = ("_floor", "_grace", "due")

    def __init__(self, now: float, grace: float = GRACE, floor: float = FLOOR) -> None:
        """`floor`: bytes a second; 0: any byte earns the whole `grace`."""
        self._grace, self._floor = grace, floor
        self.due = now + grace

    def earn(self, count: int, now: float) -> None:
        """So many bytes have come; that they were read late is not held against the peer."""
        earned = count / self._floor if self._floor else self._grace
        self.due = min(now + self._grace, max(self.due, now) + earned)


class Source(Protocol):
    """The connection that a body is read from."""

    def hold(self) -> None:
        """Read no more for now."""

    def go_on(self) -> None:
        """Read again."""

    def unwanted(self) -> None:
        """Nobody takes the rest: end it."""


class Sink(Protocol):
    """The connection that a body is written to."""

    def take(self, data: bytes) -> None:
        """Send this on."""

    def took_all(self) -> None:
        """That was all of it."""

    def cut(self) -> None:
        """The rest will not come: end so that the reader can tell."""

    def taken(self) -> int:
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
        self.begun = False  # a part of it can't be had again
        self.came = False  # all of it is here, or has gone on
        self._source = source
        self._sink: Sink | None = None
        self._kept: list[bytes] = []
        self._size = 0
        self._full = False  # the sink has enough
        self._held = False  # the source reads no more
        self._grace = grace
        self._pace = RateFloor(now, grace, floor)
        self._taken = -1  # what the sink's reader had when that was last looked at

    @property
    def held(self) -> bool:
        """Whether the source reads no more for now."""
        return self._held

    @property
    def source(self) -> Source:
        """Where it comes from."""
        return self._source

    @property
    def sink(self) -> Sink | None:
        """Where it goes."""
        return self._sink

    @property
    def kept(self) -> bytes:
        """What was put in and has not gone to the sink."""
        return b"".join(self._kept)

    def release(self) -> None:
        """Somebody else goes on with it: neither side is told anything more."""
        self.stage, self._sink, self._kept, self._size = Stage.ENDED, None, [], 0

    def __repr__(self) -> str:
        gone = "all here" if self.came else "to come"
        return f"{self.stage.value}, {gone}, {'full' if self._full else 'open'}, {self._size} bytes held"

    def put(self, data: bytes, now: float) -> None:
        """The source has read this."""
        self._pace.earn(len(data), now)
        if self.stage is Stage.FLOWING and not self._full and self._sink is not None:
            self.begun = True
            self._sink.take(data)
        elif self.stage in (Stage.FILLING, Stage.FLOWING):
            self._kept.append(data)
            self._size += len(data)
        self._settle(now)

    def _settle(self, now: float) -> None:
        """Hold the source while more would have to be kept, and no longer."""
        hold = self._full if self.stage is Stage.FLOWING else self._size > MOST
        if hold and not self._held and not self.came:
            self._held, self._pace.due = True, now + STALL
            self._source.hold()
        elif self._held and not hold:
            self._held, self._pace.due = False, now + self._grace
            self._source.go_on()

    def end(self) -> None:
        """The source has read all of it."""
        self.came = True
        if self._held:  # whatever comes behind it is not this body's
            self._held = False
            self._source.go_on()
        if self.stage is Stage.DISCARDING:
            self.stage = Stage.ENDED
        self._pass_end()

    def _pass_end(self) -> None:
        if self.came and not self._kept and self.stage is Stage.FLOWING and self._sink is not None:
            self.stage = Stage.ENDED
            self._sink.took_all()

    def attach(self, sink: Sink, now: float) -> None:
        """From now on all of it goes here; what is held goes at once."""
        self._sink, self.stage, self._full = sink, Stage.FLOWING, False
        self._drain(now)

    def _drain(self, now: float) -> None:
        while self._kept and not self._full and self._sink is not None:
            data = self._kept.pop(0)
            self._size -= len(data)
            self.begun = True
            self._sink.take(data)
        self._pass_end()
        self._settle(now)

    def detach(self, now: float) -> None:
        """The sink is gone; another may come if nothing was lost with it."""
        self._sink = None
        if self.stage is Stage.FLOWING:
            self.stage = Stage.FILLING
            self._full, self._pace.due = False, now + STALL  # not the time of a sink that has left
            self._settle(now)

    def full(self, now: float) -> None:
        """The sink has enough for now."""
        self._full, self._pace.due = True, now + TAKES
        self._settle(now)

    def room(self, now: float) -> None:
        """The sink takes more."""
        self._full, self._pace.due = False, now + self._grace
        if self.stage is Stage.FLOWING:
            self._drain(now)

    def discard(self, now: float) -> None:
        """Nobody wants the rest; the source may read it and drop it."""
        if self.stage in (Stage.ENDED, Stage.BROKEN):
            return
        self._sink, self._kept, self._size = None, [], 0
        self.stage = Stage.ENDED if self.came else Stage.DISCARDING
        self._settle(now)

    def fail(self) -> None:
        """The source broke."""
        if self.stage in (Stage.ENDED, Stage.BROKEN):
            return
        self.stage, sink = Stage.BROKEN, self._sink
        self._sink, self._kept, self._size = None, [], 0
        if sink is not None:
            sink.cut()

    def cancel(self) -> None:
        """The sink broke for good, and nobody else is to have it."""
        if self.stage in (Stage.ENDED, Stage.BROKEN):
            return
        self.stage, self._sink, self._kept, self._size = Stage.BROKEN, None, [], 0
        if not self.came:
            self._source.unwanted()

    def overdue(self, now: float) -> bool:
        """Whether whoever is to move it has not for too long."""
        if self.stage in (Stage.ENDED, Stage.BROKEN):
            return False
        # Of one that is here as a whole nobody owes anything but a sink that has enough.
        if now < self._pace.due or (self.came and not self._full):
            return False
        if not self._full or self._sink is None:
            return True
        # The system takes more only once a good part of what it holds is gone, some megabytes: a reader of
        # 64 kB a second took longer over that, and was cut off though it read all the time.
        before, self._taken = self._taken, self._sink.taken()
        if self._taken <= before:
            return True
        self._pace.due = now + TAKES
        return False
