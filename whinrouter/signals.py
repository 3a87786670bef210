"""The signals that a serving process acts on, held back wherever it can't act on them.

Theory of operation. A signal that comes before a handler stands, or after the loop has given the default
action back, would end the process. So they are blocked in both times: `hold` comes before the large imports
of a program, `release` once handlers stand, and `hold` again as the loop is about to close, for good. What is
blocked is kept by the system: a SIGTERM or SIGHUP of the first instants is acted on after `release`.

    HELD --release--> ACTED ON --hold--> HELD, to the exit

Whoever starts a process covers the instants before its first line: see `run` in deploy/balancer.toml.
"""

from __future__ import annotations

import signal
from collections.abc import Iterable

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


def block() -> None:
    """Have the system keep these signals until `release`."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock(handled: Iterable[signal.Signals]) -> None:
    """Handlers of these signals stand: act on what came meanwhile, and from now on at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, handled)
