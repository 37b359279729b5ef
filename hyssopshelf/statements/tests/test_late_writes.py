"""Tests of writes that their serving node reads or starts late."""

import heapq

import result

from hyssopshelf import base, exceptions, messages, peer_events
from hyssopshelf.scheduling import queues, work
from hyssopshelf.statements.tests import test_stop
from tests import test_node

PAUSE_SECONDS = 1.3

fleet = test_stop.fleet


def forward(fleet, **fields):
    """Let an entry node forward a write; return caller, message and serving node."""
    serving, entry = test_stop.find_hosts(fleet)
    fleet.send_statement(entry, operation=test_stop.APPEND, value="warm")
    caller = test_stop.send(
        fleet, entry, operation=test_stop.APPEND, value="late", **fields
    )
    (request,) = fleet.nodes[entry].board.requests.values()
    board = fleet.nodes[entry].board
    message = messages.ForwardStatement(
        request_id=request.id,
        endpoint=request.endpoint,
        statement=request.statement,
        remaining_seconds=request.deadline - fleet.now,
        term=board.databases[f"{test_node.POOL}/racks"].term,
    )
    fleet.queue.clear()
    return caller, message, serving, entry


def receive(fleet, host, entry, message, waited):
    event = peer_events.PeerReceived(
        host=entry, message=message, waited_since=fleet.now - waited
    )
    fleet.handle(host, event)


def run_writes(fleet):
    """Let the fleet run and return the values that the primary has written."""
    fleet.run(0.5)
    log = fleet.instances[f"{test_node.POOL}/racks/a"].log
    return [change.value for entry in log for change in entry.changes]


def test_write_that_waited_during_a_pause_does_not_run_after_its_answer(fleet):
    """Guards against a write that runs after its caller was told that it is unknown.

    Its serving node was paused and read it after its first tick.
    """
    caller, message, serving, entry = forward(fleet, remaining_seconds=0.8)
    fleet.now += PAUSE_SECONDS
    for host in (entry, serving):
        fleet.handle(host, base.Ticked())
    assert fleet.answers[caller].error is test_stop.UNKNOWN
    receive(fleet, serving, entry, message, PAUSE_SECONDS)
    assert run_writes(fleet) == ["warm"]


def test_write_with_time_left_runs_although_its_node_was_paused(fleet):
    """Guards against an error for a write that was sent after the pause."""
    caller, message, serving, entry = forward(fleet, remaining_seconds=0.8)
    receive(fleet, serving, entry, message, PAUSE_SECONDS)
    fleet.run(0.7)
    assert fleet.answers[caller].error is None
    assert run_writes(fleet) == ["warm", "late"]


def test_write_whose_cancellation_came_first_does_not_run(fleet):
    """Guards against a write that runs after the session of its caller went on."""
    _, message, serving, entry = forward(fleet, remaining_seconds=5.0)
    cancel = messages.CancelStatement(request_id=message.request_id)
    for item in (cancel, message):
        receive(fleet, serving, entry, item, 0.0)
    assert run_writes(fleet) == ["warm"]


def test_queued_write_does_not_start_after_its_deadline(fleet):
    """Guards against a late start before the first tick that follows a pause."""
    serving, entry = test_stop.find_hosts(fleet)
    fleet.send_statement(entry, operation=test_stop.APPEND, value="warm")
    fields = {"operation": test_stop.APPEND, "remaining_seconds": 0.8}
    callers = [test_stop.send(fleet, entry, value=f"{n}", **fields) for n in range(2)]
    board = fleet.nodes[serving].board
    while len(board.served) < 2:
        fleet.now, _, call = heapq.heappop(fleet.queue)
        call()
    assert [s.sent_at > 0.0 for s in board.served.values()] == [True, False]
    fleet.now += PAUSE_SECONDS
    fleet.handle(entry, base.Ticked())
    assert fleet.answers[callers[1]].error is test_stop.UNKNOWN
    for _ in range(len(fleet.queue)):
        heapq.heappop(fleet.queue)[2]()
    assert run_writes(fleet) == ["warm", "0"]


def test_overload_is_told_to_a_write_that_has_waited(fleet, monkeypatch):
    """Guards against more statements for an overloaded node, which a retry causes."""
    caller, message, serving, entry = forward(fleet, remaining_seconds=0.8)
    tries = []

    def refuse(queue, item, *_, **__):
        tries.append(item.id)
        refusal = work.Refusal(reason="queue is full", retry_after_seconds=1.0)
        return result.Err(refusal)

    monkeypatch.setattr(queues.EndpointQueue, "admit", refuse)
    receive(fleet, serving, entry, message, 0.3)
    fleet.run(0.5)
    assert fleet.answers[caller].error is exceptions.ErrorKind.REFUSED
    assert tries == [message.request_id]
