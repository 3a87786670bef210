"""The gateway as the platform runs it: told by its environment and a JSON file."""

from __future__ import annotations

import logging
import os
import sys
from dataclasses import replace

from whinrouter.net.config import Config, ConfigError, load, reload
from whinrouter.net.discovery import Discovery
from whinrouter.program import RESERVED, Hosts, Plan, log_to_stderr, serve

log = logging.getLogger("whinrouter")


class _Reload:
    """On SIGHUP: read the file again, and watch the discovery that it names."""

    def __init__(self, config: Config) -> None:
        self._config = config

    def __call__(self, hosts: Hosts) -> None:
        assert isinstance(hosts, Discovery)
        try:
            told = reload(os.environ)
        except ConfigError as error:
            log.error("reload: %s; going on with what is in force", error)
            return
        old, self._config = self._config, replace(self._config, discovery=told.discovery)
        if told.discovery != old.discovery:
            log.info("reload: discovery is now at %s:%d", *told.discovery)
            hosts.move(told.discovery)
        # These two are new in every file, and of use at a start alone.
        if replace(told, seed=old.seed, known=old.known) != self._config:
            log.warning("reload: only discovery changes; the rest of the file waits for the next start")


def plan(config: Config) -> Plan:
    """What the platform tells, as a gateway is started with it."""
    half = max(1, (config.sockets - RESERVED) // 2)
    return Plan(
        name=config.name,
        listen=config.listen,
        settings=config.settings,
        seed=config.seed,
        known=config.known,
        hosts=lambda take: Discovery(config.discovery, config.known.revision, take),
        reload=_Reload(config),
        connect_time=config.connect_time,
        idle_time=config.idle_time,
        clients=half,
        connections=half,
    )


def main() -> int:
    log_to_stderr()
    try:
        serve(plan(load(os.environ)))
    except ConfigError as error:
        print(f"whinrouter: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
