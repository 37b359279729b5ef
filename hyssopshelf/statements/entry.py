"""Processing of statements by their entry node.

Validates and admits a caller's statement, forwards it to the serving node of an
endpoint, and routes it again if it did not run.
"""

from hyssopshelf import base, blackboard, exceptions, logs, messages, peer_events
from hyssopshelf.consistency import routing, tokens
from hyssopshelf.membership import hosts, placement
from hyssopshelf.scheduling import limits
from hyssopshelf.statements import answers, checks, serving, transactions

GRACE_SECONDS = 0.05
"""Time after the deadline during which an answer is still awaited, in seconds."""

AVOID_SECONDS = 3.0
"""Time for which a host to which a message could not be sent is avoided, in seconds."""

SEND_OUTCOME_SECONDS = 1.2
"""Time after which a message was sent or was reported as not sent, in seconds."""

PARKED_RETRY_SECONDS = 0.25
"""Interval at which one parked statement of a database is retried, in seconds.

The other parked statements are retried when a statement of the database succeeds
or a new primary is known. An outage thus costs a few messages per second however
many statements wait, and none of them starves.
"""


@base.handle.register
def handle_statement(event: base.StatementReceived, board, now) -> None:
    """Validate and admit a caller's statement and send it to its serving node."""
    statement = event.statement
    problem = checks.check_statement(board, statement)
    if problem is not None:
        answers.reply_error(board, event.caller, statement.id, problem)
        return
    try:
        positions = tokens.verify(statement.token, board.token_keys)
    except exceptions.TokenError as error:
        problem = checks.Problem(
            kind=exceptions.ErrorKind.BAD_TOKEN, message=str(error)
        )
        answers.reply_error(board, event.caller, statement.id, problem)
        return
    kind = board.pools[statement.pool].kinds[(statement.partner, statement.kind)]
    request = blackboard.EntryRequest(
        id="",
        caller=event.caller,
        statement=statement,
        rank=kind.rank,
        deadline=now + statement.remaining_seconds - board.pause_seconds,
        received_at=now,
        token_positions=positions,
        staleness_seconds=kind.staleness_seconds,
    )
    board.count(f"statements_{statement.operation.value}")
    board.retry_budget.deposit(now)
    if _admit(board, request, now):
        dispatch(board, request, now)


@base.handle.register
def handle_caller_disconnected(event: base.CallerDisconnected, board, now) -> None:
    """Cancel the statements of a caller whose connection closed."""
    for request in list(board.requests.values()):
        if request.caller != event.caller:
            continue
        del board.requests[request.id]
        answers.release(board, request, now)
        if request.host and request.host != board.identity.host:
            cancel = messages.CancelStatement(request_id=request.id)
            board.act(base.SendPeer(host=request.host, message=cancel))


@base.handle.register
def handle_unsent(event: peer_events.PeerUnsent, board, now) -> None:
    """Suspect the host and park the statement whose message was not sent.

    The serving node cannot have received the statement, so it may run elsewhere. A
    statement of a transaction can't; it is answered if its host has left or is dead.
    """
    hosts.request_probe(board, event.host, now)
    if not isinstance(event.message, messages.ForwardStatement):
        return
    board.avoided_hosts[event.host] = now + AVOID_SECONDS
    request = board.requests.pop(event.message.request_id, None)
    if request is None:
        return
    if request.statement.transaction and _is_host_gone(board, event.host):
        answers.reply_failure(
            board,
            request,
            exceptions.ErrorKind.NOT_RUN,
            "the node of the transaction has stopped; it was rolled back",
        )
    else:
        park(board, request, "the serving node cannot be reached", now)


