"""Clients' connections that go on in the next process: sockets, framing, and bytes on their way.

Theory of operation. A process that is replaced hands over each client connection that it need not end itself
(`net/connection_state.py`), on a socket of its own (`SOCK_SEQPACKET`, beside the line of `channel.py`): one
message in packets, the first with the descriptors (SCM_RIGHTS) of the client and, where a body is on its way
between the two, of the host.

    older:  GOING ON --freeze: neither read nor write--> FROZEN --message and descriptors--> OFFERED
            OFFERED --"held" comes--> let go: close both, without a word to either peer
            OFFERED --anything else, or nothing in time--> thaw, and go on as before
    newer:  the message --all is set up, frozen--> "held", and from then on it is its own --thaw--> GOING ON

Nothing is read or written between FROZEN and the end of OFFERED, so that what the message tells stays true.
Either may be killed at any step: until "held" is said the older one has the connection, and from then on the
newer one. An older process that waits no longer shuts its end for "held" first, and looks once more whether
it has come: then it can't be said any more, and both agree. A connection whose framing can't be told now is
looked at again; one that never can be stays where it is until the process ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
import struct
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any, Protocol

import msgspec

from whinrouter.handover.relayed import RelayedAnswer
from whinrouter.net.connect import LISTEN_RETRY_SECONDS, with_retries
from whinrouter.streaming.remainder import Remainder

log = logging.getLogger(__name__)

# Bytes of a message: what may be buffered of one connection, for its client and for its host, and its head.
MAX_MESSAGE_BYTES = 512 * 1024
PACKET_BYTES = 32 * 1024  # bytes of one packet
MAX_DESCRIPTORS = 2  # in one message
MAX_RELAYED_ANSWERS = 256  # answers that a process goes on with
HELD_REPLY = b"held"
REPLY_TIMEOUT_SECONDS = 1.0  # seconds within which the newer process says that it holds both
PAUSE_TIMEOUT_SECONDS = 3.0  # seconds within which the framing has to be such that it can be told
POLL_INTERVAL_SECONDS = 0.005
STUCK_CHECK_SECONDS = 0.25
_LENGTH_PREFIX = struct.Struct(">I")


class AnswerTransfer(msgspec.Struct, frozen=True, array_like=True, tag="answer"):
    """An answer that is under way: the client's and the host's sockets."""

    remainder: Remainder
    body_length: int | None  # bytes of the whole body, as its client was told
    chunked: bool  # its client has it in chunks
    client_output: bytes = b""  # ready to be written


class ClientTransfer(msgspec.Struct, frozen=True, array_like=True, tag="client"):
    """A client's connection between requests, or within one of which nothing was sent on: its socket."""

    unread_input: bytes  # read, and not used
    client_output: bytes  # ready to be written
    closes_connection: bool  # it ends behind them


class UploadTransfer(msgspec.Struct, frozen=True, array_like=True, tag="upload"):
    """A request whose body is on its way to the host that has a part of it: both sockets."""

    remainder: Remainder  # of the body, as its client sends it
    received_bytes: int  # bytes of it that have come
    body_length: int | None  # of the whole body, as it was told
    closes_connection: bool  # the connection ends behind the answer
    request_id: str
    class_name: str
    answer_timeout: int  # microseconds that its client waits from the end of the body
    server_id: int
    client_output: bytes
    host_output: bytes


TransferMessage = AnswerTransfer | ClientTransfer | UploadTransfer
_decoder: msgspec.msgpack.Decoder[TransferMessage] = msgspec.msgpack.Decoder(TransferMessage)


class TransferableConnection(Protocol):
    """A connection here, as far as handing it over needs to know."""

    def pause(self) -> TransferMessage | None:
        """Freeze it; None if it can't be told now what is to come, and it goes on."""

    @property
    def is_over(self) -> bool:
        """Whether it ended, or is in the middle of something else by now."""

    def descriptors(self) -> tuple[int, ...]:
        """The client's and, if there is one, the host's."""

    def resume(self) -> None:
        """It stays here: go on."""

    def detach(self) -> None:
        """Another process holds it: close it here, without a word to either peer."""


