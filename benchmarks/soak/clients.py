"""Clients: honest ones with their accounts, and some that are not."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from random import Random

import httptools

from benchmarks.soak.ledger import AskedRequest, ClassRules, Ledger, Violation

READ = ClassRules("read", 1.0, repeatable=True)
BUY = ClassRules("buy", 2.0)
ORDER = ClassRules("order", 2.0, window=1.0)
CLASSES = (READ, BUY, ORDER)
SHARES = (0.6, 0.25, 0.15)

CONNECT_TIME = 1.0
BAD_CLIENT_TIME = 3.0  # within which a bad client is owed an error or a close
UPLOAD_RATE = 200_000.0  # bytes a second
SLOW_RATE, SLOW_SHARE = 64_000.0, 0.3  # of the slowest honest clients, and how many uploads are theirs
SLOW_SIZES = (200_000, 600_000)  # bytes: 3 to 9 s, longer than a replaced process lives
KILL_TIME = 0.5  # seconds around a kill in which a connection may lead nowhere
IDLE_KEPT = 40  # connections to one gateway that clients keep
BAD_TEXTS = (
    b"GET /read HTTP/1.1\r\nX-Request-Id: half",
    b"\x16\x03\x01 this is no HTTP\r\n\r\n",
    b"POST /buy HTTP/1.1\r\nX-Class: buy\r\nContent-Length: -5\r\n\r\n",
    b"GET /read HTTP/1.1\r\nX-Class: read\r\nX-Deadline: soon\r\n\r\n" * 30,
)


class ClientConnection(asyncio.Protocol):
    """One connection, with one request at a time."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._transport: asyncio.Transport | None = None
        self.heard = False  # any byte of the answer that is due
        self.is_open = True
        self._reset_answer()

    def _reset_answer(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""
        self.answer: asyncio.Future[tuple[int, bytes] | None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def expect(self) -> asyncio.Future[tuple[int, bytes] | None]:
        """The next answer: its status and body; None if the connection ends without a whole one."""
        self._reset_answer()
        self.heard = False
        self.answer = asyncio.get_running_loop().create_future()
        return self.answer

    def write(self, text: bytes) -> None:
        if self._transport is not None:
            self._transport.write(text)

    def data_received(self, data: bytes) -> None:
        if self.answer is None or self.answer.done():
            self._ledger.faults.append(Violation("second-answer", "", repr(data[:60])))
            return
        self.heard = True
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
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()


class Clients:
    """All clients of a soak."""

    def __init__(
        self, ledger: Ledger, random: Random, now: Callable[[], float], is_on: Callable[[str], bool]
    ) -> None:
        self._ledger, self._random, self._now, self._is_on = ledger, random, now, is_on
        self._idle: dict[int, list[ClientConnection]] = defaultdict(list)
        self.open: dict[int, set[AskedRequest]] = defaultdict(set)  # by gateway, those that wait
        self._killed: dict[int, list[float]] = defaultdict(list)  # when the gateways were killed
        self.not_taken = 0
        self._count = 0

    def has_kept(self, gateway: int) -> bool:
        """Whether a connection to this gateway is open and idle."""
        return any(kept.is_open for kept in self._idle[gateway])

    async def _connection(self, gateway: int, port: int, fresh: bool) -> tuple[ClientConnection, bool]:
        """A connection, and whether it was used before; OSError or TimeoutError if there is none."""
        idle = self._idle[gateway]
        while idle and not fresh:
            kept = idle.pop()
            if kept.is_open:
                return kept, True
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIME):
            return (await loop.create_connection(lambda: ClientConnection(self._ledger), "127.0.0.1", port))[
                1
            ], False

    async def ask(self, gateway: int, port: int) -> None:
        """One request, from its first byte to the end of its account."""
        rules = self._random.choices(CLASSES, SHARES)[0]
        self._count += 1
        name = f"{self._random.getrandbits(48):012x}{self._count:04x}"
        is_upload = rules is not READ and self._is_on("uploads") and self._random.random() < 0.3
        is_slow = is_upload and self._random.random() < SLOW_SHARE
        sizes = SLOW_SIZES if is_slow else (70_000, 200_000)
        body = self._random.randbytes(self._random.randrange(*sizes)) if is_upload else b"x" * 20
        rate = SLOW_RATE if is_slow else UPLOAD_RATE
        first_ended: float | None = None
        again = False
        while True:
            try:
                connection, reused = await self._connection(gateway, port, fresh=again)
            except (OSError, TimeoutError):
                self.not_taken += 1
                if again:  # its first connection had ended before it was read
                    self._ledger.asked[name].excused = "nobody takes it any more"
                return
            crossed = await self._play(connection, reused, name, rules, gateway, body, rate)
            if again and name in self._ledger.asked:
                self._ledger.asked[name].first_ended = first_ended
            if not crossed or again:
                return
            again, first = True, self._ledger.asked[name]
            first_ended = first.first_ended = None if first.excused else self._now()

    async def _play(
        self,
        connection: ClientConnection,
        reused: bool,
        name: str,
        rules: ClassRules,
        gateway: int,
        body: bytes,
        rate: float,
    ) -> bool:
        """Send and wait; True if a kept connection ended with no byte of an answer."""
        answer = connection.expect()
        began = self._now()
        if not await self._write(connection, answer, name, rules, body, rate):
            is_killed = any(began - KILL_TIME < at for at in self._killed[gateway])
            if not reused and not is_killed:
                detail = f"at {self._now():.3f} s gateway {gateway} cut its body off with no answer"
                self._ledger.faults.append(Violation("lost", name, detail))
            connection.close()
            return False
        request = AskedRequest(name, rules, gateway, self._now())
        request.how = "kept connection" if reused else "new connection"
        before = self._ledger.asked.get(name)
        self._ledger.asked[name] = request
        self.open[gateway].add(request)
        leaves = self._random.uniform(0.0, 0.3) if self._leaves() else None
        try:
            async with asyncio.timeout(leaves if leaves is not None else rules.deadline + 1.5):
                told = await asyncio.shield(answer)
        except TimeoutError:
            if leaves is not None:
                request.left = self._now()
            connection.close()
            return False
        finally:
            self.open[gateway].discard(request)
            request.heard = connection.heard
        if told is None:
            request.how += f", ended at {self._now():.3f} s"
        if told is None and any(abs(at - request.sent) < KILL_TIME for at in self._killed[gateway]):
            request.excused = "killed"
        if told is None:
            if reused and not connection.heard and before is None:
                return True
            connection.close()
            return False
        request.answered = self._now()
        request.status, request.body = told
        if connection.is_open and len(self._idle[gateway]) < IDLE_KEPT and self._random.random() < 0.9:
            self._idle[gateway].append(connection)
        else:
            connection.close()
        return False

    def _leaves(self) -> bool:
        return self._is_on("leave") and self._random.random() < 0.2

    async def _write(
        self,
        connection: ClientConnection,
        answer: asyncio.Future[tuple[int, bytes] | None],
        name: str,
        rules: ClassRules,
        body: bytes,
        rate: float,
    ) -> bool:
        """Write the request; False if its connection ended before its last byte."""
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
        text = "\r\n".join([*head, "", ""]).encode()
        if len(body) < 1000:
            connection.write(text + body)
            return True
        connection.write(text)
        step = 20_000
        for place in range(0, len(body), step):
            if answer.done():
                return answer.result() is not None
            connection.write(body[place : place + step])
            await asyncio.sleep(step / rate)
        return True

    async def crowd(self, port: int, count: int, seconds: float) -> None:
        """So many connections that ask for nothing, for a while."""
        writers = []
        for _ in range(count):
            try:
                async with asyncio.timeout(CONNECT_TIME):
                    writers.append((await asyncio.open_connection("127.0.0.1", port))[1])
            except (OSError, TimeoutError):
                break
        await asyncio.sleep(seconds)
        for writer in writers:
            writer.transport.abort()

    async def misbehave(self, gateway: int, port: int, excused: Callable[[int, float], bool]) -> None:
        """A bad client: it is owed an error or a close."""
        began = self._now()
        try:
            connection, _ = await self._connection(gateway, port, fresh=True)
        except (OSError, TimeoutError):
            return
        answer = connection.expect()
        connection.write(self._random.choice(BAD_TEXTS))
        try:
            async with asyncio.timeout(BAD_CLIENT_TIME + 0.3):
                told = await answer
        except TimeoutError:
            if not excused(gateway, began):
                self._ledger.faults.append(Violation("bad-client", "", f"held by gateway {gateway}"))
            told = None
        if told is not None and told[0] < 400:
            self._ledger.faults.append(Violation("lost", "", f"a bad client was served {told[0]}"))
        connection.close()

    def excuse(self, gateway: int, why: str) -> None:
        """Nothing is owed any more to those that wait at this gateway."""
        self._killed[gateway].append(self._now())
        for request in self.open[gateway]:
            request.excused = why
