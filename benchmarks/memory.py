"""Measures the memory of an idle connection and of a request in progress.

    python -m benchmarks.memory

Compares the resident memory of the gateway's process without clients, with idle clients, and with one request
of each client in progress at hosts that do not answer.
"""

from __future__ import annotations

import socket
import time

from benchmarks.farm import encode_request, memory_kib, run_testbed

CLIENT_COUNT = 1000
ROUNDS = 3
SETTLE_SECONDS = 0.7  # the gateway has read everything by then; it closes idle clients only after 2 s


def main() -> None:
    idle_kib, request_kib = [], []
    with run_testbed(hosts=1000, delay=20.0, sockets=8 * CLIENT_COUNT) as testbed:
        pid = testbed.pids["gateway"]
        for round_number in range(ROUNDS):
            before_kib = memory_kib(pid)
            clients = [
                socket.create_connection(("127.0.0.1", testbed.gateway_port)) for _ in range(CLIENT_COUNT)
            ]
            time.sleep(SETTLE_SECONDS)
            connected_kib = memory_kib(pid)
            for index, client in enumerate(clients):
                client.sendall(encode_request(f"{round_number}-{index}"))
            time.sleep(SETTLE_SECONDS)
            requested_kib = memory_kib(pid)
            for client in clients:
                client.close()
            time.sleep(3.0)
            print(
                f"round {round_number}: {before_kib} KiB, with clients {connected_kib}, "
                f"with requests {requested_kib}"
            )
            idle_kib.append((connected_kib - before_kib) / CLIENT_COUNT)
            request_kib.append((requested_kib - connected_kib) / CLIENT_COUNT)
    # Later rounds reuse memory that the first one has freed, so only the first shows what is needed.
    print(f"an idle client: {idle_kib[0]:.1f} KiB")
    print(f"a request in progress, with a connection to a host: {request_kib[0]:.1f} KiB more")


if __name__ == "__main__":
    main()
