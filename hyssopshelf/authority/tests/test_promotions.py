"""Tests of calls to promote that get no answer and may be carried out late."""

import asyncio

import attrs
import pytest
import result

from hyssopshelf import clocks
from hyssopshelf.authority import assignments, promotions, timing
from hyssopshelf.authority.tests import restorable_fleet, test_durability

PROMOTING = assignments.Assignment(endpoint="near", term=1, version=2, promoting=True)


class LatePlatform(test_durability.FakeDatabase):
    """Carries out calls late and without an answer, as long as ``late_seconds`` is set.

    Attributes
    ----------
    lost : int
        Number of the next calls that are carried out at once and not answered.
    """

    def __init__(self, monkeypatch, **endpoints) -> None:
        super().__init__(monkeypatch, **endpoints)
        self.late_seconds = 0.0
        self.lost = 0
        self.pending: list[asyncio.Task] = []
        self.led_by = ""

    async def promote(self, database, endpoint, epoch, seconds):
        failure = result.Err(restorable_fleet.Failure(status=599))
        if self.late_seconds:
            work = self.promote_late(endpoint, self.late_seconds)
            self.pending.append(asyncio.create_task(work))
            await asyncio.sleep(seconds)
            return failure
        answer = await super().promote(database, endpoint, epoch, seconds)
        if answer.is_ok():
            self.lead(endpoint)
        if self.lost:
            self.lost -= 1
            return failure
        return answer

    async def promote_late(self, endpoint: str, seconds: float) -> None:
        await asyncio.sleep(seconds)
        if not self.endpoints[endpoint].refuses_promotion:
            self.lead(endpoint)

    def lead(self, endpoint: str) -> None:
        self.led_by = endpoint
        for name, state in self.endpoints.items():
            state.role = "primary" if name == endpoint else "replica"
            state.term = 2


@pytest.fixture
def platform(monkeypatch):
    monkeypatch.setattr(promotions, "EFFECT_SECONDS", 0.3)
    monkeypatch.setattr(promotions, "CALL_TIMEOUT_SECONDS", 0.1)
    monkeypatch.setattr(promotions, "LATE_CALL_SECONDS", 0.8)
    return LatePlatform(
        monkeypatch,
        p=test_durability.FakeEndpoint(number=100, mode="silent", role="primary"),
        near=test_durability.FakeEndpoint(number=100),
        far=test_durability.FakeEndpoint(number=90),
    )


def run_change(platform, scenario) -> None:
    test_durability.run_change(platform, scenario, synchronous=0)


async def resume(controller) -> None:
    """Resume a change until it is complete, as the checks of the controller do."""
    async with asyncio.timeout(8.0):
        known = controller.local_member.assignments
        while (entry := known.databases["db"]).promoting:
            await controller._resume("db", entry)
            await asyncio.sleep(0.02)
            known = controller.local_member.assignments


# ONE: a call that was given up took effect after another endpoint had been promoted
# (review/6).
def test_no_other_endpoint_is_promoted_while_a_call_may_be_carried_out_late(platform):
    async def scenario(controller, board):
        known = controller.local_member.assignments
        controller.local_member.assignments = known.replace("db", PROMOTING)
        platform.late_seconds = 0.7
        task = asyncio.create_task(resume(controller))
        await restorable_fleet.wait_for(lambda: len(platform.pending) > 3)
        platform.late_seconds = 0.0
        await task
        await asyncio.gather(*platform.pending)
        assigned = controller.local_member.assignments.databases["db"]
        assert platform.led_by == assigned.endpoint == "near"

    run_change(platform, scenario)


# ONE: the same if the endpoint ends meanwhile and is started again later.
def test_an_endpoint_that_ends_is_replaced_once_its_calls_are_settled(platform):
    async def scenario(controller, board):
        known = controller.local_member.assignments
        controller.local_member.assignments = known.replace("db", PROMOTING)
        platform.late_seconds = 0.7
        task = asyncio.create_task(resume(controller))
        await restorable_fleet.wait_for(lambda: platform.pending)
        near = platform.endpoints["near"]
        near.refuses_promotion, platform.late_seconds = True, 0.0
        await asyncio.sleep(0.5)
        near.refuses_promotion = False
        near_board = board.endpoints.pop("near")
        await asyncio.gather(*platform.pending)
        assert not platform.promoted
        board.endpoints["near"] = near_board
        await task
        assigned = controller.local_member.assignments.databases["db"]
        assert platform.led_by == assigned.endpoint

    run_change(platform, scenario)


# ONE: the next coordinator does not know which calls of the former one got an answer.
@pytest.mark.parametrize("entry", [PROMOTING, attrs.evolve(PROMOTING, unsettled=True)])
def test_a_coordinator_waits_for_calls_of_the_former_one(platform, entry):
    async def scenario(controller, board):
        platform.endpoints["near"].refuses_promotion = True
        started = clocks.read_clock()
        controller.coordinator.grant_table.predecessor_ended_at = (
            started - timing.AUTHORITY_SECONDS
        )
        known = controller.local_member.assignments.replace("db", entry)
        controller.local_member.assignments = known
        controller.promoter.inherit(known.databases)
        await resume(controller)
        assert platform.promoted == ["far"]
        assert clocks.read_clock() - started > promotions.LATE_CALL_SECONDS

    run_change(platform, scenario)


