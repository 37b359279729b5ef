"""Checks whether the state of an endpoint satisfies the consistency of a read."""

import enum

from hyssopshelf import messages
from hyssopshelf.consistency import positions


class CheckResult(enum.Enum):
    """Result of comparing the state of an endpoint with the requirements of a read.

    ``SATISFIED``: the state satisfies the read. ``BEHIND``: it does not, but a
    later state may. ``DISCARDED``: the log does not contain the position that
    the session saw and never will.
    """

    SATISFIED = "satisfied"
    BEHIND = "behind"
    DISCARDED = "discarded"


def needs_primary(
    consistency: messages.Consistency, required: messages.Position | None
) -> bool:
    """Return whether a read must run on the primary."""
    if consistency is messages.Consistency.STRONG:
        return True
    return consistency is messages.Consistency.SESSION and required is None


def needs_confirmation(
    consistency: messages.Consistency, required: messages.Position | None
) -> bool:
    """Return whether a read on the primary is valid only in a confirmed term.

    A session read with a token is decided by containment alone: a log that
    contains the session's position has everything the session wrote or saw.
    """
    return consistency is not messages.Consistency.SESSION or required is None


def compute_lag(status: messages.EndpointStatus, asked_at: float, now: float) -> float:
    """Return an upper bound of the age of the endpoint's data, in seconds.

    The time since the status was requested is added, so that an old or slow
    report never makes the data appear newer than it is.
    """
    return status.lag_seconds + (now - asked_at)


def check_state(
    status: messages.EndpointStatus,
    asked_at: float,
    consistency: messages.Consistency,
    required: messages.Position | None,
    staleness_seconds: float,
    now: float,
) -> CheckResult:
    """Compare the state of an endpoint with the requirements of a read.

    Parameters
    ----------
    status : EndpointStatus
        State of the endpoint at the time of the read, or its last known state.
    asked_at : float
        Time at which that state was requested.
    consistency : Consistency
        Consistency level of the read.
    required : Position or None
        Position of the database in the session's token.
    staleness_seconds : float
        Bound on the age of the data of a bounded read, in seconds.
    now : float
        Time of the check, on the same clock as ``asked_at``.
    """
    if required is not None:
        if positions.is_discarded(status.history, required):
            return CheckResult.DISCARDED
        if not positions.contains(status.history, status.applied, required):
            return CheckResult.BEHIND
    if status.role is messages.Role.PRIMARY:
        return CheckResult.SATISFIED
    if needs_primary(consistency, required):
        return CheckResult.BEHIND
    if consistency is messages.Consistency.BOUNDED:
        lag = compute_lag(status, asked_at, now)
        if lag > staleness_seconds:
            return CheckResult.BEHIND
    return CheckResult.SATISFIED


def find_seen_position(status: messages.EndpointStatus) -> messages.Position:
    """Return the position that a session has seen after a read in a state."""
    return positions.locate(status.history, status.applied)
