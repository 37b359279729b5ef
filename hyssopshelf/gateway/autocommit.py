"""Runs single statements outside a transaction, with retries and hedges."""

import asyncio

from hyssopshelf import clocks, exceptions
from hyssopshelf.gateway import (
    endpoint_connections,
    execution,
    hedging,
    statements,
)

_KIND = exceptions.ErrorKind


async def run(session, request, writes: bool, shape) -> statements.Reply:
    """Run one statement and retry it while that is safe.

    A read may run twice; a write is retried only if it did not run.
    """
    route = session.find_route()
    if route is None:
        return execution.make_error(_KIND.NOT_FOUND, session.name)
    deadline = session.gateway.compute_deadline(route)
    if writes:
        return await _run_write(session, request, shape, route, deadline)
    return await _run_read(session, request, shape, route, deadline)


async def _run_write(session, request, shape, route, deadline: float):
    retry = execution.make_retry_state(route, reads=False)
    reply = execution.make_error(_KIND.UNAVAILABLE)
    for _ in range(execution.MAXIMUM_ATTEMPTS):
        reservation = await execution.reserve(session, route, deadline, retry)
        if isinstance(reservation, statements.Reply):
            return reservation if reply.error is _KIND.UNAVAILABLE else reply
        reply = await _attempt(session, request, True, shape, reservation, deadline)
        now = clocks.read_clock()
        if reply.error not in execution.NOT_RUN or now >= deadline:
            return reply
        if reply.error is not _KIND.UNPREPARED:
            endpoint = reservation.pool.endpoint.id
            retry.record_failure(endpoint, reservation.version, reply.error, now)
    return reply


async def _run_read(session, request, shape, route, deadline: float):
    """Run a read until an endpoint answers it, with a hedge for a late answer.

    If it is cancelled, so are its attempts: other work waits for their slots.
    """
    attempts: set[asyncio.Task] = set()
    try:
        return await _run_attempts(session, request, shape, route, deadline, attempts)
    except asyncio.CancelledError:
        for attempt in attempts:
            attempt.cancel()
        raise


async def _run_attempts(session, request, shape, route, deadline: float, attempts: set):
    """Run a read as :func:`_run_read`; open attempts stay in ``attempts``."""
    gateway = session.gateway
    gateway.hedge_budget.deposit()
    retry = execution.make_retry_state(route, reads=True)
    reply = execution.make_error(_KIND.UNAVAILABLE)
    for _ in range(execution.MAXIMUM_ATTEMPTS):
        reservation = await _reserve_or_answer(
            session, route, deadline, retry, attempts
        )
        if isinstance(reservation, statements.Reply):
            if reservation.error is None or reply.error is _KIND.UNAVAILABLE:
                reply = reservation
            break
        endpoint = reservation.pool.endpoint.id
        attempt = asyncio.get_running_loop().create_task(
            _attempt(session, request, False, shape, reservation, deadline)
        )
        attempts.add(attempt)
        hedge_delay = hedging.find_hedge_delay(
            gateway.board.get_health(endpoint).latency
        )
        answer, hedge_due = await _wait_for_answer(
            gateway, attempts, deadline, hedge_delay
        )
        if answer is not None and answer.error is None:
            return answer
        if answer is not None:
            reply = answer
        now = clocks.read_clock()
        if now >= deadline:
            return reply
        repeatable = hedge_due and retry.needs_primary
        if not repeatable and reply.error is not _KIND.UNPREPARED:
            retry.record_failure(endpoint, reservation.version, reply.error, now)
    if attempts and reply.error is not None:
        answer, _ = await _wait_for_answer(gateway, attempts, deadline, None)
        return answer if answer is not None else reply
    return reply


