"""Messages of forwarded units of work as their holder keeps and answers them."""

import asyncio
import functools

import attrs

from hyssopshelf import clocks, exceptions, logs
from hyssopshelf.gateway import (
    connection_pools,
    endpoint_connections,
    forward_messages,
)

CANCELLED_SECONDS = 10.0
"""Time for which a unit that was cancelled before it arrived is remembered."""

MAXIMUM_CANCELLED = 1000
"""Number of such units that are remembered."""

CANCELLED_REASON = "unit was cancelled"
"""Failure that a holder reports of a unit whose Cancel came first."""

PAUSED_REASON = "the holder was paused"
"""Failure that a holder reports of work that may have waited for too long."""


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
    received_at : float
        Clock time at which it was read, in seconds.
    deadline : float
        Clock time at which the entry node gives up, in seconds.
    sent : bool
        Whether the message may have reached the endpoint.
    time_limit : Timeout or None
        Ends the work early; None before it has begun.
    """

    message: forward_messages.Forward
    address: str
    received_at: float
    deadline: float
    sent: bool = False
    time_limit: asyncio.Timeout | None = None
    task: asyncio.Task | None = None

    def interrupt(self) -> None:
        """End the work; it is answered with a failure."""
        if self.time_limit is not None and self.time_limit.when() is None:
            self.time_limit.reschedule(asyncio.get_running_loop().time())

    def has_waited(self) -> bool:
        """Return whether it may have waited so long that another try is worth it."""
        waited = self.received_at + self.message.remaining - self.deadline
        return waited > clocks.LONG_WAIT_SECONDS

    def is_interrupted(self) -> bool:
        """Return whether the work was ended early."""
        return self.time_limit is not None and self.time_limit.expired()


class CancelledUnits:
    """Units that were cancelled before they arrived.

    A Cancel may overtake its unit, as the entry node reconnects to a silent holder.
    """

    def __init__(self) -> None:
        self._forgotten_at: dict[tuple[str, int], float] = {}

    def __contains__(self, key: tuple[str, int]) -> bool:
        return key in self._forgotten_at

    def add(self, key: tuple[str, int], now: float) -> None:
        """Remember a unit for a time; forget those that are too old or too many."""
        while self._forgotten_at:
            oldest = next(iter(self._forgotten_at))
            too_many = len(self._forgotten_at) >= MAXIMUM_CANCELLED
            if self._forgotten_at[oldest] > now and not too_many:
                break
            del self._forgotten_at[oldest]
        self._forgotten_at[key] = now + CANCELLED_SECONDS


def check_deadline(deadline: float) -> None:
    """Raise RefusalError if it is too late to send work.

    A timeout in the past does not end a wait that is over at once.
    """
    if clocks.read_clock() >= deadline:
        raise connection_pools.RefusalError(
            exceptions.ErrorKind.REFUSED, connection_pools.LATE_REASON
        )


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
