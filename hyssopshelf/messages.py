"""Typed statements and answers, and the codec for messages between nodes."""

import enum
from collections.abc import Callable
from typing import TypeVar

import attrs
import msgpack
from cattrs.preconf import msgpack as msgpack_converter
from cattrs.preconf import orjson as orjson_converter

from hyssopshelf import exceptions

_CONVERTER = msgpack_converter.make_converter(omit_if_default=True)
_JSON_CONVERTER = orjson_converter.make_converter(omit_if_default=True)
_CLASSES: dict[str, type] = {}
_NAMES: dict[type, str] = {}

MAXIMUM_MESSAGE_BYTES = 4 * 1024 * 1024
"""Largest message between nodes, in bytes; a document has at most 1 MB."""

T = TypeVar("T")


def register(name: str) -> Callable[[type[T]], type[T]]:
    """Return a decorator that gives a message class its name on the wire."""

    def add(message_class: type[T]) -> type[T]:
        if name in _CLASSES:
            raise ValueError(f"message name {name} is registered twice")
        _CLASSES[name] = message_class
        _NAMES[message_class] = name
        return message_class

    return add


@attrs.frozen(kw_only=True)
class Envelope:
    """A message with its sender.

    Attributes
    ----------
    host : str
        Name of the sending host.
    address : str
        Address on which the sender's node listens for peers.
    message : object
        The message.
    """

    host: str
    address: str
    message: object


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope for the wire."""
    message = envelope.message
    body = _CONVERTER.unstructure(message)
    name = _NAMES[type(message)]
    return msgpack.packb([envelope.host, envelope.address, name, body])


def decode(data: bytes) -> Envelope:
    """Decode an envelope.

    Raises
    ------
    CodecError
        If the data is not a whole message of a registered class.
    """
    try:
        host, address, name, body = msgpack.unpackb(data, strict_map_key=False)
        message = _CONVERTER.structure(body, _CLASSES[name])
    except Exception as error:
        raise exceptions.CodecError(f"undecodable message: {error!r}") from error
    return Envelope(host=host, address=address, message=message)


def join_batch(parts: list[bytes]) -> bytes:
    """Return the wire form of encoded envelopes that travel together."""
    return msgpack.packb(parts)


def split_batch(data: bytes) -> list[bytes]:
    """Return the encoded envelopes of a batch.

    Raises
    ------
    CodecError
        If the data is not a whole batch.
    """
    try:
        parts = msgpack.unpackb(data)
    except Exception as error:
        raise exceptions.CodecError(f"undecodable batch: {error!r}") from error
    if not isinstance(parts, list) or not all(isinstance(p, bytes) for p in parts):
        raise exceptions.CodecError("undecodable batch: not a list of messages")
    return parts


def structure(data: object, target: type[T]) -> T:
    """Build an object of a typed attrs class from plain data.

    Raises
    ------
    CodecError
        If the data does not fit the class.
    """
    try:
        return _CONVERTER.structure(data, target)
    except Exception as error:
        raise exceptions.CodecError(f"malformed {target.__name__}") from error


def unstructure(value: object) -> object:
    """Return the plain data of an attrs object."""
    return _CONVERTER.unstructure(value)


def to_json(value: object) -> bytes:
    """Encode an attrs object as JSON; fields with their default are left out."""
    return _JSON_CONVERTER.dumps(value)


def from_json(data: str | bytes, target: type[T]) -> T:
    """Decode JSON into a typed attrs class.

    Raises
    ------
    CodecError
        If the data is not JSON or does not fit the class.
    """
    try:
        return _JSON_CONVERTER.loads(data, target)
    except Exception as error:
        raise exceptions.CodecError(f"malformed {target.__name__}") from error


class Operation(enum.Enum):
    """Operations that a caller can ask for."""

    GET = "get"
    PUT = "put"
    APPEND = "append"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"


WRITES = frozenset({Operation.PUT, Operation.APPEND, Operation.COMMIT})
"""Operations whose effect must be confirmed before the answer."""


class Consistency(enum.Enum):
    """What a read has to see.

    ``SESSION``: everything that the session wrote or saw. ``BOUNDED``: data
    no older than the staleness bound of its kind. ``STRONG``: every write
    acknowledged before the read began.
    """

    SESSION = "session"
    BOUNDED = "bounded"
    STRONG = "strong"


@attrs.frozen(kw_only=True, order=True)
class Position:
    """A place in a replicated log: the term that wrote it and its index."""

    term: int
    index: int


@attrs.frozen(kw_only=True)
class TermStart:
    """The first index that a term wrote in a log."""

    term: int
    first: int


@attrs.frozen(kw_only=True)
class Statement:
    """A request of a caller.

    Attributes
    ----------
    id : str
        The caller's name for the request; the answer repeats it.
    pool, database, partner, kind : str
        What the statement addresses and on whose behalf.
    operation : Operation
        What to do.
    key : str
        Key of a get, put or append.
    value : str or None
        Value of a put or append.
    consistency : Consistency
        What a read has to see.
    token : str
        Session token, empty for a new session.
    transaction : str
        Id of the open transaction, empty outside one.
    idempotency_key : str
        With it a repeat of a write returns the first outcome.
    remaining_seconds : float
        Time left when the statement was sent. Hosts share no clock, so the
        remaining time crosses the wire and the receiver stores a deadline.
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
    """The part that an endpoint plays in its database."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"


@attrs.frozen(kw_only=True)
class EndpointStatus:
    """What an endpoint reports of itself.

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
        Time since the endpoint last heard its primary, 0 on a primary.
    primary : str
        The endpoint it follows, its own name on a primary.
    connections : int
        Open connections.
    discarded : int
        Entries that the endpoint dropped when it rejoined as a replica.
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
    """Why an endpoint did not carry out a request. None of these ran it."""

    NOT_PRIMARY = "not_primary"
    NO_TRANSACTION = "no_transaction"
    CONFLICT = "conflict"
    BAD_REQUEST = "bad_request"


