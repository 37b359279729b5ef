"""What a watcher observed of a database, and the conditions for a replacement."""

import attrs

from hyssopshelf import messages
from hyssopshelf.failover import confirmation, promotion

SLOW_SECONDS = 0.3
"""An answer that takes longer raises suspicion, but is still an answer."""

DEAF_SECONDS = 0.6
"""A replica that has not heard its primary for this time raises suspicion."""

LOST_SECONDS = 2.0
"""Time for which a condition must hold before the first watcher acts."""

RANK_SECONDS = 2.0
"""Additional time by place in the order of watchers."""

FRESH_SECONDS = 1.5
"""Age up to which a report is evidence; longer by rank, as the polls are.

It must exceed the poll interval: otherwise a long suspicion, which takes the
normal interval again, never finds a majority of fresh reports.
"""

RENEWAL_SECONDS = 0.1
"""Least change of the time of a fetch that is not a change of network delay."""

UNANSWERED_POLLS = 2
"""Polls without an answer that are needed to call a primary unreachable."""


@attrs.frozen(kw_only=True)
class Report:
    """The newest answer of an endpoint.

    Attributes
    ----------
    sent_at : float
        When the endpoint sent the last fetch that its primary answered.
    heard_at : float
        When the endpoint is known to have heard its primary.
    """

    asked_at: float
    received_at: float
    status: messages.EndpointStatus
    sent_at: float
    heard_at: float


def build_report(
    previous: Report | None,
    asked_at: float,
    status: messages.EndpointStatus,
    now: float,
) -> Report:
    """Return the report of an endpoint that follows its previous one.

    The reported age counts from the sending of a fetch. With a slow primary it
    is large although answers keep coming, so an age that was renewed since the
    previous report tells that the endpoint heard its primary since then.
    """
    sent_at = now - status.upstream_age_seconds
    heard_at = sent_at
    if previous is not None:
        heard_at = max(heard_at, previous.heard_at)
        if sent_at > previous.sent_at + RENEWAL_SECONDS:
            heard_at = max(heard_at, previous.received_at)
    return Report(
        asked_at=asked_at,
        received_at=now,
        status=status,
        sent_at=sent_at,
        heard_at=heard_at,
    )


@attrs.define(kw_only=True)
class Watch:
    """Observation of one database by this node.

    Attributes
    ----------
    rank : int
        Place of this node in the order of watchers.
    term : int
        Term of the primary under observation.
    since : float
        Start of the observation.
    alive_at : float
        Last sign of life of the primary, from anyone.
    unanswered : list of float
        Times of the polls that the primary has not answered, newest last.
    failed_at : float
        Time of the last poll that failed before its time was up.
    progress_at : float
        Time at which another promoter last raised a term.
    moved_at : float
        Start of the last planned change off a leaving endpoint.
    leaderless_since : float or None
        Time since which a majority answers and none is primary.
    left_behind_since : float or None
        Time since which an endpoint is fenced in a term without a primary.
    suspicious_since : float or None
        Start of the current suspicion.
    unreached : dict of str to float
        When each asked host last reported that it did not reach the primary.
    """

    rank: int
    term: int
    since: float
    alive_at: float
    highest_term: int = 0
    polled_at: float = float("-inf")
    asked_at: float = float("-inf")
    asked: int = 0
    moved_at: float = float("-inf")
    progress_at: float = float("-inf")
    unanswered: list[float] = attrs.field(factory=list)
    failed_at: float = float("-inf")
    leaderless_since: float | None = None
    left_behind_since: float | None = None
    suspicious_since: float | None = None
    reports: dict[str, Report] = attrs.field(factory=dict)
    unreached: dict[str, float] = attrs.field(factory=dict)
    followed_at: dict[str, float] = attrs.field(factory=dict)
    discarded: dict[str, int] = attrs.field(factory=dict)

    def count_unanswered(self, now: float) -> int:
        """Return how many polls failed or are overdue."""
        latest = max(self.failed_at, now - SLOW_SECONDS)
        return sum(asked_at <= latest for asked_at in self.unanswered)


def restart(watch: Watch, term: int, now: float) -> None:
    """Start the observation anew."""
    watch.term = term
    watch.since = watch.alive_at = now
    watch.leaderless_since = watch.left_behind_since = None
    watch.suspicious_since = None
    watch.unanswered.clear()
    watch.failed_at = float("-inf")
    watch.reports.clear()
    watch.unreached.clear()


def find_fresh(watch: Watch, now: float) -> dict[str, Report]:
    """Return the reports that are recent enough to be evidence."""
    return {
        endpoint: report
        for endpoint, report in watch.reports.items()
        if now <= report.received_at + FRESH_SECONDS * (1 + watch.rank)
    }


def update_suspicion(record, watch: Watch, now: float) -> None:
    """Note whether anything hints that the primary is lost."""
    suspicious = watch.count_unanswered(now) > 0 or not record.primary
    if not suspicious:
        primary = watch.reports.get(record.primary)
        if primary is not None and primary.status.role is not messages.Role.PRIMARY:
            suspicious = True
        deaf = sum(
            report.status.upstream_age_seconds >= DEAF_SECONDS
            for endpoint, report in watch.reports.items()
            if endpoint != record.primary
        )
        majority = confirmation.compute_majority(len(record.endpoints))
        suspicious = suspicious or deaf >= majority
        suspicious = suspicious or watch.highest_term > record.term
    if not suspicious:
        watch.suspicious_since = None
        watch.leaderless_since = watch.left_behind_since = None
    elif watch.suspicious_since is None:
        watch.suspicious_since = now


def update_leaderless(record, watch: Watch, fresh: dict, now: float) -> None:
    """Note since when a majority answers and no endpoint is primary."""
    primary = fresh.get(record.primary)
    led = any(
        report.status.role is messages.Role.PRIMARY
        and report.status.term >= record.term
        for report in fresh.values()
    )
    if led or (record.primary and primary is None):
        watch.leaderless_since = None
    elif watch.leaderless_since is None:
        watch.leaderless_since = now


def find_reason(record, watch: Watch, fresh: dict, until: float, now: float):
    """Return the condition that has held since ``until``, None if none has."""
    if watch.since > until:
        return None
    if watch.leaderless_since is not None:
        held = watch.leaderless_since <= until
        return promotion.Reason.LEADERLESS if held else None
    others = [r for name, r in fresh.items() if name != record.primary]
    deaf = sum(report.heard_at <= until for report in others)
    if watch.alive_at > until:
        majority = confirmation.compute_majority(len(record.endpoints))
        return promotion.Reason.CUT_OFF if deaf >= majority else None
    if deaf < len(others) or watch.count_unanswered(now) < UNANSWERED_POLLS:
        return None
    return promotion.Reason.UNREACHABLE


def is_unreached_elsewhere(watch: Watch, now: float) -> bool:
    """Return whether enough of the asked hosts did not reach the primary.

    Half of them suffice, because some may be cut off together with it.
    """
    recent = sum(at >= now - LOST_SECONDS for at in watch.unreached.values())
    return recent >= (watch.asked + 1) // 2
