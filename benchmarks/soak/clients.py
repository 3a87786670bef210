"""Simulated clients: well-behaved ones whose requests the ledger records, and misbehaving ones."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from random import Random

import httptools

from benchmarks.soak.ledger import ClassRules, ClientRequest, Ledger, Violation

READ = ClassRules("read", 1.0, is_repeatable=True)
BUY = ClassRules("buy", 2.0)
ORDER = ClassRules("order", 2.0, dedup_window=1.0)
CLASSES = (READ, BUY, ORDER)
CLASS_WEIGHTS = (0.6, 0.25, 0.15)

CONNECT_TIMEOUT_SECONDS = 1.0
BAD_CLIENT_TIMEOUT_SECONDS = 3.0  # within which a misbehaving client must get an error or be disconnected
UPLOAD_RATE = 200_000.0  # bytes per second
SLOW_UPLOAD_RATE, SLOW_UPLOAD_SHARE = 64_000.0, 0.3  # of the slowest well-behaved clients; share of uploads
SLOW_UPLOAD_BYTES = (200_000, 600_000)  # 3 to 9 s, longer than a replaced process keeps running
KILL_WINDOW_SECONDS = 0.5  # around a kill, in which requests on a connection may get no answer
MAX_IDLE_CONNECTIONS = 40  # kept by the clients to one gateway
MALFORMED_REQUESTS = (
    b"GET /read HTTP/1.1\r\nX-Request-Id: half",
    b"\x16\x03\x01 this is no HTTP\r\n\r\n",
    b"POST /buy HTTP/1.1\r\nX-Class: buy\r\nContent-Length: -5\r\n\r\n",
    b"GET /read HTTP/1.1\r\nX-Class: read\r\nX-Deadline: soon\r\n\r\n" * 30,
)


class ClientConnection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._transport: asyncio.Transport | None = None
        self.has_received = False  # any byte of the expected answer
        self.is_open = True
        self._reset_answer()

    def _reset_answer(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""
        self.answer: asyncio.Future[tuple[int, bytes] | None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def expect_answer(self) -> asyncio.Future[tuple[int, bytes] | None]:
        """Return a future of the next answer's status and body, or None if the connection ends too early."""
        self._reset_answer()
        self.has_received = False
        self.answer = asyncio.get_running_loop().create_future()
        return self.answer

    def write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self.answer is None or self.answer.done():
            self._ledger.immediate_violations.append(Violation("second-answer", "", repr(data[:60])))
            return
        self.has_received = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        if self.answer is not None and not self.answer.done():
            self.is_open = self.is_open and self._parser.should_keep_alive()
            self.answer.set_result((self._parser.get_status_code(), self._body))

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_open = False
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(None)

    def close(self) -> None:
        """Reset the connection."""
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()


