"""Validation of a caller's statement before it is routed."""

import attrs

from hyssopshelf import exceptions, messages
from hyssopshelf.statements import transactions

MAXIMUM_DEADLINE_SECONDS = 60.0
"""Longest deadline that a caller may set for a statement, in seconds."""

MAXIMUM_VALUE_CHARACTERS = 256 * 1024
"""Longest value of a write, in characters."""


@attrs.frozen(kw_only=True)
class Problem:
    """Reason for which a statement is rejected before it is routed."""

    kind: exceptions.ErrorKind
    message: str


def check_statement(board, statement: messages.Statement) -> Problem | None:
    """Validate a statement and return the first problem found, or None.

    A draining node accepts only statements of open transactions, a stopping one none.
    """
    if board.stopping:
        return Problem(
            kind=exceptions.ErrorKind.UNAVAILABLE, message="this node is stopping"
        )
    if board.draining and not statement.transaction:
        return Problem(
            kind=exceptions.ErrorKind.UNAVAILABLE, message="this node is draining"
        )
    return _check_names(board, statement) or _check_fields(statement)


def _check_names(board, statement: messages.Statement) -> Problem | None:
    if not board.configuration_ready:
        return Problem(
            kind=exceptions.ErrorKind.UNAVAILABLE,
            message="this node has no configuration yet",
        )
    view = board.pools.get(statement.pool)
    if view is None:
        return _not_found(f"pool {statement.pool!r}")
    if statement.database not in view.databases:
        return _not_found(f"database {statement.database!r}")
    kind = view.kinds.get((statement.partner, statement.kind))
    if kind is None:
        return _not_found(f"kind {statement.kind!r} of partner {statement.partner!r}")
    return None


def _check_fields(statement: messages.Statement) -> Problem | None:
    operation = statement.operation
    is_write = operation in (messages.Operation.PUT, messages.Operation.APPEND)
    if (is_write or operation is messages.Operation.GET) and not statement.key:
        return _bad_request("key must not be empty")
    if is_write and statement.value is None:
        return _bad_request(f"{operation.value} needs a value")
    if statement.value and len(statement.value) > MAXIMUM_VALUE_CHARACTERS:
        return _bad_request(
            f"value is longer than {MAXIMUM_VALUE_CHARACTERS} characters"
        )
    if not 0 < statement.remaining_seconds <= MAXIMUM_DEADLINE_SECONDS:
        return _bad_request(
            f"remaining_seconds must be in (0, {MAXIMUM_DEADLINE_SECONDS:g}]"
        )
    ends_transaction = operation in (
        messages.Operation.COMMIT,
        messages.Operation.ROLLBACK,
    )
    if ends_transaction and not statement.transaction:
        return _bad_request(f"{operation.value} needs a transaction")
    if operation is messages.Operation.BEGIN and statement.transaction:
        return _bad_request("a transaction is already open")
    if statement.transaction and not transactions.parse_id(statement.transaction):
        return _bad_request("transaction id is malformed")
    return None


def _not_found(name: str) -> Problem:
    return Problem(
        kind=exceptions.ErrorKind.NOT_FOUND, message=f"{name} is not declared"
    )


def _bad_request(message: str) -> Problem:
    return Problem(kind=exceptions.ErrorKind.BAD_REQUEST, message=message)
