"""The listener of the control address.

Its connections are not queued with clients: the event loop's `PrioritySelector` does not know their
descriptors and handles them ahead of all clients when the process is at its own limit. At most `MAX_CALLERS`
callers are connected. When a further one connects, the caller that has waited longest is dropped, so that
callers that send nothing can't lock out others.
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
audit = logging.getLogger("whinrouter.audit")  # its lines are never rate-limited

MAX_CALLERS = 8  # their descriptors are reserved (RESERVED_DESCRIPTORS in program.py)
# Within which a caller has to send its line: people type, and some connect 4 s before they call.
LINE_TIMEOUT_SECONDS = 10.0
LISTEN_BACKLOG = 64
UNAUDITED_CALLS = frozenset({"HEALTH", "VIOLATIONS"})  # a monitor repeats these calls all day
LINGER_SECONDS = 1.0  # a caller may still be sending: closing at once would reset its connection


class ControlServer:
    """Accepts callers and answers each call by the registry."""

    def __init__(self, calls: CallRegistry) -> None:
        self.calls = calls
        self.callers: OrderedDict[_CallerProtocol, None] = OrderedDict()  # in the order of their arrival
        self._listener: socket.socket | None = None
        self._acceptor: Acceptor | None = None

    async def listen(self, host: str, port: int) -> int:
        """Start to listen and return the port; OSError if the address is in use."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.create_server((host, port), family=family, backlog=LISTEN_BACKLOG)
        # One accept per loop iteration: each caller is counted before the next takes a descriptor.
        self._acceptor = Acceptor(listener, lambda: _CallerProtocol(self), max_accepts_per_turn=1)
        self._listener = listener
        return int(listener.getsockname()[1])

    def admit(self, caller: _CallerProtocol) -> None:
        """Count a new caller; drop the one that has waited longest if `MAX_CALLERS` are connected."""
        while len(self.callers) >= MAX_CALLERS:
            next(iter(self.callers)).drop()
        self.callers[caller] = None

    def close(self) -> None:
        """Stop listening and drop all callers."""
        if self._acceptor is not None:
            self._acceptor.stop()
        if self._listener is not None:
            self._listener.close()
        for caller in list(self.callers):
            caller.drop()


class _CallerProtocol(asyncio.Protocol):
    """One caller's connection: reads the line, answers, and lingers so that the caller can read it."""

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
        return True  # keep the connection open until the answer is written

    def _reject(self, error: BadCallError) -> None:
        log.info("control: invalid call: %s", error)
        self._reply(error_answer(str(error)))

    def _answer(self, call: Call) -> None:
        try:
            answer = self._server.calls.answer(call)
        except Exception:
            log.exception("control: a call failed")
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
        """Close the connection at once."""
        self._server.callers.pop(self, None)
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.callers.pop(self, None)
        if self._timer is not None:
            self._timer.cancel()
