"""Hosts that operators have taken out, over what discovery lists.

Theory of operation. Discovery tells lists; this hands each on as the gateway is to have it. A host that is
out counts as draining, whatever is told of it: that it is ready, that it has gone, that it is back under
its id. It is out until a call puts it back, however many calls took it out.

    in --take_out--> out --put_back--> back (cold) --a start told that lies after the call--> in

A host is restarted while it is out, so that its return is cold, and discovery may tell of the new start
late or never. So a host that is back is shown as started at the call that put it back, unless discovery
tells a start later than that. One call is one restart: the start that discovery then tells, which lies
before that call, is no second one.

It is told times and does no I/O. Times are microseconds of one monotonic clock, as a server's `started`
is once `membership/starts.py` has read it; another process is told spans.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from whinrouter.interface import Server, ServerId, State, Update

# Hosts that may be out. More than any fleet has; ids that were known once can't be gathered without end.
MAX_HOSTS_OUT = 4096


class UnknownHostError(Exception):
    """Nobody has this id."""


@dataclass(slots=True)
class Maintenance:
    """What is out, and what came back; an entry of either leaves with its call or with its host."""

    listed: dict[ServerId, Server] = field(default_factory=dict)  # as discovery has them now
    taken_out_at: dict[ServerId, int] = field(default_factory=dict)  # when each was taken out
    put_back_at: dict[ServerId, int] = field(default_factory=dict)  # when each was put back

    def apply(self, update: Update, servers: tuple[Server, ...]) -> tuple[Server, ...]:
        """What discovery tells, as the gateway is to have it."""
        if update is not Update.CHANGES:
            self.listed = {}
        for server in servers:
            if server.state is State.GONE:
                self.listed.pop(server.id, None)
            else:
                self.listed[server.id] = server
        for server_id in [server_id for server_id in self.put_back_at if server_id not in self.listed]:
            del self.put_back_at[
                server_id
            ]  # it has left: whoever comes under its id tells a start of its own
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

    def take_out(self, server_id: ServerId, now: int) -> tuple[Server, ...]:
        """The changes for the gateway; none if it was out. NoSuchHostError if nobody has this id."""
        if server_id in self.taken_out_at:
            return ()
        server = self.listed.get(server_id)
        if server is None or len(self.taken_out_at) >= MAX_HOSTS_OUT:
            raise UnknownHostError
        self.taken_out_at[server_id] = now
        self.put_back_at.pop(server_id, None)
        return (self._effective_server(server),)

    def put_back(self, server_id: ServerId, now: int) -> tuple[Server, ...]:
        """The changes for the gateway; none if it was not out, or is not listed."""
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
        """How long ago hosts were taken out, and put back: what another process goes on from."""
        out_ages = {server_id: now - changed_at for server_id, changed_at in self.taken_out_at.items()}
        back_ages = {server_id: now - changed_at for server_id, changed_at in self.put_back_at.items()}
        return out_ages, back_ages

    def restore(self, out_ages: Mapping[ServerId, int], back_ages: Mapping[ServerId, int], now: int) -> None:
        """Go on with what another process of this gateway has, told as ages."""
        self.taken_out_at = {server_id: now - age for server_id, age in out_ages.items()}
        self.put_back_at = {server_id: now - age for server_id, age in back_ages.items()}
