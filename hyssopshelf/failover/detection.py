"""Detection of primaries that must be replaced.

A primary is replaced if one of these conditions holds for two seconds:

(a) neither this node nor enough of the hosts that it asked reach the primary,
    and no replica hears from it;
(b) a majority of the group does not hear from it although it accepts
    connections;
(c) a majority answers and no endpoint is primary in the highest known term.

The two seconds start at the last sign of life that any host or endpoint
reports, and the failed probes are spread over them.
"""

import attrs

from hyssopshelf import base, logs, messages
from hyssopshelf.failover import (
    confirmation,
    leases,
    observations,
    promotion,
    reachability,
    terms,
    watchers,
)

POLL_SECONDS = 1.0
"""Interval between polls by the first watcher; longer by rank for the others."""

SUSPICIOUS_POLL_SECONDS = 0.1
"""Interval between polls while the primary is under suspicion."""

FAST_POLLING_SECONDS = 5.0
"""Time after which polls of a suspected primary return to the normal interval.

A primary that stays slow must not cause more polls than a healthy one.
"""

PROBE_REQUEST_SECONDS = 0.5
"""Interval between requests for probes by other hosts."""

REFRESH_SECONDS = 1.0
"""Interval between checks whether the watched databases changed."""

MAXIMUM_REFRESH_SECONDS = 10.0
"""Interval after which the watched databases are computed without a known change.

At the target size a computation takes 10 to 30 ms.
"""

FOLLOW_RETRY_SECONDS = 0.5
"""Interval between orders to the same endpoint to follow the primary."""

TERM_REPAIR_SECONDS = 3.0
"""Time after which an endpoint in a higher term than the primary's is repaired."""

UNKNOWN_PRIMARY_BATCH = 20
"""Databases without a known primary that are polled per refresh."""

MAXIMUM_UNANSWERED_POLLS = 20
"""Number of unanswered polls that are kept per database."""

PROMOTER_PROGRESS_SECONDS = 1.5
"""Time for which a watcher waits for another promoter that has raised a term."""

MOVE_RETRY_SECONDS = 5.0
"""Interval between attempts to move a primary off a leaving endpoint."""

POLL_EXPIRY_SECONDS = 15.0
"""Time after which an unanswered poll is removed."""

PAUSE_SECONDS = 3.0
"""Delay of a poll beyond its interval that indicates a pause of this node."""


@attrs.frozen(kw_only=True)
class Poll:
    """A status poll of endpoints of a database.

    ``waiting`` holds the endpoints whose probe has not ended yet.
    """

    database: str
    asked_at: float
    waiting: set[str]


@attrs.define(kw_only=True)
class DetectionState:
    """Detection state of a node.

    Attributes
    ----------
    ring : DatabaseRing
        Databases for which the watches were computed.
    hosts : set of str
        Hosts for which the watches were computed.
    watches : dict of str to Watch
        Watched databases.
    polls : dict of str to Poll
        Open polls by probe id.
    probe_requests : dict of str to str
        Database by id of a request for probes by other hosts.
    refreshed_at, computed_at : float
        Times of the last check for changes and of the last computation.
    hosts_key, databases_key : tuple
        Versions of the hosts and databases at the last computation.
    all_primaries_known : bool
        Whether each database has a known primary or is watched.
    next_unknown_offset : int
        Position in the databases without a known primary to continue from.
    """

    ring: watchers.DatabaseRing = attrs.field(factory=watchers.DatabaseRing)
    hosts: set[str] = attrs.field(factory=set)
    watches: dict[str, observations.Watch] = attrs.field(factory=dict)
    polls: dict[str, Poll] = attrs.field(factory=dict)
    probe_requests: dict[str, str] = attrs.field(factory=dict)
    refreshed_at: float = float("-inf")
    computed_at: float = float("-inf")
    hosts_key: tuple = ()
    databases_key: tuple = ()
    all_primaries_known: bool = False
    next_unknown_offset: int = 0


