"""What the cases of the second review share: the gateway as a process, and small stand-ins for all around it.

Discovery, hosts and clients are stand-ins in the process of the case, on free ports of loopback. The
gateway is started with the `run` command of the deploy file. Only the standard library is used. Each
case writes what was sent, answered and run to `record.txt` in its folder, and exits with 1 if the rule
was broken, 0 if it held and 2 if the case couldn't run.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
MICROSECONDS = 1_000_000
START_SECONDS = 30.0  # within which a gateway has to be ready
HEARTBEAT_SECONDS = 2.0  # interval of discovery's empty lines
LIMIT_SECONDS = 110.0  # of a whole case
MAX_LINE_BYTES = 64 * 1024
LISTENER_DESCRIPTOR = 7  # of the clients' listening socket, where the platform holds it
YES_SECONDS = 6.0  # within which a new process's yes is due in an upgrade
RULE_BROKEN, RULE_HELD, COULD_NOT_RUN = 1, 0, 2
END_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)  # that end a script from outside
# Ends what a script has started if the script is killed and can't do so itself. It holds the processes by
# descriptors (pidfd_open(2)), which never refer to others.
_WATCHDOG = """
import os, signal, sys
started = []
for line in sys.stdin:
    if line == "ended\\n":
        sys.exit()
    started.append(os.pidfd_open(int(line)))
for process in started:
    try:
        signal.pidfd_send_signal(process, signal.SIGKILL)
    except ProcessLookupError:
        pass
"""


class CannotRunError(Exception):
    """The case could not be played; nothing was learnt about the rule."""


def request_class(
    name: str, effect: str, give_up_seconds: float, group: str = "all", key_seconds: float = 5.0
) -> dict[str, Any]:
    """Return one class of the settings; times in seconds."""
    return {
        "name": name,
        "effect": effect,
        "giveUp": round(give_up_seconds * MICROSECONDS),
        "onTime": round(min(0.4, give_up_seconds) * MICROSECONDS),
        "group": group,
        "keyTtl": round(key_seconds * MICROSECONDS),
        "lateWorth": 0.5,
        "stream": False,
        "worth": 3.0,
    }


def settings(classes: list[dict[str, Any]], **permissions: Any) -> dict[str, Any]:
    """Return settings of a small deployment: two gateways, figures as in the example of the wire's page."""
    return {
        "balancers": 2,
        "classes": classes,
        "clientHabits": {"marksRetry": True},
        "family": "proxy",
        "familyInfo": {"warmKeys": False},
        "fees": {"connection": 0.05, "crossZone": 0.0, "handshake": 0.05, "probe": 0.01, "waste": 0.04},
        "goal": {"whole": 0.55, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.35},
        "invariants": {
            "answerSlack": 20_000,
            "askEvery": 10 * MICROSECONDS,
            "coldFrom": 0.13,
            "fall": 2 * MICROSECONDS,
            "fallMultiple": 4.0,
            "rampTime": 24 * MICROSECONDS,
            "stopSendingWithin": 500_000,
        },
        "kinds": ["mid-4"],
        "layers": ["page-servers"],
        "locality": "a",
        "overShareWorth": 0.1,
        "permissions": {
            "cancelling": True,
            "connIdle": 60 * MICROSECONDS,
            "dialTimeout": 200_000,
            "maxAttempts": 5,
            "mayDuplicate": True,
            "mostHeld": 20_000,
            "probes": False,
            "retryAfter": False,
            **permissions,
        },
        "rank": 0,
        "realms": [],
        "registryMode": "automatic",
        "report": {"fields": [], "how": "silent"},
        "stage": 0,
        "tick": 5_000,
        "weightSource": "silent",
        "worthBy": "request",
        "zones": ["a"],
    }


