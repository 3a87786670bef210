"""Hosts and classes in the form of the handover messages. No I/O."""

from __future__ import annotations

from whinrouter.handover.messages import ClassEntry, HostEntry
from whinrouter.interface import Effect, RequestClass, Scope, Server, State
from whinrouter.net.hosts import Member


def encode_member(member: Member) -> HostEntry:
    """Return a host in the form of the handover messages."""
    server, (host, port) = member.server, member.address
    return HostEntry(
        server.id,
        host,
        port,
        server.state.value,
        server.zone,
        server.kind,
        server.cell,
        server.weight,
        server.started_at,
    )


def decode_member(entry: HostEntry) -> Member:
    """Return a host of a handover message as a member of a host list; ValueError if its state is unknown."""
    server = Server(
        entry.server_id,
        State(entry.state),
        entry.zone,
        entry.kind,
        entry.cell,
        entry.weight,
        entry.started_at,
    )
    return Member(server, (entry.host, entry.port))


def encode_class(request_class: RequestClass) -> ClassEntry:
    """Return a class in the form of the handover messages."""
    return ClassEntry(
        request_class.name,
        request_class.aim,
        request_class.deadline,
        request_class.effect.value,
        request_class.scope.value,
        request_class.dedup_window,
    )


def decode_class(entry: ClassEntry) -> RequestClass:
    """Return a class of a handover message; ValueError if its effect or scope is unknown."""
    return RequestClass(
        entry.name, entry.aim, entry.deadline, Effect(entry.effect), Scope(entry.scope), entry.dedup_window
    )
