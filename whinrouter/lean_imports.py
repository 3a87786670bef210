"""Keeps modules out of the process that the gateway never uses and that the standard library would import.

asyncio imports `ssl`, and hashlib `_hashlib`, if they are there. Both bring OpenSSL, a fifth of the memory of
a process that has just started. The gateway speaks plain TCP, and the hashes that it uses are built in.
"""

from __future__ import annotations

import sys

UNUSED_MODULES = ("ssl", "_ssl", "_hashlib")


def leave_out_unused_modules() -> None:
    """Make later imports of these modules fail, for which their importers are prepared.

    No effect on a module that is imported already.
    """
    for name in UNUSED_MODULES:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type] # None: the import fails (sys.modules)
