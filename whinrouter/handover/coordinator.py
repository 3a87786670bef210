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

from whinrouter.control.calls import RefusedError
from whinrouter.handover.channel import MOST_LINES, TAKE_TIME, Peer, Post, call
from whinrouter.handover.connections import PASSABLE, ConnectionUnderWay, RelayUnderWay, adopter
from whinrouter.handover.messages import (
    Called,
    Hello,
    Holding,
    Message,
    Ready,
    Row,
    Snapshot,
    Stopped,
)
from whinrouter.handover.relayed import RelayedAnswer
from whinrouter.handover.session import Step
from whinrouter.handover.transfer import Offering, PassableConnection, Taking
from whinrouter.interface import Server, State
from whinrouter.invariants.events import EventKind
from whinrouter.net.frontend import ClientConnection, Frontend
from whinrouter.net.gateway import Gateway
from whinrouter.net.hosts import HostList, Member
from whinrouter.net.upstream import Upstream
from whinrouter.operations.controller import Desk

log = logging.getLogger(__name__)

PART = 0.5  # of the limits on hosts, for the newer process while both serve
PASS_EVERY = 0.05  # seconds between looks for connections to hand over
PASS_AGAIN = 0.3  # seconds before one that was not taken is offered again
PASSED_AT_ONCE = 32  # connections that are being offered at a time; each has a socket of its own meanwhile
TELL_EVERY = 0.2  # seconds between what an older process says of its descriptors


def row(member: Member) -> Row:
    """A host in the words of the line."""
    server, (host, port) = member.server, member.address
    return Row(
        server.id,
        host,
        port,
        server.state.value,
        server.zone,
        server.kind,
        server.cell,
        server.weight,
        server.started,
    )


def member(told: Row) -> Member:
    """A host in the driver's words; ValueError if it has a state that there is not."""
    server = Server(
        told.server, State(told.state), told.zone, told.kind, told.cell, told.weight, told.started
    )
    return Member(server, (told.host, told.port))


