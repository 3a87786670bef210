"""Operators' calls that the older process has answered hold in the newer one, whenever they arrive there.

Guards against this failure: an `OFFLINE` that was answered `+OK` arrived in the same read as the snapshot. It
was carried out before the snapshot was restored, so that its host was unknown, and got work again.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import pytest

from tests.peers import async_test, running_gateway, wait_until
from whinrouter.handover.channel import PeerConnection, PeerListener
from whinrouter.handover.coordinator import HandoverCoordinator
from whinrouter.handover.entries import encode_member
from whinrouter.handover.messages import Called, Hello, Message, Ready, Snapshot, Stopped, encode_frame
from whinrouter.interface import Server, State
from whinrouter.learned_state import LearnedState
from whinrouter.net.hosts import HostList, Member, hashed_server_id
from whinrouter.operations.controller import OperationsController

HELLO = Hello("n0", "127.0.0.1:8080", 7)
LISTED, OUT, UNLISTED = "s-1", "s-2", "s-3"
REVISION = 5


def _member(host_id: str, state: State = State.READY) -> Member:
    server_id = hashed_server_id(host_id)
    return Member(Server(server_id, state), ("127.0.0.1", server_id % 65536))  # an address of its own


def _snapshot(is_leaving: bool) -> Snapshot:
    hosts = tuple(encode_member(_member(host_id)) for host_id in (LISTED, OUT))
    learned = LearnedState((), {}, {}, {}, {}, {}, 0, 1.0, 0)
    return Snapshot("", REVISION, hosts, {hashed_server_id(OUT): 1_000}, {}, {}, is_leaving, learned)


@dataclass
class _NewerProcess:
    """The parts of a starting process that an older one sends messages to."""

    coordinator: HandoverCoordinator
    controller: OperationsController
    states: dict[int, State]  # of the hosts as the driver was last told

    def state(self, host_id: str) -> State | None:
        return self.states.get(hashed_server_id(host_id))


class _SilentOlderProcess:
    """Accepts the connection of the newer process and ignores its messages; a test plays its own."""

    def message_received(self, peer: PeerConnection, message: Message) -> None:
        """Ignore the message."""

    def peer_lost(self, peer: PeerConnection) -> None:
        """Ignore the end of the connection."""


@asynccontextmanager
async def _newer_process(folder: Path) -> AsyncIterator[_NewerProcess]:
    async with running_gateway() as proxy:
        states: dict[int, State] = {}

        def deliver(host_list: HostList, is_stale: bool) -> None:
            states.update((member.server.id, member.server.state) for member in host_list.members)
            proxy.gateway.update_hosts(host_list, is_stale)

        clock = asyncio.get_running_loop().time
        controller = OperationsController(proxy.gateway.clock.now, clock, deliver, proxy.frontend.presence)
        path = folder / "handover"

        async def listen() -> None:
            """Nothing listens here."""

        coordinator = HandoverCoordinator(
            proxy.gateway, proxy.frontend, proxy.upstream, controller, path, HELLO, 100, listen, lambda: ""
        )
        older = PeerListener(path, _SilentOlderProcess(), lambda peer: True)
        await older.open()
        try:
            yield _NewerProcess(coordinator, controller, states)
        finally:
            coordinator.close()
            older.close()


async def _restore(newer: _NewerProcess, *reads: bytes) -> None:
    """Start the newer process; what the older one sends arrives by these reads."""
    restoring = asyncio.ensure_future(newer.coordinator.restore_from_older())
    await wait_until(lambda: newer.coordinator.older_peer)
    assert newer.coordinator.older_peer is not None
    for data in reads:
        newer.coordinator.older_peer.data_received(data)
    assert await restoring is not None


CALLS = [
    (Called("OFFLINE", LISTED), False),
    (Called("ONLINE", OUT), False),
    (Called("LEAVE", ""), False),
    (Called("JOIN", ""), True),
    (Stopped(REVISION + 1, (encode_member(_member(LISTED, State.DRAINING)),)), False),
]


def _assert_holds(newer: _NewerProcess, message: Message) -> None:
    assert newer.state(OUT) is (State.READY if message == Called("ONLINE", OUT) else State.DRAINING)
    stops_listed = message == Called("OFFLINE", LISTED) or isinstance(message, Stopped)
    assert newer.state(LISTED) is (State.DRAINING if stops_listed else State.READY)
    assert newer.controller.presence.accepts_clients == (message != Called("LEAVE", ""))


@pytest.mark.parametrize(("message", "is_leaving"), CALLS, ids=str)
@async_test
async def test_a_call_in_the_same_read_as_the_snapshot_holds(
    tmp_path: Path, message: Message, is_leaving: bool
) -> None:
    async with _newer_process(tmp_path) as newer:
        await _restore(newer, encode_frame(_snapshot(is_leaving)) + encode_frame(message))
        _assert_holds(newer, message)


@pytest.mark.parametrize(("message", "is_leaving"), CALLS, ids=str)
@async_test
async def test_a_call_holds_at_whichever_byte_the_messages_are_split(
    tmp_path: Path, message: Message, is_leaving: bool
) -> None:
    data = encode_frame(_snapshot(is_leaving)) + encode_frame(message)
    for position in range(1, len(data)):
        async with _newer_process(tmp_path) as newer:
            await _restore(newer, data[:position], data[position:])
            _assert_holds(newer, message)


@async_test
async def test_calls_in_series_behind_the_snapshot_hold_in_their_order(tmp_path: Path) -> None:
    names = [("OFFLINE", LISTED), ("ONLINE", LISTED), ("ONLINE", OUT), ("OFFLINE", OUT)]
    data = encode_frame(_snapshot(False))
    for name, host_id in names:
        data += encode_frame(Called(name, host_id))
    async with _newer_process(tmp_path) as newer:
        await _restore(newer, data)
        _assert_holds(newer, Ready())


@async_test
async def test_a_host_that_is_taken_out_before_it_is_listed_here_is_out_once_it_is(tmp_path: Path) -> None:
    """The older process has it from a later list."""
    async with _newer_process(tmp_path) as newer:
        calls = encode_frame(Called("OFFLINE", UNLISTED)), encode_frame(Called("ONLINE", "s-4"))
        await _restore(newer, encode_frame(_snapshot(False)), *calls)
        newer.controller.apply_list(HostList(REVISION + 1, False, (_member(UNLISTED), _member("s-4"))))
        assert newer.state(UNLISTED) is State.DRAINING
        assert newer.state("s-4") is State.READY
