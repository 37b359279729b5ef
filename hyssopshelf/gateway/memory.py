"""Pattern: clients share one bound on memory, and the largest holder gives way.

A client can send half a message, many messages at once, or not read its answers.
Each holds memory of the node until it goes on. Bounds for each connection do not
help against many such clients; a common bound does, and well-behaved clients hold
next to nothing of it.
"""

import attrs

CLIENT_MEMORY_SHARE = 0.2
"""Part of the host's memory for what clients have sent and not read. A node with
full caches and connections needs less than half of the smallest known host's."""

UNCOUNTED_BYTES = 4096
"""Bytes of one connection that are not counted, so that usual requests cost no
bookkeeping; connections are bounded by the descriptors."""


@attrs.define(kw_only=True)
class BufferBudget:
    """Bytes that connections hold.

    Attributes
    ----------
    limit : int
        Bytes that all connections may hold together.
    total : int
        Bytes that they hold.
    """

    limit: int
    total: int = 0
    _byte_counts: dict[object, int] = attrs.field(factory=dict, init=False)

    def update(self, connection: object, count: int) -> list:
        """Note how many bytes a connection holds.

        Returns
        -------
        list
            Connections to close, the largest holders first, so that the rest is
            within the limit.
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
        """Forget a connection."""
        self.total -= self._byte_counts.pop(connection, 0)


def compute_limit(memory_megabytes: int) -> int:
    """Return the limit on a host, in bytes."""
    return int(memory_megabytes * 1024 * 1024 * CLIENT_MEMORY_SHARE)
