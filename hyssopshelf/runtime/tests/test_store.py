"""Tests of the store adapter against the stand-in store, over sockets."""

import asyncio
import time

import pytest

from hyssopshelf import kvstore
from hyssopshelf.runtime import store as adapters
from hyssopshelf.standins import keyvalue
from hyssopshelf.standins import store as standins


def run(scenario):
    """Run a scenario with a server and an adapter whose calls time out after 0.3 s."""

    async def main():
        server = standins.StoreServer(store=keyvalue.KeyValueStore())
        port = server.start()
        adapter = adapters.StoreAdapter(
            url=f"http://127.0.0.1:{port}", timeout_seconds=0.3
        )
        try:
            await asyncio.wait_for(scenario(server, adapter), 20)
        finally:
            adapter.close()
            await server.stop()

    asyncio.run(main())


def make_swap(key, value, revision=0, lease=0):
    return kvstore.CompareAndSwap(key=key, value=value, revision=revision, lease=lease)


def make_watch(after_revision, wait_seconds=5.0, prefix="a/"):
    return kvstore.Watch(
        prefix=prefix, after_revision=after_revision, wait_seconds=wait_seconds
    )


def test_compare_and_swap_conflict_returns_the_current_entry():
    """Guards against lost updates and a conflict that does not return its entry."""

    async def scenario(server, adapter):
        first = (await adapter.call(make_swap("a/1", b"\xff\0"))).unwrap()
        assert first.succeeded
        conflict = (await adapter.call(make_swap("a/1", b"y"))).unwrap()
        assert (conflict.succeeded, conflict.current) == (False, first.current)
        again = await adapter.call(make_swap("a/1", b"z", first.current.revision))
        assert again.unwrap().succeeded
        entry = (await adapter.call(kvstore.Get(key="a/1"))).unwrap()
        assert entry == again.unwrap().current
        missing = (await adapter.call(make_swap("none", b"y", 7))).unwrap()
        assert (missing.succeeded, missing.current) == (False, None)
        assert (await adapter.call(kvstore.Get(key="none"))).unwrap() is None

    run(scenario)


def test_list_prefix_returns_only_matching_keys():
    """Guards against a key range that ends one key too late or too early."""

    async def scenario(server, adapter):
        for key in ("a", "a/1", "a/~", "a0", "b"):
            await adapter.call(make_swap(key, b"x"))
        listed = (await adapter.call(kvstore.ListPrefix(prefix="a/"))).unwrap()
        assert [entry.key for entry in listed] == ["a/1", "a/~"]
        all_entries = (await adapter.call(kvstore.ListPrefix(prefix=""))).unwrap()
        assert len(all_entries) == 5

    run(scenario)


def test_watch_returns_on_a_change_in_one_call():
    """Guards against polling, missed changes and changes outside the prefix."""

    async def scenario(server, adapter):
        start = (await adapter.call(make_swap("a/1", b"x"))).unwrap().current.revision
        waiting = asyncio.ensure_future(adapter.call(make_watch(start)))
        await asyncio.sleep(0.1)
        await adapter.call(make_swap("b/1", b"x"))
        await asyncio.sleep(0.1)
        assert not waiting.done()
        await adapter.call(make_swap("a/2", b"y"))
        changes = (await waiting).unwrap()
        assert [entry.key for entry in changes.entries] == ["a/2"]
        missed = (await adapter.call(make_watch(start))).unwrap()
        assert missed == changes
        assert server.store.calls["watch"] == 2

    run(scenario)


def test_watch_without_changes_returns_no_entries():
    """Guards against a watch that never returns."""

    async def scenario(server, adapter):
        changes = (await adapter.call(make_watch(1, wait_seconds=0.1))).unwrap()
        assert (changes.entries, changes.revision) == ((), 1)

    run(scenario)


def test_watch_from_compacted_history_reads_the_current_values(monkeypatch):
    """Guards against changes skipped after the store compacted its history."""
    monkeypatch.setattr(keyvalue, "HISTORY_LENGTH", 2)

    async def scenario(server, adapter):
        for number in range(5):
            await adapter.call(make_swap(f"a/{number}", b"x"))
        changes = (await adapter.call(make_watch(2))).unwrap()
        keys = [entry.key for entry in changes.entries]
        assert keys == ["a/1", "a/2", "a/3", "a/4"]

    run(scenario)


