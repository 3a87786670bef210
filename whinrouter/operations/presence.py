"""Whether clients are sent to this gateway, and when idle connections and late requests are to end.

The front distributes clients among the gateways. An operator's LEAVE, a SIGTERM and the end of a process that
another one replaces have the same first steps: the front is answered that the gateway is not up, answers
close their connections, and idle connections are closed. They differ in what follows: after LEAVE the process
runs on, and JOIN returns it to service.

    SERVING --leave--> LEAVING --join--> SERVING        either --stop--> STOPPING

Closing a connection while a request is on its way costs the client a retry. A connection that was used just
now is the likeliest to be used again, and then ends with its answer at no cost. So the idle time after which
a connection is closed shrinks from `INITIAL_IDLE_SECONDS` to `MIN_IDLE_SECONDS`; a new connection needs that
much for its first request. Times are seconds of one clock; this module reads none.
"""

from __future__ import annotations

from enum import Enum

# The front asks ten times a second and stops sending clients 0.2 s after a negative answer. By then few new
# connections arrive, and closing an idle one does not make its client return here. All idle connections are
# closed after this plus MIN_IDLE_SECONDS, which is before a platform that allows a process the shortest
# deadlines and 0.7 s ends it.
INITIAL_IDLE_SECONDS = 1.2
MIN_IDLE_SECONDS = 0.25  # what a new connection has for its first request
# A platform kills a process no sooner than the first of these plus the longest deadline after SIGTERM, and
# counts at most the second as the longest deadline. A request that arrives whole later than the first,
# because its first bytes had arrived before, has to be answered by then. One that arrived earlier has its own
# deadline.
KILL_DELAY_SECONDS, MAX_COUNTED_DEADLINE_SECONDS = 0.7, 3.0
# This long before that end each client has its answer, or a refusal of the request that it still sends. It
# covers the way to the client, event loop lag, and a client that is still sending and has to read the answer
# before its connection is reset.
LAST_ANSWER_MARGIN_SECONDS = 0.4


class Stage(Enum):
    """Whether the gateway serves, is drained or is ending; for the front only SERVING is up."""

    SERVING = "serving"
    LEAVING = "leaving"  # by an operator's call
    STOPPING = "stopping"  # the process ends


class Presence:
    """One process's stage, and the times that follow from when it left SERVING."""

    def __init__(self) -> None:
        self.stage = Stage.SERVING
        self._draining_since = 0.0
        self._stopping_since = 0.0

    @property
    def accepts_clients(self) -> bool:
        """Whether the front may send clients."""
        return self.stage is Stage.SERVING

    def leave(self, now: float) -> None:
        """Drain the gateway by an operator's call; it has no effect while the process stops."""
        if self.stage is Stage.SERVING:
            self.stage, self._draining_since = Stage.LEAVING, now

    def join(self) -> bool:
        """Return to service; False if the process is ending."""
        if self.stage is Stage.LEAVING:
            self.stage = Stage.SERVING
        return self.stage is Stage.SERVING

    def stop(self, now: float) -> None:
        """Drain the gateway as the process ends; `join` has no effect after that."""
        if self.stage is Stage.SERVING:
            self._draining_since = now
        if self.stage is not Stage.STOPPING:
            self._stopping_since = now
        self.stage = Stage.STOPPING

    @property
    def whole_answers_from(self) -> float | None:
        """The time from which a request that arrives needs its whole answer before the kill.

        An answer to one that arrived earlier may still be on its way then. None: the process is not stopping.
        """
        return self._stopping_since + KILL_DELAY_SECONDS if self.stage is Stage.STOPPING else None

    def _killed_at(self, longest_deadline: float) -> float:
        """Return the earliest time at which a stopping process may be killed."""
        return self._stopping_since + KILL_DELAY_SECONDS + min(longest_deadline, MAX_COUNTED_DEADLINE_SECONDS)

    def time_left(self, now: float, longest_deadline: float) -> float | None:
        """Return the seconds left to answer a request that arrives now; None: only its own deadline counts.

        `longest_deadline`: the longest of all classes, in seconds, by the settings in force.
        """
        whole_answers_from = self.whole_answers_from
        if whole_answers_from is None or now <= whole_answers_from:
            return None
        return max(0.0, self._killed_at(longest_deadline) - now)

    def answer_deadline(self, longest_deadline: float) -> float | None:
        """Return the time by which requests that arrive, or still arrive, after the signal are answered.

        None: the process is not stopping, and no such time is set.

        `longest_deadline`: the longest of all classes, in seconds, by the settings in force.
        """
        if self.stage is not Stage.STOPPING:
            return None
        return self._killed_at(longest_deadline) - LAST_ANSWER_MARGIN_SECONDS

    def idle_timeout(self, now: float) -> float | None:
        """Return the seconds that a connection may be idle; None: as long as usual."""
        if self.stage is Stage.SERVING:
            return None
        return max(MIN_IDLE_SECONDS, INITIAL_IDLE_SECONDS - (now - self._draining_since))
