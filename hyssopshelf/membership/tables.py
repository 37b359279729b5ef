"""Exchange of host tables: joins, repair by digests and the platform's host list."""

from hyssopshelf import base, logs
from hyssopshelf.membership import exchange, gossip, protocol, records, transitions

DEAD_PROBE_PERIOD_SECONDS = 5.0
"""Interval between probes of a dead host.

They let the two sides of a partition find each other after it heals.
"""

MAXIMUM_UNTRACKED_PROBES = 3
"""Upper bound on the untracked probes that a node sends in a probe period."""

PULL_PERIOD_SECONDS = 5.0
"""Minimum interval between two pulls of buckets."""

MISMATCHES_BEFORE_PULL = 10
"""Consecutive comparisons in which a bucket must differ before it is pulled.

Changes that are still spreading cause shorter runs.
"""

MAXIMUM_PULLED_ROWS = 400
"""Upper bound on the rows that a pull requests, but at least one bucket.

This amounts to 28 KB every 5 s at the target size.
"""


def probe_dead_hosts(board, now: float) -> None:
    """Probe dead hosts that may have returned, without tracking the answers."""
    state = board.membership
    names = list(state.conflicting)[:MAXIMUM_UNTRACKED_PROBES]
    for name in names:
        del state.conflicting[name]
    if state.dead and now >= state.next_dead_probe_at:
        state.next_dead_probe_at = now + DEAD_PROBE_PERIOD_SECONDS
        names.append(board.random.choice(list(state.dead)))
    for name in names:
        if name in state.dead:
            exchange.send_probe(board, name, 0)


def join(board) -> None:
    """Request the host table from a random listed, configured or dead host."""
    state = board.membership
    own = board.identity.address
    addresses = {*state.seeds, *state.candidates.values()}
    addresses |= {board.hosts[name].address for name in state.dead}
    choices = sorted(addresses - {own, ""})
    if choices:
        exchange.send(
            board,
            board.random.choice(choices),
            protocol.Join(sender=exchange.make_own_row(board)),
        )


@base.receive.register
def receive_join(message: protocol.Join, board, host: str, now: float) -> None:
    """Answer a joining host with the whole host table."""
    exchange.apply_message(board, message, host, now)
    _send_table(board, host, tuple(range(gossip.BUCKETS)))


@base.receive.register
def receive_pull(message: protocol.PullBuckets, board, host: str, now: float) -> None:
    """Answer with the hosts in the requested buckets."""
    exchange.apply_message(board, message, host, now)
    _send_table(board, host, message.buckets)


def _send_table(board, host: str, buckets: tuple[int, ...]) -> None:
    rows = tuple(
        gossip.make_row(record)
        for record in board.hosts.values()
        if record.state is not records.HostState.DEAD
        and gossip.get_bucket(record.name) in buckets
    )
    message = protocol.Table(
        sender=exchange.make_own_row(board),
        buckets=buckets,
        rows=rows,
        regions=dict(board.membership.regions),
    )
    exchange.send(board, host, message)


@base.receive.register
def receive_table(message: protocol.Table, board, host: str, now: float) -> None:
    """Apply a host table and check the hosts on which the two nodes differ.

    A host that is dead here and live at the sender is probed, so that it refutes
    its death itself. A host that is missing at the sender is probed next.

    A joining node does not spread the rows of its first table, which the other
    nodes already know: at the target size it would send 5,100 rows 39 times
    each, about 2 KB/s for 50 minutes.
    """
    state = board.membership
    state.regions = message.regions | state.regions
    joining = state.peers == 0
    exchange.apply_message(board, message, host, now)
    listed = {row[0] for row in message.rows}
    if joining:
        for name in listed - {board.identity.host}:
            state.outbox.discard(name)
    state.conflicting |= dict.fromkeys(listed & state.dead.keys())
    state.priority_targets = [
        name
        for name in board.hosts
        if gossip.get_bucket(name) in message.buckets
        and name not in listed
        and exchange.is_peer(board, name)
    ]


@base.receive.register
def receive_notice(
    message: protocol.LeavingNotice, board, host: str, now: float
) -> None:
    """Adopt the leaving mark of the host list; the next step announces it."""
    exchange.apply_message(board, message, host, now)
    board.membership.listed_leaving = message.leaving


def compare_digests(board, host: str, packed: bytes, now: float) -> None:
    """Pull the buckets whose digests have differed in many comparisons in a row."""
    state = board.membership
    different = set(state.digests.list_differences(packed))
    for bucket in range(gossip.BUCKETS):
        count = state.mismatches[bucket] + 1 if bucket in different else 0
        state.mismatches[bucket] = count
    if now < state.next_pull_at:
        return
    lasting = [b for b in different if state.mismatches[b] >= MISMATCHES_BEFORE_PULL]
    if not lasting:
        return
    limit = max(1, MAXIMUM_PULLED_ROWS * gossip.BUCKETS // len(board.hosts))
    buckets = tuple(sorted(board.random.sample(sorted(lasting), len(lasting))[:limit]))
    for bucket in buckets:
        state.mismatches[bucket] = 0
    state.next_pull_at = now + PULL_PERIOD_SECONDS
    board.log(logs.LogEvent.HOSTS_PULLED, host=host, buckets=len(buckets))
    exchange.send(
        board,
        host,
        protocol.PullBuckets(sender=exchange.make_own_row(board), buckets=buckets),
    )


@base.handle.register
def handle_host_list(event: base.HostListReceived, board, now: float) -> None:
    """Compare the platform's host list with the hosts that this node knows.

    The list lags, so it never makes a host dead or live by itself: unknown hosts
    are probed, and a host whose leaving mark differs is notified and announces
    the change itself.
    """
    state = board.membership
    transitions.initialize(board, now)
    state.listed = frozenset(entry.name for entry in event.hosts)
    state.listed_at = now
    state.candidates = {}
    for entry in event.hosts:
        record = board.hosts.get(entry.name)
        if entry.name == board.identity.host:
            state.listed_leaving = entry.leaving
        elif record is None:
            state.candidates[entry.name] = entry.address
        elif record.leaving != entry.leaving and exchange.is_peer(board, entry.name):
            notice = protocol.LeavingNotice(
                sender=exchange.make_own_row(board), leaving=entry.leaving
            )
            exchange.send(board, entry.name, notice)
    if state.peers:
        names = sorted(state.candidates)
        for name in board.random.sample(
            names, min(MAXIMUM_UNTRACKED_PROBES, len(names))
        ):
            exchange.send_probe(board, state.candidates[name], 0)
