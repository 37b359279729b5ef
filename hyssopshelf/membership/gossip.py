"""Membership rows, digests of the host table and the queue of rows to send."""

import functools
import zlib

import attrs

from hyssopshelf.membership import records, rendezvous

ALIVE, LEAVING, SUSPECT, DEAD = range(4)
"""State codes in a row."""

Row = tuple[str, int, int, int, str, str, str, tuple[str, ...]]
"""Name, incarnation, refutation, state code, address, place, region and the ids
of endpoints that the host moved to the next host in their ranking.

Rows are tuples without field names because they make up most of the membership
traffic. The last four fields are empty for suspect and dead hosts, whose details
the receivers already know.
"""

BUCKETS = 16
"""Number of buckets of the host table, which are compared by digest."""

DIGEST_BYTES = 4
_DIGEST_MASK = (1 << (8 * DIGEST_BYTES)) - 1

MAXIMUM_ROWS = 12
"""Upper bound on the rows in a message; at 70 bytes each, 12 rows take 0.9 KB."""

MAXIMUM_WAITING = 1024
"""Upper bound on the rows waiting to be sent.

It bounds the cost of selecting rows after a partition heals, and exceeds the 364
hosts of a failure domain.
"""

RETRANSMISSION_FACTOR = 3
"""Factor of log2 of the number of hosts that gives how often a row is sent.

SWIM (Das et al., DSN 2002) sends each row lambda log n times. bench_membership
measures the time until all nodes know a change.
"""


def get_state_code(record: records.HostRecord) -> int:
    """Return the state code of a record."""
    if record.state is records.HostState.DEAD:
        return DEAD
    if record.state is records.HostState.SUSPECT:
        return SUSPECT
    return LEAVING if record.leaving else ALIVE


def make_row(record: records.HostRecord) -> Row:
    """Return the row with this node's view of a host."""
    code = get_state_code(record)
    known = (record.name, record.incarnation, record.refutation, code)
    if code >= SUSPECT:
        return (*known, "", "", "", ())
    return (*known, record.address, record.place, record.region, record.moved)


def is_newer(row: Row, record: records.HostRecord) -> bool:
    """Return whether a row supersedes a record.

    Only the host itself raises its incarnation and refutation. With equal
    numbers SUSPECT overrides ALIVE and LEAVING, and DEAD overrides SUSPECT.
    """
    code = get_state_code(record)
    weight = code if code >= SUSPECT else ALIVE
    row_weight = row[3] if row[3] >= SUSPECT else ALIVE
    held = (record.incarnation, record.refutation, weight)
    return (row[1], row[2], row_weight) > held


@functools.lru_cache(maxsize=rendezvous.HASH_CACHE_SIZE)
def get_bucket(name: str) -> int:
    """Return the digest bucket of a host."""
    return zlib.crc32(name.encode()) % BUCKETS


def make_digest(record: records.HostRecord) -> int:
    """Return the digest of a record; only records that are not dead have one."""
    number = record.incarnation * 1_000_003 + record.refutation
    value = rendezvous.mix(rendezvous.hash_text(record.name), number)
    return (value >> 16) & _DIGEST_MASK


@attrs.define(kw_only=True)
class Digests:
    """Digests of the host table, one per bucket.

    They leave out suspicion, which is short-lived, and dead hosts, which nodes
    forget at different times.
    """

    _values: list[int] = attrs.field(factory=lambda: [0] * BUCKETS, init=False)

    def toggle(self, record: records.HostRecord) -> None:
        """Add a record that is not included yet, or remove one that is (by XOR)."""
        if record.state is not records.HostState.DEAD:
            self._values[get_bucket(record.name)] ^= make_digest(record)

    def pack(self) -> bytes:
        """Return the digests encoded for a message."""
        return b"".join(value.to_bytes(DIGEST_BYTES, "big") for value in self._values)

    def list_differences(self, packed: bytes) -> list[int]:
        """Return the buckets whose digests differ from those of another node."""
        own = self.pack()
        if own == packed or len(packed) != len(own):
            return []
        return [
            bucket
            for bucket in range(BUCKETS)
            if own[bucket * DIGEST_BYTES : (bucket + 1) * DIGEST_BYTES]
            != packed[bucket * DIGEST_BYTES : (bucket + 1) * DIGEST_BYTES]
        ]


@attrs.define(kw_only=True)
class Outbox:
    """Queue of hosts whose rows have to be sent, with the send count of each."""

    _send_counts: dict[str, int] = attrs.field(factory=dict, init=False)

    def add(self, name: str) -> None:
        """Queue the row of a host and reset its send count.

        If the queue is full, the row that was sent most often is dropped; the
        digest comparison repairs rows that do not arrive.
        """
        self._send_counts[name] = 0
        if len(self._send_counts) > MAXIMUM_WAITING:
            del self._send_counts[
                max(self._send_counts, key=self._send_counts.__getitem__)
            ]

    def discard(self, name: str) -> None:
        """Remove the row of a host from the queue."""
        self._send_counts.pop(name, None)

    def has_fresh_rows(self, hosts: dict[str, records.HostRecord]) -> bool:
        """Return whether a row was sent fewer than log2(number of hosts) times."""
        limit = max(1, len(hosts)).bit_length()
        return any(sent < limit for sent in self._send_counts.values())

    def take(self, hosts: dict[str, records.HostRecord], except_for: str) -> list[Row]:
        """Return the rows for one message, least often sent first.

        The row of the host ``except_for``, the sender, is counted as sent but
        left out, because each message carries its sender's row anyway.
        """
        if not self._send_counts:
            return []
        limit = RETRANSMISSION_FACTOR * max(1, len(hosts)).bit_length()
        names = sorted(self._send_counts, key=self._send_counts.__getitem__)[
            :MAXIMUM_ROWS
        ]
        rows = []
        for name in names:
            self._send_counts[name] += 1
            if self._send_counts[name] >= limit or name not in hosts:
                del self._send_counts[name]
            if name in hosts and name != except_for:
                rows.append(make_row(hosts[name]))
        return rows
