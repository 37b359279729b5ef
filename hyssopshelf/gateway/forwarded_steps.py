"""Messages of forwarded units of work as their holder keeps and answers them."""

import asyncio
import functools

import attrs

from hyssopshelf import logs
from hyssopshelf.gateway import (
    connection_pools,
    endpoint_connections,
    forward_messages,
)


@attrs.define(kw_only=True)
class PinnedUnit:
    """Unit with an open transaction at its holder, with the connection it keeps.

    Attributes
    ----------
    step : int
        Number of its last message.
    address : str
        Address of the entry node.
    used_at : float
        Clock time of the last answer, in seconds.
    """

    pool: connection_pools.ConnectionPool
    connection: endpoint_connections.EndpointConnection
    step: int
    address: str
    used_at: float


@attrs.define(kw_only=True)
class RunningStep:
    """Message of a unit that its holder works on.

    Attributes
    ----------
    address : str
        Address of the entry node.
    sent : bool
        Whether the message may have reached the endpoint.
    time_limit : Timeout or None
        Ends the work early; None before it has begun.
    """

    message: forward_messages.Forward
    address: str
    sent: bool = False
    time_limit: asyncio.Timeout | None = None
    task: asyncio.Task | None = None

    def interrupt(self) -> None:
        """End the work; it is answered with a failure."""
        if self.time_limit is not None and self.time_limit.when() is None:
            self.time_limit.reschedule(asyncio.get_running_loop().time())

    def is_interrupted(self) -> bool:
        """Return whether the work was ended early."""
        return self.time_limit is not None and self.time_limit.expired()


def make_failure(
    unit: int, step: int, failure: str, *, sent: bool
) -> forward_messages.Forwarded:
    """Return an answer without a reply of the endpoint."""
    return forward_messages.Forwarded(unit=unit, step=step, failure=failure, sent=sent)


def log_failure(answer: forward_messages.Forwarded, endpoint: str, entry: str) -> None:
    """Log work of another node that was refused or failed.

    Parameters
    ----------
    entry : str
        The other node.
    """
    logs.write_request(
        logs.LogEvent.FORWARD_FAILED,
        {
            "entry": entry,
            "unit": answer.unit,
            "step": answer.step,
            "endpoint": endpoint,
            "reason": answer.failure or answer.reason,
            "sent": answer.sent,
        },
    )


@functools.singledispatch
def find_customer(message: forward_messages.Forward) -> str:
    """Return the customer that forwarded work belongs to, empty without one."""
    return ""


@find_customer.register
def _find_named_customer(message: forward_messages.CustomerForward) -> str:
    return message.customer
