"""Tests of the ways in which the connection of a client ends."""

import asyncio
import itertools

import pytest

from hyssopshelf import clocks, exceptions, logs
from hyssopshelf.gateway import (
    blackboard,
    client_connections,
    execution,
    gateway,
    server,
    sessions,
    shutdown,
    statements,
    transactions,
)
from hyssopshelf.gateway.tests import test_session_start

_KIND = exceptions.ErrorKind


class FakeCodec:
    """Takes each line as the id of a request; replies name the outcome."""

    maximum_bytes = 1000

    def parse_request(self, line):
        return statements.Request(id=line, text=line, statement=statements.Rollback())

    def format_reply(self, reply, state):
        return b"%s " % (reply.error.value.encode() if reply.error else b"done")

    def format_refusal(self, kind, name):
        return kind.value.encode()

    def parse_start(self, line):
        return b"orders"


class FakeTransport:
    """Collects what is written; ``ended`` tells by which call it was closed."""

    def __init__(self) -> None:
        self.written = b""
        self.ended = ""

    def write(self, data):
        self.written += data

    def get_write_buffer_size(self):
        return 0

    def write_eof(self):
        self.ended = "end of stream"

    def close(self):
        self.ended = "close"

    def abort(self):
        self.ended = "reset"

    def pause_reading(self):
        pass

    resume_reading = pause_reading


class ScriptedSession(sessions.Session):
    """Answers each request after a time, with an outcome for each."""

    def __init__(self, *, node_gateway, seconds: float, outcomes=()) -> None:
        super().__init__(gateway=node_gateway, name="orders")
        self.seconds = seconds
        self.outcomes = itertools.chain(outcomes, itertools.repeat(None))

    async def answer(self, request):
        self.trace = execution.RequestTrace()
        await asyncio.sleep(self.seconds)
        return statements.Reply(error=next(self.outcomes))


def make_gateway() -> gateway.Gateway:
    board = blackboard.GatewayBlackboard(place="a", region="r", regions={})
    return gateway.Gateway(board=board, endpoint_codec=None)


def connect(*, seconds=0.01, outcomes=()):
    """Return a server, one of its connections and its transport."""
    node_gateway = make_gateway()
    clients = server.ClientServer(
        gateway=node_gateway, codec=FakeCodec(), limit=1_000_000
    )
    connection = client_connections.ClientConnection(server=clients)
    connection._transport = FakeTransport()
    connection.session = ScriptedSession(
        node_gateway=node_gateway, seconds=seconds, outcomes=outcomes
    )
    clients.connections.add(connection)
    return clients, connection, connection._transport


# LOST: a client that ended its sending side got no answer to what it had sent.
def test_a_half_closed_client_gets_all_its_answers():
    async def scenario():
        _, connection, transport = connect()
        connection.data_received(b"1\r\n2\r\n")
        assert connection.eof_received()
        await asyncio.sleep(0.05)
        assert transport.written == b"done done "
        assert transport.ended == "close"

    asyncio.run(scenario())


def test_a_client_that_ends_between_requests_is_closed():
    async def scenario():
        _, connection, _ = connect()
        assert not connection.eof_received()

    asyncio.run(scenario())


# LOST: a message beyond the limit cut off the request before it.
def test_a_message_that_is_too_long_does_not_cut_the_request_before_it():
    async def scenario():
        _, connection, transport = connect()
        connection.data_received(b"1\r\n" + b"x" * 2000)
        await asyncio.sleep(0.03)
        assert transport.written == b"done "
        assert transport.ended == "end of stream"

    asyncio.run(scenario())


# LOST: a close after the first of several errors left the other requests unanswered.
def test_requests_behind_one_without_a_route_are_answered():
    async def scenario():
        _, connection, transport = connect(outcomes=[_KIND.NOT_FOUND] * 2)
        connection.data_received(b"1\r\n2\r\n")
        await asyncio.sleep(0.05)
        assert transport.written == b"not_found not_found "
        assert transport.ended == "end of stream"

    asyncio.run(scenario())


# LOST: requests whose session failed unexpectedly waited for ever.
def test_a_session_that_fails_to_start_is_closed_and_logged(monkeypatch):
    async def scenario():
        events = []
        monkeypatch.setattr(logs, "write", lambda event, fields: events.append(event))
        _, connection, transport = connect()
        connection.session = None
        connection.server.gateway.board = None
        connection.data_received(b"START orders\r\n")
        await asyncio.sleep(0.01)
        assert transport.ended == "end of stream"
        assert events == [logs.LogEvent.REQUEST_CRASHED]

    asyncio.run(scenario())


