"""Exchange of slot time accounts between nodes, and the bill of a pool."""

import functools
from collections.abc import Callable

import attrs

from hyssopshelf import base, envelopes, logs
from hyssopshelf.membership import records, rendezvous
from hyssopshelf.scheduling import accounts, bill_writes, budgets, shares

PERIOD_SECONDS = 1.0
"""Time between two copies of a node's own accounts to its backup hosts. A node that
fails loses at most the slot time of this period and of one message."""

BACKUP_HOSTS = 2
"""Number of peers that hold copies of a node's own accounts."""

WRITER_REPORTS_PER_SECOND = 8
"""Reports per second that the writer of a pool receives from the pool's hosts. Hosts
of larger pools report less often, so the writer's traffic stays bounded."""

RELAY_SECONDS = 30.0
"""Maximum time between two relayed copies of accounts whose nodes are gone. It
allows several copies before the writer folds such an account."""

HOSTS_REFRESH_SECONDS = 10.0

HOSTS_REVIEW_SECONDS = 60.0
"""Time after which backup hosts and writers are chosen again even if no host
changed. At the target size a choice takes about 2 ms for each pool."""

BYTES_PER_SECOND = 600.0
"""Part of the scheduling budget of 1 KB/s; the usage exchange has the rest."""

_LIVE = (records.HostState.ALIVE, records.HostState.SUSPECT)


@envelopes.register("scheduling.folded")
@attrs.frozen(kw_only=True)
class FoldedNotice:
    """Notice that the accounts of a host up to an incarnation have been folded."""

    pool: str
    host: str
    incarnation: int


@attrs.define(kw_only=True)
class BillingState:
    """Accounts that a node holds: its own, copies for peers, and those it writes.

    Attributes
    ----------
    pools : dict of str to PoolAccounts
        Accounts by pool.
    write_states : dict of str to BillWriteState
        State of the store writes, by pool whose bill this node writes.
    backup_hosts : tuple of str
        Peers that hold copies of the own accounts.
    writers : dict of str to str
        Host that writes the bill, by pool.
    copied : dict of (str, str, int) to AccountCopy
        Last copy sent, by backup host, pool and number of the part.
    reported_at, relayed_at : dict of str to float
        Times of the last report of the own account and of the last relayed
        copy to the writer, by pool.
    relayed : dict of str to int
        Number of copies relayed by pool, for round-robin selection.
    """

    pools: dict[str, accounts.PoolAccounts] = attrs.field(factory=dict)
    write_states: dict[str, bill_writes.BillWriteState] = attrs.field(factory=dict)
    backup_hosts: tuple[str, ...] = ()
    writers: dict[str, str] = attrs.field(factory=dict)
    hosts_read_at: float = float("-inf")
    hosts_key: tuple = ()
    chosen_at: float = float("-inf")
    copied_at: float = float("-inf")
    copied: dict[tuple[str, str, int], accounts.AccountCopy] = attrs.field(factory=dict)
    reported_at: dict[str, float] = attrs.field(factory=dict)
    relayed_at: dict[str, float] = attrs.field(factory=dict)
    relayed: dict[str, int] = attrs.field(factory=dict)
    budget: budgets.ByteBudget = attrs.field(
        factory=lambda: budgets.ByteBudget(bytes_per_second=BYTES_PER_SECOND)
    )


@attrs.frozen(kw_only=True)
class BillLine:
    """Line of a pool's bill for one partner and rank.

    Attributes
    ----------
    slot_seconds : float
        Slot time served.
    used_share : float
        Part of the pool's whole slot time, 0 to 1.
    agreed_share : float
        Share of the bill that the agreed split assigns to the partner, 0 to 1.
    """

    partner: str
    rank: str
    slot_seconds: float
    used_share: float
    agreed_share: float


def account(board, pool: str, partner: str, rank: str, slot_seconds: float) -> None:
    """Add slot time to this node's account and to its recent usage."""
    shares.record_usage(board, pool, partner, rank, slot_seconds)
    pool_accounts = board.bills.pools.setdefault(pool, accounts.PoolAccounts())
    own = pool_accounts.open.setdefault(_own_key(board), {})
    own[partner, rank] = own.get((partner, rank), 0.0) + slot_seconds


def total(board, pool: str) -> accounts.Amounts:
    """Return the slot seconds of a pool by partner and rank, as known here.

    The writer of the pool knows all accounts; other nodes know their own and
    those of which they hold copies.
    """
    pool_accounts = board.bills.pools.get(pool)
    return pool_accounts.total() if pool_accounts is not None else {}


