"""Builds the package; WHINROUTER_COMPILE=1 compiles the modules that run for each request with mypyc."""

import os
from typing import Any

from setuptools import setup

# These modules define no coroutines, which crashed when compiled. Coroutines run only when a connection
# starts or ends, so that compiling them would gain little.
COMPILED = (
    "whinrouter/balance.py",
    "whinrouter/breaker.py",
    "whinrouter/server_state.py",
    "whinrouter/interface.py",
    "whinrouter/memory_budget.py",
    "whinrouter/invariants/events.py",
    "whinrouter/invariants/lifecycle.py",
    "whinrouter/overload_control.py",
    "whinrouter/shedding.py",
    "whinrouter/slowstart.py",
    "whinrouter/streaming/arrival.py",
    "whinrouter/streaming/flow.py",
    "whinrouter/net/attempt.py",
    "whinrouter/net/priority_selector.py",
    "whinrouter/net/frontend.py",
    "whinrouter/net/gateway.py",
    "whinrouter/net/hosts.py",
    "whinrouter/net/http.py",
    "whinrouter/net/http_messages.py",
    "whinrouter/net/interpreter.py",
    "whinrouter/net/request_classes.py",
    "whinrouter/net/route_history.py",
    "whinrouter/net/routes.py",
    "whinrouter/net/sockets.py",
    "whinrouter/net/upstream.py",
    "whinrouter/net/timer_wheel.py",
)


def extensions() -> list[Any]:
    """Return the extension modules to build: none unless WHINROUTER_COMPILE is 1."""
    if os.environ.get("WHINROUTER_COMPILE") != "1":
        return []
    from mypyc.build import mypycify  # noqa: PLC0415 - needed only for compilation

    return mypycify(list(COMPILED), opt_level="3", debug_level="0")


setup(ext_modules=extensions())
