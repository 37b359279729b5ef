"""Tests of takeovers, suspected primaries and the allocation of connections."""

import os
import types

import attrs
import hypothesis
from hypothesis import strategies

from hyssopshelf import clocks
from hyssopshelf.authority import (
    allocation,
    assignments,
    change,
    coordinator,
    election,
    exchange,
    grants,
    member,
    suspicion,
    timing,
)
from hyssopshelf.gateway import blackboard, catalog, gateway

NOW = 50.0


def make_member(**fields):
    record = types.SimpleNamespace(host="c")
    values = {
        "identity": types.SimpleNamespace(host="me"),
        "coordinator_record": record,
        "resigning": False,
        "successors": ("me", "other"),
        "members": {"me": None, "other": None, "third": None},
        "store_age": 0.1,
        "store_age_at": NOW,
        "promised_until": NOW - 5,
        "answered_at": NOW - 0.1,
        "followed_at": NOW - 30,
    }
    return types.SimpleNamespace(**{**values, **fields})


def test_a_coordinator_that_answers_is_not_replaced():
    assert election.find_takeover_reason(make_member(), NOW) == ""


def test_a_silent_coordinator_is_replaced():
    candidate = make_member(answered_at=NOW - timing.SILENCE_SECONDS - 0.01)
    assert election.find_takeover_reason(candidate, NOW) == election.SILENT


def test_a_promise_is_kept():
    candidate = make_member(answered_at=NOW - 9, promised_until=NOW + 0.1)
    assert election.find_takeover_reason(candidate, NOW) == ""


def test_the_first_successor_replaces_a_coordinator_that_resigns():
    assert (
        election.find_takeover_reason(make_member(resigning=True), NOW)
        == election.RESIGNING
    )
    later = make_member(resigning=True, successors=("other", "me"))
    assert election.find_takeover_reason(later, NOW) == ""


def test_a_successor_replaces_a_coordinator_without_the_store():
    candidate = make_member(store_age=timing.STORE_CONTACT_SECONDS + 0.1)
    assert election.find_takeover_reason(candidate, NOW) == election.STORE_UNREACHABLE


def test_a_new_coordinator_gets_time_to_answer():
    """A member that has just followed an interim coordinator must not replace it."""
    candidate = make_member(answered_at=NOW - 9, followed_at=NOW - 0.3)
    assert election.find_takeover_reason(candidate, NOW) == ""


def test_a_contact_elsewhere_stops_a_takeover():
    assert not election.is_agreed(5, {"a": 0.1, "b": 3.0, "c": 3.0}, 3.0, False)
    assert election.is_agreed(5, {"a": 2.0, "b": 3.0, "c": 3.0}, 3.0, False)


def test_a_member_that_reaches_few_others_waits():
    silence = timing.SILENCE_SECONDS + 0.1
    assert not election.is_agreed(5, {}, silence, False)
    assert not election.is_agreed(5, {"a": 3.0}, silence, False)
    assert election.is_agreed(5, {}, timing.ISOLATED_TAKEOVER_SECONDS + 0.1, False)


# RECOVER: members that were fewer than half never had a coordinator again (review/8).
def test_a_minority_takes_over_through_the_store_after_a_long_silence():
    silence = timing.MINORITY_TAKEOVER_SECONDS
    assert not election.is_agreed(7, {"a": 9.0, "b": 9.0}, silence - 0.1, False)
    assert election.is_agreed(7, {"a": 9.0, "b": 9.0}, silence + 0.1, False)
    assert not election.is_agreed(7, {"a": 9.0, "b": 0.1}, silence + 0.1, False)
    assert not election.is_agreed(7, {"a": 9.0, "b": 9.0}, 600.0, True)


def test_an_interim_coordinator_needs_a_majority():
    assert not election.is_agreed(5, {"a": 3.0, "b": 3.0}, 60.0, True)
    assert election.is_agreed(5, {"a": 3.0, "b": 3.0, "c": 3.0}, 3.0, True)
    assert not election.is_agreed(5, {}, 60.0, True)


def test_recorded_epochs_exceed_those_of_interim_coordinators():
    assert election.find_next_epoch(3000 + 17, 0) == 4000


def report_for_all(reports: list) -> dict:
    """Return the same reports for all endpoints, as of nodes that use them all."""
    return dict.fromkeys(("p", "a", "b"), reports)


def make_failure_report(seconds: float) -> exchange.FailureReport:
    return exchange.FailureReport(failing_seconds=seconds, failures=3)


def test_one_node_alone_does_not_replace_a_primary_at_once():
    reports = [{"p": make_failure_report(0.6)}] + [{}] * 5
    assert not suspicion.is_suspected(report_for_all(reports), "p", ["a", "b"], 6)


