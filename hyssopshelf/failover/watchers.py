"""Selects the databases that this node watches and its rank for each.

The order of the hosts of a database is a rendezvous order among the hosts that
follow the database on a hash ring. With at most ``CANDIDATES_PER_DATABASE``
live hosts this is the rendezvous order of all of them. A plain rendezvous order
would hash every pair of host and database (45 million at the target size).
"""

import bisect
import functools
import hashlib

import attrs

CANDIDATES_PER_DATABASE = 16
"""Number of hosts after a database on the ring that are ranked for it."""

WATCHERS_PER_DATABASE = 3
"""Number of hosts that watch a database: the first acts, the others back it up."""


@functools.lru_cache(maxsize=65536)
def compute_point(name: str) -> int:
    """Return the point of a host or database on the hash ring."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest())


def compute_order(database: str, hosts: list[str]) -> list[str]:
    """Return the watchers of a database, the first one first."""
    return Ring(hosts).compute_order(database)


class Ring:
    """Live hosts sorted by their point on the ring."""

    def __init__(self, hosts) -> None:
        self._hosts = sorted((compute_point(host), host) for host in hosts)

    def compute_order(self, database: str) -> list[str]:
        """Return the watchers of a database, the first one first."""
        size = len(self._hosts)
        first = bisect.bisect(self._hosts, (compute_point(database), ""))
        near = [
            self._hosts[(first + step) % size][1]
            for step in range(min(CANDIDATES_PER_DATABASE, size))
        ]
        near.sort(key=lambda host: _compute_weight(host, database), reverse=True)
        return near[:WATCHERS_PER_DATABASE]

    def find_span(self, host: str) -> tuple[int, int]:
        """Return the ring interval of the databases that may rank a host.

        The interval is (after, up to); both are equal if it is the whole ring.
        """
        size = len(self._hosts)
        point = compute_point(host)
        if size <= CANDIDATES_PER_DATABASE:
            return point, point
        index = bisect.bisect_left(self._hosts, (point, host))
        return self._hosts[(index - CANDIDATES_PER_DATABASE) % size][0], point


@attrs.define(kw_only=True)
class DatabaseRing:
    """Databases sorted by their point on the ring."""

    names: frozenset[str] = frozenset()
    points: list[tuple[int, str]] = attrs.field(factory=list)

    def update(self, names) -> bool:
        """Rebuild the ring if the set of databases changed; return whether it did."""
        if self.names == names:
            return False
        self.names = frozenset(names)
        self.points = sorted((compute_point(name), name) for name in names)
        return True

    def find_between(self, after: int, up_to: int) -> list[str]:
        """Return the databases in a ring interval; all if it is empty."""
        if after == up_to:
            return [name for _, name in self.points]
        low = bisect.bisect_left(self.points, (after, ""))
        high = bisect.bisect_right(self.points, (up_to, "\U0010ffff"))
        found = self.points[low:high]
        if after > up_to:
            found = self.points[low:] + self.points[:high]
        return [name for _, name in found]


def find_ranks(databases: DatabaseRing, hosts, own: str) -> dict[str, int]:
    """Return this node's rank for each database that it watches.

    Parameters
    ----------
    databases : DatabaseRing
        All databases.
    hosts : iterable of str
        Live hosts, with this node's own.
    own : str
        This node's host.
    """
    ring = Ring(hosts)
    ranks = {}
    for database in databases.find_between(*ring.find_span(own)):
        order = ring.compute_order(database)
        if own in order:
            ranks[database] = order.index(own)
    return ranks


def _compute_weight(host: str, database: str) -> bytes:
    return hashlib.blake2b(f"{host}\0{database}".encode(), digest_size=8).digest()
