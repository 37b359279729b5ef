"""Define the state of a pooled connection."""

import enum

import attrs


class ConnectionState(enum.Enum):
    """States of a pooled connection.

    ``IN_TRANSACTION``: belongs to an open transaction, between its statements.
    """

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"
    IN_TRANSACTION = "in_transaction"


@attrs.define(kw_only=True)
class ConnectionRecord:
    """State of a pooled connection.

    Attributes
    ----------
    transaction : str
        Id of the open transaction that uses the connection, empty if none.
    work_id : str
        Id of the request that runs on it, empty if none.
    idle_since : float
        Time at which it last became idle.
    """

    id: str
    endpoint: str
    state: ConnectionState = ConnectionState.OPENING
    transaction: str = ""
    work_id: str = ""
    idle_since: float = 0.0