def stop(clients, *, elapsed: float, grace_seconds: float = 6.0) -> float:
    """Let a stop have begun some seconds ago; return the time now."""
    now = clocks.read_clock()
    clients.gateway.stop = shutdown.plan_stop(now - elapsed, grace_seconds)
    clients.closing = True
    return now


# LOST: the exit of the process cut off what was still open.
def test_a_request_that_is_open_near_the_exit_is_answered():
    async def scenario():
        clients, connection, transport = connect(seconds=10.0)
        connection.data_received(b"1\r\n")
        await asyncio.sleep(0)
        now = stop(clients, elapsed=5.1)
        for _ in range(3):
            await clients.advance_stop(now)
            await asyncio.sleep(0.01)
        assert transport.written == b"unavailable "
        assert transport.ended == "end of stream"

    asyncio.run(scenario())


# LOST: a session was closed while its client's next request was on its way.
def test_a_session_is_closed_only_after_a_quiet_time():
    async def scenario():
        clients, connection, transport = connect(seconds=0.0)
        connection.data_received(b"1\r\n")
        await asyncio.sleep(0.01)
        await clients.close_quiet()
        assert transport.ended == ""
        await asyncio.sleep(server.QUIET_SECONDS)
        await clients.close_quiet()
        assert transport.ended == "end of stream"

    asyncio.run(scenario())


# LOST: requests that had arrived while other sessions were closed were not read.
def test_requests_that_arrive_while_sessions_are_closed_are_received():
    async def scenario():
        clients, first, _ = connect(seconds=1.0)
        late = []
        for _ in range(3 * server.CLOSE_BATCH):
            connection = client_connections.ClientConnection(server=clients)
            connection._transport = FakeTransport()
            connection.session = first.session
            clients.connections.add(connection)
            late.append(connection)
        await asyncio.sleep(server.QUIET_SECONDS)
        closing = asyncio.create_task(clients.close_quiet())
        await asyncio.sleep(0)
        for connection in late:
            connection.data_received(b"1\r\n")
        await closing
        assert all(connection._transport.ended == "" for connection in late)

    asyncio.run(scenario())


def test_a_client_that_goes_on_after_refusals_is_closed():
    async def scenario():
        clients, connection, transport = connect(
            seconds=0.0, outcomes=[_KIND.UNAVAILABLE] * 5
        )
        stop(clients, elapsed=3.5)
        for number in range(5):
            connection.data_received(b"%d\r\n" % number)
            await asyncio.sleep(0.001)
        refusals = transport.written.split()
        assert refusals == [b"unavailable"] * client_connections.MAXIMUM_STOP_REFUSALS
        assert transport.ended == "end of stream"

    asyncio.run(scenario())


def test_a_stopping_node_opens_no_session():
    async def scenario():
        clients, connection, transport = connect()
        connection.session = None
        stop(clients, elapsed=2.5)
        connection.data_received(b"START orders\r\n")
        await asyncio.sleep(0.01)
        assert transport.written == b"unavailable"
        assert transport.ended == "end of stream"

    asyncio.run(scenario())


ROUTE = test_session_start.make_configuration("orders").routes["orders"]


@pytest.mark.parametrize(
    ("statement", "in_transaction", "sent", "may_be_kept", "expected"),
    [
        (statements.Access(writes=False), False, False, False, _KIND.UNAVAILABLE),
        (statements.Access(writes=False), False, True, False, _KIND.DEADLINE_PASSED),
        (statements.Access(writes=True), False, False, False, _KIND.UNAVAILABLE),
        (statements.Access(writes=True), False, True, True, _KIND.OUTCOME_UNKNOWN),
        (statements.Access(writes=True), True, True, False, _KIND.ABORTED),
        (statements.Commit(), True, False, False, _KIND.ABORTED),
        (statements.Commit(), True, True, True, _KIND.OUTCOME_UNKNOWN),
    ],
)
def test_a_cancelled_request_is_answered_with_what_is_known(
    statement, in_transaction, sent, may_be_kept, expected
):
    session = sessions.Session(gateway=make_gateway(), name="orders")
    if in_transaction:
        session.transaction = transactions.Transaction(read_only=False, route=ROUTE)
    if sent:
        session.trace.record_sending("e1", may_be_kept=may_be_kept)
    request = statements.Request(id=b"1", text=b"", statement=statement)
    assert session.give_up(request).error is expected
    ended = isinstance(statement, statements.Commit) or not in_transaction
    assert session.status == ("I" if ended else "E")


