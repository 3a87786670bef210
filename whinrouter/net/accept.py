"""The accept loop of one listening socket.

accept() fails for two kinds of reason (accept(2)). The first concerns the connection that was about to be
accepted: it was reset while it waited, or a network error is pending on it. The next connection can be
accepted at once. The second is a lack of descriptors or memory, in this process or in the whole system: the
connection stays in the backlog and the socket stays readable, so an immediate retry would spin. The loop
then backs off for `INITIAL_BACKOFF_SECONDS`, doubled with each consecutive failure up to
`MAX_BACKOFF_SECONDS`, which is short compared with the shortest client deadlines.

    ACCEPTING --out of resources--> BACKING OFF --timer--> ACCEPTING
    either    --stop--> STOPPED: final; neither a reader nor a timer is left

asyncio's own server waits for a second after each such failure, and its timer registers the reader again
even if the listener was closed in the meantime.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from whinrouter.net.transport import SocketTransport

log = logging.getLogger(__name__)

INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.001, 0.05
# Errors that concern a single connection: a reset, or a network error that accept(2) says to retry.
CONNECTION_ERRNOS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.EPERM,  # rejected by a local firewall rule
    }
)


class Acceptor:
    """Accepts the connections of a listening socket, each with a new protocol, until it is stopped."""

    def __init__(
        self,
        listener: socket.socket,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        max_accepts_per_turn: int,
    ) -> None:
        """Start to accept. `max_accepts_per_turn`: the limit for one turn of the event loop."""
        self._listener = listener
        self._protocol_factory = protocol_factory
        self._max_accepts_per_turn = max_accepts_per_turn
        self._loop = asyncio.get_running_loop()
        self._backoff_seconds = INITIAL_BACKOFF_SECONDS
        self._resume_timer: asyncio.TimerHandle | None = None
        listener.setblocking(False)
        self._loop.add_reader(listener, self._accept)

    def stop(self) -> None:
        """Stop accepting; accepted connections continue, and the listening socket stays open."""
        self._suspend()

    def _suspend(self) -> None:
        """Remove the reader and the timer."""
        if self._resume_timer is not None:
            self._resume_timer.cancel()
            self._resume_timer = None
        if self._listener.fileno() >= 0:
            self._loop.remove_reader(self._listener)

    def _resume(self) -> None:
        self._resume_timer = None
        self._loop.add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        """Accept the waiting connections, up to the limit for one turn."""
        for _ in range(self._max_accepts_per_turn):
            try:
                connection, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError):  # the backlog is empty, or another process accepted
                return
            except OSError as error:
                if error.errno in CONNECTION_ERRNOS:
                    log.info("accept: %s; accepting the next connection", error.strerror)
                    continue
                self._back_off(error)
                return
            self._backoff_seconds = INITIAL_BACKOFF_SECONDS
            self._attach_transport(connection)

    def _back_off(self, error: OSError) -> None:
        """Pause after a lack of resources."""
        log.warning("accept: %s; trying again after a pause", error.strerror)
        self._suspend()
        self._resume_timer = self._loop.call_later(self._backoff_seconds, self._resume)
        self._backoff_seconds = min(2 * self._backoff_seconds, MAX_BACKOFF_SECONDS)

    def _attach_transport(self, connection: socket.socket) -> None:
        try:
            SocketTransport(connection, self._protocol_factory())
        except OSError as error:
            log.warning("cannot set up an accepted connection: %s", error.strerror)
            connection.close()
