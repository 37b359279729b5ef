"""Single statements outside a transaction."""

import asyncio

from hyssopshelf import clocks, exceptions
from hyssopshelf.gateway import (
    execution,
    hedging,
    links,
    statements,
)

_KIND = exceptions.ErrorKind


async def run(session, request, writes: bool, shape) -> statements.Reply:
    """Run one statement, at other endpoints again while that is safe.

    A read may run twice; a write is offered again only if it did not run.
    """
    route = session.find_route()
    if route is None:
        return execution.fail(_KIND.NOT_FOUND, session.name)
    deadline = clocks.read_clock() + route.statement_seconds
    if writes:
        return await _run_write(session, request, shape, route, deadline)
    return await _run_read(session, request, shape, route, deadline)


async def _run_write(session, request, shape, route, deadline: float):
    search = execution.start_search(route, reads=False)
    reply = execution.fail(_KIND.UNAVAILABLE)
    for _ in range(execution.MAXIMUM_ATTEMPTS):
        entered = await execution.enter(session, route, deadline, search)
        if isinstance(entered, statements.Reply):
            return entered if reply.error is _KIND.UNAVAILABLE else reply
        reply = await _offer(session, request, True, shape, entered, deadline)
        now = clocks.read_clock()
        if reply.error not in execution.NOT_RUN or now >= deadline:
            return reply
        if reply.error is not _KIND.UNPREPARED:
            endpoint = entered.gate.endpoint.id
            search.record_failure(endpoint, entered.version, reply.error, now)
    return reply


async def _run_read(session, request, shape, route, deadline: float):
    """Offer a read until one endpoint answers it."""
    gateway = session.gateway
    gateway.hedges.earn()
    search = execution.start_search(route, reads=True)
    offers: set[asyncio.Task] = set()
    reply = execution.fail(_KIND.UNAVAILABLE)
    for _ in range(execution.MAXIMUM_ATTEMPTS):
        entered = await _enter_or_answer(session, route, deadline, search, offers)
        if isinstance(entered, statements.Reply):
            if entered.error is None or reply.error is _KIND.UNAVAILABLE:
                reply = entered
            break
        endpoint = entered.gate.endpoint.id
        offer = asyncio.get_running_loop().create_task(
            _offer(session, request, False, shape, entered, deadline)
        )
        offers.add(offer)
        patience = hedging.find_patience(gateway.board.get_health(endpoint).latency)
        answer, late = await _wait(gateway, offers, deadline, patience)
        if answer is not None and answer.error is None:
            return answer
        if answer is not None:
            reply = answer
        now = clocks.read_clock()
        if now >= deadline:
            return reply
        repeatable = late and search.needs_primary
        if not repeatable and reply.error is not _KIND.UNPREPARED:
            search.record_failure(endpoint, entered.version, reply.error, now)
    if offers and reply.error is not None:
        answer, _ = await _wait(gateway, offers, deadline, None)
        return answer if answer is not None else reply
    return reply


async def _enter_or_answer(session, route, deadline: float, search, offers: set):
    """Wait for a way to an endpoint or for a success of an open offer.

    Returns
    -------
    Entered or Reply
        The way to the endpoint; the answer that made it needless, or a failure if
        there is no way.
    """
    work = execution.enter(session, route, deadline, search)
    if not offers:
        return await work
    entering = asyncio.get_running_loop().create_task(work)
    while not entering.done():
        done, _ = await asyncio.wait(
            {entering, *offers}, return_when=asyncio.FIRST_COMPLETED
        )
        for offer in done & offers:
            offers.discard(offer)
            reply = offer.result()
            if reply.error is None:
                await _withdraw(entering)
                return reply
    return entering.result()


async def _withdraw(entering: asyncio.Task) -> None:
    """Give up the way to an endpoint."""
    entering.cancel()
    await asyncio.wait({entering})
    if entering.cancelled():
        return
    entered = entering.result()
    if isinstance(entered, execution.Entered):
        entered.give_back()


async def _wait(gateway, offers: set, deadline: float, patience: float | None):
    """Wait for an answer to one of the offers.

    Returns
    -------
    reply : Reply or None
        The first success, else the last failure.
    late : bool
        Whether an offer is still open and a second one may be made.
    """
    reply = None
    while offers:
        remaining = max(0.0, deadline - clocks.read_clock())
        seconds = remaining if patience is None else min(remaining, patience)
        done, _ = await asyncio.wait(
            offers, timeout=seconds, return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            if patience is None or remaining <= seconds:
                return reply, False
            if gateway.hedges.spend():
                return reply, True
            patience = None
            continue
        for offer in done:
            offers.discard(offer)
            reply = offer.result()
            if reply.error is None:
                return reply, False
        if patience is not None:
            return reply, False
    return reply, False


async def _offer(session, request, writes, shape, entered, deadline):
    """Send the statement to one endpoint and return its reply."""
    gateway = session.gateway
    gate, link = entered.gate, entered.turn.link
    database = gate.endpoint.database
    sent_at = clocks.read_clock()
    make_message = execution.make_message(session, request, entered.candidate.position)
    usable = False
    if writes:
        gateway.start_write(database, entered.version)
    try:
        reply = await execution.exchange(
            gateway, gate, link, session.state, shape, make_message, deadline
        )
        usable = reply.error is not _KIND.UNPREPARED
    except links.LinkError as error:
        session.trail.add(gate.endpoint.id, error.reason)
        if not error.sent:
            return execution.fail(_KIND.UNAVAILABLE, error.reason)
        kind = _KIND.OUTCOME_UNKNOWN if writes else _KIND.DEADLINE_PASSED
        return execution.fail(kind, error.reason)
    finally:
        if writes:
            gateway.end_write(database, entered.version)
        if usable:
            gate.release_link(link)
        else:
            gate.discard_link(link)
        gate.leave(entered.turn)
    execution.record_freshness(gateway, entered, reply)
    if reply.error is not None:
        session.trail.add(
            gate.endpoint.id,
            execution.describe_error(reply, entered.candidate.position),
        )
        return reply
    session.trail.endpoint = gate.endpoint.id
    if entered.candidate.primary:
        execution.observe(gateway, gate, entered.version, reply, sent_at)
    if writes:
        return execution.acknowledge_write(
            session, gate.endpoint, entered.version, reply
        )
    return reply
