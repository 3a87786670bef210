"""The gateway as the platform runs it: told by its environment and a JSON file."""

from __future__ import annotations

import logging
import os
import sys
from dataclasses import replace

from whinrouter import signals
from whinrouter.net.config import Config, ConfigError, load, reload
from whinrouter.net.discovery import Discovery
from whinrouter.program import RESERVED, Hosts, Plan, Retune, Tuning, log_to_stderr, serve

log = logging.getLogger("whinrouter")


# What a start alone decides, and so no reload; the rest of what a file names is in force at once.
_AT_START = ("name", "listen", "control")


class _Reload:
    """On SIGHUP: read the file again; take its settings and its discovery, or nothing of it."""

    def __init__(self, config: Config) -> None:
        self._config = config

    def __call__(self, hosts: Hosts, retune: Retune) -> None:
        assert isinstance(hosts, Discovery)
        old = self._config
        try:
            told = reload(os.environ, old)
        except ConfigError as error:
            log.error("reload: %s; going on with what is in force", error)
            return
        waiting = [key for key in _AT_START if getattr(told, key) != getattr(old, key)]
        self._config = replace(told, **{key: getattr(old, key) for key in _AT_START})
        hosts.patience = told.patience
        if told.discovery != old.discovery:
            log.info("reload: discovery is now at %s:%d", *told.discovery)
            hosts.move(told.discovery)
        if tuning(told) != tuning(old):
            retune(tuning(told))
        if waiting:
            log.warning("reload: %s waits for the next start", ", ".join(waiting))


def tuning(config: Config) -> Tuning:
    """What of a configuration may change while the gateway serves."""
    half = max(1, (config.sockets - RESERVED) // 2)
    return Tuning(config.settings, config.connect_time, config.idle_time, half, half)


def plan(config: Config) -> Plan:
    """What the platform tells, as a gateway is started with it."""
    tuned = tuning(config)
    return Plan(
        name=config.name,
        listen=config.listen,
        settings=config.settings,
        seed=config.seed,
        known=config.known,
        hosts=lambda take: Discovery(
            config.discovery, config.known.revision, take, config.patience, bool(config.known.members)
        ),
        reload=_Reload(config),
        connect_time=config.connect_time,
        idle_time=config.idle_time,
        clients=tuned.clients,
        connections=tuned.connections,
        control=config.control,
        listener=config.listener,
    )


def main() -> int:
    """Serve until a signal ends it; 2 if it cannot start."""
    signals.hold()
    log_to_stderr()
    try:
        serve(plan(load(os.environ)))
    except ConfigError as error:
        print(f"whinrouter: {error}", file=sys.stderr)
        return 2
    return 0
