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
from whinrouter.membership.json_stream import DocumentSplitter
from whinrouter.membership.retry_policy import QUEUED_SECONDS, RetryPolicy
from whinrouter.net.connect import open_connection
from whinrouter.net.hosts import HostList, Member, hashed_server_id

log = logging.getLogger(__name__)

MAX_LIST_BYTES = 4 * 1024 * 1024  # bytes of one list that has not come whole

_STATES = {"Ready": State.READY, "Terminating": State.DRAINING, "Gone": State.GONE}


def parse_list(document: Mapping[str, Any]) -> HostList:
    """Read a list in discovery's form; ValueError, TypeError or KeyError if it is none."""
    if not isinstance(document, dict):
        raise ValueError("a list of hosts is no object")
    members = tuple(_member(entry) for entry in document["members"])
    return HostList(int(document.get("revision") or 0), bool(document.get("complete")), members)


def _member(entry: Mapping[str, Any]) -> Member:
    host, _, port = str(entry["host_port"]).rpartition(":")
    server = Server(
        id=hashed_server_id(str(entry["id"])),
        state=_STATES.get(str(entry.get("phase")), State.DRAINING),
        zone=str(entry.get("locality") or ""),
        kind=str(entry.get("flavor") or ""),
        cell=int(entry.get("cell") or 0),
        weight=float(entry.get("size") or 1.0),
        started_at=int(entry.get("up_since_ms") or 0) * MS,
    )
    return Member(server, (host, int(port)))


class _WatchConnection(asyncio.Protocol):
    """One connection to discovery: hands on each list as it comes, and knows when it has gone silent.

    Up to the first whole list, or the first empty line, it has `first` seconds in all, and from then on
    `silence` from byte to byte.
    """

    def __init__(
        self,
        path: str,
        host: str,
        on_document: Callable[[bytes], None],
        first_line_timeout: float,
        silence_timeout: float,
    ) -> None:
        self._request = f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode()
        self._on_document = on_document
        self._splitter = DocumentSplitter(MAX_LIST_BYTES)
        self._parser = httptools.HttpResponseParser(self)
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._first_line_timeout, self._silence_timeout = first_line_timeout, silence_timeout
        self.has_response = False  # an answer that is none of a refusal has begun: its turn has come
        self._has_line = False  # a whole list has come, or an empty line
        self.ended: asyncio.Future[str] = self._loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.write(self._request)
        self._set_timer(self._first_line_timeout)

    def data_received(self, data: bytes) -> None:
        if self.ended.done():
            return
        try:
            self._parser.feed_data(data)
            if self._has_line and not self.ended.done():
                self._set_timer(self._silence_timeout)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__ or error
            self.end(f"{type(cause).__name__}: {cause}")

    def on_headers_complete(self) -> None:
        if self._parser.get_status_code() != 200:
            raise ValueError(f"discovery answered {self._parser.get_status_code()}")
        self.has_response = True

    def on_body(self, data: bytes) -> None:
        for document in self._splitter.feed(data):
            self._has_line = True
            if document:
                self._on_document(document)

    def on_message_complete(self) -> None:
        self.end("the watch ended")

    def connection_lost(self, exc: Exception | None) -> None:
        self.end(f"the connection ended ({exc or 'closed'})")

    def end(self, reason: str) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()
        if not self.ended.done():
            self.ended.set_result(reason)

    def _set_timer(self, seconds: float) -> None:
        """A machine that is cut off says nothing, and TCP doesn't notice: silence is the only sign."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(seconds, self.end, "the watch is silent")


class Discovery:
    """Keeps a watch going, from the last version that came; the old list stays in force meanwhile."""

    def __init__(
        self,
        address: tuple[str, int],
        revision: int,
        on_list: Callable[[HostList], None],
        retry_policy: RetryPolicy,
        known: bool = False,
    ) -> None:
        """`known`: there is a list of old, so that the first call may wait for its turn."""
        self._address = address
        self._revision = revision
        self._on_list = on_list
        self.retry_policy = retry_policy  # of what follows: a watch that stands keeps the times it began with
        self._random = Random()
        self._has_list = known  # the latest watch has brought a list
        self._failures = 0  # tries in a row that brought none
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
        self._address, self._revision, self._failures = address, 0, 0
        self._has_list = True
        self.start()

    async def _run(self) -> None:
        if self._has_list:
            await asyncio.sleep(self.retry_policy.start_delay(self._random))
        while True:
            self._has_list, is_queue_full, is_broken_off = False, False, False
            try:
                reason, is_queue_full, is_broken_off = await self._watch()
                log.info("discovery: %s; asking again", reason)
            except Exception:  # without a watch, hosts that drain would go unnoticed for good
                log.exception("discovery: failed; asking again")
            self._failures = 0 if self._has_list else self._failures + 1
            # Jittered, so that gateways which lost discovery together do not all come back at once.
            await asyncio.sleep(
                self.retry_policy.backoff(self._failures, is_queue_full, self._random, is_broken_off)
            )

    async def _watch(self) -> tuple[str, bool, bool]:
        """Follow one watch to its end; return why, and what came of its call if it brought no list.

        That is whether it stood in a line to no end, and whether its answer had begun.
        """
        host, port = self._address
        path = f"/discovery/hosts?watch=1&from={self._revision}"
        loop, retry_policy = asyncio.get_running_loop(), self.retry_policy
        silence_timeout = retry_policy.draw_silence_timeout(self._random)
        connection = _WatchConnection(
            path, f"{host}:{port}", self._on_document, retry_policy.first_line_timeout, silence_timeout
        )
        asked_at = loop.time()
        try:
            async with asyncio.timeout(retry_policy.connect_timeout):
                await open_connection(lambda: connection, (host, port))
        except (OSError, TimeoutError) as error:
            return f"no connection ({error or 'timed out'})", False, False
        try:
            reason = await connection.ended
        finally:
            connection.end("stopped")
        if self._has_list or connection.has_response:
            return reason, False, not self._has_list
        return reason, loop.time() - asked_at > QUEUED_SECONDS, False

    def _on_document(self, document: bytes) -> None:
        # Raises on a bad list, which ends the watch: what it held would be missing from the list for good.
        host_list = parse_list(orjson.loads(document))
        self._on_list(host_list)
        self._revision = host_list.revision
        self._has_list = True
