"""Tests of sessions whose proxy closes the connection."""

import asyncio

import pytest
import tornado.httpserver
import tornado.netutil
import tornado.web
import tornado.websocket

from hyssopshelf import client, exceptions, messages


class ProxyHandler(tornado.websocket.WebSocketHandler):
    """Passes the statements of a session to a test."""

    def initialize(self, receive) -> None:
        """Store the callable that takes the handler and each statement."""
        self.receive = receive

    def on_message(self, data) -> None:
        """Pass a statement to the test."""
        self.receive(self, messages.from_json(data, messages.Statement))

    def answer(self, statement, **fields) -> None:
        """Send the answer to a statement."""
        answer = messages.Answer(id=statement.id, **fields)
        self.write_message(messages.to_json(answer).decode())


def run(receive, scenario):
    """Run a scenario with a session whose statements are passed to ``receive``."""

    async def main():
        routes = [(r"/v1/session", ProxyHandler, {"receive": receive})]
        server = tornado.httpserver.HTTPServer(tornado.web.Application(routes))
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        session = client.Session(
            proxies=(f"127.0.0.1:{sockets[0].getsockname()[1]}",),
            pool="p",
            database="d",
            partner="x",
            timeout_seconds=3.0,
        )
        await scenario(session)
        await session.close()
        server.stop()
        await server.close_all_connections()

    asyncio.run(main())


def test_write_that_meets_the_close_of_a_stopping_proxy_runs_elsewhere():
    """Guards against a write reported as unknown because its proxy was stopping."""
    received = []

    def receive(handler, statement):
        received.append(statement)
        if len(received) == 1:
            handler.close(messages.STOPPING_CLOSE_CODE)
        else:
            handler.answer(statement)

    async def scenario(session):
        await session.append("k", "v", kind="scan")

    run(receive, scenario)
    assert len(received) == 2


@pytest.mark.parametrize("code", [None, 1000, 1001])
def test_write_is_unknown_when_the_connection_closes_otherwise(code):
    """Guards against a write that runs twice after its connection was lost."""
    received = []

    def receive(handler, statement):
        received.append(statement)
        if code is None:
            handler.ws_connection.stream.close()
        else:
            handler.close(code)

    async def scenario(session):
        with pytest.raises(exceptions.AnswerError) as error:
            await session.append("k", "v", kind="scan")
        assert error.value.kind is exceptions.ErrorKind.OUTCOME_UNKNOWN

    run(receive, scenario)
    assert len(received) == 1


def test_refusal_by_a_draining_proxy_leaves_other_answers():
    """Guards against a lost answer because another request had to change the proxy."""
    open_statements = []

    def receive(handler, statement):
        if not open_statements:
            open_statements.append(statement)
        elif len(open_statements) == 1:
            open_statements.append(statement)
            handler.answer(statement, error=exceptions.ErrorKind.UNAVAILABLE)
            asyncio.get_running_loop().call_later(
                0.2, handler.answer, open_statements[0]
            )
        else:
            handler.answer(statement)

    async def scenario(session):
        first = asyncio.ensure_future(session.append("k", "1", kind="scan"))
        await asyncio.sleep(0.1)
        await session.append("k", "2", kind="scan")
        await first

    run(receive, scenario)


def test_timeout_of_a_request_leaves_other_answers():
    """Guards against a lost answer because another request timed out."""

    def receive(handler, statement):
        if statement.key == "slow":
            asyncio.get_running_loop().call_later(1.5, handler.answer, statement)

    async def scenario(session):
        slow = asyncio.ensure_future(session.append("slow", "1", kind="scan"))
        await asyncio.sleep(0.1)
        with pytest.raises(exceptions.AnswerError):
            await session.append("lost", "2", kind="scan", timeout_seconds=0.1)
        await slow

    run(receive, scenario)
