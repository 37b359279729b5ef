"""The blackboard: all state of a node, in typed sections.

State classes live here or in the module of their subject; only controllers
change them. Nothing in this module performs I/O or reads a clock.
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
from hyssopshelf.membership import placement as placing
from hyssopshelf.membership import protocol as membership_protocol
from hyssopshelf.membership import records as host_records
from hyssopshelf.scheduling import billing, budgets, limits, queues, shares, work

HostState = host_records.HostState
HostRecord = host_records.HostRecord


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
    served_at : float
        Time of the last successful answer that this entry node received.
    trial_at : float
        Earliest time at which a parked statement is routed without news.
    held_until : float
        New writes wait until this time or a new term, for a planned change.
    """

    name: str
    pool: str
    endpoints: tuple[str, ...]
    term: int = 0
    primary: str = ""
    fenced_term: int = 0
    served_at: float = float("-inf")
    trial_at: float = float("-inf")
    held_until: float = float("-inf")


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
    """States of a statement at its serving node."""

    WAITING = "waiting"
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
    received_at: float
    state: ServedState = ServedState.QUEUED
    connection: str = ""
    sent_at: float = 0.0
    wait_deadline: float = 0.0
    answer: messages.EndpointAnswer | None = None


@attrs.define(kw_only=True)
class TransactionRecord:
    """An open transaction at its serving node.

    Attributes
    ----------
    idle_deadline : float
        Time at which it is rolled back if no statement arrives.
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
        Numbers up to this one are refused as late or doubled.
    received : dict of int to float
        Numbers above the floor with the time at which they were received.
    """

    floor: int = 0
    received: dict[int, float] = attrs.field(factory=dict)


ConfirmationLevel = pending_confirmations.ConfirmationLevel
ConfirmationOutcome = pending_confirmations.ConfirmationOutcome
PendingConfirmation = pending_confirmations.PendingConfirmation


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
    placement_state: placing.PlacementState = attrs.field(
        factory=placing.PlacementState
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
    draining: bool = False
    drained_at: float = float("-inf")
    forwarded_at: float = float("-inf")
    replied_at: float = float("-inf")
    late_at: float = float("-inf")
    configuration_ready: bool = False
    _sequence: int = 0

    def next_id(self) -> str:
        """Return an id that no other node or incarnation uses."""
        self._sequence += 1
        identity = self.identity
        return f"{identity.host}.{identity.incarnation}.{self._sequence}"

    def sender(self, name: str) -> SenderRecord:
        """Return the record of an incarnation of a node, a new one if unknown."""
        return self.senders.setdefault(name, SenderRecord())

    def add_connection(self, endpoint: str) -> records.ConnectionRecord:
        """Add the record of a connection that is being opened."""
        record = records.ConnectionRecord(id=self.next_id(), endpoint=endpoint)
        self.connections[record.id] = record
        self.endpoint_connections.setdefault(endpoint, {})[record.id] = record
        return record

    def act(self, action: base.Action) -> None:
        """Append an action for the adapters."""
        self.actions.append(action)

    def log(self, event: logs.LogEvent, **fields) -> None:
        """Append a log event."""
        self.actions.append(base.Log(event=event, fields=fields))

    def count(self, name: str, amount: float = 1) -> None:
        """Add to a counter that the metrics page shows."""
        self.counters[name] = self.counters.get(name, 0) + amount
