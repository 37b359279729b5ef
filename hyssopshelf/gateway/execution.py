"""Running statements of sessions at endpoints, with retries where they are safe."""

import attrs

from hyssopshelf import clocks, exceptions
from hyssopshelf.gateway import (
    catalog,
    endpoint_health,
    gates,
    links,
    routing,
    searches,
    statements,
    states,
)

MAXIMUM_ATTEMPTS = 6
"""Endpoints that a statement is offered to at most; a database has three."""

PATIENCE_SHARE = 0.9
"""Part of the statement's time for which it waits for a primary."""

_KIND = exceptions.ErrorKind

NOT_RUN = frozenset(
    {
        _KIND.NOT_RUN,
        _KIND.BEHIND,
        _KIND.NOT_PRIMARY,
        _KIND.WRONG_ENDPOINT,
        _KIND.UNPREPARED,
        _KIND.FULL,
        _KIND.UNAVAILABLE,
    }
)
"""Outcomes of an offer that did not run the statement."""


FULL_REASON = _KIND.FULL.value
"""Reason of a connection that an endpoint refused because it has too many."""


@attrs.frozen(kw_only=True)
class Entered:
    """A slot and a connection at an endpoint.

    Attributes
    ----------
    version : int
        Version of the belief in the primary, 0 at a replica.
    """

    gate: gates.Gate
    turn: gates.Turn
    candidate: routing.Candidate
    version: int

    def give_back(self) -> None:
        """Give slot and connection back unused."""
        self.gate.release_link(self.turn.link)
        self.gate.leave(self.turn)


@attrs.define(kw_only=True)
class Trail:
    """What happened to a request, for the log.

    Attributes
    ----------
    steps : list of str
        One entry for each offer: endpoint and outcome.
    """

    steps: list[str] = attrs.field(factory=list)
    endpoint: str = ""
    queued: float = 0.0

    def add(self, endpoint: str, outcome: str) -> None:
        """Add the outcome of an offer."""
        self.steps.append(f"{endpoint}:{outcome}")


def start_search(route: catalog.Route, *, reads: bool) -> searches.Search:
    """Return the search for an endpoint of a unit of work.

    Parameters
    ----------
    reads : bool
        Whether the work only reads.
    """
    return searches.Search(
        needs_primary=not reads or route.read_rule == catalog.ReadRule.PRIMARY
    )


def record_freshness(gateway, entered: Entered, reply: statements.Reply) -> None:
    """Note whether a replica held the position that a read needed."""
    if entered.candidate.position is None:
        return
    health = gateway.board.get_health(entered.candidate.endpoint.id)
    if reply.error is None:
        endpoint_health.end_lag(health)
    elif reply.error is _KIND.BEHIND and reply.position is not None:
        endpoint_health.record_lag(health, reply.position, clocks.read_clock())


def describe_error(reply: statements.Reply, position) -> str:
    """Return an endpoint's error with the positions that it is about."""
    if reply.error is _KIND.BEHIND and position is not None and reply.position:
        return f"behind (needs {position}, holds {reply.position})"
    return reply.error.value


def fail(kind: exceptions.ErrorKind, detail: str = "") -> statements.Reply:
    """Return a reply with an error."""
    return statements.Reply(error=kind, detail=detail.encode())


def can_acknowledge(gateway, database: str, version: int) -> bool:
    """Return whether no other primary can have been promoted up to now."""
    grant = gateway.board.primary_grants.get(database)
    return (
        grant is not None
        and grant.version == version
        and grant.valid_until > clocks.read_clock()
    )


def acknowledge_write(
    session, endpoint: catalog.Endpoint, version: int, reply: statements.Reply
) -> statements.Reply:
    """Return the answer to a write that an endpoint ran as the primary."""
    if not can_acknowledge(session.gateway, endpoint.database, version):
        session.trail.add(endpoint.id, "belief lapsed")
        return fail(_KIND.OUTCOME_UNKNOWN, "primary may have changed")
    session.written = reply.position
    return reply


async def enter(
    session, route: catalog.Route, deadline: float, search: searches.Search
):
    """Choose an endpoint and wait for a slot and a connection there.

    Returns
    -------
    Entered or Reply
        The way to the endpoint; a reply if the work cannot start.
    """
    gateway = session.gateway
    refusal = fail(_KIND.UNAVAILABLE, "no primary is known")
    patience = deadline - route.statement_seconds * (1.0 - PATIENCE_SHARE)
    offers = 0
    while offers < MAXIMUM_ATTEMPTS:
        now = clocks.read_clock()
        candidate = choose(session, route, search, now)
        version = 0
        start_at = now
        if candidate is not None and candidate.primary:
            version = gateway.board.primary_grants[route.database].version
            start_at = search.find_start(version, now)
        if candidate is None or start_at > now:
            if search.excluded or gateway.board.isolated:
                break
            await gateway.wait_for_change(
                patience if candidate is None else min(start_at, patience)
            )
            if clocks.read_clock() >= patience:
                break
            continue
        offers += 1
        entered = await _enter_at(session, route, candidate, version, deadline, search)
        if isinstance(entered, Entered):
            return entered
        if entered is not None:
            refusal = entered
    return refusal