def test_watch_returns_the_lower_revision_of_a_restored_store():
    """Guards against waiting forever for a revision that a restore removed."""

    async def scenario(server, adapter):
        server.store.snapshots["old"] = server.store.take_snapshot()
        revision = (
            (await adapter.call(make_swap("a/1", b"x"))).unwrap().current.revision
        )
        waiting = asyncio.ensure_future(adapter.call(make_watch(revision)))
        await asyncio.sleep(0.1)
        server.restore("old")
        assert (await waiting).is_err()
        changes = (await adapter.call(make_watch(revision))).unwrap()
        assert (changes.entries, changes.revision) == ((), revision - 1)

    run(scenario)


def test_expired_lease_deletes_its_keys():
    """Guards against a lock that outlives its holder."""

    async def scenario(server, adapter):
        grant = kvstore.GrantLease(time_to_live_seconds=0.2)
        lease = (await adapter.call(grant)).unwrap()
        await adapter.call(make_swap("a/lock", b"h1", lease=lease))
        assert (await adapter.call(kvstore.Get(key="a/lock"))).unwrap() is not None
        await asyncio.sleep(1.2)
        assert (await adapter.call(kvstore.Get(key="a/lock"))).unwrap() is None
        # Revoking an expired lease succeeds, while a put with it fails.
        assert (await adapter.call(kvstore.RevokeLease(lease=lease))).is_ok()
        assert (await adapter.call(make_swap("a/lock", b"h1", lease=lease))).is_err()

    run(scenario)


def test_revoked_lease_deletes_its_keys():
    """Guards against a lock that remains after its holder released it."""

    async def scenario(server, adapter):
        grant = kvstore.GrantLease(time_to_live_seconds=60)
        lease = (await adapter.call(grant)).unwrap()
        await adapter.call(make_swap("a/lock", b"h1", lease=lease))
        assert (await adapter.call(kvstore.RevokeLease(lease=lease))).is_ok()
        assert (await adapter.call(kvstore.Get(key="a/lock"))).unwrap() is None

    run(scenario)


def test_lost_answer_of_an_applied_change_is_an_error():
    """Guards against an applied change that is reported as refused or repeated."""

    async def scenario(server, adapter):
        server.set_faults(lost_answers=1)
        assert (await adapter.call(make_swap("a/1", b"x"))).is_err()
        entry = (await adapter.call(kvstore.Get(key="a/1"))).unwrap()
        assert entry.value == b"x"

    run(scenario)


@pytest.mark.parametrize("fault", [{"down": True}, {"delay_seconds": 5.0}])
def test_call_ends_within_its_deadline(fault):
    """Guards against a node that hangs when the store is down or slow."""

    async def scenario(server, adapter):
        server.set_faults(**fault)
        operations = [
            make_swap("a/1", b"x"),
            kvstore.Get(key="a/1"),
            kvstore.GrantLease(time_to_live_seconds=1),
            make_watch(1, wait_seconds=0.2),
        ]
        started = time.monotonic()
        results = await asyncio.gather(*map(adapter.call, operations))
        assert all(result.is_err() for result in results[:3])
        assert time.monotonic() - started < 2.0
        server.set_faults(down=False, delay_seconds=0.0)
        assert (await adapter.call(kvstore.Get(key="none"))).is_ok()

    run(scenario)


def test_store_that_goes_down_ends_watches():
    """Guards against a watch that keeps waiting after the store went down."""

    async def scenario(server, adapter):
        waiting = asyncio.ensure_future(adapter.call(make_watch(1)))
        await asyncio.sleep(0.1)
        server.set_faults(down=True)
        assert (await waiting).is_err()

    run(scenario)


def test_close_ends_watches():
    """Guards against a process that cannot stop while a watch is open."""

    async def scenario(server, adapter):
        waiting = asyncio.ensure_future(adapter.call(make_watch(1, wait_seconds=60)))
        await asyncio.sleep(0.1)
        adapter.close()
        assert (await waiting).is_err()

    run(scenario)


def test_control_route_sets_faults_over_http():
    """Guards against faults that tests with separate processes cannot set."""

    async def scenario(server, adapter):
        await adapter.post("/control/faults", {"snapshot": "old"})
        await adapter.call(make_swap("a/1", b"x"))
        state = await adapter.post("/control/faults", {"restore": "old"})
        assert (state["revision"], state["calls"]) == (1, {"txn": 1})
        await adapter.post("/control/faults", {"faults": {"down": True}})
        assert (await adapter.call(kvstore.Get(key="a/1"))).is_err()
        state = await adapter.post("/control/faults", {"faults": {"down": False}})
        assert (await adapter.call(kvstore.Get(key="a/1"))).unwrap() is None

    run(scenario)
