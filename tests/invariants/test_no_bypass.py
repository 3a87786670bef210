"""Each act that a guard has to allow is done in one place: this searches the sources for other calls."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

NET = Path(__file__).parent.parent.parent / "whinrouter" / "net"


def _calls(file: str) -> Iterator[tuple[str, str]]:
    """Each call in a file: the name of the function around it, and the text of the call."""
    tree = ast.parse((NET / file).read_text())
    for function in ast.walk(tree):
        if isinstance(function, ast.FunctionDef | ast.AsyncFunctionDef):
            for node in ast.walk(function):
                if isinstance(node, ast.Call):
                    yield function.name, ast.unparse(node)


def _callers(file: str, prefix: str) -> set[str]:
    return {function for function, call in _calls(file) if call.startswith(prefix)}


@pytest.mark.parametrize(
    ("file", "call", "functions"),
    [
        ("upstream.py", "connection.send_attempt(", {"_begin_attempt"}),
        ("upstream.py", "attempt.may_begin(", {"_begin_attempt"}),
        ("upstream.py", "transport.write(attempt.encode(", {"send_attempt"}),
        ("gateway.py", "send_answer(", {"_deliver_answer"}),
        ("gateway.py", "pending.send_answer(", set()),
        ("gateway.py", "self.guards.may_answer(", {"_deliver_answer"}),
        ("gateway.py", "self.guards.may_send(", {"_check_start"}),
        ("gateway.py", "self._upstream.send(", {"_send_attempt"}),
        ("gateway.py", "_PendingRequest(", {"submit_request", "adopt_request"}),
        ("gateway.py", "self.guards.admit(", {"submit_request"}),
        ("gateway.py", "self.guards.adopt(", {"adopt_request"}),
        ("frontend.py", "close_now(self._transport", {"abort_connection", "_close_after_output"}),
        ("frontend.py", "reset(self._transport", {"abort_body"}),
        ("frontend.py", "transport.abort(", {"connection_made"}),
    ],
)
def test_guarded_calls_are_made_only_in_these_functions(file: str, call: str, functions: set[str]) -> None:
    assert _callers(file, call) == functions


def test_each_close_of_a_client_connection_asks_the_guard() -> None:
    closing = (
        "close_now(self._transport",
        "reset(self._transport",
        "self._transport.close(",
        "transport.abort(",
    )
    functions = set.union(*(_callers("frontend.py", call) for call in closing))
    assert functions <= _callers("frontend.py", "self._record_close(")
