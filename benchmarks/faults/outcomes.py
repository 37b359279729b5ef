"""Checks of answers, at-most-once execution, durability and terms."""

from collections.abc import Iterator

from benchmarks.faults import cases, histories
from hyssopshelf import exceptions, messages

Operation = messages.Operation
Position = messages.Position


def check_answers(case: cases.Case) -> Iterator[cases.Violation]:
    """Check that each request has at most one answer, its own and intact.

    Forged session tokens must be rejected and genuine ones accepted.
    """
    for request in case.history.requests:
        if request.answers > 1:
            yield cases.make_violation(4, "answered_twice", request)
        if request.answered_at is None:
            continue
        if request.answered_id != request.id:
            yield cases.make_violation(
                4, "answer_of_other_request", request, request.answered_id
            )
        if request.forged and request.succeeded:
            yield cases.make_violation(1, "forged_token_accepted", request)
        refused = request.error is exceptions.ErrorKind.BAD_TOKEN
        if refused and not request.forged:
            yield cases.make_violation(1, "genuine_token_refused", request)
        if request.succeeded and request.operation is Operation.GET:
            yield from _check_value(case, request)


def _check_value(
    case: cases.Case, request: histories.Request
) -> Iterator[cases.Violation]:
    if request.value is None:
        return
    labels = histories.parse_value(request.database, request.key, request.value)
    if labels is None:
        yield cases.make_violation(4, "value_of_other_request", request, request.value)
        return
    if request.transaction:
        return
    tree = case.find_tree(request.database)
    for position in tree.find(labels[-1]):
        if tree.entries[position].executed_at > request.answered_at:
            continue
        writes = tree.find_writes(request.key, position)
        logged = [
            label
            for write in writes
            for key, label in tree.entries[write].writes
            if key == request.key
        ]
        if logged[-len(labels) :] == labels:
            return
    yield cases.make_violation(4, "value_not_in_any_log", request, request.value)


def check_not_run(case: cases.Case) -> Iterator[cases.Violation]:
    """Check that a write reported as not run has no entry in any log."""
    for request in case.history.requests:
        if request.error is None or not cases.is_reported_not_run(request):
            continue
        if request.operation is Operation.COMMIT:
            attempts = [
                other
                for other in case.by_transaction[request.transaction]
                if other.operation is Operation.COMMIT
            ]
        elif request.label:
            attempts = case.by_label[request.label]
        else:
            continue
        tree = case.find_tree(request.database)
        for label in case.find_labels(request):
            for position in tree.find(label):
                entry = tree.entries[position]
                if not _is_explained(entry, request, attempts):
                    yield cases.make_violation(
                        5, "ran_after_not_run", request, f"{request.error} {position}"
                    )


def _is_explained(
    entry: histories.LogEntry,
    request: histories.Request,
    attempts: list[histories.Request],
) -> bool:
    """Return whether another attempt of the write may have appended an entry."""
    return entry.executed_at < request.invoked_at or any(
        other is not request
        and other.invoked_at <= entry.executed_at
        and not cases.is_reported_not_run(other)
        for other in attempts
    )


def check_at_most_once(case: cases.Case) -> Iterator[cases.Violation]:
    """Check that a write has at most one entry.

    With an idempotency key it may have one entry on each branch of the log.
    """
    for label, requests in case.by_label.items():
        request = requests[0]
        tree = case.find_tree(request.database)
        positions = tree.find(label)
        for position in positions:
            written = [name for _, name in tree.entries[position].writes]
            if written.count(label) > 1:
                yield cases.make_violation(
                    6, "ran_twice", request, f"twice in {position}"
                )
        pairs = [
            (first, second)
            for number, second in enumerate(positions)
            for first in positions[:number]
        ]
        for first, second in pairs:
            nested = tree.contains(second, first) or tree.contains(first, second)
            if nested or not request.idempotency_key:
                yield cases.make_violation(6, "ran_twice", request, f"{first} {second}")


def check_acknowledgements(case: cases.Case) -> Iterator[cases.Violation]:
    """Check that an acknowledged write is in every log that its mode requires."""
    for request in case.history.requests:
        if not (request.succeeded and cases.is_write(request)):
            continue
        tree = case.find_tree(request.database)
        survivor = case.history.survivors.get(request.database)
        for label in case.find_labels(request):
            positions = tree.find(label)
            if not positions:
                yield cases.make_violation(2, "acknowledged_but_not_written", request)
                continue
            survives = any(tree.contains(survivor, position) for position in positions)
            if request.acknowledge == "majority":
                missing_terms = _find_missing_terms(case, request, positions)
                if not survives or missing_terms:
                    detail = f"{positions} not in terms {missing_terms}"
                    yield cases.make_violation(
                        2, "majority_write_lost", request, detail
                    )
            elif not survives and _was_replaced(case, request, positions):
                yield cases.make_violation(
                    2, "acknowledged_by_replaced_primary", request, f"{positions}"
                )


def _find_missing_terms(
    case: cases.Case, request: histories.Request, positions: list[Position]
) -> list[int]:
    """Return the terms since the acknowledgement whose log lacks the write."""
    at = case.history.acknowledged_at.get(request.id, request.answered_at)
    tree = case.find_tree(request.database)
    return [
        term
        for term in case.list_terms(request.database, at, float("inf"))
        if not any(
            position.term == term or not tree.is_discarded(term, position)
            for position in positions
            if position.term <= term
        )
        and any(position.term < term for position in positions)
    ]


def _was_replaced(
    case: cases.Case,
    request: histories.Request,
    positions: list[Position],
) -> bool:
    """Return whether a replaced primary acknowledged the write.

    A later term then had a primary at the acknowledgement. That primary itself
    may acknowledge a retry with an idempotency key whose entry an earlier term
    wrote, if its log started from one with that entry.
    """
    at = case.history.acknowledged_at.get(request.id, request.answered_at)
    term = max(position.term for position in positions)
    later = [
        promotion
        for promotion in case.history.promotions
        if promotion.database == request.database
        and promotion.term > term
        and promotion.at < at
    ]
    if not later:
        return False
    latest = max(later, key=lambda promotion: promotion.term)
    tree = case.find_tree(request.database)
    repeated = request.idempotency_key and request.endpoint == latest.endpoint
    kept = any(tree.is_kept(latest.term, position) for position in positions)
    return not (repeated and kept)


def check_terms(case: cases.Case) -> Iterator[cases.Violation]:
    """Check that a term has a single primary and a single log."""
    for database, tree in case.trees.items():
        for position in tree.forks:
            yield cases.Violation(
                guarantee=2,
                rule="two_logs_in_one_term",
                subject=database,
                detail=f"{position}",
                at=tree.entries[position].executed_at,
            )
    primaries: dict[tuple[str, int], str] = {}
    for promotion in case.history.promotions:
        term_key = (promotion.database, promotion.term)
        if primaries.setdefault(term_key, promotion.endpoint) != promotion.endpoint:
            yield cases.Violation(
                guarantee=2,
                rule="two_primaries_in_one_term",
                subject=promotion.database,
                detail=f"{primaries[term_key]} {promotion.endpoint}",
                at=promotion.at,
            )
