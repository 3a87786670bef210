"""Whether the application beside us is alive.

Its process is held by a descriptor (`pidfd_open(2)`), which tells of its end at once and cannot come to mean
another process; the number in its file is only the way to it.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from pathlib import Path

log = logging.getLogger(__name__)

LOOK_EVERY = 0.2  # seconds between looks for an application that is gone
MOST_DIGITS = 32  # bytes that are read of its file


class Application:
    """Calls `back` when the application is alive and `gone` when it is not; each only at a change."""

    def __init__(self, pid_file: str, gone: Callable[[], None], back: Callable[[], None]) -> None:
        self._pid_file = pid_file
        self._gone, self._back = gone, back
        self._loop = asyncio.get_running_loop()
        self._process = -1  # its descriptor
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self._look()

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._let_go()

    def _look(self) -> None:
        self._timer = None
        process = _open(self._pid_file)
        if process is None:
            self._timer = self._loop.call_later(LOOK_EVERY, self._look)
            return
        self._process = process
        self._loop.add_reader(process, self._ended)
        log.info("the application is here")
        self._back()

    def _ended(self) -> None:
        self._let_go()
        log.warning("the application is gone")
        self._gone()
        self._timer = self._loop.call_later(LOOK_EVERY, self._look)

    def _let_go(self) -> None:
        if self._process >= 0:
            self._loop.remove_reader(self._process)
            os.close(self._process)
            self._process = -1


def _open(pid_file: str) -> int | None:
    """A descriptor of the process that a file names; None if there is none."""
    try:
        with open(pid_file, "rb") as file:
            pid = int(file.read(MOST_DIGITS))
            written = os.fstat(file.fileno()).st_mtime
        process = os.pidfd_open(pid)
    except (OSError, ValueError, OverflowError):
        return None
    # It names itself once it runs: who began after the file was written only has the number of one who died.
    if _ended(pid) or _began(pid) > written + 1.0:
        os.close(process)
        return None
    return process


def _stat(pid: int) -> list[str]:
    """What the system tells of a process, from its state on (proc(5), /proc/pid/stat)."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    except (OSError, IndexError):
        return []


def _ended(pid: int) -> bool:
    """Whether it has ended and only waits to be asked for."""
    return _stat(pid)[:1] in ([], ["Z"], ["X"])


def _began(pid: int) -> float:
    """Unix time at which it began."""
    told = _stat(pid)
    booted = next(line for line in Path("/proc/stat").read_text().splitlines() if line.startswith("btime"))
    return int(booted.split()[1]) + int(told[19]) / os.sysconf("SC_CLK_TCK") if told else 0.0
