"""The watch on the discovery service, and its lists as the gateway uses them.

Theory of operation. `Discovery` makes a call with the revision of the last list that arrived, and the service
sends each newer list over that connection (`_WatchConnection`). When the watch ends for any reason, the call
is made again after a pause (`RetryPolicy`); the last list stays in force meanwhile.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

import httptools
import orjson

from whinrouter.interface import MS, UNKNOWN_CELL, Server, State
from whinrouter.membership.json_stream import DocumentSplitter
from whinrouter.membership.retry_policy import QUEUED_SECONDS, RetryPolicy
from whinrouter.net.connect import open_connection
from whinrouter.net.hosts import HostList, Member, hashed_server_id

log = logging.getLogger(__name__)

MAX_LIST_BYTES = 4 * 1024 * 1024  # size limit of one list

_STATES = {"Ready": State.READY, "Terminating": State.DRAINING, "Gone": State.GONE}


def parse_list(document: Mapping[str, Any]) -> HostList:
    """Convert a list in discovery's form; ValueError, TypeError or KeyError if it is malformed."""
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
        cell=_cell(entry.get("cell")),
        weight=float(entry.get("size") or 1.0),
        started_at=int(entry.get("up_since_ms") or 0) * MS,
    )
    return Member(server, (host, int(port)))


def _cell(listed: Any) -> int:
    return UNKNOWN_CELL if listed is None or listed == "" else int(listed)


class _WatchConnection(asyncio.Protocol):
    """One connection to discovery: passes on each list that arrives, and detects silence.

    It has `first_line_timeout` seconds in all to bring a whole list or an empty line, and may be silent for
    `silence_timeout` seconds at a time after that.
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
        self.has_response = False  # a successful response has begun, so the call has left the service's queue
        self._has_line = False  # a whole list or an empty line has arrived
        self.ended: asyncio.Future[str] = self._loop.create_future()  # the reason why the watch ended

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
        self.end("the service ended the watch")

    def connection_lost(self, exc: Exception | None) -> None:
        self.end(f"the connection ended ({exc or 'closed'})")

    def end(self, reason: str) -> None:
        """Close the connection; the first reason is kept."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()
        if not self.ended.done():
            self.ended.set_result(reason)

    def _set_timer(self, seconds: float) -> None:
        """End the watch after this much silence, the only sign of a cut-off service: TCP does not notice."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(seconds, self.end, "the watch is silent")


class Discovery:
    """Keeps a watch on the discovery service and passes on each list that arrives."""

    def __init__(
        self,
        address: tuple[str, int],
        revision: int,
        on_list: Callable[[HostList], None],
        retry_policy: RetryPolicy,
        has_known_hosts: bool = False,
    ) -> None:
        """`revision`: that of the list in force. `has_known_hosts`: that list has hosts, so the first call
        may be delayed.

        `on_list` is called with each list; an exception that it raises ends the watch, which is then retried.
        """
        self._address = address
        self._revision = revision
        self._on_list = on_list
        self.retry_policy = retry_policy  # applies from the next call on: a running watch keeps its timeouts
        self._random = Random()
        self._has_list = has_known_hosts  # the latest watch has brought a list
        self._failures = 0  # calls in a row that brought no list
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start watching; no effect if a `move` before the start has started it."""
        if self._task is not None:
            return
        self._task = asyncio.get_running_loop().create_task(self._run())

    @property
    def source(self) -> str:
        """The service that assigns the revisions of the lists, as host:port."""
        return f"{self._address[0]}:{self._address[1]}"

    def resume(self, source: str, revision: int) -> None:
        """Continue from a list that was handed over, if it is from the same service."""
        if source == self.source:
            self._revision = revision

    def stop(self) -> None:
        """Stop watching; no list is passed on after this call."""
        if self._task is not None:
            self._task.cancel()  # also cancels the connection's `ended`, which makes it ignore what arrives
            self._task = None

    def move(self, address: tuple[str, int]) -> None:
        """Watch another service, beginning with its whole list: a revision is valid for one service only."""
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
            except Exception:  # without a watch, no draining host would ever be noticed again
                log.exception("discovery: failed; asking again")
            self._failures = 0 if self._has_list else self._failures + 1
            # The backoff has jitter, so that gateways that lost discovery together do not all return at once.
            await asyncio.sleep(
                self.retry_policy.backoff(self._failures, is_queue_full, self._random, is_broken_off)
            )

    async def _watch(self) -> tuple[str, bool, bool]:
        """Follow one watch to its end.

        Returns the reason for the end and, for a call that brought no list, whether it waited in the
        service's queue until it failed, and whether its response had begun.
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
        # Raises on a malformed list, which ends the watch: otherwise the changes in it would be missing from
        # the list permanently.
        host_list = parse_list(orjson.loads(document))
        self._on_list(host_list)
        self._revision = host_list.revision
        self._has_list = True
