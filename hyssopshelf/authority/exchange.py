"""Messages between coordinator and members."""

import attrs

from hyssopshelf import messages


@attrs.frozen(kw_only=True)
class FailureReport:
    """What a member sees of an endpoint.

    Attributes
    ----------
    failing_seconds : float
        Time since the first failure without a success after it, 0 if none.
    """

    failing_seconds: float
    failures: int


@messages.register("authority.ping")
@attrs.frozen(kw_only=True)
class Ping:
    """A member asks the coordinator for a grant and reports what it sees.

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
        Whether the member misses a configuration that it should have by now.
    observations : dict of str to (int, int, int, float)
        Positions of primaries' logs by database: version of the assignment, term,
        number, and time since the message that they answer was sent, in seconds.
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
    """The answer to a ping.

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
        Databases whose primary must not be used.
    assignments, configuration, registry, members : bytes or None
        Newer documents than the member has; None if it is up to date.
    shares : dict of str to int or None
        The member's connections by endpoint, None if they have not changed.
    holders : dict or None
        Hosts and addresses that hold the connections of endpoints with too few for
        all; None if the member is up to date.
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
    """The coordinator asks a member to stop using a primary.

    Attributes
    ----------
    version : int
        Newest version of the assignment that must not be used.
    finish_seconds : float
        Time in which open work may end.
    """

    database: str
    version: int
    epoch: int
    finish_seconds: float


@messages.register("authority.released")
@attrs.frozen(kw_only=True)
class Released:
    """A member stopped using a primary and acknowledges nothing from it."""

    database: str
    version: int
    epoch: int


@messages.register("authority.announce")
@attrs.frozen(kw_only=True)
class Announce:
    """A coordinator tells that it took over, or that there is news."""

    epoch: int
    incarnation: int


@messages.register("authority.inquire")
@attrs.frozen(kw_only=True)
class Inquire:
    """A member that wants to take over asks when others heard the coordinator."""

    number: int
    epoch: int


@messages.register("authority.contact")
@attrs.frozen(kw_only=True)
class Contact:
    """Answer to Inquire: time since the last answer of the coordinator."""

    number: int
    epoch: int
    silence: float


@messages.register("authority.locate")
@attrs.frozen(kw_only=True)
class Locate:
    """A node that has just started asks for the coordinator."""


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
    """A large configuration, sent to one node of each place and passed on there.

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
