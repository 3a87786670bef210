"""From decoded TOML to typed sections, with all that is wrong told at once."""

from __future__ import annotations

import difflib
import math
from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any, get_args, get_origin

import msgspec

from whinrouter.operator.findings import Finding, Place
from whinrouter.operator.toml_lines import KeyPath

Where = Callable[[KeyPath], Place]


def read_value(kind: type, value: Any) -> Any:
    """The decoder's hook for types that it does not know; they read themselves."""
    read = getattr(kind, "read", None)
    if read is None:
        raise NotImplementedError(f"no type {kind!r} in a model")
    return read(value)


def decode(kind: type[Any], told: Any, where: Where, path: KeyPath = ()) -> tuple[Any, list[Finding]]:
    """A section of this type, and what is wrong with what was told.

    What is wrong keeps its default, so that the rest can be checked too; a model that comes with findings is
    never run.
    """
    if not isinstance(told, Mapping):
        return kind(), [
            _finding(where, path, "type", "This is no table.", "Write it as [section] with keys.")
        ]
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    findings = [_unknown(where, (*path, key), fields) for key in told if key not in fields]
    values: dict[str, Any] = {}
    for name, field in fields.items():
        if name not in told:
            if field.required:
                findings.append(_missing(where, path, name))
            continue
        value, wrong = _value(field.type, told[name], where, (*path, name))
        findings += wrong
        if value is not None:  # a section keeps what is right in it
            values[field.name] = value
    if any(field.required and field.name not in values for field in fields.values()):
        return None, findings
    return kind(**values), findings


def _value(kind: Any, told: Any, where: Where, path: KeyPath) -> tuple[Any, list[Finding]]:
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return decode(kind, told, where, path)
    inner = _listed_struct(kind)
    if inner is not None:
        return _list(inner, told, where, path)
    if isinstance(told, float) and not math.isfinite(told):
        return None, [_finding(where, path, "number", "This is no finite number.", "Write a plain number.")]
    try:
        return msgspec.convert(told, kind, strict=True, dec_hook=read_value), []
    except msgspec.ValidationError as error:
        return None, [_finding(where, path, "value", f"{_sentence(str(error))}", _todo(kind))]


def _listed_struct(kind: Any) -> type[Any] | None:
    (inner,) = get_args(kind) if get_origin(kind) is list else (None,)
    return inner if isinstance(inner, type) and issubclass(inner, msgspec.Struct) else None


def _list(inner: type[Any], told: Any, where: Where, path: KeyPath) -> tuple[Any, list[Finding]]:
    if not isinstance(told, list):
        todo = f"Write it as [[{path[-1]}]]."
        return None, [_finding(where, path, "type", "This is no list of tables.", todo)]
    values, findings = [], []
    for place, entry in enumerate(told):
        value, wrong = decode(inner, entry, where, (*path, place))
        findings += wrong
        if value is not None:
            values.append(value)
    return values, findings


def _finding(where: Where, path: KeyPath, code: str, reason: str, todo: str) -> Finding:
    return Finding(where(path), shown(path), code, reason, todo)


def _unknown(where: Where, path: KeyPath, known: Mapping[str, object]) -> Finding:
    near = difflib.get_close_matches(str(path[-1]), known, 1)
    todo = f"Did you mean {near[0]!r}?" if near else f"Known here: {', '.join(sorted(known))}."
    return _finding(where, path, "unknown-key", f"There is no key {path[-1]!r} here.", todo)


def _missing(where: Where, path: KeyPath, name: str) -> Finding:
    reason = f"The key {name!r} is missing."
    return Finding(where(path), shown((*path, name)), "missing", reason, "Add it.")


def _sentence(text: str) -> str:
    text = text.split(" - at `$", 1)[0].rstrip(".")
    return text[:1].upper() + text[1:] + "."


def _todo(kind: Any) -> str:
    if isinstance(kind, type) and issubclass(kind, Enum):
        return f"Write one of {', '.join(repr(member.value) for member in kind)}."
    return "Write a value of that form."


def shown(path: KeyPath) -> str:
    """A key path as people write it: "class[2].effect"."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else str(part)
    return text
