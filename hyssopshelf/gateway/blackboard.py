"""The gateway's blackboard: what its controllers read and write."""

import attrs

from hyssopshelf.gateway import catalog, freshness, statements


@attrs.frozen(kw_only=True)
class PrimaryGrant:
    """The belief that an endpoint is the primary of its database.

    Attributes
    ----------
    term : int
        Term in which it leads.
    version : int
        Version of the assignment; a later one replaces it.
    valid_until : float
        Time up to which no other endpoint can have been promoted.
    """

    endpoint: str
    term: int
    version: int
    valid_until: float


@attrs.define(kw_only=True)
class EndpointHealth:
    """What answers and connection attempts show of an endpoint.

    Attributes
    ----------
    failures : int
        Failures in a row.
    failing_since : float or None
        Time of the first of them.
    avoid_until : float
        Time up to which other endpoints are preferred.
    latency : float
        Moving average of the time from sending to the answer, in seconds.
    answered_at : float
        Time of the last answer.
    error_share : float
        Moving share of statements that ran and failed or broke.
    error_share_at : float
        Time of the last such statement.
    lag_position : LogPosition or None
        Position of its log when it last refused a read because it lags.
    refusals : int
        Such refusals in a row.
    lags_until : float
        Time up to which reads that need more than ``lag_position`` go elsewhere.
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


@attrs.define(kw_only=True)
class GatewayBlackboard:
    """State of one gateway.

    Attributes
    ----------
    place, region : str
        Where this host stands.
    regions : dict of str to str
        Region of each place.
    configuration : Configuration or None
        Configuration in force.
    endpoints : dict of str to Endpoint
        Registered endpoints by id.
    primary_grants : dict of str to PrimaryGrant
        Believed primaries by database.
    primary_positions : dict of str to PrimaryPositions
        Observed positions by database.
    health : dict of str to EndpointHealth
        Judgement of endpoints by id.
    isolated : bool
        Whether this node reaches no coordinator, so it cannot learn of a primary.
    releasing : set of str
        Databases whose primary takes no new work because it is being replaced.
    """

    place: str
    region: str
    regions: dict[str, str]
    configuration: catalog.Configuration | None = None
    endpoints: dict[str, catalog.Endpoint] = attrs.field(factory=dict)
    primary_grants: dict[str, PrimaryGrant] = attrs.field(factory=dict)
    primary_positions: dict[str, freshness.PrimaryPositions] = attrs.field(factory=dict)
    health: dict[str, EndpointHealth] = attrs.field(factory=dict)
    releasing: set[str] = attrs.field(factory=set)
    draining: bool = False
    isolated: bool = False

    def get_positions(self, database: str) -> freshness.PrimaryPositions:
        """Return the observations of a database."""
        return self.primary_positions.setdefault(database, freshness.PrimaryPositions())

    def get_health(self, endpoint: str) -> EndpointHealth:
        """Return the judgement of an endpoint."""
        return self.health.setdefault(endpoint, EndpointHealth())

    def find_primary(self, database: str, now: float) -> catalog.Endpoint | None:
        """Return the primary if the belief in it is valid."""
        grant = self.primary_grants.get(database)
        if grant is None or grant.valid_until <= now or database in self.releasing:
            return None
        return self.endpoints.get(grant.endpoint)
