"""Reads an operator file with all that it includes, each file once: what is checked is what runs.

Precedence: a file overrides what it includes, and of its includes a later one overrides an earlier one.
Tables are merged key by key and `[[class]]` entries by their names; any other list is replaced as a whole.
The merged tree keeps the file and line of each value.
"""

from __future__ import annotations

import hashlib
import os
import stat
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from whinrouter.operator.decode import decode
from whinrouter.operator.findings import Finding, Location
from whinrouter.operator.model import Catalogue, Model
from whinrouter.operator.toml_lines import KeyPath, key_lines

MAX_FILE_BYTES = 1024 * 1024  # about a hundred times the size of a real file
MAX_FILES = 64  # of one configuration, the top file included
MAX_INCLUDE_DEPTH = 8
MAX_NESTING = 16  # of tables and lists; decoding is recursive
CATALOGUE_FILE = "catalogue.toml"  # in the configuration root


@dataclass(frozen=True, slots=True)
class Setting:
    """A value and the location that sets it; tables contain further settings."""

    value: Any
    location: Location


Tree = dict[str, Any]  # of Tree, list of Tree, and Setting


@dataclass(slots=True)
class Loaded:
    """A configuration as it was read."""

    path: str
    root: str
    model: Model = field(default_factory=Model)
    catalogue: Catalogue | None = None
    findings: list[Finding] = field(default_factory=list)
    tree: Tree = field(default_factory=dict)
    files: dict[str, bytes] = field(default_factory=dict)  # contents by path, in the order of reading
    referenced: set[str] = field(default_factory=set)  # real paths of the file and its includes, read or not
    is_complete: bool = True  # False: something could not be read, so an absent key may be set there

    @property
    def digest(self) -> str:
        """SHA-256 of the names and contents of all files read; configurations of one digest behave alike."""
        digest = hashlib.sha256()
        for name in sorted(self.files):
            data = self.files[name]
            digest.update(f"{len(name)} {name} {len(data)} ".encode() + data)
        return digest.hexdigest()

    def locate(self, path: KeyPath) -> Location:
        """Return where a key of the merged tree is set; if nowhere, where the nearest table above it is."""
        node: Any = self.tree
        location = Location(self.path)
        for part in path:
            try:
                node = node[part]
            except (KeyError, IndexError, TypeError):
                break
            location = _first_location(node) or location
            if isinstance(node, Setting):
                break
        return location


def _first_location(node: Any) -> Location | None:
    if isinstance(node, Setting):
        return node.location
    if isinstance(node, dict) and isinstance(node.get(_HEADER_KEY), Setting):
        header: Setting = node[_HEADER_KEY]
        return header.location
    children = node.values() if isinstance(node, dict) else node
    return next((location for location in map(_first_location, children) if location), None)


CLASS_DEFAULTS = "class_defaults"
_NOT_INHERITED = frozenset(("name", "path", "like"))  # keys that a class gets from no other class or default
_HEADER_KEY = "\0"  # holds the location of a table's header; no key of a file has this name


# Findings of loading after which the configuration is complete nevertheless.
_COMPLETE_DESPITE = frozenset(("double-class", "include-cycle", "like-cycle", "like-unknown"))


