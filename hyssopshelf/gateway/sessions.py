"""Client sessions and the handlers of their statements."""

import asyncio
import functools

from hyssopshelf import clocks, exceptions, logs
from hyssopshelf.gateway import (
    autocommit,
    catalog,
    endpoint_connections,
    execution,
    session_state,
    statements,
    transactions,
)

_KIND = exceptions.ErrorKind

STOPPING_REASON = "this node is stopping"
"""Explanation of the errors that a graceful stop of this node causes."""

FAILED_REASON = "the transaction had failed"
"""Explanation of the errors in a transaction that was rolled back before."""

ROLLBACK_SECONDS = 1.0
"""Time limit of a rollback, after which the connection is closed instead."""


class Session:
    """Holds the state of one client's session and answers its requests.

    Parameters
    ----------
    gateway : Gateway
        The gateway that serves it.
    name : str
        Database name that the client asked for.
    key_digest : bytes or None
        Digest of the client's key; None if there were no customers at its start.

    Attributes
    ----------
    customer : str
        Customer of the present unit of work, empty without customers.
    last_write_position : LogPosition or None
        Position of the last acknowledged write.
    transaction : Transaction or None
        Open transaction.
    failed : bool
        Whether a transaction failed and the client has not ended it yet.
    abort_reason : str
        Why the gateway rolled the transaction back, until the client is told; empty
        if a statement of the client failed.
    """

    def __init__(self, *, gateway, name: str, key_digest: bytes | None = None) -> None:
        self.gateway = gateway
        self.name = name
        self.key_digest = key_digest
        self.customer = ""
        self.state = session_state.SessionState()
        self.last_write_position: statements.LogPosition | None = None
        self.transaction: transactions.Transaction | None = None
        self.failed = False
        self.abort_reason = ""
        self.trace = execution.RequestTrace()
        self._cleanups: set[asyncio.Task] = set()

    @property
    def status(self) -> str:
        """Return the letter of the transaction state in the client protocol.

        ``I`` without a transaction, ``T`` in one, ``E`` after it has failed.
        """
        if self.failed:
            return "E"
        return "T" if self.transaction is not None else "I"

    def find_route(self) -> catalog.Route | None:
        """Return the route of the session's name in the configuration in force."""
        configuration = self.gateway.board.configuration
        return (
            configuration.routes.get(self.name) if configuration is not None else None
        )

    async def answer(self, request: statements.Request) -> statements.Reply:
        """Run a request and return its reply."""
        self.trace = execution.RequestTrace()
        if request.statement is None:
            self.close()
            return execution.make_error(_KIND.BAD_REQUEST, "malformed statement")
        if self.transaction is not None and not self.gateway.may_start_work():
            self.abort(STOPPING_REASON)
        return await run(request.statement, self, request)

    def give_up(self, request: statements.Request) -> statements.Reply:
        """Return what is known of a request whose processing was cancelled."""
        if self.transaction is not None:
            self.abort()
        in_transaction = self.failed
        if isinstance(request.statement, statements.Commit):
            self.end_failed()
        if self.trace.may_be_kept:
            kind = _KIND.OUTCOME_UNKNOWN
        elif in_transaction:
            kind = _KIND.ABORTED
        elif self.trace.sent_to:
            kind = _KIND.DEADLINE_PASSED
        else:
            kind = _KIND.UNAVAILABLE
        return execution.make_error(kind, STOPPING_REASON)

    async def start_operation(self, route: catalog.Route) -> statements.Reply | None:
        """Check key and limit before a unit of work: a statement or a transaction.

        Returns
        -------
        Reply or None
            The refusal, None if the unit may start.
        """
        gateway = self.gateway
        if not gateway.may_start_work():
            return execution.make_error(_KIND.UNAVAILABLE, STOPPING_REASON)
        if not gateway.has_customers():
            self.customer = ""
            return None
        allowed, customer = await gateway.find_customer(
            route, self.key_digest, wait=False
        )
        if not allowed:
            record_unknown_key(gateway, self.name)
            return execution.make_error(_KIND.UNKNOWN_KEY, self.name)
        if customer is None:
            self.customer = ""
            return None
        self.customer = customer.name
        deadline = gateway.compute_deadline(route)
        order = gateway.board.configuration.orders[route.rank]
        refused = await gateway.allowances.take(customer, order, deadline)
        if refused is None:
            return None
        reason = "limit reached"
        if refused is _KIND.UNAVAILABLE:
            reason = "no keeper of the limit is reached"
        self.trace.add(customer.name, reason)
        return execution.make_error(refused, reason)

    def abort(self, reason: str = "") -> None:
        """Roll back the open transaction; the client still has to end it.

        The rollback at the endpoint runs in the background.

        Parameters
        ----------
        reason : str
            What the client's next statement is told; empty if the statement that
            failed is told.
        """
        transaction, self.transaction = self.transaction, None
        self.failed = True
        self.abort_reason = reason
        if transaction is not None and transaction.connection is not None:
            self._clean_up(transaction)

    def end_failed(self) -> None:
        """Forget a failed transaction that the client has ended."""
        self.failed = False
        self.abort_reason = ""

    def close(self) -> None:
        """Roll back the open transaction, if there is one."""
        if self.transaction is not None:
            self.abort()

    def finish(self) -> None:
        """Return the connection of an ended transaction to the pool."""
        transaction, self.transaction = self.transaction, None
        if transaction is not None and transaction.connection is not None:
            transaction.pool.release_connection(transaction.connection)

    def _clean_up(self, transaction: transactions.Transaction) -> None:
        task = asyncio.get_running_loop().create_task(roll_back(transaction))
        self._cleanups.add(task)
        task.add_done_callback(self._cleanups.discard)


