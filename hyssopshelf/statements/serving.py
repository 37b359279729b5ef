"""Admission and start of statements at the serving node of their endpoint.

A statement waits for a replica to catch up, for a free slot of its endpoint and for
a connection; :mod:`hyssopshelf.statements.completion` handles its answer.
"""

from hyssopshelf import (
    base,
    blackboard,
    clocks,
    exceptions,
    invariants,
    logs,
    messages,
)
from hyssopshelf.connections import pool
from hyssopshelf.consistency import reads
from hyssopshelf.membership import balancing
from hyssopshelf.scheduling import queues, work
from hyssopshelf.statements import completion, polling, replay, transactions

WAIT_SECONDS = 0.05
"""Longest wait for a replica to satisfy a read, in seconds."""

LEAVING_GRACE_SECONDS = 2.0
"""Time after which a leaving endpoint takes no new work, in seconds. The guaranteed
bound is 3 s, of which 1 s is left for the notice to reach this node."""

DRAIN_GRACE_SECONDS = 1.0
"""Time for which a draining node still accepts forwarded statements, in seconds.
Meanwhile its peers learn that it leaves; later it answers statements as unavailable."""

KNOWN_ROLE_SECONDS = 0.5
"""Longest age of a status at which the reported role is relied on, in seconds."""


@base.receive.register
def receive_forward(message: messages.ForwardStatement, board, host, now) -> None:
    """Admit a forwarded statement.

    A duplicated or late message is dropped; see
    :mod:`hyssopshelf.statements.replay`.
    """
    if not replay.accept_request(board, message.request_id, now):
        board.log(
            logs.LogEvent.MESSAGE_DROPPED,
            request=message.request_id,
            host=host,
            reason="received before or too late",
        )
        return
    board.forwarded_at = now
    remaining = message.remaining_seconds
    waited_since = _find_wait_start(board, message, host)
    deadline = clocks.find_deadline(remaining, now, waited_since)
    deadline = min(deadline, now + remaining - board.pause_seconds)
    served = _make_request(board, message, host, deadline, now)
    if served is None:
        _answer_unavailable(board, message, host)
        return
    board.served[served.id] = served
    if waited_since is not None and not served.statement.transaction:
        served.may_be_early = now - waited_since > clocks.LONG_WAIT_SECONDS
    if deadline <= now:
        _finish_late(board, served, "deadline passed")
    elif served.statement.transaction:
        _admit_to_transaction(board, served, now)
    else:
        _admit(board, served, now)


@base.receive.register
def receive_cancel(message: messages.CancelStatement, board, host, now) -> None:
    """Drop a statement that was not sent yet and whose caller disconnected.

    It is also dropped if it arrives later, over an older connection.
    """
    if replay.accept_request(board, message.request_id, now):
        return
    served = board.served.get(message.request_id)
    if served is None or served.state not in (
        blackboard.ServedState.WAITING,
        blackboard.ServedState.QUEUED,
    ):
        return
    queue = board.endpoint_queues.get(served.endpoint)
    if queue is not None:
        queue.discard(served.id)
    completion.release_transaction(board, served)
    del board.served[served.id]


def _find_wait_start(board, message, host) -> float | None:
    """Return since when a forwarded write may have waited, if that is known.

    Reads keep their time, and what this node forwards to itself has not waited.
    """
    is_read = message.statement.operation is messages.Operation.GET
    return None if is_read or host == board.identity.host else board.waited_since


def _finish_late(board, served, text: str) -> None:
    """Finish a statement that is too late to be sent.

    If it may have time left, its entry node tries it again.
    """
    kind = exceptions.ErrorKind.DEADLINE_PASSED
    if served.may_be_early:
        kind = exceptions.ErrorKind.NOT_RUN
    completion.finish_error(board, served, kind, text)


def _make_request(board, message, host, deadline, now):
    """Return the record of a forwarded statement, or None if it cannot be served."""
    statement = message.statement
    view = board.pools.get(statement.pool)
    endpoint = board.endpoints.get(message.endpoint)
    if view is None or endpoint is None:
        return None
    kind = view.kinds.get((statement.partner, statement.kind))
    if kind is None:
        return None
    leaving = _is_leaving(endpoint, now)
    draining = board.draining and now >= board.drained_at + DRAIN_GRACE_SECONDS
    if (leaving or draining) and not statement.transaction:
        return None
    if board.stopping:
        return None
    item = work.Work(
        id=message.request_id,
        partner=statement.partner,
        rank=kind.rank,
        kind=kind.name,
        deadline=deadline,
        enqueued_at=now,
        in_transaction=bool(statement.transaction),
    )
    return blackboard.ServedRequest(
        id=message.request_id,
        host=host,
        endpoint=message.endpoint,
        statement=statement,
        required=message.required,
        deadline=deadline,
        work=item,
        staleness_seconds=kind.staleness_seconds,
        acknowledge=view.ranks[kind.rank].acknowledge,
        received_at=now,
    )


