"""The lines of a host file: the address of a host, and its zone and cell if they are known.

    127.0.0.1:7001 zone=a cell=3   # a comment

No I/O.
"""

from __future__ import annotations

from typing import NamedTuple

from whinrouter.operator.values import Address

MAX_HOST_FILE_BYTES = 1024 * 1024
MAX_ZONE_CHARACTERS, MAX_CELL = 128, 2**31 - 1


class HostLine(NamedTuple):
    """One host of a host file."""

    address: Address
    zone: str = ""  # empty: not known
    cell: int | None = None  # None: not known


def parse_host_line(text: str) -> HostLine:
    """Read a line without its comment; ValueError if it is no host with attributes of a known form."""
    address_text, *attributes = text.split()
    address = Address.parse(address_text)
    if address.path:
        raise ValueError(f"{text!r} is no host: it has no port")
    host = HostLine(address)
    for attribute in attributes:
        name, _, value = attribute.partition("=")
        if name == "zone" and not host.zone and 0 < len(value) <= MAX_ZONE_CHARACTERS:
            host = host._replace(zone=value)
        elif name == "cell" and host.cell is None and _is_cell(value):
            host = host._replace(cell=int(value))
        else:
            raise ValueError(
                f"{text!r} is no host: write its address, then zone=NAME and cell=NUMBER at most once each"
            )
    return host


def parse_host_lines(text: str) -> list[HostLine]:
    """Return the hosts of a file, each address once; ValueError if a line is no host or two disagree."""
    hosts: dict[Address, HostLine] = {}
    for line in text.splitlines():
        content = line.partition("#")[0].strip()
        if not content:
            continue
        host = parse_host_line(content)
        if hosts.setdefault(host.address, host) != host:
            raise ValueError(f"{host.address} is no host of two groups: it is listed twice")
    return list(hosts.values())


def _is_cell(value: str) -> bool:
    return value.isascii() and value.isdigit() and len(value) <= len(str(MAX_CELL)) and int(value) <= MAX_CELL
