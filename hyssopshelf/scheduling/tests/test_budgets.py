"""Tests of the token buckets."""

import pytest

from hyssopshelf.scheduling import budgets


def test_retries_are_a_tenth_of_requests():
    """Guards against retries that multiply the load of an outage."""
    budget = budgets.RetryBudget(tokens=0.0)
    sent = 0
    for _ in range(1000):
        budget.deposit(0.0)
        sent += budget.try_withdraw(0.0)
    assert sent == 100


def test_saved_retries_are_capped():
    """Guards against a burst of retries after a long time without any."""
    budget = budgets.RetryBudget()
    for _ in range(1000):
        budget.deposit(0.0)
    assert sum(budget.try_withdraw(0.0) for _ in range(50)) == 10


def test_bytes_stay_under_the_rate():
    """Guards against control messages above the byte budget of a node."""
    budget = budgets.ByteBudget(bytes_per_second=500.0)
    sent = sum(130 for tick in range(2000) if budget.try_take(130, tick * 0.05))
    assert sent <= 500.0 * 101
    assert sent == pytest.approx(500.0 * 100, rel=0.05)
