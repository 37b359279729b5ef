"""Tests of a takeover that the store records after the candidate has given up."""

import asyncio

import attrs

from hyssopshelf import clocks
from hyssopshelf.authority import assignments, election, timing
from hyssopshelf.authority.tests import restorable_fleet


# Primaries stay revoked for good: the coordinator renews its lease, and
# the store refuses each of its writes, as the record names a node that is not told.
def test_a_coordinator_follows_a_takeover_whose_answer_was_lost():
    async def scenario(store, fleet):
        first = fleet.start("a")
        await restorable_fleet.wait_for(lambda: first.coordinator is not None)
        for host in ("b", "c"):
            fleet.start(host)
        await restorable_fleet.wait_for(lambda: store.read_members() == {"a", "b", "c"})
        await restorable_fleet.wait_for(lambda: fleet.nodes["c"].member.answered_at > 0)
        recorder = first.coordinator.recorder
        record = store.read_record()
        lost = attrs.evolve(
            record,
            host="b",
            address="b:1",
            epoch=election.find_next_epoch(record.epoch, store.era),
        )
        await store.change({}, {assignments.COORDINATOR_KEY: assignments.encode(lost)})
        entry = assignments.Assignment(endpoint="e", term=1, version=1)
        assert not await recorder.record("db", entry)
        acting = fleet.nodes["b"]
        await restorable_fleet.wait_for(lambda: acting.coordinator is not None, 1.0)
        await restorable_fleet.wait_for(
            lambda: acting.coordinator.recorder is not None, 1.0
        )
        assert await acting.coordinator.recorder.record("db", entry)
        await asyncio.sleep(timing.PING_SECONDS * 3)
        now = clocks.read_clock()
        assert all(node.measure_silence(now) < 1.0 for node in fleet.nodes.values())
        assert sum(bool(n.coordinator) for n in fleet.nodes.values()) == 1

    restorable_fleet.run_fleet(scenario)
