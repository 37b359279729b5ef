"""Tests of takeovers whose answers are lost, with respect to the coordinator before.

Nodes can be cut off from the others and the store, and the store can lose the answer
to the write of a record.
"""

import asyncio

import pytest
import result

from hyssopshelf import clocks
from hyssopshelf.authority import assignments, election, timing
from hyssopshelf.authority.tests import restorable_fleet


class HostStore:
    """The store as one host reaches it."""

    def __init__(self, shared, cut: set[str], host: str) -> None:
        self.shared = shared
        self.cut = cut
        self.host = host
        self.lost_records = 0
        self.lost_ends = 0
        self.writes_fail = False

    def __getattr__(self, name):
        value = getattr(self.shared, name)
        if not asyncio.iscoroutinefunction(value):
            return value

        async def call(*arguments):
            if self.host in self.cut:
                return result.Err(restorable_fleet.Failure(status=599))
            return await value(*arguments)

        return call

    async def change(self, expected, writes, deletes=()):
        failure = result.Err(restorable_fleet.Failure(status=599))
        if self.host in self.cut or self.writes_fail:
            return failure
        answer = await self.shared.change(expected, writes, deletes)
        if assignments.COORDINATOR_KEY in writes and self.lost_records:
            self.lost_records -= 1
            return failure
        return answer

    async def get(self, key):
        if self.host in self.cut:
            return result.Err(restorable_fleet.Failure(status=599))
        return await self.shared.get(key)

    async def end_lease(self, lease):
        failure = result.Err(restorable_fleet.Failure(status=599))
        if self.host in self.cut:
            return failure
        if self.lost_ends:
            self.lost_ends -= 1
            return failure
        return await self.shared.end_lease(lease)


class CutFleet(restorable_fleet.Fleet):
    """Nodes of which some are cut off from the others and the store."""

    def __init__(self, store) -> None:
        super().__init__(store)
        self.cut: set[str] = set()

    def add(self, host: str, incarnation: int = 1):
        node = super().add(host, incarnation)
        node.store = HostStore(self.store, self.cut, host)
        deliver = node.send

        def send(to, address, message):
            if host not in self.cut and address.partition(":")[0] not in self.cut:
                deliver(to, address, message)

        node.send = node.member.send = send
        return node

    async def start_all(self, *hosts: str) -> None:
        """Start nodes, the first of them as the coordinator."""
        first = self.start(hosts[0])
        await restorable_fleet.wait_for(lambda: first.coordinator is not None)
        for host in hosts[1:]:
            self.start(host)
        await restorable_fleet.wait_for(lambda: self.store.read_members() == set(hosts))
        await restorable_fleet.wait_for(
            lambda: all(self.nodes[h].member.answered_at > 0 for h in hosts[1:])
        )

    def find_coordinators(self) -> set[str]:
        """Return the hosts whose coordinator has authority."""
        now = clocks.read_clock()
        return {
            host
            for host, node in self.nodes.items()
            if node.coordinator is not None and node.coordinator.has_authority(now)
        }


def run_cut_fleet(scenario) -> None:
    restorable_fleet.run_fleet(scenario, CutFleet)


