"""Pattern: scarce connections follow the demand, and nobody is left without one."""

import zlib

import attrs

CONNECTIONS_FOR_ALL = 2
"""Connections a node that an endpoint must accept for all nodes to hold some."""

MINIMUM_HOLDERS = 2
MAXIMUM_HOLDERS = 4
"""Hosts that hold the connections of an endpoint that accepts fewer."""

CONNECTIONS_PER_HOLDER = 10
"""Connections that make one more holder worthwhile."""

SMALL_CAPACITY = 0.75
"""Cores below which a host holds connections for others only if no larger one
is left; forwarded statements of an endpoint need about a third of a core."""

BASE_WEIGHT = 1.0
"""Weight of a node without demand, in connections, so that it can start."""


def allocate(limit: int, demand: dict[str, int]) -> dict[str, int]:
    """Return each node's share of an endpoint's connections.

    Parameters
    ----------
    limit : int
        Connections that the endpoint accepts.
    demand : dict of str to int
        Connections that each node could use.

    Returns
    -------
    dict of str to int
        Shares; their sum is at most the limit.
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


def hash_shares(own: dict[str, int] | None) -> int:
    """Return a number that tells one node's shares from others."""
    return zlib.crc32(repr(sorted((own or {}).items())).encode())


@attrs.frozen(kw_only=True)
class HolderCandidate:
    """A node that may hold connections.

    Attributes
    ----------
    capacity : float
        Processor share of its host, in cores.
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
) -> list[str]:
    """Return the hosts that hold an endpoint's connections.

    All nodes hold some if there are enough for two each; a transaction of one client
    then does not keep the others waiting. Otherwise few large hosts near the
    endpoint hold them; present holders stay, so that connections stay open.
    """
    if limit >= CONNECTIONS_FOR_ALL * len(candidates):
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
) -> tuple[dict[str, dict[str, int]], dict[str, list[str]]]:
    """Return the shares of each node, and the holders of each scarce endpoint.

    Parameters
    ----------
    endpoints : list of (id, place, region, limit)
        Endpoints with the connections that they accept.
    nodes : list of Node
        Nodes that are alive.
    current : dict of str to list of str
        Present holders.
    """
    shares: dict[str, dict[str, int]] = {candidate.host: {} for candidate in candidates}
    holders: dict[str, list[str]] = {}
    for endpoint, place, region, limit in endpoints:
        chosen = choose_holders(
            limit, place, region, candidates, current.get(endpoint, [])
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
