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

POLL_SECONDS = 0.2  # seconds between looks for an application that is gone
MAX_PID_FILE_BYTES = 32  # bytes that are read of its file


class ApplicationMonitor:
    """Calls `back` when the application is alive and `gone` when it is not; each only at a change."""

    def __init__(self, pid_file: str, on_exited: Callable[[], None], on_running: Callable[[], None]) -> None:
        self._pid_file = pid_file
        self._on_exited, self._on_running = on_exited, on_running
        self._loop = asyncio.get_running_loop()
        self._pidfd = -1  # its descriptor
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self._poll()

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._close_pidfd()

    def _poll(self) -> None:
        self._timer = None
        pidfd = _open_pidfd(self._pid_file)
        if pidfd is None:
            self._timer = self._loop.call_later(POLL_SECONDS, self._poll)
            return
        self._pidfd = pidfd
        self._loop.add_reader(pidfd, self._on_process_ended)
        log.info("the application is here")
        self._on_running()

    def _on_process_ended(self) -> None:
        self._close_pidfd()
        log.warning("the application is gone")
        self._on_exited()
        self._timer = self._loop.call_later(POLL_SECONDS, self._poll)

    def _close_pidfd(self) -> None:
        if self._pidfd >= 0:
            self._loop.remove_reader(self._pidfd)
            os.close(self._pidfd)
            self._pidfd = -1


def _open_pidfd(pid_file: str) -> int | None:
    """A descriptor of the process that a file names; None if there is none."""
    try:
        with open(pid_file, "rb") as file:
            pid = int(file.read(MAX_PID_FILE_BYTES))
            written_at = os.fstat(file.fileno()).st_mtime
        pidfd = os.pidfd_open(pid)
    except (OSError, ValueError, OverflowError):
        return None
    # It names itself once it runs: who began after the file was written only has the number of one who died.
    if _has_ended(pid) or _started_at(pid) > written_at + 1.0:
        os.close(pidfd)
        return None
    return pidfd


def _stat_fields(pid: int) -> list[str]:
    """What the system tells of a process, from its state on (proc(5), /proc/pid/stat)."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    except (OSError, IndexError):
        return []


def _has_ended(pid: int) -> bool:
    """Whether it has ended and only waits to be asked for."""
    return _stat_fields(pid)[:1] in ([], ["Z"], ["X"])


def _started_at(pid: int) -> float:
    """Unix time at which it began."""
    fields = _stat_fields(pid)
    boot_time = next(line for line in Path("/proc/stat").read_text().splitlines() if line.startswith("btime"))
    return int(boot_time.split()[1]) + int(fields[19]) / os.sysconf("SC_CLK_TCK") if fields else 0.0
