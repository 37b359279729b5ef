"""Sessions of clients: what each statement does."""

import asyncio
import functools

from hyssopshelf import clocks, exceptions
from hyssopshelf.gateway import catalog, execution, links, states, statements

_KIND = exceptions.ErrorKind

ROLLBACK_SECONDS = 1.0
"""Time for a rollback before the connection is closed instead."""


class Session:
    """One client's session.

    Parameters
    ----------
    gateway : Gateway
        The gateway that serves it.
    name : str
        Database name that the client asked for.

    Attributes
    ----------
    written : LogPosition or None
        Position of the last acknowledged write.
    transaction : Transaction or None
        Open transaction.
    failed : bool
        Whether a transaction failed and the client has not ended it yet.
    """

    def __init__(self, *, gateway, name: str) -> None:
        self.gateway = gateway
        self.name = name
        self.state = states.SessionState()
        self.written: statements.LogPosition | None = None
        self.transaction: execution.Transaction | None = None
        self.failed = False
        self.trail = execution.Trail()
        self._cleanups: set[asyncio.Task] = set()

    @property
    def status(self) -> str:
        """Return the state letter of the wire."""
        if self.failed:
            return "E"
        return "T" if self.transaction is not None else "I"

    def find_route(self) -> catalog.Route | None:
        """Return the route in force."""
        current = self.gateway.board.configuration
        return current.routes.get(self.name) if current is not None else None

    async def answer(self, request: statements.Request) -> statements.Reply:
        """Run a request and return its reply."""
        self.trail = execution.Trail()
        if request.statement is None:
            if self.transaction is not None:
                self.abort()
            return execution.fail(_KIND.BAD_REQUEST, "malformed statement")
        return await run(request.statement, self, request)

    def abort(self) -> None:
        """Give the open transaction up; the client still has to end it."""
        transaction, self.transaction = self.transaction, None
        self.failed = True
        if transaction is not None and transaction.link is not None:
            self._clean_up(transaction)

    def close(self) -> None:
        """Release what the session holds."""
        if self.transaction is not None:
            self.abort()

    def finish(self) -> None:
        """Return the connection of an ended transaction to the pool."""
        transaction, self.transaction = self.transaction, None
        if transaction is not None and transaction.link is not None:
            transaction.link.in_transaction = False
            transaction.gate.release_link(transaction.link)

    def _clean_up(self, transaction: execution.Transaction) -> None:
        task = asyncio.get_running_loop().create_task(roll_back(transaction))
        self._cleanups.add(task)
        task.add_done_callback(self._cleanups.discard)


async def roll_back(transaction: execution.Transaction) -> None:
    """Roll a transaction back; a connection that does not answer is closed."""
    link, gate = transaction.link, transaction.gate
    if link.closed:
        gate.discard_link(link)
        return
    try:
        async with asyncio.timeout(ROLLBACK_SECONDS):
            replies = await link.exchange(gate.wire.format_rollback(), 1)
    except (TimeoutError, links.Broken):
        gate.discard_link(link)
        return
    if replies[0].error is not None:
        gate.discard_link(link)
        return
    link.in_transaction = False
    gate.release_link(link)


@functools.singledispatch
async def run(statement, session: Session, request) -> statements.Reply:
    """Run a statement of a session and return its reply."""
    raise NotImplementedError(f"no handler for {type(statement).__name__}")


@run.register
async def _run_begin(statement: statements.Begin, session, request):
    if session.failed or session.transaction is not None:
        if session.transaction is not None:
            session.abort()
        return execution.fail(_KIND.BAD_REQUEST, "a transaction is open")
    route = session.find_route()
    if route is None:
        return execution.fail(_KIND.NOT_FOUND, session.name)
    session.transaction = execution.Transaction(
        read_only=statement.read_only, route=route, idle_since=clocks.read_clock()
    )
    return statements.Reply()


@run.register
async def _run_rollback(statement: statements.Rollback, session, request):
    if session.transaction is not None:
        session.abort()
    session.failed = False
    return statements.Reply()


@run.register
async def _run_commit(statement: statements.Commit, session, request):
    if session.failed:
        session.failed = False
        return execution.fail(_KIND.ABORTED, "the transaction had failed")
    transaction = session.transaction
    if transaction is None:
        return execution.fail(_KIND.BAD_REQUEST, "no transaction is open")
    reply = await _run_in_transaction(session, request, None, True)
    if session.failed:
        # The client's COMMIT ends the transaction also when it fails.
        session.failed = False
        return reply
    session.finish()
    if transaction.wrote:
        version = transaction.tenure_version
        database = transaction.route.database
        if not execution.can_acknowledge(session.gateway, database, version):
            session.trail.add(transaction.gate.endpoint.id, "belief lapsed")
            return execution.fail(_KIND.OUTCOME_UNKNOWN, "primary may have changed")
        session.written = reply.position
    return reply


