"""Tests of forwarded work while its holder or its entry node stops."""

import asyncio

import attrs
import pytest

from hyssopshelf import clocks
from hyssopshelf.gateway import (
    endpoint_connections,
    forward_messages,
    remote_pools,
    session_state,
    sessions,
    shutdown,
    statements,
)
from hyssopshelf.gateway.tests import (
    test_forwarding,
    test_restarted_entry,
    test_retries,
)

LATE = shutdown.StopSchedule(
    started_at=0.0,
    close_quiet_at=0.0,
    last_start_at=0.0,
    answer_by=float("inf"),
    exit_at=float("inf"),
)
"""A stop so far advanced that no work starts any more."""

PAST = attrs.evolve(LATE, answer_by=0.0)
"""A stop so far advanced that all work has to be answered."""


def start_stop(seconds: float) -> shutdown.StopSchedule:
    """Return a stop whose answers are due in a number of seconds."""
    now = clocks.read_clock()
    return shutdown.StopSchedule(
        started_at=now,
        close_quiet_at=now,
        last_start_at=now + seconds,
        answer_by=now + seconds,
        exit_at=now + seconds,
    )


def connect(entry, *holders) -> None:
    """Pass messages between an entry node and holders, by name, at once."""
    nodes = dict(holders)
    entry.forwarder.holders = {"one": [(name, f"{name}:1") for name in nodes]}

    def send(host, address, message):
        entry.sent.append((host, message))
        message = test_restarted_entry.transmit(message)
        if isinstance(message, forward_messages.Cancel):
            nodes[host].receive_cancel(message, "entry")
        else:
            nodes[host].receive_forward(message, "entry", "entry:1")

    entry.forwarder.send = send
    for holder in nodes.values():
        holder.send = lambda host, address, message: entry.forwarder.receive_forwarded(
            test_restarted_entry.transmit(message)
        )


def start_unit(entry, holder: str = "holder") -> remote_pools.RemoteConnection:
    return remote_pools.RemoteConnection(
        forwarder=entry.forwarder,
        endpoint=entry.forwarder.gateway.board.endpoints["one"],
        holder=(holder, f"{holder}:1"),
        rank=0,
        version=1,
    )


async def run_step(remote, seconds: float = 0.5):
    return await remote.run(
        session_state.SessionState(),
        None,
        lambda name: b"",
        clocks.read_clock() + seconds,
    )


# A stopping holder ran new work of other nodes up to the exit, which cut it off.
def test_a_stopping_holder_refuses_new_work_at_once(monkeypatch):
    async def scenario():
        holder, answers, opened = test_restarted_entry.make_holder(monkeypatch)
        holder.gateway.stop = LATE
        holder.receive_forward(test_forwarding.make_write(), "entry", "entry:1")
        assert [(a.failure, a.sent) for a in answers] == [
            (remote_pools.STOPPING_REASON, False)
        ]
        await asyncio.sleep(0.01)
        assert not opened

    asyncio.run(scenario())


# Work that a stopping holder had refused failed, or was sent to the same one again.
def test_work_that_a_stopping_holder_refuses_runs_at_another(monkeypatch):
    async def scenario():
        stopping, _, _ = test_restarted_entry.make_holder(monkeypatch)
        other, _, opened = test_restarted_entry.make_holder(monkeypatch)
        stopping.gateway.stop = LATE
        entry = test_restarted_entry.EntryNode(other.gateway)
        connect(entry, ("stopping", stopping), ("other", other))
        reply = await run_step(start_unit(entry, "stopping"))
        assert reply.error is None and len(opened) == 1
        assert [host for host, _ in entry.sent] == ["stopping", "other"]
        assert entry.sent[0][1].unit != entry.sent[1][1].unit
        chosen = {entry.forwarder.choose_holder("one") for _ in range(4)}
        assert chosen == {("other", "other:1")}

    asyncio.run(scenario())


