"""Completion of statements at their serving node.

Applies the answers of endpoints, waits for the confirmation of writes and strong
reads, and sends the outcome to the entry node.
"""

from hyssopshelf import base, blackboard, exceptions, invariants, logs, messages
from hyssopshelf.configuration import resources
from hyssopshelf.connections import pool
from hyssopshelf.consistency import positions, reads
from hyssopshelf.failover import terms
from hyssopshelf.scheduling import billing, work
from hyssopshelf.statements import polling, transactions

FRESHNESS_SECONDS = 0.2
"""Longest age of a confirmation by term alone when a write is acknowledged, in
seconds since the confirming round began. A promoter waits 0.5 s before a promotion,
so the primary has not been replaced when the acknowledgement is sent."""


def receive_answer(board, connection_id: str, request_id: str, answer, now) -> None:
    """Apply an endpoint's answer to its request.

    An answer to a request that no longer runs on the connection is dropped.
    """
    served = board.served.get(request_id)
    connection = board.connections.get(connection_id)
    if (
        served is None
        or connection is None
        or served.connection != connection_id
        or connection.work_id != request_id
        or served.state is not blackboard.ServedState.RUNNING
    ):
        board.log(
            logs.LogEvent.ANSWER_DROPPED,
            request=request_id,
            connection=connection_id,
            reason="no such request runs on this connection",
        )
        return
    _free_slot(board, served, now)
    polling.store_status(board, served.endpoint, answer.status, served.sent_at)
    terms.learn_status(board, answer.status)
    served.answer = answer
    if answer.error is not None:
        _finish_endpoint_error(board, served, connection, answer, now)
        return
    _update_connection(board, served, connection, answer, now)
    if served.statement.operation is messages.Operation.GET:
        _finish_read(board, served, answer, now)
    elif answer.written is not None:
        _confirm(board, served, now)
    else:
        _finish_success(board, served, None)


def receive_closed(board, connection_id: str, now: float) -> None:
    """Remove a closed or broken connection and end its transaction and statement.

    A statement that was sent may have run. A queued statement of the transaction
    has not run, and the endpoint rolled the transaction back.
    """
    connection = pool.remove_connection(board, connection_id)
    if connection is None:
        return
    if connection.transaction:
        board.transactions.pop(connection.transaction, None)
    board.ready_endpoints.add(connection.endpoint)
    served = board.served.get(connection.work_id)
    if served is None:
        return
    if served.state is blackboard.ServedState.RUNNING:
        _free_slot(board, served, now)
        _finish_disconnected(board, served)
        return
    queue = board.endpoint_queues.get(served.endpoint)
    if queue is not None:
        queue.discard(served.id)
    finish_error(
        board, served, exceptions.ErrorKind.NOT_RUN, "the transaction was rolled back"
    )


def settle(board, now: float) -> None:
    """Finish statements whose confirmation has ended."""
    for pending in [
        t for t in board.pending_confirmations.values() if t.outcome is not None
    ]:
        served = board.served.get(pending.id)
        if served is None:
            continue
        del board.pending_confirmations[pending.id]
        _finish_confirmation(board, served, pending, now)


def expire_request(board, served, now: float) -> None:
    """Finish a statement whose deadline passed after it was sent.

    A connection on which the answer may still arrive is discarded.
    """
    if served.state is blackboard.ServedState.RUNNING:
        _free_slot(board, served, now)
        connection = board.connections.get(served.connection)
        if connection is not None and connection.transaction:
            board.transactions.pop(connection.transaction, None)
        pool.discard_connection(board, served.connection, "answer is overdue")
        finish_unknown(board, served, "no answer of the endpoint before the deadline")
    elif served.state is blackboard.ServedState.CONFIRMING:
        board.pending_confirmations.pop(served.id, None)
        finish_unknown(board, served, "not confirmed before the deadline")


def finish_error(
    board, served, kind: exceptions.ErrorKind, message: str, **fields
) -> None:
    """Finish a statement with an error."""
    _finish(board, served, error=kind, message=message, **fields)


def finish_unknown(board, served, message: str) -> None:
    """Finish a statement whose outcome is unknown."""
    board.log(
        logs.LogEvent.STATEMENT_UNKNOWN,
        request=served.id,
        endpoint=served.endpoint,
        reason=message,
    )
    finish_error(board, served, exceptions.ErrorKind.OUTCOME_UNKNOWN, message)


def release_transaction(board, served) -> None:
    """Let the transaction of a statement that was not sent run other statements."""
    connection = board.connections.get(served.connection)
    if connection is not None and connection.work_id == served.id:
        connection.work_id = ""


