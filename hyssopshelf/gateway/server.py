"""Accepts client connections and closes them at a graceful stop."""

import asyncio

from hyssopshelf import background, clocks, logs
from hyssopshelf.gateway import client_connections, memory, sessions

QUIET_SECONDS = 0.05
"""Time without a request after which a session may be closed. Longer than a round trip,
so that the next request of a client that sends it at once is not on its way."""

CLOSE_BATCH = 8
"""Sessions that are closed before the loop receives again; their closes take less time
than a request needs to arrive and be noticed."""


class ClientServer:
    """Accepts clients and closes their sessions at a graceful stop.

    Parameters
    ----------
    gateway : Gateway
        Where statements run.
    codec : object
        Codec of the clients' protocol.
    limit : int
        Bytes that the buffers of all clients may hold together.

    Attributes
    ----------
    closing : bool
        Whether no session is opened any more, and quiet ones are closed.
    """

    def __init__(self, *, gateway, codec, limit: int) -> None:
        self.gateway = gateway
        self.codec = codec
        self.budget = memory.BufferBudget(limit=limit)
        self.connections: set[client_connections.ClientConnection] = set()
        self.closing = False
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Start to accept clients at ``host:port``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: client_connections.ClientConnection(server=self),
            host,
            int(port),
            backlog=1024,
        )

    def stop_listening(self) -> None:
        """Accept no further clients."""
        if self._server is not None:
            self._server.close()

    async def start_closing(self) -> None:
        """Accept no further clients and begin to close quiet sessions."""
        self.closing = True
        # Clients that have connected are accepted, and what was accepted becomes a
        # connection, before the sockets are closed.
        await client_connections.receive_pending()
        if self._server is not None:
            loop = asyncio.get_running_loop()
            for listening in self._server.sockets:
                loop.remove_reader(listening)
        await client_connections.receive_pending()
        self.stop_listening()

    async def advance_stop(self, now: float) -> int:
        """Close, roll back or answer what the schedule of the stop asks for.

        A connection for which that fails does not keep it from the others.

        Returns
        -------
        int
            Number of connections that are left.
        """
        schedule = self.gateway.stop
        if not schedule.may_start(now):
            self._abort_transactions()
        if now < schedule.answer_by:
            return await self.close_quiet(until=schedule.exit_at)
        for connection in self.connections:
            background.call_logged(connection.interrupt)
        return await self.close_quiet(0.0, until=schedule.exit_at)

    def must_close(self) -> bool:
        """Return whether sessions are closed right after an answer."""
        schedule = self.gateway.stop
        return schedule is not None and clocks.read_clock() >= schedule.answer_by

    def abort(self) -> None:
        """Close all sessions at once."""
        for connection in list(self.connections):
            connection.drop()

    def _abort_transactions(self) -> None:
        for connection in self.connections:
            session = connection.session
            if connection.working or session is None or session.transaction is None:
                continue
            background.call_logged(session.abort, sessions.STOPPING_REASON)

    def abort_idle_transactions(self, now: float) -> None:
        """Roll back transactions that are idle for longer than the operator allows."""
        configuration = self.gateway.board.configuration
        if configuration is None:
            return
        limit = configuration.limits.idle_transaction_seconds
        for connection in self.connections:
            session = connection.session
            if connection.working or session is None or session.transaction is None:
                continue
            if now - session.transaction.idle_since > limit:
                logs.write_request(
                    logs.LogEvent.TRANSACTION_TOO_IDLE,
                    {"name": session.name, "limit": limit},
                )
                session.abort(sessions.FAILED_REASON)

    def update_buffered(
        self, connection: client_connections.ClientConnection, count: int
    ) -> None:
        """Record a connection's buffered bytes; close the largest above the limit."""
        for other in self.budget.update(connection, count):
            other.abort("clients hold too much memory")

    def count_open(self) -> dict[str, int]:
        """Return the numbers of sessions, open transactions and open requests."""
        sessions_open = [c.session for c in self.connections if c.session is not None]
        return {
            "sessions": len(self.connections),
            "transactions": sum(s.transaction is not None for s in sessions_open),
            "requests": sum(c.open_request is not None for c in self.connections),
        }

    def end_all(self) -> None:
        """Receive nothing more, as the process ends; log the requests that are open."""
        for connection in list(self.connections):
            background.call_logged(connection.record_cut, "exit", "the process ends")
            background.call_logged(connection.close)

    async def close_quiet(
        self, seconds: float = QUIET_SECONDS, *, until: float = float("inf")
    ) -> int:
        """Close sessions that have had no work for a time.

        Requests that arrive meanwhile are received first.

        Parameters
        ----------
        seconds : float
            Time without work.
        until : float
            Clock time at which no more sessions are closed, in seconds.

        Returns
        -------
        int
            Number of connections that are left.
        """
        quiet = [c for c in self.connections if c.is_quiet(seconds)]
        for number, connection in enumerate(quiet):
            if number % CLOSE_BATCH == 0:
                await client_connections.receive_pending()
                if clocks.read_clock() >= until:
                    break
            if connection.is_quiet(seconds):
                background.call_logged(connection.close)
        return len(self.connections)
