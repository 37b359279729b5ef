"""Tests of the concurrency limits at the entry node."""

import random

import attrs
import pytest

from hyssopshelf import blackboard
from hyssopshelf.scheduling import limits
from hyssopshelf.scheduling.tests import test_queues

VIEW = attrs.evolve(
    test_queues.VIEW,
    ranks={
        name: attrs.evolve(rank, target_seconds=0.2)
        for name, rank in test_queues.RANKS.items()
    },
)


@pytest.fixture
def board():
    identity = blackboard.Identity(host="h1", address="127.0.0.1:1", place="x")
    made = blackboard.Blackboard(identity=identity, random=random.Random(1))
    made.pools["p"] = VIEW
    return made


def fill(board, partner, rank, now=0.0):
    """Admit statements until the limit refuses one; return the number admitted."""
    count = 0
    while limits.admit(board, "p", partner, rank, now).is_ok():
        count += 1
    return count


def overload(board, partner, rank, rounds, *, refused):
    for number in range(rounds):
        limits.record_answer(board, "p", partner, rank, refused, 9.0, number * 1.0)


def test_flood_is_limited_for_its_own_partner_and_rank_only(board):
    """Guards against a flood that decreases the limit of another partner or rank."""
    fill(board, "a", "background")
    overload(board, "a", "background", 10, refused=True)
    key = ("p", "a", "background")
    assert board.admission.limits[key].maximum == limits.MINIMUM_LIMIT
    assert fill(board, "b", "background") == limits.INITIAL_LIMIT
    assert fill(board, "a", "urgent") == limits.INITIAL_LIMIT


def test_most_urgent_rank_is_limited_last(board):
    """Guards against limiting urgent work while less urgent work is not limited."""
    fill(board, "a", "urgent")
    fill(board, "a", "background")
    urgent = board.admission.limits["p", "a", "urgent"]
    background = board.admission.limits["p", "a", "background"]
    overload(board, "a", "urgent", 7, refused=False)
    assert urgent.maximum == limits.INITIAL_LIMIT
    overload(board, "a", "urgent", 20, refused=False)
    assert background.maximum == limits.MINIMUM_LIMIT
    assert urgent.maximum < limits.INITIAL_LIMIT


def test_limit_recovers_after_overload(board):
    """Guards against a limit that stays low after the overload has ended."""
    fill(board, "a", "normal")
    overload(board, "a", "normal", 20, refused=True)
    limit = board.admission.limits["p", "a", "normal"]
    for number in range(1000):
        limits.record_answer(board, "p", "a", "normal", False, 0.0, 30.0 + number)
    assert limit.maximum > 40.0


def test_one_overload_decreases_the_limit_once(board):
    """Guards against a collapse when many answers report the same overload."""
    fill(board, "a", "normal")
    for _ in range(50):
        limits.record_answer(board, "p", "a", "normal", True, 9.0, 5.0)
    limit = board.admission.limits["p", "a", "normal"]
    assert limit.maximum == pytest.approx(limits.INITIAL_LIMIT * limits.DECREASE_FACTOR)


def test_undeclared_names_take_no_state(board):
    """Guards against state that grows with undeclared names sent by callers."""
    assert limits.admit(board, "p", "stranger", "urgent", 0.0).is_err()
    assert limits.admit(board, "q", "a", "urgent", 0.0).is_err()
    assert limits.admit(board, "p", "a", "other", 0.0).is_err()
    assert board.admission.limits == {}


def test_idle_state_is_dropped_but_not_outstanding_work(board):
    """Guards against unbounded state and against losing outstanding statements."""
    limits.admit(board, "p", "a", "urgent", 0.0)
    limits.admit(board, "p", "b", "urgent", 0.0)
    limits.release(board, "p", "b", "urgent", 0.0)
    limits.release(board, "p", "b", "urgent", 0.0)
    limits.step(board, 100.0)
    assert list(board.admission.limits) == [("p", "a", "urgent")]
