"""Checks of the fleet: leaving endpoints, drains, configuration, recovery."""

from collections import defaultdict
from collections.abc import Iterator

from benchmarks.faults import cases
from hyssopshelf import messages

LEAVING_SECONDS = 3.0
"""Time after which a leaving endpoint gets no new work."""

CONFIGURATION_SECONDS = 7.0
"""Time in which an accepted configuration is in force on reachable nodes."""

Operation = messages.Operation


def check_leaving(case: cases.Case) -> Iterator[cases.Violation]:
    """A leaving endpoint gets no new work 3 s after a node knows it leaves."""
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
        place = (execution.endpoint, execution.connection)
        new = place not in in_transaction
        if execution.operation is Operation.BEGIN and execution.succeeded:
            in_transaction.add(place)
        ends = execution.operation in (Operation.COMMIT, Operation.ROLLBACK)
        if ends or not execution.succeeded:
            in_transaction.discard(place)
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
    """Return since when an endpoint has been leaving without a break."""
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
    """A drained node ends with no request in flight."""
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
    """An accepted configuration is in force in time and is never reverted."""
    timelines: dict[tuple[str, str], list[tuple[float, int]]] = defaultdict(list)
    highest: dict[tuple[str, int, str], int] = {}
    for record in case.history.in_force:
        timelines[record.host, record.pool].append((record.at, record.version))
        place = (record.host, record.incarnation, record.pool)
        if record.version < highest.get(place, 0):
            yield cases.Violation(
                guarantee=9,
                rule="configuration_reverted",
                subject=record.host,
                detail=f"{highest[place]} to {record.version}",
                at=record.at,
            )
        highest[place] = max(record.version, highest.get(place, 0))
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
            held = [version for at, version in timeline if at <= due]
            if not held or held[-1] < change.version:
                yield cases.Violation(
                    guarantee=9,
                    rule="configuration_late",
                    subject=host,
                    detail=f"{change.pool} {change.version}, holds {held[-1:]}",
                    at=due,
                )


def _was_unreachable(case: cases.Case, host: str, start: float, end: float) -> bool:
    return any(
        span.host == host and span.start < end and span.end > start
        for span in case.history.unreachable
    )


def check_run(case: cases.Case) -> Iterator[cases.Violation]:
    """The core raised nothing and every database serves again at the end."""
    for name in case.history.stalled:
        yield cases.Violation(
            guarantee=0, rule="no_recovery", subject=name, at=case.history.end
        )
    for text in case.history.crashes:
        yield cases.Violation(
            guarantee=0, rule="core_raised", subject=text, at=case.history.end
        )
