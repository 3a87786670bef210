"""What clients may send, bad input too."""

from __future__ import annotations

from http import HTTPStatus

import pytest

from tests.peers import (
    ask_and_never_read,
    listing,
    peers,
    request_text,
    resets,
    running,
    says,
    scenario,
    silent,
    until,
)
from whinrouter.interface import MS
from whinrouter.net import frontend
from whinrouter.net.http import RequestReader


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /page-read HTTP/1.1\r\nHost: a\r\nX-Class: page-read\r\n\r\n", 400),  # no request id
        (b"POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413),
        (b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + bytes(65537), 413),
        (b"GET /a HTTP/1.1\r\nX-Long: " + b"a" * 200_000, 413),
        (b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"DELETE /a HTTP/1.1\r\nX-Request-Id: 1\r\n\r\n", 405),
        (b"GET /a HTTP/1.1\r\nX-Request-Id: 1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n", 400),
    ],
)
@scenario
async def test_bad_input_is_answered_and_its_connection_closed(text: bytes, status: int) -> None:
    async with peers(says()) as (host,), running(host.member()) as proxy:
        client = await proxy.client()
        client.writer.write(text)
        assert (await client.answer()).status == status
        assert await client.rest() == b""
        assert (await proxy.ask()).status == 200
        assert len(host.requests) == 1


@scenario
async def test_a_client_still_sending_too_much_gets_its_answer() -> None:
    async with running() as proxy:
        client = await proxy.client()
        client.writer.write(b"POST /a HTTP/1.1\r\nContent-Length: 8000000\r\n\r\n" + bytes(8_000_000))
        await client.writer.drain()
        assert (await client.answer()).status == 413
        assert await client.rest() == b""


@scenario
async def test_a_request_that_never_ends_is_not_waited_for(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend, "RECEIVE_TIME", 0.2)
    async with peers(says()) as (host,), running(host.member()) as proxy:
        client = await proxy.client()
        assert (await client.ask()).status == 200
        client.writer.write(request_text()[:30])
        assert (await client.answer()).status == 408
        assert await client.rest() == b""


@scenario
async def test_a_rejected_request_has_one_answer() -> None:
    """Its time to arrive may run out while the connection lingers."""
    async with running() as proxy:
        client = await proxy.client()
        client.writer.write(b"POST /a HTTP/1.1\r\n")
        await until(lambda: any(other._reader.began for other in proxy.frontend.connections))
        (connection,) = proxy.frontend.connections
        client.writer.write(b"nonsense\r\n\r\n")
        assert (await client.answer()).status == 400
        connection._reject(HTTPStatus.REQUEST_TIMEOUT)
        assert await client.rest() == b""


@pytest.mark.parametrize("deadline", ["", "soon", "-1", "nan", "inf", "0", "1e9"])
@scenario
async def test_a_deadline_of_no_use_falls_back_to_the_class_s(deadline: str) -> None:
    async with peers(says()) as (host,), running(host.member()) as proxy:
        await proxy.ask(headers={"X-Deadline": deadline})
        assert 10.0 < float(host.requests[0].get(b"x-deadline") or 0) < 15.0


@scenario
async def test_an_unknown_class_must_not_run_twice() -> None:
    async with peers(resets, resets) as hosts, running(*(host.member() for host in hosts)) as proxy:
        assert (await proxy.ask("coupon")).status == 502
        assert sum(len(host.requests) for host in hosts) == 1


@scenario
async def test_the_class_may_stand_in_the_path_alone() -> None:
    async with peers(resets, says()) as hosts, running(*(host.member() for host in hosts)) as proxy:
        answers = [(await proxy.ask(headers={"X-Class": ""})).status for _ in range(3)]
        assert answers == [200, 200, 200]  # known as safe, it moves on


