"""The discovery agents, one for each gateway: each serves the list of hosts and records when it was sent."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import orjson

from benchmarks.soak.hosts import Host
from benchmarks.soak.ledger import DRAIN_GRACE_SECONDS, MAX_STALL_SECONDS, TIMER_SLACK_SECONDS, Ledger

HEARTBEAT_SECONDS = 2.0
SILENCE_TIMEOUT_SECONDS = 6.0  # after which a gateway counts as notified although its watch fell silent
STOP_SLACK_SECONDS = DRAIN_GRACE_SECONDS + TIMER_SLACK_SECONDS + MAX_STALL_SECONDS
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Registry:
    """All hosts with their phases, by revision; the agents of the gateways serve its contents."""

    def __init__(self, ledger: Ledger, now: Callable[[], float]) -> None:
        self.ledger, self.now = ledger, now
        self.revision = 1
        self.hosts: dict[str, tuple[Host, str]] = {}
        self.agents: list[Agent] = []
        self._up_since_ms: dict[tuple[str, float], int] = {}

    def set_phase(self, host: Host, phase: str) -> None:
        """Set a host's phase, and notify every gateway that has a watch open."""
        self.revision += 1
        self.hosts[host.name] = host, phase
        for agent in self.agents:
            agent.notify([host.name])

    def member(self, name: str, gateway: int) -> dict[str, Any]:
        """Return a host's entry in the list for one gateway."""
        host, phase = self.hosts[name]
        up_since_ms = round((time.time() - (self.now() - host.started_at)) * 1000) if host.started_at else 0
        return {
            "id": name,
            "host_port": f"127.0.0.1:{host.ports[gateway]}",
            "locality": host.zone,
            "flavor": "m2",
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": self.fixed_up_since_ms(name, up_since_ms),
        }

    def fixed_up_since_ms(self, name: str, up_since_ms: int) -> int:
        """Return the value that was first published for this start of the host, so that it never changes."""
        host, _ = self.hosts[name]
        return self._up_since_ms.setdefault((name, host.started_at), up_since_ms)


class Agent:
    """One gateway's agent, which may move from one address to another."""

    def __init__(self, registry: Registry, gateway: int) -> None:
        self._registry, self._gateway = registry, gateway
        self._watches: set[asyncio.StreamWriter] = set()
        self._older_watches: set[asyncio.StreamWriter] = set()  # accepted at a former address
        self._server: asyncio.Server | None = None
        self.port = 0
        self._silent_since: dict[asyncio.StreamWriter, float] = {}  # of watches that fell silent
        registry.agents.append(self)

    async def listen(self) -> None:
        """Listen at a new address, and close the listener of the former one."""
        if self._server is not None:
            self._server.close()
        self._older_watches = set(self._watches)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset(self) -> None:
        """Reset all watches."""
        for writer in list(self._watches):
            writer.transport.abort()

    def reset_older(self) -> None:
        """Reset the watches that were accepted at a former address."""
        for writer in self._older_watches & self._watches:
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening, and reset all watches."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one watch: the complete list, then changes and heartbeats."""
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(RESPONSE_HEAD)
            names = [name for name, (_, phase) in self._registry.hosts.items() if phase != "Gone"]
            writer.write(_chunk(self._encode_list(names, is_complete=True)))
            self._record_notified(list(self._registry.hosts), self._registry.now())
            self._watches.add(writer)
            while not writer.is_closing() and not reader.at_eof():
                await asyncio.sleep(HEARTBEAT_SECONDS)
                if writer not in self._silent_since and not writer.is_closing():
                    writer.write(_chunk(b"\n"))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self._watches.discard(writer)
            self._silent_since.pop(writer, None)
            writer.close()

    def _encode_list(self, names: list[str], is_complete: bool) -> bytes:
        members = [self._registry.member(name, self._gateway) for name in names]
        return (
            orjson.dumps({"revision": self._registry.revision, "complete": is_complete, "members": members})
            + b"\n"
        )

    def notify(self, names: list[str]) -> None:
        """Write the changed hosts to every watch that is not silent."""
        live = [writer for writer in self._watches if writer not in self._silent_since]
        for writer in live:
            writer.write(_chunk(self._encode_list(names, is_complete=False)))
        if live:
            self._record_notified(names, self._registry.now())
        elif self._silent_since:
            self._record_notified(
                names,
                max(self._registry.now(), max(self._silent_since.values()) + SILENCE_TIMEOUT_SECONDS),
            )

    def fall_silent(self) -> None:
        """Write nothing more to the present watches, not even heartbeats; a new watch is served."""
        for writer in self._watches:
            self._silent_since.setdefault(writer, self._registry.now())

    def _record_notified(self, names: list[str], notified_at: float) -> None:
        """Record that the gateway may begin no attempt at those of the hosts that are not ready."""
        registry, since = self._registry, notified_at + STOP_SLACK_SECONDS
        for name in names:
            host, phase = registry.hosts[name]
            if phase != "Ready":
                registry.ledger.forbid_attempts(self._gateway, name, host.started_at, since)
