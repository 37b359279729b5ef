"""Tests of load balancing by endpoint moves, with a fleet in one process."""

import pytest

from benchmarks import fleet as fleets
from hyssopshelf import blackboard
from hyssopshelf.membership import balancing, hosts, placement


def start_fleet():
    fleet = fleets.make_fleet(4, seed=1)
    fleet.steps = (hosts.step, placement.step, balancing.step)
    for member in fleet.members.values():
        for number in range(12):
            name = f"pool/d/e{number}"
            member.board.endpoints[name] = blackboard.EndpointRecord(
                name=name, pool="pool", database="pool/d", place="p0", address="a"
            )
    fleet.run(1.0)
    return fleet


def serve(fleet, rates, seconds):
    """Record statements, ``rates`` per second, at the host of each endpoint."""
    for _ in range(round(seconds)):
        for endpoint, rate in rates.items():
            board = fleet.members["h0000"].board
            host = placement.locate(board, endpoint, fleet.now)
            served = fleet.members[host].board.balance.statement_counts
            served[endpoint] = served.get(endpoint, 0) + rate
        fleet.run(1.0)


def get_placements(fleet):
    return [member.board.placement for member in fleet.members.values()]


def test_overloaded_host_moves_an_endpoint_and_reclaims_it():
    """Guards against hot endpoints that share a host while other hosts are idle."""
    fleet = start_fleet()
    before = dict(get_placements(fleet)[0])
    busy = max(before.values(), key=list(before.values()).count)
    hot = [endpoint for endpoint, host in before.items() if host == busy][:2]
    serve(fleet, dict.fromkeys(hot, 1000), 25)
    after = get_placements(fleet)[0]
    assert len({after[endpoint] for endpoint in hot}) == 2
    assert sum(after[e] != host for e, host in before.items()) == 1
    assert all(placed == after for placed in get_placements(fleet))
    serve(fleet, dict.fromkeys(hot, 10), 25)
    assert all(placed == before for placed in get_placements(fleet))


def test_single_hot_endpoint_stays():
    """Guards against moves of an endpoint that overloads any host alone."""
    fleet = start_fleet()
    before = dict(get_placements(fleet)[0])
    serve(fleet, {"pool/d/e0": 2000}, 60)
    assert get_placements(fleet)[0] == before


@pytest.mark.parametrize(
    ("loads", "load", "chosen"),
    [
        ({"a": 0.3, "b": 0.2}, 0.5, None),
        ({"a": 0.4, "b": 0.2, "c": 0.1}, 0.7, "c"),
        ({"a": 0.4, "b": 0.2, "c": 0.1}, 0.75, "b"),
        ({"a": 0.4, "b": 0.2}, 1.4, "a"),
        ({}, 0.9, None),
    ],
)
def test_smallest_sufficient_endpoint_is_moved(loads, load, chosen):
    """Guards against moves that shift too little load or more than needed."""
    assert balancing.choose_endpoint(loads, load) == chosen


@pytest.mark.parametrize(
    ("own", "load", "sender", "accepted"),
    [(0.2, 0.2, 0.7, True), (0.5, 0.2, 0.7, False), (0.0, 0.7, 0.7, False)],
)
def test_move_must_lower_the_greater_load(own, load, sender, accepted):
    """Guards against endpoints that oscillate between two hosts."""
    assert balancing.accepts(own, load, sender) == accepted
