"""Define statements and answers, and convert them to and from JSON."""

import enum
import functools
from typing import TypeVar

import attrs

from hyssopshelf import envelopes, exceptions

T = TypeVar("T")

STOPPING_CLOSE_CODE = 4001
"""Code with which a stopping node closes the websocket of a client. It has answered all
statements that it read before, and those without an answer do not run."""


@functools.cache
def _make_converter(name: str):
    # Imported late: nodes of the platform need no converter, and the import takes a
    # tenth of their start.
    from cattrs.preconf import msgpack, orjson

    return {"plain": msgpack, "json": orjson}[name].make_converter(omit_if_default=True)


def structure(data: object, target: type[T]) -> T:
    """Convert plain data to an object of an attrs class.

    Raises
    ------
    CodecError
        If the data does not fit the class.
    """
    try:
        return _make_converter("plain").structure(data, target)
    except Exception as error:
        raise exceptions.CodecError(f"malformed {target.__name__}") from error


def unstructure(value: object) -> object:
    """Convert an attrs object to plain data; fields with their default are omitted."""
    return _make_converter("plain").unstructure(value)


def to_json(value: object) -> bytes:
    """Encode an attrs object as JSON; fields with their default are omitted."""
    return _make_converter("json").dumps(value)


def from_json(data: str | bytes, target: type[T]) -> T:
    """Decode JSON to an object of an attrs class.

    Raises
    ------
    CodecError
        If the data is not JSON or does not fit the class.
    """
    try:
        return _make_converter("json").loads(data, target)
    except Exception as error:
        raise exceptions.CodecError(f"malformed {target.__name__}") from error


class Operation(enum.Enum):
    """Operations that a caller can request."""

    GET = "get"
    PUT = "put"
    APPEND = "append"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"


WRITES = frozenset({Operation.PUT, Operation.APPEND, Operation.COMMIT})
"""Operations whose effect must be confirmed before they are acknowledged."""


class Consistency(enum.Enum):
    """Consistency levels of reads.

    ``SESSION``: includes everything that the session wrote or read. ``BOUNDED``:
    the data is no older than the staleness bound of the statement's kind.
    ``STRONG``: includes every write acknowledged before the read began.
    """

    SESSION = "session"
    BOUNDED = "bounded"
    STRONG = "strong"


@attrs.frozen(kw_only=True, order=True)
class Position:
    """A position in a replicated log: the term that wrote the entry and its index."""

    term: int
    index: int


@attrs.frozen(kw_only=True)
class TermStart:
    """A term in a log and the index of its first entry."""

    term: int
    first: int


@attrs.frozen(kw_only=True)
class Statement:
    """A request of a caller.

    Attributes
    ----------
    id : str
        Id chosen by the caller; the answer repeats it.
    pool, database : str
        Database to which the statement goes.
    partner, kind : str
        Partner on whose behalf it runs and its kind, which has a rank.
    operation : Operation
        Operation to run.
    key : str
        Key of a get, put or append.
    value : str or None
        Value of a put or append.
    consistency : Consistency
        Consistency level of a read.
    token : str
        Session token, empty for a new session.
    transaction : str
        Id of the open transaction, empty outside one.
    idempotency_key : str
        Key under which a repeated write returns the first outcome, empty if none.
    remaining_seconds : float
        Time to the deadline when the statement was sent. Hosts share no clock, so
        the remaining time is sent and the receiver computes its own deadline.
    """

    id: str
    pool: str
    database: str
    partner: str
    kind: str
    operation: Operation
    key: str = ""
    value: str | None = None
    consistency: Consistency = Consistency.SESSION
    token: str = ""
    transaction: str = ""
    idempotency_key: str = ""
    remaining_seconds: float = 5.0


@attrs.frozen(kw_only=True)
class Answer:
    """The answer to a statement; ``error`` is None on success."""

    id: str
    error: exceptions.ErrorKind | None = None
    message: str = ""
    value: str | None = None
    token: str = ""
    transaction: str = ""
    retry_after_seconds: float = 0.0
    endpoint: str = ""
    from_replica: bool = False