def free_port() -> int:
    """Return a port of loopback that is free at present."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@dataclass
class Request:
    """A request as a stand-in host gets it; header names in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The X-Request-Id."""
        return self.headers.get("x-request-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of a message and its headers; IncompleteReadError at the connection's end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body that has a length or is chunked."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer(status: int, body: bytes = b"", *lines: str) -> bytes:
    """Return an answer with a length; `lines`: further header lines."""
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *lines]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


Handler = Callable[["Host", Request, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class Host:
    """A stand-in host on a port of its own. `serve` answers one request; it may write, wait or break off."""

    name: str
    serve: Handler
    port: int = 0
    requests: list[Request] = field(default_factory=list)  # whole requests, in the order of their last bytes
    started_ms: int = 0
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._connected, "127.0.0.1", self.port, limit=MAX_LINE_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def member(self, phase: str = "Ready", cell: int = 0) -> dict[str, Any]:
        """Return the host's entry in discovery's list."""
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": "a",
            "flavor": "mid-4",
            "cell": cell,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": self.started_ms,
        }

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while not writer.is_closing():
                first, headers = await read_head(reader)
                method, path, _ = first.split(" ")
                request = Request(method, path, headers, await read_body(reader, headers))
                self.requests.append(request)
                await self.serve(self, request, writer)
                await writer.drain()
        writer.close()


@dataclass
class Discovery:
    """The agent that pushes lists: it answers a watch at once and sends an empty line every 2 s."""

    members: dict[str, dict[str, Any]] = field(default_factory=dict)  # by id
    revision: int = 1
    port: int = 0
    _watches: set[asyncio.StreamWriter] = field(default_factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def tell(self, entry: dict[str, Any]) -> None:
        """Change one entry and write it to all watches."""
        self.revision += 1
        self.members[entry["id"]] = entry
        if entry["phase"] == "Gone":
            del self.members[entry["id"]]
        for writer in list(self._watches):
            _write_chunk(writer, {"revision": self.revision, "complete": False, "members": [entry]})

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            members = list(self.members.values())
            _write_chunk(writer, {"revision": self.revision, "complete": True, "members": members})
            self._watches.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(HEARTBEAT_SECONDS)
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
        self._watches.discard(writer)
        writer.close()


def _write_chunk(writer: asyncio.StreamWriter, document: dict[str, Any]) -> None:
    line = json.dumps(document).encode() + b"\n"
    writer.write(b"%x\r\n%b\r\n" % (len(line), line))


class Case:
    """One play of a case: its processes, its temporary folder and its record."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.directory = Path(self.temporary.name)
        self.processes: list[subprocess.Popen[bytes]] = []
        self.began = time.monotonic()
        self.lines: list[str] = []
        self.broken = False
        self.discovery = Discovery()
        self.listen_port = free_port()
        self._listener: socket.socket | None = None
        self._watchdog = subprocess.Popen(
            [sys.executable, "-c", _WATCHDOG], stdin=subprocess.PIPE, start_new_session=True
        )
        reserved = os.open(os.devnull, os.O_RDONLY)  # so that no stand-in's socket gets this number
        os.dup2(reserved, LISTENER_DESCRIPTOR, inheritable=False)

    def note(self, text: str) -> None:
        """Add a line with the time since the start to the record."""
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {text}")

    def breaks_rule(self, text: str) -> None:
        """Note that the rule was broken."""
        self.broken = True
        self.note(f"BROKEN: {text}")

    def start_process(
        self, command: list[str], environment: dict[str, str], name: str, descriptors: tuple[int, ...] = ()
    ) -> subprocess.Popen[bytes]:
        """Start one of the project's programs from the root; its log goes to the temporary folder."""
        with open(self.directory / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                pass_fds=descriptors,
            )
        self.processes.append(process)
        self._tell_watchdog(f"{process.pid}")
        self.note(f"started {name}, process {process.pid}")
        return process

    def _tell_watchdog(self, line: str) -> None:
        assert self._watchdog.stdin is not None
        self._watchdog.stdin.write(f"{line}\n".encode())
        self._watchdog.stdin.flush()

    def write_config(self, case_settings: dict[str, Any], name: str = "config.json") -> Path:
        """Write a gateway's configuration, in place of the one before."""
        config = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.listen_port}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 0, "complete": True, "members": []},
            "settings": case_settings,
        }
        path = self.directory / name
        path.with_suffix(".new").write_text(json.dumps(config))
        path.with_suffix(".new").rename(path)
        return path

    def start_gateway(
        self, config_path: Path, name: str = "gateway", control_port: int = 0, listener: int | None = None
    ) -> subprocess.Popen[bytes]:
        """Start a gateway with the deploy file's `run`; `listener`: the descriptor of an inherited socket."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        private = self.directory / "private"
        private.mkdir(exist_ok=True)
        environment = {
            **{key: value for key, value in os.environ.items() if not key.startswith("PROXY_")},
            "PROXY_NAME": "n1",
            "PROXY_LISTEN": f"127.0.0.1:{self.listen_port}",
            "PROXY_DISCOVERY": f"127.0.0.1:{self.discovery.port}",
            "PROXY_CONFIG": str(config_path),
            "TMPDIR": str(private),
        }
        if control_port:
            environment["PROXY_CONTROL"] = f"127.0.0.1:{control_port}"
        if listener is not None:
            environment["PROXY_SOCKET_FD"] = str(listener)
        descriptors = (listener,) if listener is not None else ()
        return self.start_process(["/bin/sh", "-c", run], environment, name, descriptors)

    def listening_socket(self) -> int:
        """Return the descriptor of the clients' listening socket, which the platform holds.

        It is descriptor 7 in this process too, as it is inherited under its number.
        """
        listener = socket.create_server(("127.0.0.1", self.listen_port), backlog=512)
        os.dup2(listener.fileno(), LISTENER_DESCRIPTOR, inheritable=True)
        self._listener = listener
        return LISTENER_DESCRIPTOR

    async def wait_for_yes(self, control_port: int) -> None:
        """Ask a starting process for its health until it says yes."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(YES_SECONDS):
                while True:
                    with contextlib.suppress(OSError):
                        if (await self.call(control_port, "HEALTH")).startswith("+OK"):
                            return
                    await asyncio.sleep(0.05)
        raise CannotRunError("the new process did not say yes")

    async def wait_until_up(self, port: int | None = None) -> None:
        """Wait until `GET /up` answers 200."""
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                async with Client(port or self.listen_port) as client:
                    status, _ = await client.ask("GET", "/up")
                    if status == 200:
                        self.note("the gateway is up")
                        return
            await asyncio.sleep(0.05)
        raise CannotRunError("the gateway did not come up")

    def require(self, is_played: bool, what: str) -> None:
        """CannotRunError unless the case was really played; a break that was seen still counts."""
        if not is_played:
            raise CannotRunError(what)

    async def call(self, port: int, line: str) -> str:
        """Make an operator's call; return the answer's line."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(line.encode() + b"\n")
        text = (await reader.readline()).decode().strip()
        writer.close()
        self.note(f"call {line}: {text}")
        return text

    def finish(self) -> int:
        """End all processes, write the record, and return the exit code."""
        for end_signal in END_SIGNALS:  # nothing may keep this from its end
            signal.signal(end_signal, signal.SIG_IGN)
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._tell_watchdog("ended")
        self._watchdog.wait()
        logs = []
        for path in sorted(self.directory.glob("*.log")):
            logs += [f"--- {path.name}", *path.read_text(errors="replace").splitlines()[-60:]]
        (self.folder / "record.txt").write_text("\n".join([*self.lines, *logs]) + "\n")
        self.temporary.cleanup()
        return RULE_BROKEN if self.broken else RULE_HELD


class Client:
    """A client's connection to a gateway."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def __aenter__(self) -> Client:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self._port)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()

    def send(self, method: str, path: str, lines: list[str], body: bytes = b"") -> None:
        """Write a request; `lines`: header lines."""
        head = [f"{method} {path} HTTP/1.1", "Host: api.internal", *lines]
        if body or method != "GET":
            head.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)

    async def receive(self) -> tuple[int, bytes]:
        """Return the status and the body of a whole answer; IncompleteReadError or OSError without one."""
        first, headers = await read_head(self.reader)
        return int(first.split()[1]), await read_body(self.reader, headers)

    async def ask(
        self, method: str, path: str, lines: list[str] | None = None, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Send a request and return the status and the body of its answer."""
        self.send(method, path, lines or [], body)
        return await self.receive()


def play(path: str, body: Callable[[Case], Awaitable[None]]) -> None:
    """Play a case whose script is `path`, and exit with its code."""
    case = Case(Path(path).resolve().parent)

    async def main() -> None:
        async with asyncio.timeout(LIMIT_SECONDS):
            await body(case)

    could_run = True
    for end_signal in END_SIGNALS:
        signal.signal(end_signal, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        asyncio.run(main())
    except BaseException as error:  # whatever it is, the processes that were started must end
        case.note(f"could not run: {type(error).__name__}: {error}")
        could_run = False
    code = case.finish()
    sys.stdout.flush()
    # At once: streams that are still open would report that their loop is closed.
    os._exit(code if could_run or case.broken else COULD_NOT_RUN)
