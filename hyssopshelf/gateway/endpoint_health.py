"""Pattern: an endpoint is judged by its own answers, not by its health page.

A failure makes other endpoints preferred for a time that doubles with each
failure in a row; one success ends it. The last endpoint is still used. A replica
that refused a read because it lags gets no read that needs a later position, for a
time that doubles, too.
"""

FIRST_AVOIDANCE_SECONDS = 0.15
"""Preference of other endpoints after a first failure, in seconds; about the
time of one more attempt across regions with a new connection."""

LONGEST_AVOIDANCE_SECONDS = 2.0
"""Longest preference of other endpoints, in seconds; bounds the time in which a
recovered endpoint is left unused."""

FIRST_LAG_SECONDS = 0.1
"""First time without reads that a lagging replica cannot serve, in seconds; twice
the usual lag."""

LONGEST_LAG_SECONDS = 0.8
"""Longest such time, in seconds; bounds how long a replica that has caught up is
left unused."""

SMOOTHING = 0.1
"""Weight of a new sample in the moving average of latencies."""

ERROR_SMOOTHING = 0.05
"""Weight of a new sample in the moving share of failed statements."""

ERROR_HALF_LIFE_SECONDS = 2.0
"""Time in which the belief in failures halves without a statement, in seconds; as
long as the longest avoidance of an endpoint that does not answer."""

ERROR_PENALTY_SECONDS = 0.6
"""Cost of a failed statement against a late one: the time of a repeat by its
client. An endpoint that fails a tenth of its reads loses them to one that is 60 ms
further away."""


def record_contact(health, now: float) -> None:
    """Note that an endpoint answered a message that takes no slot."""
    health.failures = 0
    health.failing_since = None
    health.avoid_until = 0.0
    health.answered_at = now


def record_answer(health, latency: float, now: float) -> None:
    """Note that an endpoint answered a statement."""
    record_contact(health, now)
    if health.latency == 0.0:
        health.latency = latency
    else:
        health.latency += SMOOTHING * (latency - health.latency)


def record_failure(health, since: float, now: float) -> None:
    """Note that an endpoint could not be reached or did not answer.

    Parameters
    ----------
    since : float
        Time at which the message or the attempt was sent.
    """
    if health.answered_at > since:
        # Another connection got an answer meanwhile.
        return
    if health.failures == 0:
        health.failing_since = since
    health.failures += 1
    pause = min(
        LONGEST_AVOIDANCE_SECONDS,
        FIRST_AVOIDANCE_SECONDS * 2 ** min(health.failures - 1, 6),
    )
    health.avoid_until = now + pause


def record_outcome(health, failed: bool, now: float) -> None:
    """Note whether a statement that ran has failed, or its connection broke.

    An endpoint can fail part of its statements while its health page is good.
    """
    sample = 1.0 if failed else 0.0
    share = compute_error_share(health, now)
    health.error_share = share + ERROR_SMOOTHING * (sample - share)
    health.error_share_at = now


def compute_error_share(health, now: float) -> float:
    """Return the share of failures that is believed now.

    Reads leave an endpoint that fails, so only time can show that it is well.
    """
    age = max(0.0, now - health.error_share_at)
    return health.error_share * 0.5 ** (age / ERROR_HALF_LIFE_SECONDS)


def compute_error_cost(health, now: float) -> float:
    """Return the expected cost of failures of a statement, in seconds."""
    return compute_error_share(health, now) * ERROR_PENALTY_SECONDS


def record_lag(health, lag_position, now: float) -> None:
    """Note that a replica refused a read because its log ends at a position."""
    health.lag_position = lag_position
    health.lag_refusals += 1
    pause = FIRST_LAG_SECONDS * 2 ** min(health.lag_refusals - 1, 6)
    health.lagging_until = now + min(LONGEST_LAG_SECONDS, pause)


def clear_lag(health) -> None:
    """Note that a replica served a read that needed a position."""
    health.lag_refusals = 0
    health.lagging_until = 0.0


def is_lagging(health, position, now: float) -> bool:
    """Return whether a replica is known not to hold a position yet."""
    return health.lagging_until > now and position > health.lag_position
