"""A unit of work that waits for or holds a slot of an endpoint."""

import attrs


@attrs.define(kw_only=True)
class Work:
    """A statement at its serving node, as the scheduler sees it.

    Attributes
    ----------
    id : str
        Id of the forwarded request.
    partner, rank, kind : str
        Whose work it is.
    deadline : float
        Time on the node's clock after which it must not start.
    enqueued_at : float
        Time at which it entered the queue.
    in_transaction : bool
        True if it belongs to an open transaction; it holds a connection.
    estimated_seconds : float
        Expected slot time, 0 if unknown.
    started_at : float or None
        Time at which it took a slot.
    """

    id: str
    partner: str
    rank: str
    kind: str = ""
    deadline: float
    enqueued_at: float
    in_transaction: bool = False
    estimated_seconds: float = 0.0
    started_at: float | None = None


@attrs.frozen(kw_only=True)
class Refusal:
    """Work was refused before it ran.

    Attributes
    ----------
    reason : str
        Why.
    retry_after_seconds : float
        Time after which a repeat may be accepted.
    """

    reason: str
    retry_after_seconds: float
