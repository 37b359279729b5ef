"""Status of a version: on how many nodes it is in force and where it is missing.

An operator's query is forwarded down a tree of bounded fan-out; nodes do not
report unasked. A node queries a few hosts and gives each a part of the list
to query in turn.
"""

import attrs

from hyssopshelf import base, envelopes
from hyssopshelf.configuration import dissemination, peers, progress

FAN_OUT = 8
"""Hosts that one node queries; 5,100 nodes are reached in five levels."""

RETRY_SHARE = 0.6
"""Fraction of its time after which a node bypasses hosts that did not answer."""

REMAINING_SHARE = 0.85
"""Fraction of the time until then that a node gives to the hosts it queries.

A host thus answers before it is bypassed even if a host below it does not. Of
5 s the fifth level has 0.3 s, ten times the longest round trip.
"""

MAXIMUM_NAMES = 100
"""Maximum number of host names in one answer; the counts are always complete."""


@envelopes.register("configuration.status_query")
@attrs.frozen(kw_only=True)
class StatusQuery:
    """Ask for the version of a pool on the receiver and on ``hosts``."""

    query_id: str
    pool: str
    version: int
    hosts: tuple[str, ...]
    remaining_seconds: float


@envelopes.register("configuration.status_result")
@attrs.frozen(kw_only=True)
class StatusResult:
    """Versions on the sender and on the hosts it asked.

    Attributes
    ----------
    in_force : int
        Nodes that hold the version or a higher one.
    missing : dict of str to int
        Version by host where a lower one is held, bounded in number.
    silent : tuple of str
        Hosts that did not answer, bounded in number.
    """

    query_id: str
    in_force: int
    missing: dict[str, int]
    missing_count: int
    silent: tuple[str, ...]
    silent_count: int


def start_query(
    board, pool: str, version: int, operation: str, deadline: float, now: float
) -> None:
    """Ask all live nodes for a version on behalf of an operator."""
    hosts = tuple(sorted(peers.list_peers(board)))
    _open_query(
        board, board.next_id(), "", operation, pool, version, hosts, deadline, now
    )


@base.receive.register
def receive_query(message: StatusQuery, board, host, now):
    """Record this node's version and query the hosts assigned to it."""
    dissemination.record_contact(board, now)
    _open_query(
        board,
        message.query_id,
        host,
        "",
        message.pool,
        message.version,
        message.hosts,
        now + message.remaining_seconds,
        now,
    )


def _open_query(
    board, query_id, parent, operation, pool, version, hosts, deadline, now
) -> None:
    summary = board.configuration.table.summaries.get(pool)
    held = summary.version if summary is not None and board.configuration_ready else 0
    query = progress.StatusQuery(
        id=query_id,
        parent=parent,
        operation=operation,
        pool=pool,
        version=version,
        deadline=deadline,
        retry_at=now + (deadline - now) * RETRY_SHARE,
    )
    if held >= version:
        query.in_force = 1
    else:
        query.missing[board.identity.host] = held
        query.missing_count = 1
    board.configuration.queries[query.id] = query
    _query_hosts(board, query, hosts, now)
    _finish_if_complete(board, query)


def _query_hosts(
    board, query: progress.StatusQuery, hosts: tuple[str, ...], now: float
) -> None:
    """Query a few hosts and assign each a part of the list."""
    remaining = (query.retry_at - now) * REMAINING_SHARE
    for index in range(min(FAN_OUT, len(hosts))):
        first, *rest = hosts[index::FAN_OUT]
        query.waiting[first] = tuple(rest)
        message = StatusQuery(
            query_id=query.id,
            pool=query.pool,
            version=query.version,
            hosts=tuple(rest),
            remaining_seconds=remaining,
        )
        dissemination.send(board, first, message)


@base.receive.register
def receive_result(message: StatusResult, board, host, now):
    """Add the counts that a host reports."""
    dissemination.record_contact(board, now)
    query = board.configuration.queries.get(message.query_id)
    if query is None or query.waiting.pop(host, None) is None:
        return
    query.in_force += message.in_force
    query.missing_count += message.missing_count
    query.silent_count += message.silent_count
    free = MAXIMUM_NAMES - len(query.missing)
    query.missing.update(list(message.missing.items())[: max(0, free)])
    query.silent.extend(message.silent)
    del query.silent[MAXIMUM_NAMES:]
    _finish_if_complete(board, query)


def step(board, now: float) -> None:
    """Bypass hosts that did not answer and close queries at their deadline."""
    for query in list(board.configuration.queries.values()):
        if now >= query.deadline:
            _count_remaining(query)
            _finish_if_complete(board, query)
        elif now >= query.retry_at:
            _bypass_silent(board, query, now)


def _bypass_silent(board, query: progress.StatusQuery, now: float) -> None:
    """Query the hosts below those that did not answer, through other hosts.

    A bypassed host may only be slow; its late answer is ignored, so that no
    node is counted twice.
    """
    query.retry_at = now + (query.deadline - now) * RETRY_SHARE
    bypassed = {host: rest for host, rest in query.waiting.items() if rest}
    if not bypassed:
        query.retry_at = query.deadline
        return
    for host, rest in bypassed.items():
        del query.waiting[host]
        _count_silent(query, (host,))
        _query_hosts(board, query, rest, now)


def _count_silent(query: progress.StatusQuery, hosts: tuple[str, ...]) -> None:
    query.silent_count += len(hosts)
    query.silent.extend(hosts[: max(0, MAXIMUM_NAMES - len(query.silent))])


def _count_remaining(query: progress.StatusQuery) -> None:
    """Count all remaining hosts as silent."""
    for host, rest in query.waiting.items():
        _count_silent(query, (host, *rest))
    query.waiting.clear()


def _finish_if_complete(board, query: progress.StatusQuery) -> None:
    """Answer the parent once all hosts have answered or timed out.

    The result of an operator's query is collected by the API controller.
    """
    if query.waiting or not query.parent:
        return
    del board.configuration.queries[query.id]
    result = StatusResult(
        query_id=query.id,
        in_force=query.in_force,
        missing=dict(query.missing),
        missing_count=query.missing_count,
        silent=tuple(query.silent),
        silent_count=query.silent_count,
    )
    dissemination.send(board, query.parent, result)
