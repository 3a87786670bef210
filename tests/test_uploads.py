"""Requests whose bodies are passed on as they come: a server has no work from them before their last byte."""

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

UPLOAD, OTHER = 1, 2
TIMEOUT = 400 * MS


def balancer_of(count: int, limit: float) -> Balancer:
    balancer = Balancer(Settings(CLASSES, max_attempts=4), seed=1)
    balancer.handle(ServerList(Update.FULL, servers(count)), SECOND)
    for host in balancer._hosts.values():
        host.limit = limit
    return balancer


def sends(actions: list[Action]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]


def upload(balancer: Balancer, now: int = SECOND) -> Send:
    (sent,) = sends(balancer.handle(Request(UPLOAD, BUY.name, TIMEOUT, streams_body=True), now))
    return sent


def in_flight(balancer: Balancer) -> int:
    assert balancer._total_in_flight == sum(host.in_flight for host in balancer._hosts.values())
    return balancer._total_in_flight


def test_an_upload_on_its_way_takes_no_place_of_others() -> None:
    """It did: uploads of some seconds held up to a quarter of all places, and reads were refused for them."""
    balancer = balancer_of(1, limit=1)
    upload(balancer)
    assert in_flight(balancer) == 0
    assert sends(balancer.handle(Request(OTHER, READ.name, TIMEOUT), SECOND))
    assert in_flight(balancer) == 1


def test_it_takes_one_once_its_body_is_here() -> None:
    balancer = balancer_of(1, limit=1)
    upload(balancer)
    for _ in range(2):  # told twice, it counts once
        assert not balancer.handle(BodyReceived(UPLOAD), 5 * SECOND)
    assert in_flight(balancer) == 1
    (answer,) = balancer.handle(Request(OTHER, READ.name, TIMEOUT), 5 * SECOND)
    assert isinstance(answer, Refuse)


@pytest.mark.parametrize("body_is_here", [False, True])
@pytest.mark.parametrize("how", ["answered", "reset", "answer begins", "client leaves"])
def test_its_place_is_free_again_however_it_ends(how: str, body_is_here: bool) -> None:
    balancer = balancer_of(1, limit=4)
    server = upload(balancer).server
    now = 3 * SECOND
    if body_is_here:
        balancer.handle(BodyReceived(UPLOAD), now)
    if how == "client leaves":
        balancer.handle(RequestGone(UPLOAD), now)
        balancer.handle(AttemptEnded(UPLOAD, 0, server, Outcome.CANCELLED, now, True), now)
    elif how == "answer begins":
        balancer.handle(StreamStarted(UPLOAD, 0, server, 20 * MS), now)
        balancer.handle(BodyReceived(UPLOAD), now)  # a host may answer before it has the whole request
    else:
        outcome = Outcome.OK if how == "answered" else Outcome.RESET
        balancer.handle(AttemptEnded(UPLOAD, 0, server, outcome, now, outcome is Outcome.OK), now)
    assert in_flight(balancer) == 0
    balancer.handle(BodyReceived(UPLOAD), now)  # late, or for nobody
    assert in_flight(balancer) == 0


def test_its_time_begins_with_the_end_of_its_body() -> None:
    """Its first server can't be reached, long after an ordinary request's time is up: there is another."""
    balancer = balancer_of(4, limit=4)
    first = upload(balancer)
    now = SECOND + 5 * TIMEOUT
    failed = AttemptEnded(UPLOAD, 0, first.server, Outcome.CONNECT_FAILED, TIMEOUT, False)
    (second,) = sends(balancer.handle(failed, now))
    assert second.server != first.server
    balancer.handle(BodyReceived(UPLOAD), now)
    late = now + TIMEOUT
    failed = AttemptEnded(UPLOAD, 1, second.server, Outcome.CONNECT_FAILED, TIMEOUT, False)
    assert not sends(balancer.handle(failed, late))
