"""The simulator's adapter, run as a process on the text of its messages."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

import pytest

from whinrouter.interface import Request
from whinrouter.wire import parse_event, parse_settings

SETUP: dict[str, Any] = {
    "balancers": 2,
    "classes": [{"name": "page", "onTime": 100000, "giveUp": 400000, "effect": "idempotent", "surprise": 1}],
    "permissions": {"maxAttempts": 3, "mayDuplicate": False, "cancelling": True, "probes": False},
    "invariants": {"coldFrom": 0.2, "rampTime": 10000000, "fall": 1500000, "fallMultiple": 2.5},
    "registryMode": "automatic",
    "locality": "here",
    "unknown": {"key": True},
}
DISCOVERY_ENTRIES = [{"host": 7, "stageState": "IN", "group": 0, "regionPart": "here"}]

Message = dict[str, Any]


def run_benchlink(text: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "whinrouter.benchlink"]
    return subprocess.run(command, input=text, capture_output=True, text=True, timeout=60, check=False)


def batch(number: int, *events: Message, clock: int = 1000) -> str:
    lines = [{"verb": "frame", "clock": clock, "frame": number}, *events, {"verb": "eob"}]
    return "".join(json.dumps(line) + "\n" for line in lines)


def configure(
    gateway: int = 3, setup: Message | None = None, hosts: list[Message] | None = None
) -> list[Message]:
    return [
        {"verb": "configure", "gateway": gateway, "seed": 5, "setup": SETUP if setup is None else setup},
        {
            "verb": "discovery",
            "gateway": gateway,
            "how": "disk",
            "serial": 1,
            "elements": DISCOVERY_ENTRIES if hosts is None else hosts,
        },
    ]


def request_line(corr: int = 11, gateway: int = 3) -> Message:
    return {"verb": "order", "gateway": gateway, "corr": corr, "grade": "page", "expiresIn": 200000}


def attempt_ended(corr: int, rc: int, closed: bool, host: int = 7) -> Message:
    return {
        "verb": "attemptEnd",
        "gateway": 3,
        "corr": corr,
        "copy": 0,
        "host": host,
        "rc": rc,
        "duration": 900,
        "closed": closed,
        "feedback": None,
    }


def run_batches(text: str) -> list[Message]:
    result = run_benchlink(text)
    assert result.returncode == 0, result.stderr
    assert result.stderr == ""
    return [json.loads(line) for line in result.stdout.splitlines()]


def reply_verbs(text: str) -> list[str]:
    return [reply["verb"] for reply in run_batches(text) if reply["verb"] not in ("ack", "wakeMe")]


def test_an_empty_batch_is_acknowledged() -> None:
    assert run_batches(batch(1)) == [{"verb": "ack", "frame": 1}]


def test_a_request_is_sent_and_its_answer_ends_it() -> None:
    text = batch(1, *configure()) + batch(2, request_line()) + batch(3, attempt_ended(11, 10, True))
    sent = next(reply for reply in run_batches(text) if reply["verb"] == "dispatch")
    assert (sent["gateway"], sent["corr"], sent["host"]) == (3, 11, 7)
    assert reply_verbs(text) == ["dispatch"]


def test_a_request_without_servers_is_refused() -> None:
    assert reply_verbs(batch(1, *configure(hosts=[])) + batch(2, request_line())) == ["refuse"]


def test_an_unknown_outcome_may_have_run() -> None:
    classes = [dict(SETUP["classes"][0], effect="something new")]
    text = batch(1, *configure(setup=SETUP | {"classes": classes})) + batch(2, request_line())
    assert reply_verbs(text + batch(3, attempt_ended(11, 99, False))) == ["dispatch", "giveUp"]


def test_an_unknown_state_is_read_as_draining() -> None:
    hosts = [dict(DISCOVERY_ENTRIES[0], stageState="NAPPING")]
    assert reply_verbs(batch(1, *configure(hosts=hosts)) + batch(2, request_line())) == ["refuse"]


def test_retire_and_configure_in_one_batch_create_a_new_instance() -> None:
    text = batch(1, *configure()) + batch(2, request_line())
    text += batch(3, {"verb": "retire", "gateway": 3}, *configure(hosts=[]), request_line(12))
    assert reply_verbs(text) == ["dispatch", "refuse"]


def test_unknown_events_are_ignored() -> None:
    assert reply_verbs(batch(1, *configure(), {"verb": "novelty", "gateway": 3})) == []


def test_invalid_settings_fail_only_their_own_instance() -> None:
    text = batch(1, *configure(gateway=1, setup={}), *configure()) + batch(
        2, request_line(), request_line(12, gateway=1)
    )
    replies = [reply for reply in run_batches(text) if reply["verb"] not in ("ack", "wakeMe")]
    assert [(reply["verb"], reply["gateway"]) for reply in replies] == [("exception", 1), ("dispatch", 3)]
    assert "classes" in replies[0]["msg"]


@pytest.mark.parametrize(
    "text",
    [
        "nonsense\n",
        "[1]\n",
        '{"verb":"eob"}\n',
        '{"verb":"frame","frame":1}\n',
        batch(1).replace('{"verb": "eob"}\n', ""),
        batch(1, {"verb": "order"}),
    ],
)
def test_a_malformed_line_ends_the_adapter_with_a_one_line_message(text: str) -> None:
    result = run_benchlink(text)
    assert result.returncode != 0
    assert result.stderr.startswith("benchlink: malformed input: ")
    assert len(result.stderr.splitlines()) == 1


def test_the_end_of_input_is_not_an_error() -> None:
    assert run_benchlink("").returncode == 0


def test_a_tenant_allowance_is_divided_among_the_balancers() -> None:
    realms = [{"name": "choir", "allowancePerS": 75.0, "share": 0.3}, {"name": "band"}]
    settings = parse_settings(SETUP | {"realms": realms, "overShareWorth": 0.1, "rank": 1})
    assert settings.allowances == {"choir": 37.5}
    assert (settings.over_allowance_worth, settings.rank, settings.balancers) == (0.1, 1, 2)


def test_a_request_carries_its_tenant_and_retry_mark() -> None:
    request = parse_event(request_line() | {"tenant": "choir", "isRetry": True})
    assert isinstance(request, Request)
    assert (request.tenant, request.is_retry) == ("choir", True)


def test_a_list_of_an_unknown_kind_is_read_as_changes() -> None:
    """If it were dropped, a drain would be missed; read as a full list, it would remove the other servers."""
    change = {
        "verb": "discovery",
        "gateway": 3,
        "how": "novel",
        "elements": [DISCOVERY_ENTRIES[0] | {"stageState": "LAME"}],
    }
    assert reply_verbs(batch(1, *configure()) + batch(2, change, request_line())) == ["refuse"]
