"""Tests of the answers that are written while a node stops."""

import asyncio

from hyssopshelf import logs
from hyssopshelf.runtime import closing


# The error of an answer whose client had gone was dropped without a line in the log.
def test_an_answer_whose_client_has_gone_is_logged(monkeypatch):
    async def scenario():
        events = []
        monkeypatch.setattr(
            logs, "write_request", lambda event, fields: events.append(event)
        )
        connections = closing.ClientConnections()
        answers = [asyncio.get_running_loop().create_future() for _ in range(3)]
        for answer in answers:
            connections.add_answer(answer)
        answers[0].set_result(None)
        answers[1].cancel()
        answers[2].set_exception(ConnectionResetError())
        assert await connections.flush(asyncio.get_running_loop().time() + 1.0)
        await asyncio.sleep(0)
        assert events == [logs.LogEvent.ANSWER_DROPPED]

    asyncio.run(scenario())
