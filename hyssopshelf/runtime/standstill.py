"""Since when messages may have waited while a process stood still."""

TICK_SECONDS = 0.05
"""Time between two looks into an inbox without messages, in seconds."""

STANDSTILL_SECONDS = 0.1
"""Time without a look into the inbox above which the process stood still."""

SETTLE_SECONDS = 0.3
"""Longest time after a standstill in which messages from it still arrive. They are in
sockets that other threads read, which stood still, too."""


class InboxClock:
    """Tells since when the messages that are read now may have waited.

    Attributes
    ----------
    emptied_at : float
        Clock time at which no message waited, in seconds.
    """

    def __init__(self, *, now: float) -> None:
        self.emptied_at = now
        self._stood_since = now
        self._settled_at = float("-inf")

    def find_wait_start(self, now: float) -> float:
        """Return the earliest time since which a message that is read now waited."""
        gap = now - self.emptied_at
        if gap > STANDSTILL_SECONDS:
            if self.emptied_at >= self._settled_at:
                self._stood_since = self.emptied_at
            settled_at = now + min(gap, SETTLE_SECONDS)
            self._settled_at = max(self._settled_at, settled_at)
        if now < self._settled_at:
            return self._stood_since
        return self.emptied_at

    def record_empty(self, now: float) -> None:
        """Record that no message waits."""
        self.emptied_at = now
