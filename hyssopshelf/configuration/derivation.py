"""Records of the blackboard that are derived from a pool's document."""

from hyssopshelf.configuration import resources, views


def apply_document(board, document: resources.Document, now: float) -> None:
    """Put a document in force on this node.

    The run-time state of endpoints and databases that stay is kept. A new
    database has no known primary until a status tells it.

    Parameters
    ----------
    board : blackboard.Blackboard
        State of the node.
    document : Document
        The document; the caller has checked that it is newer.
    now : float
        Time on the node's clock, in seconds.
    """
    view = views.build_view(document)
    board.documents[document.pool] = document
    if view is None:
        board.pools.pop(document.pool, None)
    else:
        board.pools[document.pool] = view
    _derive_endpoints(board, document.pool, view, now)
    _derive_databases(board, document.pool, view)


def _derive_endpoints(
    board, pool: str, view: views.PoolView | None, now: float
) -> None:
    """Add, update and remove endpoint records of a pool."""
    from hyssopshelf import blackboard  # blackboard imports this subpackage

    declared = {
        f"{pool}/{database.name}/{spec.name}": (f"{pool}/{database.name}", spec)
        for database in (view.databases.values() if view else ())
        for spec in database.endpoints
    }
    for name in [item.name for item in board.endpoints.values() if item.pool == pool]:
        if name not in declared:
            del board.endpoints[name]
    for name, (database, spec) in declared.items():
        record = board.endpoints.get(name)
        # Another address means another process; its status is not known.
        if record is None or record.address != spec.address:
            record = blackboard.EndpointRecord(
                name=name,
                pool=pool,
                database=database,
                place=spec.place,
                address=spec.address,
                leaving_at=record.leaving_at if record else None,
            )
            board.endpoints[name] = record
        record.place = spec.place
        if not spec.leaving:
            record.leaving_at = None
        elif record.leaving_at is None:
            record.leaving_at = now


def _derive_databases(board, pool: str, view: views.PoolView | None) -> None:
    """Add, update and remove database records of a pool."""
    from hyssopshelf import blackboard  # blackboard imports this subpackage

    declared = {
        f"{pool}/{database.name}": tuple(
            f"{pool}/{database.name}/{spec.name}" for spec in database.endpoints
        )
        for database in (view.databases.values() if view else ())
    }
    for name in [item.name for item in board.databases.values() if item.pool == pool]:
        if name not in declared:
            del board.databases[name]
    for name, endpoints in declared.items():
        record = board.databases.get(name)
        if record is None:
            board.databases[name] = blackboard.DatabaseRecord(
                name=name, pool=pool, endpoints=endpoints
            )
            continue
        record.endpoints = endpoints
        if record.primary not in endpoints:
            record.primary = ""
