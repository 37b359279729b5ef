"""Clock for deadlines and for the expiry of time-limited state."""

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_clock() -> float:
    """Return the seconds since the host booted, including time in suspension.

    The monotonic clock stops while the host is suspended, so state timed by it
    would remain valid past its deadline.
    """
    return time.clock_gettime(_CLOCK)
