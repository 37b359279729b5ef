"""Messages between the coordinator, the members and candidates for its role."""

import attrs

from hyssopshelf import envelopes

AGE_UNIT_SECONDS = 0.0001
"""Unit of the ages of observations in messages, in seconds."""


@attrs.frozen(kw_only=True)
class FailureReport:
    """A member's report of an endpoint that it fails to reach.

    Attributes
    ----------
    failing_seconds : float
        Time since the first failure without a success after it, 0 if none.
    failures : int
        Failures in a row.
    """

    failing_seconds: float
    failures: int


@envelopes.register("authority.ping")
@attrs.frozen(kw_only=True)
class Ping:
    """A member's request for a grant, with a report of its state.

    Attributes
    ----------
    sequence : int
        Number that the answer repeats; no other process of the host uses it.
    stamp : float
        The coordinator's clock in its last answer, 0 without one.
    held : float
        Time since that answer arrived, in seconds.
    promises : bool
        Whether the member promises not to take over for a time.
    capacity : float
        Processor share of the member's host, in cores.
    wants_configuration : bool
        Whether the member should have received a newer configuration by now.
    successors_version : int
        Checksum of the successors that the member knows.
    observations : dict of str to (int, int, int, int)
        Positions of primaries' logs by database: version of the assignment, term,
        number, and time since the sending of the request that showed them, in units
        of ``AGE_UNIT_SECONDS``, rounded up.
    reach : dict of str to FailureReport
        Endpoints that the member fails to reach, by id.
    demand : dict of str to int
        Connections that the member could use, by endpoint.
    released : dict of str to int
        Newest assignment version that the member does not use again, by database.
    former_promise : float
        Seconds left of the member's promises to earlier coordinators.
    """

    sequence: int
    incarnation: int
    place: str
    epoch: int
    stamp: float = 0.0
    held: float = 0.0
    promises: bool = False
    assignments_version: int = 0
    configuration_version: int = -1
    registry_version: int = 0
    members_version: int = 0
    holders_version: int = 0
    shares_version: int = 0
    successors_version: int = 0
    capacity: float = 1.0
    wants_configuration: bool = False
    draining: bool = False
    observations: dict[str, tuple[int, int, int, int]] = attrs.field(factory=dict)
    reach: dict[str, FailureReport] = attrs.field(factory=dict)
    demand: dict[str, int] = attrs.field(factory=dict)
    released: dict[str, int] = attrs.field(factory=dict)
    former_promise: float = float("inf")


@envelopes.register("authority.pong")
@attrs.frozen(kw_only=True)
class Pong:
    """The coordinator's answer to a ping, with newer documents.

    Attributes
    ----------
    authoritative : bool
        Whether the answer grants the use of the assignments.
    resigning : bool
        Whether the first successor should take over now.
    stamp : float
        The coordinator's clock when the answer was sent.
    store_age : float
        Time since the coordinator's last contact with the store, in seconds.
    released : tuple of str
        Databases whose primary must not be used because a change is in progress.
    assignments, configuration, registry, members : bytes or None
        Newer documents than the member has; None if it is up to date.
    direct : tuple of str or None
        Databases whose primary the member may use over its own connections; None for
        all. The others it uses only through the hosts that hold the connections.
    successors : tuple of str or None
        Hosts that should take over first, in this order; None if the member is up to
        date.
    shares : dict of str to int or None
        The member's connections by endpoint, None if they have not changed.
    holders : bytes or None
        Compressed hosts and addresses that hold the connections of endpoints with too
        few for all nodes; None if the member is up to date.
    registry_age : float
        Time for which the store may have had another registry than the coordinator, in
        seconds; infinite if it has never read it.
    leaving : dict of str to float
        Seconds left for endpoints that leave until they are sent no more requests.
    """

    sequence: int
    epoch: int
    authoritative: bool
    resigning: bool = False
    stamp: float = 0.0
    store_age: float = 0.0
    released: tuple[str, ...] = ()
    assignments: bytes | None = None
    configuration: bytes | None = None
    configuration_version: int = -1
    registry: bytes | None = None
    registry_version: int = 0
    members: bytes | None = None
    members_version: int = 0
    direct: tuple[str, ...] | None = None
    successors: tuple[str, ...] | None = None
    successors_version: int = 0
    observations: dict[str, tuple[int, int, int, int]] = attrs.field(factory=dict)
    shares: dict[str, int] | None = None
    holders: bytes | None = None
    holders_version: int = 0
    registry_age: float = float("inf")
    leaving: dict[str, float] = attrs.field(factory=dict)


@envelopes.register("authority.release")
@attrs.frozen(kw_only=True)
class Release:
    """The coordinator's request to stop using a primary.

    Attributes
    ----------
    version : int
        Newest version of the assignment that must not be used.
    finish_seconds : float
        Time in which open writes may end.
    """

    database: str
    version: int
    epoch: int
    finish_seconds: float


@envelopes.register("authority.released")
@attrs.frozen(kw_only=True)
class Released:
    """Answer to Release: the member has stopped using the primary.

    It does not acknowledge any further write of it to a client.

    Attributes
    ----------
    incarnation : int
        Incarnation of the member; the answer does not hold for its successor.
    """

    database: str
    version: int
    epoch: int
    incarnation: int


@envelopes.register("authority.announce")
@attrs.frozen(kw_only=True)
class Announce:
    """A coordinator's notice that it took over or has news; members ping at once."""

    epoch: int
    incarnation: int


@envelopes.register("authority.recall")
@attrs.frozen(kw_only=True)
class Recall:
    """A coordinator's question which assignments a member knows.

    It asks when the store may have lost the latest ones.

    Attributes
    ----------
    full : bool
        Whether the answer should contain the assignments, not only their version.
    """

    epoch: int
    full: bool


@envelopes.register("authority.recalled")
@attrs.frozen(kw_only=True)
class Recalled:
    """Answer to Recall.

    Attributes
    ----------
    version : int
        Version of all assignments.
    assignments : bytes or None
        The document of all assignments, if it was asked for.
    """

    epoch: int
    version: int
    assignments: bytes | None = None


@envelopes.register("authority.inquire")
@attrs.frozen(kw_only=True)
class Inquire:
    """Question of a member that may take over: how long is the coordinator silent."""

    number: int
    epoch: int


@envelopes.register("authority.contact")
@attrs.frozen(kw_only=True)
class Contact:
    """Answer to Inquire: seconds since the last answer of the coordinator."""

    number: int
    epoch: int
    silence: float


@envelopes.register("authority.locate")
@attrs.frozen(kw_only=True)
class Locate:
    """Question of a node that has just started: which node coordinates."""


@envelopes.register("authority.located")
@attrs.frozen(kw_only=True)
class Located:
    """Answer to Locate: the coordinator that the sender follows."""

    host: str
    address: str
    incarnation: int
    epoch: int


@envelopes.register("authority.want_document")
@attrs.frozen(kw_only=True)
class WantDocument:
    """A coordinator's request for the configuration of a member, which is newer."""

    epoch: int


@envelopes.register("authority.document")
@attrs.frozen(kw_only=True)
class Document:
    """A configuration for one node of each place, or the answer to WantDocument.

    Attributes
    ----------
    data : bytes
        The compressed document.
    relay : bool
        Whether the receiver passes it on to the members of its place.
    """

    epoch: int
    version: int
    data: bytes
    relay: bool