@base.receive.register
def receive_answer(message: messages.ServedAnswer, board, host, now) -> None:
    """Reply to a statement, or route it again, when its serving node answers.

    A read is sent to the primary if the endpoint's state or the age of the data
    does not satisfy it. A statement that did not run is parked, unless it belongs
    to an open transaction.
    """
    request = board.requests.get(message.request_id)
    if request is None or request.host != host or request.parked:
        board.log(
            logs.LogEvent.ANSWER_DROPPED,
            request=message.request_id,
            host=host,
            reason="no such request waits for an answer of this host",
        )
        return
    del board.requests[message.request_id]
    answers.update_board(board, request, message)
    if message.behind:
        request.primary_only = True
        _reroute(board, request, message, now)
    elif message.error is exceptions.ErrorKind.NOT_RUN and _may_run_elsewhere(request):
        park(board, request, message.message, now, term=message.term)
    elif message.error is exceptions.ErrorKind.UNAVAILABLE and _may_run_elsewhere(
        request
    ):
        park(board, request, message.message, now)
    elif answers.is_too_old(request, message, now):
        request.primary_only = True
        _reroute(board, request, message, now)
    elif answers.needs_confirmation(request, message, now):
        answers.request_confirmation(board, request, message, now)
    else:
        answers.reply(board, request, message)


def dispatch(board, request, now: float) -> None:
    """Choose the endpoint and serving node of a statement and send it there.

    The statement is parked if there is no target. Each attempt has a new request
    id, so that a late answer to an earlier attempt is dropped.
    """
    if board.stopping:
        park(board, request, "this node is stopping", now)
        return
    target = _choose_target(board, request, now)
    if target is None:
        database = board.databases[
            f"{request.statement.pool}/{request.statement.database}"
        ]
        writes_held = now < database.held_until
        reason = "no endpoint or serving node is known"
        if writes_held:
            reason = "new writes wait for a planned change of primary"
        park(board, request, reason, now, term=database.term if writes_held else 0)
        return
    route, host = target
    request.parked = False
    request.id = board.next_id()
    request.endpoint = route.endpoint
    request.host = host
    request.attempts += 1
    request.sent_at = now
    board.requests[request.id] = request
    statement = request.statement
    board.log(
        logs.LogEvent.STATEMENT_ROUTED,
        request=request.id,
        database=f"{statement.pool}/{statement.database}",
        endpoint=route.endpoint,
        host=host,
        partner=statement.partner,
        rank=request.rank,
        reason=route.reason,
    )
    _forward(board, request, now)


def park(board, request, reason: str, now: float, term: int = 0) -> None:
    """Keep a statement that did not run until it can be routed again.

    A stopping node answers it instead.
    """
    if board.stopping:
        answers.reply_failure(board, request, exceptions.ErrorKind.NOT_RUN, reason)
        return
    request.id = board.next_id()
    request.endpoint = request.host = ""
    request.parked = True
    request.parked_term = term
    request.parked_at = now
    board.requests[request.id] = request
    board.log(logs.LogEvent.STATEMENT_PARKED, request=request.id, reason=reason)


def settle(board, now: float) -> None:
    """Apply the answers of this node and reply to confirmed statements."""
    while board.local_answers:
        answer = board.local_answers.pop(0)
        receive_answer(answer, board, board.identity.host, now)
    answers.settle(board, now)


def step(board, now: float) -> None:
    """Apply deadlines and retry parked statements; runs at each tick."""
    for host in [h for h, until in board.avoided_hosts.items() if until <= now]:
        del board.avoided_hosts[host]
    for request in list(board.requests.values()):
        if request.parked:
            _step_parked(board, request, now)
        elif now >= request.deadline + GRACE_SECONDS:
            del board.requests[request.id]
            answers.reply_unknown(board, request, "no answer before the deadline")
        elif _is_host_dead(board, request, now):
            del board.requests[request.id]
            _finish_dead_host(board, request, now)


def _admit(board, request, now: float) -> bool:
    """Return whether the admission limits accept a statement; reply if not.

    Statements of an open transaction are always accepted, because the transaction
    occupies a connection until it ends.
    """
    statement = request.statement
    if statement.transaction:
        return True
    outcome = limits.admit(board, statement.pool, statement.partner, request.rank, now)
    if outcome.is_ok():
        request.admitted = True
        return True
    refusal = outcome.unwrap_err()
    board.log(
        logs.LogEvent.STATEMENT_REFUSED,
        request=statement.id,
        partner=statement.partner,
        rank=request.rank,
        reason=refusal.reason,
    )
    answers.reply_failure(
        board,
        request,
        exceptions.ErrorKind.REFUSED,
        refusal.reason,
        refusal.retry_after_seconds,
    )
    return False