def bill(board, pool: str) -> tuple[BillLine, ...]:
    """Return the bill of a pool by partner and rank, as known at this node."""
    return bill_of_amounts(board, pool, total(board, pool))


def bill_of_document(board, pool: str, data: bytes) -> tuple[BillLine, ...]:
    """Return the bill of a stored document, which any node can compute.

    Raises
    ------
    CodecError
        If the data is not a bill document.
    """
    pool_accounts = accounts.PoolAccounts()
    pool_accounts.adopt(accounts.decode_bill(data))
    return bill_of_amounts(board, pool, pool_accounts.total())


def bill_of_amounts(
    board, pool: str, amounts: accounts.Amounts
) -> tuple[BillLine, ...]:
    """Return the bill lines of ``amounts`` with the agreed shares in force."""
    view = board.pools.get(pool)
    agreed = view.bill if view is not None else {}
    whole = sum(amounts.values())
    return tuple(
        BillLine(
            partner=partner,
            rank=rank,
            slot_seconds=seconds,
            used_share=seconds / whole if whole > 0.0 else 0.0,
            agreed_share=agreed.get(partner, 0.0),
        )
        for (partner, rank), seconds in sorted(amounts.items())
    )


def step(board, now: float) -> None:
    """Copy the own accounts to backup hosts, report to writers and write bills."""
    state = board.bills
    if now - state.hosts_read_at >= HOSTS_REFRESH_SECONDS:
        state.hosts_read_at = now
        _update_hosts(board, now)
    if now - state.copied_at >= PERIOD_SECONDS - shares.ROUNDING_SECONDS:
        state.copied_at = now
        _send_copies(board, now)
    for pool, writer in state.writers.items():
        if writer == board.identity.host:
            bill_writes.write(board, pool, now)
        else:
            state.write_states.pop(pool, None)


def flush(board, now: float) -> None:
    """Copy the own accounts to the backup hosts before the process stops."""
    board.bills.copied_at = now
    for backup_host in board.bills.backup_hosts:
        for send in _make_copy_sends(board, backup_host):
            send(now)


def store_answered(event: base.StoreAnswered, board, now: float) -> bool:
    """Apply a store answer; return whether it belongs to billing."""
    return bill_writes.store_answered(event, board, now)


@base.receive.register
def receive_copy(message: accounts.AccountCopy, board, host: str, now: float) -> None:
    """Merge a copy of an account; notify the sender if it was already folded."""
    pool_accounts = board.bills.pools.setdefault(message.pool, accounts.PoolAccounts())
    try:
        merged = pool_accounts.merge(accounts.join_copy(message))
    except IndexError:
        board.count("billing_copies_malformed")
        return
    if not merged:
        notice = FoldedNotice(
            pool=message.pool, host=message.host, incarnation=message.incarnation
        )
        _send(board, host, notice, now)


@base.receive.register
def receive_folded(message: FoldedNotice, board, host: str, now: float) -> None:
    """Drop accounts that the writer has folded."""
    pool_accounts = board.bills.pools.get(message.pool)
    if pool_accounts is None:
        return
    own = _own_key(board)
    if message.host == own[0] and message.incarnation >= own[1]:
        # The writer considered this node dead for a day. Slot time added later
        # cannot be billed without counting the folded part twice.
        board.log(logs.LogEvent.ACCOUNT_FOLDED_EARLY, pool=message.pool)
        board.count("accounts_folded_early")
        return
    for key in list(pool_accounts.open):
        if key[0] == message.host and key[1] <= message.incarnation:
            del pool_accounts.open[key]


def _own_key(board) -> tuple[str, int]:
    return (board.identity.host, board.identity.incarnation)


def _update_hosts(board, now: float) -> None:
    """Choose backup hosts and writers again if hosts or pools changed."""
    state = board.bills
    key = (board.membership.version, len(board.hosts))
    recent = now - state.chosen_at < HOSTS_REVIEW_SECONDS
    same_pools = state.pools.keys() == state.writers.keys()
    if recent and same_pools and key == state.hosts_key:
        return
    state.hosts_key = key
    state.chosen_at = now
    _choose_hosts(board)