# A promotion whose answer was lost is seen at the endpoint, without another call; it
# was the only one, so nothing can be carried out late.
def test_a_promotion_without_an_answer_is_observed(platform):
    async def scenario(controller, board):
        platform.lost = 1
        assert await controller._resume("db", PROMOTING)
        assert platform.promoted == ["near"]
        assert not controller.local_member.assignments.databases["db"].unsettled

    run_change(platform, scenario)


# ONE: an endpoint that leads was replaced while an earlier call could promote it again.
def test_a_primary_with_an_unsettled_call_is_replaced_later(platform):
    async def scenario(controller, board):
        platform.late_seconds = 0.7
        task = asyncio.create_task(controller._resume("db", PROMOTING))
        await restorable_fleet.wait_for(lambda: platform.pending)
        platform.late_seconds = 0.0
        assert await task
        assert platform.promoted == ["near"] and len(platform.pending) == 1
        assert controller.local_member.assignments.databases["db"].unsettled
        del board.endpoints["near"]
        started = clocks.read_clock()
        checked_at = await wait_for_check(controller)
        assert checked_at - started > promotions.LATE_CALL_SECONDS - 0.3
        await asyncio.gather(*platform.pending)
        assigned = controller.local_member.assignments.databases["db"]
        assert await controller._mark_settled("db", assigned)
        assert not controller.local_member.assignments.databases["db"].unsettled

    run_change(platform, scenario)


async def wait_for_check(controller) -> float:
    """Return the time at which the checks of the controller start a change."""
    checked_at = []
    controller._start_change = lambda database, work: (
        checked_at.append(clocks.read_clock()),
        work.close(),
    )
    async with asyncio.timeout(12.0):
        while not checked_at:
            controller._check_database("db", {}, clocks.read_clock())
            await asyncio.sleep(0.01)
    return checked_at[0]


# DRAIN: the coordinator was lost while it promoted an endpoint, which then left; the
# next one kept it for 8 s although the only call was seen to be over (review/13).
def test_a_promotion_of_the_former_coordinator_that_took_effect_is_settled(platform):
    async def scenario(controller, board):
        platform.lead("near")
        known = controller.local_member.assignments.replace("db", PROMOTING)
        controller.local_member.assignments = known
        table = controller.coordinator.grant_table
        table.predecessor_ended_at = clocks.read_clock()
        controller.promoter.inherit(known.databases)
        await resume(controller)
        assert not platform.promoted
        board.endpoints["near"] = test_durability.make_registered("near", leaving=True)
        started = clocks.read_clock()
        assert await wait_for_check(controller) - started < 0.3

    run_change(platform, scenario)


# ONE: a call of the former coordinator may follow the one that this one has made.
def test_calls_of_two_coordinators_are_not_settled_by_an_observation(platform):
    async def scenario(controller, board):
        platform.late_seconds = 0.7
        platform.pending.append(asyncio.create_task(platform.promote_late("near", 0.7)))
        platform.late_seconds = 0.0
        known = controller.local_member.assignments.replace("db", PROMOTING)
        controller.local_member.assignments = known
        table = controller.coordinator.grant_table
        table.predecessor_ended_at = clocks.read_clock() - timing.AUTHORITY_SECONDS
        controller.promoter.inherit(known.databases)
        await resume(controller)
        assert platform.promoted == ["near"]
        assert controller.local_member.assignments.databases["db"].unsettled
        stored = controller.coordinator.store.read_assignments()
        assert stored.databases["db"].unsettled
        board.endpoints["near"] = test_durability.make_registered("near", leaving=True)
        started = clocks.read_clock()
        checked_at = await wait_for_check(controller)
        assert checked_at - started > promotions.LATE_CALL_SECONDS - 0.3
        await asyncio.gather(*platform.pending)

    run_change(platform, scenario)


# A call was made for an endpoint that had left the registry while it was asked.
def test_an_endpoint_that_leaves_the_registry_when_it_is_asked_is_not_called(platform):
    async def scenario(controller, board):
        known = controller.local_member.assignments.replace("db", PROMOTING)
        controller.local_member.assignments = known
        table = controller.coordinator.grant_table
        table.predecessor_ended_at = clocks.read_clock()
        controller.promoter.inherit(known.databases)
        ask = controller.promoter._ask

        async def ask_and_remove(database, entry):
            status = await ask(database, entry)
            board.endpoints.pop("near", None)
            return status

        controller.promoter._ask = ask_and_remove
        assert not await controller._promote("db", PROMOTING)
        assert not platform.promoted

    run_change(platform, scenario)


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (409, promotions.Outcome.REFUSED),
        (429, promotions.Outcome.NOT_DONE),
        (promotions.NOT_SENT_STATUS, promotions.Outcome.NOT_DONE),
        (500, promotions.Outcome.UNKNOWN),
        (599, promotions.Outcome.UNKNOWN),
    ],
)
def test_only_an_answer_tells_that_a_call_was_not_carried_out(status, outcome):
    answer = result.Err(restorable_fleet.Failure(status=status))
    assert promotions.find_outcome(answer) is outcome
