"""Tests of waiting for, opening and replacing a customer's connection."""

import attrs

from hyssopshelf.balancing import connections

ACTION = connections.Action
BUSY = connections.Situation(
    own_idle=0,
    own_busy=1,
    other_idle=0,
    room=5,
    service_seconds=0.02,
    slots=4,
    contended=False,
)


def choose(**changes) -> connections.Action:
    return connections.choose_action(attrs.evolve(BUSY, **changes))


def test_an_idle_connection_of_the_customer_is_used():
    assert choose(own_idle=1) is ACTION.REUSE


def test_the_first_work_of_a_customer_opens_or_replaces():
    assert choose(own_busy=0) is ACTION.OPEN
    assert choose(own_busy=0, room=0, other_idle=2) is ACTION.REPLACE
    assert choose(own_busy=0, room=0) is ACTION.WAIT


def test_a_flood_of_one_customer_waits_for_its_own_connections():
    """Handshakes would take the slots that the others wait for."""
    assert choose(contended=True) is ACTION.WAIT
    assert choose(own_busy=4, service_seconds=9.0) is ACTION.WAIT


def test_work_behind_a_slow_statement_gets_a_connection_of_its_own():
    assert choose(service_seconds=0.3, contended=True) is ACTION.OPEN
