"""The decisions of a load-balancing HTTP proxy."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from whinrouter.balance import Balancer
    from whinrouter.breaker import Breaker

__all__ = ["Balancer", "Breaker"]
__version__ = "0.1.0"


def __getattr__(name: str) -> Any:
    """Import what is named when it is asked for: the configuration tool starts without the decisions."""
    if name == "Balancer":
        from whinrouter.balance import Balancer  # noqa: PLC0415

        return Balancer
    if name == "Breaker":
        from whinrouter.breaker import Breaker  # noqa: PLC0415

        return Breaker
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
