"""Every row of the outcome table, and what becomes of connections."""

from __future__ import annotations

import asyncio
import select
import socket
from typing import Any

import pytest

from tests.peers import Peer, Script, change, peers, reset, resets, says, scenario, silent, until
from whinrouter.interface import Outcome, Server, State
from whinrouter.net.attempt import Attempt
from whinrouter.net.hosts import Member, number
from whinrouter.net.http import Message
from whinrouter.net.sockets import readable
from whinrouter.net.upstream import REST, Upstream

HOST = number("s-0")
PAGE = Message(b"GET", b"/page-read", headers=[(b"x-request-id", b"1")])

PAGE_4 = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npage"


class Sender:
    """Sends to one host and keeps what came of each attempt."""

    def __init__(
        self, port: int, idle_time: float = 60.0, limit: int = 10, connect_time: float = 1.0
    ) -> None:
        self.upstream = Upstream(connect_time, idle_time, limit)
        self.ends: list[tuple[Outcome, Message | None]] = []
        self.list(port)

    def list(self, port: int, state: State = State.READY) -> None:
        self.upstream.update([Member(Server(HOST, state), ("127.0.0.1", port))], complete=False)

    def start(self, message: Message = PAGE) -> Attempt | None:
        expires = asyncio.get_running_loop().time() + 30
        return self.upstream.send(HOST, message, expires, self._ended)

    def _ended(self, attempt: Attempt, outcome: Outcome, answer: Message | None) -> None:
        self.ends.append((outcome, answer))

    async def rested(self) -> None:
        """Wait until any connection may be used again."""
        idle = self.upstream._hosts[HOST].idle
        await until(lambda: all(one.rests_until <= self.upstream.now() for one in idle))

    async def outcome(self, message: Message = PAGE, at_once: bool = False) -> Outcome:
        """Send, over a connection that rests no more unless it is to be at once; what came of it."""
        if not at_once:
            await self.rested()
        count = len(self.ends)
        assert self.start(message) is not None
        await until(lambda: len(self.ends) > count)
        return self.ends[-1][0]