def step(board, now: float) -> None:
    """Poll the watched databases and replace primaries that are lost."""
    state = board.failover.detection_state
    if board.pause_seconds > 0:
        restart_observations(board, now)
    if now >= state.refreshed_at + REFRESH_SECONDS:
        state.refreshed_at = now
        if _needs_refresh(board, now):
            _refresh_watches(board, now)
            state.all_primaries_known = False
        if not state.all_primaries_known:
            _request_unknown_primaries(board, now)
        _remove_expired_polls(state, now)
    for database, watch in state.watches.items():
        _step_watch(board, database, watch, now)
    reachability.step(board, now)
    terms.step(board, now)


def restart_observations(board, now: float) -> None:
    """Discard the observations made before a pause of this node."""
    state = board.failover.detection_state
    state.polls.clear()
    state.probe_requests.clear()
    for watch in state.watches.values():
        observations.restart(watch, watch.term, now)


def request_primary(board, database: str, now: float) -> None:
    """Poll the endpoints of a database to learn its primary."""
    record = board.databases.get(database)
    if record is not None:
        _send_poll(board, database, record.endpoints, now)


def receive_status(
    board,
    endpoint: str,
    probe_id: str,
    status: messages.EndpointStatus | None,
    now: float,
) -> None:
    """Process the result of any status probe of this node.

    ``status`` is None if the probe failed.
    """
    known = board.endpoints.get(endpoint)
    if known is not None and status is not None:
        terms.learn_status(board, status)
    reachability.receive_status(board, probe_id, status)
    promotion.receive_status(board, endpoint, probe_id, status, now)
    poll = board.failover.detection_state.polls.get(probe_id)
    if poll is None or endpoint not in poll.waiting:
        return
    poll.waiting.discard(endpoint)
    if not poll.waiting:
        del board.failover.detection_state.polls[probe_id]
    if status is not None and known is not None:
        if poll.asked_at > known.status_asked_at:
            known.status = status
            known.status_asked_at = poll.asked_at
        watch = board.failover.detection_state.watches.get(poll.database)
        if watch is not None:
            _record_report(board, poll, watch, endpoint, status, now)
    elif status is None:
        _record_failed_poll(board, poll, endpoint)


@base.receive.register
def _(message: reachability.ProbeReported, board, host: str, now: float) -> None:
    database = board.failover.detection_state.probe_requests.get(message.request_id)
    watch = board.failover.detection_state.watches.get(database or "")
    record = board.databases.get(database or "")
    if watch is None or record is None or record.primary != message.endpoint:
        return
    if message.reached:
        watch.last_alive_at = now
        watch.unreached_at.clear()
    else:
        watch.unreached_at[host] = now


def _needs_refresh(board, now: float) -> bool:
    """Return whether the watched databases may differ from the last computation."""
    state = board.failover.detection_state
    hosts_key = (board.membership.version, len(board.hosts), board.draining)
    databases_key = (board.configuration.changes, len(board.databases))
    changed = hosts_key != state.hosts_key
    if databases_key != state.databases_key:
        # Most changes of documents leave the names of databases as they are.
        changed = changed or state.ring.names != board.databases.keys()
        state.databases_key = databases_key
        state.all_primaries_known = False
    if not changed and now < state.computed_at + MAXIMUM_REFRESH_SECONDS:
        return False
    state.computed_at = now
    state.hosts_key = hosts_key
    return True


def _refresh_watches(board, now: float) -> None:
    state = board.failover.detection_state
    changed = state.ring.update(board.databases.keys())
    own = board.identity.host
    hosts = {own} if not board.draining else set()
    for name, host in board.hosts.items():
        if host.state.value in ("alive", "suspect") and name != own:
            hosts.add(name)
    if not changed and hosts == state.hosts:
        return
    state.hosts = hosts
    ranks = watchers.find_ranks(state.ring, hosts, own) if own in hosts else {}
    for database in list(state.watches):
        if database not in ranks:
            del state.watches[database]
    for database, rank in ranks.items():
        watch = state.watches.get(database)
        if watch is None:
            term = board.databases[database].term
            state.watches[database] = observations.Watch(
                rank=rank, term=term, started_at=now, last_alive_at=now
            )
        else:
            watch.rank = rank


def _request_unknown_primaries(board, now: float) -> None:
    unknown = [
        name
        for name, record in board.databases.items()
        if not record.primary and name not in board.failover.detection_state.watches
    ]
    board.failover.detection_state.all_primaries_known = not unknown
    first = board.failover.detection_state.next_unknown_offset
    board.failover.detection_state.next_unknown_offset += UNKNOWN_PRIMARY_BATCH
    for step_number in range(min(UNKNOWN_PRIMARY_BATCH, len(unknown))):
        request_primary(board, unknown[(first + step_number) % len(unknown)], now)


