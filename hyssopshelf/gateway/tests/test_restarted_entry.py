"""Tests of an entry node that is killed and starts again, and of its holders."""

import asyncio

import attrs

from hyssopshelf import clocks, envelopes
from hyssopshelf.gateway import (
    endpoint_connections,
    forward_messages,
    forwarding,
    remote_pools,
    session_state,
)
from hyssopshelf.gateway.tests import test_forwarding, test_retries


class OpenConnection(test_retries.FakeConnection):
    """A connection whose transaction stays open."""

    async def run(self, state, shape, build_message, deadline):
        reply = await super().run(state, shape, build_message, deadline)
        return attrs.evolve(reply, state=b"T")


class EntryNode:
    """Units of work of one process of an entry node, whose messages are kept."""

    def __init__(self, node_gateway) -> None:
        self.sent: list = []
        self.forwarder = forwarding.Forwarder(
            gateway=node_gateway,
            host="entry",
            send=lambda host, address, message: self.sent.append(message),
            reset=lambda address: None,
        )

    def start_statement(self, seconds: float = 0.5) -> asyncio.Task:
        """Send the first statement of a unit, a write at the primary ``one``."""
        remote = remote_pools.RemoteConnection(
            forwarder=self.forwarder,
            endpoint=self.forwarder.gateway.board.endpoints["one"],
            holder=("holder", "holder:1"),
            rank=0,
            version=1,
        )
        work = remote.run(
            session_state.SessionState(),
            None,
            lambda name: b"",
            clocks.read_clock() + seconds,
        )
        return asyncio.create_task(work)


def transmit(message):
    """Return a message as it arrives at another process."""
    envelope = envelopes.Envelope(host="h", address="h:1", message=message)
    return envelopes.decode(envelopes.encode(envelope)).message


def make_holder(monkeypatch):
    """Return a holder with answers that it sends and connections that it opened."""
    forwarder, answers = test_forwarding.make_holder(monkeypatch, 0.0)
    opened = []

    async def open_connection(endpoint, codec, seconds, customer=""):
        opened.append(OpenConnection(endpoint=endpoint, answer_after=0.0))
        return opened[-1]

    monkeypatch.setattr(endpoint_connections, "open_connection", open_connection)
    test_retries.grant_primary(forwarder.gateway, "one", 1)
    return forwarder, answers, opened


# PINNED: statements of a restarted entry node ran in transactions that its former
# process had left open at a holder (review/1).
def test_a_restarted_entry_node_uses_no_transaction_of_its_former_process(monkeypatch):
    async def scenario():
        holder, answers, opened = make_holder(monkeypatch)
        for started in (1, 2):
            entry = EntryNode(holder.gateway)
            task = entry.start_statement()
            await asyncio.sleep(0.01)
            holder.receive_forward(transmit(entry.sent[0]), "entry", "entry:1")
            async with asyncio.timeout(1.0):
                while len(answers) < started:
                    await asyncio.sleep(0.005)
            task.cancel()
            assert len(opened) == started
            await asyncio.sleep(0.15)

    asyncio.run(scenario())


# Connections of dead transactions were kept for eight seconds, while work waited.
def test_a_holder_ends_transactions_when_their_entry_node_was_restarted(monkeypatch):
    async def scenario():
        holder, _, opened = make_holder(monkeypatch)
        for host in ("entry", "other", "entry"):
            entry = EntryNode(holder.gateway)
            task = entry.start_statement()
            await asyncio.sleep(0.15)
            holder.receive_forward(transmit(entry.sent[0]), host, f"{host}:1")
            await asyncio.sleep(0.02)
            task.cancel()
        assert [connection.closed for connection in opened] == [True, False, False]

    asyncio.run(scenario())


# The first answers to a restarted entry node waited for an attempt of the
# connection to its former process.
def test_a_restarted_entry_node_is_answered_over_a_new_connection(monkeypatch):
    async def scenario():
        holder, _, _ = make_holder(monkeypatch)
        resets = []
        holder.reset = resets.append
        entry = EntryNode(holder.gateway)
        for _ in range(2):
            task = entry.start_statement()
            await asyncio.sleep(0)
            holder.receive_forward(transmit(entry.sent[-1]), "entry", "entry:1")
            task.cancel()
        assert resets == []
        await asyncio.sleep(0.15)
        successor = EntryNode(holder.gateway)
        task = successor.start_statement()
        await asyncio.sleep(0)
        holder.receive_forward(transmit(successor.sent[0]), "entry", "entry:1")
        task.cancel()
        assert resets == ["entry:1"]

    asyncio.run(scenario())


# MIXED: an answer to a killed process reached a client of its successor (review/4).
def test_an_answer_to_a_former_process_is_no_answer(monkeypatch):
    async def scenario():
        holder, _, _ = make_holder(monkeypatch)
        former, successor = EntryNode(holder.gateway), EntryNode(holder.gateway)
        tasks = [former.start_statement(), successor.start_statement()]
        await asyncio.sleep(0.01)
        foreign = forward_messages.Forwarded(
            unit=former.sent[0].unit, step=former.sent[0].step, rows=[b"foreign"]
        )
        own = forward_messages.Forwarded(
            unit=successor.sent[0].unit, step=successor.sent[0].step, rows=[b"own"]
        )
        for answer in (foreign, own):
            successor.forwarder.receive_forwarded(transmit(answer))
        reply = await tasks[1]
        assert reply.rows == [b"own"]
        tasks[0].cancel()

    asyncio.run(scenario())
