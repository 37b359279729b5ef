"""Tests of retries while an endpoint is silent, crashed, overloaded or replaced."""

import asyncio

import attrs
import pytest

from hyssopshelf import clocks, exceptions
from hyssopshelf.gateway import (
    blackboard,
    catalog,
    connection_pools,
    endpoint_connections,
    gateway,
    retries,
    session_state,
    sessions,
    statements,
)

STATEMENT_SECONDS = 0.8
"""Statement timeout of the site with the shortest timeouts."""


class FakeCodec:
    """Formats messages that the fake connections ignore."""

    def format_request(self, *_) -> bytes:
        return b""

    def format_rollback(self) -> bytes:
        return b""

    def format_begin(self, *_) -> bytes:
        return b""


class FakeConnection:
    """A connection that answers after a delay, never answers or is reset."""

    def __init__(self, *, endpoint, answer_after: float | str | None) -> None:
        self.endpoint = endpoint
        self.answer_after = answer_after
        self.state = session_state.ConnectionState()
        self.closed = False
        self.direct = True
        self.customer = ""
        self.in_transaction = False
        self.queued_seconds = 0.0
        self.used_at = 0.0

    async def run(self, state, shape, build_message, deadline):
        if self.answer_after == "reset":
            await asyncio.sleep(0.001)
            self.close()
            raise endpoint_connections.EndpointConnectionError("ConnectionResetError")
        if self.answer_after is None:
            await asyncio.sleep(max(0.0, deadline - clocks.read_clock()))
            self.close()
            raise endpoint_connections.EndpointConnectionError("no answer in time")
        await asyncio.sleep(self.answer_after)
        return statements.Reply(position=statements.LogPosition(1, 1), state=b"I")

    def close(self) -> None:
        self.closed = True


class FakeEndpoints:
    """Opens connections with the behaviour set for each endpoint and lists them."""

    def __init__(self, behaviours: dict) -> None:
        self.behaviours = behaviours
        self.opened: list[str] = []

    async def open_connection(self, endpoint, codec, seconds, customer=""):
        self.opened.append(endpoint.id)
        behaviour = self.behaviours[endpoint.id]
        if isinstance(behaviour, str) and behaviour != "reset":
            raise endpoint_connections.EndpointConnectionError(behaviour, sent=False)
        return FakeConnection(endpoint=endpoint, answer_after=behaviour)


def make_gateway(read_rule=catalog.ReadRule.PRIMARY):
    board = blackboard.GatewayBlackboard(place="a", region="r", regions={"a": "r"})
    board.configuration = catalog.Configuration(
        version=1,
        routes={
            "db": catalog.Route(
                name="db",
                database="db",
                read_rule=read_rule,
                staleness_seconds=30.0,
                statement_seconds=STATEMENT_SECONDS,
                objective_seconds=0.4,
                rank=0,
            )
        },
        connections={"db": 8},
        limits=catalog.Limits(),
    )
    for name in ("one", "two"):
        board.endpoints[name] = catalog.Endpoint(
            id=name,
            database="db",
            address=f"{name}:1",
            place="a",
            slots=1,
            leaving=False,
            leads=name == "one",
            started=1,
        )
    node_gateway = gateway.Gateway(board=board, endpoint_codec=FakeCodec())
    node_gateway.apply_shares({"one": 4, "two": 4})
    return node_gateway


def grant_primary(node_gateway, endpoint: str, version: int) -> None:
    node_gateway.board.primary_grants["db"] = blackboard.PrimaryGrant(
        endpoint=endpoint,
        term=version,
        version=version,
        valid_until=clocks.read_clock() + 10.0,
    )
    node_gateway.notify()


def revoke_primary(node_gateway) -> None:
    del node_gateway.board.primary_grants["db"]
    node_gateway.cancel_waiting("db")


async def run_statement(node_gateway, text: str) -> tuple[statements.Reply, float]:
    session = sessions.Session(gateway=node_gateway, name="db")
    request = statements.Request(
        id=b"1",
        text=text.encode(),
        statement=statements.Access(writes=text.startswith("WRITE")),
    )
    started = clocks.read_clock()
    reply = await session.answer(request)
    return reply, clocks.read_clock() - started