def record_unknown_key(gateway, name: str) -> None:
    """Count and log a key that nobody holds; the key itself is not logged."""
    gateway.metrics.keys_refused += 1
    logs.write_request(
        logs.LogEvent.KEY_REFUSED,
        {"name": name, "version": gateway.board.configuration.version},
    )


async def roll_back(transaction: transactions.Transaction) -> None:
    """Roll a transaction back; a connection that does not answer is closed."""
    connection, pool = transaction.connection, transaction.pool
    if connection.closed:
        pool.discard_connection(connection)
        return
    try:
        async with asyncio.timeout(ROLLBACK_SECONDS):
            replies = await connection.exchange(pool.codec.format_rollback(), 1)
    except (TimeoutError, endpoint_connections.EndpointConnectionError) as error:
        logs.write_request(
            logs.LogEvent.CONNECTION_DISCARDED,
            {"endpoint": pool.endpoint.id, "reason": f"rollback failed: {error!r}"},
        )
        pool.discard_connection(connection)
        return
    if replies[0].error is not None:
        pool.discard_connection(connection)
        return
    pool.release_connection(connection)


@functools.singledispatch
async def run(statement, session: Session, request) -> statements.Reply:
    """Run a statement of a session and return its reply."""
    raise NotImplementedError(f"no handler for {type(statement).__name__}")


def refuse_after_failure(handler):
    """Wrap a handler so that statements of a failed transaction are refused."""

    @functools.wraps(handler)
    async def handle_unless_failed(
        statement, session: Session, request
    ) -> statements.Reply:
        if session.abort_reason:
            reason, session.abort_reason = session.abort_reason, ""
            return execution.make_error(_KIND.ABORTED, reason)
        if session.failed:
            return execution.make_error(_KIND.BAD_REQUEST, "the transaction has failed")
        return await handler(statement, session, request)

    return handle_unless_failed


@run.register
async def _run_begin(statement: statements.Begin, session, request):
    if session.failed or session.transaction is not None:
        session.close()
        return execution.make_error(_KIND.BAD_REQUEST, "a transaction is open")
    route = session.find_route()
    if route is None:
        return execution.make_error(_KIND.NOT_FOUND, session.name)
    refusal = await session.start_operation(route)
    if refusal is not None:
        return refusal
    session.transaction = transactions.Transaction(
        read_only=statement.read_only, route=route, idle_since=clocks.read_clock()
    )
    return statements.Reply()


@run.register
async def _run_rollback(statement: statements.Rollback, session, request):
    session.close()
    session.end_failed()
    return statements.Reply()


@run.register
async def _run_commit(statement: statements.Commit, session, request):
    if session.failed:
        reason = session.abort_reason or FAILED_REASON
        session.end_failed()
        return execution.make_error(_KIND.ABORTED, reason)
    transaction = session.transaction
    if transaction is None:
        return execution.make_error(_KIND.BAD_REQUEST, "no transaction is open")
    reply = await transactions.run(session, request, None, commit=True)
    if session.failed:
        # COMMIT ends the client's transaction even if it fails.
        session.end_failed()
        return reply
    session.finish()
    if transaction.wrote:
        return execution.acknowledge_write(
            session, transaction.connection, transaction.grant_version, reply
        )
    return reply


@run.register
@refuse_after_failure
async def _run_set(statement: statements.SetValue, session, request):
    session.state.values[statement.name] = statement.value
    return statements.Reply()


@run.register
@refuse_after_failure
async def _run_prepare(statement: statements.Prepare, session, request):
    session.state.prepared[statement.name] = statement.shape
    return statements.Reply()


@run.register
@refuse_after_failure
async def _run_deallocate(statement: statements.Deallocate, session, request):
    if session.state.prepared.pop(statement.name, None) is None:
        session.close()
        return execution.make_error(_KIND.UNPREPARED, "no such statement")
    return statements.Reply()


@run.register
@refuse_after_failure
async def _run_access(statement: statements.Access, session, request):
    return await _run_data(session, request, statement.writes, None)


@run.register
@refuse_after_failure
async def _run_execute(statement: statements.Execute, session, request):
    shape = session.state.prepared.get(statement.name)
    if shape is None:
        session.close()
        return execution.make_error(_KIND.UNPREPARED, "no such statement")
    return await _run_data(session, request, shape.writes, shape)


async def _run_data(session, request, writes: bool, shape) -> statements.Reply:
    if session.transaction is not None:
        reply = await transactions.run(session, request, shape, writes=writes)
        if reply.error is None and writes and session.transaction is not None:
            session.transaction.wrote = True
        return reply
    route = session.find_route()
    if route is None:
        return execution.make_error(_KIND.NOT_FOUND, session.name)
    refusal = await session.start_operation(route)
    if refusal is not None:
        return refusal
    return await autocommit.run(session, request, writes, shape)