def _remove_expired_polls(state: DetectionState, now: float) -> None:
    # Polls are stored in the order in which they were sent.
    for probe_id, poll in list(state.polls.items()):
        if now < poll.asked_at + POLL_EXPIRY_SECONDS:
            break
        del state.polls[probe_id]
    while len(state.probe_requests) > 64 + len(state.watches):
        del state.probe_requests[next(iter(state.probe_requests))]


def _send_poll(board, database: str, endpoints, now: float) -> None:
    probe_id = board.next_id()
    board.failover.detection_state.polls[probe_id] = Poll(
        database=database, asked_at=now, waiting=set(endpoints)
    )
    for endpoint in endpoints:
        board.act(base.ProbeStatus(endpoint=endpoint, probe_id=probe_id))


def _record_failed_poll(board, poll: Poll, endpoint: str) -> None:
    watch = board.failover.detection_state.watches.get(poll.database)
    record = board.databases.get(poll.database)
    if watch is None or record is None or record.primary != endpoint:
        return
    if poll.asked_at in watch.unanswered:
        watch.last_failed_at = max(watch.last_failed_at, poll.asked_at)


def _record_report(
    board, poll: Poll, watch: observations.Watch, endpoint, status, now
) -> None:
    record = board.databases[poll.database]
    if record.term > watch.term:
        observations.restart(watch, record.term, now)
    if status.term > watch.highest_term:
        watch.highest_term = status.term
        if status.term > board.failover.promotion_state.proposed_terms.get(
            record.name, 0
        ):
            watch.progress_at = now
    previous = watch.reports.get(endpoint)
    if previous is None or previous.asked_at <= poll.asked_at:
        watch.reports[endpoint] = observations.build_report(
            previous, poll.asked_at, status, now
        )
    if endpoint == record.primary:
        watch.last_alive_at = now
        watch.unanswered = [at for at in watch.unanswered if at > poll.asked_at]
        watch.unreached_at.clear()
    elif status.primary == record.primary:
        watch.last_alive_at = max(
            watch.last_alive_at, watch.reports[endpoint].primary_heard_at
        )
    _record_discarded_writes(board, watch, endpoint, status)
    _order_follow_if_needed(board, record, watch, endpoint, status, now)


def _record_discarded_writes(
    board, watch: observations.Watch, endpoint: str, status
) -> None:
    previous = watch.discarded.get(endpoint, status.discarded)
    watch.discarded[endpoint] = status.discarded
    if status.discarded > previous:
        amount = status.discarded - previous
        board.count("failover_discarded_writes", amount)
        board.log(
            logs.LogEvent.WRITES_DISCARDED,
            endpoint=endpoint,
            term=status.term,
            discarded=amount,
        )


def _order_follow_if_needed(
    board, record, watch: observations.Watch, endpoint, status, now
) -> None:
    """Order an endpoint that does not follow the primary to do so."""
    if not record.primary or endpoint == record.primary:
        return
    if status.term > record.term or (
        status.role is messages.Role.REPLICA and status.primary == record.primary
    ):
        return
    if record.name in board.failover.promotion_state.running:
        return
    if now < watch.followed_at.get(endpoint, float("-inf")) + FOLLOW_RETRY_SECONDS:
        return
    watch.followed_at[endpoint] = now
    promotion.order_follow(board, record, endpoint)


def _step_watch(board, database: str, watch: observations.Watch, now: float) -> None:
    record = board.databases.get(database)
    if record is None:
        return
    if record.term > watch.term:
        observations.restart(watch, record.term, now)
    interval = _compute_poll_interval(watch, now)
    if watch.polled_at > watch.started_at and (
        now > watch.polled_at + interval + PAUSE_SECONDS
    ):
        observations.restart(watch, watch.term, now)
    if now >= watch.polled_at + interval:
        watch.polled_at = now
        if record.primary:
            watch.unanswered = [*watch.unanswered[-MAXIMUM_UNANSWERED_POLLS:], now]
        _send_poll(board, database, record.endpoints, now)
    _update_suspicion(board, record, watch, now)
    if database in board.failover.promotion_state.running:
        return
    if watch.suspicious_since is not None:
        _request_peer_probes(board, record, watch, now)
        _replace_if_lost(board, record, watch, now)
    elif watch.rank == 0:
        _move_off_leaving(board, record, watch, now)


