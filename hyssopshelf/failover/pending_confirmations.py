"""Requests that wait for confirmation by a majority of their database group."""

import enum

import attrs

from hyssopshelf import messages


class ConfirmationLevel(enum.Enum):
    """What a majority must report before a request is confirmed.

    ``TERM``: a majority, asked after the confirmation was requested, is still in
    the term of the request. ``LOG``: the logs of this majority also hold the
    position.
    """

    TERM = "term"
    LOG = "log"


class ConfirmationOutcome(enum.Enum):
    """Result of a confirmation.

    ``REPLACED``: a majority can no longer be in the term of the request.
    """

    CONFIRMED = "confirmed"
    REPLACED = "replaced"


@attrs.define(kw_only=True)
class PendingConfirmation:
    """A request that waits for confirmation by a majority of its database group.

    Attributes
    ----------
    id : str
        Id of the served request.
    position : Position
        Term in which the request ran and the log index it wrote or read.
    requested_at : float
        Time at which the endpoint's answer was received.
    deadline : float
        Time at which the request is abandoned.
    outcome : ConfirmationOutcome or None
        None while undecided.
    confirmed_from : float
        Start of the round that confirmed the request. An acknowledgement at
        level ``TERM`` must be sent within the freshness bound of this time.
    """

    id: str
    database: str
    level: ConfirmationLevel
    position: messages.Position
    requested_at: float
    deadline: float
    outcome: ConfirmationOutcome | None = None
    confirmed_from: float = float("-inf")
