"""Tests of promotions where commits are acknowledged once a replica has received them.

Each endpoint of the fake database tells the end of its log, or that it is busy, or it
does not answer.
"""

import asyncio

import attrs
import hypothesis
import pytest
import result
from hypothesis import strategies

from hyssopshelf import clocks, exceptions
from hyssopshelf.authority import (
    assignments,
    change,
    durability,
    promotions,
    replication,
    suspicion,
    targets,
)
from hyssopshelf.authority.tests import restorable_fleet
from hyssopshelf.gateway import (
    blackboard,
    catalog,
    endpoint_connections,
    probes,
    statements,
)

ASSIGNED = assignments.Assignment(endpoint="p", term=1, version=1)


@attrs.define(kw_only=True)
class FakeEndpoint:
    """State of an endpoint; ``mode`` is one of exact, busy and silent."""

    number: int
    mode: str = "exact"
    role: str = "replica"
    term: int = 1
    refuses_promotion: bool = False


class FakeDatabase:
    """Answers requests for the status and promotes endpoints."""

    def __init__(self, monkeypatch, **endpoints: FakeEndpoint) -> None:
        self.endpoints = endpoints
        self.promoted: list[str] = []
        monkeypatch.setattr(probes, "send_unqueued", self.answer)
        monkeypatch.setattr(change.ChangeController, "run", self.check_nothing)

    async def check_nothing(self):
        """Replace the node's own controller."""

    async def answer(self, local_gateway, endpoint, data, seconds, *, replies=1):
        state = self.endpoints[endpoint.id]
        if data == self.format_begin(False, None) + self.format_rollback():
            assert replies == 2
            readonly = exceptions.ErrorKind.NOT_PRIMARY
            error = None if state.role == "primary" else readonly
            return None, statements.Reply(error=error)
        await asyncio.sleep(0.001)
        if state.mode == "silent":
            raise endpoint_connections.EndpointConnectionError("no answer in time")
        reply = statements.Reply(position=statements.LogPosition(1, state.number))
        if state.mode == "busy":
            reply.error = exceptions.ErrorKind.NOT_RUN
        else:
            reply.rows = [(state.role, state.term, reply.position)]
        return None, reply

    async def promote(self, database, endpoint, epoch, seconds):
        state = self.endpoints[endpoint]
        if state.refuses_promotion:
            refusal = restorable_fleet.Failure(status=promotions.REFUSED_STATUS)
            return result.Err(refusal)
        self.promoted.append(endpoint)
        state.role = "primary"
        for other in self.endpoints.values():
            other.term = 2
        return result.Ok({})

    def format_status(self):
        return b""

    def format_begin(self, read_only, position):
        return b"begin"

    def format_rollback(self):
        return b"rollback"

    def parse_status(self, row):
        return row


def make_registered(name: str, leaving: bool = False) -> catalog.Endpoint:
    return catalog.Endpoint(
        id=name,
        database="db",
        address=f"{name}:1",
        place="p",
        slots=3,
        leaving=leaving,
        leads=name == "p",
        started=1,
    )


def run_change(database: FakeDatabase, scenario, *, synchronous: int = 1) -> None:
    """Run a scenario that takes the controller of a coordinator and its board."""

    async def run(store, fleet):
        node = fleet.add("a")
        record = assignments.CoordinatorRecord(
            host="a", address="a:1", incarnation=1, epoch=1000, lease=0
        )
        node.start_coordinating(record, 1, None, "test")
        coordinator = node.coordinator
        await restorable_fleet.wait_for(lambda: coordinator.recorder is not None)
        board = node.gateway.board
        board.configuration = catalog.Configuration(
            version=1,
            routes={},
            connections={},
            limits=catalog.Limits(),
            synchronous={"db": synchronous},
        )
        board.endpoints = {name: make_registered(name) for name in database.endpoints}
        node.gateway.endpoint_codec = database
        node.member.assignments = assignments.Assignments(
            version=1, databases={"db": ASSIGNED}
        )
        controller = change.ChangeController(
            coordinator=coordinator,
            recorder=coordinator.recorder,
            promotion_client=database,
        )

        async def record_assignment(name, entry):
            known = node.member.assignments
            node.member.assignments = known.replace(name, entry)
            return True

        controller.recorder.record = record_assignment
        await scenario(controller, board)

    restorable_fleet.run_fleet(run)


# LOST: a busy replica was left out, and the other one lacked acknowledged commits
# (review/3).
def test_a_busy_replica_with_all_commits_is_promoted(monkeypatch):
    database = FakeDatabase(
        monkeypatch,
        p=FakeEndpoint(number=100, mode="silent", role="primary"),
        near=FakeEndpoint(number=100, mode="busy"),
        far=FakeEndpoint(number=91),
    )

    async def scenario(controller, board):
        started = clocks.read_clock()
        assert await controller._change("db", ASSIGNED, "unreachable")
        assert database.promoted == ["near"]
        # It is granted although it stays busy.
        assert clocks.read_clock() - started < 0.5
        granted = controller.local_member.assignments.databases["db"]
        assert (granted.endpoint, granted.term, granted.promoting) == ("near", 2, False)

    run_change(database, scenario)


