"""The four rules on sockets, deadlines, leaving clients, and faults."""

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
    change,
    listing,
    peers,
    record,
    request_text,
    resets,
    running,
    says,
    scenario,
    silent,
    until,
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
from whinrouter.net.gateway import MARGIN, Clock
from whinrouter.net.hosts import Member


def outcomes(events: list[Event]) -> list[Outcome]:
    return [event.outcome for event in events if isinstance(event, AttemptEnded)]


@scenario
async def test_a_host_s_answer_comes_back_unchanged() -> None:
    async with peers(says(body=b"\x00page 4", Content_Type="image/png")) as (host,):
        async with running(host.member()) as proxy:
            answer = await proxy.ask(headers={"X-Cost-Hint": "9000", "X-Request-Id": "9b1f03aa"})
        assert (answer.status, answer.body, answer.get(b"content-type")) == (200, b"\x00page 4", "image/png")
        request = host.requests[0]
        assert (request.method, request.target) == (b"GET", b"/page-read?page=4")
        assert request.get(b"x-request-id") == "9b1f03aa"
        assert 0 < float(request.get(b"x-deadline") or 0) <= 10.0 - MARGIN / 1e6


@scenario
async def test_a_body_and_its_key_go_on_unchanged() -> None:
    async with peers(says()) as (host,), running(host.member()) as proxy:
        client = await proxy.client()
        await client.ask("chapter-buy", {"Idempotency-Key": "5c0f"}, b"chapter 12")
        assert host.requests[0].method == b"POST"
        assert host.requests[0].body == b"chapter 12"
        assert host.requests[0].get(b"idempotency-key") == "5c0f"


@pytest.mark.parametrize(("class_name", "status"), [("page-read", 503), ("chapter-buy", 502)])
@scenario
async def test_a_silent_host_s_request_is_answered_once_and_in_time(class_name: str, status: int) -> None:
    """Rule 1; a purchase that may have run is failed, as a refusal would invite a second one."""
    async with peers(silent) as (host,), running(host.member()) as proxy:
        client = await proxy.client()
        asked = time.monotonic()
        answer = await client.ask(class_name, {"X-Deadline": "0.4"})
        assert answer.status == status
        # How long it lay unread is told to a millisecond or two.
        assert time.monotonic() - asked >= 0.4 - MARGIN / 1e6 - 0.01
        await until(lambda: host.closed)
        assert proxy.gateway.holds == 0
        proxy.frontend.close()
        assert await client.rest() == b""


@scenario
async def test_the_module_s_time_ends_before_the_client_s() -> None:
    async with peers(says()) as (host,), running(host.member()) as proxy:
        events = record(proxy)
        await proxy.ask(headers={"X-Deadline": "0.4"})
        asked = events[0]
        assert isinstance(asked, Request)
        assert asked[:2] == (1, "page-read")
        assert 200 * MS < asked.timeout <= 400 * MS - MARGIN  # less what it waited here
        assert MARGIN > 5 * MS


@scenario
async def test_a_purchase_still_connecting_at_its_deadline_is_refused() -> None:
    """No host had it, so that the client may try again."""
    with socket.socket() as full:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        with contextlib.ExitStack() as stack:
            for _ in range(3):  # fills the queue: what comes next never comes up
                other = stack.enter_context(socket.socket())
                other.setblocking(False)
                other.connect_ex(full.getsockname())
            member = Member(Server(1), full.getsockname())
            async with running(member) as proxy:
                assert (await proxy.ask("chapter-buy", {"X-Deadline": "0.2"})).status == 503


@scenario
async def test_a_purchase_that_may_have_run_is_not_sent_again() -> None:
    """Rule 2."""
    async with peers(resets, resets) as hosts, running(*(host.member() for host in hosts)) as proxy:
        assert (await proxy.ask("chapter-buy")).status == 502
        assert sum(len(host.requests) for host in hosts) == 1


@scenario
async def test_a_purchase_that_never_ran_moves_on() -> None:
    turned_away = says(503, X_Not_Run="1")
    async with peers(turned_away, says()) as hosts, running(*(host.member() for host in hosts)) as proxy:
        answers = [(await proxy.ask("chapter-buy")).status for _ in range(3)]
        assert answers == [200, 200, 200]


