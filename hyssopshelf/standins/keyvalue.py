"""State machine of the platform's key-value store, without I/O.

It has compare-and-swap, leases, watches, revisions, and faults that tests switch
on. The caller passes the time in; ``store`` serves it over HTTP.
"""

import collections
import copy
import functools

import attrs
import result

from hyssopshelf import exceptions, kvstore

MAXIMUM_VALUE_BYTES = 1_000_000
"""Largest value that the store accepts, in bytes."""

HISTORY_LENGTH = 10_000
"""Number of changes kept for watches; a watch from an older revision is canceled."""


class StoreError(exceptions.HyssopshelfError):
    """The store refused a request; nothing was changed."""


@attrs.frozen(kw_only=True)
class Record:
    """Value and lease of a key with the revisions of its creation and last change."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@attrs.frozen(kw_only=True)
class Change:
    """A change of one key; ``record`` is None for a deletion."""

    revision: int
    key: bytes
    record: Record | None


@attrs.define(kw_only=True)
class Lease:
    """Time to live of a lease and the time at which it expires."""

    time_to_live_seconds: float
    expires_at: float


@attrs.define(kw_only=True)
class Faults:
    """Faults of the store that tests switch on.

    Attributes
    ----------
    down : bool
        Connections are closed without an answer; nothing takes effect.
    delay_seconds : float
        Delay of each call before it takes effect.
    lost_answers : int
        Number of next writes that take effect but get no answer.
    """

    down: bool = False
    delay_seconds: float = 0.0
    lost_answers: int = 0


@attrs.frozen(kw_only=True)
class Snapshot:
    """A copy of the data, leases and history of a store at a revision."""

    revision: int
    compact_revision: int
    records: dict[bytes, Record]
    leases: dict[int, Lease]
    history: tuple[Change, ...]


def _is_in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Return whether a key is in a range.

    With an empty end the range is the single key ``start``; with a zero byte as
    the end it is all keys from ``start`` on.
    """
    if not end:
        return key == start
    return key >= start and (end == b"\0" or key < end)


def get_prefix_end(prefix: bytes) -> bytes:
    """Return the end of the range that has exactly the keys with a prefix."""
    stripped = prefix.rstrip(b"\xff")
    if not stripped:
        return b"\0"
    return stripped[:-1] + bytes([stripped[-1] + 1])