# LOST: "no answer" was taken for "has nothing".
@pytest.mark.parametrize("mode", ["silent", "busy"])
def test_a_promotion_waits_for_a_replica_that_may_have_more(monkeypatch, mode):
    database = FakeDatabase(
        monkeypatch,
        p=FakeEndpoint(number=100, mode="silent", role="primary"),
        near=FakeEndpoint(number=90, mode=mode),
        far=FakeEndpoint(number=91),
    )

    async def scenario(controller, board):
        task = asyncio.create_task(controller._change("db", ASSIGNED, "unreachable"))
        await asyncio.sleep(0.8)
        assert not database.promoted
        database.endpoints["near"].number = 100
        database.endpoints["near"].mode = "exact"
        assert await task
        assert database.promoted == ["near"]

    run_change(database, scenario)


# A change that waits for good would keep its database without a primary.
def test_a_wait_for_a_registered_replica_ends_without_a_promotion(monkeypatch):
    monkeypatch.setattr(targets, "COMPLETE_SECONDS", 0.3)
    database = FakeDatabase(
        monkeypatch,
        p=FakeEndpoint(number=100, mode="silent", role="primary"),
        near=FakeEndpoint(number=100, mode="silent"),
        far=FakeEndpoint(number=91),
    )

    async def scenario(controller, board):
        assert not await controller._change("db", ASSIGNED, "unreachable")
        assert not database.promoted
        assert not controller.coordinator.revoked

    run_change(database, scenario)


# LOST: a replica that crashed with the primary was forgotten with its entry. One that
# stays away counts as gone, so that the wait ends.
def test_a_replica_that_the_registry_lost_counts_for_a_time(monkeypatch):
    monkeypatch.setattr(blackboard, "REMOVED_SECONDS", 1.0)
    database = FakeDatabase(
        monkeypatch,
        p=FakeEndpoint(number=100, mode="silent", role="primary"),
        near=FakeEndpoint(number=100, mode="silent"),
        far=FakeEndpoint(number=91),
    )

    async def scenario(controller, board):
        left = {n: e for n, e in board.endpoints.items() if n != "near"}
        board.replace_endpoints(left, clocks.read_clock())
        task = asyncio.create_task(controller._change("db", ASSIGNED, "unreachable"))
        await asyncio.sleep(0.6)
        assert not database.promoted
        assert await task
        assert database.promoted == ["far"]

    run_change(database, scenario)


# LOST: a replica that leaves counts for acknowledgements until it ends.
def test_a_leaving_replica_is_asked_and_its_successor_has_its_log(monkeypatch):
    database = FakeDatabase(
        monkeypatch,
        p=FakeEndpoint(number=100, mode="silent", role="primary"),
        near=FakeEndpoint(number=100),
        far=FakeEndpoint(number=91),
    )

    async def scenario(controller, board):
        leaving = make_registered("near", leaving=True)
        board.replace_endpoints({**board.endpoints, "near": leaving}, 0.0)
        assert await controller._change("db", ASSIGNED, "unreachable")
        assert database.promoted == ["near"]
        now = clocks.read_clock()
        successor = attrs.evolve(make_registered("next"), address=leaving.address)
        left = {n: e for n, e in board.endpoints.items() if n != "near"}
        board.replace_endpoints(left, now)
        assert board.list_missing("db", now) == ["near"]
        board.replace_endpoints({**left, "next": successor}, now)
        assert not board.list_missing("db", now)

    run_change(database, scenario)


# LOST: commits that were acknowledged between the choice and the primary's release.
def test_the_target_is_chosen_after_the_release(monkeypatch):
    database = FakeDatabase(
        monkeypatch,
        p=FakeEndpoint(number=100, role="primary"),
        near=FakeEndpoint(number=90),
        far=FakeEndpoint(number=91),
    )

    async def scenario(controller, board):
        async def release(name, version, planned):
            database.endpoints["near"].number = 100

        controller._wait_for_release = release
        assert await controller._change("db", ASSIGNED, "leaving")
        assert database.promoted == ["near"]

    run_change(database, scenario)


