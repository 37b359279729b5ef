"""Observations of a database by a watcher, and conditions for a new primary."""

import attrs

from hyssopshelf import messages
from hyssopshelf.failover import confirmation, promotion

SLOW_ANSWER_SECONDS = 0.3
"""Time after which an open poll raises suspicion; a later answer still counts."""

PRIMARY_SILENCE_SECONDS = 0.6
"""Time without contact to its primary after which a replica raises suspicion."""

FAILURE_WINDOW_SECONDS = 2.0
"""Time for which a condition must hold before the first watcher replaces a primary."""

RANK_DELAY_SECONDS = 2.0
"""Additional time per rank in the order of watchers."""

REPORT_MAXIMUM_AGE_SECONDS = 1.5
"""Age up to which a report is fresh; multiplied by rank like the poll interval.

It must exceed the poll interval. Otherwise a long suspicion, which is polled at
the normal interval again, never has a majority of fresh reports.
"""

FETCH_RENEWAL_SECONDS = 0.1
"""Advance of the fetch time that proves a new fetch.

A smaller one may be a change of network delay.
"""

MINIMUM_UNANSWERED_POLLS = 2
"""Number of unanswered polls from which a primary counts as unreachable."""


@attrs.frozen(kw_only=True)
class EndpointReport:
    """The latest status of an endpoint.

    Attributes
    ----------
    asked_at : float
        Time of the poll that the endpoint answered.
    received_at : float
        Time at which the answer was received.
    fetch_sent_at : float
        Time at which the endpoint sent the last fetch that its primary answered.
    primary_heard_at : float
        Latest time at which the endpoint is known to have heard its primary.
    """

    asked_at: float
    received_at: float
    status: messages.EndpointStatus
    fetch_sent_at: float
    primary_heard_at: float


def build_report(
    previous: EndpointReport | None,
    asked_at: float,
    status: messages.EndpointStatus,
    now: float,
) -> EndpointReport:
    """Return the report of an endpoint's status, given its previous report.

    The reported age counts from the sending of a fetch. With a slow primary the
    age is large although answers keep arriving. If the fetch time advanced since
    the previous report, the endpoint has heard its primary since then.
    """
    fetch_sent_at = now - status.upstream_age_seconds
    primary_heard_at = fetch_sent_at
    if previous is not None:
        primary_heard_at = max(primary_heard_at, previous.primary_heard_at)
        if fetch_sent_at > previous.fetch_sent_at + FETCH_RENEWAL_SECONDS:
            primary_heard_at = max(primary_heard_at, previous.received_at)
    return EndpointReport(
        asked_at=asked_at,
        received_at=now,
        status=status,
        fetch_sent_at=fetch_sent_at,
        primary_heard_at=primary_heard_at,
    )


@attrs.define(kw_only=True)
class Watch:
    """Observation of one database by this node.

    Attributes
    ----------
    rank : int
        Rank of this node in the order of watchers, 0 for the first.
    term : int
        Term of the observed primary.
    started_at : float
        Start of the observation.
    last_alive_at : float
        Last sign of life of the primary reported by any host or endpoint.
    highest_term : int
        Highest term in any status.
    polled_at : float
        Time of the last poll.
    asked_at : float
        Time of the last request for probes by other hosts.
    asked_hosts : int
        Number of hosts that received this request.
    move_started_at : float
        Start of the last planned change off a leaving endpoint.
    progress_at : float
        Time at which another promoter last raised a term.
    unanswered : list of float
        Times of the polls that the primary has not answered, newest last.
    last_failed_at : float
        Time of the last poll whose probe of the primary failed.
    no_primary_since : float or None
        Time since which a majority answers and no endpoint is primary.
    higher_term_since : float or None
        Time since which an endpoint is fenced in a term without a primary.
    suspicious_since : float or None
        Start of the current suspicion.
    reports : dict of str to EndpointReport
        Latest report of each endpoint.
    unreached_at : dict of str to float
        Time at which each asked host last reported a failed probe.
    followed_at : dict of str to float
        Time of the last order to each endpoint to follow the primary.
    discarded : dict of str to int
        Writes that each endpoint last reported as discarded.
    """

    rank: int
    term: int
    started_at: float
    last_alive_at: float
    highest_term: int = 0
    polled_at: float = float("-inf")
    asked_at: float = float("-inf")
    asked_hosts: int = 0
    move_started_at: float = float("-inf")
    progress_at: float = float("-inf")
    unanswered: list[float] = attrs.field(factory=list)
    last_failed_at: float = float("-inf")
    no_primary_since: float | None = None
    higher_term_since: float | None = None
    suspicious_since: float | None = None
    reports: dict[str, EndpointReport] = attrs.field(factory=dict)
    unreached_at: dict[str, float] = attrs.field(factory=dict)
    followed_at: dict[str, float] = attrs.field(factory=dict)
    discarded: dict[str, int] = attrs.field(factory=dict)

    def count_unanswered(self, now: float) -> int:
        """Return the number of polls of the primary that failed or are overdue."""
        latest = max(self.last_failed_at, now - SLOW_ANSWER_SECONDS)
        return sum(asked_at <= latest for asked_at in self.unanswered)


