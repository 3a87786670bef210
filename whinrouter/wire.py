"""Translates between the simulator's JSON messages and the events and actions of the decision module."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from whinrouter.interface import (
    SECOND,
    UNKNOWN_CELL,
    Action,
    AttemptEnded,
    Cancel,
    Effect,
    Event,
    Fail,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    Request,
    RequestClass,
    RequestGone,
    Scope,
    Send,
    Server,
    ServerList,
    SetTimer,
    Settings,
    State,
    StreamStarted,
    Subscribe,
    TimerFired,
    Update,
)  # fmt: skip  # isort: skip

Message = dict[str, Any]

_OUTCOMES = {
    10: Outcome.OK,
    20: Outcome.ERROR,
    30: Outcome.REJECTED,
    40: Outcome.TIMEOUT,
    50: Outcome.CONNECT_FAILED,
    60: Outcome.RESET,
    70: Outcome.CANCELLED,
    80: Outcome.NOT_SENT,
}
_STATES = {"IN": State.READY, "LAME": State.DRAINING, "OUT": State.GONE}
_UPDATES = {"diff": Update.CHANGES, "snapshot": Update.FULL, "disk": Update.STALE, "error": Update.ERROR}
_EFFECTS = {
    "idempotent": Effect.IDEMPOTENT,
    "deduplicated": Effect.KEYED,
    "at_most_once": Effect.AT_MOST_ONCE,
}
_SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}


def parse_settings(setup: Mapping[str, Any]) -> Settings:
    """Read the settings of an instance. Unknown keys are ignored; absent ones get their defaults."""
    permissions = setup.get("permissions") or {}
    invariants = setup.get("invariants") or {}
    fees = setup.get("fees") or {}
    goal = setup.get("goal") or {}
    report = setup.get("report") or {}
    balancers = int(setup.get("balancers") or 1)
    over_allowance_worth = setup.get("overShareWorth")
    return Settings(
        classes=tuple(_parse_request_class(entry) for entry in setup.get("classes") or ()),
        zone=str(setup.get("locality") or ""),
        balancers=balancers,
        rank=int(setup.get("rank") or 0),
        max_attempts=int(permissions.get("maxAttempts") or 1),
        may_hedge=bool(permissions.get("mayDuplicate")),
        may_cancel=bool(permissions.get("cancelling")),
        may_probe=bool(permissions.get("probes")),
        sends_retry_after=bool(permissions.get("retryAfter")),
        must_subscribe=setup.get("registryMode") == "subscribe",
        load_in_answers=report.get("how") == "piggyback",
        load_in_probes=report.get("how") in ("piggyback", "pull"),
        warm_keys=bool((setup.get("familyInfo") or {}).get("warmKeys")),
        cold_share=float(invariants.get("coldFrom") or 1.0),
        ramp_time=int(invariants.get("rampTime") or 0),
        cold_overload_multiple=float(invariants.get("fallMultiple") or 1.0),
        cold_overload_window=int(invariants.get("fall") or SECOND),
        weight_is_capacity=setup.get("weightSource") != "live",
        worst_class_weight=float(goal.get("worstClass") or 0.0) / (float(goal.get("whole") or 0.0) or 1.0),
        cross_zone_price=float(fees.get("crossZone") or 0.0),
        probe_price=float(fees.get("probe") or 0.0),
        allowances={
            str(realm.get("name")): float(realm["allowancePerS"]) / balancers
            for realm in setup.get("realms") or ()
            if realm.get("allowancePerS")
        },
        over_allowance_worth=1.0 if over_allowance_worth is None else float(over_allowance_worth),
    )


def _parse_request_class(entry: Mapping[str, Any]) -> RequestClass:
    return RequestClass(
        name=str(entry.get("name")),
        aim=int(entry.get("onTime") or 0),
        deadline=int(entry.get("giveUp") or 0),
        effect=_EFFECTS.get(str(entry.get("effect")), Effect.AT_MOST_ONCE),
        scope=_SCOPES.get(str(entry.get("group")), Scope.CELL),
        dedup_window=int(entry.get("keyTtl") or 0),
        worth=float(entry.get("worth") or 0.0),
        late_worth=float(entry.get("lateWorth") or 0.0),
    )


def _parse_server(entry: Mapping[str, Any]) -> Server:
    return Server(
        id=entry["host"],
        state=_STATES.get(entry.get("stageState") or "", State.DRAINING),
        zone=str(entry.get("regionPart") or ""),
        kind=str(entry.get("sku") or ""),
        cell=UNKNOWN_CELL if entry.get("group") is None else int(entry["group"]),
        weight=float(entry.get("rating") or 1.0),
        started_at=int(entry.get("readyAt") or 0),
    )


def parse_event(message: Message) -> Event | None:
    """Translate one event; None if the decision module does not use it."""
    verb = message["verb"]
    if verb == "order":
        return Request(
            message["corr"],
            message["grade"],
            message["expiresIn"],
            message.get("weightHint") or 0,
            message.get("routeKey"),
            bool(message.get("isRetry")),
            str(message.get("tenant") or ""),
        )
    if verb == "attemptEnd":
        return AttemptEnded(
            message["corr"],
            message["copy"],
            message["host"],
            _OUTCOMES.get(message["rc"], Outcome.UNKNOWN),
            message["duration"],
            bool(message.get("closed")),
            message.get("feedback"),
        )
    if verb == "wakeup":
        return TimerFired(message["ctx"])
    if verb == "probeResult":
        outcome = _OUTCOMES.get(message["rc"], Outcome.UNKNOWN)
        return ProbeEnded(message["host"], outcome, message["duration"], message.get("feedback"))
    if verb == "discovery":
        servers = tuple(_parse_server(entry) for entry in message.get("elements") or ())
        return ServerList(_UPDATES.get(message.get("how") or "", Update.CHANGES), servers)
    if verb == "expired":
        return RequestGone(message["corr"])
    if verb == "headers":
        return StreamStarted(message["corr"], message["copy"], message["host"], message["duration"])
    return None


def format_action(gateway: int, action: Action) -> Message:
    """Translate one action."""
    match action:
        case Send(request, server, expires):
            return {
                "verb": "dispatch",
                "gateway": gateway,
                "corr": request,
                "host": server,
                "notPast": expires,
            }
        case Cancel(request, attempt):
            return {"verb": "abortAttempt", "gateway": gateway, "corr": request, "copy": attempt}
        case Refuse(request, retry_after):
            return {"verb": "refuse", "gateway": gateway, "corr": request, "backoff": retry_after}
        case Fail(request):
            return {"verb": "giveUp", "gateway": gateway, "corr": request}
        case Probe(server):
            return {"verb": "inspect", "gateway": gateway, "host": server}
        case SetTimer(delay, token):
            return {"verb": "wakeMe", "gateway": gateway, "offset": delay, "ctx": token}
        case Subscribe():
            return {"verb": "follow", "gateway": gateway, "enable": True}