def test_a_transaction_that_a_stop_ends_is_told_to_the_next_statement():
    """COMMIT and other statements get the promise that nothing is kept."""

    async def scenario():
        session = sessions.Session(gateway=make_gateway(), name="orders")
        for statement in (statements.Access(writes=True), statements.Commit()):
            session.transaction = transactions.Transaction(read_only=False, route=ROUTE)
            now = clocks.read_clock()
            session.gateway.stop = shutdown.plan_stop(now - 3.1, 6.0)
            request = statements.Request(id=b"1", text=b"", statement=statement)
            assert (await session.answer(request)).error is _KIND.ABORTED
            rollback = statements.Request(
                id=b"2", text=b"", statement=statements.Rollback()
            )
            assert (await session.answer(rollback)).error is None
            assert session.status == "I"

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("statement", "expected", "status"),
    [
        (statements.Access(writes=True), _KIND.ABORTED, "E"),
        (statements.SetValue(name=b"a", value=b"b"), _KIND.ABORTED, "E"),
        (statements.Commit(), _KIND.ABORTED, "I"),
        (statements.Rollback(), None, "I"),
    ],
)
def test_a_transaction_that_was_idle_too_long_is_told_by_a_promise(
    statement, expected, status
):
    """Guards against MALFORMED, after which a client may not repeat its writes."""

    async def scenario():
        clients, connection, _ = connect()
        configuration = test_session_start.make_configuration("orders")
        clients.gateway.apply_configuration(configuration)
        session = sessions.Session(gateway=clients.gateway, name="orders")
        connection.session = session
        session.transaction = transactions.Transaction(read_only=False, route=ROUTE)
        limit = configuration.limits.idle_transaction_seconds
        clients.abort_idle_transactions(limit)
        assert session.status == "T"
        clients.abort_idle_transactions(limit + 1.0)
        request = statements.Request(id=b"1", text=b"", statement=statement)
        assert (await session.answer(request)).error is expected
        assert session.status == status
        if status == "E":
            assert (await session.answer(request)).error is _KIND.BAD_REQUEST

    asyncio.run(scenario())


def test_no_work_starts_late_in_a_stop():
    async def scenario():
        node_gateway = make_gateway()
        configuration = test_session_start.make_configuration("orders")
        node_gateway.apply_configuration(configuration)
        node_gateway.stop = shutdown.plan_stop(clocks.read_clock() - 3.1, 6.0)
        session = sessions.Session(gateway=node_gateway, name="orders")
        for statement in (
            statements.Access(writes=True),
            statements.Access(writes=False),
            statements.Begin(read_only=False),
        ):
            request = statements.Request(id=b"1", text=b"", statement=statement)
            reply = await session.answer(request)
            assert reply.error is _KIND.UNAVAILABLE
            assert session.status == "I"

    asyncio.run(scenario())


# Transactions of clients that had gone kept their connections until the close.
def test_the_transaction_of_a_half_closed_client_ends_with_its_last_answer():
    async def scenario():
        _, connection, _ = connect()
        connection.session.transaction = transactions.Transaction(
            read_only=False, route=ROUTE
        )
        connection.data_received(b"1\r\n")
        connection.eof_received()
        await asyncio.sleep(0.05)
        assert connection.session.transaction is None

    asyncio.run(scenario())


# LOST: the exit was late by the time for which thousands of sessions were looked at.
def test_a_sweep_of_busy_sessions_does_not_hold_up_a_stop(monkeypatch):
    async def scenario():
        clients, first, _ = connect(seconds=1.0)
        first.data_received(b"1\r\n")
        for _ in range(50 * server.CLOSE_BATCH):
            connection = client_connections.ClientConnection(server=clients)
            connection.session, connection.working = first.session, True
            clients.connections.add(connection)
        pauses = []

        async def record_pause():
            pauses.append(1)

        monkeypatch.setattr(client_connections, "receive_pending", record_pause)
        await clients.close_quiet()
        assert pauses == []

    asyncio.run(scenario())


def test_a_sweep_ends_at_its_time():
    async def scenario():
        clients, _, transport = connect()
        await asyncio.sleep(server.QUIET_SECONDS)
        assert await clients.close_quiet(until=clocks.read_clock()) == 1
        assert transport.ended == ""

    asyncio.run(scenario())


# A START that waits for the first configuration was open at the exit.
def test_a_start_does_not_wait_beyond_a_stop():
    async def scenario():
        clients, connection, transport = connect()
        connection.session = None
        clients.gateway.stop = shutdown.plan_stop(clocks.read_clock() - 4.9, 6.0)
        connection.data_received(b"START orders\r\n")
        await asyncio.sleep(0.2)
        assert transport.written == b"unavailable"
        assert transport.ended == "end of stream"

    asyncio.run(scenario())
