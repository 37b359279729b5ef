"""Tests of the state machine of the stand-in key-value store."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from hyssopshelf import kvstore
from hyssopshelf.standins import keyvalue

KEYS = st.sampled_from(["a/1", "a/2", "b/1"])


@hypothesis.settings(derandomize=True, max_examples=60, stateful_step_count=30)
class StoreMachine(stateful.RuleBasedStateMachine):
    """Compares the store with a dictionary of key to (value, revision, lease)."""

    def __init__(self):
        super().__init__()
        self.store = keyvalue.KeyValueStore()
        self.model = {}
        self.leases = {}
        self.now = 0.0
        self.seen = {}

    def call(self, operation):
        return keyvalue.call(self.store, operation, self.now)

    def end_leases(self, ended):
        for lease in ended:
            del self.leases[lease]
        self.model = {
            key: record for key, record in self.model.items() if record[2] not in ended
        }

    @stateful.rule(key=KEYS, value=st.binary(max_size=3), offset=st.integers(0, 2))
    def swap(self, key, value, offset):
        expected = self.model.get(key, (b"", 0, 0))[1]
        lease = max(self.leases, default=0) if value[:1] > b"\x80" else 0
        operation = kvstore.CompareAndSwap(
            key=key, value=value, revision=expected + offset, lease=lease
        )
        before = self.store.revision
        result = self.call(operation).unwrap()
        assert result.succeeded == (offset == 0)
        if result.succeeded:
            assert result.current.revision == before + 1
            self.model[key] = (value, before + 1, lease)

    @stateful.rule(key=KEYS, value=st.binary(max_size=3))
    def swap_with_lost_answer(self, key, value):
        self.store.faults.lost_answers = 1
        revision = self.model.get(key, (b"", 0, 0))[1]
        operation = kvstore.CompareAndSwap(key=key, value=value, revision=revision)
        assert self.call(operation).is_err()
        self.model[key] = (value, self.store.revision, 0)

    @stateful.rule(key=KEYS, value=st.binary(max_size=3))
    def swap_while_down(self, key, value):
        self.store.faults.down = True
        operation = kvstore.CompareAndSwap(key=key, value=value, revision=0)
        assert self.call(operation).is_err()
        self.store.faults.down = False

    @stateful.rule(seconds=st.integers(1, 5))
    def grant(self, seconds):
        lease = self.call(kvstore.GrantLease(time_to_live_seconds=seconds)).unwrap()
        assert lease not in self.leases
        self.leases[lease] = self.now + seconds

    @stateful.precondition(lambda self: self.leases)
    @stateful.rule()
    def revoke(self):
        lease = min(self.leases)
        assert self.call(kvstore.RevokeLease(lease=lease)).is_ok()
        self.end_leases({lease})

    @stateful.rule(seconds=st.integers(1, 3))
    def wait(self, seconds):
        self.now += seconds
        self.store.expire(self.now)
        self.end_leases(
            {lease for lease, end in self.leases.items() if end <= self.now}
        )

    @stateful.invariant()
    def reads_match_the_model(self):
        """Guards against lost writes and against keys that outlive their lease."""
        listed = self.call(kvstore.ListPrefix(prefix="")).unwrap()
        assert {entry.key: (entry.value, entry.revision) for entry in listed} == {
            key: record[:2] for key, record in self.model.items()
        }

    @stateful.invariant()
    def watch_finds_each_change_once(self):
        """Guards against a watch that skips or repeats changes."""
        after = max(self.seen, default=1)
        watch = kvstore.Watch(prefix="", after_revision=after, wait_seconds=0)
        for entry in self.call(watch).unwrap().entries:
            assert entry.revision not in self.seen
            self.seen[entry.revision] = entry
        for key, (value, revision, _) in self.model.items():
            found = self.seen[revision]
            assert (found.key, found.value) == (key, value)


TestStoreMachine = StoreMachine.TestCase


def test_restored_store_reuses_revisions_but_no_lease():
    """Guards against revoking a newer lease with an id from before the restore."""
    store = keyvalue.KeyValueStore()
    snapshot = store.take_snapshot()
    lease = store.grant_lease(10, 0.0)
    store.put(b"k", b"new", lease)
    store.restore(snapshot, 1.0)
    assert (store.read(b"k"), store.revision) == ([], 1)
    assert store.grant_lease(10, 1.0) > lease


def test_oversized_value_is_rejected():
    """Guards against documents that the stand-in takes and the platform rejects."""
    store = keyvalue.KeyValueStore()
    with pytest.raises(keyvalue.StoreError):
        store.put(b"k", bytes(keyvalue.MAXIMUM_VALUE_BYTES + 1))
