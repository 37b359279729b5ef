"""Pool the connections of each endpoint at its serving node.

A connection serves one transaction at a time. A connection whose state is unknown
is closed and never reused.
"""

from hyssopshelf import base, exceptions, logs
from hyssopshelf.connections import records

OPEN_RETRY_SECONDS = 0.1
"""Delay after a refused or failed attempt to open a connection, in seconds."""

IDLE_SECONDS = 30.0
"""Time after which idle connections in excess of the slots are closed, in seconds."""

UNSERVED_IDLE_SECONDS = 2.0
"""Time after which idle connections to an endpoint that another node serves are
closed, in seconds."""


def list_connections(board, endpoint: str) -> list:
    """Return the records of an endpoint's connections in any state."""
    by_id = board.endpoint_connections.get(endpoint, {})
    return list(by_id.values())


def claim_connection(board, endpoint: str, work_id: str):
    """Take the connection that became idle last and mark it busy, None if none is."""
    idle = board.idle_connections.get(endpoint)
    if not idle:
        return None
    record = idle.pop()
    check_usable(record)
    record.state = records.ConnectionState.BUSY
    record.work_id = work_id
    return record


def check_usable(record) -> None:
    """Check that no request or transaction uses a connection.

    Raises
    ------
    InvariantError
        If one does; the statements of two transactions would mix.
    """
    if record.work_id or record.transaction:
        raise exceptions.InvariantError(
            f"connection {record.id} is claimed while it is used by "
            f"{record.work_id or record.transaction}"
        )


def release_connection(board, record, now: float) -> None:
    """Mark a connection idle after its request or transaction ended."""
    record.work_id = ""
    record.transaction = ""
    record.state = records.ConnectionState.IDLE
    record.idle_since = now
    board.idle_connections.setdefault(record.endpoint, []).append(record)


def pin_connection(board, record, transaction: str) -> None:
    """Reserve a connection for an open transaction between its statements."""
    record.work_id = ""
    record.transaction = transaction
    record.state = records.ConnectionState.IN_TRANSACTION


def discard_connection(board, connection: str, reason: str) -> None:
    """Close and remove a connection; the endpoint rolls its transaction back."""
    record = remove_connection(board, connection)
    if record is None:
        return
    board.act(base.CloseConnection(connection=connection))
    board.log(
        logs.LogEvent.CONNECTION_DISCARDED,
        endpoint=record.endpoint,
        connection=connection,
        reason=reason,
    )


def remove_connection(board, connection: str):
    """Remove a closed connection from the pool; return its record, None if unknown."""
    record = board.connections.pop(connection, None)
    if record is None:
        return None
    board.endpoint_connections[record.endpoint].pop(connection, None)
    idle = board.idle_connections.get(record.endpoint, [])
    if record in idle:
        idle.remove(record)
    return record


def open_connections(board, endpoint: str, wanted: int, limit: int, now: float):
    """Open connections until ``wanted`` are idle or opening.

    ``limit`` bounds all connections of this node to the endpoint. Nothing is opened
    for ``OPEN_RETRY_SECONDS`` after a failed attempt.
    """
    record = board.endpoints[endpoint]
    if now < record.open_after:
        return
    by_id = board.endpoint_connections.setdefault(endpoint, {})
    idle = len(board.idle_connections.get(endpoint, ()))
    opening = sum(
        1 for c in by_id.values() if c.state is records.ConnectionState.OPENING
    )
    available = limit - len(by_id)
    for _ in range(min(available, wanted - idle - opening)):
        connection = board.add_connection(endpoint)
        board.act(base.OpenConnection(endpoint=endpoint, connection=connection.id))


def step(board, now: float) -> None:
    """Close connections that are no longer needed; runs at each tick.

    An endpoint accepts only a few connections. Those of a node that no longer
    serves it would prevent the serving node from opening its own.
    """
    for endpoint in list(board.idle_connections):
        record = board.endpoints.get(endpoint)
        view = board.pools.get(record.pool) if record is not None else None
        if view is not None and board.placement.get(endpoint) == board.identity.host:
            close_idle_connections(board, endpoint, view.slots, now - IDLE_SECONDS)
        else:
            close_idle_connections(board, endpoint, 0, now - UNSERVED_IDLE_SECONDS)


def close_idle_connections(board, endpoint: str, kept: int, before: float) -> None:
    """Close connections idle since before a time, but leave at least ``kept`` idle."""
    idle = board.idle_connections.get(endpoint, [])
    for record in list(idle):
        if len(idle) <= kept or record.idle_since > before:
            return
        discard_connection(board, record.id, "idle")


def receive_opened(board, connection: str, now: float) -> None:
    """Mark an opened connection idle; close it if it is no longer in the pool."""
    record = board.connections.get(connection)
    if record is None:
        board.act(base.CloseConnection(connection=connection))
        return
    board.log(
        logs.LogEvent.CONNECTION_OPENED,
        endpoint=record.endpoint,
        connection=connection,
    )
    release_connection(board, record, now)


def receive_failed(board, connection: str, refused: bool, reason: str, now: float):
    """Remove a connection that failed to open and delay the next attempt."""
    record = remove_connection(board, connection)
    if record is None:
        return
    board.endpoints[record.endpoint].open_after = now + OPEN_RETRY_SECONDS
    board.log(
        logs.LogEvent.CONNECTION_REFUSED,
        endpoint=record.endpoint,
        refused=refused,
        reason=reason,
    )
