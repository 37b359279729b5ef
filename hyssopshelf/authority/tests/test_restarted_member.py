"""Tests of late messages of a member's former process, or to it."""

import asyncio

import attrs
import pytest

from hyssopshelf import clocks
from hyssopshelf.authority import (
    assignments,
    dispatch,
    exchange,
    grants,
    recovery,
    timing,
)
from hyssopshelf.authority.tests import restorable_fleet, test_participant

COORDINATOR = assignments.CoordinatorRecord(
    host="c", address="c:1", incarnation=1, epoch=1000, lease=0
)


def make_member(sent: list):
    """Return the participant of a process of the host ``h``."""
    node = test_participant.make_participant(test_participant.FakeStore(), 1.0)
    node.send = node.member.send = lambda host, address, message: sent.append(message)
    node.member.follow(COORDINATOR)
    return node


# ONE and STALE: a grant that the coordinator gave to a killed process, and no longer
# counts, was used by its successor from the sending of its own ping on.
def test_an_answer_to_the_ping_of_a_former_process_grants_nothing():
    async def scenario():
        known = restorable_fleet.make_assignments(1, "e", 1)
        answers = []
        for _ in range(2):
            sent = []
            node = make_member(sent)
            node.member.ping()
            answers.append(
                exchange.Pong(
                    sequence=sent[0].sequence,
                    epoch=COORDINATOR.epoch,
                    authoritative=True,
                    assignments=assignments.encode(known),
                )
            )
        node.member.receive_pong(answers[0], "c")
        assert not node.gateway.board.primary_grants
        node.member.receive_pong(answers[1], "c")
        assert node.gateway.board.primary_grants["db"].endpoint == "e"

    asyncio.run(scenario())


# A restarted node waited up to a second for the first answer of the coordinator, whose
# connection paused between its attempts (review/4 without a read that was served).
def test_a_restarted_member_is_answered_over_a_new_connection():
    async def scenario(store, fleet):
        node = fleet.add("a")
        node.start_coordinating(COORDINATOR, 1, None, "test")
        events = []
        node.member.reset = lambda address: events.append(("reset", address))
        send = node.coordinator.send

        def record_pong(host, address, message):
            if isinstance(message, exchange.Pong):
                events.append(("pong", address))
            send(host, address, message)

        node.coordinator.send = record_pong
        for incarnation in (1, 2):
            other = fleet.add("m", incarnation=incarnation)
            if incarnation == 1:
                node.coordinator.registry.add(other.identity)
            other.member.send = lambda host, address, ping: dispatch.apply(
                ping, node, "m", "m:1"
            )
            other.member.follow(COORDINATOR)
            other.member.ping()
            fleet.remove("m")
        assert events == [("pong", "m:1"), ("reset", "m:1"), ("pong", "m:1")]

    restorable_fleet.run_fleet(scenario)


# A node that was away for some seconds waited up to a second for the first answer.
def test_a_member_that_was_removed_is_answered_over_a_new_connection():
    async def scenario(store, fleet):
        node = fleet.add("a")
        node.start_coordinating(COORDINATOR, 1, None, "test")
        resets = []
        node.member.reset = resets.append
        silent = fleet.add("m")
        node.coordinator.registry.add(silent.identity)
        state = node.coordinator.grant_table.members["m"]
        state.heard_at -= 2 * timing.MEMBER_TIMEOUT_SECONDS
        fleet.remove("m")
        node.coordinator.may_change = lambda now: True
        # The store has no record of the coordinator.
        node.coordinator.revision = 0
        await node.coordinator.registry.remove_silent()
        assert "m" not in node.coordinator.grant_table.members
        assert resets == ["m:1"]

    restorable_fleet.run_fleet(scenario)


# ONE: a primary was replaced although the successor of a process that had released it
# could still use it.
def test_a_release_by_a_former_process_does_not_hold_for_its_successor():
    async def scenario(store, fleet):
        node = fleet.add("a")
        record = attrs.evolve(COORDINATOR, host="a", address="a:1")
        node.start_coordinating(record, 1, None, "test")
        for incarnation in (1, 2):
            node.coordinator.registry.add(
                assignments.MemberRecord(
                    host="m", address="m:1", incarnation=incarnation
                )
            )
        state = node.coordinator.grant_table.members["m"]
        node.coordinator.grant_table.record_grant(state, ["db"], clocks.read_clock())
        for incarnation, holders in ((1, ["m"]), (2, [])):
            message = exchange.Released(
                database="db", version=3, epoch=1000, incarnation=incarnation
            )
            dispatch.apply(message, node, "m", "m:1")
            table: grants.GrantTable = node.coordinator.grant_table
            found = table.find_grant_holders("db", 3, clocks.read_clock())
            assert found == holders

    restorable_fleet.run_fleet(scenario)


# All primaries were forgotten: the empty assignments of a member that was restarted
# between two questions were taken for the newest.
def test_a_member_restarted_during_a_recovery_does_not_empty_the_assignments():
    async def scenario(store, fleet):
        node = fleet.add("a")
        node.start_coordinating(COORDINATOR, 1, COORDINATOR, "test")
        for number, version in ((1, 5), (2, 4)):
            other = fleet.add(f"m{number}")
            other.member.assignments = restorable_fleet.make_assignments(
                version, "new", 2
            )
            node.coordinator.registry.add(other.identity)
        await recovery._ask_members(node.coordinator)
        fleet.remove("m1")
        fleet.add("m1", incarnation=2)
        stored = restorable_fleet.make_assignments(1, "old", 1)
        newest = await recovery._fetch_newest(node.coordinator, stored)
        assert newest.version == 4
        assert newest.databases["db"].endpoint == "new"

    restorable_fleet.run_fleet(scenario)


# DRAIN: times in an answer count from the ping, however late the answer is.
def test_what_an_answer_tells_of_the_registry_counts_from_the_ping():
    async def scenario():
        sent = []
        node = make_member(sent)
        deadlines = node.gateway.board.leave_deadlines
        deadlines.deadlines["e"] = float("-inf")
        sent_at = clocks.read_clock()
        node.member.ping()
        await asyncio.sleep(0.3)
        answer = exchange.Pong(
            sequence=sent[0].sequence,
            epoch=COORDINATOR.epoch,
            authoritative=False,
            registry_age=1.0,
            leaving={"e": 2.0},
        )
        node.member.receive_pong(answer, "c")
        assert deadlines.current_at == pytest.approx(sent_at - 1.0, abs=0.1)
        assert deadlines.deadlines["e"] == pytest.approx(sent_at + 2.0, abs=0.1)

    asyncio.run(scenario())
