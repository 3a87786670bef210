"""The gateway on real sockets: the four rules of sending, deadlines, leaving clients, and faults.

Rule 1: each request is answered exactly once and in time. Rule 2: a request that may have run is repeated
only if its class allows it. Rule 3: a host that drains or left gets no new request. Rule 4: a cold host gets
a part of its normal load.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time

import pytest

from tests.peers import (
    BUY,
    READ,
    SETTINGS,
    Client,
    Script,
    answers_with,
    async_test,
    make_host_list,
    never_answers,
    record_events,
    replace_method,
    request_text,
    resets_connection,
    running_gateway,
    scripted_servers,
    wait_until,
)
from whinrouter.interface import (
    MS,
    Action,
    AttemptEnded,
    Effect,
    Event,
    Fail,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    RequestGone,
    Send,
    Server,
    Settings,
    State,
    TimerFired,
)
from whinrouter.net.gateway import DEADLINE_MARGIN_MICROSECONDS, Clock
from whinrouter.net.hosts import Member


def outcomes(events: list[Event]) -> list[Outcome]:
    """Return the outcomes of the attempts that ended, in order."""
    return [event.outcome for event in events if isinstance(event, AttemptEnded)]


@async_test
async def test_a_host_s_answer_is_forwarded_unchanged() -> None:
    async with scripted_servers(answers_with(body=b"\x00page 4", Content_Type="image/png")) as (host,):
        async with running_gateway(host.member()) as proxy:
            answer = await proxy.fetch(headers={"X-Cost-Hint": "9000", "X-Request-Id": "9b1f03aa"})
        assert (answer.status, answer.body, answer.get(b"content-type")) == (200, b"\x00page 4", "image/png")
        request = host.requests[0]
        assert (request.method, request.target) == (b"GET", b"/page-read?page=4")
        assert request.get(b"x-request-id") == "9b1f03aa"
        assert 0 < float(request.get(b"x-deadline") or 0) <= 10.0 - DEADLINE_MARGIN_MICROSECONDS / 1e6


@async_test
async def test_a_body_and_its_idempotency_key_are_forwarded_unchanged() -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        await client.fetch("chapter-buy", {"Idempotency-Key": "5c0f"}, b"chapter 12")
        assert host.requests[0].method == b"POST"
        assert host.requests[0].body == b"chapter 12"
        assert host.requests[0].get(b"idempotency-key") == "5c0f"


@pytest.mark.parametrize(("class_name", "status"), [("page-read", 503), ("chapter-buy", 502)])
@async_test
async def test_a_request_to_a_silent_host_is_answered_once_and_in_time(class_name: str, status: int) -> None:
    """Rule 1; a purchase that may have run is failed, as a refusal would invite a second one."""
    async with scripted_servers(never_answers) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        started_at = time.monotonic()
        answer = await client.fetch(class_name, {"X-Deadline": "0.4"})
        assert answer.status == status
        # The time for which the request waited unread is known to a millisecond or two.
        assert time.monotonic() - started_at >= 0.4 - DEADLINE_MARGIN_MICROSECONDS / 1e6 - 0.01
        await wait_until(lambda: host.closed_connections)
        assert proxy.gateway.unanswered_count == 0
        proxy.frontend.close()
        assert await client.read_to_end() == b""


@async_test
async def test_the_balancer_s_deadline_is_before_the_client_s() -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        events = record_events(proxy)
        await proxy.fetch(headers={"X-Deadline": "0.4"})
        request = events[0]
        assert isinstance(request, Request)
        assert request[:2] == (1, "page-read")
        # 400 ms minus the margin and the time that the request waited unread.
        assert 200 * MS < request.timeout <= 400 * MS - DEADLINE_MARGIN_MICROSECONDS
        assert DEADLINE_MARGIN_MICROSECONDS > 5 * MS


@async_test
async def test_a_purchase_still_connecting_at_its_deadline_is_refused() -> None:
    """No host received the request, so the client may safely retry."""
    with socket.socket() as full_listener:
        full_listener.bind(("127.0.0.1", 0))
        full_listener.listen(0)
        with contextlib.ExitStack() as stack:
            for _ in range(3):  # fills the backlog: further connections are never established
                pending_socket = stack.enter_context(socket.socket())
                pending_socket.setblocking(False)
                pending_socket.connect_ex(full_listener.getsockname())
            member = Member(Server(1), full_listener.getsockname())
            async with running_gateway(member) as proxy:
                assert (await proxy.fetch("chapter-buy", {"X-Deadline": "0.2"})).status == 503


@async_test
async def test_a_purchase_that_may_have_run_is_not_sent_again() -> None:
    """Rule 2."""
    async with (
        scripted_servers(resets_connection, resets_connection) as hosts,
        running_gateway(*(host.member() for host in hosts)) as proxy,
    ):
        assert (await proxy.fetch("chapter-buy")).status == 502
        assert sum(len(host.requests) for host in hosts) == 1


@async_test
async def test_a_purchase_that_never_ran_is_retried() -> None:
    refuses = answers_with(503, X_Not_Run="1")
    async with (
        scripted_servers(refuses, answers_with()) as hosts,
        running_gateway(*(host.member() for host in hosts)) as proxy,
    ):
        answers = [(await proxy.fetch("chapter-buy")).status for _ in range(3)]
        assert answers == [200, 200, 200]


@async_test
async def test_a_purchase_that_no_host_accepted_is_refused() -> None:
    async with (
        scripted_servers(answers_with(503, X_Not_Run="1")) as (host,),
        running_gateway(host.member()) as proxy,
    ):
        assert (await proxy.fetch("chapter-buy")).status == 503


@pytest.mark.parametrize("script", [resets_connection, answers_with(500), answers_with(503)])
@async_test
async def test_a_page_read_is_retried_at_another_host(script: Script) -> None:
    async with (
        scripted_servers(script, answers_with()) as hosts,
        running_gateway(*(host.member() for host in hosts)) as proxy,
    ):
        assert [(await proxy.fetch()).status for _ in range(3)] == [200, 200, 200]


@async_test
async def test_no_new_request_is_sent_to_a_host_that_drains_or_left() -> None:
    """Rule 3."""
    async with (
        scripted_servers(answers_with(), answers_with()) as hosts,
        running_gateway(*(host.member() for host in hosts)) as proxy,
    ):
        proxy.gateway.update_hosts(make_host_list(hosts[0].member(state=State.DRAINING), complete=False))
        for _ in range(10):
            assert (await proxy.fetch()).status == 200
        assert not hosts[0].requests
        # A complete list without the other host.
        proxy.gateway.update_hosts(make_host_list(hosts[0].member(), revision=3))
        count = len(hosts[1].requests)
        for _ in range(10):
            assert (await proxy.fetch()).status == 200
        assert len(hosts[1].requests) == count


@async_test
async def test_a_cold_host_gets_but_a_part() -> None:
    """Rule 4: the balancer gets each host's start time on its own clock."""
    cold_settings = Settings((READ, BUY), max_attempts=5, cold_share=0.13, ramp_time=24_000_000)
    async with scripted_servers(answers_with(), answers_with()) as hosts:
        now = Clock().now()
        members = [hosts[0].member(kind="m2", started_at=now), hosts[1].member(kind="m2")]
        async with running_gateway(*members, settings=cold_settings) as proxy:
            for _ in range(40):
                assert (await proxy.fetch(headers={"X-Cost-Hint": "80000"})).status == 200
            assert len(hosts[0].requests) < 10


