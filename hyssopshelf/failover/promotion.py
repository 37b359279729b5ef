"""Fencing and promotion: the change of a database's primary.

A promotion proposes a term above every known one, fences a majority of the
group for it, promotes the fenced endpoint with the most advanced log and orders
the others to follow. Each attempt has its own promoter id, so two promoters
cannot both get a majority for one term. An attempt that stops at any step is
superseded by one with a higher term.
"""

import enum

import attrs

from hyssopshelf import base, logs, messages
from hyssopshelf.consistency import positions
from hyssopshelf.failover import confirmation, leases, terms

PROMOTION_DELAY_SECONDS = 0.5
"""Time between the fence of a majority and the promotion.

An acknowledgement is sent within 0.2 s of the start of the round that confirmed
it. The remainder covers clocks that run at different rates.
"""

ACKNOWLEDGEMENT_SECONDS = 0.22
"""Shorter time that suffices if the old primary is fenced and may be chosen.

Acknowledgements that were confirmed before the fence are still sent within
0.2 s. The acknowledged writes are then in the log of the new primary, so the
margin only has to keep the acknowledgement before the promotion.
"""

CALL_RETRY_SECONDS = 0.25
"""Interval between repetitions of an unanswered control call."""

FENCE_TIMEOUT_SECONDS = 2.0
"""Time within which a majority must grant the fence."""

PROMOTE_TIMEOUT_SECONDS = 1.5
"""Time within which the chosen endpoint must become primary."""

CATCH_UP_TIMEOUT_SECONDS = 2.0
"""Time within which the target of a planned change must have the full log."""

HOLD_SPREAD_SECONDS = 0.1
"""Time for the hold of new writes to reach all nodes in a planned change."""

LOG_IDLE_SECONDS = 0.05
"""Time without a new log entry after which no write counts as in flight."""

LOG_POLL_SECONDS = 0.05
"""Interval between comparisons of the logs in a planned change."""

TARGET_GRACE_SECONDS = 0.3
"""Time after the fence of a majority that a planned change waits for its target."""

BACKOFF_SECONDS = 0.3
"""Minimum time between two attempts; randomized up to three times as long."""


class Reason(enum.Enum):
    """Reason for which a primary is replaced; the values appear in logs.

    ``UNREACHABLE``: neither hosts nor replicas reach the primary. ``ISOLATED``:
    it accepts connections, but a majority of its group does not hear from it.
    ``NO_PRIMARY``: a majority answers and no endpoint is primary. ``PLANNED``:
    the change was requested.
    """

    UNREACHABLE = "unreachable"
    ISOLATED = "cut_off"
    NO_PRIMARY = "leaderless"
    PLANNED = "planned"


class Phase(enum.Enum):
    """Phase of a promotion; the values appear in logs.

    ``CATCHING_UP``: the target of a planned change fetches the end of the log.
    """

    CATCHING_UP = "catching_up"
    FENCING = "fencing"
    PROMOTING = "promoting"


@attrs.define(kw_only=True)
class Promotion:
    """A change of primary that this node carries out.

    Attributes
    ----------
    id : str
        Promoter id of the attempt.
    target : str
        Endpoint to prefer among equally advanced logs.
    excluded : str
        Endpoint that must not become primary and does not count toward the
        majority, because it is lost or isolated from the group.
    old_primary : str
        Primary of the term just below the proposed one, empty if unknown.
    grants : dict of str to EndpointStatus
        State of the endpoints that granted the fence, after the grant.
    fenced_at : float or None
        Time at which a majority had granted it.
    log_end, target_log_end : Position or None
        Log ends of the old primary and the target of a planned change.
    log_end_seen_at : float
        Time at which ``log_end`` was first seen.
    """

    database: str
    id: str
    reason: Reason
    phase: Phase
    started_at: float
    deadline: float
    term: int = 0
    target: str = ""
    excluded: str = ""
    old_primary: str = ""
    grants: dict[str, messages.EndpointStatus] = attrs.field(factory=dict)
    refused: set[str] = attrs.field(factory=set)
    fenced_at: float | None = None
    next_call_at: float = float("-inf")
    chosen: str = ""
    log_end: messages.Position | None = None
    target_log_end: messages.Position | None = None
    log_end_seen_at: float = float("inf")


