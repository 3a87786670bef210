"""The decision module; interface.py defines its types, settings, events and actions.

A `Balancer` takes one event and its time, and returns the actions to carry out. It reads no clock, does no
I/O and shares no state: the same settings, seed and events give the same actions.

A request is sent to the less loaded of two random servers that admit it. If that attempt fails, or is late
and hedges are allowed, the other server is its fallback. Hedges and all attempts after the fallback need a
retry budget. A server admits by its concurrency limit, its circuit breakers, and slow start while it is cold.
Under overload, requests are shed (`shedding.py`). A request that no server admits is refused, or failed if it
may have run. A request is pending until its final answer is given and all of its attempts have ended.

In the code, `host` is the state that is kept of a server (`ServerState`), and `server` a `Server` or its id.
"""

from __future__ import annotations

from collections.abc import Iterator
from hashlib import blake2b
from math import ceil
from random import Random

from whinrouter.breaker import Breaker
from whinrouter.server_state import (
    INITIAL_LIMIT, MIN_LIMIT, MIN_INITIAL_LIMIT, LATENCY_MEMORY, LATENCY_MEMORY_ANSWERS, ServerState,
)  # fmt: skip
from whinrouter.interface import (
    SECOND, Action, Attempt, AttemptEnded, BodyReceived, Cancel, Effect, Event, Fail, Outcome, PendingRequest,
    Refuse, Request, RequestAdopted, RequestClass, RequestGone, RequestId, Scope, Send, Server, ServerId,
    ServerList, SetTimer, Settings, State, StreamStarted, Subscribe, TimerFired, Update, in_same_group,
)  # fmt: skip
from whinrouter.learned_state import LearnedState, age_of, moment_of
from whinrouter.shedding import LoadShedder
from whinrouter.slowstart import BASE_RATE_FRACTION, TOKEN_LIFETIME_FRACTION, SlowStart

# Share of open breakers from which closed ones count no failures: the cause then affects the whole fleet, and
# breakers would refuse work that the fleet can do.
MAX_OPEN_SHARE = 0.5
MAX_CLASS_OPEN_SHARE = 0.75  # the same for the breakers of one class; other classes are still served

BALANCERS_PER_SERVER = 20  # balancers that share each server, if there are more than this
MIN_SUBSET_SERVERS = 4  # least size of a balancer's subset

TARGET_AIM_SHARE = 0.5  # share of the aim within which a server with spare capacity answers
SCATTER_MULTIPLE = 2.0  # multiple of the median latency up to which latencies scatter without any load

LATE_SHARE = 0.005  # share of a class's attempts that should exceed its late multiple
# The late multiple of a class: multiples of the expected latency after which an attempt is late. It adapts,
# as the scatter of latencies differs by deployment: at a fixed 2.5, one in six of exponentially distributed
# latencies was late, and three in a row opened the breakers of healthy hosts.
INITIAL_LATE_MULTIPLE, MIN_LATE_MULTIPLE = 4.0, 2.0
LATE_MULTIPLE_STEP = 0.2  # relative change of the late multiple by one late attempt
RETRY_BUDGET_SHARE = 0.1  # attempts beyond the fallback, and hedges, that each request adds to the budget
RETRY_BUDGET_BURST = 20.0  # maximum of the budgets of all balancers together, in attempts
LATENCY_STEP = 1.04  # factor by which each answer moves a median latency
KIND_RATIO_STEP = 1.02  # the same for the latency ratio of a kind, which all its servers share
ANSWER_GAP_STEP = 0.05  # weight of a new gap in the mean time between two answers

WORK_WINDOW = 2 * SECOND  # window over which the work done is averaged
# Microseconds between two sums of warm capacity. A sum at each choice exceeded the CPU budget with 100 cold
# servers.
WARM_SUM_INTERVAL = 100_000

# Outcomes that count as failures of a server. TIMEOUT is not one: it is the client's own limit, and late
# attempts are counted before that, by comparison with the latency of all servers.
SERVER_FAILURES = {Outcome.ERROR, Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.UNKNOWN}
# Outcomes that are not caused by load. A network that broke one connection in ten brought all limits to their
# minimum, and half of the requests were refused.
LOAD_NEUTRAL_OUTCOMES = {Outcome.CANCELLED, Outcome.RESET, Outcome.LOCAL_FAILURE}
# Outcomes that count as failures of a class at a server. Failed and broken connections are not among them:
# they depend on the host or the network, not on what was requested.
CLASS_FAILURES = {Outcome.ERROR, Outcome.REJECTED, Outcome.UNKNOWN}


def _hash_rank(key: str, server: ServerId) -> bytes:
    return blake2b(f"{key} {server}".encode(), digest_size=8).digest()


