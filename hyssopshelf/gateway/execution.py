"""Runs statements of sessions at endpoints and retries them where that is safe."""

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
"""Attempts at most for one statement; a database has three endpoints."""

PRIMARY_WAIT_SHARE = 0.9
"""Fraction of the statement's time limit for which it may wait for a primary."""

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
"""Errors of an attempt that did not run the statement."""


FULL_REASON = _KIND.FULL.value
"""Error reason when an endpoint refuses a connection because it has too many."""


@attrs.frozen(kw_only=True)
class Reservation:
    """A slot and a connection at an endpoint, reserved for one unit of work.

    Attributes
    ----------
    candidate : Candidate
        The endpoint and the log position that a read needs there.
    version : int
        Version of the primary grant, 0 at a replica.
    """

    pool: connection_pools.ConnectionPool
    checkout: connection_pools.Checkout
    candidate: routing.Candidate
    version: int

    def release(self) -> None:
        """Return the slot and the connection unused."""
        self.pool.release_connection(self.checkout.connection)
        self.pool.release_slot(self.checkout)


@attrs.define(kw_only=True)
class RequestTrace:
    """Attempts of one request, written to its log line.

    Attributes
    ----------
    attempts : list of str
        ``endpoint:outcome`` of each attempt that did not succeed.
    endpoint : str
        Endpoint that ran the statement, empty without one.
    sent_to : str
        Endpoint that the statement was last sent to, empty if to none.
    may_be_kept : bool
        Whether a write or commit was sent of which nothing has been heard yet.
    queued_seconds : float
        Time spent waiting for slots and connections.
    """

    attempts: list[str] = attrs.field(factory=list)
    endpoint: str = ""
    sent_to: str = ""
    may_be_kept: bool = False
    queued_seconds: float = 0.0

    def add(self, endpoint: str, outcome: str) -> None:
        """Add the outcome of a failed attempt."""
        self.attempts.append(f"{endpoint}:{outcome}")

    def record_sending(self, endpoint: str, *, may_be_kept: bool) -> None:
        """Record that the statement is sent to an endpoint."""
        self.sent_to = endpoint
        self.may_be_kept = may_be_kept


def make_retry_state(route: catalog.Route, *, reads: bool) -> retries.RetryState:
    """Return the retry state of a new unit of work.

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
    """Update a replica's lag from its answer to a read that needed a position."""
    if reservation.candidate.position is None:
        return
    health = gateway.board.get_health(reservation.candidate.endpoint.id)
    if reply.error is None:
        endpoint_health.clear_lag(health)
    elif reply.error is _KIND.BEHIND and reply.position is not None:
        endpoint_health.record_lag(health, reply.position, clocks.read_clock())


def describe_error(reply: statements.Reply, position) -> str:
    """Return an error; for a lagging replica with both positions."""
    if reply.error is _KIND.BEHIND and position is not None and reply.position:
        return f"behind (needs {position}, holds {reply.position})"
    if reply.error is _KIND.REFUSED:
        return f"refused ({reply.detail.decode(errors='replace')})"
    return reply.error.value


def make_error(kind: exceptions.ErrorKind, detail: str = "") -> statements.Reply:
    """Return a reply with an error; clients receive the detail."""
    return statements.Reply(error=kind, detail=detail.encode())


def can_acknowledge(gateway, database: str, version: int, direct: bool) -> bool:
    """Return whether no other endpoint can have been promoted so far.

    This is so while the grant under which a write was sent is valid.

    Parameters
    ----------
    direct : bool
        Whether this node sent it to the endpoint itself. Otherwise the host that did
        has checked its own grant, too.
    """
    grant = gateway.board.primary_grants.get(database)
    return (
        grant is not None
        and grant.version == version
        and grant.is_valid(clocks.read_clock(), direct=direct)
    )


