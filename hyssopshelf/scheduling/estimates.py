"""Estimates of slot time and queueing time from recent work."""

import attrs

SMOOTHING = 0.1
"""Weight of a new sample in the moving averages."""

MINIMUM_SMOOTHING = 0.02
"""Weight of a sample above the estimate of the minimum. The estimate follows lower
samples at once, so it stays near the low end of the slot times."""

HALF_LIFE_SECONDS = 10.0
"""Time without a sample after which the estimate of the minimum halves. Without
the decay, work refused after one slow period would leave no samples that
correct the estimate."""

STALE_SECONDS = 1.0
"""Idle time of a queue after which its measured interval is discarded."""


@attrs.define(kw_only=True)
class ServiceEstimate:
    """Estimates for the next work of one partner and rank.

    Attributes
    ----------
    mean_seconds : float
        Moving average of the slot time.
    minimum_seconds : float
        Estimated lower bound of the slot time of nearly all work.
    interval_seconds : float
        Moving average of the time between two starts while work waited.
    """

    mean_seconds: float = 0.0
    minimum_seconds: float = 0.0
    interval_seconds: float = 0.0
    _finished_at: float = attrs.field(default=float("-inf"), init=False)
    _started_at: float = attrs.field(default=float("-inf"), init=False)

    def record_finish(self, seconds: float, now: float) -> None:
        """Add the slot time of finished work, in seconds."""
        if self._finished_at == float("-inf"):
            self.mean_seconds = self.minimum_seconds = seconds
        else:
            self.mean_seconds += SMOOTHING * (seconds - self.mean_seconds)
            minimum = self.estimate_minimum(now)
            excess = max(0.0, seconds - minimum)
            self.minimum_seconds = min(seconds, minimum) + MINIMUM_SMOOTHING * excess
        self._finished_at = now

    def record_start(self, now: float) -> tuple[float, float]:
        """Add the start of waiting work; return the previous state for undo."""
        previous = (self.interval_seconds, self._started_at)
        interval = now - self._started_at
        self.interval_seconds += SMOOTHING * (interval - self.interval_seconds)
        self._started_at = now
        return previous

    def undo_start(self, previous: tuple[float, float]) -> None:
        """Restore the state before a start that was undone."""
        self.interval_seconds, self._started_at = previous

    def resume(self, now: float, slots: int) -> None:
        """Restart the interval when work waits again after the queue was empty."""
        if now - self._started_at > STALE_SECONDS:
            self.interval_seconds = self.mean_seconds / slots
        self._started_at = now

    def estimate_minimum(self, now: float) -> float:
        """Return the decayed estimate of the minimum slot time, in seconds."""
        if self.minimum_seconds == 0.0:
            return 0.0
        age = max(0.0, now - self._finished_at)
        return self.minimum_seconds * 0.5 ** (age / HALF_LIFE_SECONDS)

    def estimate_wait(self, ahead: int, guaranteed_slots: float, now: float) -> float:
        """Return the expected wait behind ``ahead`` work items, in seconds.

        ``guaranteed_slots`` is the number of slots that the queue gets under any
        load; it bounds the interval from above.
        """
        interval = max(self.interval_seconds, now - self._started_at)
        if guaranteed_slots > 0.0:
            interval = min(interval, self.mean_seconds / guaranteed_slots)
        return ahead * interval
