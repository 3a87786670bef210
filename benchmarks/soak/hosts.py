"""Stand-in hosts and the links to them: each gateway reaches each host at an address of its own."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

import httptools

from benchmarks.soak.ledger import Ledger, SeenAttempt

FALL_MULTIPLE, FALL_TIME = 4.0, 2.0
COLD_SHARE, RAMP = 0.05, 8.0
CAPACITY = 15.0  # requests a second that a warm host does
WORK = 0.03  # seconds that an answer takes in the mean
GARBAGE = (b"\x00\xff not http\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nabcd")


@dataclass(slots=True, eq=False)
class Host:
    """One host; what its mode and its links do is set by the troubles that are on."""

    name: str
    zone: str
    ledger: Ledger
    random: Random
    now: Callable[[], float]
    is_on: Callable[[str], bool]  # whether a kind of trouble is on
    mode: str = "serve"  # or hang, fail, refuse
    refuses_connections: bool = False  # new ones are reset as soon as they are up
    started: float = 0.0  # 0: long ago, and warm
    ports: dict[int, int] = field(default_factory=dict)  # by gateway
    servers: list[asyncio.Server] = field(default_factory=list)
    connections: set[HostConnection] = field(default_factory=set)
    busy_until: float = 0.0  # while it is cold it does one request after the other, as fast as it can

    async def listen(self, gateways: int) -> None:
        loop = asyncio.get_running_loop()
        for gateway in range(gateways):
            server = await loop.create_server(partial(HostConnection, self, gateway), "127.0.0.1", 0)
            self.servers.append(server)
            self.ports[gateway] = server.sockets[0].getsockname()[1]

    def reset_all(self) -> None:
        for connection in list(self.connections):
            connection.abort()

    def close(self) -> None:
        for server in self.servers:
            server.close()
        self.reset_all()

    def queue(self, now: float) -> float:
        """Seconds that a request waits for those before it."""
        budget = self.cold_budget(now)
        if not budget:
            return 0.0
        self.busy_until = max(now, self.busy_until) + FALL_MULTIPLE * FALL_TIME / budget
        return self.busy_until - now

    def cold_budget(self, now: float) -> float:
        """Requests that it bears within `FALL_TIME`; 0 once it is warm."""
        if not self.started or now >= self.started + RAMP:
            return 0.0
        warmth = COLD_SHARE + (1 - COLD_SHARE) * max(0.0, now - self.started) / RAMP
        return FALL_MULTIPLE * CAPACITY * warmth * FALL_TIME


class HostConnection(asyncio.Protocol):
    """One connection of a gateway, with the faults of its link."""

    def __init__(self, host: Host, gateway: int) -> None:
        self._host, self._gateway = host, gateway
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._headers: dict[str, str] = {}
        self._began: float | None = None
        self._held: list[bytes] = []  # bytes that came while the link is slow to come up

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._host.connections.add(self)
        if self._host.refuses_connections:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._host.connections.discard(self)
        self._transport = None

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        if self._began is None:
            self._began = self._host.now()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_begin(self) -> None:
        self._headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower().decode()] = value.decode("latin-1")

    def on_message_complete(self) -> None:
        host, now = self._host, self._host.now()
        name = self._headers.get("x-request-id", "")
        attempt = SeenAttempt(
            name,
            self._gateway,
            host.name,
            host.zone,
            self._began if self._began is not None else now,
            float(self._headers.get("x-deadline", "0")),
            host.cold_budget(now),
            host.started,
        )
        self._began = None
        host.ledger.attempts.append(attempt)
        self._respond(attempt)

    def _respond(self, attempt: SeenAttempt) -> None:
        host, draw = self._host, self._host.random.random()
        if host.mode == "hang":
            return
        if host.mode == "refuse":
            attempt.ran = False
            self._later(0.001, b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
            return
        if host.mode == "fail":
            self._later(0.005, b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
            return
        attempt.body = f"{attempt.name} by {host.name} {host.random.random():.9f}".encode()
        if draw < 0.02:
            attempt.body *= 4000
        taken = min(host.random.expovariate(1 / WORK), 0.5) + host.queue(attempt.began)
        if host.is_on("spoil") and draw < 0.25:
            self._spoil(attempt, taken, draw)
            return
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(attempt.body)}\r\n\r\n".encode()
        self._later(taken, head + attempt.body, attempt=attempt)

    def _spoil(self, attempt: SeenAttempt, taken: float, draw: float) -> None:
        body = attempt.body
        good = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
        if draw < 0.05:
            self._later(taken, self._host.random.choice(GARBAGE))
        elif draw < 0.10:
            self._later(taken, good, then=partial(self._again, good))
        elif draw < 0.15:
            self._later(taken, b"HTTP/1.1 103 Early Hints\r\n\r\n" + good)
        elif draw < 0.20:
            attempt.broke_off = True
            self._later(taken, good[:-3], then=self.abort)
        else:
            self._later(taken, b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body, then=self._end)

    def _again(self, text: bytes) -> None:
        """A second answer, no more than some milliseconds late: a later one is nobody's to tell apart."""
        delay = self._host.random.uniform(0.0, 0.004)
        asyncio.get_running_loop().call_later(delay, self._write, text, None)

    def _end(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _later(
        self,
        seconds: float,
        text: bytes,
        then: Callable[[], None] | None = None,
        attempt: SeenAttempt | None = None,
    ) -> None:
        """Answer after so long, through a link that may have its own troubles."""
        loop, random = asyncio.get_running_loop(), self._host.random
        if self._host.is_on("link"):
            seconds += random.expovariate(20.0)
            draw = random.random()
            if attempt is not None:
                attempt.broke_off = draw < 0.05
            if draw < 0.03:
                then, text = self.abort, text[: random.randrange(len(text))]
            elif draw < 0.05:
                then, text = None, text[: random.randrange(len(text))]  # the rest is stalled for ever
            elif draw < 0.3:
                cut = random.randrange(len(text))
                loop.call_later(seconds, self._write, text[:cut], None)
                seconds, text = seconds + random.uniform(0.0, 0.05), text[cut:]
        loop.call_later(seconds, self._write, text, then)

    def _write(self, text: bytes, then: Callable[[], None] | None) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(text)
            if then is not None:
                then()