def acknowledge_write(
    session, connection, version: int, reply: statements.Reply
) -> statements.Reply:
    """Return the reply to a write that an endpoint ran as the primary.

    If the grant ended meanwhile, a new primary may lack the write, so its outcome
    is unknown.
    """
    endpoint = connection.endpoint
    if not can_acknowledge(
        session.gateway, endpoint.database, version, connection.direct
    ):
        session.trace.add(endpoint.id, "primary grant no longer valid")
        return make_error(_KIND.OUTCOME_UNKNOWN, "primary may have changed")
    session.last_write_position = reply.position
    return reply


async def reserve(
    session, route: catalog.Route, deadline: float, retry: retries.RetryState
):
    """Choose an endpoint and wait for a slot and a connection there.

    Without a usable endpoint the work waits for a change of the blackboard, unless
    this node is isolated or the primary that is known was tried already.

    Returns
    -------
    Reservation or Reply
        A reply with the error if the work cannot start.
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
            if gateway.board.isolated or _is_hopeless(gateway, route, retry, now):
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


def _is_hopeless(gateway, route, retry: retries.RetryState, now: float) -> bool:
    """Return whether waiting for another endpoint is no use.

    While no primary is known the next one may run the work, also after endpoints
    that have failed. There is none if all endpoints have left.
    """
    if gateway.board.have_all_left(route.database, now):
        return True
    if not retry.excluded:
        return False
    return gateway.board.find_primary(route.database, now) is not None


async def _reserve_at(session, route, candidate, version: int, deadline: float, retry):
    """Wait for a slot and a connection at one endpoint.

    Returns
    -------
    Reservation, Reply or None
        A reply with the error if the attempt failed; None if another endpoint became
        the primary meanwhile.
    """
    gateway, trace = session.gateway, session.trace
    now = clocks.read_clock()
    endpoint = candidate.endpoint
    pool = gateway.get_pool(endpoint)
    try:
        checkout = await gateway.acquire_from(
            pool,
            route.rank,
            deadline,
            session.state,
            version=version,
            customer=session.customer,
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
    trace.queued_seconds += clocks.read_clock() - now
    reservation = Reservation(
        pool=pool, checkout=checkout, candidate=candidate, version=version
    )
    if candidate.primary and not can_acknowledge(
        gateway, route.database, version, checkout.connection.direct
    ):
        reservation.release()
        trace.add(endpoint.id, "no longer the valid primary")
        return None
    return reservation


def choose_endpoint(
    session, route: catalog.Route, retry: retries.RetryState, now: float
):
    """Return the best candidate, None without one."""
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
    """Bring a connection to the session's state and exchange one message.

    The outcome updates the endpoint's health.

    Parameters
    ----------
    shape : Shape or None
        Prepared statement that the message runs.
    build_message : callable
        Takes the prepared statement's name on the connection, returns the message.

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
    endpoint_health.record_answer(
        health, now - sent_at - connection.queued_seconds, now
    )
    endpoint_health.record_outcome(health, reply.error is _KIND.FAILED, now)
    return reply


def record_observation(
    gateway, connection, version: int, reply, sent_at: float
) -> None:
    """Record the log position from an answer of the primary.

    It counts only under the grant in force, if that was valid when the message was
    sent.

    Parameters
    ----------
    version : int
        Version of the grant under which the message was sent.
    sent_at : float
        Time at which the message was sent.
    """
    database = connection.endpoint.database
    grant = gateway.board.primary_grants.get(database)
    if (
        grant is None
        or grant.version != version
        or grant.endpoint != connection.endpoint.id
        or not grant.is_valid(sent_at, direct=connection.direct)
        or reply.position is None
    ):
        return
    gateway.board.get_positions(database).add_local(reply.position, sent_at)


def make_message_builder(session, request, position):
    """Return a function that builds the message of a client's statement.

    The function takes the prepared statement's name on the connection, empty
    without one, as that name differs between connections.
    """
    codec = session.gateway.endpoint_codec

    def build(name: bytes) -> bytes:
        text = request.text
        if name:
            text = codec.format_execute(name, request.statement)
        return codec.format_request(request.id, text, position)

    return build
