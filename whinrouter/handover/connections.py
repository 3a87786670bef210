"""Connections of this process as `passing.py` hands them over, and those of others as it takes them up."""

from __future__ import annotations

import socket
from collections.abc import Callable

from whinrouter.handover.relayed import RelayedAnswer
from whinrouter.handover.transfer import (
    AdoptedConnection,
    NoRoomError,
    PassedAnswer,
    PassedClient,
    PassedMessage,
    PassedUpload,
)
from whinrouter.net.attempt import Target
from whinrouter.net.connection_state import ConnectionState
from whinrouter.net.frontend import ClientConnection, Frontend
from whinrouter.net.gateway import PassedRequest
from whinrouter.net.http import LAST_CHUNK, chunk
from whinrouter.net.upstream import HostConnection, Upstream
from whinrouter.streaming.remainder import MovableSource

PASSABLE = frozenset(
    {
        ConnectionState.IDLE,
        ConnectionState.RECEIVING,
        ConnectionState.UPLOADING,
        ConnectionState.ANSWERING,
        ConnectionState.FLUSHING,
    }
)


def _framed(body: bytes, chunked: bool) -> bytes:
    return chunk(body) if chunked and body else body


class ConnectionUnderWay:
    """One client's connection, in whichever state it is."""

    def __init__(self, front: Frontend, client: ClientConnection) -> None:
        self._front, self._client = front, client
        self._state = client.state
        self._request = client.request
        self._host: HostConnection | None = None  # where a body is on its way to or from one

    @property
    def is_over(self) -> bool:
        client = self._client
        return client.state is not self._state or client.request != self._request

    def pause(self) -> PassedMessage | None:
        match self._state:
            case ConnectionState.IDLE | ConnectionState.RECEIVING:
                return self._pause_input()
            case ConnectionState.FLUSHING:
                return PassedClient(b"", self._client.freeze(), closes=True)
            case ConnectionState.ANSWERING:
                return self._pause_answer()
            case ConnectionState.UPLOADING:
                return self._pause_upload()
            case _:
                return None

    def _pause_input(self) -> PassedClient | None:
        incoming = self._client.input.received()
        if incoming is None:
            return None
        return PassedClient(incoming, self._client.freeze(), closes=False)

    def _pause_answer(self) -> PassedMessage | None:
        client, flow = self._client, self._client.passed_on
        assert flow is not None
        chunked = client.chunked
        if flow.came:  # all of it is here, and its reader is slow
            rest = _framed(flow.kept, chunked) + (LAST_CHUNK if chunked else b"")
            return PassedClient(b"", client.freeze() + rest, closes=True)
        source = flow.source
        remainder = source.remainder() if isinstance(source, MovableSource) else None
        if remainder is None or not isinstance(source, HostConnection):
            return None
        self._host = source
        source.freeze()
        to_client = client.freeze() + _framed(flow.kept, chunked)
        return PassedAnswer(remainder, flow.length, chunked, to_client)

    def _pause_upload(self) -> PassedUpload | None:
        client, flow = self._client, self._client.upload
        passed = self._front.gateway.passable(self._request) if self._request is not None else None
        remainder = client.input.remainder()
        if flow is None or passed is None or remainder is None or not isinstance(flow.sink, HostConnection):
            return None
        self._host = flow.sink
        to_host = self._host.freeze() + _framed(flow.kept, flow.length is None)
        return PassedUpload(
            remainder,
            client.input.passed,
            flow.length,
            client.ends_with_answer,
            passed.name,
            passed.class_name,
            passed.patience,
            passed.server,
            client.freeze(),
            to_host,
        )

    def descriptors(self) -> tuple[int, ...]:
        if self._host is None:
            return (self._client.descriptor,)
        return self._client.descriptor, self._host.descriptor

    def resume(self) -> None:
        self._client.thaw()
        if self._host is not None:
            self._host.thaw()

    def let_go(self) -> None:
        flow = self._client.passed_on
        if flow is not None:
            flow.release()
        self._client.let_go()
        if self._host is not None:
            self._host.let_go()


class RelayUnderWay:
    """An answer that came from an older process, on its way to a newer one."""

    def __init__(self, answer: RelayedAnswer) -> None:
        self._answer = answer

    @property
    def is_over(self) -> bool:
        return self._answer.is_over

    def pause(self) -> PassedMessage | None:
        answer, flow = self._answer, self._answer.flow
        kept = _framed(flow.kept, answer.chunked)
        if flow.came:
            is_ended = not kept and answer.chunked  # with nothing kept its end was written already
            end = LAST_CHUNK if answer.chunked and not is_ended else b""
            return PassedClient(b"", answer.client.freeze() + kept + end, closes=True)
        remainder = answer.reader.remainder()
        if remainder is None:
            return None
        answer.host.freeze()
        return PassedAnswer(remainder, flow.length, answer.chunked, answer.client.freeze() + kept)

    def descriptors(self) -> tuple[int, ...]:
        client = self._answer.client.descriptor
        return (client,) if self._answer.flow.came else (client, self._answer.host.descriptor)

    def resume(self) -> None:
        self._answer.client.thaw()
        self._answer.host.thaw()

    def let_go(self) -> None:
        self._answer.abandon()


class _AdoptedClient:
    """A client's connection with no request sent on."""

    def __init__(self, message: PassedClient, client: ClientConnection) -> None:
        self._message, self._client = message, client

    def begin(self) -> None:
        if self._message.closes:
            self._client.flush_and_close()
        else:
            self._client.take_up(self._message.incoming)

    def abandon(self) -> None:
        self._client.abandon()


class _AdoptedUpload:
    """A request whose body is on its way to its host."""

    def __init__(
        self, message: PassedUpload, client: ClientConnection, host: Target, connection: HostConnection
    ) -> None:
        self._client, self._host, self._connection = client, host, connection
        self._passed = PassedRequest(message.name, message.class_name, message.patience, message.server)
        self._body = client.resume_upload(
            self._passed, message.remainder, message.received, message.length, message.closes
        )

    def begin(self) -> None:
        self._client.resume_request(self._passed, self._body, self._host, self._connection)
        self._connection.thaw()
        self._client.thaw()

    def abandon(self) -> None:
        self._client.abandon()
        self._connection.drop()


def adopter(
    front: Frontend, upstream: Upstream
) -> Callable[[PassedClient | PassedUpload, list[socket.socket]], AdoptedConnection]:
    """What sets up a connection of another process in this one."""

    def adopt(message: PassedClient | PassedUpload, sockets: list[socket.socket]) -> AdoptedConnection:
        if not front.has_room:
            raise NoRoomError("no place for another connection")
        client = front.adopt(sockets[0], message.to_client)
        if isinstance(message, PassedClient):
            return _AdoptedClient(message, client)
        host, connection = upstream.adopt(message.server, sockets[1], message.to_host)
        return _AdoptedUpload(message, client, host, connection)

    return adopt
