"""Hosts with their addresses: the form in which each source (discovery, a file) delivers its lists."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from whinrouter.interface import Server, ServerId


@dataclass(frozen=True, slots=True)
class Member:
    """One host: the server that the decision module sees, and the address that it listens at."""

    server: Server
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class HostList:
    """A list of hosts, or the changes since the one before if it is not complete."""

    revision: int
    complete: bool
    members: tuple[Member, ...]


def hashed_server_id(host: str) -> ServerId:
    """Return the number of a host in the decision module.

    It is a hash, so that it is the same in every gateway and after a restart.
    """
    return int.from_bytes(blake2b(host.encode(), digest_size=8).digest(), "big")
