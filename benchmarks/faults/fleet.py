"""Checks of leaving endpoints, drains, configuration changes and recovery."""

from collections import defaultdict
from collections.abc import Iterator

from benchmarks.faults import cases, histories
from hyssopshelf import exceptions, messages

LEAVING_SECONDS = 3.0
"""Time after which a node sends no new work to a leaving endpoint."""

CONFIGURATION_SECONDS = 7.0
"""Time by which reachable nodes use an accepted configuration."""

Operation = messages.Operation


def check_leaving(case: cases.Case) -> Iterator[cases.Violation]:
    """Check that a node sends a leaving endpoint no new work after 3 s.

    The time counts from the moment the node knows that the endpoint leaves.
    """
    leaving_of = {
        (change.pool, change.version): change.leaving
        for change in case.history.accepted
    }
    spans: dict[tuple[str, int, str], list[tuple[float, bool]]] = defaultdict(list)
    names = {name for leaving in leaving_of.values() for name in leaving}
    for record in case.history.in_force:
        leaving = leaving_of.get((record.pool, record.version), frozenset())
        for name in names:
            if name.split("/")[0] == record.pool:
                spans[record.host, record.incarnation, name].append(
                    (record.at, name in leaving)
                )
    grace = (LEAVING_SECONDS + cases.TICK_SECONDS) / case.history.slowest_rate
    in_transaction: set[tuple[str, str]] = set()
    for execution in case.history.executions:
        connection_key = (execution.endpoint, execution.connection)
        new = connection_key not in in_transaction
        if execution.operation is Operation.BEGIN and execution.succeeded:
            in_transaction.add(connection_key)
        ends = execution.operation in (Operation.COMMIT, Operation.ROLLBACK)
        if ends or not execution.succeeded:
            in_transaction.discard(connection_key)
        if not new or execution.operation is Operation.ROLLBACK:
            continue
        changes = spans.get(
            (execution.host, execution.incarnation, execution.endpoint), []
        )
        since = _find_leaving_since(changes, execution.sent_at)
        if since is not None and execution.sent_at > since + grace:
            yield cases.Violation(
                guarantee=7,
                rule="work_sent_to_leaving_endpoint",
                subject=execution.endpoint,
                detail=f"by {execution.host}, leaving since {since:.3f}",
                at=execution.sent_at,
            )


def _find_leaving_since(changes: list[tuple[float, bool]], time: float) -> float | None:
    """Return since when an endpoint has been leaving without interruption."""
    since = None
    for at, leaving in changes:
        if at > time:
            break
        if not leaving:
            since = None
        elif since is None:
            since = at
    return since


def check_drains(case: cases.Case) -> Iterator[cases.Violation]:
    """Check that a drained node exits with no request in flight."""
    for stop in case.history.stopped:
        if stop.in_flight:
            yield cases.Violation(
                guarantee=8,
                rule="drain_cut_requests",
                subject=stop.host,
                detail=" ".join(stop.in_flight),
                at=stop.at,
            )


def check_configuration(case: cases.Case) -> Iterator[cases.Violation]:
    """Check that an accepted configuration is used in time and never reverted."""
    timelines: dict[tuple[str, str], list[tuple[float, int]]] = defaultdict(list)
    highest: dict[tuple[str, int, str], int] = {}
    for record in case.history.in_force:
        timelines[record.host, record.pool].append((record.at, record.version))
        view_key = (record.host, record.incarnation, record.pool)
        if record.version < highest.get(view_key, 0):
            yield cases.Violation(
                guarantee=9,
                rule="configuration_reverted",
                subject=record.host,
                detail=f"{highest[view_key]} to {record.version}",
                at=record.at,
            )
        highest[view_key] = max(record.version, highest.get(view_key, 0))
    versions: dict[str, int] = {}
    for change in case.history.accepted:
        if change.version <= versions.get(change.pool, 0):
            yield cases.Violation(
                guarantee=9,
                rule="store_reverted",
                subject=change.pool,
                detail=f"{versions[change.pool]} to {change.version}",
                at=change.at,
            )
        versions[change.pool] = max(change.version, versions.get(change.pool, 0))
        due = change.at + CONFIGURATION_SECONDS
        if due > case.history.end:
            continue
        for (host, pool), timeline in timelines.items():
            if pool != change.pool or _was_unreachable(case, host, change.at, due):
                continue
            in_force = [version for at, version in timeline if at <= due]
            if not in_force or in_force[-1] < change.version:
                yield cases.Violation(
                    guarantee=9,
                    rule="configuration_late",
                    subject=host,
                    detail=f"{change.pool} {change.version}, holds {in_force[-1:]}",
                    at=due,
                )


def _was_unreachable(case: cases.Case, host: str, start: float, end: float) -> bool:
    return any(
        span.host == host and span.start < end and span.end > start
        for span in case.history.unreachable
    )


def check_changes(case: cases.Case) -> Iterator[cases.Violation]:
    """Check operator changes against the accepted configurations.

    No change is accepted twice, an acknowledged one is accepted unless it altered
    nothing, a rejected one is not, and no version drops an accepted change.
    """
    accepted_at: dict[str, list[float]] = defaultdict(list)
    previous: dict[str, tuple[str, ...]] = {}
    for accepted in case.history.accepted:
        before = previous.get(accepted.pool, ())
        kept = before[-(len(accepted.change_ids) - 1) :] if before else ()
        if not set(kept) <= set(accepted.change_ids):
            yield cases.Violation(
                guarantee=9,
                rule="accepted_change_dropped",
                subject=accepted.pool,
                detail=f"version {accepted.version}",
                at=accepted.at,
            )
        for change_id in set(accepted.change_ids) - set(before):
            accepted_at[change_id.rpartition("-")[0]].append(accepted.at)
        previous[accepted.pool] = accepted.change_ids
    for change in case.history.changes:
        times = accepted_at.get(change.id, [])
        yield from _check_change(change, times, _was_in_force(case, change))


def _was_in_force(case: cases.Case, change: histories.Change) -> bool:
    """Return whether some accepted configuration already had the changed state."""
    if change.leaving is None:
        return False
    endpoint, leaving = change.leaving
    return any(
        (endpoint in accepted.leaving) == leaving
        for accepted in case.history.accepted
        if accepted.pool == change.pool
    )


def _check_change(
    change: histories.Change, times: list[float], was_in_force: bool
) -> Iterator[cases.Violation]:
    def make_violation(guarantee: int, rule: str) -> cases.Violation:
        return cases.Violation(
            guarantee=guarantee, rule=rule, subject=change.id, at=change.invoked_at
        )

    if len(times) > 1:
        yield make_violation(6, "change_accepted_twice")
    acknowledged = [
        a for a in change.attempts if a.answered_at is not None and a.error is None
    ]
    if acknowledged and not times and not was_in_force:
        yield make_violation(9, "acknowledged_change_not_accepted")
    denied = all(
        attempt.answered_at is not None
        and attempt.error is not None
        and exceptions.DISPOSITIONS[attempt.error].ran is exceptions.Ran.NO
        for attempt in change.attempts
    )
    if times and denied:
        yield make_violation(5, "denied_change_accepted")


def check_run(case: cases.Case) -> Iterator[cases.Violation]:
    """Check that the core raised no exception and every database recovered."""
    for name in case.history.stalled:
        yield cases.Violation(
            guarantee=0, rule="no_recovery", subject=name, at=case.history.end
        )
    for text in case.history.crashes:
        yield cases.Violation(
            guarantee=0, rule="core_raised", subject=text, at=case.history.end
        )
