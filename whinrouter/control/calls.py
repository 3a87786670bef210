"""The registry of operators' calls. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from whinrouter.control.session import BadCallError, Call, error_answer, ok_answer


class CallRefusedError(Exception):
    """The call is valid but can't be carried out now; the text gives the reason."""


Operation = Callable[..., str]


class CallRegistry:
    """Call names, the arguments of each, and the functions that carry them out."""

    def __init__(self) -> None:
        self._operations: dict[str, tuple[tuple[str, ...], Operation]] = {}

    def add(self, name: str, argument_names: tuple[str, ...], operation: Operation) -> None:
        """Register a call.

        `operation`: is called with the call's arguments, and returns the answer's text or raises
        CallRefusedError.
        """
        self._operations[name] = argument_names, operation

    def answer(self, call: Call) -> bytes:
        """Carry out a call and return the answer's line; an invalid or refused call gives an error line."""
        try:
            return ok_answer(self._execute(call))
        except (BadCallError, CallRefusedError) as error:
            return error_answer(str(error))

    def _execute(self, call: Call) -> str:
        """Return the text of the answer; BadCallError if the name or the number of arguments is wrong."""
        if call.name not in self._operations:
            raise BadCallError(f"no such call; there are {', '.join(sorted(self._operations))}")
        argument_names, operation = self._operations[call.name]
        if len(argument_names) != len(call.arguments):
            raise BadCallError(f"the call is {' '.join((call.name, *argument_names))}")
        return operation(*call.arguments)
