"""Tests of the schedule of a graceful stop."""

import pytest

from hyssopshelf.gateway import shutdown


@pytest.mark.parametrize("grace_seconds", [0.0, 1.0, 3.0, 6.0, 30.0])
def test_every_step_of_a_stop_leaves_time_for_the_next(grace_seconds):
    schedule = shutdown.plan_stop(100.0, grace_seconds)
    assert 100.0 <= schedule.close_quiet_at <= schedule.last_start_at
    assert schedule.last_start_at <= schedule.answer_by <= schedule.exit_at
    assert schedule.exit_at <= 100.0 + grace_seconds


def test_an_open_transaction_has_half_of_the_grace_period():
    schedule = shutdown.plan_stop(100.0, 6.0)
    assert schedule.may_start(102.99)
    assert not schedule.may_start(103.0)


def test_a_deadline_beyond_the_stop_is_brought_forward():
    schedule = shutdown.plan_stop(100.0, 6.0)
    assert schedule.cap(104.0) == 104.0
    assert schedule.cap(110.0) == schedule.answer_by == 105.0
