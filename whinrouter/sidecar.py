"""A gateway beside one application, run from an operator file."""

from __future__ import annotations

import logging
import os
import resource
import sys
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path

from whinrouter import signals
from whinrouter.interface import SECOND, Effect, RequestClass, Scope, Settings
from whinrouter.membership.retry_policy import asked
from whinrouter.net.config import ConfigError, inherited
from whinrouter.net.discovery import Discovery
from whinrouter.net.hostfile import HostFile, listed
from whinrouter.net.hosts import HostList
from whinrouter.net.routes import Route, Routes
from whinrouter.operator import model as told
from whinrouter.operator.checks import check, methods_of, path_of
from whinrouter.operator.explain import changes
from whinrouter.operator.loading import Loaded, load
from whinrouter.operator.values import Address
from whinrouter.program import Beside, Hosts, Plan, Retune, Tuning, log_to_stderr, serve

log = logging.getLogger("whinrouter")

# A service that names hosts is nobody's own: it may be asked by any number of sidecars, of which this is one.
# Its watch is kept for as long, and asked for again as seldom, as that of a lone gateway.
SERVICE = asked(gateways=1, ask_every=10.0)

_EFFECTS = {
    told.Effect.IDEMPOTENT: Effect.IDEMPOTENT,
    told.Effect.KEYED: Effect.KEYED,
    told.Effect.AT_MOST_ONCE: Effect.AT_MOST_ONCE,
}
_SCOPES = {told.Group.ALL: Scope.ALL, told.Group.ZONE: Scope.ZONE, told.Group.CELL: Scope.CELL}


def run(path: Path, digest: str | None = None) -> int:
    """Run a sidecar until it is told to stop; 1 if its file is refused, 2 if it cannot start.

    `digest`: what `copperlead sidecar check` showed; a file that has changed since is refused.
    """
    signals.hold()
    loaded = load(path)
    findings = check(loaded)
    for finding in findings:
        print(finding, file=sys.stderr)
    if findings:
        return 1
    if digest is not None and digest != loaded.digest:
        print(f"copperlead: {path} is not what was checked: its digest is {loaded.digest}", file=sys.stderr)
        return 1
    log_to_stderr()
    log.info("%s, digest %s", path, loaded.digest)
    try:
        _limit_descriptors(loaded.model.limits.sockets)
        serve(plan(loaded))
    except ConfigError as error:
        print(f"copperlead: {error}", file=sys.stderr)
        return 2
    return 0


def _limit_descriptors(count: int) -> None:
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    if hard != resource.RLIM_INFINITY and hard < count:
        raise ConfigError(f"limits.sockets is {count}, and the system allows {hard}")
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


def settings(model: told.Model) -> Settings:
    """What the module is told of a configuration that has passed the checks."""
    upstream = model.upstream
    return Settings(
        classes=tuple(map(_class, model.request_class)),
        zone=model.discovery.zone,
        max_attempts=upstream.attempts,
        may_hedge=upstream.hedge,
        may_cancel=True,
        retry_after=upstream.retry_after,
    )


def _class(kind: told.RequestClass) -> RequestClass:
    return RequestClass(
        name=kind.name,
        aim=int(kind.aim),
        deadline=int(kind.deadline),
        effect=_EFFECTS[kind.effect],
        scope=_SCOPES[kind.group],
        dedup_window=int(kind.remembered),
        worth=kind.worth,
        late_worth=kind.late_worth,
    )


def routes(model: told.Model) -> Routes:
    """Where the application's paths lead."""
    return Routes(
        Route(path_of(kind).encode(), _class(kind), frozenset(method.encode() for method in methods_of(kind)))
        for kind in model.request_class
    )


