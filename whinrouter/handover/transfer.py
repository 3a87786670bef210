"""Transfer of client connections to the next process: sockets, framing, and bytes not yet delivered.

A process that is replaced hands over each client connection that it need not end itself
(`net/connection_state.py`). Each transfer uses a socket of its own (`SOCK_SEQPACKET`, separate from the
connection of `channel.py`). It carries one message in packets (`transfer_messages.py`); the first packet
passes the descriptors (SCM_RIGHTS).

    older:  ACTIVE --pause: no reads, no writes--> PAUSED --message and descriptors--> OFFERED
            OFFERED --"held" received--> detached: both sockets are closed here, and neither peer notices
            OFFERED --any other reply, or none in time--> resumed, and served as before
    newer:  message received --sockets set up, paused--> "held" sent, which makes it the owner --> ACTIVE

Nothing is read or written between PAUSED and the end of OFFERED, so that the message stays accurate. Either
process may be killed at any step: until "held" is sent the older one owns the connection, and afterwards the
newer one. An older process that gives up waiting first shuts down its receiving side and then checks once
more whether "held" has arrived. From the shutdown on "held" can't be sent any more, so both processes agree
on the owner. A connection whose framing can't be described at this moment is tried again later; one whose
framing can never be described stays with the older process until that ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, Protocol

import msgspec

from whinrouter.handover.channel import short_path
from whinrouter.handover.relayed import RelayedAnswer
from whinrouter.handover.transfer_messages import (
    DESCRIPTORS_PER_ANSWER,
    LENGTH_PREFIX_BYTES,
    MAX_DESCRIPTORS,
    MAX_MESSAGE_BYTES,
    PACKET_BYTES,
    AnswerTransfer,
    ClientTransfer,
    TransferMessage,
    UploadTransfer,
    announced_length,
    decode_message,
    split_packets,
)
from whinrouter.memory_budget import ReadWindow
from whinrouter.net.connect import LISTEN_RETRY_SECONDS, with_retries

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 128  # transfers that are not accepted yet
HELD_REPLY = b"held"
REPLY_TIMEOUT_SECONDS = 1.0  # within which the newer process replies that it holds both sockets
PAUSE_TIMEOUT_SECONDS = 0.25  # within which the framing has to reach a point that can be described
POLL_INTERVAL_SECONDS = 0.005
STUCK_CHECK_SECONDS = 0.25


class TransferableConnection(Protocol):
    """A connection of this process that may be handed over."""

    def pause(self) -> TransferMessage | None:
        """Stop reading and writing; return the message that describes the connection.

        None if its framing can't be described at this moment: the connection is served as before.
        """

    @property
    def is_over(self) -> bool:
        """Whether the connection has ended, or has moved on to another state or request."""

    def descriptors(self) -> tuple[int, ...]:
        """Return the client's descriptor and, if there is a host, the host's."""

    def resume(self) -> None:
        """Resume reading and writing in this process, as the transfer failed."""

    def detach(self) -> None:
        """Close the sockets here without notifying either peer, as another process owns the connection."""


class AdoptedConnection(Protocol):
    """A connection received from another process: set up here, and paused until the transfer is decided."""

    def activate(self) -> None:
        """Start reading and writing: this process is the only owner."""

    def abandon(self) -> None:
        """Close the sockets here: the other process keeps the connection."""


Adopt = Callable[[ClientTransfer | UploadTransfer, list[socket.socket]], AdoptedConnection]


class NoCapacityError(Exception):
    """This process has no capacity for another connection."""


class TransferSender:
    """The older process's side: offers connections to the process that listens at the path."""

    def __init__(self, path: Path) -> None:
        self._path = path

    async def hand_over(self, connection: TransferableConnection) -> bool:
        """Return whether the newer process owns the connection now.

        If not, the connection resumes here, unless it is over.
        """
        message = await self._wait_until_paused(connection)
        if message is None:
            return False
        try:
            is_held = await self._send_connection(connection, message)
        except (OSError, TimeoutError) as error:
            log.warning("handover: a connection can't be passed on: %s", error or "no reply in time")
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
            with short_path(self._path) as alias:
                endpoint.connect(alias)
            first, *remaining_packets = split_packets(message)
            socket.send_fds(endpoint, [first], list(connection.descriptors()))
            try:
                async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                    return await self._send_packets_and_wait(endpoint, remaining_packets)
            except TimeoutError:
                return _shut_and_check_held(endpoint)

    async def _send_packets_and_wait(self, endpoint: socket.socket, packets: list[bytes]) -> bool:
        loop = asyncio.get_running_loop()
        for packet in packets:
            await loop.sock_sendall(endpoint, packet)
        return _is_held_reply(await _receive_reply(endpoint))


async def _receive_reply(endpoint: socket.socket) -> bytes:
    """Return the reply. It is read and returned in one step: a cancellation in between would lose it."""
    while True:
        try:
            return endpoint.recv(len(HELD_REPLY))
        except BlockingIOError:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)


def _is_held_reply(reply: bytes) -> bool:
    """Whether the newer process holds the connection: any part of the reply says so."""
    return len(reply) > 0 and HELD_REPLY.startswith(reply)


def _shut_and_check_held(endpoint: socket.socket) -> bool:
    """Return whether "held" has arrived after all; afterwards it can't arrive any more."""
    endpoint.shutdown(socket.SHUT_RD)
    try:
        return _is_held_reply(endpoint.recv(len(HELD_REPLY)))
    except BlockingIOError:
        return False


