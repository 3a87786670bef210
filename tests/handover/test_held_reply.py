"""The reply by which the newer process takes a connection over, where it arrives in parts or late."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from pathlib import Path

import pytest

from tests.peers import async_test
from whinrouter.handover.transfer import HELD_REPLY, REPLY_TIMEOUT_SECONDS, TransferSender
from whinrouter.handover.transfer_messages import ClientTransfer


class _Connection:
    """A connection that is handed over, and what became of it."""

    def __init__(self) -> None:
        self.client, self._peer = socket.socketpair()
        self.is_over = False
        self.is_detached = self.is_resumed = False

    def pause(self) -> ClientTransfer:
        return ClientTransfer(b"", b"", closes_connection=False)

    def descriptors(self) -> tuple[int, ...]:
        return (self.client.fileno(),)

    def resume(self) -> None:
        self.is_resumed = True

    def detach(self) -> None:
        self.is_detached = True

    def close(self) -> None:
        self.client.close()
        self._peer.close()


@pytest.mark.parametrize("reply", [HELD_REPLY[:1], HELD_REPLY[:3], HELD_REPLY, b"no"])
@async_test
async def test_a_part_of_the_reply_makes_the_newer_process_the_only_owner(
    tmp_path: Path, reply: bytes
) -> None:
    """Both processes kept the connection, and the older one closed it under the newer one's request."""
    path, loop, connection = tmp_path / "answers", asyncio.get_running_loop(), _Connection()
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as listener:
        listener.bind(str(path))
        listener.listen()
        listener.setblocking(False)
        handing_over = loop.create_task(TransferSender(path).hand_over(connection))
        endpoint, _ = await loop.sock_accept(listener)
        with endpoint:
            endpoint.send(reply)
            is_held = await handing_over
    assert is_held is connection.is_detached is HELD_REPLY.startswith(reply)
    assert connection.is_resumed is not is_held
    connection.close()


@async_test
async def test_a_reply_that_is_read_as_the_time_for_it_ends_counts(tmp_path: Path) -> None:
    """In one turn of the loop with the end of its time it was read and lost, and both kept the sockets."""
    path, connection = tmp_path / "answers", _Connection()
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as listener:
        listener.bind(str(path))
        listener.listen()

        def reply_while_the_loop_is_blocked() -> None:
            endpoint, _ = listener.accept()
            with endpoint:
                endpoint.recv(4096)
                time.sleep(REPLY_TIMEOUT_SECONDS / 2)
                endpoint.send(HELD_REPLY)

        replying = threading.Thread(target=reply_while_the_loop_is_blocked)
        replying.start()
        loop = asyncio.get_running_loop()
        loop.call_later(REPLY_TIMEOUT_SECONDS / 4, time.sleep, REPLY_TIMEOUT_SECONDS)
        is_held = await TransferSender(path).hand_over(connection)
        replying.join()
    assert is_held
    assert connection.is_detached
    assert not connection.is_resumed
