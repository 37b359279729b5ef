"""Closes the connections of clients without losing their last answers."""

import asyncio

from hyssopshelf import logs, messages

CHECK_INTERVAL_SECONDS = 0.01
"""Interval between checks whether all clients have closed, in seconds."""


class ClientConnections:
    """Websockets of clients, and answers that are not written to the network yet.

    Attributes
    ----------
    sessions : set
        Handlers of the open websockets.
    """

    def __init__(self) -> None:
        self.sessions: set = set()
        self._unsent: set[asyncio.Future] = set()

    def add_answer(self, future: asyncio.Future) -> None:
        """Add an answer that is written when a future is done."""
        self._unsent.add(future)
        future.add_done_callback(self._remove_answer)

    async def flush(self, deadline: float) -> bool:
        """Wait until all answers are written.

        Parameters
        ----------
        deadline : float
            Time of the event loop, in seconds, at which the wait ends.

        Returns
        -------
        bool
            Whether all answers were written before the deadline.
        """
        loop = asyncio.get_running_loop()
        while self._unsent and loop.time() < deadline:
            await asyncio.wait(self._unsent, timeout=deadline - loop.time())
        return not self._unsent

    async def close(self, deadline: float) -> None:
        """Close all websockets and wait until their clients have closed them.

        The close frame follows the last answer, so a client that receives it knows
        that its other statements did not run. Frames of the client are read until
        it closes, because unread bytes would reset the connection.

        Parameters
        ----------
        deadline : float
            Time of the event loop, in seconds, at which the wait ends.
        """
        for session in list(self.sessions):
            session.close(messages.STOPPING_CLOSE_CODE, "the node stops")
        while self.sessions and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def _remove_answer(self, future: asyncio.Future) -> None:
        self._unsent.discard(future)
        if not future.cancelled() and future.exception() is not None:
            log_unread_answer(future.exception())


def log_unread_answer(error: BaseException) -> None:
    """Log an answer that could not be written, as its client has gone."""
    logs.write_request(
        logs.LogEvent.ANSWER_DROPPED, {"reason": f"the client has gone: {error!r}"}
    )
