"""There is one way to send, to answer and to close, and it leads past a guard: the sources are searched."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

NET = Path(__file__).parent.parent.parent / "whinrouter" / "net"


def _calls(file: str) -> Iterator[tuple[str, str]]:
    """Each call in a file: the function that it stands in, and its text."""
    tree = ast.parse((NET / file).read_text())
    for function in ast.walk(tree):
        if isinstance(function, ast.FunctionDef | ast.AsyncFunctionDef):
            for node in ast.walk(function):
                if isinstance(node, ast.Call):
                    yield function.name, ast.unparse(node)


def _within(file: str, beginning: str) -> set[str]:
    return {function for function, call in _calls(file) if call.startswith(beginning)}


@pytest.mark.parametrize(
    ("file", "call", "places"),
    [
        ("upstream.py", "connection.carry(", {"_begin"}),
        ("upstream.py", "attempt.may_begin(", {"_begin"}),
        ("upstream.py", "transport.write(attempt.text(", {"carry"}),
        ("gateway.py", "reply(", {"_give"}),
        ("gateway.py", "held.reply(", set()),
        ("gateway.py", "self.guards.may_answer(", {"_give"}),
        ("gateway.py", "self.guards.may_send(", {"_may_begin"}),
        ("gateway.py", "self._upstream.send(", {"_send"}),
        ("gateway.py", "_Held(", {"take", "adopt"}),
        ("gateway.py", "self.guards.start(", {"take"}),
        ("gateway.py", "self.guards.adopt(", {"adopt"}),
        ("frontend.py", "end(self._transport", {"drop", "_part"}),
        ("frontend.py", "reset(self._transport", {"cut"}),
        ("frontend.py", "transport.abort(", {"connection_made"}),
    ],
)
def test_there_is_no_other_way(file: str, call: str, places: set[str]) -> None:
    assert _within(file, call) == places


def test_whoever_closes_a_client_has_the_guard_look_first() -> None:
    closing = ("end(self._transport", "reset(self._transport", "self._transport.close(", "transport.abort(")
    places = set.union(*(_within("frontend.py", call) for call in closing))
    assert places <= _within("frontend.py", "self._note_close(")
