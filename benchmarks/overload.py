"""Measures goodput over offered load, from half of the gateway's capacity to eight times that.

    python -m benchmarks.overload [--project FOLDER] [--plot FILE.svg]

Clients send in an open loop: at random times, whatever the result of earlier requests, on an idle connection
or on a new one, up to a number of connections. Each client leaves at its deadline. The gateway shares its
core with processes that do nothing but compute, as on a crowded machine, so that the clients' cores can offer
many times its capacity. The capacity is measured first, in a closed loop under the same conditions.

With `--returning told` a refused client sends its request again after the time in Retry-After, with `at-once`
immediately; its deadline counts from the first time.

Good: answered within the class's aim. Late: answered after the aim. Refused and failed: by the gateway's
status. Returned: sent again after a refusal. Left: no answer before the client's deadline. Lost: the
connection ended without a whole answer. None: the client had no connection left to send on.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import statistics
import subprocess
import sys
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

from benchmarks.farm import PERMISSIONS, ROOT, Testbed, cpu_seconds, encode_request, run_testbed

LOAD_FACTORS = (0.5, 0.75, 1.0, 1.5, 2.0, 4.0, 8.0)
COMPETITOR_COUNT = 3  # processes on the gateway's core, which leave it a quarter of it
LOADER_COUNT = 4
MAX_CONNECTIONS = 440  # of all loaders together; the gateway allows 496
MEASURE_SECONDS, WARM_UP_SECONDS = 4.0, 1.0
AIM_SECONDS, DEADLINE_SECONDS = 0.4, 1.5
HOST_DELAY_SECONDS = 0.005


class _Client(asyncio.Protocol):
    """One connection of a client, with one request at a time."""

    def __init__(self, pool: _ClientPool) -> None:
        self._pool = pool
        self._received = b""
        self._first_sent_at = 0.0
        self._deadline_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def send(self, request_bytes: bytes, first_sent_at: float) -> None:
        """Send a request whose deadline counts from `first_sent_at`."""
        self._first_sent_at, self._received, self._request_bytes = first_sent_at, b"", request_bytes
        self._deadline_timer = self._pool.loop.call_at(first_sent_at + DEADLINE_SECONDS, self._give_up)
        self._transport.write(request_bytes)

    def data_received(self, data: bytes) -> None:
        self._received += data
        end = self._received.find(b"\r\n\r\n")
        if end < 0 or self._deadline_timer is None:
            return
        head = self._received[:end].lower()
        length = int(head.split(b"content-length:")[1].split(b"\r\n")[0])
        if len(self._received) < end + 4 + length:
            return
        self._deadline_timer.cancel()
        self._deadline_timer = None
        self._pool.record_answer(
            int(head[9:12]), self._first_sent_at, self._request_bytes, _retry_after(head)
        )
        if b"connection: close" in head:
            self._transport.abort()
        else:
            self._pool.idle.append(self)

    def _give_up(self) -> None:
        self._deadline_timer = None
        self._pool.counts["left"] += 1
        self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._pool.open_connections -= 1
        if self in self._pool.idle:
            self._pool.idle.remove(self)
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
            self._pool.counts["lost"] += 1


def _retry_after(head: bytes) -> float | None:
    """Return the seconds in the answer's Retry-After; None if it has none."""
    _, separator, rest = head.partition(b"\r\nretry-after: ")
    return float(rest.split(b"\r\n")[0]) if separator else None


class _ClientPool:
    """The clients of one loader process, and the results of their requests."""

    def __init__(self, port: int, rate: float, returning: str, max_connections: int) -> None:
        self._max_connections = max_connections
        self._returning = returning
        self.loop = asyncio.get_running_loop()
        self.idle: list[_Client] = []
        self.open_connections = 0
        self.counts: Counter[str] = Counter()
        self.answer_times: list[float] = []
        self._port, self._rate = port, rate
        self._random = random.Random(os.getpid())
        self._request_count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def record_answer(
        self, status: int, first_sent_at: float, request_bytes: bytes, retry_after: float | None
    ) -> None:
        """Count an answer; send a refused request again if `--returning` says so and its deadline permits."""
        now = self.loop.time()
        if status == 200:
            self.counts["good" if now - first_sent_at <= AIM_SECONDS else "late"] += 1
            self.answer_times.append(now - first_sent_at)
            return
        self.counts["refused" if status in (429, 503) else "failed"] += 1
        delay = {"never": None, "at-once": 0.0, "told": retry_after}[self._returning]
        if status == 503 and delay is not None and now + delay < first_sent_at + DEADLINE_SECONDS:
            self.counts["returned"] += 1
            self.loop.call_later(delay, self._send, request_bytes, first_sent_at)

    async def run(self, seconds: float) -> None:
        """Offer requests at random times until the end of the measurement; the warm-up is not counted."""
        started_at = due = self.loop.time()
        is_warm = False
        while due < started_at + WARM_UP_SECONDS + seconds:
            due += self._random.expovariate(self._rate)
            if not is_warm and due > started_at + WARM_UP_SECONDS:
                is_warm = True
                self.counts.clear()
                self.answer_times.clear()
            await asyncio.sleep(max(0.0, due - self.loop.time()))
            self._offer_request()
        await asyncio.sleep(DEADLINE_SECONDS)

    def _offer_request(self) -> None:
        self._request_count += 1
        self.counts["offered"] += 1
        self._send(encode_request(f"{os.getpid()}-{self._request_count}"), self.loop.time())

    def _send(self, request_bytes: bytes, first_sent_at: float) -> None:
        """Send a request on an idle connection or a new one; count it as `none` if there may be no more."""
        if self.idle:
            self.idle.pop().send(request_bytes, first_sent_at)
        elif self.open_connections < self._max_connections:
            self.open_connections += 1
            task = self.loop.create_task(self._connect(request_bytes, first_sent_at))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            self.counts["none"] += 1

    async def _connect(self, request_bytes: bytes, first_sent_at: float) -> None:
        try:
            async with asyncio.timeout(DEADLINE_SECONDS):
                _, client = await self.loop.create_connection(lambda: _Client(self), "127.0.0.1", self._port)
        except (OSError, TimeoutError):
            self.open_connections -= 1
            self.counts["left"] += 1
            return
        client.send(request_bytes, first_sent_at)


