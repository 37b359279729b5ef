"""Shared state of a gateway node, which its controllers read and write."""

import attrs

from hyssopshelf.balancing import spillover
from hyssopshelf.gateway import catalog, freshness, leaving, statements


@attrs.frozen(kw_only=True)
class PrimaryGrant:
    """Time-limited right to use an endpoint as the primary of its database.

    Attributes
    ----------
    endpoint : str
        Id of the primary.
    term : int
        Term in which the endpoint is the primary.
    version : int
        Version of the assignment; a higher one replaces it.
    valid_until : float
        Clock time of expiry, in seconds. Until then this node may send work to the
        hosts that hold connections to the primary; these check their own grants.
    direct_until : float
        Clock time until which this node may use its own connections; no other
        endpoint is promoted before. Usually ``valid_until`` or in the past.
    """

    endpoint: str
    term: int
    version: int
    valid_until: float
    direct_until: float = attrs.field(
        default=attrs.Factory(lambda grant: grant.valid_until, takes_self=True)
    )

    def is_valid(self, now: float, *, direct: bool) -> bool:
        """Return whether the primary may be used, over own connections if direct."""
        return now < (self.direct_until if direct else self.valid_until)


@attrs.define(kw_only=True)
class EndpointHealth:
    """Health of an endpoint, derived from its answers and failures.

    Times are readings of the clock, in seconds.

    Attributes
    ----------
    failures : int
        Consecutive failures to connect or to answer.
    failing_since : float or None
        Time of the first of these failures; None without failures.
    avoid_until : float
        Time until which other endpoints are preferred.
    latency : float
        Moving average of the response time, in seconds; 0 without a sample.
    answered_at : float
        Time of the last answer.
    error_share : float
        Moving average of the share of statements that failed or lost their
        connection.
    error_share_at : float
        Time of the last update of ``error_share``.
    lag_position : LogPosition or None
        End of the replica's log when it last refused a read because it lags.
    lag_refusals : int
        Consecutive reads refused because of lag.
    lagging_until : float
        Time until which reads beyond ``lag_position`` go to other endpoints.
    """

    failures: int = 0
    failing_since: float | None = None
    avoid_until: float = 0.0
    latency: float = 0.0
    answered_at: float = float("-inf")
    error_share: float = 0.0
    error_share_at: float = 0.0
    lag_position: statements.LogPosition | None = None
    lag_refusals: int = 0
    lagging_until: float = 0.0


REMOVED_SECONDS = 10.0
"""Time for which an endpoint that the registry has lost may come back with its log.
With the time until its entry is removed, a change of primary stays below 17 s."""


@attrs.frozen(kw_only=True)
class RemovedEndpoint:
    """An endpoint that is no longer registered.

    Attributes
    ----------
    endpoint : Endpoint
        Its last entry.
    until : float
        Clock time from which it counts as gone, in seconds.
    """

    endpoint: catalog.Endpoint
    until: float


