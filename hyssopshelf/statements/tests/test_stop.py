"""Tests of the answers to statements that are open when their node stops."""

import heapq

import pytest

from hyssopshelf import base, blackboard, exceptions, messages, peer_events
from tests import test_node

NOT_RUN = exceptions.ErrorKind.NOT_RUN
UNKNOWN = exceptions.ErrorKind.OUTCOME_UNKNOWN
APPEND = messages.Operation.APPEND


@pytest.fixture
def fleet():
    fleet = test_node.Fleet()
    fleet.run(1.0)
    return fleet


def stop(fleet, host):
    """Drain a node and end its drain at once."""
    fleet.handle(host, base.DrainRequested())
    fleet.handle(host, base.StopRequested())


def send(fleet, host, **fields):
    """Send a statement to a node and return its caller; nothing else is run."""
    caller = f"c{next(fleet.event_sequence)}"
    defaults = {"key": "slot", "kind": "scan", "remaining_seconds": 5.0}
    statement = messages.Statement(
        id=caller,
        pool=test_node.POOL,
        database="racks",
        partner="priehradka",
        **(defaults | fields),
    )
    fleet.handle(host, base.StatementReceived(caller=caller, statement=statement))
    return caller


def find_hosts(fleet):
    """Return the node that serves the primary and the other node."""
    serving = fleet.nodes["h1"].board.placement[f"{test_node.POOL}/racks/a"]
    return serving, next(host for host in fleet.nodes if host != serving)


def test_running_write_is_unknown_and_waiting_write_is_not_run(fleet):
    """Guards against statements without an answer when their node stops."""
    serving, _ = find_hosts(fleet)
    fleet.send_statement(serving, operation=APPEND, value="warm")
    callers = [
        send(fleet, serving, operation=APPEND, value=str(number)) for number in range(6)
    ]
    running = {
        served.statement.id
        for served in fleet.nodes[serving].board.served.values()
        if served.sent_at
    }
    assert running
    stop(fleet, serving)
    expected = [UNKNOWN if caller in running else NOT_RUN for caller in callers]
    assert [fleet.answers[caller].error for caller in callers] == expected
    assert NOT_RUN in expected
    assert not fleet.nodes[serving].board.served
    fleet.run(1.0)


def test_write_that_waits_for_its_confirmation_is_unknown(fleet):
    """Guards against a write reported as not run although its endpoint executed it."""
    serving, _ = find_hosts(fleet)
    caller = send(fleet, serving, operation=APPEND, value="x")
    fleet.run(0.2, replicating=False)
    assert fleet.nodes[serving].board.pending_confirmations
    stop(fleet, serving)
    assert fleet.answers[caller].error is UNKNOWN


@pytest.mark.parametrize(
    "state", [blackboard.ServedState.RUNNING, blackboard.ServedState.CONFIRMING]
)
def test_read_is_not_run(fleet, state):
    """Guards against a read that is not repeated although it has no effect."""
    serving, _ = find_hosts(fleet)
    fleet.send_statement(serving, operation=APPEND, value="warm")
    caller = send(
        fleet,
        serving,
        operation=messages.Operation.GET,
        consistency=messages.Consistency.STRONG,
    )
    (served,) = fleet.nodes[serving].board.served.values()
    while served.state is not state:
        fleet.now, _, call = heapq.heappop(fleet.queue)
        call()
    stop(fleet, serving)
    assert fleet.answers[caller].error is NOT_RUN


def test_statement_at_another_node_is_unknown_and_cancelled(fleet):
    """Guards against a forwarded statement without an answer at its entry node."""
    serving, entry = find_hosts(fleet)
    caller = send(fleet, entry, operation=APPEND, value="x")
    (request_id,) = fleet.nodes[entry].board.requests
    actions = fleet.nodes[entry].handle(base.StopRequested(), fleet.now)
    replies = {a.caller: a.answer for a in actions if isinstance(a, base.Reply)}
    assert replies[caller].error is UNKNOWN
    cancel = messages.CancelStatement(request_id=request_id)
    assert base.SendPeer(host=serving, message=cancel) in actions
    assert not fleet.nodes[entry].board.requests


