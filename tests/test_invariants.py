"""Tests that the invariants checked at run time detect violations."""

from unittest import mock

import attrs
import pytest

from benchmarks.faults import simulation, variants
from hyssopshelf import exceptions, invariants, messages

BROKEN = {
    "acknowledge_unconfirmed": "without confirmation",
    "deny_after_execute": "may have run",
}
"""Faulty variants of the core and a part of the error that each must raise."""


@pytest.mark.parametrize("name", sorted(BROKEN))
def test_broken_core_stops_itself(name):
    """Guards against invariants that a faulty core does not violate."""
    variant = variants.VARIANTS[name]
    crashes = []
    with mock.patch.object(variant.target, variant.name, variant.replacement):
        for seed in (1, 2, 3):
            options = simulation.Options(
                seed=seed, seconds=10.0, settle_seconds=3.0, callers=18
            )
            crashes += simulation.run_seed(options).history.crashes
    assert any(BROKEN[name] in str(crash) for crash in crashes)


def test_start_at_an_endpoint_that_left_is_refused():
    """Guards against statements sent to an endpoint 3 s after it began to leave."""
    endpoint = mock.Mock(leaving_at=10.0)
    invariants.check_start(make_served(), endpoint, True, 12.9)
    with pytest.raises(exceptions.InvariantError):
        invariants.check_start(make_served(), endpoint, True, 13.0)


def test_lower_version_is_refused():
    """Guards against a configuration that is replaced by an older version."""
    invariants.check_version("p", 3, 3)
    with pytest.raises(exceptions.InvariantError):
        invariants.check_version("p", 3, 2)


def test_answer_of_another_request_is_refused():
    """Guards against an answer that is sent to the wrong caller."""
    with pytest.raises(exceptions.InvariantError):
        invariants.check_reply("h1.1.1", "h1.1.2")


@attrs.define(kw_only=True)
class Served:
    """Statement with the attributes that ``check_start`` reads."""

    id: str = "h1.1.1"
    endpoint: str = "p/d/a"
    statement: messages.Statement


def make_served() -> Served:
    """Return a served append outside a transaction."""
    statement = messages.Statement(
        id="r1",
        pool="p",
        database="d",
        partner="a",
        kind="k",
        operation=messages.Operation.APPEND,
    )
    return Served(statement=statement)


def test_second_start_is_refused():
    """Guards against a statement that is sent to its endpoint twice."""
    served = make_served()
    invariants.check_start(served, None, True, 0.0)
    with pytest.raises(exceptions.InvariantError):
        invariants.check_start(served, None, False, 0.0)
