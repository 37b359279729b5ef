"""Tests of the agreement while the store returns from an older copy."""

import asyncio

import attrs

from hyssopshelf import clocks
from hyssopshelf.authority import assignments, election, recorder, renewal, timing
from hyssopshelf.authority.tests import restorable_fleet


# DRAIN, ONE: two coordinators use one epoch, and members follow neither of them.
def test_an_epoch_is_not_used_again():
    async def scenario(store, fleet):
        await fleet.add("a").candidate.try_take_over(election.ABSENT)
        copy = store.copy()
        second = fleet.add("b")
        key = assignments.MEMBER_PREFIX + "b"
        second.own_revision = (
            await store.change({}, {key: assignments.encode(second.identity)})
        ).ok_value
        current = store.read_record()
        restorable_fleet.lose_coordinator(second, current)
        revision = store.entries[assignments.COORDINATOR_KEY].revision
        await second.candidate._replace(revision, current, election.SILENT)
        epoch = second.coordinator.record.epoch
        assert epoch > current.epoch
        fleet.remove("a")
        fleet.remove("b")
        store.restore(copy)
        third = fleet.add("a", incarnation=2)
        await third.candidate.try_take_over(election.ABSENT)
        assert third.coordinator.record.epoch > epoch

    restorable_fleet.run_fleet(scenario)


# DRAIN: nodes follow a coordinator that is none, and learn no registry and no primary.
def test_members_follow_the_coordinator_of_the_restored_store():
    async def scenario(store, fleet):
        fleet.start("a")
        await restorable_fleet.wait_for(
            lambda: fleet.nodes["a"].coordinator is not None
        )
        for host in ("b", "c"):
            fleet.start(host)
        nodes = fleet.nodes
        await restorable_fleet.wait_for(lambda: store.read_members() == {"a", "b", "c"})
        await restorable_fleet.wait_for(lambda: nodes["c"].member.answered_at > 0)
        copy = store.copy()
        nodes["a"].coordinator.resigning = True
        nodes["a"].coordinator.announce()
        await restorable_fleet.wait_for(lambda: store.read_record().host != "a")
        leader = store.read_record().host
        await asyncio.sleep(0.5)
        store.restore(copy)
        fleet.remove("a")
        await asyncio.sleep(0.3)
        fleet.start("a", incarnation=2)
        await asyncio.sleep(4.0)
        now = clocks.read_clock()
        silences = {h: n.measure_silence(now) for h, n in nodes.items()}
        assert max(silences.values()) < timing.SILENCE_SECONDS, (leader, silences)
        acting = [h for h, n in nodes.items() if n.coordinator and n.coordinator.active]
        assert len(acting) == 1

    restorable_fleet.run_fleet(scenario)


# A coordinator that keeps running leaves assignments in the store that it replaced.
def test_a_running_coordinator_records_its_state_again():
    async def scenario(store, fleet):
        node = fleet.add("a")
        await node.candidate.try_take_over(election.ABSENT)
        local_coordinator = node.coordinator
        await asyncio.sleep(0.2)
        assignment_recorder = recorder.AssignmentRecorder(
            coordinator=local_coordinator, revision=0
        )
        local_coordinator.recorder = assignment_recorder
        entry = assignments.Assignment(endpoint="old", term=1, version=1)
        assert await assignment_recorder.record("db", entry)
        copy = store.copy()
        entry = assignments.Assignment(endpoint="new", term=2, version=2)
        assert await assignment_recorder.record("db", entry)
        store.restore(copy)
        await restorable_fleet.wait_for(
            lambda: store.read_assignments().databases["db"].endpoint == "new", 3.0
        )
        await restorable_fleet.wait_for(lambda: "a" in store.read_members(), 1.0)
        entry = assignments.Assignment(endpoint="newest", term=3, version=3)
        assert await assignment_recorder.record("db", entry)
        assert store.read_assignments().databases["db"].endpoint == "newest"
        # The record was older than the coordinator as well.
        assert local_coordinator.active

    restorable_fleet.run_fleet(scenario)


# A record that the store lost leaves a coordinator that is never confirmed again.
def test_a_running_coordinator_whose_record_is_gone_records_itself():
    async def scenario(store, fleet):
        copy = store.copy()
        node = fleet.add("a")
        await node.candidate.try_take_over(election.ABSENT)
        store.restore(copy)
        await restorable_fleet.wait_for(
            lambda: assignments.COORDINATOR_KEY in store.entries, 3.0
        )
        assert store.read_record().host == "a"
        await asyncio.sleep(timing.RENEWAL_SECONDS * 2)
        assert node.coordinator.may_change(clocks.read_clock())

    restorable_fleet.run_fleet(scenario)


