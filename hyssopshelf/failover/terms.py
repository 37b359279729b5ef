"""Knowledge of terms and primaries: learning it and spreading it between nodes."""

import attrs

from hyssopshelf import base, logs, messages

FANOUT = 3
"""Peers to which a node passes a new fact."""

REPEAT_SECONDS = 10.0
"""A new primary is repeated to one random peer a second for this time.

Passing a fact on once to three peers misses about 6% of the nodes.
"""

REPEAT_INTERVAL_SECONDS = 1.0
"""Time between two repetitions."""

KEPT_CHANGES = 64
"""Planned changes of a database that a node remembers."""


@messages.register("failover.term")
@attrs.frozen(kw_only=True)
class TermAnnounced:
    """An endpoint became the primary of a term."""

    database: str
    term: int
    primary: str


@messages.register("failover.writes")
@attrs.frozen(kw_only=True)
class WritesHeld:
    """New writes to a database wait for a planned change of its primary.

    Attributes
    ----------
    change_id : str
        Id of the planned change.
    term : int
        Term that ends with the change.
    remaining_seconds : float
        Time after which the hold ends by itself; 0 ends it now.
    """

    database: str
    change_id: str
    term: int
    remaining_seconds: float


@attrs.define(kw_only=True)
class TermState:
    """What a node still spreads.

    Attributes
    ----------
    recent : dict of str to float
        Time until which the primary of a database is repeated.
    changes : dict of str to dict of str to bool
        Last planned changes of a database and whether their holds were ended.
    """

    recent: dict[str, float] = attrs.field(factory=dict)
    changes: dict[str, dict[str, bool]] = attrs.field(factory=dict)
    repeat_at: float = float("-inf")


def learn_status(board, status: messages.EndpointStatus) -> None:
    """Learn the term and primary of a database from an endpoint's status.

    An endpoint names a primary only after that one was promoted in the
    endpoint's term, so one report is enough.
    """
    endpoint = board.endpoints.get(status.name)
    record = board.databases.get(endpoint.database) if endpoint else None
    if record is None:
        return
    record.fenced_term = max(record.fenced_term, status.term)
    if status.primary:
        learn_primary(board, record.name, status.term, status.primary)


def learn_primary(board, database: str, term: int, primary: str) -> bool:
    """Learn the primary of a term; return whether the term is new to this node."""
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
    """Spread the primary of a database that this node learned first."""
    board.failover.term_state.recent[database] = now + REPEAT_SECONDS
    record = board.databases[database]
    _pass_on(
        board,
        TermAnnounced(database=database, term=record.term, primary=record.primary),
    )


def hold_writes(board, database: str, change_id: str, until: float, now: float):
    """Hold new writes to a database on all nodes; a past ``until`` ends the hold."""
    record = board.databases[database]
    message = WritesHeld(
        database=database,
        change_id=change_id,
        term=record.term,
        remaining_seconds=max(0.0, until - now),
    )
    _apply_hold(board, message, now)
    _pass_on(board, message, first=board.placement.get(record.primary, ""))


def step(board, now: float) -> None:
    """Repeat recent changes of primary to a random peer."""
    if (
        not board.failover.term_state.recent
        or now < board.failover.term_state.repeat_at
    ):
        return
    board.failover.term_state.repeat_at = now + REPEAT_INTERVAL_SECONDS
    peers = find_peers(board)
    for database, until in list(board.failover.term_state.recent.items()):
        record = board.databases.get(database)
        if record is None or now >= until:
            del board.failover.term_state.recent[database]
        elif peers:
            message = TermAnnounced(
                database=database, term=record.term, primary=record.primary
            )
            board.act(base.SendPeer(host=board.random.choice(peers), message=message))


def find_peers(board) -> list[str]:
    """Return the other hosts that are not dead."""
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
        _pass_on(board, message, first=board.placement.get(record.primary, ""))


def _apply_hold(board, message: WritesHeld, now: float) -> bool:
    """Apply a hold or its end; return whether it was new."""
    record = board.databases[message.database]
    changes = board.failover.term_state.changes.setdefault(message.database, {})
    ends = message.remaining_seconds <= 0
    # Every change is remembered: with only the last one, the messages of two
    # changes at the same time would be new to each other without end.
    ended = changes.get(message.change_id)
    if ended or ends != (ended is False) or message.term < record.term:
        return False
    changes[message.change_id] = ends
    while len(changes) > KEPT_CHANGES:
        del changes[next(iter(changes))]
    record.held_until = now + message.remaining_seconds if not ends else float("-inf")
    return True


def _pass_on(board, message, first: str = "") -> None:
    """Send a message to random peers, and to the host ``first`` if it is known."""
    peers = find_peers(board)
    chosen = board.random.sample(peers, min(FANOUT, len(peers)))
    if first in peers and first not in chosen:
        chosen.append(first)
    for peer in chosen:
        board.act(base.SendPeer(host=peer, message=message))
