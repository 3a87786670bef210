"""All sidecars of one host together: what no file shows alone."""

from __future__ import annotations

import os
from collections.abc import Iterable, Mapping
from pathlib import Path

from whinrouter.operator.checks import check
from whinrouter.operator.findings import Finding, Place
from whinrouter.operator.loading import CATALOGUE, Loaded, load
from whinrouter.operator.values import Address, overlap

PART = ".local.toml"  # a team's own edits: never a configuration by themselves
MOST_FOUND = 10_000  # files below one folder; a host has some hundred


def configurations(folder: Path) -> tuple[list[Loaded], list[Finding]]:
    """What no other file below a folder includes: its configurations; and what is wrong with the folder."""
    found, findings = _toml_files(folder)
    loads: dict[str, Loaded] = {}  # by real path
    for path in found:
        loaded = load(path)
        if path.name == CATALOGUE:
            findings += _stray(path, loaded.root)
        else:
            loads.setdefault(os.path.realpath(path), loaded)
    parts = {real for own, loaded in loads.items() for real in loaded.named if real != own}
    parts |= {real for real in loads if real.endswith(PART)}
    tops = [real for real in loads if real not in parts]
    # Files that include each other in a ring are in no top's reach, and would go unseen.
    reached = {real for top in tops for real in loads[top].named}
    for real, loaded in loads.items():
        if real not in reached and not real.endswith(PART):
            tops.append(real)
            reached |= loaded.named | {real}
    return [loads[real] for real in sorted(tops)], findings


def _toml_files(folder: Path) -> tuple[list[Path], list[Finding]]:
    found: list[Path] = []
    for base, folders, names in os.walk(folder):
        folders.sort()
        found += [Path(base, name) for name in sorted(names) if name.endswith(".toml") and name[0] != "."]
        if len(found) > MOST_FOUND:
            reason = f"There are more than {MOST_FOUND} files below it."
            return found[:MOST_FOUND], [
                Finding(Place(str(folder)), "", "too-many", reason, "Name a host's folder.")
            ]
    return found, []


def _stray(path: Path, root: str) -> list[Finding]:
    if os.path.realpath(path.parent) == os.path.realpath(root):
        return []
    reason = f"Only the catalogue in {root} counts; this one declares nothing."
    return [Finding(Place(str(path)), "", "stray-catalogue", reason, "Take it out.")]


def check_host(loads: Iterable[Loaded]) -> list[Finding]:
    """All findings on each of them and on all together."""
    loads = list(loads)
    findings = {finding for loaded in loads for finding in check(loaded)}
    return sorted(findings | set(_together(loads)))


def _together(loads: list[Loaded]) -> list[Finding]:
    listening = [(loaded, _real(loaded.model.listen.address)) for loaded in loads]
    known = [(loaded, address) for loaded, address in listening if address is not None]
    by_port: dict[int | str, list[tuple[Loaded, Address]]] = {}
    for loaded, address in known:
        by_port.setdefault(address.path or address.port, []).append((loaded, address))
    calls = _calls(loads, by_port)
    return [
        *_same_port(by_port),
        *calls,
        *_app_ports(loads, by_port),
        *_same_app(loads),
        *_loops(by_port, known),
    ]


def _calls(loads: list[Loaded], by_port: Mapping[int | str, list[tuple[Loaded, Address]]]) -> list[Finding]:
    """Addresses for calls that another sidecar takes, for calls or for its application."""
    findings = []
    seen: dict[int, list[tuple[Loaded, Address]]] = {}
    for loaded in loads:
        address = loaded.model.listen.control
        if address is None or address.path:
            continue
        claims = [*by_port.get(address.port, ()), *seen.get(address.port, ())]
        first = next((who for who, known in claims if who is not loaded and overlap(known, address)), None)
        if first is not None:
            place, reason = loaded.place(("listen", "control")), f"{address} is claimed by {first.path} too."
            todo = "Give each its own."
            findings.append(Finding(place, "listen.control", "same-port", reason, todo))
        seen.setdefault(address.port, []).append((loaded, address))
    return findings


