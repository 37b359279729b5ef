"""The store's part in a change of primary: a lease and a record.

Neither is needed for a promotion. The lease only keeps promoters from
competing, so it is asked for while the primary is still under suspicion, and a
missing answer delays nothing. The record tells operators who is primary.
"""

import json

import attrs
from result import Ok

from hyssopshelf import base, exceptions, logs, messages, platform

PREPARE_SECONDS = 0.6
"""Time before a promotion at which its lease is asked for."""

LEASE_SECONDS = 3.0
"""Time to live of the lease; a promoter that dies blocks nobody for longer."""

BLOCKED_SECONDS = 1.0
"""Time for which another node's lease blocks this one.

A holder that is alive raises a term within this time, and the watchers wait for
it after that. A holder that is dead must not delay its successor for long.
"""

RETRY_SECONDS = 5.0
"""Time between attempts to write the record."""


@attrs.frozen(kw_only=True)
class PrimaryRecord:
    """Value of the store key ``failover/<pool>/<database>``."""

    term: int
    primary: str


@attrs.define(kw_only=True)
class Lease:
    """A lease of this node, or its knowledge that another node holds it.

    Attributes
    ----------
    lease : int
        Id in the store, 0 until it is granted.
    blocked_until : float
        Time until which this node leaves the promotion to another one.
    """

    asked_at: float
    lease: int = 0
    blocked_until: float = float("-inf")


@attrs.define(kw_only=True)
class PendingRecord:
    """A change of primary that the store does not have yet."""

    term: int
    primary: str
    next_at: float


@attrs.define(kw_only=True)
class LeaseState:
    """Store state of a node; ``calls`` maps a call id to (step, database)."""

    leases: dict[str, Lease] = attrs.field(factory=dict)
    pending: dict[str, PendingRecord] = attrs.field(factory=dict)
    calls: dict[str, tuple[str, str]] = attrs.field(factory=dict)


def prepare(board, database: str, now: float) -> None:
    """Ask for the lease of a database unless that was done lately."""
    lease = board.failover.lease_state.leases.get(database)
    if lease is not None and now < lease.asked_at + LEASE_SECONDS:
        return
    board.failover.lease_state.leases[database] = Lease(asked_at=now)
    _call(
        board,
        "grant",
        database,
        platform.GrantLease(time_to_live_seconds=LEASE_SECONDS),
    )


def is_blocked(board, database: str, now: float) -> bool:
    """Return whether another node holds the lease.

    The time counts on this node's clock, whatever the store says.
    """
    lease = board.failover.lease_state.leases.get(database)
    return lease is not None and now < lease.blocked_until


def release(board, database: str) -> None:
    """Give the lease back."""
    lease = board.failover.lease_state.leases.pop(database, None)
    if lease is not None and lease.lease:
        _call(board, "revoke", database, platform.RevokeLease(lease=lease.lease))


def record_primary(board, database: str, term: int, primary: str, now: float) -> None:
    """Write a change of primary to the store as soon as the store answers."""
    board.failover.lease_state.pending[database] = PendingRecord(
        term=term, primary=primary, next_at=now
    )
    step(board, now)


def step(board, now: float) -> None:
    """Repeat attempts to write records."""
    for database, pending in list(board.failover.lease_state.pending.items()):
        if now >= pending.next_at:
            pending.next_at = now + RETRY_SECONDS
            _call(board, "read", database, platform.Get(key=_get_key(database)))


def receive_store(board, call_id: str, result, now: float) -> bool:
    """Use the end of a store call; return False if it is not of this module."""
    call = board.failover.lease_state.calls.pop(call_id, None)
    if call is None:
        return False
    name, database = call
    if not isinstance(result, Ok):
        # The outcome is unknown. A record is read again before it is written
        # again, and a lease lapses by itself.
        return True
    value = result.ok_value
    if name == "grant":
        _claim(board, database, value)
    elif name == "claim":
        _note_claim(board, database, value, now)
    elif name == "read":
        _write(board, database, value)
    elif name == "write" and value.succeeded:
        _finish_record(board, database, value.current)
    return True


def _claim(board, database: str, lease_id: int) -> None:
    lease = board.failover.lease_state.leases.get(database)
    if lease is None:
        _call(board, "revoke", database, platform.RevokeLease(lease=lease_id))
        return
    lease.lease = lease_id
    _call(
        board,
        "claim",
        database,
        platform.CompareAndSwap(
            key=f"promotion/{database}",
            value=board.identity.host.encode(),
            revision=0,
            lease=lease_id,
        ),
    )


def _note_claim(board, database: str, swapped: platform.Swapped, now: float) -> None:
    lease = board.failover.lease_state.leases.get(database)
    if lease is None or swapped.succeeded or swapped.current is None:
        return
    if swapped.current.value != board.identity.host.encode():
        lease.blocked_until = now + BLOCKED_SECONDS
        board.log(
            logs.LogEvent.PROMOTION_LEFT,
            database=database,
            holder=swapped.current.value.decode(errors="replace"),
        )


def _write(board, database: str, entry: platform.Entry | None) -> None:
    pending = board.failover.lease_state.pending.get(database)
    if pending is None:
        return
    if entry is not None and _read_term(entry) >= pending.term:
        del board.failover.lease_state.pending[database]
        return
    _call(
        board,
        "write",
        database,
        platform.CompareAndSwap(
            key=_get_key(database),
            value=encode_record(
                PrimaryRecord(term=pending.term, primary=pending.primary)
            ),
            revision=entry.revision if entry is not None else 0,
        ),
    )


def _finish_record(board, database: str, entry: platform.Entry) -> None:
    pending = board.failover.lease_state.pending.get(database)
    if pending is not None and _read_term(entry) >= pending.term:
        del board.failover.lease_state.pending[database]


def encode_record(record: PrimaryRecord) -> bytes:
    """Return the stored form of a record."""
    return json.dumps(messages.unstructure(record)).encode()


def _read_term(entry: platform.Entry) -> int:
    """Return the term of a stored record, 0 if the record is damaged."""
    try:
        return messages.structure(json.loads(entry.value), PrimaryRecord).term
    except (ValueError, exceptions.CodecError):
        return 0


def _get_key(database: str) -> str:
    return f"failover/{database}"


def _call(board, name: str, database: str, operation) -> None:
    call_id = board.next_id()
    board.failover.lease_state.calls[call_id] = (name, database)
    board.act(base.CallStore(call_id=call_id, operation=operation))
