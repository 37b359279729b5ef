"""Single statements outside a transaction."""

from hyssopshelf import clocks, exceptions
from hyssopshelf.gateway import execution, links, statements

_KIND = exceptions.ErrorKind


async def run(session, request, writes: bool, shape) -> statements.Reply:
    """Run one statement, at other endpoints again while that is safe.

    A read may run twice; a write is offered again only if it did not run.
    """
    route = session.find_route()
    if route is None:
        return execution.fail(_KIND.NOT_FOUND, session.name)
    need = execution.Need.PRIMARY if writes else execution.Need.ANY
    deadline = clocks.read_clock() + route.statement_seconds
    excluded: set[str] = set()
    reply = execution.fail(_KIND.UNAVAILABLE)
    for _ in range(execution.MAXIMUM_ATTEMPTS):
        entered = await execution.enter(
            session.gateway, session, route, need, deadline, excluded, session.trail
        )
        if isinstance(entered, statements.Reply):
            return entered if reply.error is _KIND.UNAVAILABLE else reply
        reply = await _offer(session, request, writes, shape, entered, deadline)
        if reply.error is None:
            return reply
        retry = reply.error in execution.NOT_RUN or not writes
        if not retry or clocks.read_clock() >= deadline:
            return reply
        if reply.error is not _KIND.UNPREPARED:
            excluded.add(entered.gate.endpoint.id)
    return reply


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
            return execution.fail(_KIND.NOT_RUN, error.reason)
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
    if reply.error is not None:
        session.trail.add(gate.endpoint.id, reply.error.value)
        return reply
    session.trail.endpoint = gate.endpoint.id
    if entered.candidate.primary:
        execution.observe(gateway, gate, entered.version, reply, sent_at)
    if writes:
        if not execution.can_acknowledge(gateway, database, entered.version):
            session.trail.add(gate.endpoint.id, "belief lapsed")
            return execution.fail(_KIND.OUTCOME_UNKNOWN, "primary may have changed")
        session.written = reply.position
    return reply
