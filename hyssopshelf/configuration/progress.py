"""State that the configuration controllers keep on the blackboard."""

from typing import Any

import attrs

from hyssopshelf.configuration import resources, versions

UNKNOWN_TIME = float("-inf")


@attrs.define(kw_only=True)
class Push:
    """Pending offers of one document to random peers.

    Attributes
    ----------
    rounds : int
        Rounds left; each goes to other random peers.
    informed : set of str
        Hosts that are known to have been offered the version or to hold it.
    """

    rounds: int
    next_at: float
    informed: set[str] = attrs.field(factory=set)


@attrs.define(kw_only=True)
class Pull:
    """A document that is being fetched from a peer.

    Attributes
    ----------
    summary : Summary
        What the peer offered.
    host : str
        The peer that was asked.
    others : list of str
        Peers that offered the same, asked in turn if the first fails.
    deadline : float
        Time at which the request for the next part times out.
    fresh : bool
        The offer announced a new change; the node then sends all rounds of
        offers itself.
    parts : bytearray
        Compressed data received so far.
    """

    summary: versions.Summary
    host: str
    deadline: float
    fresh: bool
    others: list[str] = attrs.field(factory=list)
    parts: bytearray = attrs.field(factory=bytearray)


@attrs.define(kw_only=True)
class Snapshot:
    """Progress of a starting node in fetching all documents.

    Attributes
    ----------
    host : str
        The peer that was asked, empty if none is.
    after : str
        Pool name after which the next part starts.
    deadline : float
        Time at which the request to the peer or the store times out.
    silent, unready, old : int
        Attempts that got no answer, an answer of a node without a snapshot,
        or an answer of a node whose configuration may be old.
    call_id : str
        Store call that reads all documents, empty if none runs.
    store_at : float
        Time before which the store is not called again.
    confirming : set of str
        Peers whose digest is awaited before the node is ready.
    loaded : bool
        All documents of a peer were received.
    hosts_to_notify : set of str
        Starting hosts to notify when this node is ready.
    """

    started_at: float | None = None
    host: str = ""
    after: str = ""
    deadline: float = UNKNOWN_TIME
    silent: int = 0
    unready: int = 0
    old: int = 0
    call_id: str = ""
    store_at: float = UNKNOWN_TIME
    confirming: set[str] = attrs.field(factory=set)
    loaded: bool = False
    hosts_to_notify: set[str] = attrs.field(factory=set)


@attrs.define(kw_only=True)
class Repair:
    """A stored document that a node has to overwrite with a newer version."""

    due: float
    revision: int
    lost_change_ids: tuple[str, ...] = ()


@attrs.define(kw_only=True)
class StoreWatch:
    """State of a node that watches the store on behalf of the others.

    Attributes
    ----------
    index : int or None
        Position of the node among the watchers, None if it is not one.
    revision : int or None
        Store revision up to which changes were read, None before the first
        read and after a failure.
    call_id : str
        Pending store call, empty if none.
    retry_seconds : float
        Delay after the next failure.
    repairs : dict of str to Repair
        Documents to write back, by pool.
    repair_calls : dict of str to str
        Pool of each running write, by call id.
    """

    index: int | None = None
    check_at: float = UNKNOWN_TIME
    revision: int | None = None
    call_id: str = ""
    deadline: float = UNKNOWN_TIME
    next_at: float = UNKNOWN_TIME
    retry_seconds: float = 0.0
    repairs: dict[str, Repair] = attrs.field(factory=dict)
    repair_calls: dict[str, str] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class StatusQuery:
    """A status query that this node has forwarded to other hosts.

    Attributes
    ----------
    parent : str
        Host that asked, empty at the node that an operator asked.
    operation : str
        Operation of the resource API that waits for the result.
    waiting : dict of str to tuple of str
        Hosts queried, with the hosts that each has to query in turn.
    retry_at : float
        Time at which hosts that did not answer are bypassed.
    """

    id: str
    parent: str
    operation: str
    pool: str
    version: int
    deadline: float
    retry_at: float
    in_force: int = 0
    missing: dict[str, int] = attrs.field(factory=dict)
    missing_count: int = 0
    silent: list[str] = attrs.field(factory=list)
    silent_count: int = 0
    waiting: dict[str, tuple[str, ...]] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class ApiOperation:
    """A request of the resource API that waits for the store or for peers.

    Attributes
    ----------
    call_id : str
        Running store call, empty if none.
    call_deadline : float
        Time at which that call times out.
    next_at : float
        Time of the next read after a failure.
    candidate : Document or None
        Document of the running compare-and-swap; None during a read.
    revision : int
        Revision of the document that was read last.
    unresolved_revision : int or None
        Revision that a compare-and-swap of unknown outcome expects.
    """

    id: str
    caller: str
    request: Any
    deadline: float
    call_id: str = ""
    call_deadline: float = UNKNOWN_TIME
    next_at: float = UNKNOWN_TIME
    retry_seconds: float = 0.0
    candidate: resources.Document | None = None
    revision: int = 0
    unresolved_revision: int | None = None


@attrs.define(kw_only=True)
class ConfigurationState:
    """State of the configuration controllers.

    Attributes
    ----------
    table : VersionTable
        Versions and checksums of the documents in force.
    encoded : dict
        Cache of compressed documents, by pool.
    bill_reads : dict
        Caller and pool of the reads of bills, by store call.
    watchers : tuple of (int, tuple of str)
        The hosts that watch the store, with the version of the membership for
        which they were found.
    heard_at : float
        Time of the last message of a peer or answer of the store.
    reported_old : bool
        The node has logged that its configuration may be old.
    changes : int
        Number of documents applied; other controllers compare it to detect a
        change without scanning all pools.
    """

    table: versions.VersionTable = attrs.field(factory=versions.VersionTable)
    encoded: dict[str, tuple[versions.Summary, bytes]] = attrs.field(factory=dict)
    pushes: dict[str, Push] = attrs.field(factory=dict)
    pulls: dict[str, Pull] = attrs.field(factory=dict)
    snapshot: Snapshot = attrs.field(factory=Snapshot)
    watch: StoreWatch = attrs.field(factory=StoreWatch)
    queries: dict[str, StatusQuery] = attrs.field(factory=dict)
    operations: dict[str, ApiOperation] = attrs.field(factory=dict)
    bill_reads: dict[str, tuple[str, str]] = attrs.field(factory=dict)
    watchers: tuple[int, tuple[str, ...]] = (-1, ())
    digest_at: float = UNKNOWN_TIME
    heard_at: float | None = None
    peer_heard_at: float | None = None
    reported_old: bool = False
    changes: int = 0
