"""What clients may send, bad input too."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from tests.peers import (
    SETTINGS,
    Client,
    RunningGateway,
    answers_with,
    async_test,
    make_host_list,
    never_answers,
    replace_method,
    request_text,
    resets_connection,
    running_gateway,
    scripted_servers,
    send_without_reading,
    wait_until,
)
from whinrouter.interface import MS
from whinrouter.net import frontend
from whinrouter.net.frontend import MAX_SURPLUS_CONNECTIONS
from whinrouter.net.gateway import ClientRequest
from whinrouter.net.http import RequestReader


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /page-read HTTP/1.1\r\nHost: a\r\nX-Class: page-read\r\n\r\n", 400),  # no request id
        (b"POST /a HTTP/1.1\r\nContent-Length: 41943041\r\n\r\n", 413),
        (b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1;" + b"a" * 140_000, 413),  # no body
        (b"GET /a HTTP/1.1\r\nX-Long: " + b"a" * 20_000, 431),  # a head without an end
        (b"GET /a HTTP/1.1\r\n" + b"X-Pad: aaaaaaaaaaaaaa\r\n" * 1000 + b"\r\n", 431),
        (b"DELETE /page-read HTTP/1.1\r\nX-Request-Id: 1\r\n\r\n", 405),
        (b"GET /chapter-buy HTTP/1.1\r\nX-Request-Id: 1\r\n\r\n", 405),
        (b"GET /page-read HTTP/2.0\r\nX-Request-Id: 1\r\n\r\n", 505),
        (b"GET /page-read HTTP/1.1\r\nX-Request-Id: 1\r\nX-Request-Id: 2\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nX-Request-Id: 1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n", 400),
        (request_text() + b"\x00noise", 400),
        (request_text("chapter-buy", {}, b"1234") + b"56789\r\n\r\n", 400),  # longer than it says
        (request_text(headers={"X-Class": "chapter-buy"}), 400),  # not the class of its path
        (request_text(headers={"X-Request-Id": "1" * 200}), 400),
        (request_text("coupon"), 400),
        *((request_text(headers={"X-Deadline": text}), 400) for text in ("soon", "-1", "nan", "inf", "0")),
    ],
    ids=lambda value: str(value)[:60],
)
@async_test
async def test_bad_input_is_answered_and_its_connection_closed(text: bytes, status: int) -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        client.writer.write(text)
        assert (await client.read_answer()).status == status
        assert await client.read_to_end() == b""
        assert (await proxy.fetch()).status == 200
        assert len(host.requests) == 1


def test_a_large_head_behind_a_whole_message_is_noticed_too() -> None:
    """Both come in one read, and the first takes the count of bytes back to nothing."""
    reader = RequestReader()
    large = b"GET /a HTTP/1.1\r\n" + b"X-Pad: aaaaaaaaaaaaaa\r\n" * 1000 + b"\r\n"
    assert len(reader.feed(request_text() + large)) == 1
    assert reader.error is not None
    assert reader.error.status == 431


@async_test
async def test_a_client_still_sending_too_much_gets_its_answer() -> None:
    async with running_gateway() as proxy:
        client = await proxy.client()
        client.writer.write(b"POST /a HTTP/1.1\r\nContent-Length: 80000000\r\n\r\n" + bytes(8_000_000))
        await client.writer.drain()
        assert (await client.read_answer()).status == 413
        assert await client.read_to_end() == b""


@async_test
async def test_a_request_that_never_ends_is_not_waited_for(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend, "RECEIVE_TIMEOUT_SECONDS", 0.2)
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        assert (await client.fetch()).status == 200
        client.writer.write(request_text()[:30])
        assert (await client.read_answer()).status == 408
        assert await client.read_to_end() == b""


@async_test
async def test_a_silent_connection_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend, "RECEIVE_TIMEOUT_SECONDS", 0.2)
    async with running_gateway() as proxy:
        client = await proxy.client()
        assert await client.read_to_end() == b""
        await wait_until(lambda: not proxy.frontend.connections)


@async_test
async def test_the_first_request_s_time_runs_from_the_connection_s_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(frontend, "RECEIVE_TIMEOUT_SECONDS", 10.0)
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        await wait_until(lambda: proxy.frontend.connections)
        (connection,) = proxy.frontend.connections
        due = connection.wait_deadline
        client.writer.write(request_text()[:30])
        await wait_until(lambda: connection._request_reader.has_begun)
        assert connection.wait_deadline == due
        client.writer.write(request_text()[30:])
        await client.read_answer()
        client.writer.write(request_text()[:30])  # a later one has a time of its own
        await wait_until(lambda: connection._request_reader.has_begun)
        assert due < connection.wait_deadline < asyncio.get_running_loop().time() + 10.0


@async_test
async def test_each_of_a_chain_of_requests_has_its_own_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each read ends one request and begins the next."""
    monkeypatch.setattr(frontend, "RECEIVE_TIMEOUT_SECONDS", 0.6)
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        client.writer.write(request_text()[:30])
        for _ in range(10):
            await asyncio.sleep(0.15)
            client.writer.write(request_text()[30:] + request_text()[:30])
            assert (await client.read_answer()).status == 200


