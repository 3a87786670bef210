"""Processes that take over from each other at one listening socket, and are killed at each step of it."""

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

from tests.control.test_calls import ask
from tests.peers import GENEROUS, Client, Peer, peers, request_text, says, scenario, until
from tests.processes import logged, started
from tests.test_discovery import HEAD
from tests.test_program import is_up, told, write
from whinrouter.handover.messages import MAGIC, Hello, frame
from whinrouter.net.http import Message


@contextmanager
def listening() -> Iterator[socket.socket]:
    """The socket that whoever starts the processes holds."""
    with socket.create_server(("127.0.0.1", 0), backlog=128) as listener:
        yield listener


@dataclass
class Gateway:
    process: asyncio.subprocess.Process
    control: int

    async def ended(self) -> int:
        async with asyncio.timeout(GENEROUS):
            return await self.process.wait()


@asynccontextmanager
async def gateway(
    folder: Path,
    listener: socket.socket,
    config: dict[str, Any],
    extra: Mapping[str, str] | None = None,
) -> AsyncIterator[Gateway]:
    port = listener.getsockname()[1]
    kept = {name: os.environ[name] for name in ("PYTHONPATH", "PYTHONSAFEPATH") if name in os.environ}
    environment = {
        **kept,
        "PROXY_CONFIG": str(write(folder, config | {"listen": f"127.0.0.1:{port}"})),
        "PROXY_CONTROL": "127.0.0.1:0",
        "PROXY_SOCKET_FD": str(listener.fileno()),
        "TMPDIR": str(folder),
        **(extra or {}),
    }
    command = (sys.executable, "-m", "whinrouter")
    async with started(*command, environment=environment, pass_fds=(listener.fileno(),)) as process:
        yield Gateway(process, int((await logged(process, "takes calls on")).rsplit(":", 1)[1]))


async def ready(one: Gateway) -> None:
    async with asyncio.timeout(GENEROUS):
        while not (await ask(one.control, "HEALTH")).startswith("+OK"):
            await asyncio.sleep(0.01)


async def _watch(request: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD)


async def bodies(port: int, count: int = 30) -> set[bytes]:
    client = await Client.connect(port)
    found = {(await client.ask()).body for _ in range(count)}
    client.close()
    return found


@asynccontextmanager
async def scene() -> AsyncIterator[tuple[Peer, Peer, socket.socket, dict[str, Any], int]]:
    async with peers(says(body=b"one"), says(body=b"two"), _watch) as (one, two, service):
        with listening() as listener:
            config = told(service.port, one.entry(), two.entry())
            yield one, two, listener, config, listener.getsockname()[1]


@scenario
async def test_what_is_out_stays_out_over_an_upgrade_and_calls_reach_both(tmp_path: Path) -> None:
    async with scene() as (_, _, listener, config, port), gateway(tmp_path, listener, config) as old:
        await ready(old)
        assert (await ask(old.control, "OFFLINE s-0")).startswith("+OK")
        async with gateway(tmp_path, listener, config) as new:
            await ready(new)
            assert await bodies(port) == {b"two"}
            assert (await ask(new.control, "ONLINE s-0")).startswith("+OK")
            await logged(old.process, "handover: ONLINE s-0")
            assert (await ask(old.control, "OFFLINE s-1")).startswith("+OK")
            await logged(new.process, "handover: OFFLINE s-1")
            old.process.send_signal(signal.SIGTERM)
            assert await old.ended() == 0
            assert await bodies(port) == {b"one"}
            await ask(new.control, "LEAVE")
            async with gateway(tmp_path, listener, config) as third:
                await ready(third)
                assert await is_up(port) == 503
                assert (await ask(third.control, "HEALTH")).endswith("out=1")


@scenario
async def test_nobody_is_refused_and_what_is_held_is_answered(tmp_path: Path) -> None:
    """Three upgrades, one behind the other, beside clients that keep their connections."""
    held: list[tuple[Message, asyncio.StreamWriter]] = []

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        if request.target.startswith(b"/chapter-buy"):
            held.append((request, writer))
        else:
            await says()(request, writer)

    async with scene() as (one, two, listener, config, port):
        one.script = two.script = script
        statuses: list[int] = []
        over = asyncio.Event()

        async def keep_asking() -> None:
            client = await Client.connect(port)
            while not over.is_set():
                try:
                    answer = await client.ask()
                except ConnectionError:  # it was idle, and its end crossed this request
                    answer = None
                if answer is not None:
                    statuses.append(answer.status)
                if answer is None or not answer.keep_alive:
                    client.close()
                    client = await Client.connect(port)
                await asyncio.sleep(0.01)
            client.close()

        async with contextlib.AsyncExitStack() as stack:
            current = await stack.enter_async_context(gateway(tmp_path, listener, config))
            await ready(current)
            asking = [asyncio.create_task(keep_asking()) for _ in range(2)]
            for upgrade in range(3):
                holder = await Client.connect(port)
                holder.writer.write(request_text("chapter-buy", {"X-Deadline": ""}))
                await until(partial(lambda count: len(held) > count, upgrade))
                fresh = await stack.enter_async_context(gateway(tmp_path, listener, config))
                await ready(fresh)
                current.process.send_signal(signal.SIGTERM)
                await logged(current.process, "stopping")
                await says(body=b"bought")(*held[upgrade])
                assert (await holder.answer()).body == b"bought"
                assert await current.ended() == 0
                current = fresh
            over.set()
            await asyncio.gather(*asking)
        assert len(held) == 3
        assert set(statuses) == {200}


