"""The gateway as the platform runs it: configured by its environment and a JSON file."""

from __future__ import annotations

import logging
import os
import sys
from dataclasses import replace

from whinrouter import signals
from whinrouter.net.config import Config, ConfigError, load, reload
from whinrouter.net.discovery import Discovery
from whinrouter.program import (
    RESERVED_DESCRIPTORS,
    ApplySettings,
    GatewayOptions,
    HostSource,
    RuntimeSettings,
    log_to_stderr,
    serve,
)

log = logging.getLogger("whinrouter")


# Keys that only a start applies; all others of a file are applied by a reload.
_STARTUP_KEYS = ("name", "listen", "control")


class _Reloader:
    """On SIGHUP: read the file again and apply its settings and discovery.

    An invalid file changes nothing.
    """

    def __init__(self, config: Config) -> None:
        self._config = config

    def __call__(self, host_source: HostSource, apply_settings: ApplySettings) -> None:
        assert isinstance(host_source, Discovery)
        old = self._config
        try:
            new = reload(os.environ, old)
        except ConfigError as error:
            log.error("reload: %s; going on with what is in force", error)
            return
        deferred = [key for key in _STARTUP_KEYS if getattr(new, key) != getattr(old, key)]
        self._config = replace(new, **{key: getattr(old, key) for key in _STARTUP_KEYS})
        host_source.retry_policy = new.retry_policy
        if new.discovery != old.discovery:
            log.info("reload: discovery is now at %s:%d", *new.discovery)
            host_source.move(new.discovery)
        if runtime_settings(new) != runtime_settings(old):
            apply_settings(runtime_settings(new))
        if deferred:
            log.warning("reload: %s waits for the next start", ", ".join(deferred))


def runtime_settings(config: Config) -> RuntimeSettings:
    """Return the part of a configuration that may change while the gateway serves."""
    half = max(1, (config.sockets - RESERVED_DESCRIPTORS) // 2)
    return RuntimeSettings(config.settings, config.connect_timeout, config.idle_timeout, half, half)


def gateway_options(config: Config) -> GatewayOptions:
    """Return a configuration in the form that a gateway is started with."""
    runtime = runtime_settings(config)
    return GatewayOptions(
        name=config.name,
        listen_address=config.listen,
        settings=config.settings,
        seed=config.seed,
        known_hosts=config.known,
        create_host_source=lambda deliver: Discovery(
            config.discovery, config.known.revision, deliver, config.retry_policy, bool(config.known.members)
        ),
        reload=_Reloader(config),
        connect_timeout=config.connect_timeout,
        idle_timeout=config.idle_timeout,
        max_clients=runtime.max_clients,
        max_host_connections=runtime.max_host_connections,
        memory_bytes=config.memory_bytes,
        control_address=config.control,
        listener_descriptor=config.listener,
    )


def main() -> int:
    """Serve until SIGTERM or SIGINT; return the exit status: 0, or 2 if the gateway cannot start."""
    signals.block()
    log_to_stderr()
    try:
        serve(gateway_options(load(os.environ)))
    except ConfigError as error:
        print(f"whinrouter: {error}", file=sys.stderr)
        return 2
    return 0