@async_test
async def test_a_client_idle_for_long_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend, "IDLE_TIMEOUT_SECONDS", 0.2)
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        assert (await client.fetch()).status == 200
        assert await client.read_to_end() == b""


@async_test
async def test_too_many_requests_ahead_are_turned_away() -> None:
    """The one in work has its own answer: it may have run, and a refusal would say that it had not."""
    async with scripted_servers(never_answers) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        client.writer.write(request_text("chapter-buy"))
        await wait_until(lambda: host.requests)
        client.writer.write(b"".join(request_text("chapter-buy") for _ in range(50)))
        await wait_until(lambda: any(other._has_too_many_queued for other in proxy.frontend.connections))
        await answers_with()(host.requests[0], host.request_writers[0])
        text = await client.read_to_end()
        assert [part[:3] for part in text.split(b"HTTP/1.1 ")[1:]] == [b"200", b"429"]
        assert len(host.requests) == 1


@async_test
async def test_what_waits_is_bounded_over_all_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend, "MAX_BUFFERED_BYTES", 100_000)
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        clients = [await proxy.client() for _ in range(2)]
        text = request_text("chapter-buy", {}, bytes(60_000))
        for client in clients:
            client.writer.write(text[:-1])
        await wait_until(lambda: sum(other._is_input_ignored for other in proxy.frontend.connections) == 1)
        assert proxy.frontend.buffered_bytes <= 100_000
        for client in clients:
            client.writer.write(text[-1:])
        assert {(await client.read_answer()).status for client in clients} == {200, 429}
        assert proxy.frontend.buffered_bytes == 0


def _interpreted(proxy: RunningGateway, headers: dict[str, str]) -> ClientRequest:
    (message,) = RequestReader().feed(request_text(headers=headers))
    return proxy.frontend.interpreter.interpret(message, now=0.0)


@asynccontextmanager
async def _at_the_limit(limit: int = 2) -> AsyncIterator[RunningGateway]:
    """A gateway whose clients all have requests that no host answers."""
    advising = replace(SETTINGS, sends_retry_after=True)
    async with (
        scripted_servers(never_answers) as (host,),
        running_gateway(host.member(), settings=advising, max_connections=limit) as proxy,
    ):
        busy: list[Client] = []
        for _ in range(limit):  # each at work before the next comes: an idle one would make room
            busy.append(await proxy.client())
            busy[-1].writer.write(request_text())
            await wait_until(lambda: len(host.requests) == len(busy))
        yield proxy
        assert proxy.gateway.unanswered_count == limit
        assert len(host.requests) == limit


@pytest.mark.parametrize("class_name", ["page-read", "chapter-buy"])
@async_test
async def test_over_the_limit_a_request_is_refused_with_an_answer(class_name: str) -> None:
    async with _at_the_limit() as proxy:
        for _ in range(2 * MAX_SURPLUS_CONNECTIONS):
            client = await proxy.client()
            answer = await client.fetch(class_name)
            assert answer.status == 503
            assert float(answer.get(b"retry-after") or 0) > 0
            assert not answer.keep_alive
            assert await client.read_to_end() == b""
        await wait_until(lambda: len(proxy.frontend.connections) == 2)
        assert not proxy.frontend.surplus_connections


@async_test
async def test_over_the_limit_a_connection_that_sends_nothing_is_closed_soon() -> None:
    async with _at_the_limit() as proxy:
        with contextlib.suppress(ConnectionError):
            assert await (await proxy.client()).read_to_end() == b""
        await wait_until(lambda: len(proxy.frontend.connections) == 2)


@async_test
async def test_far_over_the_limit_a_connection_is_closed_at_once() -> None:
    async with _at_the_limit() as proxy:
        replace_method(proxy.frontend, "_evict_connection", lambda gives_way: False)
        waiting = [await proxy.client() for _ in range(MAX_SURPLUS_CONNECTIONS)]
        await wait_until(lambda: len(proxy.frontend.surplus_connections) == MAX_SURPLUS_CONNECTIONS)
        with contextlib.suppress(ConnectionError):
            assert await (await proxy.client()).read_to_end() == b""
        assert (await waiting[-1].fetch()).status == 503


