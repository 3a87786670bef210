"""Plays one plan: what the troubles do to gateways, hosts, links, discovery and clients."""

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
from benchmarks.soak.discovery import STOP_SLACK, Agent, Registry
from benchmarks.soak.fleet import GatewayProcess, Ports
from benchmarks.soak.hosts import FALL_TIME, Host
from benchmarks.soak.ledger import HELD_UP, OPERATOR_GRACE, Ledger, Span, Violation
from benchmarks.soak.plan import Plan
from benchmarks.soak.sockets import listening_socket
from standins import faults

RATE = 130.0  # requests a second of all clients together
ZONES = ("a", "b")
UP_EVERY = 0.25  # seconds between looks at who is up
LAG_STEP = 0.02
LAG_BOUND = 0.2  # a player that ran later than this is no judge
ACTS_EVERY = 0.7  # seconds between acts of a trouble
CROWD = 500  # connections: clients have half of 1,024 descriptors less the reserved ones
AFTERWARDS = 3.0  # seconds after the last request
_ADMITTED = re.compile(r"event .* request (\d+) attempt 0: admitted \((\w+)\)")
_INSIDE = re.compile(rb"invariant ([a-z-]+) violated by request .*")


@dataclass(frozen=True, slots=True)
class Result:
    """What a soak found."""

    plan: Plan
    outside: list[Violation]
    inside: list[str]  # the lines of gateways that counted a violation
    traces: list[str]  # the events of requests that were violated outside
    requests: int
    attempts: int
    served: int
    refused: int
    not_taken: int
    acts: int
    lag: float

    @property
    def is_valid(self) -> bool:
        """Whether the player kept up."""
        return self.lag <= LAG_BOUND


