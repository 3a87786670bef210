"""A small fleet in simulated time: gateways, servers and clients.

Servers queue requests for their cores, hold each for a further wait time, pause, fail fast, go silent, and
slow down under overload until they have been nearly idle for a while. Each gateway runs a real `Balancer`.
The fleet carries out its actions as the host program would, and counts violations of the rules: a second
answer or none, an effect that runs twice, a send to a server that is not ready. Work goes on at the server
after a cancel. Clients retry only after a refusal, or after a failure if the request is safe to repeat. The
seed determines everything.

It is for tests of the decisions under settings that they were not tuned for. It does not predict figures of
any deployment.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random
from typing import Protocol

from standins.coldstart import ColdLoad, Warmup
from whinrouter.balance import Balancer
from whinrouter.interface import (
    MS,
    SECOND,
    Action,
    AttemptEnded,
    Cancel,
    Effect,
    Event,
    Fail,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Send,
    Server,
    ServerList,
    SetTimer,
    Settings,
    State,
    TimerFired,
    Update,
)

NETWORK_DELAY = MS // 2  # one way, between a gateway and a server of its zone
FAST_FAILURE_DELAY = MS  # a server that fails fast answers within this


@dataclass(frozen=True)
class RequestKind:
    """A class of requests and its share of the arrivals."""

    request_class: RequestClass
    share: float
    core_time: int  # mean of an exponential distribution, in microseconds on a core of speed 1
    wait_time: int = 0  # mean of the further wait without a core, exponential, in microseconds


@dataclass(frozen=True)
class Fault:
    """A fault of some servers. Times are in microseconds since the start of the run."""

    starts_at: int
    ends_at: int
    servers: frozenset[int]
    error_share: float = 0.0  # share of requests that fail fast
    is_silent: bool = False
    pause: int = 0  # length of a pause, in microseconds; one starts every `pause_interval`
    pause_interval: int = SECOND


@dataclass(frozen=True)
class Burst:
    """A multiple of the load from one moment to another, in microseconds since the start of the run."""

    starts_at: int
    ends_at: int
    factor: float


@dataclass
class Machine:
    """One server, which slows down under overload. Times are in microseconds.

    It becomes overloaded once it has held more than `overload_threshold` requests per core for
    `overload_delay`. Then its work takes `slowdown` times as long, until the server has been nearly idle for
    `recovery_time`.
    """

    id: int
    zone: str
    cores: int
    speed: float = 1.0
    overload_threshold: float = 0.0  # 0: it is never overloaded
    overload_delay: int = 2 * SECOND
    slowdown: float = 2.5
    recovery_time: int = 3 * SECOND
    cores_free_at: list[int] = field(default_factory=list)
    in_flight: int = 0
    started_at: int = 0  # moment of the last restart; 0: long ago
    warmup: Warmup | None = None  # None: it has its full capacity at once
    is_overloaded: bool = False
    condition_since: int | None = None  # since when the condition for the other state holds

    def __post_init__(self) -> None:
        self.cores_free_at = [0] * self.cores

    def update_overload(self, now: int) -> None:
        """Become overloaded, or recover, if the condition has held for long enough; called at each change."""
        if not self.overload_threshold:
            return
        if not (
            self.in_flight < 0.4 * self.cores
            if self.is_overloaded
            else self.in_flight > self.overload_threshold * self.cores
        ):
            self.condition_since = None
        elif self.condition_since is None:
            self.condition_since = now
        elif now - self.condition_since >= (
            self.recovery_time if self.is_overloaded else self.overload_delay
        ):
            self.is_overloaded, self.condition_since = not self.is_overloaded, None

    def process(self, now: int, core_time: float, wait_time: float, faults: Sequence[Fault]) -> int:
        """Occupy a core and return the moment at which the answer is ready."""
        finished_at = max(now, heapq.heappop(self.cores_free_at))
        capacity_share = self.warmup.capacity_share(self.started_at, now) if self.warmup is not None else 1.0
        remaining = round(
            core_time / (self.speed * capacity_share) * (self.slowdown if self.is_overloaded else 1)
        )
        while remaining > 0:
            finished_at = max(
                [self._resume_time(fault, finished_at) for fault in faults], default=finished_at
            )
            running_time = min(
                [self._next_pause(fault, finished_at) - finished_at for fault in faults], default=remaining
            )
            finished_at, remaining = finished_at + min(remaining, running_time), remaining - running_time
        heapq.heappush(self.cores_free_at, finished_at)
        return finished_at + round(wait_time)

    def _pause_phase(self, fault: Fault, time: int) -> int:
        """Return the time since the start of the pause interval; each server has its own phase."""
        return (time - fault.starts_at + self.id * fault.pause_interval // 7) % fault.pause_interval

    def _resume_time(self, fault: Fault, time: int) -> int:
        """Return the end of the pause at a moment, or the moment itself outside of a pause."""
        return time + max(0, fault.pause - self._pause_phase(fault, time)) if time < fault.ends_at else time

    def _next_pause(self, fault: Fault, time: int) -> int:
        """Return the start of the next pause."""
        return time + fault.pause_interval - self._pause_phase(fault, time)


def make_machines(
    count: int, cores: Sequence[int], speeds: Sequence[float] = (1.0,), overload_threshold: float = 0.0
) -> list[Machine]:
    """Create machines alternately in two zones; numbers of cores and speeds are assigned in turn."""
    return [
        Machine(
            machine_id,
            "ab"[machine_id % 2],
            cores[machine_id % len(cores)],
            speeds[machine_id % len(speeds)],
            overload_threshold=overload_threshold,
        )
        for machine_id in range(1, count + 1)
    ]


@dataclass
class ClientRequest:
    """A client's request as one gateway gets it; a retry of the client is another one."""

    kind: RequestKind
    arrived_at: int
    deadline: int
    key: int
    core_time: float
    wait_time: float
    attempts: list[AttemptRecord] = field(default_factory=list)
    answers: list[str] = field(default_factory=list)
    answered_at: int = 0


