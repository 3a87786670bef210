"""HTTP hosts with scripted faults.

    python -m standins.web CONTROL PORT...

Commands on the control port, one a line: `mode PORT serve|slow|silent|reset|fail|refuse`; `count PORT`
(requests that began, counted by id: `all N, twice N`); `down PORT`; `up PORT`.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter

import httptools

from standins import control

MODES = ("serve", "slow", "silent", "reset", "fail", "refuse")
SLOW_SECONDS = 0.5  # before a host in mode "slow" answers
MAX_IDS = 1_000_000  # request ids that a host counts; further ones are ignored

_RESPONSES = {
    "serve": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npage\n",
    "fail": b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
    "refuse": b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
}


class Host:
    """One host on one port of loopback; port 0 takes a free one."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.mode = "serve"
        self.request_counts: Counter[str] = Counter()  # by X-Request-Id
        self._server: asyncio.Server | None = None
        self.connections: set[_Connection] = set()

    async def start(self) -> None:
        """Listen, unless it does already."""
        if self._server is None:
            loop = asyncio.get_running_loop()
            self._server = await loop.create_server(lambda: _Connection(self), "127.0.0.1", self.port)
            self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset all connections at once."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.abort()

    def count_request(self, request_id: str) -> None:
        """Count a request that began, by its X-Request-Id."""
        if len(self.request_counts) < MAX_IDS or request_id in self.request_counts:
            self.request_counts[request_id] += 1


class _Connection(asyncio.Protocol):
    """A client's connection; answers each request according to the host's mode."""

    def __init__(self, host: Host) -> None:
        self._host = host
        self._parser = httptools.HttpRequestParser(self)
        self._request_id = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._host.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._host.connections.discard(self)

    def abort(self) -> None:
        """Reset the connection."""
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-request-id":
            self._request_id = value.decode("latin-1")

    def on_message_complete(self) -> None:
        mode = self._host.mode
        if mode != "refuse":
            self._host.count_request(self._request_id)
        if mode == "reset":
            self.abort()
        elif mode == "slow":
            asyncio.get_running_loop().call_later(SLOW_SECONDS, self._write, _RESPONSES["serve"])
        elif mode != "silent":
            self._write(_RESPONSES[mode])

    def _write(self, response: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(response)


class Fleet:
    """Hosts by port, and the commands of their control port."""

    def __init__(self, ports: list[int]) -> None:
        self.hosts = {port: Host(port) for port in ports}
        self._tasks: set[asyncio.Task[None]] = set()

    def run_command(self, words: list[str]) -> str:
        """Run one command and return its answer; ValueError if there is no such command or host."""
        match words:
            case ["mode", port, mode] if mode in MODES:
                self._host(port).mode = mode
            case ["count", port]:
                counts = self._host(port).request_counts
                return f"all {sum(counts.values())}, twice {sum(count > 1 for count in counts.values())}"
            case ["down", port]:
                self._host(port).stop()
            case ["up", port]:
                task = asyncio.get_running_loop().create_task(self._host(port).start())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            case _:
                raise ValueError("the commands are mode PORT MODE, count PORT, down PORT and up PORT")
        return "ok"

    def _host(self, port: str) -> Host:
        host = self.hosts.get(int(port)) if port.isdigit() else None
        if host is None:
            raise ValueError(f"there is no host {port}")
        return host


async def run(control_port: int, ports: list[int]) -> None:
    """Start the hosts and their control port, and serve until cancelled."""
    fleet = Fleet(ports)
    for host in fleet.hosts.values():
        await host.start()
    server = await control.serve(control_port, fleet.run_command)
    await server.serve_forever()


def main() -> None:
    if len(sys.argv) < 3 or not all(word.isdigit() for word in sys.argv[1:]):
        print(__doc__, file=sys.stderr)
        sys.exit(2)
    control_port, *ports = map(int, sys.argv[1:])
    asyncio.run(run(control_port, ports))


if __name__ == "__main__":
    main()