@scenario
async def test_a_new_process_that_dies_changes_nothing(tmp_path: Path) -> None:
    """Killed before it asks, after it was told, and after it served; the next finds the one that is left."""
    async with scene() as (_, _, listener, config, port), gateway(tmp_path, listener, config) as old:
        await ready(old)
        await ask(old.control, "OFFLINE s-0")
        path = next(path for path in tmp_path.iterdir() if path.name.startswith("copperlead-"))
        for step in ("nothing", "half of a hello", "told"):
            reader, writer = await asyncio.open_unix_connection(str(path))
            hello = frame(Hello("n3", f"127.0.0.1:{port}", os.fstat(listener.fileno()).st_ino))
            writer.write({"nothing": b"", "half of a hello": hello[:9], "told": hello}[step])
            if step == "told":
                assert (await reader.read(4)) == MAGIC
            writer.transport.abort()
            assert await bodies(port) == {b"two"}
        async with gateway(tmp_path, listener, config) as new:
            await ready(new)
            new.process.kill()
            await logged(old.process, "the newer process has ended")
            assert await bodies(port) == {b"two"}
        async with gateway(tmp_path, listener, config) as third:
            await ready(third)
            assert (await ask(third.control, "HEALTH")).endswith("out=1")
            old.process.kill()
            await logged(third.process, "the older process has ended")
            assert await bodies(port) == {b"two"}


@pytest.mark.parametrize("kind", ["stale", "foreign", "noise", "silent", "plain file"])
@scenario
async def test_what_can_not_be_used_means_a_start_from_nothing(tmp_path: Path, kind: str) -> None:
    async with scene() as (_, _, listener, config, port):
        async with gateway(tmp_path, listener, config) as first:
            await ready(first)
            await ask(first.control, "OFFLINE s-0")
            path = next(path for path in tmp_path.iterdir() if path.name.startswith("copperlead-"))
            first.process.kill()
            await first.ended()
        server = None
        if kind != "stale":
            path.unlink()
        if kind == "plain file":
            path.write_bytes(b"CLH1")
        elif kind != "stale":
            server = await asyncio.start_unix_server(_answering(kind), str(path))
        async with gateway(tmp_path, listener, config) as second:
            await ready(second)
            assert (await ask(second.control, "HEALTH")).endswith("out=0")
            found: set[bytes] = set()
            async with asyncio.timeout(GENEROUS):
                while found != {b"one", b"two"}:
                    found |= await bodies(port)
        if server is not None:
            server.close()


def _answering(kind: str) -> Any:
    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if kind == "foreign":
            writer.close()
        elif kind == "noise":
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" * 10)

    return answer


@pytest.mark.parametrize("other", ["name", "address", "socket"])
@scenario
async def test_a_process_of_another_gateway_is_told_nothing(tmp_path: Path, other: str) -> None:
    async with scene() as (_, _, listener, config, port), gateway(tmp_path, listener, config) as old:
        await ready(old)
        path = next(path for path in tmp_path.iterdir() if path.name.startswith("copperlead-"))
        reader, writer = await asyncio.open_unix_connection(str(path))
        name, address = "n3", f"127.0.0.1:{port}"
        number = os.fstat(listener.fileno()).st_ino
        strangers = {
            "name": Hello("n4", address, number),
            "address": Hello(name, "127.0.0.1:1", number),
            "socket": Hello(name, address, number + 1),
        }
        writer.write(frame(strangers[other]))
        async with asyncio.timeout(GENEROUS):
            assert await reader.read() == b""
        await logged(old.process, "another gateway")
        writer.close()


@scenario
async def test_another_customer_s_process_at_the_same_name_and_port_gives_nothing(tmp_path: Path) -> None:
    """Both are told one name, one address and one temporary folder: only the socket tells them apart."""
    async with scene() as (_, _, theirs, config, port), gateway(tmp_path, theirs, config) as other:
        await ready(other)
        await ask(other.control, "OFFLINE s-0")
        with socket.socket() as ours:  # listens at the same port, of another address of this machine
            ours.bind(("127.0.0.2", port))
            ours.listen(128)
            async with gateway(tmp_path, ours, config) as mine:
                await logged(other.process, "another gateway")
                await ready(mine)
                assert (await ask(mine.control, "HEALTH")).endswith("out=0")
                assert (await ask(other.control, "HEALTH")).endswith("out=1")
                assert await bodies(port) == {b"two"}, "theirs serves on as it did"