@dataclass
class AttemptRecord:
    """An attempt of a request at one server."""

    server: int
    sent_at: int
    has_ended: bool = False


class DecisionModule(Protocol):
    """The interface of `Balancer` that a gateway uses."""

    def handle(self, event: Event, now: int) -> list[Action]: ...


class Gateway:
    """A balancer, and the host program that carries out its actions."""

    def __init__(self, fleet: Fleet, settings: Settings, seed: int) -> None:
        self._fleet = fleet
        self._settings = settings
        self._listed_states: dict[int, State] = {}
        self._requests: dict[int, ClientRequest] = {}
        self.balancer: DecisionModule = Balancer(settings, seed)

    def list_servers(self, servers: Sequence[Server]) -> None:
        """Pass a full list of servers to the balancer."""
        self._listed_states = {server.id: server.state for server in servers}
        self._handle_event(ServerList(Update.FULL, tuple(servers)))

    def submit(self, number: int, request: ClientRequest) -> None:
        """Pass a client's request to the balancer."""
        self._requests[number] = request
        self._fleet.schedule(request.deadline, lambda: self._expire_request(number))
        name = request.kind.request_class.name
        self._handle_event(Request(number, name, request.deadline - self._fleet.now, key=str(request.key)))

    def _handle_event(self, event: Event) -> None:
        for action in self.balancer.handle(event, self._fleet.now):
            self._execute_action(action)

    def _execute_action(self, action: Action) -> None:
        if isinstance(action, Send):
            self._send_attempt(action)
        elif isinstance(action, Refuse | Fail):
            self._record_answer(
                self._requests[action.request], "refused" if isinstance(action, Refuse) else "failed"
            )
        elif isinstance(action, SetTimer):
            token = action.token
            self._fleet.schedule(
                self._fleet.now + action.delay, lambda: self._handle_event(TimerFired(token))
            )
        elif isinstance(action, Cancel):
            number, attempt = action.request, action.attempt
            self._fleet.schedule(
                self._fleet.now, lambda: self._end_attempt(number, attempt, Outcome.CANCELLED)
            )

    def _send_attempt(self, action: Send) -> None:
        fleet, number = self._fleet, action.request
        request = self._requests[number]
        attempt = len(request.attempts)
        request.attempts.append(AttemptRecord(action.server, fleet.now))
        fleet.count_violation("send after its answer", bool(request.answers))
        fleet.count_violation(
            "send to a server that is not ready", self._listed_states.get(action.server) is not State.READY
        )
        fleet.count_violation("send past the deadline", fleet.now >= request.deadline)
        fleet.send_attempt(
            self._settings.zone,
            request,
            action.server,
            lambda outcome: self._end_attempt(number, attempt, outcome),
        )

    def _end_attempt(self, number: int, attempt: int, outcome: Outcome) -> None:
        request = self._requests.get(number)
        if request is None or request.attempts[attempt].has_ended:
            return
        record = request.attempts[attempt]
        record.has_ended = True
        if outcome is Outcome.OK and not request.answers:
            self._record_answer(request, "served")
        latency, answered = self._fleet.now - record.sent_at, bool(request.answers)
        self._handle_event(AttemptEnded(number, attempt, record.server, outcome, latency, answered))
        if request.answers and all(each.has_ended for each in request.attempts):
            self._requests.pop(number, None)

    def _record_answer(self, request: ClientRequest, answer: str) -> None:
        self._fleet.count_violation("second answer", bool(request.answers))
        request.answers.append(answer)
        request.answered_at = self._fleet.now

    def _expire_request(self, number: int) -> None:
        """Time out the running attempts at the client's deadline, so that the balancer gives its answer."""
        request = self._requests.get(number)
        if request is None:
            return
        for attempt, record in enumerate(request.attempts):
            if not record.has_ended:
                self._end_attempt(number, attempt, Outcome.TIMEOUT)
        self._requests.pop(number, None)


