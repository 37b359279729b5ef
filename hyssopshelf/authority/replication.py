"""Questions to endpoints for their part in the replication of their database."""

import attrs

from hyssopshelf import logs
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
        return None
    role, term, position = codec.parse_status(reply.rows[0])
    return ReplicationStatus(role=role, term=term, position=position)


def _log_no_status(endpoint, reason: str) -> None:
    logs.write_request(
        logs.LogEvent.STATUS_UNKNOWN, {"endpoint": endpoint.id, "reason": reason}
    )
