"""Hosts at whose address another process has started. No I/O, no clock.

An address belongs to one process. When a list names a host that has started at the address of another one,
that other host is gone, although the list that says so may come later or never: what is sent to it would
reach the new process, which has another id and perhaps another group.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from whinrouter.interface import ServerId, State
from whinrouter.net.hosts import HostList, Member

Address = tuple[str, int]


def with_replaced_hosts(host_list: HostList, known: Mapping[ServerId, Member], is_whole: bool) -> HostList:
    """Return a list in which hosts that another process has replaced are gone.

    `known`: the hosts of the lists before, with their start times as listed; `is_whole`: the list names all
    hosts. Hosts that a list names at one address with equal start times are left as they are.
    """
    owners = _owners(host_list, known, is_whole)
    if not owners:
        return host_list
    members = [
        _gone(member) if _is_replaced(member, owners) and member.server.state is State.READY else member
        for member in host_list.members
    ]
    if not is_whole:
        listed = {member.server.id for member in host_list.members}
        members += [
            _gone(member)
            for member in known.values()
            if member.server.id not in listed and _is_replaced(member, owners)
        ]
    return replace(host_list, members=tuple(members))


def _owners(host_list: HostList, known: Mapping[ServerId, Member], is_whole: bool) -> dict[Address, Member]:
    """Return by address the newest of the listed hosts that may have replaced another one."""
    owners: dict[Address, Member] = {}
    for member in host_list.members:
        is_new = not is_whole and member.server.id not in known
        if member.server.state is not State.READY or not (member.server.started_at or is_new):
            continue
        owner = owners.get(member.address)
        if owner is None or member.server.started_at > owner.server.started_at:
            owners[member.address] = member
    return owners


def _is_replaced(member: Member, owners: Mapping[Address, Member]) -> bool:
    owner = owners.get(member.address)
    if owner is None or owner.server.id == member.server.id:
        return False
    started_at, owner_started_at = member.server.started_at, owner.server.started_at
    return started_at < owner_started_at or owner_started_at == 0


def _gone(member: Member) -> Member:
    return Member(replace(member.server, state=State.GONE), member.address)
