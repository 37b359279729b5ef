"""Stages in which a node that is isolated from the coordinator stops serving.

An isolated node cannot learn of the primaries. It reports that it is not ready, so
that new clients reach other nodes. Later it refuses requests for a primary at once,
and then closes idle sessions, so that their clients reconnect to other nodes. A node
that has just started is not ready either, but it expects an answer of the
coordinator, so its requests wait.
"""

import enum

UNREADY_SECONDS = 1.5
"""Silence of the coordinator after which a node is not ready. The load balancer
checks once a second and acts after two failed checks, so a takeover of the
coordinator's role goes unnoticed."""

REFUSE_SECONDS = 2.5
"""Silence after which requests for a primary are refused at once; a takeover is
shorter."""

CLOSE_SECONDS = 4.0
"""Silence after which idle sessions are closed; by then the load balancer sends no
new clients."""


class Stage(enum.IntEnum):
    """Reaction of a node to its isolation; each stage includes those before it."""

    CONNECTED = 0
    UNREADY = 1
    REFUSING = 2
    CLOSING = 3


def find_stage(silence: float) -> Stage:
    """Return the stage for a silence of the coordinator, in seconds."""
    if silence < UNREADY_SECONDS:
        return Stage.CONNECTED
    if silence < REFUSE_SECONDS:
        return Stage.UNREADY
    if silence < CLOSE_SECONDS:
        return Stage.REFUSING
    return Stage.CLOSING
