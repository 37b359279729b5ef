"""What a node knows of the term and primary of each database."""

from hyssopshelf import logs, messages


def learn_status(board, status: messages.EndpointStatus) -> None:
    """Learn the term and primary of a database from an endpoint's status."""
    record = board.endpoints.get(status.name)
    if record is None or status.role is not messages.Role.PRIMARY:
        return
    learn_primary(board, record.database, status.term, status.name)


def learn_primary(board, database: str, term: int, primary: str) -> None:
    """Learn the primary of a term; an older term changes nothing."""
    record = board.databases.get(database)
    if record is None or not primary or term <= record.term:
        return
    record.term = term
    record.primary = primary
    record.fenced_term = max(record.fenced_term, term)
    board.log(logs.LogEvent.TERM_LEARNED, database=database, term=term, primary=primary)
