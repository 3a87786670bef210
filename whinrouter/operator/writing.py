"""Writes a whole configuration from a team's description of its application, each file in full or not at all.

It consists of three files: `NAME.toml`, which only includes the two others; `NAME.base.toml`, which is
generated anew each time; and `NAME.local.toml`, which belongs to the team, overrides the base, and is never
changed once it exists.
"""

from __future__ import annotations

import difflib
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from msgspec import Meta, Struct

from whinrouter.operator.decode import decode
from whinrouter.operator.explain import format_value
from whinrouter.operator.findings import Finding
from whinrouter.operator.host import check_host, load_configurations
from whinrouter.operator.loading import Loaded, file_locator, find_root, load, load_catalogue, read_toml
from whinrouter.operator.model import Catalogue, CatalogueEntry, Effect, Name, RequestClass, WhenGone
from whinrouter.operator.model import Path as UrlPath
from whinrouter.operator.values import Address, Duration

FIRST_PORT, LAST_PORT = 9100, 9999  # range of the ports that are assigned where a description names none


class Need(Struct, forbid_unknown_fields=True):
    """A class of request in a team's description; the names of fields are keys of the file."""

    name: Name
    safe_to_repeat: bool = False
    answer_within: Duration = RequestClass().aim
    give_up_after: Duration = RequestClass().deadline
    path: UrlPath = ""
    worth: Annotated[float, Meta(ge=0, le=1_000_000)] = 1.0


class Description(Struct, forbid_unknown_fields=True):
    """A team's description of its application; the names of fields are keys of the file."""

    name: Name
    owner: str
    ports: list[Annotated[int, Meta(ge=1, le=65535)]] = []
    listen: Address | None = None
    hosts: list[Address] = []
    hosts_file: str = ""
    pid_file: str = ""
    when_gone: WhenGone | None = None  # if unset, "close" with a pid_file and "ignore" without
    need: list[Need] = []


@dataclass(frozen=True, slots=True)
class WritePlan:
    """Files to be written, and what the checks report on them."""

    files: dict[Path, bytes]  # in the order of writing
    findings: list[Finding]


def read_description(path: Path) -> tuple[Description | None, list[Finding]]:
    """Read a description; return it (None if it cannot be used) and the findings on it."""
    raw, lines, findings = read_toml(path)
    return (None, findings) if raw is None else decode(Description, raw, file_locator(path, lines))


def plan_files(description: Description, folder: Path) -> WritePlan:
    """Return the files for a description, and the findings on them next to the folder's other sidecars."""
    top, base = folder / f"{description.name}.toml", folder / f"{description.name}.base.toml"
    # A run that was killed may have left the base without the file that includes it.
    own_names = (top.name, base.name)
    others = [loaded for loaded in load_configurations(folder)[0] if Path(loaded.path).name not in own_names]
    catalogue, _, _ = load_catalogue(find_root(top))
    address = description.listen or _free_port(others, description)
    local = folder / f"{description.name}.local.toml"
    files = {
        base: _base_file(description, address, catalogue).encode(),
        top: _top_file(description).encode(),
    }
    if not local.exists():
        files = {local: _local_file(description).encode(), **files}
    replacements = {os.path.realpath(path): data for path, data in files.items()}
    own = load(top, find_root(top), replacements)
    findings = [finding for finding in check_host([*others, own]) if _concerns(finding, own)]
    return WritePlan(files, findings)


def _concerns(finding: Finding, own: Loaded) -> bool:
    """Return whether a finding is on the files of this configuration, or names it in a conflict."""
    return finding.location.file in own.files or own.path in finding.reason


def _free_port(others: list[Loaded], description: Description) -> Address:
    """Return the lowest port that no other sidecar or application of the machine uses.

    It is the same for the same folder, so that repeated runs write the same file. If all are in use it is the
    last one, and the checks report the conflict.
    """
    used_ports = set(description.ports)
    for loaded in others:
        used_ports.update(loaded.model.app.ports)
        if loaded.model.listen.address is not None:
            used_ports.add(loaded.model.listen.address.port)
    port = next((port for port in range(FIRST_PORT, LAST_PORT + 1) if port not in used_ports), LAST_PORT)
    return Address("127.0.0.1", port)


