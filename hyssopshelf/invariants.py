"""Check at run time that the node keeps its guarantees.

A violation raises an InvariantError and the node stops at once. Its connections
close and its transactions roll back, which is less harmful than a wrong answer,
since a node stores nothing.
"""

from hyssopshelf import exceptions, messages
from hyssopshelf.consistency import positions

LEAVING_SECONDS = 3.0
"""Time after which a leaving endpoint must get no new work, in seconds."""


def require(holds: bool, text: str) -> None:
    """Raise an error with the given text unless an invariant holds.

    Raises
    ------
    InvariantError
        If ``holds`` is False.
    """
    if not holds:
        raise exceptions.InvariantError(text)


def check_start(served, endpoint, queued: bool, now: float) -> None:
    """Check that a statement is sent only once and not to an endpoint that left.

    Statements of an open transaction may still go to a leaving endpoint.
    """
    require(queued, f"statement {served.id} is sent twice")
    leaving_at = endpoint.leaving_at if endpoint is not None else None
    require(
        bool(served.statement.transaction)
        or leaving_at is None
        or now < leaving_at + LEAVING_SECONDS,
        f"statement {served.id} is sent to leaving endpoint {served.endpoint}",
    )


def check_outcome(served, error, executing: bool, confirming: bool) -> None:
    """Check that the outcome of a statement agrees with how far it got.

    A write that may have run must not be reported as not run, a write must not be
    acknowledged without confirmation, and a read must include the position that
    its session has seen.

    Parameters
    ----------
    served : blackboard.ServedRequest
        The statement with the endpoint's answer.
    error : ErrorKind or None
        Kind of the error, None for success.
    executing : bool
        Whether the statement was sent to the endpoint.
    confirming : bool
        Whether it reached the confirmation by a majority.
    """
    statement, answer = served.statement, served.answer
    rejected_by_endpoint = answer is not None and answer.error is not None
    commits_write = statement.operation is messages.Operation.COMMIT or (
        statement.operation in (messages.Operation.PUT, messages.Operation.APPEND)
        and not statement.transaction
    )
    if error is not None:
        reported_not_run = exceptions.DISPOSITIONS[error].ran is exceptions.Ran.NO
        require(
            not (
                reported_not_run
                and commits_write
                and executing
                and not rejected_by_endpoint
            ),
            f"write {served.id} may have run and is answered {error.value}",
        )
        return
    require(
        not commits_write or confirming,
        f"write {served.id} is acknowledged without confirmation",
    )
    if statement.operation is messages.Operation.GET and not statement.transaction:
        required = served.required
        require(
            required is None
            or positions.contains(
                answer.status.history, answer.status.applied, required
            ),
            f"read {served.id} misses data that its session has seen",
        )


def check_version(pool: str, held: int, new: int) -> None:
    """Check that a pool's configuration is not replaced by an older version."""
    require(new >= held, f"pool {pool}: version {new} after version {held}")


def check_reply(request_id: str, answered_id: str) -> None:
    """Check that an answer belongs to the request that it is sent for."""
    require(
        request_id == answered_id,
        f"answer to request {answered_id} is sent for request {request_id}",
    )
