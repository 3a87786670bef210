"""`copperlead ctl`: an operator's call from a shell."""

from __future__ import annotations

import json
import socket
import sys

from whinrouter.control.session import MAX_LINE_BYTES

EXIT_DONE, EXIT_REFUSED, EXIT_UNREACHABLE = 0, 1, 2
ANSWER_TIMEOUT_SECONDS = 5.0  # a gateway has to answer within one second
MAX_ANSWER_BYTES = 8 * MAX_LINE_BYTES


def call(address: tuple[str, int], arguments: list[str]) -> tuple[bool, str]:
    """Return whether the call was carried out, and the answer's text; OSError if there is no valid answer."""
    with socket.create_connection(address, ANSWER_TIMEOUT_SECONDS) as connection:
        connection.sendall(" ".join(arguments).encode() + b"\n")
        answer = b""
        while data := connection.recv(MAX_ANSWER_BYTES):
            answer += data
            if b"\n" in answer or len(answer) > MAX_ANSWER_BYTES:
                break
    status, _, text = answer.decode("ascii", "replace").strip().partition(" ")
    if status not in ("+OK", "-ERR"):
        raise ConnectionError("the server at this address does not answer operators' calls")
    return status == "+OK", text


def main(address: tuple[str, int], arguments: list[str], as_json: bool) -> int:
    """Make a call, print the answer, and return the exit code."""
    call_arguments = [arguments[0].upper(), *arguments[1:]]
    try:
        is_done, text = call(address, call_arguments)
    except OSError as error:
        print(f"copperlead: {address[0]}:{address[1]}: {error}", file=sys.stderr)
        return EXIT_UNREACHABLE
    if as_json:
        print(json.dumps({"call": call_arguments, "done": is_done, "said": text}))
    else:
        print(text or "done", file=sys.stdout if is_done else sys.stderr)
    return EXIT_DONE if is_done else EXIT_REFUSED