class World:
    """Everything of one soak."""

    def __init__(self, plan: Plan, folder: Path, tree: Path) -> None:
        self.plan, self._folder = plan, folder
        self._random = Random(plan.seed * 7919 + 1)
        self._began = time.monotonic()
        self.ledger = Ledger(FALL_TIME)
        self.registry = Registry(self.ledger, self.now)
        self.clients = Clients(self.ledger, self._random, self.now, self.is_on)
        self.hosts: list[Host] = []
        self.gateways: list[GatewayProcess] = []
        self._next_host = 0
        self._ports = Ports()
        self._tree = tree
        self._tasks: set[asyncio.Task[Any]] = set()
        self.acts = 0

    def now(self) -> float:
        return time.monotonic() - self._began

    def is_on(self, kind: str) -> bool:
        return self.plan.of(kind, self.now())

    def _start(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _add_host(self, cold: bool) -> None:
        started = self.now() if cold else 0.0
        name, self._next_host = f"s-{self._next_host:04x}", self._next_host + 1
        zone = ZONES[self._next_host % len(ZONES)]
        host = Host(name, zone, self.ledger, self._random, self.now, self.is_on, started=started)
        await host.listen(self.plan.gateways)
        self.hosts.append(host)
        self.registry.put(host, "Ready")

    async def set_up(self) -> None:
        for _ in range(self.plan.hosts):
            await self._add_host(cold=False)
        extra: dict[str, str] = {}
        if self.plan.faults or self.plan.steps:
            library = faults.build(self._folder)
            extra = faults.environment(library, self.plan.faults, self.plan.steps, seed=self.plan.seed)
        for rank in range(self.plan.gateways):
            agent = Agent(self.registry, rank)
            await agent.listen()
            shared = listening_socket() if rank % 2 else None
            self.gateways.append(
                GatewayProcess(
                    rank,
                    self.plan.gateways,
                    self._folder,
                    self._tree,
                    agent,
                    extra,
                    lambda rank: self.clients.excuse(rank, "killed"),
                    self._ports,
                    shared,
                    has_signals=lambda: self.is_on("signals"),
                )
            )
        for gateway in self.gateways:
            await gateway.start()
        await asyncio.gather(*(self._ready(gateway) for gateway in self.gateways))

    async def _ready(self, gateway: GatewayProcess) -> None:
        if not await gateway.until_healthy(30.0):
            self.ledger.faults.append(Violation("start", "", f"gateway {gateway.rank} is not ready in time"))

    async def play(self) -> None:
        """From the first request to the end of the last process."""
        self._began = time.monotonic()
        watchers = [self._watch_lag(), self._watch_up(), self._arrive()]
        for kind, act in self._acts().items():
            if any(trouble.kind == kind for trouble in self.plan.troubles):
                watchers.append(self._trouble(kind, act))
        tasks = [asyncio.get_running_loop().create_task(work) for work in watchers]
        await asyncio.sleep(self.plan.seconds)
        for gateway in self.gateways:
            gateway.is_up = False
        await asyncio.sleep(AFTERWARDS)
        for task in tasks:
            task.cancel()
        for gateway in self.gateways:
            gateway.write_events()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=STOP_SLACK + 10.0)
        await asyncio.gather(*(gateway.stop() for gateway in self.gateways))
        for gateway in self.gateways:
            self.ledger.faults.extend(gateway.faults)
            gateway.agent.close()
        for host in self.hosts:
            host.close()

    async def _watch_lag(self) -> None:
        while True:
            due = time.monotonic() + LAG_STEP
            await asyncio.sleep(LAG_STEP)
            self.ledger.lag = max(self.ledger.lag, time.monotonic() - due)

    async def _watch_up(self) -> None:
        """The front: it asks every gateway whether clients may come."""
        while True:
            await asyncio.gather(*(self._ask_up(gateway) for gateway in self.gateways))
            await asyncio.sleep(UP_EVERY)

    async def _ask_up(self, gateway: GatewayProcess) -> None:
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: api\r\nConnection: close\r\n\r\n")
                gateway.is_up = b" 200 " in await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            gateway.is_up = False

    async def _arrive(self) -> None:
        """Requests come at random; who is refused does not come back."""
        while self.now() < self.plan.seconds:
            rate = RATE * (3.0 if self.is_on("burst") else 1.0)
            await asyncio.sleep(self._random.expovariate(rate))
            up = [gateway for gateway in self.gateways if self._may_be_asked(gateway)]
            if not up:
                continue
            gateway = self._random.choice(up)
            if gateway.is_up and self.is_on("bad-clients") and self._random.random() < 0.1:
                self._start(self.clients.misbehave(gateway.rank, gateway.port, self._was_disturbed))
            else:
                self._start(self.clients.ask(gateway.rank, gateway.port))

    def _may_be_asked(self, gateway: GatewayProcess) -> bool:
        """Whether clients come: once a gateway says no, over connections that are open, until its end."""
        return gateway.is_up or (gateway.is_ending and self.clients.has_kept(gateway.rank))

    def _was_disturbed(self, rank: int, since: float) -> bool:
        """Whether a gateway was ended or put aside, which a bad client is not owed anything over."""
        gateway = self.gateways[rank]
        frozen = any(span.until > since for span in self.ledger.frozen[rank])
        return frozen or gateway.busy or not gateway.is_up

    async def _trouble(self, kind: str, act: Callable[[], Awaitable[None]]) -> None:
        while True:
            await asyncio.sleep(self._random.uniform(0.3, 1.0) * ACTS_EVERY)
            if self.is_on(kind):
                self.acts += 1
                self._start(self._run(act))

    async def _run(self, act: Callable[[], Awaitable[None]]) -> None:
        await act()

    def _acts(self) -> dict[str, Callable[[], Awaitable[None]]]:
        return {
            "stop": self._stop,
            "kill": self._kill,
            "upgrade": self._upgrade,
            "reload": self._reload,
            "pause": lambda: self._pause(self._random.uniform(0.02, HELD_UP)),
            "freeze": lambda: self._pause(self._random.uniform(0.3, 1.2)),
            "drain": self._drain,
            "hang": lambda: self._set_mode("hang", self._random.uniform(0.5, 4.0)),
            "fail": lambda: self._set_mode(self._random.choice(["fail", "refuse"]), 2.0),
            "crash": self._crash,
            "no-connect": self._refuse_connections,
            "silence": self._silence,
            "watches": self._reset_watches,
            "calls": self._call,
            "crowd": self._crowd,
        }

    def _free_gateway(self, shared: bool | None = None) -> GatewayProcess | None:
        """One that no trouble has; a third at least stays up."""
        free = [
            gateway
            for gateway in self.gateways
            if not gateway.busy and gateway.is_up and shared in (None, gateway.shared is not None)
        ]
        if 3 * sum(gateway.busy for gateway in self.gateways) > len(self.gateways) or not free:
            return None
        return self._random.choice(free)

    async def _stop(self) -> None:
        gateway = self._free_gateway(shared=False)
        if gateway is None:
            return
        gateway.busy = True
        await gateway.stop()
        self._forget_calls(gateway.rank)
        await gateway.start()
        await self._ready(gateway)
        gateway.busy = False

    async def _kill(self) -> None:
        gateway = self._free_gateway(shared=False)
        if gateway is None:
            return
        gateway.busy = True
        gateway.kill()
        self._forget_calls(gateway.rank)
        await asyncio.sleep(self._random.uniform(0.0, 0.5))
        await gateway.start()
        await self._ready(gateway)
        gateway.busy = False

    async def _upgrade(self) -> None:
        gateway = self._free_gateway(shared=True)
        if gateway is None:
            return
        gateway.busy = True
        await gateway.upgrade()
        gateway.busy = False

    async def _reload(self) -> None:
        gateway = self._free_gateway()
        if gateway is None:
            return
        gateway.busy = True
        for _ in range(self._random.randint(1, 2)):
            await gateway.reload(self._random.choice([2, 4]))
        gateway.busy = False

    async def _pause(self, seconds: float) -> None:
        """Also one that is being stopped, upgraded or reloaded: troubles are to cross."""
        gateway = self._random.choice(self.gateways)
        if seconds > HELD_UP:
            now = self.now()
            self.ledger.frozen[gateway.rank].append(Span(now, now + seconds + 1.5))
        await gateway.pause(seconds)

    def _some_host(self) -> Host | None:
        ready = [host for host in self.hosts if self.registry.hosts[host.name][1] == "Ready"]
        serving = [host for host in ready if host.mode == "serve"]
        return self._random.choice(serving) if 2 * len(serving) > self.plan.hosts else None

    async def _drain(self) -> None:
        host = self._some_host()
        if host is None:
            return
        self.registry.put(host, "Terminating")
        await asyncio.sleep(self._random.uniform(0.5, 4.0))
        self.registry.put(host, "Gone")
        await self._add_host(cold=True)

    async def _set_mode(self, mode: str, seconds: float) -> None:
        host = self._some_host()
        if host is None:
            return
        host.mode = mode
        await asyncio.sleep(seconds)
        host.mode = "serve"

    async def _crash(self) -> None:
        host = self._some_host()
        if host is None:
            return
        host.mode = "refuse"
        host.reset_all()
        await asyncio.sleep(self._random.uniform(0.1, 1.0))
        host.started, host.mode = self.now(), "serve"
        self.registry.put(host, "Ready")

    async def _refuse_connections(self) -> None:
        host = self._some_host()
        if host is None:
            return
        host.refuses_connections = True
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        host.refuses_connections = False

    async def _crowd(self) -> None:
        gateway = self._random.choice(self.gateways)
        if gateway.is_up:
            await self.clients.crowd(gateway.port, CROWD, self._random.uniform(0.5, 3.0))

    async def _silence(self) -> None:
        self._random.choice(self.gateways).agent.fall_silent()

    async def _reset_watches(self) -> None:
        for gateway in self._random.sample(self.gateways, len(self.gateways) // 2):
            gateway.agent.reset()

    async def _call(self) -> None:
        gateway = self._free_gateway()
        if gateway is None:
            return
        if self._random.random() < 0.7:
            await self._take_out(gateway)  # over upgrades and reloads that begin meanwhile
            return
        gateway.busy = True
        if (await gateway.call("LEAVE")).startswith("+OK"):
            await asyncio.sleep(self._random.uniform(0.5, 3.0))
            await gateway.call("JOIN")
        gateway.busy = False

    async def _take_out(self, gateway: GatewayProcess) -> None:
        host = self._some_host()
        if host is None or not (await gateway.call(f"OFFLINE {host.name}")).startswith("+OK"):
            return
        started, starts = host.started, gateway.starts
        since = self.now() + OPERATOR_GRACE + STOP_SLACK
        self.ledger.stops(gateway.rank, host.name, started, since)
        await asyncio.sleep(self._random.uniform(1.5, 5.0))
        if gateway.shared is None and gateway.starts != starts:
            return  # a process that starts from nothing knows of no call: see `_stop` and `_kill`
        at = self.now()
        await gateway.call(f"ONLINE {host.name}")
        self.ledger.starts_again(gateway.rank, host.name, started, at)

    def _forget_calls(self, rank: int) -> None:
        """This gateway's next process starts from nothing."""
        for gateway, host, started in list(self.ledger.stopped):
            if gateway == rank and self.registry.hosts[host][1] == "Ready":
                self.ledger.starts_again(rank, host, started, self.now())

    def inside(self) -> list[str]:
        """What the gateways themselves counted, and every trace in their logs."""
        found = []
        for gateway in self.gateways:
            is_frozen = bool(self.ledger.frozen[gateway.rank])
            for line in gateway.log.read_bytes().splitlines():
                counted = _INSIDE.search(line)
                if counted and is_frozen and counted[1] == b"answered-in-time":
                    continue  # it was put aside for longer than it may be
                if counted or line.startswith(b"Traceback"):
                    found.append(f"gateway {gateway.rank}: {line.decode(errors='replace')}")
        return found

    def traces(self, violations: list[Violation]) -> list[str]:
        """What the gateways noted of the requests that were violated, as far as their events reach back."""
        found = []
        names = {violation.request for violation in violations if violation.request}
        for gateway in self.gateways:
            lines = gateway.log.read_text(errors="replace").splitlines()
            for line in lines:
                admitted = _ADMITTED.search(line)
                if admitted and admitted[2] in names:
                    mark = f"request {admitted[1]} attempt"
                    events = [other.partition("INFO ")[2] for other in lines if mark in other]
                    found.append(f"gateway {gateway.rank}, {admitted[2]}: " + "; ".join(events))
        return found

    def result(self) -> Result:
        asked, violations = self.ledger.asked.values(), self.ledger.judge()
        return Result(
            self.plan,
            violations,
            self.inside(),
            self.traces(violations),
            len(asked),
            len(self.ledger.attempts),
            sum(request.status == 200 for request in asked),
            sum(request.status in (429, 503) for request in asked),
            self.clients.not_taken,
            self.acts,
            self.ledger.lag,
        )
