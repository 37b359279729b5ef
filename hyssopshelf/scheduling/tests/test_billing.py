"""Tests of the slot time accounts and of the bill in the store."""

import random

import pytest
import result
from hypothesis import given, settings
from hypothesis import strategies as st

from hyssopshelf import base, kvstore
from hyssopshelf.scheduling import accounts, bill_writes, billing
from hyssopshelf.scheduling.tests import test_shares

HOSTS = ("h1", "h2", "h3", "h4", "h5")


class Store:
    """In-memory store with compare-and-swap that counts its calls."""

    def __init__(self):
        self.entries = {}
        self.calls = 0

    def call(self, operation):
        self.calls += 1
        current = self.entries.get(operation.key)
        if isinstance(operation, kvstore.Get):
            return current
        revision = current.revision if current is not None else 0
        if revision != operation.revision:
            return kvstore.Swapped(succeeded=False, current=current)
        entry = kvstore.Entry(
            key=operation.key, value=operation.value, revision=revision + 1
        )
        self.entries[operation.key] = entry
        return kvstore.Swapped(succeeded=True, current=entry)

    def bill(self):
        entry = self.entries.get("billing/p")
        return None if entry is None else accounts.decode_bill(entry.value)

    def total(self):
        pool_accounts = accounts.PoolAccounts()
        pool_accounts.adopt(self.bill())
        return sum(pool_accounts.total().values())


class Fleet:
    """Boards that share a store; ``fault`` can lose a store call or its answer."""

    def __init__(self, fault=lambda: ""):
        self.boards = {
            host: test_shares.make_board(host, HOSTS, seed=number)
            for number, host in enumerate(HOSTS)
        }
        self.store = Store()
        self.fault = fault
        self.now = 0.0
        self.served = 0.0

    def run(self, seconds, *, served_by=(), step_seconds=0.5):
        for _ in range(round(seconds / step_seconds)):
            self.now += step_seconds
            for host in served_by:
                billing.account(self.boards[host], "p", "a", "urgent", 0.25)
                self.served += 0.25
            for board in self.boards.values():
                billing.step(board, self.now)
            for host, action in test_shares.deliver(self.boards, self.now):
                if isinstance(action, base.CallStore):
                    self.call(self.boards[host], action)

    def call(self, board, action):
        fault = self.fault()
        if fault == "request lost":
            answer = result.Err("timeout")
        else:
            answer = result.Ok(self.store.call(action.operation))
            if fault == "answer lost":
                answer = result.Err("timeout")
            elif fault == "no answer":
                return
        event = base.StoreAnswered(call_id=action.call_id, result=answer)
        assert billing.store_answered(event, board, self.now)

    def restart(self, host):
        """Replace a node by a new incarnation without state."""
        old = self.boards[host]
        board = test_shares.make_board(host, HOSTS, seed=7)
        incarnation = old.identity.incarnation + 1
        board.identity = type(old.identity)(
            host=host, address=old.identity.address, place="x", incarnation=incarnation
        )
        self.boards[host] = board
        for other in self.boards.values():
            other.hosts[host].incarnation = incarnation


def find_writer(fleet):
    return next(iter(fleet.boards.values())).bills.writers["p"]


def test_bill_reaches_the_store():
    """Guards against slot time of a serving node that is missing from the bill."""
    fleet = Fleet()
    fleet.run(30, served_by=HOSTS)
    fleet.run(150)
    assert fleet.store.total() == pytest.approx(fleet.served)
    writer = fleet.boards[find_writer(fleet)]
    (line,) = billing.bill(writer, "p")
    assert line.slot_seconds == pytest.approx(fleet.served)
    assert (line.used_share, line.agreed_share) == (1.0, 0.7)
    stored = fleet.store.entries["billing/p"].value
    assert billing.bill_of_document(fleet.boards["h1"], "p", stored) == (line,)


@pytest.mark.parametrize("seed", range(5))
def test_store_faults_neither_lose_nor_double(seed):
    """Guards against a lost store answer that changes the bill."""
    generator = random.Random(seed)
    faults = ["", "", "request lost", "answer lost", "no answer"]
    fleet = Fleet(lambda: generator.choice(faults))
    for number in range(20):
        fleet.run(30, served_by=("h2", "h3"))
        if number % 4 == 3:
            fleet.run(20)
            fleet.restart(generator.choice(HOSTS))
    fleet.fault = lambda: ""
    fleet.run(500)
    assert fleet.store.total() == pytest.approx(fleet.served)


def test_dead_node_loses_at_most_one_second():
    """Guards against losing the account of a node that fails."""
    fleet = Fleet()
    fleet.run(60, served_by=("h1",))
    del fleet.boards["h1"]
    for board in fleet.boards.values():
        board.hosts["h1"].state = type(board.hosts["h1"].state).DEAD
    fleet.run(300)
    lost = fleet.served - fleet.store.total()
    assert 0.0 <= lost <= 0.5


def test_restarts_leave_a_bounded_document():
    """Guards against a document that grows with each restart of a host."""
    fleet = Fleet()
    sizes = []
    for _ in range(30):
        fleet.run(60, served_by=("h2",), step_seconds=1.0)
        fleet.run(5, step_seconds=1.0)
        fleet.restart("h2")
        sizes.append(len(fleet.store.bill().accounts))
    fleet.run(600, step_seconds=1.0)
    assert max(sizes) <= 2 + bill_writes.SUPERSEDED_SECONDS / 60
    assert len(fleet.store.bill().accounts) <= 1
    assert len(fleet.store.bill().folded) == 1
    assert fleet.store.total() == pytest.approx(fleet.served)
    held = [board.bills.pools.get("p") for board in fleet.boards.values()]
    assert max(len(pool.open) for pool in held if pool is not None) <= 2


