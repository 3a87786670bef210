"""The values in force with their origin, and the differences between two configurations."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from whinrouter.operator.checks import effective_methods, effective_path
from whinrouter.operator.loading import Loaded, Setting
from whinrouter.operator.model import RequestClass

# Keys that a running sidecar applies when it reloads its file; a change of any other key needs a restart.
RELOADABLE_KEYS = (
    "discovery.hosts",
    "discovery.file",
    "discovery.address",
    "app.owner",
    "upstream.attempts",
    "upstream.attempt_time",
    "upstream.connect_time",
    "upstream.hedge",
    "upstream.idle_time",
    "upstream.retry_after",
)
RELOADABLE_PREFIXES = ("class.", "class_defaults.")


@dataclass(frozen=True, slots=True)
class EffectiveValue:
    """One value in force."""

    key: str
    value: str
    origin: str  # a file and line, or "default"


def effective_values(loaded: Loaded) -> list[EffectiveValue]:
    """Return all values in force, in the order of the model."""
    return list(_section_values(loaded, loaded.model, (), ""))


def _section_values(
    loaded: Loaded, section: Any, path: tuple[str | int, ...], key: str
) -> Iterator[EffectiveValue]:
    for field in msgspec.structs.fields(section):
        name = field.encode_name
        if not path and name == "class_defaults":
            continue  # loading has applied them to each class
        value = getattr(section, field.name)
        field_path, field_key = (*path, name), f"{key}.{name}" if key else name
        if isinstance(value, msgspec.Struct):
            yield from _section_values(loaded, value, field_path, field_key)
        elif value and isinstance(value, list) and isinstance(value[0], msgspec.Struct):
            for index, entry in enumerate(value):
                yield from _section_values(loaded, entry, (*field_path, index), f"{field_key}.{entry.name}")
        else:
            yield EffectiveValue(
                field_key,
                format_value(_resolve_default(section, field.name, value)),
                _origin(loaded, field_path),
            )


def _resolve_default(section: Any, name: str, value: Any) -> Any:
    """Return the value that an empty `path` or `methods` of a class stands for; any other value as it is."""
    if isinstance(section, RequestClass) and name in ("path", "methods"):
        return effective_path(section) if name == "path" else effective_methods(section)
    return value


def format_value(value: Any) -> str:
    """Return a value as it would be written in a TOML file."""
    if isinstance(value, Enum):
        return f'"{value.value}"'
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return f"[{', '.join(map(format_value, value))}]"
    if type(value) in (int, float):
        return str(value)
    return '""' if value is None else json.dumps(str(value), ensure_ascii=False)


def _origin(loaded: Loaded, path: tuple[str | int, ...]) -> str:
    """Return the file and line that set a key, or "default" if none does."""
    node: Any = loaded.tree
    for part in path:
        try:
            node = node[part]
        except (KeyError, IndexError, TypeError):
            return "default"
    return str(node.location) if isinstance(node, Setting) else "default"


@dataclass(frozen=True, slots=True)
class Change:
    """One value that differs between two configurations."""

    key: str
    old: str | None  # None: the old configuration does not have the key
    new: str | None  # None: the new configuration does not have the key
    needs_restart: bool

    def __str__(self) -> str:
        old, new = self.old or "(none)", self.new or "(none)"
        return f"{self.key}: {old} -> {new}{' (needs a restart)' if self.needs_restart else ''}"


def is_reloadable(key: str) -> bool:
    """Return whether a running sidecar applies a change of this key on SIGHUP."""
    return key in RELOADABLE_KEYS or key.startswith(RELOADABLE_PREFIXES)


def changes(old: Loaded, new: Loaded) -> list[Change]:
    """Return the values in force that differ; how settings are distributed over files makes no difference."""
    before = {entry.key: entry.value for entry in effective_values(old)}
    after = {entry.key: entry.value for entry in effective_values(new)}
    keys = [*before, *(key for key in after if key not in before)]
    return [
        Change(key, before.get(key), after.get(key), not is_reloadable(key))
        for key in keys
        if before.get(key) != after.get(key)
    ]
