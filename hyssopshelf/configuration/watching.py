"""Watches the store on a few nodes, and repairs stored documents.

Each node decides locally whether it is one of the watchers. A watcher
disseminates the changes that it reads, so that a change whose accepting node
crashed right after the commit still reaches all nodes.
"""

import result

from hyssopshelf import base, exceptions, kvstore, logs
from hyssopshelf.configuration import (
    declarations,
    dissemination,
    documents,
    peers,
    progress,
    resources,
)

WATCHER_CHECK_SECONDS = 1.0
"""Interval between checks whether this node is a watcher."""

ISOLATED_SECONDS = 3.0
"""Time without a peer after which a node watches the store itself.

It is multiplied by a random factor from 1 to 2, so that after a network
failure the nodes do not all call the store at the same time.
"""

WAIT_SECONDS = 3.0
"""Maximum wait of one watch call; each waits a random 0.7 to 1 of it.

If the store accepts a call and never answers, the watcher sees no changes for
this time plus the 2 s limit of the store adapter, even if the store recovers. Together
the watchers make about one call a second, whatever the number of nodes.
"""

ANSWER_MARGIN_SECONDS = 3.0
"""Time beyond the wait after which a call times out."""

FIRST_RETRY_SECONDS = 0.5

MAXIMUM_RETRY_SECONDS = 5.0

REPAIR_SECONDS = 1.0
"""Delay of a repair, times one more than the watcher's index.

A watch event may arrive after a newer document from a peer. The delay lets the
event of the newer document arrive, and staggers the watchers so that one of
them repairs first.
"""

REPAIR_TIMEOUT_SECONDS = 5.0

MAXIMUM_REPAIRS = 8
"""Maximum number of concurrent repairs."""


def step(board, now: float) -> None:
    """Keep one watch call pending at the store while this node is a watcher."""
    if not board.configuration_ready:
        return
    watch = board.configuration.watch
    if now >= watch.check_at:
        watch.check_at = now + WATCHER_CHECK_SECONDS
        _update_watcher(board, now)
    if watch.index is None:
        return
    if watch.call_id and now >= watch.deadline:
        watch.call_id = ""
        _schedule_retry(board, now)
    if not watch.call_id and now >= watch.next_at:
        _call_store(board, now)
    _send_repairs(board, now)


def _update_watcher(board, now: float) -> None:
    """Start or stop watching, by rank among the hosts or by isolation."""
    state = board.configuration
    index = peers.watcher_index(board)
    if state.peer_heard_at is None:
        state.peer_heard_at = now
    # A node that watches because it is isolated continues until a peer is heard.
    factor = 1 if state.watch.index == peers.WATCHERS else board.random.uniform(1, 2)
    isolated = now - state.peer_heard_at >= ISOLATED_SECONDS * factor
    if index is None and isolated:
        index = peers.WATCHERS
    if index is None or state.watch.index is None:
        state.watch = progress.StoreWatch(check_at=state.watch.check_at)
    state.watch.index = index


def _schedule_retry(board, now: float) -> None:
    watch = board.configuration.watch
    watch.retry_seconds = min(
        max(2 * watch.retry_seconds, FIRST_RETRY_SECONDS), MAXIMUM_RETRY_SECONDS
    )
    watch.next_at = now + watch.retry_seconds * board.random.uniform(0.5, 1)
    # Read all documents again after a failure: the store may have been restored
    # from a backup and may reuse the same revisions for other changes.
    watch.revision = None


def _call_store(board, now: float) -> None:
    """Read all documents the first time, then wait for changes."""
    watch = board.configuration.watch
    watch.call_id = board.next_id()
    if watch.revision is None:
        watch.deadline = now + ANSWER_MARGIN_SECONDS
        operation = kvstore.ListPrefix(prefix=documents.KEY_PREFIX)
    else:
        wait_seconds = WAIT_SECONDS * board.random.uniform(0.7, 1)
        watch.deadline = now + wait_seconds + ANSWER_MARGIN_SECONDS
        operation = kvstore.Watch(
            prefix=documents.KEY_PREFIX,
            after_revision=watch.revision,
            wait_seconds=wait_seconds,
        )
    board.act(base.CallStore(call_id=watch.call_id, operation=operation))


