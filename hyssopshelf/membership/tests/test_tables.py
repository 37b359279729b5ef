"""Tests of the exchange of host tables."""

import random

from hyssopshelf import blackboard
from hyssopshelf.membership import protocol, tables

ROWS = tuple(
    (f"h{number}", 1, 0, 0, f"10.0.0.{number}:7100", "p", "r", ())
    for number in range(1, 50)
)


def list_queued(board) -> list[str]:
    """Return the hosts whose rows are queued for sending."""
    rows = board.membership.outbox.take(board.hosts, except_for="")
    return [row[0] for row in rows]


def make_table(rows) -> protocol.Table:
    return protocol.Table(sender=ROWS[0], buckets=(), rows=rows, regions={"p": "r"})


def make_board() -> blackboard.Blackboard:
    identity = blackboard.Identity(host="own", address="10.0.0.99:7100", place="p")
    return blackboard.Blackboard(identity=identity, random=random.Random(1))


def test_joining_node_spreads_only_itself():
    """Guards against a joining node that sends the whole table on for minutes."""
    board = make_board()
    message = make_table(ROWS)
    tables.receive_table(message, board, "h1", 1.0)
    assert len(board.hosts) == 50
    assert list_queued(board) == ["own"]


def test_repaired_rows_are_spread():
    """Guards against a node that does not spread the rows of a later table."""
    board = make_board()
    first = make_table(ROWS[:40])
    tables.receive_table(first, board, "h1", 1.0)
    later = make_table(ROWS)
    tables.receive_table(later, board, "h1", 2.0)
    assert set(list_queued(board)) == {"own", *(row[0] for row in ROWS[40:])}
