"""Store calls of a change of primary: a lease and a record of the new primary.

Neither is required for a promotion. The lease only keeps promoters from
competing. It is requested while the primary is still under suspicion, and a
promotion does not wait for the answer of the store. The record tells operators
which endpoint is the primary.
"""

import json

import attrs
from result import Ok

from hyssopshelf import base, exceptions, kvstore, logs, messages

REQUEST_LEAD_SECONDS = 0.6
"""Time before the earliest promotion at which its lease is requested."""

LEASE_SECONDS = 3.0
"""Time to live of the lease; a dead holder blocks other promoters no longer."""

BLOCK_SECONDS = 1.0
"""Time for which the lease of another node blocks promotions of this node.

A live holder raises a term within this time, which makes the other watchers
wait for it. A dead holder must not delay its successor for longer.
"""

RETRY_SECONDS = 5.0
"""Interval between attempts to write the record."""


@attrs.frozen(kw_only=True)
class PrimaryRecord:
    """Value of the store key ``failover/<pool>/<database>``."""

    term: int
    primary: str


@attrs.define(kw_only=True)
class Lease:
    """A lease that this node requested, or the block by the lease of another node.

    Attributes
    ----------
    requested_at : float
        Time of the request.
    lease_id : int
        Id of the lease in the store, 0 until it is granted.
    blocked_until : float
        Time until which this node leaves the promotion to the other node.
    """

    requested_at: float
    lease_id: int = 0
    blocked_until: float = float("-inf")


@attrs.define(kw_only=True)
class PendingRecord:
    """A change of primary that is not yet written to the store."""

    term: int
    primary: str
    next_at: float


@attrs.define(kw_only=True)
class LeaseState:
    """Leases and pending records of a node, keyed by database.

    ``calls`` maps the id of a store call to (name of the call, database).
    """

    leases: dict[str, Lease] = attrs.field(factory=dict)
    pending_records: dict[str, PendingRecord] = attrs.field(factory=dict)
    calls: dict[str, tuple[str, str]] = attrs.field(factory=dict)


def request_lease(board, database: str, now: float) -> None:
    """Request the lease of a database unless the last request is recent."""
    lease = board.failover.lease_state.leases.get(database)
    if lease is not None and now < lease.requested_at + LEASE_SECONDS:
        return
    board.failover.lease_state.leases[database] = Lease(requested_at=now)
    _call_store(
        board,
        "grant",
        database,
        kvstore.GrantLease(time_to_live_seconds=LEASE_SECONDS),
    )


def is_blocked(board, database: str, now: float) -> bool:
    """Return whether another node's lease blocks a promotion by this node.

    The block ends by this node's clock, independently of the store.
    """
    lease = board.failover.lease_state.leases.get(database)
    return lease is not None and now < lease.blocked_until


def release(board, database: str) -> None:
    """Release the lease of a database, if this node has one."""
    lease = board.failover.lease_state.leases.pop(database, None)
    if lease is not None and lease.lease_id:
        _call_store(
            board, "revoke", database, kvstore.RevokeLease(lease=lease.lease_id)
        )


def record_primary(board, database: str, term: int, primary: str, now: float) -> None:
    """Write a change of primary to the store, repeatedly until it succeeds."""
    board.failover.lease_state.pending_records[database] = PendingRecord(
        term=term, primary=primary, next_at=now
    )
    step(board, now)


def step(board, now: float) -> None:
    """Retry the writes of pending records that are due."""
    for database, pending in list(board.failover.lease_state.pending_records.items()):
        if now >= pending.next_at:
            pending.next_at = now + RETRY_SECONDS
            _call_store(board, "read", database, kvstore.Get(key=_get_key(database)))


def receive_store(board, call_id: str, result, now: float) -> bool:
    """Process the result of a store call; return False for a call of another module."""
    call = board.failover.lease_state.calls.pop(call_id, None)
    if call is None:
        return False
    name, database = call
    if not isinstance(result, Ok):
        # The outcome is unknown. A record is read again before the next attempt
        # to write it, and a lease expires by itself.
        return True
    value = result.ok_value
    if name == "grant":
        _claim_promotion(board, database, value)
    elif name == "claim":
        _handle_claim(board, database, value, now)
    elif name == "read":
        _write_record(board, database, value)
    elif name == "write" and value.succeeded:
        _remove_written_record(board, database, value.current)
    return True


def _claim_promotion(board, database: str, lease_id: int) -> None:
    lease = board.failover.lease_state.leases.get(database)
    if lease is None:
        _call_store(board, "revoke", database, kvstore.RevokeLease(lease=lease_id))
        return
    lease.lease_id = lease_id
    _call_store(
        board,
        "claim",
        database,
        kvstore.CompareAndSwap(
            key=f"promotion/{database}",
            value=board.identity.host.encode(),
            revision=0,
            lease=lease_id,
        ),
    )


def _handle_claim(board, database: str, swapped: kvstore.Swapped, now: float) -> None:
    lease = board.failover.lease_state.leases.get(database)
    if lease is None or swapped.succeeded or swapped.current is None:
        return
    if swapped.current.value != board.identity.host.encode():
        lease.blocked_until = now + BLOCK_SECONDS
        board.log(
            logs.LogEvent.PROMOTION_LEFT,
            database=database,
            holder=swapped.current.value.decode(errors="replace"),
        )


def _write_record(board, database: str, entry: kvstore.Entry | None) -> None:
    pending = board.failover.lease_state.pending_records.get(database)
    if pending is None:
        return
    if entry is not None and _read_term(entry) >= pending.term:
        del board.failover.lease_state.pending_records[database]
        return
    _call_store(
        board,
        "write",
        database,
        kvstore.CompareAndSwap(
            key=_get_key(database),
            value=encode_record(
                PrimaryRecord(term=pending.term, primary=pending.primary)
            ),
            revision=entry.revision if entry is not None else 0,
        ),
    )


def _remove_written_record(board, database: str, entry: kvstore.Entry) -> None:
    pending = board.failover.lease_state.pending_records.get(database)
    if pending is not None and _read_term(entry) >= pending.term:
        del board.failover.lease_state.pending_records[database]


def encode_record(record: PrimaryRecord) -> bytes:
    """Return the JSON encoding of a record as it is stored."""
    return json.dumps(messages.unstructure(record)).encode()


def _read_term(entry: kvstore.Entry) -> int:
    """Return the term of a stored record, 0 if the record is damaged."""
    try:
        return messages.structure(json.loads(entry.value), PrimaryRecord).term
    except (ValueError, exceptions.CodecError):
        return 0


def _get_key(database: str) -> str:
    return f"failover/{database}"


def _call_store(board, name: str, database: str, operation) -> None:
    call_id = board.next_id()
    board.failover.lease_state.calls[call_id] = (name, database)
    board.act(base.CallStore(call_id=call_id, operation=operation))
