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
MOST_OUT = 4096


class NoSuchHostError(Exception):
    """Nobody has this id."""


@dataclass(slots=True)
class Maintenance:
    """What is out, and what came back; an entry of either leaves with its call or with its host."""

    told: dict[ServerId, Server] = field(default_factory=dict)  # as discovery has them now
    out: dict[ServerId, int] = field(default_factory=dict)  # when each was taken out
    back: dict[ServerId, int] = field(default_factory=dict)  # when each was put back

    def follow(self, update: Update, servers: tuple[Server, ...]) -> tuple[Server, ...]:
        """What discovery tells, as the gateway is to have it."""
        if update is not Update.CHANGES:
            self.told = {}
        for server in servers:
            if server.state is State.GONE:
                self.told.pop(server.id, None)
            else:
                self.told[server.id] = server
        for server_id in [server_id for server_id in self.back if server_id not in self.told]:
            del self.back[server_id]  # it has left: whoever comes under its id tells a start of its own
        return tuple(self._shown(server) for server in servers)

    def _shown(self, server: Server) -> Server:
        if server.id in self.out:
            return replace(server, state=State.DRAINING) if server.state is State.READY else server
        back = self.back.get(server.id)
        if back is None:
            return server
        if server.started > back:
            del self.back[server.id]
            return server
        return replace(server, started=back)

    def take_out(self, server_id: ServerId, now: int) -> tuple[Server, ...]:
        """The changes for the gateway; none if it was out. NoSuchHostError if nobody has this id."""
        if server_id in self.out:
            return ()
        server = self.told.get(server_id)
        if server is None or len(self.out) >= MOST_OUT:
            raise NoSuchHostError
        self.out[server_id] = now
        self.back.pop(server_id, None)
        return (self._shown(server),)

    def put_back(self, server_id: ServerId, now: int) -> tuple[Server, ...]:
        """The changes for the gateway; none if it was not out, or is not listed."""
        server = self.told.get(server_id)
        if server_id not in self.out:
            if server is None:
                raise NoSuchHostError
            return ()
        del self.out[server_id]
        if server is None:
            return ()
        self.back[server_id] = now
        return (self._shown(server),)

    def ages(self, now: int) -> tuple[dict[ServerId, int], dict[ServerId, int]]:
        """How long ago hosts were taken out, and put back: what another process goes on from."""
        out = {server_id: now - moment for server_id, moment in self.out.items()}
        back = {server_id: now - moment for server_id, moment in self.back.items()}
        return out, back

    def adopt(self, out: Mapping[ServerId, int], back: Mapping[ServerId, int], now: int) -> None:
        """Go on with what another process of this gateway has, told as ages."""
        self.out = {server_id: now - age for server_id, age in out.items()}
        self.back = {server_id: now - age for server_id, age in back.items()}
