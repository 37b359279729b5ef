"""State of a pooled connection."""

import enum

import attrs


class ConnectionState(enum.Enum):
    """States of a pooled connection."""

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"
    IN_TRANSACTION = "in_transaction"


@attrs.define(kw_only=True)
class ConnectionRecord:
    """A pooled connection.

    Attributes
    ----------
    transaction : str
        Transaction that owns the connection, empty if none.
    work_id : str
        Request that runs on it, empty if none.
    idle_at : float
        Time at which it last became idle.
    """

    id: str
    endpoint: str
    state: ConnectionState = ConnectionState.OPENING
    transaction: str = ""
    work_id: str = ""
    idle_at: float = 0.0
