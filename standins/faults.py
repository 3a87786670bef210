"""Fault injection by a library for LD_PRELOAD (`faults.c`): failing system calls and a stepped wall clock."""

from __future__ import annotations

import shutil
import subprocess
from collections.abc import Iterable, Mapping
from pathlib import Path

SOURCE = Path(__file__).with_name("faults.c")


def build(folder: Path) -> Path:
    """Compile the library into a folder and return its path; RuntimeError if there is no C compiler."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise RuntimeError("no C compiler")
    library = folder / "faults.so"
    subprocess.run(
        [compiler, "-shared", "-fPIC", "-O1", "-Wall", "-o", str(library), str(SOURCE), "-ldl"], check=True
    )
    return library


def environment(
    library: Path,
    calls: Mapping[str, int] | None = None,
    steps: Iterable[float] = (),
    step_seconds: float = 2.0,
    seed: int = 1,
) -> dict[str, str]:
    """Return the environment variables that inject these faults into a process.

    `calls`: N by kind of system call; one call in N fails on average. `steps`: offsets of the wall clock in
    seconds, each in force for `step_seconds`.
    """
    return {
        "LD_PRELOAD": str(library),
        "FAULTS_CALLS": ",".join(f"{kind}:{count}" for kind, count in (calls or {}).items()),
        "FAULTS_STEPS": ",".join(str(step) for step in steps),
        "FAULTS_EVERY": str(step_seconds),
        "FAULTS_SEED": str(seed),
    }