@run.register
async def _run_set(statement: statements.SetValue, session, request):
    if session.failed:
        return execution.fail(_KIND.BAD_REQUEST, "the transaction has failed")
    session.state.values[statement.name] = statement.value
    return statements.Reply()


@run.register
async def _run_prepare(statement: statements.Prepare, session, request):
    if session.failed:
        return execution.fail(_KIND.BAD_REQUEST, "the transaction has failed")
    session.state.prepared[statement.name] = statement.shape
    return statements.Reply()


@run.register
async def _run_deallocate(statement: statements.Deallocate, session, request):
    if session.failed:
        return execution.fail(_KIND.BAD_REQUEST, "the transaction has failed")
    if session.state.prepared.pop(statement.name, None) is None:
        if session.transaction is not None:
            session.abort()
        return execution.fail(_KIND.UNPREPARED, "no such statement")
    return statements.Reply()


@run.register
async def _run_access(statement: statements.Access, session, request):
    return await _run_data(session, request, statement.writes, None)


@run.register
async def _run_execute(statement: statements.Execute, session, request):
    shape = session.state.prepared.get(statement.name)
    if shape is None and not session.failed:
        if session.transaction is not None:
            session.abort()
        return execution.fail(_KIND.UNPREPARED, "no such statement")
    return await _run_data(session, request, bool(shape and shape.writes), shape)


async def _run_data(session, request, writes: bool, shape) -> statements.Reply:
    if session.failed:
        return execution.fail(_KIND.BAD_REQUEST, "the transaction has failed")
    if session.transaction is not None:
        reply = await _run_in_transaction(session, request, shape, False)
        if reply.error is None and writes and session.transaction is not None:
            session.transaction.wrote = True
        return reply
    return await _run_alone(session, request, writes, shape)


def _make_message(session, request, position):
    wire = session.gateway.endpoint_wire

    def make_message(name: bytes) -> bytes:
        text = request.text
        if name:
            text = wire.format_execute(name, request.statement)
        return wire.format_request(request.id, text, position)

    return make_message


async def _run_alone(session, request, writes: bool, shape) -> statements.Reply:
    """Run one statement outside a transaction."""
    gateway = session.gateway
    route = session.find_route()
    if route is None:
        return execution.fail(_KIND.NOT_FOUND, session.name)
    need = execution.Need.PRIMARY if writes else execution.Need.ANY
    deadline = clocks.read_clock() + route.statement_seconds
    excluded: set[str] = set()
    reply = execution.fail(_KIND.UNAVAILABLE)
    for _ in range(execution.MAXIMUM_ATTEMPTS):
        entered = await execution.enter(
            gateway, session, route, need, deadline, excluded, session.trail
        )
        if isinstance(entered, statements.Reply):
            if reply.error in (_KIND.UNAVAILABLE, None):
                reply = entered
            return reply
        gate, turn, candidate, version = entered
        link = turn.link
        sent_at = clocks.read_clock()
        make_message = _make_message(session, request, candidate.position)
        try:
            reply = await execution.exchange(
                gateway, gate, link, session.state, shape, make_message, deadline
            )
        except links.Broken as error:
            gate.discard_link(link)
            gate.leave(turn)
            session.trail.add(gate.endpoint.id, error.reason)
            excluded.add(gate.endpoint.id)
            kind = _KIND.OUTCOME_UNKNOWN if writes else _KIND.DEADLINE_PASSED
            reply = execution.fail(kind, error.reason)
            if writes or clocks.read_clock() >= deadline:
                return reply
            continue
        except BaseException:
            gate.discard_link(link)
            gate.leave(turn)
            raise
        gate.release_link(link)
        gate.leave(turn)
        if reply.error is None:
            session.trail.endpoint = gate.endpoint.id
            return _accept(session, gate, candidate, version, reply, writes, sent_at)
        session.trail.add(gate.endpoint.id, reply.error.value)
        retry = reply.error in execution.NOT_RUN or not writes
        if not retry:
            return reply
        if reply.error is _KIND.UNPREPARED:
            gate.discard_link(link)
        else:
            excluded.add(gate.endpoint.id)
    return reply


