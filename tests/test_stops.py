"""Tests of what clients are told when a node stops, with real processes."""

import asyncio
import contextlib
import itertools
import signal
import socket
import struct

import pytest
import tornado.httpclient
import tornado.iostream
import tornado.websocket

from benchmarks import processes
from hyssopshelf import exceptions, messages
from tests import test_processes

CLIENTS = 4

CROSSED = "crossed with the close of the node"
"""Message in place of an answer to a statement that the node did not receive."""

UNKNOWN = exceptions.ErrorKind.OUTCOME_UNKNOWN
NOT_RUN_KINDS = {
    kind
    for kind, disposition in exceptions.DISPOSITIONS.items()
    if disposition.ran is exceptions.Ran.NO
}


def make_statement(operation: messages.Operation, **fields) -> messages.Statement:
    """Return a statement with a time limit above the drain time of any test."""
    defaults = {"id": "1", "kind": "scan", "remaining_seconds": 30.0}
    return messages.Statement(
        pool=processes.POOL,
        database=processes.DATABASE,
        partner=processes.PARTNER,
        operation=operation,
        **(defaults | fields),
    )


async def post_statement(fleet, host: str, statement) -> messages.Answer:
    """Send a statement over plain HTTP and return its answer."""
    fetched = await tornado.httpclient.AsyncHTTPClient().fetch(
        f"http://{fleet.addresses[host]}/v1/statements",
        method="POST",
        body=messages.to_json(statement),
        raise_error=False,
        request_timeout=40.0,
    )
    if fetched.code == 599:
        raise ConnectionError("no answer from the proxy")
    return messages.from_json(fetched.body, messages.Answer)


async def open_websocket(fleet, host: str):
    """Return a websocket session with a node, without the client library."""
    return await tornado.websocket.websocket_connect(
        f"ws://{fleet.addresses[host]}/v1/session"
    )


async def exchange(websocket, statement) -> messages.Answer:
    """Send a statement on a websocket and return the next answer.

    A statement that crosses with the close of a stopping node has no answer; the
    code of that close tells that it did not run.
    """
    data = None
    with contextlib.suppress(
        tornado.iostream.StreamClosedError, tornado.websocket.WebSocketClosedError
    ):
        await websocket.write_message(messages.to_json(statement).decode())
        data = await websocket.read_message()
    if data is not None:
        return messages.from_json(data, messages.Answer)
    if websocket.close_code != messages.STOPPING_CLOSE_CODE:
        raise ConnectionError(f"ended without an answer, code {websocket.close_code}")
    return messages.Answer(
        id=statement.id, error=exceptions.ErrorKind.NOT_RUN, message=CROSSED
    )


async def open_slow_websocket(fleet, host: str):
    """Return the streams of a websocket whose small buffers are read by the caller."""
    address, _, port = fleet.addresses[host].rpartition(":")
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.setblocking(False)
    await asyncio.get_running_loop().sock_connect(client, (address, int(port)))
    reader, writer = await asyncio.open_connection(sock=client, limit=4096)
    writer.write(
        b"GET /v1/session HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
        b"Connection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
        b"Sec-WebSocket-Version: 13\r\n\r\n"
    )
    await reader.readuntil(b"\r\n\r\n")
    return reader, writer


def make_client_frame(text: bytes) -> bytes:
    """Return a websocket text frame with a mask of zeros."""
    return (
        b"\x81" + bytes([0x80 | 126]) + struct.pack(">H", len(text)) + bytes(4) + text
    )


@pytest.mark.parametrize("repeated", [(), (signal.SIGTERM, signal.SIGINT)])
def test_statements_open_at_the_drain_deadline_are_answered(tmp_path, repeated):
    """Guards against connections closed under statements that still run."""

    async def scenario(fleet):
        websocket = await open_websocket(fleet, "h1")
        for proxy in fleet.node_proxies.values():
            proxy.faults.answers_dropped = True
        append = messages.Operation.APPEND
        write = make_statement(append, key="cut", value="w")
        page = make_statement(append, key="cut", value="h")
        tasks = [
            asyncio.ensure_future(exchange(websocket, write)),
            asyncio.ensure_future(post_statement(fleet, "h1", page)),
        ]
        await asyncio.sleep(0.5)
        process = fleet.nodes["h1"]
        process.send_signal(signal.SIGTERM)
        for number in repeated:
            await asyncio.sleep(0.3)
            process.send_signal(number)
        status = await process.wait(5.0)
        answers = await asyncio.gather(*tasks, return_exceptions=True)
        assert [getattr(answer, "error", answer) for answer in answers] == [UNKNOWN] * 2
        assert status == 3

    test_processes.run(scenario, tmp_path, drain_seconds=3.0)


async def use_transaction(fleet, host: str, transaction: str, key: str):
    """Write in a transaction, one statement after the other, until one fails.

    Returns
    -------
    answer : Answer
        Answer to the last statement.
    written : list of str
        Values of the statements before it.
    """
    websocket = await open_websocket(fleet, host)
    for number in itertools.count():
        answer = await exchange(
            websocket,
            make_statement(
                messages.Operation.APPEND,
                id=str(number),
                key=key,
                value=str(number),
                transaction=transaction,
            ),
        )
        if answer.error is not None:
            return answer, [str(n) for n in range(number)]