def test_work_fails_as_not_sent_if_all_holders_are_stopping(monkeypatch):
    async def scenario():
        holder, _, _ = test_restarted_entry.make_holder(monkeypatch)
        holder.gateway.stop = LATE
        entry = test_restarted_entry.EntryNode(holder.gateway)
        connect(entry, ("holder", holder))
        with pytest.raises(endpoint_connections.EndpointConnectionError) as caught:
            await run_step(start_unit(entry))
        assert (caught.value.sent, caught.value.endpoint_fault) == (False, False)
        assert len(entry.sent) == 1

    asyncio.run(scenario())


# The next statement of a transaction waited for the answer of a process that had ended.
@pytest.mark.parametrize("told_by", ["the end of the transaction", "a refusal"])
def test_a_transaction_at_a_stopping_holder_fails_at_once(monkeypatch, told_by):
    async def scenario():
        holder, _, opened = test_restarted_entry.make_holder(monkeypatch)
        entry = test_restarted_entry.EntryNode(holder.gateway)
        connect(entry, ("holder", holder))
        remote = start_unit(entry)
        await run_step(remote)
        assert remote.pinned and holder.is_working()
        await asyncio.sleep(0.01)
        holder.gateway.stop = LATE
        if told_by == "the end of the transaction":
            holder.advance_stop(clocks.read_clock())
            assert opened[0].closed
        started = clocks.read_clock()
        with pytest.raises(endpoint_connections.EndpointConnectionError) as caught:
            await run_step(remote)
        assert clocks.read_clock() - started < 0.2
        assert not caught.value.sent and remote.closed and opened[0].closed
        assert not entry.forwarder._units and not holder._pinned

    asyncio.run(scenario())


def test_the_end_of_a_transaction_may_arrive_together_with_an_answer(monkeypatch):
    async def scenario():
        holder, _, _ = test_restarted_entry.make_holder(monkeypatch)
        entry = test_restarted_entry.EntryNode(holder.gateway)
        remote = start_unit(entry)
        task = asyncio.create_task(run_step(remote))
        await asyncio.sleep(0)
        for answer in (
            forward_messages.Forwarded(unit=remote.unit, step=1, state=b"T"),
            forward_messages.Forwarded(
                unit=remote.unit,
                step=1,
                failure=remote_pools.STOPPING_REASON,
                sent=False,
            ),
        ):
            entry.forwarder.receive_forwarded(answer)
        assert (await task).state == b"T"
        with pytest.raises(endpoint_connections.EndpointConnectionError) as caught:
            await run_step(remote)
        assert not caught.value.sent and len(entry.sent) == 1

    asyncio.run(scenario())


def test_the_end_of_a_transaction_answers_a_statement_on_its_way(monkeypatch):
    async def scenario():
        holder, _, _ = test_restarted_entry.make_holder(monkeypatch)
        entry = test_restarted_entry.EntryNode(holder.gateway)
        remote = start_unit(entry)
        remote.step = 1
        task = asyncio.create_task(run_step(remote))
        await asyncio.sleep(0)
        entry.forwarder.receive_forwarded(
            forward_messages.Forwarded(
                unit=remote.unit,
                step=1,
                failure=remote_pools.STOPPING_REASON,
                sent=False,
            )
        )
        with pytest.raises(endpoint_connections.EndpointConnectionError) as caught:
            await task
        assert not caught.value.sent

    asyncio.run(scenario())


# Work that an endpoint was still busy with ended with its holder, without an answer.
def test_a_stopping_holder_answers_running_and_waiting_work(monkeypatch):
    async def scenario():
        holder, answers = test_forwarding.make_holder(monkeypatch, None)
        test_forwarding.test_retries.grant_primary(holder.gateway, "one", 1)
        for unit in (1, 2):
            message = test_forwarding.make_write(unit)
            holder.receive_forward(message, "entry", "entry:1")
        await asyncio.sleep(0.05)
        holder.gateway.stop = LATE
        holder.advance_stop(clocks.read_clock())
        await asyncio.sleep(0.05)
        stopping = remote_pools.STOPPING_REASON
        assert [(a.unit, a.failure, a.sent) for a in answers] == [(2, stopping, False)]
        holder.gateway.stop = PAST
        holder.advance_stop(clocks.read_clock())
        await asyncio.sleep(0.05)
        assert [(a.unit, a.failure, a.sent) for a in answers[1:]] == [
            (1, stopping, True)
        ]
        assert not holder._running and not holder._pinned
        assert not holder.gateway.open_writes

    asyncio.run(scenario())