@attrs.frozen(kw_only=True)
class EndpointAnswer:
    """An endpoint's answer with its state when the request ran.

    ``written`` is the position of a write's log entry, None for a read or for
    a statement inside a transaction before its commit.
    """

    status: EndpointStatus
    error: EndpointError | None = None
    value: str | None = None
    written: Position | None = None


@attrs.frozen(kw_only=True)
class Fence:
    """Raise an endpoint's known term; granted only to one promoter a term."""

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
    """Result of a control operation with the endpoint's state after it."""

    granted: bool
    status: EndpointStatus


@register("statements.forward")
@attrs.frozen(kw_only=True)
class ForwardStatement:
    """Ask the serving node to run a statement.

    ``required`` is the position from the session token that a read has to
    include. ``term`` is the sender's known term of the database.
    """

    request_id: str
    endpoint: str
    statement: Statement
    required: Position | None = None
    remaining_seconds: float = 0.0
    term: int = 0


@register("statements.served")
@attrs.frozen(kw_only=True)
class ServedAnswer:
    """The serving node's answer to a forwarded statement.

    Attributes
    ----------
    seen : Position or None
        Log position that the session has now written or seen.
    behind : bool
        The read was not run because the endpoint cannot satisfy it.
    primary, term
        The serving node's knowledge of the database, for routing.
    queueing_seconds : float
        Time the statement waited in the queue.
    processing_seconds : float
        Time between the statement's arrival and this answer.
    age_seconds : float
        Upper bound of the age of the data that a read returned.
    status : EndpointStatus or None
        State of the endpoint, for the sender's next choices.
    confirmed : bool
        The answer holds only while its term is confirmed; the acknowledgement
        must leave within the freshness bound or be confirmed again.
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


@register("statements.cancel")
@attrs.frozen(kw_only=True)
class CancelStatement:
    """The caller of a forwarded statement is gone."""

    request_id: str