@async_test
async def test_the_attempt_of_a_client_that_closes_is_cancelled() -> None:
    async with scripted_servers(never_answers) as (host,), running_gateway(host.member()) as proxy:
        events = record_events(proxy)
        client = await proxy.client()
        client.writer.write(request_text())
        await wait_until(lambda: host.requests)
        client.close()
        await wait_until(lambda: host.closed_connections)
        await wait_until(lambda: not proxy.gateway._pending)
        assert RequestGone(1) in events
        assert outcomes(events)[0] is Outcome.CANCELLED


@async_test
async def test_clients_that_leave_early_do_not_count_as_overload() -> None:
    slow_class = RequestClass("page-read", 10_000 * MS, 15_000 * MS, Effect.IDEMPOTENT)
    slow_settings = Settings((slow_class,), may_cancel=True)
    async with (
        scripted_servers(never_answers) as (host,),
        running_gateway(host.member(), settings=slow_settings) as proxy,
    ):
        for count in range(1, 21):
            client = await proxy.client()
            client.writer.write(request_text())
            await wait_until(lambda: len(host.requests) == count)  # noqa: B023
            client.close()
            await wait_until(lambda: not proxy.gateway._pending)


@async_test
async def test_a_burst_at_the_start_is_not_refused() -> None:
    """The initial concurrency limit of new hosts must suffice for clients that all start at once."""
    async with scripted_servers(never_answers) as (host,), running_gateway(host.member()) as proxy:
        clients = [await proxy.client() for _ in range(8)]
        for client in clients:
            client.writer.write(request_text())
        await wait_until(lambda: len(host.requests) == 8)


@async_test
async def test_an_exception_in_the_balancer_fails_only_its_request(caplog: pytest.LogCaptureFixture) -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        handle = proxy.balancer.handle

        def failing_handle(event: Event, now: int) -> list[Action]:
            if isinstance(event, Request) and event.key == "poison":
                raise RuntimeError("a fault of this test")
            return handle(event, now)

        replace_method(proxy.balancer, "handle", failing_handle)
        assert (await proxy.fetch(headers={"X-Key": "poison"})).status == 500
        assert (await proxy.fetch()).status == 200
        assert "a fault of this test" in caplog.text


