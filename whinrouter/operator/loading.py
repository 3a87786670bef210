"""A file with all that it includes, read once: what is checked is what runs.

The rule of precedence: a file goes before what it includes, and of its includes the later before the earlier.
Tables are merged key by key and `[[class]]` entries by their names; any other list is replaced as a whole.
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
from whinrouter.operator.findings import Finding, Place
from whinrouter.operator.model import Catalogue, Model
from whinrouter.operator.toml_lines import KeyPath, key_lines

MOST_BYTES = 1024 * 1024  # of one file: a hundred times what anyone writes
MOST_FILES = 64  # that one configuration includes, itself counted
MOST_DEPTH = 8  # of includes within includes
MOST_NESTING = 16  # of tables and lists; decoding recurses
CATALOGUE = "catalogue.toml"  # in the configuration root


@dataclass(frozen=True, slots=True)
class Setting:
    """A value and where it stands; tables hold settings in turn."""

    value: Any
    place: Place


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
    files: dict[str, bytes] = field(default_factory=dict)  # each that was read, in the order of reading
    named: set[str] = field(default_factory=set)  # the real paths of all that were to be read
    whole: bool = True  # all that it includes could be read; else what is missing says nothing

    @property
    def digest(self) -> str:
        """Of all that was read; two of the same digest run the same."""
        whole = hashlib.sha256()
        for name in sorted(self.files):
            data = self.files[name]
            whole.update(f"{len(name)} {name} {len(data)} ".encode() + data)
        return whole.hexdigest()

    def place(self, path: KeyPath) -> Place:
        """Where a key of the merged tree stands, or the nearest table above it that stands anywhere."""
        node: Any = self.tree
        place = Place(self.path)
        for part in path:
            try:
                node = node[part]
            except (KeyError, IndexError, TypeError):
                break
            place = _first_place(node) or place
            if isinstance(node, Setting):
                break
        return place


def _first_place(node: Any) -> Place | None:
    if isinstance(node, Setting):
        return node.place
    if isinstance(node, dict) and isinstance(node.get(_HEADER), Setting):
        header: Setting = node[_HEADER]
        return header.place
    inner = node.values() if isinstance(node, dict) else node
    return next((place for place in map(_first_place, inner) if place), None)


DEFAULTS = "class_defaults"
_OWN = frozenset(("name", "path", "like"))  # what a class has from nobody
_HEADER = "\0"  # where a table's own line is kept among its keys; no key of a file has this name


# Findings of the reading after which all of the configuration is there all the same.
_STILL_WHOLE = frozenset(("double-class", "include-cycle", "like-cycle", "like-unknown"))


class _Loader:
    def __init__(self, path: Path, root: Path, instead: Mapping[str, bytes]) -> None:
        self.root = root
        self._instead = instead
        self.loaded = Loaded(str(path), str(root))
        self._done: dict[str, Tree] = {}

    def add(self, place: Place, key: str, code: str, reason: str, todo: str) -> None:
        self.loaded.whole = self.loaded.whole and code in _STILL_WHOLE
        self.loaded.findings.append(Finding(place, key, code, reason, todo))

    def read(self, path: Path, place: Place, chain: tuple[str, ...]) -> Tree:
        """The settings of a file with those of what it includes; `place` is where it was named."""
        real = os.path.realpath(path)
        self.loaded.named.add(real)
        if real in chain:
            names = " -> ".join(Path(name).name for name in (*chain[chain.index(real) :], real))
            self.add(
                place, "include", "include-cycle", f"The files include each other: {names}.", "Break it."
            )
            return {}
        if real in self._done:
            return self._done[real]
        if not _within(real, self.root):
            reason = f"{path} leads out of the configuration root {self.root}."
            self.add(place, "include", "outside-root", reason, "Keep all files under the root.")
            return {}
        if len(chain) >= MOST_DEPTH or len(self.loaded.files) >= MOST_FILES:
            reason = f"Includes go deeper than {MOST_DEPTH} files or name more than {MOST_FILES}."
            self.add(place, "include", "include-depth", reason, "Include fewer files, less deeply.")
            return {}
        told = self.decoded(path, real, place)
        if told is None:
            return {}
        tree = self._with_includes(path, told, (*chain, real))
        self._done[real] = tree
        return tree

    def decoded(
        self, path: Path, real: str, place: Place
    ) -> tuple[dict[str, Any], dict[KeyPath, int]] | None:
        try:
            data = self._instead[real] if real in self._instead else read_bounded(real)
            text = checked_text(data)
        except _UnreadableError as error:
            at = place if error.code == "unreadable" and place.line else Place(str(path), error.line)
            self.add(at, "", error.code, error.reason, error.todo)
            return None
        self.loaded.files[str(path)] = data
        try:
            told = tomllib.loads(text)
        except (tomllib.TOMLDecodeError, RecursionError, ValueError) as error:
            line = _error_line(str(error), text)
            reason = f"This is not TOML: {str(error).split(' (at ')[0]}."
            self.add(Place(str(path), line), "", "syntax", reason, "Mend the line.")
            return None
        if _nesting(told) > MOST_NESTING:
            reason = f"Tables or lists are nested more than {MOST_NESTING} deep."
            self.add(Place(str(path)), "", "nesting", reason, "No key needs that.")
            return None
        return told, key_lines(text)

    def _with_includes(
        self, path: Path, told: tuple[dict[str, Any], dict[KeyPath, int]], chain: tuple[str, ...]
    ) -> Tree:
        values, lines = told
        named = values.pop("include", [])
        if not isinstance(named, list) or not all(isinstance(name, str) for name in named):
            place = Place(str(path), lines.get(("include",), 0))
            self.add(place, "include", "type", "This is no list of file names.", 'Write include = ["name"].')
            named = [name for name in named if isinstance(name, str)] if isinstance(named, list) else []
        merged: Tree = {}
        for number, name in enumerate(named):
            place = Place(str(path), lines.get(("include", number), 0))
            if "\0" in name:
                self.add(place, "include", "unreadable", "The name holds a NUL byte.", "Name a file.")
                continue
            merged = merge(merged, self.read(path.parent / name, place, chain))
        own: Tree = self._placed(values, lines, str(path), ())
        self._double_classes(own)
        return merge(merged, own)

    def _placed(self, value: Any, lines: dict[KeyPath, int], file: str, path: KeyPath) -> Any:
        place = Place(file, lines.get(path, 0))
        if isinstance(value, dict):
            inner = {key: self._placed(entry, lines, file, (*path, key)) for key, entry in value.items()}
            return {_HEADER: Setting(None, place), **inner} if path else inner
        if isinstance(value, list) and value and all(isinstance(entry, dict) for entry in value):
            return [self._placed(entry, lines, file, (*path, at)) for at, entry in enumerate(value)]
        return Setting(value, place)

    def _double_classes(self, tree: Tree) -> None:
        seen: dict[str, Place] = {}
        for entry in _entries(tree):
            name = _name(entry)
            place = _first_place(entry) or Place(self.loaded.path)
            if name is not None and name in seen:
                reason = f"The class {name!r} stands twice in this file, first in line {seen[name].line}."
                self.add(place, f"class.{name}", "double-class", reason, "Keep one of them.")
            elif name is not None:
                seen[name] = place


def _entries(tree: Tree) -> list[Tree]:
    entries = tree.get("class")
    return entries if isinstance(entries, list) else []


def _name(entry: Tree) -> str | None:
    name = entry.get("name")
    return name.value if isinstance(name, Setting) and isinstance(name.value, str) else None


def merge(under: Tree, over: Tree) -> Tree:
    """Both, where `over` goes first."""
    merged = dict(under)
    for key, value in over.items():
        known = merged.get(key)
        if isinstance(known, dict) and isinstance(value, dict):
            merged[key] = merge(known, value)
        elif key == "class" and isinstance(known, list) and isinstance(value, list):
            merged[key] = _merge_classes(known, value)
        else:
            merged[key] = value
    return merged


def _merge_classes(under: list[Tree], over: list[Tree]) -> list[Tree]:
    merged = list(under)
    places = {_name(entry): at for at, entry in enumerate(merged)}
    for entry in over:
        at = places.get(_name(entry))
        if _name(entry) is None or at is None:
            merged.append(entry)
        else:
            merged[at] = merge(merged[at], entry)
    return merged


def plain(node: Any) -> Any:
    """The values of a tree, without where they stand."""
    if isinstance(node, Setting):
        return node.value
    if isinstance(node, dict):
        return {key: plain(value) for key, value in node.items() if key != _HEADER}
    return [plain(value) for value in node]


class _UnreadableError(Exception):
    def __init__(self, code: str, reason: str, todo: str, line: int = 0) -> None:
        super().__init__(reason)
        self.code, self.reason, self.todo, self.line = code, reason, todo, line


def read_bounded(path: str) -> bytes:
    """The bytes of a file of a sane size; it never waits, as for a named pipe."""
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except (OSError, ValueError) as error:
        why = getattr(error, "strerror", None) or str(error)
        raise _UnreadableError(
            "unreadable", f"{path} cannot be read: {why}.", "Name a file that is there."
        ) from None
    if not stat.S_ISREG(os.fstat(descriptor).st_mode):
        os.close(descriptor)
        raise _UnreadableError("unreadable", f"{path} is no plain file.", "Name a plain file.")
    with open(descriptor, "rb") as file:
        data = file.read(MOST_BYTES + 1)
    if len(data) > MOST_BYTES:
        raise _UnreadableError("too-large", f"The file is larger than {MOST_BYTES} bytes.", "Split it.")
    return data


def checked_text(data: bytes) -> str:
    """The text of a file; it must be plain UTF-8."""
    if data.startswith((b"\xef\xbb\xbf", b"\xff\xfe", b"\xfe\xff")):
        raise _UnreadableError(
            "encoding", "The file begins with a byte order mark.", "Save it as UTF-8 without.", 1
        )
    if b"\0" in data:
        line = data[: data.index(b"\0")].count(b"\n") + 1
        raise _UnreadableError("encoding", "The file holds a NUL byte.", "Take it out.", line)
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        raise _UnreadableError("encoding", "This is not UTF-8.", "Save the file as UTF-8.", line) from None


def _error_line(text: str, source: str) -> int:
    _, found, rest = text.partition("(at line ")
    if found:
        return int(rest.split(",")[0])
    return source.count("\n") + 1 if "end of document" in text else 0


def _nesting(value: Any) -> int:
    deepest, level = 0, [value]
    while level:
        deepest += 1
        level = [
            inner
            for entry in level
            for inner in (entry.values() if isinstance(entry, Mapping) else entry)
            if isinstance(inner, (dict, list))
        ]
    return deepest


def _within(real: str, root: Path) -> bool:
    base = os.path.realpath(root)
    return real == base or real.startswith(base.rstrip("/") + "/")


def root_of(path: Path) -> Path:
    """The configuration root of a file: the topmost folder above it that holds a catalogue, else its own.

    The topmost, as whoever may write an application's folder could else put a milder catalogue there.
    """
    folders = [folder for folder in path.absolute().parents if (folder / CATALOGUE).is_file()]
    return folders[-1] if folders else path.absolute().parent


def by_line(path: Path, lines: Mapping[KeyPath, int]) -> Callable[[KeyPath], Place]:
    """Where each key of one file stands, or the nearest table above it."""

    def where(key: KeyPath) -> Place:
        while key and key not in lines:
            key = key[:-1]
        return Place(str(path), lines.get(key, 0))

    return where


def read_toml(path: Path) -> tuple[dict[str, Any] | None, dict[KeyPath, int], list[Finding]]:
    """One file by itself: what it says, the lines of its keys, and what is wrong if it could not be read."""
    loader = _Loader(path, path.absolute().parent, {})
    told = loader.decoded(path, os.path.realpath(path), Place(str(path)))
    values, lines = told if told is not None else (None, {})
    return values, lines, loader.loaded.findings


def load(path: Path, root: Path | None = None, instead: Mapping[str, bytes] | None = None) -> Loaded:
    """Read a configuration; what is wrong with the reading and the types is in its findings.

    `instead`: what is to be read in place of some files, by their real paths, before it is written there.
    """
    loader = _Loader(path, root or root_of(path), instead or {})
    loaded = loader.loaded
    loaded.tree = loader.read(path, Place(str(path)), ())
    if not loaded.files:
        return loaded
    _inherit(loader)
    told = plain(loaded.tree)
    loaded.model, findings = decode(Model, told, loaded.place)
    loaded.findings += [_by_name(finding, told) for finding in findings]
    loaded.catalogue, read, findings = load_catalogue(loader.root)
    loaded.files.update(read)
    loaded.findings += findings
    return loaded


def _inherit(loader: _Loader) -> None:
    """Give each class the keys of those that it is like, and the defaults of all; its own go first."""
    tree = loader.loaded.tree
    entries = _entries(tree)
    if not entries or not all(isinstance(entry, dict) for entry in entries):
        return
    named = {name: entry for entry in entries if (name := _name(entry)) is not None}
    default = tree.get(DEFAULTS)
    base: Tree = _inherited(default) if isinstance(default, dict) else {}
    tree["class"] = [merge(base, _like(loader, named, entry, ())) for entry in entries]


def _inherited(entry: Tree) -> Tree:
    return {key: value for key, value in entry.items() if key not in _OWN}


def _like(loader: _Loader, named: dict[str, Tree], entry: Tree, chain: tuple[str, ...]) -> Tree:
    like = entry.get("like")
    if not isinstance(like, Setting) or not isinstance(like.value, str) or not like.value:
        return entry
    key = f"class.{_name(entry)}.like"
    if like.value in chain or like.value == _name(entry):
        loader.add(
            like.place, key, "like-cycle", f"The class is like itself, by {like.value!r}.", "Break it."
        )
        return entry
    if like.value not in named:
        loader.add(
            like.place, key, "like-unknown", f"There is no class {like.value!r}.", "Name one that is there."
        )
        return entry
    other = _like(loader, named, named[like.value], (*chain, str(_name(entry))))
    return merge(_inherited(other), entry)


def load_catalogue(root: Path) -> tuple[Catalogue | None, dict[str, bytes], list[Finding]]:
    """The catalogue of a configuration root (None: there is none), what was read, what is wrong."""
    path = root / CATALOGUE
    if not path.is_file():
        return None, {}, []
    loader = _Loader(path, root, {})
    told = loader.decoded(path, os.path.realpath(path), Place(str(path)))
    if told is None:
        return None, {}, loader.loaded.findings
    values, lines = told
    catalogue, findings = decode(Catalogue, values, by_line(path, lines))
    return catalogue, loader.loaded.files, findings


def _by_name(finding: Finding, told: Any) -> Finding:
    """A class is named in a finding's key by its name, not by its number, which depends on includes."""
    if not finding.key.startswith("class["):
        return finding
    number, _, rest = finding.key[len("class[") :].partition("]")
    entry = told["class"][int(number)]
    name = entry.get("name") if isinstance(entry, dict) else None
    key = f"class.{name}{rest}" if isinstance(name, str) else finding.key
    return Finding(finding.place, key, finding.code, finding.reason, finding.todo)
