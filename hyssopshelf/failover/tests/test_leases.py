"""Tests of the store calls of a change of primary."""

import pytest
from result import Err, Ok

from hyssopshelf import base, kvstore
from hyssopshelf.failover import leases
from hyssopshelf.failover.tests import simulated_group


@pytest.fixture
def board():
    return simulated_group.SimulatedGroup().boards["h0"]


def take_call(board):
    calls = [a for a in board.actions if isinstance(a, base.CallStore)]
    board.actions.clear()
    return calls[-1] if calls else None


def claim_promotion(board, holder, now):
    leases.request_lease(board, simulated_group.DATABASE, now)
    leases.receive_store(board, take_call(board).call_id, Ok(7), now)
    entry = kvstore.Entry(key="k", value=holder, revision=1)
    swapped = kvstore.Swapped(succeeded=holder == b"h0", current=entry)
    leases.receive_store(board, take_call(board).call_id, Ok(swapped), now)


@pytest.mark.parametrize(("holder", "blocked"), [(b"h0", False), (b"h1", True)])
def test_lease_of_another_node_blocks_for_a_bounded_time(board, holder, blocked):
    """Guards against an unreleased lease that blocks failovers."""
    claim_promotion(board, holder, 1.0)
    assert leases.is_blocked(board, simulated_group.DATABASE, 1.1) is blocked
    later = 1.0 + leases.BLOCK_SECONDS
    assert not leases.is_blocked(board, simulated_group.DATABASE, later)


def test_store_that_is_down_blocks_nothing(board):
    """Guards against a failover that waits for the store."""
    leases.request_lease(board, simulated_group.DATABASE, 1.0)
    assert not leases.is_blocked(board, simulated_group.DATABASE, 1.0)
    leases.receive_store(board, take_call(board).call_id, Err("down"), 2.0)
    assert not leases.is_blocked(board, simulated_group.DATABASE, 2.0)


def test_record_is_written_when_the_store_returns_and_never_goes_back(board):
    """Guards against a lost record and against overwriting a newer term."""
    leases.record_primary(board, simulated_group.DATABASE, 3, "p/d/a", 1.0)
    leases.receive_store(board, take_call(board).call_id, Err("down"), 2.0)
    leases.step(board, 1.0 + leases.RETRY_SECONDS)
    leases.receive_store(board, take_call(board).call_id, Ok(None), 6.0)
    write = take_call(board).operation
    assert isinstance(write, kvstore.CompareAndSwap) and write.revision == 0
    newer = leases.encode_record(leases.PrimaryRecord(term=4, primary="p/d/b"))
    leases.step(board, 1.0 + 2 * leases.RETRY_SECONDS)
    entry = kvstore.Entry(key=write.key, value=newer, revision=9)
    leases.receive_store(board, take_call(board).call_id, Ok(entry), 11.0)
    assert take_call(board) is None
    assert simulated_group.DATABASE not in board.failover.lease_state.pending_records
