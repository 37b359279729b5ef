"""Tests of operations that wait for a token of their customer's limit."""

import asyncio

from hyssopshelf import clocks, exceptions
from hyssopshelf.customers import directory, limits
from hyssopshelf.gateway import allowances, forward_messages, shutdown
from hyssopshelf.gateway.tests import test_forwarding

MILL = directory.Customer(name="mill", rate=100.0, burst=100.0)

UNAVAILABLE = exceptions.ErrorKind.UNAVAILABLE


def make_allowances(monkeypatch, *, keeper: bool):
    """Return the allowances of a host and what it asks a keeper, if it has one."""
    forwarder, _ = test_forwarding.make_holder(monkeypatch, 0.0)
    if keeper:
        forwarder.holders = {"one": [("keeper", "keeper:1")]}
    asked = []
    return allowances.Allowances(
        gateway=forwarder.gateway,
        host="entry",
        send=lambda host, address, message: asked.append(message),
        tolerance=limits.Tolerance(),
        find_coordinator=lambda: None,
        measure_silence=lambda: 0.0,
    ), asked


def grant(host_allowances, ask, count: int) -> None:
    host_allowances.receive_grant(
        forward_messages.GrantTokens(sequence=ask.sequence, granted=count, wait=0.0)
    )


# An operation waited for a token as long as the one that had asked for it.
def test_an_operation_waits_for_a_token_up_to_its_own_deadline(monkeypatch):
    async def scenario():
        host_allowances, _ = make_allowances(monkeypatch, keeper=False)
        started = clocks.read_clock()
        first = asyncio.create_task(host_allowances.take(MILL, 0, started + 1.5))
        await asyncio.sleep(0.01)
        assert await host_allowances.take(MILL, 0, started + 0.1) is UNAVAILABLE
        assert clocks.read_clock() - started < 0.5
        assert host_allowances.count_waiting() == 1
        first.cancel()

    asyncio.run(scenario())


def test_an_operation_that_was_given_up_uses_no_token(monkeypatch):
    async def scenario():
        host_allowances, asked = make_allowances(monkeypatch, keeper=True)
        deadline = clocks.read_clock() + 1.0
        tasks = [
            asyncio.create_task(host_allowances.take(MILL, 0, deadline))
            for _ in range(2)
        ]
        await asyncio.sleep(0.01)
        tasks[0].cancel()
        await asyncio.sleep(0.01)
        grant(host_allowances, asked[0], 1)
        assert await tasks[1] is None

    asyncio.run(scenario())


# Work started after the time at which a stopping node lets no more of it start.
def test_a_token_that_comes_too_late_in_a_stop_lets_nothing_start(monkeypatch):
    async def scenario():
        host_allowances, asked = make_allowances(monkeypatch, keeper=True)
        now = clocks.read_clock()
        task = asyncio.create_task(host_allowances.take(MILL, 0, now + 1.0))
        await asyncio.sleep(0.01)
        host_allowances.gateway.stop = shutdown.StopSchedule(
            started_at=now,
            close_quiet_at=now,
            last_start_at=now,
            answer_by=now + 1,
            exit_at=now + 1,
        )
        grant(host_allowances, asked[0], 5)
        assert await task is UNAVAILABLE

    asyncio.run(scenario())