def _accept(session, gate, candidate, version, reply, writes, sent_at):
    gateway = session.gateway
    if candidate.primary:
        execution.observe(gateway, gate, version, reply, sent_at)
    if writes:
        database = gate.endpoint.database
        if not execution.can_acknowledge(gateway, database, version):
            session.trail.add(gate.endpoint.id, "belief lapsed")
            return execution.fail(_KIND.OUTCOME_UNKNOWN, "primary may have changed")
        session.written = reply.position
    return reply


async def _run_in_transaction(session, request, shape, commit: bool):
    """Run a statement of the open transaction; a failure aborts it."""
    gateway = session.gateway
    transaction = session.transaction
    route = transaction.route
    deadline = clocks.read_clock() + route.statement_seconds
    turn = None
    if transaction.link is None:
        started = await _start_transaction(session, transaction, deadline)
        if isinstance(started, statements.Reply):
            session.abort()
            return started
        turn = started
    gate, link = transaction.gate, transaction.link
    if (
        commit
        and transaction.wrote
        and not execution.can_acknowledge(
            gateway, route.database, transaction.tenure_version
        )
    ):
        session.abort()
        return execution.fail(_KIND.ABORTED, "primary may have changed")
    sent = False
    try:
        if turn is None:
            turn = await gate.enter(route.rank, deadline, session.state, link)
        sent = True
        sent_at = clocks.read_clock()
        reply = await execution.exchange(
            gateway,
            gate,
            link,
            session.state,
            shape,
            _make_message(session, request, None),
            deadline,
        )
    except links.Broken as error:
        session.trail.add(gate.endpoint.id, error.reason)
        gate.leave(turn)
        session.abort()
        if commit and transaction.wrote:
            return execution.fail(_KIND.OUTCOME_UNKNOWN, error.reason)
        return execution.fail(_KIND.ABORTED, error.reason)
    except execution.gates.Refused as refusal:
        session.trail.add(gate.endpoint.id, f"refused ({refusal.reason})")
        session.abort()
        return execution.fail(_KIND.ABORTED, refusal.reason)
    except BaseException:
        link.close()
        if sent and turn is not None:
            gate.leave(turn)
        session.abort()
        raise
    gate.leave(turn)
    transaction.idle_since = clocks.read_clock()
    if reply.error is None:
        session.trail.endpoint = gate.endpoint.id
        if transaction.tenure_version:
            execution.observe(gateway, gate, transaction.tenure_version, reply, sent_at)
        return reply
    session.trail.add(gate.endpoint.id, reply.error.value)
    kind = reply.error
    session.abort()
    if commit and transaction.wrote and kind not in execution.NOT_RUN:
        return execution.fail(_KIND.OUTCOME_UNKNOWN, kind.value)
    # Nothing of a transaction without a COMMIT that ran is kept.
    return execution.fail(_KIND.ABORTED, kind.value)


async def _start_transaction(session, transaction, deadline: float):
    """Open the transaction at an endpoint; return its turn or a reply."""
    gateway = session.gateway
    wire = gateway.endpoint_wire
    route = transaction.route
    need = execution.Need.ANY if transaction.read_only else execution.Need.PRIMARY
    excluded: set[str] = set()
    kind = _KIND.UNAVAILABLE
    for _ in range(execution.MAXIMUM_ATTEMPTS):
        entered = await execution.enter(
            gateway, session, route, need, deadline, excluded, session.trail
        )
        if isinstance(entered, statements.Reply):
            return entered
        gate, turn, candidate, version = entered
        link = turn.link

        def make_message(
            name: bytes, read_only=transaction.read_only, position=candidate.position
        ) -> bytes:
            return wire.format_begin(read_only, position)

        try:
            reply = await execution.exchange(
                gateway, gate, link, session.state, None, make_message, deadline
            )
        except links.Broken as error:
            gate.discard_link(link)
            gate.leave(turn)
            session.trail.add(gate.endpoint.id, error.reason)
            excluded.add(gate.endpoint.id)
            continue
        except BaseException:
            gate.discard_link(link)
            gate.leave(turn)
            raise
        if reply.error is None:
            link.in_transaction = True
            transaction.gate, transaction.link = gate, link
            transaction.tenure_version = version
            return turn
        kind = reply.error
        session.trail.add(gate.endpoint.id, f"begin {kind.value}")
        gate.release_link(link)
        gate.leave(turn)
        excluded.add(gate.endpoint.id)
    return execution.fail(_KIND.UNAVAILABLE, kind.value)
