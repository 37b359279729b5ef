"""Passive health checks: endpoint health is derived from answers to traffic.

An endpoint can report itself healthy and still fail part of its statements, so
its own health page is not used. After a failure other endpoints are preferred for
a time that doubles with each consecutive failure; one success ends it. An avoided
endpoint is still used if there is no other. A replica that refused a read because
it lags gets no read that needs a later position, with the same kind of backoff.
"""

FIRST_AVOIDANCE_SECONDS = 0.15
"""Time for which an endpoint is avoided after a first failure; about as long as
another attempt across regions with a new connection."""

LONGEST_AVOIDANCE_SECONDS = 2.0
"""Maximum time for which an endpoint is avoided; bounds how long a recovered
endpoint stays unused."""

FIRST_LAG_SECONDS = 0.1
"""Time without reads beyond its position after a replica's first refusal; twice
the usual lag."""

LONGEST_LAG_SECONDS = 0.8
"""Maximum of this time; bounds how long a replica that has caught up stays
unused."""

SMOOTHING = 0.1
"""Weight of a new sample in the moving average of the latency."""

ERROR_SMOOTHING = 0.05
"""Weight of a new sample in the moving average of the share of errors."""

ERROR_HALF_LIFE_SECONDS = 2.0
"""Half-life of the share of errors without new statements; as long as the
maximum avoidance of an endpoint that does not answer."""

ERROR_PENALTY_SECONDS = 0.6
"""Cost of a failed statement, as latency: the time until its client repeats it.
Reads leave an endpoint that fails a tenth of them for one with up to 60 ms more
latency."""


def record_contact(health, now: float) -> None:
    """Record an answer to a message that takes no slot; it ends the avoidance."""
    health.failures = 0
    health.failing_since = None
    health.avoid_until = 0.0
    health.answered_at = now


def record_answer(health, latency: float, now: float) -> None:
    """Record that an endpoint answered a statement.

    Parameters
    ----------
    health : EndpointHealth
        Health of the endpoint.
    latency : float
        Time from sending to the answer, in seconds.
    now : float
        Clock time in seconds.
    """
    record_contact(health, now)
    if health.latency == 0.0:
        health.latency = latency
    else:
        health.latency += SMOOTHING * (latency - health.latency)


def record_failure(health, since: float, now: float) -> None:
    """Record that an endpoint could not be reached or did not answer.

    Parameters
    ----------
    health : EndpointHealth
        Health of the endpoint.
    since : float
        Time at which the message was sent or the connection attempt started.
    now : float
        Clock time in seconds.
    """
    if health.answered_at > since:
        # Another connection has received an answer since.
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
    """Record whether a statement failed at the endpoint or lost its connection.

    An endpoint can fail part of its statements while its health page reports no
    fault.
    """
    sample = 1.0 if failed else 0.0
    share = compute_error_share(health, now)
    health.error_share = share + ERROR_SMOOTHING * (sample - share)
    health.error_share_at = now


def compute_error_share(health, now: float) -> float:
    """Return the share of errors, decayed by its age.

    An endpoint with errors gets no reads that could show its recovery, so the
    share has to decay with time.
    """
    age = max(0.0, now - health.error_share_at)
    return health.error_share * 0.5 ** (age / ERROR_HALF_LIFE_SECONDS)


def compute_error_cost(health, now: float) -> float:
    """Return the expected cost of errors for one statement, in seconds."""
    return compute_error_share(health, now) * ERROR_PENALTY_SECONDS


def record_lag(health, lag_position, now: float) -> None:
    """Record that a replica refused a read beyond ``lag_position``, its log's end."""
    health.lag_position = lag_position
    health.lag_refusals += 1
    pause = FIRST_LAG_SECONDS * 2 ** min(health.lag_refusals - 1, 6)
    health.lagging_until = now + min(LONGEST_LAG_SECONDS, pause)


def clear_lag(health) -> None:
    """Record that a replica served a read that needed a position."""
    health.lag_refusals = 0
    health.lagging_until = 0.0


def is_lagging(health, position, now: float) -> bool:
    """Return whether a replica is assumed not to have reached a position yet."""
    return health.lagging_until > now and position > health.lag_position
