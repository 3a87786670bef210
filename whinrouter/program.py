"""A gateway as a process: builds, starts and stops its parts. Its callers read the configuration."""

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
from whinrouter.control.calls import CallRegistry
from whinrouter.control.server import ControlServer
from whinrouter.interface import SECOND, Settings
from whinrouter.invariants.events import EventKind
from whinrouter.memory_budget import ReadWindow, budget_for
from whinrouter.net.application import ApplicationMonitor
from whinrouter.net.config import ConfigError
from whinrouter.net.connect import LISTEN_RETRY_SECONDS, with_retries
from whinrouter.net.frontend import RECEIVE_TIMEOUT_SECONDS, Frontend
from whinrouter.net.gateway import Gateway
from whinrouter.net.hosts import HostList
from whinrouter.net.priority_selector import PrioritySelector
from whinrouter.net.routes import Routes
from whinrouter.net.upstream import ConnectionPool
from whinrouter.operations.controller import OperationsController
from whinrouter.overload_control import OverloadControl

if TYPE_CHECKING:
    from whinrouter.handover.coordinator import HandoverCoordinator

log = logging.getLogger("whinrouter")
event_log = logging.getLogger("whinrouter.events")
# Loggers whose lines are never left out.
UNFILTERED = ("whinrouter.audit", "whinrouter.events", "whinrouter.invariants.violations")

# Descriptors for all but counted connections of clients and hosts: the standard streams, the loop, the
# listeners and the watch on discovery (10), operators' connections (8, `control/server.py`), clients above
# the limit (8, `net/frontend.py`), and connections accepted but not counted yet (3 times 4,
# `net/connect.py`).
RESERVED_DESCRIPTORS = 40
ACCEPT_GRACE_SECONDS = 0.5  # new connections still arrive for this long after SIGTERM
STREAM_DRAIN_SECONDS = 300.0  # for bodies in progress at the exit: 32 MB at 107 kB/s
LAG_CHECK_SECONDS, LAG_WARNING_SECONDS = 0.1, 0.05
# New objects between two runs of the garbage collector. A request's objects are freed as it ends and cycles
# are rare: with Python's default of 700 the collector took up to a tenth of all CPU time.
GC_THRESHOLD_OBJECTS = 20_000
LOG_REPEAT_SECONDS = 1.0  # between two log lines of the same template
# Between two reloads: SIGHUPs that arrive faster than a file is read must not keep the event loop busy.
RELOAD_INTERVAL_SECONDS = 0.1
EVENTS_INTERVAL_SECONDS = 1.0  # between two dumps of the latest events, which are thousands of lines


class HostSource(Protocol):
    """A source of host lists: discovery, a file, or the configuration.

    It delivers lists between `start` and `stop`. `source` names the service whose revisions the lists have.
    `resume` continues from a revision that another process received from that source.
    """

    @property
    def source(self) -> str: ...

    def resume(self, source: str, revision: int) -> None: ...

    def start(self) -> None: ...

    def stop(self) -> None: ...


@dataclass(frozen=True, slots=True)
class ServedApplication:
    """The application that a sidecar serves."""

    pid_file: str
    exits_with_it: bool  # else the gateway only stops listening until the application is back


@dataclass(frozen=True, slots=True)
class RuntimeSettings:
    """The settings that may change while the gateway serves."""

    settings: Settings
    connect_timeout: float  # seconds
    idle_timeout: float  # seconds
    max_clients: int  # connections of clients at most
    max_host_connections: int  # connections to hosts at most
    routes: Routes | None = None
    attempt_timeout: int = 0  # microseconds that an attempt may take; 0: the request's time left


ApplySettings = Callable[[RuntimeSettings], None]


@dataclass(frozen=True, slots=True)
class GatewayOptions:
    """Everything that a gateway is started with."""

    name: str
    listen_address: tuple[str, int]  # for a Unix socket the path and port 0
    settings: Settings
    seed: int
    known_hosts: HostList
    create_host_source: Callable[[Callable[[HostList], None]], HostSource]
    reload: Callable[[HostSource, ApplySettings], None]  # on SIGHUP
    connect_timeout: float  # seconds
    idle_timeout: float  # seconds
    max_clients: int  # connections of clients at most
    max_host_connections: int  # connections to hosts at most
    known_hosts_are_stale: bool = True  # no source has listed these hosts since the start
    routes: Routes | None = None
    attempt_timeout: int = 0  # microseconds that an attempt may take; 0: the request's time left
    max_buffered_bytes: int | None = None  # of requests that wait or are not complete; None: the default
    memory_bytes: int | None = None  # limit of the process; None: not known
    application: ServedApplication | None = None
    control_address: tuple[str, int] | None = None  # for operators' calls
    listener_descriptor: int | None = None  # of an inherited socket that already listens for clients


