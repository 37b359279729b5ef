"""Database proxy with session consistency and priority ranks."""

__version__ = "0.1.0"

__all__ = [
    "__version__",
    "authority",
    "base",
    "blackboard",
    "client",
    "clocks",
    "configuration",
    "connections",
    "consistency",
    "exceptions",
    "failover",
    "gateway",
    "invariants",
    "kvstore",
    "logs",
    "membership",
    "messages",
    "node",
    "runtime",
    "scheduling",
    "standins",
    "statements",
]