def _update_suspicion(board, record, watch: observations.Watch, now: float) -> None:
    before = watch.suspicious_since
    observations.update_suspicion(record, watch, now)
    if record.primary and (before is None) != (watch.suspicious_since is None):
        event = logs.LogEvent.PRIMARY_SUSPECTED
        if before is not None:
            event = logs.LogEvent.PRIMARY_RECOVERED
        board.log(event, database=record.name, primary=record.primary, rank=watch.rank)


def _compute_poll_interval(watch: observations.Watch, now: float) -> float:
    delay = watch.rank * observations.RANK_DELAY_SECONDS
    since = watch.suspicious_since
    if since is not None and now < since + FAST_POLLING_SECONDS + delay:
        return SUSPICIOUS_POLL_SECONDS
    return POLL_SECONDS * (1 + watch.rank)


def _request_peer_probes(board, record, watch: observations.Watch, now: float) -> None:
    if not watch.count_unanswered(now) or now < watch.asked_at + PROBE_REQUEST_SECONDS:
        return
    watch.asked_at = now
    request_id = board.next_id()
    board.failover.detection_state.probe_requests[request_id] = record.name
    watch.asked_hosts = len(
        reachability.request_probes(board, record.primary, request_id)
    )


def _replace_if_lost(board, record, watch: observations.Watch, now: float) -> None:
    window = (
        observations.FAILURE_WINDOW_SECONDS
        + watch.rank * observations.RANK_DELAY_SECONDS
    )
    fresh = observations.find_fresh_reports(watch, now)
    if len(fresh) < confirmation.compute_majority(len(record.endpoints)):
        # Without a majority no promotion can succeed.
        watch.no_primary_since = None
        return
    observations.update_no_primary(record, watch, fresh, now)
    early = now - window + leases.REQUEST_LEAD_SECONDS
    if observations.find_reason(record, watch, fresh, early, now) is None:
        _repair_higher_term(board, record, watch, fresh, now)
        return
    leases.request_lease(board, record.name, now)
    reason = observations.find_reason(record, watch, fresh, now - window, now)
    if reason is None or now < watch.progress_at + PROMOTER_PROGRESS_SECONDS:
        return
    if (
        reason is promotion.Reason.UNREACHABLE
        and not observations.is_unreached_by_peers(watch, now)
    ):
        return
    excluded = record.primary
    if reason is promotion.Reason.NO_PRIMARY:
        excluded = ""
    promotion.start(board, record.name, reason, excluded, now)


def _repair_higher_term(
    board, record, watch: observations.Watch, fresh: dict, now: float
) -> None:
    """Start a new term if an endpoint is fenced in a term that has no primary.

    A promoter that gave up leaves such endpoints. They cannot follow the primary
    of an older term.
    """
    delay = watch.rank * observations.RANK_DELAY_SECONDS
    primary = fresh.get(record.primary)
    in_higher_term = any(report.status.term > record.term for report in fresh.values())
    if primary is None or not in_higher_term or watch.no_primary_since is not None:
        watch.higher_term_since = None
    elif watch.higher_term_since is None:
        watch.higher_term_since = now
    elif now >= watch.higher_term_since + TERM_REPAIR_SECONDS + delay:
        watch.higher_term_since = None
        promotion.request_change(board, record.name, record.primary, now)


def _move_off_leaving(board, record, watch: observations.Watch, now: float) -> None:
    """Start a planned change of primary if the current one is leaving."""
    primary = board.endpoints.get(record.primary)
    if primary is None or primary.leaving_at is None:
        return
    if now < watch.move_started_at + MOVE_RETRY_SECONDS:
        return
    candidates = [
        (report.status.position, name)
        for name, report in observations.find_fresh_reports(watch, now).items()
        if name != record.primary
        and name in board.endpoints
        and board.endpoints[name].leaving_at is None
        and report.status.primary == record.primary
    ]
    if candidates:
        watch.move_started_at = now
        promotion.request_change(board, record.name, max(candidates)[1], now)
