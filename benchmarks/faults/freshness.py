"""Checks of reads: sessions, staleness bounds and strong reads."""

import bisect
from collections import defaultdict
from collections.abc import Iterator

from benchmarks.faults import cases, histories, logtree
from hyssopshelf import messages

Position = messages.Position


def check_sessions(case: cases.Case) -> Iterator[cases.Violation]:
    """A session reads its writes and never goes back, on any node."""
    floors: dict[tuple[str, str], Position | None] = {}
    for request in sorted(case.history.requests, key=lambda r: r.invoked_at):
        place = (request.session, request.database)
        floor = floors.get(place)
        if request.succeeded and cases.is_write(request):
            yield from _check_session_write(case, request, floors, place)
        elif cases.is_plain_read(request) and request.had_token:
            tree = case.find_tree(request.database)
            candidates = case.find_read_entries(request)
            if candidates is None:
                continue
            last = tree.find_last_write(request.key, floor)
            seen = [
                entry
                for entry in candidates
                if entry == last or (entry is not None and tree.contains(entry, floor))
            ]
            if not seen:
                yield cases.blame(
                    1,
                    "session_went_back",
                    request,
                    f"read {candidates} floor {floor} last {last}",
                )
            else:
                floors[place] = _raise_floor(tree, floor, seen)
        elif cases.is_plain_read(request):
            tree = case.find_tree(request.database)
            candidates = case.find_read_entries(request)
            if candidates:
                floors[place] = _raise_floor(tree, floor, candidates)


def _raise_floor(
    tree: logtree.LogTree,
    floor: Position | None,
    candidates: list[Position | None],
) -> Position | None:
    """Return the later of a session's floor and the entry that it saw.

    With several candidates the lowest one is taken, so that the floor never
    exceeds what the session has certainly seen.
    """
    if None in candidates:
        return floor
    lowest = min(candidates)
    return lowest if tree.contains(lowest, floor) else floor


def _check_session_write(
    case: cases.Case,
    request: histories.Request,
    floors: dict[tuple[str, str], Position | None],
    place: tuple[str, str],
) -> Iterator[cases.Violation]:
    tree = case.find_tree(request.database)
    floor = floors.get(place)
    labels = case.find_labels(request)
    candidates = [position for label in labels for position in tree.find(label)]
    if not candidates:
        return
    if not any(tree.contains(entry, floor) for entry in candidates):
        # A repeat with an idempotency key returns the first outcome, which may
        # lie before what the session has seen since.
        if any(tree.contains(floor, entry) for entry in candidates):
            return
        yield cases.blame(
            1, "session_crossed_discard", request, f"{candidates} floor {floor}"
        )
    floors[place] = min(candidates)


def check_bounded_reads(case: cases.Case) -> Iterator[cases.Violation]:
    """A bounded read sees every surviving write older than its bound."""
    for request in case.history.requests:
        bounded = request.consistency is messages.Consistency.BOUNDED
        if not (cases.is_plain_read(request) and bounded):
            continue
        bound = request.staleness_seconds / case.history.slowest_rate
        missing = _find_missing(case, request, request.invoked_at - bound - 1e-9)
        if missing is not None:
            yield cases.blame(1, "read_older_than_bound", request, f"misses {missing}")


def _find_missing(
    case: cases.Case, request: histories.Request, before: float
) -> Position | None:
    """Return a surviving write before a time that a read did not see."""
    tree = case.find_tree(request.database)
    survivor = case.history.survivors.get(request.database)
    writes = tree.find_writes(request.key, survivor)
    number = bisect.bisect_left(
        writes, before, key=lambda position: tree.entries[position].executed_at
    )
    if not number:
        return None
    candidates = case.find_read_entries(request)
    if candidates is None:
        return None
    last = writes[number - 1]
    if any(entry and tree.contains(entry, last) for entry in candidates):
        return None
    return last


def check_strong_reads(case: cases.Case) -> Iterator[cases.Violation]:
    """A strong read sees every write acknowledged before it began."""
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
        ]
        if missed:
            yield cases.blame(1, "strong_read_missed_write", request, f"{missed[-1]}")


def _find_acknowledged(
    case: cases.Case,
) -> dict[tuple[str, str], list[tuple[float, Position]]]:
    """Return the surviving acknowledged writes of each key with their times."""
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
