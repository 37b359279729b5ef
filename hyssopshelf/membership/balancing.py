"""Move hot endpoints from an overloaded host to the next host in their ranking.

An overloaded host offers one endpoint to the host that follows it in the
endpoint's rendezvous order. If that host accepts, the overloaded host announces
the move in its own membership row, so that all nodes compute the same placement.
A move ends when the announcing host reclaims the endpoint or becomes unusable.
"""

import attrs

from hyssopshelf import base, envelopes, logs
from hyssopshelf.membership import placement, transitions

REVIEW_SECONDS = 10.0
"""Time between two load reviews; a rate over a shorter window is too noisy."""

STATEMENT_SECONDS = 0.0004
"""Processor time of one statement on the node that serves it, in seconds."""

HIGH_LOAD = 0.6
"""Load above which a host offers endpoints, as a fraction of one core.

With a fixed cost per statement and Poisson arrivals, a statement waits 0.75
times its processor time at a load of 0.6 and 4.5 times at 0.9. The mean load at
the target size is 0.42.
"""

MAXIMUM_LOAD_RATIO = 0.9
"""Upper bound on the load of both hosts after a move, relative to the sender's."""

RECLAIM_LOAD = 0.45
"""Load, including the endpoint, below which a host reclaims a moved endpoint."""

REFUSAL_SECONDS = 60.0
"""Time during which a refused endpoint is not offered again."""


@attrs.define(kw_only=True)
class BalancingState:
    """Load measurements and endpoint moves of this host.

    Attributes
    ----------
    statement_counts : dict of str to int
        Statements served since the last review, by endpoint.
    loads : dict of str to float
        Load of each endpoint between the last two reviews, as a fraction of one
        core.
    accepted_load : float
        Total load of the endpoints accepted since the last review.
    moved_loads : dict of str to float
        Load of each endpoint that this host moved away, at the time of the move;
        ordered by that time.
    refused_until : dict of str to float
        Time until which a refused endpoint is not offered again.
    """

    statement_counts: dict[str, int] = attrs.field(factory=dict)
    loads: dict[str, float] = attrs.field(factory=dict)
    accepted_load: float = 0.0
    moved_loads: dict[str, float] = attrs.field(factory=dict)
    refused_until: dict[str, float] = attrs.field(factory=dict)
    reviewed_at: float | None = None


@envelopes.register("placement.offer")
@attrs.frozen(kw_only=True)
class Offer:
    """Asks the next host in the ranking of an endpoint to serve it."""

    endpoint: str
    load: float
    sender_load: float


@envelopes.register("placement.offered")
@attrs.frozen(kw_only=True)
class OfferAnswer:
    """Accepts or refuses an offer."""

    endpoint: str
    load: float
    accepted: bool


def count_statement(board, endpoint: str) -> None:
    """Count a statement that this host runs on an endpoint."""
    served = board.balance.statement_counts
    served[endpoint] = served.get(endpoint, 0) + 1


def step(board, now: float) -> None:
    """Measure the load of this host; offer or reclaim one endpoint if needed."""
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
    host = placement.find_next_host(board, endpoint)
    if host in ("", own):
        return
    offer = Offer(
        endpoint=endpoint, load=candidates[endpoint], sender_load=round(load, 4)
    )
    board.act(base.SendPeer(host=host, message=offer))


def choose_endpoint(loads: dict[str, float], load: float) -> str | None:
    """Return the endpoint that a host should move away, or None.

    This is the smallest endpoint whose move brings the load down to
    ``HIGH_LOAD``, or the largest one if no single move suffices.
    """
    if load <= HIGH_LOAD or not loads:
        return None
    ordered = sorted(loads, key=lambda name: (loads[name], name))
    enough = (name for name in ordered if load - loads[name] <= HIGH_LOAD)
    return next(enough, ordered[-1])


def accepts(own_load: float, load: float, sender_load: float) -> bool:
    """Return whether a move lowers the higher load of the two hosts enough."""
    return max(own_load + load, sender_load - load) <= MAXIMUM_LOAD_RATIO * sender_load


def _reclaim(board, load: float, now: float) -> None:
    """Reclaim the most recently moved endpoint if the load is low enough again."""
    state = board.balance
    if not state.moved_loads:
        return
    endpoint = next(reversed(state.moved_loads))
    if load + state.moved_loads[endpoint] < RECLAIM_LOAD:
        del state.moved_loads[endpoint]
        _announce(board, endpoint, now, moved=False)


def _announce(board, endpoint: str, now: float, *, moved: bool) -> None:
    ids = tuple(sorted(map(placement.make_endpoint_id, board.balance.moved_loads)))
    transitions.announce(board, now=now, moved=ids)
    board.log(logs.LogEvent.ENDPOINT_MOVED, endpoint=endpoint, moved=moved)


@base.receive.register
def receive_offer(message: Offer, board, host: str, now: float) -> None:
    """Accept an endpoint unless the move gains too little or this host drains."""
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
    """Announce an accepted move; pause further offers after a refusal."""
    state = board.balance
    if not message.accepted:
        state.refused_until[message.endpoint] = now + REFUSAL_SECONDS
    elif message.endpoint in board.endpoints:
        state.moved_loads[message.endpoint] = message.load
        _announce(board, message.endpoint, now, moved=True)