# A statement with a late deadline was still running when its holder ended.
def test_the_deadline_of_forwarded_work_is_before_the_end_of_its_holder(monkeypatch):
    async def scenario():
        holder, answers = test_forwarding.make_holder(monkeypatch, None)
        test_forwarding.test_retries.grant_primary(holder.gateway, "one", 1)
        holder.gateway.stop = schedule = start_stop(0.2)
        holder.receive_forward(test_forwarding.make_write(), "entry", "entry:1")
        answer = await test_forwarding.wait_for_answer(answers)
        assert answer.sent and clocks.read_clock() < schedule.answer_by + 0.2

    asyncio.run(scenario())


# A holder without work ended while a message of an entry node was on its way.
def test_a_holder_that_got_work_just_now_expects_more(monkeypatch):
    async def scenario():
        holder, answers = test_forwarding.make_holder(monkeypatch, 0.0)
        test_forwarding.test_retries.grant_primary(holder.gateway, "one", 1)
        assert not holder.is_working()
        holder.receive_forward(test_forwarding.make_write(), "entry", "entry:1")
        await test_forwarding.wait_for_answer(answers)
        await asyncio.sleep(0.01)
        assert not holder._running and holder.is_working()
        later = clocks.read_clock() + 1.0
        monkeypatch.setattr(clocks, "read_clock", lambda: later)
        assert not holder.is_working()

    asyncio.run(scenario())


# Holders kept the transactions of an entry node that had stopped for eight seconds.
def test_an_entry_node_that_stops_ends_its_units_at_their_holders(monkeypatch):
    async def scenario():
        holder, _, opened = test_restarted_entry.make_holder(monkeypatch)
        entry = test_restarted_entry.EntryNode(holder.gateway)
        connect(entry, ("holder", holder))
        remote = start_unit(entry)
        await run_step(remote)
        assert not opened[0].closed
        entry.forwarder.cancel_units()
        assert opened[0].closed and not holder._pinned
        assert not entry.forwarder._units

    asyncio.run(scenario())


class SilentConnection(test_retries.FakeConnection):
    """Never answers, and closes when it is given up, as a real connection does."""

    async def run(self, state, shape, build_message, deadline):
        try:
            await asyncio.Event().wait()
        finally:
            self.close()


def test_a_read_that_a_stop_interrupts_frees_its_slot_at_the_holder(monkeypatch):
    """Guards against other nodes' work that waits for a read nobody waits for."""

    async def scenario():
        holder, _, opened = test_restarted_entry.make_holder(monkeypatch)

        async def open_connection(endpoint, codec, seconds, customer=""):
            connection_class = (
                test_retries.FakeConnection if opened else SilentConnection
            )
            opened.append(connection_class(endpoint=endpoint, answer_after=0.0))
            return opened[-1]

        monkeypatch.setattr(endpoint_connections, "open_connection", open_connection)
        entry = test_restarted_entry.EntryNode(test_retries.make_gateway())
        connect(entry, ("holder", holder))
        node_gateway = entry.forwarder.gateway
        node_gateway.forwarder = entry.forwarder
        test_retries.grant_primary(node_gateway, "one", 1)
        configuration = node_gateway.board.configuration
        route = attrs.evolve(configuration.routes["db"], statement_seconds=5.0)
        node_gateway.board.configuration = attrs.evolve(
            configuration, routes={"db": route}
        )
        session = sessions.Session(gateway=node_gateway, name="db")
        read = statements.Access(writes=False)
        with pytest.raises(TimeoutError):
            # As ClientConnection interrupts it; with an attempt and its hedge open.
            async with asyncio.timeout(0.3):
                await session.answer(
                    statements.Request(id=b"1", text=b"", statement=read)
                )
        assert len(entry.sent) > 1
        await asyncio.sleep(0.02)
        assert (await run_step(start_unit(entry), 1.5)).error is None

    asyncio.run(scenario())