def _real(address: Address | None) -> Address | None:
    """The address with a socket's folder as it really is; the socket itself may be a link too."""
    return Address(path=os.path.realpath(address.path)) if address and address.path else address


def _listen_finding(loaded: Loaded, code: str, reason: str, todo: str) -> Finding:
    return Finding(loaded.place(("listen", "address")), "listen.address", code, reason, todo)


def _same_port(by_port: Mapping[int | str, list[tuple[Loaded, Address]]]) -> list[Finding]:
    findings = []
    for claims in by_port.values():
        for at, (loaded, address) in enumerate(claims):
            # One earlier claim is enough to name; all pairs of a crowd would be a square of it.
            first = next((other for other, known in claims[:at] if overlap(known, address)), None)
            if first is not None:
                place = first.place(("listen", "address"))
                reason = f"{address} is claimed by {place} too, where it is {first.model.listen.address}."
                findings.append(_listen_finding(loaded, "same-port", reason, "Give each sidecar its own."))
    return findings


def _app_ports(
    loads: list[Loaded], by_port: Mapping[int | str, list[tuple[Loaded, Address]]]
) -> list[Finding]:
    findings = []
    for loaded in loads:
        for port in loaded.model.app.ports:
            for other, _ in by_port.get(port, ()):
                if other is not loaded:  # its own is said in the check of one file
                    reason = f"Port {port} belongs to the application of {loaded.path}."
                    findings.append(_listen_finding(other, "app-port", reason, "Choose another."))
    return findings


def _same_app(loads: list[Loaded]) -> list[Finding]:
    findings = []
    seen: dict[str, Loaded] = {}
    for loaded in loads:
        name = loaded.model.app.name
        if name and name in seen:
            reason = f"The application {name!r} has a sidecar already, by {seen[name].path}."
            place = loaded.place(("app", "name"))
            findings.append(Finding(place, "app.name", "same-app", reason, "Give each its own name."))
        elif name:
            seen[name] = loaded
    return findings


def _loops(
    by_port: Mapping[int | str, list[tuple[Loaded, Address]]], known: list[tuple[Loaded, Address]]
) -> list[Finding]:
    """Sidecars that send to each other, in a ring of any length."""
    places = {id(loaded): at for at, (loaded, _) in enumerate(known)}
    sends = [
        sorted(
            {
                places[id(other)]
                for host in loaded.model.discovery.hosts
                if not host.path
                for other, address in by_port.get(host.port, ())
                if other is not loaded and overlap(address, host)
            }
        )
        for loaded, _ in known
    ]
    findings = []
    for ring in _rings(sends):
        names = ", ".join(known[at][0].path for at in ring)
        for at in ring:
            loaded = known[at][0]
            reason = f"These sidecars send to each other, and a request may go round for ever: {names}."
            place = loaded.place(("discovery", "hosts"))
            findings.append(
                Finding(place, "discovery.hosts", "loop", reason, "Take the sidecars out of the hosts.")
            )
    return findings


def _rings(sends: list[list[int]]) -> list[list[int]]:
    """The strongly connected parts of more than one (Kosaraju's two passes, without recursion)."""
    order: list[int] = []
    seen: set[int] = set()
    for start in range(len(sends)):
        stack = [(start, iter(sends[start]))] if start not in seen else []
        seen.add(start)
        while stack:
            at, rest = stack[-1]
            following = next((other for other in rest if other not in seen), None)
            if following is None:
                order.append(at)
                stack.pop()
            else:
                seen.add(following)
                stack.append((following, iter(sends[following])))
    back: list[list[int]] = [[] for _ in sends]
    for at, others in enumerate(sends):
        for other in others:
            back[other].append(at)
    rings: list[list[int]] = []
    taken: set[int] = set()
    for start in reversed(order):
        ring, waiting = [], [start] if start not in taken else []
        taken.add(start)
        while waiting:
            at = waiting.pop()
            ring.append(at)
            fresh = [other for other in back[at] if other not in taken]
            taken.update(fresh)
            waiting += fresh
        if len(ring) > 1:
            rings.append(sorted(ring))
    return rings