# LOST: a chosen replica that could not be promoted was passed over by the next change.
def test_a_resumed_change_does_not_pass_over_the_chosen_replica(monkeypatch):
    database = FakeDatabase(
        monkeypatch,
        p=FakeEndpoint(number=100, mode="silent", role="primary"),
        near=FakeEndpoint(number=100, refuses_promotion=True),
        far=FakeEndpoint(number=91),
    )
    entry = assignments.Assignment(endpoint="near", term=1, version=2, promoting=True)

    async def scenario(controller, board):
        database.endpoints["near"].mode = "silent"
        task = asyncio.create_task(controller._resume("db", entry))
        await asyncio.sleep(0.5)
        assert not database.promoted
        database.endpoints["near"].mode = "busy"
        database.endpoints["near"].refuses_promotion = False
        assert await task
        assert database.promoted == ["near"]

    run_change(database, scenario)


# A resumed change has no primary in its record; the old one is not promoted again.
def test_a_resumed_change_uses_the_end_of_the_old_primary(monkeypatch):
    database = FakeDatabase(
        monkeypatch,
        p=FakeEndpoint(number=100, role="primary"),
        near=FakeEndpoint(number=99, mode="silent"),
        far=FakeEndpoint(number=91),
    )
    entry = assignments.Assignment(endpoint="near", term=1, version=2, promoting=True)

    async def scenario(controller, board):
        database.endpoints["near"].refuses_promotion = True
        task = asyncio.create_task(controller._resume("db", entry))
        await asyncio.sleep(0.3)
        assert not database.promoted
        database.endpoints["far"].number = 100
        assert await task
        assert database.promoted == ["far"]

    run_change(database, scenario)


# Without synchronous replicas nothing is waited for.
def test_an_asynchronous_database_is_promoted_at_once(monkeypatch):
    database = FakeDatabase(
        monkeypatch,
        p=FakeEndpoint(number=100, mode="silent", role="primary"),
        near=FakeEndpoint(number=100, mode="silent"),
        far=FakeEndpoint(number=91),
    )

    async def scenario(controller, board):
        started = clocks.read_clock()
        assert await controller._change("db", ASSIGNED, "unreachable")
        assert database.promoted == ["far"]
        assert clocks.read_clock() - started < replication.STATUS_SECONDS / 2

    run_change(database, scenario, synchronous=0)


@hypothesis.given(
    received=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 9), strategies.sampled_from(["exact", "busy", ""])
        ),
        min_size=1,
        max_size=5,
    ),
    synchronous=strategies.integers(1, 3),
    primary_lag=strategies.none() | strategies.integers(0, 2),
)
def test_a_complete_replica_has_every_acknowledged_commit(
    received, synchronous, primary_lag
):
    """A commit is acknowledged if enough replicas have it, whichever they are."""
    numbers = sorted((number for number, _ in received), reverse=True)
    acknowledged = numbers[synchronous - 1] if len(numbers) >= synchronous else 0
    ends = {}
    for name, (number, mode) in enumerate(received):
        lower = number if mode == "exact" else max(0, number - 1)
        end = durability.LogEnd(
            position=statements.LogPosition(1, lower), exact=mode == "exact"
        )
        ends[str(name)] = end if mode else None
    primary_end = None
    if primary_lag is not None:
        primary_end = statements.LogPosition(1, numbers[0] + primary_lag)
    complete = durability.find_complete(
        {**ends, "p": None}, synchronous, primary="p", primary_end=primary_end
    )
    assert all(received[int(name)][0] >= acknowledged for name in complete)
    if all(mode == "exact" for _, mode in received):
        assert complete


# STALE: while the store did not answer, a registry from before a promotion was taken
# for the report of the new primary, which was replaced, and so was each next one.
@pytest.mark.parametrize("mode", ["exact", "busy"])
def test_a_primary_that_leads_is_not_replaced_because_of_an_old_registry(
    monkeypatch, mode
):
    database = FakeDatabase(
        monkeypatch,
        p=FakeEndpoint(number=1, role="primary", mode=mode),
        near=FakeEndpoint(number=1),
    )

    async def scenario(controller, board):
        assert not await controller._change("db", ASSIGNED, suspicion.DEMOTED)
        assert not database.promoted
        assert not controller.coordinator.revoked
        database.endpoints["p"].role = "replica"
        assert await controller._change("db", ASSIGNED, suspicion.DEMOTED)
        assert database.promoted == ["near"]

    run_change(database, scenario)


def test_reports_before_an_assignment_do_not_demote_its_primary(monkeypatch):
    monkeypatch.setattr(change, "DEMOTED_SECONDS", 0.1)
    database = FakeDatabase(
        monkeypatch, p=FakeEndpoint(number=1), near=FakeEndpoint(number=1)
    )

    async def scenario(controller, board):
        near = board.endpoints["near"]
        now = clocks.read_clock()
        assert not controller._is_demoted("db", 2, near, now)
        assert controller._is_demoted("db", 2, near, now + 0.2)
        assert not controller._is_demoted("db", 3, near, now + 0.2)
        assert controller._is_demoted("db", 3, near, now + 0.4)

    run_change(database, scenario)
