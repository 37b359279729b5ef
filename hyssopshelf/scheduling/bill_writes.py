"""Writes of the bill documents to the platform's store.

The writer of a pool keeps the document's revision and writes it by
compare-and-swap. Merging is idempotent and accounts are folded only within the
document. After a lost answer the writer reads the document back and merges again,
so slot time is neither lost nor counted twice. Two nodes that both consider
themselves the writer only duplicate work.
"""

import attrs

from hyssopshelf import base, exceptions, kvstore, logs
from hyssopshelf.scheduling import accounts

KEY_PREFIX = "billing/"
PERIOD_SECONDS = 60.0
RETRY_SECONDS = 1.0
MAXIMUM_RETRY_SECONDS = 60.0

ANSWER_SECONDS = 10.0
"""Time after which a call without an answer is treated as failed."""

SUPERSEDED_SECONDS = 300.0
"""Time between the first sight of a newer incarnation of a host and the folding of
the older account, in which late copies of the account can arrive."""


@attrs.define(kw_only=True)
class BillWriteState:
    """State of the writes of one pool's bill.

    Attributes
    ----------
    call_id : str
        Identifier of the pending call; empty if none.
    is_write : bool
        Whether the pending call is the compare-and-swap.
    revision : int or None
        Revision of the stored document; None if it must be read first.
    next_at : float
        Time of the next call.
    written : Bill or None
        Document of the last or the pending write.
    superseded_since : dict of (str, int) to float
        Time at which a newer incarnation of the host was first seen.
    """

    call_id: str = ""
    is_write: bool = False
    asked_at: float = 0.0
    revision: int | None = None
    next_at: float = float("-inf")
    retry_seconds: float = RETRY_SECONDS
    written: accounts.Bill | None = None
    superseded_since: dict[tuple[str, int], float] = attrs.field(factory=dict)


def write(board, pool: str, now: float) -> None:
    """Read or write the bill of a pool if a call is due."""
    state = board.bills.write_states.setdefault(pool, BillWriteState())
    pool_accounts = board.bills.pools.setdefault(pool, accounts.PoolAccounts())
    if state.call_id:
        if now - state.asked_at < ANSWER_SECONDS:
            return
        _fail(board, state, pool, now)
    if now < state.next_at:
        return
    key = KEY_PREFIX + pool
    if state.revision is None:
        state.is_write = False
        _call(board, state, kvstore.Get(key=key), now)
        return
    draft = pool_accounts.draft(
        pool, _find_ended(board, state, pool, now), set(board.hosts)
    )
    if state.written is not None and _has_same_accounts(draft, state.written):
        state.next_at = now + PERIOD_SECONDS
        return
    state.is_write = True
    state.written = draft
    operation = kvstore.CompareAndSwap(
        key=key, value=accounts.encode_bill(draft), revision=state.revision
    )
    _call(board, state, operation, now)


def store_answered(event: base.StoreAnswered, board, now: float) -> bool:
    """Apply a store answer; return whether it belongs to a bill write or read."""
    for pool, state in board.bills.write_states.items():
        if state.call_id == event.call_id:
            _apply(event, board, state, pool, now)
            return True
    return False


def _apply(
    event: base.StoreAnswered, board, state: BillWriteState, pool: str, now: float
) -> None:
    if event.result.is_err():
        _fail(board, state, pool, now)
        return
    state.call_id = ""
    answer = event.result.unwrap()
    swapped = state.is_write and answer.succeeded
    entry = answer.current if state.is_write else answer
    pool_accounts = board.bills.pools[pool]
    try:
        document = _decode(entry, pool)
    except exceptions.CodecError:
        # An unreadable document is not overwritten, as the bill would be lost.
        board.log(logs.LogEvent.BILL_UNREADABLE, pool=pool)
        state.revision = None
        state.next_at = now + PERIOD_SECONDS
        return
    pool_accounts.adopt(document)
    state.revision = entry.revision if entry is not None else 0
    state.retry_seconds = RETRY_SECONDS
    if swapped:
        state.next_at = now + PERIOD_SECONDS
        board.count("bills_written")
        return
    state.written = document
    state.next_at = now + (RETRY_SECONDS if state.is_write else 0.0)


def _decode(entry: kvstore.Entry | None, pool: str) -> accounts.Bill:
    if entry is None:
        return accounts.Bill(pool=pool)
    return accounts.decode_bill(entry.value)


def _call(board, state: BillWriteState, operation: object, now: float) -> None:
    state.call_id = board.next_id()
    state.asked_at = now
    board.act(base.CallStore(call_id=state.call_id, operation=operation))


def _fail(board, state: BillWriteState, pool: str, now: float) -> None:
    """Record a failed call; the next call reads the document again."""
    board.log(
        logs.LogEvent.BILL_OUTCOME_UNKNOWN, pool=pool, retry_seconds=state.retry_seconds
    )
    board.count("bill_calls_failed")
    state.call_id = ""
    state.revision = None
    state.next_at = now + state.retry_seconds
    state.retry_seconds = min(MAXIMUM_RETRY_SECONDS, 2.0 * state.retry_seconds)


def _has_same_accounts(draft: accounts.Bill, written: accounts.Bill) -> bool:
    return (
        draft.closed == written.closed
        and draft.accounts == written.accounts
        and draft.folded == written.folded
    )


def _find_ended(
    board, state: BillWriteState, pool: str, now: float
) -> set[tuple[str, int]]:
    """Return the incarnations whose accounts can no longer grow."""
    pool_accounts = board.bills.pools[pool]
    newest = {host: row.incarnation for host, row in board.hosts.items()}
    for host, incarnation in [*pool_accounts.open, _own_key(board)]:
        newest[host] = max(incarnation, newest.get(host, incarnation))
    since = {
        key: state.superseded_since.get(key, now)
        for key in pool_accounts.open
        if newest[key[0]] > key[1]
    }
    state.superseded_since = since
    ended = {
        key for key, seen_at in since.items() if now - seen_at >= SUPERSEDED_SECONDS
    }
    return ended | {
        key
        for key in pool_accounts.open
        if _is_absent(board, key[0]) and pool_accounts.is_unchanged(*key)
    }


def _own_key(board) -> tuple[str, int]:
    return (board.identity.host, board.identity.incarnation)


def _is_absent(board, host: str) -> bool:
    row = board.hosts.get(host)
    gone = row is None or row.state.value == "dead"
    return gone and host != board.identity.host