class Role(enum.Enum):
    """Roles of an endpoint in its database."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"


@attrs.frozen(kw_only=True)
class EndpointStatus:
    """Status that an endpoint reports of itself.

    Attributes
    ----------
    name : str
        Name of the endpoint.
    role : Role
        Current role.
    term : int
        Highest term the endpoint knows, raised by fencing.
    history : tuple of TermStart
        Terms of the log with their first index, oldest first.
    position : int
        Index of the last entry in the log.
    applied : int
        Index of the last entry visible to reads.
    lag_seconds : float
        Age of the data visible to reads, 0 on a primary.
    upstream_age_seconds : float
        Time since the endpoint was last in contact with its primary, 0 on a
        primary.
    primary : str
        The endpoint it follows, its own name on a primary.
    connections : int
        Number of open connections.
    discarded : int
        Number of log entries that the endpoint discarded when it rejoined as a
        replica.
    """

    name: str
    role: Role
    term: int
    history: tuple[TermStart, ...]
    position: int
    applied: int
    lag_seconds: float = 0.0
    upstream_age_seconds: float = 0.0
    primary: str = ""
    connections: int = 0
    discarded: int = 0


@attrs.frozen(kw_only=True)
class EndpointRequest:
    """A request on a connection to an endpoint; ``term`` 0 means any term."""

    operation: Operation
    key: str = ""
    value: str | None = None
    idempotency_key: str = ""
    term: int = 0


class EndpointError(enum.Enum):
    """Reasons for which an endpoint did not run a request."""

    NOT_PRIMARY = "not_primary"
    NO_TRANSACTION = "no_transaction"
    CONFLICT = "conflict"
    BAD_REQUEST = "bad_request"


@attrs.frozen(kw_only=True)
class EndpointAnswer:
    """An endpoint's answer with its status when the request ran.

    ``written`` is the position of a write's log entry, None for a read or for
    a statement inside a transaction before its commit.
    """

    status: EndpointStatus
    error: EndpointError | None = None
    value: str | None = None
    written: Position | None = None


@attrs.frozen(kw_only=True)
class Fence:
    """Raise an endpoint's term; granted to only one promoter per term."""

    term: int
    promoter: str


@attrs.frozen(kw_only=True)
class Promote:
    """Make a fenced endpoint the primary of the term it was fenced for."""

    term: int
    promoter: str


@attrs.frozen(kw_only=True)
class Follow:
    """Make an endpoint replicate from the primary of a term."""

    term: int
    primary: str


@attrs.frozen(kw_only=True)
class ControlAnswer:
    """Result of a control operation with the endpoint's status after it."""

    granted: bool
    status: EndpointStatus


@envelopes.register("statements.forward")
@attrs.frozen(kw_only=True)
class ForwardStatement:
    """Ask the serving node to run a statement.

    ``required`` is the position from the session token that a read must include.
    ``term`` is the highest term of the database that the sender knows.
    """

    request_id: str
    endpoint: str
    statement: Statement
    required: Position | None = None
    remaining_seconds: float = 0.0
    term: int = 0


@envelopes.register("statements.served")
@attrs.frozen(kw_only=True)
class ServedAnswer:
    """The serving node's answer to a forwarded statement.

    Attributes
    ----------
    seen : Position or None
        Log position that the session has written or read by this statement.
    behind : bool
        The endpoint's state does not satisfy the read; the primary has to run it.
    primary : str
        Primary of the database known to the serving node, empty if unknown.
    term : int
        Term of that primary.
    queueing_seconds : float
        Time the statement waited in the queue.
    processing_seconds : float
        Time between the statement's arrival and this answer.
    age_seconds : float
        Upper bound of the age of the data that a read returned.
    status : EndpointStatus or None
        Status of the endpoint, used to route later statements.
    confirmed : bool
        Whether the write rests on a confirmation of the term alone. It must be
        acknowledged within the freshness bound or be confirmed again.
    """

    request_id: str
    error: exceptions.ErrorKind | None = None
    message: str = ""
    value: str | None = None
    seen: Position | None = None
    transaction: str = ""
    retry_after_seconds: float = 0.0
    endpoint: str = ""
    from_replica: bool = False
    behind: bool = False
    primary: str = ""
    term: int = 0
    queueing_seconds: float = 0.0
    processing_seconds: float = 0.0
    age_seconds: float = 0.0
    status: EndpointStatus | None = None
    confirmed: bool = False


@envelopes.register("statements.cancel")
@attrs.frozen(kw_only=True)
class CancelStatement:
    """Cancel a forwarded statement whose caller disconnected."""

    request_id: str