@async_test
async def test_an_exception_at_the_end_of_an_attempt_fails_the_request_at_once() -> None:
    async with scripted_servers(answers_with(500)) as (host,), running_gateway(host.member()) as proxy:
        handle = proxy.balancer.handle

        def failing_handle(event: Event, now: int) -> list[Action]:
            if isinstance(event, AttemptEnded):
                raise RuntimeError("a fault of this test")
            return handle(event, now)

        replace_method(proxy.balancer, "handle", failing_handle)
        assert (await proxy.fetch()).status == 500
        await wait_until(lambda: not proxy.gateway._pending)


@async_test
async def test_nothing_is_sent_after_the_final_answer() -> None:
    """An action that comes too late reaches neither a host nor the client."""
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        handle, attempt_outcomes = proxy.balancer.handle, []

        def handle_with_late_actions(event: Event, now: int) -> list[Action]:
            if isinstance(event, AttemptEnded):
                attempt_outcomes.append(event.outcome)
            actions = handle(event, now)
            if not isinstance(event, Request):
                return actions
            return [*actions, Refuse(event.id), Send(event.id, host.member().server.id), Fail(event.id)]

        replace_method(proxy.balancer, "handle", handle_with_late_actions)
        client = await proxy.client()
        assert (await client.fetch()).status == 503
        await wait_until(lambda: not proxy.gateway._pending)
        # The first attempt was still connecting, and the second had not begun.
        assert attempt_outcomes == [Outcome.NOT_SENT, Outcome.CANCELLED]
        proxy.frontend.close()
        assert await client.read_to_end() == b""
        await wait_until(lambda: proxy.upstream.descriptors_in_use == 0)
        assert not host.requests


@async_test
async def test_the_attempt_timeout_ends_an_attempt_before_its_request_s_deadline() -> None:
    async with (
        scripted_servers(never_answers) as (host,),
        running_gateway(host.member(), attempt_time=50 * MS) as proxy,
    ):
        events = record_events(proxy)
        assert (await proxy.fetch("chapter-buy", {"X-Deadline": "20"})).status == 502
        (ended,) = [event for event in events if isinstance(event, AttemptEnded)]
        assert ended.outcome is Outcome.TIMEOUT
        assert 50 * MS <= ended.latency < 10_000 * MS  # the request's own deadline is after 20 s
        assert len(host.requests) == 1


@async_test
async def test_a_request_that_the_balancer_forgets_is_answered_at_its_deadline() -> None:
    async with running_gateway() as proxy:
        replace_method(proxy.balancer, "handle", lambda event, now: [])
        assert (await proxy.fetch(headers={"X-Deadline": "0.1"})).status == 504


@async_test
async def test_retry_after_is_forwarded() -> None:
    async with running_gateway() as proxy:

        def refuse_with_retry_after(event: Event, now: int) -> list[Action]:
            return [Refuse(event.id, 250 * MS)] if isinstance(event, Request) else []

        replace_method(proxy.balancer, "handle", refuse_with_retry_after)
        answer = await proxy.fetch()
        assert (answer.status, answer.get(b"retry-after")) == (503, "0.250")


@async_test
async def test_a_hedge_s_loser_is_called_off() -> None:
    """The slower of two attempts is cancelled when the other has its answer; the client gets one answer."""
    async with (
        scripted_servers(answers_with(), answers_with()) as hosts,
        running_gateway(*(host.member() for host in hosts), settings=SETTINGS) as proxy,
    ):
        for _ in range(20):  # for the balancer to learn the usual latency
            await proxy.fetch()
        for host in hosts:
            host.script = never_answers
            host.requests.clear()
        events = record_events(proxy)
        client: Client = await proxy.client()
        client.writer.write(request_text())
        await wait_until(lambda: hosts[0].requests and hosts[1].requests)
        await answers_with(body=b"winner")(hosts[0].requests[0], hosts[0].request_writers[-1])
        assert (await client.read_answer()).body == b"winner"
        await wait_until(lambda: not proxy.gateway._pending)
        assert outcomes(events) == [Outcome.OK, Outcome.CANCELLED]


@async_test
async def test_the_timer_of_an_attempt_that_has_ended_does_not_fire() -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        events = record_events(proxy)
        for _ in range(5):
            assert (await proxy.fetch()).status == 200
        await asyncio.sleep(0.3)  # the first attempts count as late after a quarter of a second
        assert not [event for event in events if isinstance(event, TimerFired)]


@async_test
async def test_the_timer_of_an_attempt_in_flight_fires() -> None:
    async with scripted_servers(never_answers) as (host,), running_gateway(host.member()) as proxy:
        events = record_events(proxy)
        client = await proxy.client()
        client.writer.write(request_text())
        await wait_until(lambda: [event for event in events if isinstance(event, TimerFired)])
        client.close()