class AdoptedConnection(Protocol):
    """A connection of another process that is set up here, and frozen."""

    def activate(self) -> None:
        """It is ours alone: go on."""

    def abandon(self) -> None:
        """It stays with the other process."""


Adopt = Callable[[ClientTransfer | UploadTransfer, list[socket.socket]], AdoptedConnection]


class NoCapacityError(Exception):
    """There is no place for another connection here."""


@contextlib.contextmanager
def _short_path(path: Path) -> Iterator[str]:
    """The path in few enough characters for a socket's name (108)."""
    directory = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{directory}/{path.name}"
    finally:
        os.close(directory)


def split_packets(message: TransferMessage) -> list[bytes]:
    """A message as it is sent: its length, and its text in parts."""
    payload = msgspec.msgpack.encode(message)
    framed = _LENGTH_PREFIX.pack(len(payload)) + payload
    return [framed[offset : offset + PACKET_BYTES] for offset in range(0, len(framed), PACKET_BYTES)]


class TransferSender:
    """The older process's side."""

    def __init__(self, path: Path) -> None:
        self._path = path

    async def hand_over(self, connection: TransferableConnection) -> bool:
        """Whether it is the newer process's now; if not it goes on here, unless it is over."""
        message = await self._wait_until_paused(connection)
        if message is None:
            return False
        try:
            is_held = await self._send_connection(connection, message)
        except (OSError, TimeoutError) as error:
            log.warning("handover: a connection can't be passed on: %s", error or "no word in time")
            is_held = False
        if is_held:
            connection.detach()
        else:
            connection.resume()
        return is_held

    async def _wait_until_paused(self, connection: TransferableConnection) -> TransferMessage | None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + PAUSE_TIMEOUT_SECONDS
        while not connection.is_over and loop.time() < deadline:
            message = connection.pause()
            if message is not None:
                return message
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return None

    async def _send_connection(self, connection: TransferableConnection, message: TransferMessage) -> bool:
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as endpoint:
            endpoint.setblocking(False)
            with _short_path(self._path) as short:
                endpoint.connect(short)
            first, *rest = split_packets(message)
            socket.send_fds(endpoint, [first], list(connection.descriptors()))
            try:
                async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                    return await self._send_rest_and_wait(endpoint, rest)
            except TimeoutError:
                return _shut_and_check_held(endpoint)

    async def _send_rest_and_wait(self, endpoint: socket.socket, rest: list[bytes]) -> bool:
        loop = asyncio.get_running_loop()
        for packet in rest:
            await loop.sock_sendall(endpoint, packet)
        return await loop.sock_recv(endpoint, len(HELD_REPLY)) == HELD_REPLY


def _shut_and_check_held(endpoint: socket.socket) -> bool:
    """Whether "held" has come after all; from now on it can't."""
    endpoint.shutdown(socket.SHUT_RD)
    try:
        return endpoint.recv(len(HELD_REPLY)) == HELD_REPLY
    except BlockingIOError:
        return False


