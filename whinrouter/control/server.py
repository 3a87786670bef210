"""The listener of the second address.

It does not stand in line with clients: the loop's `Door` knows nothing of its descriptors, and so has them
handled ahead of all clients at the process's own limit. Callers that say nothing take one of `MOST_OPEN`
places; where these are full, the one that has waited longest gives way to the next, so that they shut
nobody out.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import OrderedDict

from whinrouter.control.calls import CallRegistry
from whinrouter.control.session import BadCallError, Call, Session, error_answer
from whinrouter.net.accept import Acceptor

log = logging.getLogger(__name__)
audit = logging.getLogger("whinrouter.audit")  # none of its lines is left out

MAX_CALLERS = 8  # callers at once; their descriptors are reserved (RESERVED in program.py)
# Seconds that a caller may take for its line. People type, and some hold a connection for 4 s before they
# call.
LINE_TIMEOUT_SECONDS = 10.0
LISTEN_BACKLOG = 64
UNAUDITED_CALLS = frozenset(
    {"HEALTH", "VIOLATIONS"}
)  # calls that a monitor makes all day: they are not audited
LINGER_SECONDS = (
    1.0  # seconds for which a caller may go on sending behind its line: to close at once would reset it
)


class ControlServer:
    """Takes callers, and answers each with what `calls` says."""

    def __init__(self, calls: CallRegistry) -> None:
        self.calls = calls
        self.callers: OrderedDict[_CallerProtocol, None] = OrderedDict()  # by the time of their coming
        self._listener: socket.socket | None = None
        self._acceptor: Acceptor | None = None

    async def listen(self, host: str, port: int) -> int:
        """Take callers; return the port. OSError if the address is taken."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.create_server((host, port), family=family, backlog=LISTEN_BACKLOG)
        # One accept a turn: none takes a descriptor before it is counted.
        self._acceptor = Acceptor(listener, lambda: _CallerProtocol(self), max_accepts_per_turn=1)
        self._listener = listener
        return int(listener.getsockname()[1])

    def admit(self, caller: _CallerProtocol) -> None:
        """Count one more, in the place of the one that has waited longest if there is none left."""
        while len(self.callers) >= MAX_CALLERS:
            next(iter(self.callers)).drop()
        self.callers[caller] = None

    def close(self) -> None:
        """Take no more callers."""
        if self._acceptor is not None:
            self._acceptor.stop()
        if self._listener is not None:
            self._listener.close()
        for caller in list(self.callers):
            caller.drop()


class _CallerProtocol(asyncio.Protocol):
    def __init__(self, server: ControlServer) -> None:
        self._server = server
        self._session = Session()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.admit(self)
        self._timer = asyncio.get_running_loop().call_later(LINE_TIMEOUT_SECONDS, self.drop)

    def data_received(self, data: bytes) -> None:
        try:
            call = self._session.feed(data)
        except BadCallError as error:
            self._reject(error)
            return
        if call is not None:
            self._answer(call)

    def eof_received(self) -> bool:
        if self._session.is_finished:
            return False
        try:
            call = self._session.end()
        except BadCallError as error:
            self._reject(error)
            return True
        if call is not None:
            self._answer(call)
        return True  # the answer may still be on its way

    def _reject(self, error: BadCallError) -> None:
        log.info("control: noise: %s", error)
        self._reply(error_answer(str(error)))

    def _answer(self, call: Call) -> None:
        try:
            answer = self._server.calls.answer(call)
        except Exception:
            log.exception("failed on a call")
            answer = error_answer("a fault of the gateway's own; its log has the trace")
        if call.name not in UNAUDITED_CALLS:
            audit.info("control: %s: %s", " ".join((call.name, *call.arguments)), answer.decode().rstrip())
        self._reply(answer)

    def _reply(self, answer: bytes) -> None:
        assert self._transport is not None
        self._transport.write(answer)
        self._transport.write_eof()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(LINGER_SECONDS, self.drop)

    def drop(self) -> None:
        self._server.callers.pop(self, None)
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.callers.pop(self, None)
        if self._timer is not None:
            self._timer.cancel()
