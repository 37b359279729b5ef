"""Records written by the simulation and read by the checker.

All times are virtual time in seconds, not readings of a skewed clock.
"""

import re
import zlib

import attrs

from hyssopshelf import exceptions, messages

_ITEM = re.compile(r"<([^<>|,]*)\|([^<>|,]*)\|([^<>|,]*)\|([0-9a-f]{8})>")


def make_value(database: str, key: str, label: str) -> str:
    """Return a value that identifies its write, with a checksum."""
    body = f"{database}|{key}|{label}"
    return f"<{body}|{zlib.crc32(body.encode()):08x}>"


def parse_value(database: str, key: str, value: str) -> list[str] | None:
    """Return the labels of the writes in a value, None if it is not intact.

    A value is not intact either if it was written for another database or key.
    """
    labels = []
    for item in value.split(","):
        match = _ITEM.fullmatch(item)
        if match is None:
            return None
        found_database, found_key, label, checksum = match.groups()
        body = f"{found_database}|{found_key}|{label}"
        intact = f"{zlib.crc32(body.encode()):08x}" == checksum
        if not intact or (found_database, found_key) != (database, key):
            return None
        labels.append(label)
    return labels


@attrs.define(kw_only=True)
class Request:
    """One statement of a caller and its answer.

    Attributes
    ----------
    session : str
        Session of the statement; the statements of a session are sequential.
    label : str
        Identifier of the write, shared by its retries.
    transaction : str
        Caller's identifier of the transaction, empty outside one.
    had_token, forged : bool
        Whether a session token was sent, and whether it was forged.
    answered_at : float or None
        Time at which the caller received the answer, None without one.
    answers : int
        Number of answers received.
    """

    id: str
    session: str
    entry_host: str
    database: str
    operation: messages.Operation
    key: str = ""
    label: str = ""
    kind: str = ""
    consistency: messages.Consistency = messages.Consistency.SESSION
    staleness_seconds: float = 0.0
    acknowledge: str = "majority"
    transaction: str = ""
    idempotency_key: str = ""
    had_token: bool = False
    forged: bool = False
    invoked_at: float = 0.0
    answered_at: float | None = None
    answers: int = 0
    answered_id: str = ""
    error: exceptions.ErrorKind | None = None
    value: str | None = None
    endpoint: str = ""
    from_replica: bool = False
    retried: bool = False

    @property
    def succeeded(self) -> bool:
        """Return whether the caller received a success answer."""
        return self.answered_at is not None and self.error is None


@attrs.frozen(kw_only=True)
class LogEntry:
    """An entry that a primary appended to the log of its database.

    Attributes
    ----------
    parent : Position or None
        Position of the entry before it, None for the first.
    writes : tuple of (key, label)
        The writes of the entry.
    """

    database: str
    endpoint: str
    position: messages.Position
    parent: messages.Position | None
    writes: tuple[tuple[str, str], ...]
    executed_at: float


@attrs.frozen(kw_only=True)
class Execution:
    """A request that an endpoint executed for a connection.

    Attributes
    ----------
    overlapped : bool
        An earlier request on the connection had not been answered yet.
    sent_at : float
        Time at which the node sent it.
    """

    endpoint: str
    host: str
    incarnation: int
    connection: str
    operation: messages.Operation
    key: str
    label: str
    sent_at: float
    at: float
    succeeded: bool
    overlapped: bool = False


@attrs.frozen(kw_only=True)
class Promotion:
    """A promotion of an endpoint to primary."""

    database: str
    endpoint: str
    term: int
    at: float


@attrs.frozen(kw_only=True)
class ConfigurationAccepted:
    """A version of a pool's document that the store accepted."""

    pool: str
    version: int
    at: float
    leaving: frozenset[str] = frozenset()
    change_ids: tuple[str, ...] = ()


@attrs.define(kw_only=True)
class Attempt:
    """One request of an operator; without an answer its outcome is unknown."""

    sent_at: float
    answered_at: float | None = None
    error: exceptions.ErrorKind | None = None


@attrs.define(kw_only=True)
class Change:
    """A change that an operator sent, possibly more than once.

    Attributes
    ----------
    leaving : (str, bool) or None
        Endpoint and whether it leaves, for a change of that kind, which may
        alter nothing.
    """

    id: str
    pool: str
    invoked_at: float
    leaving: tuple[str, bool] | None = None
    attempts: list[Attempt] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class ConfigurationInForce:
    """The configuration version that a node uses from a time on."""

    host: str
    incarnation: int
    pool: str
    version: int
    at: float


@attrs.frozen(kw_only=True)
class Unreachable:
    """A span of time in which a node could not receive configuration in time.

    The node was down, starting, paused, draining, or cut off from half of its
    peers or more, or the store was impaired while any node was unreachable.
    """

    host: str
    start: float
    end: float


@attrs.frozen(kw_only=True)
class Stopped:
    """The exit of a drained node; ``in_flight`` lists unanswered statements."""

    host: str
    at: float
    in_flight: tuple[str, ...]


@attrs.define(kw_only=True)
class History:
    """All records of one run.

    Attributes
    ----------
    acknowledged_at : dict of str to float
        Time at which the entry node first sent a success answer, by
        statement id.
    survivors : dict of str to Position or None
        Last entry of the surviving log of each database.
    stalled : list of str
        Databases that accepted no write, and nodes still draining, after all
        faults had ended.
    crashes : list of str
        Exceptions that the core raised and answers that no request awaited.
    slowest_rate : float
        Lower limit of the rates of the clocks. A duration measured on a slow
        clock is longer in virtual time.
    """

    requests: list[Request] = attrs.field(factory=list)
    entries: list[LogEntry] = attrs.field(factory=list)
    executions: list[Execution] = attrs.field(factory=list)
    promotions: list[Promotion] = attrs.field(factory=list)
    accepted: list[ConfigurationAccepted] = attrs.field(factory=list)
    changes: list[Change] = attrs.field(factory=list)
    in_force: list[ConfigurationInForce] = attrs.field(factory=list)
    unreachable: list[Unreachable] = attrs.field(factory=list)
    stopped: list[Stopped] = attrs.field(factory=list)
    acknowledged_at: dict[str, float] = attrs.field(factory=dict)
    survivors: dict[str, messages.Position | None] = attrs.field(factory=dict)
    stalled: list[str] = attrs.field(factory=list)
    crashes: list[str] = attrs.field(factory=list)
    end: float = 0.0
    slowest_rate: float = 1.0
