"""Tests of work that waits for a primary which is slow, gone or replaced."""

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
"""Time for a statement on the site with the shortest timeouts."""


class FakeCodec:
    """Formats messages that the fake connections ignore."""

    def format_request(self, *_) -> bytes:
        return b""

    def format_rollback(self) -> bytes:
        return b""

    def format_begin(self, *_) -> bytes:
        return b""


class FakeConnection:
    """A connection whose answers come after a time, or never."""

    def __init__(self, *, endpoint, answer_after: float | str | None) -> None:
        self.endpoint = endpoint
        self.answer_after = answer_after
        self.state = session_state.ConnectionState()
        self.closed = False
        self.direct = True
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
    """What connections to each endpoint do; counts the attempts."""

    def __init__(self, behaviours: dict) -> None:
        self.behaviours = behaviours
        self.opened: list[str] = []

    async def open_connection(self, endpoint, codec, seconds):
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
    serving = gateway.Gateway(board=board, endpoint_codec=FakeCodec())
    serving.apply_shares({"one": 4, "two": 4})
    return serving


def lead(serving, endpoint: str, version: int) -> None:
    serving.board.primary_grants["db"] = blackboard.PrimaryGrant(
        endpoint=endpoint,
        term=version,
        version=version,
        valid_until=clocks.read_clock() + 10.0,
    )
    serving.notify()


def release(serving) -> None:
    del serving.board.primary_grants["db"]
    serving.cancel_waiting("db")


async def ask(serving, text: str) -> tuple[statements.Reply, float]:
    session = sessions.Session(gateway=serving, name="db")
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
    found = FakeEndpoints({})
    monkeypatch.setattr(endpoint_connections, "open_connection", found.open_connection)
    return found


def test_queued_work_follows_the_primary(endpoints):
    """Work behind a silent primary runs at the next one, not at its deadline."""
    endpoints.behaviours = {"one": None, "two": 0.005}

    async def scenario():
        serving = make_gateway()
        lead(serving, "one", 1)
        asked = [
            asyncio.create_task(ask(serving, text))
            for text in ["WRITE a 1"] * 6 + ["READ a"] * 6
        ]
        await asyncio.sleep(0.2)
        release(serving)
        await asyncio.sleep(0.1)
        lead(serving, "two", 2)
        answers = await asyncio.gather(*asked)
        unknown = exceptions.ErrorKind.OUTCOME_UNKNOWN
        assert [reply.error for reply, _ in answers] == [unknown] + [None] * 11
        assert max(seconds for _, seconds in answers[1:]) < 0.6
        assert serving.connection_pools["one"].queue.waiting == 0
        assert serving.connection_pools["one"].pending_checkouts == 0

    asyncio.run(scenario())


def test_work_waits_for_the_successor_of_a_crashed_primary(endpoints):
    """A refused connection is no answer: the next primary is near."""
    endpoints.behaviours = {"one": "connection refused", "two": 0.005}

    async def scenario():
        serving = make_gateway()
        lead(serving, "one", 1)
        asked = [
            asyncio.create_task(ask(serving, text)) for text in ("WRITE a 1", "READ a")
        ]
        await asyncio.sleep(0.4)
        release(serving)
        lead(serving, "two", 2)
        for reply, seconds in await asyncio.gather(*asked):
            assert reply.error is None
            assert seconds < 0.5
        # Repeats are paced.
        assert len(endpoints.opened) <= 10

    asyncio.run(scenario())


def test_a_restarted_primary_is_used_again(endpoints):
    endpoints.behaviours = {"one": "connection refused"}

    async def scenario():
        serving = make_gateway()
        lead(serving, "one", 1)
        asked = asyncio.create_task(ask(serving, "WRITE a 1"))
        await asyncio.sleep(0.2)
        endpoints.behaviours["one"] = 0.005
        reply, seconds = await asked
        assert reply.error is None
        assert seconds < 0.2 + 2 * retries.RETRY_PAUSE_SECONDS

    asyncio.run(scenario())


def test_a_full_primary_refuses_at_once(endpoints):
    endpoints.behaviours = {"one": exceptions.ErrorKind.FULL.value}

    async def scenario():
        serving = make_gateway()
        lead(serving, "one", 1)
        reply, seconds = await ask(serving, "WRITE a 1")
        assert reply.error is exceptions.ErrorKind.UNAVAILABLE
        assert seconds < 0.1

    asyncio.run(scenario())


