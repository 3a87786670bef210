"""Starts the gateway with a command, and checks its start, its reload by SIGHUP and its end by SIGTERM.

The argument is the `run` command of the deploy file. Discovery is a stub in this process. Exits with the
gateway's status, or with 1 if the gateway does not come up or does not reload.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

TIMEOUT_SECONDS = 60.0
HOST = {"id": "s-1", "host_port": "127.0.0.1:9", "locality": "a", "phase": "Ready", "up_since_ms": 0}
CLASS = {"name": "page-read", "effect": "idempotent", "giveUp": 1500000, "onTime": 400000, "worth": 3.0}


class DiscoveryHandler(BaseHTTPRequestHandler):
    """Answers each watch with a list of one host, and keeps the connection open."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        assert isinstance(self.server, Discovery)
        self.server.request_received.set()
        host_list = json.dumps({"revision": 1, "complete": True, "members": [HOST]}).encode() + b"\n"
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self.wfile.write(b"%x\r\n%s\r\n" % (len(host_list), host_list))
        threading.Event().wait()

    def log_message(self, *_: object) -> None:
        pass


class Discovery(ThreadingHTTPServer):
    """A stub of discovery on a port of its own."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), DiscoveryHandler)
        self.request_received = threading.Event()
        self.address = f"127.0.0.1:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, daemon=True).start()


def free_address() -> str:
    """Return an address on loopback whose port is free at present."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def is_up(address: str) -> bool:
    """Return whether the gateway answers `GET /up` with 200."""
    try:
        with urllib.request.urlopen(f"http://{address}/up", timeout=TIMEOUT_SECONDS) as answer:
            return bool(answer.status == 200)
    except (urllib.error.URLError, ConnectionError):
        return False


def main() -> int:
    address, discovery, new_discovery = free_address(), Discovery(), Discovery()
    with tempfile.TemporaryDirectory() as folder:
        config_path = Path(folder) / "config.json"
        config = {
            "listen": address,
            "discovery": discovery.address,
            "seed": "1",
            "settings": {"classes": [CLASS]},
        }
        config_path.write_text(json.dumps(config))
        environment = {**os.environ, "PROXY_CONFIG": str(config_path), "PROXY_NAME": "n0"}
        gateway = subprocess.Popen(["/bin/sh", "-c", sys.argv[1]], env=environment)
        try:
            deadline = time.monotonic() + TIMEOUT_SECONDS
            while not is_up(address):
                if gateway.poll() is not None or time.monotonic() > deadline:
                    print("the gateway did not come up", file=sys.stderr)
                    return 1
                time.sleep(0.05)
            config["discovery"] = new_discovery.address
            config_path.write_text(json.dumps(config))
            gateway.send_signal(signal.SIGHUP)
            if not new_discovery.request_received.wait(TIMEOUT_SECONDS) or not is_up(address):
                print("the gateway did not take its new configuration", file=sys.stderr)
                return 1
            gateway.send_signal(signal.SIGTERM)
            return gateway.wait(TIMEOUT_SECONDS)
        finally:
            gateway.kill()


if __name__ == "__main__":
    sys.exit(main())
