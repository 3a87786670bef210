"""Requests that are on their way while new settings change their class.

Guards against this failure: purchases were sent as unsafe ones, without a key, and were half received when a
new configuration made their class keyed. The gateway took them for keyed: those whose connection was reset
were sent to another host and ran twice.
"""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from tests.handover.test_upgrade import listening_socket, running_gateway_process, wait_until_ready
from tests.peers import (
    Client,
    ScriptedServer,
    async_test,
    request_text,
    resets_connection,
    scripted_servers,
)
from tests.processes import wait_for_log
from tests.test_discovery import HEAD
from tests.test_program import (
    SETTINGS,
    listen_port,
    platform_config,
    running_program,
    up_status,
    write_config,
)
from whinrouter.interface import MS, SECOND, Effect, RequestClass, Scope, Settings
from whinrouter.net.http import RequestReader
from whinrouter.net.http_messages import BadMessageError, Message
from whinrouter.net.interpreter import RequestInterpreter
from whinrouter.net.request_classes import CLIENT_ADOPTION_SECONDS, MAX_RECEIVE_SECONDS
from whinrouter.net.routes import Route, Routes

BUY_ENTRY: dict[str, Any] = SETTINGS["classes"][1]
KEYED_ENTRY = BUY_ENTRY | {"effect": "deduplicated", "group": "all", "keyTtl": 5_000_000}
BODY = b"coins" * 1000

BUY = RequestClass("buy", 400 * MS, 2 * SECOND)
KEYED_BUY = RequestClass("buy", 400 * MS, 2 * SECOND, Effect.KEYED, Scope.ALL, 5 * SECOND)
CHANGED_AT = 100.0
BEFORE, SOON_AFTER = CHANGED_AT - 0.001, CHANGED_AT + CLIENT_ADOPTION_SECONDS - 0.001
LATER = CHANGED_AT + CLIENT_ADOPTION_SECONDS


async def _watch(request: Message, writer: Any) -> None:
    writer.write(HEAD)


@asynccontextmanager
async def _resetting_hosts() -> AsyncIterator[tuple[list[ScriptedServer], dict[str, Any]]]:
    """Two hosts that reset the connection under each request, and a configuration with an unsafe class."""
    async with scripted_servers(resets_connection, resets_connection, _watch) as (*hosts, service):
        members = [host.discovery_entry() for host in hosts]
        yield hosts, platform_config(service.port, *members, settings=SETTINGS)


def _with_keyed_class(config: dict[str, Any]) -> dict[str, Any]:
    return config | {"settings": SETTINGS | {"classes": [SETTINGS["classes"][0], KEYED_ENTRY]}}


@pytest.mark.parametrize("cut", [40, -1], ids=["in the head", "in the body"])
@async_test
async def test_a_purchase_on_its_way_is_not_repeated_when_its_class_becomes_keyed(
    tmp_path: Path, cut: int
) -> None:
    async with _resetting_hosts() as (hosts, config), running_program(tmp_path, config) as process:
        port = await listen_port(process)
        assert await up_status(port) == 200
        client, text = await Client.connect(port), request_text("chapter-buy", body=BODY)
        client.writer.write(text[:cut])
        assert await up_status(port) == 200  # the gateway has read the part
        write_config(tmp_path, _with_keyed_class(config))
        process.send_signal(signal.SIGHUP)
        await wait_for_log(process, "settings")
        client.writer.write(text[cut:])
        assert (await client.read_answer()).status == 502
        assert sum(len(host.requests) for host in hosts) == 1


@async_test
async def test_a_purchase_that_is_handed_over_is_not_repeated_where_its_class_is_keyed(
    tmp_path: Path,
) -> None:
    """The newer process has other settings than the one that received the first part."""
    async with _resetting_hosts() as (hosts, config):
        with listening_socket() as listener:
            async with running_gateway_process(tmp_path, listener, config) as old:
                await wait_until_ready(old)
                port = listener.getsockname()[1]
                client, text = await Client.connect(port), request_text("chapter-buy", body=BODY)
                client.writer.write(text[:-1])
                assert await up_status(port) == 200
                keyed_config = _with_keyed_class(config)
                async with running_gateway_process(tmp_path, listener, keyed_config) as new:
                    await wait_until_ready(new)
                    old.process.send_signal(signal.SIGTERM)
                    assert await old.exit_status() == 0
                    client.writer.write(text[-1:])
                    assert (await client.read_answer()).status == 502
                    assert sum(len(host.requests) for host in hosts) == 1


def _changed(old: RequestClass, new: RequestClass) -> RequestInterpreter:
    interpreter = RequestInterpreter(Settings((old,)))
    interpreter.apply_settings(Settings((new,)), CHANGED_AT)
    return interpreter


