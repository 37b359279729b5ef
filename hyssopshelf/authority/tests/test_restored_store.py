"""Tests of the agreement while the store returns from an older copy.

Revisions and leases of the fake store are those that its client makes unique over all
eras, so a condition of an earlier era never holds.
"""

import asyncio

import attrs
import result

from hyssopshelf import clocks, kvstore
from hyssopshelf.authority import (
    assignments,
    election,
    member,
    participant,
    recorder,
    recovery,
    renewal,
    timing,
)
from hyssopshelf.authority.tests import test_participant
from hyssopshelf.gateway import blackboard, catalog, gateway, probes, statements

ERA_SIZE = 1_000_000


@attrs.frozen(kw_only=True)
class Failure:
    """An error answer of the store."""

    status: int
    reason: str = ""


class RestorableStore:
    """A store that answers at once and can return to an earlier state."""

    def __init__(self) -> None:
        self.era = 1
        self.entries: dict[str, kvstore.Entry] = {}
        self.number = 10
        self.leases: set[int] = set()
        self.down = False

    def copy(self) -> tuple:
        return dict(self.entries), self.number, set(self.leases)

    def restore(self, copy: tuple) -> None:
        entries, self.number, leases = copy
        self.era += 1
        # The same number is another revision in each era.
        shift = ERA_SIZE
        self.entries = {
            key: attrs.evolve(entry, revision=entry.revision + shift)
            for key, entry in entries.items()
        }
        self.leases = {lease + shift for lease in leases}

    def _next(self) -> int:
        self.number += 1
        return self.era * ERA_SIZE + self.number

    async def get(self, key):
        return result.Err(Failure(status=599)) if self.down else self._find(key)

    def _find(self, key):
        return result.Ok(self.entries.get(key))

    async def list(self, prefix):
        if self.down:
            return result.Err(Failure(status=599))
        found = tuple(
            e for k, e in sorted(self.entries.items()) if k.startswith(prefix)
        )
        return result.Ok(Page(entries=found))

    async def change(self, expected, writes, deletes=()):
        if self.down:
            return result.Err(Failure(status=599))
        for key, revision in expected.items():
            entry = self.entries.get(key)
            if (entry.revision if entry else 0) != revision:
                return result.Err(Failure(status=election.CONFLICT_STATUS))
        revision = self._next()
        for key, value in writes.items():
            # Whether the keys of a transaction share a revision is not promised.
            revision = self._next()
            self.entries[key] = kvstore.Entry(key=key, value=value, revision=revision)
        for key in deletes:
            self.entries.pop(key, None)
        return result.Ok(revision)

    async def grant_lease(self, seconds):
        if self.down:
            return result.Err(Failure(status=599))
        lease = self._next()
        self.leases.add(lease)
        return result.Ok(lease)

    async def renew_lease(self, lease, seconds):
        if self.down:
            return result.Err(Failure(status=599))
        if lease not in self.leases:
            return result.Err(Failure(status=election.NOT_FOUND_STATUS))
        return result.Ok({})

    async def end_lease(self, lease):
        if lease not in self.leases:
            return result.Err(Failure(status=election.NOT_FOUND_STATUS))
        self.leases.discard(lease)
        return result.Ok({})

    def read_record(self) -> assignments.CoordinatorRecord:
        entry = self.entries[assignments.COORDINATOR_KEY]
        return assignments.decode_coordinator(entry.value)

    def read_assignments(self) -> assignments.Assignments:
        entry = self.entries[assignments.ASSIGNMENTS_KEY]
        return assignments.decode_assignments(entry.value)

    def read_members(self) -> set[str]:
        prefix = assignments.MEMBER_PREFIX
        return {k.removeprefix(prefix) for k in self.entries if k.startswith(prefix)}


@attrs.frozen(kw_only=True)
class Page:
    """Result of a list."""

    entries: tuple


@attrs.define
class FakeStoreWatcher:
    """Reads nothing."""

    async def watch(self, local_coordinator):
        await asyncio.sleep(3600)

    async def read_all(self):
        """Do nothing."""


