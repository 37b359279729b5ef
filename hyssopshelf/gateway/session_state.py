"""Brings shared connections to the state of the session that uses them.

The state is session values and prepared statements. A connection must have exactly
the values of its current session. Prepared statements are looked up by their shape,
not by the client's name, so that sessions share them and names of different
sessions do not collide.
"""

import attrs

from hyssopshelf.gateway import statements

MAXIMUM_PREPARED = 200
"""Prepared statements that a connection holds before it is reset; an endpoint
keeps each in memory."""

RESET_COST = 2
"""Cost of a reset, in messages that set one value each."""


@attrs.define(kw_only=True)
class SessionState:
    """Values and prepared statements that were acknowledged to a client."""

    values: dict[bytes, bytes] = attrs.field(factory=dict)
    prepared: dict[bytes, statements.Shape] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class ConnectionState:
    """Values and prepared statements that a connection holds.

    Attributes
    ----------
    prepared : dict of Shape to bytes
        Name of each prepared statement on the connection.
    last_number : int
        Number in the last name that was given.
    """

    values: dict[bytes, bytes] = attrs.field(factory=dict)
    prepared: dict[statements.Shape, bytes] = attrs.field(factory=dict)
    last_number: int = 0


@attrs.frozen(kw_only=True)
class SessionSetup:
    """Messages that bring a connection to a session's state, in order.

    Attributes
    ----------
    reset : bool
        Clear values and prepared statements first.
    values : tuple of (bytes, bytes)
        Values to set.
    prepare : tuple of (bytes, Shape)
        Statements to prepare, with their name on the connection.
    """

    reset: bool
    values: tuple[tuple[bytes, bytes], ...] = ()
    prepare: tuple[tuple[bytes, statements.Shape], ...] = ()


def estimate_cost(connection: ConnectionState, session: SessionState) -> int:
    """Return how many messages set the session's values on a connection."""
    connection_values = connection.values
    if connection_values == session.values:
        return 0
    if connection_values.keys() - session.values.keys():
        return RESET_COST + len(session.values)
    return sum(
        1
        for name, value in session.values.items()
        if connection_values.get(name) != value
    )


def synchronize(
    connection: ConnectionState,
    session: SessionState,
    shape: statements.Shape | None,
) -> SessionSetup:
    """Return the setup that a statement needs and apply it to ``connection``."""
    limit_reached = (
        shape is not None
        and shape not in connection.prepared
        and len(connection.prepared) >= MAXIMUM_PREPARED
    )
    reset = limit_reached or bool(connection.values.keys() - session.values.keys())
    if reset:
        connection.values.clear()
        connection.prepared.clear()
    values = tuple(
        (name, value)
        for name, value in session.values.items()
        if connection.values.get(name) != value
    )
    connection.values.update(values)
    prepare: tuple[tuple[bytes, statements.Shape], ...] = ()
    if shape is not None and shape not in connection.prepared:
        connection.last_number += 1
        name = b"p%d" % connection.last_number
        connection.prepared[shape] = name
        prepare = ((name, shape),)
    return SessionSetup(reset=reset, values=values, prepare=prepare)
