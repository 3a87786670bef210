"""A gateway beside one application, run from an operator file."""

from __future__ import annotations

import logging
import os
import resource
import sys
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace
from functools import partial
from pathlib import Path

from whinrouter import signals
from whinrouter.interface import SECOND, UNKNOWN_CELL, Effect, RequestClass, Scope, Settings
from whinrouter.membership.retry_policy import shared_service_policy
from whinrouter.net.config import ConfigError, inherited_descriptor
from whinrouter.net.discovery import Discovery
from whinrouter.net.hostfile import HostFile, member_at, whole_list
from whinrouter.net.hosts import HostList, Member
from whinrouter.net.routes import Route, Routes
from whinrouter.operator import model as schema
from whinrouter.operator.checks import check, effective_methods, effective_path
from whinrouter.operator.explain import changes
from whinrouter.operator.host_lines import parse_host_lines
from whinrouter.operator.loading import Loaded, load
from whinrouter.operator.values import Address
from whinrouter.program import (
    ApplySettings,
    GatewayOptions,
    HostSource,
    RuntimeSettings,
    ServedApplication,
    log_to_stderr,
    serve,
)

log = logging.getLogger("whinrouter")

# A discovery service may be shared by any number of sidecars, and a sidecar does not know how many. So its
# watch is kept for as long, and renewed as seldom, as that of a single gateway.
SERVICE_RETRY_POLICY = shared_service_policy(gateways=1, ask_every=10.0)

_EFFECTS = {
    schema.Effect.IDEMPOTENT: Effect.IDEMPOTENT,
    schema.Effect.KEYED: Effect.KEYED,
    schema.Effect.AT_MOST_ONCE: Effect.AT_MOST_ONCE,
}
_SCOPES = {schema.Group.ALL: Scope.ALL, schema.Group.ZONE: Scope.ZONE, schema.Group.CELL: Scope.CELL}


def run(path: Path, digest: str | None = None) -> int:
    """Run a sidecar until it is stopped; return the exit status.

    0: it was stopped; 1: its file is refused; 2: it cannot start.

    `digest`: as printed by `copperlead sidecar check`; a file that has changed since is refused.
    """
    signals.block()
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
        serve(gateway_options(loaded))
    except ConfigError as error:
        print(f"copperlead: {error}", file=sys.stderr)
        return 2
    return 0


def _limit_descriptors(count: int) -> None:
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    if hard != resource.RLIM_INFINITY and hard < count:
        raise ConfigError(f"limits.sockets is {count}, and the system allows {hard}")
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


def settings(model: schema.Model) -> Settings:
    """Return the decision module's settings for a configuration that has passed the checks."""
    upstream = model.upstream
    return Settings(
        classes=tuple(map(_request_class, model.request_class)),
        zone=model.discovery.zone,
        max_attempts=upstream.attempts,
        may_hedge=upstream.hedge,
        may_cancel=True,
        sends_retry_after=upstream.retry_after,
    )


def _request_class(declared: schema.RequestClass) -> RequestClass:
    return RequestClass(
        name=declared.name,
        aim=int(declared.aim),
        deadline=int(declared.deadline),
        effect=_EFFECTS[declared.effect],
        scope=_SCOPES[declared.group],
        dedup_window=int(declared.remembered),
        worth=declared.worth,
        late_worth=declared.late_worth,
    )


def routes(model: schema.Model) -> Routes:
    """Return the routes from the application's paths and methods to classes."""
    return Routes(
        Route(
            effective_path(declared).encode(),
            _request_class(declared),
            frozenset(method.encode() for method in effective_methods(declared)),
        )
        for declared in model.request_class
    )


def gateway_options(loaded: Loaded) -> GatewayOptions:
    """Return a checked configuration in the form that a gateway is started with."""
    model = loaded.model
    listen_address, limits, upstream, app = model.listen.address, model.limits, model.upstream, model.app
    assert listen_address is not None
    application = None
    if app.when_gone is not schema.WhenGone.IGNORE:
        application = ServedApplication(app.pid_file, app.when_gone is schema.WhenGone.EXIT)
    is_static = model.discovery.source is schema.Source.STATIC
    return GatewayOptions(
        name=app.name,
        listen_address=_host_and_port(listen_address),
        settings=settings(model),
        seed=int.from_bytes(os.urandom(8), "big"),
        known_hosts=whole_list(_static_members(model.discovery.hosts))
        if is_static
        else HostList(0, True, ()),
        create_host_source=_host_source_factory(model.discovery),
        reload=_Reloader(loaded),
        connect_timeout=upstream.connect_time / SECOND,
        idle_timeout=upstream.idle_time / SECOND,
        max_clients=limits.clients,
        max_host_connections=upstream.connections,
        known_hosts_are_stale=False,
        routes=routes(model),
        attempt_timeout=int(upstream.attempt_time),
        max_buffered_bytes=int(limits.buffered),
        memory_bytes=int(limits.memory),
        application=application,
        control_address=_host_and_port(model.listen.control) if model.listen.control is not None else None,
        listener_descriptor=inherited_descriptor(os.environ) if model.listen.inherited else None,
    )