@pytest.fixture
def endpoints(monkeypatch):
    fake_endpoints = FakeEndpoints({})
    monkeypatch.setattr(
        endpoint_connections, "open_connection", fake_endpoints.open_connection
    )
    return fake_endpoints


def test_queued_work_follows_the_primary(endpoints):
    """Work queued at a silent primary moves to its successor before its deadline."""
    endpoints.behaviours = {"one": None, "two": 0.005}

    async def scenario():
        node_gateway = make_gateway()
        grant_primary(node_gateway, "one", 1)
        tasks = [
            asyncio.create_task(run_statement(node_gateway, text))
            for text in ["WRITE a 1"] * 6 + ["READ a"] * 6
        ]
        await asyncio.sleep(0.2)
        revoke_primary(node_gateway)
        await asyncio.sleep(0.1)
        grant_primary(node_gateway, "two", 2)
        answers = await asyncio.gather(*tasks)
        unknown = exceptions.ErrorKind.OUTCOME_UNKNOWN
        assert [reply.error for reply, _ in answers] == [unknown] + [None] * 11
        assert max(seconds for _, seconds in answers[1:]) < 0.6
        assert node_gateway.connection_pools["one"].queue.waiting == 0
        assert node_gateway.connection_pools["one"].pending_checkouts == 0

    asyncio.run(scenario())


def test_work_waits_for_the_successor_of_a_crashed_primary(endpoints):
    """A refused connection must not fail the work; a successor is about to follow."""
    endpoints.behaviours = {"one": "connection refused", "two": 0.005}

    async def scenario():
        node_gateway = make_gateway()
        grant_primary(node_gateway, "one", 1)
        tasks = [
            asyncio.create_task(run_statement(node_gateway, text))
            for text in ("WRITE a 1", "READ a")
        ]
        await asyncio.sleep(0.4)
        revoke_primary(node_gateway)
        grant_primary(node_gateway, "two", 2)
        for reply, seconds in await asyncio.gather(*tasks):
            assert reply.error is None
            assert seconds < 0.5
        # There is a pause before each retry.
        assert len(endpoints.opened) <= 10

    asyncio.run(scenario())


def test_a_restarted_primary_is_used_again(endpoints):
    endpoints.behaviours = {"one": "connection refused"}

    async def scenario():
        node_gateway = make_gateway()
        grant_primary(node_gateway, "one", 1)
        tasks = asyncio.create_task(run_statement(node_gateway, "WRITE a 1"))
        await asyncio.sleep(0.2)
        endpoints.behaviours["one"] = 0.005
        reply, seconds = await tasks
        assert reply.error is None
        assert seconds < 0.2 + 2 * retries.RETRY_PAUSE_SECONDS

    asyncio.run(scenario())


def test_a_full_primary_refuses_at_once(endpoints):
    endpoints.behaviours = {"one": exceptions.ErrorKind.FULL.value}

    async def scenario():
        node_gateway = make_gateway()
        grant_primary(node_gateway, "one", 1)
        reply, seconds = await run_statement(node_gateway, "WRITE a 1")
        assert reply.error is exceptions.ErrorKind.UNAVAILABLE
        assert seconds < 0.1

    asyncio.run(scenario())


def test_work_is_refused_in_time_without_a_successor(endpoints):
    endpoints.behaviours = {"one": "connection refused"}

    async def scenario():
        node_gateway = make_gateway()
        grant_primary(node_gateway, "one", 1)
        reply, seconds = await run_statement(node_gateway, "WRITE a 1")
        assert reply.error is exceptions.ErrorKind.UNAVAILABLE
        assert seconds <= STATEMENT_SECONDS

    asyncio.run(scenario())


def test_an_answer_is_not_delayed_by_a_hedge(endpoints):
    """A read whose hedge still waits for a slot returns with its first answer."""
    endpoints.behaviours = {"one": 0.3}

    async def scenario():
        node_gateway = make_gateway()
        grant_primary(node_gateway, "one", 1)
        first = asyncio.create_task(run_statement(node_gateway, "READ a"))
        await asyncio.sleep(0.01)
        others = [
            asyncio.create_task(run_statement(node_gateway, "WRITE a 1"))
            for _ in range(2)
        ]
        reply, seconds = await first
        assert reply.error is None
        assert seconds < 0.4
        await asyncio.gather(*others)
        assert node_gateway.connection_pools["one"].queue.running == 0

    asyncio.run(scenario())


