"""Monitors whether the application beside the gateway is running.

Its process is held by a descriptor (`pidfd_open(2)`), which reports the end of the process at once and never
refers to another process. The process id in the pid file is used only to open it.

    waiting --the pid file names a running process--> running --the process ends--> waiting
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from pathlib import Path

log = logging.getLogger(__name__)

POLL_SECONDS = 0.2  # interval of the search for an application that is not running
MAX_PID_FILE_BYTES = 32  # a process id and a line end are shorter


class ApplicationMonitor:
    """Calls `on_running` when the application is found and `on_exited` when it ends, once for each change."""

    def __init__(self, pid_file: str, on_exited: Callable[[], None], on_running: Callable[[], None]) -> None:
        self._pid_file = pid_file
        self._on_exited, self._on_running = on_exited, on_running
        self._loop = asyncio.get_running_loop()
        self._pidfd = -1  # the descriptor of the process; -1: none
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Look for the application, and keep looking while it is not running."""
        self._poll()

    def stop(self) -> None:
        """Stop monitoring; no callback is called after this."""
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
        log.info("the application is running")
        self._on_running()

    def _on_process_ended(self) -> None:
        self._close_pidfd()
        log.warning("the application has exited")
        self._on_exited()
        self._timer = self._loop.call_later(POLL_SECONDS, self._poll)

    def _close_pidfd(self) -> None:
        if self._pidfd >= 0:
            self._loop.remove_reader(self._pidfd)
            os.close(self._pidfd)
            self._pidfd = -1


def _open_pidfd(pid_file: str) -> int | None:
    """A descriptor of the process that the file names; None if there is no such process."""
    try:
        with open(pid_file, "rb") as file:
            pid = int(file.read(MAX_PID_FILE_BYTES))
            written_at = os.fstat(file.fileno()).st_mtime
        pidfd = os.pidfd_open(pid)
    except (OSError, ValueError, OverflowError):
        return None
    # An application writes the file while it runs: a process that started after the file was written has only
    # been given the id of one that has ended.
    if _has_ended(pid) or _started_at(pid) > written_at + 1.0:
        os.close(pidfd)
        return None
    return pidfd


def _stat_fields(pid: int) -> list[str]:
    """The fields of /proc/PID/stat (proc(5)) from the process state on; empty if there is no such process."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    except (OSError, IndexError):
        return []


def _has_ended(pid: int) -> bool:
    """Whether the process has ended, even if its parent has not waited for it yet."""
    return _stat_fields(pid)[:1] in ([], ["Z"], ["X"])


def _started_at(pid: int) -> float:
    """The Unix time at which the process started."""
    fields = _stat_fields(pid)
    boot_time = next(line for line in Path("/proc/stat").read_text().splitlines() if line.startswith("btime"))
    return int(boot_time.split()[1]) + int(fields[19]) / os.sysconf("SC_CLK_TCK") if fields else 0.0
