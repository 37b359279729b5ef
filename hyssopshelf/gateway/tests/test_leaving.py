"""Tests of the deadlines after which endpoints that leave get no requests."""

import asyncio

import attrs
import pytest
from hypothesis import stateful, strategies

from hyssopshelf import clocks
from hyssopshelf.gateway import (
    catalog,
    connection_pools,
    endpoint_connections,
    execution,
    forwarding,
    leaving,
    session_state,
    sessions,
)
from hyssopshelf.gateway.tests import test_forwarding, test_retries, test_routing

DRAIN_SECONDS = 7.0


def make_endpoints(**states: bool) -> dict[str, catalog.Endpoint]:
    """Return endpoints by id; the value tells whether each is leaving."""
    return {
        name: test_routing.make_endpoint(name, "a1", leaves)
        for name, leaves in states.items()
    }


def make_deadlines(*reads: tuple[float, dict]) -> leaving.LeaveDeadlines:
    """Return deadlines after reads of the registry, each a time and the endpoints."""
    deadlines = leaving.LeaveDeadlines(drain_seconds=DRAIN_SECONDS)
    before = {}
    for read_at, endpoints in reads:
        deadlines.observe(before, endpoints, read_at)
        before = endpoints
    return deadlines


def find_end(deadlines: leaving.LeaveDeadlines, name: str = "e") -> float:
    return deadlines.deadlines[name] + leaving.MARGIN_SECONDS


def test_the_bound_counts_from_the_last_registry_without_the_report():
    deadlines = make_deadlines((10.0, make_endpoints(e=False)))
    deadlines.confirm(14.0)
    deadlines.observe(make_endpoints(e=False), make_endpoints(e=True), 15.5)
    assert find_end(deadlines) == 14.0 + DRAIN_SECONDS
    assert deadlines.accepts("e", 20.0) and not deadlines.accepts("e", 21.0)
    deadlines.confirm(18.0)
    deadlines.observe(make_endpoints(e=True), make_endpoints(e=True, f=False), 19.0)
    assert find_end(deadlines) == 14.0 + DRAIN_SECONDS
    assert deadlines.accepts("f", 99.0)


# DRAIN: a restarted node does not know how long ago an endpoint has reported.
def test_an_endpoint_whose_report_may_be_of_any_age_gets_no_request():
    deadlines = make_deadlines((10.0, make_endpoints(e=True)))
    assert not deadlines.accepts("e", 10.1)
    deadlines.extend({"e": 16.0, "unknown": 16.0})
    assert deadlines.accepts("e", 15.9) and not deadlines.accepts("e", 16.0)
    deadlines.extend({"e": 12.0})
    assert deadlines.deadlines == {"e": 16.0}


def test_an_endpoint_that_is_ready_again_is_used_without_a_bound():
    deadlines = make_deadlines(
        (10.0, make_endpoints(e=False)),
        (11.0, make_endpoints(e=True)),
        (12.0, make_endpoints(e=False)),
    )
    assert deadlines.accepts("e", 99.0)


@pytest.mark.parametrize("first", [False, True])
def test_an_entry_that_was_lost_for_a_time_extends_no_deadline(first):
    """The registry loses entries while the store is away."""
    deadlines = make_deadlines(
        (10.0, make_endpoints(e=False)),
        (11.0, make_endpoints(e=first)),
        (30.0, make_endpoints()),
        (31.0, make_endpoints(e=True)),
    )
    assert find_end(deadlines) == (10.0 if first else 11.0) + DRAIN_SECONDS


def test_without_a_bound_an_endpoint_that_leaves_is_used():
    deadlines = leaving.LeaveDeadlines()
    deadlines.observe({}, make_endpoints(e=True), 10.0)
    assert deadlines.accepts("e", 1e9) and not deadlines.list_remaining(10.0)


@attrs.define
class Node:
    """What a node knows of the registry."""

    deadlines: leaving.LeaveDeadlines = attrs.field(
        factory=lambda: leaving.LeaveDeadlines(drain_seconds=DRAIN_SECONDS)
    )
    endpoints: dict = attrs.field(factory=dict)

    def apply(self, endpoints: dict, read_at: float) -> None:
        self.deadlines.observe(self.endpoints, endpoints, read_at)
        self.endpoints = endpoints


