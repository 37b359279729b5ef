"""Numbers of messages and of units of work that no other process of a host uses.

A process numbers what it asks of other nodes, and their answers repeat the number. An
answer to a process that has ended may reach its successor, which has the same host and
address, so the numbers of two processes must differ without either knowing the other.
"""

import itertools
import secrets
import time
from collections.abc import Iterator

COUNT_BITS = 20
"""Bits of a number below the start of its process, which is in milliseconds."""

EARLIER_MILLISECONDS = 100
"""Minimum time between the starts of two processes of a host, in milliseconds."""


def start_count() -> Iterator[int]:
    """Return increasing numbers that fit into 63 bits.

    They begin at the time of day and a random part, as a clock that was set back may
    show the start of an earlier process again.
    """
    started = time.time_ns() // 1_000_000
    return itertools.count(started << COUNT_BITS | secrets.randbits(COUNT_BITS))


def is_earlier_process(number: int, other: int) -> bool:
    """Return whether a number is of an earlier process of a host than another one.

    False for two of one process; also if the clock was set back between the starts.
    """
    return (number >> COUNT_BITS) + EARLIER_MILLISECONDS < other >> COUNT_BITS
