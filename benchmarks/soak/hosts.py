"""Simulated hosts and the links to them: each gateway reaches each host at a separate address."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

import httptools

from benchmarks.soak.ledger import HostAttempt, Ledger

COLD_OVERLOAD_MULTIPLE, COLD_OVERLOAD_WINDOW_SECONDS = 4.0, 2.0
COLD_SHARE, RAMP_SECONDS = 0.05, 8.0
CAPACITY = 15.0  # requests per second of a warm host
MEAN_SERVICE_SECONDS = 0.03
MALFORMED_ANSWERS = (b"\x00\xff not http\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nabcd")


@dataclass(slots=True, eq=False)
class Host:
    """One host; the active disruptions determine its mode and the faults of its links."""

    name: str
    zone: str
    ledger: Ledger
    random: Random
    now: Callable[[], float]
    is_active: Callable[[str], bool]  # whether a kind of disruption is active
    mode: str = "serve"  # or hang, fail, refuse
    refuses_connections: bool = False  # new connections are reset as soon as they are established
    started_at: float = 0.0  # 0: long ago, so that the host is warm
    ports: dict[int, int] = field(default_factory=dict)  # by gateway
    servers: list[asyncio.Server] = field(default_factory=list)
    connections: set[HostConnection] = field(default_factory=set)
    busy_until: float = 0.0  # a cold host runs its requests one after the other, at its present capacity

    async def listen(self, gateways: int) -> None:
        """Listen at a new port for each gateway."""
        loop = asyncio.get_running_loop()
        for gateway in range(gateways):
            server = await loop.create_server(partial(HostConnection, self, gateway), "127.0.0.1", 0)
            self.servers.append(server)
            self.ports[gateway] = server.sockets[0].getsockname()[1]

    def reset_all(self) -> None:
        """Reset all connections of the host."""
        for connection in list(self.connections):
            connection.abort()

    def close(self) -> None:
        """Stop listening, and reset all connections."""
        for server in self.servers:
            server.close()
        self.reset_all()

    def queue_delay(self, now: float) -> float:
        """Queue a request at a cold host and return its delay in seconds; a warm host has no queue."""
        budget = self.cold_budget(now)
        if not budget:
            return 0.0
        self.busy_until = (
            max(now, self.busy_until) + COLD_OVERLOAD_MULTIPLE * COLD_OVERLOAD_WINDOW_SECONDS / budget
        )
        return self.busy_until - now

    def cold_budget(self, now: float) -> float:
        """Return the requests that the host can take in `COLD_OVERLOAD_WINDOW_SECONDS`; 0 once it is warm."""
        if not self.started_at or now >= self.started_at + RAMP_SECONDS:
            return 0.0
        capacity_share = COLD_SHARE + (1 - COLD_SHARE) * max(0.0, now - self.started_at) / RAMP_SECONDS
        return COLD_OVERLOAD_MULTIPLE * CAPACITY * capacity_share * COLD_OVERLOAD_WINDOW_SECONDS


class HostConnection(asyncio.Protocol):
    """A connection from a gateway, with the faults of its link."""

    def __init__(self, host: Host, gateway: int) -> None:
        self._host, self._gateway = host, gateway
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._headers: dict[str, str] = {}
        self._began_at: float | None = None
        self._unparsed: list[bytes] = []  # bytes received while the link comes up slowly

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
        if self._began_at is None:
            self._began_at = self._host.now()
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
        attempt = HostAttempt(
            name,
            self._gateway,
            host.name,
            host.zone,
            self._began_at if self._began_at is not None else now,
            float(self._headers.get("x-deadline", "0")),
            host.cold_budget(now),
            host.started_at,
        )
        self._began_at = None
        host.ledger.attempts.append(attempt)
        self._respond(attempt)

    def _respond(self, attempt: HostAttempt) -> None:
        """Answer as the host's mode and the active disruptions require."""
        host, draw = self._host, self._host.random.random()
        if host.mode == "hang":
            return
        if host.mode == "refuse":
            attempt.has_run = False
            self._send_after(0.001, b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
            return
        if host.mode == "fail":
            self._send_after(0.005, b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
            return
        attempt.body = f"{attempt.name} by {host.name} {host.random.random():.9f}".encode()
        if draw < 0.02:
            attempt.body *= 4000
        delay = min(host.random.expovariate(1 / MEAN_SERVICE_SECONDS), 0.5) + host.queue_delay(
            attempt.began_at
        )
        if host.is_active("spoil") and draw < 0.25:
            self._respond_spoiled(attempt, delay, draw)
            return
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(attempt.body)}\r\n\r\n".encode()
        self._send_after(delay, head + attempt.body, attempt=attempt)

    def _respond_spoiled(self, attempt: HostAttempt, delay: float, draw: float) -> None:
        """Send a malformed answer, a second answer, an informational one first, or end the connection."""
        body = attempt.body
        valid_answer = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
        if draw < 0.05:
            self._send_after(delay, self._host.random.choice(MALFORMED_ANSWERS))
        elif draw < 0.10:
            self._send_after(delay, valid_answer, on_sent=partial(self._send_again, valid_answer))
        elif draw < 0.15:
            self._send_after(delay, b"HTTP/1.1 103 Early Hints\r\n\r\n" + valid_answer)
        elif draw < 0.20:
            attempt.is_truncated = True
            self._send_after(delay, valid_answer[:-3], on_sent=self.abort)
        else:
            self._send_after(
                delay, b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body, on_sent=self._close
            )

    def _send_again(self, data: bytes) -> None:
        """Send a second answer within a few milliseconds.

        If it came later, the connection could be in use again, and no gateway could tell the second answer
        from the answer to the next request.
        """
        delay = self._host.random.uniform(0.0, 0.004)
        asyncio.get_running_loop().call_later(delay, self._write, data, None)

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _send_after(
        self,
        seconds: float,
        data: bytes,
        on_sent: Callable[[], None] | None = None,
        attempt: HostAttempt | None = None,
    ) -> None:
        """Send an answer after a delay, with the faults of the link if its disruption is active."""
        loop, random = asyncio.get_running_loop(), self._host.random
        if self._host.is_active("link"):
            seconds += random.expovariate(20.0)
            draw = random.random()
            if attempt is not None:
                attempt.is_truncated = draw < 0.05
            if draw < 0.03:
                on_sent, data = self.abort, data[: random.randrange(len(data))]
            elif draw < 0.05:
                on_sent, data = None, data[: random.randrange(len(data))]  # the rest is never sent
            elif draw < 0.3:
                split = random.randrange(len(data))
                loop.call_later(seconds, self._write, data[:split], None)
                seconds, data = seconds + random.uniform(0.0, 0.05), data[split:]
        loop.call_later(seconds, self._write, data, on_sent)

    def _write(self, data: bytes, on_sent: Callable[[], None] | None) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
            if on_sent is not None:
                on_sent()
