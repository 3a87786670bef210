"""The words the decision module speaks: settings, events and actions.

Every time is a whole number of microseconds; a moment is a reading of whatever clock the host program uses,
which never runs backwards. Ids are numbers of the host program's choice.
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
    """What a repeat of a request does."""

    IDEMPOTENT = "idempotent"  # safe to repeat
    KEYED = "keyed"  # a group of servers drops repeats for a while
    AT_MOST_ONCE = "at most once"  # must not run twice; also the reading of anything unknown


class Scope(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"  # also the reading of anything unknown: the narrowest


class State(Enum):
    """What discovery says of a server."""

    READY = "ready"
    DRAINING = "draining"  # also the reading of anything unknown
    GONE = "gone"


class Update(Enum):
    """What a `ServerList` holds."""

    FULL = "full"  # every server there is
    STALE = "stale"  # every server this balancer knew before it restarted
    CHANGES = "changes"  # changed servers only
    ERROR = "error"  # nothing: asking discovery failed, or a subscription broke


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"  # the server answered with an error
    REJECTED = "rejected"  # turned away unseen: full, or draining
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"  # the connection broke under the attempt
    CANCELLED = "cancelled"  # withdrawn by the balancer
    NOT_SENT = "not sent"
    LOCAL_FAILURE = "local failure"  # the balancer's own machine could not: it tells nothing of the server
    UNKNOWN = "unknown"  # anything else: it may have run

    __hash__ = object.__hash__  # there is one of each; an Enum's own hashes its name, in Python, at each look

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the server did nothing."""
        return self in _NEVER_RAN


_NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.LOCAL_FAILURE})


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of request."""

    name: str
    aim: int  # an answer within this time is worth the full worth
    deadline: int  # a client waits no longer than this, all its tries together
    effect: Effect = Effect.AT_MOST_ONCE
    scope: Scope = Scope.CELL
    dedup_window: int = 0  # how long a group remembers, from the first attempt that may have run
    worth: float = 1.0
    late_worth: float = 0.0

    def __post_init__(self) -> None:
        for key in ("aim", "deadline"):
            if getattr(self, key) <= 0:
                raise ValueError(f"{key} must be above 0 (class {self.name!r})")
        if self.dedup_window < 0:
            raise ValueError(f"dedup_window must not be below 0 (class {self.name!r})")


@dataclass(frozen=True, slots=True)
class Settings:
    """What a balancer is told at its start."""

    classes: tuple[RequestClass, ...]
    zone: str = ""
    balancers: int = 1  # how many balancers send to the same servers
    rank: int = 0  # the number of this one among them
    max_attempts: int = 3
    may_hedge: bool = False  # a second attempt may start while the first is out
    may_cancel: bool = False
    may_probe: bool = False
    sends_retry_after: bool = False  # clients are told how long to stay away
    must_subscribe: bool = False  # discovery sends changes only when asked to
    load_in_answers: bool = False
    load_in_probes: bool = False
    warm_keys: bool = False  # a server that has lately met a key does less work for it
    cold_share: float = 1.0  # a server starts with at least this share of its capacity
    ramp_time: int = 0  # and is warm after this at the latest
    cold_overload_multiple: float = 4.0  # sent more than this multiple of its present capacity
    cold_overload_window: int = SECOND  # for this long, a cold server falls over
    weight_is_capacity: bool = True  # weights tell how much servers can do, and not how busy they lately were
    worst_class_weight: float = (
        0.0  # what the worst-served class counts, as a multiple of what all together do
    )
    cross_zone_price: float = 0.0
    probe_price: float = 0.0
    allowances: Mapping[str, float] = field(
        default_factory=dict
    )  # of each tenant at this balancer, per second
    over_allowance_worth: float = 1.0  # what a request beyond its tenant's allowance is worth, as a part

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


@dataclass(frozen=True, slots=True)
class Server:
    """One server as discovery describes it."""

    id: ServerId
    state: State = State.READY
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at: int = 0  # moment of its latest start; 0: long ago


# Events


class ServerList(NamedTuple):
    """Discovery reports servers."""

    update: Update
    servers: tuple[Server, ...] = ()


class Request(NamedTuple):
    """A client asks; exactly one final answer is owed."""

    id: RequestId
    class_name: str
    timeout: int  # the client leaves after this
    cost: int = 0  # expected work, roughly; 0: not known
    key: str | None = None
    is_retry: bool = False  # a client's own repeat, where clients mark them
    tenant: str = ""
    streams_body: bool = False  # its body is sent on as it comes: one attempt at a time


class StreamStarted(NamedTuple):
    """The answer has begun to flow: this attempt is the client's now."""

    request: RequestId
    attempt: int
    server: ServerId
    latency: int


