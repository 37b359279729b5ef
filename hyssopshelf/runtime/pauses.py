"""Since when messages may have waited while a process was paused."""

import attrs

TICK_SECONDS = 0.05
"""Time between two looks into an inbox without messages, in seconds."""

PAUSE_SECONDS = 0.1
"""Time without a look into the inbox, and without work of the thread that looks, above
which the process was paused, in seconds."""

SETTLE_SECONDS = 0.3
"""Longest time after a pause, in which the process runs, until messages from it
have arrived, in seconds. They are in sockets that other threads read, which were
paused, too."""


@attrs.define(kw_only=True)
class Pause:
    """Pause from which messages may still arrive.

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
    cpu_seconds : float
        Processor time of the thread that looks, in seconds.

    Attributes
    ----------
    emptied_at : float
        Clock time at which no message waited, in seconds.
    """

    def __init__(self, *, now: float, cpu_seconds: float) -> None:
        self.emptied_at = now
        self._cpu_seconds = cpu_seconds
        self._pauses: list[Pause] = []

    def find_wait_start(self, now: float, cpu_seconds: float) -> float:
        """Return the earliest time since which a message that is read now waited."""
        paused = now - self.emptied_at - (cpu_seconds - self._cpu_seconds)
        if paused > PAUSE_SECONDS:
            for earlier in self._pauses:
                earlier.settled_at += paused
            settled_at = now + min(paused, SETTLE_SECONDS)
            self._pauses.append(Pause(since=self.emptied_at, settled_at=settled_at))
        self._pauses = [pause for pause in self._pauses if now < pause.settled_at]
        return self._pauses[0].since if self._pauses else self.emptied_at

    def record_empty(self, now: float, cpu_seconds: float) -> None:
        """Record that no message waits."""
        self.emptied_at = now
        self._cpu_seconds = cpu_seconds
