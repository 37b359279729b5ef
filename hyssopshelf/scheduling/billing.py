"""Slot time accounts of the nodes, their exchange and the bill."""

import functools
from collections.abc import Callable

import attrs

from hyssopshelf import base, logs, messages
from hyssopshelf.membership import records, rendezvous
from hyssopshelf.scheduling import accounts, budgets, settlement, shares

PERIOD_SECONDS = 1.0
"""Time between two copies of the own accounts to their keepers; a node that dies
loses at most the slot time of this time and of one message."""

KEEPERS = 2
"""Peers that hold copies of a node's own accounts."""

WRITER_REPORTS_PER_SECOND = 8
"""Reports that the writer of a pool gets from the pool's hosts in a second. Hosts
of larger pools report less often, so the writer's traffic stays bounded."""

RELAY_SECONDS = 30.0
"""Longest time between two relayed copies of accounts whose nodes are gone. It
leaves several turns before the writer folds such an account."""

HOSTS_REFRESH_SECONDS = 10.0

HOSTS_REVIEW_SECONDS = 60.0
"""Time after which keepers and writers are chosen anew even if no host changed.
At the target size a choice takes about 2 ms for each pool."""

BYTES_PER_SECOND = 600.0
"""Part of the 1 KB/s that scheduling may send; the usage exchange has the rest."""

_LIVE = (records.HostState.ALIVE, records.HostState.SUSPECT)


@messages.register("scheduling.folded")
@attrs.frozen(kw_only=True)
class FoldedNotice:
    """The account of a host and its older ones are in the closed sum."""

    pool: str
    host: str
    incarnation: int


@attrs.define(kw_only=True)
class BillingState:
    """Accounts that a node holds: its own, copies for peers, and as a writer.

    Attributes
    ----------
    pools : dict of str to PoolAccounts
        Accounts by pool.
    settlements : dict of str to Settlement
        State of the writes to the store, by pool that this node writes.
    keepers : tuple of str
        Peers that hold copies of the own accounts.
    writers : dict of str to str
        Host that writes the bill, by pool.
    copied : dict of (str, str, int) to AccountCopy
        Last copy sent by keeper, pool and number of the part.
    reported_at, relayed_at : dict of str to float
        Time of the last report of the own account and of the last relayed
        copy to the writer, by pool.
    relayed : dict of str to int
        Number of copies relayed, to take turns among them, by pool.
    """

    pools: dict[str, accounts.PoolAccounts] = attrs.field(factory=dict)
    settlements: dict[str, settlement.Settlement] = attrs.field(factory=dict)
    keepers: tuple[str, ...] = ()
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
    """The part of one partner and rank in the bill of a pool.

    Attributes
    ----------
    slot_seconds : float
        Slot time served.
    used_share : float
        Part of the pool's whole slot time, 0 to 1.
    agreed_share : float
        Share of the bill that the split agrees for the partner, 0 to 1.
    """

    partner: str
    rank: str
    slot_seconds: float
    used_share: float
    agreed_share: float


def account(board, pool: str, partner: str, rank: str, slot_seconds: float) -> None:
    """Add slot time to this node's account and to its recent usage."""
    shares.record_usage(board, pool, partner, rank, slot_seconds)
    held = board.bills.pools.setdefault(pool, accounts.PoolAccounts())
    own = held.open.setdefault(_own_key(board), {})
    own[partner, rank] = own.get((partner, rank), 0.0) + slot_seconds


def total(board, pool: str) -> accounts.Amounts:
    """Return the slot seconds of a pool by partner and rank, as known here.

    The writer of the pool knows all accounts; another node knows its own and
    those that it keeps copies of.
    """
    held = board.bills.pools.get(pool)
    return held.total() if held is not None else {}


def bill(board, pool: str) -> tuple[BillLine, ...]:
    """Return the bill of a pool by partner and rank, as known here."""
    return bill_of_amounts(board, pool, total(board, pool))


def bill_of_document(board, pool: str, data: bytes) -> tuple[BillLine, ...]:
    """Return the bill of a stored document; any node can read it.

    Raises
    ------
    CodecError
        If the data is not a bill document.
    """
    held = accounts.PoolAccounts()
    held.adopt(accounts.decode_bill(data))
    return bill_of_amounts(board, pool, held.total())


def bill_of_amounts(
    board, pool: str, amounts: accounts.Amounts
) -> tuple[BillLine, ...]:
    """Return the lines of a bill with the agreed shares of the split in force."""
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
    """Copy the own accounts to keepers, report to writers, write bills."""
    state = board.bills
    if now - state.hosts_read_at >= HOSTS_REFRESH_SECONDS:
        state.hosts_read_at = now
        _follow_hosts(board, now)
    if now - state.copied_at >= PERIOD_SECONDS - shares.ROUNDING_SECONDS:
        state.copied_at = now
        _send_copies(board, now)
    for pool, writer in state.writers.items():
        if writer == board.identity.host:
            settlement.write(board, pool, now)
        else:
            state.settlements.pop(pool, None)


def flush(board, now: float) -> None:
    """Copy the own accounts to their keepers before the process stops."""
    board.bills.copied_at = now
    for keeper in board.bills.keepers:
        for send in _copies_for(board, keeper):
            send(now)


def store_answered(event: base.StoreAnswered, board, now: float) -> bool:
    """Apply a store answer; return whether it belongs to billing."""
    return settlement.store_answered(event, board, now)


