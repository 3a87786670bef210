"""A load-balancing HTTP gateway; the classes of its decision module are exported here."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from whinrouter.balance import Balancer
    from whinrouter.breaker import Breaker

__all__ = ["Balancer", "Breaker"]
__version__ = "0.1.0"


def __getattr__(name: str) -> Any:
    """Import an exported class at its first use: the configuration tool does not load the decision module."""
    if name == "Balancer":
        from whinrouter.balance import Balancer  # noqa: PLC0415

        return Balancer
    if name == "Breaker":
        from whinrouter.breaker import Breaker  # noqa: PLC0415

        return Breaker
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