@attrs.define(kw_only=True)
class GatewayBlackboard:
    """State that the controllers of a gateway node share.

    Attributes
    ----------
    place, region : str
        Place and region of this host.
    regions : dict of str to str
        Region of each place.
    configuration : Configuration or None
        Configuration in force.
    endpoints : dict of str to Endpoint
        Registered endpoints by id.
    removed_endpoints : dict of str to RemovedEndpoint
        Endpoints that were registered a short time ago, by id.
    primary_grants : dict of str to PrimaryGrant
        Latest grant of each database; it may have expired.
    primary_positions : dict of str to PrimaryPositions
        Observed log positions of the primary, by database.
    health : dict of str to EndpointHealth
        Health of endpoints by id.
    held_elsewhere : set of str
        Endpoints whose connections only other nodes hold.
    releasing : set of str
        Databases whose primary takes no new work because it is being replaced.
    draining : bool
        Whether this node is shutting down and finishes open work.
    prices : Prices or None
        Prices of leaving the failure domain and the region; None if work goes to the
        endpoint of the lowest cost.
    reported_waits : dict of str to ReportedWait
        Waits that holders of endpoints reported, by endpoint.
    spillovers : dict of str to Spillover
        What leaves the region, by database.
    isolated : bool
        Whether this node reaches no coordinator, so it cannot learn of a primary;
        requests for one are refused instead of waiting.
    leave_deadlines : LeaveDeadlines
        Until when endpoints that leave may be sent requests.
    """

    place: str
    region: str
    regions: dict[str, str]
    configuration: catalog.Configuration | None = None
    endpoints: dict[str, catalog.Endpoint] = attrs.field(factory=dict)
    removed_endpoints: dict[str, RemovedEndpoint] = attrs.field(factory=dict)
    primary_grants: dict[str, PrimaryGrant] = attrs.field(factory=dict)
    primary_positions: dict[str, freshness.PrimaryPositions] = attrs.field(factory=dict)
    health: dict[str, EndpointHealth] = attrs.field(factory=dict)
    held_elsewhere: set[str] = attrs.field(factory=set)
    releasing: set[str] = attrs.field(factory=set)
    draining: bool = False
    prices: spillover.Prices | None = None
    reported_waits: dict[str, spillover.ReportedWait] = attrs.field(factory=dict)
    spillovers: dict[str, spillover.Spillover] = attrs.field(factory=dict)
    isolated: bool = False
    leave_deadlines: leaving.LeaveDeadlines = attrs.field(
        factory=leaving.LeaveDeadlines
    )

    def get_positions(self, database: str) -> freshness.PrimaryPositions:
        """Return the log positions of a database's primary, created on demand."""
        return self.primary_positions.setdefault(database, freshness.PrimaryPositions())

    def get_health(self, endpoint: str) -> EndpointHealth:
        """Return the health of an endpoint, created on demand."""
        return self.health.setdefault(endpoint, EndpointHealth())

    def replace_endpoints(
        self, endpoints: dict[str, catalog.Endpoint], now: float
    ) -> None:
        """Replace the registered endpoints and remember the removed ones for a time."""
        removed = {
            endpoint_id: RemovedEndpoint(endpoint=endpoint, until=now + REMOVED_SECONDS)
            for endpoint_id, endpoint in self.endpoints.items()
        }
        self.removed_endpoints = {
            endpoint_id: entry
            for endpoint_id, entry in {**self.removed_endpoints, **removed}.items()
            if endpoint_id not in endpoints and now < entry.until
        }
        self.endpoints = endpoints

    def list_missing(self, database: str, now: float) -> list[str]:
        """Return the ids of a database's endpoints that may come back with their logs.

        One that left as planned does not: its log passes to the next endpoint at its
        address.
        """
        addresses = {
            endpoint.address
            for endpoint in self.endpoints.values()
            if endpoint.database == database
        }
        return [
            endpoint_id
            for endpoint_id, entry in self.removed_endpoints.items()
            if entry.endpoint.database == database
            and now < entry.until
            and not (entry.endpoint.leaving and entry.endpoint.address in addresses)
        ]

    def find_primary(self, database: str, now: float) -> catalog.Endpoint | None:
        """Return the primary, or None if no request may be sent to one now.

        Its grant may have expired, it may be in the course of being replaced, or its
        time to leave may have come.
        """
        grant = self.primary_grants.get(database)
        if grant is None or database in self.releasing:
            return None
        if not grant.is_valid(now, direct=grant.endpoint not in self.held_elsewhere):
            return None
        if not self.leave_deadlines.accepts(grant.endpoint, now):
            return None
        return self.endpoints.get(grant.endpoint)

    def have_all_left(self, database: str, now: float) -> bool:
        """Return whether no registered endpoint may be sent requests any more."""
        registered = [e for e in self.endpoints.values() if e.database == database]
        return bool(registered) and not any(
            self.leave_deadlines.accepts(endpoint.id, now) for endpoint in registered
        )
