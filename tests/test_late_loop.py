"""A gateway at its own limit, on real sockets: what is refused, who is blamed, and what is not done twice."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest

from tests.peers import (
    SETTINGS,
    TEST_TIMEOUT_SECONDS,
    Client,
    ScriptedServer,
    answers_with,
    async_test,
    never_answers,
    record_events,
    replace_method,
    request_text,
    running_gateway,
    scripted_servers,
    wait_until,
)
from whinrouter.balance import Balancer
from whinrouter.interface import (
    MS,
    Action,
    AttemptEnded,
    Event,
    Outcome,
    Request,
    Send,
    Server,
    ServerList,
    Update,
)
from whinrouter.net import frontend
from whinrouter.net.http import RequestReader
from whinrouter.net.priority_selector import PrioritySelector
from whinrouter.overload_control import OverloadControl

PAUSE = 0.06  # seconds for which a loop is held up here: some targets


def at_limit(front: frontend.Frontend) -> None:
    """From now on whatever is read has waited too long."""
    replace_method(front.overload, "should_reject", lambda seconds, now: True)


@async_test
async def test_at_the_limit_reads_are_refused_unread_and_purchases_run_once() -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        at_limit(proxy.frontend)
        clients = [await proxy.client() for _ in range(20)]
        for place, client in enumerate(clients):
            client.writer.write(request_text("chapter-buy" if place % 4 == 0 else "page-read"))
        answers = [(await client.read_answer()).status for client in clients]
        assert [status for place, status in enumerate(answers) if place % 4] == [503] * 15
        served = [status for place, status in enumerate(answers) if place % 4 == 0]
        runs = Counter(request.get(b"x-request-id") for request in host.requests)
        assert set(runs.values()) == {1}
        assert served.count(200) == len(runs)
        assert set(served) <= {200, 503}
        assert all(request.method == b"POST" for request in host.requests)


@async_test
async def test_a_refused_client_s_connection_ends_and_it_may_come_back() -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        waited = proxy.frontend.overload.should_reject
        at_limit(proxy.frontend)
        answer = await client.fetch()
        assert (answer.status, answer.keep_alive) == (503, False)
        assert await client.read_to_end() == b""
        await wait_until(lambda: not proxy.frontend.connections)
        replace_method(proxy.frontend.overload, "should_reject", waited)
        assert (await proxy.fetch()).status == 200


@pytest.mark.parametrize(
    ("text", "statuses"),
    [
        (b"GET /up HTTP/1.1\r\n\r\n", [200]),
        (request_text() + request_text(), [200, 200]),
        (request_text(headers={"Content-Length": "0"}), [200]),
        (request_text(headers={"Connection": "close"}), [200]),
        (request_text(headers={"X-Pad": "p" * frontend.MAX_UNPARSED_BYTES}), [200]),
        (b"GET / nonsense\r\n", [400]),
    ],
    ids=lambda value: str(value)[:40],
)
@async_test
async def test_only_what_is_plain_is_refused_unread(text: bytes, statuses: list[int]) -> None:
    """Where a request's end is not sure without a parser, the parser says."""
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        at_limit(proxy.frontend)
        client = await proxy.client()
        client.writer.write(text)
        seen = b""
        while seen.count(b"HTTP/1.1 ") < len(statuses):
            seen += await asyncio.wait_for(client._reader.read(65536), TEST_TIMEOUT_SECONDS)
        assert [int(part[:3]) for part in seen.split(b"HTTP/1.1 ")[1:]] == statuses


@async_test
async def test_a_request_behind_one_that_is_refused_is_not_lost() -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        await wait_until(lambda: proxy.frontend.connections)
        (connection,) = proxy.frontend.connections

        def late(seconds: float, now: float) -> bool:
            client.writer.write(request_text("chapter-buy"))  # it comes while the one before it is judged
            replace_method(proxy.frontend.overload, "should_reject", lambda seconds, now: False)
            return True

        replace_method(proxy.frontend.overload, "should_reject", late)
        assert (await client.fetch()).status == 200
        assert (await client.read_answer()).status == 200
        assert not connection._is_input_ignored


@pytest.mark.parametrize("advises", [True, False])
@async_test
async def test_advice_is_spread_where_settings_allow_it(advises: bool) -> None:
    async with running_gateway(settings=replace(SETTINGS, sends_retry_after=advises)) as proxy:
        at_limit(proxy.frontend)
        advice = {(await proxy.fetch()).get(b"retry-after") for _ in range(10)}
        if advises:
            low, high = frontend.RETRY_AFTER_SECONDS
            assert len(advice) > 5
            assert all(low <= float(after or 0) <= high for after in advice)
        else:
            assert advice == {None}


