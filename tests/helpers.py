"""A small driver: feeds a balancer events, numbers attempts as a host program would, checks the rules."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from whinrouter.balance import Balancer
from whinrouter.interface import (
    MS,
    SECOND,
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
    """So many ready servers, in two zones and cells of two."""
    return tuple(
        Server(id=number, zone="ab"[number % 2], cell=number // 2, **fields)  # type: ignore[arg-type]
        for number in range(1, count + 1)
    )


@dataclass
class Sent:
    request: int
    number: int
    server: ServerId
    at: int
    expires: int = 0
    outcome: Outcome | None = None


@dataclass
class Driver:
    """Plays the host program of one balancer and asserts the rules at every action."""

    settings: Settings = field(default_factory=lambda: Settings(CLASSES))
    count: int = 4
    seed: int = 1
    classes: tuple[RequestClass, ...] = CLASSES
    now: int = 100 * SECOND
    sent: list[Sent] = field(default_factory=list)
    open: dict[int, tuple[Request, int]] = field(default_factory=dict)  # unanswered, with its deadline
    answers: dict[int, list[str]] = field(default_factory=dict)
    kinds: dict[int, str] = field(default_factory=dict)
    listed: dict[ServerId, Server] = field(default_factory=dict)
    told: dict[ServerId, int] = field(default_factory=dict)  # when a server was said to drain or be gone
    timers: list[tuple[int, str]] = field(default_factory=list)
    subscribed: int = 0

    def __post_init__(self) -> None:
        self.balancer = Balancer(self.settings, self.seed)
        if self.count:
            self.list_servers(servers(self.count))

    def feed(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(event, self.now)
        for action in actions:
            self._check(action)
        return actions

    def list_servers(self, entries: Iterable[Server], update: Update = Update.FULL) -> list[Action]:
        named = {server.id: server for server in entries}
        if update in (Update.FULL, Update.STALE):
            for server in self.listed:
                if server not in named:
                    self.told.setdefault(server, self.now)
        for server, entry in named.items():
            self.listed[server] = entry
            if entry.state is State.READY:
                self.told.pop(server, None)
            else:
                self.told.setdefault(server, self.now)
        return self.feed(ServerList(update, tuple(named.values())))

    def fire(self, due: int, token: str) -> list[Action]:
        self.now = max(self.now, due)
        return self.feed(TimerFired(token))

    def request(self, class_name: str) -> Request:
        """A request that is not yet fed."""
        return Request(len(self.answers) + 1, class_name, 400 * MS)

    def ask(
        self,
        kind: RequestClass = READ,
        timeout: int = 400 * MS,
        cost: int = 0,
        key: str | None = None,
        retry: bool = False,
        tenant: str = "",
    ) -> int:
        request = Request(len(self.answers) + 1, kind.name, timeout, cost, key, retry, tenant)
        self.open[request.id] = (request, self.now + timeout)
        self.answers[request.id] = []
        self.kinds[request.id] = kind.name
        self.feed(request)
        return request.id

    def attempts(self, request: int) -> list[Sent]:
        return [sent for sent in self.sent if sent.request == request]

    def out(self, request: int | None = None) -> list[Sent]:
        return [sent for sent in self.sent if sent.outcome is None and request in (None, sent.request)]

    def end(
        self, sent: Sent, outcome: Outcome = Outcome.OK, load: Mapping[str, float] | None = None
    ) -> list[Action]:
        assert sent.outcome is None
        sent.outcome = outcome
        if outcome is Outcome.OK and sent.request in self.open:
            del self.open[sent.request]
            self.answers[sent.request].append("served")
        over = sent.request not in self.open
        return self.feed(
            AttemptEnded(
                sent.request,
                sent.number,
                sent.server,
                outcome,
                self.now - sent.at,
                over,
                dict(load) if load else None,
            )
        )

    def serve(self, kind: RequestClass = READ, taken: int = 30 * MS) -> Sent:
        """Ask, and let the first attempt be served."""
        sent = self.out(self.ask(kind))[0]
        self.now += taken
        self.end(sent)
        return sent

    def start_stream(self, sent: Sent) -> list[Action]:
        return self.feed(StreamStarted(sent.request, sent.number, sent.server, self.now - sent.at))

    def leave(self, request: int) -> list[Action]:
        self.open.pop(request, None)
        self.answers[request].append("left")
        return self.feed(RequestGone(request))

    def expire(self) -> None:
        """Time out what is out past its own time or its client's, as the host program must."""
        overdue = [request for request, (_, due) in self.open.items() if due <= self.now]
        for sent in self.out():
            if sent.request in overdue or 0 < sent.expires <= self.now:
                self.end(sent, Outcome.TIMEOUT)
        assert not any(request in self.open for request in overdue), "no final answer by the deadline"

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
            assert action.server in self.listed
        elif isinstance(action, Subscribe):
            self.subscribed += 1

    def _check_send(self, action: Send) -> None:
        assert action.request in self.open, "a send after the request was over"
        request, deadline = self.open[action.request]
        assert self.now < deadline
        assert action.server in self.listed
        assert action.server not in self.told, "a send to a server that drains or is gone"
        earlier = self.attempts(action.request)
        assert len(earlier) < self.settings.max_attempts
        if not self.settings.may_hedge:
            assert all(sent.outcome is not None for sent in earlier), "two attempts at once"
        unsure = [sent for sent in earlier if sent.outcome is None or not sent.outcome.never_ran]
        kind = next(kind for kind in self.classes if kind.name == request.class_name)
        if unsure and kind.effect is not Effect.IDEMPOTENT:
            assert kind.effect is Effect.KEYED, "an unsafe request sent again"
            assert self.now < unsure[0].at + kind.dedup_window
            here, there = self.listed[action.server], self.listed[unsure[0].server]
            assert kind.scope is not Scope.ZONE or here.zone == there.zone
            assert kind.scope is not Scope.CELL or here.cell == there.cell
        self.sent.append(Sent(action.request, len(earlier), action.server, self.now, action.expires))

    def _check_answer(self, action: Refuse | Fail) -> None:
        assert action.request in self.open, "a second answer"
        request, _ = self.open.pop(action.request)
        kind = next(kind for kind in self.classes if kind.name == request.class_name)
        unsure = [s for s in self.attempts(request.id) if s.outcome is None or not s.outcome.never_ran]
        if isinstance(action, Refuse) and unsure and kind.effect is not Effect.IDEMPOTENT:
            assert kind.effect is Effect.KEYED, "a refusal of a request that may have run"
            assert kind.scope is Scope.ALL
        self.answers[request.id].append("refused" if isinstance(action, Refuse) else "failed")