async def _run_loader(port: int, rate: float, seconds: float, returning: str, max_connections: int) -> None:
    """Run the clients of one loader process, and print their counts and answer times as JSON."""
    pool = _ClientPool(port, rate, returning, max_connections)
    await pool.run(seconds)
    print(json.dumps({**pool.counts, "times": pool.answer_times}))


@contextmanager
def _share_core(pid: int) -> Iterator[None]:
    """Pin a process to one core together with busy competitors.

    This process and the children that it starts meanwhile are kept off that core and the next one: the two
    may be hardware threads of one physical core, where work on the second slows down the first.
    """
    affinity_before = os.sched_getaffinity(0)
    core, _, *other_cores = sorted(affinity_before, reverse=True)
    os.sched_setaffinity(pid, {core})
    command = ["taskset", "-c", str(core), sys.executable, "-c", "while True: pass"]
    competitors = [subprocess.Popen(command) for _ in range(COMPETITOR_COUNT)]
    os.sched_setaffinity(0, set(other_cores))
    try:
        yield
    finally:
        os.sched_setaffinity(0, affinity_before)
        for competitor in competitors:
            competitor.kill()
            competitor.wait()


def offer_load(
    testbed: Testbed, rate: float, returning: str, connections: int, seconds: float = MEASURE_SECONDS
) -> tuple[Counter[str], list[float], float]:
    """Offer `rate` requests per second; return the counts, the answers' times and the CPU seconds used."""
    command = [
        sys.executable,
        "-m",
        "benchmarks.overload",
        "--load",
        str(testbed.gateway_port),
        str(rate / LOADER_COUNT),
    ]
    command += [str(seconds), returning, str(connections // LOADER_COUNT)]
    cpu_before = cpu_seconds(testbed.pids["gateway"])
    loaders = [subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE) for _ in range(LOADER_COUNT)]
    counts: Counter[str] = Counter()
    times: list[float] = []
    for loader in loaders:
        result = json.loads(loader.communicate()[0])
        times += result.pop("times")
        counts.update(result)
    # The CPU time used in the warm-up is assumed to be in proportion to its length.
    cpu_used = (cpu_seconds(testbed.pids["gateway"]) - cpu_before) * seconds / (seconds + WARM_UP_SECONDS)
    return counts, times, cpu_used


OUTCOMES = ("good", "late", "refused", "returned", "failed", "left", "lost", "none")


class Point(NamedTuple):
    """The results at one load; rates are per second."""

    offered: float
    rates: tuple[float, ...]  # in the order of OUTCOMES
    median_seconds: float  # median time of an answer
    p99_seconds: float  # 99th percentile
    per_cpu: float  # good answers per second of CPU


def _measure_point(testbed: Testbed, rate: float, returning: str, connections: int) -> Point:
    """Measure one load for one round."""
    counts, times, cpu_used = offer_load(testbed, rate, returning, connections)
    times.sort()
    median_seconds, p99_seconds = (
        (times[int(quantile * len(times))] for quantile in (0.5, 0.99)) if times else (0.0, 0.0)
    )
    rates = tuple(counts[outcome] / MEASURE_SECONDS for outcome in OUTCOMES)
    return Point(
        counts["offered"] / MEASURE_SECONDS,
        rates,
        median_seconds,
        p99_seconds,
        counts["good"] / max(cpu_used, 0.01),
    )


def _median_point(points: list[Point]) -> Point:
    """Return the round with the median goodput; a mean would combine results that no round had together."""
    return sorted(points, key=lambda point: point.rates[0])[len(points) // 2]


def measure(project: Path, rounds: int, returning: str, connections: int) -> list[tuple[float, float]]:
    """Print a row for each load; return pairs of offered load and goodput, both per second.

    All loads are measured in turn in each round: a machine whose speed varies would otherwise favour some of
    them.
    """
    points_by_factor: dict[float, list[Point]] = {factor: [] for factor in LOAD_FACTORS}
    permissions = {**PERMISSIONS, "retryAfter": returning == "told"}
    settings: dict[str, object] = {"permissions": permissions}
    with (
        run_testbed(delay=HOST_DELAY_SECONDS, project=project, settings=settings) as testbed,
        _share_core(testbed.pids["gateway"]),
    ):
        testbed.load(testbed.gateway_port, 64, 1.0)
        served = [testbed.load(testbed.gateway_port, 64, 2.0)[0] / 2.0 for _ in range(3)]
        capacity = statistics.median(served)
        print(f"Capacity: {capacity:.0f} requests per second ({min(served):.0f} to {max(served):.0f}).\n")
        for _ in range(rounds):
            for factor in LOAD_FACTORS:
                points_by_factor[factor].append(
                    _measure_point(testbed, factor * capacity, returning, connections)
                )
    headings = " | ".join(f"{outcome} /s" for outcome in OUTCOMES)
    print(f"| load / capacity | offered /s | {headings} | p50, p99 of answers | good per CPU second |")
    print("| --- " * (len(OUTCOMES) + 4) + "|")
    points = []
    for factor, points_measured in points_by_factor.items():
        point = _median_point(points_measured)
        row = " | ".join(f"{rate:.0f}" for rate in point.rates)
        times = f"{point.median_seconds * 1000:.0f}, {point.p99_seconds * 1000:.0f} ms"
        print(
            f"| {factor} | {point.offered:.0f} | {row} | {times} | {point.per_cpu:.0f} |",
            flush=True,
        )
        points.append((point.offered, point.rates[0]))
    peak = max(good for _, good in points)
    print(f"\nLowest goodput past the peak, as a share of the peak: {_lowest_past_peak(points) / peak:.2f}")
    return points


def _lowest_past_peak(points: list[tuple[float, float]]) -> float:
    """Return the lowest goodput at the load of the peak or above it."""
    peak_index = max(range(len(points)), key=lambda index: points[index][1])
    return min(good for _, good in points[peak_index:])


def plot(curves: dict[str, list[tuple[float, float]]], path: Path) -> None:
    """Write goodput over offered load as an SVG file, one curve for each name."""
    width, height, left, bottom = 640, 400, 70, 350
    max_x = max(x for points in curves.values() for x, _ in points)
    max_y = max(y for points in curves.values() for _, y in points)
    elements = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" font-family="sans-serif">'
    ]
    elements.append(f'<rect width="{width}" height="{height}" fill="white"/>')
    elements.append(f'<path d="M{left} 20V{bottom}H{width - 20}" stroke="black" fill="none"/>')
    elements.append(f'<text x="{width / 2}" y="390" text-anchor="middle">offered, requests per second</text>')
    elements.append(f'<text x="{left}" y="14" font-size="13">answered within the aim, per second</text>')
    for fraction in (0.25, 0.5, 0.75, 1.0):
        x, y = left + fraction * (width - 100), bottom - fraction * 310
        elements.append(
            f'<text x="{x:.0f}" y="368" text-anchor="middle" font-size="12">{max_x * fraction:.0f}</text>'
        )
        elements.append(
            f'<text x="{left - 6}" y="{y:.0f}" text-anchor="end" font-size="12">{max_y * fraction:.0f}</text>'
        )
    for index, (name, points) in enumerate(curves.items()):
        colour = ("#b03030", "#3050b0", "#308040")[index % 3]
        coordinates = " ".join(
            f"{left + x / max_x * (width - 100):.0f},{bottom - y / max_y * 310:.0f}" for x, y in points
        )
        elements.append(f'<polyline points="{coordinates}" stroke="{colour}" stroke-width="2" fill="none"/>')
        elements.append(f'<text x="{width - 200}" y="{200 + 20 * index}" fill="{colour}">{name}</text>')
    path.write_text("\n".join([*elements, "</svg>", ""]))


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--project", type=Path, default=ROOT)
    parser.add_argument("--before", type=Path, help="another checkout, which is measured first")
    parser.add_argument("--plot", type=Path)
    parser.add_argument("--returning", choices=("never", "at-once", "told"), default="never")
    parser.add_argument("--connections", type=int, default=MAX_CONNECTIONS)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--load", nargs=5, help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.load:
        port, rate, seconds, returning, max_connections = arguments.load
        asyncio.run(_run_loader(int(port), float(rate), float(seconds), returning, int(max_connections)))
        return
    curves = {}
    if arguments.before:
        print("Before\n")
        curves["before"] = measure(
            arguments.before, arguments.rounds, arguments.returning, arguments.connections
        )
        print("\nAfter\n")
    curves["after"] = measure(arguments.project, arguments.rounds, arguments.returning, arguments.connections)
    if arguments.plot:
        plot(curves, arguments.plot)


if __name__ == "__main__":
    main()