def _is_leaving(endpoint, now: float) -> bool:
    """Return whether an endpoint has been leaving too long to take new work."""
    return (
        endpoint.leaving_at is not None
        and now >= endpoint.leaving_at + LEAVING_GRACE_SECONDS
    )


def _answer_unavailable(board, message, host) -> None:
    is_read = message.statement.operation is messages.Operation.GET
    database = board.databases.get(
        f"{message.statement.pool}/{message.statement.database}"
    )
    answer = messages.ServedAnswer(
        request_id=message.request_id,
        error=exceptions.ErrorKind.UNAVAILABLE,
        message="endpoint takes no new work at this node",
        endpoint=message.endpoint,
        behind=is_read,
        primary=database.primary if database else "",
        term=database.term if database else 0,
    )
    completion.send(board, host, answer)


def _admit_to_transaction(board, served, now) -> None:
    record = board.transactions.get(served.statement.transaction)
    if record is None or record.partner != served.statement.partner:
        completion.finish_error(
            board,
            served,
            exceptions.ErrorKind.NOT_FOUND,
            "no such open transaction; it was rolled back",
        )
        return
    connection = board.connections[record.connection]
    if connection.work_id:
        completion.finish_error(
            board,
            served,
            exceptions.ErrorKind.BAD_REQUEST,
            "a statement of this transaction is running",
        )
        return
    connection.work_id = served.id
    served.connection = connection.id
    record.idle_deadline = max(
        record.idle_deadline, served.deadline + transactions.IDLE_SECONDS
    )
    _enqueue(board, served, now)


def _admit(board, served, now) -> None:
    if _is_known_replica(board, served, now):
        completion.finish_error(
            board,
            served,
            exceptions.ErrorKind.NOT_RUN,
            "the endpoint is not the primary",
        )
        return
    if served.statement.operation is messages.Operation.GET:
        check_result = _check_known_state(board, served, now)
        if check_result is reads.CheckResult.BEHIND:
            _wait_for_replica(board, served, now)
            return
    _enqueue(board, served, now)


def _is_known_replica(board, served, now) -> bool:
    """Return whether a statement needs the primary and its endpoint is a replica."""
    record = board.endpoints[served.endpoint]
    if record.status is None or record.status.role is messages.Role.PRIMARY:
        return False
    if now - record.status_asked_at > KNOWN_ROLE_SECONDS:
        return False
    database = board.databases[record.database]
    if database.primary == record.name and record.status.term <= database.term:
        # The status was reported before the promotion that this node knows of.
        return False
    return _needs_primary(served)


def _needs_primary(served) -> bool:
    statement = served.statement
    return statement.operation is not messages.Operation.GET or reads.needs_primary(
        statement.consistency, served.required
    )


def _check_known_state(board, served, now) -> reads.CheckResult:
    """Check the endpoint's last known state against the requirements of a read.

    An unknown state counts as satisfied, because the read is checked again against
    the state in which it ran.
    """
    record = board.endpoints[served.endpoint]
    if record.status is None:
        return reads.CheckResult.SATISFIED
    return reads.check_state(
        record.status,
        record.status_asked_at,
        served.statement.consistency,
        served.required,
        served.staleness_seconds,
        now,
    )


def _wait_for_replica(board, served, now) -> None:
    """Delay a read until the replica satisfies it, at most ``WAIT_SECONDS``."""
    served.state = blackboard.ServedState.WAITING
    served.wait_deadline = min(now + WAIT_SECONDS, served.deadline)
    board.waiting_reads[served.id] = served
    polling.poll_endpoint(board, served.endpoint, polling.URGENT_POLL_SECONDS, now)


def _enqueue(board, served, now) -> None:
    """Add a statement to the queue of its endpoint and start what can run.

    Statements that the queue sheds in its favor are refused.
    """
    served.state = blackboard.ServedState.QUEUED
    view = board.pools[served.statement.pool]
    queue = board.endpoint_queues.get(served.endpoint)
    if queue is None:
        queue = queues.EndpointQueue(
            endpoint=served.endpoint, pool=served.statement.pool
        )
        board.endpoint_queues[served.endpoint] = queue
    outcome = queue.admit(served.work, view, now)
    if outcome.is_err():
        refusal = outcome.unwrap_err()
        late = refusal.reason == queues.DEADLINE_TOO_CLOSE
        if late and served.may_be_early:
            _finish_late(board, served, refusal.reason)
        else:
            completion.finish_refused(board, served, refusal)
        return
    for shed in outcome.unwrap():
        other = board.served.get(shed.id)
        if other is not None:
            refusal = work.Refusal(
                reason="shed in favor of other work", retry_after_seconds=1.0
            )
            completion.finish_refused(board, other, refusal)
    start_queued(board, served.endpoint, now)