def test_few_holders_replace_a_primary_that_no_other_node_uses():
    """Four of 77 nodes hold its connections, so only their reports count."""
    reports = [{"p": make_failure_report(0.6)}] * 2 + [{}] * 2
    assert suspicion.is_suspected(report_for_all(reports), "p", ["a", "b"], 4)
    assert not suspicion.is_suspected(report_for_all(reports[1:]), "p", ["a", "b"], 4)
    assert not suspicion.is_suspected(report_for_all(reports), "p", ["a", "b"], 77)


def test_the_only_user_of_a_primary_is_enough():
    assert suspicion.is_suspected(
        report_for_all([{"p": make_failure_report(0.6)}]), "p", ["a"], 1
    )


def test_failures_of_a_quarter_of_the_nodes_replace_a_primary():
    reports = [{"p": make_failure_report(0.6)}] * 2 + [{}] * 4
    assert suspicion.is_suspected(report_for_all(reports), "p", ["a", "b"], 6)


def test_a_primary_is_kept_if_no_other_endpoint_is_reached_better():
    reports = [
        {
            "p": make_failure_report(2),
            "a": make_failure_report(2),
            "b": make_failure_report(2),
        }
    ] * 3
    assert not suspicion.is_suspected(report_for_all(reports), "p", ["a", "b"], 3)


def test_a_flapping_primary_is_kept():
    """A success between failures restarts the time of failures."""
    reports = [{"p": make_failure_report(0.2)}] * 6
    assert not suspicion.is_suspected(report_for_all(reports), "p", ["a"], 6)


def test_reasons_for_a_change():
    def endpoint(name: str, leaving: bool = False):
        return catalog.Endpoint(
            id=name,
            database="db",
            address="127.0.0.1:1",
            place="x",
            slots=1,
            leaving=leaving,
            leads=True,
            started=1,
        )

    assigned = assignments.Assignment(endpoint="p", term=1, version=1)
    both = {"p": endpoint("p"), "a": endpoint("a")}
    assert (
        suspicion.find_change_reason(assigned, both, report_for_all([{}]), False, 1)
        == ""
    )
    assert (
        suspicion.find_change_reason(
            assigned, {"a": both["a"]}, report_for_all([{}]), False, 1
        )
        == "gone"
    )
    leaving = {**both, "p": endpoint("p", leaving=True)}
    assert (
        suspicion.find_change_reason(assigned, leaving, report_for_all([{}]), False, 1)
        == "leaving"
    )
    assert (
        suspicion.find_change_reason(
            assigned, {"p": leaving["p"]}, report_for_all([{}]), False, 1
        )
        == ""
    )


@hypothesis.given(
    strategies.integers(min_value=0, max_value=60),
    strategies.dictionaries(
        strategies.text(min_size=1, max_size=2),
        strategies.integers(min_value=0, max_value=30),
        max_size=12,
    ),
)
def test_shares_fit_the_limit_and_every_node_gets_one(limit, demand):
    result = allocation.allocate(limit, demand)
    assert set(result) == set(demand)
    assert sum(result.values()) <= limit
    if demand and limit >= len(demand):
        assert min(result.values()) >= 1
        assert sum(result.values()) == limit


def test_shares_follow_the_demand():
    """A node that is alone in its place may serve a third of the clients."""
    result = allocation.allocate(
        22, {"alone": 9, "b": 2, "c": 2, "d": 1, "e": 1, "f": 1}
    )
    assert result["alone"] >= 7


def test_documents_survive_a_round_trip():
    value = assignments.Assignments(
        version=3,
        databases={"db": assignments.Assignment(endpoint="e", term=2, version=1)},
    )
    assert assignments.decode_assignments(assignments.encode(value)) == value


# A node of the version before reads no assignments that have a field it does not know.
def test_only_an_unsettled_assignment_has_the_new_field():
    entry = assignments.Assignment(endpoint="e", term=1, version=1)
    for unsettled in (False, True):
        known = assignments.Assignments(
            databases={"db": attrs.evolve(entry, unsettled=unsettled)}
        )
        data = assignments.encode(known)
        assert (b"unsettled" in data) == unsettled
        assert assignments.decode_assignments(data) == known


def make_coordinator(sent: list, members: int):
    """Return a coordinator of members in three places, with a large configuration."""
    local_member = types.SimpleNamespace(
        document_cache=member.DocumentCache(
            configuration=os.urandom(100_000), configuration_version=7
        ),
        reset=None,
    )
    local_coordinator = coordinator.Coordinator(
        identity=assignments.MemberRecord(host="c", address="", incarnation=1),
        local_member=local_member,
        record=types.SimpleNamespace(epoch=1000),
        revision=1,
        store=None,
        send=lambda host, address, message: sent.append((host, message)),
    )
    for number in range(members):
        local_coordinator.grant_table.members[f"h{number}"] = grants.MemberState(
            host=f"h{number}",
            address="",
            incarnation=1,
            place=f"p{number % 3}",
            heard_at=clocks.read_clock(),
            capacity=2.0 if number < 3 else 0.5,
        )
    return local_coordinator


