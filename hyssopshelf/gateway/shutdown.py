"""Plans a graceful stop: until when work starts and when it is answered.

The process ends at a fixed time after the signal, whatever clients do, so work is let
in only as long as its answer can be delivered before that.
"""

import attrs

OUT_OF_ROTATION_SECONDS = 2.2
"""Time after which load balancers have taken a node out of rotation that reports that
it is not ready: they ask once a second and need two failures."""

START_SHARE = 1 / 2
"""Fraction of the grace period in which work may start; open transactions have as long
to end."""

ANSWER_SHARE = 5 / 6
"""Fraction of the grace period by which every request is answered."""

EXIT_RESERVE_SECONDS = 0.4
"""Part of the grace period that is left for the exit of the process, in seconds."""


@attrs.frozen(kw_only=True)
class StopSchedule:
    """Clock times of a graceful stop, in seconds.

    Attributes
    ----------
    started_at : float
        Time at which the process was told to stop.
    close_quiet_at : float
        From when on sessions are closed that have had no work for a while.
    last_start_at : float
        From when on no work starts and open transactions are rolled back.
    answer_by : float
        Time by which every request is answered, if need be without a result.
    exit_at : float
        Time at which the process ends at the latest.
    """

    started_at: float
    close_quiet_at: float
    last_start_at: float
    answer_by: float
    exit_at: float

    def may_start(self, now: float) -> bool:
        """Return whether work may still start."""
        return now < self.last_start_at

    def cap(self, deadline: float) -> float:
        """Return a deadline that leaves time to answer before the exit."""
        return min(deadline, self.answer_by)


def plan_stop(now: float, grace_seconds: float) -> StopSchedule:
    """Return the schedule of a stop that begins now.

    Parameters
    ----------
    grace_seconds : float
        Time after which the process is killed.
    """
    answer_by = now + ANSWER_SHARE * grace_seconds
    close_quiet_at = min(now + OUT_OF_ROTATION_SECONDS, answer_by)
    return StopSchedule(
        started_at=now,
        close_quiet_at=close_quiet_at,
        last_start_at=max(now + START_SHARE * grace_seconds, close_quiet_at),
        answer_by=answer_by,
        exit_at=max(now + grace_seconds - EXIT_RESERVE_SECONDS, answer_by),
    )
