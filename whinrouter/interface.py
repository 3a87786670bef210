"""The interface of the decision module: settings, events and actions.

All times are integers in microseconds. A moment is a reading of the host program's clock, which must never
run backwards. The host program chooses the ids.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

ServerId = int
RequestId = int

MS = 1_000
SECOND = 1_000_000


class Effect(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"  # safe to repeat
    KEYED = "keyed"  # a group of servers drops repeats within the dedup window
    AT_MOST_ONCE = "at most once"  # must not run twice; unknown values are read as this


class Scope(Enum):
    """The group of servers that drops the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"  # the narrowest; unknown values are read as this


class State(Enum):
    """The state of a server as discovery reports it."""

    READY = "ready"
    DRAINING = "draining"  # unknown values are read as this
    GONE = "gone"


class Update(Enum):
    """The kind of a `ServerList`."""

    FULL = "full"  # all servers
    STALE = "stale"  # all servers that this balancer knew before it restarted
    CHANGES = "changes"  # changed servers only
    ERROR = "error"  # no servers: a request to discovery failed, or a subscription broke


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"  # the server answered with an error
    REJECTED = "rejected"  # the server refused it without running it: full, or draining
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"  # the connection broke during the attempt
    CANCELLED = "cancelled"  # by the balancer
    NOT_SENT = "not sent"
    LOCAL_FAILURE = "local failure"  # the gateway's own machine failed; says nothing about the server
    UNKNOWN = "unknown"  # anything else: the attempt may have run

    __hash__ = object.__hash__  # members are singletons; Enum's own hash of the name is Python code

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the server did not run the request."""
        return self in _NEVER_RAN


_NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.LOCAL_FAILURE})


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with common time limits and effect.

    Raises `ValueError` if a time is out of range.
    """

    name: str
    aim: int  # an answer within this time has the full worth
    deadline: int  # the longest time that a client waits, all its retries included
    effect: Effect = Effect.AT_MOST_ONCE
    scope: Scope = Scope.CELL
    dedup_window: int = 0  # how long a group drops repeats, from the first attempt that may have run
    worth: float = 1.0
    late_worth: float = 0.0  # worth of an answer after the aim

    def __post_init__(self) -> None:
        for key in ("aim", "deadline"):
            if getattr(self, key) <= 0:
                raise ValueError(f"{key} must be above 0 (class {self.name!r})")
        if self.dedup_window < 0:
            raise ValueError(f"dedup_window must not be below 0 (class {self.name!r})")


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a balancer.

    Raises `ValueError` if a value is out of range.
    """

    classes: tuple[RequestClass, ...]
    zone: str = ""
    balancers: int = 1  # number of balancers that send to the same servers
    rank: int = 0  # the index of this balancer among them
    max_attempts: int = 3
    may_hedge: bool = False  # a second attempt may start while the first is running
    may_cancel: bool = False
    may_probe: bool = False
    sends_retry_after: bool = False  # refusals carry a time after which to retry
    must_subscribe: bool = False  # discovery sends changes only to subscribers
    load_in_answers: bool = False
    load_in_probes: bool = False
    warm_keys: bool = False  # a server does less work for a key that it has served lately
    cold_share: float = 1.0  # least share of its capacity that a server has at its start
    ramp_time: int = 0  # longest time from a server's start to its full capacity
    # A cold server collapses if it is sent more than this multiple of its present capacity in this window.
    cold_overload_multiple: float = 4.0
    cold_overload_window: int = SECOND
    weight_is_capacity: bool = True  # False: weights follow the recent load instead
    worst_class_weight: float = 0.0  # weight of the worst-served class, as a multiple of that of all classes
    cross_zone_price: float = 0.0
    probe_price: float = 0.0
    # Requests per second of each tenant at this balancer.
    allowances: Mapping[str, float] = field(default_factory=dict)
    over_allowance_worth: float = 1.0  # factor on the worth of a request beyond its tenant's allowance

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes must name at least one class")
        for key in ("balancers", "max_attempts"):
            if getattr(self, key) < 1:
                raise ValueError(f"{key} must be at least 1")
        if not 0 < self.cold_share <= 1:
            raise ValueError("cold_share must be above 0 and at most 1")
        for key in ("cold_overload_multiple", "cold_overload_window"):
            if getattr(self, key) <= 0:
                raise ValueError(f"{key} must be above 0")
        if self.ramp_time < 0:
            raise ValueError("ramp_time must not be below 0")


UNKNOWN_CELL = -1


@dataclass(frozen=True, slots=True)
class Server:
    """A server as discovery describes it; an empty zone or kind, or `UNKNOWN_CELL`, is not known."""

    id: ServerId
    state: State = State.READY
    zone: str = ""
    kind: str = ""
    cell: int = UNKNOWN_CELL
    weight: float = 1.0  # relative; see `Settings.weight_is_capacity`
    started_at: int = 0  # moment of its latest start; 0: long ago


def in_same_group(scope: Scope, first: Server, other: Server) -> bool:
    """Whether `other` drops repeats of a keyed request that `first` may have run.

    A server whose group is not known shares its record of keys with itself alone, until it restarts.
    """
    if scope is Scope.ALL or (first.id, first.started_at) == (other.id, other.started_at):
        return True
    if scope is Scope.ZONE:
        return first.zone != "" and first.zone == other.zone
    return first.cell != UNKNOWN_CELL and first.cell == other.cell


# Events


class ServerList(NamedTuple):
    """Discovery reports servers; `update` says which."""

    update: Update
    servers: tuple[Server, ...] = ()


class Request(NamedTuple):
    """A client's request, which must get exactly one final answer."""

    id: RequestId
    class_name: str
    timeout: int  # how long the client waits
    cost: int = 0  # estimate of the work; 0: unknown
    key: str | None = None
    is_retry: bool = False  # the client marked it as its own retry
    tenant: str = ""
    # The body is forwarded as it arrives and is not kept: no two attempts run at a time, complete or not.
    # `BodyReceived` follows once it is complete.
    streams_body: bool = False


