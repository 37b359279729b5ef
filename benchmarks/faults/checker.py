"""Checks of a recorded history against the logs of the databases.

The checker is independent of the program under test. It compares the requests
and answers that callers recorded with what the databases executed.
"""

from benchmarks.faults import cases, fleet, freshness, histories, isolation, outcomes

CHECKS = (
    outcomes.check_answers,
    outcomes.check_not_run,
    outcomes.check_at_most_once,
    outcomes.check_acknowledgements,
    outcomes.check_terms,
    isolation.check_transactions,
    isolation.check_connections,
    freshness.check_sessions,
    freshness.check_bounded_reads,
    freshness.check_strong_reads,
    fleet.check_leaving,
    fleet.check_drains,
    fleet.check_configuration,
    fleet.check_changes,
    fleet.check_run,
)
"""All checks; each takes a ``cases.Case`` and yields violations."""


def check_history(history: histories.History) -> list[cases.Violation]:
    """Return all violations in a history, ordered by time."""
    case = cases.build_case(history)
    found = [violation for check in CHECKS for violation in check(case)]
    return sorted(found, key=lambda violation: violation.at)
