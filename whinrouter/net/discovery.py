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
from whinrouter.membership.json_stream import Texts
from whinrouter.membership.retry_policy import IN_LINE, Patience
from whinrouter.net.connect import open_connection
from whinrouter.net.hosts import HostList, Member, number

log = logging.getLogger(__name__)

MAX_LIST = 4 * 1024 * 1024  # bytes of one list that has not come whole

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
    """One connection to discovery: hands on each list as it comes, and knows when it has gone silent.

    Up to the first whole list, or the first empty line, it has `first` seconds in all, and from then on
    `silence` from byte to byte.
    """

    def __init__(
        self, path: str, host: str, take: Callable[[bytes], None], first: float, silence: float
    ) -> None:
        self._request = f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode()
        self._take = take
        self._texts = Texts(MAX_LIST)
        self._parser = httptools.HttpResponseParser(self)
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._due: asyncio.TimerHandle | None = None
        self._first, self._silence = first, silence
        self.answers = False  # an answer that is none of a refusal has begun: its turn has come
        self._told = False  # a whole list has come, or an empty line
        self.over: asyncio.Future[str] = self._loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.write(self._request)
        self._wait(self._first)

    def data_received(self, data: bytes) -> None:
        if self.over.done():
            return
        try:
            self._parser.feed_data(data)
            if self._told and not self.over.done():
                self._wait(self._silence)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__ or error
            self.end(f"{type(cause).__name__}: {cause}")

    def on_headers_complete(self) -> None:
        if self._parser.get_status_code() != 200:
            raise ValueError(f"discovery answered {self._parser.get_status_code()}")
        self.answers = True

    def on_body(self, data: bytes) -> None:
        for text in self._texts.feed(data):
            self._told = True
            if text:
                self._take(text)

    def on_message_complete(self) -> None:
        self.end("the watch ended")

    def connection_lost(self, exc: Exception | None) -> None:
        self.end(f"the connection ended ({exc or 'closed'})")

    def end(self, why: str) -> None:
        if self._due is not None:
            self._due.cancel()
        if self._transport is not None:
            self._transport.abort()
        if not self.over.done():
            self.over.set_result(why)

    def _wait(self, seconds: float) -> None:
        """A machine that is cut off says nothing, and TCP doesn't notice: silence is the only sign."""
        if self._due is not None:
            self._due.cancel()
        self._due = self._loop.call_later(seconds, self.end, "the watch is silent")


class Discovery:
    """Keeps a watch going, from the last version that came; the old list stays in force meanwhile."""

    def __init__(
        self,
        address: tuple[str, int],
        revision: int,
        take: Callable[[HostList], None],
        patience: Patience,
        known: bool = False,
    ) -> None:
        """`known`: there is a list of old, so that the first call may wait for its turn."""
        self._address = address
        self._revision = revision
        self._take = take
        self.patience = patience  # of what follows: a watch that stands keeps the times it began with
        self._random = Random()
        self._listed = known  # the latest watch has brought a list
        self._failed = 0  # tries in a row that brought none
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin, unless a move that came before the start has begun it."""
        if self._task is not None:
            return
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
            self._task.cancel()  # and with it `over` of the watch, which takes nothing more from this call on
            self._task = None

    def move(self, address: tuple[str, int]) -> None:
        """Watch another service, from its whole list on: a revision means nothing to any other service."""
        self.stop()
        self._address, self._revision, self._failed = address, 0, 0
        self._listed = True
        self.start()

    async def _run(self) -> None:
        if self._listed:
            await asyncio.sleep(self.patience.first_pause(self._random))
        while True:
            self._listed, full, broke = False, False, False
            try:
                why, full, broke = await self._watch()
                log.info("discovery: %s; asking again", why)
            except Exception:  # without a watch, hosts that drain would go unnoticed for good
                log.exception("discovery: failed; asking again")
            self._failed = 0 if self._listed else self._failed + 1
            # Jittered, so that gateways which lost discovery together do not all come back at once.
            await asyncio.sleep(self.patience.pause(self._failed, full, self._random, broke))

    async def _watch(self) -> tuple[str, bool, bool]:
        """Follow one watch to its end; return why, and what came of its call if it brought no list.

        That is whether it stood in a line to no end, and whether its answer had begun.
        """
        host, port = self._address
        path = f"/discovery/hosts?watch=1&from={self._revision}"
        loop, patience = asyncio.get_running_loop(), self.patience
        silence = patience.drawn_silence(self._random)
        watching = _Watching(path, f"{host}:{port}", self._text, patience.first, silence)
        asked_at = loop.time()
        try:
            async with asyncio.timeout(patience.connect):
                await open_connection(lambda: watching, (host, port))
        except (OSError, TimeoutError) as error:
            return f"no connection ({error or 'too slow'})", False, False
        try:
            why = await watching.over
        finally:
            watching.end("stopped")
        if self._listed or watching.answers:
            return why, False, not self._listed
        return why, loop.time() - asked_at > IN_LINE, False

    def _text(self, text: bytes) -> None:
        # Raises on a bad list, which ends the watch: what it held would be missing from the list for good.
        told = read_list(orjson.loads(text))
        self._take(told)
        self._revision = told.revision
        self._listed = True
