"""Tests of a node that is isolated from the coordinator."""

import asyncio

from hyssopshelf import clocks
from hyssopshelf.authority import timing
from hyssopshelf.gateway import (
    blackboard,
    catalog,
    execution,
    gateway,
    isolation,
    sessions,
    statements,
)


def test_stages_advance_with_the_silence():
    stages = [isolation.find_stage(s / 10) for s in range(60)]
    assert stages == sorted(stages)
    assert stages[0] is isolation.Stage.CONNECTED
    assert stages[-1] is isolation.Stage.CLOSING


def test_a_takeover_is_not_treated_as_isolation():
    """A silent coordinator is replaced before the load balancer or clients notice."""
    longest = timing.PROMISE_CONTACT_SECONDS + timing.PROMISE_SECONDS
    assert isolation.find_stage(longest + 0.5) < isolation.Stage.REFUSING


def test_the_loss_of_a_coordinator_for_all_nodes_lets_requests_wait():
    """A coordinator is removed while a part of the fleet is cut off."""
    assert isolation.find_stage(4.5) is isolation.Stage.CLOSING
    assert isolation.find_stage(4.5, shared=True) is isolation.Stage.UNREADY
    assert isolation.find_stage(9.0, shared=True) is isolation.Stage.CLOSING


def test_a_request_is_refused_at_once_while_isolated():
    async def scenario():
        board = blackboard.GatewayBlackboard(place="a", region="r", regions={"a": "r"})
        board.isolated = True
        board.configuration = catalog.Configuration(
            version=1,
            routes={
                "db": catalog.Route(
                    name="db",
                    database="db",
                    read_rule=catalog.ReadRule.PRIMARY,
                    statement_seconds=5.0,
                    objective_seconds=1.0,
                    rank=0,
                )
            },
            connections={"db": 4},
            limits=catalog.Limits(),
        )
        isolated_gateway = gateway.Gateway(board=board, endpoint_codec=None)
        session = sessions.Session(gateway=isolated_gateway, name="db")
        request = statements.Request(
            id=b"1", text=b"WRITE a b", statement=statements.Access(writes=True)
        )
        started = clocks.read_clock()
        reply = await session.answer(request)
        assert reply.error is execution.make_error(reply.error).error
        assert reply.error.value == "unavailable"
        assert clocks.read_clock() - started < 1.0

    asyncio.run(scenario())
