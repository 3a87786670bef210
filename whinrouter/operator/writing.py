"""From what a team says of its application to a whole configuration, written whole or not at all.

Three files: `NAME.toml`, which only includes the two others; `NAME.base.toml`, which is written anew each
time; and `NAME.local.toml`, which is the team's, goes before the base and is never touched once it is there.
"""

from __future__ import annotations

import difflib
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from msgspec import Meta, Struct

from whinrouter.operator.decode import decode
from whinrouter.operator.explain import text
from whinrouter.operator.findings import Finding
from whinrouter.operator.host import check_host, configurations
from whinrouter.operator.loading import Loaded, by_line, load, load_catalogue, read_toml, root_of
from whinrouter.operator.model import Allowed, Catalogue, Effect, Name, RequestClass, WhenGone
from whinrouter.operator.model import Path as UrlPath
from whinrouter.operator.values import Address, Duration

FIRST_PORT, LAST_PORT = 9100, 9999  # from which a sidecar that names none has its port


class Need(Struct, forbid_unknown_fields=True):
    """A class of request, as a team sees it."""

    name: Name
    safe_to_repeat: bool = False
    answer_within: Duration = RequestClass().aim
    give_up_after: Duration = RequestClass().deadline
    path: UrlPath = ""
    worth: Annotated[float, Meta(ge=0, le=1_000_000)] = 1.0


class Description(Struct, forbid_unknown_fields=True):
    """What a team says of its application."""

    name: Name
    owner: str
    ports: list[Annotated[int, Meta(ge=1, le=65535)]] = []
    listen: Address | None = None
    hosts: list[Address] = []
    hosts_file: str = ""
    pid_file: str = ""
    when_gone: WhenGone | None = None  # "close", if there is a pid_file
    need: list[Need] = []


@dataclass(frozen=True, slots=True)
class Draft:
    """What would be written."""

    files: dict[Path, bytes]  # in the order of writing
    findings: list[Finding]


def describe(path: Path) -> tuple[Description | None, list[Finding]]:
    """Read a description; what is wrong with it."""
    told, lines, findings = read_toml(path)
    return (None, findings) if told is None else decode(Description, told, by_line(path, lines))


def draft(told: Description, folder: Path) -> Draft:
    """The files for a description, and what the checks say of them beside all else in the folder."""
    top, base = folder / f"{told.name}.toml", folder / f"{told.name}.base.toml"
    # A run that was killed may have left the base by itself.
    own_names = (top.name, base.name)
    others = [loaded for loaded in configurations(folder)[0] if Path(loaded.path).name not in own_names]
    catalogue, _, _ = load_catalogue(root_of(top))
    address = told.listen or _free_port(others, told)
    local = folder / f"{told.name}.local.toml"
    files = {
        base: _base(told, address, catalogue).encode(),
        top: _top(told).encode(),
    }
    if not local.exists():
        files = {local: _local(told).encode(), **files}
    instead = {os.path.realpath(path): data for path, data in files.items()}
    own = load(top, root_of(top), instead)
    findings = [finding for finding in check_host([*others, own]) if _concerns(finding, own)]
    return Draft(files, findings)


def _concerns(finding: Finding, own: Loaded) -> bool:
    return finding.place.file in own.files or own.path in finding.reason


def _free_port(others: list[Loaded], told: Description) -> Address:
    """The first port that no other sidecar or application of the host has: the same each time."""
    taken = set(told.ports)
    for loaded in others:
        taken.update(loaded.model.app.ports)
        if loaded.model.listen.address is not None:
            taken.add(loaded.model.listen.address.port)
    port = next((port for port in range(FIRST_PORT, LAST_PORT + 1) if port not in taken), LAST_PORT)
    return Address("127.0.0.1", port)


def _top(told: Description) -> str:
    return (
        f"# The sidecar of {told.name}. Written by `copperlead sidecar write`, as is the base; changes of\n"
        f"# your own belong in {told.name}.local.toml, which goes before the base and is left alone.\n"
        f'include = ["{told.name}.base.toml", "{told.name}.local.toml"]\n'
    )


def _local(told: Description) -> str:
    return f"# What {told.name} sets otherwise than its base. Yours: the tool does not touch it any more.\n"


def _base(told: Description, address: Address, catalogue: Catalogue | None) -> str:
    parts = [
        "# Written by `copperlead sidecar write`; it is overwritten by the next.",
        "",
        "[app]",
        f"name = {text(told.name)}",
        f"owner = {text(told.owner)}",
    ]
    if told.ports:
        parts += ["# Its own ports: no sidecar of this host may listen there.", f"ports = {text(told.ports)}"]
    if told.pid_file:
        parts.append(f"pid_file = {text(told.pid_file)}")
    if told.pid_file or told.when_gone:
        parts.append(f"when_gone = {text(told.when_gone or WhenGone.CLOSE)}")
    parts += ["", "[listen]", "# For the application alone.", f"address = {text(address)}", "", "[discovery]"]
    if told.hosts_file:
        parts += ['source = "file"', "# Read again when it changes.", f"file = {text(told.hosts_file)}"]
    if told.hosts or not told.hosts_file:
        parts.append(f"hosts = {text(told.hosts)}")
    for need in told.need:
        parts += _class(need, _declared(need, catalogue))
    return "\n".join([*parts, ""])


def _declared(need: Need, catalogue: Catalogue | None) -> Allowed | None:
    return next((entry for entry in catalogue.effect if entry.name == need.name), None) if catalogue else None


def _class(need: Need, declared: Allowed | None) -> list[str]:
    parts = ["", "[[class]]", f"name = {text(need.name)}"]
    path = need.path or (declared.path if declared else "")
    if path:
        parts.append(f"path = {text(path)}")
    if need.safe_to_repeat:
        parts += [
            "# Sent again where an attempt fails; the catalogue has to allow it.",
            'effect = "idempotent"',
        ]
    elif declared is not None and declared.effect is Effect.KEYED:
        parts += [
            "# Sent again only to the group that drops repeats, while it remembers.",
            'effect = "keyed"',
        ]
        parts.append(f"remembered = {text(declared.remembered)}")
    else:
        parts += ["# Never sent again once a host may have it.", 'effect = "at most once"']
    parts += [f"aim = {text(need.answer_within)}", f"deadline = {text(need.give_up_after)}"]
    return [*parts, f"worth = {text(need.worth)}"]


def difference(plan: Draft) -> str:
    """What writing would change, as a unified diff."""
    shown: list[str] = []
    for path, data in plan.files.items():
        old = path.read_text() if path.exists() else ""
        shown += difflib.unified_diff(
            old.splitlines(True), data.decode().splitlines(True), str(path), str(path), n=3
        )
    return "".join(shown)


def write(plan: Draft) -> list[Path]:
    """Write what differs, each file whole or not at all; return what was written.

    A file is written beside its place, brought to the disk, and renamed. The one that includes the others
    comes last, so that at each moment whatever it includes is there.
    """
    written = []
    for path, data in plan.files.items():
        if path.exists() and path.read_bytes() == data:
            continue
        beside = path.parent / f".{path.name}.new"  # one name: what a killed run left is overwritten
        descriptor = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o644)
        try:
            with open(descriptor, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.rename(beside, path)
        except BaseException:
            beside.unlink(missing_ok=True)
            raise
        _sync_folder(path.parent)
        written.append(path)
    return written


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
