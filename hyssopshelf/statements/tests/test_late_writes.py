"""Tests of writes that their serving node reads or starts late."""

import heapq

from hyssopshelf import base
from hyssopshelf.statements.tests import test_stop
from tests import test_node

PAUSE_SECONDS = 1.3

fleet = test_stop.fleet


def run_writes(fleet):
    """Let the fleet run and return the values that the primary has written."""
    fleet.run(0.5)
    log = fleet.instances[f"{test_node.POOL}/racks/a"].log
    return [change.value for entry in log for change in entry.changes]


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
