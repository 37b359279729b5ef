"""Running statements of sessions at endpoints, with retries where they are safe."""

import attrs

from hyssopshelf import clocks, exceptions
from hyssopshelf.gateway import (
    catalog,
    connection_pools,
    endpoint_connections,
    endpoint_health,
    retries,
    routing,
    session_state,
    statements,
)

MAXIMUM_ATTEMPTS = 6
"""Endpoints that a statement is offered to at most; a database has three."""

PRIMARY_WAIT_SHARE = 0.9
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
"""Outcomes of an attempt that did not run the statement."""


FULL_REASON = _KIND.FULL.value
"""Reason of a connection that an endpoint refused because it has too many."""


@attrs.frozen(kw_only=True)
class Reservation:
    """A slot and a connection at an endpoint.

    Attributes
    ----------
    version : int
        Version of the belief in the primary, 0 at a replica.
    """

    pool: connection_pools.ConnectionPool
    checkout: connection_pools.Checkout
    candidate: routing.Candidate
    version: int

    def release(self) -> None:
        """Give slot and connection back unused."""
        self.pool.release_connection(self.checkout.connection)
        self.pool.release_slot(self.checkout)


@attrs.define(kw_only=True)
class RequestTrace:
    """What happened to a request, for the log.

    Attributes
    ----------
    steps : list of str
        One entry for each attempt: endpoint and outcome.
    """

    steps: list[str] = attrs.field(factory=list)
    endpoint: str = ""
    queued: float = 0.0

    def add(self, endpoint: str, outcome: str) -> None:
        """Add the outcome of an attempt."""
        self.steps.append(f"{endpoint}:{outcome}")


def make_retry_state(route: catalog.Route, *, reads: bool) -> retries.RetryState:
    """Return the retry state of a unit of work.

    Parameters
    ----------
    reads : bool
        Whether the work only reads.
    """
    return retries.RetryState(
        needs_primary=not reads or route.read_rule == catalog.ReadRule.PRIMARY
    )


def record_freshness(
    gateway, reservation: Reservation, reply: statements.Reply
) -> None:
    """Note whether a replica held the position that a read needed."""
    if reservation.candidate.position is None:
        return
    health = gateway.board.get_health(reservation.candidate.endpoint.id)
    if reply.error is None:
        endpoint_health.clear_lag(health)
    elif reply.error is _KIND.BEHIND and reply.position is not None:
        endpoint_health.record_lag(health, reply.position, clocks.read_clock())


def describe_error(reply: statements.Reply, position) -> str:
    """Return an endpoint's error with the positions that it is about."""
    if reply.error is _KIND.BEHIND and position is not None and reply.position:
        return f"behind (needs {position}, holds {reply.position})"
    return reply.error.value


def make_error(kind: exceptions.ErrorKind, detail: str = "") -> statements.Reply:
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
        session.trace.add(endpoint.id, "belief lapsed")
        return make_error(_KIND.OUTCOME_UNKNOWN, "primary may have changed")
    session.last_write_position = reply.position
    return reply


async def reserve(
    session, route: catalog.Route, deadline: float, retry: retries.RetryState
):
    """Choose an endpoint and wait for a slot and a connection there.

    Returns
    -------
    Reservation or Reply
        The way to the endpoint; a reply if the work cannot start.
    """
    gateway = session.gateway
    refusal = make_error(_KIND.UNAVAILABLE, "no primary is known")
    wait_until = deadline - route.statement_seconds * (1.0 - PRIMARY_WAIT_SHARE)
    attempts = 0
    while attempts < MAXIMUM_ATTEMPTS:
        now = clocks.read_clock()
        candidate = choose_endpoint(session, route, retry, now)
        version = 0
        retry_time = now
        if candidate is not None and candidate.primary:
            version = gateway.board.primary_grants[route.database].version
            retry_time = retry.find_retry_time(version, now)
        if candidate is None or retry_time > now:
            if retry.excluded or gateway.board.isolated:
                break
            await gateway.wait_for_change(
                wait_until if candidate is None else min(retry_time, wait_until)
            )
            if clocks.read_clock() >= wait_until:
                break
            continue
        attempts += 1
        reservation = await _reserve_at(
            session, route, candidate, version, deadline, retry
        )
        if isinstance(reservation, Reservation):
            return reservation
        if reservation is not None:
            refusal = reservation
    return refusal