@scenario
async def test_requests_sent_ahead_are_answered_in_turn() -> None:
    async with peers(says()) as (host,), running(host.member()) as proxy:
        client = await proxy.client()
        client.writer.write(request_text() * 3 + b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")
        text = await client.rest()
        assert text.count(b"HTTP/1.1 200 OK") == 4
        assert len(host.requests) == 3


@scenario
async def test_a_body_is_asked_for_where_the_client_waits_for_leave() -> None:
    async with peers(says()) as (host,), running(host.member()) as proxy:
        client = await proxy.client()
        head = request_text("chapter-buy", {"Expect": "100-continue"}, b"12")[:-2]
        client.writer.write(head)
        assert await client._reader.readline() == b"HTTP/1.1 100 Continue\r\n"
        await client._reader.readline()
        client.writer.write(b"12")
        assert (await client.answer()).status == 200
        assert host.requests[0].body == b"12"


@scenario
async def test_up_waits_for_a_list() -> None:
    async with peers(says()) as (host,), running() as proxy:
        client = await proxy.client()
        client.writer.write(b"GET /up HTTP/1.1\r\n\r\n")
        assert (await client.answer()).status == 503
        proxy.gateway.list_hosts(listing(host.member()))
        client.writer.write(b"GET /up HTTP/1.1\r\n\r\n")
        assert (await client.answer()).status == 200


@scenario
async def test_a_crowd_of_clients_leaves_descriptors_free() -> None:
    """The connection unused for longest makes room; where all are busy, the newest is refused."""
    async with peers(says()) as (host,), running(host.member(), limit=2) as proxy:
        first, second = await proxy.client(), await proxy.client()
        assert (await first.ask()).status == 200
        assert (await second.ask()).status == 200
        third = await proxy.client()
        assert (await third.ask()).status == 200
        assert await first.rest() == b""
        host.script = silent
        for client in (second, third):
            client.writer.write(request_text())
        await until(lambda: len(host.requests) == 5)
        fourth = await proxy.client()
        assert (await fourth.ask()).status == 503
        assert await fourth.rest() == b""


@scenario
async def test_hints_reach_the_module() -> None:
    async with running() as proxy:
        headers = {"X-Cost-Hint": "9000", "X-Key": "user:4", "X-Retry": "1", "X-Tenant": "acme"}
        asked = proxy.frontend.asked(RequestReader().feed(request_text(headers=headers))[0])
        assert (asked.class_name, asked.timeout, asked.cost) == ("page-read", 10_000 * MS, 9000)
        assert (asked.key, asked.retry, asked.tenant) == ("user:4", True, "acme")
        senseless = {"X-Cost-Hint": "much", "X-Retry": "no"}
        asked = proxy.frontend.asked(RequestReader().feed(request_text(headers=senseless))[0])
        assert (asked.cost, asked.retry) == (0, False)


@scenario
async def test_answers_that_a_client_does_not_read_do_not_pile_up() -> None:
    async with peers(says(body=bytes(60_000))) as (host,), running(host.member()) as proxy:
        client = await proxy.client()
        await ask_and_never_read(client, host)
        client.close()


@scenario
async def test_a_request_that_has_begun_to_come_is_still_answered_at_the_end() -> None:
    async with peers(says()) as (host,), running(host.member()) as proxy:
        client = await proxy.client()
        text = request_text()
        client.writer.write(text[:30])
        await until(lambda: any(other._reader.began for other in proxy.frontend.connections))
        proxy.frontend.stopping = True
        proxy.frontend.close()
        client.writer.write(text[30:])
        answer = await client.answer()
        assert (answer.status, answer.keep_alive) == (200, False)


@scenario
async def test_the_deadline_of_an_unknown_class_is_believed_up_to_the_longest() -> None:
    async with running() as proxy:

        def timeout(deadline: str) -> int:
            text = request_text("coupon", {"X-Deadline": deadline})
            return proxy.frontend.asked(RequestReader().feed(text)[0]).timeout

        assert [timeout(text) for text in ("18", "90", "")] == [18_000 * MS, 20_000 * MS, 15_000 * MS]
