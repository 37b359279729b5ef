"""The platform's key-value store as a pure state machine.

Compare-and-swap, leases, watches, revisions, and faults that can be switched on.
Time is passed in; ``store`` serves it over HTTP.
"""

import collections
import copy
import functools

import attrs
import result

from hyssopshelf import exceptions, platform

MAXIMUM_VALUE_BYTES = 1_000_000
"""Largest value that the store takes, in bytes."""

HISTORY_LENGTH = 10_000
"""Changes kept for watches; a watch from an older revision is cancelled."""


class StoreError(exceptions.HyssopshelfError):
    """The store refused a request; nothing was changed."""


@attrs.frozen(kw_only=True)
class Record:
    """A key's value with the revisions of its creation and last change."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@attrs.frozen(kw_only=True)
class Change:
    """One change of a key; ``record`` is None for a deletion."""

    revision: int
    key: bytes
    record: Record | None


@attrs.define(kw_only=True)
class Lease:
    """A lease with its time to live and the time at which it lapses."""

    time_to_live_seconds: float
    expires_at: float


@attrs.define(kw_only=True)
class Faults:
    """Faults that are switched on.

    Attributes
    ----------
    down : bool
        Connections are closed without an answer; nothing takes effect.
    delay_seconds : float
        Time that each call waits before it takes effect.
    lost_answers : int
        Number of coming writes that take effect but are not answered.
    """

    down: bool = False
    delay_seconds: float = 0.0
    lost_answers: int = 0


@attrs.frozen(kw_only=True)
class Snapshot:
    """A copy of the store's data at a revision."""

    revision: int
    compact_revision: int
    records: dict[bytes, Record]
    leases: dict[int, Lease]
    history: tuple[Change, ...]


def _matches(key: bytes, start: bytes, end: bytes) -> bool:
    """Return whether a key is in a range.

    An empty end means one key, a zero byte all keys from the start on.
    """
    if not end:
        return key == start
    return key >= start and (end == b"\0" or key < end)


def get_prefix_end(prefix: bytes) -> bytes:
    """Return the end of the range that holds exactly the keys with a prefix."""
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
        Calls by name; a waiting watch counts as one.
    snapshots : dict of str to Snapshot
        Snapshots taken with the control route.
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
        """Return the records of a range in the order of their keys."""
        if not end:
            record = self._records.get(start)
            return [record] if record is not None else []
        return [
            self._records[key]
            for key in sorted(self._records)
            if _matches(key, start, end)
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
        old = self._records.get(key)
        self.revision += 1
        record = Record(
            key=key,
            value=value,
            create_revision=old.create_revision if old else self.revision,
            mod_revision=self.revision,
            version=old.version + 1 if old else 1,
            lease=lease,
        )
        self._records[key] = record
        self._remember(Change(revision=self.revision, key=key, record=record))
        return record

    def delete(self, keys: list[bytes]) -> None:
        """Delete keys in one revision."""
        present = [key for key in keys if key in self._records]
        if not present:
            return
        self.revision += 1
        for key in present:
            del self._records[key]
            self._remember(Change(revision=self.revision, key=key, record=None))

    def grant_lease(self, time_to_live_seconds: float, now: float) -> int:
        """Create a lease and return its id."""
        self._last_lease += 1
        self._leases[self._last_lease] = Lease(
            time_to_live_seconds=time_to_live_seconds,
            expires_at=now + time_to_live_seconds,
        )
        return self._last_lease

    def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys.

        Raises
        ------
        StoreError
            If the lease does not exist.
        """
        if self._leases.pop(lease, None) is None:
            raise StoreError("requested lease not found")
        bound = [key for key, record in self._records.items() if record.lease == lease]
        self.delete(bound)

    def expire(self, now: float) -> None:
        """End the leases whose time to live has passed."""
        lapsed = [
            lease for lease, state in self._leases.items() if state.expires_at <= now
        ]
        for lease in lapsed:
            self.revoke_lease(lease)

    def list_changes(self, start: bytes, end: bytes, first: int) -> list[Change]:
        """Return the changes of a range from a revision on, oldest first.

        Raises
        ------
        StoreError
            If the history no longer reaches back to the revision.
        """
        if first <= self.compact_revision:
            raise StoreError("required revision has been compacted")
        return [
            change
            for change in self._history
            if change.revision >= first and _matches(change.key, start, end)
        ]

    def take_snapshot(self) -> Snapshot:
        """Return a copy of the data."""
        return Snapshot(
            revision=self.revision,
            compact_revision=self.compact_revision,
            records=dict(self._records),
            leases=copy.deepcopy(self._leases),
            history=tuple(self._history),
        )

    def restore(self, snapshot: Snapshot, now: float) -> None:
        """Replace the data by a snapshot; its leases start anew.

        Revisions go back, so that later changes use their numbers again. Lease
        ids are not used again.
        """
        self.revision = snapshot.revision
        self.compact_revision = snapshot.compact_revision
        self._records = dict(snapshot.records)
        self._leases = copy.deepcopy(snapshot.leases)
        for lease in self._leases.values():
            lease.expires_at = now + lease.time_to_live_seconds
        self._history = collections.deque(snapshot.history)

    def _remember(self, change: Change) -> None:
        self._history.append(change)
        while len(self._history) > HISTORY_LENGTH:
            self.compact_revision = self._history.popleft().revision


def _make_entry(record: Record | None) -> platform.Entry | None:
    if record is None:
        return None
    return platform.Entry(
        key=record.key.decode(), value=record.value, revision=record.mod_revision
    )


@functools.singledispatch
def perform(operation, store: KeyValueStore, now: float):
    """Carry out an operation of ``platform`` at once and return its result."""
    raise NotImplementedError(f"unknown operation {type(operation).__name__}")


@perform.register
def _(operation: platform.Get, store: KeyValueStore, now: float):
    records = store.read(operation.key.encode())
    return _make_entry(records[0]) if records else None


@perform.register
def _(operation: platform.ListPrefix, store: KeyValueStore, now: float):
    prefix = operation.prefix.encode()
    return tuple(map(_make_entry, store.read(prefix, get_prefix_end(prefix))))


@perform.register
def _(operation: platform.CompareAndSwap, store: KeyValueStore, now: float):
    key = operation.key.encode()
    succeeded = store.get_mod_revision(key) == operation.revision
    if succeeded:
        store.put(key, operation.value, operation.lease)
    records = store.read(key)
    current = _make_entry(records[0]) if records else None
    return platform.Swapped(succeeded=succeeded, current=current)


@perform.register
def _(operation: platform.GrantLease, store: KeyValueStore, now: float):
    return store.grant_lease(operation.time_to_live_seconds, now)


@perform.register
def _(operation: platform.RevokeLease, store: KeyValueStore, now: float):
    store.revoke_lease(operation.lease)


@perform.register
def _(operation: platform.Watch, store: KeyValueStore, now: float):
    prefix = operation.prefix.encode()
    changes = store.list_changes(
        prefix, get_prefix_end(prefix), operation.after_revision + 1
    )
    entries = tuple(_make_entry(change.record) for change in changes if change.record)
    return platform.Changes(entries=entries, revision=store.revision)


WRITES = (platform.CompareAndSwap, platform.GrantLease, platform.RevokeLease)


def call(store: KeyValueStore, operation, now: float) -> result.Result:
    """Carry out an operation under the store's faults, without waiting.

    Virtual-clock tests use it in place of an adapter. A watch returns the
    changes that exist already.

    Returns
    -------
    Ok(object)
        The operation's result.
    Err(str)
        The outcome is unknown.
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
