"""Limits the memory of all client connections together; the largest close first.

A client can send half a message, send many messages at once, or not read its
answers. Each occupies buffers of the node until the client goes on. Limits for each
connection do not help against many such clients; a common limit does, and
well-behaved clients use almost none of it.
"""

import attrs

CLIENT_MEMORY_SHARE = 0.2
"""Fraction of the host's memory for the buffers of client connections. A node with
full caches and connections needs less than half of the smallest known host's."""

UNCOUNTED_BYTES = 4096
"""Buffer size up to which a connection is not counted, so that usual requests need
no bookkeeping; the limit on file descriptors bounds the number of connections."""


@attrs.define(kw_only=True)
class BufferBudget:
    """Counts the buffered bytes of connections against a common limit.

    Attributes
    ----------
    limit : int
        Bytes that all connections may buffer together.
    total : int
        Bytes that the counted connections buffer.
    """

    limit: int
    total: int = 0
    _byte_counts: dict[object, int] = attrs.field(factory=dict, init=False)

    def update(self, connection: object, count: int) -> list:
        """Record how many bytes a connection buffers.

        Returns
        -------
        list
            Connections to close, the largest first, so that the rest stays within
            the limit.
        """
        if count <= UNCOUNTED_BYTES:
            self.release(connection)
            return []
        self.total += count - self._byte_counts.get(connection, 0)
        self._byte_counts[connection] = count
        closing = []
        if self.total > self.limit:
            for other in sorted(
                self._byte_counts, key=self._byte_counts.get, reverse=True
            ):
                if self.total <= self.limit:
                    break
                self.release(other)
                closing.append(other)
        return closing

    def release(self, connection: object) -> None:
        """Stop counting a connection."""
        self.total -= self._byte_counts.pop(connection, 0)


def compute_limit(memory_megabytes: int) -> int:
    """Return the limit on a host with this much memory (MiB), in bytes."""
    return int(memory_megabytes * 1024 * 1024 * CLIENT_MEMORY_SHARE)