def serve(options: GatewayOptions) -> None:
    """Run until SIGTERM or SIGINT, or until the application ends if the gateway is to end with it.

    Raises ConfigError if it cannot listen.
    """
    selector = PrioritySelector(
        OverloadControl([request_class.aim / SECOND for request_class in options.settings.classes])
    )
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
        runner.run(_block_signals_after(_serve(options, selector)))


async def _block_signals_after(work: Coroutine[Any, Any, None]) -> None:
    """Block signals from the end of this work on: the loop restores their default actions as it closes."""
    try:
        await work
    finally:
        signals.block()


def _create_traffic(
    options: GatewayOptions, selector: PrioritySelector
) -> tuple[ConnectionPool, Gateway, Frontend]:
    """Return the parts that requests pass through, within the process's memory limit."""
    budget = budget_for(options.memory_bytes) if options.memory_bytes else None
    window = ReadWindow(budget.flow_bytes if budget is not None else None)
    upstream = ConnectionPool(
        options.connect_timeout,
        options.idle_timeout,
        options.max_host_connections,
        selector.unread_seconds,
        window,
    )
    gateway = Gateway(Balancer(options.settings, options.seed), upstream, options.attempt_timeout)
    max_buffered_bytes = options.max_buffered_bytes
    if max_buffered_bytes is None and budget is not None:
        max_buffered_bytes = budget.request_bytes
    frontend = Frontend(
        gateway, options.settings, options.max_clients, selector, options.routes, max_buffered_bytes, window
    )
    return upstream, gateway, frontend


def _log_memory_budget(options: GatewayOptions) -> None:
    """Log what the process may hold by its memory limit, if it has one."""
    if not options.memory_bytes:
        return
    budget = budget_for(options.memory_bytes)
    log.info(
        "memory: %d KiB for requests, %d KiB for bodies on their way",
        budget.request_bytes // 1024,
        budget.flow_bytes // 1024,
    )


async def _serve(options: GatewayOptions, selector: PrioritySelector) -> None:
    upstream, gateway, frontend = _create_traffic(options, selector)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    event_dump = _write_events_on_signal(loop, gateway)
    signals.unblock((signal.SIGTERM, signal.SIGINT, signal.SIGUSR1))
    controller = OperationsController(gateway.clock.now, loop.time, gateway.update_hosts, frontend.presence)
    controller.violation_summary = gateway.guards.violations.summary
    host_source = options.create_host_source(controller.apply_list)
    coordinator = _create_coordinator(options, gateway, frontend, upstream, controller, host_source)
    snapshot = await coordinator.restore_from_older() if coordinator is not None else None
    if snapshot is None:
        controller.apply_list(options.known_hosts, is_stale=options.known_hosts_are_stale)
    else:
        host_source.resume(snapshot.discovery_source, snapshot.revision)
    apply_settings = partial(_apply_settings, gateway, frontend, upstream, coordinator)
    reload = CoalescedCall(
        loop, partial(options.reload, host_source, apply_settings), RELOAD_INTERVAL_SECONDS
    )
    loop.add_signal_handler(signal.SIGHUP, reload.request)
    signals.unblock((signal.SIGHUP,))
    control = await _start_control(options, controller, lambda: _is_ready(frontend, coordinator))
    application = _create_application(options, frontend, stop)
    if application is None:
        port = await _listen(options, frontend)
        log.info("%s listens on %s:%d", options.name, options.listen_address[0], port)
    _log_memory_budget(options)
    if coordinator is not None:
        await coordinator.start_serving()
    host_source.start()
    lag_task = loop.create_task(_watch_lag())
    # The objects that exist now live until the exit: scanning them again would only delay the loop.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS, 20, 50)
    if application is not None:
        application.start()
    await stop.wait()
    reload.stop()
    event_dump.stop()
    log.info("stopping: %d requests held", gateway.unanswered_count)
    gateway.record_event(EventKind.STOPPING, f"{gateway.unanswered_count} held")
    is_replaced = coordinator is not None and coordinator.is_replaced
    frontend.stop(is_replaced)
    if application is not None:
        application.stop()
    await _stop_accepting(frontend, is_replaced)
    await _drain_connections(frontend)
    if coordinator is not None:
        await coordinator.wait_for_relays(STREAM_DRAIN_SECONDS)
    host_source.stop()
    lag_task.cancel()
    _close(gateway, control, coordinator)


