"""Tests of graceful stops that meet work as it starts or ends."""

import asyncio
import socket

import attrs
import pytest

from hyssopshelf import background, clocks, exceptions
from hyssopshelf.gateway import (
    endpoint_connections,
    forwarded_steps,
    remote_pools,
    server,
    session_state,
    sessions,
    statements,
    transactions,
)
from hyssopshelf.gateway.tests import (
    test_client_connections,
    test_forwarding,
    test_restarted_entry,
    test_retries,
    test_stopping_holder,
)

_KIND = exceptions.ErrorKind


# LOST: a step that ended as its interruption was due failed the whole stop of the node,
# whose exit cut off all that was open.
def test_a_forwarded_step_that_just_ended_does_not_fail_the_stop(monkeypatch):
    async def scenario():
        holder, answers, _ = test_restarted_entry.make_holder(monkeypatch)
        holder.receive_forward(test_forwarding.make_write(), "entry", "entry:1")
        while not answers:
            await asyncio.sleep(0)
        holder.gateway.stop = test_stopping_holder.PAST
        holder.advance_stop(clocks.read_clock())

    asyncio.run(scenario())


class ScriptedConnection(test_retries.FakeConnection):
    """Answers each message after the next of its times, in seconds."""

    def __init__(self, *, endpoint, times) -> None:
        super().__init__(endpoint=endpoint, answer_after=0.0)
        self.times = iter(times)

    async def run(self, state, shape, build_message, deadline):
        self.answer_after = next(self.times)
        return await super().run(state, shape, build_message, deadline)


# REFUSED: an attempt of an earlier read, which a hedge had overtaken, ended while a
# COMMIT was at its endpoint; the client was told that nothing is kept.
def test_a_late_read_does_not_hide_that_a_commit_was_sent(monkeypatch):
    async def scenario():
        # The first read is late; its hedge, BEGIN and WRITE are fast, COMMIT is late.
        times = iter([[0.4], [0.0, 0.0, 0.0, 5.0]])

        async def open_connection(endpoint, codec, seconds, customer=""):
            return ScriptedConnection(endpoint=endpoint, times=next(times))

        monkeypatch.setattr(endpoint_connections, "open_connection", open_connection)
        node_gateway = test_retries.make_gateway()
        test_retries.grant_primary(node_gateway, "one", 1)
        pool = node_gateway.get_local_pool(node_gateway.board.endpoints["one"])
        pool.view = attrs.evolve(pool.view, slots=4)
        session = sessions.Session(gateway=node_gateway, name="db")

        async def answer(statement):
            request = statements.Request(id=b"1", text=b"", statement=statement)
            try:
                async with asyncio.timeout(0.7):
                    return await session.answer(request)
            except TimeoutError:
                # As ClientConnection does with the request that a stop interrupts.
                return session.give_up(request)

        for statement in (
            statements.Access(writes=False),
            statements.Begin(read_only=False),
            statements.Access(writes=True),
        ):
            assert (await answer(statement)).error is None
        reply = await answer(statements.Commit())
        assert reply.error is _KIND.OUTCOME_UNKNOWN

    asyncio.run(scenario())


# A refusal during a stop forgot that the client had ended its sending side, or that
# the rest of a message that is too long is no message.
@pytest.mark.parametrize("input_ends", ["end of stream", "too long"])
def test_a_refused_client_whose_input_has_ended_is_closed(input_ends):
    async def scenario():
        clients, connection, transport = test_client_connections.connect(
            seconds=0.01, outcomes=[_KIND.ABORTED]
        )
        connection.session.failed = True
        test_client_connections.stop(clients, elapsed=3.5)
        connection.data_received(b"1\r\n")
        if input_ends == "end of stream":
            connection.eof_received()
        else:
            connection.data_received(b"x" * 2000)
        await asyncio.sleep(0.05)
        assert transport.ended != ""

    asyncio.run(scenario())


