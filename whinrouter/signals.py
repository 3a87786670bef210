"""The signals that a serving process handles, blocked while it can't handle them.

A signal that arrives before its handler is installed, or after the event loop has restored the default
action, would end the process. Signals are therefore blocked at both times: `block` is called before a
program's large imports, `unblock` once the handlers are installed, and `block` again, until the exit, as the
loop is about to close. The system keeps a blocked signal pending: a SIGTERM or SIGHUP that arrives in the
first instants is handled after `unblock`.

    BLOCKED --unblock--> HANDLED --block--> BLOCKED, until the exit

The instants before a process's first line are covered by the command that starts it: see `run` in
deploy/balancer.toml.
"""

from __future__ import annotations

import signal
from collections.abc import Iterable

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


def block() -> None:
    """Block all handled signals until `unblock`."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock(handled: Iterable[signal.Signals]) -> None:
    """Unblock these signals, whose handlers are installed; pending ones are handled at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, handled)
