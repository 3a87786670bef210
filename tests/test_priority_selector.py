"""The order in which the loop is told of its sockets, with real ones."""

from __future__ import annotations

import selectors
import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack

import pytest

from whinrouter.net.priority_selector import PrioritySelector
from whinrouter.overload_control import READS_PER_TURN, OverloadControl


class Sockets:
    """A door with ready sockets of each kind."""

    def __init__(self, stack: ExitStack, clients: int) -> None:
        self.own = OverloadControl([0.4])
        self.door = PrioritySelector(self.own)
        stack.callback(self.door.close)
        self.listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        self.clients = [self._ready(stack) for _ in range(clients)]
        self.door.client_descriptors.update(client.fileno() for client in self.clients)
        self.host = self._ready(stack)
        stack.enter_context(socket.create_connection(self.listener.getsockname()))
        self.door.register(self.listener, selectors.EVENT_READ)
        self.door.listener_descriptors.add(self.listener.fileno())

    def _ready(self, stack: ExitStack) -> socket.socket:
        here, there = socket.socketpair()
        stack.enter_context(here)
        stack.enter_context(there).send(b"x")
        self.door.register(here, selectors.EVENT_READ)
        return here

    def at_limit(self) -> None:
        now = time.monotonic()
        self.own.should_reject(1.0, now - 0.2)
        self.own.should_reject(1.0, now)
        assert self.own.is_overloaded

    def told(self) -> list[socket.socket]:
        return [key.fileobj for key, _ in self.door.select(0)]  # type: ignore[misc]


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as here:
        yield here


def test_answers_come_before_requests_and_these_before_connections(stack: ExitStack) -> None:
    here = Sockets(stack, clients=40)
    assert here.told() == [here.host, *here.clients, here.listener]


def test_at_the_limit_few_clients_are_told_and_the_others_in_their_turn(stack: ExitStack) -> None:
    here = Sockets(stack, clients=3 * READS_PER_TURN)
    here.at_limit()
    seen: list[socket.socket] = []
    for _ in range(3):
        here.at_limit()
        told = [one for one in here.told() if one in here.clients]
        assert len(told) == READS_PER_TURN
        for client in told:
            client.recv(1)
        seen += told
    assert seen == here.clients


def test_at_the_limit_connections_wait_while_there_is_other_work(stack: ExitStack) -> None:
    here = Sockets(stack, clients=2)
    here.at_limit()
    assert here.listener in here.told()
    here.at_limit()
    assert here.own.may_accept(time.monotonic() + 1)  # they were accepted just now
    assert here.listener not in here.told()
    here.host.recv(1)
    for client in here.clients:
        client.recv(1)
    assert here.told() == [here.listener]  # with nothing else to do, to wait would be to spin


class Line:
    """A connection that a door looks at, with an age that the system counts."""

    def __init__(self, stack: ExitStack, door: PrioritySelector) -> None:
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        self.there = stack.enter_context(socket.create_connection(listener.getsockname()))
        self.here = stack.enter_context(listener.accept()[0])
        door.register(self.here, selectors.EVENT_READ)

    def get_extra_info(self, name: str) -> socket.socket:
        assert name == "socket"
        return self.here


def _lay(door: PrioritySelector, line: Line, is_first_read: bool = False) -> float:
    return door.unread_seconds(line, is_first_read)  # type: ignore[arg-type]


WAIT = 0.1


def test_what_waited_here_between_two_looks_is_known(stack: ExitStack) -> None:
    door = PrioritySelector(OverloadControl([0.4]))
    stack.callback(door.close)
    line = Line(stack, door)
    assert door.select(0) == []
    line.there.send(b"x")
    time.sleep(WAIT)
    assert len(door.select(0)) == 1
    assert _lay(door, line) >= WAIT / 2


def test_what_was_not_here_at_the_last_look_has_not_waited_longer(
    stack: ExitStack, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A process whose clock goes at a hundredth of the system's, as one that is run in step with others."""
    monotonic = time.monotonic
    monkeypatch.setattr(time, "monotonic", lambda: monotonic() / 100)
    door = PrioritySelector(OverloadControl([0.4]))
    stack.callback(door.close)
    line = Line(stack, door)
    for _ in range(10):
        assert door.select(0) == []
    line.there.send(b"x")
    time.sleep(WAIT)
    assert len(door.select(0)) == 1
    assert _lay(door, line) == 0.0
    assert _lay(door, line, is_first_read=True) == 0.0


def test_a_look_that_holds_something_back_does_not_tell_how_long_it_waits(stack: ExitStack) -> None:
    here = Sockets(stack, clients=2 * READS_PER_TURN)
    line = Line(stack, here.door)
    here.door.client_descriptors.add(line.here.fileno())
    here.told()
    line.there.send(b"x")
    time.sleep(4 * WAIT)  # so that intervals in which requests waited have passed
    here.at_limit()
    for _ in range(4):  # the others come first
        assert line.here not in here.told()
    here.own.is_overloaded = False
    here.told()
    assert _lay(here.door, line) >= WAIT / 2


def test_the_first_on_a_connection_may_have_waited_to_be_accepted(stack: ExitStack) -> None:
    door = PrioritySelector(OverloadControl([0.4]))
    stack.callback(door.close)
    line = Line(stack, door)
    assert door.select(0) == []
    door.unregister(line.here)
    line.there.send(b"x")
    time.sleep(WAIT)
    for _ in range(3):  # it is accepted, set up and registered
        door.select(0)
    door.register(line.here, selectors.EVENT_READ)
    assert len(door.select(0)) == 1
    assert _lay(door, line, is_first_read=True) >= WAIT / 2
