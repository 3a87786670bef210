"""The connections that `transfer.py` hands over, and those that it sets up in this process."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from whinrouter.handover.relayed import RelayedAnswer
from whinrouter.handover.transfer import AdoptedConnection, NoCapacityError
from whinrouter.handover.transfer_messages import (
    AnswerTransfer,
    ClientTransfer,
    TransferMessage,
    UploadTransfer,
)
from whinrouter.net.attempt import TargetHost
from whinrouter.net.connection_state import ConnectionState
from whinrouter.net.frontend import ClientConnection, Frontend
from whinrouter.net.gateway import HandedOverRequest
from whinrouter.net.http_messages import LAST_CHUNK, encode_chunk
from whinrouter.net.upstream import ConnectionPool, HostConnection
from whinrouter.streaming.flow import Flow
from whinrouter.streaming.remainder import MovableSource, Remainder

TRANSFERABLE_STATES = frozenset(
    {
        ConnectionState.IDLE,
        ConnectionState.RECEIVING,
        ConnectionState.UPLOADING,
        ConnectionState.ANSWERING,
        ConnectionState.FLUSHING,
    }
)


def _framed(body: bytes, chunked: bool) -> bytes:
    return encode_chunk(body) if chunked and body else body


def _answer_transfer(remainder: Remainder, flow: Flow, chunked: bool, client_output: bytes) -> AnswerTransfer:
    """Return the message for an answer whose body is `flow`, both of whose connections are frozen."""
    silent_seconds_left = flow.silent_seconds_left(asyncio.get_running_loop().time())
    return AnswerTransfer(
        remainder, flow.length, chunked, client_output, flow.unproven_bytes, silent_seconds_left
    )


class ActiveConnection:
    """A client connection of this process, in any state that can be transferred."""

    def __init__(self, frontend: Frontend, client: ClientConnection) -> None:
        self._frontend, self._client = frontend, client
        self._state = client.state
        self._request_id = client.request_id
        self._host: HostConnection | None = None  # the host that a body is read from or sent to

    @property
    def is_over(self) -> bool:
        client = self._client
        return client.state is not self._state or client.request_id != self._request_id

    def pause(self) -> TransferMessage | None:
        match self._state:
            case ConnectionState.IDLE | ConnectionState.RECEIVING:
                return self._pause_input()
            case ConnectionState.FLUSHING:
                return ClientTransfer(b"", self._client.freeze(), closes_connection=True)
            case ConnectionState.ANSWERING:
                return self._pause_answer()
            case ConnectionState.UPLOADING:
                return self._pause_upload()
            case _:
                return None

    def _pause_input(self) -> ClientTransfer | None:
        incoming = self._client.request_reader.replayable_input()
        if incoming is None:
            return None
        return ClientTransfer(
            incoming,
            self._client.freeze(),
            closes_connection=False,
            waiting_seconds_left=self._client.waiting_seconds_left,
        )

    def _pause_answer(self) -> TransferMessage | None:
        client, flow = self._client, self._client.answer_flow
        assert flow is not None
        chunked = client.is_answer_chunked
        if flow.is_received:  # the whole body is buffered here, as the client reads slowly
            pending_output = _framed(flow.unsent, chunked) + (LAST_CHUNK if chunked else b"")
            return ClientTransfer(b"", client.freeze() + pending_output, closes_connection=True)
        source = flow.source
        remainder = source.remainder() if isinstance(source, MovableSource) else None
        if remainder is None or not isinstance(source, HostConnection):
            return None
        self._host = source
        source.freeze()
        client_output = client.freeze() + _framed(flow.unsent, chunked)
        return _answer_transfer(remainder, flow, chunked, client_output)

    def _pause_upload(self) -> UploadTransfer | None:
        client, flow = self._client, self._client.request_flow
        handed_over_request = (
            self._frontend.gateway.describe_for_handover(self._request_id)
            if self._request_id is not None
            else None
        )
        remainder = client.request_reader.remainder()
        if (
            flow is None
            or handed_over_request is None
            or remainder is None
            or not isinstance(flow.sink, HostConnection)
        ):
            return None
        self._host = flow.sink
        host_output = self._host.freeze() + _framed(flow.unsent, flow.length is None)
        return UploadTransfer(
            remainder,
            client.request_reader.streamed_bytes,
            flow.length,
            client.closes_after_answer,
            handed_over_request.client_request_id,
            handed_over_request.class_name,
            handed_over_request.client_timeout,
            handed_over_request.server,
            client.freeze(),
            host_output,
        )

    def descriptors(self) -> tuple[int, ...]:
        if self._host is None:
            return (self._client.descriptor,)
        return self._client.descriptor, self._host.descriptor

    def resume(self) -> None:
        self._client.thaw()
        if self._host is not None:
            self._host.thaw()

    def detach(self) -> None:
        flow = self._client.answer_flow
        if flow is not None:
            flow.release()
        self._client.release_connection()
        if self._host is not None:
            self._host.release()


class ActiveRelay:
    """A relayed answer, which came from an older process, on its way to a newer one."""

    def __init__(self, answer: RelayedAnswer) -> None:
        self._answer = answer

    @property
    def is_over(self) -> bool:
        return self._answer.is_over

    def pause(self) -> TransferMessage | None:
        answer, flow = self._answer, self._answer.flow
        unsent = _framed(flow.unsent, answer.chunked)
        if flow.is_received:
            # If no bytes are unsent, the final chunk was written already.
            is_end_written = not unsent and answer.chunked
            final_chunk = LAST_CHUNK if answer.chunked and not is_end_written else b""
            return ClientTransfer(b"", answer.client.freeze() + unsent + final_chunk, closes_connection=True)
        remainder = answer.reader.remainder()
        if remainder is None:
            return None
        answer.host.freeze()
        return _answer_transfer(remainder, flow, answer.chunked, answer.client.freeze() + unsent)

    def descriptors(self) -> tuple[int, ...]:
        client = self._answer.client.descriptor
        return (client,) if self._answer.flow.is_received else (client, self._answer.host.descriptor)

    def resume(self) -> None:
        self._answer.client.thaw()
        self._answer.host.thaw()

    def detach(self) -> None:
        self._answer.abandon()


class _AdoptedClient:
    """A client connection of which no request has been sent to a host."""

    def __init__(self, message: ClientTransfer, client: ClientConnection) -> None:
        self._message, self._client = message, client

    def activate(self) -> None:
        if self._message.closes_connection:
            self._client.flush_and_close()
        else:
            self._client.resume_input(self._message.unread_input, self._message.waiting_seconds_left)

    def abandon(self) -> None:
        self._client.abandon()


class _AdoptedUpload:
    """A request whose body is being sent to its host: the connections of both."""

    def __init__(
        self, message: UploadTransfer, client: ClientConnection, host: TargetHost, connection: HostConnection
    ) -> None:
        self._client, self._host, self._connection = client, host, connection
        self._handed_over_request = HandedOverRequest(
            message.client_request_id, message.class_name, message.client_timeout, message.server_id
        )
        self._body = client.resume_upload(
            self._handed_over_request,
            message.remainder,
            message.received_bytes,
            message.body_length,
            message.closes_connection,
        )

    def activate(self) -> None:
        self._client.resume_request(self._handed_over_request, self._body, self._host, self._connection)
        self._connection.thaw()
        self._client.thaw()

    def abandon(self) -> None:
        self._client.abandon()
        self._connection.drop()


def connection_adopter(
    frontend: Frontend, upstream: ConnectionPool
) -> Callable[[ClientTransfer | UploadTransfer, list[socket.socket]], AdoptedConnection]:
    """Return the function that sets up connections of another process in this one.

    The function raises NoCapacityError for an idle connection that would soon be evicted. All others have to
    go on here: nobody else could answer them.
    """

    def adopt(message: ClientTransfer | UploadTransfer, sockets: list[socket.socket]) -> AdoptedConnection:
        if isinstance(message, ClientTransfer) and message.is_idle and not frontend.has_room_for_idle:
            raise NoCapacityError("too many client connections")
        client = frontend.adopt_connection(sockets[0], message.client_output)
        if isinstance(message, ClientTransfer):
            return _AdoptedClient(message, client)
        host, connection = upstream.adopt(message.server_id, sockets[1], message.host_output)
        return _AdoptedUpload(message, client, host, connection)

    return adopt