# Guards against two coordinators. The answer to a successor's record is lost: nobody
# ends the lease of the coordinator before it, which then comes back. Or only the answer
# to the end of that lease is lost: the successor itself acts after it was replaced.
@pytest.mark.parametrize("lost_records", [1, 0])
def test_a_cut_off_coordinator_stays_replaced_although_an_answer_was_lost(
    lost_records,
):
    async def scenario(store, fleet):
        await fleet.start_all("a", "b", "c", "d")
        former = fleet.nodes["a"].coordinator
        for host in ("b", "c", "d"):
            fleet.nodes[host].store.lost_records = lost_records
        # Nobody looks up the answer either, as the successor is cut off as well.
        cut_with = {}

        async def lose_successor(expected, writes, deletes=()):
            answer = await type(store).change(store, expected, writes, deletes)
            if assignments.COORDINATOR_KEY in writes and answer.is_ok():
                record = store.read_record()
                if record.host != "a" and not cut_with:
                    cut_with[record.host] = record
                    fleet.cut.add(record.host)
            return answer

        store.change = lose_successor
        fleet.cut.add("a")
        await restorable_fleet.wait_for(lambda: cut_with)
        (lost,) = cut_with
        rest = set(fleet.nodes) - {"a", lost}
        # Two of four members find the recorded successor silent and replace it.
        await restorable_fleet.wait_for(lambda: fleet.find_coordinators() & rest, 12.0)
        fleet.cut.clear()
        healed_at = clocks.read_clock()
        while clocks.read_clock() < healed_at + timing.RENEWAL_SECONDS * 3:
            assert fleet.find_coordinators() <= rest
            await asyncio.sleep(0.02)
        assert not former.active
        assert not {former.record.lease, cut_with[lost].lease} & store.leases

    run_cut_fleet(scenario)


# Guards against the same: a takeover that replaced the record before the lease was
# ended left the lease in use where the call that ends it failed.
def test_a_record_is_not_replaced_before_its_lease_has_ended():
    async def scenario(store, fleet):
        await fleet.start_all("a", "b", "c")
        lease = store.read_record().lease
        replaced = []

        async def watch_change(expected, writes, deletes=()):
            answer = await type(store).change(store, expected, writes, deletes)
            if assignments.COORDINATOR_KEY in writes and answer.is_ok():
                replaced.append(lease in store.leases)
            return answer

        store.change = watch_change
        for node in fleet.nodes.values():
            node.store.lost_ends = 2
        fleet.cut.add("a")
        await restorable_fleet.wait_for(lambda: replaced, 12.0)
        assert replaced == [False]

    run_cut_fleet(scenario)


# Guards against seconds without a coordinator after a takeover whose answer was lost:
# the recorded node asked the others again before it acted.
def test_a_takeover_whose_answer_was_lost_takes_effect_at_once():
    async def scenario(store, fleet):
        await fleet.start_all("a", "b", "c")
        for host in ("b", "c"):
            fleet.nodes[host].store.lost_records = 1
        fleet.cut.add("a")
        before = store.read_record()
        await restorable_fleet.wait_for(lambda: store.read_record() != before)
        lost = store.read_record()
        await restorable_fleet.wait_for(
            lambda: fleet.find_coordinators() - {"a"} == {lost.host}, 0.3
        )
        assert store.read_record() == lost

    run_cut_fleet(scenario)


# A node whose own earlier record was in the store did not replace a silent coordinator
# of a newer epoch, which the store had forgotten.
def test_an_older_record_of_this_node_does_not_stop_its_takeover():
    async def scenario(store, fleet):
        node = fleet.add("b")
        other = fleet.add("c")
        for host in ("b", "c", "x"):
            member = assignments.MemberRecord(
                host=host, address=f"{host}:1", incarnation=1
            )
            key = assignments.MEMBER_PREFIX + host
            await store.change({}, {key: assignments.encode(member)})
        for host, epoch in (("b", 1000), ("x", 5000)):
            record = assignments.CoordinatorRecord(
                host=host, address=f"{host}:1", incarnation=1, epoch=epoch, lease=0
            )
            if host == "b":
                value = assignments.encode(record)
                await store.change({}, {assignments.COORDINATOR_KEY: value})
        for follower in (node, other):
            restorable_fleet.lose_coordinator(follower, record)
        await node.candidate.try_take_over(election.SILENT)
        assert node.coordinator is not None
        assert node.coordinator.record.epoch > 5000

    run_cut_fleet(scenario)


# A node that was taken for the recorded one became the coordinator of a store without
# a record, although nobody had agreed.
def test_a_ping_of_a_newer_epoch_makes_no_coordinator_without_a_record():
    async def scenario(store, fleet):
        node = fleet.add("b")
        await node.candidate.try_take_over(election.RECORDED)
        assert node.coordinator is None

    run_cut_fleet(scenario)
