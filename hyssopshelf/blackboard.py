"""The blackboard: all state of a node, in typed sections.

State classes live here or in the module of their subject; only controllers
change them. Nothing in this module performs I/O or reads a clock.
"""

import enum
import random

import attrs

from hyssopshelf import base, logs, messages
from hyssopshelf.configuration import resources, state, views
from hyssopshelf.scheduling import queues, work


class HostState(enum.Enum):
    """What this node believes of a host."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class Identity:
    """Who this node is, from its settings.

    Attributes
    ----------
    host : str
        Name of the host, unique in the fleet.
    address : str
        Address on which the node listens for peers.
    place, region : str
        Where the host is; a place is a failure domain of its region.
    incarnation : int
        Larger at each start of the node, so that old answers can be told apart.
    """

    host: str
    address: str
    place: str
    region: str = ""
    incarnation: int = 0


@attrs.define(kw_only=True)
class HostRecord:
    """A host as this node sees it."""

    name: str
    address: str
    place: str
    region: str = ""
    state: HostState = HostState.ALIVE
    incarnation: int = 0


@attrs.define(kw_only=True)
class EndpointRecord:
    """An endpoint as this node sees it.

    Attributes
    ----------
    name : str
        Full name, ``pool/database/endpoint``.
    database : str
        Full name of its database, ``pool/database``.
    status : EndpointStatus or None
        Last status heard.
    status_asked_at : float
        Time at which that status was asked for, so that its age is an upper
        bound whatever the answer's delay.
    leaving_at : float or None
        Time at which the endpoint was first seen leaving.
    open_after : float
        No connection is opened before this time.
    """

    name: str
    pool: str
    database: str
    place: str
    address: str
    status: messages.EndpointStatus | None = None
    status_asked_at: float = float("-inf")
    leaving_at: float | None = None
    open_after: float = float("-inf")


@attrs.define(kw_only=True)
class DatabaseRecord:
    """A database as this node sees it.

    Attributes
    ----------
    name : str
        Full name, ``pool/database``.
    endpoints : tuple of str
        Full names of its endpoints.
    term : int
        Highest term whose primary is known.
    primary : str
        Endpoint that is primary in that term, empty if unknown.
    fenced_term : int
        Highest term known to be proposed; may exceed ``term`` in a failover.
    """

    name: str
    pool: str
    endpoints: tuple[str, ...]
    term: int = 0
    primary: str = ""
    fenced_term: int = 0


class ConnectionState(enum.Enum):
    """States of a pooled connection."""

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"
    IN_TRANSACTION = "in_transaction"


@attrs.define(kw_only=True)
class ConnectionRecord:
    """A pooled connection.

    Attributes
    ----------
    transaction : str
        Transaction that owns the connection, empty if none.
    work_id : str
        Request that runs on it, empty if none.
    idle_at : float
        Time at which it last became idle.
    """

    id: str
    endpoint: str
    state: ConnectionState = ConnectionState.OPENING
    transaction: str = ""
    work_id: str = ""
    idle_at: float = 0.0


@attrs.define(kw_only=True)
class EntryRequest:
    """A statement at its entry node.

    Attributes
    ----------
    id : str
        Id of the forwarded request; a new one for each attempt.
    endpoint, host : str
        Where the current attempt was sent, empty while parked.
    parked_term : int
        While parked: the term that did not take the statement.
    """

    id: str
    caller: str
    statement: messages.Statement
    rank: str
    deadline: float
    received_at: float
    token_positions: dict[str, messages.Position]
    endpoint: str = ""
    host: str = ""
    attempts: int = 0
    parked: bool = False
    parked_term: int = 0
    primary_only: bool = False


class ServedState(enum.Enum):
    """States of a statement at its serving node."""

    QUEUED = "queued"
    RUNNING = "running"
    CONFIRMING = "confirming"


@attrs.define(kw_only=True)
class ServedRequest:
    """A statement at its serving node."""

    id: str
    host: str
    endpoint: str
    statement: messages.Statement
    required: messages.Position | None
    deadline: float
    work: work.Work
    staleness_seconds: float
    acknowledge: str
    state: ServedState = ServedState.QUEUED
    connection: str = ""
    sent_at: float = 0.0
    answer: messages.EndpointAnswer | None = None


@attrs.define(kw_only=True)
class TransactionRecord:
    """An open transaction at its serving node.

    Attributes
    ----------
    idle_deadline : float
        Time at which it is rolled back if no statement arrives.
    wrote : bool
        Whether it holds a write.
    """

    id: str
    endpoint: str
    connection: str
    partner: str
    idle_deadline: float
    term: int = 0
    wrote: bool = False


class ConfirmationLevel(enum.Enum):
    """What must be known before a ticket is confirmed.

    ``TERM``: a majority, asked after the ticket was filed, still knows the
    ticket's term. ``LOG``: also a majority's log holds the position.
    """

    TERM = "term"
    LOG = "log"


class ConfirmationOutcome(enum.Enum):
    """Result of a ticket."""

    CONFIRMED = "confirmed"
    REPLACED = "replaced"


@attrs.define(kw_only=True)
class Ticket:
    """A request that waits for a majority of its database.

    Attributes
    ----------
    id : str
        Id of the served request.
    position : Position
        Term in which the request ran and the log index it wrote or read.
    filed_at : float
        Time at which the endpoint's answer was received.
    deadline : float
        Time at which the request is given up.
    outcome : ConfirmationOutcome or None
        None while undecided.
    confirmed_from : float
        Start of the round that confirmed it; the acknowledgement of a
        ``TERM`` ticket must leave within the freshness bound of this time.
    """

    id: str
    database: str
    level: ConfirmationLevel
    position: messages.Position
    filed_at: float
    deadline: float
    outcome: ConfirmationOutcome | None = None
    confirmed_from: float = float("-inf")


@attrs.define(kw_only=True)
class Blackboard:
    """All state of a node.

    Parameters
    ----------
    identity : Identity
        Who the node is.
    random : random.Random
        Source of all random choices.
    token_keys : tuple of (str, bytes)
        Keys of session tokens; the first one signs.
    """

    identity: Identity
    random: random.Random
    token_keys: tuple[tuple[str, bytes], ...] = ()

    hosts: dict[str, HostRecord] = attrs.field(factory=dict)
    endpoints: dict[str, EndpointRecord] = attrs.field(factory=dict)
    databases: dict[str, DatabaseRecord] = attrs.field(factory=dict)
    documents: dict[str, resources.Document] = attrs.field(factory=dict)
    pools: dict[str, views.PoolView] = attrs.field(factory=dict)
    configuration: state.ConfigurationState = attrs.field(
        factory=state.ConfigurationState
    )
    placement: dict[str, str] = attrs.field(factory=dict)
    endpoint_queues: dict[str, queues.EndpointQueue] = attrs.field(factory=dict)
    connections: dict[str, ConnectionRecord] = attrs.field(factory=dict)
    transactions: dict[str, TransactionRecord] = attrs.field(factory=dict)
    requests: dict[str, EntryRequest] = attrs.field(factory=dict)
    served: dict[str, ServedRequest] = attrs.field(factory=dict)
    tickets: dict[str, Ticket] = attrs.field(factory=dict)

    actions: list[base.Action] = attrs.field(factory=list)
    counters: dict[str, float] = attrs.field(factory=dict)
    ticked_at: float | None = None
    pause_seconds: float = 0.0
    draining: bool = False
    drain_deadline: float | None = None
    configuration_ready: bool = False
    _sequence: int = 0

    def next_id(self) -> str:
        """Return an id that no other node or incarnation uses."""
        self._sequence += 1
        identity = self.identity
        return f"{identity.host}.{identity.incarnation}.{self._sequence}"

    def act(self, action: base.Action) -> None:
        """Append an action for the adapters."""
        self.actions.append(action)

    def log(self, event: logs.LogEvent, **fields) -> None:
        """Append a log event."""
        self.actions.append(base.Log(event=event, fields=fields))

    def count(self, name: str, amount: float = 1) -> None:
        """Add to a counter that the metrics page shows."""
        self.counters[name] = self.counters.get(name, 0) + amount