@dataclass
class Fleet:
    """The fleet and its clients. `load` is the share of all cores' capacity that first tries need."""

    machines: Sequence[Machine]
    request_kinds: Sequence[RequestKind]
    gateway_count: int
    load: float
    faults: Sequence[Fault] = ()
    retries: int = 1  # a client's retries, 100 ms after a refusal or failure, within the deadline
    zones: Sequence[str] = ("a",)
    cross_zone_delay: int = 2 * MS  # one way, between a gateway and a server of another zone
    warmup: Warmup | None = None
    bursts: Sequence[Burst] = ()
    seed: int = 1
    now: int = 0
    violations: Counter[str] = field(default_factory=Counter)
    cold_loads: list[ColdLoad] = field(default_factory=list)  # one for each restarted server
    client_requests: list[list[ClientRequest]] = field(default_factory=list)  # each with its retries

    def __post_init__(self) -> None:
        self._random = Random(self.seed)
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._ids = itertools.count(1)
        self._by_id = {machine.id: machine for machine in self.machines}
        self._unanswered: dict[int, dict[int, Callable[[Outcome], None]]] = {}  # by server, then by work id
        self._executions: dict[int, list[tuple[str, int]]] = {}  # by key, the zone and moment of each
        self._cold_by_server: dict[int, ColdLoad] = {}
        total_share = sum(kind.share for kind in self.request_kinds)
        self._mean_work = sum(kind.share * kind.core_time for kind in self.request_kinds) / total_share
        request_classes = tuple(kind.request_class for kind in self.request_kinds)
        self.gateways = [
            Gateway(self, self._settings(request_classes, rank), self.seed * 1000 + rank)
            for rank in range(self.gateway_count)
        ]

    def _settings(self, request_classes: tuple[RequestClass, ...], rank: int) -> Settings:
        zone = self.zones[rank % len(self.zones)]
        settings = Settings(
            request_classes, zone, self.gateway_count, rank, max_attempts=4, may_hedge=True, may_cancel=True,
        )  # fmt: skip
        if self.warmup is None:
            return settings
        warmup = self.warmup
        return replace(
            settings,
            cold_share=warmup.announced_share,
            ramp_time=warmup.ramp_time,
            cold_overload_multiple=warmup.overload_multiple,
            cold_overload_window=warmup.overload_window,
        )

    def schedule(self, due: int, callback: Callable[[], None]) -> None:
        """Call `callback` at the moment `due` of simulated time."""
        heapq.heappush(self._events, (due, next(self._order), callback))

    def count_violation(self, rule: str, is_broken: bool) -> None:
        """Count a violation of a rule, if it is broken."""
        if is_broken:
            self.violations[rule] += 1

    def list_servers(self, leaving: frozenset[int] = frozenset()) -> None:
        """Pass the list of servers to all gateways; those in `leaving` drain."""
        servers = [
            Server(
                each.id,
                State.DRAINING if each.id in leaving else State.READY,
                each.zone,
                started_at=each.started_at,
            )
            for each in self.machines
        ]
        for gateway in self.gateways:
            gateway.list_servers(servers)

    def restart(self, server: int) -> None:
        """Restart a server: its requests have run, their answers are lost, its zone remembers their keys."""
        old = self._by_id[server]
        new = self._by_id[server] = Machine(
            server,
            old.zone,
            old.cores,
            old.speed,
            old.overload_threshold,
            started_at=self.now,
            warmup=self.warmup,
        )
        if self.warmup is not None:
            load = ColdLoad(self.warmup, new.cores * new.speed / self._mean_work, self._mean_work)
            self._cold_by_server[server] = load
            self.cold_loads.append(load)
        self.machines = [new if each is old else each for each in self.machines]
        for end in self._unanswered.pop(server, {}).values():
            self.schedule(self.now + NETWORK_DELAY, partial(end, Outcome.RESET))
        self.list_servers()

    def run(self, until: int) -> None:
        """Let requests arrive until the moment `until`, and run until no event is left."""
        self.list_servers()
        rate = self.load * sum(each.cores * each.speed for each in self.machines) / self._mean_work
        arrives = 0.0
        while (arrives := arrives + self._random.expovariate(rate * self._load_factor(arrives))) < until:
            self.schedule(round(arrives), self._on_arrival)
        while self._events:
            self.now, _, callback = heapq.heappop(self._events)
            callback()

    def _load_factor(self, at: float) -> float:
        return next((burst.factor for burst in self.bursts if burst.starts_at <= at < burst.ends_at), 1.0)

    def _on_arrival(self) -> None:
        kind = self._random.choices(self.request_kinds, [each.share for each in self.request_kinds])[0]
        core_time, wait_time = (
            self._random.expovariate(1 / mean) if mean else 0.0 for mean in (kind.core_time, kind.wait_time)
        )
        first = ClientRequest(
            kind, self.now, self.now + kind.request_class.deadline, next(self._ids), core_time, wait_time
        )
        submissions = [first]
        self.client_requests.append(submissions)
        self._submit(first, submissions)

    def _submit(self, request: ClientRequest, submissions: list[ClientRequest]) -> None:
        gateway = self._random.choice(self.gateways)
        gateway.submit(next(self._ids), request)
        self.schedule(
            request.deadline, lambda: self.count_violation("no answer in time", not request.answers)
        )
        if len(submissions) <= self.retries:
            self.schedule(self.now + 100 * MS, lambda: self._retry(request, submissions))

    def _retry(self, request: ClientRequest, submissions: list[ClientRequest]) -> None:
        """Send a client's retry, with the same key, if its request was refused or failed safely."""
        if not request.answers or request.answers[0] == "served" or self.now >= request.deadline:
            return
        if request.answers[0] == "failed" and request.kind.request_class.effect is not Effect.IDEMPOTENT:
            return
        retry_request = ClientRequest(
            request.kind, self.now, request.deadline, request.key, request.core_time, request.wait_time
        )
        submissions.append(retry_request)
        self._submit(retry_request, submissions)

    def send_attempt(
        self, zone: str, request: ClientRequest, server: int, end: Callable[[Outcome], None]
    ) -> None:
        """Send an attempt to a server; `end` is called with its outcome."""
        machine = self._by_id[server]
        delay = NETWORK_DELAY if machine.zone == zone else self.cross_zone_delay
        self.schedule(self.now + delay, lambda: self._reach_server(machine, request, delay, end))

    def _reach_server(
        self, machine: Machine, request: ClientRequest, delay: int, end: Callable[[Outcome], None]
    ) -> None:
        if machine.id in self._cold_by_server:
            self._cold_by_server[machine.id].record(request.core_time, machine.started_at, self.now)
        active_faults = [
            fault
            for fault in self.faults
            if fault.starts_at <= self.now < fault.ends_at and machine.id in fault.servers
        ]
        if any(self._random.random() < fault.error_share for fault in active_faults):
            self.schedule(self.now + FAST_FAILURE_DELAY + delay, lambda: end(Outcome.ERROR))
            return
        self._run_request(machine, request)
        if any(fault.is_silent for fault in active_faults):
            return
        machine.update_overload(self.now)  # it may have recovered by now
        machine.in_flight += 1
        machine.update_overload(self.now)
        finished_at = machine.process(
            self.now, request.core_time, request.wait_time, [fault for fault in active_faults if fault.pause]
        )
        work_id = next(self._ids)
        self._unanswered.setdefault(machine.id, {})[work_id] = end
        self.schedule(finished_at, lambda: self._complete(machine, work_id, delay))

    def _complete(self, machine: Machine, work_id: int, delay: int) -> None:
        if self._by_id[machine.id] is not machine:  # it has restarted since, and its work is lost
            return
        machine.in_flight -= 1
        machine.update_overload(self.now)
        self.schedule(self.now + delay, partial(self._unanswered[machine.id].pop(work_id), Outcome.OK))

    def _run_request(self, machine: Machine, request: ClientRequest) -> None:
        """Run a request, unless its key's group drops it as a repeat; count an effect that runs twice."""
        kind, executions = request.kind.request_class, self._executions.setdefault(request.key, [])
        fresh = [zone for zone, at in executions if self.now < at + max(kind.dedup_window, 1)]
        if kind.effect is Effect.KEYED and machine.zone in fresh:
            return
        self.count_violation("effect ran twice", bool(executions) and kind.effect is not Effect.IDEMPOTENT)
        executions.append((machine.zone, self.now))

    def goodput(self, start: int, end: int) -> float:
        """Return the share of the clients' requests of that time that were served within their aim."""
        submissions = [each for each in self.client_requests if start <= each[0].arrived_at < end]
        return sum(self._in_time(each) for each in submissions) / max(1, len(submissions))

    def _in_time(self, submissions: Sequence[ClientRequest]) -> bool:
        due = submissions[0].arrived_at + submissions[0].kind.request_class.aim
        return any(each.answers[:1] == ["served"] and each.answered_at <= due for each in submissions)

    def overloaded_count(self) -> int:
        """Return the number of overloaded servers."""
        return sum(machine.is_overloaded for machine in self.machines)
