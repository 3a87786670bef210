"""Measures the CPU time per request, compared with a minimal forwarder in the same run.

    python -m benchmarks.cost                     the whole table: bodies, hosts, idle clients
    python -m benchmarks.cost --quick             the first row only
    python -m benchmarks.cost --project FOLDER    the gateway of another checkout

The gateway is started as it was built last (deploy/build), or from its sources if it was not built or
COPPERLEAD_SOURCES=1 is set. Gateway and forwarder are measured in turn for several rounds, and the median is
printed: other load on the machine raises both.
"""

from __future__ import annotations

import argparse
import resource
import socket
import statistics
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from benchmarks.farm import ROOT, Testbed, cpu_seconds, memory_kib, run_testbed

CONNECTIONS = 16
SECONDS = 2.0


def _cpu_per_request(testbed: Testbed, process: str, post: int) -> float:
    """Return the microseconds of CPU per request; RuntimeError if more than one in a hundred failed."""
    pid, port = (
        testbed.pids[process],
        testbed.gateway_port if process == "gateway" else testbed.forwarder_port,
    )
    cpu_before = cpu_seconds(pid)
    served, failed = testbed.load(port, CONNECTIONS, SECONDS, post)
    if failed > served / 100:
        raise RuntimeError(f"{failed} of {served + failed} requests were not served")
    return (cpu_seconds(pid) - cpu_before) / (served + failed) * 1e6


@contextmanager
def _idle_clients(port: int, count: int) -> Iterator[None]:
    """Keep clients connected that send nothing; the gateway closes them after some seconds."""
    clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(count)]
    try:
        yield
    finally:
        for client in clients:
            client.close()


def measure(
    project: Path, rounds: int, hosts: int = 12, body: int = 2000, post: int = 0, idle: int = 0
) -> str:
    """Return a row of the table; `body` and `post` are the bytes of an answer's and a request's body."""
    sockets = 2 * idle + 1024
    with run_testbed(hosts=hosts, body=body, sockets=sockets, project=project) as testbed:
        testbed.load(testbed.gateway_port, CONNECTIONS, 1.0, post)
        memory = memory_kib(testbed.pids["gateway"])
        gateway_costs, forwarder_costs = [], []
        for _ in range(rounds):
            with _idle_clients(testbed.gateway_port, idle):
                gateway_costs.append(_cpu_per_request(testbed, "gateway", post))
            if not post:
                forwarder_costs.append(_cpu_per_request(testbed, "forwarder", 0))
    name = f"{hosts} hosts, answers of {body} bytes"
    name += f", purchases of {post} bytes" * bool(post) + f", {idle} idle clients" * bool(idle)
    row = (
        f"| {name} | {statistics.median(gateway_costs):.0f}"
        f" ({min(gateway_costs):.0f} to {max(gateway_costs):.0f}) |"
    )
    if forwarder_costs:
        ratios = [
            gateway_cost / forwarder_cost
            for gateway_cost, forwarder_cost in zip(gateway_costs, forwarder_costs, strict=True)
        ]
        row += f" {statistics.median(forwarder_costs):.0f} | {statistics.median(ratios):.2f} |"
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
    arguments = parser.parse_args()
    print("| load | gateway, µs per request | forwarder, µs | ratio | memory, MiB |\n" + "| --- " * 5 + "|")
    rows: list[dict[str, int]] = [{}]
    if not arguments.quick:
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        rows += [{"body": 200}, {"body": 60_000}, {"post": 2000}, {"hosts": 100}, {"hosts": 1000}]
        rows += [{"idle": 400}, {"idle": min(10_000, limit // 4)}]
    for row in rows:
        print(measure(arguments.project, arguments.rounds, **row), flush=True)


if __name__ == "__main__":
    main()