class _Loader:
    """Reads one configuration into `loaded`."""

    def __init__(self, path: Path, root: Path, replacements: Mapping[str, bytes]) -> None:
        self.root = root
        self._replacements = replacements
        self.loaded = Loaded(str(path), str(root))
        self._tree_by_file: dict[str, Tree] = {}  # by real path; a file that is included twice is read once

    def add_finding(self, location: Location, key: str, code: str, reason: str, todo: str) -> None:
        """Record a finding; most of them mean that the configuration is not complete."""
        self.loaded.is_complete = self.loaded.is_complete and code in _COMPLETE_DESPITE
        self.loaded.findings.append(Finding(location, key, code, reason, todo))

    def read(self, path: Path, location: Location, chain: tuple[str, ...]) -> Tree:
        """Return the settings of a file merged over those of its includes.

        `location` is where the file was included; `chain` holds the real paths of the files that led to it.
        """
        real_path = os.path.realpath(path)
        self.loaded.referenced.add(real_path)
        if real_path in chain:
            names = " -> ".join(Path(name).name for name in (*chain[chain.index(real_path) :], real_path))
            self.add_finding(
                location,
                "include",
                "include-cycle",
                f"The files include each other: {names}.",
                "Remove one of these includes.",
            )
            return {}
        if real_path in self._tree_by_file:
            return self._tree_by_file[real_path]
        if not _is_within(real_path, self.root):
            reason = f"{path} is outside the configuration root {self.root}."
            self.add_finding(location, "include", "outside-root", reason, "Keep all files under the root.")
            return {}
        if len(chain) >= MAX_INCLUDE_DEPTH or len(self.loaded.files) >= MAX_FILES:
            reason = (
                f"Includes are nested more than {MAX_INCLUDE_DEPTH} deep, or there are more than "
                f"{MAX_FILES} files."
            )
            self.add_finding(
                location, "include", "include-depth", reason, "Include fewer files, or nest them less deeply."
            )
            return {}
        decoded = self.decode_file(path, real_path, location)
        if decoded is None:
            return {}
        tree = self._merge_includes(path, decoded, (*chain, real_path))
        self._tree_by_file[real_path] = tree
        return tree

    def decode_file(
        self, path: Path, real_path: str, location: Location
    ) -> tuple[dict[str, Any], dict[KeyPath, int]] | None:
        """Return the values of one file and the lines of its keys; None if it cannot be read or decoded."""
        try:
            data = (
                self._replacements[real_path] if real_path in self._replacements else read_bounded(real_path)
            )
            text = decode_text(data)
        except _UnreadableError as error:
            # A file that is missing is reported where it is included, any other error in the file itself.
            error_location = (
                location if error.code == "unreadable" and location.line else Location(str(path), error.line)
            )
            self.add_finding(error_location, "", error.code, error.reason, error.todo)
            return None
        self.loaded.files[str(path)] = data
        try:
            values = tomllib.loads(text)
        except (tomllib.TOMLDecodeError, RecursionError, ValueError) as error:
            line = _error_line(str(error), text)
            reason = f"This is not TOML: {str(error).split(' (at ')[0]}."
            self.add_finding(Location(str(path), line), "", "syntax", reason, "Correct the line.")
            return None
        if _nesting_depth(values) > MAX_NESTING:
            reason = f"Tables or lists are nested more than {MAX_NESTING} deep."
            self.add_finding(
                Location(str(path)), "", "nesting", reason, "Remove levels; no key needs so many."
            )
            return None
        return values, key_lines(text)

    def _merge_includes(
        self, path: Path, decoded: tuple[dict[str, Any], dict[KeyPath, int]], chain: tuple[str, ...]
    ) -> Tree:
        values, lines = decoded
        includes = values.pop("include", [])
        if not isinstance(includes, list) or not all(isinstance(name, str) for name in includes):
            location = Location(str(path), lines.get(("include",), 0))
            self.add_finding(
                location,
                "include",
                "type",
                "This is not a list of file names.",
                'Write include = ["name"].',
            )
            includes = (
                [name for name in includes if isinstance(name, str)] if isinstance(includes, list) else []
            )
        merged: Tree = {}
        for index, name in enumerate(includes):
            location = Location(str(path), lines.get(("include", index), 0))
            if "\0" in name:
                self.add_finding(
                    location, "include", "unreadable", "The name contains a NUL byte.", "Write a file name."
                )
                continue
            merged = merge(merged, self.read(path.parent / name, location, chain))
        own_settings: Tree = self._with_locations(values, lines, str(path), ())
        self._check_duplicate_classes(own_settings)
        return merge(merged, own_settings)

    def _with_locations(self, value: Any, lines: dict[KeyPath, int], file: str, path: KeyPath) -> Any:
        """Return decoded values as a tree of settings with their locations."""
        location = Location(file, lines.get(path, 0))
        if isinstance(value, dict):
            children = {
                key: self._with_locations(entry, lines, file, (*path, key)) for key, entry in value.items()
            }
            return {_HEADER_KEY: Setting(None, location), **children} if path else children
        if isinstance(value, list) and value and all(isinstance(entry, dict) for entry in value):
            return [
                self._with_locations(entry, lines, file, (*path, index)) for index, entry in enumerate(value)
            ]
        return Setting(value, location)

    def _check_duplicate_classes(self, tree: Tree) -> None:
        seen: dict[str, Location] = {}
        for entry in _class_entries(tree):
            name = _class_name(entry)
            location = _first_location(entry) or Location(self.loaded.path)
            if name is not None and name in seen:
                reason = (
                    f"The class {name!r} is declared twice in this file, first in line {seen[name].line}."
                )
                self.add_finding(location, f"class.{name}", "double-class", reason, "Keep one of them.")
            elif name is not None:
                seen[name] = location