@attrs.define(kw_only=True)
class KeyValueStore:
    """Keys with revisions, leases and a history for watches.

    Attributes
    ----------
    revision : int
        Revision of the last change of any key.
    compact_revision : int
        Changes up to this revision are no longer in the history.
    faults : Faults
        Faults that are switched on.
    calls : Counter
        Number of calls by name; a watch counts once, however long it waits.
    snapshots : dict of str to Snapshot
        Snapshots by name, taken through the control route of ``store``.
    """

    revision: int = 1
    compact_revision: int = 0
    faults: Faults = attrs.field(factory=Faults)
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    snapshots: dict[str, Snapshot] = attrs.field(factory=dict)
    _records: dict[bytes, Record] = attrs.field(factory=dict, init=False)
    _leases: dict[int, Lease] = attrs.field(factory=dict, init=False)
    _history: collections.deque[Change] = attrs.field(
        factory=collections.deque, init=False
    )
    _last_lease: int = attrs.field(default=0, init=False)

    def read(self, start: bytes, end: bytes = b"") -> list[Record]:
        """Return the records of a range, sorted by key."""
        if not end:
            record = self._records.get(start)
            return [record] if record is not None else []
        return [
            self._records[key]
            for key in sorted(self._records)
            if _is_in_range(key, start, end)
        ]

    def get_mod_revision(self, key: bytes) -> int:
        """Return the revision of a key's last change, 0 if it does not exist."""
        record = self._records.get(key)
        return record.mod_revision if record is not None else 0

    def check_put(self, value: bytes, lease: int) -> None:
        """Raise StoreError if a put with this value and lease is not allowed."""
        if len(value) > MAXIMUM_VALUE_BYTES:
            raise StoreError("value is too large")
        if lease and lease not in self._leases:
            raise StoreError("requested lease not found")

    def put(self, key: bytes, value: bytes, lease: int = 0) -> Record:
        """Write a key and return its record.

        Raises
        ------
        StoreError
            If the value is too large or the lease does not exist.
        """
        self.check_put(value, lease)
        previous = self._records.get(key)
        self.revision += 1
        record = Record(
            key=key,
            value=value,
            create_revision=previous.create_revision if previous else self.revision,
            mod_revision=self.revision,
            version=previous.version + 1 if previous else 1,
            lease=lease,
        )
        self._records[key] = record
        self._append_to_history(Change(revision=self.revision, key=key, record=record))
        return record

    def delete(self, keys: list[bytes]) -> None:
        """Delete the keys that exist, in one revision."""
        existing = [key for key in keys if key in self._records]
        if not existing:
            return
        self.revision += 1
        for key in existing:
            del self._records[key]
            self._append_to_history(
                Change(revision=self.revision, key=key, record=None)
            )

    def grant_lease(self, time_to_live_seconds: float, now: float) -> int:
        """Create a lease and return its id."""
        self._last_lease += 1
        self._leases[self._last_lease] = Lease(
            time_to_live_seconds=time_to_live_seconds,
            expires_at=now + time_to_live_seconds,
        )
        return self._last_lease

    def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and delete its keys.

        Raises
        ------
        StoreError
            If the lease does not exist.
        """
        if self._leases.pop(lease, None) is None:
            raise StoreError("requested lease not found")
        attached = [
            key for key, record in self._records.items() if record.lease == lease
        ]
        self.delete(attached)

    def expire(self, now: float) -> None:
        """Revoke the leases whose time to live has passed."""
        expired = [
            lease for lease, state in self._leases.items() if state.expires_at <= now
        ]
        for lease in expired:
            self.revoke_lease(lease)

    def list_changes(self, start: bytes, end: bytes, first: int) -> list[Change]:
        """Return the changes of a range from a revision on, oldest first.

        Raises
        ------
        StoreError
            If the revision has been compacted.
        """
        if first <= self.compact_revision:
            raise StoreError("required revision has been compacted")
        return [
            change
            for change in self._history
            if change.revision >= first and _is_in_range(change.key, start, end)
        ]

    def take_snapshot(self) -> Snapshot:
        """Return a copy of the data, leases and history."""
        return Snapshot(
            revision=self.revision,
            compact_revision=self.compact_revision,
            records=dict(self._records),
            leases=copy.deepcopy(self._leases),
            history=tuple(self._history),
        )

    def restore(self, snapshot: Snapshot, now: float) -> None:
        """Replace the data by a snapshot and restart its leases.

        The revision goes back, so that later changes reuse revision numbers. Lease
        ids are not reused.
        """
        self.revision = snapshot.revision
        self.compact_revision = snapshot.compact_revision
        self._records = dict(snapshot.records)
        self._leases = copy.deepcopy(snapshot.leases)
        for lease in self._leases.values():
            lease.expires_at = now + lease.time_to_live_seconds
        self._history = collections.deque(snapshot.history)

    def _append_to_history(self, change: Change) -> None:
        self._history.append(change)
        while len(self._history) > HISTORY_LENGTH:
            self.compact_revision = self._history.popleft().revision


def _make_entry(record: Record | None) -> kvstore.Entry | None:
    if record is None:
        return None
    return kvstore.Entry(
        key=record.key.decode(), value=record.value, revision=record.mod_revision
    )


@functools.singledispatch
def perform(operation, store: KeyValueStore, now: float):
    """Run an operation of ``kvstore`` without faults and return its result."""
    raise NotImplementedError(f"unknown operation {type(operation).__name__}")


@perform.register
def _(operation: kvstore.Get, store: KeyValueStore, now: float):
    records = store.read(operation.key.encode())
    return _make_entry(records[0]) if records else None


@perform.register
def _(operation: kvstore.ListPrefix, store: KeyValueStore, now: float):
    prefix = operation.prefix.encode()
    return tuple(map(_make_entry, store.read(prefix, get_prefix_end(prefix))))


@perform.register
def _(operation: kvstore.CompareAndSwap, store: KeyValueStore, now: float):
    key = operation.key.encode()
    succeeded = store.get_mod_revision(key) == operation.revision
    if succeeded:
        store.put(key, operation.value, operation.lease)
    records = store.read(key)
    current = _make_entry(records[0]) if records else None
    return kvstore.Swapped(succeeded=succeeded, current=current)


@perform.register
def _(operation: kvstore.GrantLease, store: KeyValueStore, now: float):
    return store.grant_lease(operation.time_to_live_seconds, now)


@perform.register
def _(operation: kvstore.RevokeLease, store: KeyValueStore, now: float):
    store.revoke_lease(operation.lease)


@perform.register
def _(operation: kvstore.Watch, store: KeyValueStore, now: float):
    prefix = operation.prefix.encode()
    changes = store.list_changes(
        prefix, get_prefix_end(prefix), operation.after_revision + 1
    )
    entries = tuple(_make_entry(change.record) for change in changes if change.record)
    return kvstore.Changes(entries=entries, revision=store.revision)


WRITES = (kvstore.CompareAndSwap, kvstore.GrantLease, kvstore.RevokeLease)


def call(store: KeyValueStore, operation, now: float) -> result.Result:
    """Run an operation subject to the store's faults, without waiting.

    Tests with a virtual clock use it in place of an adapter. A watch returns the
    existing changes at once.

    Returns
    -------
    Ok(object)
        The operation's result.
    Err(str)
        Why there is no result; the caller has to treat the outcome as unknown.
    """
    store.calls[type(operation).__name__] += 1
    if store.faults.down:
        return result.Err("store is down")
    store.expire(now)
    try:
        value = perform(operation, store, now)
    except StoreError as error:
        return result.Err(str(error))
    if isinstance(operation, WRITES) and store.faults.lost_answers:
        store.faults.lost_answers -= 1
        return result.Err("answer lost")
    return result.Ok(value)
