"""Deliberately broken cores: each replaces one function or constant of the core.

A variant breaks one guarantee. The checker has to find it within a few fixed
seeds, which shows that the check is able to fail.
"""

import contextlib
from collections.abc import Callable, Iterator
from unittest import mock

import attrs

from hyssopshelf import exceptions, node
from hyssopshelf.connections import pool, records
from hyssopshelf.consistency import positions, reads
from hyssopshelf.failover import confirmation
from hyssopshelf.statements import answers, completion, entry, replay, serving


@attrs.frozen(kw_only=True)
class Variant:
    """One broken function.

    Attributes
    ----------
    target : module or class
        Where the function is looked up by its callers.
    name : str
        Name of the function or constant.
    replacement : object
        What takes its place.
    rules : tuple of str
        Rules of the checker of which one has to fire.
    """

    target: object
    name: str
    replacement: object
    rules: tuple[str, ...]


VARIANTS: dict[str, Variant] = {}


def add_variant(target: object, name: str, *rules: str) -> Callable:
    """Return a decorator that makes a function a variant under its name."""

    def add(replacement: Callable) -> Callable:
        VARIANTS[replacement.__name__] = Variant(
            target=target, name=name, replacement=replacement, rules=rules
        )
        return replacement

    return add


@contextlib.contextmanager
def apply_variant(name: str) -> Iterator[Variant]:
    """Run with a broken core inside the context."""
    variant = VARIANTS[name]
    with mock.patch.object(variant.target, variant.name, variant.replacement):
        yield variant


# Writes and acknowledgements.


@add_variant(completion, "_confirm", "majority_write_lost")
def acknowledge_unconfirmed(board, served, now):
    """Acknowledge a write as soon as the primary answered."""
    completion._finish_success(board, served, served.answer.written)


@add_variant(confirmation, "_holds_position", "majority_write_lost")
def ignore_logs(status, position):
    """Acknowledge at majority without looking at the logs."""
    return True


VARIANTS["keep_old_confirmation"] = Variant(
    target=completion,
    name="FRESHNESS_SECONDS",
    replacement=float("inf"),
    rules=("acknowledged_by_replaced_primary",),
)


@add_variant(answers, "reply_lost", "ran_twice")
def repeat_unknown_write(board, request, message):
    """Send a statement again whose outcome is unknown."""
    request.deadline = board.now + 3.0
    entry.park(board, request, message, board.now)


@add_variant(completion, "finish_unknown", "ran_after_not_run", "ran_twice")
def deny_after_execute(board, served, message):
    """Answer that a statement did not run after it was sent to the endpoint."""
    kind = exceptions.ErrorKind.NOT_RUN
    completion.finish_error(board, served, kind, message)


@add_variant(replay, "accept_request", "ran_twice")
def accept_doubled_request(board, request_id, now):
    """Run a doubled message twice."""
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
    """Return a connection in doubt to the pool."""
    record = board.connections.get(connection)
    if record is not None and record.state is not records.ConnectionState.OPENING:
        pool.release_connection(board, record, board.now)


@add_variant(
    pool,
    "hold_connection",
    "transactions_share_connection",
    "begin_inside_transaction",
)
def share_connection_of_transaction(board, record, transaction):
    """Let other work use a connection between a transaction's statements."""
    pool.release_connection(board, record, board.now)
    record.transaction = transaction
    record.state = records.ConnectionState.IDLE


def _match_any(message, board, host, now):
    """Give an answer to the oldest request that waits for this host."""
    for request in board.requests.values():
        if request.host == host and not request.parked:
            wrong = attrs.evolve(message, request_id=request.id)
            return _receive_answer(wrong, board, host, now)
    return _receive_answer(message, board, host, now)


_receive_answer = entry.receive_answer

# Reads.


@add_variant(reads, "check_state", "session_went_back")
def skip_token_check(status, asked_at, consistency, required, staleness_seconds, now):
    """Serve a read wherever it was sent, whatever its token says."""
    return reads.Verdict.SATISFIED


@add_variant(positions, "contains", "session_went_back")
def compare_index_only(history, last, position):
    """Accept a token position by its number and ignore its term."""
    return position.index <= last


@add_variant(reads, "compute_lag", "read_older_than_bound")
def ignore_lag(status, asked_at, now):
    """Treat every replica as fresh."""
    return 0.0


@add_variant(
    reads, "needs_confirmation", "strong_read_missed_write", "read_older_than_bound"
)
def trust_primary(consistency, required):
    """Serve reads on a primary that may have been replaced."""
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
    """End a draining node with requests in flight."""
    return True
