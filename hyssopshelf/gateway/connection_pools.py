"""Connection pool of one endpoint: its queue, slots and connections at a node.

Work waits in the queue, by rank and deadline, until a slot and a connection are
free. A transaction keeps its connection and waits for a slot only.
"""

import asyncio
import collections
import itertools

import attrs

from hyssopshelf import clocks, exceptions, logs
from hyssopshelf.balancing import connections
from hyssopshelf.gateway import catalog, endpoint_connections, session_state
from hyssopshelf.scheduling import queues, work

CONNECT_TIMEOUT_SECONDS = 0.5
"""Timeout of a new connection. A handshake takes about 12 ms and a round trip
between regions 24 ms, and it may wait behind work for the endpoint's slots."""

REFUSED_PAUSE_SECONDS = 0.2
"""Pause before new connections after an endpoint refused one as too many."""

IDLE_SECONDS = 5.0
"""Idle time after which a connection is closed. For some seconds an endpoint still
counts the connections of a host that lost power, so the restarted host has to do
with the rest of the limit."""

SERVICE_SMOOTHING = 0.1
"""Weight of a new sample in the average time for which a statement has its slot."""

EXPIRY_INTERVAL_SECONDS = 0.05
"""Interval of the removal of work that cannot start before its deadline."""

LATE_REASON = "cannot start before its deadline"
"""Reason with which work that is too late is refused."""

LEFT_REASON = "endpoint is leaving and takes no more requests"
"""Reason with which work at an endpoint that leaves is refused."""

_ids = itertools.count(1)


class RefusalError(Exception):
    """The work did not run and left the queue.

    Parameters
    ----------
    kind : ErrorKind
        Kind of the error for the client.
    reason : str
        Explanation for the log.
    """

    def __init__(self, kind: exceptions.ErrorKind, reason: str) -> None:
        super().__init__(reason)
        self.kind = kind
        self.reason = reason

    def is_late(self) -> bool:
        """Return whether the work had too little time left."""
        return self.reason in (LATE_REASON, queues.DEADLINE_TOO_CLOSE)


class PrimaryChangedError(Exception):
    """The wait ended because the endpoint is being replaced as the primary."""


@attrs.define(kw_only=True)
class Checkout:
    """A slot of an endpoint and the connection that uses it."""

    work_id: str
    connection: endpoint_connections.EndpointConnection | None