@async_test
async def test_a_client_that_left_before_it_was_read_causes_no_work() -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        gone, stays = await proxy.client(), await proxy.client()
        for client in (gone, stays):
            assert (await client.fetch()).status == 200
        gone.writer.write(request_text("chapter-buy"))
        stays.writer.write(request_text("chapter-buy"))
        gone.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
        time.sleep(PAUSE)  # the loop is held up: both requests, and the one's end, wait
        assert (await stays.read_answer()).status == 200
        await wait_until(lambda: len(proxy.frontend.connections) == 1)
        assert len(host.requests) == 3


@async_test
async def test_a_deadline_counts_from_when_the_request_was_here() -> None:
    async with scripted_servers(never_answers) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        await wait_until(lambda: proxy.frontend.connections)
        client.writer.write(request_text(headers={"X-Deadline": "5"}))
        time.sleep(PAUSE)
        await wait_until(lambda: host.requests)
        assert float(host.requests[0].get(b"x-deadline") or 0) <= 5 - 0.9 * PAUSE


@async_test
async def test_a_request_whose_time_ran_out_unread_reaches_no_host() -> None:
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        await wait_until(lambda: proxy.frontend.connections)
        client.writer.write(request_text("chapter-buy", {"X-Deadline": "0.05"}))
        time.sleep(PAUSE)
        assert (await client.read_answer()).status == 503
        assert not host.requests


@async_test
async def test_what_an_answer_waited_here_is_told_apart_from_its_host_s_time() -> None:
    async with scripted_servers(never_answers) as (host,), running_gateway(host.member()) as proxy:
        events = record_events(proxy)
        client = await proxy.client()
        client.writer.write(request_text())
        await wait_until(lambda: host.requests)
        await answers_with()(
            host.requests[0], host.request_writers[0]
        )  # the answer is on its way, and the loop held up
        time.sleep(PAUSE)
        assert (await client.read_answer()).status == 200
        (ended,) = [event for event in events if isinstance(event, AttemptEnded)]
        assert 0.9 * PAUSE * 1e6 <= ended.local_delay <= ended.latency + MS


@async_test
async def test_time_that_the_reply_takes_is_not_the_host_s() -> None:
    """A process that is put aside as it has written an answer must not hold that against the host."""
    async with scripted_servers(answers_with()) as (host,), running_gateway(host.member()) as proxy:
        told: list[tuple[Event, int]] = []
        handle = proxy.balancer.handle

        def recorded(event: Event, now: int) -> list[Action]:
            told.append((event, now))
            return handle(event, now)

        def slow(answer: object) -> None:
            replied.append(proxy.gateway.clock.now())
            time.sleep(PAUSE)

        replace_method(proxy.balancer, "handle", recorded)
        replied: list[int] = []
        message = RequestReader().feed(request_text())[0]
        proxy.gateway.submit_request(proxy.frontend.interpreter.interpret(message, 0.0), slow)
        await wait_until(lambda: replied)
        (_, begun), (ended, at) = told
        assert isinstance(ended, AttemptEnded)
        assert at <= replied[0]
        assert ended.latency <= replied[0] - begun + MS


@async_test
async def test_an_answer_that_is_here_at_the_deadline_is_the_client_s() -> None:
    async with scripted_servers(never_answers) as (host,), running_gateway(host.member()) as proxy:
        client = await proxy.client()
        client.writer.write(request_text("chapter-buy", {"X-Deadline": "0.5"}))
        await wait_until(lambda: host.requests)
        (held,) = proxy.gateway._pending.values()
        await answers_with()(host.requests[0], host.request_writers[0])
        held.lifecycle.deadline = proxy.gateway.clock.now()  # its time is up, and the answer unread
        proxy.gateway._on_deadline(held)
        assert (await client.read_answer()).status == 200


def _limit_after(waited: int) -> tuple[float, float]:
    """A host's limit, and the share of work admitted, after late answers that lay here so long."""
    balancer = Balancer(SETTINGS, seed=1)
    balancer.handle(ServerList(Update.FULL, (Server(id=1),)), 0)
    now = 10**9
    for request in range(1, 9):
        now += 300 * MS
        (action, *_) = balancer.handle(Request(request, "page-read", 1000 * MS), now)
        if not isinstance(action, Send):  # refused: the share that is admitted has fallen
            continue
        now += 390 * MS
        balancer.handle(AttemptEnded(request, 0, 1, Outcome.OK, 390 * MS, True, None, waited), now)
    return balancer._hosts[1].limit, balancer._shedder.admitted_share


