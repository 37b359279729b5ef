"""Clock for deadlines and for the expiry of time-limited state."""

import time

LONG_WAIT_SECONDS = 0.1
"""Possible wait of a message above which its lateness does not mean an overload, in
seconds."""

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_clock() -> float:
    """Return the seconds since the host booted, including time in suspension.

    The monotonic clock stops while the host is suspended, so state timed by it
    would remain valid past its deadline.
    """
    return time.clock_gettime(_CLOCK)


def find_deadline(remaining: float, now: float, waited_since: float | None) -> float:
    """Return the time at which the sender of a message gives up, in seconds.

    Parameters
    ----------
    remaining : float
        Time that was left when the message was sent, in seconds.
    now : float
        Time at which it is read, in seconds.
    waited_since : float or None
        Earliest time, on the same clock, at which it can have arrived. None if that
        is not known, or if it does no harm to run the work late.
    """
    return remaining + (now if waited_since is None else waited_since)
