"""Memory of a connection and of a request in work.

    python -m benchmarks.memory

The resident memory of the process with so many idle clients, and with a request of each in work at hosts that
keep silent, over what it had before.
"""

from __future__ import annotations

import socket
import time

from benchmarks.farm import farm, memory_kib, request_text

CLIENTS = 1000
ROUNDS = 3
SETTLED = 0.7  # seconds after which all has been read; clients that say nothing are closed after 2


def main() -> None:
    idle, held = [], []
    with farm(hosts=1000, delay=20.0, sockets=8 * CLIENTS) as here:
        pid = here.pids["gateway"]
        for round_ in range(ROUNDS):
            before = memory_kib(pid)
            clients = [socket.create_connection(("127.0.0.1", here.port)) for _ in range(CLIENTS)]
            time.sleep(SETTLED)
            connected = memory_kib(pid)
            for place, client in enumerate(clients):
                client.sendall(request_text(f"{round_}-{place}"))
            time.sleep(SETTLED)
            asked = memory_kib(pid)
            for client in clients:
                client.close()
            time.sleep(3.0)
            print(f"round {round_}: {before} KiB, with clients {connected}, with requests {asked}")
            idle.append((connected - before) / CLIENTS)
            held.append((asked - connected) / CLIENTS)
    # Memory that a first round has left free is used by the next: the first alone shows what is needed.
    print(f"an idle client: {idle[0]:.1f} KiB")
    print(f"a request in work, with a connection to a host: {held[0]:.1f} KiB more")


if __name__ == "__main__":
    main()
