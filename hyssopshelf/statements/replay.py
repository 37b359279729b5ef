"""Replay protection: rejects requests between nodes that arrive twice or late."""

RETENTION_SECONDS = 10.0
"""Time for which the number of a received request is stored, in seconds."""


def accept_request(board, request_id: str, now: float) -> bool:
    """Record a request id and return whether it is new.

    An id consists of the sender's host, its incarnation and a counter. A counter
    at or below the floor is rejected, because it may have been received and
    expired; a duplicated message must not run a statement again.
    """
    sender, _, number = request_id.rpartition(".")
    record = board.get_sender(sender)
    counter = int(number)
    if counter <= record.floor or counter in record.received:
        return False
    record.received[counter] = now
    return True


def step(board, now: float) -> None:
    """Expire request numbers older than the retention time."""
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
