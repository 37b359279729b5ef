"""Statements of client sessions and replies of endpoints."""

from typing import NamedTuple

import attrs

from hyssopshelf import exceptions


class LogPosition(NamedTuple):
    """A position in the replicated log; positions compare in log order.

    Attributes
    ----------
    term : int
        Term of the primary that wrote the entry.
    number : int
        Number of the entry.
    """

    term: int
    number: int

    def __str__(self) -> str:
        """Return ``term.number``, the format of the endpoints."""
        return f"{self.term}.{self.number}"


@attrs.frozen(kw_only=True)
class Begin:
    """Start a transaction."""

    read_only: bool


@attrs.frozen(kw_only=True)
class Commit:
    """Commit the open transaction."""


@attrs.frozen(kw_only=True)
class Rollback:
    """Roll the open transaction back."""


@attrs.frozen(kw_only=True)
class Access:
    """Read or write one item."""

    writes: bool


@attrs.frozen(kw_only=True)
class Execute:
    """Run a prepared statement.

    Attributes
    ----------
    name : bytes
        The client's name of the prepared statement.
    arguments : bytes
        Item and data as the client sent them.
    """

    name: bytes
    arguments: bytes


@attrs.frozen(kw_only=True)
class SetValue:
    """Set a session value."""

    name: bytes
    value: bytes


@attrs.frozen(kw_only=True)
class Prepare:
    """Prepare a statement under a name of the session."""

    name: bytes
    shape: "Shape"


@attrs.frozen(kw_only=True)
class Deallocate:
    """Remove a prepared statement of the session."""

    name: bytes


class Shape(NamedTuple):
    """Content of a prepared statement; sessions with equal shapes share one."""

    writes: bool
    text: bytes


Statement = (
    Begin | Commit | Rollback | Access | Execute | SetValue | Prepare | Deallocate
)


@attrs.frozen(kw_only=True)
class Request:
    """One message of a client.

    Attributes
    ----------
    id : bytes
        The client's id of the request; it reaches the endpoint unchanged.
    text : bytes
        Text of the statement; it reaches the endpoint unchanged.
    statement : Statement or None
        Decoded statement, None if the text is malformed.
    """

    id: bytes
    text: bytes
    statement: Statement | None


@attrs.define(kw_only=True)
class Reply:
    """Complete answer of an endpoint to one message.

    Attributes
    ----------
    rows : list of bytes
        Rows as received.
    signature : bytes
        Signature of a success.
    error : ErrorKind or None
        Kind of the failure, None for a success.
    detail : bytes
        Text of the error, from the endpoint or the gateway; clients receive it.
    state : bytes
        Letter of the connection's transaction state after it: ``I`` without a
        transaction.
    position : LogPosition or None
        Position of the endpoint's log after the statement.
    """

    rows: list[bytes] = attrs.field(factory=list)
    signature: bytes = b""
    error: exceptions.ErrorKind | None = None
    detail: bytes = b""
    state: bytes = b"I"
    position: LogPosition | None = None
