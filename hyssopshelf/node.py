"""Combine the blackboard and the controllers into the core of a node.

The core performs no I/O: it turns each event into actions that an adapter carries
out.
"""

import random

from hyssopshelf import base, blackboard, logs, peer_events
from hyssopshelf.configuration import api, controller
from hyssopshelf.connections import pool
from hyssopshelf.failover import confirmation, detection, leases, promotion
from hyssopshelf.membership import balancing, hosts, placement
from hyssopshelf.scheduling import billing, limits, shares
from hyssopshelf.statements import (
    completion,
    entry,
    polling,
    replay,
    serving,
    stop,
    transactions,
)

TICK_SECONDS = 0.05
"""Time between two ticks, in seconds."""

PAUSE_SECONDS = 0.5
"""Gap between two ticks above which the process counts as paused, in seconds."""

FORWARD_QUIET_SECONDS = 1.0
"""Time without a statement from a peer after which a draining node may stop, in
seconds."""

REPLY_GRACE_SECONDS = 0.1
"""Time that a draining node still runs after its last reply or its last late tick, in
seconds. The reply can reach its caller, and statements that waited in socket buffers
while the process was late are read."""

LATE_TICK_SECONDS = 0.1
"""Gap between two ticks above which statements may wait in socket buffers, in
seconds."""

STEPS = (
    replay.step,
    hosts.step,
    controller.step,
    placement.step,
    balancing.step,
    polling.step,
    detection.step,
    promotion.step,
    transactions.step,
    pool.step,
    serving.step,
    entry.step,
    limits.step,
    shares.step,
    billing.step,
)
"""Functions that run at each tick, in this order."""


class Node:
    """The core of a node.

    Parameters
    ----------
    identity : blackboard.Identity
        Identity of the node.
    seed : int
        Seed of the node's random choices.
    token_keys : tuple of (str, bytes)
        Keys of session tokens; the first one signs, all of them verify.
    """

    def __init__(
        self,
        *,
        identity: blackboard.Identity,
        seed: int,
        token_keys: tuple[tuple[str, bytes], ...],
    ) -> None:
        self.board = blackboard.Blackboard(
            identity=identity, random=random.Random(seed), token_keys=token_keys
        )

    def handle(self, event: base.Event, now: float) -> list[base.Action]:
        """Apply an event and return the actions to carry out.

        Parameters
        ----------
        event : base.Event
            The event to apply.
        now : float
            Time on the node's monotonic clock, in seconds.
        """
        board = self.board
        _measure_pause(board, now)
        board.now = now
        base.handle(event, board, now)
        _settle(board, now)
        actions, board.actions = board.actions, []
        return actions


def _measure_pause(board, now: float) -> None:
    """Update the length of the pause of the process that ends with this event.

    A statement that arrived during a pause carries a remaining time that has
    partly passed. Until the next tick, deadlines are shortened by the pause.
    """
    if board.ticked_at is None:
        return
    gap = now - board.ticked_at
    if gap > LATE_TICK_SECONDS:
        board.late_tick_at = now
    if gap > PAUSE_SECONDS and board.pause_seconds == 0.0:
        board.log(logs.LogEvent.PAUSE_NOTICED, seconds=round(gap, 3))
    board.pause_seconds = gap if gap > PAUSE_SECONDS else 0.0


def _settle(board, now: float) -> None:
    """Run the controllers that react to changes until no work is left."""
    while True:
        completion.settle(board, now)
        serving.settle(board, now)
        entry.settle(board, now)
        if not board.local_answers and not board.ready_endpoints:
            break
    confirmation.start_due_rounds(board, now)


@base.handle.register
def handle_tick(event: base.Ticked, board, now) -> None:
    """Run the periodic functions of all controllers."""
    for step in STEPS:
        step(board, now)
    board.ticked_at = now
    board.pause_seconds = 0.0


@base.handle.register
def handle_peer(event: peer_events.PeerReceived, board, now) -> None:
    """Dispatch a message of another node to its controller."""
    board.waited_since = event.waited_since
    base.receive(event.message, board, event.host, now)


@base.handle.register
def handle_refused(event: peer_events.MessageRefused, board, now) -> None:
    """Log a message that could not be decoded."""
    board.log(logs.LogEvent.MESSAGE_DROPPED, reason=event.reason)


@base.handle.register
def handle_opened(event: base.ConnectionOpened, board, now) -> None:
    """Add a connection that is ready to its endpoint's idle connections."""
    pool.receive_opened(board, event.connection, now)
    record = board.connections.get(event.connection)
    if record is not None:
        board.ready_endpoints.add(record.endpoint)


@base.handle.register
def handle_failed(event: base.ConnectionFailed, board, now) -> None:
    """Remove a connection that could not be opened."""
    pool.receive_failed(board, event.connection, event.refused, event.reason, now)


@base.handle.register
def handle_closed(event: base.ConnectionClosed, board, now) -> None:
    """End the statement and the transaction of a connection that closed."""
    completion.receive_closed(board, event.connection, now)


@base.handle.register
def handle_answer(event: base.EndpointAnswered, board, now) -> None:
    """Pass an endpoint's answer to its request."""
    completion.receive_answer(
        board, event.connection, event.request_id, event.answer, now
    )


@base.handle.register
def handle_status(event: base.StatusReceived, board, now) -> None:
    """Pass an endpoint's status to the controllers that asked for it."""
    polling.receive_status(board, event.endpoint, event.probe_id, event.status, now)
    confirmation.receive_status(
        board, event.endpoint, event.probe_id, event.status, now
    )
    detection.receive_status(board, event.endpoint, event.probe_id, event.status, now)
    if event.status is not None:
        serving.receive_status(board, event.endpoint, now)


@base.handle.register
def handle_store(event: base.StoreAnswered, board, now) -> None:
    """Pass the result of a store call to the controller that made it."""
    if leases.receive_store(board, event.call_id, event.result, now):
        return
    if controller.take_store_answer(event, board, now):
        return
    billing.store_answered(event, board, now)


@base.handle.register
def handle_drain(event: base.DrainRequested, board, now) -> None:
    """Stop accepting new statements; those in progress continue."""
    if not board.draining:
        board.draining = True
        board.drained_at = now
        board.log(logs.LogEvent.PROCESS_DRAINING, host=board.identity.host)


@base.handle.register
def handle_stop(event: base.StopRequested, board, now) -> None:
    """Answer all open statements and requests of operators; refuse new statements."""
    stop.abandon(board, now)
    api.abandon(board)


def prepare_stop(board, now: float) -> list[base.Action]:
    """Return the actions to carry out before the node stops."""
    billing.flush(board, now)
    actions, board.actions = board.actions, []
    return actions


def is_idle(board, now: float) -> bool:
    """Return whether a draining node can stop without interrupting a request.

    Peers may forward statements until they know that the host leaves, so the node
    also waits until none has arrived for ``FORWARD_QUIET_SECONDS``.
    """
    if board.requests or board.entry_confirmations:
        return False
    if board.served or board.transactions:
        return False
    if api.has_open_requests(board):
        return False
    if now - max(board.replied_at, board.late_tick_at) < REPLY_GRACE_SECONDS:
        return False
    return now - max(board.drained_at, board.forwarded_at) >= FORWARD_QUIET_SECONDS
