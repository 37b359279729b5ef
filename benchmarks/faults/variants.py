"""Broken variants of the core, each with one replaced function or constant.

A variant violates one guarantee, which the checker has to detect within a few
fixed seeds. This shows that the check can fail.
"""

import contextlib
from collections.abc import Callable, Iterator
from unittest import mock

import attrs

from hyssopshelf import exceptions, invariants, node
from hyssopshelf.configuration import documents
from hyssopshelf.connections import pool, records
from hyssopshelf.consistency import positions, reads
from hyssopshelf.failover import confirmation, promotion
from hyssopshelf.statements import answers, completion, entry, replay, serving


@attrs.frozen(kw_only=True)
class Variant:
    """A replacement of one function or constant of the core.

    Attributes
    ----------
    target : module or class
        Namespace in which the callers look up the name.
    name : str
        Name of the function or constant.
    replacement : object
        Value that replaces it.
    rules : tuple of str
        Rules of the checker, at least one of which has to be violated.
    """

    target: object
    name: str
    replacement: object
    rules: tuple[str, ...]


VARIANTS: dict[str, Variant] = {}


def add_variant(target: object, name: str, *rules: str) -> Callable:
    """Return a decorator that registers a function as a variant by its name."""

    def add(replacement: Callable) -> Callable:
        VARIANTS[replacement.__name__] = Variant(
            target=target, name=name, replacement=replacement, rules=rules
        )
        return replacement

    return add


@contextlib.contextmanager
def apply_variant(name: str) -> Iterator[Variant]:
    """Replace a part of the core while the context is active.

    The assertions of the core are disabled as well, so that the checker has to
    detect the fault from the history.
    """
    variant = VARIANTS[name]
    with (
        mock.patch.object(variant.target, variant.name, variant.replacement),
        mock.patch.object(invariants, "require", _ignore),
    ):
        yield variant


def _ignore(holds: bool, text: str) -> None:
    """Replace ``invariants.require`` and check nothing."""


# Writes and acknowledgements.


@add_variant(completion, "_confirm", "majority_write_lost")
def acknowledge_unconfirmed(board, served, now):
    """Acknowledge a write when the primary answers, without confirmation."""
    completion._finish_success(board, served, served.answer.written)


@add_variant(confirmation, "_holds_position", "majority_write_lost")
def ignore_logs(status, position):
    """Confirm a majority write without comparing the replicas' positions."""
    return True


VARIANTS["keep_old_confirmation"] = Variant(
    target=completion,
    name="FRESHNESS_SECONDS",
    replacement=float("inf"),
    rules=("acknowledged_by_replaced_primary",),
)


@add_variant(answers, "reply_unknown", "ran_twice")
def repeat_unknown_write(board, request, message):
    """Retry a statement whose outcome is unknown."""
    request.deadline = board.now + 3.0
    entry.park(board, request, message, board.now)


@add_variant(completion, "finish_unknown", "ran_after_not_run", "ran_twice")
def deny_after_execute(board, served, message):
    """Report a statement as not run although it was sent to the endpoint."""
    kind = exceptions.ErrorKind.NOT_RUN
    completion.finish_error(board, served, kind, message)


@add_variant(replay, "accept_request", "ran_twice")
def accept_doubled_request(board, request_id, now):
    """Execute a duplicated message again."""
    return True


# Connections and answers.


@add_variant(
    pool,
    "discard_connection",
    "requests_overlap_on_connection",
    "transactions_share_connection",
    "begin_inside_transaction",
)
def reuse_doubtful_connection(board, connection, reason):
    """Return a connection in an uncertain state to the pool."""
    record = board.connections.get(connection)
    if record is not None and record.state is not records.ConnectionState.OPENING:
        pool.release_connection(board, record, board.now)


@add_variant(
    pool,
    "claim_connection",
    "transactions_share_connection",
    "begin_inside_transaction",
    "acknowledged_but_not_written",
)
def share_connection_of_transaction(board, endpoint, work_id):
    """Let other work use a connection between the statements of a transaction."""
    for record in pool.list_connections(board, endpoint):
        held = record.state is records.ConnectionState.IN_TRANSACTION
        if held and not record.work_id:
            record.work_id = work_id
            return record
    return _claim_connection(board, endpoint, work_id)


_claim_connection = pool.claim_connection


@add_variant(
    answers,
    "reply",
    "value_of_other_request",
    "acknowledged_but_not_written",
    "session_went_back",
)
def match_wrong_request(board, request, message):
    """Send an answer to another pending request of the same node."""
    statement = request.statement
    for other in list(board.requests.values()):
        asked = other.statement
        if asked.operation is statement.operation and asked.key != statement.key:
            del board.requests[other.id]
            _reply(board, other, message)
            return
    _reply(board, request, message)


_reply = answers.reply

# Reads.


@add_variant(reads, "check_state", "session_went_back")
def skip_token_check(status, asked_at, consistency, required, staleness_seconds, now):
    """Serve a read without checking its token or staleness bound."""
    return reads.CheckResult.SATISFIED


@add_variant(positions, "contains", "session_went_back")
def compare_index_only(history, last, position):
    """Compare the index of a token position and ignore its term."""
    return position.index <= last


@add_variant(reads, "compute_lag", "read_older_than_bound")
def ignore_lag(status, asked_at, now):
    """Treat every replica as up to date."""
    return 0.0


@add_variant(
    reads, "needs_confirmation", "strong_read_missed_write", "read_older_than_bound"
)
def trust_primary(consistency, required):
    """Serve reads from a primary without confirming that it still is one."""
    return False


# Changes of primary.


@add_variant(
    promotion,
    "_handle_fence",
    "majority_write_lost",
    "two_primaries_in_one_term",
    "two_logs_in_one_term",
    "acknowledged_by_replaced_primary",
)
def promote_without_majority(board, attempt, endpoint, answer, now):
    """Promote once a single endpoint has granted the fence."""
    if answer.granted and answer.status.term == attempt.term:
        attempt.grants[endpoint] = answer.status
        if endpoint != attempt.excluded:
            attempt.fenced_at = now - promotion.PROMOTION_DELAY_SECONDS
    promotion._promote_if_ready(board, attempt, now)


@add_variant(promotion, "choose_candidate", "majority_write_lost")
def promote_shortest_log(grants, target, avoided):
    """Promote the fenced endpoint with the shortest log."""
    return min(grants, key=lambda name: promotion._get_log_end(grants[name]))


# Configuration.


@add_variant(documents, "supersedes", "configuration_reverted", "store_reverted")
def apply_any_version(new, held):
    """Apply any document that differs from the current one."""
    return new != held


@add_variant(
    documents, "contains_change", "change_accepted_twice", "denied_change_accepted"
)
def forget_change_ids(document, changes):
    """Apply a change again when it is retried after a lost answer."""
    return False


# Endpoints and nodes.

VARIANTS["keep_leaving_endpoint"] = Variant(
    target=serving,
    name="LEAVING_GRACE_SECONDS",
    replacement=float("inf"),
    rules=("work_sent_to_leaving_endpoint",),
)


@add_variant(node, "is_idle", "drain_cut_requests")
def stop_at_once(board, now):
    """Stop a draining node with requests in flight."""
    return True
