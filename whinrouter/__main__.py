"""`python -m whinrouter`: signals are held before anything large is imported."""

from __future__ import annotations

import sys

from whinrouter import signals


def main() -> int:
    """Run the gateway as the platform tells it; the exit status."""
    signals.block()
    from whinrouter.platform_gateway import main as gateway  # noqa: PLC0415 - after signals are held

    return gateway()


if __name__ == "__main__":
    sys.exit(main())
