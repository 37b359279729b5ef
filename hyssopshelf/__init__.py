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
    "logs",
    "membership",
    "messages",
    "node",
    "platform",
    "runtime",
    "scheduling",
    "standins",
    "statements",
]
