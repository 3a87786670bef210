"""The peers of a pressure run: each picture is a kind of peer, of which many are connected at once."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

from benchmarks.pressure.rig import KIB, LONG_ANSWER_PATH, SILENT_PATH

HEAD_BYTES = 16 * KIB - 200  # of a large head; heads may have 16 KiB
SLOW_RATE = 64_000  # bytes a second, of the slowest ordinary clients
DEADLINE_SECONDS, LATE_SECONDS = 1.5, 0.5  # of ordinary requests; after the latter an answer counts as late
CONNECT_SECONDS = 1.0
RECEIVE_BUFFER_BYTES = 4 * KIB  # of a slow reader

Picture = Callable[["PeerRun", int], Awaitable[None]]


@dataclass
class PeerRun:
    """What the peers of one run share."""

    port: int
    random: Random
    seconds: float
    ends_at: float = 0.0
    connections: int = 0  # that the peers have opened
    answers: int = 0

    def is_over(self) -> bool:
        """Whether the peers are to stop."""
        return time.monotonic() >= self.ends_at


def _request_id(run: PeerRun) -> bytes:
    return b"%016x" % run.random.getrandbits(64)


def _purchase_head(run: PeerRun, framing: bytes, path: bytes = b"/chapter-buy/x") -> bytes:
    return b"POST %b HTTP/1.1\r\nHost: api\r\nX-Request-Id: %b\r\nX-Class: chapter-buy\r\n%b\r\n\r\n" % (
        path,
        _request_id(run),
        framing,
    )


def _read_head(run: PeerRun, path: bytes = b"/page-read/x", extra: bytes = b"") -> bytes:
    return b"GET %b HTTP/1.1\r\nHost: api\r\nX-Request-Id: %b\r\nX-Class: page-read\r\n%b\r\n" % (
        path,
        _request_id(run),
        extra,
    )


async def _connect(run: PeerRun) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
    """Return a new connection; None, after a pause, if none could be made."""
    try:
        async with asyncio.timeout(CONNECT_SECONDS):
            streams = await asyncio.open_connection("127.0.0.1", run.port)
    except (OSError, TimeoutError):
        await asyncio.sleep(0.05)
        return None
    run.connections += 1
    return streams


async def _hold(run: PeerRun, make_bytes: Callable[[], bytes]) -> None:
    """Connect, send some bytes, wait until the gateway ends the connection; do so again until the end."""
    while not run.is_over():
        streams = await _connect(run)
        if streams is None:
            continue
        reader, writer = streams
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(max(0.1, run.ends_at - time.monotonic())):
                writer.write(make_bytes())
                while await reader.read(KIB):
                    run.answers += 1
        writer.transport.abort()
        await asyncio.sleep(0.01)


async def half_uploads(run: PeerRun, number: int) -> None:
    """Stop half way through a large request with a length."""
    size = run.random.choice((100_000, 300_000, 1_000_000, 5_000_000))
    await _hold(run, lambda: _purchase_head(run, b"Content-Length: %d" % size) + bytes(size // 2))


async def half_chunked_uploads(run: PeerRun, number: int) -> None:
    """Stop half way through a large request in chunks."""
    size = run.random.choice((70_000, 150_000, 300_000))
    chunk = b"%x\r\n%b\r\n" % (8192, bytes(8192))
    head_and_body = b"Transfer-Encoding: chunked"
    await _hold(run, lambda: _purchase_head(run, head_and_body) + chunk * (size // 8192))


async def half_small_uploads(run: PeerRun, number: int) -> None:
    """Stop before the last byte of a request that is just small enough to be buffered."""
    await _hold(run, lambda: _purchase_head(run, b"Content-Length: 65536") + bytes(65_535))


async def unanswered_purchases(run: PeerRun, number: int) -> None:
    """Send whole requests of the largest size that is buffered, which no host answers."""
    await _hold(run, lambda: _purchase_head(run, b"Content-Length: 65536", SILENT_PATH) + bytes(65_536))


async def many_fields(run: PeerRun, number: int) -> None:
    """Send whole heads of very many short fields."""
    await _hold(run, lambda: _read_head(run, extra=b"a:\r\n" * (HEAD_BYTES // 4)))


async def many_fields_unended(run: PeerRun, number: int) -> None:
    """Send heads of very many short fields that do not end."""
    await _hold(run, lambda: _read_head(run, extra=b"a:b\r\n" * (HEAD_BYTES // 5))[:-2])


async def hundred_fields(run: PeerRun, number: int) -> None:
    """Send large heads of few fields that do not end."""
    await _hold(run, lambda: _read_head(run, extra=b"a: %b\r\n" % (b"b" * 150) * 98)[:-2])


async def slow_writers(run: PeerRun, number: int) -> None:
    """Send purchases with large bodies at the rate of the slowest ordinary clients."""
    while not run.is_over():
        streams = await _connect(run)
        if streams is None:
            continue
        reader, writer = streams
        with contextlib.suppress(OSError):
            writer.write(_purchase_head(run, b"Content-Length: 400000"))
            for _ in range(50):
                if run.is_over() or reader.at_eof():
                    break
                writer.write(bytes(8000))
                await asyncio.sleep(8000 / SLOW_RATE)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(2.0):
                    run.answers += bool(await reader.read(KIB))
        writer.transport.abort()


async def slow_readers(run: PeerRun, number: int) -> None:
    """Ask for a long answer and read it slowly."""
    while not run.is_over():
        endpoint = socket.socket()
        endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        endpoint.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await loop.sock_connect(endpoint, ("127.0.0.1", run.port))
            run.connections += 1
            await loop.sock_sendall(endpoint, _read_head(run, LONG_ANSWER_PATH))
            while not run.is_over():
                async with asyncio.timeout(5.0):
                    if not await loop.sock_recv(endpoint, KIB):
                        break
                await asyncio.sleep(0.05)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.05)
        finally:
            endpoint.close()


async def _flood(run: PeerRun, make_bytes: Callable[[], bytes]) -> None:
    """Send at full speed on one connection and read what comes; connect again when it ends."""
    while not run.is_over():
        streams = await _connect(run)
        if streams is None:
            continue
        reader, writer = streams

        async def read(reader: asyncio.StreamReader = reader) -> None:
            with contextlib.suppress(OSError):
                while await reader.read(64 * KIB):
                    run.answers += 1

        reading = asyncio.create_task(read())
        with contextlib.suppress(OSError, TimeoutError):
            while not run.is_over() and not reading.done():
                writer.write(make_bytes())
                async with asyncio.timeout(5.0):
                    await writer.drain()
                await asyncio.sleep(0)
        writer.transport.abort()
        reading.cancel()


async def flood_tiny(run: PeerRun, number: int) -> None:
    """Flood with the smallest requests there are."""
    await _flood(run, lambda: b"GET / HTTP/1.1\r\n\r\n" * 5000)


async def flood_names(run: PeerRun, number: int) -> None:
    """Flood with sound requests, each of another id, tenant and key."""
    await _flood(
        run,
        lambda: b"".join(
            _read_head(run, extra=b"X-Tenant: t%b\r\nX-Key: %b\r\n" % (_request_id(run), _request_id(run)))
            for _ in range(200)
        ),
    )


async def flood_unsound(run: PeerRun, number: int) -> None:
    """Flood with requests of unknown classes, each of another name."""
    await _flood(
        run,
        lambda: b"".join(
            b"GET /c%b HTTP/1.1\r\nX-Request-Id: %b\r\n\r\n" % (_request_id(run), _request_id(run))
            for _ in range(200)
        ),
    )


async def flood_chunks(run: PeerRun, number: int) -> None:
    """Flood with a body in chunks of one byte."""
    sent = 0

    def make_bytes() -> bytes:
        nonlocal sent
        sent += 1
        head = _purchase_head(run, b"Transfer-Encoding: chunked") if sent == 1 else b""
        return head + b"1\r\nx\r\n" * 5000

    await _flood(run, make_bytes)


async def paced_pipeline(run: PeerRun, number: int) -> None:
    """Send four sound requests at a time on one connection, as soon as all of the last four are answered."""
    while not run.is_over():
        streams = await _connect(run)
        if streams is None:
            continue
        reader, writer = streams
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            while not run.is_over():
                writer.write(b"GET /up HTTP/1.1\r\n\r\n" * 4)
                for _ in range(4):
                    async with asyncio.timeout(5.0):
                        await reader.readuntil(b"\r\n\r\n")
                    run.answers += 1
        writer.transport.abort()


async def mixed(run: PeerRun, number: int) -> None:
    """Be a peer of another picture, drawn by chance."""
    names = [name for name in PICTURES if name != "mixed"]
    await PICTURES[run.random.choice(names)](run, number)


async def idle_crowd(run: PeerRun, number: int) -> None:
    """Connect and say nothing."""
    await _hold(run, lambda: b"")


PICTURES: dict[str, Picture] = {
    "half-uploads": half_uploads,
    "half-chunked-uploads": half_chunked_uploads,
    "half-small-uploads": half_small_uploads,
    "unanswered-purchases": unanswered_purchases,
    "many-fields": many_fields,
    "many-fields-unended": many_fields_unended,
    "hundred-fields": hundred_fields,
    "slow-writers": slow_writers,
    "slow-readers": slow_readers,
    "flood-tiny": flood_tiny,
    "flood-names": flood_names,
    "flood-unsound": flood_unsound,
    "flood-chunks": flood_chunks,
    "paced-pipeline": paced_pipeline,
    "idle-crowd": idle_crowd,
    "mixed": mixed,
}
SINGLE_PEER = frozenset({"flood-tiny", "flood-names", "flood-unsound", "flood-chunks", "paced-pipeline"})


@dataclass
class OrdinaryClients:
    """Clients whose requests are to be answered in time, whatever the peers do."""

    port: int
    random: Random
    served: int = 0
    refused: int = 0
    failed: int = 0
    late: int = 0
    unanswered: int = 0
    not_connected: int = 0
    latencies: list[float] = field(default_factory=list)

    async def run(self, ends_at: float, count: int, pause_seconds: float) -> None:
        """Have `count` clients send requests, each with this pause on average behind an answer."""
        await asyncio.gather(*(self._send_requests(ends_at, pause_seconds) for _ in range(count)))

    async def _send_requests(self, ends_at: float, pause_seconds: float) -> None:
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while time.monotonic() < ends_at:
            await asyncio.sleep(self.random.expovariate(1 / pause_seconds))
            if streams is None:
                try:
                    async with asyncio.timeout(CONNECT_SECONDS):
                        streams = await asyncio.open_connection("127.0.0.1", self.port)
                except (OSError, TimeoutError):
                    self.not_connected += 1
                    continue
                is_new = True
            else:
                is_new = False
            if not await self._send_request(*streams, is_new):
                streams[1].transport.abort()
                streams = None
        if streams is not None:
            streams[1].close()

    async def _send_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_new: bool
    ) -> bool:
        """Send one request; return whether the connection may be used again."""
        began = time.monotonic()
        writer.write(
            b"GET /page-read/x HTTP/1.1\r\nHost: api\r\nX-Request-Id: %016x\r\nX-Class: page-read\r\n"
            b"X-Deadline: %.3f\r\n\r\n" % (self.random.getrandbits(64), DEADLINE_SECONDS)
        )
        try:
            async with asyncio.timeout(DEADLINE_SECONDS + 3.0):
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0] or 0)
                await reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError):
            self.unanswered += is_new  # a request may cross the close of an idle connection
            return False
        except TimeoutError:
            self.unanswered += 1
            return False
        took = time.monotonic() - began
        status = int(head.split()[1])
        self.latencies.append(took)
        self.served += status == 200
        self.refused += status in (429, 503)
        self.failed += status not in (200, 429, 503)
        self.late += took > DEADLINE_SECONDS + LATE_SECONDS
        return b"connection: close" not in head.lower()
