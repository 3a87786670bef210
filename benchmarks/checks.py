"""Measures `copperlead sidecar check`: all sidecars of a host in one run, and one file in a new process.

    python -m benchmarks.checks

Prints time and memory for 50 to 400 configurations in one folder; each consists of two files and includes one
that all of them share.
"""

from __future__ import annotations

import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.farm import ROOT

SIDECAR_COUNTS = (50, 100, 200, 400)
ROUNDS = 5

CATALOGUE = """signed_by = "platform owner"
[[effect]]
name = "page-read"
path = "/page-read"
effect = "idempotent"
deadline = "3s"
"""
SHARED_FILE = """[discovery]
hosts = ["10.0.0.4:7001", "10.0.0.5:7001"]
[[class]]
name = "page-read"
effect = "idempotent"
[[class]]
name = "chapter-buy"
"""


def write_sidecars(folder: Path, count: int) -> None:
    """Write the configurations of this many sidecars into a folder."""
    (folder / "catalogue.toml").write_text(CATALOGUE)
    (folder / "shared.toml").write_text(SHARED_FILE)
    for number in range(count):
        name = f"app-{number}"
        (folder / f"{name}.local.toml").write_text('[[class]]\nname = "page-read"\naim = "300ms"\n')
        (folder / f"{name}.toml").write_text(
            f'include = ["shared.toml", "{name}.local.toml"]\n[app]\nname = "{name}"\nowner = "team"\n'
            f'[listen]\naddress = "127.0.0.1:{9000 + number}"\n'
        )


def run_check(path: Path) -> tuple[float, int]:
    """Check a path in a new process; return its run time in seconds and its peak memory in KiB.

    Raises RuntimeError if the check fails.
    """
    started_at = time.monotonic()
    command = [sys.executable, "-m", "whinrouter.operator.cli", "sidecar", "check", str(path)]
    process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL)
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode:
        raise RuntimeError(f"the check of {path} exited with {process.returncode}")
    return time.monotonic() - started_at, usage.ru_maxrss


def main() -> None:
    print("| checked | seconds | ms per sidecar | memory, MiB |\n| --- | --- | --- | --- |")
    with tempfile.TemporaryDirectory() as temporary:
        for count in SIDECAR_COUNTS:
            folder = Path(temporary) / str(count)
            folder.mkdir()
            write_sidecars(folder, count)
            if count == SIDECAR_COUNTS[0]:
                results = [run_check(folder / "app-0.toml") for _ in range(ROUNDS)]
                seconds = statistics.median(elapsed for elapsed, _ in results)
                print(f"| one file, cold start | {seconds:.3f} | | {results[0][1] / 1024:.0f} |")
            results = [run_check(folder) for _ in range(ROUNDS)]
            seconds = statistics.median(elapsed for elapsed, _ in results)
            memory = max(peak_kib for _, peak_kib in results) / 1024
            print(
                f"| {count} sidecars | {seconds:.3f} | {seconds / count * 1000:.2f} | {memory:.0f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