def test_store_calls_do_not_grow_with_slot_time():
    """Guards against more than one store call a minute for a pool."""
    fleet = Fleet()
    fleet.run(600, served_by=HOSTS, step_seconds=1.0)
    assert fleet.store.calls <= 13


@pytest.mark.parametrize("count", [3, 400])
def test_sent_bytes_do_not_grow_with_the_pool(count):
    """Guards against control traffic above the budget in a large pool."""
    board = test_shares.make_large_board(count)
    for tick in range(1200):
        billing.account(board, "p", "a", "urgent", 0.01)
        billing.account(board, "p", "b", "normal", 0.01)
        billing.step(board, tick * 0.05)
    assert 0 < test_shares.sent_bytes(board) <= billing.BYTES_PER_SECOND * 61


def test_accounts_above_the_byte_budget_still_arrive():
    """Guards against accounts with many ranks that never fit into the byte budget."""
    ranks = [f"rank-number-{number}" for number in range(40)]
    fleet = Fleet()
    source = fleet.boards["h1"]
    for _ in range(30):
        for rank in ranks:
            billing.account(source, "p", "a", rank, 0.01)
            fleet.served += 0.01
        fleet.run(1)
    fleet.run(150)
    assert fleet.store.total() == pytest.approx(fleet.served)
    assert source.counters["billing_bytes_sent"] <= billing.BYTES_PER_SECOND * 181


def test_unreadable_document_is_not_overwritten():
    """Guards against losing a bill by overwriting a damaged document."""
    fleet = Fleet()
    entry = kvstore.Entry(key="billing/p", value=b"{", revision=4)
    fleet.store.entries["billing/p"] = entry
    fleet.run(90, served_by=("h1",))
    assert fleet.store.entries["billing/p"] is entry


def test_account_of_a_vanished_host_is_folded_after_a_day_of_writes():
    """Guards against accounts of replaced hosts that accumulate."""
    pool_accounts = accounts.PoolAccounts()
    pool_accounts.merge(make_account("gone", 1.0))
    for number in range(accounts.RETENTION_WRITES + 2):
        pool_accounts.merge(make_account("stays", float(number)))
        unchanged = {
            key
            for key in pool_accounts.open
            if key[0] == "gone" and pool_accounts.is_unchanged(*key)
        }
        assert not unchanged or number > accounts.RETENTION_WRITES
        pool_accounts.adopt(pool_accounts.draft("p", unchanged, {"stays"}))
    assert [host for host, _ in pool_accounts.open] == ["stays"]
    assert not pool_accounts.merge(make_account("gone", 2.0))
    assert pool_accounts.closed == {("a", "urgent"): 1.0}


def test_document_of_the_largest_pool_fits_into_the_store():
    """Guards against a bill above the store's 1 MB limit at the target size."""
    generator = random.Random(1)
    names = [f"host-{number:05d}" for number in range(5100)]
    ranks = ("urgent", "normal", "background")
    bill = accounts.Bill(
        pool="p",
        accounts=tuple(
            accounts.Account(
                pool="p",
                host=name,
                incarnation=7,
                amounts=tuple((p, r, generator.random()) for p in "ab" for r in ranks),
            )
            for name in names
        ),
        folded=tuple(
            accounts.Folded(
                host=name, incarnation=6, sequence=generator.randrange(9999)
            )
            for name in names
        ),
    )
    data = accounts.encode_bill(bill)
    assert accounts.decode_bill(data) == bill
    assert len(data) < 1_000_000


def test_two_writers_neither_lose_nor_double():
    """Guards against wrong sums when two hosts with different views write the bill."""
    fleet = Fleet()
    fleet.run(30, served_by=("h1", "h2"))
    for number in range(300):
        for host in ("h1", "h4"):
            fleet.boards[host].bills.writers["p"] = host
        fleet.run(3, served_by=("h2", "h3"))
        if number % 60 == 59:
            fleet.restart("h5")
    fleet.run(500)
    assert fleet.store.total() == pytest.approx(fleet.served)


def make_account(host, seconds):
    return accounts.Account(
        pool="p", host=host, incarnation=1, amounts=(("a", "urgent", seconds),)
    )


AMOUNTS = st.lists(st.floats(0.0, 100.0), min_size=1, max_size=4)


@settings(derandomize=True, deadline=None)
@given(copies=st.lists(st.tuples(st.sampled_from(HOSTS), AMOUNTS), max_size=12))
def test_order_and_repeats_of_copies_do_not_matter(copies):
    """Guards against a sum that depends on the order or number of messages."""
    sent = [
        accounts.Account(
            pool="p",
            host=host,
            incarnation=1,
            amounts=tuple(("a", f"r{i}", value) for i, value in enumerate(amounts)),
        )
        for host, amounts in copies
    ]
    forward, backward = accounts.PoolAccounts(), accounts.PoolAccounts()
    for account in sent:
        forward.merge(account)
    for account in reversed(sent + sent):
        backward.merge(account)
    assert forward.open == backward.open
