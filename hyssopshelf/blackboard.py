"""Hold the state of a node in one typed object, the blackboard.

State classes are defined here or in the package that they belong to, and only
controllers change them. This module performs no I/O and reads no clock.
"""

import enum
import random

import attrs

from hyssopshelf import base, logs, messages
from hyssopshelf.configuration import progress, resources, views
from hyssopshelf.connections import records
from hyssopshelf.failover import confirmation, pending_confirmations
from hyssopshelf.failover import state as failover_state
from hyssopshelf.membership import balancing
from hyssopshelf.membership import placement as membership_placement
from hyssopshelf.membership import protocol as membership_protocol
from hyssopshelf.membership import records as host_records
from hyssopshelf.scheduling import billing, budgets, limits, queues, shares, work

HostState = host_records.HostState
HostRecord = host_records.HostRecord


@attrs.frozen(kw_only=True)
class Identity:
    """Identity of a node, from its settings.

    Attributes
    ----------
    host : str
        Name of the host, unique in the fleet.
    address : str
        Address on which the node listens for peers.
    place, region : str
        Where the host is; a place is a failure domain of its region.
    incarnation : int
        Number that increases at each start of the node, so that answers to an
        earlier process are recognized.
    """

    host: str
    address: str
    place: str
    region: str = ""
    incarnation: int = 0


