"""Tests of the start of coordination after all nodes were stopped."""

import asyncio

import attrs
import result

from hyssopshelf import clocks, kvstore
from hyssopshelf.authority import assignments, election, member, participant, timing
from hyssopshelf.gateway import blackboard, gateway


@attrs.define(kw_only=True)
class FakeStore:
    """A store that answers at once and does not track leases."""

    entries: dict = attrs.field(factory=dict)
    revision: int = 10
    era: int | None = None

    async def get(self, key):
        return result.Ok(self.entries.get(key))

    async def list(self, prefix):
        return result.Err(None)

    async def grant_lease(self, seconds):
        return result.Ok(2)

    async def renew_lease(self, lease, seconds):
        return result.Ok({})

    async def end_lease(self, lease):
        await asyncio.sleep(1.0)
        return result.Ok({})

    async def change(self, expected, writes):
        self.revision += 1
        for key, value in writes.items():
            self.entries[key] = kvstore.Entry(
                key=key, value=value, revision=self.revision
            )
        return result.Ok(self.revision)


class FakeForwarder:
    """Knows no holders."""

    def __init__(self) -> None:
        self.holders = {}

    def is_forwarded(self, endpoint: str) -> bool:
        return False


def make_participant(store, capacity: float) -> participant.Participant:
    board = blackboard.GatewayBlackboard(place="a", region="r", regions={"a": "r"})
    return participant.Participant(
        identity=assignments.MemberRecord(host="h", address="h:1", incarnation=5),
        gateway=gateway.Gateway(board=board, endpoint_codec=None),
        document_cache=member.DocumentCache(),
        apply_document=None,
        store_watcher=None,
        store=store,
        promotion_client=None,
        send=lambda host, address, message: None,
        reset=lambda address: None,
        capacity=capacity,
    )


async def measure_start(store, capacity: float) -> float:
    node = make_participant(store, capacity)
    started = clocks.read_clock()
    await node.candidate.try_take_over(election.ABSENT)
    assert node.coordinator is not None
    seconds = clocks.read_clock() - started
    node.stop()
    return seconds


def test_a_restarted_coordinator_starts_without_a_pause():
    """Guards against the pause of small hosts when a record names this node.

    All other nodes wait for the recorded coordinator, so it must not wait for them.
    """

    async def scenario():
        store = FakeStore()
        record = assignments.CoordinatorRecord(
            host="h", address="h:1", incarnation=1, epoch=1000, lease=1
        )
        await store.change(
            {}, {assignments.COORDINATOR_KEY: assignments.encode(record)}
        )
        assert await measure_start(store, 0.5) < timing.SMALL_HOST_DELAY_SECONDS / 2

    asyncio.run(scenario())


def test_a_small_host_lets_others_coordinate_a_new_fleet():
    async def scenario():
        assert await measure_start(FakeStore(), 0.5) >= timing.SMALL_HOST_DELAY_SECONDS
        assert (
            await measure_start(FakeStore(), 2.0) < timing.SMALL_HOST_DELAY_SECONDS / 2
        )

    asyncio.run(scenario())


def test_connections_are_allocated_before_the_announcement():
    """Guards against members that know a primary but not its holders.

    All of them would connect to it.
    """

    async def scenario():
        store = FakeStore()
        node = make_participant(store, 2.0)
        calls = []

        class RecordingCoordinator:
            active = False

            def allocate_connections(self):
                calls.append("allocated")

            def announce(self):
                calls.append("announced")

            def renew_own_grants(self):
                calls.append("renewed")

        await node._serve(RecordingCoordinator())
        assert calls == ["allocated", "announced", "renewed"]

    asyncio.run(scenario())


def test_the_coordinator_of_a_new_fleet_registers_itself(monkeypatch):
    """Nobody else does, and a later coordinator must know it as a member."""
    monkeypatch.setattr(timing, "BOOTSTRAP_REGISTRATION_SECONDS", 0.01)

    async def scenario(coordinates: bool) -> bool:
        store = FakeStore()
        node = make_participant(store, 2.0)
        node._bootstrap = True
        node.member.answered_at = clocks.read_clock()
        if coordinates:
            await node.candidate.try_take_over(election.ABSENT)
        await node._register()
        node.stop()
        return assignments.MEMBER_PREFIX + "h" in store.entries

    assert asyncio.run(scenario(True))
    assert not asyncio.run(scenario(False))
