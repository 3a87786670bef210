"""Failures of this machine are no failure of a host: no breaker opens, no limit is cut."""

from __future__ import annotations

import asyncio
import errno
from typing import Any

import pytest

from tests.peers import peers, running, says, scenario

LOCAL = (errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENFILE, errno.EMFILE, errno.ENETUNREACH, errno.ENOMEM)


class FailingConnect:
    """Has the loop's connections fail with these errors, one after the other, then none."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.errors: list[int] = []
        real = asyncio.SelectorEventLoop.sock_connect

        async def sock_connect(loop: Any, *args: Any) -> None:
            if self.errors:
                raise OSError(self.errors.pop(), "it fails for a moment")
            await real(loop, *args)

        monkeypatch.setattr(asyncio.SelectorEventLoop, "sock_connect", sock_connect)


@pytest.fixture
def failing(monkeypatch: pytest.MonkeyPatch) -> FailingConnect:
    return FailingConnect(monkeypatch)


@pytest.mark.parametrize("error", LOCAL)
@scenario
async def test_a_momentary_failure_of_this_machine_costs_no_request(
    failing: FailingConnect, error: int
) -> None:
    async with peers(says()) as (host,), running(host.member()) as proxy:
        client = await proxy.client()
        failing.errors = [error]
        assert (await client.ask()).status == 200
        assert not failing.errors


@scenario
async def test_hosts_are_not_blamed_for_what_fails_here(failing: FailingConnect) -> None:
    async with peers(says(), says()) as hosts, running(*(host.member() for host in hosts)) as proxy:
        limits = {server: host.limit for server, host in proxy.balancer._hosts.items()}
        client = await proxy.client()
        for _ in range(5):
            failing.errors = list(LOCAL) * 10
            assert (await client.ask()).status in (200, 503)
        failing.errors = []
        assert all(host.breaker.closed for host in proxy.balancer._hosts.values())
        assert not any(host.breaker.state(0).failures for host in proxy.balancer._hosts.values())
        assert {server: host.limit for server, host in proxy.balancer._hosts.items()} == limits
        assert (await client.ask()).status == 200


@scenario
async def test_a_host_that_refuses_is_still_blamed(failing: FailingConnect) -> None:
    async with peers(says(), says()) as hosts, running(*(host.member() for host in hosts)) as proxy:
        client = await proxy.client()
        for _ in range(6):
            failing.errors = [errno.ECONNREFUSED] * 2
            await client.ask()
        assert any(not host.breaker.closed for host in proxy.balancer._hosts.values())
