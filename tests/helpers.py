"""A driver for the tests of the decision module: it plays the host program and checks the rules."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from whinrouter.balance import Balancer
from whinrouter.interface import (
    MS,
    SECOND,
    UNKNOWN_CELL,
    Action,
    AttemptEnded,
    Cancel,
    Effect,
    Event,
    Fail,
    Outcome,
    Probe,
    Refuse,
    Request,
    RequestClass,
    RequestGone,
    Scope,
    Send,
    Server,
    ServerId,
    ServerList,
    SetTimer,
    Settings,
    State,
    StreamStarted,
    Subscribe,
    TimerFired,
    Update,
)

READ = RequestClass("read", 150 * MS, 500 * MS, Effect.IDEMPOTENT)
BUY = RequestClass("buy", 150 * MS, 500 * MS, Effect.AT_MOST_ONCE)
KEYED = {
    scope: RequestClass(f"keyed-{scope.value}", 150 * MS, 500 * MS, Effect.KEYED, scope, 200 * MS)
    for scope in Scope
}
CLASSES = (READ, BUY, *KEYED.values())


def servers(count: int, **fields: object) -> tuple[Server, ...]:
    """Create ready servers, in two zones and in cells of two."""
    return tuple(
        Server(id=number, zone="ab"[number % 2], cell=number // 2, **fields)  # type: ignore[arg-type]
        for number in range(1, count + 1)
    )


@dataclass
class SentAttempt:
    """An attempt that the balancer has sent."""

    request: int
    number: int
    server: ServerId
    sent_at: int
    expires: int = 0
    outcome: Outcome | None = None


@dataclass
class Driver:
    """Plays the host program of one balancer and asserts the rules at every action."""

    settings: Settings = field(default_factory=lambda: Settings(CLASSES))
    server_count: int = 4
    seed: int = 1
    classes: tuple[RequestClass, ...] = CLASSES
    now: int = 100 * SECOND
    sent_attempts: list[SentAttempt] = field(default_factory=list)
    unanswered: dict[int, tuple[Request, int]] = field(default_factory=dict)  # each with its deadline
    answers: dict[int, list[str]] = field(default_factory=dict)
    class_names: dict[int, str] = field(default_factory=dict)
    listed_servers: dict[ServerId, Server] = field(default_factory=dict)
    unavailable_since: dict[ServerId, int] = field(default_factory=dict)  # of draining and gone servers
    timers: list[tuple[int, str]] = field(default_factory=list)
    subscribed: int = 0

    def __post_init__(self) -> None:
        self.balancer = Balancer(self.settings, self.seed)
        if self.server_count:
            self.list_servers(servers(self.server_count))

    def feed(self, event: Event) -> list[Action]:
        """Pass an event to the balancer and check its actions."""
        actions = self.balancer.handle(event, self.now)
        for action in actions:
            self._check(action)
        return actions

    def list_servers(self, entries: Iterable[Server], update: Update = Update.FULL) -> list[Action]:
        """Pass a list of servers to the balancer."""
        listed = {server.id: server for server in entries}
        if update in (Update.FULL, Update.STALE):
            for server in self.listed_servers:
                if server not in listed:
                    self.unavailable_since.setdefault(server, self.now)
        for server, entry in listed.items():
            self.listed_servers[server] = entry
            if entry.state is State.READY:
                self.unavailable_since.pop(server, None)
            else:
                self.unavailable_since.setdefault(server, self.now)
        return self.feed(ServerList(update, tuple(listed.values())))

    def fire_timer(self, due: int, token: str) -> list[Action]:
        """Advance to a timer's moment and fire it."""
        self.now = max(self.now, due)
        return self.feed(TimerFired(token))

    def request(self, class_name: str) -> Request:
        """Create a request without passing it to the balancer."""
        return Request(len(self.answers) + 1, class_name, 400 * MS)

    def submit(
        self,
        request_class: RequestClass = READ,
        timeout: int = 400 * MS,
        cost: int = 0,
        key: str | None = None,
        is_retry: bool = False,
        tenant: str = "",
    ) -> int:
        """Pass a new request to the balancer; return its id."""
        request = Request(len(self.answers) + 1, request_class.name, timeout, cost, key, is_retry, tenant)
        self.unanswered[request.id] = (request, self.now + timeout)
        self.answers[request.id] = []
        self.class_names[request.id] = request_class.name
        self.feed(request)
        return request.id

    def attempts(self, request: int) -> list[SentAttempt]:
        """Return all attempts of a request."""
        return [sent for sent in self.sent_attempts if sent.request == request]

    def running(self, request: int | None = None) -> list[SentAttempt]:
        """Return the running attempts, of one request or of all."""
        return [
            sent for sent in self.sent_attempts if sent.outcome is None and request in (None, sent.request)
        ]

    def end_attempt(
        self, sent: SentAttempt, outcome: Outcome = Outcome.OK, load: Mapping[str, float] | None = None
    ) -> list[Action]:
        """End an attempt; the first OK answers its request."""
        assert sent.outcome is None
        sent.outcome = outcome
        if outcome is Outcome.OK and sent.request in self.unanswered:
            del self.unanswered[sent.request]
            self.answers[sent.request].append("served")
        is_answered = sent.request not in self.unanswered
        return self.feed(
            AttemptEnded(
                sent.request,
                sent.number,
                sent.server,
                outcome,
                self.now - sent.sent_at,
                is_answered,
                dict(load) if load else None,
            )
        )

    def serve(self, request_class: RequestClass = READ, latency: int = 30 * MS) -> SentAttempt:
        """Submit a request, and let its first attempt be served."""
        sent = self.running(self.submit(request_class))[0]
        self.now += latency
        self.end_attempt(sent)
        return sent

    def start_stream(self, sent: SentAttempt) -> list[Action]:
        """Let the answer of an attempt begin."""
        return self.feed(StreamStarted(sent.request, sent.number, sent.server, self.now - sent.sent_at))

    def disconnect_client(self, request: int) -> list[Action]:
        """Let the client of a request leave."""
        self.unanswered.pop(request, None)
        self.answers[request].append("left")
        return self.feed(RequestGone(request))

    def expire(self) -> None:
        """Time out the attempts at their own or their client's deadline, as the host program must."""
        overdue = [request for request, (_, due) in self.unanswered.items() if due <= self.now]
        for sent in self.running():
            if sent.request in overdue or 0 < sent.expires <= self.now:
                self.end_attempt(sent, Outcome.TIMEOUT)
        assert not any(request in self.unanswered for request in overdue), "no final answer by the deadline"

    def _check(self, action: Action) -> None:
        if isinstance(action, Send):
            self._check_send(action)
        elif isinstance(action, Refuse | Fail):
            self._check_answer(action)
        elif isinstance(action, SetTimer):
            assert action.delay > 0
            self.timers.append((self.now + action.delay, action.token))
        elif isinstance(action, Cancel):
            assert self.settings.may_cancel
            assert action.attempt < len(self.attempts(action.request))
        elif isinstance(action, Probe):
            assert self.settings.may_probe
            assert action.server in self.listed_servers
        elif isinstance(action, Subscribe):
            self.subscribed += 1

    def _check_send(self, action: Send) -> None:
        assert action.request in self.unanswered, "a send after the request was over"
        request, deadline = self.unanswered[action.request]
        assert self.now < deadline
        assert action.server in self.listed_servers
        assert action.server not in self.unavailable_since, "a send to a server that drains or is gone"
        earlier = self.attempts(action.request)
        assert len(earlier) < self.settings.max_attempts
        if not self.settings.may_hedge:
            assert all(sent.outcome is not None for sent in earlier), "two attempts at once"
        possibly_run = [sent for sent in earlier if sent.outcome is None or not sent.outcome.never_ran]
        request_class = next(
            request_class for request_class in self.classes if request_class.name == request.class_name
        )
        if possibly_run and request_class.effect is not Effect.IDEMPOTENT:
            assert request_class.effect is Effect.KEYED, "an unsafe request sent again"
            assert self.now < possibly_run[0].sent_at + request_class.dedup_window
            server, first_server = (
                self.listed_servers[action.server],
                self.listed_servers[possibly_run[0].server],
            )
            if server.id != first_server.id and request_class.scope is Scope.ZONE:
                assert server.zone == first_server.zone != ""
            if server.id != first_server.id and request_class.scope is Scope.CELL:
                assert server.cell == first_server.cell != UNKNOWN_CELL
        self.sent_attempts.append(
            SentAttempt(action.request, len(earlier), action.server, self.now, action.expires)
        )

    def _check_answer(self, action: Refuse | Fail) -> None:
        assert action.request in self.unanswered, "a second answer"
        request, _ = self.unanswered.pop(action.request)
        request_class = next(
            request_class for request_class in self.classes if request_class.name == request.class_name
        )
        possibly_run = [
            sent for sent in self.attempts(request.id) if sent.outcome is None or not sent.outcome.never_ran
        ]
        if isinstance(action, Refuse) and possibly_run and request_class.effect is not Effect.IDEMPOTENT:
            assert request_class.effect is Effect.KEYED, "a refusal of a request that may have run"
            assert request_class.scope is Scope.ALL
        self.answers[request.id].append("refused" if isinstance(action, Refuse) else "failed")
