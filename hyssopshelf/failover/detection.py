"""Detection of primaries that must be replaced.

A primary is replaced when, for two seconds,

(a) neither this node nor one of the hosts that it asked reaches the primary,
    and no replica hears it, or
(b) a majority of the group does not hear it although it takes connections, or
(c) a majority answers and no endpoint is primary in the highest known term.

The two seconds count from the last sign of life that anyone reports, and the
probes that fail are spread over them.
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
"""Time between two polls by the first watcher; longer by rank for the others."""

SUSPICIOUS_POLL_SECONDS = 0.1
"""Time between two polls while the primary may be lost."""

SUSPICION_SECONDS = 5.0
"""After this time of suspicion polls take their normal interval again.

A primary that is slow for long must not cost more than a healthy one.
"""

ASK_SECONDS = 0.5
"""Time between two questions to other hosts."""

REFRESH_SECONDS = 1.0
"""Time between two computations of the watched databases."""

REVIEW_SECONDS = 10.0
"""Time after which the watched databases are computed even if nothing told of a
change. At the target size a computation takes 10 to 30 ms."""

FOLLOW_SECONDS = 0.5
"""Time between two orders to the same endpoint to follow the primary."""

REPAIR_SECONDS = 3.0
"""Time after which an endpoint left behind in a higher term gets a new term."""

LEARNED_DATABASES = 20
"""Databases without a known primary that a node asks about in a second."""

KEPT_UNANSWERED = 20
"""Unanswered polls that are remembered."""

PROGRESS_SECONDS = 1.5
"""Time given to another promoter after it has raised a term."""

MOVE_SECONDS = 5.0
"""Time between two attempts to move a primary off a leaving endpoint."""

POLL_EXPIRY_SECONDS = 15.0
"""Time after which an unanswered probe is forgotten."""

STALE_POLL_SECONDS = 3.0
"""Age of the own last poll, beyond its interval, that tells of a pause."""


@attrs.frozen(kw_only=True)
class Poll:
    """A poll of all endpoints of a database."""

    database: str
    asked_at: float
    waiting: set[str]


@attrs.define(kw_only=True)
class DetectionState:
    """Detection state of a node; ``polls`` is keyed by probe id.

    ``hosts_key`` and ``databases_key`` tell for which hosts and databases the
    watches were computed. ``complete`` tells that each of these databases has a
    known primary or is watched.
    """

    ring: watchers.DatabaseRing = attrs.field(factory=watchers.DatabaseRing)
    hosts: set[str] = attrs.field(factory=set)
    watches: dict[str, observations.Watch] = attrs.field(factory=dict)
    polls: dict[str, Poll] = attrs.field(factory=dict)
    questions: dict[str, str] = attrs.field(factory=dict)
    refreshed_at: float = float("-inf")
    reviewed_at: float = float("-inf")
    hosts_key: tuple = ()
    databases_key: tuple = ()
    complete: bool = False
    next_unknown: int = 0


def step(board, now: float) -> None:
    """Poll the watched databases and replace primaries that are lost."""
    state = board.failover.detection_state
    if board.pause_seconds > 0:
        restart_observations(board, now)
    if now >= state.refreshed_at + REFRESH_SECONDS:
        state.refreshed_at = now
        if _has_changed(board, now):
            _refresh_watches(board, now)
            state.complete = False
        if not state.complete:
            _ask_for_unknown(board, now)
        _forget_old_polls(state, now)
    for database, watch in state.watches.items():
        _observe(board, database, watch, now)
    reachability.step(board, now)
    terms.step(board, now)


def restart_observations(board, now: float) -> None:
    """Forget what was observed before a pause of this node."""
    state = board.failover.detection_state
    state.polls.clear()
    state.questions.clear()
    for watch in state.watches.values():
        observations.restart(watch, watch.term, now)


def request_primary(board, database: str, now: float) -> None:
    """Ask the endpoints of a database for its primary."""
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
    """Use the end of any status probe of this node."""
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
            _note_report(board, poll, watch, endpoint, status, now)
    elif status is None:
        _note_silence(board, poll, endpoint)


@base.receive.register
def _(message: reachability.ProbeReported, board, host: str, now: float) -> None:
    database = board.failover.detection_state.questions.get(message.request_id)
    watch = board.failover.detection_state.watches.get(database or "")
    record = board.databases.get(database or "")
    if watch is None or record is None or record.primary != message.endpoint:
        return
    if message.reached:
        watch.alive_at = now
        watch.unreached.clear()
    else:
        watch.unreached[host] = now


def _has_changed(board, now: float) -> bool:
    """Return whether the watched databases may differ from the last computation."""
    state = board.failover.detection_state
    hosts_key = (board.membership.version, len(board.hosts), board.draining)
    databases_key = (board.configuration.changes, len(board.databases))
    changed = hosts_key != state.hosts_key
    if databases_key != state.databases_key:
        # Most documents change other things than the names of databases.
        changed = changed or state.ring.names != board.databases.keys()
        state.databases_key = databases_key
        state.complete = False
    if not changed and now < state.reviewed_at + REVIEW_SECONDS:
        return False
    state.reviewed_at = now
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
                rank=rank, term=term, since=now, alive_at=now
            )
        else:
            watch.rank = rank


def _ask_for_unknown(board, now: float) -> None:
    unknown = [
        name
        for name, record in board.databases.items()
        if not record.primary and name not in board.failover.detection_state.watches
    ]
    board.failover.detection_state.complete = not unknown
    first = board.failover.detection_state.next_unknown
    board.failover.detection_state.next_unknown += LEARNED_DATABASES
    for step_number in range(min(LEARNED_DATABASES, len(unknown))):
        request_primary(board, unknown[(first + step_number) % len(unknown)], now)


def _forget_old_polls(state: DetectionState, now: float) -> None:
    # Polls are kept in the order in which they were sent.
    for probe_id, poll in list(state.polls.items()):
        if now < poll.asked_at + POLL_EXPIRY_SECONDS:
            break
        del state.polls[probe_id]
    while len(state.questions) > 64 + len(state.watches):
        del state.questions[next(iter(state.questions))]


def _send_poll(board, database: str, endpoints, now: float) -> None:
    probe_id = board.next_id()
    board.failover.detection_state.polls[probe_id] = Poll(
        database=database, asked_at=now, waiting=set(endpoints)
    )
    for endpoint in endpoints:
        board.act(base.ProbeStatus(endpoint=endpoint, probe_id=probe_id))


def _note_silence(board, poll: Poll, endpoint: str) -> None:
    watch = board.failover.detection_state.watches.get(poll.database)
    record = board.databases.get(poll.database)
    if watch is None or record is None or record.primary != endpoint:
        return
    if poll.asked_at in watch.unanswered:
        watch.failed_at = max(watch.failed_at, poll.asked_at)


def _note_report(
    board, poll: Poll, watch: observations.Watch, endpoint, status, now
) -> None:
    record = board.databases[poll.database]
    if record.term > watch.term:
        observations.restart(watch, record.term, now)
    if status.term > watch.highest_term:
        watch.highest_term = status.term
        if status.term > board.failover.promotion_state.proposed.get(record.name, 0):
            watch.progress_at = now
    previous = watch.reports.get(endpoint)
    if previous is None or previous.asked_at <= poll.asked_at:
        watch.reports[endpoint] = observations.build_report(
            previous, poll.asked_at, status, now
        )
    if endpoint == record.primary:
        watch.alive_at = now
        watch.unanswered = [at for at in watch.unanswered if at > poll.asked_at]
        watch.unreached.clear()
    elif status.primary == record.primary:
        watch.alive_at = max(watch.alive_at, watch.reports[endpoint].heard_at)
    _note_discarded(board, watch, endpoint, status)
    _lead_follower(board, record, watch, endpoint, status, now)


def _note_discarded(board, watch: observations.Watch, endpoint: str, status) -> None:
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


def _lead_follower(
    board, record, watch: observations.Watch, endpoint, status, now
) -> None:
    """Tell an endpoint that does not follow the primary to do so."""
    if not record.primary or endpoint == record.primary:
        return
    if status.term > record.term or (
        status.role is messages.Role.REPLICA and status.primary == record.primary
    ):
        return
    if record.name in board.failover.promotion_state.running:
        return
    if now < watch.followed_at.get(endpoint, float("-inf")) + FOLLOW_SECONDS:
        return
    watch.followed_at[endpoint] = now
    promotion.order_follow(board, record, endpoint)


def _observe(board, database: str, watch: observations.Watch, now: float) -> None:
    record = board.databases.get(database)
    if record is None:
        return
    if record.term > watch.term:
        observations.restart(watch, record.term, now)
    interval = _compute_poll_interval(watch, now)
    if watch.polled_at > watch.since and (
        now > watch.polled_at + interval + STALE_POLL_SECONDS
    ):
        observations.restart(watch, watch.term, now)
    if now >= watch.polled_at + interval:
        watch.polled_at = now
        if record.primary:
            watch.unanswered = [*watch.unanswered[-KEPT_UNANSWERED:], now]
        _send_poll(board, database, record.endpoints, now)
    _update_suspicion(board, record, watch, now)
    if database in board.failover.promotion_state.running:
        return
    if watch.suspicious_since is not None:
        _ask_other_hosts(board, record, watch, now)
        _decide(board, record, watch, now)
    elif watch.rank == 0:
        _move_from_leaving(board, record, watch, now)


def _update_suspicion(board, record, watch: observations.Watch, now: float) -> None:
    before = watch.suspicious_since
    observations.update_suspicion(record, watch, now)
    if record.primary and (before is None) != (watch.suspicious_since is None):
        event = logs.LogEvent.PRIMARY_SUSPECTED
        if before is not None:
            event = logs.LogEvent.PRIMARY_RECOVERED
        board.log(event, database=record.name, primary=record.primary, rank=watch.rank)


def _compute_poll_interval(watch: observations.Watch, now: float) -> float:
    delay = watch.rank * observations.RANK_SECONDS
    since = watch.suspicious_since
    if since is not None and now < since + SUSPICION_SECONDS + delay:
        return SUSPICIOUS_POLL_SECONDS
    return POLL_SECONDS * (1 + watch.rank)


def _ask_other_hosts(board, record, watch: observations.Watch, now: float) -> None:
    if not watch.count_unanswered(now) or now < watch.asked_at + ASK_SECONDS:
        return
    watch.asked_at = now
    request_id = board.next_id()
    board.failover.detection_state.questions[request_id] = record.name
    watch.asked = len(reachability.request_probes(board, record.primary, request_id))


def _decide(board, record, watch: observations.Watch, now: float) -> None:
    window = observations.LOST_SECONDS + watch.rank * observations.RANK_SECONDS
    fresh = observations.find_fresh(watch, now)
    if len(fresh) < confirmation.compute_majority(len(record.endpoints)):
        # Without a majority nothing can be fenced.
        watch.leaderless_since = None
        return
    observations.update_leaderless(record, watch, fresh, now)
    early = now - window + leases.PREPARE_SECONDS
    if observations.find_reason(record, watch, fresh, early, now) is None:
        _repair_left_behind(board, record, watch, fresh, now)
        return
    leases.prepare(board, record.name, now)
    reason = observations.find_reason(record, watch, fresh, now - window, now)
    if reason is None or now < watch.progress_at + PROGRESS_SECONDS:
        return
    if (
        reason is promotion.Reason.UNREACHABLE
        and not observations.is_unreached_elsewhere(watch, now)
    ):
        return
    excluded = record.primary
    if reason is promotion.Reason.LEADERLESS:
        excluded = ""
    promotion.start(board, record.name, reason, excluded, now)


def _repair_left_behind(
    board, record, watch: observations.Watch, fresh: dict, now: float
) -> None:
    """Start a new term if an endpoint was fenced by a promoter that gave up.

    Such an endpoint cannot follow the primary of an older term.
    """
    delay = watch.rank * observations.RANK_SECONDS
    primary = fresh.get(record.primary)
    left_behind = any(report.status.term > record.term for report in fresh.values())
    if primary is None or not left_behind or watch.leaderless_since is not None:
        watch.left_behind_since = None
    elif watch.left_behind_since is None:
        watch.left_behind_since = now
    elif now >= watch.left_behind_since + REPAIR_SECONDS + delay:
        watch.left_behind_since = None
        promotion.request_change(board, record.name, record.primary, now)


def _move_from_leaving(board, record, watch: observations.Watch, now: float) -> None:
    """Start a planned change if the primary is leaving."""
    primary = board.endpoints.get(record.primary)
    if primary is None or primary.leaving_at is None:
        return
    if now < watch.moved_at + MOVE_SECONDS:
        return
    candidates = [
        (report.status.position, name)
        for name, report in observations.find_fresh(watch, now).items()
        if name != record.primary
        and name in board.endpoints
        and board.endpoints[name].leaving_at is None
        and report.status.primary == record.primary
    ]
    if candidates:
        watch.moved_at = now
        promotion.request_change(board, record.name, max(candidates)[1], now)
