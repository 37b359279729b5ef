"""Latency-aware routing of reads to the nearest fresh and uncongested endpoint.

The cost of an endpoint is the expected response time: its measured latency plus
the wait behind work of this node. Traffic between regions is costly, and the
primary is kept free for work that only it can do, so both add a penalty to the
cost, as time.
"""

import attrs

from hyssopshelf import logs
from hyssopshelf.balancing import spillover
from hyssopshelf.gateway import catalog, endpoint_health, statements

SAME_PLACE_SECONDS = 0.004
SAME_REGION_SECONDS = 0.006
OTHER_REGION_SECONDS = 0.03
"""Assumed latency of an endpoint without samples, by its distance, in seconds."""

REGION_PENALTY_SECONDS = 0.03
"""Additional latency accepted to keep a read inside the region; its bytes between
regions cost about as much as this delay."""

PRIMARY_PENALTY_SECONDS = 0.015
"""Additional latency accepted to leave the primary to writes."""

STALENESS_MARGIN_SECONDS = 0.15
"""Part of the staleness bound that is reserved for the request's travel time from
the client to the gateway."""


@attrs.frozen(kw_only=True)
class Candidate:
    """An endpoint that may run a read.

    Attributes
    ----------
    position : LogPosition or None
        Position that the endpoint's log must contain; None at the primary.
    primary : bool
        Whether the endpoint is the primary under a valid grant.
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
    """Return the position that a replica's log must contain for a read.

    Parameters
    ----------
    session_position : LogPosition or None
        Position of the session's last acknowledged write.
    now : float
        Clock time in seconds.

    Returns
    -------
    position : LogPosition or None
        The lowest sufficient position.
    known : bool
        False if no known position suffices, so that no replica may be used.
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
    """Return the endpoints that may run a read, the cheapest first.

    Parameters
    ----------
    estimate_wait : callable
        Takes an endpoint's id and returns the expected wait there, in seconds.
    excluded : set of str
        Ids of endpoints where the read has failed.
    """
    candidates = find_candidates(board, route, session_position, excluded, now)
    costs = sort_by_cost(board, candidates, estimate_wait, now)
    if board.prices is None:
        return [candidate for _, candidate in costs]
    return _order_by_spillover(board, route.database, costs, now)


def find_candidates(
    board,
    route: catalog.Route,
    session_position: statements.LogPosition | None,
    excluded: set[str],
    now: float,
) -> list[Candidate]:
    """Return the endpoints that may run a read, as for `list_candidates`, unsorted."""
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
    return [
        c
        for c in candidates
        if c.endpoint.id not in excluded
        and board.leave_deadlines.accepts(c.endpoint.id, now)
    ]


def sort_by_cost(
    board, candidates: list[Candidate], estimate_wait, now: float
) -> list[tuple[tuple, Candidate]]:
    """Return candidates with their cost, see `estimate_cost`, the cheapest first."""
    costs = [(estimate_cost(board, c, estimate_wait, now), c) for c in candidates]
    costs.sort(key=lambda pair: pair[0])
    return costs


def _order_by_spillover(board, database: str, costs: list, now: float) -> list:
    """Return candidates with those of this region first, unless the work leaves it."""
    local, remote, rest = [], [], []
    for (avoided, leaves, seconds), candidate in costs:
        region = board.regions.get(candidate.endpoint.place)
        if avoided or leaves:
            rest.append(candidate)
        elif region == board.region:
            local.append((seconds, candidate))
        else:
            remote.append((seconds, candidate))
    spill = board.spillovers.setdefault(database, spillover.Spillover())
    before = spill.active
    ordered = spillover.order(local, remote, spill, now)
    if spill.active is not before:
        logs.write_request(
            logs.LogEvent.REGION_LEFT,
            {
                "database": database,
                "active": spill.active,
                "local_ms": round(local[0][0] * 1000),
                "remote_ms": round(remote[0][0] * 1000),
            },
            True,
        )
    return ordered + rest


def estimate_cost(board, candidate: Candidate, estimate_wait, now: float) -> tuple:
    """Return the sort key of a candidate; the lowest is the best.

    Endpoints that are avoided or draining come last, whatever their latency.
    """
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
    if board.prices is not None:
        seconds += spillover.compute_price(
            board.prices,
            same_place=endpoint.place == board.place,
            same_region=same_region,
        )
    elif not same_region:
        seconds += REGION_PENALTY_SECONDS
    if candidate.primary:
        seconds += PRIMARY_PENALTY_SECONDS
    avoided = health is not None and health.avoid_until > now
    return (avoided, endpoint.leaving, seconds)