class TransferReceiver:
    """The newer process's side: it accepts connections and relays the answers among them."""

    def __init__(
        self,
        path: Path,
        now: Callable[[], float],
        has_descriptors: Callable[[int], bool],
        window: ReadWindow,
        adopt: Adopt | None = None,
    ) -> None:
        """`has_descriptors`: whether the process may hold so many more descriptors.

        `now`: seconds of the event loop's clock. `window`: the size of a read of all bodies on their way.
        `adopt`: sets up connections other than answers; None: those are rejected.
        """
        self._path, self._now, self._adopt = path, now, adopt
        self._has_descriptors, self._window = has_descriptors, window
        self._listener: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._open_transfers = 0  # transfers that were accepted and are not decided
        self.answers: set[RelayedAnswer] = set()

    @property
    def descriptors_in_use(self) -> int:
        """Descriptors of relayed answers and of the transfers that are not decided."""
        return DESCRIPTORS_PER_ANSWER * len(self.answers) + self._open_transfers

    async def open(self) -> None:
        """Listen at the path, in place of whichever process had it."""
        self.close()
        try:
            await with_retries(self._listen, LISTEN_RETRY_SECONDS)
        except OSError as error:
            log.warning("handover: cannot listen for transferred connections (%s)", error)

    async def _listen(self) -> None:
        temporary_path = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with contextlib.suppress(FileNotFoundError):
                temporary_path.unlink()
            with short_path(temporary_path) as alias:
                listener.bind(alias)
            temporary_path.chmod(0o600)
            listener.listen(LISTEN_BACKLOG)
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
        """Accept no more transfers; connections that were accepted before are still served."""
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _end_stuck_answers(self) -> None:
        """Check all relayed answers at an interval, and end those that make no progress."""
        while True:
            await asyncio.sleep(STUCK_CHECK_SECONDS)
            for answer in list(self.answers):
                answer.end_if_stuck(self._now())

    def _accept(self) -> None:
        assert self._listener is not None
        with contextlib.suppress(OSError):  # the event loop calls again for what is still queued
            endpoint, _ = self._listener.accept()
            endpoint.setblocking(False)
            self._start_task(self._handle_transfer(endpoint))

    async def _handle_transfer(self, endpoint: socket.socket) -> None:
        with endpoint:
            self._open_transfers += 1
            try:
                async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                    await self._receive_transfer(endpoint)
            except (OSError, TimeoutError, msgspec.DecodeError, NoCapacityError) as error:
                log.warning(
                    "handover: a connection was not taken: %s", error or "no complete message in time"
                )
            except Exception:  # the older process keeps the connection, as it has not received "held"
                log.exception("handover: a connection was not taken")
            finally:
                self._open_transfers -= 1

    async def _receive_transfer(self, endpoint: socket.socket) -> None:
        with contextlib.ExitStack() as cleanup:
            payload, sockets = await self._receive_message(endpoint, cleanup)
            message = decode_message(payload)
            if len(sockets) != (1 if isinstance(message, ClientTransfer) else MAX_DESCRIPTORS):
                raise OSError("unexpected number of sockets")
            adopted = self._adopt_connection(message, sockets)
            cleanup.pop_all()  # the transports own the sockets now
        try:
            endpoint.send(HELD_REPLY)
        except OSError:  # the older process has given up waiting and resumes the connection
            adopted.abandon()
            raise
        adopted.activate()

    def _adopt_connection(self, message: TransferMessage, sockets: list[socket.socket]) -> AdoptedConnection:
        if not self._has_descriptors(len(sockets)):
            raise NoCapacityError("no descriptors are left")
        if not isinstance(message, AnswerTransfer):
            if self._adopt is None:
                raise NoCapacityError("only answers are accepted here")
            return self._adopt(message, sockets)
        answer = RelayedAnswer(
            message.remainder,
            message.body_length,
            message.chunked,
            self._now,
            self._remove_answer,
            self._window,
        )
        if message.unproven_bytes:
            answer.expect_bytes(message.unproven_bytes, message.silent_seconds_left)
        client, host = sockets
        answer.connect(client, host, message.client_output)
        self.answers.add(answer)
        self._window.set_relay_count(len(self.answers))
        return answer

    def _remove_answer(self, answer: RelayedAnswer) -> None:
        self.answers.discard(answer)
        self._window.set_relay_count(len(self.answers))

    async def _receive_message(
        self, endpoint: socket.socket, cleanup: contextlib.ExitStack
    ) -> tuple[bytes, list[socket.socket]]:
        """Return a message's payload and the sockets passed with it, which `cleanup` closes."""
        data, descriptors = await self._receive_packet(endpoint, MAX_DESCRIPTORS)
        sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
        for received_socket in sockets:
            cleanup.callback(received_socket.close)
        if len(data) < LENGTH_PREFIX_BYTES:
            raise OSError("the sender closed before its message")
        length = announced_length(data)
        if length > MAX_MESSAGE_BYTES:
            raise OSError("the message is too large")
        payload = bytearray(data[LENGTH_PREFIX_BYTES:])
        while len(payload) < length:
            packet, _ = await self._receive_packet(endpoint, 0)
            if not packet:
                raise OSError("the sender closed within its message")
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
        """Wait until all relayed answers have ended."""
        while self.answers:
            await asyncio.sleep(0.01)

    def stop(self) -> None:
        """Close the listener and stop all tasks, at the process's end."""
        self.close()
        for task in self._tasks:
            task.cancel()