async def _reserve_at(session, route, candidate, version: int, deadline: float, retry):
    """Wait for a slot and a connection at one endpoint.

    Returns
    -------
    Reservation, Reply or None
        The way to the endpoint; the reason why there is none; None if another
        endpoint became the primary meanwhile.
    """
    gateway, trace = session.gateway, session.trace
    now = clocks.read_clock()
    endpoint = candidate.endpoint
    pool = gateway.get_pool(endpoint)
    try:
        checkout = await gateway.acquire_from(
            pool, route.rank, deadline, session.state, version=version
        )
    except connection_pools.PrimaryChangedError:
        trace.add(endpoint.id, "replaced as the primary")
        return None
    except connection_pools.RefusalError as refusal:
        ended = clocks.read_clock()
        retry.record_failure(endpoint.id, version, refusal.kind, ended)
        trace.add(endpoint.id, f"refused ({refusal.reason})")
        return make_error(refusal.kind, refusal.reason)
    except endpoint_connections.EndpointConnectionError as error:
        ended = clocks.read_clock()
        full = error.reason == FULL_REASON
        kind = _KIND.FULL if full else _KIND.UNAVAILABLE
        retry.record_failure(endpoint.id, version, kind, ended)
        trace.add(endpoint.id, f"unreachable ({error.reason})")
        if not full:
            health = gateway.board.get_health(endpoint.id)
            endpoint_health.record_failure(health, now, ended)
        return make_error(_KIND.UNAVAILABLE, error.reason)
    trace.queued += clocks.read_clock() - now
    reservation = Reservation(
        pool=pool, checkout=checkout, candidate=candidate, version=version
    )
    if candidate.primary and not can_acknowledge(gateway, route.database, version):
        reservation.release()
        trace.add(endpoint.id, "no longer the valid primary")
        return None
    return reservation


def choose_endpoint(
    session, route: catalog.Route, retry: retries.RetryState, now: float
):
    """Return the best candidate or None."""
    gateway = session.gateway
    if retry.needs_primary:
        primary = gateway.board.find_primary(route.database, now)
        if primary is None or primary.id in retry.excluded:
            return None
        return routing.Candidate(endpoint=primary, position=None, primary=True)
    candidates = routing.list_candidates(
        gateway.board,
        route,
        session.last_write_position,
        gateway.estimate_wait,
        retry.excluded,
        now,
    )
    return candidates[0] if candidates else None


async def exchange(
    gateway,
    pool: connection_pools.ConnectionPool,
    connection: endpoint_connections.EndpointConnection,
    state: session_state.SessionState,
    shape: statements.Shape | None,
    build_message,
    deadline: float,
) -> statements.Reply:
    """Correct the connection's state, send one message and return its reply.

    Parameters
    ----------
    build_message : callable
        Takes the statement's name on the connection, returns the message.

    Raises
    ------
    EndpointConnectionError
        If the connection ended or did not answer in time; it is closed.
    """
    health = gateway.board.get_health(pool.endpoint.id)
    sent_at = clocks.read_clock()
    try:
        reply = await connection.run(state, shape, build_message, deadline)
    except endpoint_connections.EndpointConnectionError as error:
        now = clocks.read_clock()
        if connection.direct:
            endpoint_health.record_failure(health, sent_at, now)
        if error.sent and error.endpoint_fault:
            endpoint_health.record_outcome(health, True, now)
        raise
    now = clocks.read_clock()
    endpoint_health.record_answer(health, now - sent_at, now)
    endpoint_health.record_outcome(health, reply.error is _KIND.FAILED, now)
    return reply


def record_observation(gateway, pool, version: int, reply, sent_at: float) -> None:
    """Use the position in an answer of the primary."""
    database = pool.endpoint.database
    grant = gateway.board.primary_grants.get(database)
    if (
        grant is None
        or grant.version != version
        or grant.endpoint != pool.endpoint.id
        or grant.valid_until <= sent_at
        or reply.position is None
    ):
        return
    gateway.board.get_positions(database).add_local(reply.position, sent_at)


def make_message_builder(session, request, position):
    """Return the function that builds a client's statement for a connection."""
    codec = session.gateway.endpoint_codec

    def build(name: bytes) -> bytes:
        text = request.text
        if name:
            text = codec.format_execute(name, request.statement)
        return codec.format_request(request.id, text, position)

    return build
