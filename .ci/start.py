"""Starts the gateway by the deploy file's command against a stub of discovery, and sends it its signals."""

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

GENEROUS = 60.0
HOST = {"id": "s-1", "host_port": "127.0.0.1:9", "locality": "a", "phase": "Ready", "up_since_ms": 0}
CLASS = {"name": "page-read", "effect": "idempotent", "giveUp": 1500000, "onTime": 400000, "worth": 3.0}


class Stub(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        assert isinstance(self.server, Service)
        self.server.asked.set()
        told = json.dumps({"revision": 1, "complete": True, "members": [HOST]}).encode() + b"\n"
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self.wfile.write(b"%x\r\n%s\r\n" % (len(told), told))
        threading.Event().wait()

    def log_message(self, *_: object) -> None:
        pass


class Service(ThreadingHTTPServer):
    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), Stub)
        self.asked = threading.Event()
        self.address = f"127.0.0.1:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, daemon=True).start()


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def is_up(address: str) -> bool:
    try:
        with urllib.request.urlopen(f"http://{address}/up", timeout=GENEROUS) as answer:
            return bool(answer.status == 200)
    except (urllib.error.URLError, ConnectionError):
        return False


def main() -> int:
    address, discovery, other = free_address(), Service(), Service()
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        told = {
            "listen": address,
            "discovery": discovery.address,
            "seed": "1",
            "settings": {"classes": [CLASS]},
        }
        config.write_text(json.dumps(told))
        environment = {**os.environ, "PROXY_CONFIG": str(config), "PROXY_NAME": "n0"}
        gateway = subprocess.Popen(["/bin/sh", "-c", sys.argv[1]], env=environment)
        try:
            due = time.monotonic() + GENEROUS
            while not is_up(address):
                if gateway.poll() is not None or time.monotonic() > due:
                    print("the gateway did not come up", file=sys.stderr)
                    return 1
                time.sleep(0.05)
            told["discovery"] = other.address
            config.write_text(json.dumps(told))
            gateway.send_signal(signal.SIGHUP)
            if not other.asked.wait(GENEROUS) or not is_up(address):
                print("the gateway did not take its new configuration", file=sys.stderr)
                return 1
            gateway.send_signal(signal.SIGTERM)
            return gateway.wait(GENEROUS)
        finally:
            gateway.kill()


if __name__ == "__main__":
    sys.exit(main())
