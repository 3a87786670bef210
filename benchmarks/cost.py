"""CPU that a request costs, beside a minimal forwarder in the same run.

    python -m benchmarks.cost                     the table: bodies, hosts, idle clients
    python -m benchmarks.cost --quick             the first row alone
    python -m benchmarks.cost --project FOLDER    the gateway of another checkout

The gateway is started as it was built last (deploy/build), or from its sources where it was not built or the
environment says COPPERLEAD_SOURCES=1. The two are measured in turn, some rounds each; the median
counts: other load on the machine raises both.
"""

from __future__ import annotations

import argparse
import resource
import socket
import statistics
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from benchmarks.farm import ROOT, Farm, cpu_seconds, farm, memory_kib

CONNECTIONS = 16
SECONDS = 2.0


def _per_request(here: Farm, who: str, post: int) -> float:
    pid, port = here.pids[who], here.port if who == "gateway" else here.forwarder
    before = cpu_seconds(pid)
    served, others = here.load(port, CONNECTIONS, SECONDS, post)
    if others > served / 100:
        raise RuntimeError(f"{others} of {served + others} requests were not served")
    return (cpu_seconds(pid) - before) / (served + others) * 1e6


@contextmanager
def _idle(port: int, count: int) -> Iterator[None]:
    """Clients that are connected and ask nothing; the gateway closes them after some seconds."""
    clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(count)]
    try:
        yield
    finally:
        for client in clients:
            client.close()


def measure(
    project: Path, rounds: int, hosts: int = 12, body: int = 2000, post: int = 0, idle: int = 0
) -> str:
    """One row of the table."""
    sockets = 2 * idle + 1024
    with farm(hosts=hosts, body=body, sockets=sockets, project=project) as here:
        here.load(here.port, CONNECTIONS, 1.0, post)
        memory = memory_kib(here.pids["gateway"])
        ours, plain = [], []
        for _ in range(rounds):
            with _idle(here.port, idle):
                ours.append(_per_request(here, "gateway", post))
            if not post:
                plain.append(_per_request(here, "forwarder", 0))
    name = f"{hosts} hosts, answers of {body} bytes"
    name += f", purchases of {post} bytes" * bool(post) + f", {idle} idle clients" * bool(idle)
    row = f"| {name} | {statistics.median(ours):.0f} ({min(ours):.0f} to {max(ours):.0f}) |"
    if plain:
        ratios = [a / b for a, b in zip(ours, plain, strict=True)]
        row += f" {statistics.median(plain):.0f} | {statistics.median(ratios):.2f} |"
    else:
        row += " | |"
    return row + f" {memory / 1024:.0f} |"


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--project", type=Path, default=ROOT)
    parser.add_argument("--rounds", type=int, default=5)
    told = parser.parse_args()
    print("| what | gateway, µs a request | forwarder, µs | ratio | memory, MiB |\n" + "| --- " * 5 + "|")
    rows: list[dict[str, int]] = [{}]
    if not told.quick:
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        rows += [{"body": 200}, {"body": 60_000}, {"post": 2000}, {"hosts": 100}, {"hosts": 1000}]
        rows += [{"idle": 400}, {"idle": min(10_000, limit // 4)}]
    for row in rows:
        print(measure(told.project, told.rounds, **row), flush=True)


if __name__ == "__main__":
    main()
