"""A gateway as a process: its parts put together, started, and ended. What it is told, others read."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial
from hashlib import blake2b
from pathlib import Path
from typing import TYPE_CHECKING, Any, Protocol

from whinrouter import signals
from whinrouter.balance import Balancer
from whinrouter.coalesced import CoalescedCall
from whinrouter.control.calls import Calls
from whinrouter.control.server import ControlServer
from whinrouter.interface import SECOND, Settings
from whinrouter.invariants.events import EventKind
from whinrouter.net.application import Application
from whinrouter.net.config import ConfigError
from whinrouter.net.connect import LISTEN_PAUSES, with_retries
from whinrouter.net.frontend import RECEIVE_TIME, Frontend
from whinrouter.net.gateway import Gateway
from whinrouter.net.hosts import HostList
from whinrouter.net.priority_selector import Door
from whinrouter.net.routes import Routes
from whinrouter.net.upstream import Upstream
from whinrouter.operations.controller import Desk
from whinrouter.overload_control import OwnLimit

if TYPE_CHECKING:
    from whinrouter.handover.coordinator import Succession

log = logging.getLogger("whinrouter")
event_log = logging.getLogger("whinrouter.events")
# Logs that are written without a gap.
UNFILTERED = ("whinrouter.audit", "whinrouter.events", "whinrouter.invariants.violations")

# Descriptors for all that is no client's and no host's connection, or is not counted yet: the standard
# streams, the loop, the listeners and the watch on discovery (10), callers (8, `control/shell.py`), clients
# past the limit (8, `net/frontend.py`), and what is accepted in the turns before it is counted (3 times 4,
# `net/connect.py`).
RESERVED = 40
STILL_ACCEPTING = 0.5  # seconds for which connections go on coming after SIGTERM
STREAMS_END = 300.0  # seconds for bodies that are passed on at the end: 32 MB at 107 kB/s
LAG_STEP, LAG_SHOWN = 0.1, 0.05
# New objects between two looks of the collector. What a request makes is freed as it ends, and cycles are
# rare: with Python's own 700 it cost up to a tenth of all CPU.
GC_EVERY = 20_000
SELDOM = 1.0  # seconds between two log lines of a kind
# Seconds between two reloads: SIGHUPs that come faster than a file is read must not keep the loop busy.
RELOAD_EVERY = 0.1
EVENTS_EVERY = 1.0  # and between two times at which the latest events, thousands of lines, are written


class Hosts(Protocol):
    """Where lists of hosts come from."""

    @property
    def source(self) -> str: ...

    def resume(self, source: str, revision: int) -> None: ...

    def start(self) -> None: ...

    def stop(self) -> None: ...


@dataclass(frozen=True, slots=True)
class Beside:
    """The application that a gateway serves alone."""

    pid_file: str
    ends_with_it: bool  # else it takes no work until the application is back


@dataclass(frozen=True, slots=True)
class Tuning:
    """What may change while it serves."""

    settings: Settings
    connect_time: float  # seconds
    idle_time: float  # seconds
    clients: int  # connections of clients at most
    connections: int  # connections to hosts at most
    routes: Routes | None = None
    attempt_time: int = 0  # microseconds; 0: what is left


Retune = Callable[[Tuning], None]


@dataclass(frozen=True, slots=True)
class Plan:
    """All that a gateway is started with."""

    name: str
    listen: tuple[str, int]  # the port of a Unix socket's path is 0
    settings: Settings
    seed: int
    known: HostList
    hosts: Callable[[Callable[[HostList], None]], Hosts]
    reload: Callable[[Hosts, Retune], None]  # on SIGHUP
    connect_time: float  # seconds
    idle_time: float  # seconds
    clients: int  # connections of clients at most
    connections: int  # connections to hosts at most
    known_is_old: bool = True  # nobody has told of these hosts since the start
    routes: Routes | None = None
    attempt_time: int = 0  # microseconds that an attempt may take; 0: what is left
    buffered: int | None = None  # bytes of requests that wait or have not come whole; None: the usual
    beside: Beside | None = None
    control: tuple[str, int] | None = None  # where operators call
    listener: int | None = None  # the descriptor of a socket that listens for clients already


def serve(plan: Plan) -> None:
    """Run until SIGTERM or SIGINT, or until the application ends if it is to end with that.

    Raises ConfigError if it cannot listen.
    """
    door = Door(OwnLimit([kind.aim / SECOND for kind in plan.settings.classes]))
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(door)) as runner:
        runner.run(_held_at_its_end(_serve(plan, door)))


async def _held_at_its_end(work: Coroutine[Any, Any, None]) -> None:
    """Hold signals from the end of this work on: the loop gives them their default actions as it closes."""
    try:
        await work
    finally:
        signals.hold()


async def _serve(plan: Plan, door: Door) -> None:
    upstream = Upstream(plan.connect_time, plan.idle_time, plan.connections, door.lay)
    gateway = Gateway(Balancer(plan.settings, plan.seed), upstream, plan.attempt_time)
    frontend = Frontend(gateway, plan.settings, plan.clients, door, plan.routes, plan.buffered)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    events = _write_events_on_signal(loop, gateway)
    signals.release((signal.SIGTERM, signal.SIGINT, signal.SIGUSR1))
    desk = Desk(gateway.clock.now, loop.time, gateway.list_hosts, frontend.presence)
    desk.violations = gateway.guards.violations.summary
    hosts = plan.hosts(desk.listed)
    succession = _succession(plan, gateway, frontend, upstream, desk, hosts)
    told = await succession.take() if succession is not None else None
    if told is None:
        desk.listed(plan.known, stale=plan.known_is_old)
    else:
        hosts.resume(told.source, told.revision)
    retune = partial(_retune, gateway, frontend, upstream, succession)
    reload = CoalescedCall(loop, partial(plan.reload, hosts, retune), RELOAD_EVERY)
    loop.add_signal_handler(signal.SIGHUP, reload.ask)
    signals.release((signal.SIGHUP,))
    control = await _control(plan, desk, lambda: _serves(frontend, succession))
    application = _application(plan, frontend, stop)
    if application is None:
        port = await _listen(plan, frontend)
        log.info("%s listens on %s:%d", plan.name, plan.listen[0], port)
    if succession is not None:
        await succession.serve()
    hosts.start()
    lag = loop.create_task(_watch_lag())
    # What exists now stays: the collector need not look at it again, which would hold up the loop.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_EVERY, 20, 50)
    if application is not None:
        application.start()
    await stop.wait()
    reload.stop()
    events.stop()
    log.info("stopping: %d requests held", gateway.holds)
    gateway.note(EventKind.STOPPING, f"{gateway.holds} held")
    frontend.stop()
    if application is not None:
        application.stop()
    await _take_no_more(frontend, replaced=succession is not None and succession.replaced)
    await _until_answered(frontend)
    if succession is not None:
        await succession.until_passed(STREAMS_END)
    hosts.stop()
    lag.cancel()
    _close(gateway, control, succession)


def _close(gateway: Gateway, control: ControlServer | None, succession: Succession | None) -> None:
    """Close what takes calls from operators and from other processes, and say how it went."""
    if control is not None:
        control.close()
    if succession is not None:
        succession.close()
    gateway.guards.exit(gateway.holds, gateway.clock.now())
    log.info("ended; invariants violated: %s", gateway.guards.violations.summary())


def _write_events_on_signal(loop: asyncio.AbstractEventLoop, gateway: Gateway) -> CoalescedCall:
    events = CoalescedCall(loop, partial(_write_events, gateway), EVENTS_EVERY)
    loop.add_signal_handler(signal.SIGUSR1, events.ask)
    return events


def _write_events(gateway: Gateway) -> None:
    """Write the latest events to the log, as an operator asks by SIGUSR1."""
    events = gateway.guards.ring.events()
    for event in events:
        event_log.info("event %s", event)
    event_log.info("%d events; invariants violated: %s", len(events), gateway.guards.violations.summary())


def _succession(
    plan: Plan, gateway: Gateway, frontend: Frontend, upstream: Upstream, desk: Desk, hosts: Hosts
) -> Succession | None:
    """Where another process may listen at the same socket, what is told between the two."""
    folder = os.environ.get("TMPDIR")
    if plan.listener is None or not folder:
        return None
    from whinrouter.handover.coordinator import Succession  # noqa: PLC0415 - only where it is on
    from whinrouter.handover.messages import Hello  # noqa: PLC0415

    hello = Hello(plan.name, "{}:{}".format(*plan.listen), os.fstat(plan.listener).st_ino)
    named = repr((hello.name, hello.listen)).encode()
    path = Path(folder) / f"copperlead-{blake2b(named, digest_size=8).hexdigest()}"
    succession = Succession(
        gateway,
        frontend,
        upstream,
        desk,
        path,
        hello,
        plan.clients + plan.connections,
        lambda: _listen(plan, frontend),
        lambda: hosts.source,
    )
    desk.share, desk.heard = succession.share, succession.stopped
    return succession


def _retune(
    gateway: Gateway, frontend: Frontend, upstream: Upstream, succession: Succession | None, to: Tuning
) -> None:
    """All of it or, as it has been checked, nothing: no request comes between."""
    upstream.retune(to.connect_time, to.idle_time, to.connections)
    gateway.retune(to.settings, to.attempt_time)
    frontend.retune(to.settings, to.clients, to.routes)
    if succession is not None:
        succession.retune(to.clients + to.connections)
    log.info("settings: %s", ", ".join(kind.name for kind in to.settings.classes))


def _serves(frontend: Frontend, succession: Succession | None) -> bool:
    """Whether clients get answers here, or at the process that has taken over."""
    if succession is not None and not succession.serving:
        return False
    listens = frontend.listener.descriptor is not None or (succession is not None and succession.replaced)
    return frontend.gateway.has_list and listens


async def _control(plan: Plan, desk: Desk, ready: Callable[[], bool]) -> ControlServer | None:
    """The operators' address, where there is one."""
    if plan.control is None:
        return None
    calls = Calls()
    desk.register(calls, ready)
    control = ControlServer(calls)
    host, port = plan.control
    try:
        port = await with_retries(partial(control.listen, host, port), LISTEN_PAUSES)
    except OSError as error:
        raise ConfigError(f"cannot listen on {host}:{port}: {error.strerror}") from None
    log.info("%s takes calls on %s:%d", plan.name, host, port)
    return control


