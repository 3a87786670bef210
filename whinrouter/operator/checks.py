"""Checks of a configuration beyond the types of its values: pure functions from a `Loaded` to findings.

`CHECKS` lists them; a subsystem adds its own there. Each check sees the whole configuration and reports
everything that it finds, so that one run shows all that has to be corrected.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from whinrouter.operator.findings import Finding, Location
from whinrouter.operator.loading import Loaded
from whinrouter.operator.model import CatalogueEntry, Effect, RequestClass, Source, WhenGone
from whinrouter.operator.values import Duration, overlap

Check = Callable[[Loaded], Iterator[Finding]]

EPHEMERAL_PORTS = (32768, 60999)  # Linux assigns these to outgoing connections by default
FIRST_UNPRIVILEGED_PORT = 1024
RESERVED_SOCKETS = 40  # descriptors other than connections from clients and to hosts
# Memory in bytes, from `benchmarks.memory`, rounded up: a process that has started; a client's connection; a
# request in progress with its connection to a host.
PROCESS_BYTES, BYTES_PER_CLIENT, BYTES_PER_UPSTREAM_CONNECTION = 32 * 1024**2, 5 * 1024, 13 * 1024
SUPPORTED_METHODS = (
    "GET",
    "POST",
    "PUT",
    "DELETE",
    "PATCH",
)  # not HEAD: its response would have to be parsed without a body
MAX_CLASSES = 256


def _finding(loaded: Loaded, key: str, code: str, reason: str, todo: str) -> Finding:
    return Finding(_locate(loaded, key), key, code, reason, todo)


def _locate(loaded: Loaded, key: str) -> Location:
    """Return where a dotted key is set; in "class.NAME.key" the class is found by its name."""
    parts = key.split(".")
    if parts[0] != "class" or len(parts) < 2:
        return loaded.locate(tuple(parts))
    for index, request_class in enumerate(loaded.model.request_class):
        if request_class.name == parts[1]:
            return loaded.locate(("class", index, *parts[2:]))
    return loaded.locate(("class",))


def check_app(loaded: Loaded) -> Iterator[Finding]:
    """Check that [app] has a name and an owner, and that `pid_file` and `when_gone` fit together."""
    app = loaded.model.app
    for key in ("name", "owner"):
        if not getattr(app, key) and not _is_reported(loaded, f"app.{key}"):
            yield _finding(
                loaded, f"app.{key}", "missing", f"The application has no {key}.", f"Set app.{key}."
            )
    if app.when_gone is not WhenGone.IGNORE and not app.pid_file:
        reason = "Without a pid_file the sidecar cannot detect that the application is gone."
        yield _finding(loaded, "app.when_gone", "app-unknown", reason, "Set app.pid_file.")
    if app.pid_file and not app.pid_file.startswith("/"):
        yield _finding(
            loaded, "app.pid_file", "relative-path", "The path is not absolute.", "Begin it with a slash."
        )
    if app.pid_file and app.when_gone is WhenGone.IGNORE:
        reason = "The file is set, but app.when_gone ignores that the application is gone."
        yield _finding(loaded, "app.pid_file", "no-effect", reason, 'Set app.when_gone to "close" or "exit".')


def check_control(loaded: Loaded) -> Iterator[Finding]:
    """Check that the control address is a free, unprivileged port of loopback."""
    listen, key = loaded.model.listen, "listen.control"
    address = listen.control
    if address is None:
        return
    if address.path or not address.is_loopback:
        reason = f"{address} is not a port of loopback: anyone who can connect to it can drain the sidecar."
        yield _finding(loaded, key, "not-loopback", reason, "Use a port of 127.0.0.1 or [::1].")
    elif address.port < FIRST_UNPRIVILEGED_PORT:
        reason = f"Ports below {FIRST_UNPRIVILEGED_PORT} need a privilege that a sidecar does not have."
        yield _finding(
            loaded, key, "privileged-port", reason, f"Use a port from {FIRST_UNPRIVILEGED_PORT} up."
        )
    elif address == listen.address or address.port in loaded.model.app.ports:
        yield _finding(loaded, key, "port-taken", f"{address} is already in use.", "Choose another port.")


def check_listen(loaded: Loaded) -> Iterator[Finding]:
    """Check that the sidecar listens on loopback or a Unix socket, on a port that it can rely on."""
    address, key = loaded.model.listen.address, "listen.address"
    if address is None:
        if not _is_reported(loaded, key):
            yield _finding(
                loaded,
                key,
                "missing",
                "The sidecar has no address to listen on.",
                'Set it, for example to "127.0.0.1:9000".',
            )
        return
    if not address.is_loopback:
        reason = f"{address} can be reached from other machines; a sidecar serves only its own application."
        yield _finding(loaded, key, "not-loopback", reason, "Listen on 127.0.0.1, [::1] or a Unix socket.")
    if not address.path and EPHEMERAL_PORTS[0] <= address.port <= EPHEMERAL_PORTS[1]:
        reason = (
            f"The system assigns ports from {EPHEMERAL_PORTS[0]} to {EPHEMERAL_PORTS[1]} to outgoing "
            "connections, so the port may be in use."
        )
        yield _finding(loaded, key, "ephemeral-port", reason, f"Choose one below {EPHEMERAL_PORTS[0]}.")
    if not address.path and address.port < FIRST_UNPRIVILEGED_PORT:
        reason = f"Ports below {FIRST_UNPRIVILEGED_PORT} need a privilege that a sidecar does not have."
        yield _finding(
            loaded, key, "privileged-port", reason, f"Use a port from {FIRST_UNPRIVILEGED_PORT} up."
        )
    if address.port in loaded.model.app.ports:
        reason = f"Port {address.port} belongs to the application itself."
        yield _finding(loaded, key, "app-port", reason, "Choose another.")


def _is_reported(loaded: Loaded, key: str) -> bool:
    """Return whether loading has reported a finding on this key already."""
    return any(finding.key == key for finding in loaded.findings)


def check_discovery(loaded: Loaded) -> Iterator[Finding]:
    """Check that the keys of the chosen source of hosts are set and those of the others are not."""
    section = loaded.model.discovery
    key_of_source = {Source.STATIC: "hosts", Source.FILE: "file", Source.SERVICE: "address"}
    for source, name in key_of_source.items():
        key, is_set = f"discovery.{name}", bool(getattr(section, name))
        if source is section.source and not is_set and not _is_reported(loaded, key):
            reason = f"The source of hosts is {source.value!r}, but {name!r} is not set."
            yield _finding(loaded, key, "missing", reason, f"Set {key}, or another discovery.source.")
        if source is not section.source and is_set:
            reason = f"The key is not used, as the source of hosts is {section.source.value!r}."
            yield _finding(
                loaded, key, "no-effect", reason, f"Remove it, or set discovery.source to {source.value!r}."
            )
    if section.file and not section.file.startswith("/"):
        yield _finding(
            loaded, "discovery.file", "relative-path", "The path is not absolute.", "Begin it with a slash."
        )
    yield from _check_hosts(loaded)


def _check_hosts(loaded: Loaded) -> Iterator[Finding]:
    own_address, key = loaded.model.listen.address, "discovery.hosts"
    seen: set[str] = set()
    for host in loaded.model.discovery.hosts:
        if str(host) in seen:
            yield _finding(loaded, key, "double-host", f"{host} is listed twice.", "Keep one of them.")
        seen.add(str(host))
        if host.path:
            yield _finding(loaded, key, "host-form", f"{host} has no port.", "Write address:port.")
        elif host.ip.is_unspecified or host.ip.is_multicast:
            yield _finding(
                loaded, key, "host-form", f"{host} is not a unicast address.", "Write the host's own address."
            )
        elif own_address is not None and overlap(own_address, host):
            reason = (
                f"The sidecar would send to itself: it listens on {own_address}, and {host} is one of its "
                "hosts."
            )
            yield _finding(loaded, key, "loop", reason, "Remove that host, or listen on another address.")


def check_classes(loaded: Loaded) -> Iterator[Finding]:
    """Check the request classes: their number, their names and paths, and each class by itself."""
    request_classes = loaded.model.request_class
    if not request_classes and not _is_reported(loaded, "class"):
        yield _finding(loaded, "class", "missing", "No class of request is declared.", "Add a [[class]].")
    if len(request_classes) > MAX_CLASSES:
        yield _finding(
            loaded, "class", "too-many", f"There are more than {MAX_CLASSES} classes.", "Declare fewer."
        )
    defaults = loaded.model.class_defaults
    for key in ("name", "path", "like"):
        if getattr(defaults, key):
            reason = f"Classes cannot share one {key}."
            yield _finding(loaded, f"class_defaults.{key}", "default-own", reason, "Set it in each class.")
    class_by_path: dict[str, str] = {}
    for index, request_class in enumerate(request_classes):
        if not request_class.name:
            location = loaded.locate(("class", index, "name"))
            # A name of the wrong form was reported by the decoder.
            if not any(finding.location == location for finding in loaded.findings):
                yield Finding(
                    loaded.locate(("class", index)),
                    f"class[{index}].name",
                    "missing",
                    "The class has no name.",
                    "Add a name.",
                )
            continue
        path = effective_path(request_class)
        if class_by_path.get(path, request_class.name) != request_class.name:
            reason = f"The class {class_by_path[path]!r} has the path {path} too."
            yield _finding(
                loaded,
                f"class.{request_class.name}.path",
                "double-path",
                reason,
                "Give each class its own path.",
            )
        class_by_path[path] = request_class.name
        yield from _check_class(loaded, request_class)


def effective_path(request_class: RequestClass) -> str:
    """Return the path prefix of a class; "/" and the name if none is set.

    A prefix matches whole segments. Of several that match a request the longest decides.
    """
    return request_class.path or f"/{request_class.name}"


def _check_class(loaded: Loaded, request_class: RequestClass) -> Iterator[Finding]:
    key = f"class.{request_class.name}"
    path = effective_path(request_class)
    if (
        "?" in path
        or "#" in path
        or "//" in path
        or "%" in path
        or "/./" in f"{path}/"
        or "/../" in f"{path}/"
    ):
        reason = "The path contains ?, #, %, // or a dot segment, so it matches no request."
        yield _finding(loaded, f"{key}.path", "path-form", reason, "Write a plain prefix.")
    if path != "/" and path.endswith("/"):
        yield _finding(loaded, f"{key}.path", "path-form", "The path ends with a slash.", "Remove the slash.")
    yield from _check_times(loaded, request_class, key)
    yield from _check_methods(loaded, request_class, key)
    if request_class.effect is Effect.KEYED and not request_class.remembered:
        reason = "The class is keyed, but the time for which repeats are dropped is not set."
        yield _finding(loaded, f"{key}.remembered", "missing", reason, "Set it as the catalogue does.")
    if request_class.effect is not Effect.KEYED and request_class.remembered:
        reason = f"The key has no meaning for a class that is {request_class.effect.value}."
        yield _finding(loaded, f"{key}.remembered", "no-effect", reason, "Remove it.")
    if request_class.late_worth > request_class.worth:
        reason = "A late answer would be worth more than one in time."
        yield _finding(loaded, f"{key}.late_worth", "worth", reason, "Set it to worth at most.")


def _check_times(loaded: Loaded, request_class: RequestClass, key: str) -> Iterator[Finding]:
    for name in ("aim", "deadline"):
        if getattr(request_class, name) <= 0:
            yield _finding(loaded, f"{key}.{name}", "zero", f"The {name} is zero.", "Set it above 0.")
    if request_class.aim > request_class.deadline:
        reason = f"The aim of {request_class.aim} is later than the deadline of {request_class.deadline}."
        yield _finding(loaded, f"{key}.aim", "aim-deadline", reason, "Set the aim to the deadline at most.")
    upstream = loaded.model.upstream
    if upstream.connect_time >= request_class.deadline > 0:
        reason = f"Connecting may take {upstream.connect_time}, and the deadline is {request_class.deadline}."
        yield _finding(loaded, f"{key}.deadline", "connect-deadline", reason, "Lower upstream.connect_time.")
    attempts = upstream.attempts if request_class.effect is not Effect.AT_MOST_ONCE else 1
    if attempts * upstream.attempt_time > request_class.deadline:
        total_time = Duration(attempts * upstream.attempt_time)
        reason = (
            f"{attempts} attempts of {upstream.attempt_time} take {total_time}, longer than the deadline of "
            f"{request_class.deadline}."
        )
        todo = "Lower upstream.attempts or upstream.attempt_time, or raise the deadline."
        yield _finding(loaded, f"{key}.deadline", "attempts-deadline", reason, todo)


def effective_methods(request_class: RequestClass) -> list[str]:
    """Return the methods of a class; if none are set, GET for an idempotent class and POST for any other."""
    return request_class.methods or (["GET"] if request_class.effect is Effect.IDEMPOTENT else ["POST"])


def _check_methods(loaded: Loaded, request_class: RequestClass, key: str) -> Iterator[Finding]:
    for method in request_class.methods:
        if method not in SUPPORTED_METHODS:
            reason = f"{method!r} is not a supported method."
            yield _finding(
                loaded, f"{key}.methods", "method", reason, f"Supported: {', '.join(SUPPORTED_METHODS)}."
            )
        elif method == "GET" and request_class.effect is not Effect.IDEMPOTENT:
            reason = (
                f"{method} is safe by definition (RFC 9110, 9.2.1), and the class is "
                f"{request_class.effect.value}."
            )
            yield _finding(
                loaded, f"{key}.methods", "method-effect", reason, "Use POST, or change the effect."
            )
        elif method in ("POST", "PATCH") and request_class.effect is Effect.IDEMPOTENT:
            reason = f"{method} is not idempotent by definition, and the class is."
            yield _finding(
                loaded, f"{key}.methods", "method-effect", reason, "Use GET, or change the effect."
            )
    if len(set(request_class.methods)) < len(request_class.methods):
        yield _finding(loaded, f"{key}.methods", "method", "A method is listed twice.", "Keep one of them.")


def check_effects(loaded: Loaded) -> Iterator[Finding]:
    """Check classes against the catalogue.

    No class may claim to be safer to repeat than the catalogue declares, and no class may match paths that
    are declared less safe than the class itself.
    """
    catalogue, catalogue_file = loaded.catalogue, f"{loaded.root}/catalogue.toml"
    if any(finding.location.file == catalogue_file for finding in loaded.findings):
        return  # the catalogue could not be read, so its declarations are unknown
    request_classes = [request_class for request_class in loaded.model.request_class if request_class.name]
    if catalogue is None:
        for request_class in request_classes:
            if request_class.effect is not Effect.AT_MOST_ONCE:
                reason = f"It is said to be {request_class.effect.value}, and no catalogue declares that."
                todo = "Put a signed catalogue.toml in the configuration root."
                yield _finding(loaded, f"class.{request_class.name}.effect", "undeclared", reason, todo)
        return
    for request_class in request_classes:
        yield from _check_declaration(loaded, request_class, catalogue.effect)
        yield from _check_path_coverage(loaded, request_class, request_classes, catalogue.effect)


def _check_declaration(
    loaded: Loaded, request_class: RequestClass, entries: list[CatalogueEntry]
) -> Iterator[Finding]:
    """Check a class against its entry in the catalogue."""
    key = f"class.{request_class.name}"
    entry = next((entry for entry in entries if entry.name == request_class.name), None)
    # A class of another name on a declared path is bound by that declaration.
    entry = entry or next((entry for entry in entries if entry.path == effective_path(request_class)), None)
    if entry is None:
        if request_class.effect is not Effect.AT_MOST_ONCE:
            reason = (
                f"It is said to be {request_class.effect.value}, and the catalogue does not contain the "
                "class."
            )
            todo = f"Have it declared, or set it to {Effect.AT_MOST_ONCE.value!r}."
            yield _finding(loaded, f"{key}.effect", "undeclared", reason, todo)
        return
    if request_class.effect.rank > entry.effect.rank:
        reason = (
            f"It is said to be {request_class.effect.value}, and the catalogue says {entry.effect.value}."
        )
        yield _finding(loaded, f"{key}.effect", "unsafe-effect", reason, f"Set it to {entry.effect.value!r}.")
    if request_class.effect is Effect.KEYED and request_class.remembered > entry.remembered:
        reason = (
            f"The class expects repeats to be dropped for {request_class.remembered}; the catalogue declares "
            f"{entry.remembered}."
        )
        yield _finding(
            loaded, f"{key}.remembered", "remembered", reason, f"Set it to {entry.remembered} at most."
        )
    if request_class.deadline > entry.deadline:
        reason = f"Its clients wait {entry.deadline} at most, and the deadline is {request_class.deadline}."
        yield _finding(
            loaded, f"{key}.deadline", "client-deadline", reason, f"Set it to {entry.deadline} at most."
        )
    if effective_path(request_class) != entry.path and entry.name == request_class.name:
        reason = (
            f"The catalogue declares the path {entry.path} for the class, and its path here is "
            f"{effective_path(request_class)}."
        )
        yield _finding(loaded, f"{key}.path", "declared-path", reason, f"Set it to {entry.path!r}.")


def _check_path_coverage(
    loaded: Loaded,
    request_class: RequestClass,
    request_classes: list[RequestClass],
    entries: list[CatalogueEntry],
) -> Iterator[Finding]:
    """Check that a class matches no requests that the catalogue declares less safe than the class."""
    path = effective_path(request_class)
    for entry in entries:
        if (
            entry.effect.rank >= request_class.effect.rank
            or entry.path == path
            or entry.name == request_class.name
        ):
            continue
        # Compared as plain text, not by segments: /chapter is probably meant for all paths that begin so.
        if entry.path.startswith(path) and not any(
            effective_path(other) == entry.path for other in request_classes
        ):
            reason = (
                f"Its path {path} is a prefix of {entry.path}, which is {entry.effect.value}, and the class "
                f"is {request_class.effect.value}."
            )
            todo = f"Add a class for {entry.name!r}, or give this one a longer path."
            yield _finding(loaded, f"class.{request_class.name}.path", "unsafe-path", reason, todo)
        elif path.startswith(entry.path.rstrip("/") + "/"):
            reason = f"Its path {path} lies under {entry.path}, which is {entry.effect.value}."
            yield _finding(
                loaded,
                f"class.{request_class.name}.path",
                "unsafe-path",
                reason,
                f"Set the effect to {entry.effect.value!r}.",
            )


def check_catalogue(loaded: Loaded) -> Iterator[Finding]:
    """Check that the catalogue is signed and declares no name or path twice."""
    catalogue = loaded.catalogue
    if catalogue is None:
        return
    location = Location(f"{loaded.root}/catalogue.toml")
    if not catalogue.signed_by.strip():
        yield Finding(
            location,
            "signed_by",
            "unsigned",
            "The catalogue is not signed.",
            "Set signed_by to the name of the person who approved it.",
        )
    for key in ("name", "path"):
        values = [getattr(entry, key) for entry in catalogue.effect]
        for value in sorted({value for value in values if values.count(value) > 1}):
            reason = f"The {key} {value!r} is declared twice."
            yield Finding(location, f"effect.{key}", "double-effect", reason, "Keep one of them.")


def check_limits(loaded: Loaded) -> Iterator[Finding]:
    """Check that pools and buffers fit into the limits, and that the times of [upstream] are not zero."""
    limits, upstream = loaded.model.limits, loaded.model.upstream
    needed_sockets = limits.clients + upstream.connections + RESERVED_SOCKETS
    if needed_sockets > limits.sockets:
        reason = (
            f"{limits.clients} clients, {upstream.connections} connections to hosts and {RESERVED_SOCKETS} "
            f"descriptors for the program itself need {needed_sockets}, and {limits.sockets} are allowed."
        )
        yield _finding(loaded, "limits.sockets", "sockets", reason, "Raise it, or lower the pools.")
    needed_bytes = (
        PROCESS_BYTES
        + limits.clients * BYTES_PER_CLIENT
        + upstream.connections * BYTES_PER_UPSTREAM_CONNECTION
        + limits.buffered
    )
    if needed_bytes > limits.memory:
        reason = (
            f"The process, its pools and its buffers need {needed_bytes // 1024} KiB, and {limits.memory} is "
            "allowed."
        )
        yield _finding(loaded, "limits.memory", "memory", reason, "Raise it, or lower the pools or buffered.")
    if upstream.connect_time <= 0:
        yield _finding(loaded, "upstream.connect_time", "zero", "The time is zero.", "Set it above 0.")
    if upstream.idle_time <= 0:
        yield _finding(loaded, "upstream.idle_time", "zero", "The time is zero.", "Set it above 0.")


CHECKS: tuple[Check, ...] = (
    check_app,
    check_control,
    check_listen,
    check_discovery,
    check_classes,
    check_effects,
    check_catalogue,
    check_limits,
)


def check(loaded: Loaded) -> list[Finding]:
    """Return all findings on one configuration, sorted by file and line.

    If part of the configuration could not be read, only the findings of loading are returned: the checks
    would report keys as missing that the unread part may set.
    """
    findings = list(loaded.findings)
    if loaded.is_complete:
        for run_check in CHECKS:
            findings += run_check(loaded)
    return sorted(set(findings))
