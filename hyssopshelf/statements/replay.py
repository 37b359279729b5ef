"""Refusal of requests between nodes that arrive twice or late."""

RETENTION_SECONDS = 10.0
"""Time for which a received request number is remembered, in seconds."""


def accept_request(board, request_id: str, now: float) -> bool:
    """Return whether a request id is new; remember it.

    Ids carry the sender's host, its incarnation and a counter. A number at or
    below the floor was received or forgotten, so it is refused: a doubled
    message must not run a statement again.
    """
    sender, _, number = request_id.rpartition(".")
    record = board.sender(sender)
    counter = int(number)
    if counter <= record.floor or counter in record.received:
        return False
    record.received[counter] = now
    return True


def step(board, now: float) -> None:
    """Forget request numbers older than the retention time."""
    horizon = now - RETENTION_SECONDS
    for sender in list(board.senders):
        record = board.senders[sender]
        expired = []
        for counter, received_at in record.received.items():
            if received_at >= horizon:
                break
            expired.append(counter)
        for counter in expired:
            del record.received[counter]
            record.floor = max(record.floor, counter)