def _class_name(interpreter: RequestInterpreter, began_at: float, target: bytes = b"/buy/1") -> str:
    """Return the class of a request that is whole a moment after it began, or after the change."""
    message = Message(b"POST", target, headers=[(b"x-request-id", b"1")], began_at=began_at)
    return interpreter.interpret(message, max(began_at, CHANGED_AT) + 0.001).class_name


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (BUY, KEYED_BUY),
        (RequestClass("buy", 400 * MS, 2 * SECOND, Effect.KEYED, Scope.ZONE, 5 * SECOND), KEYED_BUY),
        (RequestClass("buy", 400 * MS, 2 * SECOND, Effect.KEYED, Scope.ALL, SECOND), KEYED_BUY),
    ],
    ids=["effect", "group", "window"],
)
def test_a_class_that_allows_other_repeats_is_used_once_all_clients_know_it(
    old: RequestClass, new: RequestClass
) -> None:
    """Without a name the class is unknown, and its requests are not repeated."""
    interpreter = _changed(old, new)
    assert [_class_name(interpreter, began_at) for began_at in (BEFORE, SOON_AFTER, LATER)] == ["", "", "buy"]


def test_a_class_that_becomes_unsafe_is_unsafe_at_once() -> None:
    interpreter = _changed(KEYED_BUY, BUY)
    assert [_class_name(interpreter, began_at) for began_at in (BEFORE, LATER)] == ["buy", "buy"]


def test_a_class_that_changes_twice_is_unsafe_for_the_requests_of_the_first_settings() -> None:
    """Its second change is back to what it was, or to a third form."""
    for last in (KEYED_BUY, RequestClass("buy", 100 * MS, SECOND, Effect.KEYED, Scope.ALL, 9 * SECOND)):
        interpreter = RequestInterpreter(Settings((KEYED_BUY,)))
        interpreter.apply_settings(Settings((BUY,)), CHANGED_AT - 3.0)
        interpreter.apply_settings(Settings((last,)), CHANGED_AT)
        assert _class_name(interpreter, CHANGED_AT - 2.0) == ""
        assert _class_name(interpreter, LATER) == "buy"


@pytest.mark.parametrize("new_deadline", [SECOND, 3 * SECOND])
def test_a_request_on_its_way_keeps_the_deadline_of_its_class(new_deadline: int) -> None:
    """A longer one would be answered after its client has left, a shorter one would be cut short."""
    interpreter = _changed(BUY, RequestClass("buy", 400 * MS, new_deadline))
    for began_at, deadline in ((BEFORE, BUY.deadline), (CHANGED_AT, new_deadline)):
        message = Message(b"POST", b"/buy/1", headers=[(b"x-request-id", b"1")], began_at=began_at)
        request = interpreter.interpret(message, CHANGED_AT + 0.001)
        assert (request.class_name, request.timeout) == ("buy", deadline)


def _routes(prefix: bytes, request_class: RequestClass) -> Routes:
    return Routes([Route(prefix, request_class, frozenset([b"POST"]))])


@pytest.mark.parametrize(
    "new_class",
    [KEYED_BUY, RequestClass("order", 400 * MS, 2 * SECOND, Effect.KEYED, Scope.ALL, 5 * SECOND)],
    ids=["same class", "another class"],
)
def test_a_path_that_leads_to_a_keyed_class_is_unsafe_for_the_requests_on_their_way(
    new_class: RequestClass,
) -> None:
    interpreter = RequestInterpreter(Settings((BUY,)), _routes(b"/shop", BUY))
    interpreter.apply_settings(Settings((new_class,)), CHANGED_AT, _routes(b"/shop", new_class))
    names = [_class_name(interpreter, began_at, b"/shop/1") for began_at in (BEFORE, SOON_AFTER, LATER)]
    assert names == ["", "", new_class.name]


def test_a_path_that_new_settings_remove_is_accepted_for_a_while() -> None:
    """It was answered 400, although its request was half received."""
    interpreter = RequestInterpreter(Settings((BUY,)), _routes(b"/shop", BUY))
    interpreter.apply_settings(Settings((BUY,)), CHANGED_AT, _routes(b"/store", BUY))
    assert _class_name(interpreter, BEFORE, b"/shop/1") == ""
    over_at = CHANGED_AT + MAX_RECEIVE_SECONDS + BUY.deadline / SECOND
    with pytest.raises(BadMessageError):
        _class_name(interpreter, over_at, b"/shop/1")


def test_a_request_begins_with_its_first_byte() -> None:
    """In a read of its own, behind another request in one read, and over several reads."""
    reader, text = RequestReader(), request_text()
    reader.read_at = 1.0
    (first,) = reader.feed(text + text[:5])
    reader.read_at = 2.0
    assert not reader.feed(text[5:20])
    reader.read_at = 3.0
    second, third = reader.feed(text[20:] + text)
    assert (first.began_at, second.began_at, third.began_at) == (1.0, 1.0, 3.0)