@async_test
async def test_those_who_send_nothing_keep_nobody_out() -> None:
    async with (
        scripted_servers(answers_with()) as (host,),
        running_gateway(host.member(), max_connections=3) as proxy,
    ):
        silent_ones = [await proxy.client() for _ in range(20)]
        assert (await proxy.fetch()).status == 200
        assert len(proxy.frontend.connections) <= 3
        for client in silent_ones:
            client.close()


@async_test
async def test_a_rejected_request_has_one_answer() -> None:
    """Its time to arrive may run out while the connection lingers."""
    async with running_gateway() as proxy:
        client = await proxy.client()
        client.writer.write(b"POST /a HTTP/1.1\r\n")
        await wait_until(lambda: any(other._request_reader.has_begun for other in proxy.frontend.connections))
        (connection,) = proxy.frontend.connections
        client.writer.write(b"nonsense\r\n\r\n")
        assert (await client.read_answer()).status == 400
        connection.time_out()
        assert await client.read_to_end() == b""


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 4\r\nTransfer-Encoding: chunked",
        b"Transfer-Encoding: chunked\r\nContent-Length: 4",
        b"Content-Length: 4\r\nContent-Length: 4",
        b"Content-Length: 4\r\nContent-Length: 9",
        b"Content-Length: 4, 4",
        b"Content-Length: +4",
        b"Content-Length: -4",
        b"Content-Length: ten",
        b"Content-Length:",
        b"Content-Length : 4",
        b"Content-Length: 99999999999999999999999",
        b"Transfer-Encoding: gzip, chunked",
        b"Transfer-Encoding: identity",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    ],
)
@async_test
async def test_a_length_told_oddly_reaches_no_host(framing: bytes) -> None:
    """What another parser reads as the body's end may be the start of a request that nobody checked."""
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        head = request_text("chapter-buy").split(b"\r\nContent-Length")[0] + b"\r\n" + framing
        client.writer.write(head + b"\r\n\r\n0\r\n\r\n" + request_text("chapter-buy"))
        assert (await client.read_answer()).status in (400, 413)
        assert await client.read_to_end() == b""
        await proxy.fetch()
        assert len(host.requests) == 1


@async_test
async def test_a_deadline_untold_or_too_long_is_the_class_s() -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        for deadline in ("", "1e9"):
            await proxy.fetch(headers={"X-Deadline": deadline})
            assert 10.0 < float(host.requests[-1].get(b"x-deadline") or 0) < 15.0


@async_test
async def test_noise_behind_a_request_in_work_ends_it() -> None:
    async with scripted_servers(never_answers) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        client.writer.write(request_text("chapter-buy"))
        await wait_until(lambda: host.requests)
        client.writer.write(b"\x00noise")
        assert (await client.read_answer()).status == 400
        assert await client.read_to_end() == b""
        await wait_until(lambda: host.closed_connections and not proxy.gateway._pending)


@async_test
async def test_an_id_is_open_once_at_a_time() -> None:
    async with scripted_servers(never_answers) as (host,), running_gateway(host.member()) as proxy:
        same = {"X-Request-Id": "77"}
        first, second = await proxy.client(), await proxy.client()
        first.writer.write(request_text("chapter-buy", same))
        await wait_until(lambda: host.requests)
        assert (await second.fetch("chapter-buy", same)).status == 400
        assert len(host.requests) == 1
        first.close()
        await wait_until(lambda: not proxy.frontend.active_request_ids)
        host.script = answers_with()
        answers = {(await proxy.fetch("chapter-buy", same)).status for _ in range(20)}
        assert 200 in answers  # now and after each answer
        assert 400 not in answers


@async_test
async def test_the_id_goes_on_though_a_client_would_strike_it_out() -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        await proxy.fetch(headers={"Connection": "x-request-id, x-other", "X-Other": "1"})
        assert host.requests[0].get(b"x-request-id")
        assert host.requests[0].get(b"x-other") is None


@async_test
async def test_a_trailer_is_no_header() -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        head = request_text("chapter-buy").split(b"\r\nContent-Length")[0]
        client.writer.write(
            head + b"\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n0\r\nX-Request-Id: 2\r\n\r\n"
        )
        assert (await client.read_answer()).status == 200
        assert [name for name, _ in host.requests[0].headers].count(b"x-request-id") == 1
        assert host.requests[0].body == b"12"


