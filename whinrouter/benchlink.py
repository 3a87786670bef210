"""Hosts balancers on the simulator's wire: batches in on standard input, replies out on standard output."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from typing import BinaryIO

import orjson

from whinrouter import wire
from whinrouter.balance import Balancer
from whinrouter.interface import Action


class MalformedError(Exception):
    """A line that is not of the wire."""


class Host:
    """The instances of one process."""

    def __init__(self) -> None:
        self._balancers: dict[int, Balancer] = {}
        self._broken: set[int] = set()

    def take(self, message: wire.Message, now: int) -> Iterable[wire.Message]:
        """Hand one event to its instance; return the actions as messages."""
        gateway = message["gateway"]
        if message["verb"] == "retire":
            self._balancers.pop(gateway, None)
            self._broken.discard(gateway)
            return ()
        if gateway in self._broken:
            return ()
        try:
            return [wire.action(gateway, action) for action in self._actions(gateway, message, now)]
        except Exception as error:
            self._broken.add(gateway)
            text = f"{type(error).__name__}: {error}"
            return ({"verb": "exception", "gateway": gateway, "msg": text},)

    def _actions(self, gateway: int, message: wire.Message, now: int) -> list[Action]:
        if message["verb"] == "configure":
            self._balancers[gateway] = Balancer(wire.settings(message["setup"]), message["seed"])
            return []
        event = wire.event(message)
        return [] if event is None else self._balancers[gateway].handle(event, now)


def _read(line: bytes) -> wire.Message:
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError:
        raise MalformedError("a line is not JSON") from None
    if not isinstance(message, dict) or not isinstance(message.get("verb"), str):
        raise MalformedError("a line is not an object with a verb")
    return message


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    for line in source:
        opening = _read(line)
        now, number = opening.get("clock"), opening.get("frame")
        if opening["verb"] != "frame" or not isinstance(now, int) or not isinstance(number, int):
            raise MalformedError("a batch must open with a frame that has a clock and a number")
        reply: list[wire.Message] = []
        for event in source:
            message = _read(event)
            if message["verb"] == "eob":
                break
            if not isinstance(message.get("gateway"), int):
                raise MalformedError(f"{message['verb']} names no gateway")
            reply.extend(host.take(message, now))
        else:
            raise MalformedError("the input ended inside a batch")
        reply.append({"verb": "ack", "frame": number})
        sink.write(b"".join(orjson.dumps(message, option=orjson.OPT_APPEND_NEWLINE) for message in reply))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedError as error:
        print(f"benchlink: malformed input: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