async def _half_an_answer(request: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart")
    await writer.drain()
    writer.close()


async def _nonsense(request: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(b"what?\r\n\r\n")


@pytest.mark.parametrize(
    ("script", "outcome"),
    [
        (says(200), Outcome.OK),
        (says(500), Outcome.ERROR),
        (says(400), Outcome.ERROR),
        (says(503, X_Not_Run="1"), Outcome.REJECTED),
        (says(504, X_Not_Run="1"), Outcome.REJECTED),
        (says(503), Outcome.ERROR),  # nothing proves that it did not run
        (says(504), Outcome.ERROR),
        (says(500, X_Not_Run="1"), Outcome.ERROR),
        (resets, Outcome.RESET),
        (_half_an_answer, Outcome.RESET),
        (_nonsense, Outcome.RESET),
    ],
)
@scenario
async def test_what_comes_back_is_the_outcome(script: Script, outcome: Outcome) -> None:
    async with peers(script) as (host,):
        assert await Sender(host.port).outcome() is outcome


@scenario
async def test_a_refused_connection_never_ran() -> None:
    with socket.socket() as unheard:
        unheard.bind(("127.0.0.1", 0))  # bound, but it does not listen
        assert await Sender(unheard.getsockname()[1]).outcome() is Outcome.CONNECT_FAILED


@scenario
async def test_a_connection_that_never_comes_up_never_ran_and_is_bounded_in_time() -> None:
    with socket.socket() as full:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        waiting = []
        for _ in range(3):  # a full queue drops what comes next, as a host that has vanished does
            other = socket.socket()
            other.setblocking(False)
            other.connect_ex(full.getsockname())
            waiting.append(other)
        sender = Sender(full.getsockname()[1], connect_time=0.1)
        assert await sender.outcome() is Outcome.CONNECT_FAILED
        assert sender.upstream.open == 0
        for other in waiting:
            other.close()


@pytest.mark.parametrize("size", [40_000, 32 * 1024 * 1024])
@scenario
async def test_a_break_with_bytes_unwritten_never_ran(size: int) -> None:
    """The host got a part of it, be the rest large or small."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    broken = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(1000)
        await says()(PAGE, writer)  # the first is small, and answered
        await reader.read(1000)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await broken.wait()
        reset(writer)

    server = await asyncio.start_server(serve, sock=listener, limit=1000)
    sender = Sender(listener.getsockname()[1])
    assert await sender.outcome() is Outcome.OK
    (connection,) = sender.upstream._hosts[HOST].idle
    assert connection._transport is not None
    connection._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    await sender.rested()
    sender.start(Message(b"POST", b"/chapter-buy", headers=PAGE.headers, body=bytes(size)))
    await asyncio.sleep(0.05)
    broken.set()
    await until(lambda: len(sender.ends) == 2)
    assert sender.ends[-1][0] is Outcome.CONNECT_FAILED
    server.close()


@scenario
async def test_of_two_idle_connections_the_latest_used_is_taken() -> None:
    async with peers(silent) as (host,):
        sender = Sender(host.port)
        sender.start()
        sender.start()
        await until(lambda: len(host.requests) == 2)
        first, second = host.askers
        for count, writer in enumerate((second, first), 1):
            await says()(PAGE, writer)
            await until(lambda: len(sender.ends) == count)  # noqa: B023
        await sender.rested()
        sender.start()
        await until(lambda: len(host.requests) == 3)
        await says(body=b"again")(PAGE, first)
        await until(lambda: len(sender.ends) == 3)
        answer = sender.ends[-1][1]
        assert answer is not None
        assert answer.body == b"again"


@scenario
async def test_a_cancelled_attempt_ends_once_and_its_host_sees_the_connection_close() -> None:
    async with peers(silent) as (host,):
        sender = Sender(host.port)
        attempt = sender.start()
        assert attempt is not None
        await until(lambda: host.requests)
        attempt.stop(Outcome.CANCELLED)
        await until(lambda: host.closed)
        attempt.stop(Outcome.TIMEOUT)
        assert [outcome for outcome, _ in sender.ends] == [Outcome.CANCELLED]


@scenario
async def test_the_latest_used_connection_is_used_again() -> None:
    async with peers(says()) as (host,):
        sender = Sender(host.port)
        for _ in range(3):
            assert await sender.outcome() is Outcome.OK
        assert host.connections == 1


async def _close_later(host: Peer, sender: Sender) -> None:
    host.writers[0].close()
    await until(lambda: sender.upstream.open == 0)


async def _send_stray_bytes(host: Peer, sender: Sender) -> None:
    host.writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
    await until(lambda: sender.upstream.open == 0)


async def _wait(host: Peer, sender: Sender) -> None:
    await until(lambda: sender.upstream.open == 0)


@pytest.mark.parametrize(("spoil", "idle"), [(_close_later, 60.0), (_send_stray_bytes, 60.0), (_wait, 0.1)])
@scenario
async def test_a_spoilt_or_long_idle_connection_is_not_used_again(spoil: object, idle: float) -> None:
    async with peers(says()) as (host,):
        sender = Sender(host.port, idle_time=idle)
        await sender.outcome()
        await spoil(host, sender)  # type: ignore[operator]
        assert await sender.outcome() is Outcome.OK
        assert sender.ends[-1][1] is not None
        assert sender.ends[-1][1].body == b"page"
        assert host.connections == 2


@pytest.mark.parametrize("stray", [b"", PAGE_4])
@scenario
async def test_what_has_come_unread_spoils_a_connection(stray: bytes) -> None:
    """Its end, or a second copy of the last answer, is here, but the loop has not read it yet."""
    async with peers(says(body=b"good")) as (host,):
        sender = Sender(host.port)
        await sender.outcome()
        (connection,) = sender.upstream._hosts[HOST].idle
        assert connection._transport is not None
        connection._transport.pause_reading()
        if stray:
            host.writers[0].write(stray)
        else:
            host.writers[0].close()
        sock = connection._transport.get_extra_info("socket")
        await until(lambda: select.select([sock], [], [], 0)[0])
        assert await sender.outcome() is Outcome.OK
        answer = sender.ends[-1][1]
        assert answer is not None
        assert answer.body == b"good"
        assert host.connections == 2


@scenario
async def test_a_second_answer_that_comes_late_is_not_given_to_the_next_request() -> None:
    """It comes as the next request is here already, which took another connection."""

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        if len(host.requests) == 1:
            clock[0] += 0.1  # its answer took so long
        else:
            await says(body=b"first")(request, host.writers[0])
        await says(body=b"second" if len(host.requests) > 1 else b"first")(request, writer)

    async with peers(script) as (host,):
        sender = Sender(host.port)
        clock = [sender.upstream.now()]
        change(sender.upstream, "now", lambda: clock[0])
        assert await sender.outcome() is Outcome.OK
        clock[0] += REST / 2
        assert await sender.outcome(at_once=True) is Outcome.OK
        assert [answer.body for _, answer in sender.ends if answer is not None] == [b"first", b"second"]
        assert host.connections == 2
        clock[0] += REST
        assert await sender.outcome() is Outcome.OK
        assert host.connections == 2, "rested, it is used again"


@scenario
async def test_a_connection_rests_no_longer_than_its_answer_took() -> None:
    async with peers(says()) as (host,):
        sender = Sender(host.port)
        clock = [sender.upstream.now()]
        change(sender.upstream, "now", lambda: clock[0])
        for _ in range(3):  # at once, by its clock
            assert await sender.outcome() is Outcome.OK
        assert host.connections == 1


@scenario
async def test_the_start_of_another_answer_spoils_a_connection() -> None:
    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        text = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
        writer.write(text + (b"page" + text if len(host.requests) == 1 else b"next"))

    async with peers(script) as (host,):
        sender = Sender(host.port)
        await sender.outcome()
        assert await sender.outcome() is Outcome.OK
        answer = sender.ends[-1][1]
        assert answer is not None
        assert answer.body == b"next"
        assert host.connections == 2


@pytest.mark.parametrize(
    "behind", [b"\x00\r\nnoise", PAGE_4, b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"]
)
@scenario
async def test_a_good_answer_counts_whatever_comes_right_behind_it(behind: bytes) -> None:
    """Its connection does not: what came behind would be taken for the next answer."""

    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(PAGE_4 + (behind if len(host.requests) == 1 else b""))

    async with peers(script) as (host,):
        sender = Sender(host.port)
        for _ in range(2):
            assert await sender.outcome() is Outcome.OK
            answer = sender.ends[-1][1]
            assert answer is not None
            assert answer.body == b"page"
        assert host.connections == 2


@pytest.mark.parametrize(
    "spoilt",
    [
        b"HTTP/1.1 200 OK\r\n" + b"X-Pad: pppppppppppp\r\n" * 1000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand it keeps coming",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\npage",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\n\r\n" * 6000,
        b"ICY 200 OK\r\n\r\n",
    ],
    ids=lambda spoilt: spoilt[:60],
)
@scenario
async def test_a_spoilt_answer_may_have_run_and_is_not_waited_out(spoilt: bytes) -> None:
    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(spoilt)

    async with peers(script) as (host,):
        sender = Sender(host.port)
        assert await sender.outcome() is Outcome.RESET
        assert sender.upstream.open <= 1
        await until(lambda: sender.upstream.open == 0)


@scenario
async def test_interim_answers_ahead_are_passed_over() -> None:
    async def script(request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(
            b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + PAGE_4
        )

    async with peers(script) as (host,):
        sender = Sender(host.port)
        for _ in range(2):
            assert await sender.outcome() is Outcome.OK
        assert host.connections == 1


@scenario
async def test_a_connection_reset_as_soon_as_it_is_up_could_not_connect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def accept_and_reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        reset(writer)

    server = await asyncio.start_server(accept_and_reset, "127.0.0.1", 0)
    sender = Sender(server.sockets[0].getsockname()[1])
    loop = asyncio.get_running_loop()
    connect = loop.sock_connect

    async def late(endpoint: socket.socket, address: Any) -> None:
        """The reset is there before whoever waits for the connection has its turn."""
        await connect(endpoint, address)
        await until(lambda: readable(endpoint))

    monkeypatch.setattr(loop, "sock_connect", late)
    assert await sender.outcome() is Outcome.CONNECT_FAILED
    assert sender.upstream.open == 0
    server.close()


@scenario
async def test_an_answer_that_says_close_ends_its_connection() -> None:
    async with peers(says(Connection="close")) as (host,):

        async def closing(request: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")

        host.script = closing
        sender = Sender(host.port)
        await sender.outcome()
        await until(lambda: sender.upstream.open == 0)


@scenario
async def test_nothing_goes_to_a_host_that_drains_and_its_idle_connections_close() -> None:
    async with peers(says()) as (host,):
        sender = Sender(host.port)
        await sender.outcome()
        sender.list(host.port, State.DRAINING)
        assert sender.start() is None
        await until(lambda: host.closed == 1)
        assert len(host.requests) == 1


@scenario
async def test_an_attempt_still_connecting_when_its_host_drains_is_not_sent() -> None:
    async with peers(says()) as (host,):
        sender = Sender(host.port)
        sender.start()  # its connection is not up before the loop has turned
        sender.list(host.port, State.DRAINING)
        assert [outcome for outcome, _ in sender.ends] == [Outcome.NOT_SENT]
        await until(lambda: sender.upstream.open == 0)
        assert not host.requests


@scenario
async def test_a_restarted_host_gets_a_new_connection() -> None:
    async with peers(says()) as (host,):
        sender = Sender(host.port)
        await sender.outcome()
        member = Member(Server(HOST, started=5), ("127.0.0.1", host.port))
        sender.upstream.update([member], complete=False)
        assert await sender.outcome() is Outcome.OK
        assert host.connections == 2


@scenario
async def test_what_a_draining_host_still_works_on_is_waited_for() -> None:
    async with peers(silent) as (host,):
        sender = Sender(host.port)
        sender.start()
        await until(lambda: host.requests)
        sender.list(host.port, State.DRAINING)
        await says()(host.requests[0], host.askers[0])
        await until(lambda: sender.ends)
        assert sender.ends[0][0] is Outcome.OK
        await until(lambda: host.closed)


@scenario
async def test_connections_stay_under_the_limit_by_dropping_the_longest_idle() -> None:
    async with peers(says(), says()) as (host, other):
        sender = Sender(host.port, limit=1)
        await sender.outcome()
        sender.upstream.update([other.member()], complete=False)
        ends: list[Outcome] = []
        expires = asyncio.get_running_loop().time() + 30
        for _ in range(2):  # the second finds no room, as nothing is idle
            attempt = sender.upstream.send(
                number(other.name), PAGE, expires, lambda _, outcome, __: ends.append(outcome)
            )
            if attempt is None:
                ends.append(Outcome.NOT_SENT)
        await until(lambda: len(ends) == 2)
        assert ends == [Outcome.LOCAL_FAILURE, Outcome.OK]
        await until(lambda: host.closed)
