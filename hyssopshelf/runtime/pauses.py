"""Since when messages may have waited while a process stood still."""

import attrs

TICK_SECONDS = 0.05
"""Time between two looks into an inbox without messages, in seconds."""

STANDSTILL_SECONDS = 0.1
"""Time without a look into the inbox, and without work of the thread that looks, above
which the process stood still, in seconds."""

SETTLE_SECONDS = 0.3
"""Longest time after a standstill, in which the process runs, until messages from it
have arrived, in seconds. They are in sockets that other threads read, which stood
still, too."""


@attrs.define(kw_only=True)
class Standstill:
    """Standstill from which messages may still arrive.

    Attributes
    ----------
    since : float
        Clock time of its start, in seconds.
    settled_at : float
        Clock time at which its messages have arrived, in seconds.
    """

    since: float
    settled_at: float


class InboxClock:
    """Tells since when the messages that are read now may have waited.

    A thread that is busy looks late into its inbox, too, but the threads that read the
    sockets go on meanwhile, so that what it reads next is all that waits.

    Parameters
    ----------
    now : float
        Clock time, in seconds.
    worked : float
        Processor time of the thread that looks, in seconds.

    Attributes
    ----------
    emptied_at : float
        Clock time at which no message waited, in seconds.
    """

    def __init__(self, *, now: float, worked: float) -> None:
        self.emptied_at = now
        self._worked = worked
        self._standstills: list[Standstill] = []

    def find_wait_start(self, now: float, worked: float) -> float:
        """Return the earliest time since which a message that is read now waited."""
        stood = now - self.emptied_at - (worked - self._worked)
        if stood > STANDSTILL_SECONDS:
            for earlier in self._standstills:
                earlier.settled_at += stood
            settled_at = now + min(stood, SETTLE_SECONDS)
            self._standstills.append(
                Standstill(since=self.emptied_at, settled_at=settled_at)
            )
        self._standstills = [s for s in self._standstills if now < s.settled_at]
        return self._standstills[0].since if self._standstills else self.emptied_at

    def record_empty(self, now: float, worked: float) -> None:
        """Record that no message waits."""
        self.emptied_at = now
        self._worked = worked
