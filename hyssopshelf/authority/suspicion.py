"""Decision whether a primary should be replaced, from the reports of several nodes.

A node that does not reach a primary may be isolated itself. A primary counts as
unreachable when a quorum of the nodes that use it reports failures and another
endpoint fails for fewer nodes. If few hosts hold its connections, only their
reports count.
"""

import math

DEMOTED = "reports itself as a replica"
"""Reason of a change of a primary that reports itself as a replica."""

SUSPECT_SECONDS = 0.5
"""Time of failures without a success after which a node's report counts; longer than
the retransmission of a lost packet."""

MINIMUM_FAILURES = 2
"""Failures in a row after which a node's report counts."""

QUORUM_SHARE = 0.25
"""Share of the nodes that use a primary whose reports make a quorum."""

MINIMUM_QUORUM = 2
"""Smallest quorum of a primary that more than one node uses."""

SINGLE_REPORT_SECONDS = 1.5
"""Time of failures after which the report of a single node is enough, if some other
endpoint is reached by all nodes that use it."""


def count_failing(reports: list, endpoint: str, seconds: float) -> int:
    """Return how many nodes have failed to reach an endpoint for a time.

    Parameters
    ----------
    reports : list of dict
        For each node that uses the endpoint, its FailureReport by endpoint id.
    seconds : float
        Least time since the first failure.
    """
    return sum(
        1
        for node_reports in reports
        if (report := node_reports.get(endpoint)) is not None
        and report.failing_seconds >= seconds
        and report.failures >= MINIMUM_FAILURES
    )


def find_quorum(users: int) -> int:
    """Return how many of a primary's users must fail to reach it."""
    quorum = max(MINIMUM_QUORUM, math.ceil(QUORUM_SHARE * users))
    return max(1, min(users, quorum))


def is_suspected(reports: dict, primary: str, others: list[str], users: int) -> bool:
    """Return whether a primary should be replaced as unreachable.

    Parameters
    ----------
    reports : dict of str to list
        Reports of the nodes that use an endpoint, by its id.
    others : list of str
        Endpoints that could replace the primary.
    users : int
        Number of nodes that hold connections to the primary.
    """
    if not others:
        return False
    failing = count_failing(reports[primary], primary, SUSPECT_SECONDS)
    fewest = min(count_failing(reports[other], other, 0.0) for other in others)
    if failing >= find_quorum(users) and fewest < failing:
        return True
    single = count_failing(reports[primary], primary, SINGLE_REPORT_SECONDS)
    return single > 0 and fewest == 0


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
    demoted : bool
        Whether the primary has reported itself as a replica for long enough.
    users : int
        Number of nodes that hold connections to the primary.
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
        return DEMOTED
    if is_suspected(reports, assigned.endpoint, others, users):
        return "unreachable"
    if primary.leaving:
        return "leaving"
    return ""