def _close(gateway: Gateway, control: ControlServer | None, coordinator: HandoverCoordinator | None) -> None:
    """Close the connections to operators and other processes, and log the result."""
    if control is not None:
        control.close()
    if coordinator is not None:
        coordinator.close()
    gateway.guards.process_exiting(gateway.unanswered_count, gateway.clock.now())
    log.info("ended; invariants violated: %s", gateway.guards.violations.summary())


def _write_events_on_signal(loop: asyncio.AbstractEventLoop, gateway: Gateway) -> CoalescedCall:
    event_dump = CoalescedCall(loop, partial(_write_events, gateway), EVENTS_INTERVAL_SECONDS)
    loop.add_signal_handler(signal.SIGUSR1, event_dump.request)
    return event_dump


def _write_events(gateway: Gateway) -> None:
    """Write the latest events to the log, on SIGUSR1 from an operator."""
    events = gateway.guards.ring.events()
    for event in events:
        event_log.info("event %s", event)
    event_log.info("%d events; invariants violated: %s", len(events), gateway.guards.violations.summary())


def _create_coordinator(
    options: GatewayOptions,
    gateway: Gateway,
    frontend: Frontend,
    upstream: ConnectionPool,
    controller: OperationsController,
    host_source: HostSource,
) -> HandoverCoordinator | None:
    """Return the handover's coordinator; None if no other process can share the listening socket."""
    directory = os.environ.get("TMPDIR")
    if options.listener_descriptor is None or not directory:
        return None
    from whinrouter.handover.coordinator import HandoverCoordinator  # noqa: PLC0415 - only if enabled
    from whinrouter.handover.messages import Hello  # noqa: PLC0415

    hello = Hello(
        options.name,
        "{}:{}".format(*options.listen_address),
        os.fstat(options.listener_descriptor).st_ino,
        knows_executed=True,
    )
    identity = repr((hello.name, hello.listen)).encode()
    path = Path(directory) / f"copperlead-{blake2b(identity, digest_size=8).hexdigest()}"
    coordinator = HandoverCoordinator(
        gateway,
        frontend,
        upstream,
        controller,
        path,
        hello,
        options.max_clients + options.max_host_connections,
        lambda: _listen(options, frontend),
        lambda: host_source.source,
    )
    controller.share_call, controller.share_list = coordinator.share_call, coordinator.share_stopped_hosts
    return coordinator


def _apply_settings(
    gateway: Gateway,
    frontend: Frontend,
    upstream: ConnectionPool,
    coordinator: HandoverCoordinator | None,
    new: RuntimeSettings,
) -> None:
    """Apply checked settings as a whole: no request is handled in between."""
    upstream.set_limits(new.connect_timeout, new.idle_timeout, new.max_host_connections)
    gateway.apply_settings(new.settings, new.attempt_timeout)
    frontend.apply_settings(new.settings, new.max_clients, new.routes)
    if coordinator is not None:
        coordinator.set_max_descriptors(new.max_clients + new.max_host_connections)
    log.info("settings: %s", ", ".join(request_class.name for request_class in new.settings.classes))


def _is_ready(frontend: Frontend, coordinator: HandoverCoordinator | None) -> bool:
    """Whether clients get answers here, or at the process that has taken over."""
    if coordinator is not None and not coordinator.is_serving:
        return False
    listens = frontend.listener.descriptor is not None or (
        coordinator is not None and coordinator.is_replaced
    )
    return frontend.gateway.has_host_list and listens


async def _start_control(
    options: GatewayOptions, controller: OperationsController, is_ready: Callable[[], bool]
) -> ControlServer | None:
    """Listen for operators' calls, if an address is configured."""
    if options.control_address is None:
        return None
    calls = CallRegistry()
    controller.register_calls(calls, is_ready)
    control = ControlServer(calls)
    host, port = options.control_address
    try:
        port = await with_retries(partial(control.listen, host, port), LISTEN_RETRY_SECONDS)
    except OSError as error:
        raise ConfigError(f"cannot listen on {host}:{port}: {error.strerror}") from None
    log.info("%s takes calls on %s:%d", options.name, host, port)
    return control