def restart(watch: Watch, term: int, now: float) -> None:
    """Restart an observation for the primary of a term."""
    watch.term = term
    watch.started_at = watch.last_alive_at = now
    watch.no_primary_since = watch.higher_term_since = None
    watch.suspicious_since = None
    watch.unanswered.clear()
    watch.last_failed_at = float("-inf")
    watch.reports.clear()
    watch.unreached_at.clear()


def find_fresh_reports(watch: Watch, now: float) -> dict[str, EndpointReport]:
    """Return the reports that are recent enough to decide on a replacement."""
    return {
        endpoint: report
        for endpoint, report in watch.reports.items()
        if now <= report.received_at + REPORT_MAXIMUM_AGE_SECONDS * (1 + watch.rank)
    }


def update_suspicion(record, watch: Watch, now: float) -> None:
    """Update whether any observation suggests that the primary is lost."""
    suspicious = watch.count_unanswered(now) > 0 or not record.primary
    if not suspicious:
        primary = watch.reports.get(record.primary)
        if primary is not None and primary.status.role is not messages.Role.PRIMARY:
            suspicious = True
        out_of_contact = sum(
            report.status.upstream_age_seconds >= PRIMARY_SILENCE_SECONDS
            for endpoint, report in watch.reports.items()
            if endpoint != record.primary
        )
        majority = confirmation.compute_majority(len(record.endpoints))
        suspicious = suspicious or out_of_contact >= majority
        suspicious = suspicious or watch.highest_term > record.term
    if not suspicious:
        watch.suspicious_since = None
        watch.no_primary_since = watch.higher_term_since = None
    elif watch.suspicious_since is None:
        watch.suspicious_since = now


def update_no_primary(record, watch: Watch, fresh: dict, now: float) -> None:
    """Update the time since which a majority answers and no endpoint is primary."""
    primary = fresh.get(record.primary)
    has_primary = any(
        report.status.role is messages.Role.PRIMARY
        and report.status.term >= record.term
        for report in fresh.values()
    )
    if has_primary or (record.primary and primary is None):
        watch.no_primary_since = None
    elif watch.no_primary_since is None:
        watch.no_primary_since = now


def find_reason(record, watch: Watch, fresh: dict, until: float, now: float):
    """Return the condition that has held since ``until``, None if there is none."""
    if watch.started_at > until:
        return None
    if watch.no_primary_since is not None:
        holds = watch.no_primary_since <= until
        return promotion.Reason.NO_PRIMARY if holds else None
    others = [r for name, r in fresh.items() if name != record.primary]
    out_of_contact = sum(report.primary_heard_at <= until for report in others)
    if watch.last_alive_at > until:
        majority = confirmation.compute_majority(len(record.endpoints))
        return promotion.Reason.ISOLATED if out_of_contact >= majority else None
    if (
        out_of_contact < len(others)
        or watch.count_unanswered(now) < MINIMUM_UNANSWERED_POLLS
    ):
        return None
    return promotion.Reason.UNREACHABLE


def is_unreached_by_peers(watch: Watch, now: float) -> bool:
    """Return whether enough of the asked hosts did not reach the primary.

    Half of them suffice, because some may be isolated together with the primary.
    """
    recent = sum(
        at >= now - FAILURE_WINDOW_SECONDS for at in watch.unreached_at.values()
    )
    return recent >= (watch.asked_hosts + 1) // 2
