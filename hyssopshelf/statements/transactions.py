"""Ids and idle timeout of open transactions at their serving node."""

import attrs

from hyssopshelf import logs
from hyssopshelf.connections import pool

IDLE_SECONDS = 10.0
"""Time without a statement after which a transaction is rolled back, in seconds."""

_SEPARATOR = "|"


@attrs.frozen(kw_only=True)
class Location:
    """Serving host and endpoint of a transaction, as encoded in its id."""

    host: str
    endpoint: str


def make_id(board, endpoint: str) -> str:
    """Return a new transaction id.

    It contains the serving host and the endpoint, so that any node can route the
    transaction's statements, and a random part, so that it cannot be guessed.
    """
    secret = f"{board.random.getrandbits(64):016x}"
    return _SEPARATOR.join((board.identity.host, endpoint, board.next_id(), secret))


def parse_id(transaction: str) -> Location | None:
    """Return the host and endpoint in a transaction id, or None if it is malformed."""
    parts = transaction.split(_SEPARATOR)
    if len(parts) != 4:
        return None
    return Location(host=parts[0], endpoint=parts[1])


def roll_back(board, transaction: str, reason: str) -> None:
    """Remove a transaction and close its connection, which rolls it back."""
    record = board.transactions.pop(transaction, None)
    if record is None:
        return
    pool.discard_connection(board, record.connection, reason)
    board.log(
        logs.LogEvent.TRANSACTION_ROLLED_BACK,
        transaction=transaction,
        endpoint=record.endpoint,
        reason=reason,
    )


def step(board, now: float) -> None:
    """Roll back transactions that reached their idle deadline.

    A transaction is not idle while one of its statements is queued or runs.
    """
    for record in list(board.transactions.values()):
        connection = board.connections.get(record.connection)
        busy = connection is not None and connection.work_id
        if not busy and now >= record.idle_deadline:
            roll_back(board, record.id, "no statement before the idle deadline")
