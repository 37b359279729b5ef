"""Probes of endpoints that get too little traffic to show their state.

A probe resets an idle connection, which takes no slot. The answer of a primary is
an observation of its log position; the answer of a failing endpoint shows that it
has recovered.
"""

import asyncio

from hyssopshelf import background, clocks, logs
from hyssopshelf.gateway import endpoint_connections, endpoint_health, execution

INTERVAL_SECONDS = 0.1
"""Time between two rounds of probes."""

OBSERVATION_AGE_SECONDS = 0.3
"""Age of the newest observation above which the primary is probed. Reads with a
staleness bound of 1.5 s then get a position in time even if one probe is lost."""

PROBE_TIMEOUT_SECONDS = 0.4
"""Timeout of a probe; enough for a new connection and a round trip across regions."""

FAILING_INTERVAL_SECONDS = 0.25
"""Minimum time between two probes of a failing endpoint."""


class Prober:
    """Probes primaries without recent observations, and failing endpoints.

    Parameters
    ----------
    gateway : Gateway
        The gateway whose endpoints are probed.
    """

    def __init__(self, *, gateway) -> None:
        self.gateway = gateway
        self._probing: set[str] = set()
        self._probed_at: dict[str, float] = {}
        self._tasks = background.TaskSet()

    def run_round(self) -> None:
        """Start the probes that are due, as tasks, at most one for each endpoint."""
        board = self.gateway.board
        now = clocks.read_clock()
        due = set()
        for database, grant in board.primary_grants.items():
            if not grant.is_valid(now, direct=True):
                continue
            if (
                board.get_positions(database).get_last_time()
                < now - OBSERVATION_AGE_SECONDS
            ):
                due.add(grant.endpoint)
        for endpoint_id, health in board.health.items():
            last_probe = self._probed_at.get(endpoint_id, 0.0)
            if health.failures and now - last_probe >= FAILING_INTERVAL_SECONDS:
                due.add(endpoint_id)
        for endpoint_id in due - self._probing:
            endpoint = board.endpoints.get(endpoint_id)
            if endpoint is None or self.gateway.shares.get(endpoint_id) == 0:
                continue
            self._probing.add(endpoint_id)
            self._probed_at[endpoint_id] = now
            self._tasks.start(self._probe(endpoint))

    async def _probe(self, endpoint) -> None:
        gateway = self.gateway
        health = gateway.board.get_health(endpoint.id)
        grant = gateway.board.primary_grants.get(endpoint.database)
        sent_at = clocks.read_clock()
        try:
            connection, reply = await send_unqueued(
                gateway, endpoint, None, PROBE_TIMEOUT_SECONDS
            )
        except endpoint_connections.EndpointConnectionError as error:
            if error.reason != execution.FULL_REASON:
                endpoint_health.record_failure(health, sent_at, clocks.read_clock())
                logs.write_request(
                    logs.LogEvent.PROBE_FAILED,
                    {
                        "endpoint": endpoint.id,
                        "reason": error.reason,
                        "failures": health.failures,
                    },
                )
            return
        finally:
            self._probing.discard(endpoint.id)
        endpoint_health.record_contact(health, clocks.read_clock())
        if grant is not None and grant.endpoint == endpoint.id:
            execution.record_observation(
                gateway, connection, grant.version, reply, sent_at
            )


async def send_unqueued(
    gateway, endpoint, message: bytes | None, seconds: float, *, replies: int = 1
):
    """Send a message without waiting in the queue; return connection and first reply.

    It uses an idle connection of the pool, or a new one that may exceed this node's
    share.

    Parameters
    ----------
    message : bytes or None
        Encoded message; None resets the connection.
    seconds : float
        Timeout of connecting and exchange together.
    replies : int
        Number of replies to the message; no transaction is open after the last one.

    Raises
    ------
    EndpointConnectionError
        If the endpoint cannot be reached, refuses, or does not answer in time.
    """
    pool = gateway.get_local_pool(endpoint)
    deadline = clocks.read_clock() + seconds
    connection = pool.take_idle()
    if connection is None:
        connection = await endpoint_connections.open_connection(
            endpoint, gateway.endpoint_codec, seconds
        )
        pool.add_connection(connection)
    if message is None:
        message = gateway.endpoint_codec.format_reset()
        connection.state.values.clear()
        connection.state.prepared.clear()
    try:
        async with asyncio.timeout(max(0.0, deadline - clocks.read_clock())):
            found = await connection.exchange(message, replies)
    except TimeoutError as error:
        pool.discard_connection(connection)
        raise endpoint_connections.EndpointConnectionError(
            "no answer in time"
        ) from error
    except BaseException:
        pool.discard_connection(connection)
        raise
    pool.release_connection(connection)
    return connection, found[0]
