"""The typed model of an operator file: one type a section.

A subsystem adds its section by adding a type here, or in its own module, to `Model`; the loader follows the
types. Keys that stand in no type are errors. What a section demands beyond its types is in `checks.py`.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct, field

from whinrouter.operator.values import Address, Duration, Size

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Path = Annotated[str, Meta(pattern=r"^/[!-~]{0,255}$")]  # a prefix of whole segments
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
MS, SECOND = 1_000, 1_000_000


class Effect(Enum):
    """What a repeat of a request does; the safest last."""

    AT_MOST_ONCE = "at most once"
    KEYED = "keyed"
    IDEMPOTENT = "idempotent"

    @property
    def rank(self) -> int:
        """How much may be done with it: the higher, the safer it is said to be."""
        return list(Effect).index(self)


class Group(Enum):
    """Which servers drop the repeats of a keyed request."""

    CELL = "cell"
    ZONE = "zone"
    ALL = "all"


class WhenGone(Enum):
    """What the sidecar does while its application is gone."""

    IGNORE = "ignore"  # it does not look
    CLOSE = "close"  # it takes no work until the application is back
    EXIT = "exit"  # it answers what it holds and ends


class Source(Enum):
    """Where the list of hosts comes from."""

    STATIC = "static"  # `hosts`, for the life of the process
    FILE = "file"  # `file`, read again when it changes
    SERVICE = "service"  # a discovery service at `address`


class App(Struct, forbid_unknown_fields=True):
    """The application beside which the sidecar runs."""

    name: Name = ""
    owner: str = ""
    ports: list[Annotated[int, Meta(ge=1, le=65535)]] = []  # its own: no sidecar may listen there
    pid_file: str = ""  # holds its process id, in digits
    when_gone: WhenGone = WhenGone.IGNORE


class Listen(Struct, forbid_unknown_fields=True):
    """Where the application reaches its sidecar."""

    address: Address | None = None
    control: Address | None = None  # where operators call; none: nowhere
    inherited: bool = False  # the socket comes with the process, as by socket activation


class Discovery(Struct, forbid_unknown_fields=True):
    """The hosts behind the sidecar."""

    source: Source = Source.STATIC
    hosts: list[Address] = []
    file: str = ""
    address: Address | None = None
    zone: str = ""


class RequestClass(Struct, forbid_unknown_fields=True):
    """One class of request; the application's requests fall into it by their path."""

    name: Name = ""
    like: str = ""  # the name of a class whose keys hold where this one says nothing
    path: Path = ""  # "/" and the name, if not said
    methods: list[str] = []  # GET for what is idempotent, POST for all else, if not said
    effect: Effect = Effect.AT_MOST_ONCE
    aim: Duration = Duration(400 * MS)
    deadline: Duration = Duration(1500 * MS)
    group: Group = Group.CELL
    remembered: Duration = Duration(0)  # for so long the group drops repeats of a keyed request
    worth: Annotated[float, Meta(ge=0, le=1_000_000)] = 1.0
    late_worth: Annotated[float, Meta(ge=0, le=1_000_000)] = 0.0


class Limits(Struct, forbid_unknown_fields=True):
    """What the process may take of its machine."""

    memory: Size = Size(128 * 1024**2)
    sockets: Annotated[int, Meta(ge=64, le=1_000_000)] = 1024
    clients: Annotated[int, Meta(ge=1, le=1_000_000)] = 400
    buffered: Size = Size(4 * 1024**2)  # requests that wait or have not come whole


class Upstream(Struct, forbid_unknown_fields=True):
    """Connections and attempts to the hosts."""

    connections: Annotated[int, Meta(ge=1, le=1_000_000)] = 400
    connect_time: Duration = Duration(250 * MS)
    idle_time: Duration = Duration(15 * SECOND)  # after which a host closes an idle connection
    attempts: Annotated[int, Meta(ge=1, le=10)] = 3  # of a request, at most
    attempt_time: Duration = Duration(0)  # given to one attempt; 0us: what is left of the deadline
    hedge: bool = False  # a second attempt may start while the first is out
    retry_after: bool = False  # the application obeys Retry-After


class Model(Struct, forbid_unknown_fields=True):
    """A whole operator file."""

    app: App = field(default_factory=App)
    listen: Listen = field(default_factory=Listen)
    discovery: Discovery = field(default_factory=Discovery)
    class_defaults: RequestClass = field(
        default_factory=RequestClass
    )  # of all classes; they are applied already
    request_class: list[RequestClass] = field(default_factory=list, name="class")
    limits: Limits = field(default_factory=Limits)
    upstream: Upstream = field(default_factory=Upstream)


class CatalogueEntry(Struct, forbid_unknown_fields=True):
    """What the platform's owner signs off for one class of request, by name and by path."""

    name: Name
    path: Path
    effect: Effect
    deadline: Duration  # what clients wait at most
    remembered: Duration = Duration(0)


class Catalogue(Struct, forbid_unknown_fields=True):
    """The one place in which it is declared what is safe to repeat; no application file can weaken it."""

    signed_by: str
    effect: list[CatalogueEntry] = []