@pytest.mark.parametrize("stopped", ["serving", "entry"])
def test_transactions_open_at_the_drain_deadline_are_answered(tmp_path, stopped):
    """Guards against the cut of clients that keep using their transactions.

    A statement that a client sends at the deadline may cross with the close of the
    node, which not all of several clients do.
    """

    async def scenario(fleet):
        keys = [f"kept-{number}" for number in range(CLIENTS)]
        begin = make_statement(messages.Operation.BEGIN)
        begun = [(await post_statement(fleet, "h1", begin)).transaction for _ in keys]
        serving = begun[0].partition("|")[0]
        entry = next(host for host in fleet.nodes if host != serving)
        host, other = (serving, entry) if stopped == "serving" else (entry, serving)
        process = fleet.nodes[host]
        tasks = [
            asyncio.ensure_future(use_transaction(fleet, host, transaction, key))
            for transaction, key in zip(begun, keys, strict=True)
        ]
        await asyncio.sleep(0.3)
        process.send_signal(signal.SIGTERM)
        results = await asyncio.gather(*tasks)
        assert await process.wait(5.0) == 3
        assert not all(answer.message == CROSSED for answer, _ in results)
        for transaction, key, result in zip(begun, keys, results, strict=True):
            kind, written = result[0].error, result[1]
            assert len(written) > 10
            commit = make_statement(messages.Operation.COMMIT, transaction=transaction)
            committed = await post_statement(fleet, other, commit)
            values = await test_processes.read_values(fleet, key, other)
            if stopped == "serving":
                assert kind in NOT_RUN_KINDS
                assert committed.error in NOT_RUN_KINDS
                assert values == []
            else:
                assert kind in NOT_RUN_KINDS | {UNKNOWN}
                assert committed.error is None
                unknown = [str(len(written))] if kind is UNKNOWN else []
                assert values in (written, written + unknown)

    test_processes.run(scenario, tmp_path, drain_seconds=3.0)


def test_requests_of_operators_are_answered_at_a_stop(tmp_path):
    """Guards against a request of an operator that is cut by a stop."""

    async def scenario(fleet):
        store, _ = fleet.platform_processes
        store.send_signal(signal.SIGSTOP)
        version = await fleet.read_version("h1")
        paths = (
            f"v1/watch?pool={processes.POOL}&afterVersion={version}&seconds=30",
            f"v1/bill?pool={processes.POOL}",
        )
        tasks = [
            asyncio.ensure_future(
                tornado.httpclient.AsyncHTTPClient().fetch(
                    f"http://{fleet.addresses['h1']}/{path}", raise_error=False
                )
            )
            for path in paths
        ]
        await asyncio.sleep(0.3)
        process = fleet.nodes["h1"]
        process.send_signal(signal.SIGTERM)
        answers = await asyncio.gather(*tasks)
        assert [answer.code for answer in answers] == [200, 503]
        assert await process.wait(5.0) == 0

    test_processes.run(scenario, tmp_path)


def test_large_answer_to_a_slow_reader_survives_a_stop(tmp_path):
    """Guards against an answer that is cut because it was not sent before the exit."""

    async def scenario(fleet):
        session = fleet.make_session()
        value = "v" * 200_000
        for number in range(20):
            await session.put(f"k{number}", value, kind="relabel")
        await session.close()
        reader, writer = await open_slow_websocket(fleet, "h1")
        for number in range(20):
            statement = make_statement(
                messages.Operation.GET, id=str(number), key=f"k{number}"
            )
            writer.write(make_client_frame(messages.to_json(statement)))
        await asyncio.sleep(1.0)
        process = fleet.nodes["h1"]
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(2.0)
        received = b""
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                received += data
        writer.close()
        assert received.count(value.encode()) == 20
        assert await process.wait(15.0) == 0

    test_processes.run(scenario, tmp_path)


def test_statements_that_meet_the_exit_of_a_node_are_not_lost(tmp_path):
    """Guards against a statement that is lost because it meets the exit of a node."""

    async def scenario(fleet):
        sessions = [fleet.make_session("h1", seed=number) for number in range(40)]
        for session in sessions:
            await session.get("x", kind="scan")
            session.proxies = (fleet.addresses["h2"],)
        process = fleet.nodes["h1"]
        process.send_signal(signal.SIGTERM)

        async def write(number, session):
            await asyncio.sleep(1.0 + number * 0.005)
            await session.append("late", str(number), kind="relabel")

        outcomes = await asyncio.gather(
            *(write(n, s) for n, s in enumerate(sessions)), return_exceptions=True
        )
        assert await process.wait(15.0) == 0
        assert [outcome for outcome in outcomes if outcome is not None] == []
        values = await test_processes.read_values(fleet, "late", "h2")
        assert sorted(values, key=int) == [str(n) for n in range(40)]
        for session in sessions:
            await session.close()

    test_processes.run(scenario, tmp_path)