class StreamStarted(NamedTuple):
    """The answer of an attempt has begun to flow to the client, which gets no other one."""

    request: RequestId
    attempt: int
    server: ServerId
    latency: int


class RequestAdopted(NamedTuple):
    """A request is taken over from another balancer, with one attempt running and its body incomplete.

    The request is never sent again, and is refused only if that attempt proves not to have run.
    """

    id: RequestId
    class_name: str
    timeout: int  # how long the client waits once the body is complete
    server: ServerId


class BodyReceived(NamedTuple):
    """The streamed body of a request is complete: its timeout and the work of its servers begin."""

    request: RequestId


class AttemptEnded(NamedTuple):
    """An attempt has ended; each `Send` is followed by exactly one of these."""

    request: RequestId
    attempt: int
    server: ServerId
    outcome: Outcome
    latency: int
    client_answered: bool  # the client has its final answer
    load: dict[str, float] | None = None
    # Part of the latency that the server did not cause: its answer was still unread, or the body incomplete.
    local_delay: int = 0
    body_consumed: bool = False  # a part of the body is lost to further attempts: none may start


class RequestGone(NamedTuple):
    """The client has left; no answer is owed any more."""

    request: RequestId


class ProbeEnded(NamedTuple):
    """A probe has ended."""

    server: ServerId
    outcome: Outcome
    latency: int
    load: dict[str, float] | None = None


class TimerFired(NamedTuple):
    """A timer has expired."""

    token: str


Event = (
    ServerList
    | Request
    | RequestAdopted
    | BodyReceived
    | StreamStarted
    | AttemptEnded
    | RequestGone
    | ProbeEnded
    | TimerFired
)

# Actions


class Send(NamedTuple):
    """Start an attempt. The attempts of a request are numbered from 0 in the order of their sends."""

    request: RequestId
    server: ServerId
    expires: int = 0  # moment at which to give up the attempt; 0: the client's deadline
    # Moment from which its first byte must not be written if another attempt may have run; 0: no limit.
    write_before: int = 0


class Cancel(NamedTuple):
    """Stop waiting for an attempt."""

    request: RequestId
    attempt: int


class Refuse(NamedTuple):
    """Final answer: refused, and a retry is safe."""

    request: RequestId
    retry_after: int = 0


class Fail(NamedTuple):
    """Final answer: failed, and the request may have run."""

    request: RequestId


class Probe(NamedTuple):
    """Ask a server for its load and health; a `ProbeEnded` follows."""

    server: ServerId


class SetTimer(NamedTuple):
    """Request a `TimerFired` after a delay; it may be dropped once the attempt named here has ended."""

    delay: int
    token: str
    request: RequestId | None = None
    attempt: int = 0


class Subscribe(NamedTuple):
    """Subscribe to the changes of discovery."""


Action = Send | Cancel | Refuse | Fail | Probe | SetTimer | Subscribe


@dataclass(slots=True)
class Attempt:
    """The balancer's record of one attempt of a request."""

    server: Server
    sent_at: int
    is_trial: bool = False  # the half-open trial of its server's breaker
    is_class_trial: bool = False  # the half-open trial of its server's breaker for the class
    is_counted: bool = False  # it has already been counted for or against its server
    is_streaming: bool = False  # its answer flows to the client
    outcome: Outcome | None = None  # None while it is running
    late_multiple: float = 0.0  # the multiple of the expected latency after which it is late
    awaits_body: bool = False  # the server lacks a part of the body, and does no work for it yet

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have run the request."""
        return self.outcome is None or not self.outcome.never_ran


@dataclass(slots=True)
class PendingRequest:
    """A request that is owed an answer, or that has running attempts."""

    request: Request
    request_class: RequestClass
    arrived_at: int
    deadline: int
    max_attempts: int  # by the settings in force at its arrival
    body_consumed: bool = False  # a part of its body is lost to further attempts
    fallback: ServerId | None = None
    attempts: list[Attempt] = field(default_factory=list)
    is_answered: bool = False
    body_incomplete: bool = False  # its body is streamed and has not arrived completely

    @property
    def running_attempts(self) -> list[int]:
        """The numbers of the running attempts."""
        return [number for number, attempt in enumerate(self.attempts) if attempt.outcome is None]

    @property
    def first_possibly_run(self) -> Attempt | None:
        """The first attempt that may have run."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)
