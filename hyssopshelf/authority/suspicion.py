"""Pattern: a primary is replaced on the evidence of several nodes.

One node that does not reach a primary may be cut off itself. A primary is
replaced when enough of the nodes that use it fail at it and another endpoint is
reached by more. Where few hosts hold its connections, only they can tell.
"""

import math

SUSPECT_SECONDS = 0.5
"""Time of failures without a success after which a node counts as failing; longer
than a lost packet's retransmission."""

MINIMUM_FAILURES = 2
"""Failures in a row of a node that counts as failing."""

QUORUM_SHARE = 0.25
"""Part of the nodes that use a primary which must fail at it."""

MINIMUM_QUORUM = 2
"""Nodes that must fail at a primary if more than one uses it."""

SINGLE_REPORT_SECONDS = 1.5
"""Time after which failures of a single node are enough, if all nodes reach
another endpoint."""


def count_failing(reports: list, endpoint: str, seconds: float) -> int:
    """Return how many nodes have failed at an endpoint for a time.

    Parameters
    ----------
    reports : list of dict
        For each node that uses the endpoint what it sees of failing endpoints, a
        Reach by endpoint id.
    """
    return sum(
        1
        for node_reports in reports
        if (report := node_reports.get(endpoint)) is not None
        and report.failing_seconds >= seconds
        and report.failures >= MINIMUM_FAILURES
    )


def find_quorum(users: int) -> int:
    """Return how many nodes must fail at a primary that a number of nodes use."""
    quorum = max(MINIMUM_QUORUM, math.ceil(QUORUM_SHARE * users))
    return max(1, min(users, quorum))


def is_suspected(reports: dict, primary: str, others: list[str], users: int) -> bool:
    """Return whether a primary should be replaced because nodes do not reach it.

    Parameters
    ----------
    reports : dict of str to list
        Reports of the nodes that use an endpoint, by its id.
    users : int
        Nodes that hold connections to the primary.
    """
    if not others:
        return False
    failing = count_failing(reports[primary], primary, SUSPECT_SECONDS)
    best = min(count_failing(reports[other], other, 0.0) for other in others)
    if failing >= find_quorum(users) and best < failing:
        return True
    single = count_failing(reports[primary], primary, SINGLE_REPORT_SECONDS)
    return single > 0 and best == 0


def find_change_reason(
    assigned, endpoints: dict, reports: dict, demoted: bool, users: int
) -> str:
    """Return why the primary of a database should be replaced, empty if not.

    Parameters
    ----------
    assigned : Assignment
        Current assignment.
    endpoints : dict of str to Endpoint
        Registered endpoints of the database.
    reports : dict of str to list
        Reports of the nodes that use an endpoint, by its id.
    lapsed : bool
        Whether the primary has reported itself as a replica for a while.
    users : int
        Nodes that hold connections to the primary.
    """
    primary = endpoints.get(assigned.endpoint)
    others = [
        endpoint.id
        for endpoint in endpoints.values()
        if endpoint.id != assigned.endpoint and not endpoint.leaving
    ]
    if not others:
        return ""
    if primary is None:
        return "gone"
    if demoted:
        return "reports itself as a replica"
    if is_suspected(reports, assigned.endpoint, others, users):
        return "unreachable"
    if primary.leaving:
        return "leaving"
    return ""
