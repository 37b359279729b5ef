"""Gateway of one node: its shared state, connection pools and waiting requests."""

import asyncio
import contextlib
import functools

from hyssopshelf import clocks, logs
from hyssopshelf.gateway import (
    blackboard,
    catalog,
    connection_pools,
    forwarding,
    hedging,
    metrics,
    remote_pools,
    shutdown,
)

INITIAL_CONNECTIONS = 1
"""Connections that a node may open to an endpoint before it knows its share."""

RESERVED_CONNECTIONS = 1
"""Connections to each endpoint that are kept for the coordinator's status queries
and commands."""

REPLACED_CONNECTIONS = 2
"""Connections to each endpoint that are kept, where they belong to customers, for
those that an endpoint still counts after they were closed."""

KEY_REQUEST_INTERVAL_SECONDS = 1.0
"""Time between two requests of a newer configuration because of unknown keys."""

KEY_WAIT_SECONDS = 0.3
"""Time for which a session with an unknown key waits for a newer configuration."""

DEFAULT_CONNECTIONS = 4
"""Connections that an endpoint accepts if its database declares no limit."""


class Gateway:
    """Owns the connection pools and notifies waiting requests of changes.

    Parameters
    ----------
    board : GatewayBlackboard
        State that controllers share.
    endpoint_codec : object
        Codec of the endpoints' protocol.

    Attributes
    ----------
    shares : dict of str to int
        Connections that this node may open, by endpoint.
    forwarder : Forwarder or None
        Forwards work to nodes that hold connections for others.
    open_writes : dict of (str, int) to int
        Running writes by database and version of its assignment.
    allowances : Allowances or None
        Takes the tokens of customers' limits.
    request_configuration : callable or None
        Asks the coordinator for a newer configuration.
    stop : StopSchedule or None
        Schedule of the graceful stop of this node; None while it is not stopping.
    """

    def __init__(self, *, board: blackboard.GatewayBlackboard, endpoint_codec) -> None:
        self.board = board
        self.endpoint_codec = endpoint_codec
        self.metrics = metrics.Metrics()
        self.hedge_budget = hedging.HedgeBudget()
        self.connection_pools: dict[str, connection_pools.ConnectionPool] = {}
        self.shares: dict[str, int] = {}
        self.forwarder: forwarding.Forwarder | None = None
        self.open_writes: dict[tuple[str, int], int] = {}
        self.allowances = None
        self.request_configuration = None
        self.stop: shutdown.StopSchedule | None = None
        self._requested_at = float("-inf")
        self._changed = asyncio.Event()
        self._primary_waits: dict[str, set[asyncio.Timeout]] = {}

    def get_pool(self, endpoint: catalog.Endpoint):
        """Return the pool of an endpoint, a remote one if other nodes hold it."""
        forwarder = self.forwarder
        if forwarder is not None and forwarder.is_forwarded(endpoint.id):
            return remote_pools.RemotePool(endpoint=endpoint, forwarder=forwarder)
        return self.get_local_pool(endpoint)

    def get_local_pool(
        self, endpoint: catalog.Endpoint
    ) -> connection_pools.ConnectionPool:
        """Return this node's pool; a restarted endpoint gets a new one."""
        pool = self.connection_pools.get(endpoint.id)
        if pool is not None and (
            pool.endpoint.address != endpoint.address
            or pool.endpoint.started != endpoint.started
        ):
            pool.close()
            pool = None
        if pool is None:
            pool = connection_pools.ConnectionPool(
                endpoint=endpoint,
                codec=self.endpoint_codec,
                view=self._make_view(endpoint),
                accepts_requests=functools.partial(
                    self.board.leave_deadlines.accepts, endpoint.id
                ),
            )
            self.connection_pools[endpoint.id] = pool
        return pool

    def apply_configuration(self, configuration: catalog.Configuration) -> bool:
        """Put a configuration in force.

        Returns
        -------
        bool
            False if the version in force is as new or newer; nothing changes then.
        """
        current = self.board.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.board.configuration = configuration
        if self.allowances is not None and configuration.customers is not None:
            self.allowances.forget_customers(configuration.customers.by_name)
        self.refresh_views()
        logs.write(
            logs.LogEvent.CONFIGURATION_APPLIED,
            {"version": configuration.version, "routes": len(configuration.routes)},
        )
        self.notify()
        return True

    def apply_endpoints(
        self, endpoints: dict[str, catalog.Endpoint], read_at: float | None = None
    ) -> None:
        """Replace the registered endpoints and close the pools of removed ones.

        Parameters
        ----------
        read_at : float or None
            Time at which the registry certainly had them, in seconds; None for now.
        """
        previous = self.board.endpoints
        deadlines = self.board.leave_deadlines
        read_at = clocks.read_clock() if read_at is None else read_at
        if endpoints == previous:
            deadlines.confirm(read_at)
            return
        deadlines.observe(previous, endpoints, read_at)
        for endpoint in endpoints.values():
            if previous.get(endpoint.id) != endpoint:
                logs.write(
                    logs.LogEvent.ENDPOINT_REGISTERED,
                    {
                        "endpoint": endpoint.id,
                        "database": endpoint.database,
                        "address": endpoint.address,
                        "place": endpoint.place,
                        "leaving": endpoint.leaving,
                        "leads": endpoint.leads,
                        "started": endpoint.started,
                    },
                )
        self.board.replace_endpoints(endpoints, clocks.read_clock())
        for endpoint_id in previous.keys() - endpoints.keys():
            self.board.reported_waits.pop(endpoint_id, None)
            logs.write(logs.LogEvent.ENDPOINT_REMOVED, {"endpoint": endpoint_id})
            self.board.health.pop(endpoint_id, None)
            pool = self.connection_pools.pop(endpoint_id, None)
            if pool is not None:
                pool.close()
        for endpoint_id, pool in list(self.connection_pools.items()):
            endpoint = endpoints.get(endpoint_id)
            if endpoint is None:
                # Work that had started before the removal opened it.
                del self.connection_pools[endpoint_id]
                pool.close()
                continue
            pool = self.get_local_pool(endpoint)
            pool.endpoint = endpoint
            if endpoint.leaving:
                pool.close_idle(0, clocks.read_clock())
        self.notify()

    def end_leaving(self) -> None:
        """Turn away what waits for endpoints whose time to leave has come.

        It may run elsewhere. Open transactions go on where they are.
        """
        now = clocks.read_clock()
        for endpoint_id in self.board.leave_deadlines.take_ended(now):
            endpoint = self.board.endpoints.get(endpoint_id)
            if endpoint is None:
                continue
            logs.write(
                logs.LogEvent.ENDPOINT_LEFT,
                {"endpoint": endpoint_id, "database": endpoint.database},
            )
            pool = self.connection_pools.get(endpoint_id)
            if pool is not None:
                pool.refuse_waiting(connection_pools.LEFT_REASON, transactions=False)
            self.notify()

    def refresh_views(self) -> None:
        """Update the limits and ranks of all pools."""
        for pool in self.connection_pools.values():
            pool.view = self._make_view(pool.endpoint)
            pool.start_waiting()

    def may_start_work(self) -> bool:
        """Return whether work may start; not so late in a stop of this node."""
        return self.stop is None or self.stop.may_start(clocks.read_clock())

    def compute_deadline(self, route: catalog.Route) -> float:
        """Return the deadline of a statement that arrives now.

        A node that stops answers every request before its process ends.
        """
        return self.cap_deadline(clocks.read_clock() + route.statement_seconds)

    def cap_deadline(self, deadline: float) -> float:
        """Return a deadline that leaves time to answer before this node stops."""
        return deadline if self.stop is None else self.stop.cap(deadline)

    def notify(self) -> None:
        """Wake the requests that wait for a change of the blackboard."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, deadline: float) -> None:
        """Wait until the blackboard changes or a deadline passes."""
        changed = self._changed
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, deadline - clocks.read_clock())):
                await changed.wait()

    async def find_customer(self, route, digest: bytes | None, *, wait: bool):
        """Return the customer that holds a key.

        A key that is not known may be new: with ``wait`` the coordinator is then
        asked for a newer configuration, once in an interval by all that wait.

        Parameters
        ----------
        route : Route
            Route of the session; a public one needs no key.

        Returns
        -------
        (bool, Customer or None)
            Whether the session is allowed, and its customer, None if it has none.
        """
        directory = self.board.configuration.customers
        if directory is None or route.public:
            return True, None
        customer = directory.find(digest)
        if customer is not None or not wait or self.request_configuration is None:
            return customer is not None, customer
        now = clocks.read_clock()
        if now - self._requested_at > KEY_REQUEST_INTERVAL_SECONDS:
            self._requested_at = now
            self.request_configuration()
        deadline = self._requested_at + KEY_WAIT_SECONDS
        while customer is None and clocks.read_clock() < deadline:
            await self.wait_for_change(deadline)
            directory = self.board.configuration.customers
            if directory is None:
                return True, None
            customer = directory.find(digest)
        return customer is not None, customer

    async def acquire_from(
        self, pool, rank: int, deadline: float, state, *, version: int, customer: str
    ) -> connection_pools.Checkout:
        """Wait for a slot and a connection while the endpoint stays the primary.

        Parameters
        ----------
        version : int
            Version of the primary's assignment under which the work runs; 0 for
            work at a replica, which a change of primary does not end.
        customer : str
            Customer that the work belongs to, empty without customers.

        Raises
        ------
        PrimaryChangedError
            If the primary is replaced first.
        RefusalError, EndpointConnectionError
            As :meth:`connection_pools.ConnectionPool.acquire`.
        """
        if not version:
            return await pool.acquire(rank, deadline, state, customer=customer)
        waiting = self._primary_waits.setdefault(pool.endpoint.database, set())
        try:
            async with asyncio.timeout(None) as timeout:
                waiting.add(timeout)
                try:
                    return await pool.acquire(
                        rank, deadline, state, version=version, customer=customer
                    )
                finally:
                    waiting.discard(timeout)
        except TimeoutError as error:
            raise connection_pools.PrimaryChangedError from error

    def cancel_waiting(self, database: str) -> None:
        """End the waits for a slot of a database's primary, which is being replaced.

        The waiting work then chooses an endpoint anew.
        """
        now = asyncio.get_running_loop().time()
        for timeout in self._primary_waits.pop(database, set()):
            timeout.reschedule(now)

    def estimate_wait(self, endpoint_id: str) -> float:
        """Return the expected wait for a slot of an endpoint in seconds."""
        forwarder = self.forwarder
        if forwarder is not None and forwarder.is_forwarded(endpoint_id):
            report = self.board.reported_waits.get(endpoint_id)
            return 0.0 if report is None else report.estimate(clocks.read_clock())
        pool = self.connection_pools.get(endpoint_id)
        if pool is None:
            return 0.0
        return pool.estimate_wait(self.board.get_health(endpoint_id).latency)

    def start_write(self, database: str, version: int) -> None:
        """Count a write that starts under a version of the primary's assignment."""
        key = (database, version)
        self.open_writes[key] = self.open_writes.get(key, 0) + 1

    def end_write(self, database: str, version: int) -> None:
        """Count the end of a write."""
        key = (database, version)
        self.open_writes[key] -= 1
        if not self.open_writes[key]:
            del self.open_writes[key]

    def has_open_writes(self, database: str, version: int) -> bool:
        """Return whether writes are running under a version or an earlier one."""
        return any(
            name == database and open_version <= version
            for name, open_version in self.open_writes
        )

    def measure_demand(self, *, reset: bool = True) -> dict[str, int]:
        """Return the connections that this node could use, by endpoint.

        The counts are peaks; with ``reset`` a new measurement starts.
        """
        return {
            endpoint: pool.measure_demand(reset=reset)
            for endpoint, pool in self.connection_pools.items()
        }

    def list_limits(self) -> list[tuple[str, str, str, int]]:
        """Return id, place, region and usable connections of each endpoint."""
        configuration = self.board.configuration
        limits = configuration.connections if configuration is not None else {}
        reserved = RESERVED_CONNECTIONS
        if self.has_customers():
            reserved += REPLACED_CONNECTIONS
        return [
            (
                endpoint.id,
                endpoint.place,
                self.board.regions.get(endpoint.place, ""),
                max(
                    1,
                    limits.get(endpoint.database, DEFAULT_CONNECTIONS) - reserved,
                ),
            )
            for endpoint in self.board.endpoints.values()
        ]

    def list_holders(self, endpoint_id: str, customer: str) -> list[str]:
        """Return the hosts whose connections work at an endpoint would use."""
        forwarder = self.forwarder
        if forwarder is None or not forwarder.is_forwarded(endpoint_id):
            return []
        return [host for host, _ in forwarder.list_choices(endpoint_id, customer)]

    def has_customers(self) -> bool:
        """Return whether connections to endpoints belong to customers."""
        configuration = self.board.configuration
        return configuration is not None and configuration.customers is not None

    def apply_shares(self, shares: dict[str, int]) -> None:
        """Apply this node's shares of the endpoints' connections."""
        if shares == self.shares:
            return
        self.shares = shares
        self.refresh_views()

    def _make_view(self, endpoint: catalog.Endpoint):
        configuration = self.board.configuration
        ranks = {0}
        limit = DEFAULT_CONNECTIONS
        if configuration is not None:
            ranks = {route.rank for route in configuration.routes.values()} or ranks
            limit = configuration.connections.get(endpoint.database, limit)
        share = self.shares.get(endpoint.id, min(limit, INITIAL_CONNECTIONS))
        return catalog.make_view(
            endpoint.database,
            configuration.version if configuration else 0,
            endpoint.slots,
            share,
            ranks,
        )