def test_a_host_is_blamed_for_its_own_time_alone() -> None:
    well, slow = _limit_after(380 * MS), _limit_after(0)
    assert slow[0] < well[0]
    assert slow[1] < 1.0
    assert well[1] == 1.0


def test_clients_that_are_here_go_before_a_crowd_that_wants_to_connect() -> None:
    """At the limit, with a door for the loop's selector, as the program has it."""
    door = PrioritySelector(OverloadControl([0.4]))
    door.overload.is_overloaded = True
    replace_method(door.overload, "advance", lambda now: None)

    async def test() -> None:
        async with (
            scripted_servers(never_answers, never_answers) as hosts,
            running_gateway(*(h.member() for h in hosts), selector=door) as proxy,
        ):
            kept = [await proxy.client() for _ in range(8)]
            await wait_until(lambda: len(proxy.frontend.connections) == len(kept))
            crowd = []
            for _ in range(30):  # with those kept still under half of the limit
                crowd.append(socket.create_connection(("127.0.0.1", proxy.port)))
                crowd[-1].sendall(request_text())
            for client in kept:
                client.writer.write(request_text("chapter-buy"))
            await wait_until(lambda: proxy.gateway.unanswered_count >= len(kept))
            first = [held.message.method for held in proxy.gateway._pending.values()][: len(kept)]
            assert first == [b"POST"] * len(kept)
            await wait_until(lambda: len(proxy.frontend.connections) == len(kept) + len(crowd))
            for endpoint in crowd:
                endpoint.close()
            for client in kept:
                client.close()

    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(door)) as runner:
        runner.run(asyncio.wait_for(test(), 2 * TEST_TIMEOUT_SECONDS))


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


async def _start(host: ScriptedServer, folder: Path) -> tuple[subprocess.Popen[bytes], int]:
    """The real program with this host on the list that it last knew; nobody answers as its discovery."""
    port = _free_port()
    classes = [
        {"name": "page-read", "effect": "idempotent", "giveUp": 15_000_000, "onTime": 400_000, "worth": 3.0},
        {"name": "chapter-buy", "effect": "at_most_once", "giveUp": 15_000_000, "onTime": 400_000},
    ]
    config = folder / "config.json"
    told = {
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{_free_port()}",
        "seed": "1",
        "known": {"revision": 1, "complete": True, "members": [host.discovery_entry()]},
        "settings": {"classes": classes, "permissions": {"maxAttempts": 5, "cancelling": True}},
    }
    config.write_text(json.dumps(told))
    environment = {**os.environ, "PROXY_CONFIG": str(config)}
    process = subprocess.Popen([sys.executable, "-m", "whinrouter"], env=environment)
    due = time.monotonic() + TEST_TIMEOUT_SECONDS
    while True:
        try:
            (await Client.connect(port)).close()
            return process, port
        except OSError:
            assert time.monotonic() < due
            await asyncio.sleep(0.05)


@async_test
async def test_a_core_taken_away_for_a_while_costs_what_it_must_and_no_more(tmp_path: Path) -> None:
    """SIGSTOP holds up the real program; then each request has one answer, and nothing old runs."""
    async with scripted_servers(answers_with()) as (host,):
        process, port = await _start(host, tmp_path)
        try:
            clients = [await Client.connect(port) for _ in range(12)]
            for client in clients:
                assert (await client.fetch()).status == 200
            host.requests.clear()
            process.send_signal(signal.SIGSTOP)
            for place, client in enumerate(clients):
                kind = "chapter-buy" if place % 2 else "page-read"
                client.writer.write(request_text(kind, {"X-Deadline": "0.3" if place < 8 else "14"}))
            late = await Client.connect(port)  # it waits to be accepted
            late.writer.write(request_text(headers={"X-Deadline": "0.3"}))
            await asyncio.sleep(1.0)
            process.send_signal(signal.SIGCONT)
            answers = [(await client.read_answer()).status for client in clients]
            assert answers == [503] * 8 + [200] * 4
            assert (await late.read_answer()).status == 503
            assert len(host.requests) == 4
            assert (await clients[0].fetch()).status == 200
        finally:
            process.kill()
            process.wait()
