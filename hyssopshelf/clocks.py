"""The clock that bounds the age of beliefs."""

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_clock() -> float:
    """Return seconds since the host's start, time in suspension included.

    The monotonic clock stands still while the host is suspended; a belief that
    is timed by it would outlive its deadline.
    """
    return time.clock_gettime(_CLOCK)
