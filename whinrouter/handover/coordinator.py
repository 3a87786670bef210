"""One process of a gateway takes over from another, and is taken over from in its turn.

Theory of operation. Both serve from the same listening socket, which whoever started them holds, so that no
connection is turned back between the two.

    start:  ask at the path; with an answer within `TAKE_TIME` go on from it, else from nothing
    serve:  say `Ready` to the older one and be the one at the path
    older:  on `Ready`, accept no more and say how many descriptors are still held, until the end; if the
    newer one
            ends first, accept again and be the one at the path again
    beside: what operators call at either, and which hosts stop, each does as if it had been told itself

While both serve, the newer process has what the older one does not hold of the descriptors, and half of
what was learnt that a host may have in flight: together they stay under half as much again as one alone,
and what may be sent to a cold host follows the answers of each, which are of the same clients. Once the
older one has ended all is the newer one's.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from whinrouter.control.calls import CallRefusedError
from whinrouter.handover.channel import (
    MAX_PEERS,
    SNAPSHOT_TIMEOUT_SECONDS,
    PeerConnection,
    PeerListener,
    connect,
)
from whinrouter.handover.connections import (
    TRANSFERABLE_STATES,
    ActiveConnection,
    ActiveRelay,
    connection_adopter,
)
from whinrouter.handover.messages import (
    Called,
    Hello,
    Holding,
    HostEntry,
    Message,
    Ready,
    Snapshot,
    Stopped,
)
from whinrouter.handover.relayed import RelayedAnswer
from whinrouter.handover.session import Phase
from whinrouter.handover.transfer import TransferableConnection, TransferReceiver, TransferSender
from whinrouter.interface import Server, State
from whinrouter.invariants.events import EventKind
from whinrouter.net.frontend import ClientConnection, Frontend
from whinrouter.net.gateway import Gateway
from whinrouter.net.hosts import HostList, Member
from whinrouter.net.upstream import ConnectionPool
from whinrouter.operations.controller import OperationsController

log = logging.getLogger(__name__)

NEWER_PROCESS_SHARE = 0.5  # of the limits on hosts, for the newer process while both serve
TRANSFER_SCAN_SECONDS = 0.05  # seconds between looks for connections to hand over
TRANSFER_RETRY_SECONDS = 0.3  # seconds before one that was not taken is offered again
MAX_CONCURRENT_TRANSFERS = (
    32  # connections that are being offered at a time; each has a socket of its own meanwhile
)
HOLDING_REPORT_SECONDS = 0.2  # seconds between what an older process says of its descriptors


def encode_member(member: Member) -> HostEntry:
    """A host in the words of the line."""
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
    """A host in the driver's words; ValueError if it has a state that there is not."""
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


