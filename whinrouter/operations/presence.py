"""Whether clients are to come to this gateway, and when those that are here are to go.

Theory of operation. An operator's LEAVE, a SIGTERM and the end of a process that another replaces are one
thing: the front is told no, answers end their connections, and who is idle is closed. They differ in what
follows: after LEAVE the process runs on, and JOIN takes it back.

    SERVING --leave--> LEAVING --join--> SERVING        either --stop--> STOPPING

A connection that is closed while a request crosses costs its client another try. One that has just been in
use is the likeliest to be used again, and then ends with its answer, for nothing. So the rest after which
an idle one is closed shrinks with time, from `PATIENT` to `LEAST_REST`; a connection that is new needs that
much to ask at all. Times are seconds of one clock; it reads none.
"""

from __future__ import annotations

from enum import Enum

# The front asks ten times a second and stops 0.2 s after a no; by then few connections are dealt to us any
# more, and closing an idle one does not bring it back. All idle ones are gone after this and LEAST_REST,
# which is before a platform that gives a process the shortest deadlines and 0.7 s ends it.
INITIAL_IDLE_SECONDS = 1.2
MIN_IDLE_SECONDS = 0.25  # seconds that a new connection has for its first request
# A platform ends a process no sooner than this and the longest deadline after SIGTERM, and counts as the
# longest one at most so much. What comes after the first of these, as its first bytes were here before, has
# to be answered by then; what came before has its own time.
KILL_DELAY_SECONDS, MAX_COUNTED_DEADLINE_SECONDS = 0.7, 3.0
# Seconds before that end by which each client has its answer, or a refusal of what still comes: its way to
# the client, a loop that runs late, and a client that still sends, which reads the answer before its
# connection is reset.
LAST_ANSWER_MARGIN_SECONDS = 0.4


class Stage(Enum):
    """What the front is told."""

    SERVING = "serving"
    LEAVING = "leaving"  # an operator's wish
    STOPPING = "stopping"  # for good


class Presence:
    """The state of one process."""

    def __init__(self) -> None:
        self.stage = Stage.SERVING
        self._since = 0.0

    @property
    def accepts_clients(self) -> bool:
        """Whether the front may send clients."""
        return self.stage is Stage.SERVING

    def leave(self, now: float) -> None:
        """An operator empties the gateway."""
        if self.stage is Stage.SERVING:
            self.stage, self._since = Stage.LEAVING, now

    def join(self) -> bool:
        """Clients may come again; False if the process is ending."""
        if self.stage is Stage.LEAVING:
            self.stage = Stage.SERVING
        return self.stage is Stage.SERVING

    def stop(self, now: float) -> None:
        """The process ends."""
        if self.stage is Stage.SERVING:
            self._since = now
        self.stage = Stage.STOPPING

    def time_left(self, now: float, longest_deadline: float) -> float | None:
        """Seconds within which a request that comes now is to be answered; None: within its own time.

        `longest`: the longest that any has.
        """
        if self.stage is not Stage.STOPPING or now <= self._since + KILL_DELAY_SECONDS:
            return None
        return max(
            0.0, self._since + KILL_DELAY_SECONDS + min(longest_deadline, MAX_COUNTED_DEADLINE_SECONDS) - now
        )

    def answer_deadline(self, longest_deadline: float) -> float | None:
        """The moment by which what came after the signal, or still comes, has its answer; None: none is set.

        `longest`: the longest time that any request has, by the settings in force.
        """
        if self.stage is not Stage.STOPPING:
            return None
        return (
            self._since
            + KILL_DELAY_SECONDS
            + min(longest_deadline, MAX_COUNTED_DEADLINE_SECONDS)
            - LAST_ANSWER_MARGIN_SECONDS
        )

    def idle_timeout(self, now: float) -> float | None:
        """Seconds that a connection may be idle; None: as long as at other times."""
        if self.stage is Stage.SERVING:
            return None
        return max(MIN_IDLE_SECONDS, INITIAL_IDLE_SECONDS - (now - self._since))