def _class_entries(tree: Tree) -> list[Tree]:
    entries = tree.get("class")
    return entries if isinstance(entries, list) else []


def _class_name(entry: Tree) -> str | None:
    name = entry.get("name")
    return name.value if isinstance(name, Setting) and isinstance(name.value, str) else None


def merge(base: Tree, override: Tree) -> Tree:
    """Return both trees merged; values of `override` take precedence."""
    merged = dict(base)
    for key, value in override.items():
        base_value = merged.get(key)
        if isinstance(base_value, dict) and isinstance(value, dict):
            merged[key] = merge(base_value, value)
        elif key == "class" and isinstance(base_value, list) and isinstance(value, list):
            merged[key] = _merge_classes(base_value, value)
        else:
            merged[key] = value
    return merged


def _merge_classes(base: list[Tree], override: list[Tree]) -> list[Tree]:
    merged = list(base)
    indexes = {_class_name(entry): index for index, entry in enumerate(merged)}
    for entry in override:
        index = indexes.get(_class_name(entry))
        if _class_name(entry) is None or index is None:
            merged.append(entry)
        else:
            merged[index] = merge(merged[index], entry)
    return merged


def plain_values(node: Any) -> Any:
    """Return the values of a tree without their locations."""
    if isinstance(node, Setting):
        return node.value
    if isinstance(node, dict):
        return {key: plain_values(value) for key, value in node.items() if key != _HEADER_KEY}
    return [plain_values(value) for value in node]


class _UnreadableError(Exception):
    """A file cannot be read; it carries the parts of a finding."""

    def __init__(self, code: str, reason: str, todo: str, line: int = 0) -> None:
        super().__init__(reason)
        self.code, self.reason, self.todo, self.line = code, reason, todo, line


def read_bounded(path: str) -> bytes:
    """Return the contents of a regular file of at most MAX_FILE_BYTES; _UnreadableError for anything else.

    It never blocks, as opening a named pipe otherwise would.
    """
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except (OSError, ValueError) as error:
        cause = getattr(error, "strerror", None) or str(error)
        raise _UnreadableError(
            "unreadable", f"{path} cannot be read: {cause}.", "Name a file that exists and is readable."
        ) from None
    if not stat.S_ISREG(os.fstat(descriptor).st_mode):
        os.close(descriptor)
        raise _UnreadableError("unreadable", f"{path} is not a regular file.", "Name a regular file.")
    with open(descriptor, "rb") as file:
        data = file.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise _UnreadableError("too-large", f"The file is larger than {MAX_FILE_BYTES} bytes.", "Split it.")
    return data


def decode_text(data: bytes) -> str:
    """Return the contents of a file as text; _UnreadableError unless it is UTF-8 without BOM and NUL."""
    if data.startswith((b"\xef\xbb\xbf", b"\xff\xfe", b"\xfe\xff")):
        raise _UnreadableError(
            "encoding",
            "The file begins with a byte order mark.",
            "Save it as UTF-8 without a byte order mark.",
            1,
        )
    if b"\0" in data:
        line = data[: data.index(b"\0")].count(b"\n") + 1
        raise _UnreadableError("encoding", "The file contains a NUL byte.", "Remove it.", line)
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        raise _UnreadableError("encoding", "This is not UTF-8.", "Save the file as UTF-8.", line) from None


def _error_line(message: str, source: str) -> int:
    """Return the line that a message of tomllib names; 0 if it names none."""
    _, separator, rest = message.partition("(at line ")
    if separator:
        return int(rest.split(",")[0])
    return source.count("\n") + 1 if "end of document" in message else 0


def _nesting_depth(value: Any) -> int:
    depth, level = 0, [value]
    while level:
        depth += 1
        level = [
            child
            for entry in level
            for child in (entry.values() if isinstance(entry, Mapping) else entry)
            if isinstance(child, (dict, list))
        ]
    return depth


def _is_within(real_path: str, root: Path) -> bool:
    real_root = os.path.realpath(root)
    return real_path == real_root or real_path.startswith(real_root.rstrip("/") + "/")


def find_root(path: Path) -> Path:
    """Return the configuration root of a file: the topmost folder above it with a catalogue, else its own.

    The topmost counts, because anyone with write access to an application's folder could otherwise put a more
    permissive catalogue there.
    """
    folders = [folder for folder in path.absolute().parents if (folder / CATALOGUE_FILE).is_file()]
    return folders[-1] if folders else path.absolute().parent


