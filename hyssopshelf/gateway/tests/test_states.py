"""Tests of session state on shared connections."""

import hypothesis
from hypothesis import strategies

from hyssopshelf.gateway import statements, states

READ = statements.Shape(writes=False, text=b"q1")
WRITE = statements.Shape(writes=True, text=b"q1")
VALUES = strategies.dictionaries(
    strategies.sampled_from([b"a", b"b", b"c"]), strategies.binary(max_size=1)
)


def apply(correction, values: dict, prepared: dict) -> None:
    if correction.reset:
        values.clear()
        prepared.clear()
    values.update(correction.values)
    prepared.update(correction.prepare)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(VALUES, strategies.sampled_from([None, READ, WRITE])),
        max_size=12,
    )
)
def test_a_connection_holds_exactly_the_values_of_its_session(uses):
    """Guards against values of one session that another one's statement sees."""
    connection = states.ConnectionState()
    values: dict = {}
    prepared: dict = {}
    for session_values, shape in uses:
        session = states.SessionState(values=dict(session_values))
        correction = states.correct(connection, session, shape)
        apply(correction, values, prepared)
        assert values == session_values
        if shape is not None:
            assert prepared[connection.prepared[shape]] == shape


def test_equal_shapes_share_a_prepared_statement():
    connection = states.ConnectionState()
    session = states.SessionState()
    first = states.correct(connection, session, READ)
    second = states.correct(connection, session, READ)
    assert len(first.prepare) == 1
    assert second.prepare == ()


def test_names_of_different_shapes_do_not_collide_after_a_reset():
    connection = states.ConnectionState(values={b"old": b"1"})
    states.correct(connection, states.SessionState(values={b"old": b"1"}), READ)
    correction = states.correct(connection, states.SessionState(), WRITE)
    assert correction.reset
    assert list(connection.prepared) == [WRITE]


def test_prepared_statements_of_a_connection_are_bounded():
    connection = states.ConnectionState()
    session = states.SessionState()
    for number in range(3 * states.MAXIMUM_PREPARED):
        shape = statements.Shape(writes=False, text=b"q%d" % number)
        states.correct(connection, session, shape)
        assert len(connection.prepared) <= states.MAXIMUM_PREPARED


def test_the_cheapest_connection_needs_no_message():
    session = states.SessionState(values={b"a": b"1"})
    fitting = states.ConnectionState(values={b"a": b"1"})
    empty = states.ConnectionState()
    foreign = states.ConnectionState(values={b"b": b"1"})
    costs = [states.estimate_cost(c, session) for c in (fitting, empty, foreign)]
    assert costs[0] == 0 < costs[1] < costs[2]
