"""Hosts as the driver knows them; whoever lists them, by discovery, a file or else, speaks in these words."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from whinrouter.interface import Server, ServerId


@dataclass(frozen=True, slots=True)
class Member:
    """One host: as the module knows it, and where it listens."""

    server: Server
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class HostList:
    revision: int
    complete: bool
    members: tuple[Member, ...]


def hashed_server_id(host: str) -> ServerId:
    """The module's number for a host: a hash, so that it is the same at every gateway and after a restart."""
    return int.from_bytes(blake2b(host.encode(), digest_size=8).digest(), "big")
