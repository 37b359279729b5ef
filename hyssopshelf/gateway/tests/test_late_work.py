"""Tests of work that reaches its holder after the entry node has given it up."""

import asyncio
import time

import attrs
import pytest

from hyssopshelf import clocks, exceptions
from hyssopshelf.gateway import connection_pools, forward_messages, forwarded_steps
from hyssopshelf.gateway.tests import test_forwarding, test_restarted_entry


async def forward(holder, answers, message, waited: float = 0.0):
    """Forward a message that may have waited for a time; return its answer."""
    waited_since = clocks.read_clock() - waited
    holder.receive_forward(message, "entry", "entry:1", waited_since)
    return await test_forwarding.wait_for_answer(answers)


# Guards against a write in doubt that runs after a later one of its session, when its
# holder resumes; the second message finds the connection of its transaction free.
@pytest.mark.parametrize("step", [1, 2])
@pytest.mark.parametrize("waited", [0.81, 5.0])
def test_a_write_that_waited_beyond_its_deadline_is_not_sent(monkeypatch, step, waited):
    async def scenario():
        holder, answers, opened = test_restarted_entry.make_holder(monkeypatch)
        if step == 2:
            await forward(holder, answers, test_forwarding.make_write())
            await asyncio.sleep(0)
            answers.clear()
        started = []
        monkeypatch.setattr(holder.gateway, "start_write", lambda *_: started.append(1))
        message = attrs.evolve(test_forwarding.make_write(), step=step)
        answer = await forward(holder, answers, message, waited)
        assert answer.failure == forwarded_steps.PAUSED_REASON and not answer.sent
        assert not started and not holder._pinned
        assert all(connection.closed for connection in opened)

    asyncio.run(scenario())


# Guards against a write in doubt of a holder that was paused when it had a connection.
def test_a_write_whose_deadline_passed_before_it_was_sent_is_not_sent(monkeypatch):
    async def scenario():
        holder, answers, _ = test_restarted_entry.make_holder(monkeypatch)
        acquire = holder.gateway.acquire_from

        async def pause(*arguments, **options):
            checkout = await acquire(*arguments, **options)
            time.sleep(0.3)
            return checkout

        holder.gateway.acquire_from = pause
        message = attrs.evolve(test_forwarding.make_write(), remaining=0.2)
        answer = await forward(holder, answers, message)
        assert answer.reason == connection_pools.LATE_REASON

    asyncio.run(scenario())


# Guards against reads and new work that a short wait makes fail.
@pytest.mark.parametrize(("version", "waited"), [(1, 0.3), (0, 5.0)])
def test_work_in_time_and_reads_at_replicas_run(monkeypatch, version, waited):
    async def scenario():
        holder, answers, _ = test_restarted_entry.make_holder(monkeypatch)
        message = attrs.evolve(test_forwarding.make_write(), version=version)
        answer = await forward(holder, answers, message, waited)
        assert not answer.failure and not answer.error

    asyncio.run(scenario())


# Guards against more messages to an overloaded holder, which a retry would cause.
def test_an_overload_is_told_to_work_that_has_waited(monkeypatch):
    async def scenario():
        holder, answers, _ = test_restarted_entry.make_holder(monkeypatch)
        kind = exceptions.ErrorKind.REFUSED

        def refuse(*arguments, **options):
            raise connection_pools.RefusalError(kind, "queue is full")

        holder.gateway.acquire_from = refuse
        answer = await forward(holder, answers, test_forwarding.make_write(), 0.3)
        assert answer.error == kind.value and not answer.failure

    asyncio.run(scenario())


# Guards against a write in doubt that runs as its Cancel took a newer connection.
def test_work_whose_cancel_came_first_does_not_run(monkeypatch):
    async def scenario():
        holder, answers, opened = test_restarted_entry.make_holder(monkeypatch)
        holder.receive_cancel(forward_messages.Cancel(unit=1), "entry")
        answer = await forward(holder, answers, test_forwarding.make_write(1))
        assert answer.failure == forwarded_steps.CANCELLED_REASON and not answer.sent
        assert not opened
        answers.clear()
        assert not (await forward(holder, answers, test_forwarding.make_write(2))).error

    asyncio.run(scenario())


def test_cancelled_units_are_forgotten():
    """Guards against a memory that grows with each Cancel."""
    cancelled = forwarded_steps.CancelledUnits()
    for unit in range(forwarded_steps.MAXIMUM_CANCELLED + 1):
        cancelled.add(("entry", unit), 0.0)
    assert ("entry", 0) not in cancelled and ("entry", 1) in cancelled
    cancelled.add(("entry", -1), forwarded_steps.CANCELLED_SECONDS)
    assert ("entry", 1) not in cancelled and ("entry", -1) in cancelled
