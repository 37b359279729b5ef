"""Tests of the log positions that bound the staleness of replica reads."""

import hypothesis
from hypothesis import strategies

from hyssopshelf.gateway import freshness, statements

LogPosition = statements.LogPosition


def test_a_bound_covers_all_commits_before_its_time():
    positions = freshness.PrimaryPositions()
    positions.start_term(1)
    positions.add(LogPosition(1, 10), 1.0)
    positions.add(LogPosition(1, 20), 2.0)
    positions.add(LogPosition(1, 30), 3.0)
    assert positions.find_bound(1.5) == (LogPosition(1, 20), 2.0)
    assert positions.find_bound(2.0) == (LogPosition(1, 20), 2.0)


def test_no_observation_is_recent_enough():
    positions = freshness.PrimaryPositions()
    positions.add(LogPosition(1, 10), 1.0)
    assert positions.find_bound(1.1) == (None, 0.0)


def test_positions_of_an_earlier_term_are_translated():
    """Guards against waiting for a position that a change of primary discarded."""
    positions = freshness.PrimaryPositions()
    positions.start_term(2)
    assert positions.translate(LogPosition(1, 99)) is None
    positions.add(LogPosition(1, 90), 1.0)
    positions.add(LogPosition(2, 91), 2.0)
    assert positions.translate(LogPosition(1, 99)) == LogPosition(1, 90)
    assert positions.translate(LogPosition(2, 95)) == LogPosition(2, 95)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(min_value=0, max_value=5),
            strategies.integers(min_value=1, max_value=5),
        ),
        min_size=1,
        max_size=40,
    ),
    strategies.floats(min_value=0, max_value=20),
)
def test_merged_observations_never_give_a_bound_that_is_too_low(steps, oldest):
    """Compare bounds with the log: commits before a bound's time are covered.

    The log grows with time, by random steps after random pauses.
    """
    positions = freshness.PrimaryPositions()
    commits = []
    time = 0.0
    number = 0
    for pause, growth in steps:
        time += pause
        number += growth
        commits.append((time, number))
        positions.add(LogPosition(1, number), time)
    position, sent_at = positions.find_bound(oldest)
    if position is None:
        return
    assert sent_at >= oldest
    covered = [0] + [n for at, n in commits if at < sent_at]
    assert position.number >= max(covered)
