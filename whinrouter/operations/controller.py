"""Where the calls of operators meet the gateway: hosts out, the gateway emptied, settings replaced.

Theory of operation. One `Desk` a process holds the state of maintenance and of presence. It stands between
whoever tells lists and the driver, so that what is out stays out whatever is listed. Where two processes are
one gateway for a while (an upgrade), what is called at one is told to the other, which does it without
telling it back. It does no I/O: it is given a clock and functions to call.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from whinrouter.control.calls import Calls, RefusedError
from whinrouter.interface import ServerId, Update
from whinrouter.membership.start_times import StartAge, StartTimes
from whinrouter.net.hosts import HostList, Member, number
from whinrouter.operations.maintenance import Maintenance, NoSuchHostError
from whinrouter.operations.presence import Presence


@dataclass(slots=True)
class Desk:
    """The operators' side of one process."""

    now: Callable[[], int]  # the module's moments, in microseconds
    time: Callable[[], float]  # seconds of the clock that presence goes by
    tell: Callable[[HostList, bool], None]  # the driver; the second: it is an old whole list
    presence: Presence
    maintenance: Maintenance = field(default_factory=Maintenance)
    starts: StartTimes = field(default_factory=StartTimes)
    share: Callable[[str, str], None] = lambda name, word: None  # what was called, to the other process
    heard: Callable[[HostList], None] = lambda told: None  # what was listed, likewise
    violations: Callable[[], str] = lambda: "none"  # the invariants that were violated, with their counts
    revision: int = 0
    members: dict[ServerId, Member] = field(default_factory=dict)  # those that are listed, as they are told

    def register(self, calls: Calls, ready: Callable[[], bool]) -> None:
        """Add what operators may call."""
        calls.add("HEALTH", (), lambda: self._health(ready()))
        calls.add("VIOLATIONS", (), lambda: self.violations())
        for name, words in (("OFFLINE", ("ID",)), ("ONLINE", ("ID",)), ("LEAVE", ()), ("JOIN", ())):
            calls.add(name, words, lambda word="", name=name: self.called(name, word, shared=True))

    def _health(self, ready: bool) -> str:
        if not ready:
            raise RefusedError("it cannot serve yet")
        out = len(self.maintenance.out)
        return f"{self.presence.stage.value} hosts={len(self.members)} out={out}"

    def called(self, name: str, word: str, shared: bool = False) -> str:
        """Do what was called, here or, if not `shared`, at the other process of this gateway."""
        if name in ("OFFLINE", "ONLINE"):
            said = self._move(name, word)
        elif name == "LEAVE":
            self.presence.leave(self.time())
            said = self.presence.stage.value
        elif self.presence.join():
            said = self.presence.stage.value
        else:
            raise RefusedError("the process is ending")
        if shared:
            self.share(name, word)
        return said

    def _move(self, name: str, host: str) -> str:
        """Take a host out, or put it back."""
        server_id, now = number(host), self.now()
        act = self.maintenance.take_out if name == "OFFLINE" else self.maintenance.put_back
        try:
            changed = act(server_id, now)
        except NoSuchHostError:
            raise RefusedError(f"nobody has the id {host}") from None
        members = tuple(Member(server, self.members[server.id].address) for server in changed)
        if members:
            self.tell(HostList(self.revision, False, members), False)
        return f"{host} {'out' if name == 'OFFLINE' else 'in'}"

    def adopt(
        self,
        out: Mapping[ServerId, int],
        back: Mapping[ServerId, int],
        starts: Mapping[ServerId, StartAge],
        now: int,
    ) -> None:
        """Go on from what another process of this gateway knows, told as ages."""
        self.maintenance.adopt(out, back, now)
        self.starts.adopt(starts, now)

    def others(self, told: HostList) -> None:
        """The other process was told of hosts that stop; of what is newer here it knows nothing."""
        if told.revision > self.revision:
            known = tuple(member for member in told.members if member.server.id in self.members)
            self._follow(HostList(self.revision, False, known), Update.CHANGES, False)

    def listed(self, told: HostList, stale: bool = False) -> None:
        """A list has come: whole, or changes to it; `stale`: the whole one of an earlier process."""
        update = Update.STALE if stale else Update.FULL if told.complete else Update.CHANGES
        self.revision = told.revision
        self.heard(told)
        self._follow(told, update, stale)

    def _follow(self, told: HostList, update: Update, stale: bool) -> None:
        servers = self.starts.localise((member.server for member in told.members), self.now())
        shown = self.maintenance.follow(update, servers)
        if update is not Update.CHANGES:
            self.members = {}
        for member in told.members:
            self.members[member.server.id] = member
        for server_id in [server_id for server_id in self.members if server_id not in self.maintenance.told]:
            del self.members[server_id]
        self.starts.limit(self.members.keys())
        members = tuple(Member(server, m.address) for server, m in zip(shown, told.members, strict=True))
        self.tell(HostList(told.revision, told.complete, members), stale)
