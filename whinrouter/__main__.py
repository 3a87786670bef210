"""`python -m whinrouter`: blocks signals before anything large is imported."""

from __future__ import annotations

import sys

from whinrouter import signals
from whinrouter.lean_imports import leave_out_unused_modules


def main() -> int:
    """Run the gateway by the platform's configuration; return the exit status."""
    signals.block()
    leave_out_unused_modules()
    from whinrouter.platform_gateway import main as gateway  # noqa: PLC0415 - after signals are blocked

    return gateway()


if __name__ == "__main__":
    sys.exit(main())
