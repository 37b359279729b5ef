"""The watch of the store by a few nodes, and the repair of the store.

Each node checks for itself whether it is one of the watchers. A watcher passes
on what the store offers, so that a change whose accepting node died right
after the commit still reaches the fleet.
"""

import result

from hyssopshelf import base, exceptions, logs, platform
from hyssopshelf.configuration import (
    declarations,
    dissemination,
    documents,
    peers,
    progress,
    resources,
)

DECIDE_SECONDS = 1.0
"""Time between two checks whether this node is a watcher."""

ISOLATED_SECONDS = 3.0
"""Time without a peer after which a node watches the store itself.

It is multiplied by a random number from 1 to 2, so that the nodes of a failed
network do not all call the store at the same moment.
"""

WAIT_SECONDS = 3.0
"""Longest wait of one watch; each waits a random part of at least 0.7 of it.

A store that takes a call and answers nothing leaves the watcher blind for this
time and the 2 s of the store adapter, also after the store is back. Together
the watchers make about one call a second, whatever the number of nodes.
"""

ANSWER_MARGIN_SECONDS = 3.0
"""Time beyond the wait after which a call is given up."""

FIRST_RETRY_SECONDS = 0.5

MAXIMUM_RETRY_SECONDS = 5.0

REPAIR_SECONDS = 1.0
"""Delay of a repair, times one more than the watcher's index.

An older event of the watch may arrive after a newer document of a peer; the
delay gives the newer event time to arrive, and one watcher time to repair.
"""

REPAIR_TIMEOUT_SECONDS = 5.0

MAXIMUM_REPAIRS = 8
"""Repairs that run at the same time."""


def step(board, now: float) -> None:
    """Keep one call waiting at the store while this node is a watcher."""
    if not board.configuration_ready:
        return
    watch = board.configuration.watch
    if now >= watch.decide_at:
        watch.decide_at = now + DECIDE_SECONDS
        _decide(board, now)
    if watch.index is None:
        return
    if watch.call_id and now >= watch.deadline:
        watch.call_id = ""
        _delay_retry(board, now)
    if not watch.call_id and now >= watch.next_at:
        _call(board, now)
    _send_repairs(board, now)


def _decide(board, now: float) -> None:
    """Become a watcher or stop being one."""
    own = board.configuration
    index = peers.watcher_index(board)
    if own.peer_heard_at is None:
        own.peer_heard_at = now
    # A node that watches because it is alone goes on until it hears a peer.
    factor = 1 if own.watch.index == peers.WATCHERS else board.random.uniform(1, 2)
    isolated = now - own.peer_heard_at >= ISOLATED_SECONDS * factor
    if index is None and isolated:
        index = peers.WATCHERS
    if index is None or own.watch.index is None:
        own.watch = progress.StoreWatch(decide_at=own.watch.decide_at)
    own.watch.index = index


def _delay_retry(board, now: float) -> None:
    watch = board.configuration.watch
    watch.retry_seconds = min(
        max(2 * watch.retry_seconds, FIRST_RETRY_SECONDS), MAXIMUM_RETRY_SECONDS
    )
    watch.next_at = now + watch.retry_seconds * board.random.uniform(0.5, 1)
    # All is read again after a failure: the store may have been restored from
    # an older copy, after which it uses the same revisions for other changes.
    watch.revision = None


def _call(board, now: float) -> None:
    """Read all documents the first time, then wait for changes."""
    watch = board.configuration.watch
    watch.call_id = board.next_id()
    if watch.revision is None:
        watch.deadline = now + ANSWER_MARGIN_SECONDS
        operation = platform.ListPrefix(prefix=documents.KEY_PREFIX)
    else:
        wait_seconds = WAIT_SECONDS * board.random.uniform(0.7, 1)
        watch.deadline = now + wait_seconds + ANSWER_MARGIN_SECONDS
        operation = platform.Watch(
            prefix=documents.KEY_PREFIX,
            after_revision=watch.revision,
            wait_seconds=wait_seconds,
        )
    board.act(base.CallStore(call_id=watch.call_id, operation=operation))