def start_queued(board, endpoint: str, now: float) -> None:
    """Start queued statements while the endpoint has free slots and connections.

    If there is no idle connection, more are opened, and the statement goes back to
    the queue.
    """
    queue = board.endpoint_queues.get(endpoint)
    record = board.endpoints.get(endpoint)
    view = board.pools.get(queue.pool) if queue is not None else None
    if queue is None or record is None or view is None:
        return
    while (item := queue.take(view, now)) is not None:
        served = board.served[item.id]
        if now >= served.deadline:
            # The tick that expires it is late.
            queue.requeue(item)
            queue.discard(item.id)
            _expire_queued(board, item)
            continue
        if not served.connection:
            connection = pool.claim_connection(board, endpoint, served.id)
            if connection is None:
                queue.requeue(item)
                wanted = max(1, min(view.slots, queue.waiting))
                pool.open_connections(board, endpoint, wanted, view.connections, now)
                return
            served.connection = connection.id
        _start(board, served, now)


def _start(board, served, now) -> None:
    statement = served.statement
    sends_term = statement.operation is not messages.Operation.GET
    database = board.databases.get(f"{statement.pool}/{statement.database}")
    term = database.term if database is not None and sends_term else 0
    if statement.transaction:
        term = board.transactions[statement.transaction].term
    queued = served.state is blackboard.ServedState.QUEUED
    invariants.check_start(served, board.endpoints.get(served.endpoint), queued, now)
    served.state = blackboard.ServedState.RUNNING
    served.sent_at = now
    balancing.count_statement(board, served.endpoint)
    board.act(
        base.Execute(
            connection=served.connection,
            request_id=served.id,
            request=messages.EndpointRequest(
                operation=statement.operation,
                key=statement.key,
                value=statement.value,
                idempotency_key=statement.idempotency_key,
                term=term,
            ),
        )
    )


def settle(board, now: float) -> None:
    """Start queued statements where a slot or a connection became free."""
    while board.ready_endpoints:
        start_queued(board, board.ready_endpoints.pop(), now)


def step(board, now: float) -> None:
    """Apply deadlines and retry endpoints with waiting work; runs at each tick."""
    for served in list(board.waiting_reads.values()):
        _step_waiting(board, served, now)
    for endpoint, queue in board.endpoint_queues.items():
        for item in queue.expire(now):
            _expire_queued(board, item)
        if queue.waiting:
            board.ready_endpoints.add(endpoint)
    for served in list(board.served.values()):
        if now >= served.deadline:
            completion.expire_request(board, served, now)
        elif served.state is blackboard.ServedState.QUEUED:
            _step_queued(board, served, now)


def receive_status(board, endpoint: str, now: float) -> None:
    """Check the reads that wait for an endpoint again after it reported its state."""
    for served in list(board.waiting_reads.values()):
        if served.endpoint == endpoint:
            _step_waiting(board, served, now)


def _step_waiting(board, served, now) -> None:
    if served.id not in board.served:
        del board.waiting_reads[served.id]
        return
    check_result = _check_known_state(board, served, now)
    if check_result is not reads.CheckResult.BEHIND:
        del board.waiting_reads[served.id]
        _enqueue(board, served, now)
    elif now >= served.wait_deadline:
        del board.waiting_reads[served.id]
        completion.finish_behind(board, served)
    elif now >= board.next_polls.get(served.endpoint, 0.0):
        polling.poll_endpoint(board, served.endpoint, polling.URGENT_POLL_SECONDS, now)


def _step_queued(board, served, now) -> None:
    """Return a queued statement to its entry node if it should run elsewhere.

    This applies if the endpoint is leaving, if the statement needs a primary that
    is now another endpoint, and for reads while no connection can be opened.
    """
    if served.statement.transaction:
        return
    endpoint = board.endpoints.get(served.endpoint)
    database = board.databases.get(endpoint.database) if endpoint else None
    if database is None:
        return
    if _is_leaving(endpoint, now):
        board.endpoint_queues[served.endpoint].discard(served.id)
        _return_to_entry(board, served, "the endpoint is leaving")
        return
    primary_elsewhere = database.primary and database.primary != served.endpoint
    if not primary_elsewhere:
        return
    if _needs_primary(served):
        board.endpoint_queues[served.endpoint].discard(served.id)
        _return_to_entry(board, served, "another endpoint became the primary")
    elif now < endpoint.open_after and not board.endpoint_connections[endpoint.name]:
        board.endpoint_queues[served.endpoint].discard(served.id)
        completion.finish_behind(board, served)


def _return_to_entry(board, served, reason: str) -> None:
    """Answer that a statement did not run, so that its entry node routes it again."""
    if _needs_primary(served):
        completion.finish_error(board, served, exceptions.ErrorKind.NOT_RUN, reason)
    else:
        completion.finish_behind(board, served)


def _expire_queued(board, item) -> None:
    served = board.served.get(item.id)
    if served is None:
        return
    completion.release_transaction(board, served)
    _finish_late(board, served, "deadline passed in the queue")
