"""Runs the statements of a transaction, all on one connection."""

import attrs

from hyssopshelf import clocks, exceptions
from hyssopshelf.gateway import (
    catalog,
    connection_pools,
    endpoint_connections,
    execution,
    statements,
)

_KIND = exceptions.ErrorKind

_NOT_COMMITTED = execution.NOT_RUN | {_KIND.REFUSED}
"""Errors of a COMMIT that did not run; only the queue of a holder reports REFUSED."""


@attrs.define(kw_only=True)
class Transaction:
    """An open transaction of a session.

    Attributes
    ----------
    pool, connection : ConnectionPool and EndpointConnection or None
        Where it runs; None before its first statement.
    grant_version : int
        Version of the primary grant under which it started, 0 at a replica.
    wrote : bool
        Whether a write ran in it.
    idle_since : float
        Time at which its last statement ended.
    """

    read_only: bool
    route: catalog.Route
    pool: connection_pools.ConnectionPool | None = None
    connection: endpoint_connections.EndpointConnection | None = None
    grant_version: int = 0
    wrote: bool = False
    idle_since: float = 0.0


async def run(
    session, request, shape, *, commit: bool = False, writes: bool = False
) -> statements.Reply:
    """Run a statement of the open transaction; a failure aborts it.

    Nothing of a transaction is kept unless its COMMIT ran, so after any other
    failure than an unknown outcome the client may repeat the whole transaction.
    """
    transaction = session.transaction
    deadline = session.gateway.compute_deadline(transaction.route)
    checkout = None
    if transaction.connection is None:
        checkout = await _start(session, transaction, deadline)
        if isinstance(checkout, statements.Reply):
            session.abort()
            return checkout
    commits_writes = commit and transaction.wrote
    if (commits_writes or writes) and not execution.can_acknowledge(
        session.gateway,
        transaction.route.database,
        transaction.grant_version,
        transaction.connection.direct,
    ):
        if checkout is not None:
            transaction.pool.release_slot(checkout)
        session.trace.add(transaction.pool.endpoint.id, "primary grant no longer valid")
        session.abort()
        return execution.make_error(_KIND.ABORTED, "primary may have changed")
    try:
        reply = await _send(session, request, shape, checkout, deadline, commits_writes)
    except connection_pools.RefusalError as refusal:
        session.abort()
        return execution.make_error(_KIND.ABORTED, refusal.reason)
    except endpoint_connections.EndpointConnectionError as error:
        session.abort()
        unknown = commits_writes and error.sent
        kind = _KIND.OUTCOME_UNKNOWN if unknown else _KIND.ABORTED
        return execution.make_error(kind, error.reason)
    except BaseException:
        transaction.connection.close()
        session.abort()
        raise
    if reply.error is None:
        session.trace.endpoint = transaction.pool.endpoint.id
        return reply
    session.abort()
    if commits_writes and reply.error not in _NOT_COMMITTED:
        return execution.make_error(_KIND.OUTCOME_UNKNOWN, reply.error.value)
    return execution.make_error(_KIND.ABORTED, reply.error.value)


def _check_accepts(session, transaction: Transaction, checkout):
    """Return the checkout, or an error if the endpoint left while it began.

    Only the first statement of a transaction may come too late.
    """
    endpoint = transaction.pool.endpoint.id
    deadlines = session.gateway.board.leave_deadlines
    if deadlines.accepts(endpoint, clocks.read_clock()):
        return checkout
    transaction.pool.release_slot(checkout)
    session.trace.add(endpoint, connection_pools.LEFT_REASON)
    return execution.make_error(_KIND.ABORTED, connection_pools.LEFT_REASON)


async def _send(session, request, shape, checkout, deadline, commits_writes: bool):
    """Send a statement on the transaction's connection and return its reply."""
    gateway = session.gateway
    transaction = session.transaction
    pool, connection = transaction.pool, transaction.connection
    if checkout is None:
        try:
            checkout = await pool.acquire(
                transaction.route.rank,
                deadline,
                session.state,
                connection,
                customer=session.customer,
            )
        except connection_pools.RefusalError as refusal:
            session.trace.add(pool.endpoint.id, f"refused ({refusal.reason})")
            raise
    if commits_writes:
        gateway.start_write(pool.endpoint.database, transaction.grant_version)
    sent_at = clocks.read_clock()
    build_message = execution.make_message_builder(session, request, None)
    session.trace.record_sending(pool.endpoint.id, may_be_kept=commits_writes)
    try:
        reply = await execution.exchange(
            gateway, pool, connection, session.state, shape, build_message, deadline
        )
    except endpoint_connections.EndpointConnectionError as error:
        session.trace.add(pool.endpoint.id, error.reason)
        raise
    finally:
        if commits_writes:
            gateway.end_write(pool.endpoint.database, transaction.grant_version)
        pool.release_slot(checkout)
    session.trace.may_be_kept = False
    transaction.idle_since = clocks.read_clock()
    if reply.error is not None:
        session.trace.add(pool.endpoint.id, reply.error.value)
    elif transaction.grant_version:
        execution.record_observation(
            gateway, connection, transaction.grant_version, reply, sent_at
        )
    return reply


async def _start(session, transaction: Transaction, deadline: float):
    """Begin the transaction at an endpoint; return its checkout or an error."""
    route = transaction.route
    retry = execution.make_retry_state(route, reads=transaction.read_only)
    reply = execution.make_error(_KIND.UNAVAILABLE)
    for _ in range(execution.MAXIMUM_ATTEMPTS):
        reservation = await execution.reserve(session, route, deadline, retry)
        if isinstance(reservation, statements.Reply):
            return reservation
        reply = await _begin(session, transaction, reservation, deadline)
        if reply.error is None:
            return _check_accepts(session, transaction, reservation.checkout)
        retry.record_failure(
            reservation.pool.endpoint.id,
            reservation.version,
            reply.error,
            clocks.read_clock(),
        )
    return execution.make_error(_KIND.UNAVAILABLE, reply.error.value)


async def _begin(session, transaction: Transaction, reservation, deadline: float):
    gateway = session.gateway
    pool, connection = reservation.pool, reservation.checkout.connection
    message = gateway.endpoint_codec.format_begin(
        transaction.read_only, reservation.candidate.position
    )
    usable = False
    begun = False
    try:
        reply = await execution.exchange(
            gateway, pool, connection, session.state, None, lambda _: message, deadline
        )
        usable = True
        begun = reply.error is None
    except endpoint_connections.EndpointConnectionError as error:
        session.trace.add(pool.endpoint.id, error.reason)
        return execution.make_error(_KIND.UNAVAILABLE, error.reason)
    finally:
        if not begun:
            if usable:
                pool.release_connection(connection)
            else:
                pool.discard_connection(connection)
            pool.release_slot(reservation.checkout)
    execution.record_freshness(gateway, reservation, reply)
    if not begun:
        reason = execution.describe_error(reply, reservation.candidate.position)
        session.trace.add(pool.endpoint.id, f"begin {reason}")
        return reply
    transaction.pool, transaction.connection = pool, connection
    transaction.grant_version = reservation.version
    return reply
