"""When the last byte of a body was sent, as far as its reader can tell. No I/O, no clock.

A client counts its time from the last byte that it wrote. While the gateway does not read, as the host
accepts no more, that byte may be in the kernel already. What is known is the latest moment at which it was
not: when a read had emptied the socket and more followed, or when unread input still grew.

Times are seconds of one clock, which the caller reads.
"""

from __future__ import annotations

# Bytes that the kernels of both sides may hold unread. Once more than this was read behind a moment, the
# last byte was sent after that moment.
MAX_UNREAD_BYTES = 1024 * 1024
MAX_SENDER_BYTES = 4 * 1024 * 1024  # that the sender's kernel holds at most, the default of Linux


class BodyArrival:
    """The arrival of one body."""

    __slots__ = ("_bytes_behind", "_is_caught_up", "_unread_bytes", "earliest_end")

    def __init__(self, now: float) -> None:
        self.earliest_end = now  # the last byte was not sent before this moment
        self._is_caught_up = True  # whatever arrives is read at once
        self._bytes_behind = 0  # read since `earliest_end`
        self._unread_bytes = 0  # at the latest look

    @property
    def is_caught_up(self) -> bool:
        """Whether the rest was not sent yet: everything that had arrived was read, and reading goes on."""
        return self._is_caught_up

    def read(self, count: int, now: float) -> None:
        """Note that bytes were read."""
        self._bytes_behind += count
        if self._is_caught_up or self._bytes_behind > MAX_UNREAD_BYTES:
            self.earliest_end, self._bytes_behind = now, 0

    def emptied(self, now: float) -> None:
        """Note that the read left nothing unread, and that the body is incomplete."""
        self._is_caught_up, self.earliest_end, self._bytes_behind = True, now, 0

    def left_unread(self) -> None:
        """Note that input may be unread: a read was full, or reading is paused."""
        self._is_caught_up = False

    def look(self, unread_bytes: int, remaining_bytes: int | None, now: float) -> None:
        """Note how many bytes are unread while reading is paused: none, or more, show a sender that goes on.

        `remaining_bytes`: of the body, behind what was read; None if its length is not known.
        """
        has_changed = unread_bytes == 0 or unread_bytes > self._unread_bytes
        if has_changed or (remaining_bytes is not None and remaining_bytes > unread_bytes + MAX_SENDER_BYTES):
            self.earliest_end = now
        self._unread_bytes = unread_bytes
