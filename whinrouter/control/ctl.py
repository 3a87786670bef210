"""`copperlead ctl`: an operator's call from a shell."""

from __future__ import annotations

import json
import socket
import sys

from whinrouter.control.session import MOST

DONE, REFUSED, UNREACHED = 0, 1, 2
PATIENCE = 5.0  # seconds for an answer that is owed in one
MOST_ANSWER = 8 * MOST  # bytes


def call(address: tuple[str, int], words: list[str]) -> tuple[bool, str]:
    """Whether the call was done, and what was said; OSError if nobody answers."""
    with socket.create_connection(address, PATIENCE) as connection:
        connection.sendall(" ".join(words).encode() + b"\n")
        answer = b""
        while data := connection.recv(MOST_ANSWER):
            answer += data
            if b"\n" in answer or len(answer) > MOST_ANSWER:
                break
    mark, _, text = answer.decode("ascii", "replace").strip().partition(" ")
    if mark not in ("+OK", "-ERR"):
        raise ConnectionError("what answers there takes no calls")
    return mark == "+OK", text


def main(address: tuple[str, int], words: list[str], as_json: bool) -> int:
    """Make a call, print what was said, and return an exit code."""
    call_words = [words[0].upper(), *words[1:]]
    try:
        done, text = call(address, call_words)
    except OSError as error:
        print(f"copperlead: {address[0]}:{address[1]}: {error}", file=sys.stderr)
        return UNREACHED
    if as_json:
        print(json.dumps({"call": call_words, "done": done, "said": text}))
    else:
        print(text or "done", file=sys.stdout if done else sys.stderr)
    return DONE if done else REFUSED
