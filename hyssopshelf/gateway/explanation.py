"""Explains where a statement would go now, and why, without sending it.

It calls the functions that route, so that it cannot differ from them.
"""

from hyssopshelf import clocks
from hyssopshelf.balancing import spillover
from hyssopshelf.gateway import catalog, endpoint_health, routing


def explain(
    gateway, name: str, *, writes: bool, position=None, customer: str = ""
) -> dict:
    """Return how a statement of a new unit of work would be routed at this node.

    Parameters
    ----------
    name : str
        Database name that the client asks for.
    writes : bool
        Whether it writes.
    position : LogPosition or None
        Position of the session's last acknowledged write.
    customer : str
        Name of the customer, empty without one.

    Returns
    -------
    dict
        Route, candidates in the order of their cost with its parts, and the choice
        with its reason; plain data.
    """
    board = gateway.board
    configuration = board.configuration
    route = configuration.routes.get(name) if configuration is not None else None
    if route is None:
        return {"name": name, "choice": None, "reason": "no route has this name"}
    now = clocks.read_clock()
    primary = board.find_primary(route.database, now)
    needs_primary = writes or route.read_rule == catalog.ReadRule.PRIMARY
    if needs_primary:
        candidates = []
        if primary is not None:
            candidates.append(
                routing.Candidate(endpoint=primary, position=None, primary=True)
            )
    else:
        candidates = routing.find_candidates(board, route, position, set(), now)
    costs = routing.sort_by_cost(board, candidates, gateway.estimate_wait, now)
    found = [
        _describe(gateway, candidate, cost, customer, now) for cost, candidate in costs
    ]
    explanation = {
        "name": name,
        "database": route.database,
        "rank": route.rank,
        "read_rule": route.read_rule,
        "version": configuration.version,
        "primary": primary.id if primary is not None else None,
        "candidates": found,
        "choice": found[0]["endpoint"] if found else None,
        "reason": _find_reason(board, route.database, found, needs_primary, now),
    }
    spill = board.spillovers.get(route.database)
    if board.prices is not None and not needs_primary and spill is not None:
        explanation["spillover_fraction"] = round(spill.fraction, 3)
    return explanation


def _describe(gateway, candidate, cost: tuple, customer: str, now: float) -> dict:
    """Return the parts of a candidate's cost, in milliseconds, and its holders."""
    board = gateway.board
    endpoint = candidate.endpoint
    health = board.get_health(endpoint.id)
    avoided, leaves, seconds = cost
    same_region = board.regions.get(endpoint.place) == board.region
    price = 0.0 if same_region else routing.REGION_PENALTY_SECONDS
    if board.prices is not None:
        price = spillover.compute_price(
            board.prices,
            same_place=endpoint.place == board.place,
            same_region=same_region,
        )
    return {
        "endpoint": endpoint.id,
        "place": endpoint.place,
        "primary": candidate.primary,
        "position": str(candidate.position) if candidate.position else None,
        "cost_ms": _round(seconds),
        "latency_ms": _round(health.latency),
        "wait_ms": _round(gateway.estimate_wait(endpoint.id)),
        "errors_ms": _round(endpoint_health.compute_error_cost(health, now)),
        "way_ms": _round(price),
        "avoided": avoided,
        "leaving": leaves,
        "holders": gateway.list_holders(endpoint.id, customer),
    }


def _find_reason(
    board, database: str, found: list[dict], needs_primary: bool, now: float
) -> str:
    if not found and board.isolated:
        return "refused at once: this node hears no coordinator"
    if not found and board.have_all_left(database, now):
        return "refused at once: all endpoints of the database have left"
    if not found:
        return "waits: no endpoint is fresh enough and no primary is known"
    if needs_primary:
        return "the primary: the work needs it"
    best = found[0]
    if best["avoided"]:
        return "tried although it did not answer: there is no other"
    return "lowest cost"


def _round(seconds: float) -> float:
    return round(seconds * 1000, 1)
