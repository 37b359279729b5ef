"""The indexed history that the checks read and the violations they report."""

from collections import defaultdict

import attrs

from benchmarks.faults import histories, logtree
from hyssopshelf import exceptions, messages

TICK_SECONDS = 0.05
"""Period of the nodes' timer, the resolution at which they detect timeouts."""

Operation = messages.Operation
Position = messages.Position


@attrs.frozen(kw_only=True)
class Violation:
    """A broken guarantee.

    Attributes
    ----------
    guarantee : int
        Number of the guarantee in the design documentation, 0 for a failure of
        the run itself.
    rule : str
        Name of the violated rule.
    subject : str
        Request, endpoint or host concerned.
    """

    guarantee: int
    rule: str
    subject: str
    detail: str = ""
    at: float = 0.0


@attrs.define(kw_only=True)
class Case:
    """A history with the indexes that the checks share."""

    history: histories.History
    trees: dict[str, logtree.LogTree]
    by_label: dict[str, list[histories.Request]]
    by_transaction: dict[str, list[histories.Request]]

    def find_tree(self, database: str) -> logtree.LogTree:
        """Return the log tree of a database, an empty one if it has no entries."""
        return self.trees.setdefault(database, logtree.LogTree())

    def find_labels(self, request: histories.Request) -> list[str]:
        """Return the labels of the writes that a request commits if it succeeds."""
        if request.operation is not Operation.COMMIT:
            return [request.label]
        return [
            other.label
            for other in self.by_transaction[request.transaction]
            if other.label and other.succeeded
        ]

    def list_terms(self, database: str, start: float, end: float) -> list[int]:
        """Return the terms that were the latest at some time in [start, end)."""
        promotions = [p for p in self.history.promotions if p.database == database]
        before = [p.term for p in promotions if p.at < start]
        within = [p.term for p in promotions if start <= p.at < end]
        return ([max(before)] if before else []) + within

    def find_read_entries(
        self, request: histories.Request
    ) -> list[Position | None] | None:
        """Return the log entries that may have produced the value of a read.

        The list holds None for a key without a value. The result is None if no
        entry explains the value.
        """
        if request.value is None:
            return [None]
        labels = histories.parse_value(request.database, request.key, request.value)
        if labels is None:
            return None
        return list(self.find_tree(request.database).find(labels[-1])) or None


def make_violation(
    guarantee: int, rule: str, request: histories.Request, detail: str = ""
) -> Violation:
    return Violation(
        guarantee=guarantee,
        rule=rule,
        subject=request.id,
        detail=detail,
        at=request.answered_at or request.invoked_at,
    )


def is_write(request: histories.Request) -> bool:
    """Return whether a request commits writes if it succeeds."""
    if request.operation is Operation.COMMIT:
        return True
    writes = (Operation.PUT, Operation.APPEND)
    return request.operation in writes and not request.transaction


def is_plain_read(request: histories.Request) -> bool:
    """Return whether a request is a successful read outside a transaction."""
    return (
        request.succeeded
        and request.operation is Operation.GET
        and not request.transaction
    )


def is_reported_not_run(request: histories.Request) -> bool:
    """Return whether the answer guarantees that the request did not run."""
    if request.answered_at is None or request.error is None:
        return False
    ran = exceptions.DISPOSITIONS[request.error].ran
    return ran is exceptions.Ran.NO


def build_case(history: histories.History) -> Case:
    """Build the indexes of a history."""
    by_label = defaultdict(list)
    by_transaction = defaultdict(list)
    for request in history.requests:
        if request.label:
            by_label[request.label].append(request)
        if request.transaction:
            by_transaction[request.transaction].append(request)
    return Case(
        history=history,
        trees=logtree.build_trees(history.entries),
        by_label=by_label,
        by_transaction=by_transaction,
    )
