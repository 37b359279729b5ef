"""Records of the hosts of the fleet."""

import enum

import attrs


class HostState(enum.Enum):
    """What this node believes of a host."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"


@attrs.define(kw_only=True)
class HostRecord:
    """A host as this node sees it.

    Attributes
    ----------
    incarnation : int
        Larger at each start of the host's node.
    refutation : int
        Raised by the host itself when it announces a new state within an
        incarnation, so that newer news about it win.
    leaving : bool
        Whether the host last announced that it is leaving; it also holds while
        the host is suspected.
    moved : tuple of str
        Ids of endpoints that the host gave to their next choice.
    failed_at : float
        Time of the last failure, for the detection of flapping.
    flaps : int
        Failures that each followed the one before within the flap window.
    usable_from : float
        The host gets no placement before this time.
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
    """Return whether a host may get new placements.

    A suspected host keeps its placements until it is dead, because most
    suspicions under message loss are refuted.
    """
    return (
        record.state in (HostState.ALIVE, HostState.SUSPECT)
        and not record.leaving
        and record.usable_from <= now
    )