@base.receive.register
def receive_copy(message: accounts.AccountCopy, board, host: str, now: float) -> None:
    """Merge a copy of an account; tell the sender if it is folded."""
    held = board.bills.pools.setdefault(message.pool, accounts.PoolAccounts())
    try:
        merged = held.merge(accounts.join_copy(message))
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
    held = board.bills.pools.get(message.pool)
    if held is None:
        return
    own = _own_key(board)
    if message.host == own[0] and message.incarnation >= own[1]:
        # The writer took this node for dead for a day. Its later slot time
        # cannot be added without counting the folded part twice.
        board.log(logs.LogEvent.ACCOUNT_FOLDED_EARLY, pool=message.pool)
        board.count("accounts_folded_early")
        return
    for key in list(held.open):
        if key[0] == message.host and key[1] <= message.incarnation:
            del held.open[key]


def _own_key(board) -> tuple[str, int]:
    return (board.identity.host, board.identity.incarnation)


def _follow_hosts(board, now: float) -> None:
    """Choose keepers and writers if hosts or pools changed since the last choice."""
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
    """Choose the keepers of the own accounts and the writer of each pool.

    Keepers in other places are preferred, as the hosts of a place may fail
    together. Suspected hosts count as live: most suspicions are refuted, and
    only a death tells that the choice may have to change.
    """
    state = board.bills
    own, place = board.identity.host, board.identity.place
    seeds = [(rendezvous.hash_text(own), own)]
    near, far = [], []
    for name, row in board.hosts.items():
        if name == own or row.state not in _LIVE:
            continue
        item = (rendezvous.hash_text(name), name)
        seeds.append(item)
        (near if row.place == place else far).append(item)
    key = rendezvous.hash_text(f"keepers/{own}")
    keepers = rendezvous.rank(key, far, KEEPERS)
    if len(keepers) < KEEPERS:
        keepers += rendezvous.rank(key, near, KEEPERS - len(keepers))
    state.keepers = tuple(keepers)
    for key in [key for key in state.copied if key[0] not in state.keepers]:
        del state.copied[key]
    state.writers = {
        pool: rendezvous.rank(rendezvous.hash_text(pool), seeds, 1)[0]
        for pool in state.pools
    }


def _send_copies(board, now: float) -> None:
    """Send copies to the keepers and the writers within the byte budget.

    The first keeper and the writers come in random order, so that none of them
    is left out for long when the budget does not suffice for all.
    """
    state = board.bills
    sends = [
        send for pool in sorted(state.pools) for send in _reports(board, pool, now)
    ]
    sends += [
        send for keeper in state.keepers[:1] for send in _copies_for(board, keeper)
    ]
    board.random.shuffle(sends)
    sends += [
        send for keeper in state.keepers[1:] for send in _copies_for(board, keeper)
    ]
    for send in sends:
        send(now)


def _copies_for(board, keeper: str) -> list[Callable[[float], None]]:
    """Return the sends of the parts that changed since their last copy."""
    state = board.bills
    own = _own_key(board)

    def send(key: tuple[str, str, int], part: accounts.AccountCopy, now: float):
        if _send(board, keeper, part, now):
            state.copied[key] = part

    sends = []
    for pool, held in sorted(state.pools.items()):
        if own not in held.open:
            continue
        parts = accounts.split_account(held.export(pool, *own))
        for number, part in enumerate(parts):
            key = (keeper, pool, number)
            if state.copied.get(key) != part:
                sends.append(functools.partial(send, key, part))
    return sends


def _reports(board, pool: str, now: float) -> list[Callable[[float], None]]:
    """Return the sends to the writer of a pool that are due.

    They hold the own account, and copies of accounts whose nodes are gone.
    """
    state = board.bills
    writer = state.writers.get(pool, board.identity.host)
    if writer == board.identity.host:
        return []
    senders = len(shares.serving_hosts(board, pool)) if pool in board.pools else 1
    period = max(PERIOD_SECONDS, senders / WRITER_REPORTS_PER_SECOND)
    held = state.pools[pool]
    own = _own_key(board)
    sends = []
    if own in held.open and _is_due(state.reported_at, pool, period, now):
        sends += _report(board, pool, own, state.reported_at)
    keys = [key for key in sorted(held.open) if key != own and not _runs(board, key)]
    if keys and _is_due(state.relayed_at, pool, min(period, RELAY_SECONDS), now):
        turn = state.relayed[pool] = state.relayed.get(pool, 0) + 1
        sends += _report(board, pool, keys[turn % len(keys)], state.relayed_at)
    return sends


def _is_due(times: dict[str, float], pool: str, period: float, now: float) -> bool:
    return now - times.get(pool, float("-inf")) >= period - shares.ROUNDING_SECONDS


def _report(
    board, pool: str, key: tuple[str, int], times: dict[str, float]
) -> list[Callable[[float], None]]:
    writer = board.bills.writers[pool]

    def send(part: accounts.AccountCopy, now: float) -> None:
        if _send(board, writer, part, now):
            times[pool] = now

    account_sent = board.bills.pools[pool].export(pool, *key)
    parts = accounts.split_account(account_sent)
    return [functools.partial(send, part) for part in parts]


def _runs(board, key: tuple[str, int]) -> bool:
    """Return whether the node of an account reports it to the writer itself."""
    row = board.hosts.get(key[0])
    return row is not None and row.state.value == "alive" and row.incarnation <= key[1]


def _send(board, host: str, message: object, now: float) -> bool:
    size = shares.encoded_bytes(board, message)
    if not board.bills.budget.spend(size, now):
        board.count("billing_messages_deferred")
        return False
    board.count("billing_bytes_sent", size)
    board.act(base.SendPeer(host=host, message=message))
    return True