def take_store_answer(event: base.StoreAnswered, board, now: float) -> bool:
    """Handle an answer of the store; return whether the call was made here."""
    watch = board.configuration.watch
    if event.call_id in watch.repair_calls:
        _finish_repair(board, watch.repair_calls.pop(event.call_id), event.result, now)
        return True
    if not event.call_id or event.call_id != watch.call_id:
        return False
    watch.call_id = ""
    if event.result.is_err():
        _schedule_retry(board, now)
        return True
    board.configuration.heard_at = now
    watch.retry_seconds = 0.0
    watch.next_at = now
    answer = event.result.unwrap()
    if isinstance(answer, kvstore.Changes):
        _apply_entries(board, answer.entries, now)
        # A revision below the one already read means that the store lost data;
        # all documents are then read again.
        lost = answer.revision < watch.revision
        watch.revision = None if lost else answer.revision
        return True
    _apply_entries(board, answer, now)
    watch.revision = max((entry.revision for entry in answer), default=0)
    offered = {entry.key for entry in answer}
    for pool in board.documents:
        if documents.key_of(pool) not in offered:
            _schedule_repair(board, pool, 0, (), now)
    return True


def _apply_entries(board, entries, now: float) -> None:
    """Apply newer documents and schedule the repair of older ones."""
    for entry in entries:
        if _is_in_force(board, entry):
            continue
        try:
            document = declarations.decode_document(entry.value)
        except exceptions.CodecError as error:
            dissemination.report_damage(board, entry.key, "store", error)
            continue
        board.configuration.watch.repairs.pop(document.pool, None)
        dissemination.apply_if_newer(board, document, now, source="store")
        held = board.documents[document.pool]
        if documents.supersedes(held, document):
            _schedule_repair(
                board, document.pool, entry.revision, document.change_ids, now
            )


def _is_in_force(board, entry) -> bool:
    """Return whether an entry is the document in force.

    Checksums of the encoded bytes are compared, because decoding a list of
    2,900 documents would block a serving node for about a second.
    """
    pool = entry.key.removeprefix(documents.KEY_PREFIX)
    held = board.configuration.table.summaries.get(pool)
    if held is None or held.checksum != documents.checksum_data(entry.value):
        return False
    board.configuration.watch.repairs.pop(pool, None)
    return True


def _schedule_repair(board, pool, revision, change_ids, now: float) -> None:
    watch = board.configuration.watch
    held = board.documents[pool].change_ids
    watch.repairs[pool] = progress.Repair(
        due=now + REPAIR_SECONDS * (1 + watch.index),
        revision=revision,
        lost_change_ids=tuple(item for item in change_ids if item not in held),
    )


def _send_repairs(board, now: float) -> None:
    """Overwrite older documents in the store with those in force."""
    watch = board.configuration.watch
    watch.repair_calls = {
        call_id: pool
        for call_id, pool in watch.repair_calls.items()
        if pool in watch.repairs and watch.repairs[pool].due > now
    }
    due = [pool for pool, repair in watch.repairs.items() if repair.due <= now]
    for pool in due[: MAXIMUM_REPAIRS - len(watch.repair_calls)]:
        repair = watch.repairs[pool]
        # The write is retried if no answer comes; a success removes the repair.
        repair.due = now + REPAIR_TIMEOUT_SECONDS
        call_id = board.next_id()
        watch.repair_calls[call_id] = pool
        document: resources.Document = board.documents[pool]
        operation = kvstore.CompareAndSwap(
            key=documents.key_of(pool),
            value=declarations.encode_document(document),
            revision=repair.revision,
        )
        board.act(base.CallStore(call_id=call_id, operation=operation))


def _finish_repair(board, pool: str, answer: result.Result, now: float) -> None:
    """Log a successful repair; after a conflict, examine the current entry."""
    watch = board.configuration.watch
    if answer.is_err():
        return
    swapped = answer.unwrap()
    repair = watch.repairs.pop(pool, None)
    if not swapped.succeeded:
        if swapped.current is not None:
            _apply_entries(board, (swapped.current,), now)
        return
    board.count("configuration_repaired_total")
    board.log(
        logs.LogEvent.STORE_REPAIRED,
        pool=pool,
        version=board.documents[pool].version,
        lost_changes=list(repair.lost_change_ids) if repair else [],
    )
