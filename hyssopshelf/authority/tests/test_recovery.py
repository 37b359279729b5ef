"""Tests of the recovery of assignments that a restored store has lost."""

import asyncio
import collections

import pytest

from hyssopshelf import clocks, exceptions
from hyssopshelf.authority import assignments, recovery, renewal
from hyssopshelf.authority.tests import restorable_fleet
from hyssopshelf.gateway import catalog, probes, statements


# ONE: a restarted coordinator grants the primary of the older copy.
def test_assignments_that_members_know_replace_older_ones_of_the_store():
    async def scenario(store, fleet):
        stored = restorable_fleet.make_assignments(1, "old", 1)
        await store.change(
            {}, {assignments.ASSIGNMENTS_KEY: assignments.encode(stored)}
        )
        record = assignments.CoordinatorRecord(
            host="a", address="a:1", incarnation=1, epoch=1000, lease=0
        )
        await store.change(
            {}, {assignments.COORDINATOR_KEY: assignments.encode(record)}
        )
        knowing = fleet.start("b")
        await restorable_fleet.wait_for(lambda: "b" in store.read_members())
        knowing.member.follow(record)
        knowing.member.assignments = restorable_fleet.make_assignments(3, "new", 3)
        # The recovery takes as long as a member that does not answer is waited for.
        silent = assignments.MemberRecord(host="d", address="d:1", incarnation=1)
        await store.change(
            {}, {assignments.MEMBER_PREFIX + "d": assignments.encode(silent)}
        )
        joining = fleet.start("c")
        joining.member.follow(record)
        store.restore(store.copy())
        started = fleet.start("a", incarnation=2)
        granted = set()

        def have_grants() -> bool:
            boards = [node.gateway.board for node in (started, joining)]
            granted.update(
                board.primary_grants["db"].endpoint
                for board in boards
                if board.primary_grants
            )
            return all(board.primary_grants for board in boards)

        await restorable_fleet.wait_for(have_grants, 4.0)
        assert granted == {"new"}
        assert started.gateway.board.primary_grants["db"].endpoint == "new"
        await restorable_fleet.wait_for(
            lambda: knowing.gateway.board.primary_grants, 4.0
        )
        versions = {
            node.gateway.board.primary_grants["db"].version
            for node in (started, knowing)
        }
        assert len(versions) == 1
        assert store.read_assignments().databases["db"].endpoint == "new"

    restorable_fleet.run_fleet(scenario)


# ONE: no node that is left knows of the last change of primary; also if endpoints are
# busy when they are asked.
@pytest.mark.parametrize("busy", [0, 3])
def test_the_endpoints_tell_of_a_primary_that_the_store_forgot(monkeypatch, busy):
    terms = {"old": ("replica", 3), "new": ("primary", 3)}
    asked = collections.Counter()

    class Codec:
        def format_status(self):
            return b""

        def parse_status(self, row):
            role, term = row
            return role, term, statements.LogPosition(term, 1)

    async def answer(local_gateway, endpoint, data, seconds):
        asked[endpoint.id] += 1
        if asked[endpoint.id] <= busy:
            return None, statements.Reply(
                error=exceptions.ErrorKind.NOT_RUN,
                position=statements.LogPosition(1, 1),
            )
        return None, statements.Reply(rows=[terms[endpoint.id]])

    monkeypatch.setattr(probes, "send_unqueued", answer)

    async def scenario(store, fleet):
        stored = restorable_fleet.make_assignments(1, "old", 1)
        await store.change(
            {}, {assignments.ASSIGNMENTS_KEY: assignments.encode(stored)}
        )
        store.restore(store.copy())
        node = fleet.add("a", incarnation=2)
        node.gateway.endpoint_codec = Codec()
        node.gateway.board.endpoints = {
            name: catalog.Endpoint(
                id=name,
                database="db",
                address="10.0.0.1:1",
                place="p",
                slots=1,
                leaving=False,
                leads=name == "old",
                started=1,
            )
            for name in terms
        }
        fleet.run(node)
        await restorable_fleet.wait_for(lambda: node.gateway.board.primary_grants, 4.0)
        grant = node.gateway.board.primary_grants["db"]
        assert (grant.endpoint, grant.term) == ("new", 3)

    restorable_fleet.run_fleet(scenario)


def test_only_the_newest_assignments_are_fetched():
    """At thousands of members each document would come thousands of times."""

    async def scenario(store, fleet):
        node = fleet.add("a")
        lost = assignments.CoordinatorRecord(
            host="lost", address="lost:1", incarnation=1, epoch=1000, lease=0
        )
        node.start_coordinating(lost, 1, lost, "test")
        for number in range(20):
            other = fleet.add(f"m{number}")
            other.member.assignments = restorable_fleet.make_assignments(
                2 + number % 7, "new", 2
            )
            node.coordinator.registry.add(other.identity)
        await recovery._ask_members(node.coordinator)
        stored = restorable_fleet.make_assignments(1, "old", 1)
        newest = await recovery._fetch_newest(node.coordinator, stored)
        assert newest.version == 8
        answers = node.coordinator.recalled.values()
        assert len(answers) == 20
        assert sum(answer.assignments is not None for answer in answers) == 1

    restorable_fleet.run_fleet(scenario)


# All primaries wait half a second longer, for an answer that a lost node cannot give.
def test_a_recovery_does_not_wait_for_the_coordinator_that_was_lost():
    async def scenario(store, fleet):
        node = fleet.add("a")
        fleet.add("b")
        lost = assignments.CoordinatorRecord(
            host="lost", address="lost:1", incarnation=1, epoch=1000, lease=0
        )
        node.start_coordinating(lost, 1, lost, "test")
        node.coordinator.registry.add(fleet.nodes["b"].identity)
        started = clocks.read_clock()
        await recovery._ask_members(node.coordinator)
        assert "b" in node.coordinator.recalled
        assert clocks.read_clock() - started < recovery.RECALL_SECONDS / 2

    restorable_fleet.run_fleet(scenario)


# ONE: a second return of the store makes assignments count that were not recovered.
def test_a_coordinator_that_recovers_does_not_record_what_it_loaded():
    async def scenario(store, fleet):
        stored = restorable_fleet.make_assignments(1, "old", 1)
        await store.change(
            {}, {assignments.ASSIGNMENTS_KEY: assignments.encode(stored)}
        )
        store.restore(store.copy())
        node = fleet.add("a")
        record = assignments.CoordinatorRecord(
            host="a", address="a:1", incarnation=1, epoch=1000, lease=0
        )
        silent = assignments.MemberRecord(host="d", address="d:1", incarnation=1)
        await store.change(
            {}, {assignments.MEMBER_PREFIX + "d": assignments.encode(silent)}
        )
        node.start_coordinating(record, 1, None, "test")
        await restorable_fleet.wait_for(lambda: node.coordinator.recovering)
        assert node.coordinator.recorder is not None
        store.restore(store.copy())
        await renewal.record_again(node.coordinator)
        await asyncio.sleep(0.1)
        assert node.coordinator.recovering
        assert store.read_record().host == "a"
        assert store.read_assignments().era == 0
        await restorable_fleet.wait_for(
            lambda: store.read_assignments().era == store.era
        )

    restorable_fleet.run_fleet(scenario)
