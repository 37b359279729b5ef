"""Host records: the state, location and failure history of each host."""

import enum

import attrs


class HostState(enum.Enum):
    """State of a host in the view of this node."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"


@attrs.define(kw_only=True)
class HostRecord:
    """View of a host at this node.

    Attributes
    ----------
    incarnation : int
        Number that grows with each start of the host's node.
    refutation : int
        Incremented by the host itself when it announces a new state within an
        incarnation, so that the announcement overrides older rows.
    leaving : bool
        Whether the host last announced that it is leaving; kept while the host
        is suspected.
    moved : tuple of str
        Ids of endpoints that the host moved to the next host in their ranking.
    failed_at : float
        Time of the last failure, used to detect flapping.
    flaps : int
        Number of consecutive failures that each followed the previous one within
        the flap window.
    usable_from : float
        Time before which the host gets no placements.
    """

    name: str
    address: str
    place: str
    region: str = ""
    state: HostState = HostState.ALIVE
    incarnation: int = 0
    refutation: int = 0
    leaving: bool = False
    moved: tuple[str, ...] = ()
    failed_at: float = float("-inf")
    flaps: int = 0
    usable_from: float = float("-inf")


def is_usable(record: HostRecord, now: float) -> bool:
    """Return whether a host may be assigned endpoints.

    A suspected host keeps its placements until it is dead, because most
    suspicions under message loss are refuted.
    """
    return (
        record.state in (HostState.ALIVE, HostState.SUSPECT)
        and not record.leaving
        and record.usable_from <= now
    )
