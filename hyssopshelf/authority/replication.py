"""Questions to endpoints for their part in the replication of their database."""

import asyncio

import attrs

from hyssopshelf import exceptions, logs
from hyssopshelf.authority import durability
from hyssopshelf.gateway import endpoint_connections, probes

STATUS_SECONDS = 0.4
"""Timeout of a request for an endpoint's status; it needs a slot and a round trip."""


@attrs.frozen(kw_only=True)
class ReplicationStatus:
    """An endpoint's role, term and log position, as it reports them itself."""

    role: str
    term: int
    position: object


async def ask_status(gateway, endpoint) -> ReplicationStatus | None:
    """Ask an endpoint for its status; return None if it does not tell."""
    reply = await _ask(gateway, endpoint)
    if reply is None or reply.error is not None:
        return None
    role, term, position = gateway.endpoint_codec.parse_status(reply.rows[0])
    return ReplicationStatus(role=role, term=term, position=position)


async def ask_log_end(gateway, endpoint) -> durability.LogEnd | None:
    """Ask an endpoint how far its log goes; return None if it does not tell.

    One without a free slot refuses to report its status. The end of its answer has a
    position of its log all the same, which may lack what has not been applied yet.
    """
    reply = await _ask(gateway, endpoint)
    if reply is None:
        return None
    if reply.error is exceptions.ErrorKind.NOT_RUN and reply.position is not None:
        return durability.LogEnd(position=reply.position, exact=False)
    if reply.error is not None:
        return None
    role, term, position = gateway.endpoint_codec.parse_status(reply.rows[0])
    return durability.LogEnd(position=position, exact=True, role=role, term=term)


async def ask_promoted(gateway, endpoint, others: list, term: int):
    """Ask whether an endpoint leads a later term; return its status, None if not.

    An endpoint without a free slot does not report its status. That it leads shows in
    the start of a transaction, which needs no slot and is rolled back at once. Then the
    others tell the term; if none of them answers, it is the next one.

    Parameters
    ----------
    others : list of Endpoint
        The other endpoints of the database.
    term : int
        Term in which another endpoint was the primary.
    """
    end = await ask_log_end(gateway, endpoint)
    if end is None:
        return None
    if not end.exact:
        if not await _ask_begin(gateway, endpoint):
            return None
        ends = await asyncio.gather(*(ask_log_end(gateway, other) for other in others))
        terms = [other.term for other in ends if other is not None and other.exact]
        end = attrs.evolve(end, role="primary", term=max(terms, default=term + 1))
    if end.role != "primary" or end.term <= term:
        return None
    return ReplicationStatus(role=end.role, term=end.term, position=end.position)


async def _ask_begin(gateway, endpoint) -> bool:
    """Return whether an endpoint starts a transaction that may write."""
    codec = gateway.endpoint_codec
    message = codec.format_begin(False, None) + codec.format_rollback()
    try:
        _, reply = await probes.send_unqueued(
            gateway, endpoint, message, STATUS_SECONDS, replies=2
        )
    except endpoint_connections.EndpointConnectionError as error:
        _log_no_status(endpoint, error.reason)
        return False
    return reply.error is None


async def _ask(gateway, endpoint):
    """Return the reply to a request for the status, None without a usable one."""
    codec = gateway.endpoint_codec
    try:
        _, reply = await probes.send_unqueued(
            gateway, endpoint, codec.format_status(), STATUS_SECONDS
        )
    except endpoint_connections.EndpointConnectionError as error:
        _log_no_status(endpoint, error.reason)
        return None
    if reply.error is not None or not reply.rows:
        _log_no_status(endpoint, reply.error.value if reply.error else "empty")
        return reply if reply.error is not None else None
    return reply


def _log_no_status(endpoint, reason: str) -> None:
    logs.write_request(
        logs.LogEvent.STATUS_UNKNOWN, {"endpoint": endpoint.id, "reason": reason}
    )
