"""Assignments of primaries, and the documents in which the store keeps them."""

import attrs
import msgpack

from hyssopshelf import exceptions

PREFIX = "hyssopshelf/"
COORDINATOR_KEY = PREFIX + "coordinator"
ASSIGNMENTS_KEY = PREFIX + "assignments"
MEMBER_PREFIX = PREFIX + "members/"

ERA_VERSIONS = 10**6
"""Number of versions of one era of the store. Members keep what has the highest
version, so those of a later era are above all that an older copy has lost."""


@attrs.frozen(kw_only=True)
class Assignment:
    """The endpoint that is a database's primary.

    Attributes
    ----------
    endpoint : str
        Id of the endpoint.
    term : int
        Term in which it is the primary; 0 while that is not known.
    version : int
        Increased with each change of the database's primary.
    promoting : bool
        Whether its promotion has been recorded and has not yet taken effect.
    unsettled : bool
        Whether calls that promote it have got no answer and may be carried out late
        although it leads. While ``promoting``, one such call needs no mark.
    """

    endpoint: str
    term: int
    version: int
    promoting: bool = False
    unsettled: bool = False


@attrs.frozen(kw_only=True)
class Assignments:
    """The assignments of all databases, stored as one document.

    Attributes
    ----------
    version : int
        Increased with each change.
    databases : dict of str to Assignment
        Assignment by database.
    era : int
        Era of the store in which the document was written. One of an earlier era may
        not be the last that was written.
    """

    version: int = 0
    databases: dict[str, Assignment] = attrs.field(factory=dict)
    era: int = 0

    def replace(self, database: str, assignment: Assignment) -> "Assignments":
        """Return the next version with one assignment replaced."""
        databases = {**self.databases, database: assignment}
        return attrs.evolve(self, version=self.version + 1, databases=databases)


@attrs.frozen(kw_only=True)
class CoordinatorRecord:
    """The node that coordinates, as the store and the members know it.

    Attributes
    ----------
    epoch : int
        Increased with each change of the coordinator; the fencing token.
    lease : int
        Lease that the coordinator renews; ending it ends its authority. 0 if the
        record comes from a message, or the coordinator is an interim one.
    withheld : tuple of str
        Hosts that it grants nothing, as they were lost before it took over. One that
        returns is taken out of the record first, so that the next coordinator need not
        wait for grants of those that are left.
    """

    host: str
    address: str
    incarnation: int
    epoch: int
    lease: int
    withheld: tuple[str, ...] = attrs.field(default=(), converter=tuple)


@attrs.frozen(kw_only=True)
class MemberRecord:
    """A registered node.

    Attributes
    ----------
    capacity : float
        Processor share of its host in cores, 0 if not known.
    """

    host: str
    address: str
    incarnation: int
    place: str = ""
    capacity: float = 0.0


def find_first_version(era: int) -> int:
    """Return the lowest version of assignments in an era of the store."""
    return era * ERA_VERSIONS + 1


def encode(value) -> bytes:
    """Encode an attrs object as a document for the store.

    A flag that is not set, or a list without entries, is left out, as nodes of an
    earlier version may not know it.
    """
    return msgpack.packb(
        attrs.asdict(
            value, filter=lambda field, known: known is not False and known != ()
        )
    )


def decode_assignments(data: bytes) -> Assignments:
    """Decode the document of all assignments.

    Raises
    ------
    CodecError
        If the document is damaged or lacks a field.
    """
    fields = unpack(data)
    try:
        databases = {
            name: Assignment(**entry) for name, entry in fields["databases"].items()
        }
        return Assignments(
            version=fields["version"], databases=databases, era=fields.get("era", 0)
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise exceptions.CodecError(f"unreadable assignments: {error!r}") from error


def decode_coordinator(data: bytes) -> CoordinatorRecord:
    """Decode a coordinator's record.

    Raises
    ------
    CodecError
        If the document is damaged or has other fields.
    """
    return _decode_record(CoordinatorRecord, data)


def decode_member(data: bytes) -> MemberRecord:
    """Decode a member's registration.

    Raises
    ------
    CodecError
        If the document is damaged or has other fields.
    """
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
        If the document is damaged or incomplete.
    """
    try:
        return msgpack.unpackb(data)
    except Exception as error:
        raise exceptions.CodecError(f"unreadable document: {error!r}") from error