@attrs.define(kw_only=True)
class PromotionState:
    """Promotions of a node.

    Attributes
    ----------
    running : dict of str to Promotion
        Running promotions by database.
    calls : dict of str to tuple of (str, str)
        (Database, promoter id) by id of a control call or probe.
    proposed_terms : dict of str to int
        Highest term that this node proposed, by database.
    earliest_start : dict of str to float
        Earliest time of the next attempt, by database.
    """

    running: dict[str, Promotion] = attrs.field(factory=dict)
    calls: dict[str, tuple[str, str]] = attrs.field(factory=dict)
    proposed_terms: dict[str, int] = attrs.field(factory=dict)
    earliest_start: dict[str, float] = attrs.field(factory=dict)


def start(board, database: str, reason: Reason, excluded: str, now: float) -> bool:
    """Start to replace the primary of a database; return whether it started.

    It does not start during another attempt, in the delay after a failed one or
    while another node holds the lease.
    """
    state = board.failover.promotion_state
    if database in state.running or database not in board.databases:
        return False
    if now < state.earliest_start.get(database, now):
        return False
    if leases.is_blocked(board, database, now):
        return False
    attempt = Promotion(
        database=database,
        id=board.next_id(),
        reason=reason,
        phase=Phase.FENCING,
        started_at=now,
        deadline=now + FENCE_TIMEOUT_SECONDS,
        excluded=excluded,
    )
    state.running[database] = attempt
    _start_fencing(board, attempt, now)
    return True


def request_change(board, database: str, target: str, now: float) -> bool:
    """Start a planned change of primary; return whether it started.

    New writes are held until the target has the full log and is primary, at most
    for twice ``CATCH_UP_TIMEOUT_SECONDS``.

    Parameters
    ----------
    board : blackboard.Blackboard
        State of the node; any node can carry out a change.
    database : str
        Full name of the database.
    target : str
        Full name of the endpoint to make primary. If it is the current primary,
        it gets a new term that all endpoints of the group can follow.
    now : float
        Time on the node's monotonic clock, in seconds.
    """
    state = board.failover.promotion_state
    record = board.databases.get(database)
    if record is None or target not in record.endpoints or not record.primary:
        return False
    if database in state.running or now < state.earliest_start.get(database, now):
        return False
    attempt = Promotion(
        database=database,
        id=board.next_id(),
        reason=Reason.PLANNED,
        phase=Phase.CATCHING_UP,
        started_at=now,
        deadline=now + CATCH_UP_TIMEOUT_SECONDS,
        target=target,
    )
    state.running[database] = attempt
    until = now + 2 * CATCH_UP_TIMEOUT_SECONDS
    terms.hold_writes(board, database, attempt.id, until, now)
    board.log(
        logs.LogEvent.CHANGE_STARTED,
        database=database,
        target=target,
        primary=record.primary,
    )
    _step_attempt(board, attempt, now)
    return True


def step(board, now: float) -> None:
    """Repeat unanswered calls and abort attempts that exceed their deadline."""
    for attempt in list(board.failover.promotion_state.running.values()):
        if board.pause_seconds > 0:
            # Another promoter may have taken over during the pause.
            _fail(board, attempt, "this node was paused", now)
        elif attempt.database not in board.databases:
            del board.failover.promotion_state.running[attempt.database]
        else:
            _step_attempt(board, attempt, now)
    leases.step(board, now)


def receive_status(board, endpoint: str, probe_id: str, status, now: float) -> None:
    """Process the result of a probe of a planned change."""
    attempt = _find_attempt(board, probe_id)
    if attempt is None or attempt.phase is not Phase.CATCHING_UP or status is None:
        return
    primary = board.databases[attempt.database].primary
    if endpoint == primary and status.role is messages.Role.PRIMARY:
        end = _get_log_end(status)
        if end != attempt.log_end:
            attempt.log_end = end
            attempt.log_end_seen_at = now
    if endpoint == attempt.target:
        attempt.target_log_end = _get_log_end(status)
    settled = max(
        attempt.started_at + HOLD_SPREAD_SECONDS,
        attempt.log_end_seen_at + LOG_IDLE_SECONDS,
    )
    if (
        now >= settled
        and attempt.log_end is not None
        and attempt.target_log_end == attempt.log_end
    ):
        attempt.phase = Phase.FENCING
        attempt.deadline = now + FENCE_TIMEOUT_SECONDS
        _start_fencing(board, attempt, now)


