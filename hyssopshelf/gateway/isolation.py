"""Stages in which a node that is isolated from the coordinator stops serving.

An isolated node cannot learn of the primaries. It reports that it is not ready, so
that new clients reach other nodes. Later it refuses requests for a primary at once,
and then closes idle sessions, so that their clients reconnect to other nodes. A node
that has just started is not ready either, but it expects an answer of the
coordinator, so its requests wait.

If other nodes do not hear the coordinator either, they serve no better, and a new
coordinator is to be expected. Requests then wait for it, for longer.
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


SHARED_REFUSE_SECONDS = 6.0
"""The same while other nodes do not hear the coordinator either. A takeover takes
longer if a part of the fleet is cut off at the same time."""

SHARED_SILENCE_SECONDS = 1.5
"""Age of the last sign that another node does not hear the coordinator up to which
the silence counts as shared. Nodes that want to take over ask all others at least
each 1.2 s."""


class Stage(enum.IntEnum):
    """Reaction of a node to its isolation; each stage includes those before it."""

    CONNECTED = 0
    UNREADY = 1
    REFUSING = 2
    CLOSING = 3


def find_stage(silence: float, *, shared: bool = False) -> Stage:
    """Return the stage for a silence of the coordinator, in seconds.

    Parameters
    ----------
    shared : bool
        Whether other nodes do not hear it either.
    """
    if silence < UNREADY_SECONDS:
        return Stage.CONNECTED
    if silence < (SHARED_REFUSE_SECONDS if shared else REFUSE_SECONDS):
        return Stage.UNREADY
    if silence < CLOSE_SECONDS:
        return Stage.REFUSING
    return Stage.CLOSING
