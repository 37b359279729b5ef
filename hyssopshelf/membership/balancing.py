"""Moves of hot endpoints from a busy host to their next choice.

A host that is busy offers one endpoint to the endpoint's next choice. If that
one accepts, the busy host announces the move with its own row of membership, so
that all nodes place the endpoint alike. A move ends with the host that made it.
"""

import attrs

from hyssopshelf import base, logs, messages
from hyssopshelf.membership import placement, transitions

REVIEW_SECONDS = 10.0
"""Time between two reviews; a rate measured over less varies too much."""

STATEMENT_SECONDS = 0.0004
"""Processor time of a statement on its serving node, in seconds."""

HIGH_LOAD = 0.6
"""Part of a core above which a host offers endpoints.

With fixed cost and Poisson arrivals a statement waits 0.75 of its processor
time at 0.6 and 4.5 times it at 0.9. The mean load at the target size is 0.42.
"""

MAXIMUM_LOAD_RATIO = 0.9
"""A move must leave both hosts below this part of the sender's load."""

RECLAIM_LOAD = 0.45
"""A host takes an endpoint back if its load with it stays below this."""

REFUSAL_SECONDS = 60.0
"""Time for which a refused endpoint is not offered again."""


@attrs.define(kw_only=True)
class BalancingState:
    """State of the moves of this host.

    Attributes
    ----------
    statement_counts : dict of str to int
        Statements served since the last review, by endpoint.
    loads : dict of str to float
        Part of a core that each endpoint took before the last review.
    accepted_load : float
        Load of the endpoints accepted since the last review.
    given : dict of str to float
        Endpoints that this host gave away, with their load at that time.
    refused_until : dict of str to float
        Endpoints that were refused.
    """

    statement_counts: dict[str, int] = attrs.field(factory=dict)
    loads: dict[str, float] = attrs.field(factory=dict)
    accepted_load: float = 0.0
    moved_loads: dict[str, float] = attrs.field(factory=dict)
    refused_until: dict[str, float] = attrs.field(factory=dict)
    reviewed_at: float | None = None


@messages.register("placement.offer")
@attrs.frozen(kw_only=True)
class Offer:
    """Ask the next choice of an endpoint to serve it."""

    endpoint: str
    load: float
    sender_load: float


@messages.register("placement.offered")
@attrs.frozen(kw_only=True)
class OfferAnswer:
    """Answer an offer."""

    endpoint: str
    load: float
    accepted: bool


def count_served(board, endpoint: str) -> None:
    """Count a statement that this host runs at an endpoint."""
    served = board.balance.statement_counts
    served[endpoint] = served.get(endpoint, 0) + 1


def step(board, now: float) -> None:
    """Review the load of this host."""
    state = board.balance
    if state.reviewed_at is None:
        state.reviewed_at = now
    elapsed = now - state.reviewed_at
    if elapsed < REVIEW_SECONDS:
        return
    state.reviewed_at = now
    scale = STATEMENT_SECONDS / elapsed
    state.loads = {
        name: count * scale for name, count in state.statement_counts.items()
    }
    state.statement_counts.clear()
    state.accepted_load = 0.0
    for name in [n for n, until in state.refused_until.items() if until <= now]:
        del state.refused_until[name]
    load = sum(state.loads.values())
    _offer(board, load)
    _reclaim(board, load, now)


def _offer(board, load: float) -> None:
    state, own = board.balance, board.identity.host
    candidates = {
        name: amount
        for name, amount in state.loads.items()
        if board.placement.get(name) == own and name not in state.refused_until
    }
    endpoint = choose_endpoint(candidates, load)
    if endpoint is None:
        return
    host = placement.find_next(board, endpoint)
    if host in ("", own):
        return
    offer = Offer(
        endpoint=endpoint, load=candidates[endpoint], sender_load=round(load, 4)
    )
    board.act(base.SendPeer(host=host, message=offer))


def choose_endpoint(loads: dict[str, float], load: float) -> str | None:
    """Return the endpoint that a host should give away, None for none.

    The smallest one that is enough, otherwise the largest one.
    """
    if load <= HIGH_LOAD or not loads:
        return None
    ordered = sorted(loads, key=lambda name: (loads[name], name))
    enough = (name for name in ordered if load - loads[name] <= HIGH_LOAD)
    return next(enough, ordered[-1])


def accepts(own_load: float, load: float, sender_load: float) -> bool:
    """Return whether a move lowers the greater load of the two hosts enough."""
    return max(own_load + load, sender_load - load) <= MAXIMUM_LOAD_RATIO * sender_load


def _reclaim(board, load: float, now: float) -> None:
    """Take back the endpoint that was given away last if there is room again."""
    state = board.balance
    if not state.moved_loads:
        return
    endpoint = next(reversed(state.moved_loads))
    if load + state.moved_loads[endpoint] < RECLAIM_LOAD:
        del state.moved_loads[endpoint]
        _announce(board, endpoint, now, moved=False)


def _announce(board, endpoint: str, now: float, *, moved: bool) -> None:
    ids = tuple(sorted(map(placement.make_id, board.balance.moved_loads)))
    transitions.announce(board, now=now, moved=ids)
    board.log(logs.LogEvent.ENDPOINT_MOVED, endpoint=endpoint, moved=moved)


@base.receive.register
def receive_offer(message: Offer, board, host: str, now: float) -> None:
    """Accept an endpoint if this host stays well below the sender's load."""
    state = board.balance
    load = sum(state.loads.values()) + state.accepted_load
    accepted = accepts(load, message.load, message.sender_load) and not board.draining
    if accepted:
        state.accepted_load += message.load
    answer = OfferAnswer(
        endpoint=message.endpoint, load=message.load, accepted=accepted
    )
    board.act(base.SendPeer(host=host, message=answer))


@base.receive.register
def receive_offer_answer(message: OfferAnswer, board, host: str, now: float) -> None:
    """Announce a move that was accepted."""
    state = board.balance
    if not message.accepted:
        state.refused_until[message.endpoint] = now + REFUSAL_SECONDS
    elif message.endpoint in board.endpoints:
        state.moved_loads[message.endpoint] = message.load
        _announce(board, message.endpoint, now, moved=True)