@dataclass(slots=True)
class HandoverCoordinator:
    """The lines of one process, to the one before it and to those after it."""

    gateway: Gateway
    frontend: Frontend
    upstream: ConnectionPool
    controller: OperationsController
    socket_path: Path
    hello: Hello
    max_descriptors: int  # for clients and hosts together
    resume_listening: Callable[[], Coroutine[Any, Any, object]]
    discovery_source: Callable[[], str]  # whose revision the lists have
    older_peer: PeerConnection | None = None
    newer_peers: list[PeerConnection] = field(default_factory=list)
    is_replaced: bool = False  # a newer one serves
    is_serving: bool = False
    _taken: asyncio.Future[Snapshot | None] | None = None
    _post: PeerListener | None = None
    _tasks: set[asyncio.Task[object]] = field(default_factory=set)
    _held: int = 0  # descriptors that are the older one's still
    _taking: TransferReceiver | None = None  # answers that older processes began
    _passing: set[ClientConnection | RelayedAnswer] = field(default_factory=set)

    async def request_snapshot(self) -> Snapshot | None:
        """Ask the older process, if there is one, and go on from what it knows."""
        self._taken = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(SNAPSHOT_TIMEOUT_SECONDS):
                self.older_peer = await connect(self.socket_path, self)
                if self.older_peer is None:
                    return None
                self.older_peer.send(self.hello)
                snapshot = await self._taken
        except TimeoutError:
            log.warning("handover: the older process says nothing; starting from nothing")
            snapshot = None
        if snapshot is None and self.older_peer is not None:
            if not self._taken.cancelled():
                log.warning("handover: who is asked ended the line, as for a stranger; starting from nothing")
            self.older_peer.close()
            self.older_peer = None
        if snapshot is None:
            return None
        try:
            self._restore(snapshot)
        except Exception:  # a start must not fail on what another version says
            log.exception("handover: what the older process knows is of no use; starting from nothing")
            self.controller.restore({}, {}, {}, self.controller.now())
            return None
        return snapshot

    def _restore(self, snapshot: Snapshot) -> None:
        now = self.controller.now()
        self.gateway.record_event(EventKind.TAKEN_OVER, "from an older process")
        self.controller.restore(snapshot.out_ages, snapshot.back_ages, snapshot.start_ages, now)
        self.controller.apply_list(
            HostList(snapshot.revision, True, tuple(map(decode_member, snapshot.hosts)))
        )
        self.gateway.restore_learned_state(snapshot.learned, NEWER_PROCESS_SHARE, now)
        if snapshot.is_leaving:
            self.controller.execute("LEAVE", "")
        log.info(
            "handover: %d hosts, %d of them out, as the older process has them",
            len(snapshot.hosts),
            len(snapshot.out_ages),
        )

    async def start_serving(self) -> None:
        """This process serves: it is the one that the next asks."""
        self._post = PeerListener(self.socket_path, self, self._admit_peer)
        await self._post.open()
        adopt = connection_adopter(self.frontend, self.upstream)
        self._taking = TransferReceiver(self._transfer_path, asyncio.get_running_loop().time, adopt)
        await self._taking.open()
        if self.older_peer is not None:
            self.older_peer.session.mark_ready()
            self.older_peer.send(Ready())
        self.is_serving = True

    def close(self) -> None:
        """The process ends: the other side sees it."""
        if self._post is not None:
            self._post.close()
        if self._taking is not None:
            self._taking.stop()
        for peer in [self.older_peer, *self.newer_peers]:
            if peer is not None:
                peer.close()
        for task in self._tasks:
            task.cancel()

    @property
    def _transfer_path(self) -> Path:
        return self.socket_path.with_name(f"answers-{self.socket_path.name}")

    async def wait_for_relays(self, seconds: float) -> None:
        """Wait, for so long at most, until the answers that came from older processes have ended."""
        if self._taking is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await self._taking.wait_until_done()

    async def _transfer_connections(self, peer: PeerConnection) -> None:
        """Hand over each connection that another process can go on with, as soon as it can be."""
        while peer.session.phase is Phase.BOTH_SERVING:
            for client in list(self.frontend.connections):
                if client not in self._passing and client.state in TRANSFERABLE_STATES:
                    self._start_transfer(ActiveConnection(self.frontend, client), client)
            for answer in list(self._taking.answers) if self._taking is not None else ():
                if answer not in self._passing:
                    self._start_transfer(ActiveRelay(answer), answer)
            await asyncio.sleep(TRANSFER_SCAN_SECONDS)

    def _start_transfer(
        self, connection: TransferableConnection, origin: ClientConnection | RelayedAnswer
    ) -> None:
        if len(self._passing) < MAX_CONCURRENT_TRANSFERS:
            self._passing.add(origin)
            self._start(self._transfer(connection, origin))

    async def _transfer(
        self, connection: TransferableConnection, origin: ClientConnection | RelayedAnswer
    ) -> None:
        try:
            if await TransferSender(self._transfer_path).hand_over(connection):
                self.gateway.record_event(
                    EventKind.TAKEN_OVER, "a connection is passed on to the newer process"
                )
            else:
                await asyncio.sleep(TRANSFER_RETRY_SECONDS)
        finally:
            self._passing.discard(origin)

    def share_call(self, name: str, argument: str, exclude: PeerConnection | None = None) -> None:
        """Tell the others what was called here, or at `but`."""
        self._broadcast(Called(name, argument), exclude)

    def share_stopped_hosts(self, host_list: HostList) -> None:
        """Tell the others of hosts that drain or are gone."""
        hosts = tuple(
            encode_member(entry) for entry in host_list.members if entry.server.state is not State.READY
        )
        if hosts:
            self._broadcast(Stopped(host_list.revision, hosts))

    def _broadcast(self, message: Message, exclude: PeerConnection | None = None) -> None:
        for peer in [self.older_peer, *self.newer_peers]:
            if (
                peer is not None
                and peer is not exclude
                and peer.session.phase in (Phase.SYNCED, Phase.BOTH_SERVING)
            ):
                peer.send(message)

    def _admit_peer(self, peer: PeerConnection) -> bool:
        if len(self.newer_peers) >= MAX_PEERS:
            return False
        self.newer_peers.append(peer)
        return True

    def message_received(self, peer: PeerConnection, message: Message) -> None:
        """What a process of this gateway says; the line has seen to it that it may."""
        if isinstance(message, Hello):
            self._send_snapshot(peer, message)
        elif isinstance(message, Snapshot):
            if self._taken is not None and not self._taken.done():
                self._taken.set_result(message)
        elif isinstance(message, Ready):
            self._start(self._yield_to_newer(peer))
        elif isinstance(message, Holding):
            self._set_older_descriptors(message.descriptors)
        elif isinstance(message, Called):
            self._apply_call(peer, message)
        else:
            self.controller.apply_peer_stops(
                HostList(message.revision, False, tuple(map(decode_member, message.hosts)))
            )

    def _apply_call(self, peer: PeerConnection, message: Called) -> None:
        try:
            self.controller.execute(message.name, message.argument)
            log.info("handover: %s %s, as called at the other process", message.name, message.argument)
        except CallRefusedError as error:
            log.warning("handover: %s %s: %s", message.name, message.argument, error)
        self.share_call(message.name, message.argument, exclude=peer)

    def _send_snapshot(self, peer: PeerConnection, hello: Hello) -> None:
        if hello != self.hello:
            log.warning(
                "handover: %s at %s asked, by socket %d, which is another gateway",
                hello.name,
                hello.listen,
                hello.socket_inode,
            )
            peer.close()
            return
        controller, now = self.controller, self.controller.now()
        out_ages, back_ages = controller.maintenance.ages(now)
        peer.send(
            Snapshot(
                self.discovery_source(),
                controller.revision,
                tuple(map(encode_member, controller.members.values())),
                out_ages,
                back_ages,
                controller.starts.ages(now),
                not controller.presence.accepts_clients,
                self.gateway.export_learned_state(now),
            )
        )

    async def _yield_to_newer(self, peer: PeerConnection) -> None:
        """The newer one serves: what connects is its own; say what is still held here."""
        self.is_replaced = True
        self.gateway.record_event(EventKind.TAKEN_OVER, "by a newer process")
        if self._post is not None:
            self._post.close()
        if self._taking is not None:
            self._taking.close()
        await self.frontend.listener.accept_pending()
        self.frontend.close_listener()
        self._start(self._transfer_connections(peer))
        while peer.session.phase is Phase.BOTH_SERVING:
            peer.send(Holding(len(self.frontend.connections) + self.upstream.descriptors_in_use + self._held))
            await asyncio.sleep(HOLDING_REPORT_SECONDS)

    def _set_older_descriptors(self, older_descriptors: int) -> None:
        """The older one still holds so many: the rest is ours, in halves."""
        self._held = older_descriptors
        relayed_descriptors = 2 * len(self._taking.answers) if self._taking is not None else 0
        limit = max(1, (self.max_descriptors - older_descriptors - relayed_descriptors) // 2)
        self.frontend.max_connections = limit
        self.upstream.limit = limit

    def set_max_descriptors(self, max_descriptors: int) -> None:
        """There are other limits on descriptors."""
        self.max_descriptors = max_descriptors
        self._set_older_descriptors(self._held)

    def peer_lost(self, peer: PeerConnection) -> None:
        """A process of this gateway has ended, or broken its line."""
        if peer is self.older_peer:
            if self._taken is not None and not self._taken.done():
                self._taken.set_result(None)  # `take` sees to the rest
                return
            self.older_peer = None
            log.info("handover: the older process has ended")
            self._set_older_descriptors(0)
            self.gateway.scale_load(1 / NEWER_PROCESS_SHARE)
        elif peer in self.newer_peers:
            self.newer_peers.remove(peer)
            if (
                self.is_replaced
                and not self.newer_peers
                and self.controller.presence.stage.value != "stopping"
            ):
                log.warning("handover: the newer process has ended; serving on")
                self.is_replaced = False
                self._start(self._resume_serving())

    async def _resume_serving(self) -> None:
        await self.resume_listening()
        if self._post is not None:
            await self._post.open()
        if self._taking is not None:
            await self._taking.open()

    def _start(self, work: Coroutine[Any, Any, object]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
