"""accept() fails for a moment: connections are accepted once it works, and never after a close."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from tests.peers import Client, answers_with, async_test, running_gateway, scripted_servers, wait_until
from whinrouter.net.connect import Listener

RESOURCE_ERRNOS: tuple[int, ...] = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECTION_ERRNOS = (errno.ECONNABORTED, errno.EPROTO, errno.EINTR)
FAILURE_COUNT = 80


class FailingAccept:
    """Makes the next `failures_left` calls of accept() on one port fail."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.port, self.failures_left, self.errnos, self.failed_count = -1, 0, RESOURCE_ERRNOS, 0
        real_accept = socket.socket.accept

        def accept(endpoint: socket.socket) -> tuple[socket.socket, object]:
            if self.failures_left and endpoint.getsockname()[1] == self.port:
                self.failures_left -= 1
                self.failed_count += 1
                raise OSError(self.errnos[self.failures_left % len(self.errnos)], "a failure of this test")
            return real_accept(endpoint)

        monkeypatch.setattr(socket.socket, "accept", accept)


@pytest.fixture
def failing_accept(monkeypatch: pytest.MonkeyPatch) -> FailingAccept:
    return FailingAccept(monkeypatch)


@pytest.mark.parametrize("errnos", [RESOURCE_ERRNOS, CONNECTION_ERRNOS])
@async_test
async def test_clients_are_accepted_without_delay_though_accept_fails_before_each(
    failing_accept: FailingAccept, errnos: tuple[int, ...]
) -> None:
    """With a pause of a second after each failure, as asyncio's server makes it, this would time out."""
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        failing_accept.port, failing_accept.errnos = proxy.port, errnos
        for _ in range(FAILURE_COUNT):
            failing_accept.failures_left = 1
            assert (await proxy.fetch()).status == 200
        assert failing_accept.failed_count == FAILURE_COUNT


@async_test
async def test_a_client_is_accepted_once_accept_works_again(failing_accept: FailingAccept) -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        failing_accept.port, failing_accept.failures_left = proxy.port, FAILURE_COUNT
        assert (await proxy.fetch()).status == 200
        assert failing_accept.failed_count == FAILURE_COUNT


@async_test
async def test_a_listener_that_closes_while_accept_fails_accepts_nothing_later(
    failing_accept: FailingAccept,
) -> None:
    protocols: list[asyncio.Protocol] = []

    def make_protocol() -> asyncio.Protocol:
        protocols.append(asyncio.Protocol())
        return protocols[-1]

    with socket.create_server(("127.0.0.1", 0)) as shared_listener:
        listener = Listener(make_protocol)
        listener.bind("127.0.0.1", 0, shared_listener.fileno())
        port = await listener.serve()
        failing_accept.port, failing_accept.failures_left = port, 1
        client = await Client.connect(port)
        await wait_until(lambda: failing_accept.failed_count)
        await listener.accept_pending()
        listener.close()
        await asyncio.sleep(1.2)  # longer than any backoff
        assert protocols == []
        shared_listener.setblocking(False)
        assert shared_listener.accept()  # left in the backlog for another owner of the socket
        client.close()


@async_test
async def test_the_backlog_is_accepted_before_the_end_though_accept_fails(
    failing_accept: FailingAccept,
) -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        failing_accept.port, failing_accept.failures_left = proxy.port, 3
        client = await proxy.client()
        await wait_until(lambda: failing_accept.failed_count)
        await proxy.frontend.listener.accept_pending()
        proxy.frontend.close_listener()
        assert (await client.fetch()).status == 200