class Balancer:
    """The decisions of one balancer."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings = settings
        self._random = Random(seed)
        self._classes = {request_class.name: request_class for request_class in settings.classes}
        self._hosts: dict[ServerId, ServerState] = {}  # the ready servers
        self._pending: dict[RequestId, PendingRequest] = {}
        self._work_done: dict[str, float] = {}  # by kind of server, decaying over `WORK_WINDOW`
        self._work_counted_at = 0
        # Attempts that may start beyond the first attempt and the fallback of each request.
        self._retry_budget = self._max_retry_budget = max(1.0, RETRY_BUDGET_BURST / settings.balancers)
        self._warm_servers: dict[str, float] = {}  # by kind, the sum of the servers' capacity shares
        self._warm_summed_at = -WARM_SUM_INTERVAL
        self._shedder = LoadShedder(settings)
        self._subset: list[ServerState] = []  # the servers that this balancer prefers
        self._subset_members: set[ServerState] = set()  # the same, for lookups
        # There are so many balancers that one's share of a server's limit may be less than one request.
        self._limits_are_pooled = False
        self._total_in_flight, self._total_limit = 0, 0.0  # sums over all hosts, recomputed with each list
        self._subset_in_zone: list[ServerState] = []  # the part of the subset in this balancer's zone
        self._reserve: list[ServerState] = []  # servers outside the subset, in the order of their use
        self._longest_timeouts: dict[str, int] = {}  # by class, the longest timeout of a first try
        self._unit_latencies: dict[str, float] = {}  # by class, the median latency per unit of cost
        self._median_latencies: dict[str, float] = {}  # by class, the median latency at any cost
        # By kind of server, the median ratio of its latencies to the expected ones.
        self._kind_latency_ratios: dict[str, float] = {}
        self._answer_gap, self._last_answer_at = 0.0, 0  # mean time between two answers; moment of the latest
        self._late_multiples: dict[str, float] = {}  # by class; see INITIAL_LATE_MULTIPLE

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self._settings

    def handle(self, event: Event, now: int) -> list[Action]:
        """Handle one event at the moment `now` and return the actions to carry out, in their order."""
        if isinstance(event, Request):
            return self._on_request(event, now)
        if isinstance(event, AttemptEnded):
            return self._on_attempt_ended(event, now)
        if isinstance(event, ServerList):
            return self._on_server_list(event, now)
        if isinstance(event, TimerFired):
            return [Subscribe()] if event.token == "subscribe" else self._on_late_timer(event.token, now)
        if isinstance(event, StreamStarted):
            return self._on_stream_started(event, now)
        if isinstance(event, BodyReceived):
            return self._on_body_received(event, now)
        if isinstance(event, RequestAdopted):
            return self._on_adopted(event, now)
        pending = self._pending.get(event.request) if isinstance(event, RequestGone) else None
        return self._finish_request(pending) if pending else []

    def update_settings(self, settings: Settings) -> None:
        """Replace the settings. A pending request keeps its class and the lower of both attempt limits.

        State learned about servers stays. State learned about a class is dropped if the class is removed.
        """
        self._settings = settings
        self._classes = {request_class.name: request_class for request_class in settings.classes}
        for per_class in (
            self._longest_timeouts,
            self._unit_latencies,
            self._median_latencies,
            self._late_multiples,
        ):
            for class_name in [class_name for class_name in per_class if class_name not in self._classes]:
                del per_class[class_name]
        for host in self._hosts.values():
            host.class_breakers = {
                class_name: breaker
                for class_name, breaker in host.class_breakers.items()
                if class_name in self._classes
            }
        self._shedder = self._shedder.with_settings(settings)
        self._max_retry_budget = max(1.0, RETRY_BUDGET_BURST / settings.balancers)
        self._retry_budget = min(self._retry_budget, self._max_retry_budget)
        self._update_subset([])

    def export_state(self, now: int) -> LearnedState:
        """Return the state that a successor of this balancer needs, with all moments as spans from now."""
        servers = tuple(host.export_state(now) for host in self._hosts.values())
        unit_latencies, median_latencies, late_multiples = (
            dict(self._unit_latencies),
            dict(self._median_latencies),
            dict(self._late_multiples),
        )
        longest_timeouts, work_done, (admitted_share, last_result_at) = (
            dict(self._longest_timeouts),
            dict(self._work_done),
            self._shedder.export_state(),
        )
        work_age, admitted_share_age = age_of(self._work_counted_at, now), age_of(last_result_at, now)
        return LearnedState(
            servers,
            unit_latencies,
            median_latencies,
            late_multiples,
            longest_timeouts,
            work_done,
            work_age,
            admitted_share,
            admitted_share_age,
        )

    def restore_state(self, learned: LearnedState, share: float, now: int) -> None:
        """Take over the state that another balancer learned, for a share of its requests.

        The state of a server that is not listed here, or has restarted since, is ignored.
        """
        for server in learned.servers:
            host = self._hosts.get(server.server_id)
            if host is not None and host.info.started_at == moment_of(server.age, now):
                host.restore_state(server, share, now)
        tables = (
            (learned.unit_latencies, self._unit_latencies),
            (learned.median_latencies, self._median_latencies),
            (learned.late_multiples, self._late_multiples),
        )
        for source, target in tables:
            target.update({name: value for name, value in source.items() if name in self._classes})
        self._longest_timeouts.update(learned.longest_timeouts)
        self._work_done = {kind: work * share for kind, work in learned.work_done.items()}
        self._work_counted_at = moment_of(learned.work_age, now)
        self._shedder.restore_state(learned.admitted_share, moment_of(learned.admitted_share_age, now))
        self._assign_limits([])

    def scale_limits(self, factor: float) -> None:
        """Multiply each server's limit: this balancer now gets `factor` times as many requests as before."""
        for host in self._hosts.values():
            host.limit = max(host.min_limit, host.limit * factor)
        self._assign_limits([])

    def _on_server_list(self, event: ServerList, now: int) -> list[Action]:
        """Update the servers. The state kept of a server stays unless the server has restarted."""
        subscribes = self._settings.must_subscribe
        # After an error the current list stays in force. Retries are jittered, as other balancers retry too.
        if event.update is Update.ERROR:
            return (
                [SetTimer(round(SECOND * self._random.uniform(0.5, 1.5)), "subscribe")] if subscribes else []
            )
        listed = {server.id: server for server in event.servers}
        new_hosts: list[ServerState] = []
        if event.update is not Update.CHANGES:
            self._hosts = {server_id: host for server_id, host in self._hosts.items() if server_id in listed}
        for server_id, server in listed.items():
            host = self._hosts.get(server_id)
            if server.state is not State.READY:
                self._hosts.pop(server_id, None)
                continue
            if host is None or host.info.started_at != server.started_at:
                # A restarted server is cold, and nothing is known about it.
                host = self._hosts[server_id] = ServerState(
                    server, self._random, Breaker(self._random), SlowStart(now)
                )
                new_hosts.append(host)
            else:
                if (host.info.zone, host.info.cell) != (server.zone, server.cell):
                    host.grouped_since = now
                host.info = server
            if self._settings.weight_is_capacity and server.weight > 0:
                host.capacity = server.weight
        self._warm_summed_at = now - WARM_SUM_INTERVAL
        self._update_subset(new_hosts)
        return [Subscribe()] if subscribes and event.update is Update.STALE else []

    def _update_subset(self, new_hosts: list[ServerState]) -> None:
        """Recompute the limits and the subset after a change of servers or settings."""
        self._assign_limits(new_hosts)
        self._subset, self._reserve = self._compute_subset()
        self._subset_members = set(self._subset)
        self._subset_in_zone = [host for host in self._subset if host.info.zone == self._settings.zone]

    def _assign_limits(self, new_hosts: list[ServerState]) -> None:
        """Set each server's minimum limit by its share of the capacity, and the initial limit of new ones."""
        total_capacity = sum(host.capacity for host in self._hosts.values())
        for host in self._hosts.values():
            limit_share = host.capacity * len(self._hosts) / total_capacity / self._settings.balancers
            host.min_limit = max(1 / len(self._hosts), MIN_LIMIT * limit_share)
            if host in new_hosts:
                host.limit = max(MIN_INITIAL_LIMIT, INITIAL_LIMIT * limit_share)
        self._limits_are_pooled = any(host.min_limit < 1 for host in self._hosts.values())
        self._total_in_flight = sum(host.in_flight for host in self._hosts.values())
        self._total_limit = sum(host.limit for host in self._hosts.values())

    def _compute_subset(self) -> tuple[list[ServerState], list[ServerState]]:
        """Return this balancer's servers, and the others in the order in which they serve as a reserve.

        If each of hundreds of balancers connected to every server, the connection tables of the servers would
        be full and some balancers could not connect. So a group of balancers shuffles all servers alike and
        divides them into equal slices, one for each balancer; the next group shuffles them anew. Each server
        is then in the subset of equally many balancers.
        """
        balancer_count, server_count = self._settings.balancers, len(self._hosts)
        slices = max(1, min(balancer_count // BALANCERS_PER_SERVER, server_count // MIN_SUBSET_SERVERS))
        group_number, slice_index = divmod(self._settings.rank, slices)
        shuffled = sorted(self._hosts.values(), key=lambda host: _hash_rank(str(group_number), host.info.id))
        start, end = slice_index * server_count // slices, (slice_index + 1) * server_count // slices
        return shuffled[start:end], shuffled[end:] + shuffled[:start]

    def _min_capacity_share(self, host: ServerState, now: int) -> float:
        """Return the least share of its capacity that a server has by now."""
        ramp_time, started_at = self._settings.ramp_time, host.info.started_at
        if not started_at or now >= started_at + ramp_time:
            return 1.0
        cold_share = self._settings.cold_share
        return cold_share + (1 - cold_share) * max(0, now - started_at) / ramp_time

    def _record_work(self, kind: str, cost: float, now: int) -> None:
        """Add to the recent work of a kind of server."""
        kept_share, work_done = max(0.0, 1 - (now - self._work_counted_at) / WORK_WINDOW), self._work_done
        for known_kind in work_done:
            work_done[known_kind] *= kept_share
        work_done[kind] = work_done.get(kind, 0.0) + cost
        self._work_counted_at = now

    def _slow_start_admits(self, host: ServerState, pending: PendingRequest, now: int) -> bool:
        """Whether a cold server may be sent a request. Its base rate is a share of the recent work done.

        The base rate must not follow the offered work, as retries inflate that. A balancer's work goes to
        the servers of its subset, so it is divided among these alone.
        """
        if now >= self._warm_summed_at + WARM_SUM_INTERVAL:
            self._warm_servers = {}
            for other in self._subset:
                kind = other.info.kind
                self._warm_servers[kind] = self._warm_servers.get(kind, 0.0) + self._min_capacity_share(
                    other, now
                )
            self._warm_summed_at = now
        cost, settings = self._cost(pending), self._settings
        rate = self._work_done.get(host.info.kind, 0.0) / WORK_WINDOW / self._warm_servers[host.info.kind]
        rate *= self._min_capacity_share(host, now) * settings.cold_overload_multiple * BASE_RATE_FRACTION
        # A minimum where no work is known yet. It is divided by the number of balancers: many of them
        # together overloaded a cold server with this minimum alone.
        rate = max(rate, cost / WORK_WINDOW / settings.balancers)
        return host.slow_start.admits(
            cost, rate, TOKEN_LIFETIME_FRACTION * settings.cold_overload_window, now, self._random
        )

    def _on_request(self, event: Request, now: int) -> list[Action]:
        """Send a new request to a server, or answer it at once."""
        request_class = self._classes.get(event.class_name)
        if request_class is None:  # an unknown class may have any effect: its requests must not run twice
            request_class = RequestClass("", event.timeout or 1, event.timeout or 1, Effect.AT_MOST_ONCE)
            # One class for all unknown names, as peers choose the names and memory must stay bounded.
            self._classes[request_class.name] = request_class
        # Without pending requests, only an admitted request can show that an overload is over.
        has_no_feedback = not self._pending
        pending = PendingRequest(event, request_class, now, now + event.timeout, self._settings.max_attempts)
        pending.body_incomplete = event.streams_body
        self._pending[event.id] = pending
        self._retry_budget = min(self._max_retry_budget, self._retry_budget + RETRY_BUDGET_SHARE)
        is_shed = self._shedder.should_shed(
            event, request_class, self._cost(pending), now, has_no_feedback, self._random
        )
        if self._is_late_retry(event, request_class) or is_shed:
            return self._refuse_or_fail(pending)
        return self._attempt_or_answer(pending, now)

    def _on_adopted(self, event: RequestAdopted, now: int) -> list[Action]:
        """Take over a request whose server has a part of its body: only its final answer is decided here."""
        announced = self._classes.get(event.class_name)
        aim = announced.aim if announced is not None else event.timeout
        request_class = RequestClass(event.class_name, aim, event.timeout, Effect.AT_MOST_ONCE)
        request = Request(event.id, event.class_name, event.timeout, streams_body=True)
        pending = PendingRequest(
            request,
            request_class,
            now,
            now + event.timeout,
            max_attempts=1,
            body_consumed=True,
            body_incomplete=True,
        )
        host = self._hosts.get(event.server)
        info = host.info if host is not None else Server(event.server, State.DRAINING)
        pending.attempts.append(Attempt(info, now, is_counted=True, awaits_body=True))
        self._pending[event.id] = pending
        return []

    def _is_late_retry(self, event: Request, request_class: RequestClass) -> bool:
        """Whether a client's retry comes after the aim: under overload it would delay requests in time."""
        if not event.is_retry:
            self._longest_timeouts[request_class.name] = max(
                event.timeout, self._longest_timeouts.get(request_class.name, 0)
            )
        # The deadline shortens the timeout of a retry by the time since the first try.
        is_shortened = event.is_retry and event.timeout < self._longest_timeouts.get(request_class.name, 0)
        return (
            is_shortened
            and request_class.late_worth == 0
            and request_class.deadline - event.timeout > request_class.aim
        )

    def _cost(self, pending: PendingRequest) -> float:
        """Return the estimated work of a request."""
        return pending.request.cost or self._expected_latency(pending)  # no estimate: use the latency

    def _expected_latency(self, pending: PendingRequest) -> float:
        """Return the usual latency of such a request, whichever server answers it."""
        cost, unit_latency = pending.request.cost or 1, self._unit_latencies.get(pending.request_class.name)
        return pending.request_class.aim / 4 if unit_latency is None else unit_latency * cost

    def _attempt_or_answer(self, pending: PendingRequest, now: int) -> list[Action]:
        """Start another attempt; if there is none and none is running, give the final answer."""
        actions = self._start_attempt(pending, now) or []
        if actions or pending.running_attempts:
            return actions
        self._shedder.record_result(False, now)
        return self._refuse_or_fail(pending)

    def _start_attempt(self, pending: PendingRequest, now: int) -> list[Action]:
        """Send the request if the rules, the retry budget and a server allow it; else return no action."""
        is_expired = now >= pending.deadline and not pending.body_incomplete
        if is_expired or len(pending.attempts) >= min(pending.max_attempts, self._settings.max_attempts):
            return []
        uses_budget = bool(pending.attempts) and (len(pending.attempts) > 1 or bool(pending.running_attempts))
        # A first attempt and its fallback need no budget. More than these, from hundreds of balancers, would
        # overload the servers that still work.
        if self._retry_budget < uses_budget or (pending.attempts and not self._may_repeat(pending, now)):
            return []
        host = self._choose_server(pending, now)
        if host is None:
            return []
        self._retry_budget -= uses_budget
        return self._send_attempt(pending, host, now)

    def _refuse_or_fail(self, pending: PendingRequest) -> list[Action]:
        """Give the final answer to a request that is not served."""
        answer = Refuse if self._may_refuse(pending) else Fail
        return [answer(pending.request.id), *self._finish_request(pending)]

    def _send_attempt(self, pending: PendingRequest, host: ServerState, now: int) -> list[Action]:
        """Send the request to a server, with a timer for the moment at which the attempt is late."""
        request, number, expected = pending.request.id, len(pending.attempts), self._expected_latency(pending)
        late_multiple = self._late_multiples.get(pending.request_class.name, INITIAL_LATE_MULTIPLE)
        trials = host.breaker.start_attempt(), host.class_breaker(pending.request_class).start_attempt()
        attempt = Attempt(
            host.info, now, *trials, late_multiple=late_multiple, awaits_body=pending.body_incomplete
        )
        pending.attempts.append(attempt)
        if not attempt.awaits_body:
            self._occupy_slot(host)
        host.slow_start.record_send(self._cost(pending))
        late_delay = max(1, ceil(late_multiple * expected))  # rounded down, the attempt would not be late yet
        send = Send(request, host.info.id, 0, self._dedup_window_end(pending))
        return [send, SetTimer(late_delay, f"{request}:{number}", request, number)]

    def _dedup_window_end(self, pending: PendingRequest) -> int:
        """Return the end of a keyed request's dedup window, or 0 for any other request.

        Once more than one of its attempts may run, all of them must be written before this moment. That
        includes the first: its connection may be established after another attempt has run.
        """
        first = pending.first_possibly_run if pending.request_class.effect is Effect.KEYED else None
        return first.sent_at + pending.request_class.dedup_window if first is not None else 0

    def _choose_server(self, pending: PendingRequest, now: int) -> ServerState | None:
        """Choose the less loaded of two random servers that admit the request; the other is its fallback."""
        # Each host admits at least one request, even if its limit is below one; so their sum is bounded here.
        if self._limits_are_pooled and self._total_in_flight >= max(1.0, self._total_limit):
            return None
        tried = {attempt.server.id for attempt in pending.attempts}
        fallback = self._hosts.get(pending.fallback) if pending.fallback is not None else None
        if fallback and fallback.info.id not in tried and self._server_admits(fallback, pending, now):
            return fallback
        memory = max(LATENCY_MEMORY, LATENCY_MEMORY_ANSWERS * self._answer_gap * len(self._subset))
        first = None
        for host in self._candidates(pending.request.key):
            if host is first or host.info.id in tried or not self._server_admits(host, pending, now):
                continue
            if first is not None:
                first, second = (
                    (host, first)
                    if host.load_score(now, memory) < first.load_score(now, memory)
                    else (first, host)
                )
                pending.fallback = second.info.id
                return first
            first = host
        pending.fallback = None
        return first

    def _candidates(self, key: str | None) -> Iterator[ServerState]:
        """Yield the servers to try, in the order of preference; some are yielded more than once.

        For a key, where keys warm servers: the subset in the hash order of the key. Then, if crossing zones
        has a price, this zone's servers with spare capacity, if there are at least two; then the subset in
        random order; then the reserve.
        """
        if key is not None and self._settings.warm_keys:
            yield from sorted(self._subset, key=lambda host: _hash_rank(key, host.info.id))
        if self._settings.cross_zone_price > 0:  # prefer this zone while its servers have spare capacity
            local_hosts = self._with_spare_capacity(self._subset_in_zone)
            yield from self._random_order(local_hosts) if len(local_hosts) > 1 else ()
        yield from self._random_order(self._subset)
        yield from self._reserve

    def _with_spare_capacity(self, hosts: list[ServerState]) -> list[ServerState]:
        """Return the hosts that are less than half full.

        With many balancers, each has one request in flight at a host or none, even if all together overload
        it. Then the sums over these hosts are compared instead.
        """
        if not self._limits_are_pooled:
            return [host for host in hosts if 2 * host.in_flight < host.limit]
        in_flight, limit = sum(host.in_flight for host in hosts), sum(host.limit for host in hosts)
        return hosts.copy() if 2 * in_flight < limit else []

    def _random_order(self, hosts: list[ServerState]) -> Iterator[ServerState]:
        """Yield hosts in random order, computed lazily.

        With many balancers, the requests in flight from one of them tell little about a host's load. Its
        limit, divided by the latency ratio of its kind, tells more: hosts with a higher quotient tend to come
        first.
        """
        if not self._limits_are_pooled:
            yield from self._shuffled(hosts)
            return
        weights = {host: host.limit / self._kind_latency_ratios.get(host.info.kind, 1.0) for host in hosts}
        max_weight, skipped = max(weights.values(), default=0.0), []
        for host in self._shuffled(hosts):
            if self._random.random() * max_weight < weights[host]:
                yield host
            else:
                skipped.append(host)
        yield from skipped

    def _shuffled(self, hosts: list[ServerState]) -> Iterator[ServerState]:
        """Yield the hosts in random order, and shuffle the list itself as far as it is read."""
        random, count = self._random.random, len(hosts)
        for index in range(count):
            other = index + int(random() * (count - index))
            hosts[index], hosts[other] = hosts[other], hosts[index]
            yield hosts[index]

    def _server_admits(self, host: ServerState, pending: PendingRequest, now: int) -> bool:
        """Whether a server may be sent this request now."""
        if not host.admits(pending.request_class, now):
            return False
        if pending.attempts and not self._in_dedup_group(host, pending):
            return False
        if not host.info.started_at or self._min_capacity_share(host, now) == 1:
            return True
        # Only balancers whose subset contains a cold host send to it; requests of others would overload it.
        if host not in self._subset_members:
            return False
        return self._slow_start_admits(host, pending, now)

    def _may_repeat(self, pending: PendingRequest, now: int) -> bool:
        """Whether another attempt may start."""
        if pending.body_consumed or (
            pending.running_attempts and (pending.request.streams_body or not self._settings.may_hedge)
        ):
            return False
        first = pending.first_possibly_run
        if first is None or pending.request_class.effect is Effect.IDEMPOTENT:
            return True
        return (
            pending.request_class.effect is Effect.KEYED
            and now < first.sent_at + pending.request_class.dedup_window
        )

    def _in_dedup_group(self, host: ServerState, pending: PendingRequest) -> bool:
        """Whether a server drops the repeats of this request, if it is keyed and may have run.

        Servers that have changed their group since the request was first sent share no record of it.
        """
        first, scope = pending.first_possibly_run, pending.request_class.scope
        if first is None or pending.request_class.effect is not Effect.KEYED or scope is Scope.ALL:
            return True
        if (host.info.id, host.info.started_at) == (first.server.id, first.server.started_at):
            return True
        first_host = self._hosts.get(first.server.id)
        has_first_moved = first_host is not None and first_host.grouped_since > first.sent_at
        if has_first_moved or host.grouped_since > first.sent_at:
            return False
        return in_same_group(scope, first.server, host.info)

    def _may_refuse(self, pending: PendingRequest) -> bool:
        """Whether the request may be refused: a refusal says that a retry is safe."""
        request_class = pending.request_class
        if request_class.effect is Effect.IDEMPOTENT or pending.first_possibly_run is None:
            return True
        return request_class.effect is Effect.KEYED and request_class.scope is Scope.ALL

    def _on_attempt_ended(self, event: AttemptEnded, now: int) -> list[Action]:
        """Learn from the outcome; start another attempt if the request has no answer yet."""
        pending, attempt = self._find_attempt(event.request, event.attempt)
        if pending is None or attempt is None:
            return []
        attempt.outcome, pending.body_consumed = event.outcome, pending.body_consumed or event.body_consumed
        host = self._host_of(attempt)
        if host is not None and not attempt.is_streaming:
            self._release_slot(host, attempt)
            self._record_outcome(host, pending, attempt, now, now - event.local_delay)
        if not event.client_answered and not pending.is_answered:
            return self._attempt_or_answer(pending, now)
        return self._finish_request(pending)

    def _on_stream_started(self, event: StreamStarted, now: int) -> list[Action]:
        """Release the server's slot: how long the stream lasts says nothing about the server."""
        pending, attempt = self._find_attempt(event.request, event.attempt)
        if pending is None or attempt is None:
            return []
        host = self._host_of(attempt)
        if host is not None:
            self._release_slot(host, attempt)
            is_late = event.latency > TARGET_AIM_SHARE * pending.request_class.aim
            self._record_latency(host, pending, attempt, event.latency, now)
            self._shedder.record_result(not is_late, now)
            host.record_success(pending.request_class, attempt, now)
            if not attempt.is_counted:
                self._adjust_limit(
                    host, pending, attempt, Outcome.OK, now, pending.arrived_at + event.latency
                )
        attempt.is_counted = attempt.is_streaming = True
        return self._finish_request(pending)

    def _on_body_received(self, event: BodyReceived, now: int) -> list[Action]:
        """Count the request as load from now on.

        A server starts its work at the last byte of a request; an upload of some seconds is no load before.
        """
        pending = self._pending.get(event.request)
        if pending is None or not pending.body_incomplete:
            return []
        pending.body_incomplete, pending.deadline = False, now + pending.request.timeout
        for attempt in pending.attempts:
            host = self._host_of(attempt) if attempt.outcome is None and attempt.awaits_body else None
            if host is not None and not attempt.is_streaming:
                attempt.awaits_body = False
                self._occupy_slot(host)
        return []

    def _occupy_slot(self, host: ServerState) -> None:
        """Count a request in flight."""
        host.in_flight += 1
        self._total_in_flight += 1

    def _release_slot(self, host: ServerState, attempt: Attempt) -> None:
        """Count a request no longer in flight, unless it awaited its body and so was never counted."""
        if attempt.awaits_body:
            return
        self._total_in_flight -= min(1, host.in_flight)
        host.in_flight = max(0, host.in_flight - 1)

    def _find_attempt(
        self, request_id: RequestId, number: int
    ) -> tuple[PendingRequest | None, Attempt | None]:
        pending = self._pending.get(request_id)
        found = pending.attempts[number : number + 1] if pending else []
        return pending, found[0] if found else None

    def _host_of(self, attempt: Attempt) -> ServerState | None:  # None if it was removed or has restarted
        host = self._hosts.get(attempt.server.id)
        return host if host is not None and host.info.started_at == attempt.server.started_at else None

    def _record_outcome(
        self, host: ServerState, pending: PendingRequest, attempt: Attempt, now: int, ended_at: int
    ) -> None:
        """Learn from an outcome: latencies, and the load and health of the server."""
        outcome, latency = attempt.outcome, ended_at - attempt.sent_at
        is_late = latency > TARGET_AIM_SHARE * pending.request_class.aim
        is_served = outcome is Outcome.OK
        if is_served:
            self._record_latency(host, pending, attempt, latency, now)
        # A cancelled attempt that was not late yet, as after its client left, says nothing about the load.
        if outcome is Outcome.OK or outcome is Outcome.TIMEOUT or (is_late and outcome is Outcome.CANCELLED):
            self._shedder.record_result(outcome is Outcome.OK and not is_late, now)
        if is_served:
            host.record_success(pending.request_class, attempt, now)
        if not attempt.is_counted:
            self._adjust_limit(host, pending, attempt, attempt.outcome, now, ended_at)
            if not is_served:
                self._record_health(host, pending, attempt, now)

    def _record_latency(
        self, host: ServerState, pending: PendingRequest, attempt: Attempt, latency: int, now: int
    ) -> None:
        """Update the latency ratios, the latencies of the class and the work done."""
        class_name, cost = pending.request_class.name, pending.request.cost or 1
        self._update_kind_ratio(host, latency / self._expected_latency(pending), now)
        host.latency_ratio_at, host.latency_ratio = (
            now,
            host.latency_ratio + 0.2 * (latency / self._expected_latency(pending) - host.latency_ratio),
        )
        if self._classes.get(class_name) is not pending.request_class:  # the settings have changed since
            self._record_work(host.info.kind, cost, now)
            return
        if self._min_capacity_share(host, now) < 1:
            host.slow_start.record_answer(self._cost(pending), self._settings.cold_overload_multiple)
        if not attempt.is_counted:
            self._update_late_multiple(pending, False)
        unit_latency = self._unit_latencies.setdefault(class_name, latency / cost)
        self._unit_latencies[class_name] = unit_latency = max(
            1 / cost,
            unit_latency * LATENCY_STEP if latency / cost > unit_latency else unit_latency / LATENCY_STEP,
        )
        if class_name:  # an unknown class may have any latency: it must not tighten the others' targets
            median = self._median_latencies.setdefault(class_name, latency)
            self._median_latencies[class_name] = max(
                1, median * LATENCY_STEP if latency > median else median / LATENCY_STEP
            )
        self._record_work(host.info.kind, pending.request.cost or unit_latency, now)

    def _update_kind_ratio(self, host: ServerState, latency_ratio: float, now: int) -> None:
        """Update the mean time between answers, and the latency ratio of a kind of server."""
        if self._last_answer_at:
            self._answer_gap += ANSWER_GAP_STEP * (now - self._last_answer_at - self._answer_gap)
        self._last_answer_at, kind = now, host.info.kind
        kind_ratio = self._kind_latency_ratios.get(kind, 1.0)
        self._kind_latency_ratios[kind] = (
            kind_ratio * KIND_RATIO_STEP
            if latency_ratio * self._min_capacity_share(host, now) > kind_ratio
            else kind_ratio / KIND_RATIO_STEP
        )

    def _update_late_multiple(self, pending: PendingRequest, is_late: bool) -> None:
        """Move the late multiple of a class so that `LATE_SHARE` of its attempts exceed it."""
        class_name = pending.request_class.name
        step = LATE_MULTIPLE_STEP * ((1 - LATE_SHARE) if is_late else -LATE_SHARE)
        self._late_multiples[class_name] = max(
            MIN_LATE_MULTIPLE, self._late_multiples.get(class_name, INITIAL_LATE_MULTIPLE) * (1 + step)
        )

    def _adjust_limit(
        self,
        host: ServerState,
        pending: PendingRequest,
        attempt: Attempt,
        outcome: Outcome | None,
        now: int,
        ended_at: int,
    ) -> None:
        """Raise a server's limit after an answer in time, and cut it after a sign of overload."""
        limit_before = host.limit
        if outcome is Outcome.OK and ended_at - pending.arrived_at <= self._target_latency(pending):
            if not self._limits_are_pooled:
                host.raise_limit()
            elif 2 * self._total_in_flight >= self._total_limit - 2:
                host.raise_pooled_limit()
        elif outcome not in LOAD_NEUTRAL_OUTCOMES:
            host.cut_limit(attempt, now)
        self._total_limit += host.limit - limit_before

    def _target_latency(self, pending: PendingRequest) -> float:
        """Return the time within which a server with spare capacity answers the request.

        A class with a long aim must not overload the servers of one with a short aim. So the targets of all
        classes follow the least ratio of aim to median latency. Yet a class is allowed the normal scatter of
        its own latencies, `SCATTER_MULTIPLE` medians, within its share of the aim.
        """
        class_name, medians = pending.request_class.name, self._median_latencies
        own_target = TARGET_AIM_SHARE * pending.request_class.aim
        if class_name not in medians:
            return own_target
        min_ratio = min(self._classes[other].aim / medians[other] for other in medians)
        return min(own_target, max(SCATTER_MULTIPLE, TARGET_AIM_SHARE * min_ratio) * medians[class_name])

    def _record_health(self, host: ServerState, pending: PendingRequest, attempt: Attempt, now: int) -> None:
        """Count an attempt that was not served at its server's breakers."""
        if attempt.outcome in SERVER_FAILURES:
            self._record_failure(host, attempt, now)
        elif attempt.is_trial and attempt.outcome is not Outcome.OK:
            host.breaker.abandon_trial()
        if attempt.outcome in CLASS_FAILURES or self._is_silent(host, pending, attempt, now):
            self._record_class_failure(host, pending, attempt, now)
        elif attempt.is_class_trial and attempt.outcome is not Outcome.OK:
            host.class_breaker(pending.request_class).abandon_trial()

    def _is_silent(self, host: ServerState, pending: PendingRequest, attempt: Attempt, now: int) -> bool:
        return host.is_silent(pending.request_class, attempt, self._expected_latency(pending), now)

    def _record_failure(self, host: ServerState, attempt: Attempt, now: int) -> None:
        """Count a failure, unless too many breakers are open already (see MAX_OPEN_SHARE)."""
        open_count = sum(not other.breaker.is_closed for other in self._hosts.values())
        if attempt.is_trial or open_count < MAX_OPEN_SHARE * len(self._hosts):
            host.breaker.record_failure(now, attempt.is_trial)

    def _record_class_failure(
        self, host: ServerState, pending: PendingRequest, attempt: Attempt, now: int
    ) -> None:
        """Count a failure of a class, unless too many of its breakers are open (MAX_CLASS_OPEN_SHARE)."""
        open_count = sum(
            not other.class_breaker(pending.request_class).is_closed for other in self._hosts.values()
        )
        if attempt.is_class_trial or open_count < MAX_CLASS_OPEN_SHARE * len(self._hosts):
            is_failure = attempt.outcome in CLASS_FAILURES
            breaker = host.class_breaker(pending.request_class)
            (breaker.record_failure if is_failure else breaker.record_no_answer)(now, attempt.is_class_trial)

    def _on_late_timer(self, token: str, now: int) -> list[Action]:
        """Count a late attempt as a failure without waiting for its end, and start the fallback beside it."""
        pending, attempt = self._find_attempt(*map(int, token.split(":")))
        if pending is None or attempt is None or attempt.outcome is not None or attempt.is_counted:
            return []
        host = self._host_of(attempt)
        # If the expected latency has grown meanwhile, the attempt is not checked again: hedges that late cost
        # more than they gain. The late multiple is the one of the send: the first late attempt raises the
        # current one, which would hide the others.
        if host is not None and now - attempt.sent_at >= attempt.late_multiple * self._expected_latency(
            pending
        ):
            self._update_late_multiple(pending, True)
            attempt.is_counted = True
            self._record_failure(host, attempt, now)
            if attempt.is_class_trial or self._is_silent(host, pending, attempt, now):
                self._record_class_failure(host, pending, attempt, now)
            if not pending.is_answered:
                return self._start_attempt(pending, now)
        return []

    def _finish_request(self, pending: PendingRequest) -> list[Action]:
        """Cancel the running attempts after the final answer; forget the request once all have ended."""
        was_unanswered, pending.is_answered = not pending.is_answered, True
        running = pending.running_attempts
        if not running:
            del self._pending[pending.request.id]
        losers = [
            number for number in running if was_unanswered and not pending.attempts[number].is_streaming
        ]
        return [Cancel(pending.request.id, number) for number in losers] if self._settings.may_cancel else []