def take_store_answer(event: base.StoreAnswered, board, now: float) -> bool:
    """Apply what the store answered; return whether the answer belongs here."""
    watch = board.configuration.watch
    if event.call_id in watch.repair_calls:
        _finish_repair(board, watch.repair_calls.pop(event.call_id), event.result, now)
        return True
    if not event.call_id or event.call_id != watch.call_id:
        return False
    watch.call_id = ""
    if event.result.is_err():
        _delay_retry(board, now)
        return True
    board.configuration.heard_at = now
    watch.retry_seconds = 0.0
    watch.next_at = now
    answer = event.result.unwrap()
    if isinstance(answer, platform.Changes):
        _take_entries(board, answer.entries, now)
        # The store lost data if it is behind what was read; all is read again.
        lost = answer.revision < watch.revision
        watch.revision = None if lost else answer.revision
        return True
    _take_entries(board, answer, now)
    watch.revision = max((entry.revision for entry in answer), default=0)
    offered = {entry.key for entry in answer}
    for pool in board.documents:
        if documents.key_of(pool) not in offered:
            _plan_repair(board, pool, 0, (), now)
    return True


def _take_entries(board, entries, now: float) -> None:
    """Apply newer documents and plan the repair of older ones."""
    for entry in entries:
        if _is_held(board, entry):
            continue
        try:
            document = declarations.decode_document(entry.value)
        except exceptions.CodecError as error:
            dissemination.report_damage(board, entry.key, "store", error)
            continue
        board.configuration.watch.repairs.pop(document.pool, None)
        dissemination.adopt(board, document, now, source="store")
        held = board.documents[document.pool]
        if documents.supersedes(held, document):
            _plan_repair(board, document.pool, entry.revision, document.change_ids, now)


def _is_held(board, entry) -> bool:
    """Return whether an entry is the document in force.

    The bytes are compared by their checksum. Decoding a list of 2,900
    documents would stop a serving node for about a second.
    """
    pool = entry.key.removeprefix(documents.KEY_PREFIX)
    held = board.configuration.table.summaries.get(pool)
    if held is None or held.checksum != documents.checksum_data(entry.value):
        return False
    board.configuration.watch.repairs.pop(pool, None)
    return True


def _plan_repair(board, pool, revision, change_ids, now: float) -> None:
    watch = board.configuration.watch
    held = board.documents[pool].change_ids
    watch.repairs[pool] = progress.Repair(
        due=now + REPAIR_SECONDS * (1 + watch.index),
        revision=revision,
        lost_change_ids=tuple(item for item in change_ids if item not in held),
    )


def _send_repairs(board, now: float) -> None:
    """Write the held version of a document over a lower one in the store."""
    watch = board.configuration.watch
    watch.repair_calls = {
        call_id: pool
        for call_id, pool in watch.repair_calls.items()
        if pool in watch.repairs and watch.repairs[pool].due > now
    }
    due = [pool for pool, repair in watch.repairs.items() if repair.due <= now]
    for pool in due[: MAXIMUM_REPAIRS - len(watch.repair_calls)]:
        repair = watch.repairs[pool]
        # The write is repeated if no answer comes; a success removes the plan.
        repair.due = now + REPAIR_TIMEOUT_SECONDS
        call_id = board.next_id()
        watch.repair_calls[call_id] = pool
        document: resources.Document = board.documents[pool]
        operation = platform.CompareAndSwap(
            key=documents.key_of(pool),
            value=declarations.encode_document(document),
            revision=repair.revision,
        )
        board.act(base.CallStore(call_id=call_id, operation=operation))


def _finish_repair(board, pool: str, answer: result.Result, now: float) -> None:
    """Log a repair that succeeded; look again at what is there otherwise."""
    watch = board.configuration.watch
    if answer.is_err():
        return
    swapped = answer.unwrap()
    repair = watch.repairs.pop(pool, None)
    if not swapped.succeeded:
        if swapped.current is not None:
            _take_entries(board, (swapped.current,), now)
        return
    board.count("configuration_repaired_total")
    board.log(
        logs.LogEvent.STORE_REPAIRED,
        pool=pool,
        version=board.documents[pool].version,
        lost_changes=list(repair.lost_change_ids) if repair else [],
    )