def finish_refused(board, served, refusal: work.Refusal) -> None:
    """Finish a statement that was refused by a limit before it ran."""
    release_transaction(board, served)
    board.log(
        logs.LogEvent.STATEMENT_REFUSED,
        request=served.id,
        endpoint=served.endpoint,
        partner=served.work.partner,
        rank=served.work.rank,
        reason=refusal.reason,
    )
    finish_error(
        board,
        served,
        exceptions.ErrorKind.REFUSED,
        refusal.reason,
        retry_after_seconds=refusal.retry_after_seconds,
    )


def finish_behind(board, served) -> None:
    """Finish a read that the state of its endpoint does not satisfy."""
    board.log(logs.LogEvent.READ_DISCARDED, request=served.id, endpoint=served.endpoint)
    finish_error(
        board,
        served,
        exceptions.ErrorKind.UNAVAILABLE,
        "the endpoint's state does not satisfy the read",
        behind=True,
    )


def send(board, host: str, answer: messages.ServedAnswer) -> None:
    """Send an answer to the entry node.

    If that is this node, the answer is applied when the current event has been
    handled.
    """
    if host == board.identity.host:
        board.local_answers.append(answer)
        return
    board.act(base.SendPeer(host=host, message=answer))


def _free_slot(board, served, now: float) -> None:
    queue = board.endpoint_queues.get(served.endpoint)
    if queue is not None:
        seconds = queue.finish(served.id, now)
        item = served.work
        billing.account(board, queue.pool, item.partner, item.rank, seconds)
    board.ready_endpoints.add(served.endpoint)


def _finish_disconnected(board, served) -> None:
    """Finish a statement whose connection closed while it ran.

    Only a commit or a write outside a transaction may have taken effect.
    """
    operation = served.statement.operation
    if operation is messages.Operation.GET:
        finish_behind(board, served)
    elif served.statement.transaction and operation is not messages.Operation.COMMIT:
        finish_error(
            board,
            served,
            exceptions.ErrorKind.NOT_RUN,
            "the connection closed; the transaction was rolled back",
        )
    elif operation is messages.Operation.BEGIN:
        finish_error(
            board, served, exceptions.ErrorKind.NOT_RUN, "the connection closed"
        )
    else:
        finish_unknown(board, served, "the connection closed while the write ran")


def _finish_endpoint_error(board, served, connection, answer, now) -> None:
    """Finish a statement that the endpoint refused to run."""
    if connection.transaction:
        board.transactions.pop(connection.transaction, None)
        pool.discard_connection(board, connection.id, "transaction ended by an error")
    else:
        pool.release_connection(board, connection, now)
    kinds = {
        messages.EndpointError.CONFLICT: exceptions.ErrorKind.CONFLICT,
        messages.EndpointError.BAD_REQUEST: exceptions.ErrorKind.BAD_REQUEST,
        messages.EndpointError.NO_TRANSACTION: exceptions.ErrorKind.NOT_FOUND,
        messages.EndpointError.NOT_PRIMARY: exceptions.ErrorKind.NOT_RUN,
    }
    text = f"the endpoint answered {answer.error.value}"
    finish_error(board, served, kinds[answer.error], text)


def _update_connection(board, served, connection, answer, now) -> None:
    """Update the state of a connection after a successful answer."""
    operation = served.statement.operation
    if operation is messages.Operation.BEGIN:
        transaction = transactions.make_id(board, served.endpoint)
        board.transactions[transaction] = blackboard.TransactionRecord(
            id=transaction,
            endpoint=served.endpoint,
            connection=connection.id,
            partner=served.statement.partner,
            idle_deadline=now + transactions.IDLE_SECONDS,
            term=answer.status.term,
        )
        pool.pin_connection(board, connection, transaction)
        return
    ended = operation in (messages.Operation.COMMIT, messages.Operation.ROLLBACK)
    if connection.transaction and not ended:
        pool.pin_connection(board, connection, connection.transaction)
        return
    if connection.transaction:
        board.transactions.pop(connection.transaction, None)
    pool.release_connection(board, connection, now)


