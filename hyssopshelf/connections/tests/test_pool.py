"""Tests of the connection pool of an endpoint."""

import random

import pytest

from hyssopshelf import base, blackboard
from hyssopshelf.configuration import views
from hyssopshelf.connections import pool

ENDPOINT = "p/d/a"


@pytest.fixture
def board():
    identity = blackboard.Identity(host="h1", address="h1", place="x")
    board = blackboard.Blackboard(identity=identity, random=random.Random(1))
    board.endpoints[ENDPOINT] = blackboard.EndpointRecord(
        name=ENDPOINT, pool="p", database="p/d", place="x", address="a"
    )
    board.pools["p"] = views.PoolView(
        pool="p",
        version=1,
        slots=2,
        connections=5,
        databases={},
        ranks={},
        kinds={},
        capacity={},
        bill={},
    )
    for _ in range(3):
        pool.release_connection(board, board.add_connection(ENDPOINT), 0.0)
    return board


def count_closed(board, now):
    pool.step(board, now)
    return sum(isinstance(action, base.CloseConnection) for action in board.actions)


def test_former_serving_node_gives_up_its_connections(board):
    """Guards against a node that keeps connections which its successor needs.

    An endpoint accepts only a few connections, so the new serving node could not
    open its own.
    """
    board.placement[ENDPOINT] = "h2"
    assert count_closed(board, 0.5 * pool.UNSERVED_IDLE_SECONDS) == 0
    assert count_closed(board, pool.UNSERVED_IDLE_SECONDS) == 3


def test_serving_node_keeps_one_connection_a_slot(board):
    """Guards against reconnecting for each statement after an idle period."""
    board.placement[ENDPOINT] = "h1"
    assert count_closed(board, pool.UNSERVED_IDLE_SECONDS) == 0
    assert count_closed(board, pool.IDLE_SECONDS) == 1