async def _listen(plan: Plan, frontend: Frontend) -> int:
    host, port = plan.listen
    try:
        return await with_retries(partial(frontend.listen, host, port, plan.listener), LISTEN_PAUSES)
    except OSError as error:
        raise ConfigError(f"cannot listen on {host}:{port}: {error.strerror}") from None


def _application(plan: Plan, frontend: Frontend, stop: asyncio.Event) -> Application | None:
    """Listen while the application is here, and not while it is gone."""
    beside = plan.beside
    if beside is None:
        return None
    tasks: set[asyncio.Task[None]] = set()

    async def listen() -> None:
        try:
            await _listen(plan, frontend)
            log.info("%s listens on %s:%d", plan.name, *plan.listen)
        except ConfigError as error:
            log.error("%s; ending", error)
            stop.set()

    def back() -> None:
        task = asyncio.get_running_loop().create_task(listen())
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    def gone() -> None:
        # Its own connections end by themselves, and what is left of them is nobody's.
        frontend.close()
        if beside.ends_with_it:
            stop.set()

    return Application(beside.pid_file, gone, back)


class _Seldom(logging.Filter):
    """Peers can cause some lines at will: of a kind, one in a second is enough."""

    def __init__(self) -> None:
        super().__init__()
        self._said: dict[str, float] = {}  # by the text without its figures: as many as the source holds
        self._left_out: dict[str, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        if record.name in UNFILTERED:
            return True
        kind, now = str(record.msg), time.monotonic()  # the wall clock may be stepped back by an hour
        if now < self._said.get(kind, -SELDOM) + SELDOM:
            self._left_out[kind] = self._left_out.get(kind, 0) + 1
            return False
        self._said[kind] = now
        left_out = self._left_out.pop(kind, 0)
        if left_out:
            record.msg = f"{kind} ({left_out} such lines left out)"
        return True


async def _take_no_more(frontend: Frontend, replaced: bool) -> None:
    """Stop listening, once what still comes has come."""
    if not replaced:  # else it is another process that connections go on coming to
        await asyncio.sleep(STILL_ACCEPTING)
    await frontend.listener.accept_rest()
    if replaced:  # those that are idle end with an answer, or as `Presence` says
        frontend.close_listener()
    else:
        frontend.close()


async def _until_answered(frontend: Frontend) -> None:
    """Each connection closes with its answer; one who doesn't read must not hold up the exit.

    What is still being received as the last moment for answers comes is refused: its last byte would make it
    ours, with nobody left to answer it.
    """
    loop = asyncio.get_running_loop()
    last = frontend.presence.last_answer(frontend.longest) or loop.time()
    try:
        async with asyncio.timeout(RECEIVE_TIME + frontend.longest):
            while frontend.connections:
                if loop.time() >= last:
                    frontend.refuse_rest()
                await asyncio.sleep(0.01)
        return
    except TimeoutError:
        pass
    try:  # what is passed on is its host's and its client's to end, as long as they move it
        async with asyncio.timeout(STREAMS_END):
            while frontend.streaming:
                await asyncio.sleep(0.01)
        if not frontend.connections:
            return
        raise TimeoutError
    except TimeoutError:
        log.warning("%d connections were still open at the exit", len(frontend.connections))


async def _watch_lag() -> None:
    """Say so when the loop runs late: every deadline is then met late."""
    loop = asyncio.get_running_loop()
    while True:
        due = loop.time() + LAG_STEP
        await asyncio.sleep(LAG_STEP)
        if loop.time() - due > LAG_SHOWN:
            log.warning("the loop runs %d ms late", (loop.time() - due) * 1000)


def log_to_stderr() -> None:
    """Log as the gateway's program does."""
    logging.basicConfig(
        stream=sys.stderr,
        level=logging.INFO,
        format="%(asctime)s.%(msecs)03d %(levelname)s %(message)s",
        datefmt="%H:%M:%S",
    )
    for handler in logging.getLogger().handlers:
        handler.addFilter(_Seldom())
