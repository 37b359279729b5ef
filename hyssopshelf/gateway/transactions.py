"""Statements of transactions; a transaction keeps one connection."""

import attrs

from hyssopshelf import clocks, exceptions
from hyssopshelf.gateway import catalog, execution, gates, links, statements

_KIND = exceptions.ErrorKind


@attrs.define(kw_only=True)
class Transaction:
    """An open transaction of a session.

    Attributes
    ----------
    gate, link : Gate and Link or None
        Where it runs; None before its first statement.
    grant_version : int
        Version of the belief in the primary under which it started, 0 on
        replicas.
    wrote : bool
        Whether a write ran in it.
    idle_since : float
        End of its last statement.
    """

    read_only: bool
    route: catalog.Route
    gate: gates.Gate | None = None
    link: links.Link | None = None
    grant_version: int = 0
    wrote: bool = False
    idle_since: float = 0.0


async def run(
    session, request, shape, *, commit: bool = False, writes: bool = False
) -> statements.Reply:
    """Run a statement of the open transaction; a failure aborts it.

    Nothing of a transaction is kept unless its COMMIT ran, so every other
    failure is a promise that the client may repeat the whole transaction.
    """
    transaction = session.transaction
    deadline = clocks.read_clock() + transaction.route.statement_seconds
    turn = None
    if transaction.link is None:
        turn = await _start(session, transaction, deadline)
        if isinstance(turn, statements.Reply):
            session.abort()
            return turn
    commits_writes = commit and transaction.wrote
    if (commits_writes or writes) and not execution.can_acknowledge(
        session.gateway, transaction.route.database, transaction.grant_version
    ):
        if turn is not None:
            transaction.gate.leave(turn)
        session.trail.add(transaction.gate.endpoint.id, "belief lapsed")
        session.abort()
        return execution.fail(_KIND.ABORTED, "primary may have changed")
    try:
        reply = await _send(session, request, shape, turn, deadline, commits_writes)
    except gates.RefusalError as refusal:
        session.abort()
        return execution.fail(_KIND.ABORTED, refusal.reason)
    except links.LinkError as error:
        session.abort()
        unknown = commits_writes and error.sent
        kind = _KIND.OUTCOME_UNKNOWN if unknown else _KIND.ABORTED
        return execution.fail(kind, error.reason)
    except BaseException:
        transaction.link.close()
        session.abort()
        raise
    if reply.error is None:
        session.trail.endpoint = transaction.gate.endpoint.id
        return reply
    session.abort()
    if commits_writes and reply.error not in execution.NOT_RUN:
        return execution.fail(_KIND.OUTCOME_UNKNOWN, reply.error.value)
    return execution.fail(_KIND.ABORTED, reply.error.value)


async def _send(session, request, shape, turn, deadline, commits_writes: bool):
    """Send a statement on the transaction's connection and return its reply."""
    gateway = session.gateway
    transaction = session.transaction
    gate, link = transaction.gate, transaction.link
    if turn is None:
        try:
            turn = await gate.enter(
                transaction.route.rank, deadline, session.state, link
            )
        except gates.RefusalError as refusal:
            session.trail.add(gate.endpoint.id, f"refused ({refusal.reason})")
            raise
    if commits_writes:
        gateway.start_write(gate.endpoint.database, transaction.grant_version)
    sent_at = clocks.read_clock()
    make_message = execution.make_message(session, request, None)
    try:
        reply = await execution.exchange(
            gateway, gate, link, session.state, shape, make_message, deadline
        )
    except links.LinkError as error:
        session.trail.add(gate.endpoint.id, error.reason)
        raise
    finally:
        if commits_writes:
            gateway.end_write(gate.endpoint.database, transaction.grant_version)
        gate.leave(turn)
    transaction.idle_since = clocks.read_clock()
    if reply.error is not None:
        session.trail.add(gate.endpoint.id, reply.error.value)
    elif transaction.grant_version:
        execution.observe(gateway, gate, transaction.grant_version, reply, sent_at)
    return reply


async def _start(session, transaction: Transaction, deadline: float):
    """Open the transaction at an endpoint; return its turn or a reply."""
    route = transaction.route
    search = execution.start_search(route, reads=transaction.read_only)
    reply = execution.fail(_KIND.UNAVAILABLE)
    for _ in range(execution.MAXIMUM_ATTEMPTS):
        entered = await execution.enter(session, route, deadline, search)
        if isinstance(entered, statements.Reply):
            return entered
        reply = await _begin(session, transaction, entered, deadline)
        if reply.error is None:
            return entered.turn
        search.record_failure(
            entered.gate.endpoint.id,
            entered.version,
            reply.error,
            clocks.read_clock(),
        )
    return execution.fail(_KIND.UNAVAILABLE, reply.error.value)


async def _begin(session, transaction: Transaction, entered, deadline: float):
    gateway = session.gateway
    gate, link = entered.gate, entered.turn.link
    message = gateway.endpoint_codec.format_begin(
        transaction.read_only, entered.candidate.position
    )
    usable = False
    begun = False
    try:
        reply = await execution.exchange(
            gateway, gate, link, session.state, None, lambda _: message, deadline
        )
        usable = True
        begun = reply.error is None
    except links.LinkError as error:
        session.trail.add(gate.endpoint.id, error.reason)
        return execution.fail(_KIND.UNAVAILABLE, error.reason)
    finally:
        if not begun:
            if usable:
                gate.release_link(link)
            else:
                gate.discard_link(link)
            gate.leave(entered.turn)
    execution.record_freshness(gateway, entered, reply)
    if not begun:
        reason = execution.describe_error(reply, entered.candidate.position)
        session.trail.add(gate.endpoint.id, f"begin {reason}")
        return reply
    transaction.gate, transaction.link = gate, link
    transaction.grant_version = entered.version
    return reply
