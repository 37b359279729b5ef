"""The pooled connections of one endpoint at its serving node.

A connection serves one transaction at a time. A connection whose state is in
doubt is discarded and never used again.
"""

from hyssopshelf import base, exceptions, logs
from hyssopshelf.connections import records

OPEN_RETRY_SECONDS = 0.1
"""Pause after a refused or failed attempt to open a connection, in seconds."""

IDLE_SECONDS = 30.0
"""Time after which an unused connection above the slots is closed, in seconds."""

UNSERVED_IDLE_SECONDS = 2.0
"""Time after which an unused connection to an endpoint that another node serves
is closed, in seconds."""


def find_connections(board, endpoint: str) -> list:
    """Return the records of an endpoint's connections."""
    by_id = board.endpoint_connections.get(endpoint, {})
    return list(by_id.values())


def claim_connection(board, endpoint: str, work_id: str):
    """Return an idle connection, now busy with the work, or None."""
    idle = board.idle_connections.get(endpoint)
    if not idle:
        return None
    record = idle.pop()
    check_usable(record)
    record.state = records.ConnectionState.BUSY
    record.work_id = work_id
    return record


def check_usable(record) -> None:
    """Check that a connection carries neither work nor a transaction.

    Raises
    ------
    InvariantError
        If it does; statements of two transactions would mix.
    """
    if record.work_id or record.transaction:
        raise exceptions.InvariantError(
            f"connection {record.id} is claimed while it serves "
            f"{record.work_id or record.transaction}"
        )


def release_connection(board, record, now: float) -> None:
    """Make a connection idle after its request or transaction ended."""
    record.work_id = ""
    record.transaction = ""
    record.state = records.ConnectionState.IDLE
    record.idle_at = now
    board.idle_connections.setdefault(record.endpoint, []).append(record)


def hold_connection(board, record, transaction: str) -> None:
    """Keep a connection for an open transaction between its statements."""
    record.work_id = ""
    record.transaction = transaction
    record.state = records.ConnectionState.IN_TRANSACTION


def discard_connection(board, connection: str, reason: str) -> None:
    """Close a connection and forget it; its transaction rolls back."""
    record = forget_connection(board, connection)
    if record is None:
        return
    board.act(base.CloseConnection(connection=connection))
    board.log(
        logs.LogEvent.CONNECTION_DISCARDED,
        endpoint=record.endpoint,
        connection=connection,
        reason=reason,
    )


def forget_connection(board, connection: str):
    """Remove a connection that is closed; return its record or None."""
    record = board.connections.pop(connection, None)
    if record is None:
        return None
    board.endpoint_connections[record.endpoint].pop(connection, None)
    idle = board.idle_connections.get(record.endpoint, [])
    if record in idle:
        idle.remove(record)
    return record


def open_connections(board, endpoint: str, wanted: int, limit: int, now: float):
    """Open connections until ``wanted`` are idle or opening, within ``limit``."""
    record = board.endpoints[endpoint]
    if now < record.open_after:
        return
    by_id = board.endpoint_connections.setdefault(endpoint, {})
    idle = len(board.idle_connections.get(endpoint, ()))
    opening = sum(
        1 for c in by_id.values() if c.state is records.ConnectionState.OPENING
    )
    room = limit - len(by_id)
    for _ in range(min(room, wanted - idle - opening)):
        connection = board.add_connection(endpoint)
        board.act(base.OpenConnection(endpoint=endpoint, connection=connection.id))


def step(board, now: float) -> None:
    """Close connections that are not needed any more.

    An endpoint accepts few connections. Those of a node that no longer serves
    it would keep the serving node from opening its own.
    """
    for endpoint in list(board.idle_connections):
        record = board.endpoints.get(endpoint)
        view = board.pools.get(record.pool) if record is not None else None
        if view is not None and board.placement.get(endpoint) == board.identity.host:
            close_idle_connections(board, endpoint, view.slots, now - IDLE_SECONDS)
        else:
            close_idle_connections(board, endpoint, 0, now - UNSERVED_IDLE_SECONDS)


def close_idle_connections(board, endpoint: str, kept: int, before: float) -> None:
    """Close connections that became idle before a time, keeping some open."""
    idle = board.idle_connections.get(endpoint, [])
    for record in list(idle):
        if len(idle) <= kept or record.idle_at > before:
            return
        discard_connection(board, record.id, "idle")


def receive_opened(board, connection: str, now: float) -> None:
    """Apply that a connection is ready."""
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
    """Apply that a connection could not be opened."""
    record = forget_connection(board, connection)
    if record is None:
        return
    board.endpoints[record.endpoint].open_after = now + OPEN_RETRY_SECONDS
    board.log(
        logs.LogEvent.CONNECTION_REFUSED,
        endpoint=record.endpoint,
        refused=refused,
        reason=reason,
    )
