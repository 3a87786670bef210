"""Sidecars run from an operator file as processes of their own on loopback."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from pathlib import Path

import orjson
import pytest

from tests.control.test_calls import control_call as operator_call
from tests.operator.cases import BASE, CORPUS
from tests.peers import (
    TEST_TIMEOUT_SECONDS,
    Client,
    ScriptedServer,
    answers_with,
    async_test,
    never_answers,
    scripted_servers,
    wait_until,
)
from tests.processes import running_process as run_process
from tests.processes import wait_for_log
from tests.test_discovery import HEAD, chunk
from whinrouter.operator.checks import check
from whinrouter.operator.loading import load

GOOD_FILES = sorted((CORPUS / "good").glob("*.toml"))
PORTS = iter(range(20_000, 30_000))  # below the ephemeral range, as the checks require


def free_port() -> int:
    """Return a port that no process listens on; another test process may run at the same time."""
    for port in PORTS:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port + os.getpid() % 1000 * 2))
            except OSError:
                continue
            return port + os.getpid() % 1000 * 2
    raise AssertionError("no port is free")


def write_configs(folder: Path, host: ScriptedServer, service: int = 1) -> dict[str, str]:
    """Write the good configurations to a folder, with this host behind each.

    Return the values that replace their placeholders.
    """
    port = free_port()
    placeholders = {
        "LISTEN": f"127.0.0.1:{port}",
        "PORT": str(port),
        "HOST": f"127.0.0.1:{host.port}",
        "DISCOVERY": f"127.0.0.1:{service}",
        "FOLDER": str(folder),
    }
    (folder / "catalogue.toml").write_bytes(BASE.files["catalogue.toml"])
    (folder / "hosts").write_text(f"# the fleet\n{placeholders['HOST']}\n")
    (folder / "app.pid").write_text(f"{os.getpid()}\n")
    for path in GOOD_FILES:
        text = path.read_text()
        for name in sorted(placeholders, key=len, reverse=True):
            text = text.replace(name, placeholders[name])
        (folder / path.name).write_text(text)
    return placeholders


def running_sidecar(path: Path, *arguments: str) -> AbstractAsyncContextManager[asyncio.subprocess.Process]:
    return run_process(
        sys.executable, "-m", "whinrouter.operator.cli", "run", "--operator", str(path), *arguments
    )


async def connect(path: Path) -> Client:
    """Connect to the sidecar that a file describes, as soon as it listens."""
    address = load(path).model.listen.address
    assert address is not None
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while True:
            try:
                if address.path:
                    return Client(*await asyncio.open_unix_connection(address.path))
                return Client(*await asyncio.open_connection(address.host, address.port))
            except OSError:
                await asyncio.sleep(0.01)


async def fetch_status(client: Client, method: str, path: str) -> int:
    """Send a request as an application does, without a class or an id."""
    client.writer.write(f"{method} {path} HTTP/1.1\r\nHost: fleet\r\nContent-Length: 0\r\n\r\n".encode())
    return (await client.read_answer()).status


@asynccontextmanager
async def discovery(host: ScriptedServer) -> AsyncIterator[int]:
    """A discovery service that lists this host."""

    async def send_list(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + chunk(host_list_line(host)))
        await reader.read()
        writer.close()

    server = await asyncio.start_server(send_list, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


def host_list_line(host: ScriptedServer) -> bytes:
    return orjson.dumps({"revision": 1, "complete": True, "members": [host.discovery_entry()]}) + b"\n"


def test_there_are_enough_good_configurations() -> None:
    assert len(GOOD_FILES) >= 12


@pytest.mark.parametrize("name", [path.stem for path in GOOD_FILES])
@async_test
async def test_a_good_configuration_starts_and_serves(name: str, tmp_path: Path) -> None:
    async with scripted_servers(answers_with()) as (host,), discovery(host) as service:
        write_configs(tmp_path, host, service)
        path = tmp_path / f"{name}.toml"
        assert check(load(path)) == []
        async with running_sidecar(path) as process:
            await wait_for_log(process, "listens on")
            client = await connect(path)
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                # The first list may not have arrived yet.
                while await fetch_status(client, "GET", "/up") != 200:
                    await asyncio.sleep(0.01)
            assert await fetch_status(client, "GET", "/page-read/7?page=4") == 200
            assert await fetch_status(client, "POST", "/chapter-buy") == 200
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
        assert [request.method for request in host.requests] == [b"GET", b"POST"]
        request_ids = [request.get(b"x-request-id") for request in host.requests]
        assert None not in request_ids
        assert len(set(request_ids)) == 2


@async_test
async def test_a_purchase_is_not_sent_again_by_a_sidecar(tmp_path: Path) -> None:
    async with scripted_servers(answers_with(500), never_answers) as (failing, other):
        write_configs(tmp_path, failing)
        (tmp_path / "app.toml").write_text(
            f'include = ["plain.toml"]\n[discovery]\nhosts = ["127.0.0.1:{failing.port}"]\n'
        )
        async with running_sidecar(tmp_path / "app.toml") as process:
            await wait_for_log(process, "listens on")
            assert await fetch_status(await connect(tmp_path / "app.toml"), "POST", "/chapter-buy") == 502
        assert len(failing.requests) == 1
        assert not other.requests


@async_test
async def test_a_request_with_an_unknown_path_or_method_reaches_no_host(tmp_path: Path) -> None:
    async with scripted_servers(answers_with()) as (host,):
        write_configs(tmp_path, host)
        async with running_sidecar(tmp_path / "plain.toml") as process:
            await wait_for_log(process, "listens on")
            for method, path, status in [
                ("GET", "/unknown", 400),
                ("GET", "/page-reader", 400),
                ("GET", "/chapter-buy", 405),
                ("POST", "/page-read", 405),
                ("GET", "/page-read/..%2fchapter-buy", 400),
                ("GET", "/page-read/../chapter-buy", 400),
            ]:
                assert await fetch_status(await connect(tmp_path / "plain.toml"), method, path) == status
        assert not host.requests


def run_to_exit(path: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "whinrouter.operator.cli", "run", "--operator", str(path), *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=TEST_TIMEOUT_SECONDS, check=False)


@async_test
async def test_a_configuration_that_the_check_refuses_does_not_start(tmp_path: Path) -> None:
    async with scripted_servers(answers_with()) as (host,):
        write_configs(tmp_path, host)
        path = tmp_path / "bad.toml"
        path.write_text('include = ["plain.toml"]\n[[class]]\nname = "chapter-buy"\neffect = "idempotent"\n')
        completed = run_to_exit(path)
        assert completed.returncode == 1
        assert f"{path}:4: class.chapter-buy.effect [unsafe-effect]" in completed.stderr


@async_test
async def test_a_file_that_changed_since_its_check_does_not_start(tmp_path: Path) -> None:
    async with scripted_servers(answers_with()) as (host,):
        write_configs(tmp_path, host)
        path = tmp_path / "small.toml"
        digest = load(path).digest
        async with running_sidecar(path, "--digest", digest) as process:
            await wait_for_log(process, "listens on")
        plain = tmp_path / "plain.toml"
        plain.write_text(plain.read_text() + "\n# changed\n")
        completed = run_to_exit(path, "--digest", digest)
        assert completed.returncode == 1
        assert "is not what was checked" in completed.stderr


@async_test
async def test_an_address_in_use_is_reported(tmp_path: Path) -> None:
    async with scripted_servers(answers_with()) as (host,):
        write_configs(tmp_path, host)
        for name in ("plain", "socket"):
            async with running_sidecar(tmp_path / f"{name}.toml") as process:
                await wait_for_log(process, "listens on")
                completed = run_to_exit(tmp_path / f"{name}.toml")
                assert completed.returncode == 2
                assert "cannot listen on" in completed.stderr


@async_test
async def test_a_socket_left_by_a_killed_sidecar_is_replaced(tmp_path: Path) -> None:
    async with scripted_servers(answers_with()) as (host,):
        write_configs(tmp_path, host)
        path = tmp_path / "socket.toml"
        async with running_sidecar(path) as process:
            await wait_for_log(process, "listens on")
            process.kill()
            await process.wait()
        assert (tmp_path / "reader.sock").exists()
        async with running_sidecar(path) as process:
            await wait_for_log(process, "listens on")
            assert await fetch_status(await connect(path), "GET", "/page-read") == 200


@async_test
async def test_a_host_that_leaves_the_file_gets_no_more_requests(tmp_path: Path) -> None:
    async with scripted_servers(answers_with(), answers_with()) as (first, second):
        write_configs(tmp_path, first)
        path = tmp_path / "file.toml"
        async with running_sidecar(path) as process:
            await wait_for_log(process, "listens on")
            client = await connect(path)
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                while await fetch_status(client, "GET", "/up") != 200:
                    await asyncio.sleep(0.01)
            assert await fetch_status(client, "GET", "/page-read") == 200
            (tmp_path / "hosts").write_text("no address\n")  # invalid: the current list stays
            await wait_for_log(process, "the list in hand stays")
            assert await fetch_status(client, "GET", "/page-read") == 200
            new_file = tmp_path / "hosts.new"
            new_file.write_text(f"127.0.0.1:{second.port}\n")
            new_file.rename(tmp_path / "hosts")
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                while not second.requests:
                    assert await fetch_status(client, "GET", "/page-read") == 200
            count_before = len(first.requests)
            for _ in range(20):
                assert await fetch_status(client, "GET", "/page-read") == 200
            assert len(first.requests) == count_before


@async_test
async def test_a_reload_applies_hosts_and_refuses_a_bad_file(tmp_path: Path) -> None:
    async with scripted_servers(answers_with(), answers_with()) as (first, second):
        write_configs(tmp_path, first)
        path = tmp_path / "plain.toml"
        original = path.read_text()
        async with running_sidecar(path) as process:
            await wait_for_log(process, "listens on")
            client = await connect(path)
            assert await fetch_status(client, "GET", "/page-read") == 200
            path.write_text(
                original.replace('name = "chapter-buy"', 'name = "chapter-buy"\neffect = "idempotent"')
            )
            process.send_signal(signal.SIGHUP)
            await wait_for_log(process, "reload: refused")
            changed = original.replace(f"127.0.0.1:{first.port}", f"127.0.0.1:{second.port}")
            path.write_text(changed + "\n[limits]\nclients = 10\n")
            process.send_signal(signal.SIGHUP)
            # The hosts are applied in the same reload.
            await wait_for_log(process, "limits.clients: 400 -> 10 (needs a restart)")
            count_before = len(first.requests)
            for _ in range(20):
                assert await fetch_status(client, "GET", "/page-read") == 200
            assert (len(first.requests), len(second.requests)) == (count_before, 20)


@async_test
async def test_a_reload_applies_classes_and_calls_are_answered(tmp_path: Path) -> None:
    async with scripted_servers(answers_with()) as (host,):
        write_configs(tmp_path, host)
        path = tmp_path / "plain.toml"
        control_port = free_port()
        original = path.read_text().replace("[listen]\n", f'[listen]\ncontrol = "127.0.0.1:{control_port}"\n')
        path.write_text(original)
        async with running_sidecar(path) as process:
            await wait_for_log(process, "takes calls on")
            await wait_for_log(process, "listens on")
            client = await connect(path)
            assert await fetch_status(client, "GET", "/page-read") == 200
            assert (await operator_call(control_port, f"OFFLINE 127.0.0.1:{host.port}")).startswith("+OK")
            assert await fetch_status(client, "GET", "/page-read") == 503
            assert (await operator_call(control_port, f"ONLINE 127.0.0.1:{host.port}")).startswith("+OK")
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                while await fetch_status(client, "GET", "/page-read") != 200:
                    await asyncio.sleep(0.01)
            path.write_text(original + '\n[[class]]\nname = "gift"\n')
            process.send_signal(signal.SIGHUP)
            await wait_for_log(process, "settings: ")
            assert await fetch_status(client, "POST", "/gift") == 200


def start_application(folder: Path) -> subprocess.Popen[bytes]:
    """Start a process in place of the application, and write its pid file."""
    process = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(1000)"])
    new_file = folder / "pid.new"
    new_file.write_text(f"{process.pid}\n")
    new_file.rename(folder / "app.pid")
    return process


@async_test
async def test_a_sidecar_does_not_listen_while_its_application_is_gone(tmp_path: Path) -> None:
    async with scripted_servers(answers_with()) as (host,):
        write_configs(tmp_path, host)
        path = tmp_path / "beside.toml"
        (tmp_path / "app.pid").write_text("999999999\n")
        async with running_sidecar(path) as process:
            address = load(path).model.listen.address
            assert address is not None
            await wait_for_log(process, "digest")
            with pytest.raises(OSError, match="onnect"):
                await asyncio.open_connection(address.host, address.port)
            for _ in range(2):  # the application starts, is killed, and starts again
                app = start_application(tmp_path)
                client = await connect(path)
                assert await fetch_status(client, "GET", "/page-read") == 200
                app.kill()
                app.wait()
                assert await client.read_to_end() == b""  # the idle connection is closed
                with pytest.raises(OSError, match="onnect"):
                    await asyncio.open_connection(address.host, address.port)
            assert process.returncode is None


@async_test
async def test_a_sidecar_exits_with_its_application_if_configured(tmp_path: Path) -> None:
    async with scripted_servers(answers_with()) as (host,):
        write_configs(tmp_path, host)
        path = tmp_path / "ends.toml"
        app = start_application(tmp_path)
        async with running_sidecar(path) as process:
            await wait_for_log(process, "listens on")
            assert await fetch_status(await connect(path), "GET", "/page-read") == 200
            app.kill()
            app.wait()
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                assert await process.wait() == 0


@async_test
async def test_a_request_in_progress_is_answered_before_the_exit(tmp_path: Path) -> None:
    async with scripted_servers(never_answers) as (host,):
        write_configs(tmp_path, host)
        path = tmp_path / "plain.toml"
        async with running_sidecar(path) as process:
            await wait_for_log(process, "listens on")
            client = await connect(path)
            client.writer.write(b"POST /chapter-buy HTTP/1.1\r\nHost: fleet\r\nContent-Length: 0\r\n\r\n")
            await wait_until(lambda: host.requests)
            process.send_signal(signal.SIGTERM)
            await wait_for_log(process, "stopping: 1 requests held")
            await answers_with()(host.requests[0], host.request_writers[0])
            assert (await client.read_answer()).status == 200
            assert await process.wait() == 0
