"""The typed model of an operator file: one type for each section.

A subsystem adds its section by adding a type here, or in its own module, to `Model`; the loader follows the
types. A key that no type has is an error. Requirements on a section beyond its types are in `checks.py`.
The names of fields are keys of users' files.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct, field

from whinrouter.operator.values import Address, Duration, Size

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Path = Annotated[str, Meta(pattern=r"^/[!-~]{0,255}$")]  # a prefix of a request's path, in whole segments
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
MS, SECOND = 1_000, 1_000_000  # in microseconds


class Effect(Enum):
    """What a repeat of a request does; the members are in order of safety, the safest last."""

    AT_MOST_ONCE = "at most once"
    KEYED = "keyed"
    IDEMPOTENT = "idempotent"

    @property
    def rank(self) -> int:
        """How safe a repeat is: the higher, the safer."""
        return list(Effect).index(self)


class Group(Enum):
    """Which hosts share the record of a keyed request, and so drop its repeats."""

    CELL = "cell"
    ZONE = "zone"
    ALL = "all"


class WhenGone(Enum):
    """What the sidecar does while its application is not running."""

    IGNORE = "ignore"  # the application is not monitored
    CLOSE = "close"  # accepts no work until the application runs again
    EXIT = "exit"  # answers the requests it holds and exits


class Source(Enum):
    """Where the list of hosts comes from."""

    STATIC = "static"  # `hosts`, which changes only with the operator file
    FILE = "file"  # `file`, read again when it changes
    SERVICE = "service"  # a discovery service at `address`


class App(Struct, forbid_unknown_fields=True):
    """The application that the sidecar serves."""

    name: Name = ""
    owner: str = ""
    ports: list[Annotated[int, Meta(ge=1, le=65535)]] = []  # of the application: no sidecar may listen there
    pid_file: str = ""  # path of the file with the application's process id, in digits
    when_gone: WhenGone = WhenGone.IGNORE


class Listen(Struct, forbid_unknown_fields=True):
    """Addresses that the sidecar listens on."""

    address: Address | None = None
    control: Address | None = None  # for operators' calls; None: no calls are accepted
    inherited: bool = False  # the listening socket is inherited, as by socket activation


class Discovery(Struct, forbid_unknown_fields=True):
    """The hosts that the sidecar sends to."""

    source: Source = Source.STATIC
    hosts: list[Address] = []
    file: str = ""
    address: Address | None = None
    zone: str = ""


class RequestClass(Struct, forbid_unknown_fields=True):
    """One class of request; an application's requests are assigned to classes by their path."""

    name: Name = ""
    like: str = ""  # name of the class whose keys apply where this one sets none
    path: Path = ""  # if empty, "/" and the name
    methods: list[str] = []  # if empty, GET for an idempotent class and POST for any other
    effect: Effect = Effect.AT_MOST_ONCE
    aim: Duration = Duration(400 * MS)
    deadline: Duration = Duration(1500 * MS)
    group: Group = Group.CELL
    remembered: Duration = Duration(0)  # for how long the group drops repeats of a keyed request
    worth: Annotated[float, Meta(ge=0, le=1_000_000)] = 1.0
    late_worth: Annotated[float, Meta(ge=0, le=1_000_000)] = 0.0


class Limits(Struct, forbid_unknown_fields=True):
    """Resources of the machine that the process may use."""

    memory: Size = Size(128 * 1024**2)
    sockets: Annotated[int, Meta(ge=64, le=1_000_000)] = 1024
    clients: Annotated[int, Meta(ge=1, le=1_000_000)] = 400
    buffered: Size = Size(4 * 1024**2)  # for requests that wait or have not been received in full


class Upstream(Struct, forbid_unknown_fields=True):
    """Connections to hosts, and attempts."""

    connections: Annotated[int, Meta(ge=1, le=1_000_000)] = 400
    connect_time: Duration = Duration(250 * MS)
    idle_time: Duration = Duration(15 * SECOND)  # after which a host closes an idle connection
    attempts: Annotated[int, Meta(ge=1, le=10)] = 3  # maximum for one request
    attempt_time: Duration = Duration(0)  # timeout of one attempt; 0us: what is left until the deadline
    hedge: bool = False  # a second attempt may start while the first is in progress
    retry_after: bool = False  # the application honours Retry-After


class Model(Struct, forbid_unknown_fields=True):
    """A whole operator file."""

    app: App = field(default_factory=App)
    listen: Listen = field(default_factory=Listen)
    discovery: Discovery = field(default_factory=Discovery)
    class_defaults: RequestClass = field(
        default_factory=RequestClass
    )  # of all classes; loading has applied them already
    request_class: list[RequestClass] = field(default_factory=list, name="class")
    limits: Limits = field(default_factory=Limits)
    upstream: Upstream = field(default_factory=Upstream)


class CatalogueEntry(Struct, forbid_unknown_fields=True):
    """What the platform's owner has approved for one class of request, identified by its name and path."""

    name: Name
    path: Path
    effect: Effect
    deadline: Duration  # the longest that clients wait
    remembered: Duration = Duration(0)


class Catalogue(Struct, forbid_unknown_fields=True):
    """The only place that declares which requests are safe to repeat; no application's file can weaken it."""

    signed_by: str
    effect: list[CatalogueEntry] = []