@base.handle.register
def handle_answer(event: base.ControlAnswered, board, now: float) -> None:
    """Process the answer to a control call."""
    attempt = _find_attempt(board, event.call_id)
    answer = event.answer
    if answer is not None:
        terms.learn_status(board, answer.status)
    if attempt is None or answer is None:
        return
    if attempt.phase is Phase.FENCING:
        _handle_fence(board, attempt, event.endpoint, answer, now)
    elif attempt.phase is Phase.PROMOTING and event.endpoint == attempt.chosen:
        _handle_promotion(board, attempt, answer, now)


def order_follow(board, record, endpoint: str) -> None:
    """Order an endpoint to follow the known primary of its database."""
    order = messages.Follow(term=record.term, primary=record.primary)
    board.log(
        logs.LogEvent.FOLLOW_ORDERED,
        endpoint=endpoint,
        term=record.term,
        primary=record.primary,
    )
    board.act(
        base.CallControl(endpoint=endpoint, call_id=board.next_id(), operation=order)
    )


def choose_candidate(
    grants: dict[str, messages.EndpointStatus], target: str, avoided: frozenset[str]
) -> str:
    """Return the fenced endpoint with the most advanced log.

    Logs are compared by the term of the last entry, then by its index. Among
    equal logs the target is preferred, then endpoints that are not in
    ``avoided``.
    """
    return max(
        grants,
        key=lambda name: (
            _get_log_end(grants[name]),
            name == target,
            name not in avoided,
            name,
        ),
    )


def _get_log_end(status: messages.EndpointStatus) -> messages.Position:
    return positions.locate(status.history, status.position)


def _find_attempt(board, call_id: str) -> Promotion | None:
    state = board.failover.promotion_state
    database, attempt_id = state.calls.pop(call_id, ("", ""))
    attempt = state.running.get(database)
    return attempt if attempt is not None and attempt.id == attempt_id else None


def _start_fencing(board, attempt: Promotion, now: float) -> None:
    state = board.failover.promotion_state
    record = board.databases[attempt.database]
    attempt.term = max(record.fenced_term, state.proposed_terms.get(record.name, 0)) + 1
    attempt.old_primary = record.primary if record.term == attempt.term - 1 else ""
    record.fenced_term = state.proposed_terms[record.name] = attempt.term
    attempt.next_call_at = now
    board.count("failover_promotions_started")
    board.log(
        logs.LogEvent.PROMOTION_STARTED,
        database=record.name,
        term=attempt.term,
        reason=attempt.reason.value,
        primary=record.primary,
    )
    _step_attempt(board, attempt, now)


def _step_attempt(board, attempt: Promotion, now: float) -> None:
    if now >= attempt.deadline:
        _fail(board, attempt, f"no progress while {attempt.phase.value}", now)
        return
    if attempt.phase is Phase.FENCING:
        _promote_if_ready(board, attempt, now)
    if now < attempt.next_call_at:
        return
    record = board.databases[attempt.database]
    if attempt.phase is Phase.CATCHING_UP:
        attempt.next_call_at = now + LOG_POLL_SECONDS
        for endpoint in {record.primary, attempt.target}:
            probe_id = _add_call(board, attempt)
            board.act(base.ProbeStatus(endpoint=endpoint, probe_id=probe_id))
        return
    attempt.next_call_at = now + CALL_RETRY_SECONDS
    if attempt.phase is Phase.PROMOTING:
        order = messages.Promote(term=attempt.term, promoter=attempt.id)
        _send_call(board, attempt, attempt.chosen, order)
        return
    order = messages.Fence(term=attempt.term, promoter=attempt.id)
    for endpoint in record.endpoints:
        if endpoint not in attempt.grants and endpoint not in attempt.refused:
            _send_call(board, attempt, endpoint, order)


def _add_call(board, attempt: Promotion) -> str:
    call_id = board.next_id()
    board.failover.promotion_state.calls[call_id] = (attempt.database, attempt.id)
    return call_id


def _send_call(board, attempt: Promotion, endpoint: str, operation) -> None:
    call_id = _add_call(board, attempt)
    board.act(base.CallControl(endpoint=endpoint, call_id=call_id, operation=operation))