# A client that connected as the node stopped listening got neither an answer nor a
# close; its socket was accepted and then kept by nobody.
def test_a_client_that_connects_as_listening_stops_is_refused():
    async def scenario():
        clients = server.ClientServer(
            gateway=test_client_connections.make_gateway(),
            codec=test_client_connections.FakeCodec(),
            limit=1_000_000,
        )
        await clients.listen("127.0.0.1:0")
        address = clients._server.sockets[0].getsockname()
        with socket.create_connection(address) as client:
            client.sendall(b"START orders\r\n")
            client.setblocking(False)
            await clients.start_closing()
            async with asyncio.timeout(1.0):
                received = await asyncio.get_running_loop().sock_recv(client, 100)
        assert received == b"unavailable"

    asyncio.run(scenario())


class GatedConnection(test_retries.FakeConnection):
    """Answers the first message of a holder when it is told to."""

    def __init__(self, *, endpoint, gate: asyncio.Event) -> None:
        super().__init__(endpoint=endpoint, answer_after=0.0)
        self.gate = gate

    async def run(self, state, shape, build_message, deadline):
        if self.gate.is_set():
            self.answer_after = 0.02
        await self.gate.wait()
        return await super().run(state, shape, build_message, deadline)


# A stopping holder gave up a waiting write just after it had been sent: its client got
# INDOUBT, long before an answer was due.
@pytest.mark.parametrize("turns", range(6))
def test_work_that_a_stop_hands_back_is_not_sent(monkeypatch, turns):
    async def scenario():
        holder, answers = test_forwarding.make_holder(monkeypatch, 0.0)
        gate = asyncio.Event()

        async def open_connection(endpoint, codec, seconds, customer=""):
            return GatedConnection(endpoint=endpoint, gate=gate)

        monkeypatch.setattr(endpoint_connections, "open_connection", open_connection)
        test_retries.grant_primary(holder.gateway, "one", 1)
        for unit in (1, 2):
            holder.receive_forward(test_forwarding.make_write(unit), "entry", "entry:1")
            await asyncio.sleep(0.01)
        gate.set()
        for _ in range(turns):
            await asyncio.sleep(0)
        holder.gateway.stop = test_stopping_holder.LATE
        holder.advance_stop(clocks.read_clock())
        await asyncio.sleep(0.1)
        assert len(answers) == 2
        assert not [a for a in answers if a.failure and a.sent]

    asyncio.run(scenario())


# A COMMIT that waited in its holder's queue up to its deadline was not sent, but its
# client was told that the outcome is unknown, so it could not repeat the transaction.
def test_a_forwarded_commit_that_is_not_sent_has_a_known_outcome(monkeypatch):
    async def scenario():
        holder, _, opened = test_restarted_entry.make_holder(monkeypatch)
        entry = test_restarted_entry.EntryNode(holder.gateway)
        test_stopping_holder.connect(entry, ("holder", holder))
        remote = test_stopping_holder.start_unit(entry)
        await test_stopping_holder.run_step(remote)
        pool = holder.gateway.connection_pools["one"]
        pool.view = attrs.evolve(pool.view, slots=1)
        await pool.acquire(0, clocks.read_clock() + 5.0, session_state.SessionState())
        node_gateway = test_retries.make_gateway()
        test_retries.grant_primary(node_gateway, "one", 1)
        session = sessions.Session(gateway=node_gateway, name="db")
        session.transaction = transactions.Transaction(
            read_only=False,
            route=session.find_route(),
            pool=remote_pools.RemotePool(
                endpoint=remote.endpoint, forwarder=entry.forwarder
            ),
            connection=remote,
            grant_version=1,
            wrote=True,
        )
        commit = statements.Request(
            id=b"1", text=b"COMMIT", statement=statements.Commit()
        )
        reply = await session.answer(commit)
        assert opened[0].closed
        assert reply.error is _KIND.ABORTED

    asyncio.run(scenario())


@pytest.fixture
def failures(monkeypatch):
    """Return the failures that are logged."""
    found = []
    monkeypatch.setattr(
        background, "log_failure", lambda work, error: found.append(repr(error))
    )
    return found


def fail(*_):
    raise RuntimeError("defect")


