"""The machine's wall clock is stepped while its monotonic clock runs on: rules go by spans of real time."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from standins import faults
from tests.control.test_calls import ask
from tests.handover.test_upgrade import gateway, listening, ready
from tests.peers import Client, Running, peers, running, says, scenario
from tests.test_discovery import HEAD
from tests.test_program import told
from whinrouter.interface import SECOND, RequestClass, Server, Settings
from whinrouter.net.hosts import HostList, Member
from whinrouter.net.http import Message
from whinrouter.operations.controller import Desk
from whinrouter.operations.presence import Presence

HOUR = 3600
RAMP = 24 * SECOND
COLD = Settings(
    (RequestClass("page-read", SECOND, 10 * SECOND),), cold_share=0.13, ramp_time=RAMP, max_attempts=3
)


async def _watch(request: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD)


@pytest.mark.parametrize("step", [HOUR, -HOUR])
@scenario
async def test_an_upgrade_over_a_step_keeps_breakers_as_spans(tmp_path: Path, step: int) -> None:
    """A breaker that was to reopen in a quarter of a second is not taken to reopen in an hour."""
    library = faults.build(tmp_path)
    stepped = faults.environment(library, steps=[step])
    sound = False

    async def host(request: Message, writer: asyncio.StreamWriter) -> None:
        await says(200 if sound else 500)(request, writer)

    async with peers(host, _watch) as (one, service):
        with listening() as listener:
            config = told(service.port, one.entry())
            port = listener.getsockname()[1]
            async with gateway(tmp_path, listener, config, stepped) as old:
                await ready(old)
                client = await Client.connect(port)
                for _ in range(6):
                    await client.ask()
                client.close()
                async with gateway(tmp_path, listener, config) as new:
                    await ready(new)
                    sound = True
                    old.process.terminate()
                    assert await old.ended() == 0
                    await until_served(port)


def desk_of(proxy: Running) -> Desk:
    loop = asyncio.get_running_loop()
    return Desk(proxy.gateway.clock.now, loop.time, proxy.gateway.list_hosts, Presence())


async def until_served(port: int) -> None:
    status = 0
    while status != 200:
        client = await Client.connect(port)
        status = (await client.ask()).status
        client.close()
        await asyncio.sleep(0.02)


@pytest.mark.parametrize("step", [HOUR, 7, -5, -HOUR])
@scenario
async def test_a_newcomer_is_cold_for_its_ramp_whatever_the_wall_clock_says(
    monkeypatch: pytest.MonkeyPatch, step: int
) -> None:
    real = time.time_ns
    monkeypatch.setattr(time, "time_ns", lambda: real() + step * 10**9)
    async with peers(says(), says()) as hosts, running(settings=COLD) as proxy:
        desk = desk_of(proxy)
        old, new = hosts[0].member(), hosts[1].member(started=real() // 1000)
        desk.listed(HostList(1, True, (old,)))
        desk.listed(HostList(2, False, (new,)))
        host = proxy.balancer._hosts[new.server.id]
        now = proxy.gateway.clock.now()
        assert proxy.balancer._warmth(host, now) < 0.2
        assert proxy.balancer._warmth(host, now + RAMP) == 1


@pytest.mark.parametrize("step", [HOUR, -HOUR])
@scenario
async def test_a_process_that_starts_while_hosts_are_cold_bounds_their_age(
    monkeypatch: pytest.MonkeyPatch, step: int
) -> None:
    """Its first list tells starts alone: as far as it knows, the newest of them was just now."""
    real = time.time_ns
    monkeypatch.setattr(time, "time_ns", lambda: real() + step * 10**9)
    started = real() // 1000
    async with running(settings=COLD) as proxy:
        desk = desk_of(proxy)
        newest = Member(Server(1, started=started), ("127.0.0.1", 1))
        older = Member(Server(2, started=started - RAMP), ("127.0.0.1", 1))
        desk.listed(HostList(1, True, (newest, older)))
        now, hosts = proxy.gateway.clock.now(), proxy.balancer._hosts
        assert proxy.balancer._warmth(hosts[1], now) < 0.2
        assert proxy.balancer._warmth(hosts[2], now) == 1


@scenario
async def test_a_host_put_back_after_a_step_is_used_again(tmp_path: Path) -> None:
    """Taken out under one clock and put back under another; discovery tells its restart between the two."""
    library = faults.build(tmp_path)
    stepped = faults.environment(library, steps=[HOUR, -HOUR, 5], every=0.5)
    async with peers(says(body=b"one"), says(body=b"two"), _watch) as (one, two, service):
        with listening() as listener:
            config = told(service.port, one.entry(), two.entry())
            async with gateway(tmp_path, listener, config, stepped) as running_one:
                await ready(running_one)
                assert (await ask(running_one.control, "OFFLINE s-0")).startswith("+OK")
                async with gateway(tmp_path, listener, config, stepped) as new:
                    await ready(new)
                    running_one.process.terminate()
                    await running_one.ended()
                    assert (await ask(new.control, "ONLINE s-0")).startswith("+OK")
                    found: set[bytes] = set()
                    while found != {b"one", b"two"}:
                        client = await Client.connect(listener.getsockname()[1])
                        found.add((await client.ask()).body)
                        client.close()