def _choose_target(board, request, now):
    """Return the route and serving host of a statement, or None if unknown."""
    location = transactions.parse_id(request.statement.transaction)
    if location is not None:
        route = routing.Route(endpoint=location.endpoint, reason="transaction")
        return (route, location.host) if location.host in board.hosts else None
    route = routing.choose_endpoint(board, request, now)
    if route is None:
        return None
    host = _locate(board, route.endpoint, now)
    return (route, host) if host else None


def _locate(board, endpoint: str, now: float) -> str:
    """Return the serving host of an endpoint, or its successor if it is avoided.

    Membership takes seconds to declare a host dead. Until then two nodes may serve
    the same endpoint, which affects only the order in which its work runs.
    """
    host = placement.locate(board, endpoint, now)
    if board.avoided_hosts.get(host, now) <= now:
        return host
    successor = placement.find_next_host(board, endpoint)
    if not successor or board.avoided_hosts.get(successor, now) > now:
        return host
    return successor


def _forward(board, request, now: float) -> None:
    statement = request.statement
    database = board.databases[f"{statement.pool}/{statement.database}"]
    message = messages.ForwardStatement(
        request_id=request.id,
        endpoint=request.endpoint,
        statement=statement,
        required=request.token_positions.get(database.name),
        remaining_seconds=request.deadline - now,
        term=database.term,
    )
    if request.host == board.identity.host:
        serving.receive_forward(message, board, request.host, now)
        return
    board.act(base.SendPeer(host=request.host, message=message))


def _may_run_elsewhere(request) -> bool:
    """Return whether a statement that did not run may run at another endpoint."""
    return not request.statement.transaction


def _reroute(board, request, message, now: float) -> None:
    """Send a read to the primary; park it if that was tried already."""
    board.log(
        logs.LogEvent.STATEMENT_REROUTED,
        request=request.id,
        endpoint=message.endpoint,
        reason="the endpoint's state does not satisfy the read",
    )
    if request.attempts > 1:
        park(board, request, "the primary is not known", now, term=message.term)
        return
    dispatch(board, request, now)


def _step_parked(board, request, now: float) -> None:
    statement = request.statement
    if now >= request.deadline:
        del board.requests[request.id]
        kind = exceptions.ErrorKind.DEADLINE_PASSED
        message = "no endpoint could take the statement before its deadline"
        answers.reply_failure(board, request, kind, message)
        return
    database = board.databases.get(f"{statement.pool}/{statement.database}")
    if database is None:
        return
    has_new_term = request.parked_term and database.term > request.parked_term
    due = now >= database.parked_retry_at
    if has_new_term or database.served_at > request.parked_at or due:
        if due:
            database.parked_retry_at = now + PARKED_RETRY_SECONDS
        del board.requests[request.id]
        dispatch(board, request, now)


def _is_host_dead(board, request, now: float) -> bool:
    """Return whether the serving host is dead and the statement may have been sent.

    Before ``SEND_OUTCOME_SECONDS`` have passed, the statement may still be reported
    as not sent and can then be routed again.
    """
    record = board.hosts.get(request.host)
    if record is None or record.state is not blackboard.HostState.DEAD:
        return False
    return now >= request.sent_at + SEND_OUTCOME_SECONDS


def _is_host_gone(board, host: str) -> bool:
    """Return whether a host that can't be reached is dead or had announced to leave."""
    record = board.hosts.get(host)
    gone = (blackboard.HostState.DEAD, blackboard.HostState.LEAVING)
    return record is not None and record.state in gone


def _finish_dead_host(board, request, now: float) -> None:
    is_read = request.statement.operation is messages.Operation.GET
    if is_read and _may_run_elsewhere(request) and board.retry_budget.try_withdraw(now):
        park(board, request, "the serving host is dead", now)
        return
    answers.reply_unknown(board, request, "the serving host is dead")
