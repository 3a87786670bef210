"""Builds the package; with WHINROUTER_COMPILE=1 what each request goes through is compiled (mypyc)."""

import os
from typing import Any

from setuptools import setup

# No coroutine among them: compiled ones crashed. They run at a connection's start and end.
COMPILED = (
    "whinrouter/balance.py",
    "whinrouter/breaker.py",
    "whinrouter/server_state.py",
    "whinrouter/interface.py",
    "whinrouter/invariants/events.py",
    "whinrouter/invariants/lifecycle.py",
    "whinrouter/overload_control.py",
    "whinrouter/shedding.py",
    "whinrouter/slowstart.py",
    "whinrouter/streaming/flow.py",
    "whinrouter/net/attempt.py",
    "whinrouter/net/priority_selector.py",
    "whinrouter/net/frontend.py",
    "whinrouter/net/gateway.py",
    "whinrouter/net/hosts.py",
    "whinrouter/net/http.py",
    "whinrouter/net/interpreter.py",
    "whinrouter/net/routes.py",
    "whinrouter/net/sockets.py",
    "whinrouter/net/upstream.py",
    "whinrouter/net/timer_wheel.py",
)


def extensions() -> list[Any]:
    if os.environ.get("WHINROUTER_COMPILE") != "1":
        return []
    from mypyc.build import mypycify  # noqa: PLC0415 - of the compiling build alone

    return mypycify(list(COMPILED), opt_level="3", debug_level="0")


setup(ext_modules=extensions())
