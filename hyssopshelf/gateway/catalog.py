"""Configuration of the gateway: routes, databases, endpoints and limits."""

import attrs

from hyssopshelf.configuration import resources, views
from hyssopshelf.customers import directory

DEFAULT_PARTNER = "shared"
"""Partner that all work belongs to while the operator declares no partners."""

QUEUE_LIMIT = 64
"""Maximum number of statements of one rank that wait for an endpoint at one node;
with more, the expected wait exceeds the statement timeouts of all known routes."""

LOW_RANK_FLOOR = 0.08
"""Minimum share of an endpoint's slot time for each rank below the first while
more urgent work saturates the endpoint."""


class ReadRule:
    """Consistency of a route's reads.

    ``PRIMARY`` reads run at the primary. ``BOUNDED`` reads may run on a replica
    within the staleness bound. ``OWN_WRITES`` reads also see the writes of their
    session.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    OWN_WRITES = "own_writes"


@attrs.frozen(kw_only=True)
class Route:
    """Service of the sessions that connect to one database name.

    Attributes
    ----------
    name : str
        Database name that clients connect to.
    database : str
        Database whose endpoints serve it.
    read_rule : str
        A constant of ReadRule.
    staleness_seconds : float
        Maximum age of the data that a read on a replica may see.
    statement_seconds : float
        Timeout of one statement.
    objective_seconds : float
        Latency objective of a whole operation.
    rank : int
        Priority; 0 is the most urgent.
    public : bool
        Whether sessions need no key and belong to no customer.
    """

    name: str
    database: str
    read_rule: str
    staleness_seconds: float = 0.0
    statement_seconds: float
    objective_seconds: float
    rank: int
    public: bool = False


@attrs.frozen(kw_only=True)
class Limits:
    """Limits on clients.

    Attributes
    ----------
    idle_transaction_seconds : float
        Time after which a transaction without a statement may be rolled back.
    """

    idle_transaction_seconds: float = 30.0


@attrs.frozen(kw_only=True)
class Configuration:
    """One version of the operator's configuration.

    Attributes
    ----------
    version : int
        Version; a higher one replaces it.
    routes : dict of str to Route
        Routes by name.
    connections : dict of str to int
        Connections that each endpoint of a database accepts, by database.
    synchronous : dict of str to int
        Replicas that have received a commit before it is acknowledged, by database.
    limits : Limits
        Limits on clients.
    customers : Directory or None
        Customers and their keys; None if sessions belong to no customer.
    orders : dict of int to int
        Number of ranks that are more urgent than each rank.
    """

    version: int
    routes: dict[str, Route]
    connections: dict[str, int]
    limits: Limits
    synchronous: dict[str, int] = attrs.field(factory=dict)
    customers: directory.Directory | None = None

    orders: dict[int, int] = attrs.field(
        init=False,
        eq=False,
        repr=False,
        default=attrs.Factory(lambda self: _order_ranks(self.routes), takes_self=True),
    )


def _order_ranks(routes: dict[str, Route]) -> dict[int, int]:
    ranks = sorted({route.rank for route in routes.values()})
    return {rank: order for order, rank in enumerate(ranks)}


@attrs.frozen(kw_only=True)
class Endpoint:
    """Registry entry of an endpoint.

    Attributes
    ----------
    address : str
        Host and port, separated by a colon.
    slots : int
        Statements that it runs concurrently.
    leaving : bool
        Whether it is draining, so that other endpoints are preferred.
    leads : bool
        Whether it reports itself as the primary.
    started : int
        Start of this incarnation, Unix time in milliseconds.
    sequence : int
        Number of the entry among those of this incarnation. Entries that differ in it
        alone are the same.
    """

    id: str
    database: str
    address: str
    place: str
    slots: int
    leaving: bool
    leads: bool
    started: int
    sequence: int = attrs.field(default=0, eq=False, repr=False)


def make_view(
    database: str, version: int, slots: int, connections: int, ranks: set[int]
) -> views.PoolView:
    """Return the limits and ranks of an endpoint's queue for the scheduler.

    Parameters
    ----------
    version : int
        Version of the configuration.
    slots : int
        Statements that the endpoint runs concurrently.
    connections : int
        Connections that this node may open.
    """
    return views.PoolView(
        pool=database,
        version=version,
        slots=slots,
        connections=connections,
        databases={},
        ranks={
            get_rank_name(rank): resources.RankSpec(
                order=rank,
                floor=LOW_RANK_FLOOR if rank > min(ranks) else 0.0,
                queue_limit=QUEUE_LIMIT,
            )
            for rank in ranks
        },
        kinds={},
        capacity={DEFAULT_PARTNER: 1.0},
        bill={DEFAULT_PARTNER: 1.0},
    )


def get_rank_name(rank: int) -> str:
    """Return the name under which the scheduler knows a rank."""
    return f"rank-{rank}"
