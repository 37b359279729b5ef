"""Loads a snapshot of all documents on a starting node.

The snapshot comes from a peer, or from the store if no peer answers. Before
the node becomes ready it compares its digest with further peers, so that a
peer that lags does not make it revert to an older version.
"""

import attrs

from hyssopshelf import base, envelopes, exceptions, kvstore, logs
from hyssopshelf.configuration import (
    declarations,
    dissemination,
    documents,
    peers,
    versions,
)

ANSWER_TIMEOUT_SECONDS = 0.5

MAXIMUM_SILENT = 3
"""Requests to peers that may time out before the store is read."""

MAXIMUM_OLD = 3
"""Maximum number of peers skipped because their configuration may be old."""

HOST_LIST_SECONDS = 2.0
"""Time that a node without any peer waits for the host list."""

UNREADY_RETRY_SECONDS = 0.25

UNREADY_LIMIT = 20
"""Answers of starting nodes after which any node may read the store.

When all nodes start together, the watchers read the store within a second and
the others take the snapshot from them; this limit covers failed watchers.
"""

STORE_TIMEOUT_SECONDS = 5.0

STORE_RETRY_SECONDS = 1.0

CONFIRMING_PEERS = 2

MAXIMUM_HOSTS_TO_NOTIFY = 8
"""Maximum number of starting nodes that a node notifies when it is ready."""

PART_DOCUMENTS = 32
"""Documents in one part; encoding them takes the peer a few milliseconds."""


@envelopes.register("configuration.snapshot_request")
@attrs.frozen(kw_only=True)
class SnapshotRequest:
    """Ask for the documents whose pool names come after a name."""

    after: str = ""


@attrs.frozen(kw_only=True)
class SnapshotEntry:
    """A document; without data it is too large and has to be pulled."""

    summary: versions.Summary
    data: bytes = b""


@envelopes.register("configuration.snapshot_part")
@attrs.frozen(kw_only=True)
class SnapshotPart:
    """Documents in the order of their pool names.

    Attributes
    ----------
    after : str
        Name from the request.
    ready : bool
        False if the sender has no snapshot itself.
    old : bool
        The sender has reached neither the store nor a peer for a while.
    last : bool
        No documents follow.
    """

    after: str
    ready: bool
    old: bool = False
    entries: tuple[SnapshotEntry, ...] = ()
    last: bool = False


@envelopes.register("configuration.snapshot_ready")
@attrs.frozen(kw_only=True)
class SnapshotReady:
    """Notify a host whose request was refused that the sender is now ready."""


@base.receive.register
def receive_request(message: SnapshotRequest, board, host, now):
    """Send a part of the snapshot to a starting node."""
    if not board.configuration_ready:
        hosts_to_notify = board.configuration.snapshot.hosts_to_notify
        if len(hosts_to_notify) < MAXIMUM_HOSTS_TO_NOTIFY:
            hosts_to_notify.add(host)
        part = SnapshotPart(after=message.after, ready=False)
        dissemination.send(board, host, part)
        return
    # Read before the request counts as contact: the flag has to tell whether
    # the documents were kept up to date until now.
    old = board.configuration.reported_old
    dissemination.record_contact(board, now)
    dissemination.send(board, host, _build_part(board, message.after, old))


def _build_part(board, after: str, old: bool) -> SnapshotPart:
    """Return the part of the snapshot that follows a pool name."""
    names = sorted(name for name in board.documents if name > after)
    entries = []
    size = 0
    for name in names[:PART_DOCUMENTS]:
        data = dissemination.compress(board, name)
        if len(data) > dissemination.PART_BYTES // 2:
            data = b""
        if size + len(data) > dissemination.PART_BYTES:
            break
        size += len(data)
        summary = board.configuration.table.summaries[name]
        entries.append(SnapshotEntry(summary=summary, data=data))
    return SnapshotPart(
        after=after,
        ready=True,
        old=old,
        entries=tuple(entries),
        last=len(entries) == len(names),
    )


@base.receive.register
def receive_ready(message: SnapshotReady, board, host, now):
    """Request the snapshot from a peer that has become ready."""
    snapshot = board.configuration.snapshot
    busy = snapshot.host or snapshot.call_id or snapshot.loaded
    if not board.configuration_ready and not busy:
        _request_part(board, host, now)


@base.receive.register
def receive_part(message: SnapshotPart, board, host, now):
    """Apply a part of the snapshot and ask for the next one."""
    snapshot = board.configuration.snapshot
    awaited = snapshot.host == host and snapshot.after == message.after
    if board.configuration_ready or not awaited:
        return
    if not message.ready:
        snapshot.unready += 1
        snapshot.host = ""
        snapshot.deadline = now + UNREADY_RETRY_SECONDS
        return
    if message.old and snapshot.old < MAXIMUM_OLD:
        snapshot.old += 1
        snapshot.host = ""
        snapshot.deadline = now
        return
    dissemination.record_contact(board, now)
    for entry in message.entries:
        _apply_entry(board, entry, host, now)
    if message.last:
        _start_confirmation(board, host, now)
        return
    if message.entries:
        snapshot.after = message.entries[-1].summary.pool
    _request_part(board, host, now)


