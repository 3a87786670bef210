"""Checks of all sidecars of one machine together: conflicts that no single file shows.

The machine is the "host" of `check_host` and of the command line's `--host-dir`; elsewhere a host is a server
that a sidecar sends to.
"""

from __future__ import annotations

import os
from collections.abc import Iterable, Mapping
from pathlib import Path

from whinrouter.operator.checks import check
from whinrouter.operator.findings import Finding, Location
from whinrouter.operator.loading import CATALOGUE_FILE, Loaded, load
from whinrouter.operator.values import Address, overlap

LOCAL_SUFFIX = ".local.toml"  # a team's own settings: never a configuration by themselves
MAX_TOML_FILES = 10_000  # below one folder; a machine has some hundred


def load_configurations(folder: Path) -> tuple[list[Loaded], list[Finding]]:
    """Load the configurations below a folder: the files that no other one includes.

    Returns them sorted by real path, and the findings on the folder itself.
    """
    paths, findings = _toml_files(folder)
    loaded_by_path: dict[str, Loaded] = {}  # by real path
    for path in paths:
        loaded = load(path)
        if path.name == CATALOGUE_FILE:
            findings += _check_stray_catalogue(path, loaded.root)
        else:
            loaded_by_path.setdefault(os.path.realpath(path), loaded)
    included = {
        real_path
        for own_path, loaded in loaded_by_path.items()
        for real_path in loaded.referenced
        if real_path != own_path
    }
    included |= {real_path for real_path in loaded_by_path if real_path.endswith(LOCAL_SUFFIX)}
    top_files = [real_path for real_path in loaded_by_path if real_path not in included]
    # Files that include each other in a cycle are reached from no top file; one of each cycle is added, so
    # that the cycle is reported.
    reached = {real_path for top_file in top_files for real_path in loaded_by_path[top_file].referenced}
    for real_path, loaded in loaded_by_path.items():
        if real_path not in reached and not real_path.endswith(LOCAL_SUFFIX):
            top_files.append(real_path)
            reached |= loaded.referenced | {real_path}
    return [loaded_by_path[real_path] for real_path in sorted(top_files)], findings


def _toml_files(folder: Path) -> tuple[list[Path], list[Finding]]:
    paths: list[Path] = []
    for base, folders, names in os.walk(folder):
        folders.sort()
        paths += [Path(base, name) for name in sorted(names) if name.endswith(".toml") and name[0] != "."]
        if len(paths) > MAX_TOML_FILES:
            reason = f"There are more than {MAX_TOML_FILES} files below it."
            return paths[:MAX_TOML_FILES], [
                Finding(Location(str(folder)), "", "too-many", reason, "Name the folder of one machine.")
            ]
    return paths, []


def _check_stray_catalogue(path: Path, root: str) -> list[Finding]:
    if os.path.realpath(path.parent) == os.path.realpath(root):
        return []
    reason = f"Only the catalogue in {root} is used; this one declares nothing."
    return [Finding(Location(str(path)), "", "stray-catalogue", reason, "Remove it.")]


def check_host(configurations: Iterable[Loaded]) -> list[Finding]:
    """Return all findings on the configurations of one machine, on each by itself and on all together."""
    configurations = list(configurations)
    findings = {finding for loaded in configurations for finding in check(loaded)}
    return sorted(findings | set(_check_together(configurations)))


def _check_together(configurations: list[Loaded]) -> list[Finding]:
    addresses = [(loaded, _resolve_links(loaded.model.listen.address)) for loaded in configurations]
    listening = [(loaded, address) for loaded, address in addresses if address is not None]
    by_port: dict[int | str, list[tuple[Loaded, Address]]] = {}  # by port or socket path
    for loaded, address in listening:
        by_port.setdefault(address.path or address.port, []).append((loaded, address))
    control_findings = _check_control_addresses(configurations, by_port)
    return [
        *_check_listen_addresses(by_port),
        *control_findings,
        *_check_app_ports(configurations, by_port),
        *_check_app_names(configurations),
        *_check_loops(by_port, listening),
    ]


def _check_control_addresses(
    configurations: list[Loaded], by_port: Mapping[int | str, list[tuple[Loaded, Address]]]
) -> list[Finding]:
    """Find control addresses that another sidecar uses too, as its control address or for its application."""
    findings = []
    seen: dict[int, list[tuple[Loaded, Address]]] = {}
    for loaded in configurations:
        address = loaded.model.listen.control
        if address is None or address.path:
            continue
        claims = [*by_port.get(address.port, ()), *seen.get(address.port, ())]
        first = next(
            (other for other, claimed in claims if other is not loaded and overlap(claimed, address)), None
        )
        if first is not None:
            location, reason = loaded.locate(("listen", "control")), f"{address} is used by {first.path} too."
            todo = "Give each sidecar its own."
            findings.append(Finding(location, "listen.control", "same-port", reason, todo))
        seen.setdefault(address.port, []).append((loaded, address))
    return findings