def _finish_read(board, served, answer, now) -> None:
    """Check a read against the state of the endpoint when it ran."""
    statement = served.statement
    if statement.transaction:
        _finish_success(board, served, None)
        return
    check_result = reads.check_state(
        answer.status,
        served.sent_at,
        statement.consistency,
        served.required,
        served.staleness_seconds,
        now,
    )
    if check_result is reads.CheckResult.DISCARDED:
        finish_error(
            board,
            served,
            exceptions.ErrorKind.STALE_TOKEN,
            "a change of primary discarded writes that this session made or read",
        )
    elif check_result is reads.CheckResult.BEHIND:
        finish_behind(board, served)
    elif answer.status.role is messages.Role.PRIMARY and reads.needs_confirmation(
        statement.consistency, served.required
    ):
        position = messages.Position(
            term=answer.status.term, index=answer.status.applied
        )
        level = blackboard.ConfirmationLevel.TERM
        _request_confirmation(board, served, position, level, now)
    else:
        _finish_success(board, served, reads.find_seen_position(answer.status))


def _confirm(board, served, now: float) -> None:
    """Request the confirmation of the log up to its last entry when a write ran.

    The last entry always belongs to the primary's own term, because a promotion
    writes an entry. The position of a repeated write may belong to an older term,
    and an entry of an older term can be lost although a majority holds it
    (see section 5.4.2 of the Raft paper).
    """
    level = blackboard.ConfirmationLevel.TERM
    if served.acknowledge == resources.MAJORITY:
        level = blackboard.ConfirmationLevel.LOG
    status = served.answer.status
    position = messages.Position(term=status.term, index=status.position)
    _request_confirmation(board, served, position, level, now)


def _request_confirmation(board, served, position, level, now) -> None:
    served.state = blackboard.ServedState.CONFIRMING
    statement = served.statement
    board.pending_confirmations[served.id] = blackboard.PendingConfirmation(
        id=served.id,
        database=f"{statement.pool}/{statement.database}",
        level=level,
        position=position,
        requested_at=now,
        deadline=served.deadline,
    )


def _finish_confirmation(board, served, pending, now: float) -> None:
    is_read = served.statement.operation is messages.Operation.GET
    if pending.outcome is blackboard.ConfirmationOutcome.REPLACED:
        if is_read:
            finish_behind(board, served)
        else:
            finish_unknown(board, served, "the primary was replaced")
        return
    by_term = pending.level is blackboard.ConfirmationLevel.TERM
    if by_term and not is_read and now - pending.confirmed_from > FRESHNESS_SECONDS:
        _request_confirmation(board, served, pending.position, pending.level, now)
        return
    seen = (
        reads.find_seen_position(served.answer.status)
        if is_read
        else served.answer.written
    )
    _finish_success(board, served, seen, by_term and not is_read)


def _finish_success(board, served, seen, confirmed: bool = False) -> None:
    answer = served.answer
    if (
        seen is not None
        and served.required is not None
        and positions.is_discarded(answer.status.history, served.required)
    ):
        # No log contains both the position that the session required and the
        # new one. The mark makes the next read report it, even on a replica
        # whose log still has the discarded entries.
        seen = positions.mark_discarded(served.required)
    transaction = served.statement.transaction
    if served.statement.operation is messages.Operation.BEGIN:
        transaction = board.connections[served.connection].transaction
    elif served.statement.operation in (
        messages.Operation.COMMIT,
        messages.Operation.ROLLBACK,
    ):
        transaction = ""
    _finish(
        board,
        served,
        value=answer.value,
        seen=seen,
        transaction=transaction,
        confirmed=confirmed,
        from_replica=answer.status.role is not messages.Role.PRIMARY,
        age_seconds=reads.compute_lag(answer.status, served.sent_at, board.now),
    )


def _finish(board, served, **fields) -> None:
    running = (
        blackboard.ServedState.RUNNING,
        blackboard.ServedState.CONFIRMING,
    )
    invariants.check_outcome(
        served,
        fields.get("error"),
        served.state in running,
        served.state is blackboard.ServedState.CONFIRMING,
    )
    board.served.pop(served.id, None)
    now = board.now
    statement = served.statement
    database = board.databases.get(f"{statement.pool}/{statement.database}")
    started_at = served.work.started_at
    answer = messages.ServedAnswer(
        request_id=served.id,
        endpoint=served.endpoint,
        primary=database.primary if database else "",
        term=database.term if database else 0,
        status=_find_status(board, served),
        processing_seconds=now - served.received_at,
        queueing_seconds=(
            (started_at if started_at is not None else now) - served.work.enqueued_at
        ),
        **fields,
    )
    send(board, served.host, answer)


def _find_status(board, served) -> messages.EndpointStatus | None:
    """Return the endpoint's status when the statement ran, else the last known one."""
    if served.answer is not None:
        return served.answer.status
    record = board.endpoints.get(served.endpoint)
    return record.status if record is not None else None