class Fleet:
    """Nodes whose messages arrive at once."""

    def __init__(self, store: RestorableStore) -> None:
        self.store = store
        self.nodes: dict[str, participant.Participant] = {}
        self.tasks: dict[str, asyncio.Task] = {}

    def add(self, host: str, incarnation: int = 1) -> participant.Participant:
        board = blackboard.GatewayBlackboard(place="p", region="r", regions={"p": "r"})

        def send(to, address, message):
            target = self.nodes.get(address.partition(":")[0])
            if target is not None:
                asyncio.get_running_loop().call_soon(
                    target.receive, host, f"{host}:1", message
                )

        node = participant.Participant(
            identity=assignments.MemberRecord(
                host=host, address=f"{host}:1", incarnation=incarnation, place="p"
            ),
            gateway=gateway.Gateway(board=board, endpoint_codec=None),
            document_cache=member.DocumentCache(),
            apply_document=lambda name, data: None,
            store_watcher=FakeStoreWatcher(),
            store=self.store,
            promotion_client=None,
            send=send,
            reset=lambda address: None,
            seeds=tuple(f"{seed}:1" for seed in self.nodes),
            capacity=2.0,
        )
        node.gateway.forwarder = test_participant.FakeForwarder()
        self.nodes[host] = node
        return node

    def start(self, host: str, incarnation: int = 1) -> participant.Participant:
        node = self.add(host, incarnation)
        self.run(node)
        return node

    def run(self, node: participant.Participant) -> None:
        self.tasks[node.identity.host] = asyncio.create_task(node.run())

    def remove(self, host: str) -> None:
        if host in self.tasks:
            self.tasks.pop(host).cancel()
        self.nodes.pop(host).stop()

    def stop(self) -> None:
        for host in list(self.nodes):
            self.remove(host)


async def wait_for(condition, seconds: float = 8.0) -> None:
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


def run_fleet(scenario) -> None:
    """Run a coroutine that takes a store and a fleet."""

    async def run():
        store = RestorableStore()
        fleet = Fleet(store)
        try:
            await scenario(store, fleet)
        finally:
            fleet.stop()

    asyncio.run(run())


def make_assignments(version: int, endpoint: str, term: int) -> assignments.Assignments:
    entry = assignments.Assignment(endpoint=endpoint, term=term, version=version)
    return assignments.Assignments(version=version, databases={"db": entry})


def lose_coordinator(node: participant.Participant, record) -> None:
    """Let a node follow a coordinator that it has not heard for some seconds."""
    node.member.follow(record)
    node.member.answered_at = clocks.read_clock() - 5.0
    node.member.followed_at = clocks.read_clock() - 5.0


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
        lose_coordinator(second, current)
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

    run_fleet(scenario)


# DRAIN: nodes follow a coordinator that is none, and learn no registry and no primary.
def test_members_follow_the_coordinator_of_the_restored_store():
    async def scenario(store, fleet):
        fleet.start("a")
        await wait_for(lambda: fleet.nodes["a"].coordinator is not None)
        for host in ("b", "c"):
            fleet.start(host)
        nodes = fleet.nodes
        await wait_for(lambda: store.read_members() == {"a", "b", "c"})
        await wait_for(lambda: nodes["c"].member.answered_at > 0)
        copy = store.copy()
        nodes["a"].coordinator.resigning = True
        nodes["a"].coordinator.announce()
        await wait_for(lambda: store.read_record().host != "a")
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

    run_fleet(scenario)


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
        await wait_for(
            lambda: store.read_assignments().databases["db"].endpoint == "new", 3.0
        )
        await wait_for(lambda: "a" in store.read_members(), 1.0)
        entry = assignments.Assignment(endpoint="newest", term=3, version=3)
        assert await assignment_recorder.record("db", entry)
        assert store.read_assignments().databases["db"].endpoint == "newest"
        # The record was older than the coordinator as well.
        assert local_coordinator.active

    run_fleet(scenario)


# A record that the store lost leaves a coordinator that is never confirmed again.
def test_a_running_coordinator_whose_record_is_gone_records_itself():
    async def scenario(store, fleet):
        copy = store.copy()
        node = fleet.add("a")
        await node.candidate.try_take_over(election.ABSENT)
        store.restore(copy)
        await wait_for(lambda: assignments.COORDINATOR_KEY in store.entries, 3.0)
        assert store.read_record().host == "a"
        await asyncio.sleep(timing.RENEWAL_SECONDS * 2)
        assert node.coordinator.may_change(clocks.read_clock())

    run_fleet(scenario)


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

    run_fleet(scenario)


