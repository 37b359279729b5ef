"""Requests that wait for a majority of their database group."""

import enum

import attrs

from hyssopshelf import messages


class ConfirmationLevel(enum.Enum):
    """What must be known before a ticket is confirmed.

    ``TERM``: a majority, asked after the ticket was filed, still knows the
    ticket's term. ``LOG``: also a majority's log holds the position.
    """

    TERM = "term"
    LOG = "log"


class ConfirmationOutcome(enum.Enum):
    """Result of a ticket."""

    CONFIRMED = "confirmed"
    REPLACED = "replaced"


@attrs.define(kw_only=True)
class Ticket:
    """A request that waits for a majority of its database.

    Attributes
    ----------
    id : str
        Id of the served request.
    position : Position
        Term in which the request ran and the log index it wrote or read.
    filed_at : float
        Time at which the endpoint's answer was received.
    deadline : float
        Time at which the request is given up.
    outcome : ConfirmationOutcome or None
        None while undecided.
    confirmed_from : float
        Start of the round that confirmed it; the acknowledgement of a
        ``TERM`` ticket must leave within the freshness bound of this time.
    """

    id: str
    database: str
    level: ConfirmationLevel
    position: messages.Position
    filed_at: float
    deadline: float
    outcome: ConfirmationOutcome | None = None
    confirmed_from: float = float("-inf")