def _top_file(description: Description) -> str:
    return (
        f"# The sidecar of {description.name}. Written by `copperlead sidecar write`, as is the base; "
        "changes of\n"
        f"# your own belong in {description.name}.local.toml, which goes before the base and is left alone.\n"
        f'include = ["{description.name}.base.toml", "{description.name}.local.toml"]\n'
    )


def _local_file(description: Description) -> str:
    return (
        f"# What {description.name} sets otherwise than its base. "
        "Yours: the tool does not touch it any more.\n"
    )


def _base_file(description: Description, address: Address, catalogue: Catalogue | None) -> str:
    lines = [
        "# Written by `copperlead sidecar write`; it is overwritten by the next.",
        "",
        "[app]",
        f"name = {format_value(description.name)}",
        f"owner = {format_value(description.owner)}",
    ]
    if description.ports:
        lines += [
            "# Its own ports: no sidecar of this host may listen there.",
            f"ports = {format_value(description.ports)}",
        ]
    if description.pid_file:
        lines.append(f"pid_file = {format_value(description.pid_file)}")
    if description.pid_file or description.when_gone:
        lines.append(f"when_gone = {format_value(description.when_gone or WhenGone.CLOSE)}")
    lines += [
        "",
        "[listen]",
        "# For the application alone.",
        f"address = {format_value(address)}",
        "",
        "[discovery]",
    ]
    if description.hosts_file:
        lines += [
            'source = "file"',
            "# Read again when it changes.",
            f"file = {format_value(description.hosts_file)}",
        ]
    if description.hosts or not description.hosts_file:
        lines.append(f"hosts = {format_value(description.hosts)}")
    for need in description.need:
        lines += _class_section(need, _catalogue_entry(need, catalogue))
    return "\n".join([*lines, ""])


def _catalogue_entry(need: Need, catalogue: Catalogue | None) -> CatalogueEntry | None:
    return next((entry for entry in catalogue.effect if entry.name == need.name), None) if catalogue else None


def _class_section(need: Need, entry: CatalogueEntry | None) -> list[str]:
    lines = ["", "[[class]]", f"name = {format_value(need.name)}"]
    path = need.path or (entry.path if entry else "")
    if path:
        lines.append(f"path = {format_value(path)}")
    if need.safe_to_repeat:
        lines += [
            "# Sent again where an attempt fails; the catalogue has to allow it.",
            'effect = "idempotent"',
        ]
    elif entry is not None and entry.effect is Effect.KEYED:
        lines += [
            "# Sent again only to the group that drops repeats, while it remembers.",
            'effect = "keyed"',
        ]
        lines.append(f"remembered = {format_value(entry.remembered)}")
    else:
        lines += ["# Never sent again once a host may have it.", 'effect = "at most once"']
    lines += [f"aim = {format_value(need.answer_within)}", f"deadline = {format_value(need.give_up_after)}"]
    return [*lines, f"worth = {format_value(need.worth)}"]


def unified_diff(plan: WritePlan) -> str:
    """Return what writing would change, as a unified diff."""
    lines: list[str] = []
    for path, data in plan.files.items():
        old = path.read_text() if path.exists() else ""
        lines += difflib.unified_diff(
            old.splitlines(True), data.decode().splitlines(True), str(path), str(path), n=3
        )
    return "".join(lines)


def write_files(plan: WritePlan) -> list[Path]:
    """Write the files that differ, each in full or not at all; return the paths that were written.

    Each file is written under a temporary name in its folder, synced to disk, and renamed. The one that
    includes the others comes last, so that its includes exist at any moment.
    """
    written = []
    for path, data in plan.files.items():
        if path.exists() and path.read_bytes() == data:
            continue
        temporary = path.parent / f".{path.name}.new"  # a fixed name: what a killed run left is overwritten
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o644)
        try:
            with open(descriptor, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.rename(temporary, path)
        except BaseException:
            temporary.unlink(missing_ok=True)
            raise
        _fsync_folder(path.parent)
        written.append(path)
    return written


def _fsync_folder(folder: Path) -> None:
    """Sync a folder's entries to disk, so that a rename survives a crash of the machine."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