def _resolve_links(address: Address | None) -> Address | None:
    """Return a Unix socket's address with all symbolic links resolved, the socket's own name included.

    Any other address is returned as it is.
    """
    return Address(path=os.path.realpath(address.path)) if address and address.path else address


def _listen_finding(loaded: Loaded, code: str, reason: str, todo: str) -> Finding:
    return Finding(loaded.locate(("listen", "address")), "listen.address", code, reason, todo)


def _check_listen_addresses(by_port: Mapping[int | str, list[tuple[Loaded, Address]]]) -> list[Finding]:
    findings = []
    for claims in by_port.values():
        for index, (loaded, address) in enumerate(claims):
            # Only the first earlier claim is reported: all pairs would grow quadratically with the sidecars.
            first = next((other for other, claimed in claims[:index] if overlap(claimed, address)), None)
            if first is not None:
                location = first.locate(("listen", "address"))
                reason = f"{address} is used by {location} too, where it is {first.model.listen.address}."
                findings.append(_listen_finding(loaded, "same-port", reason, "Give each sidecar its own."))
    return findings


def _check_app_ports(
    configurations: list[Loaded], by_port: Mapping[int | str, list[tuple[Loaded, Address]]]
) -> list[Finding]:
    findings = []
    for loaded in configurations:
        for port in loaded.model.app.ports:
            for other, _ in by_port.get(port, ()):
                if other is not loaded:  # its own ports are checked in `check_listen`
                    reason = f"Port {port} belongs to the application of {loaded.path}."
                    findings.append(_listen_finding(other, "app-port", reason, "Choose another."))
    return findings


def _check_app_names(configurations: list[Loaded]) -> list[Finding]:
    findings = []
    seen: dict[str, Loaded] = {}
    for loaded in configurations:
        name = loaded.model.app.name
        if name and name in seen:
            reason = f"The application {name!r} already has a sidecar, configured in {seen[name].path}."
            location = loaded.locate(("app", "name"))
            findings.append(Finding(location, "app.name", "same-app", reason, "Give each its own name."))
        elif name:
            seen[name] = loaded
    return findings


def _check_loops(
    by_port: Mapping[int | str, list[tuple[Loaded, Address]]], listening: list[tuple[Loaded, Address]]
) -> list[Finding]:
    """Find sidecars that have each other among their hosts, in a cycle of any length."""
    index_by_id = {id(loaded): index for index, (loaded, _) in enumerate(listening)}
    edges = [
        sorted(
            {
                index_by_id[id(other)]
                for host in loaded.model.discovery.hosts
                if not host.path
                for other, address in by_port.get(host.port, ())
                if other is not loaded and overlap(address, host)
            }
        )
        for loaded, _ in listening
    ]
    findings = []
    for component in _strongly_connected_components(edges):
        names = ", ".join(listening[index][0].path for index in component)
        for index in component:
            loaded = listening[index][0]
            reason = f"These sidecars send to each other, and a request may circulate endlessly: {names}."
            location = loaded.locate(("discovery", "hosts"))
            findings.append(
                Finding(
                    location, "discovery.hosts", "loop", reason, "Remove the sidecars from the list of hosts."
                )
            )
    return findings


def _strongly_connected_components(edges: list[list[int]]) -> list[list[int]]:
    """Return the components with more than one node, by Kosaraju's two passes without recursion.

    `edges` holds the successors of each node.
    """
    finish_order: list[int] = []
    visited: set[int] = set()
    for start in range(len(edges)):
        stack = [(start, iter(edges[start]))] if start not in visited else []
        visited.add(start)
        while stack:
            node, successors = stack[-1]
            unvisited = next((other for other in successors if other not in visited), None)
            if unvisited is None:
                finish_order.append(node)
                stack.pop()
            else:
                visited.add(unvisited)
                stack.append((unvisited, iter(edges[unvisited])))
    predecessors: list[list[int]] = [[] for _ in edges]
    for node, others in enumerate(edges):
        for other in others:
            predecessors[other].append(node)
    components: list[list[int]] = []
    assigned: set[int] = set()
    for start in reversed(finish_order):
        component, pending = [], [start] if start not in assigned else []
        assigned.add(start)
        while pending:
            node = pending.pop()
            component.append(node)
            unassigned = [other for other in predecessors[node] if other not in assigned]
            assigned.update(unassigned)
            pending += unassigned
        if len(component) > 1:
            components.append(sorted(component))
    return components
