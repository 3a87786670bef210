"""The calls that there are: a registry, to which whoever has something to be called adds it. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from whinrouter.control.session import BadCallError, Call, bad, good


class RefusedError(Exception):
    """The call is a good one, and can't be done now; the text says why."""


Act = Callable[..., str]


class Calls:
    """Names, the words that each takes, and what it does."""

    def __init__(self) -> None:
        self._acts: dict[str, tuple[tuple[str, ...], Act]] = {}

    def add(self, name: str, words: tuple[str, ...], act: Act) -> None:
        """`act` is called with the words and returns what the caller is told, or raises RefusedError."""
        self._acts[name] = words, act

    def answer(self, call: Call) -> bytes:
        """Do what is asked, and say how it went."""
        try:
            return good(self._do(call))
        except (BadCallError, RefusedError) as error:
            return bad(str(error))

    def _do(self, call: Call) -> str:
        if call.name not in self._acts:
            raise BadCallError(f"no such call; there are {', '.join(sorted(self._acts))}")
        words, act = self._acts[call.name]
        if len(words) != len(call.words):
            raise BadCallError(f"the call is {' '.join((call.name, *words))}")
        return act(*call.words)
