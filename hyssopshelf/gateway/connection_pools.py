"""The way to one endpoint: queue, slots and pooled connections."""

import asyncio
import itertools

import attrs

from hyssopshelf import clocks, exceptions
from hyssopshelf.gateway import catalog, endpoint_connections, session_state
from hyssopshelf.scheduling import queues, work

CONNECT_TIMEOUT_SECONDS = 0.5
"""Time for a new connection: a handshake takes about 12 ms and a round trip
between regions 24 ms; a full queue of slots may come before it."""

REFUSED_PAUSE_SECONDS = 0.2
"""Pause after an endpoint refused a connection because it has too many."""

IDLE_SECONDS = 5.0
"""Time after which an unused connection is closed. An endpoint counts connections
of a host that lost power for some seconds, so the rest of its limit must do for the
restart."""

EXPIRY_INTERVAL_SECONDS = 0.05
"""Time between two searches for waiting work that is too late, in seconds."""

_ids = itertools.count(1)


class RefusalError(Exception):
    """The work did not run and is not waiting any more.

    Parameters
    ----------
    kind : ErrorKind
        Kind for the caller.
    reason : str
        Explanation for the log.
    """

    def __init__(self, kind: exceptions.ErrorKind, reason: str) -> None:
        super().__init__(reason)
        self.kind = kind
        self.reason = reason


class PrimaryChangedError(Exception):
    """The work waits no more because its endpoint is replaced as the primary."""


@attrs.define(kw_only=True)
class Checkout:
    """A slot of an endpoint, with the connection that uses it."""

    work_id: str
    connection: endpoint_connections.EndpointConnection | None


