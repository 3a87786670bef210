"""What it takes to check a whole host's sidecars, and one file on a cold start.

    python -m benchmarks.checks

Time and memory for 50 to 400 configurations in one folder, each with two files of its own and one for all.
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

COUNTS = (50, 100, 200, 400)
ROUNDS = 5

CATALOGUE = """signed_by = "platform owner"
[[effect]]
name = "page-read"
path = "/page-read"
effect = "idempotent"
deadline = "3s"
"""
SHARED = """[discovery]
hosts = ["10.0.0.4:7001", "10.0.0.5:7001"]
[[class]]
name = "page-read"
effect = "idempotent"
[[class]]
name = "chapter-buy"
"""


def lay(folder: Path, count: int) -> None:
    """So many sidecars of one host."""
    (folder / "catalogue.toml").write_text(CATALOGUE)
    (folder / "shared.toml").write_text(SHARED)
    for number in range(count):
        name = f"app-{number}"
        (folder / f"{name}.local.toml").write_text('[[class]]\nname = "page-read"\naim = "300ms"\n')
        (folder / f"{name}.toml").write_text(
            f'include = ["shared.toml", "{name}.local.toml"]\n[app]\nname = "{name}"\nowner = "team"\n'
            f'[listen]\naddress = "127.0.0.1:{9000 + number}"\n'
        )


def check(path: Path) -> tuple[float, int]:
    """Seconds from the start of a process to its end, and the most memory that it held, in KiB."""
    begun = time.monotonic()
    command = [sys.executable, "-m", "whinrouter.operator.cli", "sidecar", "check", str(path)]
    process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL)
    _, status, used = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode:
        raise RuntimeError(f"the check of {path} ended with {process.returncode}")
    return time.monotonic() - begun, used.ru_maxrss


def main() -> None:
    print("| what | seconds | for each, ms | memory, MiB |\n| --- | --- | --- | --- |")
    with tempfile.TemporaryDirectory() as name:
        for count in COUNTS:
            folder = Path(name) / str(count)
            folder.mkdir()
            lay(folder, count)
            if count == COUNTS[0]:
                took = [check(folder / "app-0.toml") for _ in range(ROUNDS)]
                seconds = statistics.median(one for one, _ in took)
                print(f"| one file, cold start | {seconds:.3f} | | {took[0][1] / 1024:.0f} |")
            took = [check(folder) for _ in range(ROUNDS)]
            seconds = statistics.median(one for one, _ in took)
            memory = max(one for _, one in took) / 1024
            print(
                f"| {count} sidecars | {seconds:.3f} | {seconds / count * 1000:.2f} | {memory:.0f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
