"""The watch on discovery, and its lists in the module's words."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

import httptools
import orjson

from whinrouter.interface import MS, Server, State
from whinrouter.net.hosts import HostList, Member, number

log = logging.getLogger(__name__)

SILENCE = 5.0  # seconds; while nothing changes an empty line comes every 2 s, so two were missed
CONNECT_TIME = 1.0
FIRST_PAUSE, LONGEST_PAUSE = 0.1, 2.0
MAX_LINE = 4 * 1024 * 1024

_STATES = {"Ready": State.READY, "Terminating": State.DRAINING, "Gone": State.GONE}


def read_list(told: Mapping[str, Any]) -> HostList:
    """Read a list in discovery's form; ValueError, TypeError or KeyError if it is none."""
    if not isinstance(told, dict):
        raise ValueError("a list of hosts is no object")
    members = tuple(_member(entry) for entry in told["members"])
    return HostList(int(told.get("revision") or 0), bool(told.get("complete")), members)


def _member(entry: Mapping[str, Any]) -> Member:
    host, _, port = str(entry["host_port"]).rpartition(":")
    server = Server(
        id=number(str(entry["id"])),
        state=_STATES.get(str(entry.get("phase")), State.DRAINING),
        zone=str(entry.get("locality") or ""),
        kind=str(entry.get("flavor") or ""),
        cell=int(entry.get("cell") or 0),
        weight=float(entry.get("size") or 1.0),
        started=int(entry.get("up_since_ms") or 0) * MS,
    )
    return Member(server, (host, int(port)))


class _Watching(asyncio.Protocol):
    """One connection to discovery: hands on each line as it comes, and knows when it has gone silent."""

    def __init__(self, path: str, host: str, take: Callable[[bytes], None]) -> None:
        self._request = f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode()
        self._take = take
        self._rest = b""
        self._parser = httptools.HttpResponseParser(self)
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._silence: asyncio.TimerHandle | None = None
        self.over: asyncio.Future[str] = self._loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.write(self._request)
        self._wait()

    def data_received(self, data: bytes) -> None:
        if self.over.done():
            return
        self._wait()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__ or error
            self.end(f"{type(cause).__name__}: {cause}")

    def on_headers_complete(self) -> None:
        if self._parser.get_status_code() != 200:
            raise ValueError(f"discovery answered {self._parser.get_status_code()}")

    def on_body(self, data: bytes) -> None:
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > MAX_LINE:
            raise ValueError("a line has no end")
        for line in lines:
            if line.strip():
                self._take(line)

    def on_message_complete(self) -> None:
        self.end("the watch ended")

    def connection_lost(self, exc: Exception | None) -> None:
        self.end(f"the connection ended ({exc or 'closed'})")

    def end(self, why: str) -> None:
        if self._silence is not None:
            self._silence.cancel()
        if self._transport is not None:
            self._transport.abort()
        if not self.over.done():
            self.over.set_result(why)

    def _wait(self) -> None:
        """A machine that is cut off says nothing, and TCP doesn't notice: silence is the only sign."""
        if self._silence is not None:
            self._silence.cancel()
        self._silence = self._loop.call_later(SILENCE, self.end, "the watch is silent")


class Discovery:
    """Keeps a watch going, from the last version that came; the old list stays in force meanwhile."""

    def __init__(self, address: tuple[str, int], revision: int, take: Callable[[HostList], None]) -> None:
        self._address = address
        self._revision = revision
        self._take = take
        self._random = Random()
        self._pause = FIRST_PAUSE
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    @property
    def source(self) -> str:
        """Whose revision the lists have."""
        return f"{self._address[0]}:{self._address[1]}"

    def resume(self, source: str, revision: int) -> None:
        """Go on from a list that came otherwise, if it is the same service's."""
        if source == self.source:
            self._revision = revision

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def move(self, address: tuple[str, int]) -> None:
        """Watch another service, from its whole list on: a revision means nothing to any other service."""
        self.stop()
        self._address, self._revision, self._pause = address, 0, FIRST_PAUSE
        self.start()

    async def _run(self) -> None:
        while True:
            try:
                log.info("discovery: %s; asking again", await self._watch())
            except Exception:  # without a watch, hosts that drain would go unnoticed for good
                log.exception("discovery: failed; asking again")
            # Jittered, so that gateways which lost discovery together do not all come back at once.
            await asyncio.sleep(self._pause * self._random.uniform(0.5, 1))
            self._pause = min(2 * self._pause, LONGEST_PAUSE)

    async def _watch(self) -> str:
        """Follow one watch to its end; return why it ended."""
        host, port = self._address
        path = f"/discovery/hosts?watch=1&from={self._revision}"
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIME):
                _, watching = await loop.create_connection(
                    lambda: _Watching(path, f"{host}:{port}", self._line), host, port
                )
        except (OSError, TimeoutError) as error:
            return f"no connection ({error or 'too slow'})"
        try:
            return await watching.over
        finally:
            watching.end("stopped")

    def _line(self, line: bytes) -> None:
        # Raises on a bad line, which ends the watch: what it held would be missing from the list for good.
        told = read_list(orjson.loads(line))
        self._take(told)
        self._revision = told.revision
        self._pause = FIRST_PAUSE
