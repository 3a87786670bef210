"""The operator file: what other installations set, as typed sections, and the checks of it.

It knows nothing of the gateway, so that the tool starts fast: `load` reads a file with all that it includes,
`check` gives all findings at once, and `Loaded.model` is what a sidecar runs from.
"""

from whinrouter.operator.findings import Finding
from whinrouter.operator.loading import Loaded, load
from whinrouter.operator.model import Model

__all__ = ["Finding", "Loaded", "Model", "load"]
