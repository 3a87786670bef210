"""The command `copperlead`: blocks signals before anything large is imported, if it is to serve."""

from __future__ import annotations

import sys

from whinrouter import signals
from whinrouter.lean_imports import leave_out_unused_modules


def main() -> int:
    """Run the command line; return the exit status."""
    if sys.argv[1:2] == ["run"]:
        signals.block()
        leave_out_unused_modules()
    from whinrouter.operator.cli import main as command_line  # noqa: PLC0415 - after signals are blocked

    return command_line()


if __name__ == "__main__":
    sys.exit(main())
