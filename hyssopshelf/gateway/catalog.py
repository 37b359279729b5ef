"""What the gateway serves: routes, databases, endpoints and limits."""

import attrs

from hyssopshelf.configuration import resources, views

DEFAULT_PARTNER = "shared"
"""Partner of all work while the operator declares no partners."""

QUEUE_LIMIT = 64
"""Statements of a rank that wait for one endpoint at one node at most; above
that the expected wait exceeds the statement timeouts of all known routes."""

LOW_RANK_FLOOR = 0.08
"""Part of an endpoint's service that each rank below the first keeps while more
urgent work floods in."""


class ReadRule:
    """Which data the reads of a route may see."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    OWN_WRITES = "own_writes"


@attrs.frozen(kw_only=True)
class Route:
    """How the sessions of one name are served.

    Attributes
    ----------
    name : str
        Database name that clients ask for.
    database : str
        Group of endpoints that serves it.
    read_rule : str
        A constant of ReadRule.
    staleness_seconds : float
        Greatest age of the data that a read outside the primary may see.
    statement_seconds : float
        Longest time for one statement.
    objective_seconds : float
        Intended time for a whole operation.
    rank : int
        Urgency, 0 first.
    """

    name: str
    database: str
    read_rule: str
    staleness_seconds: float = 0.0
    statement_seconds: float
    objective_seconds: float
    rank: int


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
    """One version of the operator's configuration."""

    version: int
    routes: dict[str, Route]
    connections: dict[str, int]
    limits: Limits


@attrs.frozen(kw_only=True)
class Endpoint:
    """An endpoint as the registry describes it.

    Attributes
    ----------
    started : int
        Start of this incarnation, Unix time in milliseconds.
    slots : int
        Statements that it runs at the same time.
    leads : bool
        Whether it reports itself as the primary.
    """

    id: str
    database: str
    address: str
    place: str
    slots: int
    leaving: bool
    leads: bool
    started: int


def make_view(
    database: str, version: int, slots: int, connections: int, ranks: set[int]
) -> views.PoolView:
    """Return the scheduler's view of an endpoint."""
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
    """Return the scheduler's name of a rank."""
    return f"rank-{rank}"
