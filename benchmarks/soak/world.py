"""Runs one plan: applies its disruptions to gateways, hosts, links, discovery and clients."""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from benchmarks.soak.clients import Clients
from benchmarks.soak.discovery import STOP_SLACK_SECONDS, Agent, Registry
from benchmarks.soak.fleet import GatewayProcess, Ports
from benchmarks.soak.hosts import COLD_OVERLOAD_WINDOW_SECONDS, Host
from benchmarks.soak.ledger import MAX_STALL_SECONDS, OPERATOR_GRACE_SECONDS, Ledger, Span, Violation
from benchmarks.soak.plan import Plan
from benchmarks.soak.sockets import listening_socket
from standins import faults

REQUEST_RATE = 130.0  # per second, of all clients together
ZONES = ("a", "b")
HEALTH_CHECK_INTERVAL_SECONDS = 0.25
LAG_CHECK_INTERVAL_SECONDS = 0.02
MAX_LAG_SECONDS = 0.2  # a result is void if the simulation ran later than this
ACTION_INTERVAL_SECONDS = 0.7  # longest time between two actions of a disruption
IDLE_CONNECTIONS = 500  # clients get half of 1,024 descriptors less the reserved ones
SETTLE_SECONDS = 3.0  # between the last request and the end
_ADMITTED = re.compile(r"event .* request (\d+) attempt 0: admitted \((\w+)\)")
_INVARIANT_VIOLATED = re.compile(rb"invariant ([a-z-]+) violated by request .*")


@dataclass(frozen=True, slots=True)
class Result:
    """The violations and the counts of a soak."""

    plan: Plan
    outside: list[Violation]  # found by the ledger
    inside: list[str]  # lines in the gateways' logs that report a violation
    traces: list[str]  # logged events of the requests in `outside`
    requests: int
    attempts: int
    served: int
    refused: int
    not_accepted: int
    actions: int
    lag: float  # seconds by which the simulation ran late at most

    @property
    def is_valid(self) -> bool:
        """Whether the simulation ran on time."""
        return self.lag <= MAX_LAG_SECONDS


