"""Hosts from a list or from a file that is watched, as discovery tells them."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable, Iterable

from whinrouter.interface import Server
from whinrouter.net.hosts import HostList, Member, number

log = logging.getLogger(__name__)

LOOK_EVERY = 0.1  # seconds between looks at the file: a fifth of what a change may take to be in force
MOST_BYTES = 1024 * 1024

Address = tuple[str, int]


def member(address: Address) -> Member:
    """A host that is known by its address alone."""
    host, port = address
    return Member(Server(number(f"{host}:{port}")), address)


def listed(addresses: Iterable[Address], revision: int = 1) -> HostList:
    """A whole list of hosts."""
    return HostList(revision, True, tuple(map(member, addresses)))


class HostFile:
    """A file with a host's address in each line; `#` begins a comment.

    A file that is gone, empty or no good changes nothing: the list in hand stays in force, as a list that is
    being written or was lost must not take all hosts away.
    """

    def __init__(self, path: str, read: Callable[[str], Address], take: Callable[[HostList], None]) -> None:
        """`read` makes an address of a line's text, or raises ValueError."""
        self._path, self._read, self._take = path, read, take
        self._seen: tuple[int, ...] | None = None
        self._revision = 0
        self._last: list[Address] = []
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self._look()

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
        self._path, self._seen = path, None

    def _look(self) -> None:
        try:
            self._look_once()
        except (OSError, ValueError) as error:
            log.warning("hosts: %s; the list in hand stays", error)
        finally:
            self._timer = asyncio.get_running_loop().call_later(LOOK_EVERY, self._look)

    def _look_once(self) -> None:
        told = os.stat(self._path)
        seen = (told.st_mtime_ns, told.st_size, told.st_ino)
        if seen == self._seen:
            return
        self._seen = seen  # also of a file that is no good: it is told once
        with open(self._path, "rb") as file:
            data = file.read(MOST_BYTES + 1)
        if len(data) > MOST_BYTES:
            raise ValueError(f"{self._path} is larger than {MOST_BYTES} bytes")
        addresses = self._addresses(data.decode())
        if not addresses:
            raise ValueError(f"{self._path} names no host")
        if addresses != self._last:
            self._last = addresses
            self._revision += 1
            self._take(listed(addresses, self._revision))

    def _addresses(self, text: str) -> list[Address]:
        lines = (line.partition("#")[0].strip() for line in text.splitlines())
        return sorted({self._read(line) for line in lines if line})
