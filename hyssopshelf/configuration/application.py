"""Applies a document to the lookup tables and records of the node."""

from hyssopshelf import blackboard, invariants, logs
from hyssopshelf.configuration import resources, views


def apply_document(
    board, document: resources.Document, now: float, source: str = ""
) -> None:
    """Put a document in force; endpoints and databases it keeps retain their state.

    Parameters
    ----------
    board : blackboard.Blackboard
        State of the node.
    document : Document
        The document; the caller has checked that it is newer.
    now : float
        Time on the node's clock, in seconds.
    source : str
        Where the document came from, for the log.
    """
    held = board.documents.get(document.pool)
    if held is not None:
        invariants.check_version(document.pool, held.version, document.version)
    board.documents[document.pool] = document
    board.configuration.changes += 1
    view = views.build_view(document)
    _remove_missing(board, document.pool, board.pools.get(document.pool), view)
    if view is None:
        board.pools.pop(document.pool, None)
    else:
        board.pools[document.pool] = view
        for database in view.databases.values():
            _apply_database(board, document.pool, database, now)
    board.log(
        logs.LogEvent.CONFIGURATION_APPLIED,
        pool=document.pool,
        version=document.version,
        source=source,
    )


def _apply_database(board, pool: str, spec: resources.DatabaseSpec, now) -> None:
    name = f"{pool}/{spec.name}"
    names = tuple(f"{name}/{endpoint.name}" for endpoint in spec.endpoints)
    record = board.databases.get(name)
    if record is None:
        board.databases[name] = blackboard.DatabaseRecord(
            name=name, pool=pool, endpoints=names
        )
    else:
        record.endpoints = names
        if record.primary not in names:
            record.primary = ""
    for full_name, endpoint in zip(names, spec.endpoints, strict=True):
        _apply_endpoint(board, pool, name, full_name, endpoint, now)


def _apply_endpoint(board, pool, database, name, spec, now) -> None:
    record = board.endpoints.get(name)
    if record is None or record.address != spec.address:
        record = blackboard.EndpointRecord(
            name=name,
            pool=pool,
            database=database,
            place=spec.place,
            address=spec.address,
        )
        board.endpoints[name] = record
    record.place = spec.place
    if not spec.leaving:
        record.leaving_at = None
    elif record.leaving_at is None:
        record.leaving_at = now


def _remove_missing(
    board, pool: str, old: views.PoolView | None, new: views.PoolView | None
) -> None:
    """Remove the records of databases and endpoints that the new view lacks.

    Only names of this pool are compared: a starting node applies thousands
    of documents, and the tables then hold tens of thousands of records.
    """
    old_databases, old_endpoints = _list_names(pool, old)
    new_databases, new_endpoints = _list_names(pool, new)
    for name in old_databases - new_databases:
        board.databases.pop(name, None)
    for name in old_endpoints - new_endpoints:
        board.endpoints.pop(name, None)
        board.placement.pop(name, None)


def _list_names(pool: str, view: views.PoolView | None) -> tuple[set[str], set[str]]:
    """Return the full names of the databases and endpoints of a view."""
    databases = set()
    endpoints = set()
    if view is not None:
        for spec in view.databases.values():
            databases.add(f"{pool}/{spec.name}")
            endpoints.update(f"{pool}/{spec.name}/{e.name}" for e in spec.endpoints)
    return databases, endpoints
