"""Pattern: a node that cannot serve sends its callers to one that can.

A node that is cut off from the coordinator cannot know the primaries. It reports
that it is not ready, so that new callers reach other nodes, refuses what needs a
primary at once, and closes sessions without open work; their callers come back
elsewhere. A node that has just started is not ready either, but it expects an answer
of the coordinator, so its requests wait.
"""

import enum

UNREADY_SECONDS = 1.5
"""Silence of the coordinator after which a node is not ready. The balancer asks once
a second and needs two answers, so a takeover goes unnoticed."""

REFUSE_SECONDS = 2.5
"""Silence after which requests for a primary are refused at once; a takeover takes
less."""

CLOSE_SECONDS = 4.0
"""Silence after which idle sessions are closed; the balancer has noticed by then."""


class Stage(enum.IntEnum):
    """What a node does about its isolation."""

    CONNECTED = 0
    UNREADY = 1
    REFUSING = 2
    CLOSING = 3


def find_stage(silence: float) -> Stage:
    """Return the stage after a silence of the coordinator, in seconds."""
    if silence < UNREADY_SECONDS:
        return Stage.CONNECTED
    if silence < REFUSE_SECONDS:
        return Stage.UNREADY
    if silence < CLOSE_SECONDS:
        return Stage.REFUSING
    return Stage.CLOSING
