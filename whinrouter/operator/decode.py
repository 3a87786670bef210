"""Conversion of decoded TOML to typed sections; all problems are reported at once."""

from __future__ import annotations

import difflib
import math
from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any, get_args, get_origin

import msgspec

from whinrouter.operator.findings import Finding, Location
from whinrouter.operator.toml_lines import KeyPath

Locator = Callable[[KeyPath], Location]


def parse_custom_type(target_type: type, value: Any) -> Any:
    """Convert a value to a type that msgspec does not know (its `dec_hook`), by that type's `parse`."""
    parse = getattr(target_type, "parse", None)
    if parse is None:
        raise NotImplementedError(f"the model's type {target_type!r} cannot be decoded")
    return parse(value)


def decode(
    struct_type: type[Any], raw: Any, locate: Locator, path: KeyPath = ()
) -> tuple[Any, list[Finding]]:
    """Return a section of this type, and the findings on its raw values.

    A value that is wrong keeps its default, so that the other checks can run too; a model that comes with
    findings is never run. The section is None if a required key is missing or wrong. `locate` returns where a
    key is set.
    """
    fields = {field.encode_name: field for field in msgspec.structs.fields(struct_type)}
    if not isinstance(raw, Mapping):
        has_default = not any(field.required for field in fields.values())
        return struct_type() if has_default else None, [
            _finding(locate, path, "type", "This is not a table.", "Write it as [section] with keys.")
        ]
    findings = [_unknown_key(locate, (*path, key), fields) for key in raw if key not in fields]
    values: dict[str, Any] = {}
    for name, field in fields.items():
        if name not in raw:
            if field.required:
                findings.append(_missing_key(locate, path, name))
            continue
        value, problems = _decode_value(field.type, raw[name], locate, (*path, name))
        findings += problems
        if value is not None:  # a nested section with findings is kept with its correct values
            values[field.name] = value
    if any(field.required and field.name not in values for field in fields.values()):
        return None, findings
    return struct_type(**values), findings


def _decode_value(target_type: Any, raw: Any, locate: Locator, path: KeyPath) -> tuple[Any, list[Finding]]:
    if isinstance(target_type, type) and issubclass(target_type, msgspec.Struct):
        return decode(target_type, raw, locate, path)
    element_type = _struct_element_type(target_type)
    if element_type is not None:
        return _decode_list(element_type, raw, locate, path)
    if isinstance(raw, float) and not math.isfinite(raw):
        return None, [
            _finding(locate, path, "number", "This is not a finite number.", "Write a finite number.")
        ]
    try:
        return msgspec.convert(raw, target_type, strict=True, dec_hook=parse_custom_type), []
    except msgspec.ValidationError as error:
        return None, [
            _finding(locate, path, "value", f"{_as_sentence(str(error))}", _expected_form(target_type))
        ]


def _struct_element_type(target_type: Any) -> type[Any] | None:
    """Return the element type of a list of Structs; None for any other type."""
    (element,) = get_args(target_type) if get_origin(target_type) is list else (None,)
    return element if isinstance(element, type) and issubclass(element, msgspec.Struct) else None


def _decode_list(
    element_type: type[Any], raw: Any, locate: Locator, path: KeyPath
) -> tuple[Any, list[Finding]]:
    if not isinstance(raw, list):
        todo = f"Write it as [[{path[-1]}]]."
        return None, [_finding(locate, path, "type", "This is not a list of tables.", todo)]
    values, findings = [], []
    for index, entry in enumerate(raw):
        value, problems = decode(element_type, entry, locate, (*path, index))
        findings += problems
        if value is not None:
            values.append(value)
    return values, findings


def _finding(locate: Locator, path: KeyPath, code: str, reason: str, todo: str) -> Finding:
    return Finding(locate(path), format_key_path(path), code, reason, todo)


def _unknown_key(locate: Locator, path: KeyPath, known: Mapping[str, object]) -> Finding:
    matches = difflib.get_close_matches(str(path[-1]), known, 1)
    todo = f"Did you mean {matches[0]!r}?" if matches else f"Known here: {', '.join(sorted(known))}."
    return _finding(locate, path, "unknown-key", f"There is no key {path[-1]!r} here.", todo)


def _missing_key(locate: Locator, path: KeyPath, name: str) -> Finding:
    reason = f"The key {name!r} is missing."
    return Finding(locate(path), format_key_path((*path, name)), "missing", reason, "Add it.")


def _as_sentence(message: str) -> str:
    """Return a message of msgspec as a sentence, without the path that msgspec appends."""
    message = message.split(" - at `$", 1)[0].rstrip(".")
    return message[:1].upper() + message[1:] + "."


def _expected_form(target_type: Any) -> str:
    if isinstance(target_type, type) and issubclass(target_type, Enum):
        return f"Write one of {', '.join(repr(member.value) for member in target_type)}."
    return "Write a value of that form."


def format_key_path(path: KeyPath) -> str:
    """Return a key path in the form that findings show, such as "class[2].effect"."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else str(part)
    return text
