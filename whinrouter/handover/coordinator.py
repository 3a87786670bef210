"""Handover of a gateway from one process to the next.

Both processes accept from the same listening socket, which their parent process holds open, so that no
connection is refused during the change.

    start:    connect to the socket path; restore the older process's state if it replies within
              `SNAPSHOT_TIMEOUT_SECONDS`, else start without it
    serving:  send `Ready` to the older process and listen at the path
    replaced: after `Ready`, stop accepting, transfer connections and report the number of open descriptors
              until the exit; if the newer process ends first, accept again and listen at the path again
    both:     operators' calls and stopped hosts that one process learns of are applied by the other too

While both serve, the newer process may use the descriptors that the older one does not hold, and half of the
learned limits on requests in flight to each host. Together they stay below one and a half times the load of
one process. The requests sent to a cold host follow the answers that each process sees; both processes have
the same clients. Once the older process has ended, the newer one uses all descriptors and the whole limits.
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
from whinrouter.handover.entries import decode_class, decode_member, encode_class, encode_member
from whinrouter.handover.messages import (
    Called,
    Executed,
    Hello,
    Holding,
    Message,
    Ready,
    Snapshot,
    Stopped,
)
from whinrouter.handover.relayed import RelayedAnswer
from whinrouter.handover.session import Phase
from whinrouter.handover.transfer import TransferableConnection, TransferReceiver, TransferSender
from whinrouter.handover.transfer_messages import DESCRIPTORS_PER_ANSWER
from whinrouter.handover.transfer_schedule import TransferSchedule
from whinrouter.interface import State
from whinrouter.invariants.events import EventKind
from whinrouter.net.frontend import ClientConnection, Frontend
from whinrouter.net.gateway import Gateway
from whinrouter.net.hosts import HostList
from whinrouter.net.upstream import ConnectionPool
from whinrouter.operations.controller import OperationsController
from whinrouter.operations.presence import Stage

log = logging.getLogger(__name__)

NEWER_PROCESS_SHARE = 0.5  # of the learned host limits, while both processes serve
TRANSFER_SCAN_SECONDS = 0.05  # between scans for connections to transfer
TRANSFER_RETRY_SECONDS = 0.3  # before a connection whose transfer failed is offered again
MAX_CONCURRENT_TRANSFERS = 32  # each transfer uses a socket of its own
HOLDING_REPORT_SECONDS = 0.2  # between an older process's reports of its descriptors


@dataclass(slots=True)
class HandoverCoordinator:
    """One process's side of all handovers: from the older process, and to newer ones."""

    gateway: Gateway
    frontend: Frontend
    upstream: ConnectionPool
    controller: OperationsController
    socket_path: Path
    hello: Hello
    max_descriptors: int  # for connections to clients and hosts together
    resume_listening: Callable[[], Coroutine[Any, Any, object]]
    discovery_source: Callable[[], str]  # the service that lists the hosts
    older_peer: PeerConnection | None = None
    newer_peers: list[PeerConnection] = field(default_factory=list)
    is_replaced: bool = False  # a newer process serves
    is_serving: bool = False
    _snapshot: asyncio.Future[Snapshot | None] | None = None
    _is_restored: bool = False  # the older process's state is in force here
    _peer_listener: PeerListener | None = None
    _tasks: set[asyncio.Task[object]] = field(default_factory=set)
    _older_descriptors: int = 0  # descriptors that the older process still holds
    _transfer_receiver: TransferReceiver | None = None  # also relays answers that came from older processes
    _executed_peers: list[PeerConnection] = field(default_factory=list)
    _transfers: TransferSchedule[ClientConnection | RelayedAnswer] = field(
        default_factory=lambda: TransferSchedule(MAX_CONCURRENT_TRANSFERS, TRANSFER_RETRY_SECONDS)
    )

    async def restore_from_older(self) -> Snapshot | None:
        """Restore the older process's state and return it.

        None if there is no older process, it does not reply in time or its state can't be used.
        """
        self._snapshot = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(SNAPSHOT_TIMEOUT_SECONDS):
                self.older_peer = await connect(self.socket_path, self)
                if self.older_peer is None:
                    return None
                self.older_peer.send(self.hello)
                snapshot = await self._snapshot
        except TimeoutError:
            log.warning("handover: no reply from the older process; starting without its state")
            snapshot = None
        if snapshot is None and self.older_peer is not None:
            if not self._snapshot.cancelled():
                log.warning("handover: who is asked ended the line, as for a stranger; starting from nothing")
            self.older_peer.close()
            self.older_peer = None
        return snapshot if self._is_restored else None

    def _take_snapshot(self, snapshot: Snapshot) -> None:
        """Restore the older process's state at once: calls that follow in the same read change that state."""
        if self._snapshot is None or self._snapshot.done():
            return
        try:
            self._restore(snapshot)
            self._is_restored = True
        except Exception:  # the start must not fail on the state of another version
            log.exception("handover: cannot restore the older process's state; starting without it")
            self.controller.restore({}, {}, {}, self.controller.now())
        self._snapshot.set_result(snapshot)

    def _restore(self, snapshot: Snapshot) -> None:
        now, loop_now = self.controller.now(), asyncio.get_running_loop().time()
        self.gateway.record_event(EventKind.TAKEN_OVER, "from an older process")
        self.frontend.interpreter.classes.add_former(map(decode_class, snapshot.classes), loop_now)
        self.controller.restore(snapshot.out_ages, snapshot.put_back_ages, snapshot.start_ages, now)
        self.controller.apply_list(
            HostList(snapshot.revision, True, tuple(map(decode_member, snapshot.hosts)))
        )
        self.gateway.restore_learned_state(snapshot.learned, NEWER_PROCESS_SHARE, now)
        self.gateway.executed_requests.add_digests(snapshot.executed or (), loop_now)
        if snapshot.executed is not None and self.older_peer is not None:
            self._share_executed_with(self.older_peer)
        if snapshot.is_leaving:
            self.controller.execute("LEAVE", "")
        log.info(
            "handover: %d hosts, %d of them out, as the older process has them",
            len(snapshot.hosts),
            len(snapshot.out_ages),
        )

    async def start_serving(self) -> None:
        """Listen for the next process and for transferred connections; send Ready to the older process."""
        self._peer_listener = PeerListener(self.socket_path, self, self._admit_peer)
        await self._peer_listener.open()
        adopt = connection_adopter(self.frontend, self.upstream)
        self._transfer_receiver = TransferReceiver(
            self._transfer_path,
            asyncio.get_running_loop().time,
            self._has_descriptors,
            self.frontend.window,
            adopt,
        )
        await self._transfer_receiver.open()
        if self.older_peer is not None:
            self.older_peer.session.mark_ready()
            self.older_peer.send(Ready())
        self.is_serving = True

    def close(self) -> None:
        """Close all connections to peers and cancel all tasks, at the process's end."""
        if self._peer_listener is not None:
            self._peer_listener.close()
        if self._transfer_receiver is not None:
            self._transfer_receiver.stop()
        for peer in [self.older_peer, *self.newer_peers]:
            if peer is not None:
                peer.close()
        for task in self._tasks:
            task.cancel()

    @property
    def _transfer_path(self) -> Path:
        return self.socket_path.with_name(f"answers-{self.socket_path.name}")

    async def wait_for_relays(self, seconds: float) -> None:
        """Wait until all relayed answers have ended, but at most this many seconds."""
        if self._transfer_receiver is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await self._transfer_receiver.wait_until_done()

    async def _transfer_connections(self, peer: PeerConnection) -> None:
        """Hand over each connection as soon as it can be transferred, while the newer process serves."""
        now = asyncio.get_running_loop().time
        while peer.session.phase is Phase.BOTH_SERVING:
            for connection in self._transfers.choose(self._transferable_connections(), now()):
                self._start_task(self._transfer(connection))
            await asyncio.sleep(TRANSFER_SCAN_SECONDS)

    def _transferable_connections(self) -> list[ClientConnection | RelayedAnswer]:
        """Return the connections that another process can go on with."""
        clients = [client for client in self.frontend.connections if client.state in TRANSFERABLE_STATES]
        relayed_answers = self._transfer_receiver.answers if self._transfer_receiver is not None else ()
        return [*clients, *relayed_answers]

    async def _transfer(self, origin: ClientConnection | RelayedAnswer) -> None:
        is_held = False
        try:
            is_held = await TransferSender(self._transfer_path).hand_over(self._as_transferable(origin))
        finally:
            self._transfers.finish(origin, is_held, asyncio.get_running_loop().time())
        if is_held:
            self.gateway.record_event(EventKind.TAKEN_OVER, "a connection is passed on to the newer process")

    def _as_transferable(self, origin: ClientConnection | RelayedAnswer) -> TransferableConnection:
        if isinstance(origin, RelayedAnswer):
            return ActiveRelay(origin)
        return ActiveConnection(self.frontend, origin)

    def _has_descriptors(self, count: int) -> bool:
        """Whether connections of an older process with so many descriptors fit in this process's limit.

        What the older process holds does not count: it closes what this one takes.
        """
        receiver = self._transfer_receiver
        held_for_older = receiver.descriptors_in_use if receiver is not None else 0
        in_use = len(self.frontend.connections) + self.upstream.descriptors_in_use + held_for_older
        return in_use + count <= self.max_descriptors

    def share_call(self, name: str, argument: str, exclude: PeerConnection | None = None) -> None:
        """Send an operator's call to all peers but the one that it came from."""
        self._broadcast(Called(name, argument), exclude)

    def share_stopped_hosts(self, host_list: HostList) -> None:
        """Send those listed hosts that drain or are gone to all peers."""
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
        """Handle a message that the session has accepted."""
        if isinstance(message, Hello):
            self._send_snapshot(peer, message)
        elif isinstance(message, Snapshot):
            self._take_snapshot(message)
        elif isinstance(message, Ready):
            self._start_task(self._yield_to_newer(peer))
        elif isinstance(message, Holding):
            self._set_older_descriptors(message.descriptors)
        elif isinstance(message, Called):
            self._apply_call(peer, message)
        elif isinstance(message, Executed):
            self._apply_executed(message)
        else:
            self.controller.apply_peer_stops(
                HostList(message.revision, False, tuple(map(decode_member, message.hosts)))
            )

    def _apply_call(self, peer: PeerConnection, message: Called) -> None:
        try:
            self.controller.execute_for_peer(message.name, message.argument)
            log.info("handover: %s %s, as called at the other process", message.name, message.argument)
        except CallRefusedError as error:
            log.warning("handover: %s %s: %s", message.name, message.argument, error)
        self.share_call(message.name, message.argument, exclude=peer)

    def _share_executed_with(self, peer: PeerConnection) -> None:
        """Report to a peer from now on which requests hosts may have executed."""
        self._executed_peers.append(peer)
        self.gateway.executed_requests.on_change = self._share_executed

    def _share_executed(self, digest: int, is_added: bool) -> None:
        for peer in self._executed_peers:
            peer.send(Executed(digest, is_added))

    def _apply_executed(self, message: Executed) -> None:
        executed_requests = self.gateway.executed_requests
        if message.is_added:
            executed_requests.add_digests((message.digest,), asyncio.get_running_loop().time())
        else:
            executed_requests.forget_digest(message.digest)

    def _stop_sharing_executed(self, peer: PeerConnection) -> None:
        self._executed_peers = [other for other in self._executed_peers if other is not peer]
        if not self._executed_peers:
            self.gateway.executed_requests.on_change = None

    def _is_of_this_gateway(self, hello: Hello) -> bool:
        own = self.hello
        return (hello.name, hello.listen, hello.socket_inode) == (own.name, own.listen, own.socket_inode)

    def _send_snapshot(self, peer: PeerConnection, hello: Hello) -> None:
        if not self._is_of_this_gateway(hello):
            log.warning(
                "handover: %s at %s asked, by socket %d, which is another gateway",
                hello.name,
                hello.listen,
                hello.socket_inode,
            )
            peer.close()
            return
        controller, now = self.controller, self.controller.now()
        open_classes = self.frontend.interpreter.classes.open_classes(asyncio.get_running_loop().time())
        out_ages, put_back_ages = controller.maintenance.ages(now)
        peer.send(
            Snapshot(
                self.discovery_source(),
                controller.revision,
                tuple(map(encode_member, controller.members.values())),
                out_ages,
                put_back_ages,
                controller.start_times.ages(now),
                controller.presence.stage is Stage.LEAVING,
                self.gateway.export_learned_state(now),
                self.gateway.executed_requests.digests(),
                tuple(map(encode_class, open_classes)),
            )
        )
        if hello.knows_executed:
            self._share_executed_with(peer)

    async def _yield_to_newer(self, peer: PeerConnection) -> None:
        """The newer process serves: stop accepting, transfer connections and report open descriptors."""
        self.is_replaced = True
        self.gateway.record_event(EventKind.TAKEN_OVER, "by a newer process")
        if self._peer_listener is not None:
            self._peer_listener.close()
        if self._transfer_receiver is not None:
            self._transfer_receiver.close()
        await self.frontend.listener.accept_pending()
        self.frontend.close_listener()
        self._start_task(self._transfer_connections(peer))
        while peer.session.phase is Phase.BOTH_SERVING:
            peer.send(
                Holding(
                    len(self.frontend.connections)
                    + self.upstream.descriptors_in_use
                    + self._older_descriptors
                )
            )
            await asyncio.sleep(HOLDING_REPORT_SECONDS)

    def _set_older_descriptors(self, older_descriptors: int) -> None:
        """Halve the available descriptors between clients and hosts.

        Those that the older process holds and those of relayed answers, two for each, are not available.
        """
        self._older_descriptors = older_descriptors
        receiver = self._transfer_receiver
        relayed_descriptors = DESCRIPTORS_PER_ANSWER * len(receiver.answers) if receiver is not None else 0
        limit = max(1, (self.max_descriptors - older_descriptors - relayed_descriptors) // 2)
        self.frontend.max_connections = limit
        self.upstream.max_connections = limit

    def set_max_descriptors(self, max_descriptors: int) -> None:
        """Change the limit on descriptors, as the settings have changed."""
        self.max_descriptors = max_descriptors
        self._set_older_descriptors(self._older_descriptors)

    def peer_lost(self, peer: PeerConnection) -> None:
        """Handle the end of a peer process or of the connection to it."""
        self._stop_sharing_executed(peer)
        if peer is self.older_peer:
            if self._snapshot is not None and not self._snapshot.done():
                self._snapshot.set_result(None)  # `restore_from_older` handles it
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
                self._start_task(self._resume_serving())

    async def _resume_serving(self) -> None:
        await self.resume_listening()
        if self._peer_listener is not None:
            await self._peer_listener.open()
        if self._transfer_receiver is not None:
            await self._transfer_receiver.open()

    def _start_task(self, work: Coroutine[Any, Any, object]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
