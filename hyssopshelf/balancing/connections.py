"""Whether work waits for a connection of its customer or gets another one.

A new connection takes a slot of the endpoint for the time of its handshake, and may
cost another customer its idle one. Waiting for the customer's own busy connection
takes time only.
"""

import enum

import attrs

HANDSHAKE_SECONDS = 0.012
"""Slot time of a new connection."""

CONTENDED_FACTOR = 2.0
"""Weight of a handshake while other work waits for the endpoint's slots, which it
delays as much as the work that it is for."""


class Action(enum.Enum):
    """What work does to get a connection of its customer."""

    REUSE = "reuse"
    OPEN = "open"
    REPLACE = "replace"
    WAIT = "wait"


@attrs.frozen(kw_only=True)
class Situation:
    """Connections to one endpoint at one host, as its work finds them.

    Attributes
    ----------
    own_idle, own_busy : int
        The customer's connections that are free; that run a single statement.
    other_idle : int
        Free connections of other customers.
    room : int
        Connections that may be opened in addition.
    service_seconds : float
        Average time for which a statement keeps its connection.
    slots : int
        Statements that the endpoint runs at a time.
    contended : bool
        Whether other work waits for a slot.
    """

    own_idle: int
    own_busy: int
    other_idle: int
    room: int
    service_seconds: float
    slots: int
    contended: bool


def choose_action(situation: Situation) -> Action:
    """Return how the next work of a customer gets its connection."""
    if situation.own_idle > 0:
        return Action.REUSE
    if situation.own_busy >= situation.slots:
        return Action.WAIT
    if situation.own_busy > 0:
        wait = situation.service_seconds / situation.own_busy
        factor = CONTENDED_FACTOR if situation.contended else 1.0
        if wait <= factor * HANDSHAKE_SECONDS:
            return Action.WAIT
    if situation.room > 0:
        return Action.OPEN
    if situation.other_idle > 0:
        return Action.REPLACE
    return Action.WAIT
