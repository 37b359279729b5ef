"""Tests of the common limit on the buffers of client connections."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from hyssopshelf.gateway import (
    blackboard,
    client_connections,
    gateway,
    memory,
    server,
)

LIMIT_BYTES = 40 * 1024 * 1024
"""Limit on the smallest known host, which has 200 MiB."""


class FakeTransport:
    """Transport of a client that never reads."""

    def __init__(self) -> None:
        self.unsent = 0
        self.closed = False

    def get_extra_info(self, _):
        return self

    def setsockopt(self, *_) -> None:
        return

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def write(self, data: bytes) -> None:
        self.unsent += len(data)

    def abort(self) -> None:
        self.closed = True

    close = write_eof = abort


class FakeCodec:
    """Accepts messages of at most 1 MiB."""

    maximum_bytes = 1024 * 1024


def connect(listener) -> tuple[client_connections.ClientConnection, FakeTransport]:
    transport = FakeTransport()
    connection = client_connections.ClientConnection(server=listener)
    connection.connection_made(transport)
    return connection, transport


@given(
    st.lists(
        st.tuples(st.integers(0, 9), st.integers(0, 3 * memory.UNCOUNTED_BYTES)),
        max_size=80,
    )
)
def test_the_total_matches_and_stays_within_the_limit(updates):
    budget = memory.BufferBudget(limit=5 * memory.UNCOUNTED_BYTES)
    expected = {}
    for connection, count in updates:
        expected[connection] = count if count > memory.UNCOUNTED_BYTES else 0
        for closed in budget.update(connection, count):
            expected[closed] = 0
        assert budget.total == sum(expected.values())
        assert budget.total <= budget.limit


def test_half_sent_messages_of_many_clients_stay_within_the_limit():
    """Each client stays within its own limit, but their sum would exceed the common."""

    async def scenario():
        board = blackboard.GatewayBlackboard(place="a", region="r", regions={"a": "r"})
        listener = server.ClientServer(
            gateway=gateway.Gateway(board=board, endpoint_codec=None),
            codec=FakeCodec(),
            limit=LIMIT_BYTES,
        )
        well_behaved = [connect(listener) for _ in range(200)]
        unfinished = [connect(listener) for _ in range(300)]
        for connection, _ in well_behaved:
            connection.data_received(b"START db\r")
        for _ in range(12):
            for connection, transport in unfinished:
                if not transport.closed:
                    connection.data_received(b"x" * 64 * 1024)
                else:
                    connection.connection_lost(None)
            assert listener.budget.total <= LIMIT_BYTES
            buffered = sum(len(c._buffer) for c in listener.connections)
            assert buffered <= LIMIT_BYTES + 500 * memory.UNCOUNTED_BYTES
        assert not any(transport.closed for _, transport in well_behaved)
        for connection, _ in well_behaved + unfinished:
            connection.connection_lost(None)
        assert listener.budget.total == 0

    asyncio.run(scenario())


def test_the_limit_follows_the_host():
    assert memory.compute_limit(200) == LIMIT_BYTES