@pytest.mark.parametrize("running", [True, False])
def test_entry_node_is_told_when_the_serving_node_stops(fleet, running):
    """Guards against an entry node that waits for an answer that never comes."""
    serving, entry = find_hosts(fleet)
    fleet.send_statement(serving, operation=APPEND, value="warm")
    # Two statements occupy the slots of the endpoint.
    callers = [
        send(fleet, entry, operation=APPEND, value=str(number), remaining_seconds=60.0)
        for number in range(3)
    ]
    board = fleet.nodes[serving].board
    while not board.served:
        fleet.now, _, call = heapq.heappop(fleet.queue)
        call()
    sent = {s.statement.id for s in board.served.values() if s.sent_at}
    stop(fleet, serving)
    fleet.run(0.1)
    caller = callers[0] if running else callers[2]
    assert (caller in sent) is running
    if running:
        assert fleet.answers[caller].error is UNKNOWN
    else:
        requests = fleet.nodes[entry].board.requests.values()
        assert [r.parked for r in requests if r.statement.id == caller] == [True]


def test_transaction_whose_queued_statement_is_cancelled_can_end(fleet):
    """Guards against a transaction that is busy for ever with a cancelled statement."""
    serving, entry = find_hosts(fleet)
    begin = fleet.send_statement(serving, operation=messages.Operation.BEGIN)
    # Other statements occupy the slots of the endpoint.
    for number in range(4):
        send(fleet, serving, operation=APPEND, value=str(number))
    board = fleet.nodes[serving].board
    send(fleet, entry, operation=APPEND, value="t", transaction=begin.transaction)
    while not any(served.statement.transaction for served in board.served.values()):
        fleet.now, _, call = heapq.heappop(fleet.queue)
        call()
    (served,) = (s for s in board.served.values() if s.statement.transaction)
    assert served.state is blackboard.ServedState.QUEUED
    cancel = messages.CancelStatement(request_id=served.id)
    fleet.handle(serving, peer_events.PeerReceived(host=entry, message=cancel))
    assert served.id not in board.served
    fleet.run(1.0)
    rollback = fleet.send_statement(
        serving, operation=messages.Operation.ROLLBACK, transaction=begin.transaction
    )
    assert rollback.error is None


def test_parked_statement_is_not_run(fleet):
    """Guards against a parked statement that is dropped with its node."""
    serving, entry = find_hosts(fleet)
    fleet.nodes[entry].board.hosts.pop(serving)
    board = fleet.nodes[entry].board
    board.placement.clear()
    board.databases[f"{test_node.POOL}/racks"].primary = ""
    caller = send(fleet, entry, operation=APPEND, value="x")
    parked = [request.parked for request in board.requests.values()]
    stop(fleet, entry)
    assert parked == [True]
    assert fleet.answers[caller].error is NOT_RUN


def test_transaction_is_rolled_back_and_its_next_statement_refused(fleet):
    """Guards against a transaction that stays open or commits after the stop."""
    serving, _ = find_hosts(fleet)
    begin = fleet.send_statement(serving, operation=messages.Operation.BEGIN)
    fleet.send_statement(
        serving, operation=APPEND, value="t", transaction=begin.transaction
    )
    stop(fleet, serving)
    commit = send(
        fleet,
        serving,
        operation=messages.Operation.COMMIT,
        transaction=begin.transaction,
    )
    answer = fleet.answers[commit]
    assert exceptions.DISPOSITIONS[answer.error].ran is exceptions.Ran.NO
    assert not fleet.nodes[serving].board.transactions


@pytest.mark.parametrize(
    ("operation", "expected"), [(APPEND, NOT_RUN), (messages.Operation.COMMIT, UNKNOWN)]
)
def test_running_statement_of_a_transaction(fleet, operation, expected):
    """Guards against a commit reported as not run although it was sent."""
    serving, _ = find_hosts(fleet)
    begin = fleet.send_statement(serving, operation=messages.Operation.BEGIN)
    caller = send(
        fleet,
        serving,
        operation=operation,
        value="t",
        transaction=begin.transaction,
    )
    stop(fleet, serving)
    assert fleet.answers[caller].error is expected
