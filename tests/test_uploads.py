"""Requests with streamed bodies: a host has no work from them before their last byte."""

from __future__ import annotations

import pytest

from whinrouter.balance import Balancer
from whinrouter.interface import (
    MS,
    SECOND,
    Action,
    AttemptEnded,
    BodyReceived,
    Outcome,
    Refuse,
    Request,
    RequestGone,
    Send,
    ServerList,
    Settings,
    StreamStarted,
    Update,
)

from .helpers import BUY, CLASSES, READ, servers

UPLOAD_ID, READ_ID = 1, 2
TIMEOUT = 400 * MS


def balancer_with_hosts(count: int, limit: float) -> Balancer:
    balancer = Balancer(Settings(CLASSES, max_attempts=4), seed=1)
    balancer.handle(ServerList(Update.FULL, servers(count)), SECOND)
    for host in balancer._hosts.values():
        host.limit = limit
    return balancer


def send_actions(actions: list[Action]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]


def start_upload(balancer: Balancer, now: int = SECOND) -> Send:
    """Pass an upload whose body is incomplete to the balancer; return its only attempt."""
    (attempt,) = send_actions(balancer.handle(Request(UPLOAD_ID, BUY.name, TIMEOUT, streams_body=True), now))
    return attempt


def in_flight(balancer: Balancer) -> int:
    """Return the number of requests in flight, after a check against the sum over all hosts."""
    assert balancer._total_in_flight == sum(host.in_flight for host in balancer._hosts.values())
    return balancer._total_in_flight


def test_an_incomplete_upload_does_not_count_as_in_flight() -> None:
    """Uploads that took seconds once held up to a quarter of all concurrency, and reads were refused."""
    balancer = balancer_with_hosts(1, limit=1)
    start_upload(balancer)
    assert in_flight(balancer) == 0
    assert send_actions(balancer.handle(Request(READ_ID, READ.name, TIMEOUT), SECOND))
    assert in_flight(balancer) == 1


def test_an_upload_counts_as_in_flight_once_its_body_is_complete() -> None:
    balancer = balancer_with_hosts(1, limit=1)
    start_upload(balancer)
    for _ in range(2):  # a repeated event counts once
        assert not balancer.handle(BodyReceived(UPLOAD_ID), 5 * SECOND)
    assert in_flight(balancer) == 1
    (answer,) = balancer.handle(Request(READ_ID, READ.name, TIMEOUT), 5 * SECOND)
    assert isinstance(answer, Refuse)


@pytest.mark.parametrize("is_body_complete", [False, True])
@pytest.mark.parametrize("ending", ["answered", "reset", "answer begins", "client leaves"])
def test_an_upload_no_longer_counts_once_it_has_ended(ending: str, is_body_complete: bool) -> None:
    balancer = balancer_with_hosts(1, limit=4)
    server = start_upload(balancer).server
    now = 3 * SECOND
    if is_body_complete:
        balancer.handle(BodyReceived(UPLOAD_ID), now)
    if ending == "client leaves":
        balancer.handle(RequestGone(UPLOAD_ID), now)
        balancer.handle(AttemptEnded(UPLOAD_ID, 0, server, Outcome.CANCELLED, now, True), now)
    elif ending == "answer begins":
        balancer.handle(StreamStarted(UPLOAD_ID, 0, server, 20 * MS), now)
        balancer.handle(BodyReceived(UPLOAD_ID), now)  # a host may answer before it has the whole request
    else:
        outcome = Outcome.OK if ending == "answered" else Outcome.RESET
        balancer.handle(AttemptEnded(UPLOAD_ID, 0, server, outcome, now, outcome is Outcome.OK), now)
    assert in_flight(balancer) == 0
    balancer.handle(BodyReceived(UPLOAD_ID), now)  # after the end it has no effect
    assert in_flight(balancer) == 0


def test_the_deadline_of_an_upload_counts_from_the_end_of_its_body() -> None:
    """A failure to connect long after an ordinary request's deadline still leads to another attempt."""
    balancer = balancer_with_hosts(4, limit=4)
    first = start_upload(balancer)
    now = SECOND + 5 * TIMEOUT
    failed = AttemptEnded(UPLOAD_ID, 0, first.server, Outcome.CONNECT_FAILED, TIMEOUT, False)
    (second,) = send_actions(balancer.handle(failed, now))
    assert second.server != first.server
    balancer.handle(BodyReceived(UPLOAD_ID), now)
    late = now + TIMEOUT
    failed = AttemptEnded(UPLOAD_ID, 1, second.server, Outcome.CONNECT_FAILED, TIMEOUT, False)
    assert not send_actions(balancer.handle(failed, late))