async def _listen(options: GatewayOptions, frontend: Frontend) -> int:
    host, port = options.listen_address
    try:
        return await with_retries(
            partial(frontend.listen, host, port, options.listener_descriptor), LISTEN_RETRY_SECONDS
        )
    except OSError as error:
        raise ConfigError(f"cannot listen on {host}:{port}: {error.strerror}") from None


def _create_application(
    options: GatewayOptions, frontend: Frontend, stop: asyncio.Event
) -> ApplicationMonitor | None:
    """Return a monitor by which the gateway listens only while the application runs; None without one."""
    application = options.application
    if application is None:
        return None
    tasks: set[asyncio.Task[None]] = set()

    async def listen() -> None:
        try:
            await _listen(options, frontend)
            log.info("%s listens on %s:%d", options.name, *options.listen_address)
        except ConfigError as error:
            log.error("%s; ending", error)
            stop.set()

    def application_returned() -> None:
        task = asyncio.get_running_loop().create_task(listen())
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    def application_gone() -> None:
        # The application's own connections end by themselves; requests left on them need no answer.
        frontend.close()
        if application.exits_with_it:
            stop.set()

    return ApplicationMonitor(application.pid_file, application_gone, application_returned)


class _RepeatFilter(logging.Filter):
    """Limits log lines, which peers can cause at will, to one per second for each format string."""

    def __init__(self) -> None:
        super().__init__()
        self._last_logged: dict[str, float] = {}  # by the format string, so bounded by the source's size
        self._left_out: dict[str, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write this line; the next one written counts those left out."""
        if record.name in UNFILTERED:
            return True
        template, now = str(record.msg), time.monotonic()  # the wall clock may be stepped back by an hour
        if now < self._last_logged.get(template, -LOG_REPEAT_SECONDS) + LOG_REPEAT_SECONDS:
            self._left_out[template] = self._left_out.get(template, 0) + 1
            return False
        self._last_logged[template] = now
        left_out = self._left_out.pop(template, 0)
        if left_out:
            record.msg = f"{template} ({left_out} such lines left out)"
        return True


async def _stop_accepting(frontend: Frontend, is_replaced: bool) -> None:
    """Stop listening, after accepting the connections that are still arriving."""
    if not is_replaced:  # else new connections arrive at the newer process
        await asyncio.sleep(ACCEPT_GRACE_SECONDS)
    await frontend.listener.accept_pending()
    if is_replaced:  # idle connections end with an answer, or by `Presence.idle_timeout`
        frontend.close_listener()
    else:
        frontend.close()


async def _drain_connections(frontend: Frontend) -> None:
    """Wait until all connections have closed; a client that does not read must not hold up the exit.

    A request that is still being received at the last moment for answers is refused: once its last byte has
    arrived it would have to be answered, and the process would be ended before that.
    """
    loop = asyncio.get_running_loop()
    answer_deadline = frontend.presence.answer_deadline(frontend.longest_deadline_seconds) or loop.time()
    try:
        async with asyncio.timeout(RECEIVE_TIMEOUT_SECONDS + frontend.open_request_seconds):
            while frontend.connections:
                if loop.time() >= answer_deadline:
                    frontend.refuse_incomplete_requests()
                await asyncio.sleep(0.01)
        return
    except TimeoutError:
        pass
    try:  # a body in progress may continue as long as host and client keep it moving, up to this limit
        async with asyncio.timeout(STREAM_DRAIN_SECONDS):
            while frontend.streaming_connections:
                await asyncio.sleep(0.01)
        if not frontend.connections:
            return
        raise TimeoutError
    except TimeoutError:
        log.warning("%d connections were still open at the exit", len(frontend.connections))


async def _watch_lag() -> None:
    """Log event loop lag: it delays every deadline."""
    loop = asyncio.get_running_loop()
    while True:
        due = loop.time() + LAG_CHECK_SECONDS
        await asyncio.sleep(LAG_CHECK_SECONDS)
        if loop.time() - due > LAG_WARNING_SECONDS:
            log.warning("the loop runs %d ms late", (loop.time() - due) * 1000)


def log_to_stderr() -> None:
    """Set up logging as the gateway's program does."""
    logging.basicConfig(
        stream=sys.stderr,
        level=logging.INFO,
        format="%(asctime)s.%(msecs)03d %(levelname)s %(message)s",
        datefmt="%H:%M:%S",
    )
    for handler in logging.getLogger().handlers:
        handler.addFilter(_RepeatFilter())
