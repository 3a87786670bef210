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
FAILURES = 80


class FailingAccept:
    """Makes accept() on one port fail `failures_left` times."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.port, self.failures_left, self.errnos, self.failed = -1, 0, RESOURCE_ERRNOS, 0
        real = socket.socket.accept

        def accept(endpoint: socket.socket) -> tuple[socket.socket, object]:
            if self.failures_left and endpoint.getsockname()[1] == self.port:
                self.failures_left -= 1
                self.failed += 1
                raise OSError(self.errnos[self.failures_left % len(self.errnos)], "a failure of this test")
            return real(endpoint)

        monkeypatch.setattr(socket.socket, "accept", accept)


@pytest.fixture
def failing(monkeypatch: pytest.MonkeyPatch) -> FailingAccept:
    return FailingAccept(monkeypatch)


@pytest.mark.parametrize("errnos", [RESOURCE_ERRNOS, CONNECTION_ERRNOS])
@async_test
async def test_clients_are_accepted_without_delay_though_accept_fails_before_each(
    failing: FailingAccept, errnos: tuple[int, ...]
) -> None:
    """With a pause of a second after each failure, as asyncio's server makes it, this would time out."""
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        failing.port, failing.errnos = proxy.port, errnos
        for _ in range(FAILURES):
            failing.failures_left = 1
            assert (await proxy.fetch()).status == 200
        assert failing.failed == FAILURES


@async_test
async def test_a_client_is_accepted_once_accept_works_again(failing: FailingAccept) -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        failing.port, failing.failures_left = proxy.port, FAILURES
        assert (await proxy.fetch()).status == 200
        assert failing.failed == FAILURES


@async_test
async def test_a_listener_that_closes_while_accept_fails_accepts_nothing_later(
    failing: FailingAccept,
) -> None:
    protocols: list[asyncio.Protocol] = []

    def protocol() -> asyncio.Protocol:
        protocols.append(asyncio.Protocol())
        return protocols[-1]

    with socket.create_server(("127.0.0.1", 0)) as shared:
        listener = Listener(protocol)
        listener.bind("127.0.0.1", 0, shared.fileno())
        port = await listener.serve()
        failing.port, failing.failures_left = port, 1
        client = await Client.connect(port)
        await wait_until(lambda: failing.failed)
        await listener.accept_pending()
        listener.close()
        await asyncio.sleep(1.2)  # longer than any backoff
        assert protocols == []
        shared.setblocking(False)
        assert shared.accept()  # left in the backlog for another owner of the socket
        client.close()


@async_test
async def test_the_backlog_is_accepted_before_the_end_though_accept_fails(failing: FailingAccept) -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        failing.port, failing.failures_left = proxy.port, 3
        client = await proxy.client()
        await wait_until(lambda: failing.failed)
        await proxy.frontend.listener.accept_pending()
        proxy.frontend.close_listener()
        assert (await client.fetch()).status == 200
