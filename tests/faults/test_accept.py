"""accept() that fails for a moment: connections are taken as soon as it works, and never after the end."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from tests.peers import Client, answers_with, async_test, running_gateway, scripted_servers, wait_until
from whinrouter.net.connect import Listener

RESOURCES: tuple[int, ...] = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
OF_ONE_CONNECTION = (errno.ECONNABORTED, errno.EPROTO, errno.EINTR)
MANY = 80


class FailingAccept:
    """Has accept() at one port fail so many times."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.port, self.left, self.errors, self.failed = -1, 0, RESOURCES, 0
        real = socket.socket.accept

        def accept(endpoint: socket.socket) -> tuple[socket.socket, object]:
            if self.left and endpoint.getsockname()[1] == self.port:
                self.left -= 1
                self.failed += 1
                raise OSError(self.errors[self.left % len(self.errors)], "it fails for a moment")
            return real(endpoint)

        monkeypatch.setattr(socket.socket, "accept", accept)


@pytest.fixture
def failing(monkeypatch: pytest.MonkeyPatch) -> FailingAccept:
    return FailingAccept(monkeypatch)


@pytest.mark.parametrize("errors", [RESOURCES, OF_ONE_CONNECTION])
@async_test
async def test_clients_are_taken_at_once_though_accept_fails_before_each(
    failing: FailingAccept, errors: tuple[int, ...]
) -> None:
    """With a second of waiting for each failure this would take longer than a test has."""
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        failing.port, failing.errors = proxy.port, errors
        for _ in range(MANY):
            failing.left = 1
            assert (await proxy.fetch()).status == 200
        assert failing.failed == MANY


@async_test
async def test_a_client_is_taken_once_accept_works_again(failing: FailingAccept) -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        failing.port, failing.left = proxy.port, MANY
        assert (await proxy.fetch()).status == 200
        assert failing.failed == MANY


@async_test
async def test_a_listener_that_closes_while_accept_fails_takes_nobody_later(failing: FailingAccept) -> None:
    taken: list[asyncio.Protocol] = []

    def protocol() -> asyncio.Protocol:
        taken.append(asyncio.Protocol())
        return taken[-1]

    with socket.create_server(("127.0.0.1", 0)) as shared:
        listener = Listener(protocol)
        listener.bind("127.0.0.1", 0, shared.fileno())
        port = await listener.serve()
        failing.port, failing.left = port, 1
        client = await Client.connect(port)
        await wait_until(lambda: failing.failed)
        await listener.accept_pending()
        listener.close()
        await asyncio.sleep(1.2)  # longer than any wait before the next try
        assert taken == []
        shared.setblocking(False)
        assert shared.accept()  # it waits for whoever shares the socket still
        client.close()


@async_test
async def test_what_waits_is_taken_before_the_end_though_accept_fails(failing: FailingAccept) -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        failing.port, failing.left = proxy.port, 3
        client = await proxy.client()
        await wait_until(lambda: failing.failed)
        await proxy.frontend.listener.accept_pending()
        proxy.frontend.close_listener()
        assert (await client.fetch()).status == 200
