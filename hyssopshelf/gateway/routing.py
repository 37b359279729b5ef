"""Pattern: reads go to the nearest endpoint that is fresh and not congested.

The cost of an endpoint is the time in which an answer is expected: its measured
latency plus the work of this node that is ahead. Crossing a region costs bytes,
and the primary is kept free for work that only it can do; both count as time.
"""

import attrs

from hyssopshelf.gateway import catalog, endpoint_health, statements

SAME_PLACE_SECONDS = 0.004
SAME_REGION_SECONDS = 0.006
OTHER_REGION_SECONDS = 0.03
"""Assumed latency of an endpoint without samples, by distance, in seconds."""

REGION_PENALTY_SECONDS = 0.03
"""Wait that is accepted to keep a read inside the region; its bytes between
regions cost about as much as this delay does."""

PRIMARY_PENALTY_SECONDS = 0.015
"""Wait that a read accepts to leave the primary to writes."""

STALENESS_MARGIN_SECONDS = 0.15
"""Part of the staleness bound that is left for the way of the request from the
client to the gateway."""


@attrs.frozen(kw_only=True)
class Candidate:
    """An endpoint for a read.

    Attributes
    ----------
    position : LogPosition or None
        Position that the endpoint's log has to hold, None without a condition.
    primary : bool
        Whether it is the valid primary.
    """

    endpoint: catalog.Endpoint
    position: statements.LogPosition | None
    primary: bool


def find_position(
    board,
    route: catalog.Route,
    session_position: statements.LogPosition | None,
    now: float,
) -> tuple[statements.LogPosition | None, bool]:
    """Return the position that a replica must hold for a read.

    Returns
    -------
    position : LogPosition or None
        The least sufficient position.
    known : bool
        False if no position is known to be recent enough.
    """
    positions = board.get_positions(route.database)
    oldest = now - route.staleness_seconds + STALENESS_MARGIN_SECONDS
    position, _ = positions.find_bound(oldest)
    if position is None:
        return None, False
    if session_position is None or route.read_rule != catalog.ReadRule.OWN_WRITES:
        return position, True
    translated = positions.translate(session_position)
    if translated is None:
        return None, False
    return max(position, translated), True


def list_candidates(
    board,
    route: catalog.Route,
    session_position: statements.LogPosition | None,
    estimate_wait,
    excluded: set[str],
    now: float,
) -> list[Candidate]:
    """Return endpoints that may run a read, the best first.

    Parameters
    ----------
    estimate_wait : callable
        Returns the expected wait at an endpoint in seconds, by its id.
    excluded : set of str
        Endpoints that have failed this read.
    """
    primary = board.find_primary(route.database, now)
    candidates = []
    if primary is not None:
        candidates.append(Candidate(endpoint=primary, position=None, primary=True))
    if route.read_rule != catalog.ReadRule.PRIMARY:
        position, known = find_position(board, route, session_position, now)
        if known:
            candidates += [
                Candidate(endpoint=endpoint, position=position, primary=False)
                for endpoint in board.endpoints.values()
                if endpoint.database == route.database
                and endpoint != primary
                and not endpoint_health.is_lagging(
                    board.get_health(endpoint.id), position, now
                )
            ]
    candidates = [c for c in candidates if c.endpoint.id not in excluded]
    candidates.sort(key=lambda c: estimate_cost(board, c, estimate_wait, now))
    return candidates


def estimate_cost(board, candidate: Candidate, estimate_wait, now: float) -> tuple:
    """Return the sort key of a candidate, the smallest for the best."""
    endpoint = candidate.endpoint
    health = board.health.get(endpoint.id)
    same_region = board.regions.get(endpoint.place) == board.region
    if health is not None and health.latency:
        seconds = health.latency
    elif endpoint.place == board.place:
        seconds = SAME_PLACE_SECONDS
    else:
        seconds = SAME_REGION_SECONDS if same_region else OTHER_REGION_SECONDS
    seconds += estimate_wait(endpoint.id)
    if health is not None:
        seconds += endpoint_health.compute_error_cost(health, now)
    if not same_region:
        seconds += REGION_PENALTY_SECONDS
    if candidate.primary:
        seconds += PRIMARY_PENALTY_SECONDS
    avoided = health is not None and health.avoid_until > now
    return (avoided, endpoint.leaving, seconds)