class Drains(stateful.RuleBasedStateMachine):
    """Endpoints drain in turn, are lost and return; nodes answer each other or not.

    No coordinator acts here. A node that has read the registry within the bound sends
    nothing to an endpoint later than the bound after its report.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.nodes = [Node() for _ in range(3)]
        self.registered = {"a": False, "b": False, "c": False}
        self.hidden: set[str] = set()
        self.reported_at: dict[str, float] = {}
        self.answers: list[tuple] = []

    def show(self) -> dict:
        return make_endpoints(
            **{n: s for n, s in self.registered.items() if n not in self.hidden}
        )

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.4, 1.5, 3.0, 8.0]))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(name=strategies.sampled_from("abc"))
    def report(self, name):
        self.registered[name] = True
        self.reported_at.setdefault(name, self.now)
        self.hidden.discard(name)

    @stateful.rule(name=strategies.sampled_from("abc"), hides=strategies.booleans())
    def lose_entry(self, name, hides):
        (self.hidden.add if hides else self.hidden.discard)(name)

    @stateful.rule(node=strategies.integers(0, 2), late=strategies.floats(0.0, 2.0))
    def read(self, node, late):
        endpoints, read_at = self.show(), self.now
        self.now += late
        self.nodes[node].apply(endpoints, read_at)

    @stateful.rule(node=strategies.integers(0, 2))
    def restart(self, node):
        self.nodes[node] = Node()

    @stateful.rule(asked=strategies.integers(0, 2), late=strategies.floats(0.0, 2.0))
    def ask(self, asked, late):
        """Send a ping; its answer arrives later or never."""
        sent_at, node = self.now, self.nodes[asked]
        self.now += late
        age = self.now - node.deadlines.current_at
        remaining = node.deadlines.list_remaining(self.now)
        self.answers.append((sent_at, node.endpoints, age, remaining))

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule(node=strategies.integers(0, 2), data=strategies.data())
    def receive(self, node, data):
        index = data.draw(strategies.integers(0, len(self.answers) - 1))
        sent_at, endpoints, age, remaining = self.answers.pop(index)
        deadlines = self.nodes[node].deadlines
        read_at = sent_at - age
        if read_at > deadlines.current_at:
            self.nodes[node].apply(endpoints, read_at)
        deadlines.extend({n: sent_at + seconds for n, seconds in remaining.items()})

    @stateful.invariant()
    def no_request_is_late(self):
        for node in self.nodes:
            if node.deadlines.current_at <= self.now - DRAIN_SECONDS:
                continue  # It has not read the registry for so long.
            for name, reported_at in self.reported_at.items():
                if self.now >= reported_at + DRAIN_SECONDS:
                    shown = name in node.endpoints
                    assert not shown or not node.deadlines.accepts(name, self.now)


TestDrains = Drains.TestCase


@pytest.fixture
def node_gateway(monkeypatch):
    """Return a gateway whose endpoint ``one``, the primary, is about to have left."""
    endpoints = test_retries.FakeEndpoints({"one": 0.3, "two": 0.005})
    monkeypatch.setattr(
        endpoint_connections, "open_connection", endpoints.open_connection
    )
    local_gateway = test_retries.make_gateway(catalog.ReadRule.BOUNDED)
    local_gateway.opened = endpoints.opened
    return local_gateway


def let_leave(local_gateway, seconds: float, *names: str) -> None:
    """Give endpoints a deadline in some seconds."""
    now = clocks.read_clock()
    deadlines = local_gateway.board.leave_deadlines
    deadlines.deadlines = {name: now + seconds for name in names}


# DRAIN: reads went to a draining replica when the other endpoints failed (review/10).
def test_no_read_is_sent_to_an_endpoint_after_its_deadline():
    board = test_routing.make_board(leaving=True)
    excluded = {"p", "far"}
    assert test_routing.choose(board, excluded=excluded)
    board.leave_deadlines.deadlines["near"] = test_routing.NOW
    assert not test_routing.choose(board, excluded=excluded)
    board.leave_deadlines.deadlines["p"] = test_routing.NOW
    route = test_routing.make_route(catalog.ReadRule.PRIMARY)
    assert not test_routing.choose(board, route)


# DRAIN: work that waits for a slot when the time comes is sent nowhere.
def test_work_that_waits_at_the_deadline_is_refused_and_transactions_go_on(
    node_gateway,
):
    async def scenario():
        state = session_state.SessionState()
        pool = node_gateway.get_local_pool(node_gateway.board.endpoints["one"])
        deadline = clocks.read_clock() + 5.0
        first = await pool.acquire(0, deadline, state)
        waiting = asyncio.create_task(pool.acquire(0, deadline, state))
        pinned = asyncio.create_task(
            pool.acquire(0, deadline, state, connection=first.connection)
        )
        await asyncio.sleep(0.01)
        let_leave(node_gateway, 0.0, "one")
        node_gateway.end_leaving()
        with pytest.raises(connection_pools.RefusalError) as refusal:
            await waiting
        assert refusal.value.reason == connection_pools.LEFT_REASON
        pool.release_slot(first)
        assert (await pinned).connection is first.connection
        with pytest.raises(connection_pools.RefusalError):
            await pool.acquire(0, deadline, state)

    asyncio.run(scenario())


# DRAIN: a holder ran work of another node that knew of no deadline.
def test_a_holder_does_not_run_work_after_the_deadline(monkeypatch):
    async def scenario():
        forwarder, answers = test_forwarding.make_holder(monkeypatch, 0.01)
        test_retries.grant_primary(forwarder.gateway, "one", 1)
        let_leave(forwarder.gateway, 0.0, "one")
        forwarder.receive_forward(test_forwarding.make_write(), "entry", "entry:1")
        answer = await test_forwarding.wait_for_answer(answers)
        assert answer.reason == connection_pools.LEFT_REASON
        assert answer.error in {kind.value for kind in execution.NOT_RUN}
        assert isinstance(forwarder, forwarding.Forwarder)

    asyncio.run(scenario())


@pytest.mark.parametrize(("left", "waits"), [(("one",), True), (("one", "two"), False)])
def test_a_write_waits_for_the_next_primary_unless_all_have_left(
    node_gateway, left, waits
):
    async def scenario():
        test_retries.grant_primary(node_gateway, "one", 1)
        let_leave(node_gateway, 0.0, *left)
        session = sessions.Session(gateway=node_gateway, name="db")
        route = session.find_route()
        retry = execution.make_retry_state(route, reads=False)
        deadline = clocks.read_clock() + route.statement_seconds
        reserving = asyncio.create_task(
            execution.reserve(session, route, deadline, retry)
        )
        await asyncio.sleep(0.1)
        assert reserving.done() is not waits
        if waits:
            test_retries.grant_primary(node_gateway, "two", 2)
            reservation = await reserving
            assert reservation.candidate.endpoint.id == "two"
            reservation.release()
        assert "one" not in node_gateway.opened

    asyncio.run(scenario())
