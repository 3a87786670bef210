"""What a configuration demands beyond its types: pure functions from what was read to findings.

`CHECKS` names them; a subsystem adds its own. Each sees the whole and tells all that it finds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from whinrouter.operator.findings import Finding, Place
from whinrouter.operator.loading import Loaded
from whinrouter.operator.model import Allowed, Effect, RequestClass, Source, WhenGone
from whinrouter.operator.values import Duration, overlap

Check = Callable[[Loaded], Iterator[Finding]]

EPHEMERAL = (32768, 60999)  # from which the system gives ports to clients (ip_local_port_range's default)
PRIVILEGED = 1024
RESERVED_SOCKETS = 40  # descriptors for all that is no client's and no host's connection
# Bytes: a process that has started, a client's connection, and a request in work with its connection to a
# host, as `benchmarks.memory` measured them, rounded up.
PROCESS, PER_CLIENT, PER_CONNECTION = 32 * 1024**2, 5 * 1024, 13 * 1024
METHODS = (
    "GET",
    "POST",
    "PUT",
    "DELETE",
    "PATCH",
)  # an answer to HEAD would have to be read without its body
MOST_CLASSES = 256


def _at(loaded: Loaded, key: str, code: str, reason: str, todo: str) -> Finding:
    return Finding(_place(loaded, key), key, code, reason, todo)


def _place(loaded: Loaded, key: str) -> Place:
    parts = key.split(".")
    if parts[0] != "class" or len(parts) < 2:
        return loaded.place(tuple(parts))
    for at, kind in enumerate(loaded.model.request_class):
        if kind.name == parts[1]:
            return loaded.place(("class", at, *parts[2:]))
    return loaded.place(("class",))


def app(loaded: Loaded) -> Iterator[Finding]:
    told = loaded.model.app
    for key in ("name", "owner"):
        if not getattr(told, key) and not _said_wrong(loaded, f"app.{key}"):
            yield _at(loaded, f"app.{key}", "missing", f"The application has no {key}.", f"Set app.{key}.")
    if told.when_gone is not WhenGone.IGNORE and not told.pid_file:
        reason = "Nothing tells whether the application is gone."
        yield _at(loaded, "app.when_gone", "app-unknown", reason, "Set app.pid_file.")
    if told.pid_file and not told.pid_file.startswith("/"):
        yield _at(loaded, "app.pid_file", "relative-path", "This is no whole path.", "Begin it with a slash.")
    if told.pid_file and told.when_gone is WhenGone.IGNORE:
        reason = "The file is named, but nothing happens when the application is gone."
        yield _at(loaded, "app.pid_file", "no-effect", reason, 'Set app.when_gone to "close" or "exit".')


def control(loaded: Loaded) -> Iterator[Finding]:
    told, key = loaded.model.listen, "listen.control"
    address = told.control
    if address is None:
        return
    if address.path or not address.loopback:
        reason = f"{address} is no port of loopback: whoever reaches it can empty the sidecar."
        yield _at(loaded, key, "not-loopback", reason, "Take calls on 127.0.0.1 or [::1].")
    elif address.port < PRIVILEGED:
        reason = f"Ports below {PRIVILEGED} need a privilege that a sidecar has not."
        yield _at(loaded, key, "privileged-port", reason, f"Choose one from {PRIVILEGED} on.")
    elif address == told.address or address.port in loaded.model.app.ports:
        yield _at(loaded, key, "port-taken", f"{address} is taken already.", "Choose another port.")


def listen(loaded: Loaded) -> Iterator[Finding]:
    address, key = loaded.model.listen.address, "listen.address"
    if address is None:
        if not _said_wrong(loaded, key):
            yield _at(loaded, key, "missing", "The sidecar listens nowhere.", 'Set it, as "127.0.0.1:9000".')
        return
    if not address.loopback:
        reason = f"{address} can be reached from other machines; a sidecar serves its own application alone."
        yield _at(loaded, key, "not-loopback", reason, "Listen on 127.0.0.1, [::1] or a Unix socket.")
    if not address.path and EPHEMERAL[0] <= address.port <= EPHEMERAL[1]:
        reason = (
            f"The system gives ports from {EPHEMERAL[0]} to {EPHEMERAL[1]} to clients, so it may be taken."
        )
        yield _at(loaded, key, "ephemeral-port", reason, f"Choose one below {EPHEMERAL[0]}.")
    if not address.path and address.port < PRIVILEGED:
        reason = f"Ports below {PRIVILEGED} need a privilege that a sidecar has not."
        yield _at(loaded, key, "privileged-port", reason, f"Choose one from {PRIVILEGED} on.")
    if address.port in loaded.model.app.ports:
        reason = f"Port {address.port} is the application's own."
        yield _at(loaded, key, "app-port", reason, "Choose another.")


def _said_wrong(loaded: Loaded, key: str) -> bool:
    """Whether the decoder has spoken of this key already."""
    return any(finding.key == key for finding in loaded.findings)


def discovery(loaded: Loaded) -> Iterator[Finding]:
    told = loaded.model.discovery
    needed = {Source.STATIC: "hosts", Source.FILE: "file", Source.SERVICE: "address"}
    for source, name in needed.items():
        key, said = f"discovery.{name}", bool(getattr(told, name))
        if source is told.source and not said and not _said_wrong(loaded, key):
            reason = f"The hosts come from {source.value!r}, and {name!r} says nothing."
            yield _at(loaded, key, "missing", reason, f"Set {key}, or another discovery.source.")
        if source is not told.source and said:
            reason = f"It is not looked at, as the hosts come from {told.source.value!r}."
            yield _at(
                loaded, key, "no-effect", reason, f"Take it out, or set discovery.source to {source.value!r}."
            )
    if told.file and not told.file.startswith("/"):
        yield _at(
            loaded, "discovery.file", "relative-path", "This is no whole path.", "Begin it with a slash."
        )
    yield from _hosts(loaded)


def _hosts(loaded: Loaded) -> Iterator[Finding]:
    own, key = loaded.model.listen.address, "discovery.hosts"
    seen: set[str] = set()
    for host in loaded.model.discovery.hosts:
        if str(host) in seen:
            yield _at(loaded, key, "double-host", f"{host} stands twice.", "Keep one of them.")
        seen.add(str(host))
        if host.path:
            yield _at(loaded, key, "host-form", f"{host} is no host: it has no port.", "Write address:port.")
        elif host.ip.is_unspecified or host.ip.is_multicast:
            yield _at(loaded, key, "host-form", f"{host} is no address to send to.", "Write the host's own.")
        elif own is not None and overlap(own, host):
            reason = f"The sidecar would send to itself: it listens on {own} and {host} is one of its hosts."
            yield _at(loaded, key, "loop", reason, "Take that host out, or listen elsewhere.")


def classes(loaded: Loaded) -> Iterator[Finding]:
    told = loaded.model.request_class
    if not told and not _said_wrong(loaded, "class"):
        yield _at(loaded, "class", "missing", "No class of request is declared.", "Add a [[class]].")
    if len(told) > MOST_CLASSES:
        yield _at(
            loaded, "class", "too-many", f"There are more than {MOST_CLASSES} classes.", "Declare fewer."
        )
    defaults = loaded.model.class_defaults
    for key in ("name", "path", "like"):
        if getattr(defaults, key):
            reason = f"All classes cannot have one {key}."
            yield _at(loaded, f"class_defaults.{key}", "default-own", reason, "Set it in each class.")
    paths: dict[str, str] = {}
    for place, kind in enumerate(told):
        if not kind.name:
            at = loaded.place(("class", place, "name"))  # where the decoder has spoken of it already
            if not any(finding.place == at for finding in loaded.findings):
                yield Finding(
                    loaded.place(("class", place)),
                    f"class[{place}].name",
                    "missing",
                    "The class has no name.",
                    "Give it one.",
                )
            continue
        path = path_of(kind)
        if paths.get(path, kind.name) != kind.name:
            reason = f"The class {paths[path]!r} has the path {path} too."
            yield _at(loaded, f"class.{kind.name}.path", "double-path", reason, "Give each its own.")
        paths[path] = kind.name
        yield from _class(loaded, kind)


def path_of(kind: RequestClass) -> str:
    """The prefix of whole segments by which requests fall into a class; of several the longest counts."""
    return kind.path or f"/{kind.name}"


def _class(loaded: Loaded, kind: RequestClass) -> Iterator[Finding]:
    key = f"class.{kind.name}"
    path = path_of(kind)
    if (
        "?" in path
        or "#" in path
        or "//" in path
        or "%" in path
        or "/./" in f"{path}/"
        or "/../" in f"{path}/"
    ):
        reason = "The path holds ?, #, %, // or a dot segment, by which no request's path is matched."
        yield _at(loaded, f"{key}.path", "path-form", reason, "Write a plain prefix.")
    if path != "/" and path.endswith("/"):
        yield _at(loaded, f"{key}.path", "path-form", "The path ends with a slash.", "Leave that out.")
    yield from _times(loaded, kind, key)
    yield from _methods(loaded, kind, key)
    if kind.effect is Effect.KEYED and not kind.remembered:
        reason = "The class is keyed, and nothing says for how long repeats are dropped."
        yield _at(loaded, f"{key}.remembered", "missing", reason, "Set it as the catalogue does.")
    if kind.effect is not Effect.KEYED and kind.remembered:
        reason = f"It says nothing of a class that is {kind.effect.value}."
        yield _at(loaded, f"{key}.remembered", "no-effect", reason, "Take it out.")
    if kind.late_worth > kind.worth:
        reason = "A late answer would be worth more than one in time."
        yield _at(loaded, f"{key}.late_worth", "worth", reason, "Set it to worth at most.")


def _times(loaded: Loaded, kind: RequestClass, key: str) -> Iterator[Finding]:
    for name in ("aim", "deadline"):
        if getattr(kind, name) <= 0:
            yield _at(loaded, f"{key}.{name}", "zero", f"The {name} is no time at all.", "Set it above 0.")
    if kind.aim > kind.deadline:
        reason = f"The aim of {kind.aim} is later than the deadline of {kind.deadline}."
        yield _at(loaded, f"{key}.aim", "aim-deadline", reason, "Set the aim to the deadline at most.")
    told = loaded.model.upstream
    if told.connect_time >= kind.deadline > 0:
        reason = f"A connection may take {told.connect_time}, and the deadline is {kind.deadline}."
        yield _at(loaded, f"{key}.deadline", "connect-deadline", reason, "Lower upstream.connect_time.")
    attempts = told.attempts if kind.effect is not Effect.AT_MOST_ONCE else 1
    if attempts * told.attempt_time > kind.deadline:
        whole = Duration(attempts * told.attempt_time)
        reason = (
            f"{attempts} attempts of {told.attempt_time} take {whole}, past the deadline of {kind.deadline}."
        )
        todo = "Lower upstream.attempts or upstream.attempt_time, or raise the deadline."
        yield _at(loaded, f"{key}.deadline", "attempts-deadline", reason, todo)


def methods_of(kind: RequestClass) -> list[str]:
    return kind.methods or (["GET"] if kind.effect is Effect.IDEMPOTENT else ["POST"])


def _methods(loaded: Loaded, kind: RequestClass, key: str) -> Iterator[Finding]:
    for method in kind.methods:
        if method not in METHODS:
            reason = f"{method!r} is no method that is known here."
            yield _at(loaded, f"{key}.methods", "method", reason, f"Known: {', '.join(METHODS)}.")
        elif method == "GET" and kind.effect is not Effect.IDEMPOTENT:
            reason = (
                f"{method} is safe by definition (RFC 9110, 9.2.1), and the class is {kind.effect.value}."
            )
            yield _at(loaded, f"{key}.methods", "method-effect", reason, "Use POST, or mend the effect.")
        elif method in ("POST", "PATCH") and kind.effect is Effect.IDEMPOTENT:
            reason = f"{method} may do something anew each time, and the class is idempotent."
            yield _at(loaded, f"{key}.methods", "method-effect", reason, "Use GET, or mend the effect.")
    if len(set(kind.methods)) < len(kind.methods):
        yield _at(loaded, f"{key}.methods", "method", "A method stands twice.", "Keep one of them.")


def effects(loaded: Loaded) -> Iterator[Finding]:
    """No class may be safer than the catalogue says, nor take what is declared less safe."""
    catalogue, place = loaded.catalogue, f"{loaded.root}/catalogue.toml"
    if any(finding.place.file == place for finding in loaded.findings):
        return  # what it would have declared is not known
    told = [kind for kind in loaded.model.request_class if kind.name]
    if catalogue is None:
        for kind in told:
            if kind.effect is not Effect.AT_MOST_ONCE:
                reason = f"It is said to be {kind.effect.value}, and no catalogue declares that."
                todo = "Put a signed catalogue.toml in the configuration root."
                yield _at(loaded, f"class.{kind.name}.effect", "undeclared", reason, todo)
        return
    for kind in told:
        yield from _declared(loaded, kind, catalogue.effect)
        yield from _taken(loaded, kind, told, catalogue.effect)


def _declared(loaded: Loaded, kind: RequestClass, allowed: list[Allowed]) -> Iterator[Finding]:
    key = f"class.{kind.name}"
    entry = next((entry for entry in allowed if entry.name == kind.name), None)
    # A class of another name on a declared path is that class.
    entry = entry or next((entry for entry in allowed if entry.path == path_of(kind)), None)
    if entry is None:
        if kind.effect is not Effect.AT_MOST_ONCE:
            reason = f"It is said to be {kind.effect.value}, and the catalogue does not know the class."
            todo = f"Have it declared, or set it to {Effect.AT_MOST_ONCE.value!r}."
            yield _at(loaded, f"{key}.effect", "undeclared", reason, todo)
        return
    if kind.effect.rank > entry.effect.rank:
        reason = f"It is said to be {kind.effect.value}, and the catalogue says {entry.effect.value}."
        yield _at(loaded, f"{key}.effect", "unsafe-effect", reason, f"Set it to {entry.effect.value!r}.")
    if kind.effect is Effect.KEYED and kind.remembered > entry.remembered:
        reason = f"Repeats are said to be dropped for {kind.remembered}, and it is {entry.remembered}."
        yield _at(loaded, f"{key}.remembered", "remembered", reason, f"Set it to {entry.remembered} at most.")
    if kind.deadline > entry.deadline:
        reason = f"Its clients wait {entry.deadline} at most, and the deadline is {kind.deadline}."
        yield _at(
            loaded, f"{key}.deadline", "client-deadline", reason, f"Set it to {entry.deadline} at most."
        )
    if path_of(kind) != entry.path and entry.name == kind.name:
        reason = f"The catalogue gives the class the path {entry.path}, and this is {path_of(kind)}."
        yield _at(loaded, f"{key}.path", "declared-path", reason, f"Set it to {entry.path!r}.")


def _taken(
    loaded: Loaded, kind: RequestClass, told: list[RequestClass], allowed: list[Allowed]
) -> Iterator[Finding]:
    """Whether traffic that is declared less safe falls into a class."""
    path = path_of(kind)
    for entry in allowed:
        if entry.effect.rank >= kind.effect.rank or entry.path == path or entry.name == kind.name:
            continue
        # By plain text, not by segments: who writes /chapter means what begins so.
        if entry.path.startswith(path) and not any(path_of(other) == entry.path for other in told):
            reason = (
                f"Its path {path} also takes {entry.path}, which is {entry.effect.value}, into a class "
                f"that is {kind.effect.value}."
            )
            todo = f"Give {entry.name!r} a class of its own, or this one a longer path."
            yield _at(loaded, f"class.{kind.name}.path", "unsafe-path", reason, todo)
        elif path.startswith(entry.path.rstrip("/") + "/"):
            reason = f"Its path {path} lies under {entry.path}, which is {entry.effect.value}."
            yield _at(
                loaded, f"class.{kind.name}.path", "unsafe-path", reason, f"Set it to {entry.effect.value!r}."
            )


def catalogue(loaded: Loaded) -> Iterator[Finding]:
    """The catalogue's own faults."""
    told = loaded.catalogue
    if told is None:
        return
    place = Place(f"{loaded.root}/catalogue.toml")
    if not told.signed_by.strip():
        yield Finding(place, "signed_by", "unsigned", "Nobody has signed the catalogue.", "Name who has.")
    for key in ("name", "path"):
        values = [getattr(entry, key) for entry in told.effect]
        for value in sorted({value for value in values if values.count(value) > 1}):
            reason = f"The {key} {value!r} is declared twice."
            yield Finding(place, f"effect.{key}", "double-effect", reason, "Keep one of them.")


