"""Operators' calls on a running gateway: hosts taken out, the gateway drained, health and violations.

Each process has one `OperationsController`, which holds the state of maintenance and of presence. It passes
host lists from their source to the driver, so that a host that is out stays out whatever is listed. While two
processes are one gateway (an upgrade), a call at one of them is sent to the other, which carries it out
without sending it back. The controller does no I/O: it is given clocks and functions to call.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from whinrouter.control.calls import CallRefusedError, CallRegistry
from whinrouter.interface import ServerId, Update
from whinrouter.membership.replaced_hosts import with_replaced_hosts
from whinrouter.membership.start_times import StartAge, StartTimes
from whinrouter.net.hosts import HostList, Member, hashed_server_id
from whinrouter.operations.maintenance import Maintenance, UnknownHostError
from whinrouter.operations.presence import Presence


@dataclass(slots=True)
class OperationsController:
    """The state that operators change in one process, and the calls that change it."""

    now: Callable[[], int]  # microseconds of the decision module's clock
    loop_time: Callable[[], float]  # seconds of the event loop's clock, for `presence`
    deliver: Callable[[HostList, bool], None]  # passes a list to the driver; True: it is stale
    presence: Presence
    maintenance: Maintenance = field(default_factory=Maintenance)
    start_times: StartTimes = field(default_factory=StartTimes)
    share_call: Callable[[str, str], None] = lambda name, argument: None  # sends a call to the other process
    share_list: Callable[[HostList], None] = lambda host_list: None  # sends a list to the other process
    violation_summary: Callable[[], str] = lambda: "none"  # the violated invariants, with their counts
    revision: int = 0  # of the latest list
    members: dict[ServerId, Member] = field(default_factory=dict)  # the listed hosts, as discovery has them

    def register_calls(self, calls: CallRegistry, is_ready: Callable[[], bool]) -> None:
        """Add the operators' calls to the registry."""
        calls.add("HEALTH", (), lambda: self._health(is_ready()))
        calls.add("VIOLATIONS", (), lambda: self.violation_summary())
        for name, argument_names in (("OFFLINE", ("ID",)), ("ONLINE", ("ID",)), ("LEAVE", ()), ("JOIN", ())):
            calls.add(
                name,
                argument_names,
                lambda argument="", name=name: self.execute(name, argument, notify_peer=True),
            )

    def _health(self, is_ready: bool) -> str:
        if not is_ready:
            raise CallRefusedError("it cannot serve yet")
        out_count = len(self.maintenance.taken_out_at)
        return f"{self.presence.stage.value} hosts={len(self.members)} out={out_count}"

    def execute(self, name: str, argument: str, notify_peer: bool = False) -> str:
        """Carry out a call and return the answer's text; CallRefusedError if it can't be carried out now.

        `notify_peer`: the call was made at this process, so it is sent to the other process too.
        """
        if name in ("OFFLINE", "ONLINE"):
            answer = self._take_out_or_put_back(name, argument)
        elif name == "LEAVE":
            self.presence.leave(self.loop_time())
            answer = self.presence.stage.value
        elif self.presence.join():
            answer = self.presence.stage.value
        else:
            raise CallRefusedError("the process is ending")
        if notify_peer:
            self.share_call(name, argument)
        return answer

    def execute_for_peer(self, name: str, argument: str) -> None:
        """Carry out a call that the other process has answered, so that it holds here as well.

        A host that is not listed here yet is taken out all the same; one to be put back that is not out needs
        nothing. CallRefusedError if the call can't hold here.
        """
        if name == "OFFLINE":
            self._take_out_or_put_back(name, argument, must_be_listed=False)
        elif name != "ONLINE" or hashed_server_id(argument) in self.maintenance.taken_out_at:
            self.execute(name, argument)

    def _take_out_or_put_back(self, name: str, host_id: str, must_be_listed: bool = True) -> str:
        """Carry out OFFLINE or ONLINE for a host, by its id in discovery."""
        server_id, now = hashed_server_id(host_id), self.now()
        try:
            if name == "OFFLINE":
                changed = self.maintenance.take_out(server_id, now, must_be_listed)
            else:
                changed = self.maintenance.put_back(server_id, now)
        except UnknownHostError:
            raise CallRefusedError(f"nobody has the id {host_id}") from None
        members = tuple(Member(server, self.members[server.id].address) for server in changed)
        if members:
            self.deliver(HostList(self.revision, False, members), False)
        return f"{host_id} {'out' if name == 'OFFLINE' else 'in'}"

    def restore(
        self,
        out_ages: Mapping[ServerId, int],
        put_back_ages: Mapping[ServerId, int],
        start_ages: Mapping[ServerId, StartAge],
        now: int,
    ) -> None:
        """Take over the state of another process of this gateway, given as ages in microseconds."""
        self.maintenance.restore(out_ages, put_back_ages, now)
        self.start_times.adopt(start_ages, now)

    def apply_peer_stops(self, host_list: HostList) -> None:
        """Apply the other process's draining and gone hosts, if its list is newer than the one here."""
        if host_list.revision > self.revision:
            known_members = tuple(member for member in host_list.members if member.server.id in self.members)
            self._apply(HostList(self.revision, False, known_members), Update.CHANGES, False)

    def apply_list(self, host_list: HostList, is_stale: bool = False) -> None:
        """Apply a list, whole or of changes; `is_stale`: a whole list from before this process started."""
        update = Update.STALE if is_stale else Update.FULL if host_list.complete else Update.CHANGES
        self.revision = host_list.revision
        self.share_list(host_list)
        self._apply(host_list, update, is_stale)

    def _apply(self, host_list: HostList, update: Update, is_stale: bool) -> None:
        host_list = with_replaced_hosts(host_list, self.members, update is not Update.CHANGES)
        servers = self.start_times.localise((member.server for member in host_list.members), self.now())
        effective_servers = self.maintenance.apply(update, servers)
        if update is not Update.CHANGES:
            self.members = {}
        for member in host_list.members:
            self.members[member.server.id] = member
        for server_id in [
            server_id for server_id in self.members if server_id not in self.maintenance.listed
        ]:
            del self.members[server_id]
        self.start_times.trim(self.members.keys())
        members = tuple(
            Member(server, member.address)
            for server, member in zip(effective_servers, host_list.members, strict=True)
        )
        self.deliver(HostList(host_list.revision, host_list.complete, members), is_stale)
