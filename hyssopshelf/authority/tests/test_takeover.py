"""Tests of takeovers while the store does not answer."""

import asyncio

import attrs
import result

from hyssopshelf import clocks
from hyssopshelf.authority import assignments, exchange, member, participant, timing
from hyssopshelf.authority.tests import test_participant
from hyssopshelf.gateway import blackboard, gateway

MEMBERS = 18


class SilentStore:
    """Never answers, as behind a narrow link that a partition has cut."""

    era = None

    async def get(self, key):
        await asyncio.sleep(3600)

    list = change = grant_lease = get


class FailingStore:
    """Answers every call with an error."""

    era = None

    async def get(self, *_):
        return result.Err(None)

    list = change = grant_lease = get


@attrs.define
class FakeStoreWatcher:
    """Does not read anything."""

    async def watch(self, local_coordinator):
        await asyncio.sleep(3600)


def make_node(store, reached: int) -> participant.Participant:
    """Return a member that has lost its coordinator and reaches some others."""
    regions = {"p": "r"}
    board = blackboard.GatewayBlackboard(place="p", region="r", regions=regions)

    def send(host, address, message):
        if isinstance(message, exchange.Inquire) and int(host[1:]) <= reached:
            answer = exchange.Contact(
                number=message.number, epoch=message.epoch, silence=2.0
            )
            asyncio.get_running_loop().call_later(
                0.02, node.receive, host, address, answer
            )

    node = participant.Participant(
        identity=assignments.MemberRecord(host="h0", address="h0:1", incarnation=5),
        gateway=gateway.Gateway(board=board, endpoint_codec=None),
        document_cache=member.DocumentCache(),
        apply_document=None,
        store_watcher=FakeStoreWatcher(),
        store=store,
        promotion_client=None,
        send=send,
        reset=lambda address: None,
        capacity=2.0,
    )
    node.gateway.forwarder = test_participant.FakeForwarder()
    local_member = node.member
    local_member.members = {
        f"h{number}": assignments.MemberRecord(
            host=f"h{number}", address=f"h{number}:1", incarnation=0
        )
        for number in range(MEMBERS)
    }
    local_member.follow(
        assignments.CoordinatorRecord(
            host="h17", address="h17:1", incarnation=1, epoch=1000, lease=1
        )
    )
    local_member.followed_at = clocks.read_clock() - 5.0
    local_member.answered_at = clocks.read_clock() - 1.2
    local_member.store_age, local_member.store_age_at = 0.1, clocks.read_clock() - 1.2
    return node


async def measure_takeover(node, seconds: float) -> float | None:
    """Return the time until the node coordinates, None if it does not."""
    started = clocks.read_clock()
    running = asyncio.create_task(node.run())
    try:
        while clocks.read_clock() < started + seconds:
            if node.coordinator is not None:
                return clocks.read_clock() - started
            await asyncio.sleep(0.01)
        return None
    finally:
        running.cancel()
        node.stop()


def test_a_majority_does_not_wait_for_a_store_that_never_answers():
    """Fifteen members waited seven seconds each for the store's answer first."""

    async def scenario():
        node = make_node(SilentStore(), reached=12)
        node.member.successors = ("h0",)
        seconds = await measure_takeover(node, 3.0)
        assert seconds is not None and seconds < 1.5

    asyncio.run(scenario())


def test_a_majority_replaces_a_coordinator_while_the_store_refuses():
    async def scenario():
        node = make_node(FailingStore(), reached=12)
        node.member.successors = ("h0",)
        assert await measure_takeover(node, 2.0) is not None
        assert node.coordinator.interim

    asyncio.run(scenario())


def test_the_small_side_of_a_partition_does_not_take_over():
    async def scenario():
        node = make_node(SilentStore(), reached=5)
        node.member.successors = ("h0",)
        assert await measure_takeover(node, 2.5) is None

    asyncio.run(scenario())


def test_pauses_between_failed_attempts_are_bounded():
    pauses = [participant.election.find_attempt_pause(n) for n in range(50)]
    assert pauses == sorted(pauses)
    assert pauses[0] == timing.PING_SECONDS
    assert pauses[-1] == timing.MAXIMUM_ATTEMPT_PAUSE_SECONDS


def make_coordinating_node(store) -> participant.Participant:
    """Return a node that replaced the coordinator ``h17``."""
    node = make_node(store, reached=0)
    record = assignments.CoordinatorRecord(
        host="h0", address="h0:1", incarnation=5, epoch=2000, lease=1
    )
    node.start_coordinating(record, 7, node.member.coordinator_record, "test")
    return node


def test_a_successor_waits_for_the_grants_of_a_coordinator_that_is_not_registered():
    """A coordinator that registers only other nodes is missing in the store."""

    async def scenario():
        node = make_coordinating_node(SilentStore())
        table = node.coordinator.grant_table
        assert table.find_grant_holders("db", 1, clocks.read_clock()) == ["h17"]
        node.stop()

    asyncio.run(scenario())


def test_a_coordinator_without_authority_asks_others_and_follows():
    """It refused its clients for seconds: its successor had no way to tell it."""

    async def scenario():
        node = make_coordinating_node(SilentStore())
        asked = []
        node.send = lambda host, address, message: asked.append((address, message))
        node._ping()
        assert not asked
        node.coordinator.grant_table.confirmed_at -= 60.0
        node._ping()
        assert {type(message) for _, message in asked} == {exchange.Locate}
        assert 0 < len(asked) <= participant.MEMBERS_ASKED
        located = exchange.Located(
            host="h3", address="h3:1", incarnation=1, epoch=node.member.epoch
        )
        node.receive("h5", "h5:1", located)
        assert node.coordinator.active
        located = exchange.Located(
            host="h3", address="h3:1", incarnation=1, epoch=node.member.epoch + 1000
        )
        node.receive("h5", "h5:1", located)
        assert not node.coordinator.active
        assert node.member.coordinator_record.host == "h3"
        node.stop()

    asyncio.run(scenario())
