"""Assignments of primaries and their documents in the store."""

import attrs
import msgpack

from hyssopshelf import exceptions

PREFIX = "hyssopshelf/"
COORDINATOR_KEY = PREFIX + "coordinator"
ASSIGNMENTS_KEY = PREFIX + "assignments"
MEMBER_PREFIX = PREFIX + "members/"


@attrs.frozen(kw_only=True)
class Assignment:
    """The endpoint that leads a database.

    Attributes
    ----------
    endpoint : str
        Id of the endpoint.
    term : int
        Term in which it leads; 0 while that is not known.
    version : int
        Raised with each change of the database's primary.
    promoting : bool
        True from before the promotion until it was seen to take effect.
    """

    endpoint: str
    term: int
    version: int
    promoting: bool = False


@attrs.frozen(kw_only=True)
class Assignments:
    """All assignments.

    Attributes
    ----------
    version : int
        Raised with each change.
    databases : dict of str to Assignment
        Assignment by database.
    """

    version: int = 0
    databases: dict[str, Assignment] = attrs.field(factory=dict)

    def replace(self, database: str, assignment: Assignment) -> "Assignments":
        """Return the next version with one assignment replaced."""
        databases = {**self.databases, database: assignment}
        return Assignments(version=self.version + 1, databases=databases)


@attrs.frozen(kw_only=True)
class CoordinatorRecord:
    """Who coordinates.

    Attributes
    ----------
    epoch : int
        Raised with each change of the coordinator; the fencing token.
    lease : int
        Lease that the coordinator renews; ending it ends its authority.
    """

    host: str
    address: str
    incarnation: int
    epoch: int
    lease: int


@attrs.frozen(kw_only=True)
class MemberRecord:
    """A registered node.

    Attributes
    ----------
    capacity : float
        Processor share of its host in cores, 0 if it is not known.
    """

    host: str
    address: str
    incarnation: int
    place: str = ""
    capacity: float = 0.0


def encode(value) -> bytes:
    """Return the document of an attrs object."""
    return msgpack.packb(attrs.asdict(value))


def decode_assignments(data: bytes) -> Assignments:
    """Decode a document of assignments."""
    fields = unpack(data)
    try:
        databases = {
            name: Assignment(**entry) for name, entry in fields["databases"].items()
        }
        return Assignments(version=fields["version"], databases=databases)
    except (KeyError, TypeError, AttributeError) as error:
        raise exceptions.CodecError(f"unreadable assignments: {error!r}") from error


def decode_coordinator(data: bytes) -> CoordinatorRecord:
    """Decode the document of the coordinator."""
    return _decode_record(CoordinatorRecord, data)


def decode_member(data: bytes) -> MemberRecord:
    """Decode the document of a member."""
    return _decode_record(MemberRecord, data)


def _decode_record(record_class, data: bytes):
    try:
        return record_class(**unpack(data))
    except TypeError as error:
        name = record_class.__name__
        raise exceptions.CodecError(f"unreadable {name}: {error!r}") from error


def unpack(data: bytes) -> dict:
    """Decode a document into plain data.

    Raises
    ------
    CodecError
        If it is not a whole document.
    """
    try:
        return msgpack.unpackb(data)
    except Exception as error:
        raise exceptions.CodecError(f"unreadable document: {error!r}") from error
