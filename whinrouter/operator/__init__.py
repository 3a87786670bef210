"""Operator files: the configuration of gateways that run as sidecars, as typed sections with checks.

The package does not import the gateway, so that the command line starts fast. `load` reads a file with its
includes and reports errors of syntax and types; `checks.check` returns all findings at once; a sidecar runs
from `Loaded.model`.
"""

from whinrouter.operator.findings import Finding
from whinrouter.operator.loading import Loaded, load
from whinrouter.operator.model import Model

__all__ = ["Finding", "Loaded", "Model", "load"]
