"""For how long a system shows nothing of what a slow reader reads; `TAKES` in streaming/flow.py rests on it.

    python -m benchmarks.reading            40 s: readers of 32 and 64 kB/s behind a fast start of 0 to 30 MB
    python -m benchmarks.reading --quick    15 s, which finds no gap longer than that

Each reader takes some of an endless answer as fast as it comes, so that its system gives it a large buffer,
and the rest at its rate, ten times a second. Shown is the longest time without a byte more acknowledged.
"""

from __future__ import annotations

import argparse
import contextlib
import socket
import threading
import time

from whinrouter.net.sockets import acknowledged_bytes
from whinrouter.streaming.flow import MIN_BODY_RATE

STARTS = (0, 1_000_000, 8_000_000, 30_000_000)
PART = 0.1  # seconds between two reads
LOOK = 0.05  # and between two looks at what is acknowledged


class _Sender:
    """The end that writes, in the form in which the gateway looks at it."""

    def __init__(self, endpoint: socket.socket) -> None:
        self.endpoint = endpoint

    def get_extra_info(self, name: str) -> socket.socket:
        return self.endpoint


def _read(reader: socket.socket, fast: int, rate: float, until: float) -> None:
    taken = 0
    while taken < fast:
        taken += len(reader.recv(65536))
    while time.monotonic() < until:
        reader.recv(int(rate * PART))
        time.sleep(PART)


def longest(fast: int, rate: float, seconds: float) -> float:
    """Seconds in which such a reader showed nothing."""
    until, data = time.monotonic() + seconds, bytes(65536)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        reader = socket.create_connection(listener.getsockname())
        sender = _Sender(listener.accept()[0])
    thread = threading.Thread(target=_read, args=(reader, fast, rate, until))
    thread.start()
    sender.endpoint.setblocking(False)
    shown, since, gap = -1, time.monotonic(), 0.0
    while (now := time.monotonic()) < until:
        with contextlib.suppress(BlockingIOError):
            while True:
                sender.endpoint.send(data)
        told = acknowledged_bytes(sender)  # type: ignore[arg-type]
        if told != shown:
            shown, since = told, now
        gap = max(gap, now - since)
        time.sleep(LOOK)
    thread.join()
    reader.close()
    sender.endpoint.close()
    return gap


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--quick", action="store_true")
    seconds = 15.0 if parser.parse_args().quick else 40.0
    found: dict[tuple[float, int], float] = {}

    def play(rate: float, fast: int) -> None:
        found[rate, fast] = longest(fast, rate, seconds)

    threads = [
        threading.Thread(target=play, args=(rate, fast))
        for rate in (MIN_BODY_RATE, 2 * MIN_BODY_RATE)
        for fast in STARTS
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for (rate, fast), gap in sorted(found.items()):
        print(f"{rate / 1000:3.0f} kB/s behind {fast / 1e6:4.0f} MB: {gap:4.1f} s with nothing acknowledged")


if __name__ == "__main__":
    main()