@pytest.mark.parametrize(
    ("method", "elapsed", "is_done"),
    [
        ("interrupt", 5.1, lambda c: c._transport.written == b"unavailable "),
        ("close", 5.1, lambda c: c._transport.ended == "end of stream"),
        ("abort", 3.1, lambda c: c.session.status == "E"),
    ],
)
def test_a_client_whose_step_fails_does_not_hold_up_others(
    failures, method, elapsed, is_done
):
    """Guards against requests cut by the exit because of an error at another client."""

    async def scenario():
        clients, *_ = test_client_connections.connect()
        clients.connections.clear()
        for _ in range(5):
            _, connection, _ = test_client_connections.connect(seconds=10.0)
            connection.server = clients
            clients.connections.add(connection)
            if method == "interrupt":
                connection.data_received(b"1\r\n")
            if method == "abort":
                connection.session.transaction = transactions.Transaction(
                    read_only=False, route=test_client_connections.ROUTE
                )
        await asyncio.sleep(0)
        first, *others = clients.connections
        setattr(first.session if method == "abort" else first, method, fail)
        now = test_client_connections.stop(clients, elapsed=elapsed)
        await background.wait_logged(clients.advance_stop(now))
        await asyncio.sleep(0.02)
        assert failures == ["RuntimeError('defect')"]
        assert [is_done(connection) for connection in others] == [True] * 4

    asyncio.run(scenario())


@pytest.mark.parametrize("method", ["record_cut", "close"])
def test_a_client_that_fails_at_the_exit_does_not_hold_up_others(failures, method):
    """Guards against units left open at their holders because of an error here."""

    async def scenario():
        clients, *_ = test_client_connections.connect()
        clients.connections.clear()
        for _ in range(3):
            _, connection, _ = test_client_connections.connect(seconds=10.0)
            connection.server = clients
            clients.connections.add(connection)
        first, *others = clients.connections
        setattr(first, method, fail)
        clients.end_all()
        assert failures == ["RuntimeError('defect')"]
        assert [c._transport.ended for c in others] == ["end of stream"] * 2

    asyncio.run(scenario())


def test_a_forwarded_step_that_fails_in_a_stop_does_not_hold_up_others(
    monkeypatch, failures
):
    """Guards against work cut by the exit because of an error at other work."""
    interrupt = forwarded_steps.RunningStep.interrupt

    def interrupt_second(running):
        (fail if running.message.unit == 1 else interrupt)(running)

    async def scenario():
        holder, answers = test_forwarding.make_holder(monkeypatch, None)
        test_retries.grant_primary(holder.gateway, "one", 1)
        for unit in (1, 2):
            holder.receive_forward(test_forwarding.make_write(unit), "entry", "entry:1")
        await asyncio.sleep(0.02)
        monkeypatch.setattr(forwarded_steps.RunningStep, "interrupt", interrupt_second)
        holder.gateway.stop = test_stopping_holder.PAST
        background.call_logged(holder.advance_stop, clocks.read_clock())
        await asyncio.sleep(0.02)
        assert failures == ["RuntimeError('defect')"]
        assert [answer.unit for answer in answers] == [2]

    asyncio.run(scenario())


def test_a_transaction_that_fails_to_end_in_a_stop_does_not_hold_up_others(
    monkeypatch, failures
):
    """Guards against an entry node that waits for an ended transaction."""

    async def scenario():
        holder, answers, opened = test_restarted_entry.make_holder(monkeypatch)
        for unit in (1, 2):
            holder.receive_forward(test_forwarding.make_write(unit), "entry", "entry:1")
        await asyncio.sleep(0.02)
        assert len(holder._pinned) == 2
        opened[0].close = fail
        holder.gateway.stop = test_stopping_holder.LATE
        background.call_logged(holder.advance_stop, clocks.read_clock())
        assert failures == ["RuntimeError('defect')"]
        assert [(a.unit, a.failure) for a in answers[2:]] == [
            (2, remote_pools.STOPPING_REASON)
        ]
        assert opened[1].closed

    asyncio.run(scenario())