@scenario
async def test_a_purchase_that_no_host_had_is_refused() -> None:
    async with peers(says(503, X_Not_Run="1")) as (host,), running(host.member()) as proxy:
        assert (await proxy.ask("chapter-buy")).status == 503


@pytest.mark.parametrize("script", [resets, says(500), says(503)])
@scenario
async def test_a_page_read_is_tried_at_another_host(script: Script) -> None:
    async with peers(script, says()) as hosts, running(*(host.member() for host in hosts)) as proxy:
        assert [(await proxy.ask()).status for _ in range(3)] == [200, 200, 200]


@scenario
async def test_nothing_new_goes_to_a_host_that_drains_or_left() -> None:
    """Rule 3."""
    async with peers(says(), says()) as hosts, running(*(host.member() for host in hosts)) as proxy:
        proxy.gateway.list_hosts(listing(hosts[0].member(state=State.DRAINING), complete=False))
        for _ in range(10):
            assert (await proxy.ask()).status == 200
        assert not hosts[0].requests
        proxy.gateway.list_hosts(listing(hosts[0].member(), revision=3))  # a whole list without the other
        count = len(hosts[1].requests)
        for _ in range(10):
            assert (await proxy.ask()).status == 200
        assert len(hosts[1].requests) == count


@scenario
async def test_a_cold_host_gets_but_a_part() -> None:
    """Rule 4: the module hears when each host started, on its own clock."""
    cold = Settings((READ, BUY), max_attempts=5, cold_share=0.13, ramp_time=24_000_000)
    async with peers(says(), says()) as hosts:
        now = Clock().now()
        members = [hosts[0].member(kind="m2", started=now), hosts[1].member(kind="m2")]
        async with running(*members, settings=cold) as proxy:
            for _ in range(40):
                assert (await proxy.ask(headers={"X-Cost-Hint": "80000"})).status == 200
            assert len(hosts[0].requests) < 10


@scenario
async def test_a_client_that_closes_is_gone() -> None:
    async with peers(silent) as (host,), running(host.member()) as proxy:
        events = record(proxy)
        client = await proxy.client()
        client.writer.write(request_text())
        await until(lambda: host.requests)
        client.close()
        await until(lambda: host.closed)
        await until(lambda: not proxy.gateway._held)
        assert RequestGone(1) in events
        assert outcomes(events)[0] is Outcome.CANCELLED


@scenario
async def test_clients_that_leave_early_are_no_sign_of_overload() -> None:
    kind = RequestClass("page-read", 10_000 * MS, 15_000 * MS, Effect.IDEMPOTENT)
    unhurried = Settings((kind,), may_cancel=True)
    async with peers(silent) as (host,), running(host.member(), settings=unhurried) as proxy:
        for count in range(1, 21):
            client = await proxy.client()
            client.writer.write(request_text())
            await until(lambda: len(host.requests) == count)  # noqa: B023
            client.close()
            await until(lambda: not proxy.gateway._held)


@scenario
async def test_the_crowd_at_the_start_is_not_refused() -> None:
    """All clients begin at once; what the module allows at hosts that it has just met must do for that."""
    async with peers(silent) as (host,), running(host.member()) as proxy:
        clients = [await proxy.client() for _ in range(8)]
        for client in clients:
            client.writer.write(request_text())
        await until(lambda: len(host.requests) == 8)


@scenario
async def test_a_fault_in_one_request_fails_it_and_no_other(caplog: pytest.LogCaptureFixture) -> None:
    async with peers(says()) as (host,), running(host.member()) as proxy:
        handle = proxy.balancer.handle

        def faulty(event: Event, now: int) -> list[Action]:
            if isinstance(event, Request) and event.key == "poison":
                raise RuntimeError("a fault of this test")
            return handle(event, now)

        change(proxy.balancer, "handle", faulty)
        assert (await proxy.ask(headers={"X-Key": "poison"})).status == 500
        assert (await proxy.ask()).status == 200
        assert "a fault of this test" in caplog.text