@attrs.define(kw_only=True)
class EndpointRecord:
    """State of an endpoint as known to this node.

    Attributes
    ----------
    name : str
        Full name, ``pool/database/endpoint``.
    database : str
        Full name of its database, ``pool/database``.
    status : EndpointStatus or None
        Last reported status.
    status_asked_at : float
        Time at which that status was requested. The age computed from it is an
        upper bound, however long the answer took.
    leaving_at : float or None
        Time at which this node first saw the endpoint leaving.
    open_after : float
        Time before which no connection is opened.
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
    """State of a database as known to this node.

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
        Highest term known to be proposed; exceeds ``term`` during a failover.
    served_at : float
        Time of the last successful answer that this entry node received.
    parked_retry_at : float
        Earliest time at which one parked statement is retried although neither a
        success nor a new term was seen.
    held_until : float
        Time until which new writes wait for a planned change of primary, unless
        a new term begins earlier.
    """

    name: str
    pool: str
    endpoints: tuple[str, ...]
    term: int = 0
    primary: str = ""
    fenced_term: int = 0
    served_at: float = float("-inf")
    parked_retry_at: float = float("-inf")
    held_until: float = float("-inf")


@attrs.define(kw_only=True)
class EntryRequest:
    """State of a statement at its entry node.

    Attributes
    ----------
    id : str
        Id of the forwarded request; a new one for each attempt.
    token_positions : dict of str to Position
        Positions from the session token by database.
    endpoint, host : str
        Endpoint and serving host of the current attempt, empty while parked.
    parked_term : int
        Term in which the statement could not run; it is routed again when a
        higher one is known. 0 if it does not wait for a new term.
    primary_only : bool
        Whether a read must go to the primary, since a replica did not satisfy it.
    admitted : bool
        Whether the statement counts toward the admission limits.
    answer : ServedAnswer or None
        Answer whose confirmation is repeated.
    """

    id: str
    caller: str
    statement: messages.Statement
    rank: str
    deadline: float
    received_at: float
    token_positions: dict[str, messages.Position]
    staleness_seconds: float = 0.0
    endpoint: str = ""
    host: str = ""
    attempts: int = 0
    parked: bool = False
    parked_term: int = 0
    parked_at: float = 0.0
    sent_at: float = 0.0
    primary_only: bool = False
    admitted: bool = False
    answer: messages.ServedAnswer | None = None


class ServedState(enum.Enum):
    """States of a statement at its serving node.

    ``WAITING``: a read waits for the replica to catch up. ``QUEUED``: waits for
    a slot or a connection. ``RUNNING``: sent to the endpoint. ``CONFIRMING``:
    waits for a majority of the database's endpoints.
    """

    WAITING = "waiting"
    QUEUED = "queued"
    RUNNING = "running"
    CONFIRMING = "confirming"


@attrs.define(kw_only=True)
class ServedRequest:
    """State of a statement at its serving node.

    Attributes
    ----------
    host : str
        Entry node that receives the answer.
    required : Position or None
        Position that the session has seen and a read has to include.
    acknowledge : str
        What a write needs before it is acknowledged, from its rank.
    connection : str
        Connection on which the statement runs, empty before.
    wait_deadline : float
        Time until which a read waits for the replica to catch up.
    may_be_early : bool
        Whether the deadline may be too early, as the message may have waited.
    """

    id: str
    host: str
    endpoint: str
    statement: messages.Statement
    required: messages.Position | None
    deadline: float
    work: work.Work
    staleness_seconds: float
    acknowledge: str
    received_at: float
    state: ServedState = ServedState.QUEUED
    connection: str = ""
    sent_at: float = 0.0
    wait_deadline: float = 0.0
    may_be_early: bool = False
    answer: messages.EndpointAnswer | None = None


@attrs.define(kw_only=True)
class TransactionRecord:
    """State of an open transaction at its serving node.

    Attributes
    ----------
    idle_deadline : float
        Time at which it is rolled back if no statement arrives.
    term : int
        Term of the primary on which it began.
    """

    id: str
    endpoint: str
    connection: str
    partner: str
    idle_deadline: float
    term: int = 0


@attrs.define(kw_only=True)
class SenderRecord:
    """Request numbers received from one incarnation of a node.

    Attributes
    ----------
    floor : int
        Numbers up to this one are rejected as late or duplicated.
    received : dict of int to float
        Numbers above the floor and the times at which they were received.
    """

    floor: int = 0
    received: dict[int, float] = attrs.field(factory=dict)


ConfirmationLevel = pending_confirmations.ConfirmationLevel
ConfirmationOutcome = pending_confirmations.ConfirmationOutcome
PendingConfirmation = pending_confirmations.PendingConfirmation


@attrs.define(kw_only=True)
class Blackboard:
    """All state of a node.

    Times are in seconds on the node's monotonic clock.

    Parameters
    ----------
    identity : Identity
        Identity of the node.
    random : random.Random
        Source of all random choices.
    token_keys : tuple of (str, bytes)
        Keys of session tokens; the first one signs, all of them verify.
    """

    identity: Identity
    random: random.Random
    token_keys: tuple[tuple[str, bytes], ...] = ()

    hosts: dict[str, HostRecord] = attrs.field(factory=dict)
    membership: membership_protocol.Membership = attrs.field(
        factory=membership_protocol.Membership
    )
    endpoints: dict[str, EndpointRecord] = attrs.field(factory=dict)
    databases: dict[str, DatabaseRecord] = attrs.field(factory=dict)
    documents: dict[str, resources.Document] = attrs.field(factory=dict)
    pools: dict[str, views.PoolView] = attrs.field(factory=dict)
    configuration: progress.ConfigurationState = attrs.field(
        factory=progress.ConfigurationState
    )
    placement: dict[str, str] = attrs.field(factory=dict)
    balance: balancing.BalancingState = attrs.field(factory=balancing.BalancingState)
    placement_state: membership_placement.PlacementState = attrs.field(
        factory=membership_placement.PlacementState
    )
    endpoint_queues: dict[str, queues.EndpointQueue] = attrs.field(factory=dict)
    connections: dict[str, records.ConnectionRecord] = attrs.field(factory=dict)
    endpoint_connections: dict[str, dict[str, records.ConnectionRecord]] = attrs.field(
        factory=dict
    )
    idle_connections: dict[str, list[records.ConnectionRecord]] = attrs.field(
        factory=dict
    )
    transactions: dict[str, TransactionRecord] = attrs.field(factory=dict)
    requests: dict[str, EntryRequest] = attrs.field(factory=dict)
    served: dict[str, ServedRequest] = attrs.field(factory=dict)
    waiting_reads: dict[str, ServedRequest] = attrs.field(factory=dict)
    ready_endpoints: set[str] = attrs.field(factory=set)
    local_answers: list[messages.ServedAnswer] = attrs.field(factory=list)
    entry_confirmations: dict[str, EntryRequest] = attrs.field(factory=dict)
    avoided_hosts: dict[str, float] = attrs.field(factory=dict)
    senders: dict[str, SenderRecord] = attrs.field(factory=dict)
    next_polls: dict[str, float] = attrs.field(factory=dict)
    polls: dict[str, float] = attrs.field(factory=dict)
    pending_confirmations: dict[str, PendingConfirmation] = attrs.field(factory=dict)
    confirmations: confirmation.ConfirmationState = attrs.field(
        factory=confirmation.ConfirmationState
    )
    failover: failover_state.FailoverState = attrs.field(
        factory=failover_state.FailoverState
    )
    usage: shares.UsageState = attrs.field(factory=shares.UsageState)
    admission: limits.LimitState = attrs.field(factory=limits.LimitState)
    retry_budget: budgets.RetryBudget = attrs.field(factory=budgets.RetryBudget)
    bills: billing.BillingState = attrs.field(factory=billing.BillingState)

    actions: list[base.Action] = attrs.field(factory=list)
    counters: dict[str, float] = attrs.field(factory=dict)
    now: float = 0.0
    ticked_at: float | None = None
    pause_seconds: float = 0.0
    waited_since: float | None = None
    draining: bool = False
    stopping: bool = False
    drained_at: float = float("-inf")
    forwarded_at: float = float("-inf")
    replied_at: float = float("-inf")
    late_tick_at: float = float("-inf")
    configuration_ready: bool = False
    _sequence: int = 0

    def next_id(self) -> str:
        """Return an id that is unique among all nodes and their incarnations."""
        self._sequence += 1
        identity = self.identity
        return f"{identity.host}.{identity.incarnation}.{self._sequence}"

    def get_sender(self, name: str) -> SenderRecord:
        """Return the record of one incarnation of a node; create it if missing."""
        return self.senders.setdefault(name, SenderRecord())

    def add_connection(self, endpoint: str) -> records.ConnectionRecord:
        """Add and return the record of a connection that is being opened."""
        record = records.ConnectionRecord(id=self.next_id(), endpoint=endpoint)
        self.connections[record.id] = record
        self.endpoint_connections.setdefault(endpoint, {})[record.id] = record
        return record

    def act(self, action: base.Action) -> None:
        """Append an action for the adapters to carry out."""
        self.actions.append(action)

    def log(self, event: logs.LogEvent, **fields) -> None:
        """Append an action that writes a log event."""
        self.actions.append(base.Log(event=event, fields=fields))

    def count(self, name: str, amount: float = 1) -> None:
        """Increase a counter that the metrics endpoint reports."""
        self.counters[name] = self.counters.get(name, 0) + amount