def test_a_large_configuration_leaves_the_coordinator_once_for_each_place():
    """Guards against 76 copies, which would delay grants for seconds on a slow link."""
    sent: list = []
    local_coordinator = make_coordinator(sent, 76)
    local_coordinator.publish_configuration()
    documents = [m for _, m in sent if isinstance(m, exchange.Document)]
    assert len(documents) == 3
    assert {host for host, m in sent if isinstance(m, exchange.Document)} == {
        "h0",
        "h1",
        "h2",
    }
    ping = exchange.Ping(sequence=1, incarnation=1, place="", epoch=1000)
    assert local_coordinator._pick_configuration(ping) is None


def test_a_member_that_misses_a_large_configuration_gets_it():
    local_coordinator = make_coordinator([], 4)
    ping = exchange.Ping(
        sequence=1, incarnation=1, place="", epoch=1000, wants_configuration=True
    )
    assert local_coordinator._pick_configuration(ping) is not None


def test_only_holders_report_on_a_primary():
    """Guards against old failures of nodes that are no holders.

    After a restart all nodes try all endpoints until they know the holders.
    """
    failing = {"p": make_failure_report(3.0)}
    local_coordinator = make_coordinator([], 8)
    local_coordinator.local_member.gateway = types.SimpleNamespace(
        board=blackboard.GatewayBlackboard(place="a", region="r", regions={})
    )
    for state in local_coordinator.grant_table.members.values():
        state.failure_reports = failing
    controller = change.ChangeController(
        coordinator=local_coordinator, recorder=None, promotion_client=None
    )
    failure_reports = controller._collect_failure_reports(clocks.read_clock())
    reports, users = controller._group_reports(["p"], failure_reports)
    assert (reports["p"].count(failing), users["p"]) == (8, 9)
    local_coordinator.holders = {"p": [("h1", ""), ("c", "")]}
    reports, users = controller._group_reports(["p"], failure_reports)
    assert (reports["p"], users["p"]) == ([failing, {}], 2)


def make_endpoint(number: int) -> catalog.Endpoint:
    return catalog.Endpoint(
        id=f"e{number}",
        database="db",
        address=f"e{number}:1",
        place=f"p{number}",
        slots=4,
        leaving=False,
        leads=number == 0,
        started=1,
    )


def test_a_restarted_coordinator_chooses_the_same_holders_at_once():
    """Guards against a change of holders while the members' pings arrive.

    Earlier holders would keep connections that count against the limit.
    """
    local_coordinator = make_coordinator([], 0)
    serving_gateway = gateway.Gateway(
        board=blackboard.GatewayBlackboard(place="p0", region="r", regions={}),
        endpoint_codec=None,
    )
    serving_gateway.board.endpoints = {f"e{n}": make_endpoint(n) for n in range(3)}
    serving_gateway.board.configuration = catalog.Configuration(
        version=1, routes={}, connections={"db": 46}, limits=catalog.Limits()
    )
    local_coordinator.local_member = types.SimpleNamespace(
        gateway=serving_gateway,
        capacity=0.5,
        document_cache=member.DocumentCache(),
        apply_holders=lambda holders, version: None,
        assignments=assignments.Assignments(),
    )
    for number in range(76):
        local_coordinator.registry.add(
            assignments.MemberRecord(
                host=f"h{number:02}",
                address="",
                incarnation=1,
                place=f"p{number % 6}",
                capacity=2.0 if number >= 64 else 0.5,
            )
        )
    local_coordinator.allocate_connections()
    chosen = dict(local_coordinator.chosen_holders)
    large = {host for hosts in chosen.values() for host in hosts}
    assert large <= {f"h{number}" for number in range(64, 76)}
    for state in local_coordinator.grant_table.members.values():
        state.heard_at = clocks.read_clock()
    local_coordinator.allocate_connections()
    assert local_coordinator.chosen_holders == chosen


def test_a_first_configuration_of_version_0_reaches_the_members():
    """Version 0 stood for no configuration, so nodes that started refused sessions."""
    local_coordinator = make_coordinator([], 1)
    cache = local_coordinator.local_member.document_cache
    cache.configuration, cache.configuration_version = b"{}", 0
    without = member.DocumentCache().configuration_version
    ping = exchange.Ping(
        sequence=1, incarnation=1, place="", epoch=1000, configuration_version=without
    )
    assert local_coordinator._pick_configuration(ping) is not None