def limits(loaded: Loaded) -> Iterator[Finding]:
    told, upstream = loaded.model.limits, loaded.model.upstream
    needed = told.clients + upstream.connections + RESERVED_SOCKETS
    if needed > told.sockets:
        reason = (
            f"{told.clients} clients, {upstream.connections} connections to hosts and {RESERVED_SOCKETS} of "
            f"the program's own need {needed} descriptors, and {told.sockets} are allowed."
        )
        yield _at(loaded, "limits.sockets", "sockets", reason, "Raise it, or lower the pools.")
    memory = PROCESS + told.clients * PER_CLIENT + upstream.connections * PER_CONNECTION + told.buffered
    if memory > told.memory:
        reason = (
            f"The process, its pools and its buffers need {memory // 1024} KiB, and {told.memory} is allowed."
        )
        yield _at(loaded, "limits.memory", "memory", reason, "Raise it, or lower the pools or buffered.")
    if upstream.connect_time <= 0:
        yield _at(loaded, "upstream.connect_time", "zero", "This is no time at all.", "Set it above 0.")
    if upstream.idle_time <= 0:
        yield _at(loaded, "upstream.idle_time", "zero", "This is no time at all.", "Set it above 0.")


CHECKS: tuple[Check, ...] = (app, listen, control, discovery, classes, effects, catalogue, limits)


def check(loaded: Loaded) -> list[Finding]:
    """All findings on one configuration, in the order of files and lines."""
    found = list(loaded.findings)
    if loaded.whole:
        for one in CHECKS:
            found += one(loaded)
    return sorted(set(found))
