"""Terms and primaries: learned from endpoints and spread between the nodes.

A node that learns a new primary sends it to random peers, which pass it on in
the same way. Holds of new writes in planned changes are spread likewise.
"""

import attrs

from hyssopshelf import base, envelopes, logs, messages

FANOUT = 3
"""Number of random peers to which a node passes on what is new to it."""

REPEAT_SECONDS = 10.0
"""Time for which a node repeats a new primary, to one random peer per interval.

Without repetition, a message that each node passes on to three peers misses
about 6% of the nodes.
"""

REPEAT_INTERVAL_SECONDS = 1.0
"""Interval between two repetitions."""

MAXIMUM_CHANGES = 64
"""Number of planned changes that a node keeps per database."""


@envelopes.register("failover.term")
@attrs.frozen(kw_only=True)
class TermAnnounced:
    """Announces that an endpoint became the primary of a term."""

    database: str
    term: int
    primary: str


@envelopes.register("failover.writes")
@attrs.frozen(kw_only=True)
class WritesHeld:
    """Holds new writes to a database during a planned change of its primary.

    Attributes
    ----------
    change_id : str
        Id of the planned change.
    term : int
        Term that ends with the change.
    remaining_seconds : float
        Time after which the hold expires; 0 ends it at once.
    """

    database: str
    change_id: str
    term: int
    remaining_seconds: float


@attrs.define(kw_only=True)
class TermState:
    """State of the messages that a node spreads.

    Attributes
    ----------
    repeat_until : dict of str to float
        Time until which the primary of a database is repeated.
    changes : dict of str to dict of str to bool
        Last planned changes per database, by id: whether the hold has ended.
    next_repeat_at : float
        Time of the next repetition.
    """

    repeat_until: dict[str, float] = attrs.field(factory=dict)
    changes: dict[str, dict[str, bool]] = attrs.field(factory=dict)
    next_repeat_at: float = float("-inf")


def learn_status(board, status: messages.EndpointStatus) -> None:
    """Learn the term and primary of a database from an endpoint's status.

    A single status is sufficient: an endpoint reports a primary only after that
    primary was promoted in the endpoint's term.
    """
    endpoint = board.endpoints.get(status.name)
    record = board.databases.get(endpoint.database) if endpoint else None
    if record is None:
        return
    record.fenced_term = max(record.fenced_term, status.term)
    if status.primary:
        learn_primary(board, record.name, status.term, status.primary)


def learn_primary(board, database: str, term: int, primary: str) -> bool:
    """Record the primary of a term; return whether the term is new to this node."""
    record = board.databases.get(database)
    if record is None or primary not in record.endpoints or term <= record.term:
        return False
    record.term = term
    record.primary = primary
    record.fenced_term = max(record.fenced_term, term)
    record.held_until = float("-inf")
    board.log(logs.LogEvent.TERM_LEARNED, database=database, term=term, primary=primary)
    return True


def announce(board, database: str, now: float) -> None:
    """Spread the primary of a database, which is new to this node."""
    board.failover.term_state.repeat_until[database] = now + REPEAT_SECONDS
    record = board.databases[database]
    _gossip(
        board,
        TermAnnounced(database=database, term=record.term, primary=record.primary),
    )


def hold_writes(board, database: str, change_id: str, until: float, now: float):
    """Hold new writes to a database on all nodes.

    The hold ends if ``until`` is not after ``now``.
    """
    record = board.databases[database]
    message = WritesHeld(
        database=database,
        change_id=change_id,
        term=record.term,
        remaining_seconds=max(0.0, until - now),
    )
    _apply_hold(board, message, now)
    _gossip(board, message, required_peer=board.placement.get(record.primary, ""))


def step(board, now: float) -> None:
    """Repeat recent changes of primary to random peers."""
    if (
        not board.failover.term_state.repeat_until
        or now < board.failover.term_state.next_repeat_at
    ):
        return
    board.failover.term_state.next_repeat_at = now + REPEAT_INTERVAL_SECONDS
    peers = find_peers(board)
    for database, until in list(board.failover.term_state.repeat_until.items()):
        record = board.databases.get(database)
        if record is None or now >= until:
            del board.failover.term_state.repeat_until[database]
        elif peers:
            message = TermAnnounced(
                database=database, term=record.term, primary=record.primary
            )
            board.act(base.SendPeer(host=board.random.choice(peers), message=message))


def find_peers(board) -> list[str]:
    """Return the names of the other hosts that are not dead."""
    own = board.identity.host
    return [
        name
        for name, host in board.hosts.items()
        if name != own and host.state.value != "dead"
    ]


@base.receive.register
def _(message: TermAnnounced, board, host: str, now: float) -> None:
    if learn_primary(board, message.database, message.term, message.primary):
        announce(board, message.database, now)


@base.receive.register
def _(message: WritesHeld, board, host: str, now: float) -> None:
    record = board.databases.get(message.database)
    if record is not None and _apply_hold(board, message, now):
        _gossip(board, message, required_peer=board.placement.get(record.primary, ""))


def _apply_hold(board, message: WritesHeld, now: float) -> bool:
    """Apply a hold or its end; return whether it was new to this node."""
    record = board.databases[message.database]
    changes = board.failover.term_state.changes.setdefault(message.database, {})
    ends = message.remaining_seconds <= 0
    # All recent changes are kept. If only the last one were kept, the messages
    # of two concurrent changes would replace each other and circulate forever.
    ended = changes.get(message.change_id)
    if ended or ends != (ended is False) or message.term < record.term:
        return False
    changes[message.change_id] = ends
    while len(changes) > MAXIMUM_CHANGES:
        del changes[next(iter(changes))]
    record.held_until = now + message.remaining_seconds if not ends else float("-inf")
    return True


def _gossip(board, message, required_peer: str = "") -> None:
    """Send a message to random peers, and to ``required_peer`` if it is one."""
    peers = find_peers(board)
    chosen = board.random.sample(peers, min(FANOUT, len(peers)))
    if required_peer in peers and required_peer not in chosen:
        chosen.append(required_peer)
    for peer in chosen:
        board.act(base.SendPeer(host=peer, message=message))