def _choose_hosts(board) -> None:
    """Choose the backup hosts of the own accounts and the writer of each pool.

    Backup hosts in other places are preferred, as the hosts of a place may fail
    together. Suspected hosts count as live, since most suspicions are refuted and
    only a confirmed failure requires another choice.
    """
    state = board.bills
    own, place = board.identity.host, board.identity.place
    candidates = [(rendezvous.hash_text(own), own)]
    near, far = [], []
    for name, row in board.hosts.items():
        if name == own or row.state not in _LIVE:
            continue
        item = (rendezvous.hash_text(name), name)
        candidates.append(item)
        (near if row.place == place else far).append(item)
    key = rendezvous.hash_text(f"keepers/{own}")
    backup_hosts = rendezvous.rank(key, far, BACKUP_HOSTS)
    if len(backup_hosts) < BACKUP_HOSTS:
        backup_hosts += rendezvous.rank(key, near, BACKUP_HOSTS - len(backup_hosts))
    state.backup_hosts = tuple(backup_hosts)
    for key in [key for key in state.copied if key[0] not in state.backup_hosts]:
        del state.copied[key]
    state.writers = {
        pool: rendezvous.rank(rendezvous.hash_text(pool), candidates, 1)[0]
        for pool in state.pools
    }


def _send_copies(board, now: float) -> None:
    """Send copies to the backup hosts and the writers within the byte budget.

    The first backup host and the writers come in random order, so that none is
    starved if the budget does not cover all of them.
    """
    state = board.bills
    sends = [
        send
        for pool in sorted(state.pools)
        for send in _make_report_sends(board, pool, now)
    ]
    sends += [
        send
        for backup_host in state.backup_hosts[:1]
        for send in _make_copy_sends(board, backup_host)
    ]
    board.random.shuffle(sends)
    sends += [
        send
        for backup_host in state.backup_hosts[1:]
        for send in _make_copy_sends(board, backup_host)
    ]
    for send in sends:
        send(now)


def _make_copy_sends(board, backup_host: str) -> list[Callable[[float], None]]:
    """Return callables that send the parts that changed since their last copy."""
    state = board.bills
    own = _own_key(board)

    def send(key: tuple[str, str, int], part: accounts.AccountCopy, now: float):
        if _send(board, backup_host, part, now):
            state.copied[key] = part

    sends = []
    for pool, pool_accounts in sorted(state.pools.items()):
        if own not in pool_accounts.open:
            continue
        parts = accounts.split_account(pool_accounts.export(pool, *own))
        for number, part in enumerate(parts):
            key = (backup_host, pool, number)
            if state.copied.get(key) != part:
                sends.append(functools.partial(send, key, part))
    return sends


def _make_report_sends(board, pool: str, now: float) -> list[Callable[[float], None]]:
    """Return callables that send the reports due to the writer of a pool.

    The reports hold the own account and copies of accounts whose nodes are gone.
    """
    state = board.bills
    writer = state.writers.get(pool, board.identity.host)
    if writer == board.identity.host:
        return []
    senders = len(shares.serving_hosts(board, pool)) if pool in board.pools else 1
    period = max(PERIOD_SECONDS, senders / WRITER_REPORTS_PER_SECOND)
    pool_accounts = state.pools[pool]
    own = _own_key(board)
    sends = []
    if own in pool_accounts.open and _is_due(state.reported_at, pool, period, now):
        sends += _make_account_sends(board, pool, own, state.reported_at)
    keys = [
        key
        for key in sorted(pool_accounts.open)
        if key != own and not _reports_itself(board, key)
    ]
    if keys and _is_due(state.relayed_at, pool, min(period, RELAY_SECONDS), now):
        turn = state.relayed[pool] = state.relayed.get(pool, 0) + 1
        sends += _make_account_sends(
            board, pool, keys[turn % len(keys)], state.relayed_at
        )
    return sends


def _is_due(times: dict[str, float], pool: str, period: float, now: float) -> bool:
    return now - times.get(pool, float("-inf")) >= period - shares.ROUNDING_SECONDS


def _make_account_sends(
    board, pool: str, key: tuple[str, int], times: dict[str, float]
) -> list[Callable[[float], None]]:
    writer = board.bills.writers[pool]

    def send(part: accounts.AccountCopy, now: float) -> None:
        if _send(board, writer, part, now):
            times[pool] = now

    account_sent = board.bills.pools[pool].export(pool, *key)
    parts = accounts.split_account(account_sent)
    return [functools.partial(send, part) for part in parts]


def _reports_itself(board, key: tuple[str, int]) -> bool:
    """Return whether the node of an account reports it to the writer itself."""
    row = board.hosts.get(key[0])
    return row is not None and row.state.value == "alive" and row.incarnation <= key[1]


def _send(board, host: str, message: object, now: float) -> bool:
    size = shares.encoded_bytes(board, message)
    if not board.bills.budget.try_take(size, now):
        board.count("billing_messages_deferred")
        return False
    board.count("billing_bytes_sent", size)
    board.act(base.SendPeer(host=host, message=message))
    return True
