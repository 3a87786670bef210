"""A start bears that no socket is to be had for a moment; an address that is taken still ends it."""

from __future__ import annotations

import errno
import socket
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from tests.peers import Client, answers_with, async_test, running_gateway, scripted_servers
from whinrouter import program
from whinrouter.handover import channel
from whinrouter.net.config import ConfigError
from whinrouter.operations.controller import OperationsController

MOMENTARY = (errno.ENOBUFS, errno.ENOMEM, errno.ENFILE, errno.EMFILE)


def _failing(monkeypatch: pytest.MonkeyPatch, errors: list[int]) -> None:
    """Have listening sockets fail with these errors, one after the other, then none."""
    real = socket.create_server

    def create_server(*args: Any, **kwargs: Any) -> socket.socket:
        if errors:
            raise OSError(errors.pop(), "it fails for a moment")
        return real(*args, **kwargs)

    monkeypatch.setattr(socket, "create_server", create_server)


def _options() -> Any:
    return SimpleNamespace(
        name="n", listen_address=("127.0.0.1", 0), listener_descriptor=None, control_address=("127.0.0.1", 0)
    )


@async_test
async def test_listening_is_tried_again(monkeypatch: pytest.MonkeyPatch) -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        proxy.frontend.close_listener()
        errors = list(MOMENTARY)
        _failing(monkeypatch, errors)
        client = await Client.connect(await program._listen(_options(), proxy.frontend))
        assert (await client.fetch()).status == 200
        assert not errors
        errors.extend(MOMENTARY)
        controller = cast(OperationsController, SimpleNamespace(register_calls=lambda calls, ready: None))
        control = await program._start_control(_options(), controller, lambda: True)
        assert control is not None
        assert not errors
        control.close()


@async_test
async def test_a_process_with_no_socket_to_ask_by_starts_from_nothing(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    def no_socket(*args: object) -> socket.socket:
        raise OSError(errno.ENFILE, "it fails")

    monkeypatch.setattr(channel, "socket", SimpleNamespace(socket=no_socket, AF_UNIX=socket.AF_UNIX))
    assert await channel.connect(tmp_path / "line", cast(channel.PeerHandler, None)) is None


@pytest.mark.parametrize("error", [errno.EADDRINUSE, errno.EACCES, errno.EADDRNOTAVAIL])
@async_test
async def test_what_lasts_ends_the_start(monkeypatch: pytest.MonkeyPatch, error: int) -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        proxy.frontend.close_listener()
        _failing(monkeypatch, [error])
        with pytest.raises(ConfigError):
            await program._listen(_options(), proxy.frontend)


@async_test
async def test_a_want_that_does_not_end_ends_the_start(monkeypatch: pytest.MonkeyPatch) -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        proxy.frontend.close_listener()
        _failing(monkeypatch, [errno.ENOMEM] * 1000)
        with pytest.raises(ConfigError):
            await program._listen(_options(), proxy.frontend)