def _host_and_port(address: Address) -> tuple[str, int]:
    return (address.path, 0) if address.path else (address.host, address.port)


def _static_members(addresses: Iterable[Address]) -> Iterator[Member]:
    """Yield the hosts at these addresses; their groups are not known."""
    return (member_at(_host_and_port(address)) for address in addresses)


def _parse_host_file(text: str) -> list[Member]:
    """Return the hosts that a host file lists; ValueError if a line is no host."""
    return [
        member_at(_host_and_port(line.address), line.zone, UNKNOWN_CELL if line.cell is None else line.cell)
        for line in parse_host_lines(text)
    ]


def _host_source_factory(discovery: schema.Discovery) -> Callable[[Callable[[HostList], None]], HostSource]:
    if discovery.source is schema.Source.FILE:
        return partial(HostFile, discovery.file, _parse_host_file)
    if discovery.source is schema.Source.SERVICE:
        assert discovery.address is not None
        return partial(Discovery, _host_and_port(discovery.address), 0, retry_policy=SERVICE_RETRY_POLICY)
    return _StaticHostSource


class _StaticHostSource:
    """Hosts that are named in the operator file; they change with it on a reload."""

    def __init__(self, deliver: Callable[[HostList], None]) -> None:
        self._deliver = deliver
        self._revision = 1

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass

    @property
    def source(self) -> str:
        return ""

    def resume(self, source: str, revision: int) -> None:
        """Do nothing: every list is whole, so there is no revision to continue from."""

    def replace_hosts(self, addresses: list[Address]) -> None:
        """Deliver a list of these hosts in place of the one before."""
        self._revision += 1
        self._deliver(whole_list(_static_members(addresses), self._revision))


class _Reloader:
    """On SIGHUP: check the file again, apply the keys that may change, and log those that need a restart.

    A file with findings changes nothing.
    """

    def __init__(self, loaded: Loaded) -> None:
        self._started = self._loaded = loaded

    def __call__(self, host_source: HostSource, apply_settings: ApplySettings) -> None:
        new = load(Path(self._started.path), Path(self._started.root))
        findings = check(new)
        if findings:
            log.error("reload: refused; going on with what is in force\n%s", "\n".join(map(str, findings)))
            return
        deferred = [str(change) for change in changes(self._started, new) if change.needs_restart]
        if deferred:
            log.warning("reload: for the next start\n%s", "\n".join(deferred))
        changed_keys = {change.key for change in changes(self._loaded, new) if not change.needs_restart}
        previous, self._loaded = self._loaded, new
        self._update_hosts(previous.model.discovery, new.model.discovery, host_source)
        if any(key.startswith(("class", "upstream.")) for key in changed_keys):
            apply_settings(self._runtime_settings(new.model))

    def _runtime_settings(self, new: schema.Model) -> RuntimeSettings:
        """Return the settings to apply; limits and the zone are those of the start."""
        started = self._started.model
        return RuntimeSettings(
            replace(settings(new), zone=started.discovery.zone),
            new.upstream.connect_time / SECOND,
            new.upstream.idle_time / SECOND,
            started.limits.clients,
            started.upstream.connections,
            routes(new),
            int(new.upstream.attempt_time),
        )

    def _update_hosts(self, old: schema.Discovery, new: schema.Discovery, host_source: HostSource) -> None:
        if new.source is not self._started.model.discovery.source:
            return  # already logged: a change of source waits for the next start
        if isinstance(host_source, _StaticHostSource) and new.hosts != old.hosts:
            host_source.replace_hosts(new.hosts)
        elif isinstance(host_source, HostFile):
            host_source.move(new.file)
        elif isinstance(host_source, Discovery) and new.address is not None and new.address != old.address:
            host_source.move(_host_and_port(new.address))
