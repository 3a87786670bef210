"""Environment and JSON to settings."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from typing import Any

import orjson

from whinrouter import wire
from whinrouter.interface import SECOND, Settings
from whinrouter.net.discovery import read_list
from whinrouter.net.hosts import HostList

Address = tuple[str, int]

_FIXED = {"name": "PROXY_NAME", "listen": "PROXY_LISTEN"}  # for the life of the process


class ConfigError(Exception):
    """The gateway cannot start with what it was told."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    known: HostList
    settings: Settings
    connect_time: float  # seconds after which a connection that is not made has failed
    idle_time: float  # seconds after which a host closes an idle connection at the latest
    sockets: int  # descriptors that the process may hold


def load(environment: Mapping[str, str]) -> Config:
    """What to start with."""
    # The environment comes first: an operator may set a variable for one start.
    return _load(environment, {**_FIXED, "discovery": "PROXY_DISCOVERY"})


def reload(environment: Mapping[str, str]) -> Config:
    """What to go on with: the variables are as old as the start, so the file's word on discovery is newer."""
    return _load(environment, _FIXED)


def _load(environment: Mapping[str, str], overrides: Mapping[str, str]) -> Config:
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG names no file")
    try:
        told = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"cannot read PROXY_CONFIG: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"PROXY_CONFIG is not JSON: {error}") from None
    if not isinstance(told, dict):
        raise ConfigError("PROXY_CONFIG holds no object")
    told |= {key: environment[name] for key, name in overrides.items() if environment.get(name)}
    try:
        return _config(told)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise ConfigError(f"the configuration is no good: {type(error).__name__}: {error}") from None


def _config(told: Mapping[str, Any]) -> Config:
    setup = told["settings"]
    limits, allowed = told.get("limits") or {}, setup.get("permissions") or {}
    return Config(
        name=str(told.get("name") or ""),
        listen=address(told["listen"]),
        discovery=address(told["discovery"]),
        seed=int.from_bytes(blake2b(str(told.get("seed")).encode(), digest_size=8).digest(), "big"),
        known=read_list(told.get("known") or {"members": []}),
        settings=wire.settings(setup),
        connect_time=int(allowed.get("dialTimeout") or SECOND // 4) / SECOND,
        idle_time=int(allowed.get("connIdle") or 15 * SECOND) / SECOND,
        sockets=int(limits.get("sockets") or 1024),
    )


def address(text: str) -> Address:
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is no address of the form host:port")
    return host.strip("[]"), int(port)
