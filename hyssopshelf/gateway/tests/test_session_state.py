"""Tests of session state on shared connections."""

import hypothesis
from hypothesis import strategies

from hyssopshelf.gateway import session_state, statements

READ = statements.Shape(writes=False, text=b"q1")
WRITE = statements.Shape(writes=True, text=b"q1")
VALUES = strategies.dictionaries(
    strategies.sampled_from([b"a", b"b", b"c"]), strategies.binary(max_size=1)
)


def apply_setup(session_setup, values: dict, prepared: dict) -> None:
    if session_setup.reset:
        values.clear()
        prepared.clear()
    values.update(session_setup.values)
    prepared.update(session_setup.prepare)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(VALUES, strategies.sampled_from([None, READ, WRITE])),
        max_size=12,
    )
)
def test_a_connection_holds_exactly_the_values_of_its_session(uses):
    """Guards against a statement that sees the values of another session."""
    connection = session_state.ConnectionState()
    values: dict = {}
    prepared: dict = {}
    for session_values, shape in uses:
        session = session_state.SessionState(values=dict(session_values))
        session_setup = session_state.synchronize(connection, session, shape)
        apply_setup(session_setup, values, prepared)
        assert values == session_values
        if shape is not None:
            assert prepared[connection.prepared[shape]] == shape


def test_equal_shapes_share_a_prepared_statement():
    connection = session_state.ConnectionState()
    session = session_state.SessionState()
    first = session_state.synchronize(connection, session, READ)
    second = session_state.synchronize(connection, session, READ)
    assert len(first.prepare) == 1
    assert second.prepare == ()


def test_names_of_different_shapes_do_not_collide_after_a_reset():
    connection = session_state.ConnectionState(values={b"old": b"1"})
    session_state.synchronize(
        connection, session_state.SessionState(values={b"old": b"1"}), READ
    )
    session_setup = session_state.synchronize(
        connection, session_state.SessionState(), WRITE
    )
    assert session_setup.reset
    assert list(connection.prepared) == [WRITE]


def test_prepared_statements_of_a_connection_are_bounded():
    connection = session_state.ConnectionState()
    session = session_state.SessionState()
    for number in range(3 * session_state.MAXIMUM_PREPARED):
        shape = statements.Shape(writes=False, text=b"q%d" % number)
        session_state.synchronize(connection, session, shape)
        assert len(connection.prepared) <= session_state.MAXIMUM_PREPARED


def test_the_cheapest_connection_needs_no_message():
    session = session_state.SessionState(values={b"a": b"1"})
    matching = session_state.ConnectionState(values={b"a": b"1"})
    empty = session_state.ConnectionState()
    other = session_state.ConnectionState(values={b"b": b"1"})
    costs = [session_state.estimate_cost(c, session) for c in (matching, empty, other)]
    assert costs[0] == 0 < costs[1] < costs[2]
