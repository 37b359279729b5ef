"""Gossip dissemination of documents between nodes.

A node that applies a new version offers it to random peers; a peer that lacks
it pulls the document and offers it in turn. Anti-entropy, a digest comparison
with one random peer per second, finds what the offers missed.
"""

import zlib

import attrs

from hyssopshelf import base, envelopes, exceptions, logs
from hyssopshelf.configuration import (
    application,
    declarations,
    documents,
    peers,
    progress,
    resources,
    validation,
    versions,
)

OFFERS_PER_ROUND = 3

OFFER_ROUNDS = 3
"""Rounds of offers after a change.

With f offers per node, about exp(-f) of the nodes receive none: 5% after one
round of 3, 0.01% after three rounds, which is less than one node of 5,100.
"""

ROUND_SECONDS = 0.1

DIGEST_SECONDS = 1.0

LISTED_BUCKETS = 8
"""Maximum number of buckets listed in one message, about 13 KB at 2,900 pools."""

REPEATED_DIGEST_SECONDS = 0.2
"""Digest interval while a node may be behind: more buckets differ than were
listed, or no message of a peer has arrived."""

PEER_SILENCE_SECONDS = 2.5
"""Time without a message of a peer after which digests are sent more often."""

PULL_TIMEOUT_SECONDS = 0.2
"""Timeout of one part. The longest round trip is about 25 ms, and the largest
document takes about 50 ms to encode."""

OLD_AFTER_SECONDS = 5.0
"""Time without contact after which the configuration may be old."""

PART_BYTES = 192 * 1024
"""Largest part of a compressed document; a message stays below 256 KB."""

_CACHED_DOCUMENTS = 4
"""Compressed documents cached; a change is sent three times in a short time."""


@envelopes.register("configuration.offer")
@attrs.frozen(kw_only=True)
class Offer:
    """The sender holds these documents; ``fresh`` if they were just changed."""

    summaries: tuple[versions.Summary, ...]
    fresh: bool = False


@envelopes.register("configuration.pull")
@attrs.frozen(kw_only=True)
class PullRequest:
    """Ask for a document, compressed, from a byte offset on."""

    pool: str
    offset: int = 0


@envelopes.register("configuration.part")
@attrs.frozen(kw_only=True)
class Part:
    """Bytes of a compressed document; ``total`` is its whole length."""

    summary: versions.Summary
    offset: int
    total: int
    data: bytes


@envelopes.register("configuration.digest")
@attrs.frozen(kw_only=True)
class Digest:
    """The digest of all documents that the sender holds."""

    root: int


@envelopes.register("configuration.buckets")
@attrs.frozen(kw_only=True)
class Buckets:
    """Answer to a digest: empty if equal, else the hash of each bucket."""

    buckets: tuple[int, ...]


@envelopes.register("configuration.listing")
@attrs.frozen(kw_only=True)
class Listing:
    """The sender's documents in the buckets that differ."""

    buckets: tuple[int, ...]
    summaries: tuple[versions.Summary, ...]


def send(board, host: str, message: object) -> None:
    """Send a message to a peer."""
    board.act(base.SendPeer(host=host, message=message))


def record_contact(board, now: float) -> None:
    """Record that a peer was reached."""
    board.configuration.peer_heard_at = now
    board.configuration.heard_at = now


def apply_if_newer(
    board,
    document: resources.Document,
    now: float,
    source: str,
    fresh: bool = True,
    summary: versions.Summary | None = None,
) -> bool:
    """Put a document in force if it is newer than the one held.

    Parameters
    ----------
    board : blackboard.Blackboard
        State of the node.
    document : Document
        An accepted document.
    now : float
        Time on the node's clock, in seconds.
    source : str
        Where it came from, for the log.
    fresh : bool
        Send all rounds of offers; otherwise one, since most peers have it.
    summary : Summary or None
        Summary of the document, None if it has to be computed.

    Returns
    -------
    bool
        Whether the document was applied.
    """
    held = board.documents.get(document.pool)
    if held is not None and held.version == document.version and held != document:
        _report_divergence(board, held, document, source)
    if not documents.supersedes(document, held):
        return False
    application.apply_document(board, document, now, source)
    board.configuration.table.update(summary or summarize(document))
    board.count("configuration_applied_total")
    if board.configuration_ready:
        board.configuration.pushes[document.pool] = progress.Push(
            rounds=OFFER_ROUNDS if fresh else 1,
            next_at=now,
            informed={source},
        )
        # Waiting for the next tick would add 25 ms on average at each hop. If
        # several documents are pending, they wait and are sent in one message.
        if len(board.configuration.pushes) == 1:
            _send_offers(board, now)
    return True