@async_test
async def test_a_hint_is_believed_up_to_the_class_s_time() -> None:
    async with running_gateway() as proxy:
        for hint, cost in (("9" * 12, 15_000_000), ("9" * 5000, 0), ("-1", 0)):
            asked = _interpreted(proxy, {"X-Cost-Hint": hint})
            assert asked.cost == cost


@async_test
async def test_the_class_may_stand_in_the_path_alone() -> None:
    async with (
        scripted_servers(resets_connection, answers_with()) as hosts,
        running_gateway(*(host.member() for host in hosts)) as proxy,
    ):
        answers = [(await proxy.fetch(headers={"X-Class": ""})).status for _ in range(3)]
        assert answers == [200, 200, 200]  # known as safe, it moves on


@async_test
async def test_requests_sent_ahead_are_answered_in_turn() -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        client.writer.write(
            b"".join(request_text() for _ in range(3)) + b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n"
        )
        text = await client.read_to_end()
        assert text.count(b"HTTP/1.1 200 OK") == 4
        assert len(host.requests) == 3


@async_test
async def test_a_body_is_asked_for_where_the_client_waits_for_leave() -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        head = request_text("chapter-buy", {"Expect": "100-continue"}, b"12")[:-2]
        client.writer.write(head)
        assert await client._reader.readline() == b"HTTP/1.1 100 Continue\r\n"
        await client._reader.readline()
        client.writer.write(b"12")
        assert (await client.read_answer()).status == 200
        assert host.requests[0].body == b"12"


@async_test
async def test_up_waits_for_a_list() -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway() as proxy:
        client = await proxy.client()
        client.writer.write(b"GET /up HTTP/1.1\r\n\r\n")
        assert (await client.read_answer()).status == 503
        proxy.gateway.update_hosts(make_host_list(host.member()))
        client.writer.write(b"GET /up HTTP/1.1\r\n\r\n")
        assert (await client.read_answer()).status == 200


@async_test
async def test_clients_that_ask_once_and_stay_take_no_room_from_others() -> None:
    """Where all clients together have fewer places than the gateway, idle connections would fill them."""
    places = 4
    async with (
        scripted_servers(answers_with()) as (host,),
        running_gateway(host.member(), max_connections=2 * places) as proxy,
    ):
        slow = await proxy.client()
        text = request_text()
        slow.writer.write(text[:-1])
        await wait_until(lambda: any(other._request_reader.has_begun for other in proxy.frontend.connections))
        stay = []
        for _ in range(3 * places):
            stay.append(await proxy.client())
            assert (await stay[-1].fetch()).status == 200
            assert len(proxy.frontend.connections) <= places
        slow.writer.write(text[-1:])
        assert (await slow.read_answer()).status == 200


@async_test
async def test_a_crowd_of_clients_leaves_descriptors_free() -> None:
    """The connection unused for longest makes room."""
    async with (
        scripted_servers(answers_with()) as (host,),
        running_gateway(host.member(), max_connections=4) as proxy,
    ):
        first, second = await proxy.client(), await proxy.client()
        assert (await first.fetch()).status == 200
        assert (await second.fetch()).status == 200
        third = await proxy.client()
        assert (await third.fetch()).status == 200
        assert await first.read_to_end() == b""


@async_test
async def test_hints_reach_the_module() -> None:
    async with running_gateway() as proxy:
        headers = {"X-Cost-Hint": "9000", "X-Key": "user:4", "X-Retry": "1", "X-Tenant": "acme"}
        asked = _interpreted(proxy, headers)
        assert (asked.class_name, asked.timeout, asked.cost) == ("page-read", 10_000 * MS, 9000)
        assert (asked.key, asked.is_retry, asked.tenant) == ("user:4", True, "acme")
        senseless = {"X-Cost-Hint": "much", "X-Retry": "no"}
        asked = _interpreted(proxy, senseless)
        assert (asked.cost, asked.is_retry) == (0, False)


@async_test
async def test_answers_that_a_client_does_not_read_do_not_pile_up() -> None:
    async with (
        scripted_servers(answers_with(body=bytes(60_000))) as (host,),
        running_gateway(host.member()) as proxy,
    ):
        client = await proxy.client()
        await send_without_reading(client, host)
        client.close()


@async_test
async def test_a_request_that_has_begun_to_come_is_still_answered_at_the_end() -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        text = request_text()
        client.writer.write(text[:30])
        await wait_until(lambda: any(other._request_reader.has_begun for other in proxy.frontend.connections))
        proxy.frontend.presence.stop(asyncio.get_running_loop().time())
        proxy.frontend.close()
        client.writer.write(text[30:])
        answer = await client.read_answer()
        assert (answer.status, answer.keep_alive) == (200, False)