# ONE: a coordinator without authority replaces one that the store has forgotten.
def test_a_coordinator_that_lost_its_authority_does_not_record_itself():
    async def scenario(store, fleet):
        node = fleet.add("a")
        await node.candidate.try_take_over(election.ABSENT)
        copy = store.copy()
        local_coordinator = node.coordinator
        store.down = True
        local_coordinator.grant_table.confirmed_at = clocks.read_clock() - 60.0
        store.restore(copy)
        store.down = False
        await renewal.replace_lease(local_coordinator)
        assert not local_coordinator.active

    restorable_fleet.run_fleet(scenario)


# No node can take over, as the store has forgotten the registrations of all.
def test_a_node_whose_registration_is_gone_takes_over():
    async def scenario(store, fleet):
        record = assignments.CoordinatorRecord(
            host="lost", address="lost:1", incarnation=1, epoch=1000, lease=0
        )
        await store.change(
            {}, {assignments.COORDINATOR_KEY: assignments.encode(record)}
        )
        copy = store.copy()
        node = fleet.start("b")
        await restorable_fleet.wait_for(lambda: "b" in store.read_members())
        store.restore(copy)
        await restorable_fleet.wait_for(lambda: store.read_record().host == "b", 8.0)
        await restorable_fleet.wait_for(lambda: node.coordinator is not None)
        await restorable_fleet.wait_for(lambda: "b" in store.read_members(), 2.0)

    restorable_fleet.run_fleet(scenario)


def test_a_removed_node_does_not_take_over_from_a_live_coordinator():
    """Only a record of an earlier era may be replaced without a registration."""

    async def scenario(store, fleet):
        live = fleet.add("a")
        await live.candidate.try_take_over(election.ABSENT)
        node = fleet.add("b")
        entry = store.entries[assignments.COORDINATOR_KEY]
        current = assignments.decode_coordinator(entry.value)
        restorable_fleet.lose_coordinator(node, current)
        await node.candidate._replace(entry.revision, current, election.SILENT)
        assert node.coordinator is None
        assert store.read_record().host == "a"

    restorable_fleet.run_fleet(scenario)


def test_an_epoch_is_above_all_of_earlier_eras():
    before = election.find_next_epoch(0, 3)
    for _ in range(5):
        before = election.find_next_epoch(before, 3)
    after = election.find_next_epoch(0, 4)
    assert after > before + election.EPOCH_STEP
    assert election.find_era(before) == election.find_era(before + 1) == 3
    assert election.find_era(after) == 4


# Nodes without a coordinator for a second longer: the first attempt of each to take
# over ended when the node read the record of the coordinator that was lost.
def test_the_first_attempt_to_take_over_succeeds():
    async def scenario(store, fleet):
        record = assignments.CoordinatorRecord(
            host="lost", address="lost:1", incarnation=1, epoch=1_000_001_000, lease=7
        )
        await store.change(
            {}, {assignments.COORDINATOR_KEY: assignments.encode(record)}
        )
        node = fleet.start("b")
        await restorable_fleet.wait_for(lambda: "b" in store.read_members())
        restorable_fleet.lose_coordinator(
            node, attrs.evolve(record, lease=0, incarnation=0)
        )
        await node.candidate.try_take_over(election.SILENT)
        assert node.coordinator is not None

    restorable_fleet.run_fleet(scenario)


# CONFIG: a restarted coordinator has the older configuration of the copy, and so have
# all nodes that start, although others have had a newer one in force.
def test_a_configuration_that_members_have_replaces_an_older_one_of_the_store():
    async def scenario(store, fleet):
        for host, version in (("a", 3), ("b", 5), ("c", 0)):
            node = fleet.add(host)
            cache = node.member.document_cache
            cache.configuration = b"%d" % version if version else None
            cache.configuration_version = version

            def apply_document(name, data, cache=cache):
                cache.configuration, cache.configuration_version = data, int(data)

            node.member.apply_document = apply_document
            fleet.run(node)
            await restorable_fleet.wait_for(
                lambda: fleet.nodes["a"].coordinator is not None
            )
        await restorable_fleet.wait_for(
            lambda: all(
                node.member.document_cache.configuration == b"5"
                for node in fleet.nodes.values()
            ),
            3.0,
        )

    restorable_fleet.run_fleet(scenario)
