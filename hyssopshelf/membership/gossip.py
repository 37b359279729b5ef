"""Rows about hosts that nodes exchange, and what a node keeps to spread them."""

import functools
import zlib

import attrs

from hyssopshelf.membership import records, rendezvous

ALIVE, LEAVING, SUSPECT, DEAD = range(4)
"""Codes of the states in a row."""

Row = tuple[str, int, int, int, str, str, str, tuple[str, ...]]
"""Name, incarnation, refutation, state code, address, place, region and the ids
of endpoints that the host gave to their next choice.

Rows are tuples without field names because they are most of the traffic of
membership. The last four are empty in rows of suspect and dead hosts, which the
receivers know already.
"""

BUCKETS = 16
"""Parts of the table of hosts that are compared by digest."""

DIGEST_BYTES = 4
_DIGEST_MASK = (1 << (8 * DIGEST_BYTES)) - 1

MAXIMUM_ROWS = 12
"""Rows in one message; with 70 bytes a row, a full message has 0.9 KB."""

MAXIMUM_WAITING = 1024
"""Rows that wait to be sent at most; it bounds the cost of choosing among them
after a partition heals, and exceeds the 364 hosts of a failure domain."""

RETRANSMISSION_FACTOR = 3
"""A row is sent this number times log2 of the number of hosts.

Das et al. send each row lambda log n times; bench_membership gives the time
until all nodes know a change.
"""


def get_state_code(record: records.HostRecord) -> int:
    """Return the state code of a record."""
    if record.state is records.HostState.DEAD:
        return DEAD
    if record.state is records.HostState.SUSPECT:
        return SUSPECT
    return LEAVING if record.leaving else ALIVE


def make_row(record: records.HostRecord) -> Row:
    """Return the row that tells what this node believes of a host."""
    code = get_state_code(record)
    known = (record.name, record.incarnation, record.refutation, code)
    if code >= SUSPECT:
        return (*known, "", "", "", ())
    return (*known, record.address, record.place, record.region, record.moved)


def is_newer(row: Row, record: records.HostRecord) -> bool:
    """Return whether a row supersedes what a record says.

    Only the host itself raises its incarnation and refutation. With equal
    numbers suspicion overrides life and death overrides suspicion.
    """
    code = get_state_code(record)
    weight = code if code >= SUSPECT else ALIVE
    row_weight = row[3] if row[3] >= SUSPECT else ALIVE
    held = (record.incarnation, record.refutation, weight)
    return (row[1], row[2], row_weight) > held


@functools.lru_cache(maxsize=rendezvous.HASH_CACHE_SIZE)
def get_bucket(name: str) -> int:
    """Return the bucket of a host."""
    return zlib.crc32(name.encode()) % BUCKETS


def make_digest(record: records.HostRecord) -> int:
    """Return the digest of a record that is not dead."""
    number = record.incarnation * 1_000_003 + record.refutation
    value = rendezvous.mix(rendezvous.hash_text(record.name), number)
    return (value >> 16) & _DIGEST_MASK


@attrs.define(kw_only=True)
class Digests:
    """Digest of each bucket of the hosts that are not dead.

    Digests leave out suspicion, which is short, and the dead, which nodes
    forget at different times.
    """

    _values: list[int] = attrs.field(factory=lambda: [0] * BUCKETS, init=False)

    def toggle(self, record: records.HostRecord) -> None:
        """Add a record that is not included, or take out one that is."""
        if record.state is not records.HostState.DEAD:
            self._values[get_bucket(record.name)] ^= make_digest(record)

    def pack(self) -> bytes:
        """Return the digests for the wire."""
        return b"".join(value.to_bytes(DIGEST_BYTES, "big") for value in self._values)

    def list_differences(self, packed: bytes) -> list[int]:
        """Return the buckets whose digest differs from another node's."""
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
    """Hosts whose rows still have to be sent, with the times each was sent."""

    _send_counts: dict[str, int] = attrs.field(factory=dict, init=False)

    def add(self, name: str) -> None:
        """Send the row of a host anew.

        If too many wait, the one that was sent most often is dropped; digests
        repair what does not arrive.
        """
        self._send_counts[name] = 0
        if len(self._send_counts) > MAXIMUM_WAITING:
            del self._send_counts[
                max(self._send_counts, key=self._send_counts.__getitem__)
            ]

    def discard(self, name: str) -> None:
        """Do not send the row of a host."""
        self._send_counts.pop(name, None)

    def has_fresh_rows(self, hosts: dict[str, records.HostRecord]) -> bool:
        """Return whether a row was sent less than log2 of the hosts times."""
        limit = max(1, len(hosts)).bit_length()
        return any(sent < limit for sent in self._send_counts.values())

    def take(self, hosts: dict[str, records.HostRecord], except_for: str) -> list[Row]:
        """Return the rows for one message, those sent least often first.

        The row of the host ``except_for`` is counted and left out, because each
        message carries its sender's row anyway.
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
