"""Declared resources and the versioned document that holds those of one pool."""

import enum

import attrs

MAJORITY = "majority"
CONFIRMED = "confirmed"
ACKNOWLEDGEMENTS = (MAJORITY, CONFIRMED)
"""Levels at which a write is acknowledged."""


class ResourceKind(enum.Enum):
    """Kinds of resources."""

    POOL = "Pool"
    PARTNER = "Partner"
    RANK = "Rank"
    SPLIT = "Split"


@attrs.frozen(kw_only=True)
class EndpointSpec:
    """One endpoint of a database.

    Attributes
    ----------
    name : str
        Name within the database.
    address : str
        ``IP:port`` of its websocket interface.
    place : str
        Place where it runs.
    leaving : bool
        True while it is being taken out of service.
    """

    name: str
    address: str
    place: str
    leaving: bool = False


@attrs.frozen(kw_only=True)
class DatabaseSpec:
    """A database: a group of endpoints with one primary."""

    name: str
    endpoints: tuple[EndpointSpec, ...]


@attrs.frozen(kw_only=True)
class PoolSpec:
    """Databases declared together, with the limits of their endpoints.

    Attributes
    ----------
    databases : tuple of DatabaseSpec
        The databases.
    partners : tuple of str
        Partners whose statements may use the pool.
    slots : int
        Statements that an endpoint runs at the same time.
    connections : int
        Connections that an endpoint accepts.
    """

    databases: tuple[DatabaseSpec, ...]
    partners: tuple[str, ...]
    slots: int
    connections: int


@attrs.frozen(kw_only=True)
class KindSpec:
    """A kind of work of a partner.

    Attributes
    ----------
    name : str
        Name of the kind.
    rank : str
        Its rank.
    staleness_seconds : float
        Maximum age, in seconds, of the data that a bounded read may return.
    """

    name: str
    rank: str
    staleness_seconds: float = 0.0


@attrs.frozen(kw_only=True)
class PartnerSpec:
    """A partner of a pool and its kinds of work."""

    kinds: tuple[KindSpec, ...]


@attrs.frozen(kw_only=True)
class RankSpec:
    """A priority class of statements.

    Attributes
    ----------
    order : int
        0 is served first.
    floor : float
        Minimum part of the service, 0 to 1, that the rank keeps under overload.
    target_seconds : float
        Target for the time in the queue, in seconds.
    queue_limit : int
        Statements of the rank that may wait at one endpoint.
    acknowledge : str
        ``majority`` or ``confirmed``.
    """

    order: int
    floor: float
    target_seconds: float = 1.0
    queue_limit: int = 100
    acknowledge: str = CONFIRMED


@attrs.frozen(kw_only=True)
class SplitSpec:
    """Agreed shares of a pool by partner; each mapping adds up to 1."""

    capacity: dict[str, float]
    bill: dict[str, float]


Spec = PoolSpec | PartnerSpec | RankSpec | SplitSpec


@attrs.frozen(kw_only=True)
class Resource:
    """A declared resource.

    Attributes
    ----------
    kind : ResourceKind
        Kind of the resource.
    pool : str
        Pool whose document holds it.
    name : str
        Name, unique for its kind within the pool.
    resource_version : int
        Document version of its last change, 0 if it was never accepted.
    spec : Spec
        Desired state.
    """

    kind: ResourceKind
    pool: str
    name: str
    resource_version: int = 0
    spec: Spec


@attrs.frozen(kw_only=True)
class Document:
    """All resources of a pool at one version.

    Attributes
    ----------
    pool : str
        Name of the pool.
    version : int
        Raised by one with each change.
    change_ids : tuple of str
        Ids of the last changes, newest last.
    resources : tuple of Resource
        The resources; empty in the document of a deleted pool.
    """

    pool: str
    version: int
    change_ids: tuple[str, ...] = ()
    resources: tuple[Resource, ...] = ()


SPECS = {
    ResourceKind.POOL: PoolSpec,
    ResourceKind.PARTNER: PartnerSpec,
    ResourceKind.RANK: RankSpec,
    ResourceKind.SPLIT: SplitSpec,
}
