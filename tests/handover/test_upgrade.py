"""Processes that take over from each other at one listening socket, and are killed at each step."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from tests.control.test_calls import control_call
from tests.peers import (
    TEST_TIMEOUT_SECONDS,
    Client,
    ScriptedServer,
    answers_with,
    async_test,
    never_answers,
    request_text,
    scripted_servers,
    wait_until,
)
from tests.processes import running_process, wait_for_log
from tests.test_discovery import HEAD
from tests.test_program import platform_config, up_status, write_config
from whinrouter.handover.messages import MAGIC, Hello, encode_frame
from whinrouter.net.http_messages import Message


@contextmanager
def listening_socket() -> Iterator[socket.socket]:
    """Yield the listening socket that the processes share; their parent process holds it."""
    with socket.create_server(("127.0.0.1", 0), backlog=128) as listener:
        yield listener


@dataclass
class GatewayProcess:
    process: asyncio.subprocess.Process
    control: int

    async def exit_status(self) -> int:
        """Wait for the exit and return the status."""
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            return await self.process.wait()


@asynccontextmanager
async def running_gateway_process(
    folder: Path,
    listener: socket.socket,
    config: dict[str, Any],
    extra_environment: Mapping[str, str] | None = None,
) -> AsyncIterator[GatewayProcess]:
    port = listener.getsockname()[1]
    inherited = {name: os.environ[name] for name in ("PYTHONPATH", "PYTHONSAFEPATH") if name in os.environ}
    environment = {
        **inherited,
        "PROXY_CONFIG": str(write_config(folder, config | {"listen": f"127.0.0.1:{port}"})),
        "PROXY_CONTROL": "127.0.0.1:0",
        "PROXY_SOCKET_FD": str(listener.fileno()),
        "TMPDIR": str(folder),
        **(extra_environment or {}),
    }
    command = (sys.executable, "-m", "whinrouter")
    async with running_process(*command, environment=environment, pass_fds=(listener.fileno(),)) as process:
        yield GatewayProcess(process, int((await wait_for_log(process, "takes calls on")).rsplit(":", 1)[1]))


async def wait_until_ready(gateway: GatewayProcess) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while not (await control_call(gateway.control, "HEALTH")).startswith("+OK"):
            await asyncio.sleep(0.01)


async def _watch(request: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD)


async def answer_bodies(port: int, count: int = 30) -> set[bytes]:
    client = await Client.connect(port)
    bodies = {(await client.fetch()).body for _ in range(count)}
    client.close()
    return bodies


@asynccontextmanager
async def two_hosts() -> AsyncIterator[
    tuple[ScriptedServer, ScriptedServer, socket.socket, dict[str, Any], int]
]:
    async with scripted_servers(answers_with(body=b"one"), answers_with(body=b"two"), _watch) as (
        first_host,
        second_host,
        service,
    ):
        with listening_socket() as listener:
            config = platform_config(
                service.port, first_host.discovery_entry(), second_host.discovery_entry()
            )
            yield first_host, second_host, listener, config, listener.getsockname()[1]


@async_test
async def test_a_process_that_starts_while_the_older_one_ends_serves(tmp_path: Path) -> None:
    """It took an older process that was stopping for one that an operator had drained, and never came up."""
    async with scripted_servers(never_answers, _watch) as (host, service):
        with listening_socket() as listener:
            config, port = platform_config(service.port, host.discovery_entry()), listener.getsockname()[1]
            async with running_gateway_process(tmp_path, listener, config) as old:
                await wait_until_ready(old)
                client = await Client.connect(port)
                client.writer.write(request_text("chapter-buy", {"X-Deadline": ""}))
                await wait_until(lambda: host.requests)  # the older process ends with its answer
                old.process.send_signal(signal.SIGTERM)
                await wait_for_log(old.process, "stopping")
                async with running_gateway_process(tmp_path, listener, config) as new:
                    await wait_until_ready(new)
                    assert "leaving" not in await control_call(new.control, "HEALTH")
                    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                        while await up_status(port) != 200:
                            await asyncio.sleep(0.01)
                    assert old.process.returncode is None


@async_test
async def test_hosts_out_stay_out_over_an_upgrade_and_calls_reach_both_processes(tmp_path: Path) -> None:
    async with (
        two_hosts() as (_, _, listener, config, port),
        running_gateway_process(tmp_path, listener, config) as old,
    ):
        await wait_until_ready(old)
        assert (await control_call(old.control, "OFFLINE s-0")).startswith("+OK")
        async with running_gateway_process(tmp_path, listener, config) as new:
            await wait_until_ready(new)
            assert await answer_bodies(port) == {b"two"}
            assert (await control_call(new.control, "ONLINE s-0")).startswith("+OK")
            await wait_for_log(old.process, "handover: ONLINE s-0")
            assert (await control_call(old.control, "OFFLINE s-1")).startswith("+OK")
            await wait_for_log(new.process, "handover: OFFLINE s-1")
            old.process.send_signal(signal.SIGTERM)
            assert await old.exit_status() == 0
            assert await answer_bodies(port) == {b"one"}
            await control_call(new.control, "LEAVE")
            async with running_gateway_process(tmp_path, listener, config) as third:
                await wait_until_ready(third)
                assert await up_status(port) == 503
                assert (await control_call(third.control, "HEALTH")).endswith("out=1")


@async_test
async def test_upgrades_refuse_no_client_and_answer_held_requests(tmp_path: Path) -> None:
    """Three successive upgrades, with clients that keep their connections."""
    held_requests: list[tuple[Message, asyncio.StreamWriter]] = []

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        if request.target.startswith(b"/chapter-buy"):
            held_requests.append((request, writer))
        else:
            await answers_with()(request, writer)

    async with two_hosts() as (first_host, second_host, listener, config, port):
        first_host.script = second_host.script = script
        statuses: list[int] = []
        is_over = asyncio.Event()

        async def keep_fetching() -> None:
            client = await Client.connect(port)
            while not is_over.is_set():
                try:
                    answer = await client.fetch()
                except ConnectionError:  # the idle connection was closed while this request was on its way
                    answer = None
                if answer is not None:
                    statuses.append(answer.status)
                if answer is None or not answer.keep_alive:
                    client.close()
                    client = await Client.connect(port)
                await asyncio.sleep(0.01)
            client.close()

        async with contextlib.AsyncExitStack() as stack:
            current = await stack.enter_async_context(running_gateway_process(tmp_path, listener, config))
            await wait_until_ready(current)
            fetching = [asyncio.create_task(keep_fetching()) for _ in range(2)]
            for upgrade in range(3):
                waiting_client = await Client.connect(port)
                waiting_client.writer.write(request_text("chapter-buy", {"X-Deadline": ""}))
                await wait_until(partial(lambda count: len(held_requests) > count, upgrade))
                newer = await stack.enter_async_context(running_gateway_process(tmp_path, listener, config))
                await wait_until_ready(newer)
                current.process.send_signal(signal.SIGTERM)
                await wait_for_log(current.process, "stopping")
                await answers_with(body=b"bought")(*held_requests[upgrade])
                assert (await waiting_client.read_answer()).body == b"bought"
                assert await current.exit_status() == 0
                current = newer
            is_over.set()
            await asyncio.gather(*fetching)
        assert len(held_requests) == 3
        assert set(statuses) == {200}


@async_test
async def test_a_new_process_that_dies_changes_nothing(tmp_path: Path) -> None:
    """The new process dies before or within Hello, after the snapshot, and while it serves.

    Each time the old process serves on, and the next process takes over from the one that is left.
    """
    async with (
        two_hosts() as (_, _, listener, config, port),
        running_gateway_process(tmp_path, listener, config) as old,
    ):
        await wait_until_ready(old)
        await control_call(old.control, "OFFLINE s-0")
        path = next(path for path in tmp_path.iterdir() if path.name.startswith("copperlead-"))
        for step in ("before Hello", "within Hello", "after Snapshot"):
            reader, writer = await asyncio.open_unix_connection(str(path))
            hello = encode_frame(Hello("n3", f"127.0.0.1:{port}", os.fstat(listener.fileno()).st_ino))
            writer.write({"before Hello": b"", "within Hello": hello[:9], "after Snapshot": hello}[step])
            if step == "after Snapshot":
                assert (await reader.read(4)) == MAGIC
            writer.transport.abort()
            assert await answer_bodies(port) == {b"two"}
        async with running_gateway_process(tmp_path, listener, config) as new:
            await wait_until_ready(new)
            new.process.kill()
            await wait_for_log(old.process, "the newer process has ended")
            assert await answer_bodies(port) == {b"two"}
        async with running_gateway_process(tmp_path, listener, config) as third:
            await wait_until_ready(third)
            assert (await control_call(third.control, "HEALTH")).endswith("out=1")
            old.process.kill()
            await wait_for_log(third.process, "the older process has ended")
            assert await answer_bodies(port) == {b"two"}


@pytest.mark.parametrize("kind", ["stale", "foreign", "noise", "silent", "plain file"])
@async_test
async def test_an_unusable_peer_means_a_start_without_its_state(tmp_path: Path, kind: str) -> None:
    async with two_hosts() as (_, _, listener, config, port):
        async with running_gateway_process(tmp_path, listener, config) as first:
            await wait_until_ready(first)
            await control_call(first.control, "OFFLINE s-0")
            path = next(path for path in tmp_path.iterdir() if path.name.startswith("copperlead-"))
            first.process.kill()
            await first.exit_status()
        server = None
        if kind != "stale":
            path.unlink()
        if kind == "plain file":
            path.write_bytes(b"CLH1")
        elif kind != "stale":
            server = await asyncio.start_unix_server(_fake_peer(kind), str(path))
        async with running_gateway_process(tmp_path, listener, config) as second:
            await wait_until_ready(second)
            assert (await control_call(second.control, "HEALTH")).endswith("out=0")
            bodies: set[bytes] = set()
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                while bodies != {b"one", b"two"}:
                    bodies |= await answer_bodies(port)
        if server is not None:
            server.close()


def _fake_peer(kind: str) -> Any:
    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if kind == "foreign":
            writer.close()
        elif kind == "noise":
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" * 10)

    return answer


@pytest.mark.parametrize("difference", ["name", "address", "socket"])
@async_test
async def test_a_process_of_another_gateway_gets_no_snapshot(tmp_path: Path, difference: str) -> None:
    async with (
        two_hosts() as (_, _, listener, config, port),
        running_gateway_process(tmp_path, listener, config) as old,
    ):
        await wait_until_ready(old)
        path = next(path for path in tmp_path.iterdir() if path.name.startswith("copperlead-"))
        reader, writer = await asyncio.open_unix_connection(str(path))
        name, address = "n3", f"127.0.0.1:{port}"
        inode = os.fstat(listener.fileno()).st_ino
        hellos = {
            "name": Hello("n4", address, inode),
            "address": Hello(name, "127.0.0.1:1", inode),
            "socket": Hello(name, address, inode + 1),
        }
        writer.write(encode_frame(hellos[difference]))
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            assert await reader.read() == b""
        await wait_for_log(old.process, "another gateway")
        writer.close()


@async_test
async def test_a_gateway_with_the_same_name_and_port_but_another_socket_gives_no_snapshot(
    tmp_path: Path,
) -> None:
    """Name, address and temporary directory are the same: only the socket differs."""
    async with (
        two_hosts() as (_, _, other_listener, config, port),
        running_gateway_process(tmp_path, other_listener, config) as other_gateway,
    ):
        await wait_until_ready(other_gateway)
        await control_call(other_gateway.control, "OFFLINE s-0")
        with socket.socket() as own_listener:  # the same port at another local address
            own_listener.bind(("127.0.0.2", port))
            own_listener.listen(128)
            async with running_gateway_process(tmp_path, own_listener, config) as own_gateway:
                await wait_for_log(other_gateway.process, "another gateway")
                await wait_until_ready(own_gateway)
                assert (await control_call(own_gateway.control, "HEALTH")).endswith("out=0")
                assert (await control_call(other_gateway.control, "HEALTH")).endswith("out=1")
                assert await answer_bodies(port) == {b"two"}, "the other gateway serves as before"


async def _pass_calls(old: GatewayProcess, new: GatewayProcess) -> None:
    """Wait until the new process has received everything that the old one has sent it so far."""
    for call, out_count in (("OFFLINE s-0", 1), ("ONLINE s-0", 0)):
        assert (await control_call(old.control, call)).startswith("+OK")
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not (await control_call(new.control, "HEALTH")).endswith(f"out={out_count}"):
                await asyncio.sleep(0.01)


@pytest.mark.parametrize("is_sent_before", [True, False], ids=["before the upgrade", "during it"])
@async_test
async def test_an_id_does_not_run_again_at_the_other_process(tmp_path: Path, is_sent_before: bool) -> None:
    """The client leaves and sends its purchase again; the next process accepts the connection."""

    async def never_answers(request: Message, writer: asyncio.StreamWriter) -> None:
        """The purchase may run for as long as anybody waits."""

    async with scripted_servers(never_answers, _watch) as (host, service):
        with listening_socket() as listener:
            config = platform_config(service.port, host.discovery_entry())
            port = listener.getsockname()[1]
            same_id = {"X-Request-Id": "5c0f6e1a"}
            async with running_gateway_process(tmp_path, listener, config) as old:
                await wait_until_ready(old)
                first = await Client.connect(port)
                if is_sent_before:
                    first.writer.write(request_text("chapter-buy", same_id))
                    await wait_until(lambda: host.requests)
                else:  # the connection is in a state in which it stays with the older process
                    other_id = {"X-Request-Id": "0b1a"}
                    first.writer.write(request_text("chapter-buy", other_id))
                    first.writer.write(request_text("chapter-buy", same_id))
                    await wait_until(lambda: host.requests)
                async with running_gateway_process(tmp_path, listener, config) as new:
                    await wait_until_ready(new)
                    if not is_sent_before:
                        await answers_with()(host.requests[0], host.request_writers[0])
                        await wait_until(lambda: len(host.requests) == 2)
                    first.close()
                    count = len(host.requests)
                    await _pass_calls(old, new)  # behind them the ids are there, too
                    again = await Client.connect(port)
                    assert (await again.fetch("chapter-buy", same_id)).status == 400
                    assert len(host.requests) == count
