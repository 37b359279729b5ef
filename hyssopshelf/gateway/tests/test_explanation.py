"""Tests of the explanation of routing."""

from hyssopshelf import clocks
from hyssopshelf.gateway import catalog, endpoint_health, explanation
from hyssopshelf.gateway.tests import test_retries


def make_gateway():
    node_gateway = test_retries.make_gateway()
    test_retries.grant_primary(node_gateway, "one", 1)
    return node_gateway


def test_a_write_goes_to_the_primary_because_it_needs_it():
    found = explanation.explain(make_gateway(), "db", writes=True)
    assert found["choice"] == "one"
    assert "needs" in found["reason"]


def test_the_parts_of_a_cost_add_up_and_tell_the_failing_endpoint():
    node_gateway = make_gateway()
    health = node_gateway.board.get_health("one")
    endpoint_health.record_answer(health, 0.01, clocks.read_clock())
    endpoint_health.record_outcome(health, True, clocks.read_clock())
    candidate = explanation.explain(node_gateway, "db", writes=True)["candidates"][0]
    parts = ("latency_ms", "wait_ms", "errors_ms", "way_ms")
    total = sum(candidate[part] for part in parts)
    assert candidate["errors_ms"] > 0.0
    penalty = candidate["cost_ms"] - total
    assert penalty >= 0.0


def test_without_a_primary_it_says_that_the_work_waits_or_is_refused():
    node_gateway = test_retries.make_gateway()
    found = explanation.explain(node_gateway, "db", writes=True)
    assert found["choice"] is None
    assert "waits" in found["reason"]
    node_gateway.board.isolated = True
    found = explanation.explain(node_gateway, "db", writes=True)
    assert "refused" in found["reason"]


def test_it_says_that_work_is_refused_once_all_endpoints_have_left():
    node_gateway = make_gateway()
    deadlines = node_gateway.board.leave_deadlines.deadlines
    deadlines["one"] = clocks.read_clock()
    found = explanation.explain(node_gateway, "db", writes=True)
    assert found["choice"] is None and "waits" in found["reason"]
    deadlines["two"] = clocks.read_clock()
    found = explanation.explain(node_gateway, "db", writes=True)
    assert found["choice"] is None and "have left" in found["reason"]


def test_an_unknown_name_has_no_route():
    found = explanation.explain(make_gateway(), "nowhere", writes=False)
    assert found["choice"] is None
    assert catalog.ReadRule.PRIMARY not in found
