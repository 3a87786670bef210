"""Whether new settings may take the place of those in force: as a whole or not at all. No I/O.

A file that is read while it is written, or that somebody has cut short, often is a file all the same: it
lacks a part. So each key that the file in force has must stand in the new one, with a value of the same
kind; what every entry of a list of objects has, every new entry must have. What must be above 0 is looked
at by name. All that is wrong is found at once.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

# Lists that are data of their own, read by their own readers.
_APART = ("known",)
# Counts and times of the settings that mean nothing unless they are above 0, whatever was in force.
_POSITIVE = {"classes": ("giveUp", "onTime"), "permissions": ("maxAttempts",)}


def findings(fresh: object, in_force: Mapping[str, Any]) -> list[str]:
    """All that is wrong with a new configuration, each with its key; none if it may be taken."""
    if not isinstance(fresh, Mapping):
        return ["it holds no object"]
    return [*_missing("", fresh, in_force), *_settings(fresh.get("settings"))]


def _missing(at: str, fresh: object, old: object) -> Iterator[str]:
    """What the old one has and the new one lacks, or has as something else."""
    if isinstance(old, Mapping):
        if not isinstance(fresh, Mapping):
            yield f"{at or 'it'} is no object"
            return
        for key, value in old.items():
            if key in _APART:
                continue
            if key not in fresh:
                yield f"{at}{key} is missing"
            else:
                yield from _missing(f"{at}{key}.", fresh[key], value)
    elif isinstance(old, list):
        yield from _missing_in_list(at, fresh, old)
    elif _sort(fresh) is not _sort(old):
        yield f"{at.rstrip('.')} is no {_sort(old).__name__}"


def _missing_in_list(at: str, fresh: object, old: list[Any]) -> Iterator[str]:
    if not isinstance(fresh, list):
        yield f"{at.rstrip('.')} is no list"
        return
    objects = [entry for entry in old if isinstance(entry, Mapping)]
    if not objects or len(objects) < len(old):
        return
    shared = {key: objects[0][key] for key in objects[0] if all(key in entry for entry in objects)}
    for place, entry in enumerate(fresh):
        yield from _missing(f"{at}{place}.", entry, shared)


def _sort(value: object) -> type:
    """The kind of a value; whole numbers and others are one."""
    return float if type(value) is int else type(value)


def _settings(setup: object) -> Iterator[str]:
    if not isinstance(setup, Mapping):
        return  # told already, or it is read as what it is
    classes = setup.get("classes")
    if isinstance(classes, list):
        yield from _classes(classes)
    allowed = setup.get("permissions")
    if isinstance(allowed, Mapping):
        yield from _positive("settings.permissions", allowed, _POSITIVE["permissions"])


def _classes(classes: list[Any]) -> Iterator[str]:
    if not classes:
        yield "settings.classes names no class"
    names = [entry.get("name") for entry in classes if isinstance(entry, Mapping)]
    for name in {name for name in names if isinstance(name, str) and names.count(name) > 1}:
        yield f"settings.classes names {name!r} twice"
    for place, entry in enumerate(classes):
        if isinstance(entry, Mapping):
            if not entry.get("name"):
                yield f"settings.classes.{place} has no name"
            yield from _positive(f"settings.classes.{place}", entry, _POSITIVE["classes"])


def _positive(at: str, entry: Mapping[str, Any], keys: tuple[str, ...]) -> Iterator[str]:
    for key in keys:
        value = entry.get(key)
        if value is not None and not (type(value) in (int, float) and value > 0):
            yield f"{at}.{key} is no positive number"
