"""Assertions of the guarantees inside the program.

A node whose state breaks a guarantee stops at once: it keeps nothing, its
connections close and its transactions roll back, which harms less than a wrong
answer.
"""

from hyssopshelf import exceptions, messages
from hyssopshelf.consistency import positions

LEAVING_SECONDS = 3.0
"""A leaving endpoint gets no new work after this time."""


def require(holds: bool, text: str) -> None:
    """Check an invariant.

    Raises
    ------
    InvariantError
        If it does not hold.
    """
    if not holds:
        raise exceptions.InvariantError(text)


def check_start(served, endpoint, queued: bool, now: float) -> None:
    """Check that a statement is sent once, and not to an endpoint that left."""
    require(queued, f"statement {served.id} is sent twice")
    leaving_at = endpoint.leaving_at if endpoint is not None else None
    require(
        bool(served.statement.transaction)
        or leaving_at is None
        or now < leaving_at + LEAVING_SECONDS,
        f"statement {served.id} is sent to leaving endpoint {served.endpoint}",
    )


def check_outcome(served, error, executing: bool, confirming: bool) -> None:
    """Check that an outcome agrees with what was done for it.

    Parameters
    ----------
    served : blackboard.ServedRequest
        The statement.
    error : ErrorKind or None
        Kind of the error, None for success.
    executing : bool
        Whether the statement was sent to the endpoint.
    confirming : bool
        Whether it passed the confirmation by a majority.
    """
    statement, answer = served.statement, served.answer
    refused = answer is not None and answer.error is not None
    commits = statement.operation is messages.Operation.COMMIT or (
        statement.operation in (messages.Operation.PUT, messages.Operation.APPEND)
        and not statement.transaction
    )
    if error is not None:
        denied = exceptions.DISPOSITIONS[error].ran is exceptions.Ran.NO
        require(
            not (denied and commits and executing and not refused),
            f"write {served.id} may have run and is answered {error.value}",
        )
        return
    require(
        not commits or confirming,
        f"write {served.id} is acknowledged without confirmation",
    )
    if statement.operation is messages.Operation.GET and not statement.transaction:
        required = served.required
        require(
            required is None
            or positions.contains(
                answer.status.history, answer.status.applied, required
            ),
            f"read {served.id} lacks what its session has seen",
        )


def check_version(pool: str, held: int, new: int) -> None:
    """Check that a configuration in force is never replaced by a lower one."""
    require(new >= held, f"pool {pool}: version {new} after version {held}")


def check_reply(request_id: str, answered_id: str) -> None:
    """Check that an answer goes to the request that it belongs to."""
    require(
        request_id == answered_id,
        f"answer of {answered_id} goes to request {request_id}",
    )