@scenario
async def test_a_fault_at_an_outcome_fails_its_request_at_once() -> None:
    async with peers(says(500)) as (host,), running(host.member()) as proxy:
        handle = proxy.balancer.handle

        def faulty(event: Event, now: int) -> list[Action]:
            if isinstance(event, AttemptEnded):
                raise RuntimeError("a fault of this test")
            return handle(event, now)

        change(proxy.balancer, "handle", faulty)
        assert (await proxy.ask()).status == 500
        await until(lambda: not proxy.gateway._held)


@scenario
async def test_nothing_is_sent_after_the_final_answer() -> None:
    """A decision that came too late reaches neither a host nor the client."""
    async with peers(says()) as (host,), running(host.member()) as proxy:
        handle, ends = proxy.balancer.handle, []

        def late(event: Event, now: int) -> list[Action]:
            if isinstance(event, AttemptEnded):
                ends.append(event.outcome)
            actions = handle(event, now)
            if not isinstance(event, Request):
                return actions
            return [*actions, Refuse(event.id), Send(event.id, host.member().server.id), Fail(event.id)]

        change(proxy.balancer, "handle", late)
        client = await proxy.client()
        assert (await client.ask()).status == 503
        await until(lambda: not proxy.gateway._held)
        # The first was still connecting, and the second had not begun.
        assert ends == [Outcome.NOT_SENT, Outcome.CANCELLED]
        proxy.frontend.close()
        assert await client.rest() == b""
        await until(lambda: proxy.upstream.open == 0)
        assert not host.requests


@scenario
async def test_an_attempt_that_takes_too_long_ends_before_its_request_s_time() -> None:
    async with peers(silent) as (host,), running(host.member(), attempt_time=50 * MS) as proxy:
        events = record(proxy)
        assert (await proxy.ask("chapter-buy", {"X-Deadline": "20"})).status == 502
        (ended,) = [event for event in events if isinstance(event, AttemptEnded)]
        assert ended.outcome is Outcome.TIMEOUT
        assert 50 * MS <= ended.latency < 10_000 * MS  # the request's own time ends after 20 s
        assert len(host.requests) == 1


@scenario
async def test_a_request_that_the_module_forgets_is_answered_at_its_deadline() -> None:
    async with running() as proxy:
        change(proxy.balancer, "handle", lambda event, now: [])
        assert (await proxy.ask(headers={"X-Deadline": "0.1"})).status == 504


@scenario
async def test_advice_on_when_to_come_back_is_passed_on() -> None:
    async with running() as proxy:

        def advises(event: Event, now: int) -> list[Action]:
            return [Refuse(event.id, 250 * MS)] if isinstance(event, Request) else []

        change(proxy.balancer, "handle", advises)
        answer = await proxy.ask()
        assert (answer.status, answer.get(b"retry-after")) == (503, "0.250")


@scenario
async def test_a_hedge_s_loser_is_called_off() -> None:
    """The slower copy ends as its sibling wins, and the client sees one answer."""
    async with (
        peers(says(), says()) as hosts,
        running(*(h.member() for h in hosts), settings=SETTINGS) as proxy,
    ):
        for _ in range(20):  # teaches the module how long an answer takes
            await proxy.ask()
        for host in hosts:
            host.script = silent
            host.requests.clear()
        events = record(proxy)
        client: Client = await proxy.client()
        client.writer.write(request_text())
        await until(lambda: hosts[0].requests and hosts[1].requests)
        await says(body=b"winner")(hosts[0].requests[0], hosts[0].askers[-1])
        assert (await client.answer()).body == b"winner"
        await until(lambda: not proxy.gateway._held)
        assert outcomes(events) == [Outcome.OK, Outcome.CANCELLED]


@scenario
async def test_a_timer_about_an_attempt_that_has_ended_is_not_told() -> None:
    async with peers(says()) as (host,), running(host.member()) as proxy:
        events = record(proxy)
        for _ in range(5):
            assert (await proxy.ask()).status == 200
        await asyncio.sleep(0.3)  # the first attempts count as late after a quarter of a second
        assert not [event for event in events if isinstance(event, TimerFired)]


@scenario
async def test_a_timer_about_an_attempt_that_is_out_is_told() -> None:
    async with peers(silent) as (host,), running(host.member()) as proxy:
        events = record(proxy)
        client = await proxy.client()
        client.writer.write(request_text())
        await until(lambda: [event for event in events if isinstance(event, TimerFired)])
        client.close()
