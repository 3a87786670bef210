"""Hosts taken out: a model-based test over any order of lists and calls."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from whinrouter.interface import Server, ServerId, State, Update
from whinrouter.operations.maintenance import Maintenance, UnknownHostError

IDS = st.integers(1, 4)
STATES = st.sampled_from([State.READY, State.READY, State.DRAINING, State.GONE])


class MaintenanceMachine(RuleBasedStateMachine):
    """The gateway's ready hosts are the listed ones that are not out; a host that was put back is cold."""

    def __init__(self) -> None:
        super().__init__()
        self.state = Maintenance()
        self.now = 100
        self.effective: dict[ServerId, Server] = {}  # as passed on to the gateway
        self.listed: dict[ServerId, Server] = {}  # as discovery lists them
        self.hosts_out: set[ServerId] = set()

    def _deliver(self, servers: tuple[Server, ...]) -> None:
        for server in servers:
            self.effective[server.id] = server

    @rule(server_id=IDS, state=STATES, restarted=st.booleans())
    def change_host(self, server_id: int, state: State, restarted: bool) -> None:
        self.now += 10
        started = self.now if restarted else self.listed.get(server_id, Server(server_id)).started_at
        server = Server(server_id, state, started_at=started)
        if state is State.GONE:
            self.listed.pop(server_id, None)
        else:
            self.listed[server_id] = server
        self._deliver(self.state.apply(Update.CHANGES, (server,)))

    @rule(ids=st.sets(IDS))
    def replace_list(self, ids: set[int]) -> None:
        self.now += 10
        self.listed = {i: replace(self.listed.get(i, Server(i)), state=State.READY) for i in ids}
        self.effective = {}
        self._deliver(self.state.apply(Update.FULL, tuple(self.listed.values())))

    @rule(server_id=IDS)
    def take_out(self, server_id: int) -> None:
        self.now += 10
        if server_id not in self.listed and server_id not in self.hosts_out:
            with pytest.raises(UnknownHostError):
                self.state.take_out(server_id, self.now)
            return
        self.hosts_out.add(server_id)
        self._deliver(self.state.take_out(server_id, self.now))

    @rule(server_id=IDS)
    def put_back(self, server_id: int) -> None:
        self.now += 10
        if server_id not in self.listed and server_id not in self.hosts_out:
            with pytest.raises(UnknownHostError):
                self.state.put_back(server_id, self.now)
            return
        was_out = server_id in self.hosts_out
        self.hosts_out.discard(server_id)
        changed = self.state.put_back(server_id, self.now)
        self._deliver(changed)
        if was_out and server_id in self.listed:
            assert changed[0].started_at == self.now, "a host that was put back is cold"

    @precondition(lambda self: self.hosts_out)
    @rule()
    def upgrade(self) -> None:
        """Another process restores this one's state."""
        successor = Maintenance()
        successor.restore(*self.state.ages(self.now), self.now)
        self.effective = {}
        self._deliver(successor.apply(Update.STALE, tuple(self.listed.values())))
        self.state = successor

    @invariant()
    def no_host_out_is_ready(self) -> None:
        ready = {i for i, server in self.effective.items() if server.state is State.READY}
        assert not ready & self.hosts_out
        assert ready == {i for i, s in self.listed.items() if s.state is State.READY} - self.hosts_out

    @invariant()
    def no_start_is_earlier_than_listed(self) -> None:
        for server_id, server in self.listed.items():
            assert self.effective[server_id].started_at >= server.started_at


TestMaintenance = MaintenanceMachine.TestCase


def test_one_call_counts_as_one_restart() -> None:
    """Discovery lists late a start from between the two calls, and later another start."""
    state = Maintenance()
    state.apply(Update.FULL, (Server(1, started_at=5),))
    state.take_out(1, 10)
    assert state.put_back(1, 20)[0].started_at == 20
    assert state.apply(Update.CHANGES, (Server(1, started_at=15),))[0].started_at == 20
    assert state.apply(Update.CHANGES, (Server(1, started_at=30),))[0].started_at == 30
    assert state.apply(Update.CHANGES, (Server(1, started_at=30),))[0].started_at == 30
    assert not state.put_back_at
