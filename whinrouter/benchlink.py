"""Runs balancers for the simulator: reads batches from standard input, writes replies to standard output.

Each line is a JSON object. A batch opens with a `frame`, ends with `eob`, and is answered with the actions of
its events and an `ack`. An instance that raises an error is reported once and ignored until it is retired.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable
from typing import BinaryIO

import orjson

from whinrouter import wire
from whinrouter.balance import Balancer
from whinrouter.interface import Action


class MalformedInputError(Exception):
    """The input breaks the format of the simulator's messages."""


class BalancerInstances:
    """The balancers of one process, by their gateway numbers."""

    def __init__(self) -> None:
        self._balancers: dict[int, Balancer] = {}
        self._failed: set[int] = set()

    def handle(self, message: wire.Message, now: int) -> Iterable[wire.Message]:
        """Pass one event to its instance; return the actions as messages."""
        gateway = message["gateway"]
        if message["verb"] == "retire":
            self._balancers.pop(gateway, None)
            self._failed.discard(gateway)
            return ()
        if gateway in self._failed:
            return ()
        try:
            return [wire.format_action(gateway, action) for action in self._actions(gateway, message, now)]
        except Exception as error:
            self._failed.add(gateway)
            error_text = f"{type(error).__name__}: {error}"
            return ({"verb": "exception", "gateway": gateway, "msg": error_text},)

    def _actions(self, gateway: int, message: wire.Message, now: int) -> list[Action]:
        if message["verb"] == "configure":
            self._balancers[gateway] = Balancer(wire.parse_settings(message["setup"]), message["seed"])
            return []
        event = wire.parse_event(message)
        return [] if event is None else self._balancers[gateway].handle(event, now)


def _parse_line(line: bytes) -> wire.Message:
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError:
        raise MalformedInputError("a line is not JSON") from None
    if not isinstance(message, dict) or not isinstance(message.get("verb"), str):
        raise MalformedInputError("a line is not an object with a verb")
    return message


def serve(input_stream: BinaryIO, output_stream: BinaryIO) -> None:
    """Answer batches until the input ends; raises `MalformedInputError`."""
    instances = BalancerInstances()
    for line in input_stream:
        frame = _parse_line(line)
        now, frame_number = frame.get("clock"), frame.get("frame")
        if frame["verb"] != "frame" or not isinstance(now, int) or not isinstance(frame_number, int):
            raise MalformedInputError("a batch must open with a frame that has a clock and a number")
        reply: list[wire.Message] = []
        for event_line in input_stream:
            message = _parse_line(event_line)
            if message["verb"] == "eob":
                break
            if not isinstance(message.get("gateway"), int):
                raise MalformedInputError(f"{message['verb']} names no gateway")
            reply.extend(instances.handle(message, now))
        else:
            raise MalformedInputError("the input ended inside a batch")
        reply.append({"verb": "ack", "frame": frame_number})
        output_stream.write(
            b"".join(orjson.dumps(message, option=orjson.OPT_APPEND_NEWLINE) for message in reply)
        )
        output_stream.flush()


def main() -> int:
    """Serve standard input; returns 1 after malformed input, else 0."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedInputError as error:
        print(f"benchlink: malformed input: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
