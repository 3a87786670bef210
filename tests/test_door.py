"""The order in which the loop is told of its sockets, with real ones."""

from __future__ import annotations

import selectors
import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack

import pytest

from whinrouter.net.door import Door
from whinrouter.ownlimit import READS_A_TURN, OwnLimit


class Sockets:
    """A door with ready sockets of each kind."""

    def __init__(self, stack: ExitStack, clients: int) -> None:
        self.own = OwnLimit([0.4])
        self.door = Door(self.own)
        stack.callback(self.door.close)
        self.listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        self.clients = [self._ready(stack) for _ in range(clients)]
        self.door.clients.update(client.fileno() for client in self.clients)
        self.host = self._ready(stack)
        stack.enter_context(socket.create_connection(self.listener.getsockname()))
        self.door.register(self.listener, selectors.EVENT_READ)
        self.door.listeners.add(self.listener.fileno())

    def _ready(self, stack: ExitStack) -> socket.socket:
        here, there = socket.socketpair()
        stack.enter_context(here)
        stack.enter_context(there).send(b"x")
        self.door.register(here, selectors.EVENT_READ)
        return here

    def at_limit(self) -> None:
        now = time.monotonic()
        self.own.waited(1.0, now - 0.2)
        self.own.waited(1.0, now)
        assert self.own.reached

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
    here = Sockets(stack, clients=3 * READS_A_TURN)
    here.at_limit()
    seen: list[socket.socket] = []
    for _ in range(3):
        here.at_limit()
        told = [one for one in here.told() if one in here.clients]
        assert len(told) == READS_A_TURN
        for client in told:
            client.recv(1)
        seen += told
    assert seen == here.clients


def test_at_the_limit_connections_wait_while_there_is_other_work(stack: ExitStack) -> None:
    here = Sockets(stack, clients=2)
    here.at_limit()
    assert here.listener in here.told()
    here.at_limit()
    assert here.own.accepts(time.monotonic() + 1)  # they were accepted just now
    assert here.listener not in here.told()
    here.host.recv(1)
    for client in here.clients:
        client.recv(1)
    assert here.told() == [here.listener]  # with nothing else to do, to wait would be to spin