class ConnectionPool:
    """Queue, slots and connections of one endpoint at this node.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint.
    codec : object
        Codec of its protocol.
    view : PoolView
        Ranks, slots and connections in force.
    """

    def __init__(self, *, endpoint, codec, view) -> None:
        self.endpoint = endpoint
        self.codec = codec
        self.view = view
        self.queue = queues.EndpointQueue(endpoint=endpoint.id, pool=view.pool)
        self.idle: list[endpoint_connections.EndpointConnection] = []
        self.open_connections: set[endpoint_connections.EndpointConnection] = set()
        self.pending_checkouts = 0
        self.refused_until = 0.0
        self.handshakes = 0
        self.peak_demand = 0
        self.closed = False
        self._waiters: dict[str, asyncio.Future] = {}
        self._expiry: asyncio.TimerHandle | None = None

    def estimate_wait(self, latency: float) -> float:
        """Return the expected wait of new work in seconds."""
        ahead = self.queue.waiting + self.queue.running
        if ahead < self.view.slots:
            return 0.0
        return (ahead + 1 - self.view.slots) * latency / self.view.slots

    def measure_demand(self, *, reset: bool) -> int:
        """Return the peak of connections in use and wanted."""
        idle = sum(1 for connection in self.idle if not connection.closed)
        current = len(self.open_connections) - idle + self.queue.waiting
        peak = max(self.peak_demand, current)
        if reset:
            self.peak_demand = current
        return peak

    async def acquire(
        self,
        rank: int,
        deadline: float,
        session: session_state.SessionState,
        connection: endpoint_connections.EndpointConnection | None = None,
        version: int = 0,
    ) -> Checkout:
        """Wait for a slot and a connection.

        ``version`` is for pools of other hosts' connections; the caller checks it.

        Raises
        ------
        RefusalError
            If the work cannot start in time.
        EndpointConnectionError
            If no connection could be opened.
        """
        now = clocks.read_clock()
        item = work.Work(
            id=str(next(_ids)),
            partner=catalog.DEFAULT_PARTNER,
            rank=catalog.get_rank_name(rank),
            deadline=deadline,
            enqueued_at=now,
            in_transaction=connection is not None,
        )
        held = len(self.open_connections)
        admitted = self.queue.admit(item, self.view, now, held=held)
        if admitted.is_err():
            raise RefusalError(exceptions.ErrorKind.REFUSED, admitted.err_value.reason)
        for shed_item in admitted.ok_value:
            self._refuse(shed_item, "shed for other work")
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[item.id] = waiter
        demand = len(self.open_connections) - len(self.idle) + self.queue.waiting
        self.peak_demand = max(self.peak_demand, demand)
        self.start_waiting()
        if not waiter.done():
            self._schedule_expiry()
        try:
            await waiter
        except asyncio.CancelledError:
            if _is_started(waiter):
                if connection is None:
                    self.pending_checkouts -= 1
                self.release_slot(Checkout(work_id=item.id, connection=None))
            else:
                self.queue.discard(item.id)
            raise
        finally:
            self._waiters.pop(item.id, None)
        checkout = Checkout(work_id=item.id, connection=connection)
        if connection is None:
            try:
                checkout.connection = await self._take_connection(session)
            except BaseException:
                self.release_slot(checkout)
                raise
        return checkout

    def release_slot(self, checkout: Checkout) -> None:
        """Give the slot back."""
        self.queue.finish(checkout.work_id, clocks.read_clock())
        self.start_waiting()

    def take_idle(self) -> endpoint_connections.EndpointConnection | None:
        """Return an idle connection, None without one."""
        while self.idle:
            connection = self.idle.pop()
            if not connection.closed:
                return connection
            self.open_connections.discard(connection)
        return None

    def add_connection(
        self, connection: endpoint_connections.EndpointConnection
    ) -> None:
        """Count a connection that was opened outside the queue."""
        self.open_connections.add(connection)

    def release_connection(
        self, connection: endpoint_connections.EndpointConnection
    ) -> None:
        """Give a connection back to the pool."""
        if connection.closed or self.closed or self.endpoint.leaving:
            self.discard_connection(connection)
            return
        self.idle.append(connection)
        self.start_waiting()

    def discard_connection(
        self, connection: endpoint_connections.EndpointConnection
    ) -> None:
        """Close a connection and forget it."""
        connection.close()
        self.open_connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start waiting work while slots and connections are free."""
        now = clocks.read_clock()
        while True:
            fresh = self._count_available(now) > 0
            item = self.queue.take(self.view, now, fresh=fresh)
            if item is None:
                return
            waiter = self._waiters.get(item.id)
            if waiter is None or waiter.done():
                self.queue.finish(item.id, now)
                continue
            if not item.in_transaction:
                self.pending_checkouts += 1
            waiter.set_result(None)

    def close_surplus(self, now: float) -> None:
        """Close unused connections beyond the share, and long unused ones."""
        self.close_idle(self.view.connections, now)
        self.close_idle(1, now - IDLE_SECONDS)

    def close_idle(self, kept: int, before: float) -> None:
        """Close unused connections beyond a number."""
        self.idle = [connection for connection in self.idle if not connection.closed]
        for connection in list(self.idle):
            if len(self.open_connections) <= kept or connection.used_at > before:
                continue
            self.discard_connection(connection)

    def close(self) -> None:
        """Refuse waiting work and close unused connections."""
        self.closed = True
        for item_id, waiter in list(self._waiters.items()):
            if not waiter.done() and self.queue.discard(item_id):
                waiter.set_exception(
                    RefusalError(exceptions.ErrorKind.UNAVAILABLE, "endpoint is gone")
                )
        for connection in list(self.idle):
            self.discard_connection(connection)

    def _count_available(self, now: float) -> int:
        """Return for how many new work items there is a connection.

        ``opening`` counts work that was started and has not taken its connection
        yet, out of the idle ones or a new one.
        """
        idle = sum(1 for connection in self.idle if not connection.closed)
        new = 0
        if now >= self.refused_until:
            new = max(0, self.view.connections - len(self.open_connections))
        return idle + new - self.pending_checkouts

    async def _take_connection(
        self, session: session_state.SessionState
    ) -> endpoint_connections.EndpointConnection:
        """Return the idle connection that fits best, or a new one.

        The caller has reserved it by ``opening``.
        """
        try:
            best = None
            best_cost = 0
            # The last used ones first, so that a surplus stays unused and is closed.
            for connection in reversed(self.idle):
                if connection.closed:
                    continue
                cost = session_state.estimate_cost(connection.state, session)
                if best is None or cost < best_cost:
                    best, best_cost = connection, cost
                    if cost == 0:
                        break
            if best is not None:
                self.idle.remove(best)
                return best
            return await self._open_connection()
        finally:
            self.pending_checkouts -= 1

    async def _open_connection(self) -> endpoint_connections.EndpointConnection:
        self.handshakes += 1
        placeholder = endpoint_connections.EndpointConnection(
            endpoint=self.endpoint, codec=self.codec
        )
        self.open_connections.add(placeholder)
        try:
            connection = await endpoint_connections.open_connection(
                self.endpoint, self.codec, CONNECT_TIMEOUT_SECONDS
            )
        except endpoint_connections.EndpointConnectionError as error:
            if error.reason == exceptions.ErrorKind.FULL.value:
                self.refused_until = clocks.read_clock() + REFUSED_PAUSE_SECONDS
            raise
        finally:
            self.open_connections.discard(placeholder)
        self.open_connections.add(connection)
        return connection

    def _refuse(self, item: work.Work, reason: str) -> None:
        waiter = self._waiters.get(item.id)
        if waiter is not None and not waiter.done():
            waiter.set_exception(RefusalError(exceptions.ErrorKind.REFUSED, reason))

    def _schedule_expiry(self) -> None:
        if self._expiry is None:
            loop = asyncio.get_running_loop()
            self._expiry = loop.call_later(EXPIRY_INTERVAL_SECONDS, self._expire)

    def _expire(self) -> None:
        self._expiry = None
        for item in self.queue.expire(clocks.read_clock()):
            self._refuse(item, "cannot start before its deadline")
        self.start_waiting()
        if self.queue.waiting:
            self._schedule_expiry()


def _is_started(waiter: asyncio.Future) -> bool:
    """Return whether work was started, not refused or still waiting."""
    return waiter.done() and not waiter.cancelled() and waiter.exception() is None