async def _enter_at(session, route, candidate, version: int, deadline: float, search):
    """Wait for a slot and a connection at one endpoint.

    Returns
    -------
    Entered, Reply or None
        The way to the endpoint; the reason why there is none; None if another
        endpoint became the primary meanwhile.
    """
    gateway, trail = session.gateway, session.trail
    now = clocks.read_clock()
    endpoint = candidate.endpoint
    gate = gateway.get_gate(endpoint)
    try:
        turn = await gateway.enter_gate(
            gate, route.rank, deadline, session.state, version=version
        )
    except gates.PrimaryChangedError:
        trail.add(endpoint.id, "replaced as the primary")
        return None
    except gates.RefusalError as refusal:
        ended = clocks.read_clock()
        search.record_failure(endpoint.id, version, refusal.kind, ended)
        trail.add(endpoint.id, f"refused ({refusal.reason})")
        return fail(refusal.kind, refusal.reason)
    except links.LinkError as error:
        ended = clocks.read_clock()
        full = error.reason == FULL_REASON
        kind = _KIND.FULL if full else _KIND.UNAVAILABLE
        search.record_failure(endpoint.id, version, kind, ended)
        trail.add(endpoint.id, f"unreachable ({error.reason})")
        if not full:
            health = gateway.board.get_health(endpoint.id)
            endpoint_health.record_failure(health, now, ended)
        return fail(_KIND.UNAVAILABLE, error.reason)
    trail.queued += clocks.read_clock() - now
    entered = Entered(gate=gate, turn=turn, candidate=candidate, version=version)
    if candidate.primary and not can_acknowledge(gateway, route.database, version):
        entered.give_back()
        trail.add(endpoint.id, "no longer the valid primary")
        return None
    return entered


def choose(session, route: catalog.Route, search: searches.Search, now: float):
    """Return the best candidate or None."""
    gateway = session.gateway
    if search.needs_primary:
        primary = gateway.board.find_primary(route.database, now)
        if primary is None or primary.id in search.excluded:
            return None
        return routing.Candidate(endpoint=primary, position=None, primary=True)
    candidates = routing.list_candidates(
        gateway.board,
        route,
        session.written,
        gateway.estimate_wait,
        search.excluded,
        now,
    )
    return candidates[0] if candidates else None


async def exchange(
    gateway,
    gate: gates.Gate,
    link: links.Link,
    state: states.SessionState,
    shape: statements.Shape | None,
    make_message,
    deadline: float,
) -> statements.Reply:
    """Correct the connection's state, send one message and return its reply.

    Parameters
    ----------
    make_message : callable
        Takes the statement's name on the connection, returns the message.

    Raises
    ------
    LinkError
        If the connection ended or did not answer in time; it is closed.
    """
    health = gateway.board.get_health(gate.endpoint.id)
    sent_at = clocks.read_clock()
    try:
        reply = await link.run(state, shape, make_message, deadline)
    except links.LinkError as error:
        now = clocks.read_clock()
        if link.direct:
            endpoint_health.record_failure(health, sent_at, now)
        if error.sent and error.witnessed:
            endpoint_health.record_outcome(health, True, now)
        raise
    now = clocks.read_clock()
    endpoint_health.record_answer(health, now - sent_at, now)
    endpoint_health.record_outcome(health, reply.error is _KIND.FAILED, now)
    return reply


def observe(gateway, gate, version: int, reply, sent_at: float) -> None:
    """Use the position in an answer of the primary."""
    database = gate.endpoint.database
    grant = gateway.board.primary_grants.get(database)
    if (
        grant is None
        or grant.version != version
        or grant.endpoint != gate.endpoint.id
        or grant.valid_until <= sent_at
        or reply.position is None
    ):
        return
    gateway.board.get_positions(database).add_own(reply.position, sent_at)


def make_message(session, request, position):
    """Return the function that builds a client's statement for a connection."""
    codec = session.gateway.endpoint_codec

    def build(name: bytes) -> bytes:
        text = request.text
        if name:
            text = codec.format_execute(name, request.statement)
        return codec.format_request(request.id, text, position)

    return build