class TransferReceiver:
    """The newer process's side: it goes on with what older ones began."""

    def __init__(self, path: Path, now: Callable[[], float], adopt: Adopt | None = None) -> None:
        """`adopt`: sets up whatever is no answer; None: such connections are not taken."""
        self._path, self._now, self._adopt = path, now, adopt
        self._listener: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.answers: set[RelayedAnswer] = set()

    async def open(self) -> None:
        """Be the one at the path."""
        self.close()
        try:
            await with_retries(self._listen, LISTEN_RETRY_SECONDS)
        except OSError as error:
            log.warning("handover: no connection can be passed on here (%s)", error)

    async def _listen(self) -> None:
        temporary_path = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with contextlib.suppress(FileNotFoundError):
                temporary_path.unlink()
            with _short_path(temporary_path) as short:
                listener.bind(short)
            temporary_path.chmod(0o600)
            listener.listen(MAX_RELAYED_ANSWERS)
            listener.setblocking(False)
            temporary_path.rename(self._path)
        except OSError:
            listener.close()
            raise
        self._listener = listener
        loop = asyncio.get_running_loop()
        loop.add_reader(listener, self._accept)
        if not self._tasks:
            self._start_task(self._end_stuck_answers())

    def close(self) -> None:
        """Take nothing more; what was taken goes on."""
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _end_stuck_answers(self) -> None:
        """End what nobody moves."""
        while True:
            await asyncio.sleep(STUCK_CHECK_SECONDS)
            for answer in list(self.answers):
                answer.end_if_stuck(self._now())

    def _accept(self) -> None:
        assert self._listener is not None
        with contextlib.suppress(OSError):  # the next look finds what waits
            endpoint, _ = self._listener.accept()
            endpoint.setblocking(False)
            self._start_task(self._handle_transfer(endpoint))

    async def _handle_transfer(self, endpoint: socket.socket) -> None:
        with endpoint:
            try:
                async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                    await self._receive_transfer(endpoint)
            except (OSError, TimeoutError, msgspec.DecodeError, NoCapacityError) as error:
                log.warning("handover: a connection was not taken: %s", error or "no whole message in time")
            except Exception:  # it stays with the older process, which has not heard "held"
                log.exception("handover: a connection was not taken")

    async def _receive_transfer(self, endpoint: socket.socket) -> None:
        with contextlib.ExitStack() as cleanup:
            payload, sockets = await self._receive_message(endpoint, cleanup)
            message = _decoder.decode(payload)
            if len(sockets) != (1 if isinstance(message, ClientTransfer) else MAX_DESCRIPTORS):
                raise OSError("another number of sockets")
            adopted = self._adopt_connection(message, sockets)
            cleanup.pop_all()  # they are the transports' now
        try:
            endpoint.send(HELD_REPLY)
        except OSError:  # the older process waits no longer, and goes on with it
            adopted.abandon()
            raise
        adopted.activate()

    def _adopt_connection(self, message: TransferMessage, sockets: list[socket.socket]) -> AdoptedConnection:
        if not isinstance(message, AnswerTransfer):
            if self._adopt is None:
                raise NoCapacityError("only answers are taken here")
            return self._adopt(message, sockets)
        if len(self.answers) >= MAX_RELAYED_ANSWERS:
            raise NoCapacityError("no place for another answer")
        answer = RelayedAnswer(
            message.remainder, message.body_length, message.chunked, self._now, self.answers.discard
        )
        client, host = sockets
        answer.connect(client, host, message.client_output)
        self.answers.add(answer)
        return answer

    async def _receive_message(
        self, endpoint: socket.socket, cleanup: contextlib.ExitStack
    ) -> tuple[bytes, list[socket.socket]]:
        """The text of a message and the sockets that came with it, which `undo` closes."""
        data, descriptors = await self._receive_packet(endpoint, MAX_DESCRIPTORS)
        sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
        for received_socket in sockets:
            cleanup.callback(received_socket.close)
        if len(data) < _LENGTH_PREFIX.size:
            raise OSError("it ended before its message")
        (length,) = _LENGTH_PREFIX.unpack_from(data)
        if length > MAX_MESSAGE_BYTES:
            raise OSError("the message is too large")
        payload = bytearray(data[_LENGTH_PREFIX.size :])
        while len(payload) < length:
            packet, _ = await self._receive_packet(endpoint, 0)
            if not packet:
                raise OSError("it ended within its message")
            payload += packet
        return bytes(payload), sockets

    async def _receive_packet(self, endpoint: socket.socket, descriptors: int) -> tuple[bytes, list[int]]:
        while True:
            try:
                data, received, _, _ = socket.recv_fds(endpoint, PACKET_BYTES, descriptors)
                return data, received
            except BlockingIOError:
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def wait_until_done(self) -> None:
        """Wait for all answers that were taken."""
        while self.answers:
            await asyncio.sleep(0.01)

    def stop(self) -> None:
        """The process ends."""
        self.close()
        for task in self._tasks:
            task.cancel()
