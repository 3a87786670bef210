"""The stand-in hosts do what they are told, and count what ran."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from standins import control
from standins.web import Fleet, Host
from tests.peers import Client, scenario, until


@asynccontextmanager
async def fleet() -> AsyncIterator[tuple[Host, int]]:
    """One host, and the control port of its fleet."""
    told = Fleet([0])
    (host,) = told.hosts.values()
    await host.up()
    told.hosts = {host.port: host}
    server = await control.serve(0, told.command)
    try:
        yield host, server.sockets[0].getsockname()[1]
    finally:
        server.close()
        host.down()


@scenario
async def test_each_mode_is_what_it_says() -> None:
    async with fleet() as (host, port):
        for mode, status in [("serve", 200), ("fail", 500), ("refuse", 503)]:
            assert await control.tell(port, f"mode {host.port} {mode}") == "ok"
            client = await Client.connect(host.port)
            assert (await client.ask()).status == status
            client.close()
        assert (
            await control.tell(port, f"count {host.port}") == "all 2, twice 0"
        )  # what is refused did not run
        await control.tell(port, f"mode {host.port} reset")
        with pytest.raises(ConnectionError):
            await (await Client.connect(host.port)).ask()


@scenario
async def test_a_repeat_is_counted() -> None:
    async with fleet() as (host, port):
        client = await Client.connect(host.port)
        for _ in range(2):
            await client.ask("chapter-buy", {"X-Request-Id": "same"})
        assert await control.tell(port, f"count {host.port}") == "all 2, twice 1"


@scenario
async def test_a_host_goes_down_and_comes_up() -> None:
    async with fleet() as (host, port):
        client = await Client.connect(host.port)
        assert (await client.ask()).status == 200
        await control.tell(port, f"down {host.port}")
        assert await client.rest() == b""
        with pytest.raises(ConnectionRefusedError):
            await Client.connect(host.port)
        await control.tell(port, f"up {host.port}")
        await until(lambda: host._server is not None)
        assert (await (await Client.connect(host.port)).ask()).status == 200


@scenario
async def test_a_line_that_is_none_is_told_so() -> None:
    async with fleet() as (host, port):
        for line in ("", "mode", f"mode {host.port} odd", "count 1", "count x"):
            assert (await control.tell(port, line)).startswith("error: ")
