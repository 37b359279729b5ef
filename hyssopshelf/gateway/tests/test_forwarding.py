"""Tests of hosts that run work for others while their primary is replaced."""

import asyncio

import attrs

from hyssopshelf import clocks, exceptions
from hyssopshelf.gateway import (
    blackboard,
    connection_pools,
    endpoint_connections,
    execution,
    forward_messages,
    forwarding,
    remote_pools,
    session_state,
)
from hyssopshelf.gateway.tests import test_retries


def make_holder(monkeypatch, answer_after):
    """Return a holder of the endpoint ``one`` and the answers that it sends."""
    endpoints = test_retries.FakeEndpoints({"one": answer_after, "two": answer_after})
    monkeypatch.setattr(
        endpoint_connections, "open_connection", endpoints.open_connection
    )
    node_gateway = test_retries.make_gateway()
    answers = []
    forwarder = forwarding.Forwarder(
        gateway=node_gateway,
        host="holder",
        send=lambda host, address, message: answers.append(message),
        reset=lambda address: None,
    )
    node_gateway.forwarder = forwarder
    return forwarder, answers


def make_write(unit: int = 1) -> forward_messages.Forward:
    return forward_messages.Forward(
        unit=unit,
        step=1,
        endpoint="one",
        database="db",
        rank=0,
        version=1,
        remaining=0.8,
        values=[],
        shape=None,
        head=b"",
        tail=b"",
    )


async def wait_for_answer(answers: list) -> forward_messages.Forwarded:
    async with asyncio.timeout(2.0):
        while not answers:
            await asyncio.sleep(0.005)
    return answers[0]


def test_a_write_without_a_direct_grant_is_not_sent(monkeypatch):
    async def scenario():
        forwarder, answers = make_holder(monkeypatch, 0.01)
        now = clocks.read_clock()
        forwarder.gateway.board.primary_grants["db"] = blackboard.PrimaryGrant(
            endpoint="one", term=1, version=1, valid_until=now + 9, direct_until=now
        )
        forwarder.receive_forward(make_write(), "entry", "entry:1")
        answer = await wait_for_answer(answers)
        assert (answer.failure, answer.sent) == (remote_pools.NOT_PRIMARY_REASON, False)

    asyncio.run(scenario())


def test_a_write_whose_grant_ended_before_its_answer_is_unknown(monkeypatch):
    """The entry node has no grant of its own that would tell it."""

    async def scenario():
        forwarder, answers = make_holder(monkeypatch, 0.2)
        test_retries.grant_primary(forwarder.gateway, "one", 1)
        forwarder.receive_forward(make_write(), "entry", "entry:1")
        await asyncio.sleep(0.1)
        assert forwarder.gateway.has_open_writes("db", 1)
        del forwarder.gateway.board.primary_grants["db"]
        answer = await wait_for_answer(answers)
        assert (answer.failure, answer.sent) == (remote_pools.NOT_PRIMARY_REASON, True)
        assert not forwarder.gateway.has_open_writes("db", 1)

    asyncio.run(scenario())


def test_a_refusal_names_the_holder_and_its_reason(monkeypatch):
    """Guards against a refused request whose cause no log tells."""

    async def scenario():
        forwarder, answers = make_holder(monkeypatch, 0.01)
        written = []
        monkeypatch.setattr(
            forwarding.logs,
            "write_request",
            lambda event, fields: written.append(fields),
        )
        test_retries.grant_primary(forwarder.gateway, "one", 1)

        async def refuse(*_, **__):
            raise connection_pools.RefusalError(
                exceptions.ErrorKind.REFUSED, "queue of the rank is full"
            )

        forwarder.gateway.acquire_from = refuse
        forwarder.receive_forward(make_write(unit=7), "entry", "entry:1")
        answer = await wait_for_answer(answers)
        assert answer.reason == "queue of the rank is full"
        assert written[0]["entry"] == "entry" and written[0]["unit"] == 7
        remote = remote_pools.RemoteConnection(
            forwarder=forwarder,
            endpoint=forwarder.gateway.board.endpoints["one"],
            holder=("holder", "holder:1"),
            rank=0,
            version=1,
        )
        forwarder.send = lambda host, address, message: (
            forwarder.receive_forwarded(
                attrs.evolve(answer, unit=message.unit, step=message.step)
            )
        )
        reply = await remote.run(
            session_state.SessionState(),
            None,
            lambda name: b"",
            clocks.read_clock() + 1.0,
        )
        assert execution.describe_error(reply, None) == (
            f"refused (queue of the rank is full (holder holder, unit {remote.unit}))"
        )

    asyncio.run(scenario())


def test_an_unexpected_error_of_forwarded_work_is_answered(monkeypatch):
    """Guards against an entry node that waits for an answer until its deadline."""

    async def scenario():
        forwarder, answers = make_holder(monkeypatch, 0.01)
        test_retries.grant_primary(forwarder.gateway, "one", 1)

        async def fail(*_, **__):
            raise KeyError("defect")

        forwarder.gateway.acquire_from = fail
        forwarder.receive_forward(make_write(), "entry", "entry:1")
        answer = await wait_for_answer(answers)
        assert answer.failure and answer.sent

    asyncio.run(scenario())


# A write that had waited at its holder up to its deadline, and was never sent, was
# answered as one that may have run.
def test_work_that_did_not_start_in_time_is_refused_before_the_entry_gives_up(
    monkeypatch,
):
    monkeypatch.setattr(connection_pools, "EXPIRY_INTERVAL_SECONDS", 60.0)

    async def scenario():
        forwarder, answers = make_holder(monkeypatch, 3.0)
        test_retries.grant_primary(forwarder.gateway, "one", 1)
        forwarder.receive_forward(
            attrs.evolve(make_write(unit=1), remaining=4.0), "entry", "entry:1"
        )
        await asyncio.sleep(0.05)
        message = attrs.evolve(make_write(unit=2), remaining=0.2)
        forwarder.receive_forward(message, "entry", "entry:1")
        answer = await wait_for_answer(answers)
        assert (answer.unit, answer.error) == (2, exceptions.ErrorKind.REFUSED.value)
        assert answer.reason == "cannot start before its deadline"
        pool = forwarder.gateway.connection_pools["one"]
        assert pool.queue.waiting == 0 and pool.pending_checkouts == 0

    asyncio.run(scenario())
