"""The platform's configuration: environment variables and a JSON file, converted to settings."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from pathlib import Path
from typing import Any

import orjson

from whinrouter import wire
from whinrouter.interface import SECOND, Settings
from whinrouter.membership.retry_policy import LOCAL_AGENT_POLICY, RetryPolicy, shared_service_policy
from whinrouter.net.discovery import parse_list
from whinrouter.net.hosts import HostList
from whinrouter.operations.reload_checks import findings

Address = tuple[str, int]

# The values of these keys are fixed for the life of the process, so their variables override the file at a
# reload, too.
_FIXED_VARIABLES = {
    "name": "PROXY_NAME",
    "listen": "PROXY_LISTEN",
    "control": "PROXY_CONTROL",
}


class ConfigError(Exception):
    """The configuration is missing or invalid."""


@dataclass(frozen=True, slots=True)
class Config:
    """One version of the configuration; times are in seconds."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    known: HostList  # hosts that are used until discovery sends a list
    settings: Settings
    connect_timeout: float  # time limit for opening a connection to a host
    idle_timeout: float  # idle timeout of the hosts
    sockets: int  # descriptors that the process may use
    retry_policy: RetryPolicy  # for the watch on discovery
    memory_bytes: int | None = None  # limit of the process; None: the file names none
    control: Address | None = None  # where operators' calls are accepted
    listener: int | None = None  # the descriptor of a listening socket that the process inherited
    raw: Mapping[str, Any] = field(default_factory=dict)  # the whole configuration as it was read


def load(environment: Mapping[str, str]) -> Config:
    """Return the configuration to start with; raise ConfigError if it is missing or invalid."""
    # The environment overrides the file: an operator may set a variable for one start.
    return _load(environment, {**_FIXED_VARIABLES, "discovery": "PROXY_DISCOVERY"})


def reload(environment: Mapping[str, str], in_force: Config) -> Config:
    """Return the configuration to continue with after a change of the file.

    The environment is as old as the start, so the file's address of discovery is newer and counts.
    Raises ConfigError with all findings if the file lacks anything that the configuration in force has.
    """
    return _load(environment, _FIXED_VARIABLES, in_force)


def _load(
    environment: Mapping[str, str], overrides: Mapping[str, str], in_force: Config | None = None
) -> Config:
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG names no file")
    try:
        raw = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"cannot read PROXY_CONFIG: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"PROXY_CONFIG is not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError("PROXY_CONFIG holds no object")
    raw |= {key: environment[name] for key, name in overrides.items() if environment.get(name)}
    problems = findings(raw, in_force.raw) if in_force is not None else []
    if problems:
        raise ConfigError("; ".join(problems))
    try:
        return _config(raw, inherited_descriptor(environment))
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise ConfigError(f"the configuration is no good: {type(error).__name__}: {error}") from None


def _config(raw: Mapping[str, Any], listener: int | None) -> Config:
    raw_settings = raw["settings"]
    limits, permissions = raw.get("limits") or {}, raw_settings.get("permissions") or {}
    settings = wire.parse_settings(raw_settings)
    return Config(
        name=str(raw.get("name") or ""),
        listen=parse_address(raw["listen"]),
        discovery=parse_address(raw["discovery"]),
        seed=int.from_bytes(blake2b(str(raw.get("seed")).encode(), digest_size=8).digest(), "big"),
        known=parse_list(raw.get("known") or {"members": []}),
        settings=settings,
        connect_timeout=int(permissions.get("dialTimeout") or SECOND // 4) / SECOND,
        idle_timeout=int(permissions.get("connIdle") or 15 * SECOND) / SECOND,
        sockets=int(limits.get("sockets") or 1024),
        retry_policy=_retry_policy(settings, raw_settings.get("invariants") or {}),
        control=parse_address(raw["control"]) if raw.get("control") else None,
        listener=listener,
        raw=raw,
        memory_bytes=_memory_bytes(limits.get("memory_mb")),
    )


def _memory_bytes(megabytes: Any) -> int | None:
    """Return the memory limit in bytes; None if there is none or it is no positive number."""
    is_number = isinstance(megabytes, int | float) and not isinstance(megabytes, bool)
    return round(megabytes * 1024 * 1024) if is_number and megabytes > 0 else None


def _retry_policy(settings: Settings, raw_invariants: Mapping[str, Any]) -> RetryPolicy:
    """The policy for the discovery service: an agent on this machine, or one service for all gateways."""
    if not settings.must_subscribe:
        return LOCAL_AGENT_POLICY
    return shared_service_policy(
        settings.balancers, int(raw_invariants.get("askEvery") or 10 * SECOND) / SECOND
    )


FIRST_ACTIVATION_DESCRIPTOR = 3  # SD_LISTEN_FDS_START of socket activation (sd_listen_fds(3))


def inherited_descriptor(environment: Mapping[str, str]) -> int | None:
    """Return the descriptor of a listening socket that the process inherited; None if there is none."""
    if environment.get("PROXY_SOCKET_FD"):
        return int(environment["PROXY_SOCKET_FD"])
    is_for_us = environment.get("LISTEN_PID") == str(os.getpid())
    return FIRST_ACTIVATION_DESCRIPTOR if is_for_us and environment.get("LISTEN_FDS", "0") != "0" else None


def parse_address(text: str) -> Address:
    """Split host:port, with an IPv6 address in brackets; ValueError if the text has another form."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is no address of the form host:port")
    return host.strip("[]"), int(port)