def file_locator(path: Path, lines: Mapping[KeyPath, int]) -> Callable[[KeyPath], Location]:
    """Return a function that gives the location of a key of one file, or of the nearest table above it."""

    def locate(key: KeyPath) -> Location:
        while key and key not in lines:
            key = key[:-1]
        return Location(str(path), lines.get(key, 0))

    return locate


def read_toml(path: Path) -> tuple[dict[str, Any] | None, dict[KeyPath, int], list[Finding]]:
    """Read one file without its includes: its values (None: unreadable), the lines of its keys, findings."""
    loader = _Loader(path, path.absolute().parent, {})
    decoded = loader.decode_file(path, os.path.realpath(path), Location(str(path)))
    values, lines = decoded if decoded is not None else (None, {})
    return values, lines, loader.loaded.findings


def load(path: Path, root: Path | None = None, replacements: Mapping[str, bytes] | None = None) -> Loaded:
    """Read a configuration; errors of reading and of types are in its findings.

    `replacements` holds contents by real path that are read in place of files, to check what has not been
    written yet.
    """
    loader = _Loader(path, root or find_root(path), replacements or {})
    loaded = loader.loaded
    loaded.tree = loader.read(path, Location(str(path)), ())
    if not loaded.files:
        return loaded
    _apply_inheritance(loader)
    values = plain_values(loaded.tree)
    loaded.model, findings = decode(Model, values, loaded.locate)
    loaded.findings += [_with_class_name(finding, values) for finding in findings]
    loaded.catalogue, catalogue_files, findings = load_catalogue(loader.root)
    loaded.files.update(catalogue_files)
    loaded.findings += findings
    return loaded


def _apply_inheritance(loader: _Loader) -> None:
    """Give each class the keys of the class named in its `like` and of [class_defaults]; its own keys win."""
    tree = loader.loaded.tree
    entries = _class_entries(tree)
    if not entries or not all(isinstance(entry, dict) for entry in entries):
        return
    entry_by_name = {name: entry for entry in entries if (name := _class_name(entry)) is not None}
    defaults = tree.get(CLASS_DEFAULTS)
    base: Tree = _inheritable_keys(defaults) if isinstance(defaults, dict) else {}
    tree["class"] = [merge(base, _resolve_like(loader, entry_by_name, entry, ())) for entry in entries]


def _inheritable_keys(entry: Tree) -> Tree:
    return {key: value for key, value in entry.items() if key not in _NOT_INHERITED}


def _resolve_like(
    loader: _Loader, entry_by_name: dict[str, Tree], entry: Tree, chain: tuple[str, ...]
) -> Tree:
    """Return a class merged over the class named in its `like`; `chain` holds the names that led here."""
    like = entry.get("like")
    if not isinstance(like, Setting) or not isinstance(like.value, str) or not like.value:
        return entry
    key = f"class.{_class_name(entry)}.like"
    if like.value in chain or like.value == _class_name(entry):
        loader.add_finding(
            like.location,
            key,
            "like-cycle",
            f"The class inherits from itself, through {like.value!r}.",
            "Remove one `like` of the cycle.",
        )
        return entry
    if like.value not in entry_by_name:
        loader.add_finding(
            like.location, key, "like-unknown", f"There is no class {like.value!r}.", "Name a declared class."
        )
        return entry
    other = _resolve_like(loader, entry_by_name, entry_by_name[like.value], (*chain, str(_class_name(entry))))
    return merge(_inheritable_keys(other), entry)


def load_catalogue(root: Path) -> tuple[Catalogue | None, dict[str, bytes], list[Finding]]:
    """Return the catalogue of a configuration root (None if there is none), the files read, and findings."""
    path = root / CATALOGUE_FILE
    if not path.is_file():
        return None, {}, []
    loader = _Loader(path, root, {})
    decoded = loader.decode_file(path, os.path.realpath(path), Location(str(path)))
    if decoded is None:
        return None, {}, loader.loaded.findings
    values, lines = decoded
    catalogue, findings = decode(Catalogue, values, file_locator(path, lines))
    return catalogue, loader.loaded.files, findings


def _with_class_name(finding: Finding, values: Any) -> Finding:
    """Return a finding whose key names the class by its name instead of its index, which includes change."""
    if not finding.key.startswith("class["):
        return finding
    index, _, rest = finding.key[len("class[") :].partition("]")
    entry = values["class"][int(index)]
    name = entry.get("name") if isinstance(entry, dict) else None
    key = f"class.{name}{rest}" if isinstance(name, str) else finding.key
    return Finding(finding.location, key, finding.code, finding.reason, finding.todo)
