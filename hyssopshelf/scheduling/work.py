"""Work items of the scheduler and the refusal of one."""

import attrs


@attrs.define(kw_only=True)
class Work:
    """A statement that waits for or holds a slot of an endpoint.

    Attributes
    ----------
    id : str
        Identifier of the forwarded request.
    partner, rank, kind : str
        Partner, rank and kind that the work is scheduled and billed under.
    deadline : float
        Time on the node's clock, in seconds, after which it must not start.
    enqueued_at : float
        Time at which it entered the queue.
    in_transaction : bool
        Whether it belongs to an open transaction and so holds a connection.
    estimated_seconds : float
        Expected slot time; 0 if unknown.
    started_at : float or None
        Time at which it took a slot; None while it waits.
    customer : str
        Customer whose turn it takes within its rank; empty without customers.
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
    customer: str = ""


@attrs.frozen(kw_only=True)
class Refusal:
    """Reason why work was refused before it ran, with a retry hint.

    Attributes
    ----------
    reason : str
        Explanation for the caller.
    retry_after_seconds : float
        Time after which a retry may be accepted.
    """

    reason: str
    retry_after_seconds: float
