"""The stand-in hosts obey the commands of their control port, and count the requests that ran."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from standins import control
from standins.web import Fleet, Host
from tests.peers import Client, async_test, wait_until


@asynccontextmanager
async def running_host() -> AsyncIterator[tuple[Host, int]]:
    """Run one host; yield it and the control port of its fleet."""
    fleet = Fleet([0])
    (host,) = fleet.hosts.values()
    await host.start()
    fleet.hosts = {host.port: host}
    server = await control.serve(0, fleet.run_command)
    try:
        yield host, server.sockets[0].getsockname()[1]
    finally:
        server.close()
        host.stop()


@async_test
async def test_host_answers_as_its_mode_says() -> None:
    async with running_host() as (host, port):
        for mode, status in [("serve", 200), ("fail", 500), ("refuse", 503)]:
            assert await control.send_command(port, f"mode {host.port} {mode}") == "ok"
            client = await Client.connect(host.port)
            assert (await client.fetch()).status == status
            client.close()
        assert (
            await control.send_command(port, f"count {host.port}") == "all 2, twice 0"
        )  # a refused request did not run
        await control.send_command(port, f"mode {host.port} reset")
        with pytest.raises(ConnectionError):
            await (await Client.connect(host.port)).fetch()


@async_test
async def test_request_with_a_repeated_id_is_counted_as_twice() -> None:
    async with running_host() as (host, port):
        client = await Client.connect(host.port)
        for _ in range(2):
            await client.fetch("chapter-buy", {"X-Request-Id": "same"})
        assert await control.send_command(port, f"count {host.port}") == "all 2, twice 1"


@async_test
async def test_host_goes_down_and_comes_up() -> None:
    async with running_host() as (host, port):
        client = await Client.connect(host.port)
        assert (await client.fetch()).status == 200
        await control.send_command(port, f"down {host.port}")
        assert await client.read_to_end() == b""
        with pytest.raises(ConnectionRefusedError):
            await Client.connect(host.port)
        await control.send_command(port, f"up {host.port}")
        await wait_until(lambda: host._server is not None)
        assert (await (await Client.connect(host.port)).fetch()).status == 200


@async_test
async def test_invalid_command_gets_an_error() -> None:
    async with running_host() as (host, port):
        for line in ("", "mode", f"mode {host.port} odd", "count 1", "count x"):
            assert (await control.send_command(port, line)).startswith("error: ")