class RequestAdopted(NamedTuple):
    """Another balancer's request goes on here: its one attempt is out, its body still comes.

    It is never sent again, and refused only once that attempt is known not to have run.
    """

    id: RequestId
    class_name: str
    timeout: int  # the client leaves this long after its body is whole
    server: ServerId


class BodyReceived(NamedTuple):
    """The body of a request that `streams` is here as a whole: its time and its servers' work begin."""

    request: RequestId


class AttemptEnded(NamedTuple):
    """An attempt is over; every `Send` gets exactly one."""

    request: RequestId
    attempt: int
    server: ServerId
    outcome: Outcome
    latency: int
    client_answered: bool  # the client has its final answer
    load: dict[str, float] | None = None
    local_delay: int = (
        0  # time that was none of the server's: its answer lay here unread, the body was still to come
    )
    body_consumed: bool = False  # a part of the request can't be had again: no other attempt


class RequestGone(NamedTuple):
    """The client left: nothing is owed any more."""

    request: RequestId


class ProbeEnded(NamedTuple):
    """A probe is over."""

    server: ServerId
    outcome: Outcome
    latency: int
    load: dict[str, float] | None = None


class TimerFired(NamedTuple):
    """A timer set earlier is due."""

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
    """Start an attempt; attempts of a request count from 0 in the order of their sends."""

    request: RequestId
    server: ServerId
    expires: int = 0  # moment at which to give the attempt up; 0: when the client does
    # Moment from which on its first byte may not leave while another attempt may have run; 0: there is none.
    write_before: int = 0


class Cancel(NamedTuple):
    """Stop waiting for an attempt."""

    request: RequestId
    attempt: int


class Refuse(NamedTuple):
    """Final answer: turned away, and trying again is harmless."""

    request: RequestId
    retry_after: int = 0


class Fail(NamedTuple):
    """Final answer: failed, and nothing is promised."""

    request: RequestId


class Probe(NamedTuple):
    """Ask a server how it does."""

    server: ServerId


class SetTimer(NamedTuple):
    """Ask for a `TimerFired` after a delay; one about an attempt need not fire once that has ended."""

    delay: int
    token: str
    request: RequestId | None = None
    attempt: int = 0


class Subscribe(NamedTuple):
    """Ask discovery for its changes from now on."""


Action = Send | Cancel | Refuse | Fail | Probe | SetTimer | Subscribe


@dataclass(slots=True)
class Attempt:
    """One attempt of a request, as the balancer keeps it."""

    server: Server
    sent_at: int
    is_trial: bool = False  # the half-open trial of its server
    is_class_trial: bool = False  # the half-open trial of its class there
    is_counted: bool = False  # its server has had the verdict while it was out
    is_streaming: bool = False  # the client's own since its answer began
    outcome: Outcome | None = None  # None while it is out
    late_multiple: float = 0.0  # the multiple of the usual time after which it is late
    awaits_body: bool = False  # its server has not the whole request yet, and so no work from it

    @property
    def may_have_run(self) -> bool:
        return self.outcome is None or not self.outcome.never_ran


@dataclass(slots=True)
class PendingRequest:
    """A request the balancer still owes an answer, or whose attempts are still out."""

    request: Request
    request_class: RequestClass
    arrived_at: int
    deadline: int
    max_attempts: int  # attempts that it may have, as it was taken
    body_consumed: bool = False  # a part of it can't be had again
    fallback: ServerId | None = None
    attempts: list[Attempt] = field(default_factory=list)
    is_answered: bool = False
    body_incomplete: bool = False  # its body is sent on as it comes, and has not come whole

    @property
    def running_attempts(self) -> list[int]:
        """The numbers of the attempts that are out."""
        return [number for number, attempt in enumerate(self.attempts) if attempt.outcome is None]

    @property
    def first_possibly_run(self) -> Attempt | None:
        """The first attempt that may have run."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)
