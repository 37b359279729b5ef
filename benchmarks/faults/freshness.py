"""Checks of session guarantees, staleness bounds and strong reads."""

import bisect
from collections import defaultdict
from collections.abc import Iterator

from benchmarks.faults import cases, histories, logtree
from hyssopshelf import messages

Position = messages.Position


def check_sessions(case: cases.Case) -> Iterator[cases.Violation]:
    """Check read-your-writes and monotonic reads of each session.

    The floors of a session are the entries that it wrote or saw. They lie on one
    branch of the log unless a failover discarded one of them and the session
    wrote again before it learned of that. No log then contains all floors, so
    every later read has to be refused.
    """
    floors_by_session: dict[tuple[str, str], list[Position]] = defaultdict(list)
    for request in sorted(case.history.requests, key=lambda r: r.invoked_at):
        floors = floors_by_session[request.session, request.database]
        tree = case.find_tree(request.database)
        if request.succeeded and cases.is_write(request):
            _raise_floors(tree, floors, _find_written(case, request))
        elif cases.is_plain_read(request):
            candidates = case.find_read_entries(request)
            if candidates is None:
                continue
            observed = [
                entry
                for entry in candidates
                if not request.had_token
                or all(
                    _may_observe(tree, request.key, entry, floor) for floor in floors
                )
            ]
            if observed:
                _raise_floors(tree, floors, observed)
            else:
                yield cases.make_violation(
                    1,
                    "session_went_back",
                    request,
                    f"read {candidates} floors {floors}",
                )


def _may_observe(
    tree: logtree.LogTree, key: str, entry: Position | None, floor: Position
) -> bool:
    """Return whether ``entry`` may be a key's last write in a log with ``floor``."""
    if entry is not None and tree.contains(entry, floor):
        return True
    return entry == tree.find_last_write(key, floor)


def _find_written(case: cases.Case, request: histories.Request) -> list[Position]:
    """Return the entries that an acknowledged write may have appended.

    A retry with an idempotency key may have one entry on a discarded branch and
    one on a later branch. With majority acknowledgement the surviving one counts.
    """
    tree = case.find_tree(request.database)
    labels = case.find_labels(request)
    entries = [entry for label in labels for entry in tree.find(label)]
    if len(set(entries)) > 1 and request.acknowledge == "majority":
        survivor = case.history.survivors.get(request.database)
        entries = [entry for entry in entries if tree.contains(survivor, entry)]
    return entries


def _raise_floors(
    tree: logtree.LogTree, floors: list[Position], entries: list[Position | None]
) -> None:
    """Add the entry that a session wrote or saw to its floors.

    Nothing is added if there are several candidates, as the branch that the
    session observed is then unknown.
    """
    entry = entries[0] if len(set(entries)) == 1 else None
    if entry is None or any(tree.contains(floor, entry) for floor in floors):
        return
    floors[:] = [floor for floor in floors if not tree.contains(entry, floor)]
    floors.append(entry)


def check_bounded_reads(case: cases.Case) -> Iterator[cases.Violation]:
    """Check that bounded reads see all surviving writes older than the bound."""
    for request in case.history.requests:
        bounded = request.consistency is messages.Consistency.BOUNDED
        if not (cases.is_plain_read(request) and bounded):
            continue
        bound = request.staleness_seconds / case.history.slowest_rate
        missing = _find_missing(case, request, request.invoked_at - bound - 1e-9)
        if missing is not None:
            yield cases.make_violation(
                1, "read_older_than_bound", request, f"misses {missing}"
            )


def _find_missing(
    case: cases.Case, request: histories.Request, before: float
) -> Position | None:
    """Return a surviving write from before a time that a read missed."""
    tree = case.find_tree(request.database)
    survivor = case.history.survivors.get(request.database)
    writes = tree.find_writes(request.key, survivor)
    number = bisect.bisect_left(
        writes, before, key=lambda position: tree.entries[position].executed_at
    )
    candidates = case.find_read_entries(request)
    if candidates is None:
        return None
    for write in reversed(writes[:number]):
        if any(entry and tree.contains(entry, write) for entry in candidates):
            return None
        if not _may_miss(case, request, before, write, candidates):
            return write
    return None


def _may_miss(
    case: cases.Case,
    request: histories.Request,
    since: float,
    write: Position,
    candidates: list[Position | None],
) -> bool:
    """Return whether a read may have run in a term that discarded a write.

    The term must have been the latest at some time between ``since`` and the
    answer. The write survives because a later term started from a log with it.
    ``check_acknowledgements`` verifies that no majority had acknowledged it.
    """
    tree = case.find_tree(request.database)
    return any(
        tree.is_discarded(term, write)
        and (entry is None or entry.term == term or tree.is_kept(term, entry))
        for term in case.list_terms(request.database, since, request.answered_at)
        for entry in candidates
    )


def check_strong_reads(case: cases.Case) -> Iterator[cases.Violation]:
    """Check that strong reads see all writes acknowledged before they began."""
    acknowledged = _find_acknowledged(case)
    for request in case.history.requests:
        strong = request.consistency is messages.Consistency.STRONG
        if not (cases.is_plain_read(request) and strong):
            continue
        tree = case.find_tree(request.database)
        candidates = case.find_read_entries(request)
        if candidates is None:
            continue
        missed = [
            position
            for at, position in acknowledged[request.database, request.key]
            if at < request.invoked_at
            and not any(
                entry and tree.contains(entry, position) for entry in candidates
            )
            and not _may_miss(case, request, request.invoked_at, position, candidates)
        ]
        if missed:
            yield cases.make_violation(
                1, "strong_read_missed_write", request, f"{missed[-1]}"
            )


def _find_acknowledged(
    case: cases.Case,
) -> dict[tuple[str, str], list[tuple[float, Position]]]:
    """Return the surviving acknowledged writes of each key.

    Each is a pair of the time of the answer and the position of the entry.
    """
    found = defaultdict(list)
    for request in case.history.requests:
        if not (request.succeeded and cases.is_write(request)):
            continue
        tree = case.find_tree(request.database)
        survivor = case.history.survivors.get(request.database)
        for label in case.find_labels(request):
            for position in tree.find(label):
                if not tree.contains(survivor, position):
                    continue
                found[request.database, case.by_label[label][0].key].append(
                    (request.answered_at, position)
                )
    return found