def _report_divergence(board, held, document, source: str) -> None:
    board.count("configuration_diverged_total")
    board.log(
        logs.LogEvent.CONFIGURATION_DIVERGED,
        pool=document.pool,
        version=document.version,
        source=source,
        kept="received" if documents.supersedes(document, held) else "held",
        dropped_changes=sorted(set(held.change_ids) ^ set(document.change_ids)),
    )


def summarize(document: resources.Document) -> versions.Summary:
    """Return the summary of a document."""
    return versions.Summary(
        version=document.version,
        checksum=documents.checksum(document),
        pool=document.pool,
    )


def compress(board, pool: str) -> bytes:
    """Return the compressed form of a document in force."""
    encoded = board.configuration.encoded
    summary = board.configuration.table.summaries[pool]
    kept = encoded.get(pool)
    if kept is not None and kept[0] == summary:
        return kept[1]
    data = zlib.compress(declarations.encode_document(board.documents[pool]))
    encoded.pop(pool, None)
    while len(encoded) >= _CACHED_DOCUMENTS:
        del encoded[next(iter(encoded))]
    encoded[pool] = (summary, data)
    return data


def decompress(data: bytes, summary: versions.Summary) -> resources.Document:
    """Return the document of compressed data.

    Raises
    ------
    CodecError
        If the data is corrupt or does not match the summary.
    """
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(data, 2 * validation.MAXIMUM_DOCUMENT_BYTES)
    except zlib.error as error:
        raise exceptions.CodecError(f"damaged document: {error}") from error
    if documents.checksum_data(text) != summary.checksum:
        raise exceptions.CodecError("document differs from its checksum")
    document = declarations.decode_document(text)
    if (document.pool, document.version) != (summary.pool, summary.version):
        raise exceptions.CodecError("document differs from its summary")
    return document


def pull_if_newer(
    board, summary: versions.Summary, host: str, fresh: bool, now: float
) -> None:
    """Pull an offered document if it is newer than the one held."""
    push = board.configuration.pushes.get(summary.pool)
    if push is not None:
        push.informed.add(host)
    if not board.configuration.table.is_newer(summary):
        return
    pull = board.configuration.pulls.get(summary.pool)
    if pull is not None and pull.summary >= summary:
        if pull.summary == summary and host != pull.host and host not in pull.others:
            pull.others.append(host)
        return
    board.configuration.pulls[summary.pool] = progress.Pull(
        summary=summary, host=host, deadline=now + PULL_TIMEOUT_SECONDS, fresh=fresh
    )
    send(board, host, PullRequest(pool=summary.pool))


@base.receive.register
def receive_offer(message: Offer, board, host, now):
    """Pull the offered documents that are newer than those held."""
    record_contact(board, now)
    for summary in message.summaries:
        pull_if_newer(board, summary, host, message.fresh, now)
    board.configuration.snapshot.confirming.discard(host)


@base.receive.register
def receive_pull(message: PullRequest, board, host, now):
    """Send the part of a document that a peer asks for."""
    record_contact(board, now)
    summary = board.configuration.table.summaries.get(message.pool)
    if summary is None:
        return
    data = compress(board, message.pool)
    part = data[message.offset : message.offset + PART_BYTES]
    send(
        board,
        host,
        Part(summary=summary, offset=message.offset, total=len(data), data=part),
    )


@base.receive.register
def receive_part(message: Part, board, host, now):
    """Append a part of a document and apply the document once it is complete."""
    record_contact(board, now)
    pool = message.summary.pool
    pull = board.configuration.pulls.get(pool)
    if pull is None or message.summary < pull.summary:
        return
    # A complete document is accepted even from a peer that timed out.
    if pull.host != host and len(message.data) < message.total:
        return
    if pull.host != host:
        pull.parts.clear()
    if message.summary > pull.summary:
        # The peer now has a newer version; discard the parts of the older one.
        pull.summary = message.summary
        pull.parts.clear()
        if message.offset != 0:
            _request_next_part(board, pull, pool, now)
            return
    if message.offset != len(pull.parts):
        return
    pull.parts += message.data
    if len(pull.parts) < message.total:
        if message.data:
            _request_next_part(board, pull, pool, now)
        return
    del board.configuration.pulls[pool]
    try:
        document = decompress(bytes(pull.parts), pull.summary)
    except exceptions.CodecError as error:
        report_damage(board, pool, host, error)
        return
    apply_if_newer(board, document, now, host, fresh=pull.fresh, summary=pull.summary)


def report_damage(board, pool: str, source: str, error: Exception) -> None:
    """Count and log a document that cannot be decoded."""
    board.count("configuration_damaged_total")
    board.log(
        logs.LogEvent.CONFIGURATION_DAMAGED, pool=pool, source=source, reason=str(error)
    )


