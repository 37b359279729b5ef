"""State of the failure detection and the messages of membership."""

import attrs

from hyssopshelf import messages
from hyssopshelf.membership import gossip


@attrs.define(kw_only=True)
class Probe:
    """A probe that waits for its acknowledgement."""

    target: str
    sequence: int
    indirect_at: float
    suspect_at: float
    indirect_requested: bool = False


@attrs.define(kw_only=True)
class Relay:
    """A probe on behalf of another host."""

    origin: str
    sequence: int
    expires_at: float


@attrs.frozen(kw_only=True)
class Readers:
    """The readers of a key and the score of the last one."""

    names: frozenset[str]
    highest_score: int


@attrs.define(kw_only=True)
class Membership:
    """State of the failure detection.

    Attributes
    ----------
    seeds : tuple of str
        Addresses from the settings to join through.
    version : int
        Raised when the set of usable hosts or what they moved changes.
    touched : set of str
        Hosts concerned by such changes that placement has not seen yet.
    peers : int
        Number of other hosts that are not dead.
    heard_at : float or None
        Time of the last message of another host; None before the first step.
    isolated_at : float or None
        Time since which the node takes itself to be cut off.
    list_leaving : bool
        Whether the host list says that this host is leaving.
    listed, listed_at
        Names in the last host list and the time of its reading.
    candidates : dict of str to str
        Addresses of listed hosts that are not known, by name.
    suspects, dead, held : dict of str to float
        Hosts by the time at which their suspicion ends, at which they are
        forgotten, and from which they are usable again.
    regions : dict of str to str
        Regions of all places that any node remembers, so that all nodes choose
        alike for a place whose hosts are gone.
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


@messages.register("membership.probe")
@attrs.frozen(kw_only=True)
class ProbeHost:
    """Ask a host for an acknowledgement; sequence 0 is not tracked."""

    sequence: int
    sender: gossip.Row
    rows: tuple[gossip.Row, ...]
    digests: bytes


@messages.register("membership.acknowledge")
@attrs.frozen(kw_only=True)
class Acknowledge:
    """Answer a probe."""

    sequence: int
    sender: gossip.Row
    rows: tuple[gossip.Row, ...]
    digests: bytes


@messages.register("membership.relay")
@attrs.frozen(kw_only=True)
class RelayProbe:
    """Ask a host to probe another one and to pass on its answer."""

    sequence: int
    target: str
    sender: gossip.Row
    rows: tuple[gossip.Row, ...]


@messages.register("membership.news")
@attrs.frozen(kw_only=True)
class News:
    """Changes that are sent without waiting for the next probe."""

    sender: gossip.Row
    rows: tuple[gossip.Row, ...]


@messages.register("membership.join")
@attrs.frozen(kw_only=True)
class Join:
    """Ask for all hosts that the receiver knows."""

    sender: gossip.Row


@messages.register("membership.pull")
@attrs.frozen(kw_only=True)
class PullBuckets:
    """Ask for the hosts in some buckets."""

    sender: gossip.Row
    buckets: tuple[int, ...]


@messages.register("membership.table")
@attrs.frozen(kw_only=True)
class Table:
    """The hosts in some buckets that the sender does not take for dead."""

    sender: gossip.Row
    buckets: tuple[int, ...]
    rows: tuple[gossip.Row, ...]
    regions: dict[str, str]


@messages.register("membership.leaving")
@attrs.frozen(kw_only=True)
class LeavingNotice:
    """Tell a host what the host list says about it."""

    sender: gossip.Row
    leaving: bool
