"""Messages between the coordinator, the members and candidates for its role."""

import attrs

from hyssopshelf import messages


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


@messages.register("authority.ping")
@attrs.frozen(kw_only=True)
class Ping:
    """A member's request for a grant, with a report of its state.

    Attributes
    ----------
    sequence : int
        Number that the answer repeats.
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
    observations : dict of str to (int, int, int, float)
        Positions of primaries' logs by database: version of the assignment, term,
        number, and seconds since the sending of the request that showed them.
    reach : dict of str to FailureReport
        Endpoints that the member fails to reach, by id.
    demand : dict of str to int
        Connections that the member could use, by endpoint.
    released : dict of str to int
        Newest assignment version that the member does not use again, by database.
    """

    sequence: int
    incarnation: int
    place: str
    epoch: int
    stamp: float = 0.0
    held: float = 0.0
    promises: bool = False
    assignments_version: int = 0
    configuration_version: int = 0
    registry_version: int = 0
    members_version: int = 0
    holders_version: int = 0
    shares_version: int = 0
    capacity: float = 1.0
    wants_configuration: bool = False
    draining: bool = False
    observations: dict[str, tuple[int, int, int, float]] = attrs.field(factory=dict)
    reach: dict[str, FailureReport] = attrs.field(factory=dict)
    demand: dict[str, int] = attrs.field(factory=dict)
    released: dict[str, int] = attrs.field(factory=dict)


@messages.register("authority.pong")
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
    successors : tuple of str
        Hosts that should take over first, in this order.
    shares : dict of str to int or None
        The member's connections by endpoint, None if they have not changed.
    holders : dict or None
        Hosts and addresses that hold the connections of endpoints with too few for
        all nodes; None if the member is up to date.
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
    configuration_version: int = 0
    registry: bytes | None = None
    registry_version: int = 0
    members: bytes | None = None
    members_version: int = 0
    successors: tuple[str, ...] = ()
    observations: dict[str, tuple[int, int, int, float]] = attrs.field(factory=dict)
    shares: dict[str, int] | None = None
    holders: dict[str, list[tuple[str, str]]] | None = None
    holders_version: int = 0


@messages.register("authority.release")
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


@messages.register("authority.released")
@attrs.frozen(kw_only=True)
class Released:
    """Answer to Release: the member has stopped using the primary.

    It does not acknowledge any further write of it to a client.
    """

    database: str
    version: int
    epoch: int


@messages.register("authority.announce")
@attrs.frozen(kw_only=True)
class Announce:
    """A coordinator's notice that it took over or has news; members ping at once."""

    epoch: int
    incarnation: int


@messages.register("authority.inquire")
@attrs.frozen(kw_only=True)
class Inquire:
    """Question of a member that may take over: how long is the coordinator silent."""

    number: int
    epoch: int


@messages.register("authority.contact")
@attrs.frozen(kw_only=True)
class Contact:
    """Answer to Inquire: seconds since the last answer of the coordinator."""

    number: int
    epoch: int
    silence: float


@messages.register("authority.locate")
@attrs.frozen(kw_only=True)
class Locate:
    """Question of a node that has just started: which node coordinates."""


@messages.register("authority.located")
@attrs.frozen(kw_only=True)
class Located:
    """Answer to Locate: the coordinator that the sender follows."""

    host: str
    address: str
    incarnation: int
    epoch: int


@messages.register("authority.document")
@attrs.frozen(kw_only=True)
class Document:
    """A large configuration, sent to one node of each place and relayed there.

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