def test_unused_connections_are_closed_after_a_burst(endpoints):
    """Work reuses the last used connections, so the rest of a burst is idle."""
    endpoints.behaviours = {"one": 0.005}

    async def scenario():
        node_gateway = make_gateway()
        grant_primary(node_gateway, "one", 1)
        pool = node_gateway.get_local_pool(node_gateway.board.endpoints["one"])
        pool.view = attrs.evolve(pool.view, slots=4)
        await asyncio.gather(
            *(run_statement(node_gateway, "WRITE a 1") for _ in range(8))
        )
        assert len(pool.open_connections) == 4
        opened = clocks.read_clock()
        for connection in pool.open_connections:
            connection.used_at = opened - connection_pools.IDLE_SECONDS
        for _ in range(6):
            await run_statement(node_gateway, "WRITE a 1")
            next(reversed(pool.idle)).used_at = clocks.read_clock()
        pool.close_surplus(clocks.read_clock())
        assert len(pool.open_connections) == 1

    asyncio.run(scenario())


def test_reads_avoid_a_replica_that_resets_connections(endpoints):
    """Answers between the resets end each row of failures; only their share tells."""
    endpoints.behaviours = {"one": 0.005, "two": 0.001}

    async def scenario():
        node_gateway = make_gateway(catalog.ReadRule.BOUNDED)
        grant_primary(node_gateway, "one", 1)
        node_gateway.board.get_positions("db").start_term(1)
        node_gateway.board.get_positions("db").add(
            statements.LogPosition(1, 1), clocks.read_clock() - 0.1
        )
        for number in range(40):
            endpoints.behaviours["two"] = "reset" if number % 2 else 0.001
            pool = node_gateway.get_local_pool(node_gateway.board.endpoints["two"])
            pool.close_idle(0, clocks.read_clock())
            node_gateway.board.get_health("two").avoid_until = 0.0
            reply, _ = await run_statement(node_gateway, "READ a")
            assert reply.error is None
        assert endpoints.opened.count("two") < 20

    asyncio.run(scenario())


def test_transactions_continue_after_the_share_shrinks(endpoints):
    """They have their connections already, so a smaller share must not refuse them."""
    endpoints.behaviours = {"one": 0.02}

    async def scenario():
        node_gateway = make_gateway()
        grant_primary(node_gateway, "one", 1)
        clients = [sessions.Session(gateway=node_gateway, name="db") for _ in range(4)]

        async def send(client, statement):
            request = statements.Request(id=b"1", text=b"", statement=statement)
            return await client.answer(request)

        for client in clients:
            await send(client, statements.Begin(read_only=False))
            reply = await send(client, statements.Access(writes=True))
            assert reply.error is None
        node_gateway.apply_shares({"one": 1, "two": 1})
        replies = await asyncio.gather(
            *(send(client, statements.Access(writes=True)) for client in clients)
        )
        assert [reply.error for reply in replies] == [None] * 4

    asyncio.run(scenario())


def test_work_refused_and_cancelled_together_counts_no_connection(endpoints):
    """Guards against counting such work as started in ``pending_checkouts``."""
    endpoints.behaviours = {"one": None}

    async def scenario():
        node_gateway = make_gateway()
        grant_primary(node_gateway, "one", 1)
        tasks = [
            asyncio.create_task(run_statement(node_gateway, "WRITE a 1"))
            for _ in range(3)
        ]
        await asyncio.sleep(0.05)
        pool = node_gateway.connection_pools["one"]
        for item in pool.queue.expire(clocks.read_clock() + 10.0):
            pool._refuse(item, "cannot start before its deadline")
        for task in tasks[1:]:
            task.cancel()
        await asyncio.wait(tasks[1:])
        assert pool.pending_checkouts == 0
        assert pool.queue.waiting == 0
        await tasks[0]

    asyncio.run(scenario())
