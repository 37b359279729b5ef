"""Lookup tables for routing and scheduling, derived from a pool's document."""

import attrs

from hyssopshelf.configuration import resources


@attrs.frozen(kw_only=True)
class PoolView:
    """Lookup tables of one pool for routing and scheduling.

    Attributes
    ----------
    pool : str
        Name of the pool.
    version : int
        Version of the document.
    slots, connections : int
        Limits of each endpoint.
    databases : dict of str to DatabaseSpec
        Databases by name.
    ranks : dict of str to RankSpec
        Ranks by name.
    kinds : dict of (str, str) to KindSpec
        Kinds of work by partner and name.
    capacity, bill : dict of str to float
        Shares by partner.
    """

    pool: str
    version: int
    slots: int
    connections: int
    databases: dict[str, resources.DatabaseSpec]
    ranks: dict[str, resources.RankSpec]
    kinds: dict[tuple[str, str], resources.KindSpec]
    capacity: dict[str, float]
    bill: dict[str, float]


def build_view(document: resources.Document) -> PoolView | None:
    """Return the view of a document, None if its pool is deleted."""
    by_kind: dict[resources.ResourceKind, dict] = {
        kind: {} for kind in resources.ResourceKind
    }
    for resource in document.resources:
        by_kind[resource.kind][resource.name] = resource.spec
    pool = by_kind[resources.ResourceKind.POOL].get(document.pool)
    if pool is None:
        return None
    splits = list(by_kind[resources.ResourceKind.SPLIT].values())
    even = {name: 1.0 / len(pool.partners) for name in pool.partners}
    return PoolView(
        pool=document.pool,
        version=document.version,
        slots=pool.slots,
        connections=pool.connections,
        databases={database.name: database for database in pool.databases},
        ranks=by_kind[resources.ResourceKind.RANK],
        kinds={
            (partner, kind.name): kind
            for partner, spec in by_kind[resources.ResourceKind.PARTNER].items()
            for kind in spec.kinds
        },
        capacity=splits[0].capacity if splits else even,
        bill=splits[0].bill if splits else even,
    )