async def _reserve_or_answer(session, route, deadline: float, retry, attempts: set):
    """Reserve an endpoint unless an open attempt succeeds first.

    Returns
    -------
    Reservation or Reply
        A reply is the answer of the attempt that succeeded, or the error because of
        which no endpoint could be reserved.
    """
    reserve_coroutine = execution.reserve(session, route, deadline, retry)
    if not attempts:
        return await reserve_coroutine
    reserving = asyncio.get_running_loop().create_task(reserve_coroutine)
    while not reserving.done():
        try:
            done, _ = await asyncio.wait(
                {reserving, *attempts}, return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            await _cancel_reservation(reserving)
            raise
        for attempt in done & attempts:
            attempts.discard(attempt)
            reply = attempt.result()
            if reply.error is None:
                await _cancel_reservation(reserving)
                return reply
    return reserving.result()


async def _cancel_reservation(reserving: asyncio.Task) -> None:
    """Cancel a reservation; release it if it was made meanwhile."""
    reserving.cancel()
    await asyncio.wait({reserving})
    if reserving.cancelled():
        return
    reservation = reserving.result()
    if isinstance(reservation, execution.Reservation):
        reservation.release()


async def _wait_for_answer(
    gateway, attempts: set, deadline: float, hedge_delay: float | None
):
    """Wait for an answer to one of the attempts.

    Parameters
    ----------
    hedge_delay : float or None
        Time after which a hedge is due, in seconds; None to wait for a success of
        any attempt up to the deadline.

    Returns
    -------
    reply : Reply or None
        The first success, else the last failure.
    hedge_due : bool
        Whether no answer came in the hedge delay and the budget allows a hedge.
    """
    reply = None
    while attempts:
        remaining = max(0.0, deadline - clocks.read_clock())
        seconds = remaining if hedge_delay is None else min(remaining, hedge_delay)
        done, _ = await asyncio.wait(
            attempts, timeout=seconds, return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            if hedge_delay is None or remaining <= seconds:
                return reply, False
            if gateway.hedge_budget.try_withdraw():
                return reply, True
            hedge_delay = None
            continue
        for attempt in done:
            attempts.discard(attempt)
            reply = attempt.result()
            if reply.error is None:
                return reply, False
        if hedge_delay is not None:
            return reply, False
    return reply, False


async def _attempt(session, request, writes, shape, reservation, deadline):
    """Send the statement to one endpoint and return its reply.

    Afterwards the slot is free and the connection back in its pool, or closed.
    """
    gateway = session.gateway
    # A read that a hedge has overtaken ends during a later request of the session.
    trace = session.trace
    pool, connection = reservation.pool, reservation.checkout.connection
    database = pool.endpoint.database
    sent_at = clocks.read_clock()
    build_message = execution.make_message_builder(
        session, request, reservation.candidate.position
    )
    usable = False
    if writes:
        gateway.start_write(database, reservation.version)
    trace.record_sending(pool.endpoint.id, may_be_kept=writes)
    try:
        reply = await execution.exchange(
            gateway, pool, connection, session.state, shape, build_message, deadline
        )
        trace.may_be_kept = False
        usable = reply.error is not _KIND.UNPREPARED
    except endpoint_connections.EndpointConnectionError as error:
        trace.add(pool.endpoint.id, error.reason)
        if not error.sent:
            trace.may_be_kept = False
            return execution.make_error(_KIND.UNAVAILABLE, error.reason)
        kind = _KIND.OUTCOME_UNKNOWN if writes else _KIND.DEADLINE_PASSED
        return execution.make_error(kind, error.reason)
    finally:
        if writes:
            gateway.end_write(database, reservation.version)
        if usable:
            pool.release_connection(connection)
        else:
            pool.discard_connection(connection)
        pool.release_slot(reservation.checkout)
    execution.record_freshness(gateway, reservation, reply)
    if reply.error is not None:
        trace.add(
            pool.endpoint.id,
            execution.describe_error(reply, reservation.candidate.position),
        )
        return reply
    trace.endpoint = pool.endpoint.id
    if reservation.candidate.primary:
        execution.record_observation(
            gateway, connection, reservation.version, reply, sent_at
        )
    if writes:
        return execution.acknowledge_write(
            session, connection, reservation.version, reply
        )
    return reply
