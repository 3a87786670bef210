"""Hosts from a fixed list, or from a file that is polled for changes; the lists have discovery's form."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable, Iterable

from whinrouter.interface import UNKNOWN_CELL, Server
from whinrouter.net.hosts import HostList, Member, hashed_server_id

log = logging.getLogger(__name__)

POLL_SECONDS = 0.1  # a fifth of the time within which a change has to be in force
MAX_FILE_BYTES = 1024 * 1024

Address = tuple[str, int]


def member_at(address: Address, zone: str = "", cell: int = UNKNOWN_CELL) -> Member:
    """A host of which no more is known than its address and, perhaps, its zone and cell."""
    host, port = address
    return Member(Server(hashed_server_id(f"{host}:{port}"), zone=zone, cell=cell), address)


def whole_list(members: Iterable[Member], revision: int = 1) -> HostList:
    """A complete list of these hosts."""
    return HostList(revision, True, tuple(members))


class HostFile:
    """A file that lists one host in each line.

    If the file is missing, empty or malformed, the last list stays in force: a file that is being written or
    was lost must not remove all hosts.
    """

    def __init__(
        self, path: str, parse: Callable[[str], list[Member]], on_list: Callable[[HostList], None]
    ) -> None:
        """`parse` converts the text of a file to its hosts, or raises ValueError."""
        self._path, self._parse, self._on_list = path, parse, on_list
        self._version: tuple[int, ...] | None = None  # of the file when it was last read
        self._revision = 0
        self._last_members: list[Member] = []
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Read the file, and poll it from now on."""
        self._poll()

    def stop(self) -> None:
        """Stop polling; no list is passed on after this."""
        if self._timer is not None:
            self._timer.cancel()

    @property
    def source(self) -> str:
        """Empty, as no service assigns the revisions of these lists."""
        return ""

    def resume(self, source: str, revision: int) -> None:
        """No effect: all lists are complete, so there is nothing to continue from."""

    def move(self, path: str) -> None:
        """Follow another file, or read the same one again even if it seems unchanged."""
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
        self._version = version  # set before the file is read, so that a malformed one is reported only once
        with open(self._path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise ValueError(f"{self._path} is larger than {MAX_FILE_BYTES} bytes")
        members = sorted(self._parse(data.decode()), key=lambda member: member.address)
        if not members:
            raise ValueError(f"{self._path} names no host")
        if members != self._last_members:
            self._last_members = members
            self._revision += 1
            self._on_list(whole_list(members, self._revision))