# ONE: a restarted coordinator grants the primary of the older copy.
def test_assignments_that_members_know_replace_older_ones_of_the_store():
    async def scenario(store, fleet):
        stored = make_assignments(1, "old", 1)
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
        await wait_for(lambda: "b" in store.read_members())
        knowing.member.follow(record)
        knowing.member.assignments = make_assignments(3, "new", 3)
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

        await wait_for(have_grants, 4.0)
        assert granted == {"new"}
        assert started.gateway.board.primary_grants["db"].endpoint == "new"
        await wait_for(lambda: knowing.gateway.board.primary_grants, 4.0)
        versions = {
            node.gateway.board.primary_grants["db"].version
            for node in (started, knowing)
        }
        assert len(versions) == 1
        assert store.read_assignments().databases["db"].endpoint == "new"

    run_fleet(scenario)


# ONE: no node that is left knows of the last change of primary.
def test_the_endpoints_tell_of_a_primary_that_the_store_forgot(monkeypatch):
    terms = {"old": ("replica", 3), "new": ("primary", 3)}

    class Codec:
        def format_status(self):
            return b""

        def parse_status(self, row):
            role, term = row
            return role, term, statements.LogPosition(term, 1)

    async def answer(local_gateway, endpoint, data, seconds):
        reply = type("Reply", (), {"error": None, "rows": [terms[endpoint.id]]})
        return clocks.read_clock(), reply

    monkeypatch.setattr(probes, "send_unqueued", answer)

    async def scenario(store, fleet):
        stored = make_assignments(1, "old", 1)
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
        await wait_for(lambda: node.gateway.board.primary_grants, 4.0)
        grant = node.gateway.board.primary_grants["db"]
        assert (grant.endpoint, grant.term) == ("new", 3)

    run_fleet(scenario)


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
        await wait_for(lambda: "b" in store.read_members())
        store.restore(copy)
        await wait_for(lambda: store.read_record().host == "b", 8.0)
        await wait_for(lambda: node.coordinator is not None)
        await wait_for(lambda: "b" in store.read_members(), 2.0)

    run_fleet(scenario)


def test_a_removed_node_does_not_take_over_from_a_live_coordinator():
    """Only a record of an earlier era may be replaced without a registration."""

    async def scenario(store, fleet):
        live = fleet.add("a")
        await live.candidate.try_take_over(election.ABSENT)
        node = fleet.add("b")
        entry = store.entries[assignments.COORDINATOR_KEY]
        current = assignments.decode_coordinator(entry.value)
        lose_coordinator(node, current)
        await node.candidate._replace(entry.revision, current, election.SILENT)
        assert node.coordinator is None
        assert store.read_record().host == "a"

    run_fleet(scenario)


def test_an_epoch_is_above_all_of_earlier_eras():
    before = election.find_next_epoch(0, 3)
    for _ in range(5):
        before = election.find_next_epoch(before, 3)
    after = election.find_next_epoch(0, 4)
    assert after > before + election.EPOCH_STEP
    assert election.find_era(before) == election.find_era(before + 1) == 3
    assert election.find_era(after) == 4


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
            other.member.assignments = make_assignments(2 + number % 7, "new", 2)
            node.coordinator.registry.add(other.identity)
        await recovery._ask_members(node.coordinator)
        stored = make_assignments(1, "old", 1)
        newest = await recovery._fetch_newest(node.coordinator, stored)
        assert newest.version == 8
        answers = node.coordinator.recalled.values()
        assert len(answers) == 20
        assert sum(answer.assignments is not None for answer in answers) == 1

    run_fleet(scenario)


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
        await wait_for(lambda: "b" in store.read_members())
        lose_coordinator(node, attrs.evolve(record, lease=0, incarnation=0))
        await node.candidate.try_take_over(election.SILENT)
        assert node.coordinator is not None

    run_fleet(scenario)


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

    run_fleet(scenario)


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
            await wait_for(lambda: fleet.nodes["a"].coordinator is not None)
        await wait_for(
            lambda: all(
                node.member.document_cache.configuration == b"5"
                for node in fleet.nodes.values()
            ),
            3.0,
        )

    run_fleet(scenario)


# ONE: a second return of the store makes assignments count that were not recovered.
def test_a_coordinator_that_recovers_does_not_record_what_it_loaded():
    async def scenario(store, fleet):
        stored = make_assignments(1, "old", 1)
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
        await wait_for(lambda: node.coordinator.recovering)
        assert node.coordinator.recorder is not None
        store.restore(store.copy())
        await renewal.record_again(node.coordinator)
        await asyncio.sleep(0.1)
        assert node.coordinator.recovering
        assert store.read_record().host == "a"
        assert store.read_assignments().era == 0
        await wait_for(lambda: store.read_assignments().era == store.era)

    run_fleet(scenario)
