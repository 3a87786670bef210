"""The decisions of a load-balancing HTTP proxy."""

from whinrouter.balance import Balancer
from whinrouter.breaker import Breaker

__all__ = ["Balancer", "Breaker"]
__version__ = "0.1.0"
