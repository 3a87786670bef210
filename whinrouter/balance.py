"""The decisions; its types, settings, events and actions stand in interface.py.

A `Balancer` takes one event and its time and returns the actions to carry out. It reads no clock, does no I/O
and shares nothing; given the same settings, seed and events it does the same.
"""

from __future__ import annotations

from collections.abc import Iterator
from hashlib import blake2b
from math import ceil
from random import Random

from whinrouter.breaker import Breaker
from whinrouter.server_state import (
    FIRST_LIMIT, LAST_LIMIT, LEAST_FIRST_LIMIT, RECALL, RECALL_ANSWERS, Host,
)  # fmt: skip
from whinrouter.interface import (
    SECOND, Action, Attempt, AttemptEnded, BodyReceived, Cancel, Effect, Event, Fail, Outcome, Pending,
    Refuse, Request, RequestAdopted, RequestClass, RequestGone, RequestId, Scope, Send, Server, ServerId,
    ServerList, SetTimer, Settings, State, StreamStarted, Subscribe, TimerFired, Update,
)  # fmt: skip
from whinrouter.learned_state import Learnt, age_of, moment_of
from whinrouter.shedding import Shedding
from whinrouter.slowstart import BASE_PART, SAVED_PART, SlowStart

OPEN_SHARE = 0.5  # no closed breaker counts a failure while this share of them is open
CLASS_OPEN_SHARE = 0.75  # likewise of the breakers for a class; the servers still serve the others

FAN_IN = 20  # balancers that share a server, where there are more
LEAST_SUBSET = 4  # servers that a balancer keeps to at least

TARGET = 0.5  # share of the aim within which answers come in while a server has room
SCATTER = 2.0  # typical times within which answers may come in for no other reason than their own scatter

LATE = 0.005  # share of the attempts of a class that are out past its mark, and so late
# Its mark, in usual times. How far a class's own answers scatter differs by deployment: at 2.5 usual times
# one in six of an exponential kind was late, and three in a row opened the breakers of hosts that were well.
FIRST_MARK, LEAST_MARK = 4.0, 2.0
MARK_STEP = 0.2  # by which one attempt that is out past its mark moves it
EXTRA_SHARE = 0.1  # retry budget: attempts past the fallback, and hedges, for each request on average
EXTRA_BURST = 20.0  # saved up at most, by all balancers together
STEP = 1.04  # by which the usual time follows each answer
PACE_STEP = 1.02  # and the pace of a kind, which all of its servers share
GAP_STEP = 0.05  # and the mean time between two answers

RATE_WINDOW = 2 * SECOND  # over which the work that servers did is averaged
SUM_EVERY = 100_000  # not at every look: with a hundred cold servers that overran the CPU share

# A time-out is none: the client's own limit cut it short. Being late is judged before, by peers.
FAILURES = {Outcome.ERROR, Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.UNKNOWN}
# What says nothing of load: where the way to the hosts broke one connection in ten, all limits stood at their
# least and half of the requests were refused.
NO_LOAD = {Outcome.CANCELLED, Outcome.RESET, Outcome.LOCAL_FAILURE}
# Connections that never come up or break tell of the host or the way to it, not of what was asked.
CLASS_FAILURES = {Outcome.ERROR, Outcome.REJECTED, Outcome.UNKNOWN}


def _rank(key: str, server: ServerId) -> bytes:
    return blake2b(f"{key} {server}".encode(), digest_size=8).digest()


