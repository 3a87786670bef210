"""The selector's order of events and its bound on waiting times, on real sockets."""

from __future__ import annotations

import selectors
import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack

import pytest

from whinrouter.net.priority_selector import PrioritySelector
from whinrouter.overload_control import READS_PER_TURN, OverloadControl


class ReadySockets:
    """A selector with ready sockets of each kind."""

    def __init__(self, stack: ExitStack, clients: int) -> None:
        self.overload = OverloadControl([0.4])
        self.selector = PrioritySelector(self.overload)
        stack.callback(self.selector.close)
        self.listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        self.clients = [self._ready_socket(stack) for _ in range(clients)]
        self.selector.client_descriptors.update(client.fileno() for client in self.clients)
        self.host = self._ready_socket(stack)
        stack.enter_context(socket.create_connection(self.listener.getsockname()))
        self.selector.register(self.listener, selectors.EVENT_READ)
        self.selector.listener_descriptors.add(self.listener.fileno())

    def _ready_socket(self, stack: ExitStack) -> socket.socket:
        """Return a registered socket with unread input."""
        local, remote = socket.socketpair()
        stack.enter_context(local)
        stack.enter_context(remote).send(b"x")
        self.selector.register(local, selectors.EVENT_READ)
        return local

    def overload_process(self) -> None:
        """Make the overload control detect an overload: requests waited for a second, over an interval."""
        now = time.monotonic()
        self.overload.should_reject(1.0, now - 0.2)
        self.overload.should_reject(1.0, now)
        assert self.overload.is_overloaded

    def poll(self) -> list[socket.socket]:
        """Return the sockets whose events the selector returns, in its order."""
        return [key.fileobj for key, _ in self.selector.select(0)]  # type: ignore[misc]


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as exit_stack:
        yield exit_stack


def test_the_order_is_host_answers_client_reads_new_connections(stack: ExitStack) -> None:
    sockets = ReadySockets(stack, clients=40)
    assert sockets.poll() == [sockets.host, *sockets.clients, sockets.listener]


def test_under_overload_few_clients_are_read_a_turn_in_order(stack: ExitStack) -> None:
    sockets = ReadySockets(stack, clients=3 * READS_PER_TURN)
    sockets.overload_process()
    seen: list[socket.socket] = []
    for _ in range(3):
        sockets.overload_process()
        polled = [ready_socket for ready_socket in sockets.poll() if ready_socket in sockets.clients]
        assert len(polled) == READS_PER_TURN
        for client in polled:
            client.recv(1)
        seen += polled
    assert seen == sockets.clients


def test_under_overload_accepts_are_delayed_while_there_is_other_work(stack: ExitStack) -> None:
    sockets = ReadySockets(stack, clients=2)
    sockets.overload_process()
    assert sockets.listener in sockets.poll()
    sockets.overload_process()
    assert sockets.overload.may_accept(time.monotonic() + 1)  # the last accept was just now
    assert sockets.listener not in sockets.poll()
    sockets.host.recv(1)
    for client in sockets.clients:
        client.recv(1)
    assert sockets.poll() == [sockets.listener]  # with no other work, leaving the event out would spin


class Connection:
    """An accepted TCP connection that is registered with a selector."""

    def __init__(self, stack: ExitStack, selector: PrioritySelector) -> None:
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        self.remote = stack.enter_context(socket.create_connection(listener.getsockname()))
        self.local = stack.enter_context(listener.accept()[0])
        selector.register(self.local, selectors.EVENT_READ)

    def get_extra_info(self, name: str) -> socket.socket:
        assert name == "socket"
        return self.local


def _unread_seconds(selector: PrioritySelector, connection: Connection, is_first_read: bool = False) -> float:
    return selector.unread_seconds(connection, is_first_read)  # type: ignore[arg-type]


WAIT_SECONDS = 0.1


def test_the_waiting_time_between_two_polls_is_reported(stack: ExitStack) -> None:
    selector = PrioritySelector(OverloadControl([0.4]))
    stack.callback(selector.close)
    connection = Connection(stack, selector)
    assert selector.select(0) == []
    connection.remote.send(b"x")
    time.sleep(WAIT_SECONDS)
    assert len(selector.select(0)) == 1
    assert _unread_seconds(selector, connection) >= WAIT_SECONDS / 2


def test_input_has_not_waited_for_longer_than_since_the_last_poll(
    stack: ExitStack, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The clock of a process that runs in lockstep with others may run a hundred times too slowly."""
    monotonic = time.monotonic
    monkeypatch.setattr(time, "monotonic", lambda: monotonic() / 100)
    selector = PrioritySelector(OverloadControl([0.4]))
    stack.callback(selector.close)
    connection = Connection(stack, selector)
    for _ in range(10):
        assert selector.select(0) == []
    connection.remote.send(b"x")
    time.sleep(WAIT_SECONDS)
    assert len(selector.select(0)) == 1
    assert _unread_seconds(selector, connection) == 0.0
    assert _unread_seconds(selector, connection, is_first_read=True) == 0.0


def test_a_poll_that_holds_events_back_does_not_bound_the_waiting_time(stack: ExitStack) -> None:
    sockets = ReadySockets(stack, clients=2 * READS_PER_TURN)
    connection = Connection(stack, sockets.selector)
    sockets.selector.client_descriptors.add(connection.local.fileno())
    sockets.poll()
    connection.remote.send(b"x")
    time.sleep(4 * WAIT_SECONDS)  # longer than the intervals of the overload detection
    sockets.overload_process()
    for _ in range(4):  # the clients that were ready before are returned first
        assert connection.local not in sockets.poll()
    sockets.overload.is_overloaded = False
    sockets.poll()
    assert _unread_seconds(sockets.selector, connection) >= WAIT_SECONDS / 2


def test_the_first_input_of_a_connection_may_have_waited_to_be_accepted(stack: ExitStack) -> None:
    selector = PrioritySelector(OverloadControl([0.4]))
    stack.callback(selector.close)
    connection = Connection(stack, selector)
    assert selector.select(0) == []
    selector.unregister(connection.local)
    connection.remote.send(b"x")
    time.sleep(WAIT_SECONDS)
    for _ in range(3):  # one poll each to accept, set up and register it
        selector.select(0)
    selector.register(connection.local, selectors.EVENT_READ)
    assert len(selector.select(0)) == 1
    assert _unread_seconds(selector, connection, is_first_read=True) >= WAIT_SECONDS / 2
