"""Open transactions at their serving node."""

import attrs

from hyssopshelf import logs
from hyssopshelf.connections import pool

IDLE_SECONDS = 10.0
"""A transaction without a statement for this time is rolled back, in seconds."""

_SEPARATOR = "|"


@attrs.frozen(kw_only=True)
class Location:
    """Where a transaction lives, as its id tells."""

    host: str
    endpoint: str


def make_id(board, endpoint: str) -> str:
    """Return a new transaction id that names its serving node and endpoint."""
    secret = f"{board.random.getrandbits(64):016x}"
    return _SEPARATOR.join((board.identity.host, endpoint, board.next_id(), secret))


def parse_id(transaction: str) -> Location | None:
    """Return where a transaction lives, None if the id is malformed."""
    parts = transaction.split(_SEPARATOR)
    if len(parts) != 4:
        return None
    return Location(host=parts[0], endpoint=parts[1])


def roll_back(board, transaction: str, reason: str) -> None:
    """Forget a transaction and close its connection, which rolls it back."""
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
    """Roll back transactions whose caller sent nothing for too long."""
    for record in list(board.transactions.values()):
        connection = board.connections.get(record.connection)
        busy = connection is not None and connection.work_id
        if not busy and now >= record.idle_deadline:
            roll_back(board, record.id, "no statement before the idle deadline")