def test_work_is_refused_in_time_without_a_successor(endpoints):
    endpoints.behaviours = {"one": "connection refused"}

    async def scenario():
        serving = make_gateway()
        lead(serving, "one", 1)
        reply, seconds = await ask(serving, "WRITE a 1")
        assert reply.error is exceptions.ErrorKind.UNAVAILABLE
        assert seconds <= STATEMENT_SECONDS

    asyncio.run(scenario())


def test_an_answer_is_not_held_up_by_a_hedge(endpoints):
    """A read that is offered again and queues returns with its first answer."""
    endpoints.behaviours = {"one": 0.3}

    async def scenario():
        serving = make_gateway()
        lead(serving, "one", 1)
        first = asyncio.create_task(ask(serving, "READ a"))
        await asyncio.sleep(0.01)
        others = [asyncio.create_task(ask(serving, "WRITE a 1")) for _ in range(2)]
        reply, seconds = await first
        assert reply.error is None
        assert seconds < 0.4
        await asyncio.gather(*others)
        assert serving.connection_pools["one"].queue.running == 0

    asyncio.run(scenario())


def test_connections_beyond_the_need_are_closed(endpoints):
    """A burst opens connections; the last used ones go on, the rest ends."""
    endpoints.behaviours = {"one": 0.005}

    async def scenario():
        serving = make_gateway()
        lead(serving, "one", 1)
        pool = serving.get_local_pool(serving.board.endpoints["one"])
        pool.view = attrs.evolve(pool.view, slots=4)
        await asyncio.gather(*(ask(serving, "WRITE a 1") for _ in range(8)))
        assert len(pool.open_connections) == 4
        opened = clocks.read_clock()
        for connection in pool.open_connections:
            connection.used_at = opened - connection_pools.IDLE_SECONDS
        for _ in range(6):
            await ask(serving, "WRITE a 1")
            next(reversed(pool.idle)).used_at = clocks.read_clock()
        pool.close_surplus(clocks.read_clock())
        assert len(pool.open_connections) == 1

    asyncio.run(scenario())


def test_reads_leave_a_replica_that_breaks_its_connections(endpoints):
    """Answers between the resets keep it from looking dead."""
    endpoints.behaviours = {"one": 0.005, "two": 0.001}

    async def scenario():
        serving = make_gateway(catalog.ReadRule.BOUNDED)
        lead(serving, "one", 1)
        serving.board.get_positions("db").start_term(1)
        serving.board.get_positions("db").add(
            statements.LogPosition(1, 1), clocks.read_clock() - 0.1
        )
        for number in range(40):
            endpoints.behaviours["two"] = "reset" if number % 2 else 0.001
            pool = serving.get_local_pool(serving.board.endpoints["two"])
            pool.close_idle(0, clocks.read_clock())
            serving.board.get_health("two").avoid_until = 0.0
            reply, _ = await ask(serving, "READ a")
            assert reply.error is None
        assert endpoints.opened.count("two") < 20

    asyncio.run(scenario())


def test_transactions_go_on_after_the_share_became_smaller(endpoints):
    """Each holds a connection already, so its statements are not too many."""
    endpoints.behaviours = {"one": 0.02}

    async def scenario():
        serving = make_gateway()
        lead(serving, "one", 1)
        clients = [sessions.Session(gateway=serving, name="db") for _ in range(4)]

        async def send(client, statement):
            request = statements.Request(id=b"1", text=b"", statement=statement)
            return await client.answer(request)

        for client in clients:
            await send(client, statements.Begin(read_only=False))
            reply = await send(client, statements.Access(writes=True))
            assert reply.error is None
        serving.apply_shares({"one": 1, "two": 1})
        replies = await asyncio.gather(
            *(send(client, statements.Access(writes=True)) for client in clients)
        )
        assert [reply.error for reply in replies] == [None] * 4

    asyncio.run(scenario())


def test_work_that_is_refused_and_superseded_at_once_counts_no_connection(endpoints):
    endpoints.behaviours = {"one": None}

    async def scenario():
        serving = make_gateway()
        lead(serving, "one", 1)
        asked = [asyncio.create_task(ask(serving, "WRITE a 1")) for _ in range(3)]
        await asyncio.sleep(0.05)
        pool = serving.connection_pools["one"]
        for item in pool.queue.expire(clocks.read_clock() + 10.0):
            pool._refuse(item, "cannot start before its deadline")
        for task in asked[1:]:
            task.cancel()
        await asyncio.wait(asked[1:])
        assert pool.pending_checkouts == 0
        assert pool.queue.waiting == 0
        await asked[0]

    asyncio.run(scenario())