@dataclass(slots=True)
class Succession:
    """The lines of one process, to the one before it and to those after it."""

    gateway: Gateway
    frontend: Frontend
    upstream: Upstream
    desk: Desk
    path: Path
    hello: Hello
    descriptors: int  # for clients and hosts together
    accept_again: Callable[[], Coroutine[Any, Any, object]]
    source: Callable[[], str]  # whose revision the lists have
    older: Peer | None = None
    newer: list[Peer] = field(default_factory=list)
    replaced: bool = False  # a newer one serves
    serving: bool = False
    _taken: asyncio.Future[Snapshot | None] | None = None
    _post: Post | None = None
    _tasks: set[asyncio.Task[object]] = field(default_factory=set)
    _held: int = 0  # descriptors that are the older one's still
    _taking: Taking | None = None  # answers that older processes began
    _passing: set[ClientConnection | RelayedAnswer] = field(default_factory=set)

    async def take(self) -> Snapshot | None:
        """Ask the older process, if there is one, and go on from what it knows."""
        self._taken = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(TAKE_TIME):
                self.older = await call(self.path, self)
                if self.older is None:
                    return None
                self.older.say(self.hello)
                told = await self._taken
        except TimeoutError:
            log.warning("handover: the older process says nothing; starting from nothing")
            told = None
        if told is None and self.older is not None:
            if not self._taken.cancelled():
                log.warning("handover: who is asked ended the line, as for a stranger; starting from nothing")
            self.older.close()
            self.older = None
        if told is None:
            return None
        try:
            self._adopt(told)
        except Exception:  # a start must not fail on what another version says
            log.exception("handover: what the older process knows is of no use; starting from nothing")
            self.desk.adopt({}, {}, {}, self.desk.now())
            return None
        return told

    def _adopt(self, told: Snapshot) -> None:
        now = self.desk.now()
        self.gateway.note(EventKind.TAKEN_OVER, "from an older process")
        self.desk.adopt(told.out, told.back, told.starts, now)
        self.desk.listed(HostList(told.revision, True, tuple(map(member, told.hosts))))
        self.gateway.resume(told.learnt, PART, now)
        if told.leaving:
            self.desk.called("LEAVE", "")
        log.info(
            "handover: %d hosts, %d of them out, as the older process has them",
            len(told.hosts),
            len(told.out),
        )

    async def serve(self) -> None:
        """This process serves: it is the one that the next asks."""
        self._post = Post(self.path, self, self._admit)
        await self._post.open()
        adopt = adopter(self.frontend, self.upstream)
        self._taking = Taking(self._answers_path, asyncio.get_running_loop().time, adopt)
        await self._taking.open()
        if self.older is not None:
            self.older.line.ready()
            self.older.say(Ready())
        self.serving = True

    def close(self) -> None:
        """The process ends: the other side sees it."""
        if self._post is not None:
            self._post.close()
        if self._taking is not None:
            self._taking.stop()
        for peer in [self.older, *self.newer]:
            if peer is not None:
                peer.close()
        for task in self._tasks:
            task.cancel()

    @property
    def _answers_path(self) -> Path:
        return self.path.with_name(f"answers-{self.path.name}")

    async def until_passed(self, seconds: float) -> None:
        """Wait, for so long at most, until the answers that came from older processes have ended."""
        if self._taking is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await self._taking.until_done()

    async def _pass_connections(self, line: Peer) -> None:
        """Hand over each connection that another process can go on with, as soon as it can be."""
        while line.line.step is Step.BESIDE:
            for client in list(self.frontend.connections):
                if client not in self._passing and client.state in PASSABLE:
                    self._pass(ConnectionUnderWay(self.frontend, client), client)
            for answer in list(self._taking.answers) if self._taking is not None else ():
                if answer not in self._passing:
                    self._pass(RelayUnderWay(answer), answer)
            await asyncio.sleep(PASS_EVERY)

    def _pass(self, connection: PassableConnection, passing: ClientConnection | RelayedAnswer) -> None:
        if len(self._passing) < PASSED_AT_ONCE:
            self._passing.add(passing)
            self._start(self._pass_on(connection, passing))

    async def _pass_on(
        self, connection: PassableConnection, passing: ClientConnection | RelayedAnswer
    ) -> None:
        try:
            if await Offering(self._answers_path).hand_over(connection):
                self.gateway.note(EventKind.TAKEN_OVER, "a connection is passed on to the newer process")
            else:
                await asyncio.sleep(PASS_AGAIN)
        finally:
            self._passing.discard(passing)

    def share(self, name: str, word: str, but: Peer | None = None) -> None:
        """Tell the others what was called here, or at `but`."""
        self._tell(Called(name, word), but)

    def stopped(self, told: HostList) -> None:
        """Tell the others of hosts that drain or are gone."""
        hosts = tuple(row(entry) for entry in told.members if entry.server.state is not State.READY)
        if hosts:
            self._tell(Stopped(told.revision, hosts))

    def _tell(self, message: Message, but: Peer | None = None) -> None:
        for peer in [self.older, *self.newer]:
            if peer is not None and peer is not but and peer.line.step in (Step.GIVEN, Step.BESIDE):
                peer.say(message)

    def _admit(self, peer: Peer) -> bool:
        if len(self.newer) >= MOST_LINES:
            return False
        self.newer.append(peer)
        return True

    def heard(self, line: Peer, message: Message) -> None:
        """What a process of this gateway says; the line has seen to it that it may."""
        if isinstance(message, Hello):
            self._give(line, message)
        elif isinstance(message, Snapshot):
            if self._taken is not None and not self._taken.done():
                self._taken.set_result(message)
        elif isinstance(message, Ready):
            self._start(self._give_way(line))
        elif isinstance(message, Holding):
            self._hold(message.descriptors)
        elif isinstance(message, Called):
            self._called(line, message)
        else:
            self.desk.others(HostList(message.revision, False, tuple(map(member, message.hosts))))

    def _called(self, line: Peer, message: Called) -> None:
        try:
            self.desk.called(message.name, message.word)
            log.info("handover: %s %s, as called at the other process", message.name, message.word)
        except RefusedError as error:
            log.warning("handover: %s %s: %s", message.name, message.word, error)
        self.share(message.name, message.word, but=line)

    def _give(self, line: Peer, hello: Hello) -> None:
        if hello != self.hello:
            log.warning(
                "handover: %s at %s asked, by socket %d, which is another gateway",
                hello.name,
                hello.listen,
                hello.socket,
            )
            line.close()
            return
        desk, now = self.desk, self.desk.now()
        out, back = desk.maintenance.ages(now)
        line.say(
            Snapshot(
                self.source(),
                desk.revision,
                tuple(map(row, desk.members.values())),
                out,
                back,
                desk.starts.ages(now),
                not desk.presence.up,
                self.gateway.learnt(now),
            )
        )

    async def _give_way(self, line: Peer) -> None:
        """The newer one serves: what connects is its own; say what is still held here."""
        self.replaced = True
        self.gateway.note(EventKind.TAKEN_OVER, "by a newer process")
        if self._post is not None:
            self._post.close()
        if self._taking is not None:
            self._taking.close()
        await self.frontend.listener.accept_rest()
        self.frontend.close_listener()
        self._start(self._pass_connections(line))
        while line.line.step is Step.BESIDE:
            line.say(Holding(len(self.frontend.connections) + self.upstream.open + self._held))
            await asyncio.sleep(TELL_EVERY)

    def _hold(self, descriptors: int) -> None:
        """The older one still holds so many: the rest is ours, in halves."""
        self._held = descriptors
        passed = 2 * len(self._taking.answers) if self._taking is not None else 0
        half = max(1, (self.descriptors - descriptors - passed) // 2)
        self.frontend.limit = half
        self.upstream.limit = half

    def retune(self, descriptors: int) -> None:
        """There are other limits on descriptors."""
        self.descriptors = descriptors
        self._hold(self._held)

    def ended(self, line: Peer) -> None:
        """A process of this gateway has ended, or broken its line."""
        if line is self.older:
            if self._taken is not None and not self._taken.done():
                self._taken.set_result(None)  # `take` sees to the rest
                return
            self.older = None
            log.info("handover: the older process has ended")
            self._hold(0)
            self.gateway.scale(1 / PART)
        elif line in self.newer:
            self.newer.remove(line)
            if self.replaced and not self.newer and self.desk.presence.stage.value != "stopping":
                log.warning("handover: the newer process has ended; serving on")
                self.replaced = False
                self._start(self._serve_on())

    async def _serve_on(self) -> None:
        await self.accept_again()
        if self._post is not None:
            await self._post.open()
        if self._taking is not None:
            await self._taking.open()

    def _start(self, work: Coroutine[Any, Any, object]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
