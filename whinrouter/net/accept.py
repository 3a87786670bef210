"""The accept loop of one listening socket.

Theory of operation. accept() fails for two kinds of reason (accept(2)). One is about the connection that was
to be accepted: it was reset while it waited, or a network error is already pending on it. The next one may
be taken at once. The other is a want of descriptors or memory, here or in the whole system: the connection
stays in the queue and the socket stays readable, so that asking again at once would spin. Then the loop
pauses for `FIRST_PAUSE`, doubled with each failure in a row up to `LONGEST_PAUSE`, which is short beside the
shortest deadlines of clients.

    ACCEPTING --a want of resources--> PAUSED --the pause is over--> ACCEPTING
    either    --stop-----------------> STOPPED, for good: neither a reader nor a timer is left

asyncio's own server waits for a second after each such failure, and its timer gives a listener that was
closed meanwhile its reader back.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from whinrouter.net.transport import SocketTransport

log = logging.getLogger(__name__)

INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.001, 0.05  # seconds
# What says something of one connection alone: a reset, or a network error that accept(2) tells to pass over.
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
        errno.EPERM,  # a rule of the machine's firewall
    }
)


class Acceptor:
    """Gives each connection of a listening socket a protocol of its own, until it is stopped."""

    def __init__(
        self,
        listener: socket.socket,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        max_accepts_per_turn: int,
    ) -> None:
        """`at_once`: connections that are accepted in one turn of the loop at most."""
        self._listener = listener
        self._protocol_factory = protocol_factory
        self._max_accepts_per_turn = max_accepts_per_turn
        self._loop = asyncio.get_running_loop()
        self._backoff_seconds = INITIAL_BACKOFF_SECONDS
        self._resume_timer: asyncio.TimerHandle | None = None
        listener.setblocking(False)
        self._loop.add_reader(listener, self._accept)

    def stop(self) -> None:
        """Accept no more; what was accepted goes on, and the socket stays open."""
        self._suspend()

    def _suspend(self) -> None:
        if self._resume_timer is not None:
            self._resume_timer.cancel()
            self._resume_timer = None
        if self._listener.fileno() >= 0:
            self._loop.remove_reader(self._listener)

    def _resume(self) -> None:
        self._resume_timer = None
        self._loop.add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        for _ in range(self._max_accepts_per_turn):
            try:
                connection, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError):  # none waits, or another process was faster
                return
            except OSError as error:
                if error.errno in CONNECTION_ERRNOS:
                    log.info("accept: %s; taking the next one", error.strerror)
                    continue
                self._back_off(error)
                return
            self._backoff_seconds = INITIAL_BACKOFF_SECONDS
            self._attach_transport(connection)

    def _back_off(self, error: OSError) -> None:
        log.warning("accept: %s; trying again after a pause", error.strerror)
        self._suspend()
        self._resume_timer = self._loop.call_later(self._backoff_seconds, self._resume)
        self._backoff_seconds = min(2 * self._backoff_seconds, MAX_BACKOFF_SECONDS)

    def _attach_transport(self, connection: socket.socket) -> None:
        try:
            SocketTransport(connection, self._protocol_factory())
        except OSError as error:
            log.warning("a connection that was accepted could not be set up: %s", error.strerror)
            connection.close()
