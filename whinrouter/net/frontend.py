"""Client connections: requests in, one answer each, and `/up`."""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from http import HTTPStatus

from whinrouter.interface import SECOND, RequestId, Settings
from whinrouter.net.gateway import Answer, Asked, Gateway
from whinrouter.net.http import BadMessageError, Message, RequestReader, write_answer

log = logging.getLogger(__name__)

MAX_QUEUED = 16  # requests that a client may send ahead on one connection
RECEIVE_TIME = 10.0  # seconds within which a request that has begun must be whole
LINGER = 1.0  # seconds for which a client may go on sending what was rejected


class Frontend:
    """The listener and its connections."""

    def __init__(self, gateway: Gateway, settings: Settings, limit: int) -> None:
        self.gateway = gateway
        self._deadlines = {kind.name: kind.deadline for kind in settings.classes}
        # For a class that was never announced: what to assume, and what to believe at most.
        self._shortest, self._longest = min(self._deadlines.values()), max(self._deadlines.values())
        self.limit = limit  # connections at most
        self.connections: dict[_Client, None] = {}  # the longest unused first
        self.stopping = False
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Take connections; return the port, which 0 leaves to the system."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Client(self), host, port, backlog=512)
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def ready(self) -> bool:
        return self.gateway.has_list and not self.stopping

    def close(self) -> None:
        """Take no new connection, and close those that are between requests."""
        if self._server is not None:
            self._server.close()
        for client in list(self.connections):
            client.close_if_idle()

    def make_room(self) -> bool:
        """Close the connection that has been without a request for longest: a client just opens another."""
        return any(client.close_if_idle() for client in list(self.connections))

    def asked(self, message: Message) -> Asked:
        path = message.target.split(b"?", 1)[0].decode("latin-1")
        class_name = message.get(b"x-class") or path.strip("/").split("/", 1)[0]
        hint = message.get(b"x-cost-hint") or ""
        return Asked(
            message,
            class_name,
            self._timeout(message.get(b"x-deadline"), class_name),
            int(hint) if hint.isascii() and hint.isdigit() else 0,
            message.get(b"x-key"),
            message.get(b"x-retry") == "1",
            message.get(b"x-tenant") or "",
        )

    def _timeout(self, text: str | None, class_name: str) -> int:
        """How long the client waits; its class's limit if it says nothing of use, or more than that."""
        assumed = self._deadlines.get(class_name, self._shortest)
        try:
            seconds = float(text or "")
        except ValueError:
            return assumed
        if not math.isfinite(seconds) or seconds <= 0:
            return assumed
        return min(round(seconds * SECOND), self._deadlines.get(class_name, self._longest))


class _Client(asyncio.Protocol):
    """One client's connection; its requests are handled one after the other."""

    def __init__(self, front: Frontend) -> None:
        self._front = front
        self._reader = RequestReader()
        self._transport: asyncio.Transport | None = None
        self._queued: deque[Message] = deque()
        self._busy = False
        self._request: RequestId | None = None
        self._close = False
        self._crowded = False
        self._unread = False  # the client does not take what was written to it
        self._rejected = False
        self._patience: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # Without this, descriptors would run out and connections to hosts would fail.
        self._crowded = len(self._front.connections) >= self._front.limit and not self._front.make_room()
        self._front.connections[self] = None

    def data_received(self, data: bytes) -> None:
        if self._close:
            return
        try:
            self._queued.extend(self._reader.feed(data))
        except BadMessageError as error:
            self._reject(error.status)
            return
        if len(self._queued) > MAX_QUEUED:
            self._reject(HTTPStatus.TOO_MANY_REQUESTS)
        elif self._reader.waits_for_leave and not self._busy and self._transport is not None:
            self._reader.waits_for_leave = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._limit_receiving()
        self._next()

    def _limit_receiving(self) -> None:
        """Clients that begin requests and never end them would hold all descriptors."""
        if self._reader.began and self._patience is None:
            loop = asyncio.get_running_loop()
            self._patience = loop.call_later(RECEIVE_TIME, self._reject, HTTPStatus.REQUEST_TIMEOUT)
        elif not self._reader.began and self._patience is not None:
            self._patience.cancel()
            self._patience = None

    def _reject(self, status: HTTPStatus) -> None:
        """Nothing that comes after this can be told apart any more; a request in work is still answered."""
        if self._rejected:
            return
        self._queued.clear()
        self._close = self._rejected = True
        if not self._busy:
            self._write(Answer(status))

    def _next(self) -> None:
        while self._queued and not self._busy and not self._unread:
            message = self._queued.popleft()
            self._busy = True
            self._close = self._close or not message.keep_alive
            try:
                self._begin(message)
            except Exception:
                log.exception("failed on a request")
                self._reply(Answer(HTTPStatus.INTERNAL_SERVER_ERROR))

    def _begin(self, message: Message) -> None:
        if message.target == b"/up" and message.method == b"GET":
            self._reply(Answer(HTTPStatus.OK if self._front.ready else HTTPStatus.SERVICE_UNAVAILABLE))
        elif message.method not in (b"GET", b"POST"):
            self._close = True
            self._reply(Answer(HTTPStatus.METHOD_NOT_ALLOWED))
        elif not message.get(b"x-request-id"):
            self._close = True
            self._reply(Answer(HTTPStatus.BAD_REQUEST))
        elif self._crowded:
            self._close = True
            self._reply(Answer(HTTPStatus.SERVICE_UNAVAILABLE))
        else:
            request = self._front.gateway.take(self._front.asked(message), self._reply)
            if self._busy:  # it may have its answer already
                self._request = request

    def pause_writing(self) -> None:
        """Answers nobody reads must not pile up: the next request waits."""
        self._unread = True

    def resume_writing(self) -> None:
        self._unread = False
        self._next()

    def _reply(self, answer: Answer) -> None:
        if not self._busy:
            return
        self._busy, self._request = False, None
        self._close = self._close or self._front.stopping
        self._write(answer)
        if self._front.connections.pop(self, True) is None:
            self._front.connections[self] = None  # now the latest used
        if self._queued:
            asyncio.get_running_loop().call_soon(self._next)

    def _write(self, answer: Answer) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(write_answer(answer.status, answer.headers, answer.body, self._close))
            if self._rejected:
                # To close with bytes unread would reset the connection, and could take this answer with it.
                self._transport.write_eof()
                asyncio.get_running_loop().call_later(LINGER, self._transport.close)
            elif self._close:
                self._transport.close()

    def close_if_idle(self) -> bool:
        """Close it if it is between requests; one that has begun to come is still taken."""
        if self._busy or self._queued or self._close or self._reader.began or self._transport is None:
            return False
        self._close = True
        self._transport.close()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._front.connections.pop(self, None)
        if self._patience is not None:
            self._patience.cancel()
        request, self._request = self._request, None
        self._busy, self._close = False, True
        self._queued.clear()
        if request is not None:
            self._front.gateway.leave(request)
