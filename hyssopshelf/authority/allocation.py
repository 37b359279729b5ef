"""Allocation of each endpoint's limited connections to the nodes.

Connections follow the demand. An endpoint that accepts many gives every node some;
one that accepts few has a few holders, and the other nodes forward to them.
"""

import zlib

import attrs

CONNECTIONS_FOR_ALL = 2
"""Connections per node that an endpoint must accept for all nodes to hold some."""

MINIMUM_HOLDERS = 2
MAXIMUM_HOLDERS = 4
"""Bounds on the number of holders of an endpoint that accepts fewer."""

CONNECTIONS_PER_HOLDER = 10
"""Connections per holder from which the number of holders follows."""

SMALL_CAPACITY = 0.75
"""Cores up to which a host holds scarce connections only if no larger host is left;
forwarded statements of one endpoint need about a third of a core."""

BASE_WEIGHT = 1.0
"""Weight added to each node's demand, in connections, so that a node without demand
can open some when its first clients arrive."""


def allocate(limit: int, demand: dict[str, int]) -> dict[str, int]:
    """Return each node's share of an endpoint's connections.

    Each node gets one, and the others follow the demand. If there are fewer
    connections than nodes, the nodes of greatest demand get one each.

    Parameters
    ----------
    limit : int
        Connections that the endpoint accepts.
    demand : dict of str to int
        Connections that each node could use, by host.

    Returns
    -------
    dict of str to int
        Shares by host; their sum is at most the limit.
    """
    nodes = sorted(demand)
    if not nodes or limit <= 0:
        return dict.fromkeys(nodes, 0)
    if limit < len(nodes):
        ranked = sorted(nodes, key=lambda node: (-demand[node], node))
        chosen = set(ranked[:limit])
        return {node: int(node in chosen) for node in nodes}
    spare = limit - len(nodes)
    weights = {node: demand[node] + BASE_WEIGHT for node in nodes}
    total = sum(weights.values())
    shares = {node: 1 + int(spare * weights[node] / total) for node in nodes}
    remainder = limit - sum(shares.values())
    for node in sorted(nodes, key=lambda node: (-weights[node], node))[:remainder]:
        shares[node] += 1
    return shares


def hash_shares(shares: dict[str, int] | None) -> int:
    """Return a checksum of one node's shares, by which it detects new ones."""
    return zlib.crc32(repr(sorted((shares or {}).items())).encode())


@attrs.frozen(kw_only=True)
class HolderCandidate:
    """A node that may hold connections.

    Attributes
    ----------
    capacity : float
        Processor share of its host, in cores.
    demand : dict of str to int
        Connections that it could use, by endpoint.
    """

    host: str
    address: str
    place: str
    region: str
    capacity: float
    demand: dict[str, int]


def choose_holders(
    limit: int,
    place: str,
    region: str,
    candidates: list[HolderCandidate],
    current: list[str],
    *,
    exclusive: bool = False,
) -> list[str]:
    """Return the hosts that hold an endpoint's connections.

    All nodes hold some if there are two for each, so that a transaction of one
    client does not keep the others waiting. Otherwise a few large hosts near the
    endpoint do; among these, current holders are preferred, so that connections
    stay open.

    Parameters
    ----------
    exclusive : bool
        Whether a connection serves one customer only. A few hosts then hold them
        even if there were enough for all, as customers share none.
    """
    if limit >= CONNECTIONS_FOR_ALL * len(candidates) and not exclusive:
        return [candidate.host for candidate in candidates]
    count = max(MINIMUM_HOLDERS, min(MAXIMUM_HOLDERS, limit // CONNECTIONS_PER_HOLDER))
    ranked = sorted(
        candidates,
        key=lambda candidate: (
            candidate.capacity <= SMALL_CAPACITY,
            candidate.place != place,
            candidate.region != region,
            candidate.host not in current,
            -candidate.capacity,
            candidate.host,
        ),
    )
    return [candidate.host for candidate in ranked[: min(count, limit)]]


def allocate_all(
    endpoints: list[tuple[str, str, str, int]],
    candidates: list[HolderCandidate],
    current: dict[str, list[str]],
    *,
    exclusive: bool = False,
) -> tuple[dict[str, dict[str, int]], dict[str, list[str]]]:
    """Return each node's shares, and the holders of endpoints that few nodes use.

    Parameters
    ----------
    endpoints : list of (id, place, region, limit)
        Endpoints with the connections that they accept.
    candidates : list of HolderCandidate
        Nodes that are alive.
    current : dict of str to list of str
        Current holders, by endpoint.
    exclusive : bool
        Whether a connection serves one customer only.

    Returns
    -------
    shares : dict of str to dict
        Connections by host and endpoint.
    holders : dict of str to list of str
        Hosts by endpoint, without the endpoints that all nodes hold.
    """
    shares: dict[str, dict[str, int]] = {candidate.host: {} for candidate in candidates}
    holders: dict[str, list[str]] = {}
    for endpoint, place, region, limit in endpoints:
        chosen = choose_holders(
            limit,
            place,
            region,
            candidates,
            current.get(endpoint, []),
            exclusive=exclusive,
        )
        if len(chosen) < len(candidates):
            holders[endpoint] = chosen
        members = set(chosen)
        demand = {
            candidate.host: candidate.demand.get(endpoint, 0)
            for candidate in candidates
            if candidate.host in members
        }
        allocated = allocate(limit, demand)
        for candidate in candidates:
            shares[candidate.host][endpoint] = allocated.get(candidate.host, 0)
    return shares, holders
