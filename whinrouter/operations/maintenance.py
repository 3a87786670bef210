"""Hosts that operators have taken out, on top of what discovery lists.

Each list from discovery is passed on in the form that the gateway is to use. A host that is out counts as
draining whatever is listed of it: that it is ready, that it is gone, that it is back under the same id. It
stays out until a call puts it back, however many calls took it out.

    in --take_out--> out --put_back--> back (cold) --a listed start later than that call--> in

A host is restarted while it is out, so it is cold on its return, but discovery may list the new start late or
never. A host that was put back is therefore treated as started at that call, unless discovery lists a later
start. One call means one restart: a start that discovery lists afterwards and that lies before the call is
not a second one.

This module is given times and does no I/O. Times are microseconds of one monotonic clock, as is a server's
`started_at` once `membership/start_times.py` has converted it; another process is given ages.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from whinrouter.interface import Server, ServerId, State, Update

# More than the hosts of any fleet. It bounds the ids that are kept of hosts that are no longer listed.
MAX_HOSTS_OUT = 4096


class UnknownHostError(Exception):
    """No listed host has this id, or the limit on hosts out is reached."""


@dataclass(slots=True)
class Maintenance:
    """Hosts that are out, and hosts that were put back and whose new start is not listed yet.

    A host leaves `taken_out_at` only when it is put back. It leaves `put_back_at` when it is taken out again,
    when a later start is listed, or when the host is no longer listed.
    """

    listed: dict[ServerId, Server] = field(default_factory=dict)  # the latest state from discovery
    taken_out_at: dict[ServerId, int] = field(default_factory=dict)  # times at which hosts were taken out
    put_back_at: dict[ServerId, int] = field(default_factory=dict)  # times at which hosts were put back

    def apply(self, update: Update, servers: tuple[Server, ...]) -> tuple[Server, ...]:
        """Apply a list or changes from discovery; return the servers as the gateway is to use them."""
        if update is not Update.CHANGES:
            self.listed = {}
        for server in servers:
            if server.state is State.GONE:
                self.listed.pop(server.id, None)
            else:
                self.listed[server.id] = server
        for server_id in [server_id for server_id in self.put_back_at if server_id not in self.listed]:
            del self.put_back_at[server_id]  # it has left; a host that returns under its id has a new start
        return tuple(self._effective_server(server) for server in servers)

    def _effective_server(self, server: Server) -> Server:
        if server.id in self.taken_out_at:
            return replace(server, state=State.DRAINING) if server.state is State.READY else server
        put_back_at = self.put_back_at.get(server.id)
        if put_back_at is None:
            return server
        if server.started_at > put_back_at:
            del self.put_back_at[server.id]
            return server
        return replace(server, started_at=put_back_at)

    def take_out(self, server_id: ServerId, now: int, must_be_listed: bool = True) -> tuple[Server, ...]:
        """Return the changed server; an empty tuple if it was out already or is not listed.

        UnknownHostError if it must be listed and is not, or if `MAX_HOSTS_OUT` hosts are out.
        """
        if server_id in self.taken_out_at:
            return ()
        server = self.listed.get(server_id)
        if (server is None and must_be_listed) or len(self.taken_out_at) >= MAX_HOSTS_OUT:
            raise UnknownHostError
        self.taken_out_at[server_id] = now
        self.put_back_at.pop(server_id, None)
        return (self._effective_server(server),) if server is not None else ()

    def put_back(self, server_id: ServerId, now: int) -> tuple[Server, ...]:
        """Return the changed server; an empty tuple if it was not out or is not listed.

        UnknownHostError if it is neither out nor listed.
        """
        server = self.listed.get(server_id)
        if server_id not in self.taken_out_at:
            if server is None:
                raise UnknownHostError
            return ()
        del self.taken_out_at[server_id]
        if server is None:
            return ()
        self.put_back_at[server_id] = now
        return (self._effective_server(server),)

    def ages(self, now: int) -> tuple[dict[ServerId, int], dict[ServerId, int]]:
        """Return how long ago hosts were taken out and put back, in microseconds, for another process."""
        out_ages = {server_id: now - changed_at for server_id, changed_at in self.taken_out_at.items()}
        put_back_ages = {server_id: now - changed_at for server_id, changed_at in self.put_back_at.items()}
        return out_ages, put_back_ages

    def restore(
        self, out_ages: Mapping[ServerId, int], put_back_ages: Mapping[ServerId, int], now: int
    ) -> None:
        """Take over the state of another process of this gateway, given as ages."""
        self.taken_out_at = {server_id: now - age for server_id, age in out_ages.items()}
        self.put_back_at = {server_id: now - age for server_id, age in put_back_ages.items()}
