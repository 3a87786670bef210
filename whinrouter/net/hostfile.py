"""Hosts from a list or from a file that is watched, as discovery tells them."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable, Iterable

from whinrouter.interface import Server
from whinrouter.net.hosts import HostList, Member, hashed_server_id

log = logging.getLogger(__name__)

POLL_SECONDS = 0.1  # seconds between looks at the file: a fifth of what a change may take to be in force
MAX_FILE_BYTES = 1024 * 1024

Address = tuple[str, int]


def member_at(address: Address) -> Member:
    """A host that is known by its address alone."""
    host, port = address
    return Member(Server(hashed_server_id(f"{host}:{port}")), address)


def whole_list(addresses: Iterable[Address], revision: int = 1) -> HostList:
    """A whole list of hosts."""
    return HostList(revision, True, tuple(map(member_at, addresses)))


class HostFile:
    """A file with a host's address in each line; `#` begins a comment.

    A file that is gone, empty or no good changes nothing: the list in hand stays in force, as a list that is
    being written or was lost must not take all hosts away.
    """

    def __init__(
        self, path: str, parse: Callable[[str], Address], on_list: Callable[[HostList], None]
    ) -> None:
        """`read` makes an address of a line's text, or raises ValueError."""
        self._path, self._parse, self._on_list = path, parse, on_list
        self._version: tuple[int, ...] | None = None
        self._revision = 0
        self._last: list[Address] = []
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self._poll()

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    @property
    def source(self) -> str:
        return ""

    def resume(self, source: str, revision: int) -> None:
        """Its lists are whole ones: there is nothing to go on from."""

    def move(self, path: str) -> None:
        """Follow another file, or this one anew, whether or not it seems to have changed."""
        self._path, self._version = path, None

    def _poll(self) -> None:
        try:
            self._poll_once()
        except (OSError, ValueError) as error:
            log.warning("hosts: %s; the list in hand stays", error)
        finally:
            self._timer = asyncio.get_running_loop().call_later(POLL_SECONDS, self._poll)

    def _poll_once(self) -> None:
        status = os.stat(self._path)
        version = (status.st_mtime_ns, status.st_size, status.st_ino)
        if version == self._version:
            return
        self._version = version  # also of a file that is no good: it is told once
        with open(self._path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise ValueError(f"{self._path} is larger than {MAX_FILE_BYTES} bytes")
        addresses = self._addresses(data.decode())
        if not addresses:
            raise ValueError(f"{self._path} names no host")
        if addresses != self._last:
            self._last = addresses
            self._revision += 1
            self._on_list(whole_list(addresses, self._revision))

    def _addresses(self, text: str) -> list[Address]:
        lines = (line.partition("#")[0].strip() for line in text.splitlines())
        return sorted({self._parse(line) for line in lines if line})
