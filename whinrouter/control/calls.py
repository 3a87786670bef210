"""The calls that there are: a registry, to which whoever has something to be called adds it. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from whinrouter.control.session import BadCallError, Call, error_answer, ok_answer


class CallRefusedError(Exception):
    """The call is a good one, and can't be done now; the text says why."""


Operation = Callable[..., str]


class CallRegistry:
    """Names, the words that each takes, and what it does."""

    def __init__(self) -> None:
        self._operations: dict[str, tuple[tuple[str, ...], Operation]] = {}

    def add(self, name: str, argument_names: tuple[str, ...], operation: Operation) -> None:
        """`act` is called with the words and returns what the caller is told, or raises RefusedError."""
        self._operations[name] = argument_names, operation

    def answer(self, call: Call) -> bytes:
        """Do what is asked, and say how it went."""
        try:
            return ok_answer(self._execute(call))
        except (BadCallError, CallRefusedError) as error:
            return error_answer(str(error))

    def _execute(self, call: Call) -> str:
        if call.name not in self._operations:
            raise BadCallError(f"no such call; there are {', '.join(sorted(self._operations))}")
        argument_names, operation = self._operations[call.name]
        if len(argument_names) != len(call.arguments):
            raise BadCallError(f"the call is {' '.join((call.name, *argument_names))}")
        return operation(*call.arguments)
