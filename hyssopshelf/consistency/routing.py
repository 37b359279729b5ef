"""Choice of the endpoint for a statement at its entry node."""

import attrs

from hyssopshelf import messages
from hyssopshelf.consistency import reads

STATUS_TRUST_SECONDS = 1.0
"""Age up to which a replica's last known status may rule it out."""

CATCH_UP_SECONDS = 0.05
"""Lag below which a replica that is behind is tried, because it soon catches up."""


@attrs.frozen(kw_only=True)
class Route:
    """An endpoint for a statement and why it was chosen."""

    endpoint: str
    reason: str


def choose_endpoint(board, request, now: float) -> Route | None:
    """Return the endpoint for a statement, None if there is none to use now.

    Parameters
    ----------
    board : blackboard.Blackboard
        State of the entry node.
    request : blackboard.EntryRequest
        The statement.
    now : float
        Time on the node's monotonic clock, in seconds.
    """
    statement = request.statement
    database = board.databases[f"{statement.pool}/{statement.database}"]
    required = request.token_positions.get(database.name)
    reading = statement.operation is messages.Operation.GET
    if (
        reading
        and not request.primary_only
        and not reads.needs_primary(statement.consistency, required)
    ):
        replica = _choose_replica(board, database, request, required, now)
        if replica is not None:
            return Route(endpoint=replica, reason="replica")
    if not reading and now < database.held_until:
        return None
    if database.primary in board.endpoints:
        return Route(endpoint=database.primary, reason="primary")
    if not database.endpoints:
        return None
    # Any endpoint's serving node knows the primary and answers "not run".
    endpoint = board.random.choice(database.endpoints)
    return Route(endpoint=endpoint, reason="primary is unknown")


def _choose_replica(board, database, request, required, now: float) -> str | None:
    candidates = []
    for name in database.endpoints:
        record = board.endpoints[name]
        if name == database.primary or record.leaving_at is not None:
            continue
        if _may_satisfy(record, request, required, now):
            candidates.append(
                (_compute_distance(board, record), board.random.random(), name)
            )
    return min(candidates)[2] if candidates else None


def _may_satisfy(record, request, required, now: float) -> bool:
    """Return whether a replica may satisfy a read.

    The serving node decides, so a replica with an unknown or old state is tried.
    """
    status = record.status
    if status is None or now - record.status_asked_at > STATUS_TRUST_SECONDS:
        return True
    check_result = reads.check_state(
        status,
        record.status_asked_at,
        request.statement.consistency,
        required,
        request.staleness_seconds,
        now,
    )
    if check_result is reads.CheckResult.BEHIND:
        return status.lag_seconds < CATCH_UP_SECONDS
    return True


def _compute_distance(board, record) -> int:
    """Return 0 for an endpoint in the node's place, 1 in its region, 2 elsewhere."""
    if record.place == board.identity.place:
        return 0
    region = board.membership.regions.get(record.place)
    return 1 if region == board.identity.region else 2