def plan(loaded: Loaded) -> Plan:
    """What a configuration that has passed the checks is run as."""
    model = loaded.model
    listen, limits, upstream, app = model.listen.address, model.limits, model.upstream, model.app
    assert listen is not None
    beside = None
    if app.when_gone is not told.WhenGone.IGNORE:
        beside = Beside(app.pid_file, app.when_gone is told.WhenGone.EXIT)
    static = model.discovery.source is told.Source.STATIC
    return Plan(
        name=app.name,
        listen=_pair(listen),
        settings=settings(model),
        seed=int.from_bytes(os.urandom(8), "big"),
        known=listed(map(_pair, model.discovery.hosts)) if static else HostList(0, True, ()),
        hosts=_hosts(model.discovery),
        reload=_Reload(loaded),
        connect_time=upstream.connect_time / SECOND,
        idle_time=upstream.idle_time / SECOND,
        clients=limits.clients,
        connections=upstream.connections,
        known_is_old=False,
        routes=routes(model),
        attempt_time=int(upstream.attempt_time),
        buffered=int(limits.buffered),
        beside=beside,
        control=_pair(model.listen.control) if model.listen.control is not None else None,
        listener=inherited(os.environ) if model.listen.inherited else None,
    )


def _pair(address: Address) -> tuple[str, int]:
    return (address.path, 0) if address.path else (address.host, address.port)


def _read(line: str) -> tuple[str, int]:
    address = Address.read(line)
    if address.path:
        raise ValueError(f"{line!r} is no host: it has no port")
    return _pair(address)


def _hosts(discovery: told.Discovery) -> Callable[[Callable[[HostList], None]], Hosts]:
    if discovery.source is told.Source.FILE:
        return partial(HostFile, discovery.file, _read)
    if discovery.source is told.Source.SERVICE:
        assert discovery.address is not None
        return partial(Discovery, _pair(discovery.address), 0, patience=SERVICE)
    return _StaticHosts


class _StaticHosts:
    """Hosts that are named in the operator file; they change with it."""

    def __init__(self, take: Callable[[HostList], None]) -> None:
        self._take = take
        self._revision = 1

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass

    @property
    def source(self) -> str:
        return ""

    def resume(self, source: str, revision: int) -> None:
        """Its lists are whole ones: there is nothing to go on from."""

    def change(self, addresses: list[Address]) -> None:
        self._revision += 1
        self._take(listed(map(_pair, addresses), self._revision))


class _Reload:
    """On SIGHUP: check the file again; take what may change, and tell what waits for a restart."""

    def __init__(self, loaded: Loaded) -> None:
        self._started = self._last = loaded

    def __call__(self, hosts: Hosts, retune: Retune) -> None:
        fresh = load(Path(self._started.path), Path(self._started.root))
        findings = check(fresh)
        if findings:
            log.error("reload: refused; going on with what is in force\n%s", "\n".join(map(str, findings)))
            return
        waiting = [str(change) for change in changes(self._started, fresh) if change.restart]
        if waiting:
            log.warning("reload: for the next start\n%s", "\n".join(waiting))
        news = {change.key for change in changes(self._last, fresh) if not change.restart}
        last, self._last = self._last, fresh
        self._follow(last.model.discovery, fresh.model.discovery, hosts)
        if any(key.startswith(("class", "upstream.")) for key in news):
            retune(self._tuning(fresh.model))

    def _tuning(self, fresh: told.Model) -> Tuning:
        """What is in force from now on; limits and the zone are those of the start."""
        started = self._started.model
        return Tuning(
            replace(settings(fresh), zone=started.discovery.zone),
            fresh.upstream.connect_time / SECOND,
            fresh.upstream.idle_time / SECOND,
            started.limits.clients,
            started.upstream.connections,
            routes(fresh),
            int(fresh.upstream.attempt_time),
        )

    def _follow(self, was: told.Discovery, fresh: told.Discovery, hosts: Hosts) -> None:
        if fresh.source is not self._started.model.discovery.source:
            return  # told already: it waits for the next start
        if isinstance(hosts, _StaticHosts) and fresh.hosts != was.hosts:
            hosts.change(fresh.hosts)
        elif isinstance(hosts, HostFile):
            hosts.move(fresh.file)
        elif isinstance(hosts, Discovery) and fresh.address is not None and fresh.address != was.address:
            hosts.move(_pair(fresh.address))