class World:
    """The simulated environment of the gateways, and the gateways themselves."""

    def __init__(self, plan: Plan, folder: Path, tree: Path) -> None:
        self.plan, self._folder = plan, folder
        self._random = Random(plan.seed * 7919 + 1)
        self._started_at = time.monotonic()
        self.ledger = Ledger(COLD_OVERLOAD_WINDOW_SECONDS)
        self.registry = Registry(self.ledger, self.now)
        self.clients = Clients(self.ledger, self._random, self.now, self.is_active)
        self.hosts: list[Host] = []
        self.gateways: list[GatewayProcess] = []
        self._next_host = 0
        self._ports = Ports()
        self._tree = tree
        self._tasks: set[asyncio.Task[Any]] = set()
        self.actions = 0

    def now(self) -> float:
        """Return the seconds since the start of the soak."""
        return time.monotonic() - self._started_at

    def is_active(self, kind: str) -> bool:
        """Return whether a disruption of this kind is in progress."""
        return self.plan.is_active(kind, self.now())

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _add_host(self, is_cold: bool) -> None:
        """Add a ready host, which is warm or has just started."""
        started_at = self.now() if is_cold else 0.0
        name, self._next_host = f"s-{self._next_host:04x}", self._next_host + 1
        zone = ZONES[self._next_host % len(ZONES)]
        host = Host(name, zone, self.ledger, self._random, self.now, self.is_active, started_at=started_at)
        await host.listen(self.plan.gateways)
        self.hosts.append(host)
        self.registry.set_phase(host, "Ready")

    async def set_up(self) -> None:
        """Start all hosts, discovery agents and gateways, and wait until the gateways are healthy."""
        for _ in range(self.plan.hosts):
            await self._add_host(is_cold=False)
        extra_environment: dict[str, str] = {}
        if self.plan.fault_rates or self.plan.clock_offsets:
            library = faults.build(self._folder)
            extra_environment = faults.environment(
                library, self.plan.fault_rates, self.plan.clock_offsets, seed=self.plan.seed
            )
        for rank in range(self.plan.gateways):
            agent = Agent(self.registry, rank)
            await agent.listen()
            shared_socket = listening_socket() if rank % 2 else None
            self.gateways.append(
                GatewayProcess(
                    rank,
                    self.plan.gateways,
                    self._folder,
                    self._tree,
                    agent,
                    extra_environment,
                    lambda rank: self.clients.waive_waiting(rank, "killed"),
                    self._ports,
                    shared_socket,
                    has_signals=lambda: self.is_active("signals"),
                )
            )
        for gateway in self.gateways:
            await gateway.start()
        await asyncio.gather(*(self._await_ready(gateway) for gateway in self.gateways))

    async def _await_ready(self, gateway: GatewayProcess) -> None:
        if not await gateway.wait_until_healthy(30.0):
            self.ledger.immediate_violations.append(
                Violation("start", "", f"gateway {gateway.rank} was not ready within 30 s")
            )

    async def run(self) -> None:
        """Run the soak from the first request until the last process has ended."""
        self._started_at = time.monotonic()
        coroutines = [self._measure_lag(), self._check_health(), self._generate_requests()]
        for kind, action in self._actions().items():
            if any(disruption.kind == kind for disruption in self.plan.disruptions):
                coroutines.append(self._disrupt(kind, action))
        tasks = [asyncio.get_running_loop().create_task(coroutine) for coroutine in coroutines]
        await asyncio.sleep(self.plan.seconds)
        for gateway in self.gateways:
            gateway.is_up = False
        await asyncio.sleep(SETTLE_SECONDS)
        for task in tasks:
            task.cancel()
        for gateway in self.gateways:
            gateway.log_events()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=STOP_SLACK_SECONDS + 10.0)
        await asyncio.gather(*(gateway.stop() for gateway in self.gateways))
        for gateway in self.gateways:
            self.ledger.immediate_violations.extend(gateway.violations)
            gateway.agent.close()
        for host in self.hosts:
            host.close()

    async def _measure_lag(self) -> None:
        """Record by how much the event loop runs late at most."""
        while True:
            due = time.monotonic() + LAG_CHECK_INTERVAL_SECONDS
            await asyncio.sleep(LAG_CHECK_INTERVAL_SECONDS)
            self.ledger.max_lag = max(self.ledger.max_lag, time.monotonic() - due)

    async def _check_health(self) -> None:
        """Poll each gateway's `GET /up`, as the load balancer in front of the gateways does."""
        while True:
            await asyncio.gather(*(self._check_up(gateway) for gateway in self.gateways))
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_SECONDS)

    async def _check_up(self, gateway: GatewayProcess) -> None:
        """Record whether the gateway answers `GET /up` with 200."""
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: api\r\nConnection: close\r\n\r\n")
                gateway.is_up = b" 200 " in await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            gateway.is_up = False

    async def _generate_requests(self) -> None:
        """Send requests at random intervals in an open loop; a refused client does not retry."""
        while self.now() < self.plan.seconds:
            rate = REQUEST_RATE * (3.0 if self.is_active("burst") else 1.0)
            await asyncio.sleep(self._random.expovariate(rate))
            candidates = [gateway for gateway in self.gateways if self._may_send_to(gateway)]
            if not candidates:
                continue
            gateway = self._random.choice(candidates)
            if gateway.is_up and self.is_active("bad-clients") and self._random.random() < 0.1:
                self._spawn(self.clients.send_malformed(gateway.rank, gateway.port, self._was_disrupted))
            else:
                self._spawn(self.clients.send_request(gateway.rank, gateway.port))

    def _may_send_to(self, gateway: GatewayProcess) -> bool:
        """Return whether clients use a gateway: while it is up, then over idle connections until its end."""
        return gateway.is_up or (gateway.is_ending and self.clients.has_idle_connection(gateway.rank))

    def _was_disrupted(self, rank: int, since: float) -> bool:
        """Return whether a gateway was ended or paused, which waives its limits for a malformed request."""
        gateway = self.gateways[rank]
        was_frozen = any(span.until > since for span in self.ledger.frozen_spans[rank])
        return was_frozen or gateway.is_busy or not gateway.is_up

    async def _disrupt(self, kind: str, action: Callable[[], Awaitable[None]]) -> None:
        """Start the action at random intervals whenever its kind of disruption is active."""
        while True:
            await asyncio.sleep(self._random.uniform(0.3, 1.0) * ACTION_INTERVAL_SECONDS)
            if self.is_active(kind):
                self.actions += 1
                self._spawn(self._run_action(action))

    async def _run_action(self, action: Callable[[], Awaitable[None]]) -> None:
        await action()

    def _actions(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the actions of those kinds of disruption that World itself performs."""
        return {
            "stop": self._stop,
            "kill": self._kill,
            "upgrade": self._upgrade,
            "reload": self._reload,
            "pause": lambda: self._pause(self._random.uniform(0.02, MAX_STALL_SECONDS)),
            "freeze": lambda: self._pause(self._random.uniform(0.3, 1.2)),
            "drain": self._drain,
            "hang": lambda: self._set_mode("hang", self._random.uniform(0.5, 4.0)),
            "fail": lambda: self._set_mode(self._random.choice(["fail", "refuse"]), 2.0),
            "crash": self._crash,
            "no-connect": self._refuse_connections,
            "silence": self._silence_watches,
            "watches": self._reset_watches,
            "calls": self._make_operator_call,
            "crowd": self._hold_idle_connections,
        }

    def _choose_gateway(self, has_shared_socket: bool | None = None) -> GatewayProcess | None:
        """Return an unreserved gateway that is up; None if there is none or over a third are reserved."""
        free = [
            gateway
            for gateway in self.gateways
            if not gateway.is_busy
            and gateway.is_up
            and has_shared_socket in (None, gateway.shared_socket is not None)
        ]
        if 3 * sum(gateway.is_busy for gateway in self.gateways) > len(self.gateways) or not free:
            return None
        return self._random.choice(free)

    async def _stop(self) -> None:
        """Restart a gateway by SIGTERM; its next process starts without any state."""
        gateway = self._choose_gateway(has_shared_socket=False)
        if gateway is None:
            return
        gateway.is_busy = True
        await gateway.stop()
        self._forget_calls(gateway.rank)
        await gateway.start()
        await self._await_ready(gateway)
        gateway.is_busy = False

    async def _kill(self) -> None:
        """Restart a gateway by SIGKILL after a short outage."""
        gateway = self._choose_gateway(has_shared_socket=False)
        if gateway is None:
            return
        gateway.is_busy = True
        gateway.kill()
        self._forget_calls(gateway.rank)
        await asyncio.sleep(self._random.uniform(0.0, 0.5))
        await gateway.start()
        await self._await_ready(gateway)
        gateway.is_busy = False

    async def _upgrade(self) -> None:
        gateway = self._choose_gateway(has_shared_socket=True)
        if gateway is None:
            return
        gateway.is_busy = True
        await gateway.upgrade()
        gateway.is_busy = False

    async def _reload(self) -> None:
        gateway = self._choose_gateway()
        if gateway is None:
            return
        gateway.is_busy = True
        for _ in range(self._random.randint(1, 2)):
            await gateway.reload(self._random.choice([2, 4]))
        gateway.is_busy = False

    async def _pause(self, seconds: float) -> None:
        """Pause any gateway, even a reserved one, so that a pause overlaps stops, upgrades and reloads."""
        gateway = self._random.choice(self.gateways)
        if seconds > MAX_STALL_SECONDS:
            now = self.now()
            self.ledger.frozen_spans[gateway.rank].append(Span(now, now + seconds + 1.5))
        await gateway.pause(seconds)

    def _choose_host(self) -> Host | None:
        """Return a host that serves; None if not more than half of the planned number do."""
        ready = [host for host in self.hosts if self.registry.hosts[host.name][1] == "Ready"]
        serving = [host for host in ready if host.mode == "serve"]
        return self._random.choice(serving) if 2 * len(serving) > self.plan.hosts else None

    async def _drain(self) -> None:
        """Drain a host, remove it, and add a cold one."""
        host = self._choose_host()
        if host is None:
            return
        self.registry.set_phase(host, "Terminating")
        await asyncio.sleep(self._random.uniform(0.5, 4.0))
        self.registry.set_phase(host, "Gone")
        await self._add_host(is_cold=True)

    async def _set_mode(self, mode: str, seconds: float) -> None:
        """Put a host into a mode for a time."""
        host = self._choose_host()
        if host is None:
            return
        host.mode = mode
        await asyncio.sleep(seconds)
        host.mode = "serve"

    async def _crash(self) -> None:
        """Reset all connections of a host, refuse for a time, and restart it cold with the same id."""
        host = self._choose_host()
        if host is None:
            return
        host.mode = "refuse"
        host.reset_all()
        await asyncio.sleep(self._random.uniform(0.1, 1.0))
        host.started_at, host.mode = self.now(), "serve"
        self.registry.set_phase(host, "Ready")

    async def _refuse_connections(self) -> None:
        host = self._choose_host()
        if host is None:
            return
        host.refuses_connections = True
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        host.refuses_connections = False

    async def _hold_idle_connections(self) -> None:
        gateway = self._random.choice(self.gateways)
        if gateway.is_up:
            await self.clients.hold_idle_connections(
                gateway.port, IDLE_CONNECTIONS, self._random.uniform(0.5, 3.0)
            )

    async def _silence_watches(self) -> None:
        self._random.choice(self.gateways).agent.fall_silent()

    async def _reset_watches(self) -> None:
        for gateway in self._random.sample(self.gateways, len(self.gateways) // 2):
            gateway.agent.reset()

    async def _make_operator_call(self) -> None:
        """Take a host offline, or make a gateway leave and join again."""
        gateway = self._choose_gateway()
        if gateway is None:
            return
        if self._random.random() < 0.7:
            await self._take_host_offline(gateway)  # not reserved: it may be upgraded meanwhile
            return
        gateway.is_busy = True
        if (await gateway.call("LEAVE")).startswith("+OK"):
            await asyncio.sleep(self._random.uniform(0.5, 3.0))
            await gateway.call("JOIN")
        gateway.is_busy = False

    async def _take_host_offline(self, gateway: GatewayProcess) -> None:
        """Take a host offline at one gateway for a time, by the OFFLINE and ONLINE calls."""
        host = self._choose_host()
        if host is None or not (await gateway.call(f"OFFLINE {host.name}")).startswith("+OK"):
            return
        started_at, start_count = host.started_at, gateway.start_count
        since = self.now() + OPERATOR_GRACE_SECONDS + STOP_SLACK_SECONDS
        self.ledger.forbid_attempts(gateway.rank, host.name, started_at, since)
        await asyncio.sleep(self._random.uniform(1.5, 5.0))
        if gateway.shared_socket is None and gateway.start_count != start_count:
            return  # the restarted process has no record of the call: see `_forget_calls`
        at = self.now()
        await gateway.call(f"ONLINE {host.name}")
        self.ledger.allow_attempts(gateway.rank, host.name, started_at, at)

    def _forget_calls(self, rank: int) -> None:
        """Allow attempts at all ready hosts again: this gateway's next process starts without any state."""
        for gateway, host, started_at in list(self.ledger.forbidden_spans):
            if gateway == rank and self.registry.hosts[host][1] == "Ready":
                self.ledger.allow_attempts(rank, host, started_at, self.now())

    def logged_violations(self) -> list[str]:
        """Return the violations that the gateways logged, and the first line of each traceback."""
        found = []
        for gateway in self.gateways:
            was_frozen = bool(self.ledger.frozen_spans[gateway.rank])
            for line in gateway.log.read_bytes().splitlines():
                violation = _INVARIANT_VIOLATED.search(line)
                if violation and was_frozen and violation[1] == b"answered-in-time":
                    continue  # the process was paused for longer than it is required to tolerate
                if violation or line.startswith(b"Traceback"):
                    found.append(f"gateway {gateway.rank}: {line.decode(errors='replace')}")
        return found

    def logged_events(self, violations: list[Violation]) -> list[str]:
        """Return the events that the gateways logged for the violating requests, as far as they are kept."""
        found = []
        names = {violation.request for violation in violations if violation.request}
        for gateway in self.gateways:
            lines = gateway.log.read_text(errors="replace").splitlines()
            for line in lines:
                admitted = _ADMITTED.search(line)
                if admitted and admitted[2] in names:
                    prefix = f"request {admitted[1]} attempt"
                    events = [other.partition("INFO ")[2] for other in lines if prefix in other]
                    found.append(f"gateway {gateway.rank}, {admitted[2]}: " + "; ".join(events))
        return found

    def result(self) -> Result:
        """Return the result after `run` has returned."""
        requests, violations = self.ledger.requests.values(), self.ledger.find_violations()
        return Result(
            self.plan,
            violations,
            self.logged_violations(),
            self.logged_events(violations),
            len(requests),
            len(self.ledger.attempts),
            sum(request.status == 200 for request in requests),
            sum(request.status in (429, 503) for request in requests),
            self.clients.not_accepted,
            self.actions,
            self.ledger.max_lag,
        )
