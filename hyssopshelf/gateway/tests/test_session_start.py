"""Tests of sessions that clients open while a node is starting."""

import asyncio

from hyssopshelf import clocks
from hyssopshelf.gateway import (
    blackboard,
    catalog,
    client_connections,
    gateway,
    server,
)


class LineCodec:
    """Parses nothing but the name in START; replies are single words."""

    maximum_bytes = 1000

    def parse_start(self, line):
        return line.partition(b" ")[2]

    def format_refusal(self, kind, name):
        return kind.value.encode()

    def format_ready(self, state):
        return b"READY"


class FakeTransport:
    """Collects what is written."""

    def __init__(self) -> None:
        self.written = b""

    def write(self, data):
        self.written += data

    def get_write_buffer_size(self):
        return 0

    def write_eof(self):
        pass

    close = write_eof


def open_session(node_gateway) -> FakeTransport:
    clients = server.ClientServer(
        gateway=node_gateway, codec=LineCodec(), limit=1_000_000
    )
    connection = client_connections.ClientConnection(server=clients)
    connection._transport = FakeTransport()
    connection.data_received(b"START orders\r\n")
    return connection._transport


def make_configuration(*names: str) -> catalog.Configuration:
    routes = {
        name: catalog.Route(
            name=name,
            database="db",
            read_rule=catalog.ReadRule.PRIMARY,
            statement_seconds=1.0,
            objective_seconds=1.0,
            rank=0,
        )
        for name in names
    }
    return catalog.Configuration(
        version=1, routes=routes, connections={}, limits=catalog.Limits()
    )


def make_gateway() -> gateway.Gateway:
    board = blackboard.GatewayBlackboard(place="a", region="r", regions={})
    return gateway.Gateway(board=board, endpoint_codec=None)


def test_sessions_opened_before_the_first_configuration_wait_for_it():
    """After a power failure all clients reconnect while the nodes still start."""

    async def scenario():
        node_gateway = make_gateway()
        transports = [open_session(node_gateway) for _ in range(50)]
        await asyncio.sleep(0.1)
        assert all(transport.written == b"" for transport in transports)
        node_gateway.apply_configuration(make_configuration("orders"))
        await asyncio.sleep(0.05)
        assert all(transport.written == b"READY" for transport in transports)

    asyncio.run(scenario())


def test_a_name_without_a_route_is_refused_once_the_configuration_is_known():
    async def scenario():
        node_gateway = make_gateway()
        transport = open_session(node_gateway)
        node_gateway.apply_configuration(make_configuration("other"))
        await asyncio.sleep(0.05)
        assert transport.written == b"not_found"

    asyncio.run(scenario())


def test_a_session_does_not_wait_longer_than_its_client():
    async def scenario():
        started = clocks.read_clock()
        transport = open_session(make_gateway())
        while not transport.written:
            await asyncio.sleep(0.02)
        assert transport.written == b"unavailable"
        assert clocks.read_clock() - started < 2.0

    asyncio.run(scenario())