def _request_next_part(board, pull: progress.Pull, pool: str, now: float) -> None:
    """Ask for the next part of a document."""
    pull.deadline = now + PULL_TIMEOUT_SECONDS
    send(board, pull.host, PullRequest(pool=pool, offset=len(pull.parts)))


@base.receive.register
def receive_digest(message: Digest, board, host, now):
    """Answer a peer's digest with this node's buckets if it differs."""
    record_contact(board, now)
    table = board.configuration.table
    # A node without a snapshot has nothing to compare.
    differs = board.configuration_ready and message.root != table.root
    send(board, host, Buckets(buckets=tuple(table.buckets) if differs else ()))


@base.receive.register
def receive_buckets(message: Buckets, board, host, now):
    """Send the summaries of this node in the buckets that differ from a peer's."""
    record_contact(board, now)
    table = board.configuration.table
    differing = {
        index
        for index, value in enumerate(message.buckets[: versions.BUCKETS])
        if value != table.buckets[index]
    }
    if not differing:
        board.configuration.snapshot.confirming.discard(host)
        return
    listed = set(sorted(differing)[:LISTED_BUCKETS])
    if listed != differing:
        board.configuration.digest_at = now + REPEATED_DIGEST_SECONDS
    send(
        board,
        host,
        Listing(buckets=tuple(listed), summaries=table.list_buckets(listed)),
    )


@base.receive.register
def receive_listing(message: Listing, board, host, now):
    """Pull documents that are newer at a peer; offer those it lacks or has older."""
    record_contact(board, now)
    peer_summaries = {summary.pool: summary for summary in message.summaries}
    for summary in message.summaries:
        pull_if_newer(board, summary, host, False, now)
    newer = tuple(
        summary
        for summary in board.configuration.table.list_buckets(set(message.buckets))
        if summary.pool not in peer_summaries or summary > peer_summaries[summary.pool]
    )
    if newer:
        send(board, host, Offer(summaries=newer))


def step(board, now: float) -> None:
    """Send due offers and digests, and retry pulls that timed out at other peers."""
    _send_offers(board, now)
    _expire_pulls(board, now)
    if board.configuration_ready and now >= board.configuration.digest_at:
        _compare_digest(board, now)
    _check_age(board, now)


def _send_offers(board, now: float) -> None:
    """Offer changed documents to random peers, one message for all due ones."""
    pushes = board.configuration.pushes
    due = {pool: push for pool, push in pushes.items() if push.next_at <= now}
    if not due:
        return
    summaries = board.configuration.table.summaries
    known = set.intersection(*(push.informed for push in due.values()))
    chosen = peers.choose_peers(board, OFFERS_PER_ROUND, known)
    message = Offer(summaries=tuple(summaries[pool] for pool in due), fresh=True)
    for host in chosen:
        send(board, host, message)
    for pool, push in due.items():
        push.informed.update(chosen)
        push.rounds -= 1
        push.next_at = now + ROUND_SECONDS
        if push.rounds <= 0 or not chosen:
            del pushes[pool]


def _expire_pulls(board, now: float) -> None:
    """Retry pulls that timed out at the next peer that offered the document."""
    pulls = board.configuration.pulls
    for pool in [pool for pool, pull in pulls.items() if pull.deadline <= now]:
        pull = pulls[pool]
        if not pull.others:
            # Compare digests with another peer without delay.
            del pulls[pool]
            board.configuration.digest_at = now
            continue
        pull.host = pull.others.pop(0)
        pull.parts.clear()
        _request_next_part(board, pull, pool, now)


def _compare_digest(board, now: float) -> None:
    """Send the digest to one random peer."""
    state = board.configuration
    heard_at = now if state.peer_heard_at is None else state.peer_heard_at
    isolated = now - heard_at >= PEER_SILENCE_SECONDS
    seconds = REPEATED_DIGEST_SECONDS if isolated else DIGEST_SECONDS
    # The jitter keeps nodes that started together from synchronising.
    state.digest_at = now + seconds * board.random.uniform(0.8, 1)
    for host in peers.choose_any(board):
        send(board, host, Digest(root=board.configuration.table.root))


def _check_age(board, now: float) -> None:
    """Log when the node loses and regains contact with the store and all peers."""
    state = board.configuration
    if state.heard_at is None:
        state.heard_at = now
    old = now - state.heard_at >= OLD_AFTER_SECONDS
    board.counters["configuration_may_be_old"] = float(old)
    if old == state.reported_old:
        return
    state.reported_old = old
    if old:
        board.log(
            logs.LogEvent.CONFIGURATION_MAY_BE_OLD,
            seconds=round(now - state.heard_at, 1),
            reason="neither the store nor a peer was reached",
        )
    else:
        board.log(logs.LogEvent.CONFIGURATION_CONTACT_REGAINED)