class Clients:
    """All clients of a soak."""

    def __init__(
        self, ledger: Ledger, random: Random, now: Callable[[], float], is_active: Callable[[str], bool]
    ) -> None:
        self._ledger, self._random, self._now, self._is_active = ledger, random, now, is_active
        self._idle: dict[int, list[ClientConnection]] = defaultdict(list)
        self.waiting: dict[int, set[ClientRequest]] = defaultdict(set)  # unanswered requests by gateway
        self._killed_at: dict[int, list[float]] = defaultdict(list)  # times of SIGKILL by gateway
        self.not_accepted = 0
        self._count = 0

    def has_idle_connection(self, gateway: int) -> bool:
        """Return whether a kept connection to this gateway is open and idle."""
        return any(connection.is_open for connection in self._idle[gateway])

    async def _connect(self, gateway: int, port: int, is_new: bool) -> tuple[ClientConnection, bool]:
        """Return a connection and whether it was used before; OSError or TimeoutError if none can be made."""
        idle = self._idle[gateway]
        while idle and not is_new:
            connection = idle.pop()
            if connection.is_open:
                return connection, True
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            return (await loop.create_connection(lambda: ClientConnection(self._ledger), "127.0.0.1", port))[
                1
            ], False

    async def send_request(self, gateway: int, port: int) -> None:
        """Send a request and record its result; once more if a kept connection ended without an answer."""
        rules = self._random.choices(CLASSES, CLASS_WEIGHTS)[0]
        self._count += 1
        name = f"{self._random.getrandbits(48):012x}{self._count:04x}"
        is_upload = rules is not READ and self._is_active("uploads") and self._random.random() < 0.3
        is_slow = is_upload and self._random.random() < SLOW_UPLOAD_SHARE
        sizes = SLOW_UPLOAD_BYTES if is_slow else (70_000, 200_000)
        body = self._random.randbytes(self._random.randrange(*sizes)) if is_upload else b"x" * 20
        rate = SLOW_UPLOAD_RATE if is_slow else UPLOAD_RATE
        first_ended_at: float | None = None
        is_resend = False
        while True:
            try:
                connection, is_reused = await self._connect(gateway, port, is_new=is_resend)
            except (OSError, TimeoutError):
                self.not_accepted += 1
                if is_resend:  # the first connection ended before the gateway had read the request
                    self._ledger.requests[name].waiver = "no gateway accepts it any more"
                return
            ended_unanswered = await self._exchange(connection, is_reused, name, rules, gateway, body, rate)
            if is_resend and name in self._ledger.requests:
                self._ledger.requests[name].first_connection_ended_at = first_ended_at
            if not ended_unanswered or is_resend:
                return
            is_resend, first = True, self._ledger.requests[name]
            first_ended_at = first.first_connection_ended_at = None if first.waiver else self._now()

    async def _exchange(
        self,
        connection: ClientConnection,
        is_reused: bool,
        name: str,
        rules: ClassRules,
        gateway: int,
        body: bytes,
        rate: float,
    ) -> bool:
        """Send a request and wait; return whether a kept connection ended before any byte of an answer."""
        answer = connection.expect_answer()
        began_at = self._now()
        if not await self._write(connection, answer, name, rules, body, rate):
            is_killed = any(began_at - KILL_WINDOW_SECONDS < at for at in self._killed_at[gateway])
            if not is_reused and not is_killed:
                detail = f"at {self._now():.3f} s gateway {gateway} closed during its body without an answer"
                self._ledger.immediate_violations.append(Violation("lost", name, detail))
            connection.close()
            return False
        request = ClientRequest(name, rules, gateway, self._now())
        request.connection_history = "kept connection" if is_reused else "new connection"
        previous = self._ledger.requests.get(name)
        self._ledger.requests[name] = request
        self.waiting[gateway].add(request)
        leaves_after = self._random.uniform(0.0, 0.3) if self._leaves_early() else None
        try:
            async with asyncio.timeout(leaves_after if leaves_after is not None else rules.deadline + 1.5):
                response = await asyncio.shield(answer)
        except TimeoutError:
            if leaves_after is not None:
                request.client_left_at = self._now()
            connection.close()
            return False
        finally:
            self.waiting[gateway].discard(request)
            request.has_partial_answer = connection.has_received
        if response is None:
            request.connection_history += f", ended at {self._now():.3f} s"
        if response is None and any(
            abs(at - request.sent_at) < KILL_WINDOW_SECONDS for at in self._killed_at[gateway]
        ):
            request.waiver = "killed"
        if response is None:
            if is_reused and not connection.has_received and previous is None:
                return True
            connection.close()
            return False
        request.answered_at = self._now()
        request.status, request.body = response
        if (
            connection.is_open
            and len(self._idle[gateway]) < MAX_IDLE_CONNECTIONS
            and self._random.random() < 0.9
        ):
            self._idle[gateway].append(connection)
        else:
            connection.close()
        return False

    def _leaves_early(self) -> bool:
        return self._is_active("leave") and self._random.random() < 0.2

    async def _write(
        self,
        connection: ClientConnection,
        answer: asyncio.Future[tuple[int, bytes] | None],
        name: str,
        rules: ClassRules,
        body: bytes,
        rate: float,
    ) -> bool:
        """Write the request; return False if its connection ended before the last byte."""
        head = [
            f"{'GET' if rules is READ else 'POST'} /{rules.name}?page=1 HTTP/1.1",
            "Host: api.internal",
            f"X-Request-Id: {name}",
            f"X-Class: {rules.name}",
            f"X-Deadline: {rules.deadline}",
        ]
        if rules is ORDER:
            head.append(f"Idempotency-Key: {name}")
        if rules is READ:
            connection.write("\r\n".join([*head, "", ""]).encode())
            return True
        head.append(f"Content-Length: {len(body)}")
        encoded_head = "\r\n".join([*head, "", ""]).encode()
        if len(body) < 1000:
            connection.write(encoded_head + body)
            return True
        connection.write(encoded_head)
        chunk_bytes = 20_000
        for start in range(0, len(body), chunk_bytes):
            if answer.done():
                return answer.result() is not None
            connection.write(body[start : start + chunk_bytes])
            await asyncio.sleep(chunk_bytes / rate)
        return True

    async def hold_idle_connections(self, port: int, count: int, seconds: float) -> None:
        """Open up to `count` connections, send nothing, and reset them after `seconds`."""
        writers = []
        for _ in range(count):
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    writers.append((await asyncio.open_connection("127.0.0.1", port))[1])
            except (OSError, TimeoutError):
                break
        await asyncio.sleep(seconds)
        for writer in writers:
            writer.transport.abort()

    async def send_malformed(
        self, gateway: int, port: int, was_disrupted: Callable[[int, float], bool]
    ) -> None:
        """Send a malformed request, which must be answered with an error or closed within a timeout.

        `was_disrupted` returns whether a gateway was stopped or paused since a time, which waives the
        timeout.
        """
        began_at = self._now()
        try:
            connection, _ = await self._connect(gateway, port, is_new=True)
        except (OSError, TimeoutError):
            return
        answer = connection.expect_answer()
        connection.write(self._random.choice(MALFORMED_REQUESTS))
        try:
            async with asyncio.timeout(BAD_CLIENT_TIMEOUT_SECONDS + 0.3):
                response = await answer
        except TimeoutError:
            if not was_disrupted(gateway, began_at):
                self._ledger.immediate_violations.append(
                    Violation("bad-client", "", f"neither answered nor closed by gateway {gateway}")
                )
            response = None
        if response is not None and response[0] < 400:
            self._ledger.immediate_violations.append(
                Violation("lost", "", f"a malformed request was answered {response[0]}")
            )
        connection.close()

    def waive_waiting(self, gateway: int, reason: str) -> None:
        """Record a kill of this gateway, after which no answer is owed to the requests that wait there."""
        self._killed_at[gateway].append(self._now())
        for request in self.waiting[gateway]:
            request.waiver = reason
