"""State of failure detection and the membership messages."""

import attrs

from hyssopshelf import envelopes
from hyssopshelf.membership import gossip


@attrs.define(kw_only=True)
class Probe:
    """A sent probe whose acknowledgement is pending."""

    target: str
    sequence: int
    indirect_at: float
    suspect_at: float
    indirect_requested: bool = False


@attrs.define(kw_only=True)
class Relay:
    """A probe sent on behalf of another host, which gets the acknowledgement."""

    origin: str
    sequence: int
    expires_at: float


@attrs.frozen(kw_only=True)
class Readers:
    """The hosts that read a key, and the highest of their rendezvous scores."""

    names: frozenset[str]
    highest_score: int


@attrs.define(kw_only=True)
class Membership:
    """State of failure detection at this node.

    Attributes
    ----------
    seeds : tuple of str
        Addresses from the settings through which the node joins.
    version : int
        Incremented when the set of usable hosts or their moved endpoints change.
    changed_hosts : set of str
        Hosts with such changes that placement has not processed yet.
    peers : int
        Number of other hosts that are not dead.
    last_message_at : float or None
        Time of the last message from another host; None before the first step.
    isolated_at : float or None
        Time at which the node detected its isolation, None if not isolated.
    listed_leaving : bool
        Whether the host list marks this host as leaving.
    listed, listed_at
        Host names in the last host list, and the time at which it was read.
    candidates : dict of str to str
        Addresses of listed hosts that the node does not know yet, by name.
    suspects, dead, held : dict of str to float
        For each such host, the time at which its suspicion expires, its record
        is deleted, or it becomes usable again.
    regions : dict of str to str
        Region of each place that any node knows of, so that all nodes choose the
        same substitute for a place without hosts.
    priority_targets : list of str
        Hosts to probe ahead of their turn, last one first.
    conflicting : dict of str to None
        Hosts that are dead here and live at another node.
    """

    seeds: tuple[str, ...] = ()
    version: int = 0
    changed_hosts: set[str] = attrs.field(factory=set)
    peers: int = 0
    last_message_at: float | None = None
    isolated_at: float | None = None
    listed_leaving: bool = False
    listed: frozenset[str] = frozenset()
    listed_at: float = float("-inf")
    candidates: dict[str, str] = attrs.field(factory=dict)
    suspects: dict[str, float] = attrs.field(factory=dict)
    dead: dict[str, float] = attrs.field(factory=dict)
    held: dict[str, float] = attrs.field(factory=dict)
    regions: dict[str, str] = attrs.field(factory=dict)
    digests: gossip.Digests = attrs.field(factory=gossip.Digests)
    outbox: gossip.Outbox = attrs.field(factory=gossip.Outbox)
    probe: Probe | None = None
    next_probe_at: float | None = None
    last_probe_at: float = float("-inf")
    probe_order: list[str] = attrs.field(factory=list)
    probe_order_index: int = 0
    priority_targets: list[str] = attrs.field(factory=list)
    conflicting: dict[str, None] = attrs.field(factory=dict)
    relays: dict[int, Relay] = attrs.field(factory=dict)
    sequence: int = 0
    next_news_at: float = 0.0
    next_dead_probe_at: float = 0.0
    next_join_at: float = 0.0
    next_pull_at: float = 0.0
    mismatches: list[int] = attrs.field(factory=lambda: [0] * gossip.BUCKETS)
    readers: dict[str, Readers] = attrs.field(factory=dict)


@envelopes.register("membership.probe")
@attrs.frozen(kw_only=True)
class ProbeHost:
    """Asks a host for an acknowledgement; sequence 0 is not tracked."""

    sequence: int
    sender: gossip.Row
    rows: tuple[gossip.Row, ...]
    digests: bytes


@envelopes.register("membership.acknowledge")
@attrs.frozen(kw_only=True)
class Acknowledge:
    """Answers a probe."""

    sequence: int
    sender: gossip.Row
    rows: tuple[gossip.Row, ...]
    digests: bytes


@envelopes.register("membership.relay")
@attrs.frozen(kw_only=True)
class RelayProbe:
    """Asks a host to probe the target and to relay the acknowledgement."""

    sequence: int
    target: str
    sender: gossip.Row
    rows: tuple[gossip.Row, ...]


@envelopes.register("membership.news")
@attrs.frozen(kw_only=True)
class News:
    """Carries changes without waiting for the next probe."""

    sender: gossip.Row
    rows: tuple[gossip.Row, ...]


@envelopes.register("membership.join")
@attrs.frozen(kw_only=True)
class Join:
    """Asks for all hosts that the receiver knows."""

    sender: gossip.Row


@envelopes.register("membership.pull")
@attrs.frozen(kw_only=True)
class PullBuckets:
    """Asks for the hosts in the given digest buckets."""

    sender: gossip.Row
    buckets: tuple[int, ...]


@envelopes.register("membership.table")
@attrs.frozen(kw_only=True)
class Table:
    """Lists the hosts in the given buckets that the sender does not consider dead."""

    sender: gossip.Row
    buckets: tuple[int, ...]
    rows: tuple[gossip.Row, ...]
    regions: dict[str, str]


@envelopes.register("membership.leaving")
@attrs.frozen(kw_only=True)
class LeavingNotice:
    """Tells a host whether the host list marks it as leaving."""

    sender: gossip.Row
    leaving: bool
