"""Tests of reads that wait for the next primary, and of customers' connections."""

import asyncio

from hyssopshelf import clocks
from hyssopshelf.gateway import catalog, endpoint_connections, execution, sessions
from hyssopshelf.gateway.tests import test_retries


def test_a_read_whose_replicas_failed_waits_for_the_next_primary(monkeypatch):
    """Between two primaries its callers would repeat it elsewhere in vain."""
    endpoints = test_retries.FakeEndpoints({"one": 0.005, "two": 0.005})
    monkeypatch.setattr(
        endpoint_connections, "open_connection", endpoints.open_connection
    )

    async def scenario():
        node_gateway = test_retries.make_gateway(catalog.ReadRule.BOUNDED)
        session = sessions.Session(gateway=node_gateway, name="db")
        route = session.find_route()
        retry = execution.make_retry_state(route, reads=True)
        retry.excluded.add("two")
        deadline = clocks.read_clock() + route.statement_seconds
        reserving = asyncio.create_task(
            execution.reserve(session, route, deadline, retry)
        )
        await asyncio.sleep(0.1)
        assert not reserving.done()
        test_retries.grant_primary(node_gateway, "one", 1)
        reservation = await reserving
        assert reservation.candidate.endpoint.id == "one"
        reservation.release()

    asyncio.run(scenario())


def test_work_of_a_customer_replaces_the_idle_connection_of_another(monkeypatch):
    """Four connections are allowed; a fifth customer's work arrives."""
    opened = []

    async def open_connection(endpoint, codec, seconds, customer=""):
        connection = test_retries.FakeConnection(endpoint=endpoint, answer_after=0.005)
        connection.customer = customer
        opened.append(connection)
        return connection

    monkeypatch.setattr(endpoint_connections, "open_connection", open_connection)

    async def use(pool, customer: str) -> None:
        deadline = clocks.read_clock() + 1.0
        state = sessions.session_state.SessionState()
        checkout = await pool.acquire(0, deadline, state, customer=customer)
        assert checkout.connection.customer == customer
        pool.release_connection(checkout.connection)
        pool.release_slot(checkout)

    async def scenario():
        node_gateway = test_retries.make_gateway()
        pool = node_gateway.get_local_pool(node_gateway.board.endpoints["one"])
        for customer in ("a", "b", "c", "d", "a", "e"):
            await use(pool, customer)
        assert [c.customer for c in opened] == ["a", "b", "c", "d", "e"]
        assert sum(not c.closed for c in opened) == 4
        assert pool.replacements == 1
        assert pool.pending_checkouts == 0

    asyncio.run(scenario())
