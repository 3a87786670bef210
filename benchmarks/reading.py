"""Measures how long a slow reader's kernel acknowledges nothing, which `READER_TIMEOUT_SECONDS` must exceed.

    python -m benchmarks.reading            40 s: readers of 32 and 64 kB/s after a fast start of 0 to 30 MB
    python -m benchmarks.reading --quick    15 s, which finds no gap longer than that

Each reader reads the first part of an endless answer as fast as it arrives, so that its kernel gives it a
large receive buffer, and the rest at its rate, ten times a second. Prints the longest time in which no
further byte was acknowledged.
"""

from __future__ import annotations

import argparse
import contextlib
import socket
import threading
import time

from whinrouter.net.sockets import acknowledged_bytes
from whinrouter.streaming.flow import MIN_BODY_RATE

FAST_BYTES = (0, 1_000_000, 8_000_000, 30_000_000)
READ_INTERVAL_SECONDS = 0.1
POLL_INTERVAL_SECONDS = 0.05  # of the acknowledged bytes


class _Sender:
    """The writing end, with the part of a transport's interface that `acknowledged_bytes` uses."""

    def __init__(self, endpoint: socket.socket) -> None:
        self.endpoint = endpoint

    def get_extra_info(self, name: str) -> socket.socket:
        return self.endpoint


def _read(reader: socket.socket, fast_bytes: int, rate: float, until: float) -> None:
    received = 0
    while received < fast_bytes:
        received += len(reader.recv(65536))
    while time.monotonic() < until:
        reader.recv(int(rate * READ_INTERVAL_SECONDS))
        time.sleep(READ_INTERVAL_SECONDS)


def longest_gap(fast_bytes: int, rate: float, seconds: float) -> float:
    """Return the longest time in seconds in which no further byte was acknowledged."""
    until, data = time.monotonic() + seconds, bytes(65536)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        reader = socket.create_connection(listener.getsockname())
        sender = _Sender(listener.accept()[0])
    thread = threading.Thread(target=_read, args=(reader, fast_bytes, rate, until))
    thread.start()
    sender.endpoint.setblocking(False)
    acknowledged, changed_at, longest = -1, time.monotonic(), 0.0
    while (now := time.monotonic()) < until:
        with contextlib.suppress(BlockingIOError):
            while True:
                sender.endpoint.send(data)
        now_acknowledged = acknowledged_bytes(sender)  # type: ignore[arg-type]
        if now_acknowledged != acknowledged:
            acknowledged, changed_at = now_acknowledged, now
        longest = max(longest, now - changed_at)
        time.sleep(POLL_INTERVAL_SECONDS)
    thread.join()
    reader.close()
    sender.endpoint.close()
    return longest


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--quick", action="store_true")
    seconds = 15.0 if parser.parse_args().quick else 40.0
    gaps: dict[tuple[float, int], float] = {}

    def measure(rate: float, fast_bytes: int) -> None:
        gaps[rate, fast_bytes] = longest_gap(fast_bytes, rate, seconds)

    threads = [
        threading.Thread(target=measure, args=(rate, fast_bytes))
        for rate in (MIN_BODY_RATE, 2 * MIN_BODY_RATE)
        for fast_bytes in FAST_BYTES
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for (rate, fast_bytes), gap in sorted(gaps.items()):
        print(
            f"{rate / 1000:3.0f} kB/s after {fast_bytes / 1e6:4.0f} MB: "
            f"{gap:4.1f} s with nothing acknowledged"
        )


if __name__ == "__main__":
    main()
