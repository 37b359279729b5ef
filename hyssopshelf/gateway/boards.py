"""The gateway's blackboard: what its controllers read and write."""

import attrs

from hyssopshelf.gateway import catalog, freshness, statements


@attrs.frozen(kw_only=True)
class Tenure:
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
    judged_at : float
        Time of the last such statement.
    held : LogPosition or None
        Position of its log when it last refused a read because it lags.
    refusals : int
        Such refusals in a row.
    lags_until : float
        Time up to which reads that need more than ``held`` go elsewhere.
    """

    failures: int = 0
    failing_since: float | None = None
    avoid_until: float = 0.0
    latency: float = 0.0
    answered_at: float = float("-inf")
    error_share: float = 0.0
    judged_at: float = 0.0
    held: statements.LogPosition | None = None
    refusals: int = 0
    lags_until: float = 0.0


@attrs.define(kw_only=True)
class Board:
    """State of one gateway.

    Attributes
    ----------
    place, region : str
        Where this host stands.
    regions : dict of str to str
        Region of each place.
    configuration : Catalog or None
        Configuration in force.
    endpoints : dict of str to Endpoint
        Registered endpoints by id.
    tenures : dict of str to Tenure
        Believed primaries by database.
    logs : dict of str to PrimaryLog
        Observed positions by database.
    health : dict of str to EndpointHealth
        Judgement of endpoints by id.
    isolated : bool
        Whether this node reaches no coordinator, so it cannot learn of a primary.
    closing : set of str
        Databases whose primary takes no new work because it is being replaced.
    """

    place: str
    region: str
    regions: dict[str, str]
    configuration: catalog.Catalog | None = None
    endpoints: dict[str, catalog.Endpoint] = attrs.field(factory=dict)
    tenures: dict[str, Tenure] = attrs.field(factory=dict)
    logs: dict[str, freshness.PrimaryLog] = attrs.field(factory=dict)
    health: dict[str, EndpointHealth] = attrs.field(factory=dict)
    closing: set[str] = attrs.field(factory=set)
    draining: bool = False
    isolated: bool = False

    def get_log(self, database: str) -> freshness.PrimaryLog:
        """Return the observations of a database."""
        return self.logs.setdefault(database, freshness.PrimaryLog())

    def get_health(self, endpoint: str) -> EndpointHealth:
        """Return the judgement of an endpoint."""
        return self.health.setdefault(endpoint, EndpointHealth())

    def find_primary(self, database: str, now: float) -> catalog.Endpoint | None:
        """Return the primary if the belief in it is valid."""
        tenure = self.tenures.get(database)
        if tenure is None or tenure.valid_until <= now or database in self.closing:
            return None
        return self.endpoints.get(tenure.endpoint)
