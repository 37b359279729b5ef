"""Replies to callers by the entry node.

Handles the answers of serving nodes, confirms acknowledgements again that took
too long to arrive, and signs the session token that a reply carries.
"""

from hyssopshelf import base, blackboard, exceptions, invariants, logs, messages
from hyssopshelf.consistency import tokens
from hyssopshelf.failover import terms
from hyssopshelf.scheduling import limits
from hyssopshelf.statements import completion, polling

CONFIRMATION_ID_PREFIX = "entry:"

OVERLOAD_KINDS = (
    exceptions.ErrorKind.REFUSED,
    exceptions.ErrorKind.DEADLINE_PASSED,
)
"""Errors of a serving node that count as a sign of overload."""


def update_board(board, request, message: messages.ServedAnswer) -> None:
    """Update the routing and admission state of the entry node from an answer.

    The answer carries the primary and term of the database, the status of the
    endpoint, and the queueing delay from which the limits are adjusted.
    """
    statement = request.statement
    database = f"{statement.pool}/{statement.database}"
    terms.learn_primary(board, database, message.term, message.primary)
    if message.error is None and database in board.databases:
        board.databases[database].served_at = board.now
    if request.admitted:
        limits.record_answer(
            board,
            statement.pool,
            statement.partner,
            request.rank,
            message.error in OVERLOAD_KINDS,
            message.queueing_seconds,
            board.now,
        )
    if message.status is not None:
        polling.store_status(board, message.endpoint, message.status, request.sent_at)


def is_too_old(request, message: messages.ServedAnswer, now: float) -> bool:
    """Return whether the data of a bounded read is older than its bound allows.

    The time since the request was sent, less the processing time at the serving
    node, is an upper bound of the time that the answer was in transit.
    """
    statement = request.statement
    if (
        message.error is not None
        or not message.from_replica
        or statement.operation is not messages.Operation.GET
        or statement.consistency is not messages.Consistency.BOUNDED
    ):
        return False
    transit = max(0.0, now - request.sent_at - message.processing_seconds)
    return message.age_seconds + transit > request.staleness_seconds


def needs_confirmation(request, message: messages.ServedAnswer, now: float) -> bool:
    """Return whether the confirmation of a write is too old to be relied on.

    The confirming round began after the statement was sent, so the time since
    then is an upper bound of the age of the confirmation, without a shared clock.
    """
    return message.confirmed and now - request.sent_at > completion.FRESHNESS_SECONDS


def request_confirmation(
    board, request, message: messages.ServedAnswer, now: float
) -> None:
    """Request a new confirmation of the primary's term before acknowledging a write."""
    statement = request.statement
    request.answer = message
    confirmation_id = f"{CONFIRMATION_ID_PREFIX}{message.request_id}"
    board.entry_confirmations[confirmation_id] = request
    board.pending_confirmations[confirmation_id] = blackboard.PendingConfirmation(
        id=confirmation_id,
        database=f"{statement.pool}/{statement.database}",
        level=blackboard.ConfirmationLevel.TERM,
        position=messages.Position(
            term=message.status.term, index=message.status.position
        ),
        requested_at=now,
        deadline=request.deadline,
    )


def settle(board, now: float) -> None:
    """Reply to statements whose repeated confirmation has ended.

    A write is acknowledged while its confirmation is at most
    ``completion.FRESHNESS_SECONDS`` old. An older one is requested again until
    the deadline; after that the outcome is unknown.
    """
    for confirmation_id in list(board.entry_confirmations):
        pending = board.pending_confirmations.get(confirmation_id)
        request = board.entry_confirmations[confirmation_id]
        is_overdue = now >= request.deadline
        if pending is not None and pending.outcome is None and not is_overdue:
            continue
        del board.entry_confirmations[confirmation_id]
        board.pending_confirmations.pop(confirmation_id, None)
        confirmed = (
            pending is not None
            and pending.outcome is blackboard.ConfirmationOutcome.CONFIRMED
        )
        if confirmed and now - pending.confirmed_from <= completion.FRESHNESS_SECONDS:
            reply(board, request, request.answer)
        elif confirmed and not is_overdue:
            request_confirmation(board, request, request.answer, now)
        else:
            reply_unknown(board, request, "the write could not be confirmed again")


def reply(board, request, message: messages.ServedAnswer) -> None:
    """Send an answer to the caller with an updated session token."""
    invariants.check_reply(request.id, message.request_id)
    statement = request.statement
    token = statement.token
    if message.error is None and message.seen is not None:
        database = f"{statement.pool}/{statement.database}"
        merged_positions = tokens.merge(request.token_positions, database, message.seen)
        token = tokens.sign(merged_positions, board.token_keys)
    answer = messages.Answer(
        id=statement.id,
        error=message.error,
        message=message.message,
        value=message.value,
        token=token,
        transaction=message.transaction,
        retry_after_seconds=message.retry_after_seconds,
        endpoint=message.endpoint,
        from_replica=message.from_replica,
    )
    _finish(board, request, answer)


def reply_unknown(board, request, message: str) -> None:
    """Reply that the outcome of a statement is unknown."""
    board.log(
        logs.LogEvent.STATEMENT_UNKNOWN,
        request=request.id,
        endpoint=request.endpoint,
        reason=message,
    )
    reply_failure(board, request, exceptions.ErrorKind.OUTCOME_UNKNOWN, message)


def reply_failure(
    board,
    request,
    kind: exceptions.ErrorKind,
    message: str,
    retry_after_seconds: float = 0.0,
) -> None:
    """Reply to a statement with an error that the entry node detected."""
    answer = messages.Answer(
        id=request.statement.id,
        error=kind,
        message=message,
        retry_after_seconds=retry_after_seconds,
        token=request.statement.token,
        transaction=request.statement.transaction,
    )
    _finish(board, request, answer)


def reply_error(board, caller: str, statement_id: str, problem) -> None:
    """Reply to a statement that was rejected before it was routed."""
    board.count(f"errors_{problem.kind.value}")
    answer = messages.Answer(
        id=statement_id, error=problem.kind, message=problem.message
    )
    _reply(board, caller, answer)


def release(board, request, now: float) -> None:
    """Release the statement's share of the admission limits, at most once."""
    if request.admitted:
        request.admitted = False
        statement = request.statement
        limits.release(board, statement.pool, statement.partner, request.rank, now)


def _finish(board, request, answer: messages.Answer) -> None:
    release(board, request, board.now)
    _count(board, request, answer)
    board.log(
        logs.LogEvent.STATEMENT_ANSWERED,
        request=request.id,
        endpoint=answer.endpoint,
        error=answer.error.value if answer.error else "none",
    )
    _reply(board, request.caller, answer)


def _reply(board, caller: str, answer: messages.Answer) -> None:
    board.replied_at = board.now
    board.act(base.Reply(caller=caller, answer=answer))


def _count(board, request, answer: messages.Answer) -> None:
    if answer.error is not None:
        board.count(f"errors_{answer.error.value}")
        return
    if request.statement.operation is messages.Operation.GET:
        board.count("reads")
        if answer.from_replica:
            board.count("reads_replica")
