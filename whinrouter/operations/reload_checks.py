"""Whether a new configuration may replace the one in force: as a whole or not at all. No I/O.

A file that is read while it is written, or that was truncated, may still be valid JSON that lacks a part. So
each key of the configuration in force has to be in the new one, with a value of the same type, and each entry
of a list of objects has to have the keys that all old entries share. Values that have to be above 0 are
listed by name. All findings are returned at once.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

# Parts that are validated where they are read.
_SKIPPED_KEYS = ("known",)
# Counts and times of the settings that are meaningless unless above 0, whatever was in force.
_POSITIVE_KEYS = {"classes": ("giveUp", "onTime"), "permissions": ("maxAttempts",)}


def findings(new: object, in_force: Mapping[str, Any]) -> list[str]:
    """Return all faults of a new configuration, each with its key; none if it may be applied."""
    if not isinstance(new, Mapping):
        return ["it holds no object"]
    return [*_check_shape("", new, in_force), *_check_settings(new.get("settings"))]


def _check_shape(path: str, new: object, old: object) -> Iterator[str]:
    """Yield the keys that the old value has and the new one lacks or has with another type."""
    if isinstance(old, Mapping):
        if not isinstance(new, Mapping):
            yield f"{path or 'it'} is no object"
            return
        for key, value in old.items():
            if key in _SKIPPED_KEYS:
                continue
            if key not in new:
                yield f"{path}{key} is missing"
            else:
                yield from _check_shape(f"{path}{key}.", new[key], value)
    elif isinstance(old, list):
        yield from _check_list(path, new, old)
    elif _comparable_type(new) is not _comparable_type(old):
        yield f"{path.rstrip('.')} is no {_comparable_type(old).__name__}"


def _check_list(path: str, new: object, old: list[Any]) -> Iterator[str]:
    if not isinstance(new, list):
        yield f"{path.rstrip('.')} is no list"
        return
    objects = [entry for entry in old if isinstance(entry, Mapping)]
    if not objects or len(objects) < len(old):
        return
    common = {key: objects[0][key] for key in objects[0] if all(key in entry for entry in objects)}
    for index, entry in enumerate(new):
        yield from _check_shape(f"{path}{index}.", entry, common)


def _comparable_type(value: object) -> type:
    """Return the type of a value; int and float count as one."""
    return float if type(value) is int else type(value)


def _check_settings(settings: object) -> Iterator[str]:
    if not isinstance(settings, Mapping):
        return  # already reported by `_check_shape`, or validated where it is read
    classes = settings.get("classes")
    if isinstance(classes, list):
        yield from _check_classes(classes)
    permissions = settings.get("permissions")
    if isinstance(permissions, Mapping):
        yield from _check_positive("settings.permissions", permissions, _POSITIVE_KEYS["permissions"])


def _check_classes(classes: list[Any]) -> Iterator[str]:
    if not classes:
        yield "settings.classes names no class"
    names = [entry.get("name") for entry in classes if isinstance(entry, Mapping)]
    for name in {name for name in names if isinstance(name, str) and names.count(name) > 1}:
        yield f"settings.classes names {name!r} twice"
    for index, entry in enumerate(classes):
        if isinstance(entry, Mapping):
            if not entry.get("name"):
                yield f"settings.classes.{index} has no name"
            yield from _check_positive(f"settings.classes.{index}", entry, _POSITIVE_KEYS["classes"])


def _check_positive(path: str, entry: Mapping[str, Any], keys: tuple[str, ...]) -> Iterator[str]:
    for key in keys:
        value = entry.get(key)
        if value is not None and not (type(value) in (int, float) and value > 0):
            yield f"{path}.{key} is no positive number"
