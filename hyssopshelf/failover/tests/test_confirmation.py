"""Tests of majority confirmation."""

import random

import pytest

from hyssopshelf import base, blackboard, messages
from hyssopshelf.failover import confirmation, pending_confirmations

ENDPOINTS = ("p/d/a", "p/d/b", "p/d/c")
LOG = pending_confirmations.ConfirmationLevel.LOG
TERM = pending_confirmations.ConfirmationLevel.TERM
CONFIRMED = pending_confirmations.ConfirmationOutcome.CONFIRMED
REPLACED = pending_confirmations.ConfirmationOutcome.REPLACED


def build_board():
    identity = blackboard.Identity(host="h1", address="127.0.0.1:1", place="x")
    board = blackboard.Blackboard(identity=identity, random=random.Random(1))
    board.databases["p/d"] = blackboard.DatabaseRecord(
        name="p/d", pool="p", endpoints=ENDPOINTS
    )
    return board


def request_confirmation(board, level, now, name="t"):
    board.pending_confirmations[name] = pending_confirmations.PendingConfirmation(
        id=name,
        database="p/d",
        level=level,
        position=messages.Position(term=2, index=7),
        requested_at=now,
        deadline=now + 5,
    )
    confirmation.start_due_rounds(board, now)
    return board.pending_confirmations[name]


def take_probe(board):
    probes = [a for a in board.actions if isinstance(a, base.ProbeStatus)]
    board.actions.clear()
    return probes[0].probe_id if probes else None


def build_status(term=2, position=7, history=((1, 1), (2, 4))):
    starts = tuple(messages.TermStart(term=t, first=f) for t, f in history)
    return messages.EndpointStatus(
        name="x",
        role=messages.Role.REPLICA,
        term=term,
        history=starts,
        position=position,
        applied=position,
    )


@pytest.mark.parametrize(
    ("level", "answers", "outcome"),
    [
        (TERM, [build_status()], None),
        (TERM, [build_status(), build_status()], CONFIRMED),
        (TERM, [build_status(), build_status(term=3)], None),
        (TERM, [build_status(term=3), build_status(term=3)], REPLACED),
        (TERM, [build_status(), build_status(term=1)], None),
        (LOG, [build_status(), build_status(position=6)], None),
        (LOG, [build_status(), build_status(history=((1, 1),))], None),
        (LOG, [build_status(), build_status(history=((2, 1), (3, 7)))], None),
        (LOG, [build_status(), build_status(history=((1, 1), (2, 8)))], None),
        (LOG, [build_status(), build_status()], CONFIRMED),
        (LOG, [build_status(), None, build_status()], CONFIRMED),
    ],
)
def test_only_a_majority_decides(level, answers, outcome):
    """Guards against acknowledging a write that no majority confirms."""
    board = build_board()
    pending = request_confirmation(board, level, 1.0)
    probe = take_probe(board)
    for endpoint, status in zip(ENDPOINTS, answers, strict=False):
        confirmation.receive_status(board, endpoint, probe, status, 1.1)
    assert pending.outcome is outcome
    assert pending.confirmed_from == (1.0 if outcome is CONFIRMED else float("-inf"))


def test_repeated_answer_counts_once():
    """Guards against counting a duplicated answer of one endpoint as a majority."""
    board = build_board()
    pending = request_confirmation(board, TERM, 1.0)
    probe = take_probe(board)
    for _ in range(3):
        confirmation.receive_status(board, ENDPOINTS[0], probe, build_status(), 1.1)
    assert pending.outcome is None


def test_answer_asked_before_filing_does_not_confirm():
    """Guards against a confirmation by answers to probes older than the request."""
    board = build_board()
    first = request_confirmation(board, TERM, 1.0)
    probe = take_probe(board)
    second = request_confirmation(board, TERM, 1.05, "second")
    assert take_probe(board) is None
    for endpoint in ENDPOINTS[:2]:
        confirmation.receive_status(board, endpoint, probe, build_status(), 1.1)
    assert (first.outcome, second.outcome) == (CONFIRMED, None)
    confirmation.start_due_rounds(board, 1.1)
    assert take_probe(board) is not None


def test_confirmation_is_as_old_as_its_oldest_answer():
    """Guards against a late answer that makes an old confirmation appear fresh."""
    board = build_board()
    pending = request_confirmation(board, TERM, 1.0)
    old = take_probe(board)
    confirmation.start_due_rounds(board, 1.0 + confirmation.ROUND_TIMEOUT_SECONDS)
    new = take_probe(board)
    confirmation.receive_status(board, ENDPOINTS[0], new, build_status(), 1.3)
    confirmation.receive_status(board, ENDPOINTS[1], old, build_status(), 1.3)
    assert pending.confirmed_from == 1.0


def test_silent_endpoints_delay_rounds_by_a_bound():
    """Guards against rounds that wait for dead endpoints or follow without delay."""
    board = build_board()
    request_confirmation(board, LOG, 1.0)
    probe = take_probe(board)
    confirmation.start_due_rounds(board, 1.19)
    assert take_probe(board) is None
    for endpoint in ENDPOINTS:
        confirmation.receive_status(board, endpoint, probe, None, 1.19)
    confirmation.start_due_rounds(board, 1.19)
    assert take_probe(board) is not None
    assert not [r for r in board.confirmations.rounds.values() if r.started_at < 1.1]
