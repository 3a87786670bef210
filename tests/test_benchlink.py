"""The adapter on real wire text."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

import pytest

from whinrouter.interface import Request
from whinrouter.wire import event, settings

SETUP: dict[str, Any] = {
    "balancers": 2,
    "classes": [{"name": "page", "onTime": 100000, "giveUp": 400000, "effect": "idempotent", "surprise": 1}],
    "permissions": {"maxAttempts": 3, "mayDuplicate": False, "cancelling": True, "probes": False},
    "invariants": {"coldFrom": 0.2, "rampTime": 10000000, "fall": 1500000, "fallMultiple": 2.5},
    "registryMode": "automatic",
    "locality": "here",
    "unheard": {"of": True},
}
HOSTS = [{"host": 7, "stageState": "IN", "group": 0, "regionPart": "here"}]

Line = dict[str, Any]


def play(text: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "whinrouter.benchlink"]
    return subprocess.run(command, input=text, capture_output=True, text=True, timeout=60, check=False)


def batch(number: int, *events: Line, clock: int = 1000) -> str:
    lines = [{"verb": "frame", "clock": clock, "frame": number}, *events, {"verb": "eob"}]
    return "".join(json.dumps(line) + "\n" for line in lines)


def configure(gateway: int = 3, setup: Line | None = None, hosts: list[Line] | None = None) -> list[Line]:
    return [
        {"verb": "configure", "gateway": gateway, "seed": 5, "setup": SETUP if setup is None else setup},
        {
            "verb": "discovery",
            "gateway": gateway,
            "how": "disk",
            "serial": 1,
            "elements": HOSTS if hosts is None else hosts,
        },
    ]


def order(corr: int = 11, gateway: int = 3) -> Line:
    return {"verb": "order", "gateway": gateway, "corr": corr, "grade": "page", "expiresIn": 200000}


def ended(corr: int, rc: int, closed: bool, host: int = 7) -> Line:
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


def replies(text: str) -> list[Line]:
    result = play(text)
    assert result.returncode == 0, result.stderr
    assert result.stderr == ""
    return [json.loads(line) for line in result.stdout.splitlines()]


def verbs(text: str) -> list[str]:
    return [reply["verb"] for reply in replies(text) if reply["verb"] not in ("ack", "wakeMe")]


def test_an_empty_batch_is_acknowledged() -> None:
    assert replies(batch(1)) == [{"verb": "ack", "frame": 1}]


def test_a_request_is_sent_and_its_answer_ends_it() -> None:
    text = batch(1, *configure()) + batch(2, order()) + batch(3, ended(11, 10, True))
    sent = next(reply for reply in replies(text) if reply["verb"] == "dispatch")
    assert (sent["gateway"], sent["corr"], sent["host"]) == (3, 11, 7)
    assert verbs(text) == ["dispatch"]


def test_no_server_means_a_refusal() -> None:
    assert verbs(batch(1, *configure(hosts=[])) + batch(2, order())) == ["refuse"]


def test_an_unknown_outcome_may_have_run() -> None:
    classes = [dict(SETUP["classes"][0], effect="something new")]
    text = batch(1, *configure(setup=SETUP | {"classes": classes})) + batch(2, order())
    assert verbs(text + batch(3, ended(11, 99, False))) == ["dispatch", "giveUp"]


def test_an_unknown_state_drains() -> None:
    hosts = [dict(HOSTS[0], stageState="NAPPING")]
    assert verbs(batch(1, *configure(hosts=hosts)) + batch(2, order())) == ["refuse"]


def test_retire_and_configure_in_one_batch_start_afresh() -> None:
    text = batch(1, *configure()) + batch(2, order())
    text += batch(3, {"verb": "retire", "gateway": 3}, *configure(hosts=[]), order(12))
    assert verbs(text) == ["dispatch", "refuse"]


def test_unknown_events_are_passed_over() -> None:
    assert verbs(batch(1, *configure(), {"verb": "novelty", "gateway": 3})) == []


def test_unusable_settings_are_declared_for_that_instance_alone() -> None:
    text = batch(1, *configure(gateway=1, setup={}), *configure()) + batch(2, order(), order(12, gateway=1))
    found = [reply for reply in replies(text) if reply["verb"] not in ("ack", "wakeMe")]
    assert [(reply["verb"], reply["gateway"]) for reply in found] == [("exception", 1), ("dispatch", 3)]
    assert "classes" in found[0]["msg"]


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
def test_a_malformed_line_ends_the_adapter_with_one_plain_message(text: str) -> None:
    result = play(text)
    assert result.returncode != 0
    assert result.stderr.startswith("benchlink: malformed input: ")
    assert len(result.stderr.splitlines()) == 1


def test_the_end_of_input_is_no_fault() -> None:
    assert play("").returncode == 0


def test_settings_give_each_balancer_its_part_of_a_tenants_allowance() -> None:
    realms = [{"name": "choir", "allowancePerS": 75.0, "share": 0.3}, {"name": "band"}]
    found = settings(SETUP | {"realms": realms, "overShareWorth": 0.1, "rank": 1})
    assert found.allowances == {"choir": 37.5}
    assert (found.over_share_worth, found.rank, found.balancers) == (0.1, 1, 2)


def test_a_request_carries_its_tenant_and_retry_mark() -> None:
    request = event(order() | {"tenant": "choir", "isRetry": True})
    assert isinstance(request, Request)
    assert (request.tenant, request.retry) == ("choir", True)


def test_a_list_of_an_unknown_kind_is_read_as_changes() -> None:
    """Dropping it would miss a drain; taking it for the whole list would drop servers it does not name."""
    news = {
        "verb": "discovery",
        "gateway": 3,
        "how": "novel",
        "elements": [HOSTS[0] | {"stageState": "LAME"}],
    }
    assert verbs(batch(1, *configure()) + batch(2, news, order())) == ["refuse"]
