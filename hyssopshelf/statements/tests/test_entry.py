"""Tests of statements at their entry node whose serving node is gone."""

import attrs
import pytest

from hyssopshelf import base, blackboard, exceptions, messages, peer_events
from tests import test_node


@pytest.mark.parametrize("operation", [messages.Operation.GET, messages.Operation.PUT])
@pytest.mark.parametrize(
    "state", [blackboard.HostState.LEAVING, blackboard.HostState.DEAD]
)
def test_transaction_of_a_node_that_left_is_answered(state, operation):
    """Guards against a statement that waits its whole deadline for a node that left."""
    fleet = test_node.Fleet()
    fleet.run(1.0)
    serving = fleet.nodes["h1"].board.placement[f"{test_node.POOL}/racks/a"]
    entry = next(host for host in fleet.nodes if host != serving)
    begin = fleet.send_statement(serving, operation=messages.Operation.BEGIN)
    statement = messages.Statement(
        id="s",
        pool=test_node.POOL,
        database="racks",
        partner="priehradka",
        kind="scan",
        key="slot",
        value="x",
        operation=operation,
        transaction=begin.transaction,
        remaining_seconds=60.0,
    )
    received = base.StatementReceived(caller="c", statement=statement)
    node = fleet.nodes[entry]
    actions = node.handle(received, fleet.now)
    sent = [a for a in actions if isinstance(a, base.SendPeer) and a.host == serving]
    record = node.board.hosts[serving]
    node.board.hosts[serving] = attrs.evolve(record, state=state)
    for action in sent:
        unsent = peer_events.PeerUnsent(host=serving, message=action.message)
        fleet.handle(entry, unsent)
    assert fleet.answers["c"].error is exceptions.ErrorKind.NOT_RUN
    assert not node.board.requests