def _apply_entry(board, entry: SnapshotEntry, host: str, now: float) -> None:
    """Apply a document of a snapshot, or pull it if it was left out."""
    if not board.configuration.table.is_newer(entry.summary):
        return
    if not entry.data:
        dissemination.pull_if_newer(board, entry.summary, host, False, now)
        return
    try:
        document = dissemination.decompress(entry.data, entry.summary)
    except exceptions.CodecError as error:
        dissemination.report_damage(board, entry.summary.pool, host, error)
        return
    dissemination.apply_if_newer(
        board, document, now, source=host, fresh=False, summary=entry.summary
    )


def _request_part(board, host: str, now: float) -> None:
    snapshot = board.configuration.snapshot
    snapshot.host = host
    snapshot.deadline = now + ANSWER_TIMEOUT_SECONDS
    dissemination.send(board, host, SnapshotRequest(after=snapshot.after))


def _start_confirmation(board, host: str, now: float) -> None:
    """Compare the snapshot with other peers before the node is ready."""
    snapshot = board.configuration.snapshot
    snapshot.loaded = True
    snapshot.host = ""
    snapshot.deadline = now + ANSWER_TIMEOUT_SECONDS
    chosen = peers.choose_peers(board, CONFIRMING_PEERS, {host})
    snapshot.confirming = set(chosen)
    for peer in chosen:
        digest = dissemination.Digest(root=board.configuration.table.root)
        dissemination.send(board, peer, digest)


def step(board, now: float) -> None:
    """Advance the snapshot of a node that is not ready."""
    if board.configuration_ready:
        return
    snapshot = board.configuration.snapshot
    if snapshot.started_at is None:
        snapshot.started_at = now
    if snapshot.loaded:
        _finish_confirmation(board, now)
        return
    if snapshot.call_id:
        if now >= snapshot.deadline:
            snapshot.call_id = ""
            snapshot.silent = 0
        return
    if now < snapshot.deadline:
        return
    if snapshot.host:
        snapshot.host = ""
        snapshot.silent += 1
    if _should_read_store(board, now):
        _read_store(board, now)
        return
    for host in peers.choose_peers(board, 1):
        _request_part(board, host, now)


def _finish_confirmation(board, now: float) -> None:
    """Become ready once peers have confirmed or timed out and no pull is pending."""
    snapshot = board.configuration.snapshot
    waiting = snapshot.confirming and now < snapshot.deadline
    if not waiting and not board.configuration.pulls:
        _become_ready(board, now, "peer")


def _should_read_store(board, now: float) -> bool:
    """Return whether the snapshot has to come from the store."""
    snapshot = board.configuration.snapshot
    if now < snapshot.store_at:
        return False
    if not peers.list_peers(board):
        return now - snapshot.started_at >= HOST_LIST_SECONDS
    if snapshot.silent >= MAXIMUM_SILENT or snapshot.unready >= UNREADY_LIMIT:
        return True
    return snapshot.unready > 0 and peers.watcher_index(board) is not None


def _read_store(board, now: float) -> None:
    snapshot = board.configuration.snapshot
    snapshot.call_id = board.next_id()
    snapshot.deadline = now + STORE_TIMEOUT_SECONDS
    snapshot.store_at = now + STORE_RETRY_SECONDS * board.random.uniform(1, 2)
    operation = kvstore.ListPrefix(prefix=documents.KEY_PREFIX)
    board.act(base.CallStore(call_id=snapshot.call_id, operation=operation))


def take_store_answer(event: base.StoreAnswered, board, now: float) -> bool:
    """Apply the stored documents; return whether the call was made here."""
    snapshot = board.configuration.snapshot
    if not event.call_id or event.call_id != snapshot.call_id:
        return False
    snapshot.call_id = ""
    snapshot.silent = snapshot.unready = 0
    snapshot.deadline = now
    if event.result.is_err() or board.configuration_ready:
        return True
    board.configuration.heard_at = now
    for entry in event.result.unwrap():
        try:
            document = declarations.decode_document(entry.value)
        except exceptions.CodecError as error:
            dissemination.report_damage(board, entry.key, "store", error)
            continue
        dissemination.apply_if_newer(board, document, now, source="store", fresh=False)
    _become_ready(board, now, "store")
    return True


def _become_ready(board, now: float, source: str) -> None:
    snapshot = board.configuration.snapshot
    board.configuration_ready = True
    for host in sorted(snapshot.hosts_to_notify):
        dissemination.send(board, host, SnapshotReady())
    board.log(
        logs.LogEvent.SNAPSHOT_TAKEN,
        source=source,
        pools=len(board.documents),
        seconds=round(now - snapshot.started_at, 2),
    )
