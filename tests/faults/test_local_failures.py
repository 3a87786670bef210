"""Local failures of connect() do not count against a host: no breaker opens, and no limit is lowered."""

from __future__ import annotations

import asyncio
import errno
from typing import Any

import pytest

from tests.peers import answers_with, async_test, running_gateway, scripted_servers

LOCAL_ERRORS = (
    errno.EADDRNOTAVAIL,
    errno.ENOBUFS,
    errno.ENFILE,
    errno.EMFILE,
    errno.ENETUNREACH,
    errno.ENOMEM,
)


class FailingConnect:
    """Makes connections fail with these errors, one after the other, and succeed after that."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.errors: list[int] = []
        real = asyncio.SelectorEventLoop.sock_connect

        async def sock_connect(loop: Any, *args: Any) -> None:
            if self.errors:
                raise OSError(self.errors.pop(), "a failure of this test")
            await real(loop, *args)

        monkeypatch.setattr(asyncio.SelectorEventLoop, "sock_connect", sock_connect)


@pytest.fixture
def failing(monkeypatch: pytest.MonkeyPatch) -> FailingConnect:
    return FailingConnect(monkeypatch)


@pytest.mark.parametrize("error", LOCAL_ERRORS)
@async_test
async def test_momentary_local_failure_costs_no_request(failing: FailingConnect, error: int) -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        failing.errors = [error]
        assert (await client.fetch()).status == 200
        assert not failing.errors


@async_test
async def test_local_failures_do_not_count_against_hosts(failing: FailingConnect) -> None:
    async with (
        scripted_servers(answers_with(), answers_with()) as hosts,
        running_gateway(*(host.member() for host in hosts)) as proxy,
    ):
        limits = {server: host.limit for server, host in proxy.balancer._hosts.items()}
        client = await proxy.client()
        for _ in range(5):
            failing.errors = list(LOCAL_ERRORS) * 10
            assert (await client.fetch()).status in (200, 503)
        failing.errors = []
        assert all(host.breaker.is_closed for host in proxy.balancer._hosts.values())
        assert not any(host.breaker.export_state(0).failures for host in proxy.balancer._hosts.values())
        assert {server: host.limit for server, host in proxy.balancer._hosts.items()} == limits
        assert (await client.fetch()).status == 200


@async_test
async def test_refused_connections_count_against_the_host(failing: FailingConnect) -> None:
    async with (
        scripted_servers(answers_with(), answers_with()) as hosts,
        running_gateway(*(host.member() for host in hosts)) as proxy,
    ):
        client = await proxy.client()
        for _ in range(6):
            failing.errors = [errno.ECONNREFUSED] * 2
            await client.fetch()
        assert any(not host.breaker.is_closed for host in proxy.balancer._hosts.values())