class Balancer:
    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings = settings
        self._random = Random(seed)
        self._classes = {kind.name: kind for kind in settings.classes}
        self._hosts: dict[ServerId, Host] = {}  # those that may be sent to
        self._pending: dict[RequestId, Pending] = {}
        self._served: dict[str, float] = {}  # work done by each kind of server, averaged
        self._counted = 0
        self._spare = self._most_spare = max(1.0, EXTRA_BURST / settings.balancers)  # extra attempts
        self._warm: dict[str, float] = {}  # servers of each kind, counted by warmth
        self._summed = -SUM_EVERY
        self._shed = Shedding(settings)
        self._order: list[Host] = []  # its own, for drawing at random
        self._mine: set[Host] = set()  # likewise, for looking up
        self._crowded = False  # so many balancers that one's part of a host may be less than a request
        self._out, self._limits = 0, 0.0  # sums over the hosts, counted anew with each list
        self._here: list[Host] = []  # those of them in this balancer's zone
        self._spill: list[Host] = []  # those outside its subset, in the order in which they stand in
        self._patience: dict[str, int] = {}  # the longest time a client has left to its first try, by class
        self._usual: dict[str, float] = {}  # median time of an answer by class, for each unit of cost
        self._typical: dict[str, float] = {}  # likewise, whatever the cost
        self._paces: dict[str, float] = {}  # median time of an answer of a kind of server, against the usual
        self._gap, self._heard = 0.0, 0  # mean time between two answers, and when the last one came
        self._marks: dict[str, float] = {}  # by class, the multiple of it after which an attempt is late

    @property
    def settings(self) -> Settings:
        """Those in force."""
        return self._settings

    def handle(self, event: Event, now: int) -> list[Action]:
        if isinstance(event, Request):
            return self._on_request(event, now)
        if isinstance(event, AttemptEnded):
            return self._on_end(event, now)
        if isinstance(event, ServerList):
            return self._on_servers(event, now)
        if isinstance(event, TimerFired):
            return [Subscribe()] if event.token == "subscribe" else self._on_late(event.token, now)
        if isinstance(event, StreamStarted):
            return self._on_stream(event, now)
        if isinstance(event, BodyReceived):
            return self._on_body(event, now)
        if isinstance(event, RequestAdopted):
            return self._on_adopted(event, now)
        pending = self._pending.get(event.request) if isinstance(event, RequestGone) else None
        return self._settle(pending) if pending else []

    def retune(self, settings: Settings) -> None:
        """Go on by other settings. Requests under way keep their class, and get no more attempts than either.

        What was learnt of hosts stays, as it is theirs; what was learnt of a class goes with the class.
        """
        self._settings = settings
        self._classes = {kind.name: kind for kind in settings.classes}
        for learnt in (self._patience, self._usual, self._typical, self._marks):
            for name in [name for name in learnt if name not in self._classes]:
                del learnt[name]
        for host in self._hosts.values():
            host.classes = {name: known for name, known in host.classes.items() if name in self._classes}
        self._shed = self._shed.retuned(settings)
        self._most_spare = max(1.0, EXTRA_BURST / settings.balancers)
        self._spare = min(self._spare, self._most_spare)
        self._arrange([])

    def learnt(self, now: int) -> Learnt:
        """What another balancer in this one's place goes on from, in spans from now."""
        hosts = tuple(host.learnt(now) for host in self._hosts.values())
        usual, typical, marks = dict(self._usual), dict(self._typical), dict(self._marks)
        patience, served, (share, signed) = dict(self._patience), dict(self._served), self._shed.state()
        counted, sign_age = age_of(self._counted, now), age_of(signed, now)
        return Learnt(hosts, usual, typical, marks, patience, served, counted, share, sign_age)

    def resume(self, learnt: Learnt, part: float, now: int) -> None:
        """Go on from what another learnt of the same servers, for a part of its requests."""
        for known in learnt.hosts:
            host = self._hosts.get(known.server)
            if host is not None and host.info.started == moment_of(known.age, now):
                host.resume(known, part, now)
        told = (learnt.usual, self._usual), (learnt.typical, self._typical), (learnt.marks, self._marks)
        for theirs, ours in told:
            ours.update({name: value for name, value in theirs.items() if name in self._classes})
        self._patience.update(learnt.patience)
        self._served = {kind: work * part for kind, work in learnt.served.items()}
        self._counted = moment_of(learnt.counted, now)
        self._shed.resume(learnt.share, moment_of(learnt.signed, now))
        self._allot([])

    def scale(self, by: float) -> None:
        """It has so many times the requests that it had: so has each server's limit."""
        for host in self._hosts.values():
            host.limit = max(host.least, host.limit * by)
        self._allot([])

    def _on_servers(self, event: ServerList, now: int) -> list[Action]:
        asks = self._settings.must_subscribe
        if event.update is Update.ERROR:  # the list in hand stays in force; ask again, not all at once
            return [SetTimer(round(SECOND * self._random.uniform(0.5, 1.5)), "subscribe")] if asks else []
        named = {server.id: server for server in event.servers}
        met: list[Host] = []
        if event.update is not Update.CHANGES:
            self._hosts = {server: host for server, host in self._hosts.items() if server in named}
        for server, info in named.items():
            known = self._hosts.get(server)
            if info.state is not State.READY:
                self._hosts.pop(server, None)
                continue
            if known is None or known.info.started != info.started:
                # A restarted server is a new one: cold, and its breaker fresh.
                known = self._hosts[server] = Host(info, self._random, Breaker(self._random), SlowStart(now))
                met.append(known)
            else:
                known.info = info
            if self._settings.sized and info.weight > 0:
                known.size = info.weight
        self._summed = now - SUM_EVERY
        self._arrange(met)
        return [Subscribe()] if asks and event.update is Update.STALE else []

    def _arrange(self, met: list[Host]) -> None:
        self._allot(met)
        self._order, self._spill = self._subset()
        self._mine = set(self._order)
        self._here = [host for host in self._order if host.info.zone == self._settings.zone]

    def _allot(self, met: list[Host]) -> None:
        """Give each server its bounds, by its size among those there are, and those just met their limits."""
        whole = sum(host.size for host in self._hosts.values())
        for host in self._hosts.values():
            part = host.size * len(self._hosts) / whole / self._settings.balancers
            host.least = max(1 / len(self._hosts), LAST_LIMIT * part)
            if host in met:
                host.limit = max(LEAST_FIRST_LIMIT, FIRST_LIMIT * part)
        self._crowded = any(host.least < 1 for host in self._hosts.values())
        self._out = sum(host.in_flight for host in self._hosts.values())
        self._limits = sum(host.limit for host in self._hosts.values())

    def _subset(self) -> tuple[list[Host], list[Host]]:
        """This balancer's servers, and the others in the order in which they stand in.

        Hundreds of balancers with a connection each fill every server's table, and the rest cannot connect.
        Balancers in turn cut the same shuffled ring into equal slices, so each server serves as many of them.
        """
        count, known = self._settings.balancers, len(self._hosts)
        slices = max(1, min(count // FAN_IN, known // LEAST_SUBSET))
        turn, place = divmod(self._settings.rank, slices)
        ring = sorted(self._hosts.values(), key=lambda host: _rank(str(turn), host.info.id))
        first, end = place * known // slices, (place + 1) * known // slices
        return ring[first:end], ring[end:] + ring[:first]

    def _warmth(self, host: Host, now: int) -> float:
        """The least share of its capacity that a server has by now."""
        ramp, started = self._settings.ramp_time, host.info.started
        if not started or now >= started + ramp:
            return 1.0
        floor = self._settings.cold_share
        return floor + (1 - floor) * max(0, now - started) / ramp

    def _count(self, kind: str, cost: float, now: int) -> None:
        """Add to the work that servers of a kind did lately."""
        kept, served = max(0.0, 1 - (now - self._counted) / RATE_WINDOW), self._served
        for name in served:
            served[name] *= kept
        served[kind] = served.get(kind, 0.0) + cost
        self._counted = now

    def _slow_start_admits(self, host: Host, pending: Pending, now: int) -> bool:
        """Whether a cold server may be sent a request; its base rate is a part of the work done lately.

        Work asked for would not do: retries swell it. Each balancer's shares follow its own traffic, which
        goes to its own servers: they are the whole that it is divided among.
        """
        if now >= self._summed + SUM_EVERY:
            self._warm = {}
            for other in self._order:
                kind = other.info.kind
                self._warm[kind] = self._warm.get(kind, 0.0) + self._warmth(other, now)
            self._summed = now
        cost, settings = self._cost(pending), self._settings
        rate = self._served.get(host.info.kind, 0.0) / RATE_WINDOW / self._warm[host.info.kind]
        rate *= self._warmth(host, now) * settings.fall_multiple * BASE_PART
        # A trickle even where nothing is known yet; split, as that of many balancers alone pushed one over.
        rate = max(rate, cost / RATE_WINDOW / settings.balancers)
        return host.slow_start.admits(cost, rate, SAVED_PART * settings.fall_time, now, self._random)

    def _on_request(self, event: Request, now: int) -> list[Action]:
        kind = self._classes.get(event.class_name)
        if kind is None:  # a class never announced may hold anything: it must not run twice
            kind = RequestClass("", event.timeout or 1, event.timeout or 1, Effect.AT_MOST_ONCE)
            self._classes[kind.name] = kind  # one for all of them: names are at a peer's will
        # With nothing out, nobody can tell that an overload is over until another is let through.
        blind = not self._pending
        pending = Pending(event, kind, now, now + event.timeout, self._settings.max_attempts)
        pending.body_to_come = event.streams
        self._pending[event.id] = pending
        self._spare = min(self._most_spare, self._spare + EXTRA_SHARE)
        turned = self._shed.turns_away(event, kind, self._cost(pending), now, blind, self._random)
        if self._too_late(event, kind) or turned:
            return self._answer(pending)
        return self._advance(pending, now)

    def _on_adopted(self, event: RequestAdopted, now: int) -> list[Action]:
        """A request of another balancer's, whose server has a part of its body: only its end is decided."""
        known = self._classes.get(event.class_name)
        aim = known.aim if known is not None else event.timeout
        kind = RequestClass(event.class_name, aim, event.timeout, Effect.AT_MOST_ONCE)
        request = Request(event.id, event.class_name, event.timeout, streams=True)
        pending = Pending(request, kind, now, now + event.timeout, most=1, spent=True, body_to_come=True)
        host = self._hosts.get(event.server)
        info = host.info if host is not None else Server(event.server, State.DRAINING)
        pending.attempts.append(Attempt(info, now, judged=True, awaits_body=True))
        self._pending[event.id] = pending
        return []

    def _too_late(self, event: Request, kind: RequestClass) -> bool:
        """Whether a client's retry comes after the aim; under overload it keeps what is in time waiting."""
        if not event.retry:
            self._patience[kind.name] = max(event.timeout, self._patience.get(kind.name, 0))
        known = event.retry and event.timeout < self._patience.get(kind.name, 0)  # cut short by the deadline
        return known and kind.late_worth == 0 and kind.deadline - event.timeout > kind.aim

    def _cost(self, pending: Pending) -> float:
        return pending.request.cost or self._expected(pending)  # no hint: the usual time stands for work

    def _expected(self, pending: Pending) -> float:
        """How long an answer to such a request usually takes, from any server."""
        cost, usual = pending.request.cost or 1, self._usual.get(pending.kind.name)
        return pending.kind.aim / 4 if usual is None else usual * cost

    def _advance(self, pending: Pending, now: int) -> list[Action]:
        actions = self._attempt(pending, now) or []
        if actions or pending.out:
            return actions
        self._shed.sign(False, now)
        return self._answer(pending)

    def _attempt(self, pending: Pending, now: int) -> list[Action]:
        over = now >= pending.deadline and not pending.body_to_come
        if over or len(pending.attempts) >= min(pending.most, self._settings.max_attempts):
            return []
        extra = bool(pending.attempts) and (len(pending.attempts) > 1 or bool(pending.out))
        # A first try and its fallback are free; more from hundreds of balancers swamp what still works.
        if self._spare < extra or (pending.attempts and not self._may_repeat(pending, now)):
            return []
        host = self._choose(pending, now)
        if host is None:
            return []
        self._spare -= extra
        return self._send(pending, host, now)

    def _answer(self, pending: Pending) -> list[Action]:
        answer = Refuse if self._may_refuse(pending) else Fail
        return [answer(pending.request.id), *self._settle(pending)]

    def _send(self, pending: Pending, host: Host, now: int) -> list[Action]:
        request, number, expected = pending.request.id, len(pending.attempts), self._expected(pending)
        mark = self._marks.get(pending.kind.name, FIRST_MARK)
        trials = host.breaker.start(), host.of(pending.kind).start()
        attempt = Attempt(host.info, now, *trials, mark=mark, awaits_body=pending.body_to_come)
        pending.attempts.append(attempt)
        if not attempt.awaits_body:
            self._occupy(host)
        host.slow_start.sent(self._cost(pending))
        late = max(1, ceil(mark * expected))  # rounded down, it would find that it is not late yet
        send = Send(request, host.info.id, 0, self._forgotten(pending))
        return [send, SetTimer(late, f"{request}:{number}", request, number)]

    def _forgotten(self, pending: Pending) -> int:
        """When those that drop a keyed request's repeats may forget it; 0 for any other.

        All of its attempts have to begin by then, once there is more than one that may run: be it the first,
        whose connection may come up after another has run.
        """
        first = pending.first_unsure if pending.kind.effect is Effect.KEYED else None
        return first.sent + pending.kind.dedup_window if first is not None else 0

    def _choose(self, pending: Pending, now: int) -> Host | None:
        """Two random servers that admit: the less busy first, the other as its fallback."""
        # Each host takes one at least, but a limit may be less: then their sum is kept.
        if self._crowded and self._out >= max(1.0, self._limits):
            return None
        tried = {attempt.server.id for attempt in pending.attempts}
        fallback = self._hosts.get(pending.fallback) if pending.fallback is not None else None
        if fallback and fallback.info.id not in tried and self._admits(fallback, pending, now):
            return fallback
        recall = max(RECALL, RECALL_ANSWERS * self._gap * len(self._order))
        first = None
        for host in self._candidates(pending.request.key):
            if host is first or host.info.id in tried or not self._admits(host, pending, now):
                continue
            if first is not None:
                first, second = (
                    (host, first) if host.busy(now, recall) < first.busy(now, recall) else (first, host)
                )
                pending.fallback = second.info.id
                return first
            first = host
        pending.fallback = None
        return first

    def _candidates(self, key: str | None) -> Iterator[Host]:
        """The servers in random order; where they warm to keys, as the hash of the key ranks them."""
        if key is not None and self._settings.warm_keys:
            yield from sorted(self._order, key=lambda host: _rank(key, host.info.id))
        if self._settings.cross_zone_price > 0:  # stay while servers here have room to spare
            near = self._with_room(self._here)
            yield from self._drawn(near) if len(near) > 1 else ()
        yield from self._drawn(self._order)
        yield from self._spill

    def _with_room(self, hosts: list[Host]) -> list[Host]:
        """Those with room to spare.

        Of many balancers each has one request at a server or none, also where all of them drown it: there the
        limits and what is in flight count together.
        """
        if not self._crowded:
            return [host for host in hosts if 2 * host.in_flight < host.limit]
        out, limits = sum(host.in_flight for host in hosts), sum(host.limit for host in hosts)
        return hosts.copy() if 2 * out < limits else []

    def _drawn(self, hosts: list[Host]) -> Iterator[Host]:
        """In random order, worked out only as far as it is asked for.

        Of many balancers each has one request at a server or none, which tells little of how busy it is. Its
        part of the limits and the pace of its kind tell more: those with the most are likely first.
        """
        if not self._crowded:
            yield from self._shuffled(hosts)
            return
        parts = {host: host.limit / self._paces.get(host.info.kind, 1.0) for host in hosts}
        most, passed = max(parts.values(), default=0.0), []
        for host in self._shuffled(hosts):
            if self._random.random() * most < parts[host]:
                yield host
            else:
                passed.append(host)
        yield from passed

    def _shuffled(self, hosts: list[Host]) -> Iterator[Host]:
        random, count = self._random.random, len(hosts)
        for place in range(count):
            other = place + int(random() * (count - place))
            hosts[place], hosts[other] = hosts[other], hosts[place]
            yield hosts[place]

    def _admits(self, host: Host, pending: Pending, now: int) -> bool:
        if not host.admits(pending.kind, now):
            return False
        if pending.attempts and not self._in_group(host.info, pending):
            return False
        if not host.info.started or self._warmth(host, now) == 1:
            return True
        if host not in self._mine:  # those whose own it is warm it; what others sent would come on top
            return False
        return self._slow_start_admits(host, pending, now)

    def _may_repeat(self, pending: Pending, now: int) -> bool:
        """Whether another attempt may start at all."""
        if pending.spent or (pending.out and (pending.request.streams or not self._settings.may_hedge)):
            return False
        first = pending.first_unsure
        if first is None or pending.kind.effect is Effect.IDEMPOTENT:
            return True
        return pending.kind.effect is Effect.KEYED and now < first.sent + pending.kind.dedup_window

    def _in_group(self, server: Server, pending: Pending) -> bool:
        """A keyed request that may have run stays with the servers that drop its repeats."""
        first = pending.first_unsure
        if first is None or pending.kind.effect is not Effect.KEYED or pending.kind.scope is Scope.ALL:
            return True
        if pending.kind.scope is Scope.ZONE:
            return server.zone == first.server.zone
        return server.cell == first.server.cell

    def _may_refuse(self, pending: Pending) -> bool:
        """A refusal says that trying again is harmless."""
        kind = pending.kind
        if kind.effect is Effect.IDEMPOTENT or pending.first_unsure is None:
            return True
        return kind.effect is Effect.KEYED and kind.scope is Scope.ALL

    def _on_end(self, event: AttemptEnded, now: int) -> list[Action]:
        pending, attempt = self._find(event.request, event.attempt)
        if pending is None or attempt is None:
            return []
        attempt.outcome, pending.spent = event.outcome, pending.spent or event.spent
        host = self._host_of(attempt)
        if host is not None and not attempt.streams:
            self._release(host, attempt)
            self._judge(host, pending, attempt, now, now - event.waited)
        if not event.answered and not pending.answered:
            return self._advance(pending, now)
        return self._settle(pending)

    def _on_stream(self, event: StreamStarted, now: int) -> list[Action]:
        """The attempt is the client's now; how long its stream lasts says nothing of its server."""
        pending, attempt = self._find(event.request, event.attempt)
        if pending is None or attempt is None:
            return []
        host = self._host_of(attempt)
        if host is not None:
            self._release(host, attempt)
            late = event.latency > TARGET * pending.kind.aim
            self._learn(host, pending, attempt, event.latency, now)
            self._shed.sign(not late, now)
            host.succeed(pending.kind, attempt, now)
            if not attempt.judged:
                self._judge_load(host, pending, attempt, Outcome.OK, now, pending.arrived + event.latency)
        attempt.judged = attempt.streams = True
        return self._settle(pending)

    def _on_body(self, event: BodyReceived, now: int) -> list[Action]:
        """A server begins with a request's last byte: an upload that takes seconds is no load before that."""
        pending = self._pending.get(event.request)
        if pending is None or not pending.body_to_come:
            return []
        pending.body_to_come, pending.deadline = False, now + pending.request.timeout
        for attempt in pending.attempts:
            host = self._host_of(attempt) if attempt.outcome is None and attempt.awaits_body else None
            if host is not None and not attempt.streams:
                attempt.awaits_body = False
                self._occupy(host)
        return []

    def _occupy(self, host: Host) -> None:
        host.in_flight += 1
        self._out += 1

    def _release(self, host: Host, attempt: Attempt) -> None:
        if attempt.awaits_body:
            return
        self._out -= min(1, host.in_flight)
        host.in_flight = max(0, host.in_flight - 1)

    def _find(self, request: RequestId, number: int) -> tuple[Pending | None, Attempt | None]:
        pending = self._pending.get(request)
        known = pending.attempts[number : number + 1] if pending else []
        return pending, known[0] if known else None

    def _host_of(self, attempt: Attempt) -> Host | None:  # none if it left or was restarted since
        host = self._hosts.get(attempt.server.id)
        return host if host is not None and host.info.started == attempt.server.started else None

    def _judge(self, host: Host, pending: Pending, attempt: Attempt, now: int, ended: int) -> None:
        outcome, taken = attempt.outcome, ended - attempt.sent
        late = taken > TARGET * pending.kind.aim
        served = outcome is Outcome.OK
        if served:
            self._learn(host, pending, attempt, taken, now)
        # Calling off what was not late yet, as when its client leaves, says nothing of the load.
        if outcome is Outcome.OK or outcome is Outcome.TIMEOUT or (late and outcome is Outcome.CANCELLED):
            self._shed.sign(outcome is Outcome.OK and not late, now)
        if served:
            host.succeed(pending.kind, attempt, now)
        if not attempt.judged:  # else its verdict is given
            self._judge_load(host, pending, attempt, attempt.outcome, now, ended)
            if not served:
                self._judge_health(host, pending, attempt, now)

    def _learn(self, host: Host, pending: Pending, attempt: Attempt, taken: int, now: int) -> None:
        """What an answer tells of its host's pace, of the usual time of its like, and of the work done."""
        name, cost = pending.kind.name, pending.request.cost or 1
        self._learn_pace(host, taken / self._expected(pending), now)
        host.paced, host.pace = now, host.pace + 0.2 * (taken / self._expected(pending) - host.pace)
        if self._classes.get(name) is not pending.kind:  # its class has changed, or there is none any more
            self._count(host.info.kind, cost, now)
            return
        if self._warmth(host, now) < 1:
            host.slow_start.answered(self._cost(pending), self._settings.fall_multiple)
        if not attempt.judged:
            self._learn_mark(pending, False)
        usual = self._usual.setdefault(name, taken / cost)
        self._usual[name] = usual = max(1 / cost, usual * STEP if taken / cost > usual else usual / STEP)
        if name:  # what was never announced may be anything: it must not tighten the others' room
            typical = self._typical.setdefault(name, taken)
            self._typical[name] = max(1, typical * STEP if taken > typical else typical / STEP)
        self._count(host.info.kind, pending.request.cost or usual, now)

    def _learn_pace(self, host: Host, stretch: float, now: int) -> None:
        """How far apart answers are, and how long those of a kind of server take against the usual."""
        if self._heard:
            self._gap += GAP_STEP * (now - self._heard - self._gap)
        self._heard, kind = now, host.info.kind
        pace = self._paces.get(kind, 1.0)
        self._paces[kind] = pace * PACE_STEP if stretch * self._warmth(host, now) > pace else pace / PACE_STEP

    def _learn_mark(self, pending: Pending, passed: bool) -> None:
        """Move the mark of its class to where `LATE` of all attempts pass it."""
        name = pending.kind.name
        by = MARK_STEP * ((1 - LATE) if passed else -LATE)
        self._marks[name] = max(LEAST_MARK, self._marks.get(name, FIRST_MARK) * (1 + by))

    def _judge_load(
        self, host: Host, pending: Pending, attempt: Attempt, outcome: Outcome | None, now: int, ended: int
    ) -> None:
        before = host.limit
        if outcome is Outcome.OK and ended - pending.arrived <= self._room(pending):
            if not self._crowded:
                host.widen()
            elif 2 * self._out >= self._limits - 2:
                host.widen_pool()
        elif outcome not in NO_LOAD:
            host.narrow(attempt, now)
        self._limits += host.limit - before

    def _room(self, pending: Pending) -> float:
        """The time within which it is answered while a server has room.

        A class that leaves its answers more time than another must not crowd that one's servers: all are
        held to the stretch of the tightest, but for what their own answers scatter by.
        """
        name, typical = pending.kind.name, self._typical
        own = TARGET * pending.kind.aim
        if name not in typical:
            return own
        tightest = min(self._classes[other].aim / typical[other] for other in typical)
        return min(own, max(SCATTER, TARGET * tightest) * typical[name])

    def _judge_health(self, host: Host, pending: Pending, attempt: Attempt, now: int) -> None:
        if attempt.outcome in FAILURES:
            self._fail(host, attempt, now)
        elif attempt.trial and attempt.outcome is not Outcome.OK:
            host.breaker.abandon()
        if attempt.outcome in CLASS_FAILURES or self._silent(host, pending, attempt, now):
            self._fail_class(host, pending, attempt, now)
        elif attempt.class_trial and attempt.outcome is not Outcome.OK:
            host.of(pending.kind).abandon()

    def _silent(self, host: Host, pending: Pending, attempt: Attempt, now: int) -> bool:
        return host.silent(pending.kind, attempt, self._expected(pending), now)

    def _fail(self, host: Host, attempt: Attempt, now: int) -> None:
        """Count a failure, unless trouble is shared: breakers must not refuse work that the fleet can do."""
        opened = sum(not other.breaker.closed for other in self._hosts.values())
        if attempt.trial or opened < OPEN_SHARE * len(self._hosts):
            host.breaker.fail(now, attempt.trial)

    def _fail_class(self, host: Host, pending: Pending, attempt: Attempt, now: int) -> None:
        opened = sum(not other.of(pending.kind).closed for other in self._hosts.values())
        if attempt.class_trial or opened < CLASS_OPEN_SHARE * len(self._hosts):
            failed = attempt.outcome in CLASS_FAILURES
            breaker = host.of(pending.kind)
            (breaker.fail if failed else breaker.miss)(now, attempt.class_trial)

    def _on_late(self, token: str, now: int) -> list[Action]:
        """An attempt is out far longer than its like: a failure, as soon as it can be known."""
        pending, attempt = self._find(*map(int, token.split(":")))
        if pending is None or attempt is None or attempt.outcome is not None or attempt.judged:
            return []
        host = self._host_of(attempt)
        # Where the usual time grew since, there is no second look: its hedges cost more than they gained.
        # By the mark that it was sent with: the first that passes one moves it, and would hide the others.
        if host is not None and now - attempt.sent >= attempt.mark * self._expected(pending):
            self._learn_mark(pending, True)
            attempt.judged = True
            self._fail(host, attempt, now)
            if attempt.class_trial or self._silent(host, pending, attempt, now):
                self._fail_class(host, pending, attempt, now)
            if not pending.answered:  # the fallback starts beside it
                return self._attempt(pending, now)
        return []

    def _settle(self, pending: Pending) -> list[Action]:
        """Nothing more is owed: call off what is out, and forget the request once all has ended."""
        first, pending.answered = not pending.answered, True
        out = pending.out
        if not out:
            del self._pending[pending.request.id]
        losers = [n for n in out if first and not pending.attempts[n].streams]
        return [Cancel(pending.request.id, n) for n in losers] if self._settings.may_cancel else []
