"""A start retries when no socket is available for a moment; an address in use still makes it fail."""

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

MOMENTARY_ERRNOS = (errno.ENOBUFS, errno.ENOMEM, errno.ENFILE, errno.EMFILE)


def _inject_errors(monkeypatch: pytest.MonkeyPatch, errors: list[int]) -> None:
    """Make listening sockets fail with these errors, one after the other, and then succeed."""
    real_create_server = socket.create_server

    def create_server(*args: Any, **kwargs: Any) -> socket.socket:
        if errors:
            raise OSError(errors.pop(), "momentary failure")
        return real_create_server(*args, **kwargs)

    monkeypatch.setattr(socket, "create_server", create_server)


def _options() -> Any:
    return SimpleNamespace(
        name="n", listen_address=("127.0.0.1", 0), listener_descriptor=None, control_address=("127.0.0.1", 0)
    )


@async_test
async def test_listening_is_retried_after_a_momentary_error(monkeypatch: pytest.MonkeyPatch) -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as gateway:
        gateway.frontend.close_listener()
        errors = list(MOMENTARY_ERRNOS)
        _inject_errors(monkeypatch, errors)
        client = await Client.connect(await program._listen(_options(), gateway.frontend))
        assert (await client.fetch()).status == 200
        assert not errors
        errors.extend(MOMENTARY_ERRNOS)
        controller = cast(OperationsController, SimpleNamespace(register_calls=lambda calls, is_ready: None))
        control = await program._start_control(_options(), controller, lambda: True)
        assert control is not None
        assert not errors
        control.close()


@async_test
async def test_a_process_that_gets_no_socket_starts_without_the_older_one_s_state(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    def no_socket(*args: object) -> socket.socket:
        raise OSError(errno.ENFILE, "no socket")

    monkeypatch.setattr(channel, "socket", SimpleNamespace(socket=no_socket, AF_UNIX=socket.AF_UNIX))
    assert await channel.connect(tmp_path / "line", cast(channel.PeerHandler, None)) is None


@pytest.mark.parametrize("error", [errno.EADDRINUSE, errno.EACCES, errno.EADDRNOTAVAIL])
@async_test
async def test_a_lasting_error_makes_the_start_fail(monkeypatch: pytest.MonkeyPatch, error: int) -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as gateway:
        gateway.frontend.close_listener()
        _inject_errors(monkeypatch, [error])
        with pytest.raises(ConfigError):
            await program._listen(_options(), gateway.frontend)


@async_test
async def test_a_lasting_shortage_makes_the_start_fail(monkeypatch: pytest.MonkeyPatch) -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as gateway:
        gateway.frontend.close_listener()
        _inject_errors(monkeypatch, [errno.ENOMEM] * 1000)
        with pytest.raises(ConfigError):
            await program._listen(_options(), gateway.frontend)
