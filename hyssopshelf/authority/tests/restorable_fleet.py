"""A store that returns to an earlier state, and nodes whose messages arrive at once.

Revisions and leases of the store are those that its client makes unique over all eras,
so a condition of an earlier era never holds.
"""

import asyncio

import attrs
import result

from hyssopshelf import clocks, kvstore
from hyssopshelf.authority import assignments, election, member, participant
from hyssopshelf.authority.tests import test_participant
from hyssopshelf.gateway import blackboard, gateway

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


def run_fleet(scenario, fleet_class=Fleet) -> None:
    """Run a coroutine that takes a store and a fleet."""

    async def run():
        store = RestorableStore()
        fleet = fleet_class(store)
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
