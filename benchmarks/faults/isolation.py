"""Checks of transaction atomicity and of the exclusive use of connections."""

from collections.abc import Iterator

from benchmarks.faults import cases, histories
from hyssopshelf import messages

Operation = messages.Operation


def check_transactions(case: cases.Case) -> Iterator[cases.Violation]:
    """Check that a log entry holds exactly the writes of one transaction."""
    for entry in case.history.entries:
        owners = {
            request.transaction
            for _, label in entry.writes
            for request in case.by_label.get(label, [])
        }
        if len(owners) > 1:
            yield cases.Violation(
                guarantee=3,
                rule="transactions_mixed",
                subject=entry.endpoint,
                detail=f"{sorted(owners)} {entry.position}",
                at=entry.executed_at,
            )
            continue
        owner = next(iter(owners), "")
        if not owner:
            continue
        requests = case.by_transaction[owner]
        written = {label for _, label in entry.writes}
        commits = [
            request
            for request in requests
            if request.operation is Operation.COMMIT
            and request.invoked_at <= entry.executed_at
        ]
        missing = [
            request.id
            for request in requests
            if request.label and request.succeeded and request.label not in written
        ]
        if not commits or missing:
            yield cases.Violation(
                guarantee=3,
                rule="transaction_in_parts" if commits else "write_left_transaction",
                subject=owner,
                detail=f"{entry.position} misses {missing}",
                at=entry.executed_at,
            )


def check_connections(case: cases.Case) -> Iterator[cases.Violation]:
    """Check that a connection serves one transaction and one request at a time."""
    owners = {
        request.label: request.transaction
        for request in case.history.requests
        if request.label
    }
    open_transactions: dict[tuple[str, str], str | None] = {}
    for execution in case.history.executions:
        connection_key = (execution.endpoint, execution.connection)
        if execution.overlapped:
            yield _make_violation(execution, "requests_overlap_on_connection", "")
        current = open_transactions.get(connection_key)
        if execution.operation is Operation.BEGIN:
            if current is not None:
                yield _make_violation(
                    execution, "begin_inside_transaction", current or "unused"
                )
            open_transactions[connection_key] = "" if execution.succeeded else None
            continue
        ends = execution.operation in (Operation.COMMIT, Operation.ROLLBACK)
        if ends or not execution.succeeded:
            open_transactions[connection_key] = None
            continue
        owner = owners.get(execution.label, "")
        if execution.key.startswith("x-"):
            owner = execution.key.removeprefix("x-")
        if current is None and owner:
            yield _make_violation(execution, "statement_outside_transaction", owner)
        elif current is not None and owner != (current or owner or None):
            yield _make_violation(
                execution, "transactions_share_connection", f"{current} {owner}"
            )
        elif current == "":
            open_transactions[connection_key] = owner


def _make_violation(
    execution: histories.Execution, rule: str, detail: str
) -> cases.Violation:
    return cases.Violation(
        guarantee=3,
        rule=rule,
        subject=f"{execution.endpoint} {execution.connection}",
        detail=detail,
        at=execution.at,
    )