class ConnectionPool:
    """Queue, slots and connections of one endpoint at this node.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint.
    codec : object
        Codec of the endpoint's protocol.
    view : PoolView
        Ranks and limits of slots and connections in force.
    accepts_requests : callable or None
        Takes the time and returns whether the endpoint may be sent requests; None if
        it always may.

    Attributes
    ----------
    idle : list of EndpointConnection
        Connections that no work uses, the last used one at the end.
    open_connections : set of EndpointConnection
        All connections that count against the limit: idle, in use, or being
        opened.
    pending_checkouts : int
        Work that has got its slot and not yet its connection.
    refused_until : float
        Clock time until which no new connections are opened, in seconds.
    handshakes : int
        Attempts to open a connection.
    peak_demand : int
        Peak of connections in use and waiting work since the last reset.
    replacements : int
        Connections of one customer that were closed for one of another.
    """

    def __init__(self, *, endpoint, codec, view, accepts_requests=None) -> None:
        self.endpoint = endpoint
        self._accepts_requests = accepts_requests
        self.codec = codec
        self.view = view
        self.queue = queues.EndpointQueue(endpoint=endpoint.id, pool=view.pool)
        self.idle: list[endpoint_connections.EndpointConnection] = []
        self.open_connections: set[endpoint_connections.EndpointConnection] = set()
        self.pending_checkouts = 0
        self.refused_until = 0.0
        self.handshakes = 0
        self.peak_demand = 0
        self.replacements = 0
        self.closed = False
        self._pending_customers: collections.Counter[str] = collections.Counter()
        self._service_seconds = connections.HANDSHAKE_SECONDS
        self._waiters: dict[str, asyncio.Future] = {}
        self._expiry: asyncio.TimerHandle | None = None

    def estimate_wait(self, latency: float) -> float:
        """Return the expected wait of new work for a slot, in seconds.

        Parameters
        ----------
        latency : float
            Average response time of the endpoint, in seconds.
        """
        ahead = self.queue.waiting + self.queue.running
        if ahead < self.view.slots:
            return 0.0
        return (ahead + 1 - self.view.slots) * latency / self.view.slots

    def measure_demand(self, *, reset: bool) -> int:
        """Return the peak number of connections that this node could use.

        Connections in use and waiting work count. With ``reset`` a new measurement
        of the peak starts.
        """
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
        customer: str = "",
    ) -> Checkout:
        """Wait for a slot and a connection.

        Parameters
        ----------
        rank : int
            Priority, 0 first.
        deadline : float
            Clock time until which the work has to end, in seconds.
        session : SessionState
            State that the connection should match as closely as possible.
        connection : EndpointConnection or None
            Connection of an open transaction, which then needs a slot only.
        version : int
            Not used; pools of connections at other nodes need it.
        customer : str
            Customer that the connection has to belong to.

        Raises
        ------
        RefusalError
            If the queue refuses the work or it cannot start in time.
        EndpointConnectionError
            If no connection could be opened.
        """
        now = clocks.read_clock()
        if connection is None:
            self.check_accepts(now)
        item = work.Work(
            id=str(next(_ids)),
            partner=catalog.DEFAULT_PARTNER,
            rank=catalog.get_rank_name(rank),
            deadline=deadline,
            enqueued_at=now,
            in_transaction=connection is not None,
            customer=customer,
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
                    self._end_pending(customer)
                self.release_slot(Checkout(work_id=item.id, connection=None))
            else:
                self.queue.discard(item.id)
            raise
        finally:
            self._waiters.pop(item.id, None)
        checkout = Checkout(work_id=item.id, connection=connection)
        if connection is None:
            try:
                checkout.connection = await self._take_connection(session, customer)
                self._check_taken(checkout.connection)
            except BaseException:
                self.release_slot(checkout)
                raise
        return checkout

    def check_accepts(self, now: float) -> None:
        """Raise RefusalError if the endpoint may be sent no more requests."""
        if self._accepts_requests is not None and not self._accepts_requests(now):
            raise RefusalError(exceptions.ErrorKind.UNAVAILABLE, LEFT_REASON)

    def _check_taken(self, connection) -> None:
        """Give a connection back if the wait for it was too long for the endpoint."""
        try:
            self.check_accepts(clocks.read_clock())
        except RefusalError:
            self.release_connection(connection)
            raise

    def release_slot(self, checkout: Checkout) -> None:
        """Release the slot of a checkout and start waiting work."""
        seconds = self.queue.finish(checkout.work_id, clocks.read_clock())
        if seconds:
            change = seconds - self._service_seconds
            self._service_seconds += SERVICE_SMOOTHING * change
        self.start_waiting()

    def take_idle(self) -> endpoint_connections.EndpointConnection | None:
        """Remove and return an idle connection, or return None if there is none."""
        while self.idle:
            connection = self.idle.pop()
            if not connection.closed:
                return connection
            self.open_connections.discard(connection)
        return None

    def add_connection(
        self, connection: endpoint_connections.EndpointConnection
    ) -> None:
        """Count a connection that was opened without a checkout."""
        self.open_connections.add(connection)

    def release_connection(
        self, connection: endpoint_connections.EndpointConnection
    ) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        if connection.closed or self.closed or self.endpoint.leaving:
            self.discard_connection(connection)
            return
        self.idle.append(connection)
        self.start_waiting()

    def discard_connection(
        self, connection: endpoint_connections.EndpointConnection
    ) -> None:
        """Close a connection and remove it from the pool."""
        connection.close()
        self.open_connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start waiting work as long as slots and connections are free."""
        now = clocks.read_clock()
        while True:
            fresh = self._count_available(now) > 0
            item = self.queue.take(
                self.view, now, include_new=fresh, is_ready=self._is_ready
            )
            if item is None:
                return
            waiter = self._waiters.get(item.id)
            if waiter is None or waiter.done():
                self.queue.finish(item.id, now)
                continue
            if not item.in_transaction:
                self.pending_checkouts += 1
                self._pending_customers[item.customer] += 1
            waiter.set_result(None)

    def close_surplus(self, now: float) -> None:
        """Close idle connections beyond this node's share, and those idle for long."""
        self.close_idle(self.view.connections, now)
        self.close_idle(1, now - IDLE_SECONDS)

    def close_idle(self, kept: int, before: float) -> None:
        """Close idle connections as long as more than a number are open.

        Parameters
        ----------
        kept : int
            Number of open connections to keep.
        before : float
            Clock time in seconds; connections used later stay open.
        """
        self.idle = [connection for connection in self.idle if not connection.closed]
        for connection in list(self.idle):
            if len(self.open_connections) <= kept or connection.used_at > before:
                continue
            self.discard_connection(connection)

    def close(self) -> None:
        """Refuse waiting work and close idle connections."""
        self.closed = True
        self.refuse_waiting("endpoint was removed or restarted", transactions=True)
        for connection in list(self.idle):
            self.discard_connection(connection)

    def refuse_waiting(self, reason: str, *, transactions: bool) -> None:
        """Refuse waiting work, of which nothing ran; that of open ones if asked for."""
        for item_id, waiter in list(self._waiters.items()):
            if waiter.done() or not (transactions or self.queue.is_new(item_id)):
                continue
            if self.queue.discard(item_id):
                waiter.set_exception(
                    RefusalError(exceptions.ErrorKind.UNAVAILABLE, reason)
                )

    def _count_available(self, now: float) -> int:
        """Return how many more work items can get a connection, idle or new."""
        idle = sum(1 for connection in self.idle if not connection.closed)
        return idle + self._count_room(now) - self.pending_checkouts

    def _count_room(self, now: float) -> int:
        """Return how many connections may be opened in addition."""
        if now < self.refused_until:
            return 0
        return max(0, self.view.connections - len(self.open_connections))

    def _is_ready(self, customer: str) -> bool:
        """Return whether new work of a customer should get a connection now.

        Otherwise it waits for one of its own that is in use.
        """
        if not customer:
            return True
        own_idle = -self._pending_customers[customer]
        own_busy = other_idle = 0
        for connection in self.idle:
            if connection.closed:
                continue
            if connection.customer == customer:
                own_idle += 1
            else:
                other_idle += 1
        if own_idle > 0:
            return True
        idle = set(self.idle)
        for connection in self.open_connections:
            if connection.customer == customer and connection not in idle:
                own_busy += not connection.in_transaction
        situation = connections.Situation(
            own_idle=own_idle,
            own_busy=own_busy,
            other_idle=other_idle,
            room=self._count_room(clocks.read_clock()),
            service_seconds=self._service_seconds,
            slots=self.view.slots,
            contended=self.queue.waiting > 1,
        )
        return connections.choose_action(situation) is not connections.Action.WAIT

    def _end_pending(self, customer: str) -> None:
        self.pending_checkouts -= 1
        self._pending_customers[customer] -= 1
        if not self._pending_customers[customer]:
            del self._pending_customers[customer]

    async def _take_connection(
        self, session: session_state.SessionState, customer: str
    ) -> endpoint_connections.EndpointConnection:
        """Return the idle connection that needs the least setup, or a new one.

        The caller has counted the work in ``pending_checkouts``; this ends it.
        """
        try:
            best = None
            best_cost = 0
            # Last used first, so that surplus connections stay idle and are closed.
            for connection in reversed(self.idle):
                if connection.closed or connection.customer != customer:
                    continue
                cost = session_state.estimate_cost(connection.state, session)
                if best is None or cost < best_cost:
                    best, best_cost = connection, cost
                    if cost == 0:
                        break
            if best is not None:
                self.idle.remove(best)
                return best
            if customer and not self._count_room(clocks.read_clock()):
                self._close_for(customer)
            return await self._open_connection(customer)
        finally:
            self._end_pending(customer)

    def _close_for(self, customer: str) -> None:
        """Close the idle connection of another customer that was used least recently.

        One whose customer has waiting work is closed only if there is no other.
        """
        idle = [connection for connection in self.idle if not connection.closed]
        if not idle:
            return
        waiting = self.queue.waiting_customers
        idle.sort(key=lambda c: (c.customer in waiting, c.used_at))
        self.replacements += 1
        logs.write_request(
            logs.LogEvent.CONNECTION_REPLACED,
            {
                "endpoint": self.endpoint.id,
                "customer": customer,
                "replaced": idle[0].customer,
                "connections": len(self.open_connections),
            },
            True,
        )
        idle[0].close()
        self.idle.remove(idle[0])
        self.open_connections.discard(idle[0])

    async def _open_connection(
        self, customer: str
    ) -> endpoint_connections.EndpointConnection:
        self.handshakes += 1
        placeholder = endpoint_connections.EndpointConnection(
            endpoint=self.endpoint, codec=self.codec, customer=customer
        )
        self.open_connections.add(placeholder)
        try:
            connection = await endpoint_connections.open_connection(
                self.endpoint, self.codec, CONNECT_TIMEOUT_SECONDS, customer
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
            self._refuse(item, LATE_REASON)
        self.start_waiting()
        if self.queue.waiting:
            self._schedule_expiry()


def _is_started(waiter: asyncio.Future) -> bool:
    """Return whether work was started; not if it was refused or still waits."""
    return waiter.done() and not waiter.cancelled() and waiter.exception() is None
