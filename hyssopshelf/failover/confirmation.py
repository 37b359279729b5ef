"""Majority confirmation of writes and strong reads.

A round asks every endpoint of a database for its status and serves all pending
confirmations that were requested before it started. A majority that confirms a
request shares an endpoint with every majority that can be fenced for a later
term, so a change of primary is either visible in the answers or happens after
the start of the round.
"""

import attrs

from hyssopshelf import base, messages
from hyssopshelf.consistency import positions
from hyssopshelf.failover import pending_confirmations

ROUND_TIMEOUT_SECONDS = 0.2
"""Time after which a round ends without a majority of answers."""

RETRY_SECONDS = 0.005
"""Initial delay between rounds for requests that a round left undecided.

It doubles with each round.
"""

MAXIMUM_RETRY_SECONDS = 0.05
"""Upper bound of this delay."""

ANSWER_EXPIRY_SECONDS = 5.0
"""Time after the start of a round during which late answers are used."""


@attrs.define(kw_only=True)
class Round:
    """One status probe of all endpoints of a database.

    Attributes
    ----------
    size : int
        Number of endpoints that are probed.
    reported : set of str
        Endpoints whose probe ended, with or without an answer.
    answered : int
        Number of endpoints that answered.
    """

    database: str
    started_at: float
    size: int
    reported: set[str] = attrs.field(factory=set)
    answered: int = 0


@attrs.frozen(kw_only=True)
class StatusReport:
    """The latest status of an endpoint and the start of the round that got it."""

    asked_at: float
    status: messages.EndpointStatus


@attrs.define(kw_only=True)
class DatabaseConfirmation:
    """State of the rounds of one database.

    Attributes
    ----------
    reports : dict of str to StatusReport
        Latest status of each endpoint.
    running : Round or None
        The round that has to end before the next one starts.
    started_at : float
        Start of the last round.
    next_at : float
        Earliest start of a round for requests that an earlier round left
        undecided.
    retry_seconds : float
        Delay before the next such round.
    """

    reports: dict[str, StatusReport] = attrs.field(factory=dict)
    running: Round | None = None
    started_at: float = float("-inf")
    next_at: float = float("-inf")
    retry_seconds: float = RETRY_SECONDS


@attrs.define(kw_only=True)
class ConfirmationState:
    """Confirmation state of a node.

    ``databases`` is keyed by the full name of the database, ``rounds`` by probe id.
    """

    databases: dict[str, DatabaseConfirmation] = attrs.field(factory=dict)
    rounds: dict[str, Round] = attrs.field(factory=dict)


def compute_majority(size: int) -> int:
    """Return the number of endpoints that form a majority of a group."""
    return size // 2 + 1


def start_due_rounds(board, now: float) -> None:
    """Start a round for each database with undecided requests if one is due."""
    if not board.pending_confirmations:
        return
    waiting: dict[str, float] = {}
    for pending in board.pending_confirmations.values():
        if pending.outcome is None:
            newest_requested_at = waiting.get(pending.database, float("-inf"))
            waiting[pending.database] = max(newest_requested_at, pending.requested_at)
    for database, newest_requested_at in waiting.items():
        _start_round_if_due(board, database, newest_requested_at, now)


def receive_status(
    board,
    endpoint: str,
    probe_id: str,
    status: messages.EndpointStatus | None,
    now: float,
) -> None:
    """Process the result of a probe of a round; other probes are ignored.

    ``status`` is None if the probe failed.
    """
    current = board.confirmations.rounds.get(probe_id)
    if current is None or endpoint in current.reported:
        return
    current.reported.add(endpoint)
    if len(current.reported) >= current.size:
        del board.confirmations.rounds[probe_id]
    state = board.confirmations.databases[current.database]
    if status is not None:
        current.answered += 1
        known = state.reports.get(endpoint)
        if known is None or known.asked_at <= current.started_at:
            state.reports[endpoint] = StatusReport(
                asked_at=current.started_at, status=status
            )
        _decide_confirmations(board, current.database, state)
    _end_round_if_complete(state, current, now)


def _start_round_if_due(
    board, database: str, newest_requested_at: float, now: float
) -> None:
    record = board.databases.get(database)
    if record is None or not record.endpoints:
        return
    state = board.confirmations.databases.setdefault(database, DatabaseConfirmation())
    if state.running is not None:
        if now < state.running.started_at + ROUND_TIMEOUT_SECONDS:
            return
        state.running = None
    if newest_requested_at > state.started_at:
        state.retry_seconds = RETRY_SECONDS
    elif now < state.next_at:
        return
    _start_round(board, database, record.endpoints, state, now)


def _start_round(board, database, endpoints, state, now: float) -> None:
    rounds = board.confirmations.rounds
    # Rounds are stored in the order of their start, so the oldest come first.
    for probe_id, old in list(rounds.items()):
        if now < old.started_at + ANSWER_EXPIRY_SECONDS:
            break
        del rounds[probe_id]
    current = Round(database=database, started_at=now, size=len(endpoints))
    probe_id = board.next_id()
    rounds[probe_id] = current
    state.running = current
    state.started_at = now
    state.next_at = now + state.retry_seconds
    state.retry_seconds = min(2 * state.retry_seconds, MAXIMUM_RETRY_SECONDS)
    board.count("confirmation_rounds")
    for endpoint in endpoints:
        board.act(base.ProbeStatus(endpoint=endpoint, probe_id=probe_id))


def _end_round_if_complete(state, current: Round, now: float) -> None:
    if state.running is not current:
        return
    majority = compute_majority(current.size)
    if current.answered >= majority or len(current.reported) >= current.size:
        state.running = None


def _decide_confirmations(board, database: str, state: DatabaseConfirmation) -> None:
    record = board.databases.get(database)
    if record is None:
        return
    for pending in board.pending_confirmations.values():
        if pending.database == database and pending.outcome is None:
            _decide_confirmation(board, pending, record.endpoints, state.reports)


def _decide_confirmation(
    board, pending, endpoints, reports: dict[str, StatusReport]
) -> None:
    term = pending.position.term
    usable = [
        reports[endpoint]
        for endpoint in endpoints
        if endpoint in reports and reports[endpoint].asked_at >= pending.requested_at
    ]
    majority = compute_majority(len(endpoints))
    higher = sum(report.status.term > term for report in usable)
    if len(endpoints) - higher < majority:
        pending.outcome = pending_confirmations.ConfirmationOutcome.REPLACED
        board.count("confirmations_replaced")
        return
    current = [report for report in usable if report.status.term == term]
    holding = current
    if pending.level is pending_confirmations.ConfirmationLevel.LOG:
        holding = [r for r in current if _holds_position(r.status, pending.position)]
    if len(holding) < majority:
        return
    # Any of the counted endpoints may be the one shared with a majority that is
    # fenced later, so the confirmation is only as fresh as the oldest answer
    # that counts. The newest answers that form a majority are counted.
    asked = sorted((report.asked_at for report in holding), reverse=True)
    pending.outcome = pending_confirmations.ConfirmationOutcome.CONFIRMED
    pending.confirmed_from = asked[majority - 1]


def _holds_position(
    status: messages.EndpointStatus, position: messages.Position
) -> bool:
    """Return whether the log of an endpoint holds a position durably.

    The last entry must be of the position's term: a log that ends in an older
    term can be replaced by a shorter one that ends in a newer term.
    """
    last = positions.locate(status.history, status.position)
    return last.term == position.term and positions.contains(
        status.history, status.position, position
    )
