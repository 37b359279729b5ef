"""Tests that an unexpected error does not end a process or go unnoticed."""

import asyncio

from hyssopshelf import background, logs
from hyssopshelf.authority.tests import test_large_fleet


def collect_events(monkeypatch) -> list:
    written = []
    monkeypatch.setattr(logs, "write", lambda event, fields: written.append(event))
    return written


def test_work_that_fails_is_logged_and_started_again(monkeypatch):
    written = collect_events(monkeypatch)
    runs = []

    async def work():
        runs.append(1)
        if len(runs) < 3:
            raise KeyError("defect")

    asyncio.run(background.run_repeatedly(work, 0.0))
    assert len(runs) == 3
    assert written == [logs.LogEvent.TASK_FAILED] * 2


def test_a_coordinator_whose_task_fails_gives_up_its_role(monkeypatch):
    """It kept renewing its lease, so that no other node took over."""
    written = collect_events(monkeypatch)

    async def scenario():
        local_coordinator = test_large_fleet.make_coordinator([])

        async def work():
            raise KeyError("defect")

        local_coordinator.run_in_background(work())
        await asyncio.sleep(0.01)
        assert not local_coordinator.active

    asyncio.run(scenario())
    assert written == [
        logs.LogEvent.TASK_FAILED,
        logs.LogEvent.COORDINATION_ENDED,
    ]


def test_cancelled_tasks_are_no_failures(monkeypatch):
    written = collect_events(monkeypatch)

    async def scenario():
        tasks = background.TaskSet()
        tasks.start(asyncio.sleep(10))
        await asyncio.sleep(0)
        tasks.cancel()
        await asyncio.sleep(0.01)

    asyncio.run(scenario())
    assert written == []