def _handle_fence(board, attempt, endpoint: str, answer, now: float) -> None:
    if answer.granted and answer.status.term == attempt.term:
        attempt.grants[endpoint] = answer.status
    elif endpoint not in attempt.grants:
        attempt.refused.add(endpoint)
    record = board.databases[attempt.database]
    majority = confirmation.compute_majority(len(record.endpoints))
    if len(record.endpoints) - len(attempt.refused) < majority:
        _fail(board, attempt, "a majority knows another promoter", now)
        return
    counted = [name for name in attempt.grants if name != attempt.excluded]
    if attempt.fenced_at is None and len(counted) >= majority:
        attempt.fenced_at = now
        attempt.deadline = now + PROMOTION_DELAY_SECONDS + FENCE_TIMEOUT_SECONDS
        board.log(
            logs.LogEvent.PROMOTION_FENCED,
            database=record.name,
            term=attempt.term,
            granted=len(attempt.grants),
        )
    _promote_if_ready(board, attempt, now)


def _promote_if_ready(board, attempt: Promotion, now: float) -> None:
    """Promote the most advanced log once no old write can be acknowledged any more."""
    if attempt.fenced_at is None or attempt.phase is not Phase.FENCING:
        return
    record = board.databases[attempt.database]
    # Only writes of the primary of the term just below the proposed one can still
    # be acknowledged by a confirmation made before the fence. If that primary is
    # unknown, only grants of all endpoints show that none is left. The log of an
    # excluded primary is not a candidate, including the writes acknowledged from
    # it, so its fence does not shorten the wait.
    candidates = {n: s for n, s in attempt.grants.items() if n != attempt.excluded}
    stopped = attempt.old_primary in candidates or len(candidates) == len(
        record.endpoints
    )
    wait = ACKNOWLEDGEMENT_SECONDS if stopped else PROMOTION_DELAY_SECONDS
    if now < attempt.fenced_at + wait:
        return
    if (
        attempt.target
        and attempt.target not in attempt.grants
        and attempt.target not in attempt.refused
        and now < attempt.fenced_at + TARGET_GRACE_SECONDS
    ):
        return
    avoided = frozenset(
        name
        for name in candidates
        if name in board.endpoints and board.endpoints[name].leaving_at is not None
    )
    attempt.chosen = choose_candidate(candidates, attempt.target, avoided)
    attempt.phase = Phase.PROMOTING
    attempt.deadline = now + PROMOTE_TIMEOUT_SECONDS
    attempt.next_call_at = now
    _step_attempt(board, attempt, now)


def _handle_promotion(board, attempt: Promotion, answer, now: float) -> None:
    if not answer.granted:
        _fail(board, attempt, "the chosen endpoint refused", now)
        return
    state = board.failover.promotion_state
    state.running.pop(attempt.database, None)
    record = board.databases[attempt.database]
    # This node already learned the term from the status in the answer.
    terms.learn_primary(board, attempt.database, attempt.term, attempt.chosen)
    board.count("failover_promotions_completed")
    board.log(
        logs.LogEvent.PRIMARY_PROMOTED,
        database=attempt.database,
        term=attempt.term,
        primary=attempt.chosen,
        reason=attempt.reason.value,
        seconds=round(now - attempt.started_at, 3),
    )
    if record.term == attempt.term:
        terms.announce(board, attempt.database, now)
        for endpoint in record.endpoints:
            if endpoint != record.primary:
                order_follow(board, record, endpoint)
    leases.record_primary(board, attempt.database, attempt.term, attempt.chosen, now)
    _finish(board, attempt, now)


def _fail(board, attempt: Promotion, cause: str, now: float) -> None:
    state = board.failover.promotion_state
    state.running.pop(attempt.database, None)
    state.earliest_start[attempt.database] = now + BACKOFF_SECONDS * (
        1 + 2 * board.random.random()
    )
    board.count("failover_promotions_failed")
    event = logs.LogEvent.PROMOTION_FAILED
    if attempt.reason is Reason.PLANNED:
        event = logs.LogEvent.CHANGE_ABANDONED
    board.log(event, database=attempt.database, term=attempt.term, reason=cause)
    _finish(board, attempt, now)


def _finish(board, attempt: Promotion, now: float) -> None:
    """Release the lease and end the hold of new writes of a planned change."""
    state = board.failover.promotion_state
    for call_id, (_, attempt_id) in list(state.calls.items()):
        if attempt_id == attempt.id:
            del state.calls[call_id]
    leases.release(board, attempt.database)
    if attempt.reason is Reason.PLANNED:
        terms.hold_writes(board, attempt.database, attempt.id, now, now)
